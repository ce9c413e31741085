// Package slots models one fleet slot and two instances that take it over from
// each other. It runs the real cores of core/slot.
//
// Freshness is abstract: an instance that refreshes learns of every table accepted
// before that time, and becomes stale maxProofAge after its last refresh. Package
// freshness verifies that core/controlstate guarantees this. Membership is
// arbitrarily wrong: either instance may consider the other gone at any time.
package slots

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/slot"
	"github.com/vanillahinge/vanillahinge/spec/search"
)

// Bounds limits the state space of the model.
type Bounds struct {
	// Seconds is the simulated time.
	Seconds int
	// Suspicions, Refreshes, Restarts, Shutdowns and TableReads limit how often each
	// event occurs, over both instances. Table reads that the core requests are not
	// limited.
	Suspicions, Refreshes, Restarts, Shutdowns, TableReads int
	Slot                                                   slot.Mutation
}

const (
	second       = time.Second
	maxProofAge  = 3 * second
	loanDuration = 2 * second // how long loans of a slot's shares continue after its last use
	horizon      = 20 * second
)

// instance is immutable, since states share it.
type instance struct {
	core *slot.Core
	run  uint8
	// refreshedAt is the time of the last refresh, fresh the last freshness passed
	// to the core.
	refreshedAt time.Duration
	fresh       bool
	// lastUsed is the last time at which the slot was in use, 0 for never.
	lastUsed time.Duration
	// put is the pending conditional put, nil if none.
	put *slot.PutTable
	// latePut is a put that the caller no longer waits for but that may still run.
	latePut *slot.PutTable
	// announced is the epoch of the table that the core last announced, 0 once a
	// majority of the witnesses has accepted it.
	announced     uint64
	readPending   bool
	suspectsOther bool
	shutdown      bool
	key           uint64
}

type state struct {
	bounds    *Bounds
	now       time.Duration
	instances [2]*instance
	table     slot.Table
	version   uint64
	accepted  slot.Table
	// eventCounts holds the number of bounded events so far, indexed by the first
	// argument of consume.
	eventCounts [5]uint8
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("I%d", i+1)) }

// Initial returns the state in which the slot is free, released by I1, and both
// instances have just read the table.
func Initial(b Bounds) []search.State {
	s := &state{bounds: &b, now: 10 * second}
	s.table = slot.Table{Epoch: 1, Slots: []slot.Owner{{Instance: instanceID(0), Run: "0", Released: true}}, Nonce: "first"}
	s.version, s.accepted = 1, s.table
	for i := range s.instances {
		s.instances[i] = &instance{core: s.newCore(i, 0), refreshedAt: s.now, fresh: true}
		s.step(i, slot.Members{Live: []fleet.InstanceID{instanceID(0), instanceID(1)}}, slot.Freshness{Fresh: true}, slot.TableRow{Table: s.table, Version: 1})
	}
	return []search.State{s}
}

func (s *state) newCore(i int, run uint8) *slot.Core {
	return slot.New(slot.Config{Self: instanceID(i), Run: fmt.Sprint(run), SlotCount: 1, TakeoverWait: maxProofAge + loanDuration, ReleaseDelay: loanDuration, PutTimeout: second, Mutation: s.bounds.Slot})
}

func (s *state) clone() *state {
	c := *s
	return &c
}

// copyInstance replaces instance i with a copy that the caller may modify. The
// caller calls step or updateKey after the change.
func (s *state) copyInstance(i int) *instance {
	c := *s.instances[i]
	c.core = c.core.Clone()
	s.instances[i] = &c
	return &c
}

// step passes events to instance i and records the calls that it makes.
func (s *state) step(i int, events ...slot.Event) {
	in := s.copyInstance(i)
	for _, e := range events {
		for _, a := range in.core.Step(s.now, e) {
			switch a := a.(type) {
			case slot.PutTable:
				if in.put != nil {
					in.latePut = in.put
				}
				in.put = &a
			case slot.ReadTable:
				in.readPending = true
			case slot.Announce:
				in.announced = a.Table.Epoch
			}
		}
	}
	if len(in.core.UsableSlots()) > 0 {
		in.lastUsed = s.now
	}
	s.updateKey(i)
}

