package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const ms = time.Millisecond

// testGroup runs one Core per instance against three simulated endpoints in virtual
// time, 10 ms per step. Endpoints respond at once, unless they are down or the instance
// is cut off from them.
type testGroup struct {
	t           *testing.T
	now         time.Duration
	statuses    map[fleet.EndpointID]*fleet.EndpointStatus
	endpointIDs []fleet.EndpointID
	down        map[fleet.EndpointID]bool
	// cut[i][e] is set if instance i cannot reach endpoint e.
	cut         map[fleet.InstanceID]map[fleet.EndpointID]bool
	cores       map[fleet.InstanceID]*Core
	instanceIDs []fleet.InstanceID
	row         Row
	version     uint64
	// tableAccess decides whether a read or write of the table takes effect and whether
	// its response arrives.
	tableAccess func(write bool) (effect, answer bool)
	// dropPromote[e] is set if VH PROMOTE to endpoint e is lost.
	dropPromote map[fleet.EndpointID]bool
	commands    []string
	paused      map[fleet.InstanceID]bool
}

func newTestGroup(t *testing.T, instances int) *testGroup {
	w := &testGroup{
		t: t, now: time.Second, endpointIDs: []fleet.EndpointID{"E1", "E2", "E3"},
		statuses: map[fleet.EndpointID]*fleet.EndpointStatus{}, down: map[fleet.EndpointID]bool{},
		cut: map[fleet.InstanceID]map[fleet.EndpointID]bool{}, cores: map[fleet.InstanceID]*Core{},
		dropPromote: map[fleet.EndpointID]bool{}, paused: map[fleet.InstanceID]bool{},
		tableAccess: func(bool) (bool, bool) { return true, true },
	}
	var cfg []Endpoint
	for _, e := range w.endpointIDs {
		w.statuses[e] = &fleet.EndpointStatus{Endpoint: e, Role: fleet.RoleReplica, Term: 1, FenceTerm: 1, LastLogTerm: 1, Received: 10, Primary: "E1"}
		cfg = append(cfg, Endpoint{ID: e, Addr: string(e)})
	}
	w.statuses["E1"].Role, w.statuses["E1"].Primary = fleet.RolePrimary, ""
	for i := range instances {
		id := fleet.InstanceID(fmt.Sprintf("I%d", i+1))
		w.instanceIDs = append(w.instanceIDs, id)
		w.cut[id] = map[fleet.EndpointID]bool{}
		w.cores[id] = New(Config{Group: "g", Self: id, RunID: "r", Endpoints: cfg, Seed: uint64(i)})
	}
	return w
}

// run advances the time until done is true, for at most d, and returns the time taken.
// The test fails if done is set and does not become true.
func (w *testGroup) run(d time.Duration, done func() bool) time.Duration {
	for began := w.now; ; w.now += 10 * ms {
		if done != nil && done() {
			return w.now - began
		}
		if w.now-began >= d {
			assert.Assert(w.t, done == nil, "condition not met after %v; commands sent: %v", d, w.commands)
			return d
		}
		for _, id := range w.instanceIDs {
			w.advance(id)
		}
	}
}

func (w *testGroup) advance(id fleet.InstanceID) {
	if w.paused[id] {
		return
	}
	w.step(id, Members{Answering: w.instanceIDs, Listed: len(w.instanceIDs)})
	if w.now%(100*ms) == 0 {
		for _, e := range w.endpointIDs {
			if w.reaches(id, e) {
				w.step(id, Status{Status: *w.statuses[e]})
			}
		}
		for _, p := range w.instanceIDs {
			if p != id && !w.paused[p] {
				primary, t := w.cores[p].LastKnown()
				w.step(id, PeerView{From: p, Term: t, Primary: primary, Suspected: w.cores[p].SuspectsPrimary(), MaxFenceTerm: w.cores[p].MaxFenceTerm()})
			}
		}
	}
	w.step(id, Tick{})
}

func (w *testGroup) reaches(id fleet.InstanceID, e fleet.EndpointID) bool {
	return !w.down[e] && !w.cut[id][e]
}

func (w *testGroup) step(id fleet.InstanceID, e Event) {
	for _, a := range w.cores[id].Step(w.now, e) {
		w.execute(id, a)
	}
}

