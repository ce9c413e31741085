// Package freshness is the model of control state: bundles and urgent
// withdrawals that are accepted while instances restart, are cut off or leave,
// with the table up or down. It runs the real cores of core/fresh.
//
// Time passes for all instances together, one second at a time; within a second
// everything can happen in any order. Calls between instances run at the callee
// and are answered at once, late, or never.
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

// Bounds limit one model.
type Bounds struct {
	// Instances is 3 or 4. Instance 1 begins the rollout.
	Instances int
	// Seconds is how long the model runs.
	Seconds int
	// Pulls is the number of pull rounds, Answers that of answered calls, Reads
	// that of table reads.
	Pulls, Answers, Reads int
	// Restarts without state; Late answers.
	Restarts, Late int
	// Withdrawal rolls out an urgent withdrawal instead of a bundle.
	Withdrawal bool
	// Outage lets the table go down and come back; else it is down.
	Table, Outage bool
	// Lists lets the last instance leave the list, which instances learn at
	// different moments.
	Lists bool
	// StaleRow lets a table that comes back be read before a witness has written
	// the withdrawal to it. This is the limit stated in docs/design.md.
	StaleRow bool
	Fresh    controlstate.Mutation
}

const (
	second  = time.Second
	bound   = 3 * second
	horizon = 40 * second
	key     = fleet.KeyID("k")
)

// instance is immutable and shared between states.
type instance struct {
	core  *controlstate.Core
	have  controlstate.State
	run   uint8
	round uint64
	// want is what Fetch asked for and is not yet installed.
	want controlstate.State
	key  uint64
}

// answer is a call's answer in flight: to a pull (round > 0) or to an Accept.
type answer struct {
	to, from, run uint8
	round         uint64
	sent          time.Duration
	counts, fresh bool
	age           time.Duration
	state         controlstate.State
}

type state struct {
	b       *Bounds
	now     time.Duration
	inst    []*instance
	flying  []answer
	table   controlstate.State
	up      bool
	outages uint8
	// begun is set once the rollout has begun, accepted once it was accepted, at
	// acceptedAt.
	begun, accepted bool
	acceptedAt      time.Duration
	pulls, answers  uint8
	reads           uint8
	restarts, late  uint8
	unlisted        uint8 // bit per instance that has seen the shorter list
}

func (b *Bounds) target() controlstate.State {
	if b.Withdrawal {
		return controlstate.State{Bundle: 1, Withdrawn: []fleet.KeyID{key}}
	}
	return controlstate.State{Bundle: 2}
}

// Initial returns the state in which bundle 1 is in force everywhere and every
// instance has a proof from the start of the model.
func Initial(b Bounds) []search.State {
	s := &state{b: &b, now: 10 * second, table: controlstate.State{Bundle: 1}, up: b.Table}
	for i := range b.Instances {
		in := s.newInstance(i, 0)
		in.core = s.core(i, second)
		in.core.Step(second, controlstate.InstanceList{IDs: s.list(false)})
		in.have = controlstate.State{Bundle: 1}
		in.core.Step(s.now, controlstate.Installed{State: in.have})
		in.core.Step(s.now, controlstate.TableRead{Start: s.now, State: in.have})
		s.inst = append(s.inst, in)
		s.seal(i)
	}
	return []search.State{s}
}

func (s *state) core(i int, now time.Duration) *controlstate.Core {
	return controlstate.New(controlstate.Config{Self: id(i), MaxProofAge: bound, SettleTime: second, Mutation: s.b.Fresh}, now)
}

func (s *state) newInstance(i int, run uint8) *instance {
	in := &instance{core: s.core(i, s.now), run: run}
	in.core.Step(s.now, controlstate.InstanceList{IDs: s.list(s.unlisted&(1<<i) != 0)})
	return in
}

func id(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("I%d", i+1)) }

func (s *state) list(short bool) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for i := range s.b.Instances {
		if !short || i < s.b.Instances-1 {
			ids = append(ids, id(i))
		}
	}
	return ids
}

func (s *state) clone() *state {
	c := *s
	c.inst = slices.Clone(s.inst)
	c.flying = slices.Clone(s.flying)
	return &c
}

// edit replaces instance i by a copy; call seal after the change.
func (s *state) edit(i int) *instance {
	c := *s.inst[i]
	c.core = c.core.Clone()
	s.inst[i] = &c
	return &c
}

func (s *state) seal(i int) {
	in := s.inst[i]
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], search.CoreKey(in.core, s.now, horizon, horizon))
	b[8], b[9], b[10] = byte(in.have.Bundle), byte(len(in.have.Withdrawn)), in.run
	b[11], b[12] = byte(in.want.Bundle), byte(len(in.want.Withdrawn))
	binary.LittleEndian.PutUint64(b[16:], in.round)
	in.key = xxhash.Sum64(b[:])
}

