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

// world runs cores against three endpoints in virtual time, 10 ms per step.
// Endpoints answer at once; down and cut make them silent.
type world struct {
	t    *testing.T
	now  time.Duration
	eps  map[fleet.EndpointID]*fleet.EndpointStatus
	ids  []fleet.EndpointID
	down map[fleet.EndpointID]bool
	// cut[i][e] cuts instance i from endpoint e.
	cut     map[fleet.InstanceID]map[fleet.EndpointID]bool
	cores   map[fleet.InstanceID]*Core
	names   []fleet.InstanceID
	row     Row
	version uint64
	// table decides on a call: answered, effect without answer, or nothing.
	table func(write bool) (effect, answer bool)
	// dropPromote loses PROMOTE at these endpoints.
	dropPromote map[fleet.EndpointID]bool
	log         []string
	paused      map[fleet.InstanceID]bool
}

func newWorld(t *testing.T, instances int) *world {
	w := &world{
		t: t, now: time.Second, ids: []fleet.EndpointID{"E1", "E2", "E3"},
		eps: map[fleet.EndpointID]*fleet.EndpointStatus{}, down: map[fleet.EndpointID]bool{},
		cut: map[fleet.InstanceID]map[fleet.EndpointID]bool{}, cores: map[fleet.InstanceID]*Core{},
		dropPromote: map[fleet.EndpointID]bool{}, paused: map[fleet.InstanceID]bool{},
		table: func(bool) (bool, bool) { return true, true },
	}
	var cfg []Endpoint
	for _, e := range w.ids {
		w.eps[e] = &fleet.EndpointStatus{Endpoint: e, Role: fleet.RoleReplica, Term: 1, FenceTerm: 1, LastLogTerm: 1, Received: 10, Primary: "E1"}
		cfg = append(cfg, Endpoint{ID: e, Addr: string(e)})
	}
	w.eps["E1"].Role, w.eps["E1"].Primary = fleet.RolePrimary, ""
	for i := range instances {
		id := fleet.InstanceID(fmt.Sprintf("I%d", i+1))
		w.names = append(w.names, id)
		w.cut[id] = map[fleet.EndpointID]bool{}
		w.cores[id] = New(Config{Group: "g", Self: id, RunID: "r", Endpoints: cfg, Seed: uint64(i)})
	}
	return w
}

// run lets time pass until done, for at most d; it returns the time taken.
func (w *world) run(d time.Duration, done func() bool) time.Duration {
	for began := w.now; ; w.now += 10 * ms {
		if done != nil && done() {
			return w.now - began
		}
		if w.now-began >= d {
			assert.Assert(w.t, done == nil, "not done after %v: %v", d, w.log)
			return d
		}
		for _, id := range w.names {
			w.turn(id)
		}
	}
}

func (w *world) turn(id fleet.InstanceID) {
	if w.paused[id] {
		return
	}
	w.step(id, Members{Answering: w.names, Listed: len(w.names)})
	if w.now%(100*ms) == 0 {
		for _, e := range w.ids {
			if w.reaches(id, e) {
				w.step(id, Status{Status: *w.eps[e]})
			}
		}
		for _, p := range w.names {
			if p != id && !w.paused[p] {
				primary, t := w.cores[p].LastKnown()
				w.step(id, PeerView{From: p, Term: t, Primary: primary, Suspected: w.cores[p].SuspectsPrimary(), MaxFenceTerm: w.cores[p].MaxFenceTerm()})
			}
		}
	}
	w.step(id, Tick{})
}

func (w *world) reaches(id fleet.InstanceID, e fleet.EndpointID) bool {
	return !w.down[e] && !w.cut[id][e]
}

func (w *world) step(id fleet.InstanceID, e Event) {
	for _, a := range w.cores[id].Step(w.now, e) {
		w.perform(id, a)
	}
}

