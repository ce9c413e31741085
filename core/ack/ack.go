// Package ack decides when the answer to a write may be released to its caller
// and when a read at the primary has a confirmed term.
//
// Usage: one Group per database group, guarded by the caller's mutex. Write
// and Read register waiters under ids that the caller chooses; Report and
// ConfirmAnswer return the ids that are released. Calls do not allocate on the
// path of a write apart from growing buffers.
//
//	if g.Write(id, term, pos) { release at once }
//	done = g.Report(status, done[:0])              // every status notification
//	seq, send := g.Read(id, term)                  // send VH CONFIRM if send
//	done, next, send = g.ConfirmAnswer(seq, status, done[:0])
//	g.Cancel(id)                                   // timeout: outcome unknown
//
// A waiter that is never released ends by the caller's timeout (2 s) with
// outcome unknown; a caller may cancel it as soon as the primary of a higher
// term is reported, since nothing releases it after that. No clock is used here.
package ack

import (
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation switches one rule off for the exhaustive search. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// AckAlone releases a write without a second endpoint.
	AckAlone
	// AckAnyTerm ignores the fence term of the report.
	AckAnyTerm
	// AckAnyLog ignores the term of the reporter's last log entry.
	AckAnyLog
	// ConfirmEarlier lets a request in flight confirm later reads.
	ConfirmEarlier
	// ConfirmSelf lets the primary confirm its own term.
	ConfirmSelf
)

// Tracker holds the waiters of one database group. It is not safe for concurrent
// use.
type Tracker struct {
	mutation Mutation
	// term is the highest term whose primary is known; primary never changes
	// within a term, because a fence majority grants a term to one promoter and
	// a promoter promotes one endpoint per term.
	term    fleet.Term
	primary fleet.EndpointID
	// best is the highest position of term that an endpoint other than primary
	// has reported. It only grows within a term.
	best fleet.Position
	// last is the latest report of each endpoint, kept for the moment at which
	// the primary of its term becomes known.
	last []fleet.EndpointStatus
	// writes is a min-heap by position. Waiters of a term below term are never
	// released.
	writes []waiter
	reads  []waiter
	// seq numbers confirmations; flying is the one in flight, 0 if none, and
	// flyingTerm the term that it asks for.
	seq, flying uint64
	flyingTerm  fleet.Term
}

// waiter is a write at pos, or a read that needs a confirmation numbered seq or
// later.
type waiter struct {
	id   uint64
	term fleet.Term
	pos  fleet.Position
	seq  uint64
}

// New returns a group without waiters.
func New(m Mutation) *Tracker { return &Tracker{mutation: m} }

// Clone returns an independent copy.
func (g *Tracker) Clone() *Tracker {
	h := *g
	h.last = slices.Clone(g.last)
	h.writes = slices.Clone(g.writes)
	h.reads = slices.Clone(g.reads)
	return &h
}

// AddWrite registers a write that the primary of term t logged at pos. It returns
// true, and registers nothing, when the write may be released at once.
func (g *Tracker) AddWrite(id uint64, t fleet.Term, pos fleet.Position) bool {
	w := waiter{id: id, term: t, pos: pos}
	if g.replicated(w) {
		return true
	}
	g.writes = append(g.writes, w)
	for i := len(g.writes) - 1; i > 0; {
		parent := (i - 1) / 2
		if g.writes[parent].pos <= g.writes[i].pos {
			break
		}
		g.writes[parent], g.writes[i] = g.writes[i], g.writes[parent]
		i = parent
	}
	return false
}

// replicated reports whether a second endpoint is known to hold the write.
func (g *Tracker) replicated(w waiter) bool {
	if g.mutation == AckAlone {
		return true
	}
	if g.mutation == AckAnyTerm {
		return w.pos <= g.best
	}
	return w.term == g.term && w.pos <= g.best
}

// AddRead registers a read that has ended at the primary of term t. When send is
// true the caller sends VH CONFIRM t under number seq to every other endpoint.
// The primary of t must have been reported before.
func (g *Tracker) AddRead(id uint64, t fleet.Term) (seq uint64, send bool) {
	r := waiter{id: id, term: t, seq: g.seq + 1}
	if g.flying != 0 && g.mutation == ConfirmEarlier {
		r.seq = g.flying
	}
	g.reads = append(g.reads, r)
	if g.flying != 0 {
		return 0, false
	}
	g.seq++
	g.flying, g.flyingTerm = g.seq, t
	return g.seq, true
}

