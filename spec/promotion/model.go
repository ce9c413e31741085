// Package promotion models one database group: three endpoints, and instances that
// each run a promoter and an acknowledgement tracker. It covers promotion,
// acknowledgement, confirmed reads and position tokens together.
//
// The model runs the real cores of core/failover and core/ack; the endpoints
// follow the table of VH commands in docs/design.md, section 5. Messages are
// delivered in any order. A message that is never delivered covers message loss,
// a partition and a paused receiver. An instance that takes no step is paused.
// Time advances for one instance at a time, by more than any timeout of the core.
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

// Bounds limits the state space of the model.
type Bounds struct {
	// Instances is the number of promoters, at most 2.
	Instances int
	// Ticks is how often time advances for each instance.
	Ticks [2]int
	// Writes and Reads limit the writes and reads that are sent, to at most 4 each.
	Writes, Reads int
	// Restarts limits the restarts of instances.
	Restarts int
	// EndpointRestarts limits the restarts of a primary. Its log and fence survive.
	EndpointRestarts int
	// Wipes limits how often an endpoint loses its log and fence.
	Wipes int
	// Duplicates limits the duplicated calls to endpoints.
	Duplicates int
	// Table makes the table available, with lost answers; without it, the store is
	// down.
	Table bool
	// Drain rolls out a bundle that marks E1 as leaving; it can reach an instance
	// whenever that instance's time can advance.
	Drain bool
	// DelayAnswers keeps the endpoints' answers in flight; without it, an answer
	// arrives at once or never.
	DelayAnswers bool
	// SlowReports limits the status reports that stay in flight.
	SlowReports int
	// AllReports also delivers reports whose delivery does not immediately
	// acknowledge a write.
	AllReports bool
	// JoinAtOnce removes the delay before an endpoint that lost its log may follow a
	// primary.
	JoinAtOnce bool
	Term       failover.Mutation
	Ack        ack.Mutation
}

const (
	endpointCount = 3
	// timeout is used for the timeouts of the cores; tickDuration is the time that
	// passes in one tick. Times further from now than horizon are equivalent.
	timeout      = 10 * time.Second
	tickDuration = 11 * time.Second
	horizon      = 5 * time.Second
)

var endpointIDs = [endpointCount]fleet.EndpointID{"E1", "E2", "E3"}

func endpointIndex(id fleet.EndpointID) int { return slices.Index(endpointIDs[:], id) }

// entry is a log entry. write is the number of a write, or 0 for the no-op entry
// that endpoint number by appends when it is promoted.
type entry struct{ term, write, by uint8 }

// endpoint is a simulated endpoint. A joining one has lost its log and has not yet
// copied a primary's.
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
	// run is the run of the instance that sent the call. Answers to an earlier run
	// are dropped.
	run     uint8
	attempt uint64
	term    uint8
	owner   string
	// target is the primary of a FOLLOW. In the answer to a CONFIRM it is 1 for a
	// read and 0 for a join.
	target uint8
	ok     bool
	status fleet.EndpointStatus
}

// instance is immutable, since states share it.
type instance struct {
	core *failover.Core
	acks *ack.Tracker
	now  time.Duration
	run  uint8
	// attempt is the attempt of the last FENCE, promoting that of the last PROMOTE.
	attempt, promoting uint64
	// tableCall is the pending call to the table, nil if none.
	tableCall failover.Action
	key       uint64
}

// write is a write sent by an instance; pos is its log position.
type write struct {
	term, inst uint8
	pos        uint8
	acked      bool
}

// read is a read that needs the primary's confirmation.
type read struct {
	// required is the set of writes acknowledged before the read began, saw the set of
	// writes in the log that it read. Both are bit masks.
	required, saw uint8
	inst, run     uint8
	used          bool
	done          bool // answered
}

type state struct {
	bounds           *Bounds
	endpoints        [endpointCount]endpoint
	instances        [2]*instance
	messages         []message
	writes           []write
	reads            []read
	row              failover.Row
	rowVersion       uint64
	ticks            [2]uint8
	restarts         uint8
	endpointRestarts uint8
	wipes            uint8
	duplicates       uint8
	slowReports      uint8
	// ticksAtLoss is the number of ticks of an instance, plus one, at the time when an
	// endpoint lost its log; 0 if none has.
	ticksAtLoss [2]uint8
	drained     [2]bool
	violation   string
}