// Key implements search.State. The time since the acceptance is part of it, and
// all other times are relative to now inside the cores.
func (s *state) Key() uint64 {
	buf := make([]byte, 0, 256)
	for _, in := range s.inst {
		buf = binary.LittleEndian.AppendUint64(buf, in.key)
	}
	since := time.Duration(0)
	if s.accepted {
		since = s.now - s.acceptedAt
	}
	buf = append(buf, byte(s.now/second), byte(since/second), s.pulls, s.answers, s.reads, s.restarts, s.late, s.unlisted, s.outages)
	buf = append(buf, byte(s.table.Bundle), byte(len(s.table.Withdrawn)), bit(s.up), bit(s.begun), bit(s.accepted))
	for _, a := range s.flying {
		buf = append(buf, a.to, a.from, a.run, byte(a.round), byte((s.now-a.sent)/second), bit(a.counts), bit(a.fresh), byte(a.age/second), byte(a.state.Bundle), byte(len(a.state.Withdrawn)))
	}
	return xxhash.Sum64(buf)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// feed passes an event to instance i and keeps what it asks to fetch.
func (s *state) feed(i int, e controlstate.Event) {
	in := s.edit(i)
	s.perform(i, in, in.core.Step(s.now, e))
	s.seal(i)
}

func (s *state) perform(i int, in *instance, actions []controlstate.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case controlstate.Fetch:
			in.want.Bundle = max(in.want.Bundle, a.State.Bundle)
			if len(a.State.Withdrawn) > 0 {
				in.want.Withdrawn = a.State.Withdrawn
			}
		case controlstate.Accepted:
			s.accepted, s.acceptedAt = true, s.now
		}
	}
}

func (s *state) install(i int, in *instance, st controlstate.State) {
	in.have.Bundle = max(in.have.Bundle, st.Bundle)
	if len(st.Withdrawn) > 0 {
		in.have.Withdrawn = []fleet.KeyID{key}
	}
	if holds(in.have, in.want) {
		in.want = controlstate.State{}
	}
	s.perform(i, in, in.core.Step(s.now, controlstate.Installed{State: in.have}))
}

// Transition kinds.
const (
	kSecond = iota
	kBegin
	kRow
	kTableRead
	kPull
	kPullAnswer
	kAccept
	kSendLate
	kDeliverLate
	kRestart
	kTableUp
	kTableDown
	kList
	kInstall
)

// Next implements search.State.
func (s *state) Next(visit func(search.Step, search.State)) {
	if s.now < 10*second+time.Duration(s.b.Seconds)*second {
		n := s.clone()
		n.now += second
		for i := range n.inst {
			n.feed(i, controlstate.Tick{})
		}
		visit(search.Step{Kind: kSecond}, n)
	}
	s.nextRollout(visit)
	s.nextTable(visit)
	s.nextCalls(visit)
	for j, a := range s.flying {
		n := s.clone()
		n.flying = slices.Delete(n.flying, j, j+1)
		n.deliver(a)
		visit(search.Step{Kind: kDeliverLate, A: a.from, B: a.to}, n)
	}
	for i, in := range s.inst {
		if holds(in.have, in.want) {
			continue
		}
		n := s.clone()
		e := n.edit(i)
		n.install(i, e, e.want)
		n.seal(i)
		visit(search.Step{Kind: kInstall, A: uint8(i)}, n)
	}
	s.nextFaults(visit)
}

func (s *state) nextRollout(visit func(search.Step, search.State)) {
	if !s.begun {
		n := s.clone()
		n.begun = true
		in := n.edit(0)
		n.install(0, in, s.b.target())
		// While the table answers, a withdrawal needs its row as well.
		n.perform(0, in, in.core.Step(n.now, controlstate.Rollout{ID: 1, State: s.b.target(), NeedRow: !s.b.Withdrawal || s.up}))
		n.seal(0)
		visit(search.Step{Kind: kBegin}, n)
	}
}

func (s *state) nextTable(visit func(search.Step, search.State)) {
	if s.b.Outage && s.outages < 2 {
		n := s.clone()
		n.outages++
		n.up = !s.up
		kind := uint8(kTableDown)
		if n.up {
			kind = kTableUp
			if s.begun && s.b.Withdrawal && !s.b.StaleRow {
				// A witness's retry has written the row before the first read.
				n.table = s.b.target()
			}
		}
		visit(search.Step{Kind: kind}, n)
	}
	if !s.up {
		return
	}
	if s.begun && s.inst[0].run == 0 && !s.accepted && !holds(s.table, s.b.target()) {
		n := s.clone()
		n.table = s.b.target()
		n.feed(0, controlstate.RowWritten{ID: 1})
		visit(search.Step{Kind: kRow}, n)
	}
	if int(s.reads) >= s.b.Reads {
		return
	}
	for i := range s.inst {
		n := s.clone()
		n.reads++
		n.feed(i, controlstate.TableRead{Start: s.now, State: s.table})
		visit(search.Step{Kind: kTableRead, A: uint8(i)}, n)
	}
}

func holds(have, want controlstate.State) bool {
	return have.Bundle >= want.Bundle && len(have.Withdrawn) >= len(want.Withdrawn)
}

