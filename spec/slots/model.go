// Package slots is the model of one fleet slot and the instances that take it
// over from each other. It runs the real cores of core/slot.
//
// Freshness is abstract: an instance that refreshes learns every table accepted
// before that moment, and is stale Bound after its last refresh. Package
// freshness searches that core/fresh keeps this promise. Membership is as wrong
// as it can be: any instance may see the other as gone at any moment.
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

// Bounds limit one model.
type Bounds struct {
	// Seconds is how long the model runs.
	Seconds int
	// Suspicions, Refreshes, Restarts, Shutdowns, TableReads: how often each
	// happens, over both instances.
	Suspicions, Refreshes, Restarts, Shutdowns, TableReads int
	Slot                                                   slot.Mutation
}

const (
	second  = time.Second
	bound   = 3 * second
	loans   = 2 * second // how long shares lent to a holder outlast their use
	horizon = 20 * second
)

// instance is immutable and shared between states.
type instance struct {
	core *slot.Core
	run  uint8
	// proof is the last refresh; fresh is what the core was told.
	proof time.Duration
	fresh bool
	// lastUsed is the last moment at which the slot was in use, 0 for never.
	lastUsed time.Duration
	put      *slot.PutTable
	// flying is a put whose caller has given up, and which may still run.
	flying   *slot.PutTable
	spread   uint64
	wantRead bool
	gone     bool
	shutdown bool
	key      uint64
}

type state struct {
	b        *Bounds
	now      time.Duration
	inst     [2]*instance
	table    slot.Table
	version  uint64
	accepted slot.Table
	counts   [5]uint8
}

func id(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("I%d", i+1)) }

// Initial returns the state in which I1 has just taken the free slot.
func Initial(b Bounds) []search.State {
	s := &state{b: &b, now: 10 * second}
	s.table = slot.Table{Epoch: 1, Slots: []slot.Owner{{Instance: id(0), Run: "0", Released: true}}, Nonce: "first"}
	s.version, s.accepted = 1, s.table
	for i := range s.inst {
		s.inst[i] = &instance{core: s.newCore(i, 0), proof: s.now, fresh: true}
		s.feed(i, slot.Members{Live: []fleet.InstanceID{id(0), id(1)}}, slot.Freshness{Fresh: true}, slot.TableRow{Table: s.table, Version: 1})
	}
	return []search.State{s}
}

func (s *state) newCore(i int, run uint8) *slot.Core {
	return slot.New(slot.Config{Self: id(i), Run: fmt.Sprint(run), SlotCount: 1, TakeoverWait: bound + loans, ReleaseDelay: loans, PutTimeout: second, Mutation: s.b.Slot})
}

func (s *state) clone() *state {
	c := *s
	return &c
}

func (s *state) edit(i int) *instance {
	c := *s.inst[i]
	c.core = c.core.Clone()
	s.inst[i] = &c
	return &c
}

// feed passes events to instance i and keeps its calls.
func (s *state) feed(i int, events ...slot.Event) {
	in := s.edit(i)
	for _, e := range events {
		for _, a := range in.core.Step(s.now, e) {
			switch a := a.(type) {
			case slot.PutTable:
				if in.put != nil {
					in.flying = in.put
				}
				in.put = &a
			case slot.ReadTable:
				in.wantRead = true
			case slot.Announce:
				in.spread = a.Table.Epoch
			}
		}
	}
	if len(in.core.UsableSlots()) > 0 {
		in.lastUsed = s.now
	}
	s.seal(i)
}