// Initial returns the state in which E1 is the primary of term 1.
func Initial(b Bounds) []search.State {
	s := &state{bounds: &b}
	for i := range s.endpoints {
		s.endpoints[i] = endpoint{term: 1, fence: 1, follows: 0, log: []entry{{term: 1}}}
	}
	s.endpoints[0].primary, s.endpoints[0].follows = true, -1
	for i := range b.Instances {
		s.instances[i] = s.newInstance(i, 0, time.Second)
	}
	return []search.State{s}
}

func (s *state) newInstance(i int, run uint8, now time.Duration) *instance {
	cfg := failover.Config{
		Group: "g", Self: fleet.InstanceID(fmt.Sprintf("I%d", i+1)), RunID: fmt.Sprint(run), Seed: 1,
		SuspectAfter: horizon, Stagger: 1, Jitter: 1, Backoff: 1,
		ClaimTimeout: timeout, FenceTimeout: timeout, PromoteTimeout: timeout, QuiesceTimeout: timeout,
		RetryInterval: 100 * timeout, RepairDelay: 1000 * timeout, JoinDelay: -1, Mutation: s.bounds.Term,
	}
	for _, id := range endpointIDs {
		cfg.Endpoints = append(cfg.Endpoints, failover.Endpoint{ID: id, Addr: string(id)})
	}
	in := &instance{core: failover.New(cfg), acks: ack.New(s.bounds.Ack), now: now, run: run}
	// In a fleet of one, suspicion needs no agreement of other instances, so that
	// the model covers every wrong suspicion.
	in.core.Step(now, failover.Members{Listed: 1})
	for e := range s.endpoints {
		in.core.Step(now, failover.Status{Status: s.status(e)})
		in.acks.ObserveStatus(s.status(e), nil)
	}
	in.updateKey()
	return in
}

func (in *instance) clone() *instance {
	c := *in
	c.core, c.acks = in.core.Clone(), in.acks.Clone()
	return &c
}

// updateKey recomputes the key of the instance.
func (in *instance) updateKey() {
	var b [40]byte
	binary.LittleEndian.PutUint64(b[0:], search.CoreKey(in.core, in.now, horizon, horizon))
	binary.LittleEndian.PutUint64(b[8:], search.CoreKey(in.acks, in.now, horizon, horizon))
	if in.tableCall != nil {
		binary.LittleEndian.PutUint64(b[16:], search.CoreKey(in.tableCall, in.now, horizon, horizon))
		b[24] = byte(tableCallIndex(in.tableCall))
	}
	b[25] = in.run
	in.key = xxhash.Sum64(b[:])
}

