// Package promotion is the model of one database group: three endpoints, the
// promoters' term cores and the instances' ack groups. It searches promotion,
// acknowledgement, confirmed reads and position tokens together.
//
// The cores are the real ones; the endpoints follow the table of VH commands in
// docs/design.md, section 5. Messages stay in flight until they are delivered,
// in any order; a message that is never delivered covers loss, a partition and
// a paused receiver. An instance that takes no step is paused. Time passes for
// one instance at a time, by more than any timeout of the core.
package promotion

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/ack"
	"github.com/vanillahinge/vanillahinge/core/failover"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/spec/search"
)

// Bounds limit one model.
type Bounds struct {
	// Instances is the number of promoters, at most 2.
	Instances int
	// Ticks is how often time passes for each instance.
	Ticks [2]int
	// Writes, Reads: how many are sent. At most 4 each.
	Writes, Reads int
	// Restarts of instances, EndpointRestarts (the log and the fence survive),
	// Wipes (an endpoint loses both), Duplicates of messages.
	Restarts, EndpointRestarts, Wipes, Duplicates int
	// Table adds the table with lost answers; without it the store is down.
	Table bool
	// Drain lets the bundle that marks E1 as leaving reach each instance at any
	// moment.
	Drain bool
	// DelayAnswers keeps endpoints' answers in flight; else an answer arrives at
	// once or never.
	DelayAnswers bool
	// SlowReports is the number of status reports that stay in flight.
	SlowReports int
	// AllReports also passes on reports that release nothing at once.
	AllReports bool
	// JoinAtOnce drops the delay before an endpoint that lost its log joins.
	JoinAtOnce bool
	Term       failover.Mutation
	Ack        ack.Mutation
}

const (
	endpoints = 3
	// timeout is every timeout of the cores and jump the time that passes in one
	// tick. Points in time further away than horizon are alike.
	timeout = 10 * time.Second
	jump    = 11 * time.Second
	horizon = 5 * time.Second
)

var endpointIDs = [endpoints]fleet.EndpointID{"E1", "E2", "E3"}

func endpointIndex(id fleet.EndpointID) int { return slices.Index(endpointIDs[:], id) }

// entry is one log entry; write is 0 for the no-op of a promotion.
type entry struct{ term, write, by uint8 }

type endpoint struct {
	term, fence uint8
	owner       string
	primary     bool
	joining     bool
	// follows is the endpoint that a replica replicates from, -1 if none.
	follows int8
	log     []entry
}

type messageKind uint8

const (
	fenceCall messageKind = iota
	promoteCall
	followCall
	joinConfirm
	readConfirm
	fenceAnswer
	promoteAnswer
	confirmAnswer
	report
)

// message is a call to an endpoint or an answer from it.
type message struct {
	kind     messageKind
	inst, ep uint8
	// run is the instance's run that sent the call; an answer to another run is
	// dropped.
	run     uint8
	attempt uint64
	term    uint8
	owner   string
	target  uint8 // the primary of a FOLLOW
	ok      bool
	status  fleet.EndpointStatus
}

// instance is immutable and shared between states.
type instance struct {
	core *failover.Core
	acks *ack.Tracker
	now  time.Duration
	run  uint8
	// attempt is that of the last FENCE, promoting that of the last PROMOTE.
	attempt, promoting uint64
	// rowCall is the pending call to the table, nil if none.
	rowCall failover.Action
	key     uint64
}

type write struct {
	term, inst uint8
	pos        uint8
	acked      bool
}

type read struct {
	// must is the set of writes acknowledged before the read began, saw the set
	// in the log that it read.
	must, saw uint8
	inst, run uint8
	used      bool
	done      bool
}

type state struct {
	b         *Bounds
	eps       [endpoints]endpoint
	inst      [2]*instance
	messages  []message
	writes    []write
	reads     []read
	row       failover.Row
	rowV      uint64
	ticks     [2]uint8
	restarts  uint8
	epRestart uint8
	wipes     uint8
	dups      uint8
	slow      uint8
	// open is the number of ticks, plus one, that an instance had when an
	// endpoint lost its log; 0 if none did.
	open    [2]uint8
	drained [2]bool
	broken  string
}

