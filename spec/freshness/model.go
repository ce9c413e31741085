// Package freshness models control state: the rollout of bundles and of urgent
// withdrawals while instances restart, are partitioned or leave, with the table
// available or not. It runs the real cores of core/controlstate.
//
// Time advances for all instances together in steps of one second; within a
// second, events can occur in any order. A call between instances runs at the
// callee and is answered at once, late or never.
package freshness

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/controlstate"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/spec/search"
)

// Bounds limits the state space of the model.
type Bounds struct {
	// Instances is 3 or 4. I1 starts the rollout.
	Instances int
	// Seconds is the simulated time.
	Seconds int
	// Pulls limits the pull rounds, Answers the pull and Accept calls that a peer
	// answers, and Reads the table reads.
	Pulls, Answers, Reads int
	// Restarts limits the restarts that lose all state, Late the answers that stay
	// in flight.
	Restarts, Late int
	// Withdrawal rolls out an urgent withdrawal instead of a bundle.
	Withdrawal bool
	// Table makes the table available at the start. Outage lets the table change
	// twice between available and unavailable; without it, the table stays as it is.
	Table, Outage bool
	// Lists removes the last instance from the instance list; the instances learn of
	// this at different times.
	Lists bool
	// StaleRow allows reads of a recovered table before a witness has written the
	// withdrawal to it. This is the known limit stated in docs/design.md.
	StaleRow bool
	Fresh    controlstate.Mutation
}

const (
	second      = time.Second
	maxProofAge = 3 * second
	horizon     = 40 * second
	key         = fleet.KeyID("k")
)

// instance is immutable, since states share it.
type instance struct {
	core      *controlstate.Core
	installed controlstate.State
	run       uint8
	round     uint64
	// toFetch is the state requested by Fetch that is not yet installed.
	toFetch controlstate.State
	key     uint64
}

// answer is the answer to a call, to a pull if round > 0 and otherwise to an
// Accept.
type answer struct {
	to, from, run uint8
	round         uint64
	sent          time.Duration
	voting, fresh bool
	proofAge      time.Duration
	state         controlstate.State
}

type state struct {
	bounds    *Bounds
	now       time.Duration
	instances []*instance
	inFlight  []answer
	table     controlstate.State
	tableUp   bool
	// outages counts how often the table has become available or unavailable.
	outages uint8
	// acceptedAt is the time of the acceptance, valid if accepted is set.
	started, accepted bool
	acceptedAt        time.Duration
	pulls, answers    uint8
	reads             uint8
	restarts, late    uint8
	hasShortList      uint8 // bit i is set once instance i has the shorter instance list
}

// target returns the control state that the rollout installs.
func (b *Bounds) target() controlstate.State {
	if b.Withdrawal {
		return controlstate.State{Bundle: 1, Withdrawn: []fleet.KeyID{key}}
	}
	return controlstate.State{Bundle: 2}
}

// Initial returns the state in which bundle 1 is in force on every instance and
// every instance has a freshness proof as of the start.
func Initial(b Bounds) []search.State {
	s := &state{bounds: &b, now: 10 * second, table: controlstate.State{Bundle: 1}, tableUp: b.Table}
	for i := range b.Instances {
		in := s.newInstance(i, 0)
		in.core = s.newCore(i, second)
		in.core.Step(second, controlstate.InstanceList{IDs: s.instanceList(false)})
		in.installed = controlstate.State{Bundle: 1}
		in.core.Step(s.now, controlstate.Installed{State: in.installed})
		in.core.Step(s.now, controlstate.TableRead{Start: s.now, State: in.installed})
		s.instances = append(s.instances, in)
		s.updateKey(i)
	}
	return []search.State{s}
}

func (s *state) newCore(i int, now time.Duration) *controlstate.Core {
	return controlstate.New(controlstate.Config{Self: instanceID(i), MaxProofAge: maxProofAge, SettleTime: second, Mutation: s.bounds.Fresh}, now)
}

func (s *state) newInstance(i int, run uint8) *instance {
	in := &instance{core: s.newCore(i, s.now), run: run}
	in.core.Step(s.now, controlstate.InstanceList{IDs: s.instanceList(s.hasShortList&(1<<i) != 0)})
	return in
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("I%d", i+1)) }