// ObserveStatus takes a status and appends the ids of released writes to done.
func (g *Tracker) ObserveStatus(s fleet.EndpointStatus, done []uint64) []uint64 {
	known := false
	for i := range g.last {
		if g.last[i].Endpoint == s.Endpoint {
			g.last[i], known = s, true
			break
		}
	}
	if !known {
		g.last = append(g.last, s)
	}
	if s.Role == fleet.RolePrimary && s.Term > g.term {
		g.term, g.primary, g.best = s.Term, s.Endpoint, 0
		for i := range g.last {
			g.count(&g.last[i])
		}
	} else {
		g.count(&s)
	}
	return g.release(done)
}

// count raises best by a report of another endpoint than the primary. The fence
// term proves that no higher term had been granted there. The term of the last
// entry proves that the reported positions belong to the log of the primary of
// term: an old primary that was fenced or told to follow may still hold a
// longer log of a lower term. An endpoint that is copying its log again does not
// count, because its positions are those of a copy in progress.
func (g *Tracker) count(s *fleet.EndpointStatus) {
	switch {
	case s.Endpoint == g.primary || g.term == 0:
	case s.FenceTerm != g.term && g.mutation != AckAnyTerm:
	case s.LastLogTerm != g.term && g.mutation != AckAnyLog && g.mutation != AckAnyTerm:
	case s.Joining:
	default:
		g.best = max(g.best, s.Received)
	}
}

// release removes the writes that best covers. Writes of older terms at the top
// of the heap are dropped: the caller's timeout makes them unknown.
func (g *Tracker) release(done []uint64) []uint64 {
	for len(g.writes) > 0 {
		w := g.writes[0]
		switch {
		case g.replicated(w):
			done = append(done, w.id)
		case w.term < g.term:
		default:
			return done
		}
		last := len(g.writes) - 1
		g.writes[0] = g.writes[last]
		g.writes = g.writes[:last]
		g.sink(0)
	}
	return done
}

func (g *Tracker) sink(i int) {
	for {
		child := 2*i + 1
		if child >= len(g.writes) {
			return
		}
		if child+1 < len(g.writes) && g.writes[child+1].pos < g.writes[child].pos {
			child++
		}
		if g.writes[i].pos <= g.writes[child].pos {
			return
		}
		g.writes[i], g.writes[child] = g.writes[child], g.writes[i]
		i = child
	}
}

// ConfirmResponse takes a successful answer to VH CONFIRM number seq and appends
// the ids of released reads to done. When send is true, the caller sends the
// next confirmation, of term t and number next.
func (g *Tracker) ConfirmResponse(seq uint64, s fleet.EndpointStatus, done []uint64) (released []uint64, next uint64, t fleet.Term, send bool) {
	if seq != g.flying || s.FenceTerm != g.flyingTerm || g.flyingTerm != g.term {
		return done, 0, 0, false
	}
	if s.Joining || s.Endpoint == g.primary && g.mutation != ConfirmSelf {
		return done, 0, 0, false
	}
	kept := g.reads[:0]
	for _, r := range g.reads {
		if r.seq <= seq && r.term == g.flyingTerm {
			done = append(done, r.id)
		} else {
			kept = append(kept, r)
		}
	}
	g.reads = kept
	next, t, send = g.confirmNext()
	return done, next, t, send
}

// confirmNext starts the confirmation of the highest term that reads wait for.
func (g *Tracker) confirmNext() (next uint64, t fleet.Term, send bool) {
	g.flying = 0
	for _, r := range g.reads {
		t = max(t, r.term)
	}
	if t == 0 {
		return 0, 0, false
	}
	g.seq++
	g.flying, g.flyingTerm = g.seq, t
	return g.seq, t, true
}

// ConfirmFailed reports that every call of number seq has ended; it does
// nothing when one of them released the reads. The reads stay registered until
// they are cancelled and join the next confirmation, which the caller sends
// after a pause.
func (g *Tracker) ConfirmFailed(seq uint64) (next uint64, t fleet.Term, send bool) {
	if seq != g.flying {
		return 0, 0, false
	}
	return g.confirmNext()
}

// Cancel removes a waiter. It reports false when the id was not registered.
func (g *Tracker) Cancel(id uint64) bool {
	match := func(w waiter) bool { return w.id == id }
	if i := slices.IndexFunc(g.reads, match); i >= 0 {
		g.reads = slices.Delete(g.reads, i, i+1)
		return true
	}
	i := slices.IndexFunc(g.writes, match)
	if i < 0 {
		return false
	}
	g.writes = slices.Delete(g.writes, i, i+1)
	for j := len(g.writes)/2 - 1; j >= 0; j-- {
		g.sink(j)
	}
	return true
}

// Waiting returns the number of registered waiters.
func (g *Tracker) Waiting() int { return len(g.writes) + len(g.reads) }
