package app

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/platform/standin"
)

// syncFleet returns a fleet of two instances whose group has sync_replicas 1, and a session.
func syncFleet(t *testing.T) (*testFleet, *client) {
	f := newTestFleet(t)
	f.group.SetSyncReplicas(1)
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 40, "sync_replicas": 1}}
	f.publish()
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	c, answer := dial(t, a, "latest", "key-acme")
	assert.Equal(t, answer, "READY I -")
	return f, c
}

// write writes items and returns those that were acknowledged.
func (c *client) write(prefix string, n int) (acknowledged []string) {
	for i := range n {
		item := fmt.Sprintf("%s%d", prefix, i)
		if succeeded(c.query("PUT " + item + " booked")) {
			acknowledged = append(acknowledged, item)
		}
	}
	return acknowledged
}

// assertLeads waits until an endpoint is the only primary, while the session writes, and checks
// that it has all items.
func (f *testFleet) assertLeads(c *client, e *standin.Endpoint, items []string) {
	f.t.Helper()
	f.waitUntil(8*time.Second, func() bool {
		c.query("PUT other booked")
		for _, o := range f.endpoints {
			if o.IsPrimary() != (o == e) {
				return false
			}
		}
		return true
	})
	for _, item := range items {
		_, ok := e.Value(item)
		assert.Assert(f.t, ok, "%s is acknowledged and not in the log of %s, which is promoted", item, e.ID)
	}
}

// Guards against acknowledged commits that are lost because the only replica that has them is
// leaving (review/2).
func TestLeavingReplicaWithAcknowledgedCommitsIsPromoted(t *testing.T) {
	f, c := syncFleet(t)
	f.endpoints[1].Drain()
	f.endpoints[2].SetDeaf(true)
	items := c.write("roof", 20)
	assert.Equal(t, len(items), 20)
	f.endpoints[0].Crash()
	f.assertLeads(c, f.endpoints[1], items)
	// The replica that lacks the commits takes over only once it has them.
	time.Sleep(1500 * time.Millisecond)
	assert.Assert(t, !f.endpoints[2].IsPrimary())
	f.endpoints[2].SetDeaf(false)
	f.assertLeads(c, f.endpoints[2], items)
}

// Guards against acknowledged commits that are lost because the only replica that has them was
// the primary before the last one (review/2, second form).
func TestFormerPrimaryWithAcknowledgedCommitsIsPromoted(t *testing.T) {
	f, c := syncFleet(t)
	items := c.write("roof", 5)
	f.endpoints[0].Crash()
	f.waitUntil(5*time.Second, func() bool { return succeeded(c.query("PUT roof again")) })
	primary, deaf := f.endpoints[1], f.endpoints[2]
	if deaf.IsPrimary() {
		primary, deaf = deaf, primary
	}
	assert.NilError(t, f.endpoints[0].Restart())
	f.waitUntil(5*time.Second, func() bool { return succeeded(c.query("PUT roof again")) })
	deaf.SetDeaf(true)
	more := c.write("wall", 20)
	assert.Equal(t, len(more), 20)
	primary.Crash()
	f.assertLeads(c, f.endpoints[0], append(items, more...))
}

// Guards against acknowledged commits that are lost because the replica that has them answers
// later than one that lacks them.
func TestSlowReplicaWithAcknowledgedCommitsIsPromoted(t *testing.T) {
	f, c := syncFleet(t)
	f.endpoints[2].SetDeaf(true)
	items := c.write("roof", 20)
	assert.Equal(t, len(items), 20)
	f.endpoints[1].SetCommandDelay(300 * time.Millisecond)
	f.endpoints[0].Crash()
	f.assertLeads(c, f.endpoints[1], items)
}

