package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

// refusedRecord is the record of a change by "self". Its user "peer-0" confirms, and "peer-1" is
// at an address that refuses connections.
var refusedRecord = catalog.Leadership{Group: "bookings", Version: 2, Revision: 2, Term: 2, Former: "e1", Holder: "self",
	Users: []fleet.InstanceID{"peer-0", "peer-1", "self"}}

// Guards against a change of primary that takes effect while a user that refuses connections
// may still send: the network in front of it refuses them, not the machine.
func TestChangeWaitsForUserThatRefusesConnections(t *testing.T) {
	c := startController(t, 2, &fakePeer{confirms: true})
	ctx := context.Background()
	ch := &primaryChange{ctl: c, old: catalog.Leadership{Group: "bookings"}, record: refusedRecord, claimedAt: c.Clock.Now(), startedAt: c.Clock.Now()}
	assert.NilError(t, c.runInLoop(ctx, func() { c.adoptLeadership(ch.record) }))
	confirmed, _, result := ch.awaitConfirmations(ctx, nil)
	assert.Equal(t, result, oldPrimaryUnused)
	assert.DeepEqual(t, confirmed, []fleet.InstanceID{"peer-0", "self"})
	assert.Assert(t, c.Clock.Now()-ch.claimedAt >= lease.Duration, "effective after %v", c.Clock.Now()-ch.claimedAt)
}

// Guards against a change without a majority of the users: those that refuse connections may
// prove to each other that they know of none.
func TestRefusedConnectionsAreNoMajority(t *testing.T) {
	c := startController(t, 3, &fakePeer{confirms: true})
	ctx, cancel := context.WithTimeout(context.Background(), lease.Duration+time.Second)
	defer cancel()
	record := refusedRecord
	record.Users = []fleet.InstanceID{"peer-0", "peer-1", "peer-2", "self"}
	ch := &primaryChange{ctl: c, old: catalog.Leadership{Group: "bookings"}, record: record, claimedAt: c.Clock.Now(), startedAt: c.Clock.Now()}
	assert.NilError(t, c.runInLoop(ctx, func() { c.adoptLeadership(ch.record) }))
	_, _, result := ch.awaitConfirmations(ctx, nil)
	assert.Equal(t, result, notConfirmed, "two of four users have confirmed")
}

// Guards against two holders of one change: the first is behind a network that refuses
// connections and goes on.
func TestHolderThatRefusesConnectionsIsGivenItsTime(t *testing.T) {
	c := startController(t, 2)
	ctx := context.Background()
	record := refusedRecord
	record.Holder = "peer-0"
	assert.NilError(t, c.runInLoop(ctx, func() {
		c.adoptLeadership(record)
		c.recordPeerFailure(c.peers["peer-0"], peerrpc.ErrRefused)
		o, _ := c.takeoverObservation("bookings", c.Clock.Now())
		assert.Assert(t, !o.HolderStopped)
	}))
}

// Guards against a user that registers although a majority of the others has not acknowledged
// the record: those that refuse connections may run.
func TestRefusedConnectionAcknowledgesNoRecord(t *testing.T) {
	c := startController(t, 2)
	record := refusedRecord
	record.Settled, record.Primary = true, "e2"
	assert.Assert(t, c.knowing(context.Background(), record) < lease.Majority(len(record.Users)))
}

// Guards against an instance that takes itself for the only one, and gives each account its
// whole rate, because a network refuses its connections to all others.
func TestInstanceThatIsRefusedByAllSpeaksForNobody(t *testing.T) {
	c := startController(t, 3)
	ctx := context.Background()
	time.Sleep(relay.ContactFor)
	assert.NilError(t, c.runInLoop(ctx, func() {
		for _, p := range c.peers {
			c.recordPeerFailure(p, peerrpc.ErrRefused)
		}
		c.updateRole(c.Clock.Now())
		assert.Assert(t, !c.inContact(c.Clock.Now()))
		for _, m := range c.memberStates(c.Clock.Now()) {
			assert.DeepEqual(t, m, ratelimit.Member{ID: m.ID, Running: true, Reachable: m.ID == "self", Serving: true})
		}
	}))
}