func (w *testGroup) execute(id fleet.InstanceID, a Action) {
	switch a := a.(type) {
	case ReadRow:
		_, answer := w.tableAccess(false)
		w.respondRow(id, a.Attempt, OK, answer)
	case Claim:
		w.put(id, a.Attempt, a.Row, a.IfVersion)
	case Publish:
		w.put(id, a.Attempt, a.Row, a.IfVersion)
	case Fence:
		w.commands = append(w.commands, fmt.Sprintf("fence %s %d", a.Endpoint, a.Term))
		r := w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if a.Term > s.FenceTerm {
				s.FenceTerm, s.FenceOwner = a.Term, a.Owner
			}
			return s.FenceTerm == a.Term && s.FenceOwner == a.Owner
		})
		w.step(id, FenceResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *w.statuses[a.Endpoint]})
	case Promote:
		w.commands = append(w.commands, fmt.Sprintf("promote %s %d", a.Endpoint, a.Term))
		if w.dropPromote[a.Endpoint] {
			return
		}
		r := w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if s.FenceTerm != a.Term || s.FenceOwner != a.Owner {
				return false
			}
			s.Role, s.Term, s.LastLogTerm, s.Primary = fleet.RolePrimary, a.Term, a.Term, ""
			s.Received++
			return true
		})
		w.step(id, PromoteResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *w.statuses[a.Endpoint]})
	case Follow:
		w.commands = append(w.commands, fmt.Sprintf("follow %s %d", a.Endpoint, a.Term))
		w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if a.Term < s.FenceTerm {
				return false
			}
			p := w.statuses[a.Primary]
			*s = fleet.EndpointStatus{Endpoint: a.Endpoint, Role: fleet.RoleReplica, Term: a.Term, FenceTerm: a.Term, FenceOwner: s.FenceOwner, LastLogTerm: p.LastLogTerm, Received: p.Received, Primary: a.PrimaryAddr}
			return true
		})
	case Confirm:
		w.commands = append(w.commands, fmt.Sprintf("confirm %s %d", a.Endpoint, a.Term))
		r := w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool { return s.FenceTerm == a.Term })
		w.step(id, ConfirmResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *w.statuses[a.Endpoint]})
	}
}

func (w *testGroup) command(id fleet.InstanceID, e fleet.EndpointID, f func(*fleet.EndpointStatus) bool) Result {
	switch {
	case !w.reaches(id, e):
		return NoResponse
	case f(w.statuses[e]):
		return OK
	}
	return Refused
}

func (w *testGroup) put(id fleet.InstanceID, attempt uint64, row Row, ifVersion uint64) {
	effect, answer := w.tableAccess(true)
	r := Refused
	if effect && w.version == ifVersion {
		w.row, w.version, r = row, w.version+1, OK
	}
	w.respondRow(id, attempt, r, answer)
}

func (w *testGroup) respondRow(id fleet.InstanceID, attempt uint64, r Result, answer bool) {
	if !answer {
		r = NoResponse
	}
	w.step(id, RowResponse{Attempt: attempt, Result: r, Row: w.row, Version: w.version})
}

// isPrimaryEverywhere returns a condition that holds when every instance reports e as
// the serving primary.
func (w *testGroup) isPrimaryEverywhere(e fleet.EndpointID) func() bool {
	return func() bool {
		for _, id := range w.instanceIDs {
			if p, _ := w.cores[id].Primary(); p != e {
				return false
			}
		}
		return true
	}
}

func (w *testGroup) primaryTerm() fleet.Term {
	var t fleet.Term
	for _, s := range w.statuses {
		if s.Role == fleet.RolePrimary {
			t = max(t, s.Term)
		}
	}
	return t
}

func (w *testGroup) sent(entry string) func() bool {
	return func() bool { return slices.Contains(w.commands, entry) }
}

// A failed primary must be replaced within 1.5 s by the endpoint with the latest log:
// the decisions alone must leave room below the failover target of 2 s.
func TestFailoverPromotesLatestLog(t *testing.T) {
	w := newTestGroup(t, 4)
	w.run(time.Second, nil)
	w.statuses["E3"].Received, w.statuses["E1"].Received = 12, 12
	w.down["E1"] = true
	gap := w.run(1500*ms, w.isPrimaryEverywhere("E3"))
	t.Logf("failover took %v", gap)
	w.run(2*time.Second, func() bool { return w.row.State == Promoted && w.row.Primary == "E3" })
	assert.Equal(t, w.statuses["E2"].Primary, "E3")

	// The old primary is reachable again and is told to follow.
	w.down["E1"] = false
	w.run(time.Second, func() bool { return w.statuses["E1"].Role == fleet.RoleReplica && w.statuses["E1"].Primary == "E3" })
	w.run(5*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), w.row.Term, "no further promotion")
}

