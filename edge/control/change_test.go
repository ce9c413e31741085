package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/takeover"
)

// Guards against two changes with majorities that have no member in common: that of the users
// who have confirmed, and that of the longer list in the store.
func TestSettledRecordKeepsTheUsersOfItsClaim(t *testing.T) {
	c := startController(t, 2, &fakePeer{confirms: true})
	ctx := context.Background()
	users := []fleet.InstanceID{"peer-0", "peer-1", "self"}
	ch := &primaryChange{ctl: c, old: catalog.Leadership{Group: "bookings"}, claimedAt: c.Clock.Now(), startedAt: c.Clock.Now(),
		record: catalog.Leadership{Group: "bookings", Version: 2, Revision: 2, Term: 2, Former: "e1", Holder: "self", Users: users}}
	assert.NilError(t, c.runInLoop(ctx, func() { c.adoptLeadership(ch.record) }))
	_, result := ch.awaitOldPrimaryUnused(ctx)
	assert.Equal(t, result, oldPrimaryUnused)
	settled := takeover.Complete(ch.record, "e2", 3, ch.unconfirmed)
	assert.DeepEqual(t, settled.Users, users)
	assert.DeepEqual(t, settled.Removed, []fleet.InstanceID{"peer-1"})
}

// Guards against a holder that is restarted before the store has the primary which it announced,
// and whose new claim passes for that announcement: the users confirmed it at once, and their
// open transactions went on at the announced primary.
func TestClaimOnTopOfAnnouncedChangeEndsItsUse(t *testing.T) {
	users := []fleet.InstanceID{"peer-0", "self"}
	claimed := catalog.Leadership{Group: "bookings", Former: "e1", Holder: "peer-0", Version: 9, Revision: 9, Term: 2, Users: users}
	announced := claimed.Settle("e2", 2)
	st := &recordStore{record: claimed}
	c := startControllerWithStore(t, st, 1)
	loadTables(t, c)
	ch := &primaryChange{ctl: c, old: claimed, startedAt: c.Clock.Now()} // as the restarted holder does
	assert.Assert(t, ch.claim(t.Context()))
	assert.Assert(t, ch.record.Order() > announced.Order(), "claim %d, announcement %d", ch.record.Order(), announced.Order())
	assert.Assert(t, ch.record.Order() != claimed.Order())
}

// lateStore applies an earlier claim of the same instance in place of the one that it is asked
// to store, and does not answer.
type lateStore struct {
	unavailableStore
	ctl     *Controller
	earlier catalog.Leadership
}

func (s *lateStore) Apply(ctx context.Context, _ kvstore.Transaction) (uint64, error) {
	_ = s.ctl.runInLoop(ctx, func() { s.ctl.adoptLeadership(s.earlier) })
	return 0, kvstore.ErrNoAnswer
}

// Guards against a holder that takes an earlier claim of its own, applied late, for the one that
// it has just made: its time counts from the wrong call.
func TestEarlierClaimIsNotTakenForTheLatest(t *testing.T) {
	users := []fleet.InstanceID{"peer-0", "self"}
	st := &lateStore{earlier: catalog.Leadership{Group: "bookings", Former: "e1", Holder: "self", Claim: 7, Version: 10, Revision: 10, Term: 2, Users: users}}
	c := startControllerWithStore(t, st, 1)
	st.ctl = c
	ch := &primaryChange{ctl: c, old: catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true, Version: 9, Revision: 9, Term: 1, Users: users}, startedAt: c.Clock.Now()}
	assert.Assert(t, !ch.claim(t.Context()))
}
