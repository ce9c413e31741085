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
	g := &testGroup{
		t: t, now: time.Second, endpointIDs: []fleet.EndpointID{"E1", "E2", "E3"},
		statuses: map[fleet.EndpointID]*fleet.EndpointStatus{}, down: map[fleet.EndpointID]bool{},
		cut: map[fleet.InstanceID]map[fleet.EndpointID]bool{}, cores: map[fleet.InstanceID]*Core{},
		dropPromote: map[fleet.EndpointID]bool{}, paused: map[fleet.InstanceID]bool{},
		tableAccess: func(bool) (bool, bool) { return true, true },
	}
	var cfg []Endpoint
	for _, e := range g.endpointIDs {
		g.statuses[e] = &fleet.EndpointStatus{Endpoint: e, Role: fleet.RoleReplica, Term: 1, FenceTerm: 1, LastLogTerm: 1, Received: 10, Primary: "E1"}
		cfg = append(cfg, Endpoint{ID: e, Addr: string(e)})
	}
	g.statuses["E1"].Role, g.statuses["E1"].Primary = fleet.RolePrimary, ""
	for i := range instances {
		id := fleet.InstanceID(fmt.Sprintf("I%d", i+1))
		g.instanceIDs = append(g.instanceIDs, id)
		g.cut[id] = map[fleet.EndpointID]bool{}
		g.cores[id] = New(Config{Group: "g", Self: id, RunID: "r", Endpoints: cfg, Seed: uint64(i)})
	}
	return g
}

// run advances the time until done is true, for at most d, and returns the time taken.
// The test fails if done is set and does not become true.
func (g *testGroup) run(d time.Duration, done func() bool) time.Duration {
	for began := g.now; ; g.now += 10 * ms {
		if done != nil && done() {
			return g.now - began
		}
		if g.now-began >= d {
			assert.Assert(g.t, done == nil, "condition not met after %v; commands sent: %v", d, g.commands)
			return d
		}
		for _, id := range g.instanceIDs {
			g.advance(id)
		}
	}
}

func (g *testGroup) advance(id fleet.InstanceID) {
	if g.paused[id] {
		return
	}
	g.step(id, Members{Answering: g.instanceIDs, Listed: len(g.instanceIDs)})
	if g.now%(100*ms) == 0 {
		for _, e := range g.endpointIDs {
			if g.reaches(id, e) {
				g.step(id, Status{Status: *g.statuses[e]})
			}
		}
		for _, p := range g.instanceIDs {
			if p != id && !g.paused[p] {
				primary, t := g.cores[p].LastKnown()
				g.step(id, PeerView{From: p, Term: t, Primary: primary, Suspected: g.cores[p].SuspectsPrimary(), MaxFenceTerm: g.cores[p].MaxFenceTerm()})
			}
		}
	}
	g.step(id, Tick{})
}

func (g *testGroup) reaches(id fleet.InstanceID, e fleet.EndpointID) bool {
	return !g.down[e] && !g.cut[id][e]
}

func (g *testGroup) step(id fleet.InstanceID, e Event) {
	for _, a := range g.cores[id].Step(g.now, e) {
		g.execute(id, a)
	}
}

func (g *testGroup) execute(id fleet.InstanceID, a Action) {
	switch a := a.(type) {
	case ReadRow:
		_, answer := g.tableAccess(false)
		g.respondRow(id, a.Attempt, OK, answer)
	case Claim:
		g.put(id, a.Attempt, a.Row, a.IfVersion)
	case Publish:
		g.put(id, a.Attempt, a.Row, a.IfVersion)
	case Fence:
		g.commands = append(g.commands, fmt.Sprintf("fence %s %d", a.Endpoint, a.Term))
		r := g.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if a.Term > s.FenceTerm {
				s.FenceTerm, s.FenceOwner = a.Term, a.Owner
			}
			return s.FenceTerm == a.Term && s.FenceOwner == a.Owner
		})
		g.step(id, FenceResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *g.statuses[a.Endpoint]})
	case Promote:
		g.commands = append(g.commands, fmt.Sprintf("promote %s %d", a.Endpoint, a.Term))
		if g.dropPromote[a.Endpoint] {
			return
		}
		r := g.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if s.FenceTerm != a.Term || s.FenceOwner != a.Owner {
				return false
			}
			s.Role, s.Term, s.LastLogTerm, s.Primary = fleet.RolePrimary, a.Term, a.Term, ""
			s.Received++
			return true
		})
		g.step(id, PromoteResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *g.statuses[a.Endpoint]})
	case Follow:
		g.commands = append(g.commands, fmt.Sprintf("follow %s %d", a.Endpoint, a.Term))
		g.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if a.Term < s.FenceTerm {
				return false
			}
			p := g.statuses[a.Primary]
			*s = fleet.EndpointStatus{Endpoint: a.Endpoint, Role: fleet.RoleReplica, Term: a.Term, FenceTerm: a.Term, FenceOwner: s.FenceOwner, LastLogTerm: p.LastLogTerm, Received: p.Received, Primary: a.PrimaryAddr}
			return true
		})
	case Confirm:
		g.commands = append(g.commands, fmt.Sprintf("confirm %s %d", a.Endpoint, a.Term))
		r := g.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool { return s.FenceTerm == a.Term })
		g.step(id, ConfirmResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *g.statuses[a.Endpoint]})
	}
}