func (s *state) nextCalls(visit func(search.Step, search.State)) {
	if int(s.pulls) < s.b.Pulls {
		for i := range s.inst {
			n := s.clone()
			n.pulls++
			in := n.edit(i)
			in.round = uint64(n.pulls)
			n.perform(i, in, in.core.Step(s.now, controlstate.PullStarted{Round: in.round}))
			n.seal(i)
			visit(search.Step{Kind: kPull, A: uint8(i)}, n)
		}
	}
	if int(s.answers) >= s.b.Answers {
		return
	}
	for i, in := range s.inst {
		for j := range s.inst {
			if i == j {
				continue
			}
			if in.round > 0 {
				s.call(visit, i, j, in.round, kPullAnswer)
			}
			if i == 0 && s.begun && !s.accepted && in.run == 0 {
				s.call(visit, i, j, 0, kAccept)
			}
		}
	}
}

// call runs a pull or an Accept call of i at j; it is answered at once or late.
func (s *state) call(visit func(search.Step, search.State), i, j int, round uint64, kind uint8) {
	n := s.clone()
	n.answers++
	if round == 0 {
		in := n.edit(j)
		n.install(j, in, s.b.target())
		n.seal(j)
	}
	peer := n.inst[j]
	a := answer{to: uint8(i), from: uint8(j), run: n.inst[i].run, round: round, sent: s.now, counts: peer.core.Voting(), state: peer.have}
	a.age, a.fresh = peer.core.ProofAge(s.now)
	if int(s.late) < s.b.Late {
		l := n.clone()
		l.late++
		l.flying = append(l.flying, a)
		visit(search.Step{Kind: kSendLate, A: uint8(j), B: uint8(i), C: uint8(bit(round > 0))}, l)
	}
	n.deliver(a)
	visit(search.Step{Kind: kind, A: uint8(j), B: uint8(i)}, n)
}

func (s *state) deliver(a answer) {
	i := int(a.to)
	if s.inst[i].run != a.run {
		return
	}
	if a.round > 0 {
		s.feed(i, controlstate.PullAnswer{Round: a.round, From: id(int(a.from)), Voting: a.counts, Fresh: a.fresh, ProofAge: a.age, State: a.state})
		return
	}
	s.feed(i, controlstate.WitnessAck{From: id(int(a.from)), Sent: a.sent, Voting: a.counts, State: a.state})
}

func (s *state) nextFaults(visit func(search.Step, search.State)) {
	for i := range s.inst {
		if int(s.restarts) < s.b.Restarts {
			n := s.clone()
			n.restarts++
			n.inst[i] = n.newInstance(i, s.inst[i].run+1)
			n.seal(i)
			visit(search.Step{Kind: kRestart, A: uint8(i)}, n)
		}
		if s.b.Lists && s.unlisted&(1<<i) == 0 {
			n := s.clone()
			n.unlisted |= 1 << i
			n.feed(i, controlstate.InstanceList{IDs: n.list(true)})
			visit(search.Step{Kind: kList, A: uint8(i)}, n)
		}
	}
}

// Check implements search.State.
func (s *state) Check() string {
	if !s.accepted {
		return ""
	}
	for i, in := range s.inst {
		if !in.core.IsFresh(s.now) || holds(in.have, s.b.target()) {
			continue
		}
		if asOf := in.core.ProofExpiry() - bound; asOf > s.acceptedAt {
			return fmt.Sprintf("G13: I%d is fresh as of second %d without the state that was accepted at second %d", i+1, asOf/second, s.acceptedAt/second)
		}
		if s.now >= s.acceptedAt+bound {
			return fmt.Sprintf("G6: I%d serves keyed requests at second %d without the state that was accepted at second %d", i+1, s.now/second, s.acceptedAt/second)
		}
	}
	return ""
}

// DescribeStep describes a step.
func DescribeStep(s search.Step) string {
	switch s.Kind {
	case kSecond:
		return "one second passes"
	case kBegin:
		return "I1 begins the rollout"
	case kRow:
		return "I1 writes the row"
	case kTableRead:
		return fmt.Sprintf("I%d reads the table", s.A+1)
	case kPull:
		return fmt.Sprintf("I%d starts a pull round", s.A+1)
	case kPullAnswer:
		return fmt.Sprintf("I%d answers the pull of I%d", s.A+1, s.B+1)
	case kAccept:
		return fmt.Sprintf("I%d installs the rollout and answers I%d", s.A+1, s.B+1)
	case kSendLate:
		return fmt.Sprintf("I%d answers a call of I%d, the answer stays in flight", s.A+1, s.B+1)
	case kDeliverLate:
		return fmt.Sprintf("the late answer of I%d reaches I%d", s.A+1, s.B+1)
	case kRestart:
		return fmt.Sprintf("I%d restarts without state", s.A+1)
	case kTableUp:
		return "the table comes back"
	case kTableDown:
		return "the table goes down"
	case kInstall:
		return fmt.Sprintf("I%d installs what it fetched", s.A+1)
	case kList:
		return fmt.Sprintf("I%d sees the list without the last instance", s.A+1)
	}
	return "?"
}