// An instance that alone is cut off from the endpoints must not start a promotion.
func TestIsolatedInstanceStartsNoPromotion(t *testing.T) {
	w := newTestGroup(t, 4)
	w.run(time.Second, nil)
	for _, e := range w.endpointIDs {
		w.cut["I1"][e] = true
	}
	w.run(10*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1))
	assert.Equal(t, len(w.commands), 0)
}

// A network partition leaves one instance with the old primary and the other instances
// with the rest of the endpoints. The majority must promote another endpoint, and the
// old primary must follow it once the partition ends; otherwise there would be two
// primaries.
func TestPartitionedPrimaryIsReplaced(t *testing.T) {
	w := newTestGroup(t, 4)
	w.run(time.Second, nil)
	for _, id := range w.instanceIDs[1:] {
		w.cut[id]["E1"] = true
	}
	w.cut["I1"]["E2"], w.cut["I1"]["E3"] = true, true
	w.run(3*time.Second, func() bool { return w.primaryTerm() == 2 })
	w.run(3*time.Second, nil)
	assert.Equal(t, w.statuses["E1"].FenceTerm, fleet.Term(1), "the old primary cannot be reached")
	p, _ := w.cores["I1"].Primary()
	assert.Equal(t, p, fleet.EndpointID("E1"), "the instance that is partitioned with it cannot know of the promotion")
	clear(w.cut["I1"])
	for _, id := range w.instanceIDs {
		clear(w.cut[id])
	}
	w.run(3*time.Second, func() bool { return w.statuses["E1"].Role == fleet.RoleReplica && w.statuses["E1"].Term == 2 })
}

// A promotion must not wait for the table, whether it is unavailable before, during or
// after the attempt. The row is written once the table is available again.
func TestPromotionWhileTableIsDown(t *testing.T) {
	up := func(bool) (bool, bool) { return true, true }
	down := func(bool) (bool, bool) { return false, false }
	for name, table := range map[string]func(bool) (bool, bool){
		"before":      down,
		"lost answer": func(write bool) (bool, bool) { return true, !write },
		"during":      func(write bool) (bool, bool) { return false, !write },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGroup(t, 3)
			w.run(time.Second, nil)
			w.tableAccess, w.down["E1"] = table, true
			w.run(2*time.Second, func() bool { return w.primaryTerm() > 1 })
			w.run(2*time.Second, nil)
			w.tableAccess = up
			w.run(3*time.Second, func() bool { return w.row.State == Promoted })
			assert.Equal(t, w.row.Term, w.primaryTerm())
		})
	}
	t.Run("after", func(t *testing.T) {
		w := newTestGroup(t, 3)
		w.run(time.Second, nil)
		w.down["E1"] = true
		w.run(2*time.Second, func() bool {
			if w.primaryTerm() > 1 {
				w.tableAccess = down
			}
			return w.primaryTerm() > 1
		})
		w.run(5*time.Second, nil)
		w.tableAccess = up
		w.run(3*time.Second, func() bool { return w.row.State == Promoted })
	})
}

// Instances that start attempts at the same time without the table can fence each
// other out. One of them must succeed, and no further promotion may follow.
func TestRacingPromotersConverge(t *testing.T) {
	w := newTestGroup(t, 4)
	for _, c := range w.cores {
		c.cfg.Stagger, c.cfg.Jitter = 1, 1
	}
	w.run(time.Second, nil)
	w.tableAccess = func(bool) (bool, bool) { return false, false }
	w.down["E1"] = true
	w.run(5*time.Second, func() bool { p, _ := w.cores["I1"].Primary(); return p != "" && p != "E1" })
	term := w.primaryTerm()
	w.run(5*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), term, "no promotion after the first")
}

// The chosen endpoint goes down without having responded to the promote command. The
// attempt must not promote another endpoint in the same term, because the first one
// may already have been promoted in it.
func TestChosenEndpointFails(t *testing.T) {
	w := newTestGroup(t, 1)
	w.run(time.Second, nil)
	w.statuses["E2"].Received = 11
	w.down["E1"], w.dropPromote["E2"] = true, true
	w.run(2*time.Second, w.sent("promote E2 2"))
	w.statuses["E2"].Received, w.dropPromote["E2"] = 11, false
	w.down["E2"], w.down["E1"] = true, false
	w.run(5*time.Second, func() bool { return w.primaryTerm() > 2 })
	for _, l := range w.commands {
		assert.Assert(t, l != "promote E1 2" && l != "promote E3 2", l)
	}
}

