package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

// leave marks a member of the controller's fleet as left, at a version of the fleet's table.
func leave(c *Controller, id string, version uint64) {
	c.applyChanges("own", []kvstore.Row{{Table: "own", Key: memberPrefix + id, Version: version,
		Value: []byte(`{"ID":"` + id + `","Addr":"127.0.0.1:1","Left":true}`)}}, version)
}

// Guards against a mark from before a claim that stands for the next process of the instance.
func TestMarkOfLeavingCountsFromTheClaimOn(t *testing.T) {
	c := startController(t, 1)
	assert.NilError(t, c.runInLoop(context.Background(), func() {
		c.eraSeenAt = -takeover.RenewalWait
		leave(c, "peer-0", 5)
		assert.Assert(t, c.hasLeft("peer-0", 5))
		assert.Assert(t, !c.hasLeft("peer-0", 6), "the copy of the table is older than the claim")
	}))
}

// Guards against a process that uses a primary while others take its instance for left.
func TestUnregisteredProcessMayUseNoPrimary(t *testing.T) {
	c := startController(t, 0)
	assert.NilError(t, c.runInLoop(context.Background(), func() {
		c.addProof(c.Clock.Now())
		assert.Assert(t, c.permissions["bookings"].Expiry > 0)
		c.applyChanges("own", []kvstore.Row{{Table: "own", Key: memberPrefix + "self", Version: 5,
			Value: []byte(`{"ID":"self","Addr":"127.0.0.1:2","Incarnation":7}`)}}, 5)
		c.renewLease()
		assert.Equal(t, c.permissions["bookings"].Expiry, time.Duration(0))
	}))
}

// Guards against an instance that proves to others after it has left.
func TestInstanceThatHasLeftProvesNothing(t *testing.T) {
	c := startController(t, 0)
	assert.NilError(t, c.runInLoop(context.Background(), func() { c.addProof(c.Clock.Now()) }))
	c.Deregister()
	res, err := c.Watch(context.Background(), &peerrpc.WatchRequest{})
	assert.NilError(t, err)
	assert.Equal(t, res.ProofAgeMS, int64(-1))
	assert.Assert(t, !c.Pool.LeaseValid("bookings"))
}

// Guards against a holder whose time begins when it reads the answer to its claim.
func TestTimeOfHolderCountsFromItsCall(t *testing.T) {
	c := startController(t, 0)
	now := c.Clock.Now()
	ch := &primaryChange{ctl: c, record: catalog.Leadership{Group: "bookings"}, claimedAt: now, calledAt: now - takeover.HolderTimeout}
	assert.Assert(t, ch.timeLeft() <= 0)
}