// Initial returns the state in which E1 is primary of term 1.
func Initial(b Bounds) []search.State {
	s := &state{b: &b}
	for i := range s.eps {
		s.eps[i] = endpoint{term: 1, fence: 1, follows: 0, log: []entry{{term: 1}}}
	}
	s.eps[0].primary, s.eps[0].follows = true, -1
	for i := range b.Instances {
		s.inst[i] = s.newInstance(i, 0, time.Second)
	}
	return []search.State{s}
}

func (s *state) newInstance(i int, run uint8, now time.Duration) *instance {
	cfg := failover.Config{
		Group: "g", Self: fleet.InstanceID(fmt.Sprintf("I%d", i+1)), RunID: fmt.Sprint(run), Seed: 1,
		SuspectAfter: horizon, Stagger: 1, Jitter: 1, Backoff: 1,
		ClaimTimeout: timeout, FenceTimeout: timeout, PromoteTimeout: timeout, QuiesceTimeout: timeout,
		RetryInterval: 100 * timeout, RepairDelay: 1000 * timeout, JoinDelay: -1, Mutation: s.b.Term,
	}
	for _, id := range endpointIDs {
		cfg.Endpoints = append(cfg.Endpoints, failover.Endpoint{ID: id, Addr: string(id)})
	}
	in := &instance{core: failover.New(cfg), acks: ack.New(s.b.Ack), now: now, run: run}
	// A fleet of one needs no other instance's agreement: suspicion is as wrong
	// as it can be.
	in.core.Step(now, failover.Members{Listed: 1})
	for e := range s.eps {
		in.core.Step(now, failover.Status{Status: s.status(e)})
		in.acks.ObserveStatus(s.status(e), nil)
	}
	in.seal()
	return in
}

func (in *instance) clone() *instance {
	c := *in
	c.core, c.acks = in.core.Clone(), in.acks.Clone()
	return &c
}

func (in *instance) seal() {
	var b [40]byte
	binary.LittleEndian.PutUint64(b[0:], search.CoreKey(in.core, in.now, horizon, horizon))
	binary.LittleEndian.PutUint64(b[8:], search.CoreKey(in.acks, in.now, horizon, horizon))
	if in.rowCall != nil {
		binary.LittleEndian.PutUint64(b[16:], search.CoreKey(in.rowCall, in.now, horizon, horizon))
		b[24] = byte(kindOfRow(in.rowCall))
	}
	b[25] = in.run
	in.key = xxhash.Sum64(b[:])
}

func kindOfRow(a failover.Action) int {
	switch a.(type) {
	case failover.ReadRow:
		return 1
	case failover.Claim:
		return 2
	}
	return 3
}

func (s *state) clone() *state {
	c := *s
	c.messages = slices.Clone(s.messages)
	c.writes = slices.Clone(s.writes)
	c.reads = slices.Clone(s.reads)
	return &c
}