// instanceList returns the instance list; the short one lacks the last instance.
func (s *state) instanceList(short bool) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for i := range s.bounds.Instances {
		if !short || i < s.bounds.Instances-1 {
			ids = append(ids, instanceID(i))
		}
	}
	return ids
}

func (s *state) clone() *state {
	c := *s
	c.instances = slices.Clone(s.instances)
	c.inFlight = slices.Clone(s.inFlight)
	return &c
}

// copyInstance replaces instance i with a copy that the caller may modify. The
// caller calls updateKey after the change.
func (s *state) copyInstance(i int) *instance {
	c := *s.instances[i]
	c.core = c.core.Clone()
	s.instances[i] = &c
	return &c
}

// updateKey recomputes the key of instance i.
func (s *state) updateKey(i int) {
	in := s.instances[i]
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], search.CoreKey(in.core, s.now, horizon, horizon))
	b[8], b[9], b[10] = byte(in.installed.Bundle), byte(len(in.installed.Withdrawn)), in.run
	b[11], b[12] = byte(in.toFetch.Bundle), byte(len(in.toFetch.Withdrawn))
	binary.LittleEndian.PutUint64(b[16:], in.round)
	in.key = xxhash.Sum64(b[:])
}

// Key implements search.State. It includes the time since the acceptance; all
// other times are in the cores, whose keys are relative to now.
func (s *state) Key() uint64 {
	buf := make([]byte, 0, 256)
	for _, in := range s.instances {
		buf = binary.LittleEndian.AppendUint64(buf, in.key)
	}
	since := time.Duration(0)
	if s.accepted {
		since = s.now - s.acceptedAt
	}
	buf = append(buf, byte(s.now/second), byte(since/second), s.pulls, s.answers, s.reads, s.restarts, s.late, s.hasShortList, s.outages)
	buf = append(buf, byte(s.table.Bundle), byte(len(s.table.Withdrawn)), bit(s.tableUp), bit(s.started), bit(s.accepted))
	for _, a := range s.inFlight {
		buf = append(buf, a.to, a.from, a.run, byte(a.round), byte((s.now-a.sent)/second), bit(a.voting), bit(a.fresh), byte(a.proofAge/second), byte(a.state.Bundle), byte(len(a.state.Withdrawn)))
	}
	return xxhash.Sum64(buf)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// step passes an event to instance i and performs the resulting actions.
func (s *state) step(i int, e controlstate.Event) {
	in := s.copyInstance(i)
	s.perform(i, in, in.core.Step(s.now, e))
	s.updateKey(i)
}

// perform records the state to fetch and the acceptance of the rollout.
func (s *state) perform(i int, in *instance, actions []controlstate.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case controlstate.Fetch:
			in.toFetch.Bundle = max(in.toFetch.Bundle, a.State.Bundle)
			if len(a.State.Withdrawn) > 0 {
				in.toFetch.Withdrawn = a.State.Withdrawn
			}
		case controlstate.Accepted:
			s.accepted, s.acceptedAt = true, s.now
		}
	}
}

// install adds st to the installed state of instance i and reports it to the core.
func (s *state) install(i int, in *instance, st controlstate.State) {
	in.installed.Bundle = max(in.installed.Bundle, st.Bundle)
	if len(st.Withdrawn) > 0 {
		in.installed.Withdrawn = []fleet.KeyID{key}
	}
	if includes(in.installed, in.toFetch) {
		in.toFetch = controlstate.State{}
	}
	s.perform(i, in, in.core.Step(s.now, controlstate.Installed{State: in.installed}))
}

// Values of search.Step.Kind.
const (
	kindSecond = iota
	kindStartRollout
	kindWriteRow
	kindTableRead
	kindPull
	kindPullAnswer
	kindAccept
	kindSendLate
	kindDeliverLate
	kindRestart
	kindTableUp
	kindTableDown
	kindShortList
	kindInstall
)