// updateKey recomputes the key of instance i.
func (s *state) updateKey(i int) {
	in := s.instances[i]
	var buf []byte
	buf = binary.LittleEndian.AppendUint64(buf, search.CoreKey(in.core, s.now, 0, horizon))
	buf = append(buf, in.run, byte(min(s.now-in.refreshedAt, maxProofAge)/second), bit(in.fresh), byte(in.announced), bit(in.readPending), bit(in.suspectsOther), bit(in.shutdown))
	since := byte(255)
	if in.lastUsed > 0 {
		since = byte(min(s.now-in.lastUsed, 2*loanDuration) / second)
	}
	buf = append(buf, since)
	for _, p := range []*slot.PutTable{in.put, in.latePut} {
		if p != nil {
			buf = append(buf, byte(p.IfVersion), byte(p.Table.Epoch))
			buf = append(buf, p.Table.Nonce...)
		}
		buf = append(buf, 255)
	}
	in.key = xxhash.Sum64(buf)
}

// Key implements search.State.
func (s *state) Key() uint64 {
	var buf []byte
	for _, in := range s.instances {
		buf = binary.LittleEndian.AppendUint64(buf, in.key)
	}
	buf = append(buf, byte(s.now/second), byte(s.version), byte(s.table.Epoch), byte(s.accepted.Epoch))
	buf = append(buf, s.table.Nonce...)
	buf = append(buf, s.accepted.Nonce...)
	buf = append(buf, s.eventCounts[:]...)
	return xxhash.Sum64(buf)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Values of search.Step.Kind.
const (
	kindSecond = iota
	kindRefresh
	kindSuspect
	kindPutAnswered
	kindPutAnswerLost
	kindPutTimeout
	kindPutLate
	kindRead
	kindAccepted
	kindRestart
	kindShutdown
)

// Next implements search.State.
func (s *state) Next(visit func(search.Step, search.State)) {
	if s.now < 10*second+time.Duration(s.bounds.Seconds)*second {
		n := s.clone()
		n.now += second
		for i := range n.instances {
			in := n.copyInstance(i)
			if in.fresh && n.now-in.refreshedAt >= maxProofAge {
				in.fresh = false
				n.step(i, slot.Freshness{})
				continue
			}
			n.step(i, slot.Tick{})
		}
		visit(search.Step{Kind: kindSecond}, n)
	}
	for i := range s.instances {
		s.nextPut(i, visit)
		s.nextInstance(i, visit)
	}
}

// consume returns a copy of the state in which the counter of a bounded event is
// one higher, or false if the counter has reached limit.
func (s *state) consume(counter, limit int) (*state, bool) {
	if int(s.eventCounts[counter]) >= limit {
		return nil, false
	}
	n := s.clone()
	n.eventCounts[counter]++
	return n, true
}

func (s *state) nextInstance(i int, visit func(search.Step, search.State)) {
	in := s.instances[i]
	if n, ok := s.consume(0, s.bounds.Refreshes); ok && in.refreshedAt != s.now {
		e := n.copyInstance(i)
		e.refreshedAt, e.fresh = s.now, true
		n.step(i, slot.PeerTable{Table: s.accepted}, slot.Freshness{Fresh: true})
		visit(search.Step{Kind: kindRefresh, A: uint8(i)}, n)
	}
	if n, ok := s.consume(1, s.bounds.Suspicions); ok && !in.suspectsOther {
		n.copyInstance(i).suspectsOther = true
		n.step(i, slot.Members{Live: []fleet.InstanceID{instanceID(i)}, Gone: []fleet.InstanceID{instanceID(1 - i)}})
		visit(search.Step{Kind: kindSuspect, A: uint8(i)}, n)
	}
	if n, ok := s.consume(2, s.bounds.TableReads); ok || in.readPending {
		if !ok {
			n = s.clone()
		}
		n.copyInstance(i).readPending = false
		n.step(i, slot.TableRow{Table: s.table, Version: s.version})
		visit(search.Step{Kind: kindRead, A: uint8(i)}, n)
	}
	if n, ok := s.consume(3, s.bounds.Restarts); ok {
		n.instances[i] = &instance{core: n.newCore(i, in.run+1), run: in.run + 1, lastUsed: in.lastUsed, latePut: in.put, refreshedAt: in.refreshedAt}
		n.step(i, slot.Members{Live: []fleet.InstanceID{instanceID(0), instanceID(1)}})
		visit(search.Step{Kind: kindRestart, A: uint8(i)}, n)
	}
	if n, ok := s.consume(4, s.bounds.Shutdowns); ok && !in.shutdown {
		n.copyInstance(i).shutdown = true
		n.step(i, slot.Shutdown{})
		visit(search.Step{Kind: kindShutdown, A: uint8(i)}, n)
	}
	if in.announced > s.accepted.Epoch && in.announced == s.table.Epoch || in.announced > 0 && in.announced <= s.accepted.Epoch {
		n := s.clone()
		if in.announced > s.accepted.Epoch {
			n.accepted = s.table
		}
		n.copyInstance(i).announced = 0
		n.step(i, slot.Accepted{Epoch: in.announced})
		visit(search.Step{Kind: kindAccepted, A: uint8(i)}, n)
	}
}

func (s *state) nextPut(i int, visit func(search.Step, search.State)) {
	in := s.instances[i]
	if in.latePut != nil && in.latePut.IfVersion == s.version {
		n := s.clone()
		n.table, n.version = in.latePut.Table, s.version+1
		n.copyInstance(i).latePut = nil
		n.updateKey(i)
		visit(search.Step{Kind: kindPutLate, A: uint8(i)}, n)
	}
	if in.put == nil {
		return
	}
	for _, kind := range []uint8{kindPutAnswered, kindPutAnswerLost, kindPutTimeout} {
		n := s.clone()
		e := n.copyInstance(i)
		e.put = nil
		answer := slot.PutAnswer{Nonce: in.put.Table.Nonce}
		switch {
		case kind == kindPutTimeout:
			e.latePut = in.put
		case in.put.IfVersion == s.version:
			n.table, n.version = in.put.Table, s.version+1
			answer.Result, answer.Version = slot.Applied, n.version
		default:
			answer.Result = slot.Conflict
		}
		if kind == kindPutAnswerLost {
			answer = slot.PutAnswer{Nonce: answer.Nonce}
		}
		n.step(i, answer)
		visit(search.Step{Kind: kind, A: uint8(i)}, n)
	}
}

// Check implements search.State. It verifies G7: a slot is in use by at most one
// instance, where use includes loans of its shares.
func (s *state) Check() string {
	used := 0
	for _, in := range s.instances {
		if in.lastUsed > 0 && (len(in.core.UsableSlots()) > 0 || s.now-in.lastUsed < loanDuration) {
			used++
		}
	}
	if used > 1 {
		return "G7: two instances use the same slot"
	}
	return ""
}

var stepFormats = [...]string{
	kindSecond:        "one second passes",
	kindRefresh:       "I%d refreshes its freshness proof",
	kindSuspect:       "I%d considers the other instance gone",
	kindPutAnswered:   "the put of I%d is answered",
	kindPutAnswerLost: "the put of I%d runs; the answer is lost",
	kindPutTimeout:    "the put of I%d times out and stays in flight",
	kindPutLate:       "the late put of I%d runs",
	kindRead:          "I%d reads the table",
	kindAccepted:      "a majority of the witnesses accepts the table of I%d",
	kindRestart:       "I%d restarts without state",
	kindShutdown:      "I%d shuts down",
}

// DescribeStep returns the text for a step in the printed trace of a violation.
func DescribeStep(s search.Step) string {
	if s.Kind == kindSecond {
		return stepFormats[kindSecond]
	}
	return fmt.Sprintf(stepFormats[s.Kind], s.A+1)
}