// Key implements search.State.
func (s *state) Key() uint64 {
	buf := make([]byte, 0, 512)
	for i := range s.eps {
		e := &s.eps[i]
		buf = append(buf, e.term, e.fence, bit(e.primary), bit(e.joining), byte(e.follows), byte(len(e.owner)))
		buf = append(buf, e.owner...)
		buf = append(buf, byte(len(e.log)))
		for _, l := range e.log {
			buf = append(buf, l.term, l.write, l.by)
		}
	}
	for _, in := range s.inst {
		if in != nil {
			buf = binary.LittleEndian.AppendUint64(buf, in.key)
		}
	}
	buf = append(buf, byte(len(s.messages)))
	for i := range s.messages {
		buf = s.messages[i].append(buf)
	}
	for _, w := range s.writes {
		buf = append(buf, w.term, w.inst, w.pos, bit(w.acked))
	}
	for _, r := range s.reads {
		buf = append(buf, r.must, r.saw, r.inst, r.run, bit(r.used), bit(r.done))
	}
	buf = append(buf, byte(s.row.Term), s.ticks[0], s.ticks[1], s.restarts, s.epRestart, s.wipes, s.dups, s.slow, s.open[0], s.open[1], bit(s.drained[0]), bit(s.drained[1]))
	buf = append(buf, s.row.Nonce...)
	buf = append(buf, s.row.State...)
	buf = append(buf, s.row.Primary...)
	buf = binary.AppendUvarint(buf, s.rowV)
	buf = append(buf, s.broken...)
	return xxhash.Sum64(buf)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (m *message) append(buf []byte) []byte {
	buf = append(buf, byte(m.kind), m.inst, m.ep, m.run, byte(m.attempt), m.term, m.target, bit(m.ok), byte(len(m.owner)))
	buf = append(buf, m.owner...)
	if m.kind >= fenceAnswer {
		st := &m.status
		buf = append(buf, byte(st.Term), byte(st.FenceTerm), byte(st.LastLogTerm), byte(st.Received), bit(st.Role == fleet.RolePrimary), bit(st.Joining))
		buf = append(buf, st.FenceOwner...)
	}
	return buf
}

// send adds a message in canonical order.
func (s *state) send(m message) {
	key := func(m *message) string { return string(m.append(nil)) }
	k := key(&m)
	i, _ := slices.BinarySearchFunc(s.messages, k, func(x message, k string) int {
		xk := key(&x)
		switch {
		case xk < k:
			return -1
		case xk > k:
			return 1
		}
		return 0
	})
	s.messages = slices.Insert(s.messages, i, m)
}

func (s *state) status(e int) fleet.EndpointStatus {
	ep := &s.eps[e]
	st := fleet.EndpointStatus{
		Endpoint: endpointIDs[e], Group: "g", Role: fleet.RoleReplica,
		Term: fleet.Term(ep.term), FenceTerm: fleet.Term(ep.fence), FenceOwner: ep.owner,
		Received: fleet.Position(len(ep.log)), Applied: fleet.Position(len(ep.log)), Joining: ep.joining,
	}
	if ep.primary {
		st.Role = fleet.RolePrimary
	}
	if n := len(ep.log); n > 0 {
		st.LastLogTerm = fleet.Term(ep.log[n-1].term)
		st.AppliedTerm = st.LastLogTerm
	}
	if ep.follows >= 0 {
		st.Primary = string(endpointIDs[ep.follows])
	}
	return st
}

// step runs the core of instance i on a copy and turns its actions into
// messages.
func (s *state) step(i int, events ...failover.Event) {
	in := s.inst[i].clone()
	s.inst[i] = in
	for _, e := range events {
		s.perform(i, in, in.core.Step(in.now, e))
	}
	in.seal()
}

func (s *state) perform(i int, in *instance, actions []failover.Action) {
	for _, a := range actions {
		m := message{inst: uint8(i), run: in.run}
		switch a := a.(type) {
		case failover.ReadRow, failover.Claim, failover.Publish:
			// The row of a finished promotion is not modelled: it only informs.
			if s.b.Table && (in.attempt == 0 || in.promoting < in.attempt || in.core.AttemptRunning()) {
				in.rowCall = a
				continue
			}
			// The store is down: the call fails at once.
			var n uint64
			switch a := a.(type) {
			case failover.ReadRow:
				n = a.Attempt
			case failover.Claim:
				n = a.Attempt
			case failover.Publish:
				n = a.Attempt
			}
			s.perform(i, in, in.core.Step(in.now, failover.RowResponse{Attempt: n}))
			continue
		case failover.Fence:
			m.kind, m.ep, m.attempt, m.term, m.owner = fenceCall, uint8(endpointIndex(a.Endpoint)), a.Attempt, uint8(a.Term), a.Owner
			in.attempt = a.Attempt
		case failover.Promote:
			m.kind, m.ep, m.attempt, m.term, m.owner = promoteCall, uint8(endpointIndex(a.Endpoint)), a.Attempt, uint8(a.Term), a.Owner
			in.promoting = a.Attempt
		case failover.Follow:
			m.kind, m.ep, m.term, m.target = followCall, uint8(endpointIndex(a.Endpoint)), uint8(a.Term), uint8(endpointIndex(a.Primary))
		case failover.Confirm:
			m.kind, m.ep, m.term, m.attempt = joinConfirm, uint8(endpointIndex(a.Endpoint)), uint8(a.Term), a.Attempt
		default:
			continue
		}
		s.send(m)
	}
}

// prune removes messages that can have no effect any more, now or later.
func (s *state) prune() { s.messages = slices.DeleteFunc(s.messages, s.dead) }

// dead reports whether a message can have no effect any more. A refusal is the
// same as silence here, since time passes at any moment.
func (s *state) dead(m message) bool {
	in, ep := s.inst[m.inst], &s.eps[m.ep]
	fenced := int(s.wipes) == s.b.Wipes && !ep.joining
	switch m.kind {
	case fenceCall, promoteCall:
		return fenced && (m.term < ep.fence || m.term == ep.fence && m.owner != ep.owner)
	case followCall:
		return fenced && (m.term < ep.fence || ep.primary && m.term <= ep.term || m.term == ep.term && m.term == ep.fence && ep.follows == int8(m.target))
	case joinConfirm, readConfirm:
		return m.run != in.run || fenced && m.term < ep.fence
	case fenceAnswer:
		return m.run != in.run || !m.ok || m.attempt != in.attempt || in.promoting == in.attempt && s.b.Term != failover.ChooseAgain
	case promoteAnswer:
		return m.run != in.run || !m.ok || m.attempt != in.attempt
	}
	return m.run != in.run
}

// execute runs a call at its endpoint, as docs/design.md section 5 defines it,
// and returns the answer.
func (s *state) execute(m message) (answer message, answered bool) {
	ep := &s.eps[m.ep]
	answer = message{inst: m.inst, ep: m.ep, run: m.run, attempt: m.attempt, term: m.term}
	switch m.kind {
	case fenceCall:
		answer.kind = fenceAnswer
		if m.term > ep.fence || m.term == ep.fence && m.owner == ep.owner {
			ep.fence, ep.owner = m.term, m.owner
			answer.ok = true
		}
	case promoteCall:
		answer.kind = promoteAnswer
		if ep.fence == m.term && ep.owner == m.owner && !ep.joining {
			if !ep.primary || ep.term != m.term {
				ep.log = append(slices.Clone(ep.log), entry{term: m.term, by: m.ep + 1})
				ep.primary, ep.term, ep.follows = true, m.term, -1
			}
			answer.ok = true
		}
	case followCall:
		if m.term >= ep.fence && (!ep.primary || ep.term < m.term) {
			if m.term > ep.fence {
				ep.fence, ep.owner = m.term, ""
			}
			ep.term, ep.primary, ep.follows = m.term, false, int8(m.target)
		}
		return answer, false
	case joinConfirm, readConfirm:
		answer.kind = confirmAnswer
		answer.ok = ep.fence == m.term
		if m.kind == readConfirm {
			answer.target = 1
		}
		if !answer.ok {
			return answer, false
		}
	}
	answer.status = s.status(int(m.ep))
	return answer, true
}

// deliver passes an answer to its instance.
func (s *state) deliver(m message) {
	i := int(m.inst)
	if s.inst[i].run != m.run {
		return
	}
	result := failover.Refused
	if m.ok {
		result = failover.OK
	}
	id := endpointIDs[m.ep]
	switch m.kind {
	case fenceAnswer:
		s.step(i, failover.FenceResponse{Attempt: m.attempt, Endpoint: id, Result: result, Status: m.status})
	case promoteAnswer:
		s.step(i, failover.PromoteResponse{Attempt: m.attempt, Endpoint: id, Result: result, Status: m.status})
	case confirmAnswer:
		if m.target == 0 {
			s.step(i, failover.ConfirmResponse{Attempt: m.attempt, Endpoint: id, Result: result, Status: m.status})
			return
		}
		in := s.inst[i].clone()
		s.inst[i] = in
		done, next, t, send := in.acks.ConfirmResponse(m.attempt, m.status, nil)
		s.releaseReads(done)
		if send {
			s.sendConfirms(i, in.run, next, uint8(t))
		}
		in.seal()
	case report:
		s.report(i, m.status)
	}
}

// report passes a status to the instance's ack group, and to its term core when
// the endpoint is a primary or is copying its log.
func (s *state) report(i int, st fleet.EndpointStatus) {
	in := s.inst[i].clone()
	s.inst[i] = in
	for _, id := range in.acks.ObserveStatus(st, nil) {
		s.writes[id-1].acked = true
	}
	if st.Joining {
		s.perform(i, in, in.core.Step(in.now, failover.Status{Status: st}))
	}
	in.seal()
}

func (s *state) sendConfirms(i int, run uint8, seq uint64, t uint8) {
	for e := range s.eps {
		s.send(message{kind: readConfirm, inst: uint8(i), ep: uint8(e), run: run, attempt: seq, term: t})
	}
}

func (s *state) releaseReads(ids []uint64) {
	for _, id := range ids {
		r := &s.reads[id-101]
		r.done = true
		if r.must&^r.saw != 0 {
			s.broken = fmt.Sprintf("G1: a read at an old primary was answered without a write that had been acknowledged before it began (missing %s)", writeSet(r.must&^r.saw))
		}
	}
}

func writeSet(mask uint8) string {
	out := ""
	for w := range 8 {
		if mask&(1<<w) != 0 {
			out += fmt.Sprintf("w%d", w+1)
		}
	}
	return out
}

// Transition kinds.
const (
	kTick = iota
	kDeliver
	kDropAnswer
	kDuplicate
	kNoAnswer
	kWrite
	kRead
	kReplicate
	kReport
	kSlowReport
	kRestart
	kRestartEndpoint
	kWipe
	kRow
	kLeaving
)

// Next implements search.State.
func (s *state) Next(each func(search.Step, search.State)) {
	if s.broken != "" {
		return
	}
	visit := func(step search.Step, n *state) {
		n.prune()
		each(step, n)
	}
	s.nextTime(visit)
	s.nextMessages(visit)
	s.nextData(visit)
	s.nextFaults(visit)
	s.nextRow(visit)
}

func (s *state) nextTime(visit func(search.Step, *state)) {
	for i := range s.b.Instances {
		if int(s.ticks[i]) >= s.b.Ticks[i] || s.inst[i].rowCall != nil {
			continue
		}
		n := s.clone()
		n.ticks[i]++
		in := n.inst[i].clone()
		in.now += jump
		n.inst[i] = in
		n.step(i, failover.Tick{})
		visit(search.Step{Kind: kTick, A: uint8(i)}, n)
		if s.b.Drain && !s.drained[i] {
			n := s.clone()
			n.drained[i] = true
			n.step(i, failover.LeavingEndpoints{Endpoints: []fleet.EndpointID{"E1"}})
			visit(search.Step{Kind: kLeaving, A: uint8(i)}, n)
		}
	}
}

func (s *state) nextMessages(visit func(search.Step, *state)) {
	for j, m := range s.messages {
		if j > 0 && string(m.append(nil)) == string(s.messages[j-1].append(nil)) {
			continue
		}
		label := search.Step{A: uint8(m.kind), B: m.inst, C: m.ep}
		if m.kind >= fenceAnswer {
			n := s.clone()
			n.messages = slices.Delete(n.messages, j, j+1)
			n.deliver(m)
			label.Kind = kDeliver
			visit(label, n)
			continue
		}
		if m.kind == promoteCall {
			n := s.clone()
			n.step(int(m.inst), failover.PromoteResponse{Attempt: m.attempt, Endpoint: endpointIDs[m.ep]})
			label.Kind = kNoAnswer
			visit(label, n)
		}
		for _, duplicate := range []bool{false, true} {
			if duplicate && int(s.dups) >= s.b.Duplicates {
				continue
			}
			n := s.clone()
			label.Kind = kDeliver
			if duplicate {
				n.dups++
				label.Kind = kDuplicate
			} else {
				n.messages = slices.Delete(n.messages, j, j+1)
			}
			answer, answered := n.execute(m)
			if !answered || n.dead(answer) {
				visit(label, n)
				continue
			}
			if s.b.DelayAnswers {
				n.send(answer)
				visit(label, n)
				continue
			}
			lost := n.clone()
			n.deliver(answer)
			visit(label, n)
			label.Kind = kDropAnswer
			visit(label, lost)
		}
	}
}

// nextData covers writes, reads, replication and status reports.
func (s *state) nextData(visit func(search.Step, *state)) {
	for e := range s.eps {
		ep := &s.eps[e]
		serving := ep.primary && ep.fence == ep.term
		for i := range s.b.Instances {
			if serving && len(s.writes) < s.b.Writes && s.b.Instances-1-len(s.writes)%s.b.Instances == i {
				n := s.clone()
				n.write(i, e)
				visit(search.Step{Kind: kWrite, A: uint8(i), B: uint8(e)}, n)
			}
			if serving && len(s.reads) < s.b.Reads && i == 0 {
				n := s.clone()
				n.read(i, e)
				visit(search.Step{Kind: kRead, A: uint8(i), B: uint8(e)}, n)
			}
			// Reports matter only while a write waits or an endpoint is joining.
			if s.reportMatters(i, e) {
				n := s.clone()
				n.report(i, s.status(e))
				visit(search.Step{Kind: kReport, A: uint8(e), B: uint8(i)}, n)
			}
			if int(s.slow) < s.b.SlowReports {
				n := s.clone()
				n.slow++
				n.send(message{kind: report, inst: uint8(i), ep: uint8(e), run: s.inst[i].run, status: s.status(e)})
				visit(search.Step{Kind: kSlowReport, A: uint8(e), B: uint8(i)}, n)
			}
		}
		s.nextReplication(e, visit)
	}
}

// reportMatters reports whether a status can change anything: it releases a
// write, or tells of a lost log. The latter is told only when every attempt that
// was open at the loss has ended, which is what JoinDelay waits for.
func (s *state) reportMatters(i, e int) bool {
	if s.eps[e].joining {
		for j := range s.b.Instances {
			if s.open[j] == s.ticks[j]+1 && s.inst[j].promoting != s.inst[j].attempt && !s.b.JoinAtOnce {
				return false
			}
		}
		return true
	}
	if s.inst[i].acks.Waiting() == 0 {
		return false
	}
	return s.b.AllReports || len(s.inst[i].acks.Clone().ObserveStatus(s.status(e), nil)) > 0
}

func (s *state) nextReplication(e int, visit func(search.Step, *state)) {
	f := &s.eps[e]
	if f.primary || f.follows < 0 || f.term < f.fence {
		return
	}
	p := &s.eps[f.follows]
	if !p.primary || p.term != f.term || p.fence != p.term {
		return
	}
	common := 0
	for common < len(f.log) && common < len(p.log) && f.log[common] == p.log[common] {
		common++
	}
	if common == len(p.log) && common == len(f.log) && !f.joining {
		return
	}
	n := s.clone()
	nf := &n.eps[e]
	switch {
	case common < len(f.log):
		nf.log = slices.Clone(f.log[:common])
	case common < len(p.log):
		nf.log = append(slices.Clone(f.log), p.log[common])
	}
	if len(nf.log) == len(p.log) {
		nf.joining = false
	}
	visit(search.Step{Kind: kReplicate, A: uint8(f.follows), B: uint8(e)}, n)
}

func (s *state) write(i, e int) {
	ep := &s.eps[e]
	id := uint8(len(s.writes) + 1)
	ep.log = append(slices.Clone(ep.log), entry{term: ep.term, write: id})
	in := s.inst[i].clone()
	s.inst[i] = in
	// The instance learned the primary from its status.
	st := s.status(e)
	st.Received--
	released := in.acks.ObserveStatus(st, nil)
	w := write{term: ep.term, inst: uint8(i), pos: uint8(len(ep.log))}
	w.acked = in.acks.AddWrite(uint64(id), fleet.Term(w.term), fleet.Position(w.pos))
	s.writes = append(s.writes, w)
	for _, r := range released {
		s.writes[r-1].acked = true
	}
	in.seal()
}

func (s *state) read(i, e int) {
	ep := &s.eps[e]
	r := read{inst: uint8(i), run: s.inst[i].run, used: true}
	for w := range s.writes {
		if s.writes[w].acked {
			r.must |= 1 << w
		}
	}
	for _, l := range ep.log {
		if l.write > 0 {
			r.saw |= 1 << (l.write - 1)
		}
	}
	in := s.inst[i].clone()
	s.inst[i] = in
	for _, id := range in.acks.ObserveStatus(s.status(e), nil) {
		s.writes[id-1].acked = true
	}
	s.reads = append(s.reads, r)
	seq, send := in.acks.AddRead(uint64(100+len(s.reads)), fleet.Term(ep.term))
	if send {
		s.sendConfirms(i, in.run, seq, ep.term)
	}
	in.seal()
}

func (s *state) nextFaults(visit func(search.Step, *state)) {
	if int(s.restarts) < s.b.Restarts {
		for i := range s.b.Instances {
			n := s.clone()
			n.restarts++
			n.inst[i] = n.newInstance(i, s.inst[i].run+1, s.inst[i].now)
			visit(search.Step{Kind: kRestart, A: uint8(i)}, n)
		}
	}
	for e := range s.eps {
		if int(s.epRestart) < s.b.EndpointRestarts && s.eps[e].primary {
			n := s.clone()
			n.epRestart++
			n.eps[e].primary = false
			visit(search.Step{Kind: kRestartEndpoint, A: uint8(e)}, n)
		}
		if int(s.wipes) < s.b.Wipes && !s.eps[e].joining {
			n := s.clone()
			n.wipes++
			n.eps[e] = endpoint{joining: true, follows: -1}
			n.open = [2]uint8{s.ticks[0] + 1, s.ticks[1] + 1}
			visit(search.Step{Kind: kWipe, A: uint8(e)}, n)
		}
	}
}

// nextRow answers the pending call to the table: with its effect and the answer,
// with its effect but no answer, or without effect and answer.
func (s *state) nextRow(visit func(search.Step, *state)) {
	for i := range s.b.Instances {
		call := s.inst[i].rowCall
		if call == nil {
			continue
		}
		for mode := range 3 {
			n := s.clone()
			in := n.inst[i].clone()
			in.rowCall = nil
			n.inst[i] = in
			a := failover.RowResponse{}
			put := func(attempt uint64, row failover.Row, ifVersion uint64) {
				a.Attempt = attempt
				if mode == 2 {
					return
				}
				a.Result = failover.Refused
				if n.rowV == ifVersion {
					n.row, n.rowV = row, n.rowV+1
					a.Result = failover.OK
				}
				a.Row, a.Version = n.row, n.rowV
			}
			switch c := call.(type) {
			case failover.ReadRow:
				a = failover.RowResponse{Attempt: c.Attempt, Result: failover.OK, Row: n.row, Version: n.rowV}
				if mode == 1 {
					continue
				}
			case failover.Claim:
				put(c.Attempt, c.Row, c.IfVersion)
			case failover.Publish:
				put(c.Attempt, c.Row, c.IfVersion)
			}
			if mode > 0 {
				a = failover.RowResponse{Attempt: a.Attempt}
			}
			n.step(i, a)
			visit(search.Step{Kind: kRow, A: uint8(i), B: uint8(mode), C: uint8(kindOfRow(call))}, n)
		}
	}
}

// Check implements search.State.
func (s *state) Check() string {
	if s.broken != "" {
		return s.broken
	}
	for id, w := range s.writes {
		if !w.acked {
			continue
		}
		for e := range s.eps {
			ep := &s.eps[e]
			holds := len(ep.log) >= int(w.pos) && ep.log[w.pos-1].write == uint8(id+1)
			if ep.primary && ep.term > w.term && !holds {
				return fmt.Sprintf("G2: acknowledged write w%d (term %d, position %d) is not in the log of %s, primary of term %d", id+1, w.term, w.pos, endpointIDs[e], ep.term)
			}
			for q := int(w.pos); q <= len(ep.log); q++ {
				st := fleet.EndpointStatus{AppliedTerm: fleet.Term(ep.log[q-1].term), Applied: fleet.Position(q)}
				if !holds && st.HasApplied(fleet.LogPosition{Term: fleet.Term(w.term), Position: fleet.Position(w.pos)}) {
					return fmt.Sprintf("G1: %s covers the token of write w%d (term %d, position %d) without holding it", endpointIDs[e], id+1, w.term, w.pos)
				}
			}
		}
	}
	for e := range s.eps {
		for f := e + 1; f < endpoints; f++ {
			for _, a := range s.eps[e].log {
				for _, b := range s.eps[f].log {
					if a.term == b.term && a.write == 0 && b.write == 0 && a.by != b.by {
						return fmt.Sprintf("G2: E%d and E%d were both promoted in term %d", a.by, b.by, a.term)
					}
				}
			}
		}
	}
	return ""
}

var messageNames = [...]string{"FENCE", "PROMOTE", "FOLLOW", "CONFIRM (join)", "CONFIRM (read)", "answer to FENCE", "answer to PROMOTE", "answer to CONFIRM", "status report"}

// DescribeStep describes a step.
func DescribeStep(s search.Step) string {
	switch s.Kind {
	case kTick:
		return fmt.Sprintf("time passes at I%d beyond every timeout", s.A+1)
	case kDeliver:
		if messageKind(s.A) >= fenceAnswer {
			return fmt.Sprintf("%s from E%d reaches I%d", messageNames[s.A], s.C+1, s.B+1)
		}
		return fmt.Sprintf("%s from I%d runs at E%d", messageNames[s.A], s.B+1, s.C+1)
	case kDropAnswer:
		return fmt.Sprintf("%s from I%d runs at E%d, the answer is lost", messageNames[s.A], s.B+1, s.C+1)
	case kNoAnswer:
		return fmt.Sprintf("I%d gives up waiting for %s at E%d, which is still in flight", s.B+1, messageNames[s.A], s.C+1)
	case kDuplicate:
		return fmt.Sprintf("a duplicate of %s from I%d runs at E%d", messageNames[s.A], s.B+1, s.C+1)
	case kWrite:
		return fmt.Sprintf("I%d sends a write to E%d", s.A+1, s.B+1)
	case kRead:
		return fmt.Sprintf("I%d sends a read with unknown floor to E%d", s.A+1, s.B+1)
	case kReplicate:
		return fmt.Sprintf("E%d replicates one step to E%d", s.A+1, s.B+1)
	case kReport:
		return fmt.Sprintf("E%d reports its status to I%d", s.A+1, s.B+1)
	case kSlowReport:
		return fmt.Sprintf("E%d sends a status report to I%d that stays in flight", s.A+1, s.B+1)
	case kRestart:
		return fmt.Sprintf("I%d restarts without state", s.A+1)
	case kRestartEndpoint:
		return fmt.Sprintf("E%d restarts as a replica", s.A+1)
	case kWipe:
		return fmt.Sprintf("E%d loses its log and its fence", s.A+1)
	case kRow:
		return fmt.Sprintf("table call %s of I%d: %s", [...]string{"", "read", "claim", "publish"}[s.C], s.A+1, [...]string{"answered", "took effect, answer lost", "no effect, no answer"}[s.B])
	case kLeaving:
		return fmt.Sprintf("the bundle that marks E1 as leaving reaches I%d", s.A+1)
	}
	return "?"
}