func (g *testGroup) command(id fleet.InstanceID, e fleet.EndpointID, f func(*fleet.EndpointStatus) bool) Result {
	switch {
	case !g.reaches(id, e):
		return NoResponse
	case f(g.statuses[e]):
		return OK
	}
	return Refused
}

func (g *testGroup) put(id fleet.InstanceID, attempt uint64, row Row, ifVersion uint64) {
	effect, answer := g.tableAccess(true)
	r := Refused
	if effect && g.version == ifVersion {
		g.row, g.version, r = row, g.version+1, OK
	}
	g.respondRow(id, attempt, r, answer)
}

func (g *testGroup) respondRow(id fleet.InstanceID, attempt uint64, r Result, answer bool) {
	if !answer {
		r = NoResponse
	}
	g.step(id, RowResponse{Attempt: attempt, Result: r, Row: g.row, Version: g.version})
}

// isPrimaryEverywhere returns a condition that holds when every instance reports e as
// the serving primary.
func (g *testGroup) isPrimaryEverywhere(e fleet.EndpointID) func() bool {
	return func() bool {
		for _, id := range g.instanceIDs {
			if p, _ := g.cores[id].Primary(); p != e {
				return false
			}
		}
		return true
	}
}

func (g *testGroup) primaryTerm() fleet.Term {
	var t fleet.Term
	for _, s := range g.statuses {
		if s.Role == fleet.RolePrimary {
			t = max(t, s.Term)
		}
	}
	return t
}

func (g *testGroup) sent(entry string) func() bool {
	return func() bool { return slices.Contains(g.commands, entry) }
}

// A failed primary must be replaced within 1.5 s by the endpoint with the latest log:
// the decisions alone must leave room below the failover target of 2 s.
func TestFailoverPromotesLatestLog(t *testing.T) {
	g := newTestGroup(t, 4)
	g.run(time.Second, nil)
	g.statuses["E3"].Received, g.statuses["E1"].Received = 12, 12
	g.down["E1"] = true
	gap := g.run(1500*ms, g.isPrimaryEverywhere("E3"))
	t.Logf("failover took %v", gap)
	g.run(2*time.Second, func() bool { return g.row.State == Promoted && g.row.Primary == "E3" })
	assert.Equal(t, g.statuses["E2"].Primary, "E3")

	// The old primary is reachable again and is told to follow.
	g.down["E1"] = false
	g.run(time.Second, func() bool { return g.statuses["E1"].Role == fleet.RoleReplica && g.statuses["E1"].Primary == "E3" })
	g.run(5*time.Second, nil)
	assert.Equal(t, g.primaryTerm(), g.row.Term, "no further promotion")
}

// An instance that alone is cut off from the endpoints must not start a promotion.
func TestIsolatedInstanceStartsNoPromotion(t *testing.T) {
	g := newTestGroup(t, 4)
	g.run(time.Second, nil)
	for _, e := range g.endpointIDs {
		g.cut["I1"][e] = true
	}
	g.run(10*time.Second, nil)
	assert.Equal(t, g.primaryTerm(), fleet.Term(1))
	assert.Equal(t, len(g.commands), 0)
}

