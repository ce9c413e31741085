package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

// countingStore accepts every write in era 2.
type countingStore struct {
	unavailableStore
	applies atomic.Int64
	last    atomic.Pointer[kvstore.Transaction]
}

func (s *countingStore) Apply(_ context.Context, t kvstore.Transaction) (uint64, error) {
	s.applies.Add(1)
	s.last.Store(&t)
	return kvstore.Version(2, 50), nil
}

// Guards against a group that has no primary after a restore, because one of its two users was killed.
func TestRenewalWithKilledUser(t *testing.T) {
	c := startController(t, 1)
	st := &countingStore{}
	ctx := context.Background()
	assert.NilError(t, c.runInLoop(ctx, func() {
		c.Store = st
		c.adoptLeadership(catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true, Version: kvstore.Version(1, 9), Revision: 9, Era: 1, Term: 2, Users: []fleet.InstanceID{"peer-0", "self"}})
		c.era.Store(2)
		c.eraSeenAt = c.Clock.Now() + 1
	}))
	renewed := 0
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		var g *group
		assert.NilError(t, c.runInLoop(ctx, func() { g = c.groups["bookings"] }))
		if c.renew(ctx, "bookings", g) {
			renewed++
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Logf("renewals in 10 s: %d", renewed)
	assert.Assert(t, renewed > 0)
}

// Guards against a claim on a record of an earlier era.
func TestClaimOnRecordOfEarlierEraIsRejected(t *testing.T) {
	c := startController(t, 0)
	st := &countingStore{}
	ctx := context.Background()
	var ch *primaryChange
	assert.NilError(t, c.runInLoop(ctx, func() {
		c.Store = st
		c.adoptLeadership(catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true, Version: kvstore.Version(1, 9), Revision: 9, Era: 1, Term: 2, Users: []fleet.InstanceID{"self"}})
		ch = &primaryChange{ctl: c, old: c.leadership("bookings"), startedAt: c.Clock.Now()}
		c.era.Store(2) // while the others are asked whether they reach the primary
	}))
	ok := ch.claim(ctx)
	assert.Assert(t, !ok)
}