// Guards against the promotion of a replica that may lack acknowledged commits while the one that
// may have them is listed and does not answer. The operator may go on without it.
func TestListedReplicaWithAcknowledgedCommitsIsAwaited(t *testing.T) {
	f, c := syncFleet(t)
	f.endpoints[2].SetDeaf(true)
	assert.Equal(t, len(c.write("roof", 5)), 5)
	f.endpoints[1].Crash()
	f.endpoints[0].Crash()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		assert.Assert(t, !succeeded(c.query("PUT other booked")))
		assert.Assert(t, !f.endpoints[2].IsPrimary())
	}
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 40, "sync_replicas": 0}}
	f.publish()
	f.group.SetSyncReplicas(0)
	f.assertLeads(c, f.endpoints[2], nil)
}

// Guards against commits that no replica acknowledges any more, because those that were paused
// for a change of primary stay paused.
func TestReplicasReceiveAgainAfterChange(t *testing.T) {
	f, c := syncFleet(t)
	f.endpoints[2].SetDeaf(true)
	items := c.write("roof", 5)
	f.endpoints[0].Crash()
	f.assertLeads(c, f.endpoints[1], items)
	f.endpoints[2].SetDeaf(false)
	f.waitUntil(3*time.Second, func() bool { return succeeded(c.query("PUT roof after")) })
}

// Guards against a group without a primary for good: the term of its own pause was taken for
// one that the promoted endpoint had to exceed.
func TestChangeWithPausedReplicasIsCompleted(t *testing.T) {
	f, c := syncFleet(t)
	assert.Equal(t, len(c.write("roof", 5)), 5)
	f.endpoints[0].Crash()
	start := time.Now()
	f.waitUntil(5*time.Second, func() bool { return succeeded(c.query("PUT roof after")) })
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Equal(t, len(f.group.Violations()), 0)
}

// loseTwo lets a replica receive nothing while the session writes, and then the primary and the
// other replica crash, which leaves the list. It returns the acknowledged items.
func (f *testFleet) loseTwo(c *client) []string {
	items := c.write("early", 3)
	f.endpoints[2].SetDeaf(true)
	items = append(items, c.write("late", 3)...)
	assert.Equal(f.t, len(items), 6)
	f.endpoints[0].Crash()
	f.endpoints[1].Crash()
	f.store.Delete("servers", f.endpoints[1].ID)
	return items
}

// Guards against acknowledged commits that are lost although the primary which has them is back
// and answers: the replica that lacks them was promoted once the other one had left the list
// (review/6).
func TestPrimaryThatIsBackWithAcknowledgedCommitsLeadsAgain(t *testing.T) {
	f, c := syncFleet(t)
	items := f.loseTwo(c)
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
		c.query("PUT other booked") // the instance notices the crash by a statement
	}
	assert.NilError(t, f.endpoints[0].Restart())
	a, _ := f.startInstance("edge-3", false)
	c, _ = dial(t, a, "latest", "key-acme")
	f.assertLeads(c, f.endpoints[0], items)
}

// Guards against the promotion of a replica that lacks acknowledged commits because the endpoints
// that have them have left the list: it must wait until one of them is back.
func TestReplicaWithoutAcknowledgedCommitsIsNotPromoted(t *testing.T) {
	f, c := syncFleet(t)
	items := f.loseTwo(c)
	f.store.Delete("servers", f.endpoints[0].ID)
	for start := time.Now(); time.Since(start) < 8*time.Second; time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, !f.endpoints[2].IsPrimary(), "promoted %v after the crash", time.Since(start))
	}
	assert.NilError(t, f.endpoints[1].Restart())
	a, _ := f.startInstance("edge-3", false)
	c, _ = dial(t, a, "latest", "key-acme")
	f.assertLeads(c, f.endpoints[1], items)
}

// Guards against a group without a primary although the only endpoint left has all that the
// instances have acknowledged.
func TestOnlyReplicaWithAcknowledgedCommitsIsPromoted(t *testing.T) {
	f, c := syncFleet(t)
	time.Sleep(time.Second) // both instances act on the record with both users
	items := c.write("item", 6)
	assert.Equal(t, len(items), 6)
	f.waitUntil(time.Second, func() bool { _, ok := f.endpoints[2].Value("item5"); return ok })
	f.endpoints[0].Crash()
	f.endpoints[1].Crash()
	f.assertLeads(c, f.endpoints[2], items)
}