// A network partition leaves one instance with the old primary and the other instances
// with the rest of the endpoints. The majority must promote another endpoint, and the
// old primary must follow it once the partition ends; otherwise there would be two
// primaries.
func TestPartitionedPrimaryIsReplaced(t *testing.T) {
	g := newTestGroup(t, 4)
	g.run(time.Second, nil)
	for _, id := range g.instanceIDs[1:] {
		g.cut[id]["E1"] = true
	}
	g.cut["I1"]["E2"], g.cut["I1"]["E3"] = true, true
	g.run(3*time.Second, func() bool { return g.primaryTerm() == 2 })
	g.run(3*time.Second, nil)
	assert.Equal(t, g.statuses["E1"].FenceTerm, fleet.Term(1), "the old primary cannot be reached")
	p, _ := g.cores["I1"].Primary()
	assert.Equal(t, p, fleet.EndpointID("E1"), "the instance that is partitioned with the old primary cannot know of the promotion")
	clear(g.cut["I1"])
	for _, id := range g.instanceIDs {
		clear(g.cut[id])
	}
	g.run(3*time.Second, func() bool { return g.statuses["E1"].Role == fleet.RoleReplica && g.statuses["E1"].Term == 2 })
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
			g := newTestGroup(t, 3)
			g.run(time.Second, nil)
			g.tableAccess, g.down["E1"] = table, true
			g.run(2*time.Second, func() bool { return g.primaryTerm() > 1 })
			g.run(2*time.Second, nil)
			g.tableAccess = up
			g.run(3*time.Second, func() bool { return g.row.State == Promoted })
			assert.Equal(t, g.row.Term, g.primaryTerm())
		})
	}
	t.Run("after", func(t *testing.T) {
		g := newTestGroup(t, 3)
		g.run(time.Second, nil)
		g.down["E1"] = true
		g.run(2*time.Second, func() bool {
			if g.primaryTerm() > 1 {
				g.tableAccess = down
			}
			return g.primaryTerm() > 1
		})
		g.run(5*time.Second, nil)
		g.tableAccess = up
		g.run(3*time.Second, func() bool { return g.row.State == Promoted })
	})
}

// Instances that start attempts at the same time without the table can fence each
// other out. One of them must succeed, and no further promotion may follow.
func TestRacingPromotersConverge(t *testing.T) {
	g := newTestGroup(t, 4)
	for _, c := range g.cores {
		c.cfg.Stagger, c.cfg.Jitter = 1, 1
	}
	g.run(time.Second, nil)
	g.tableAccess = func(bool) (bool, bool) { return false, false }
	g.down["E1"] = true
	g.run(5*time.Second, func() bool { p, _ := g.cores["I1"].Primary(); return p != "" && p != "E1" })
	term := g.primaryTerm()
	g.run(5*time.Second, nil)
	assert.Equal(t, g.primaryTerm(), term, "no promotion after the first")
}

// The chosen endpoint goes down without having responded to the promote command. The
// attempt must not promote another endpoint in the same term, because the first one
// may already have been promoted in it.
func TestChosenEndpointFails(t *testing.T) {
	g := newTestGroup(t, 1)
	g.run(time.Second, nil)
	g.statuses["E2"].Received = 11
	g.down["E1"], g.dropPromote["E2"] = true, true
	g.run(2*time.Second, g.sent("promote E2 2"))
	g.statuses["E2"].Received, g.dropPromote["E2"] = 11, false
	g.down["E2"], g.down["E1"] = true, false
	g.run(5*time.Second, func() bool { return g.primaryTerm() > 2 })
	for _, l := range g.commands {
		assert.Assert(t, l != "promote E1 2" && l != "promote E3 2", l)
	}
}

// An attempt that fenced one endpoint only and then stopped leaves that endpoint above
// the primary's term, where it cannot follow. Another promotion must bring it back.
func TestRepairAfterPartialFence(t *testing.T) {
	g := newTestGroup(t, 3)
	g.run(time.Second, nil)
	g.statuses["E3"].FenceTerm, g.statuses["E3"].FenceOwner = 2, "gone"
	g.run(2*time.Second, nil)
	assert.Equal(t, g.primaryTerm(), fleet.Term(1), "another promoter must get time to finish")
	g.run(4*time.Second, func() bool {
		return g.primaryTerm() == 3 && g.statuses["E3"].Term == 3 && g.statuses["E3"].Primary != ""
	})
	assert.Equal(t, g.statuses["E1"].Role, fleet.RolePrimary, "the primary keeps its role")
}

