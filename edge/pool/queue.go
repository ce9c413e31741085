package pool

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/dispatch"
)

// waiter is a statement that waits for an endpoint.
type waiter struct {
	dispatch.Waiter
	req   Request
	given *Conn
	open  bool // given is a place for a connection that is yet to be opened
	ready chan struct{}
}

// Acquire returns a connection for a statement, which counts as in flight from
// then on. The error is a *Refusal, stmt.ErrUnreachable, stmt.ErrLost or a
// *stmt.RefusedError; the statement was not sent in any of these cases.
func (p *Pool) Acquire(r Request) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	g := p.group(r.Group)
	best, expected, reachable := p.choose(&r, now)
	if best != nil && !g.before(r.Priority) {
		c, open := p.take(best, &r, now)
		p.mu.Unlock()
		return p.complete(c, open, r)
	}
	latest := r.LatestStart
	if !reachable {
		latest = p.primaryBy(&r, now)
		if latest <= now {
			p.mu.Unlock()
			if r.Primary {
				return nil, errNoPrimary
			}
			return nil, errNone
		}
	} else if dispatch.CannotStartInTime(now, latest, expected, g.ahead(r.Priority)+1, p.room(&r, now)) {
		p.mu.Unlock()
		return nil, errHopeless
	}
	w := &waiter{req: r, ready: make(chan struct{}, 1), Waiter: dispatch.Waiter{
		Priority: r.Priority, AccountInFlight: float64(p.inFlight[r.Account]), Arrived: now, LatestStart: latest}}
	g.waiting = append(g.waiting, w)
	p.mu.Unlock()

	timer := time.NewTimer(latest - now)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
		p.mu.Lock()
		if i := slices.Index(g.waiting, w); i >= 0 {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			p.mu.Unlock()
			if !reachable {
				return nil, errNoPrimary
			}
			return nil, errWaited
		}
		p.mu.Unlock()
		<-w.ready
	}
	return p.complete(w.given, w.open, r)
}

// primaryBy returns until when it is worth waiting for a group's primary: not at
// all unless a change is under way or may follow soon.
func (p *Pool) primaryBy(r *Request, now time.Duration) time.Duration {
	l, known := p.view.Leaders[r.Group]
	if !r.Primary || !known {
		return 0
	}
	until := now
	s := p.servers[l.Primary]
	switch {
	case !l.Settled:
		until = p.group(r.Group).unsettled + changeWait
	case !p.permitted(now):
		until = now + permitWait
	case s == nil:
		until = p.group(r.Group).changed + changeWait
	case s.failing > 0:
		until = s.failing + changeWait
	}
	return min(until, now+time.Duration(holdPart*float64(r.Timeout)))
}

// before reports whether a waiter with this priority or a more urgent one
// waits.
func (g *group) before(priority int) bool { return g.ahead(priority) > 0 }

func (g *group) ahead(priority int) int {
	n := 0
	for _, w := range g.waiting {
		if w.Priority <= priority {
			n++
		}
	}
	return n
}

// room returns how many statements may be in flight at the endpoints that can
// serve a request.
func (p *Pool) room(r *Request, now time.Duration) int {
	primary, usable := p.leader(r.Group, now)
	n := 0
	for _, e := range p.view.Endpoints[r.Group] {
		if s := p.servers[e.ID]; s != nil && !s.down && (!r.Primary || usable && e.ID == primary) {
			n += s.load.Limit()
		}
	}
	return n
}

// dispatch gives waiters what has become free.
func (p *Pool) dispatch() {
	now := p.clock.Now()
	for _, g := range p.groups {
		if len(g.waiting) == 0 {
			continue
		}
		slices.SortStableFunc(g.waiting, func(a, b *waiter) int {
			switch {
			case a.Before(b.Waiter):
				return -1
			case b.Before(a.Waiter):
				return 1
			}
			return 0
		})
		left := g.waiting[:0]
		for _, w := range g.waiting {
			best, _, _ := p.choose(&w.req, now)
			if best == nil {
				left = append(left, w)
				continue
			}
			w.given, w.open = p.take(best, &w.req, now)
			w.ready <- struct{}{}
		}
		clear(g.waiting[len(left):])
		g.waiting = left
	}
}
