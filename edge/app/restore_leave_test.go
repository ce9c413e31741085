package app

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playLeftInstances stops two of three instances and restores the store from a copy with or
// without the marks of their leaving.
func playLeftInstances(t *testing.T, kept bool) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	var stopping sync.WaitGroup
	var stops []func()
	for i := 2; i <= 3; i++ {
		_, stop := f.startInstance(fmt.Sprintf("edge-%d", i), true)
		stops = append(stops, stop)
	}
	d, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, succeeded(d.query("PUT roof before")))
	c := f.store.Copy()
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
	if kept {
		time.Sleep(200 * time.Millisecond)
		c = f.store.Copy()
	}
	f.restore(c)
	f.rewrite()
	start := time.Now()
	ok, fails, last := 0, 0, time.Duration(0)
	for time.Since(start) < 12*time.Second {
		d, _ := dial(t, a, "latest", "key-acme")
		if succeeded(d.query("PUT roof x")) {
			ok++
			last = time.Since(start)
		} else {
			fails++
		}
		_ = d.conn.Close()
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d writes succeeded, %d failed, the last success after %v", ok, fails, last)
	assert.Assert(t, time.Since(start)-last < 2*time.Second, "no write succeeds any more")
}

// Guards against a group without a primary for good after a restore, because two of its three
// users have left and do not answer.
func TestRestoreAfterOthersHaveLeft(t *testing.T) {
	t.Run("marks in the copy", func(t *testing.T) { playLeftInstances(t, true) })
	t.Run("marks lost", func(t *testing.T) { playLeftInstances(t, false) })
}