// An attempt that fenced one endpoint only and then stopped leaves that endpoint above
// the primary's term, where it cannot follow. Another promotion must bring it back.
func TestRepairAfterPartialFence(t *testing.T) {
	w := newTestGroup(t, 3)
	w.run(time.Second, nil)
	w.statuses["E3"].FenceTerm, w.statuses["E3"].FenceOwner = 2, "gone"
	w.run(2*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1), "another promoter must get time to finish")
	w.run(4*time.Second, func() bool {
		return w.primaryTerm() == 3 && w.statuses["E3"].Term == 3 && w.statuses["E3"].Primary != ""
	})
	assert.Equal(t, w.statuses["E1"].Role, fleet.RolePrimary, "the primary keeps its role")
}

// A promoter that was paused must not count grants that arrive after the deadline of
// its attempt.
func TestLateFenceResponsesDoNotCount(t *testing.T) {
	w := newTestGroup(t, 1)
	w.run(time.Second, nil)
	w.down["E1"], w.down["E2"], w.down["E3"] = true, true, true
	w.run(2*time.Second, func() bool { return w.cores["I1"].phase == fencing })
	c := w.cores["I1"]
	for _, e := range w.endpointIDs {
		s := fleet.EndpointStatus{Endpoint: e, Term: 1, FenceTerm: c.claim.Term, FenceOwner: c.fenceOwner, LastLogTerm: 1, Received: 10, Role: fleet.RoleReplica}
		for _, a := range c.Step(w.now+c.cfg.FenceTimeout, FenceResponse{Attempt: c.attempt, Endpoint: e, Result: OK, Status: s}) {
			_, promote := a.(Promote)
			assert.Assert(t, !promote)
		}
	}
}

// A leaving primary is fenced first and replaced once the replicas have received its
// last log entries; a leaving endpoint is not chosen (guarantee G11).
func TestPlannedPromotionOfLeavingPrimary(t *testing.T) {
	w := newTestGroup(t, 3)
	w.run(time.Second, nil)
	w.statuses["E1"].Received = 13
	for _, id := range w.instanceIDs {
		w.step(id, LeavingEndpoints{Endpoints: []fleet.EndpointID{"E1"}})
	}
	w.run(time.Second, w.sent("fence E1 2"))
	assert.Assert(t, !slices.Contains(w.commands, "fence E2 2"), "the replicas must still receive the log")
	w.statuses["E2"].Received, w.statuses["E3"].Received = 13, 13
	w.run(time.Second, w.isPrimaryEverywhere("E2"))
	w.run(time.Second, func() bool { return w.statuses["E1"].Role == fleet.RoleReplica })
	assert.Equal(t, w.primaryTerm(), fleet.Term(2))
}

// An endpoint that lost its log must not follow the primary before the other endpoints
// have confirmed the term; it could follow an old primary.
func TestEndpointWithLostLogFollowsAfterConfirmation(t *testing.T) {
	w := newTestGroup(t, 3)
	w.run(time.Second, nil)
	*w.statuses["E3"] = fleet.EndpointStatus{Endpoint: "E3", Role: fleet.RoleReplica, Joining: true}
	w.run(time.Second, nil)
	assert.Equal(t, len(w.commands), 0, "must wait for running attempts to end")
	w.run(3*time.Second, w.sent("follow E3 1"))
	assert.Assert(t, slices.Index(w.commands, "confirm E2 1") >= 0)
}

// A new group, whose endpoints have no log and no term, must get a primary.
func TestNewGroupGetsAPrimary(t *testing.T) {
	w := newTestGroup(t, 4)
	for _, e := range w.endpointIDs {
		*w.statuses[e] = fleet.EndpointStatus{Endpoint: e, Role: fleet.RoleReplica}
	}
	w.run(2*time.Second, func() bool { return w.primaryTerm() == 1 })
	w.run(5*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1))
}

// A minority of endpoints must not be enough for a promotion, and terms must not be used
// up quickly while no majority can be reached.
func TestNoPromotionWithoutMajority(t *testing.T) {
	w := newTestGroup(t, 4)
	w.run(time.Second, nil)
	w.down["E1"], w.down["E2"] = true, true
	w.run(30*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1))
	t.Logf("fence term after 30 s: %d", w.statuses["E3"].FenceTerm)
	assert.Assert(t, w.statuses["E3"].FenceTerm < 40, "attempts must back off")
	w.down["E2"] = false
	w.run(4*time.Second, func() bool { return w.primaryTerm() > 1 })
}