func (w *world) perform(id fleet.InstanceID, a Action) {
	switch a := a.(type) {
	case ReadRow:
		_, answer := w.table(false)
		w.answerRow(id, a.Attempt, OK, answer)
	case Claim:
		w.put(id, a.Attempt, a.Row, a.IfVersion)
	case Publish:
		w.put(id, a.Attempt, a.Row, a.IfVersion)
	case Fence:
		w.log = append(w.log, fmt.Sprintf("fence %s %d", a.Endpoint, a.Term))
		r := w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if a.Term > s.FenceTerm {
				s.FenceTerm, s.FenceOwner = a.Term, a.Owner
			}
			return s.FenceTerm == a.Term && s.FenceOwner == a.Owner
		})
		w.step(id, FenceResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *w.eps[a.Endpoint]})
	case Promote:
		w.log = append(w.log, fmt.Sprintf("promote %s %d", a.Endpoint, a.Term))
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
		w.step(id, PromoteResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *w.eps[a.Endpoint]})
	case Follow:
		w.log = append(w.log, fmt.Sprintf("follow %s %d", a.Endpoint, a.Term))
		w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool {
			if a.Term < s.FenceTerm {
				return false
			}
			p := w.eps[a.Primary]
			*s = fleet.EndpointStatus{Endpoint: a.Endpoint, Role: fleet.RoleReplica, Term: a.Term, FenceTerm: a.Term, FenceOwner: s.FenceOwner, LastLogTerm: p.LastLogTerm, Received: p.Received, Primary: a.PrimaryAddr}
			return true
		})
	case Confirm:
		w.log = append(w.log, fmt.Sprintf("confirm %s %d", a.Endpoint, a.Term))
		r := w.command(id, a.Endpoint, func(s *fleet.EndpointStatus) bool { return s.FenceTerm == a.Term })
		w.step(id, ConfirmResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: r, Status: *w.eps[a.Endpoint]})
	}
}

func (w *world) command(id fleet.InstanceID, e fleet.EndpointID, f func(*fleet.EndpointStatus) bool) Result {
	switch {
	case !w.reaches(id, e):
		return NoResponse
	case f(w.eps[e]):
		return OK
	}
	return Refused
}

func (w *world) put(id fleet.InstanceID, attempt uint64, row Row, ifVersion uint64) {
	effect, answer := w.table(true)
	r := Refused
	if effect && w.version == ifVersion {
		w.row, w.version, r = row, w.version+1, OK
	}
	w.answerRow(id, attempt, r, answer)
}

func (w *world) answerRow(id fleet.InstanceID, attempt uint64, r Result, answer bool) {
	if !answer {
		r = NoResponse
	}
	w.step(id, RowResponse{Attempt: attempt, Result: r, Row: w.row, Version: w.version})
}

// primary returns a condition: e serves, and every instance knows it.
func (w *world) primary(e fleet.EndpointID) func() bool {
	return func() bool {
		for _, id := range w.names {
			if p, _ := w.cores[id].Primary(); p != e {
				return false
			}
		}
		return true
	}
}

func (w *world) primaryTerm() fleet.Term {
	var t fleet.Term
	for _, s := range w.eps {
		if s.Role == fleet.RolePrimary {
			t = max(t, s.Term)
		}
	}
	return t
}

func (w *world) logged(entry string) func() bool {
	return func() bool { return slices.Contains(w.log, entry) }
}

// Guards the failover gap: the decisions alone must leave room below 2 s.
func TestDeadPrimaryIsReplacedByTheLatestLog(t *testing.T) {
	w := newWorld(t, 4)
	w.run(time.Second, nil)
	w.eps["E3"].Received, w.eps["E1"].Received = 12, 12
	w.down["E1"] = true
	gap := w.run(1500*ms, w.primary("E3"))
	t.Logf("gap %v", gap)
	w.run(2*time.Second, func() bool { return w.row.State == Promoted && w.row.Primary == "E3" })
	assert.Equal(t, w.eps["E2"].Primary, "E3")

	// The old primary comes back and is told to follow.
	w.down["E1"] = false
	w.run(time.Second, func() bool { return w.eps["E1"].Role == fleet.RoleReplica && w.eps["E1"].Primary == "E3" })
	w.run(5*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), w.row.Term, "no further promotion")
}

