// Package ack decides when a write may be acknowledged to its caller, and when
// the term of a read at the primary is confirmed.
//
// A write is acknowledged once a second endpoint is known to hold it. A read at
// the primary is answered once another endpoint has confirmed that it has granted
// no higher term.
//
// There is one Tracker per database group; the caller guards it with a mutex.
// AddWrite and AddRead register waiters under ids that the caller chooses;
// ObserveStatus and ConfirmResponse return the ids that are released. The path of
// a write allocates only to grow buffers.
//
//	if t.AddWrite(id, term, pos) { acknowledge at once }
//	done = t.ObserveStatus(status, done[:0])       // every status notification
//	seq, send := t.AddRead(id, term)               // send VH CONFIRM if send
//	done, next, term, send = t.ConfirmResponse(seq, status, done[:0])
//	t.Cancel(id)                                   // timeout: outcome unknown
//
// The package uses no clock. A waiter that is never released ends with outcome
// unknown when the caller's timeout of 2 s passes. The caller may cancel it as
// soon as the primary of a higher term is reported, because nothing releases it
// after that.
package ack

import (
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation disables one safety rule, so that the exhaustive state search can show
// that it detects the violation. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// AckAlone releases a write that no second endpoint is known to hold.
	AckAlone
	// AckAnyTerm ignores the terms of a status and of the write.
	AckAnyTerm
	// AckAnyLog ignores the term of the endpoint's last log entry.
	AckAnyLog
	// ConfirmEarlier lets a confirmation that is already in flight confirm reads
	// that end later.
	ConfirmEarlier
	// ConfirmSelf lets the primary confirm its own term.
	ConfirmSelf
)

// Tracker holds the writes and reads of one database group that wait to be released.
// It is not safe for concurrent use.
type Tracker struct {
	mutation Mutation
	// term is the highest term whose primary is known. The primary never changes
	// within a term, because a majority of endpoints grants a term to one promoter
	// only and a promoter promotes one endpoint per term.
	term    fleet.Term
	primary fleet.EndpointID
	// replicatedTo is the highest log position of term that an endpoint other than
	// the primary has reported. It only grows within a term.
	replicatedTo fleet.Position
	// lastStatuses holds the latest status of each endpoint, so that it can be counted
	// when the primary of its term becomes known later.
	lastStatuses []fleet.EndpointStatus
	// writes is a min-heap by position. Writes of a term below term are never
	// released.
	writes []waiter
	reads  []waiter
	// lastConfirm is the number of the latest confirmation, confirmInFlight that of
	// the one in flight, 0 if none, and confirmTerm the term that it asks for.
	lastConfirm, confirmInFlight uint64
	confirmTerm                  fleet.Term
}

// waiter is a write at log position pos, or a read that needs a confirmation with
// number seq or higher.
type waiter struct {
	id   uint64
	term fleet.Term
	pos  fleet.Position
	seq  uint64
}

// New returns a Tracker without waiters.
func New(m Mutation) *Tracker { return &Tracker{mutation: m} }

// Clone returns an independent copy.
func (tr *Tracker) Clone() *Tracker {
	h := *tr
	h.lastStatuses = slices.Clone(tr.lastStatuses)
	h.writes = slices.Clone(tr.writes)
	h.reads = slices.Clone(tr.reads)
	return &h
}

// AddWrite registers a write that the primary of term t logged at pos. If the write
// may be released at once, it returns true and registers nothing.
func (tr *Tracker) AddWrite(id uint64, t fleet.Term, pos fleet.Position) bool {
	w := waiter{id: id, term: t, pos: pos}
	if tr.replicated(w) {
		return true
	}
	tr.writes = append(tr.writes, w)
	for i := len(tr.writes) - 1; i > 0; {
		parent := (i - 1) / 2
		if tr.writes[parent].pos <= tr.writes[i].pos {
			break
		}
		tr.writes[parent], tr.writes[i] = tr.writes[i], tr.writes[parent]
		i = parent
	}
	return false
}

// replicated reports whether a second endpoint is known to hold the write.
func (tr *Tracker) replicated(w waiter) bool {
	if tr.mutation == AckAlone {
		return true
	}
	if tr.mutation == AckAnyTerm {
		return w.pos <= tr.replicatedTo
	}
	return w.term == tr.term && w.pos <= tr.replicatedTo
}

// AddRead registers a read that the primary of term t has executed. If send is true,
// the caller sends VH CONFIRM t with number seq to every other endpoint. A status of
// the primary of t must have been observed before.
func (tr *Tracker) AddRead(id uint64, t fleet.Term) (seq uint64, send bool) {
	r := waiter{id: id, term: t, seq: tr.lastConfirm + 1}
	if tr.confirmInFlight != 0 && tr.mutation == ConfirmEarlier {
		r.seq = tr.confirmInFlight
	}
	tr.reads = append(tr.reads, r)
	if tr.confirmInFlight != 0 {
		return 0, false
	}
	tr.lastConfirm++
	tr.confirmInFlight, tr.confirmTerm = tr.lastConfirm, t
	return tr.lastConfirm, true
}