// Next implements search.State.
func (s *state) Next(visit func(search.Step, search.State)) {
	if s.now < 10*second+time.Duration(s.bounds.Seconds)*second {
		n := s.clone()
		n.now += second
		for i := range n.instances {
			n.step(i, controlstate.Tick{})
		}
		visit(search.Step{Kind: kindSecond}, n)
	}
	s.nextRollout(visit)
	s.nextTable(visit)
	s.nextCalls(visit)
	for j, a := range s.inFlight {
		n := s.clone()
		n.inFlight = slices.Delete(n.inFlight, j, j+1)
		n.deliver(a)
		visit(search.Step{Kind: kindDeliverLate, A: a.from, B: a.to}, n)
	}
	for i, in := range s.instances {
		if includes(in.installed, in.toFetch) {
			continue
		}
		n := s.clone()
		e := n.copyInstance(i)
		n.install(i, e, e.toFetch)
		n.updateKey(i)
		visit(search.Step{Kind: kindInstall, A: uint8(i)}, n)
	}
	s.nextFaults(visit)
}

func (s *state) nextRollout(visit func(search.Step, search.State)) {
	if !s.started {
		n := s.clone()
		n.started = true
		in := n.copyInstance(0)
		n.install(0, in, s.bounds.target())
		// A withdrawal needs its row in the table too while the table is available.
		n.perform(0, in, in.core.Step(n.now, controlstate.Rollout{ID: 1, State: s.bounds.target(), NeedRow: !s.bounds.Withdrawal || s.tableUp}))
		n.updateKey(0)
		visit(search.Step{Kind: kindStartRollout}, n)
	}
}

func (s *state) nextTable(visit func(search.Step, search.State)) {
	if s.bounds.Outage && s.outages < 2 {
		n := s.clone()
		n.outages++
		n.tableUp = !s.tableUp
		kind := uint8(kindTableDown)
		if n.tableUp {
			kind = kindTableUp
			if s.started && s.bounds.Withdrawal && !s.bounds.StaleRow {
				// A witness retries the write until the table is available, so the row is
				// written before the first read.
				n.table = s.bounds.target()
			}
		}
		visit(search.Step{Kind: kind}, n)
	}
	if !s.tableUp {
		return
	}
	if s.started && s.instances[0].run == 0 && !s.accepted && !includes(s.table, s.bounds.target()) {
		n := s.clone()
		n.table = s.bounds.target()
		n.step(0, controlstate.RowWritten{ID: 1})
		visit(search.Step{Kind: kindWriteRow}, n)
	}
	if int(s.reads) >= s.bounds.Reads {
		return
	}
	for i := range s.instances {
		n := s.clone()
		n.reads++
		n.step(i, controlstate.TableRead{Start: s.now, State: s.table})
		visit(search.Step{Kind: kindTableRead, A: uint8(i)}, n)
	}
}

// includes reports whether have includes everything in want.
func includes(have, want controlstate.State) bool {
	return have.Bundle >= want.Bundle && len(have.Withdrawn) >= len(want.Withdrawn)
}

func (s *state) nextCalls(visit func(search.Step, search.State)) {
	if int(s.pulls) < s.bounds.Pulls {
		for i := range s.instances {
			n := s.clone()
			n.pulls++
			in := n.copyInstance(i)
			in.round = uint64(n.pulls)
			n.perform(i, in, in.core.Step(s.now, controlstate.PullStarted{Round: in.round}))
			n.updateKey(i)
			visit(search.Step{Kind: kindPull, A: uint8(i)}, n)
		}
	}
	if int(s.answers) >= s.bounds.Answers {
		return
	}
	for i, in := range s.instances {
		for j := range s.instances {
			if i == j {
				continue
			}
			if in.round > 0 {
				s.call(visit, i, j, in.round, kindPullAnswer)
			}
			if i == 0 && s.started && !s.accepted && in.run == 0 {
				s.call(visit, i, j, 0, kindAccept)
			}
		}
	}
}

// call runs a pull (round > 0) or an Accept call of instance i at instance j. The
// answer arrives at once or, within the limit, stays in flight.
func (s *state) call(visit func(search.Step, search.State), i, j int, round uint64, kind uint8) {
	n := s.clone()
	n.answers++
	if round == 0 {
		in := n.copyInstance(j)
		n.install(j, in, s.bounds.target())
		n.updateKey(j)
	}
	peer := n.instances[j]
	a := answer{to: uint8(i), from: uint8(j), run: n.instances[i].run, round: round, sent: s.now, voting: peer.core.Voting(), state: peer.installed}
	a.proofAge, a.fresh = peer.core.ProofAge(s.now)
	if int(s.late) < s.bounds.Late {
		l := n.clone()
		l.late++
		l.inFlight = append(l.inFlight, a)
		visit(search.Step{Kind: kindSendLate, A: uint8(j), B: uint8(i), C: uint8(bit(round > 0))}, l)
	}
	n.deliver(a)
	visit(search.Step{Kind: kind, A: uint8(j), B: uint8(i)}, n)
}