// Guards against an instance that promotes because it alone is cut off.
func TestIsolatedInstanceStartsNoPromotion(t *testing.T) {
	w := newWorld(t, 4)
	w.run(time.Second, nil)
	for _, e := range w.ids {
		w.cut["I1"][e] = true
	}
	w.run(10*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1))
	assert.Equal(t, len(w.log), 0)
}

// Guards against two primaries when one instance sits beside the old primary.
func TestOldPrimaryBesideAnInstance(t *testing.T) {
	w := newWorld(t, 4)
	w.run(time.Second, nil)
	for _, id := range w.names[1:] {
		w.cut[id]["E1"] = true
	}
	w.cut["I1"]["E2"], w.cut["I1"]["E3"] = true, true
	w.run(3*time.Second, func() bool { return w.primaryTerm() == 2 })
	w.run(3*time.Second, nil)
	assert.Equal(t, w.eps["E1"].FenceTerm, fleet.Term(1), "the old primary cannot be reached")
	p, _ := w.cores["I1"].Primary()
	assert.Equal(t, p, fleet.EndpointID("E1"), "the instance beside it cannot know better")
	clear(w.cut["I1"])
	for _, id := range w.names {
		clear(w.cut[id])
	}
	w.run(3*time.Second, func() bool { return w.eps["E1"].Role == fleet.RoleReplica && w.eps["E1"].Term == 2 })
}

// Guards against a promotion that waits for the store.
func TestTableDownBeforeDuringAndAfter(t *testing.T) {
	up := func(bool) (bool, bool) { return true, true }
	down := func(bool) (bool, bool) { return false, false }
	for name, table := range map[string]func(bool) (bool, bool){
		"before":      down,
		"lost answer": func(write bool) (bool, bool) { return true, !write },
		"during":      func(write bool) (bool, bool) { return false, !write },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.run(time.Second, nil)
			w.table, w.down["E1"] = table, true
			w.run(2*time.Second, func() bool { return w.primaryTerm() > 1 })
			w.run(2*time.Second, nil)
			w.table = up
			w.run(3*time.Second, func() bool { return w.row.State == Promoted })
			assert.Equal(t, w.row.Term, w.primaryTerm())
		})
	}
	t.Run("after", func(t *testing.T) {
		w := newWorld(t, 3)
		w.run(time.Second, nil)
		w.down["E1"] = true
		w.run(2*time.Second, func() bool {
			if w.primaryTerm() > 1 {
				w.table = down
			}
			return w.primaryTerm() > 1
		})
		w.run(5*time.Second, nil)
		w.table = up
		w.run(3*time.Second, func() bool { return w.row.State == Promoted })
	})
}

// Guards against two promoters that keep fencing each other out.
func TestRacingPromotersConverge(t *testing.T) {
	w := newWorld(t, 4)
	for _, c := range w.cores {
		c.cfg.Stagger, c.cfg.Jitter = 1, 1
	}
	w.run(time.Second, nil)
	w.table = func(bool) (bool, bool) { return false, false }
	w.down["E1"] = true
	w.run(5*time.Second, func() bool { p, _ := w.cores["I1"].Primary(); return p != "" && p != "E1" })
	term := w.primaryTerm()
	w.run(5*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), term, "no promotion after the first")
}

// Guards against a second primary of one term when the chosen endpoint dies.
func TestChosenEndpointDies(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second, nil)
	w.eps["E2"].Received = 11
	w.down["E1"], w.dropPromote["E2"] = true, true
	w.run(2*time.Second, w.logged("promote E2 2"))
	w.eps["E2"].Received, w.dropPromote["E2"] = 11, false
	w.down["E2"], w.down["E1"] = true, false
	w.run(5*time.Second, func() bool { return w.primaryTerm() > 2 })
	for _, l := range w.log {
		assert.Assert(t, l != "promote E1 2" && l != "promote E3 2", l)
	}
}