func (s *state) seal(i int) {
	in := s.inst[i]
	var buf []byte
	buf = binary.LittleEndian.AppendUint64(buf, search.CoreKey(in.core, s.now, 0, horizon))
	buf = append(buf, in.run, byte(min(s.now-in.proof, bound)/second), bit(in.fresh), byte(in.spread), bit(in.wantRead), bit(in.gone), bit(in.shutdown))
	since := byte(255)
	if in.lastUsed > 0 {
		since = byte(min(s.now-in.lastUsed, 2*loans) / second)
	}
	buf = append(buf, since)
	for _, p := range []*slot.PutTable{in.put, in.flying} {
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
	for _, in := range s.inst {
		buf = binary.LittleEndian.AppendUint64(buf, in.key)
	}
	buf = append(buf, byte(s.now/second), byte(s.version), byte(s.table.Epoch), byte(s.accepted.Epoch))
	buf = append(buf, s.table.Nonce...)
	buf = append(buf, s.accepted.Nonce...)
	buf = append(buf, s.counts[:]...)
	return xxhash.Sum64(buf)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Transition kinds.
const (
	kSecond = iota
	kRefresh
	kGone
	kPutAnswered
	kPutLost
	kPutFails
	kPutLate
	kRead
	kAccepted
	kRestart
	kShutdown
)

// Next implements search.State.
func (s *state) Next(visit func(search.Step, search.State)) {
	if s.now < 10*second+time.Duration(s.b.Seconds)*second {
		n := s.clone()
		n.now += second
		for i := range n.inst {
			in := n.edit(i)
			if in.fresh && n.now-in.proof >= bound {
				in.fresh = false
				n.feed(i, slot.Freshness{})
				continue
			}
			n.feed(i, slot.Tick{})
		}
		visit(search.Step{Kind: kSecond}, n)
	}
	for i := range s.inst {
		s.nextPut(i, visit)
		s.nextInstance(i, visit)
	}
}

// use spends one of a bounded number of events.
func (s *state) use(counter, most int) (*state, bool) {
	if int(s.counts[counter]) >= most {
		return nil, false
	}
	n := s.clone()
	n.counts[counter]++
	return n, true
}

func (s *state) nextInstance(i int, visit func(search.Step, search.State)) {
	in := s.inst[i]
	if n, ok := s.use(0, s.b.Refreshes); ok && in.proof != s.now {
		e := n.edit(i)
		e.proof, e.fresh = s.now, true
		n.feed(i, slot.PeerTable{Table: s.accepted}, slot.Freshness{Fresh: true})
		visit(search.Step{Kind: kRefresh, A: uint8(i)}, n)
	}
	if n, ok := s.use(1, s.b.Suspicions); ok && !in.gone {
		n.edit(i).gone = true
		n.feed(i, slot.Members{Live: []fleet.InstanceID{id(i)}, Gone: []fleet.InstanceID{id(1 - i)}})
		visit(search.Step{Kind: kGone, A: uint8(i)}, n)
	}
	if n, ok := s.use(2, s.b.TableReads); ok || in.wantRead {
		if !ok {
			n = s.clone()
		}
		n.edit(i).wantRead = false
		n.feed(i, slot.TableRow{Table: s.table, Version: s.version})
		visit(search.Step{Kind: kRead, A: uint8(i)}, n)
	}
	if n, ok := s.use(3, s.b.Restarts); ok {
		n.inst[i] = &instance{core: n.newCore(i, in.run+1), run: in.run + 1, lastUsed: in.lastUsed, flying: in.put, proof: in.proof}
		n.feed(i, slot.Members{Live: []fleet.InstanceID{id(0), id(1)}})
		visit(search.Step{Kind: kRestart, A: uint8(i)}, n)
	}
	if n, ok := s.use(4, s.b.Shutdowns); ok && !in.shutdown {
		n.edit(i).shutdown = true
		n.feed(i, slot.Shutdown{})
		visit(search.Step{Kind: kShutdown, A: uint8(i)}, n)
	}
	if in.spread > s.accepted.Epoch && in.spread == s.table.Epoch || in.spread > 0 && in.spread <= s.accepted.Epoch {
		n := s.clone()
		if in.spread > s.accepted.Epoch {
			n.accepted = s.table
		}
		n.edit(i).spread = 0
		n.feed(i, slot.Accepted{Epoch: in.spread})
		visit(search.Step{Kind: kAccepted, A: uint8(i)}, n)
	}
}

func (s *state) nextPut(i int, visit func(search.Step, search.State)) {
	in := s.inst[i]
	if in.flying != nil && in.flying.IfVersion == s.version {
		n := s.clone()
		n.table, n.version = in.flying.Table, s.version+1
		n.edit(i).flying = nil
		n.seal(i)
		visit(search.Step{Kind: kPutLate, A: uint8(i)}, n)
	}
	if in.put == nil {
		return
	}
	for _, kind := range []uint8{kPutAnswered, kPutLost, kPutFails} {
		n := s.clone()
		e := n.edit(i)
		e.put = nil
		answer := slot.PutAnswer{Nonce: in.put.Table.Nonce}
		switch {
		case kind == kPutFails:
			e.flying = in.put
		case in.put.IfVersion == s.version:
			n.table, n.version = in.put.Table, s.version+1
			answer.Result, answer.Version = slot.Applied, n.version
		default:
			answer.Result = slot.Conflict
		}
		if kind == kPutLost {
			answer = slot.PutAnswer{Nonce: answer.Nonce}
		}
		n.feed(i, answer)
		visit(search.Step{Kind: kind, A: uint8(i)}, n)
	}
}

// Check implements search.State.
func (s *state) Check() string {
	used := 0
	for _, in := range s.inst {
		if in.lastUsed > 0 && (len(in.core.UsableSlots()) > 0 || s.now-in.lastUsed < loans) {
			used++
		}
	}
	if used > 1 {
		return "G7: two instances use the same slot"
	}
	return ""
}

var texts = [...]string{
	kSecond:      "one second passes",
	kRefresh:     "I%d proves its freshness",
	kGone:        "I%d sees the other instance as gone",
	kPutAnswered: "the put of I%d is answered",
	kPutLost:     "the put of I%d runs, the answer is lost",
	kPutFails:    "the put of I%d is not answered and stays in flight",
	kPutLate:     "the late put of I%d runs",
	kRead:        "I%d reads the table",
	kAccepted:    "a majority of witnesses holds the table of I%d",
	kRestart:     "I%d restarts without state",
	kShutdown:    "I%d shuts down",
}

// DescribeStep describes a step.
func DescribeStep(s search.Step) string {
	if s.Kind == kSecond {
		return texts[kSecond]
	}
	return fmt.Sprintf(texts[s.Kind], s.A+1)
}
