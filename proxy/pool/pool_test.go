package pool

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fair"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startPool(t *testing.T, delay time.Duration, maxConns int) (*Pool, *Endpoint, *endpoint.Endpoint) {
	t.Helper()
	se, err := endpoint.Start(endpoint.Config{ID: "e0", Group: "g", User: "system", Password: "secret",
		LogWriter: io.Discard, ConnectDelay: delay, Dir: t.TempDir()})
	assert.NilError(t, err)
	creds, err := auth.NewCredentials("system", "secret")
	assert.NilError(t, err)
	p := New(Options{Instance: "i1", Credentials: creds, Fair: fair.Config{FixedLimit: true}})
	t.Cleanup(func() {
		p.Close()
		_ = se.Close()
	})
	return p, p.Endpoint(&snapshot.Endpoint{ID: "e0", Addr: se.Addr(), Slots: 3, MaxConns: maxConns}), se
}

func acquireOptions(db string, wait time.Duration) *AcquireOptions {
	return &AcquireOptions{Key: Key{Database: db}, Term: 1, Deadline: time.Now().Add(wait)}
}

// Checks that many concurrent requests for several databases never make the pool
// exceed MaxConns, and that at most MaxConcurrentConnects connections are being
// opened at the same time.
func TestConnectionsStayWithinMaxConns(t *testing.T) {
	p, e, se := startPool(t, 5*time.Millisecond, 4)
	var wg sync.WaitGroup
	var opening atomic.Int64
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			default:
				open, o, _ := e.Counts()
				if open > 4 {
					t.Errorf("%d open connections, MaxConns is 4", open)
					return
				}
				opening.Store(max(opening.Load(), int64(o)))
			}
		}
	}()
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tk := NewTicket("a", 1)
			for range 5 {
				c, err := e.Acquire(context.Background(), tk, acquireOptions([]string{"x", "y", "z"}[i%3], 10*time.Second))
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := c.Exec("SELECT 1", time.Now().Add(time.Second), nil); err != nil {
					t.Error(err)
				}
				e.Release(tk, c)
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-watched
	assert.Assert(t, opening.Load() <= MaxConcurrentConnects)
	assert.Assert(t, se.Stats().Connections <= 4)
	assert.Equal(t, e.Load(), int64(0))
	p.CloseIdle(time.Now().Add(time.Hour))
	open, _, idle := e.Counts()
	assert.Equal(t, open+idle, 0)
}

// Guards against a request that stays queued beyond its deadline or after an
// interrupt, and against a slot that leaks when such a request leaves the queue.
func TestQueueDeadline(t *testing.T) {
	_, e, _ := startPool(t, -1, 3)
	var held []*Conn
	var tickets []*Ticket
	for range 3 {
		tk := NewTicket("a", 1)
		c, err := e.Acquire(context.Background(), tk, acquireOptions("x", time.Second))
		assert.NilError(t, err)
		held, tickets = append(held, c), append(tickets, tk)
	}
	tk := NewTicket("b", 1)
	start := time.Now()
	_, err := e.Acquire(context.Background(), tk, acquireOptions("x", 50*time.Millisecond))
	assert.Assert(t, outcome.IsKind(err, outcome.QueueDeadline))
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	assert.Assert(t, time.Since(start) < time.Second)
	interrupt := make(chan struct{}, 1)
	interrupt <- struct{}{}
	u := acquireOptions("x", time.Second)
	u.Interrupt = interrupt
	_, err = e.Acquire(context.Background(), tk, u)
	assert.Assert(t, outcome.IsKind(err, outcome.Cancelled))
	for i := range held {
		e.Release(tickets[i], held[i])
	}
	c, err := e.Acquire(context.Background(), tk, acquireOptions("x", time.Second))
	assert.NilError(t, err)
	e.Release(tk, c)
	assert.Equal(t, e.Load(), int64(0))
}

// Guards against the reuse of a connection that has an incomplete response or an
// open transaction, or that the endpoint has closed.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	_, e, se := startPool(t, -1, 3)
	tk := NewTicket("a", 1)
	get := func(write bool) *Conn {
		u := acquireOptions("x", time.Second)
		u.Write = write
		c, err := e.Acquire(context.Background(), tk, u)
		assert.NilError(t, err)
		return c
	}
	first := get(false)
	assert.NilError(t, first.BeginRequest())
	e.Release(tk, first)
	second := get(false)
	assert.Assert(t, first != second)
	_, err := second.Exec("BEGIN", time.Now().Add(time.Second), nil)
	assert.NilError(t, err)
	e.Release(tk, second)
	third := get(false)
	assert.Assert(t, second != third)
	e.Release(tk, third)
	assert.Assert(t, get(true) == third)
	e.Release(tk, third)
	assert.NilError(t, se.Close())
	u := acquireOptions("x", 200*time.Millisecond)
	u.Write = true
	_, err = e.Acquire(context.Background(), tk, u)
	assert.Assert(t, outcome.IsKind(err, outcome.Unavailable))
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
}

// Guards against a statement that runs under an old term: a pooled connection
// takes the term of the request before it is used, and the endpoint rejects a
// statement whose term is not its own (VH001).
func TestTermChangeAndStaleTerm(t *testing.T) {
	_, e, _ := startPool(t, -1, 3)
	tk := NewTicket("a", 1)
	c, err := e.Acquire(context.Background(), tk, acquireOptions("x", time.Second))
	assert.NilError(t, err)
	e.Release(tk, c)
	u := acquireOptions("x", time.Second)
	u.Term = 2
	again, err := e.Acquire(context.Background(), tk, u)
	assert.NilError(t, err)
	assert.Equal(t, again.Term(), u.Term)
	_, err = again.Exec("SELECT 1 + 1", time.Now().Add(time.Second), nil)
	assert.ErrorContains(t, err, "VH001")
	e.Release(tk, again)
}

func TestSessionParams(t *testing.T) {
	var none *SessionParams
	a := none.With("timezone", "'UTC'")
	b := a.With("search_path", "x, y")
	assert.Equal(t, b.StatementsFrom(none), "SET search_path TO x, y;SET timezone TO 'UTC';")
	assert.Equal(t, a.StatementsFrom(b), "RESET search_path;")
	assert.Equal(t, none.StatementsFrom(a), "RESET timezone;")
	assert.Equal(t, b.StatementsFrom(a.With("search_path", "x, y")), "")
	assert.Assert(t, a.Without("timezone") == none)
}