// Guards against an endpoint that stays out after an attempt that reached it
// alone.
func TestFenceReachedOneEndpointOnly(t *testing.T) {
	w := newWorld(t, 3)
	w.run(time.Second, nil)
	w.eps["E3"].FenceTerm, w.eps["E3"].FenceOwner = 2, "gone"
	w.run(2*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1), "another promoter gets time to finish")
	w.run(4*time.Second, func() bool { return w.primaryTerm() == 3 && w.eps["E3"].Term == 3 && w.eps["E3"].Primary != "" })
	assert.Equal(t, w.eps["E1"].Role, fleet.RolePrimary, "the primary keeps its role")
}

// Guards against grants that are counted long after they were given.
func TestPausedPromoterCountsNoLateAnswer(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second, nil)
	w.down["E1"], w.down["E2"], w.down["E3"] = true, true, true
	w.run(2*time.Second, func() bool { return w.cores["I1"].phase == fencing })
	c := w.cores["I1"]
	for _, e := range w.ids {
		s := fleet.EndpointStatus{Endpoint: e, Term: 1, FenceTerm: c.claim.Term, FenceOwner: c.fenceOwner, LastLogTerm: 1, Received: 10, Role: fleet.RoleReplica}
		for _, a := range c.Step(w.now+c.cfg.FenceTimeout, FenceResponse{Attempt: c.attempt, Endpoint: e, Result: OK, Status: s}) {
			_, promote := a.(Promote)
			assert.Assert(t, !promote)
		}
	}
}

// Guards G11: a leaving primary is handed over, its last entries included, and
// a leaving endpoint is not chosen.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	w := newWorld(t, 3)
	w.run(time.Second, nil)
	w.eps["E1"].Received = 13
	for _, id := range w.names {
		w.step(id, LeavingEndpoints{Endpoints: []fleet.EndpointID{"E1"}})
	}
	w.run(time.Second, w.logged("fence E1 2"))
	assert.Assert(t, !slices.Contains(w.log, "fence E2 2"), "replicas still receive")
	w.eps["E2"].Received, w.eps["E3"].Received = 13, 13
	w.run(time.Second, w.primary("E2"))
	w.run(time.Second, func() bool { return w.eps["E1"].Role == fleet.RoleReplica })
	assert.Equal(t, w.primaryTerm(), fleet.Term(2))
}

// Guards against an endpoint without its log that joins before the others
// confirmed the term.
func TestLostLogJoinsAfterConfirmation(t *testing.T) {
	w := newWorld(t, 3)
	w.run(time.Second, nil)
	*w.eps["E3"] = fleet.EndpointStatus{Endpoint: "E3", Role: fleet.RoleReplica, Joining: true}
	w.run(time.Second, nil)
	assert.Equal(t, len(w.log), 0, "waits for open attempts to end")
	w.run(3*time.Second, w.logged("follow E3 1"))
	assert.Assert(t, slices.Index(w.log, "confirm E2 1") >= 0)
}

// Guards against a new group that never gets a primary.
func TestNewGroupGetsAPrimary(t *testing.T) {
	w := newWorld(t, 4)
	for _, e := range w.ids {
		*w.eps[e] = fleet.EndpointStatus{Endpoint: e, Role: fleet.RoleReplica}
	}
	w.run(2*time.Second, func() bool { return w.primaryTerm() == 1 })
	w.run(5*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1))
}

// Guards against a promotion by a minority, and against terms that are used up
// while no majority can be reached.
func TestNoMajorityOfEndpoints(t *testing.T) {
	w := newWorld(t, 4)
	w.run(time.Second, nil)
	w.down["E1"], w.down["E2"] = true, true
	w.run(30*time.Second, nil)
	assert.Equal(t, w.primaryTerm(), fleet.Term(1))
	t.Logf("fence term after 30 s: %d", w.eps["E3"].FenceTerm)
	assert.Assert(t, w.eps["E3"].FenceTerm < 40, "attempts back off")
	w.down["E2"] = false
	w.run(4*time.Second, func() bool { return w.primaryTerm() > 1 })
}