// deliver passes an answer to the caller unless it has restarted since the call.
func (s *state) deliver(a answer) {
	i := int(a.to)
	if s.instances[i].run != a.run {
		return
	}
	if a.round > 0 {
		s.step(i, controlstate.PullAnswer{Round: a.round, From: instanceID(int(a.from)), Voting: a.voting, Fresh: a.fresh, ProofAge: a.proofAge, State: a.state})
		return
	}
	s.step(i, controlstate.WitnessAck{From: instanceID(int(a.from)), Sent: a.sent, Voting: a.voting, State: a.state})
}

func (s *state) nextFaults(visit func(search.Step, search.State)) {
	for i := range s.instances {
		if int(s.restarts) < s.bounds.Restarts {
			n := s.clone()
			n.restarts++
			n.instances[i] = n.newInstance(i, s.instances[i].run+1)
			n.updateKey(i)
			visit(search.Step{Kind: kindRestart, A: uint8(i)}, n)
		}
		if s.bounds.Lists && s.hasShortList&(1<<i) == 0 {
			n := s.clone()
			n.hasShortList |= 1 << i
			n.step(i, controlstate.InstanceList{IDs: n.instanceList(true)})
			visit(search.Step{Kind: kindShortList, A: uint8(i)}, n)
		}
	}
}

// Check implements search.State. It verifies two rules:
//   - G13: An instance that is fresh as of a time after the acceptance has the
//     accepted state.
//   - G6: An instance serves keyed requests without that state for at most
//     maxProofAge after the acceptance.
func (s *state) Check() string {
	if !s.accepted {
		return ""
	}
	for i, in := range s.instances {
		if !in.core.IsFresh(s.now) || includes(in.installed, s.bounds.target()) {
			continue
		}
		if asOf := in.core.ProofExpiry() - maxProofAge; asOf > s.acceptedAt {
			return fmt.Sprintf("G13: I%d is fresh as of second %d without the state accepted at second %d", i+1, asOf/second, s.acceptedAt/second)
		}
		if s.now >= s.acceptedAt+maxProofAge {
			return fmt.Sprintf("G6: I%d serves keyed requests at second %d without the state accepted at second %d", i+1, s.now/second, s.acceptedAt/second)
		}
	}
	return ""
}

// DescribeStep returns the text for a step in the printed trace of a violation.
func DescribeStep(s search.Step) string {
	switch s.Kind {
	case kindSecond:
		return "one second passes"
	case kindStartRollout:
		return "I1 starts the rollout"
	case kindWriteRow:
		return "I1 writes the row"
	case kindTableRead:
		return fmt.Sprintf("I%d reads the table", s.A+1)
	case kindPull:
		return fmt.Sprintf("I%d starts a pull round", s.A+1)
	case kindPullAnswer:
		return fmt.Sprintf("I%d answers the pull of I%d", s.A+1, s.B+1)
	case kindAccept:
		return fmt.Sprintf("I%d installs the rollout and answers I%d", s.A+1, s.B+1)
	case kindSendLate:
		return fmt.Sprintf("I%d answers a call of I%d; the answer stays in flight", s.A+1, s.B+1)
	case kindDeliverLate:
		return fmt.Sprintf("the late answer of I%d reaches I%d", s.A+1, s.B+1)
	case kindRestart:
		return fmt.Sprintf("I%d restarts without state", s.A+1)
	case kindTableUp:
		return "the table becomes available"
	case kindTableDown:
		return "the table becomes unavailable"
	case kindInstall:
		return fmt.Sprintf("I%d installs the fetched state", s.A+1)
	case kindShortList:
		return fmt.Sprintf("I%d receives the instance list without the last instance", s.A+1)
	}
	return "unknown step"
}