// ObserveStatus takes an endpoint's status and appends the ids of the writes that it
// releases to done.
func (tr *Tracker) ObserveStatus(s fleet.EndpointStatus, done []uint64) []uint64 {
	known := false
	for i := range tr.lastStatuses {
		if tr.lastStatuses[i].Endpoint == s.Endpoint {
			tr.lastStatuses[i], known = s, true
			break
		}
	}
	if !known {
		tr.lastStatuses = append(tr.lastStatuses, s)
	}
	if s.Role == fleet.RolePrimary && s.Term > tr.term {
		tr.term, tr.primary, tr.replicatedTo = s.Term, s.Endpoint, 0
		for i := range tr.lastStatuses {
			tr.countReplica(&tr.lastStatuses[i])
		}
	} else {
		tr.countReplica(&s)
	}
	return tr.releaseWrites(done)
}

// countReplica advances replicatedTo to the position in the status of an endpoint
// other than the primary. The status counts only under these conditions:
//   - Its fence term is the current term: the endpoint had granted no higher term.
//   - The term of its last log entry is the current term: its positions belong to the
//     log of the current primary. An old primary that was fenced or told to follow may
//     still hold a longer log of a lower term.
//   - It is not copying its log again: its positions would be those of an unfinished
//     copy.
func (tr *Tracker) countReplica(s *fleet.EndpointStatus) {
	switch {
	case s.Endpoint == tr.primary || tr.term == 0:
	case s.FenceTerm != tr.term && tr.mutation != AckAnyTerm:
	case s.LastLogTerm != tr.term && tr.mutation != AckAnyLog && tr.mutation != AckAnyTerm:
	case s.Joining:
	default:
		tr.replicatedTo = max(tr.replicatedTo, s.Received)
	}
}

// releaseWrites removes the writes that replicatedTo covers and appends their ids to
// done. Writes of older terms at the top of the heap are dropped; they end with
// outcome unknown by the caller's timeout.
func (tr *Tracker) releaseWrites(done []uint64) []uint64 {
	for len(tr.writes) > 0 {
		w := tr.writes[0]
		switch {
		case tr.replicated(w):
			done = append(done, w.id)
		case w.term < tr.term:
		default:
			return done
		}
		last := len(tr.writes) - 1
		tr.writes[0] = tr.writes[last]
		tr.writes = tr.writes[:last]
		tr.siftDown(0)
	}
	return done
}

func (tr *Tracker) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(tr.writes) {
			return
		}
		if child+1 < len(tr.writes) && tr.writes[child+1].pos < tr.writes[child].pos {
			child++
		}
		if tr.writes[i].pos <= tr.writes[child].pos {
			return
		}
		tr.writes[i], tr.writes[child] = tr.writes[child], tr.writes[i]
		i = child
	}
}

// ConfirmResponse takes a successful response to VH CONFIRM with number seq and
// appends the ids of the reads that it releases to done. If send is true, the caller
// sends the next confirmation, for term t with number next.
func (tr *Tracker) ConfirmResponse(seq uint64, s fleet.EndpointStatus, done []uint64) (released []uint64, next uint64, t fleet.Term, send bool) {
	if seq != tr.confirmInFlight || s.FenceTerm != tr.confirmTerm || tr.confirmTerm != tr.term {
		return done, 0, 0, false
	}
	if s.Joining || s.Endpoint == tr.primary && tr.mutation != ConfirmSelf {
		return done, 0, 0, false
	}
	kept := tr.reads[:0]
	for _, r := range tr.reads {
		if r.seq <= seq && r.term == tr.confirmTerm {
			done = append(done, r.id)
		} else {
			kept = append(kept, r)
		}
	}
	tr.reads = kept
	next, t, send = tr.startNextConfirm()
	return done, next, t, send
}

// startNextConfirm starts the confirmation of the highest term that reads wait for,
// if there are any.
func (tr *Tracker) startNextConfirm() (next uint64, t fleet.Term, send bool) {
	tr.confirmInFlight = 0
	for _, r := range tr.reads {
		t = max(t, r.term)
	}
	if t == 0 {
		return 0, 0, false
	}
	tr.lastConfirm++
	tr.confirmInFlight, tr.confirmTerm = tr.lastConfirm, t
	return tr.lastConfirm, t, true
}

// ConfirmFailed reports that all VH CONFIRM calls with number seq have ended. If a
// response to one of them has already released the reads that waited for it,
// ConfirmFailed does nothing and send is false. Otherwise the reads stay registered
// until they are cancelled and take part in the next confirmation. If send is true,
// the caller sends that confirmation after a pause, for term t with number next.
func (tr *Tracker) ConfirmFailed(seq uint64) (next uint64, t fleet.Term, send bool) {
	if seq != tr.confirmInFlight {
		return 0, 0, false
	}
	return tr.startNextConfirm()
}

// Cancel removes a waiter. It returns false if the id is not registered.
func (tr *Tracker) Cancel(id uint64) bool {
	match := func(w waiter) bool { return w.id == id }
	if i := slices.IndexFunc(tr.reads, match); i >= 0 {
		tr.reads = slices.Delete(tr.reads, i, i+1)
		return true
	}
	i := slices.IndexFunc(tr.writes, match)
	if i < 0 {
		return false
	}
	tr.writes = slices.Delete(tr.writes, i, i+1)
	for j := len(tr.writes)/2 - 1; j >= 0; j-- {
		tr.siftDown(j)
	}
	return true
}

// Waiting returns the number of waiters.
func (tr *Tracker) Waiting() int { return len(tr.writes) + len(tr.reads) }