// tableCallIndex maps a call to the table to its index in the table of call names.
func tableCallIndex(a failover.Action) int {
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
	for i := range s.endpoints {
		e := &s.endpoints[i]
		buf = append(buf, e.term, e.fence, bit(e.primary), bit(e.joining), byte(e.follows), byte(len(e.owner)))
		buf = append(buf, e.owner...)
		buf = append(buf, byte(len(e.log)))
		for _, l := range e.log {
			buf = append(buf, l.term, l.write, l.by)
		}
	}
	for _, in := range s.instances {
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
		buf = append(buf, r.required, r.saw, r.inst, r.run, bit(r.used), bit(r.done))
	}
	buf = append(buf, byte(s.row.Term), s.ticks[0], s.ticks[1], s.restarts, s.endpointRestarts, s.wipes, s.duplicates, s.slowReports, s.ticksAtLoss[0], s.ticksAtLoss[1], bit(s.drained[0]), bit(s.drained[1]))
	buf = append(buf, s.row.Nonce...)
	buf = append(buf, s.row.State...)
	buf = append(buf, s.row.Primary...)
	buf = binary.AppendUvarint(buf, s.rowVersion)
	buf = append(buf, s.violation...)
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

// send adds a message. Messages are sorted, so that states with the same messages
// in flight have the same key.
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

// status returns what endpoint e reports about itself.
func (s *state) status(e int) fleet.EndpointStatus {
	ep := &s.endpoints[e]
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

// step passes events to the core of a copy of instance i and performs the
// resulting actions.
func (s *state) step(i int, events ...failover.Event) {
	in := s.instances[i].clone()
	s.instances[i] = in
	for _, e := range events {
		s.perform(i, in, in.core.Step(in.now, e))
	}
	in.updateKey()
}

// perform turns actions into messages and calls to the table.
func (s *state) perform(i int, in *instance, actions []failover.Action) {
	for _, a := range actions {
		m := message{inst: uint8(i), run: in.run}
		switch a := a.(type) {
		case failover.ReadRow, failover.Claim, failover.Publish:
			// The row of a finished promotion is not modelled, since it is only
			// informational.
			if s.bounds.Table && (in.attempt == 0 || in.promoting < in.attempt || in.core.AttemptRunning()) {
				in.tableCall = a
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

// removeDeadMessages removes the messages that can no longer have an effect.
func (s *state) removeDeadMessages() { s.messages = slices.DeleteFunc(s.messages, s.dead) }

// dead reports whether a message can no longer have an effect. A refusal is
// equivalent to a lost answer, since a timeout can occur at any time.
func (s *state) dead(m message) bool {
	in, ep := s.instances[m.inst], &s.endpoints[m.ep]
	// No wipe is left that could reset the endpoint's fence.
	fenceKept := int(s.wipes) == s.bounds.Wipes && !ep.joining
	switch m.kind {
	case fenceCall, promoteCall:
		return fenceKept && (m.term < ep.fence || m.term == ep.fence && m.owner != ep.owner)
	case followCall:
		return fenceKept && (m.term < ep.fence || ep.primary && m.term <= ep.term || m.term == ep.term && m.term == ep.fence && ep.follows == int8(m.target))
	case joinConfirm, readConfirm:
		return m.run != in.run || fenceKept && m.term < ep.fence
	case fenceAnswer:
		return m.run != in.run || !m.ok || m.attempt != in.attempt || in.promoting == in.attempt && s.bounds.Term != failover.ChooseAgain
	case promoteAnswer:
		return m.run != in.run || !m.ok || m.attempt != in.attempt
	}
	return m.run != in.run
}

// execute runs a call at its endpoint as defined in docs/design.md, section 5, and
// returns the answer, if there is one.
func (s *state) execute(m message) (answer message, answered bool) {
	ep := &s.endpoints[m.ep]
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

// deliver passes an answer or a status report to its instance.
func (s *state) deliver(m message) {
	i := int(m.inst)
	if s.instances[i].run != m.run {
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
		in := s.instances[i].clone()
		s.instances[i] = in
		done, next, t, send := in.acks.ConfirmResponse(m.attempt, m.status, nil)
		s.releaseReads(done)
		if send {
			s.sendConfirms(i, in.run, next, uint8(t))
		}
		in.updateKey()
	case report:
		s.deliverReport(i, m.status)
	}
}

// deliverReport passes a status to the acknowledgement tracker of instance i
// and, if the endpoint is joining, to its failover core.
func (s *state) deliverReport(i int, st fleet.EndpointStatus) {
	in := s.instances[i].clone()
	s.instances[i] = in
	for _, id := range in.acks.ObserveStatus(st, nil) {
		s.writes[id-1].acked = true
	}
	if st.Joining {
		s.perform(i, in, in.core.Step(in.now, failover.Status{Status: st}))
	}
	in.updateKey()
}

// sendConfirms sends a CONFIRM for reads to every endpoint.
func (s *state) sendConfirms(i int, run uint8, seq uint64, t uint8) {
	for e := range s.endpoints {
		s.send(message{kind: readConfirm, inst: uint8(i), ep: uint8(e), run: run, attempt: seq, term: t})
	}
}

// releaseReads answers reads and verifies G1: each saw every write that had been
// acknowledged before it began.
func (s *state) releaseReads(ids []uint64) {
	for _, id := range ids {
		r := &s.reads[id-101]
		r.done = true
		if r.required&^r.saw != 0 {
			s.violation = fmt.Sprintf("G1: a read at an old primary was answered without a write that had been acknowledged before it began (missing %s)", writeSet(r.required&^r.saw))
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

// Values of search.Step.Kind.
const (
	kindTick = iota
	kindDeliver
	kindDropAnswer
	kindDuplicate
	kindCallTimeout
	kindWrite
	kindRead
	kindReplicate
	kindReport
	kindSlowReport
	kindRestart
	kindRestartEndpoint
	kindWipe
	kindTableCall
	kindLeaving
)

// Next implements search.State.
func (s *state) Next(each func(search.Step, search.State)) {
	if s.violation != "" {
		return
	}
	visit := func(step search.Step, n *state) {
		n.removeDeadMessages()
		each(step, n)
	}
	s.nextTime(visit)
	s.nextMessages(visit)
	s.nextData(visit)
	s.nextFaults(visit)
	s.nextTableCall(visit)
}

func (s *state) nextTime(visit func(search.Step, *state)) {
	for i := range s.bounds.Instances {
		if int(s.ticks[i]) >= s.bounds.Ticks[i] || s.instances[i].tableCall != nil {
			continue
		}
		n := s.clone()
		n.ticks[i]++
		in := n.instances[i].clone()
		in.now += tickDuration
		n.instances[i] = in
		n.step(i, failover.Tick{})
		visit(search.Step{Kind: kindTick, A: uint8(i)}, n)
		if s.bounds.Drain && !s.drained[i] {
			n := s.clone()
			n.drained[i] = true
			n.step(i, failover.LeavingEndpoints{Endpoints: []fleet.EndpointID{"E1"}})
			visit(search.Step{Kind: kindLeaving, A: uint8(i)}, n)
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
			label.Kind = kindDeliver
			visit(label, n)
			continue
		}
		if m.kind == promoteCall {
			n := s.clone()
			n.step(int(m.inst), failover.PromoteResponse{Attempt: m.attempt, Endpoint: endpointIDs[m.ep]})
			label.Kind = kindCallTimeout
			visit(label, n)
		}
		for _, duplicate := range []bool{false, true} {
			if duplicate && int(s.duplicates) >= s.bounds.Duplicates {
				continue
			}
			n := s.clone()
			label.Kind = kindDeliver
			if duplicate {
				n.duplicates++
				label.Kind = kindDuplicate
			} else {
				n.messages = slices.Delete(n.messages, j, j+1)
			}
			answer, answered := n.execute(m)
			if !answered || n.dead(answer) {
				visit(label, n)
				continue
			}
			if s.bounds.DelayAnswers {
				n.send(answer)
				visit(label, n)
				continue
			}
			lost := n.clone()
			n.deliver(answer)
			visit(label, n)
			label.Kind = kindDropAnswer
			visit(label, lost)
		}
	}
}

// nextData covers writes, reads, replication and status reports.
func (s *state) nextData(visit func(search.Step, *state)) {
	for e := range s.endpoints {
		ep := &s.endpoints[e]
		serving := ep.primary && ep.fence == ep.term
		for i := range s.bounds.Instances {
			if serving && len(s.writes) < s.bounds.Writes && s.bounds.Instances-1-len(s.writes)%s.bounds.Instances == i {
				n := s.clone()
				n.write(i, e)
				visit(search.Step{Kind: kindWrite, A: uint8(i), B: uint8(e)}, n)
			}
			if serving && len(s.reads) < s.bounds.Reads && i == 0 {
				n := s.clone()
				n.read(i, e)
				visit(search.Step{Kind: kindRead, A: uint8(i), B: uint8(e)}, n)
			}
			if s.reportHasEffect(i, e) {
				n := s.clone()
				n.deliverReport(i, s.status(e))
				visit(search.Step{Kind: kindReport, A: uint8(e), B: uint8(i)}, n)
			}
			if int(s.slowReports) < s.bounds.SlowReports {
				n := s.clone()
				n.slowReports++
				n.send(message{kind: report, inst: uint8(i), ep: uint8(e), run: s.instances[i].run, status: s.status(e)})
				visit(search.Step{Kind: kindSlowReport, A: uint8(e), B: uint8(i)}, n)
			}
		}
		s.nextReplication(e, visit)
	}
}

// reportHasEffect reports whether delivering a status can have an effect, which it
// has only while a write waits or an endpoint is joining: it acknowledges the write
// or reports the lost log. A lost log is reported only once every attempt that was
// running at the loss has ended, which JoinDelay ensures, unless JoinAtOnce is set.
func (s *state) reportHasEffect(i, e int) bool {
	if s.endpoints[e].joining {
		for j := range s.bounds.Instances {
			if s.ticksAtLoss[j] == s.ticks[j]+1 && s.instances[j].promoting != s.instances[j].attempt && !s.bounds.JoinAtOnce {
				return false
			}
		}
		return true
	}
	if s.instances[i].acks.Waiting() == 0 {
		return false
	}
	return s.bounds.AllReports || len(s.instances[i].acks.Clone().ObserveStatus(s.status(e), nil)) > 0
}

// nextReplication removes the conflicting entries of a replica's log or appends
// the next entry of its primary's log.
func (s *state) nextReplication(e int, visit func(search.Step, *state)) {
	f := &s.endpoints[e]
	if f.primary || f.follows < 0 || f.term < f.fence {
		return
	}
	p := &s.endpoints[f.follows]
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
	nf := &n.endpoints[e]
	switch {
	case common < len(f.log):
		nf.log = slices.Clone(f.log[:common])
	case common < len(p.log):
		nf.log = append(slices.Clone(f.log), p.log[common])
	}
	if len(nf.log) == len(p.log) {
		nf.joining = false
	}
	visit(search.Step{Kind: kindReplicate, A: uint8(f.follows), B: uint8(e)}, n)
}

// write sends a write from instance i to endpoint e, which appends it to its log.
func (s *state) write(i, e int) {
	ep := &s.endpoints[e]
	id := uint8(len(s.writes) + 1)
	ep.log = append(slices.Clone(ep.log), entry{term: ep.term, write: id})
	in := s.instances[i].clone()
	s.instances[i] = in
	// The instance learned of the primary from a status sent before this write.
	st := s.status(e)
	st.Received--
	released := in.acks.ObserveStatus(st, nil)
	w := write{term: ep.term, inst: uint8(i), pos: uint8(len(ep.log))}
	w.acked = in.acks.AddWrite(uint64(id), fleet.Term(w.term), fleet.Position(w.pos))
	s.writes = append(s.writes, w)
	for _, r := range released {
		s.writes[r-1].acked = true
	}
	in.updateKey()
}

// read sends a read with unknown floor from instance i to endpoint e.
func (s *state) read(i, e int) {
	ep := &s.endpoints[e]
	r := read{inst: uint8(i), run: s.instances[i].run, used: true}
	for w := range s.writes {
		if s.writes[w].acked {
			r.required |= 1 << w
		}
	}
	for _, l := range ep.log {
		if l.write > 0 {
			r.saw |= 1 << (l.write - 1)
		}
	}
	in := s.instances[i].clone()
	s.instances[i] = in
	for _, id := range in.acks.ObserveStatus(s.status(e), nil) {
		s.writes[id-1].acked = true
	}
	s.reads = append(s.reads, r)
	seq, send := in.acks.AddRead(uint64(100+len(s.reads)), fleet.Term(ep.term))
	if send {
		s.sendConfirms(i, in.run, seq, ep.term)
	}
	in.updateKey()
}

func (s *state) nextFaults(visit func(search.Step, *state)) {
	if int(s.restarts) < s.bounds.Restarts {
		for i := range s.bounds.Instances {
			n := s.clone()
			n.restarts++
			n.instances[i] = n.newInstance(i, s.instances[i].run+1, s.instances[i].now)
			visit(search.Step{Kind: kindRestart, A: uint8(i)}, n)
		}
	}
	for e := range s.endpoints {
		if int(s.endpointRestarts) < s.bounds.EndpointRestarts && s.endpoints[e].primary {
			n := s.clone()
			n.endpointRestarts++
			n.endpoints[e].primary = false
			visit(search.Step{Kind: kindRestartEndpoint, A: uint8(e)}, n)
		}
		if int(s.wipes) < s.bounds.Wipes && !s.endpoints[e].joining {
			n := s.clone()
			n.wipes++
			n.endpoints[e] = endpoint{joining: true, follows: -1}
			n.ticksAtLoss = [2]uint8{s.ticks[0] + 1, s.ticks[1] + 1}
			visit(search.Step{Kind: kindWipe, A: uint8(e)}, n)
		}
	}
}

// nextTableCall completes the pending call to the table: with effect and
// answer, with effect but without answer, or without either.
func (s *state) nextTableCall(visit func(search.Step, *state)) {
	for i := range s.bounds.Instances {
		call := s.instances[i].tableCall
		if call == nil {
			continue
		}
		for mode := range 3 {
			n := s.clone()
			in := n.instances[i].clone()
			in.tableCall = nil
			n.instances[i] = in
			a := failover.RowResponse{}
			put := func(attempt uint64, row failover.Row, ifVersion uint64) {
				a.Attempt = attempt
				if mode == 2 {
					return
				}
				a.Result = failover.Refused
				if n.rowVersion == ifVersion {
					n.row, n.rowVersion = row, n.rowVersion+1
					a.Result = failover.OK
				}
				a.Row, a.Version = n.row, n.rowVersion
			}
			switch c := call.(type) {
			case failover.ReadRow:
				a = failover.RowResponse{Attempt: c.Attempt, Result: failover.OK, Row: n.row, Version: n.rowVersion}
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
			visit(search.Step{Kind: kindTableCall, A: uint8(i), B: uint8(mode), C: uint8(tableCallIndex(call))}, n)
		}
	}
}

// Check implements search.State. It verifies G2, a later primary holds every
// acknowledged write and each term has one primary, and G1, an endpoint that covers
// the token of a write holds the write. releaseReads verifies G1 for reads.
func (s *state) Check() string {
	if s.violation != "" {
		return s.violation
	}
	for id, w := range s.writes {
		if !w.acked {
			continue
		}
		for e := range s.endpoints {
			ep := &s.endpoints[e]
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
	for e := range s.endpoints {
		for f := e + 1; f < endpointCount; f++ {
			for _, a := range s.endpoints[e].log {
				for _, b := range s.endpoints[f].log {
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

// DescribeStep returns the text for a step in the printed trace of a violation.
func DescribeStep(s search.Step) string {
	switch s.Kind {
	case kindTick:
		return fmt.Sprintf("time advances at I%d beyond every timeout", s.A+1)
	case kindDeliver:
		if messageKind(s.A) >= fenceAnswer {
			return fmt.Sprintf("%s from E%d reaches I%d", messageNames[s.A], s.C+1, s.B+1)
		}
		return fmt.Sprintf("%s from I%d runs at E%d", messageNames[s.A], s.B+1, s.C+1)
	case kindDropAnswer:
		return fmt.Sprintf("%s from I%d runs at E%d; the answer is lost", messageNames[s.A], s.B+1, s.C+1)
	case kindCallTimeout:
		return fmt.Sprintf("I%d times out waiting for %s at E%d, which stays in flight", s.B+1, messageNames[s.A], s.C+1)
	case kindDuplicate:
		return fmt.Sprintf("a duplicate of %s from I%d runs at E%d", messageNames[s.A], s.B+1, s.C+1)
	case kindWrite:
		return fmt.Sprintf("I%d sends a write to E%d", s.A+1, s.B+1)
	case kindRead:
		return fmt.Sprintf("I%d sends a read with unknown floor to E%d", s.A+1, s.B+1)
	case kindReplicate:
		return fmt.Sprintf("E%d replicates one step to E%d", s.A+1, s.B+1)
	case kindReport:
		return fmt.Sprintf("E%d reports its status to I%d", s.A+1, s.B+1)
	case kindSlowReport:
		return fmt.Sprintf("E%d sends a status report to I%d that stays in flight", s.A+1, s.B+1)
	case kindRestart:
		return fmt.Sprintf("I%d restarts without state", s.A+1)
	case kindRestartEndpoint:
		return fmt.Sprintf("E%d restarts as a replica", s.A+1)
	case kindWipe:
		return fmt.Sprintf("E%d loses its log and its fence", s.A+1)
	case kindTableCall:
		return fmt.Sprintf("table call %s of I%d: %s", [...]string{"", "read", "claim", "publish"}[s.C], s.A+1, [...]string{"answered", "took effect, answer lost", "no effect, no answer"}[s.B])
	case kindLeaving:
		return fmt.Sprintf("the bundle that marks E1 as leaving reaches I%d", s.A+1)
	}
	return "unknown step"
}
