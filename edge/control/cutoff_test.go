package control

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

// recordStore holds the record of one primary.
type recordStore struct {
	unavailableStore
	mu     sync.Mutex
	record catalog.Leadership
	writes int
}

func (s *recordStore) Apply(_ context.Context, t kvstore.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(t.Put[0].Key, leaderPrefix) {
		return 0, errUnavailable
	}
	if t.Require[0].Version != s.record.Version {
		return 0, kvstore.ErrConflict
	}
	version := s.record.Version + 1
	s.record = catalog.Leadership{}
	if err := json.Unmarshal(t.Put[0].Value, &s.record); err != nil {
		return 0, err
	}
	s.record.Version = version
	s.writes++
	return version, nil
}

// register lets a user that was named as removed register again. It reports whether it was.
func (s *recordStore) register(id fleet.InstanceID) (catalog.Leadership, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.record.Removed, id) {
		return catalog.Leadership{}, false
	}
	version := s.record.Version + 1
	s.record = s.record.WithUser(id).Next(s.record.Era)
	s.record.Version = version
	return s.record, true
}

// startCutOff starts a controller that reaches the store and no other instance. The other
// two users of its group's primary reach the store as well.
func startCutOff(t *testing.T, record catalog.Leadership) (*Controller, *recordStore) {
	t.Helper()
	st := &recordStore{record: record}
	c := startControllerWithStore(t, st, 2)
	loadTables(t, c)
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		c.adoptLeadership(record)
		for _, p := range c.peers {
			c.recordPeerFailure(p, peerrpc.ErrRefused)
		}
	}))
	return c, st
}

// Guards against an instance that reaches the store but no other instance, and that removes the
// two other users of a primary again each time they have registered: meanwhile nobody may use
// the primary.
func TestUserThatRegistersAgainIsNotLost(t *testing.T) {
	c, st := startCutOff(t, catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true, Version: 9, Revision: 9, Term: 2,
		Users: []fleet.InstanceID{"peer-0", "peer-1", "self"}})
	registered := 0
	for start := time.Now(); time.Since(start) < lostAfter+4*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, id := range []fleet.InstanceID{"peer-0", "peer-1"} {
			if l, ok := st.register(id); ok {
				registered++
				assert.NilError(t, c.runInLoop(t.Context(), func() { c.adoptLeadership(l) }))
			}
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		assert.Assert(t, len(c.silentUsers(c.Clock.Now(), c.leadership("bookings"))) == 2, "no change is begun here, since it would get no majority")
	}))
	t.Logf("%d removals, %d registrations", st.writes, registered)
	assert.Assert(t, registered > 0)
	assert.Assert(t, st.writes <= 2, "the users were removed %d times", st.writes)
	assert.Equal(t, len(st.record.Removed), 0)
}

// Guards against two users that reach the store but not each other, and that remove each other in
// turn: each write makes the wait begin anew, and neither may use the primary.
func TestRemovedUserWaitsForTheRemoval(t *testing.T) {
	_, st := startCutOff(t, catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true, Version: 9, Revision: 9, Term: 2,
		Users: []fleet.InstanceID{"peer-0", "peer-1", "self"}, Removed: []fleet.InstanceID{"peer-0", "self"}})
	time.Sleep(lostAfter + 2*time.Second)
	st.mu.Lock()
	defer st.mu.Unlock()
	assert.Equal(t, st.writes, 0, "the removal by another instance was replaced: %v", st.record.Removed)
}

// lateConfirmation is another instance whose confirmation arrives late.
type lateConfirmation struct {
	*fakePeer
	asked, release chan struct{}
	once           sync.Once
}

func (p *lateConfirmation) Confirm(_ context.Context, req *peerrpc.ConfirmRequest) (*peerrpc.ConfirmResponse, error) {
	p.once.Do(func() { close(p.asked) })
	<-p.release
	return &peerrpc.ConfirmResponse{Version: req.Record.Order()}, nil
}

// Guards against a removal that takes effect too early: a user that has acted on a record from
// before this instance was removed may not know that it has registered again.
func TestAcknowledgementOfEarlierMembershipDoesNotCount(t *testing.T) {
	c := startController(t, 0)
	late := &lateConfirmation{fakePeer: &fakePeer{}, asked: make(chan struct{}), release: make(chan struct{})}
	srv := httptest.NewServer(peerrpc.Handler(late))
	t.Cleanup(srv.Close)
	record := catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true, Version: 9, Revision: 9, Term: 2, Users: []fleet.InstanceID{"late", "self"}}
	without := record.Next(0)
	without.Version, without.Users = 10, []fleet.InstanceID{"late"}
	again := without.WithUser("self").Next(0)
	again.Version = 11
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		addr := strings.TrimPrefix(srv.URL, "http://")
		c.peers["late"] = &peer{Member: catalog.Member{ID: "late", Addr: addr}, client: peerrpc.NewPeer(addr)}
		c.adoptLeadership(record)
		c.requestAcknowledgements(c.ctx)
	}))
	<-late.asked
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		c.adoptLeadership(without)
		c.adoptLeadership(again)
	}))
	close(late.release)
	time.Sleep(acknowledgeTimeout / 2)
	acknowledged := false
	assert.NilError(t, c.runInLoop(t.Context(), func() { acknowledged = c.groups["bookings"].acknowledged["late"] }))
	assert.Assert(t, !acknowledged)
}