// A promoter that was paused must not count grants that arrive after the deadline of
// its attempt.
func TestLateFenceResponsesDoNotCount(t *testing.T) {
	g := newTestGroup(t, 1)
	g.run(time.Second, nil)
	g.down["E1"], g.down["E2"], g.down["E3"] = true, true, true
	g.run(2*time.Second, func() bool { return g.cores["I1"].phase == fencing })
	c := g.cores["I1"]
	for _, e := range g.endpointIDs {
		s := fleet.EndpointStatus{Endpoint: e, Term: 1, FenceTerm: c.claim.Term, FenceOwner: c.fenceOwner, LastLogTerm: 1, Received: 10, Role: fleet.RoleReplica}
		for _, a := range c.Step(g.now+c.cfg.FenceTimeout, FenceResponse{Attempt: c.attempt, Endpoint: e, Result: OK, Status: s}) {
			_, promote := a.(Promote)
			assert.Assert(t, !promote)
		}
	}
}

// A leaving primary is fenced first and replaced once the replicas have received its
// last log entries; a leaving endpoint is not chosen (guarantee G11).
func TestPlannedPromotionOfLeavingPrimary(t *testing.T) {
	g := newTestGroup(t, 3)
	g.run(time.Second, nil)
	g.statuses["E1"].Received = 13
	for _, id := range g.instanceIDs {
		g.step(id, LeavingEndpoints{Endpoints: []fleet.EndpointID{"E1"}})
	}
	g.run(time.Second, g.sent("fence E1 2"))
	assert.Assert(t, !slices.Contains(g.commands, "fence E2 2"), "the replicas must still receive the log")
	g.statuses["E2"].Received, g.statuses["E3"].Received = 13, 13
	g.run(time.Second, g.isPrimaryEverywhere("E2"))
	g.run(time.Second, func() bool { return g.statuses["E1"].Role == fleet.RoleReplica })
	assert.Equal(t, g.primaryTerm(), fleet.Term(2))
}

// Guards against acknowledged commits that are lost because the only replica that has them is
// leaving (review/2, played against the project's own interface). A commit is acknowledged
// once a second endpoint has it.
func TestLeavingEndpointWithAcknowledgedCommitsIsPromoted(t *testing.T) {
	g := newTestGroup(t, 3)
	g.run(time.Second, nil)
	g.statuses["E1"].Received, g.statuses["E2"].Received = 13, 13
	for _, id := range g.instanceIDs {
		g.step(id, LeavingEndpoints{Endpoints: []fleet.EndpointID{"E2"}})
	}
	g.down["E1"] = true
	g.run(2*time.Second, g.isPrimaryEverywhere("E2"))
}

// An endpoint that lost its log must not follow the primary before the other endpoints
// have confirmed the term; it could follow an old primary.
func TestEndpointWithLostLogFollowsAfterConfirmation(t *testing.T) {
	g := newTestGroup(t, 3)
	g.run(time.Second, nil)
	*g.statuses["E3"] = fleet.EndpointStatus{Endpoint: "E3", Role: fleet.RoleReplica, Joining: true}
	g.run(time.Second, nil)
	assert.Equal(t, len(g.commands), 0, "must wait for running attempts to end")
	g.run(3*time.Second, g.sent("follow E3 1"))
	assert.Assert(t, slices.Index(g.commands, "confirm E2 1") >= 0)
}

// A new group, whose endpoints have no log and no term, must get a primary.
func TestNewGroupGetsAPrimary(t *testing.T) {
	g := newTestGroup(t, 4)
	for _, e := range g.endpointIDs {
		*g.statuses[e] = fleet.EndpointStatus{Endpoint: e, Role: fleet.RoleReplica}
	}
	g.run(2*time.Second, func() bool { return g.primaryTerm() == 1 })
	g.run(5*time.Second, nil)
	assert.Equal(t, g.primaryTerm(), fleet.Term(1))
}

// A minority of endpoints must not be enough for a promotion, and terms must not be used
// up quickly while no majority can be reached.
func TestNoPromotionWithoutMajority(t *testing.T) {
	g := newTestGroup(t, 4)
	g.run(time.Second, nil)
	g.down["E1"], g.down["E2"] = true, true
	g.run(30*time.Second, nil)
	assert.Equal(t, g.primaryTerm(), fleet.Term(1))
	t.Logf("fence term after 30 s: %d", g.statuses["E3"].FenceTerm)
	assert.Assert(t, g.statuses["E3"].FenceTerm < 40, "attempts must back off")
	g.down["E2"] = false
	g.run(4*time.Second, func() bool { return g.primaryTerm() > 1 })
}
