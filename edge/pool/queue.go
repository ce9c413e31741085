package pool

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/admitqueue"
)

var (
	errNoPrimary  = &Refusal{"the group has no primary now", "try again in a second", "no_primary"}
	errNoEndpoint = &Refusal{"no endpoint of the group can be reached", "try again in a second", "no_endpoint"}
)

// queuePolicy holds the waiting statements of a group and decides which starts next, where
// and when, and which is refused. The lock of the pool is held during calls.
type queuePolicy interface {
	// length returns the number of waiting statements.
	length() int
	// ahead returns the number of waiting statements of a request's or a more urgent priority
	// which may run at an endpoint that the request may use.
	ahead(r *Request) int
	// startsAtOnce reports whether an arriving statement may start at an endpoint that has
	// capacity; the caller starts it then, unless r.explain is set.
	startsAtOnce(r *Request, best *endpointState, now time.Duration) bool
	// push adds a statement and sets w.until, or returns why it is refused. expected is the
	// lowest expected latency of the endpoints. If w.req.explain is set, it decides in the same
	// way but does not change the queue.
	push(w *waiter, expected, now time.Duration) *Refusal
	// remove removes a statement and reports whether it was waiting.
	remove(w *waiter) bool
	// lastStart returns the latest time at which a request may start.
	lastStart(r *Request) time.Duration
	// expired returns the refusal of a statement that waited until w.until.
	expired(w *waiter, now time.Duration) *Refusal
	// serve hands free capacity to waiting statements, and refuses those that will not be
	// served.
	serve(now time.Duration)
	// place returns the latency by which an endpoint is compared with the others of its
	// group, given the expected one, and whether its free capacity is kept from the request.
	place(s *endpointState, r *Request, isPrimary bool, latency, now time.Duration) (time.Duration, bool)
}

// waiter is a statement that waits for an endpoint.
type waiter struct {
	req Request
	// until is when the wait ends at the latest.
	until time.Duration
	// noPrimary is set if the statement waits for a primary to return.
	noPrimary bool
	// item is the entry in a shareQueue.
	item      admitqueue.Item[*waiter]
	conn      *Conn
	needsOpen bool // conn is reserved but not opened yet
	// refusal is set instead of conn if the queue refuses the statement, or no endpoint can
	// serve it any more.
	refusal *Refusal
	ready   chan struct{}
}

// Acquire returns a connection for a statement, which counts as in flight from
// then on. It waits if no endpoint has capacity. The error is a *Refusal,
// stmt.ErrUnreachable, stmt.ErrLost or a *stmt.RefusedError; in all of these
// cases the statement was not sent.
func (p *Pool) Acquire(r Request) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	g := p.group(r.Group)
	best, w, _, refusal := p.decide(g, &r, now)
	if refusal != nil {
		p.mu.Unlock()
		return nil, p.refuse(&r, refusal)
	}
	if best != nil {
		c, open := p.reserve(best, &r, now)
		p.mu.Unlock()
		return p.finishAcquire(c, open, r)
	}
	if r.heldBack {
		p.metrics.Count("starts_held_back")
	}
	p.mu.Unlock()
	p.countQueued("queue_waited", &r, "")

	timer := time.NewTimer(w.until - now)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
		p.mu.Lock()
		if g.waiting.remove(w) {
			w.refusal = g.waiting.expired(w, p.clock.Now())
			p.mu.Unlock()
			break
		}
		p.mu.Unlock()
		<-w.ready
	}
	if w.refusal != nil {
		return nil, p.refuse(&r, w.refusal)
	}
	if p.clock.Now() > r.LatestStart {
		p.countQueued("queue_ran_late", &r, "")
	}
	return p.finishAcquire(w.conn, w.needsOpen, r)
}

// decide decides on a statement that arrives: it starts at best, or is refused, or waits as w.
// reachable is false if no endpoint can serve it at present. For an explanation the queue is
// not changed and nothing is counted or requested.
func (p *Pool) decide(g *group, r *Request, now time.Duration) (best *endpointState, w *waiter, reachable bool, refusal *Refusal) {
	best, expected, reachable := p.chooseEndpoint(g.waiting, r, now)
	if best != nil && g.waiting.startsAtOnce(r, best, now) {
		return best, nil, reachable, nil
	}
	if refusal := p.lastingRefusal(r, reachable); refusal != nil {
		return nil, nil, reachable, refusal
	}
	w = &waiter{req: *r, ready: make(chan struct{}, 1)}
	if !reachable {
		w.until, w.noPrimary = p.primaryWaitDeadline(r, now), true
		switch {
		case w.until > now:
		case r.Primary:
			return nil, nil, reachable, errNoPrimary
		default:
			return nil, nil, reachable, errNoEndpoint
		}
	}
	if refusal := g.waiting.push(w, expected, now); refusal != nil {
		return nil, nil, reachable, refusal
	}
	return nil, w, reachable, nil
}

// countQueued counts an event of the queue if overload control is on.
func (p *Pool) countQueued(event string, r *Request, rule string) {
	if !p.overloadControl {
		return
	}
	if rule != "" {
		rule = `",rule="` + rule
	}
	p.metrics.Count(event + `{database="` + r.Database + `",account="` + string(r.Account) + rule + `"}`)
}

// refuse counts a refusal and returns it.
func (p *Pool) refuse(r *Request, why *Refusal) *Refusal {
	p.countQueued("queue_refused", r, why.Rule)
	return why
}

// lastingRefusal returns why no endpoint can serve a request for some time, or nil.
func (p *Pool) lastingRefusal(r *Request, reachable bool) *Refusal {
	if refusal := p.evacuationRefusal(r); refusal != nil {
		if !r.explain {
			p.metrics.Count("statements_refused_evacuated")
		}
		return refusal
	}
	if reachable {
		return nil
	}
	return p.homesRefusal(r)
}

// primaryWaitDeadline returns until when a request should wait for its group's
// primary. It is not in the future unless a change of primary is in progress or
// likely to follow soon, or the lease is being renewed.
func (p *Pool) primaryWaitDeadline(r *Request, now time.Duration) time.Duration {
	l, known := p.view.Leaders[r.Group]
	if !r.Primary || !known {
		return 0
	}
	deadline := now
	s := p.endpoints[l.Primary]
	switch {
	case !l.Settled:
		deadline = p.group(r.Group).unsettledAt + primaryChangeTimeout
	case !p.permitted(r.Group, l.Order(), now):
		deadline = now + leaseWait
		if p.onNoLease != nil && !r.explain {
			p.onNoLease(r.Group)
		}
	case s == nil:
		deadline = p.group(r.Group).changedAt + primaryChangeTimeout
	case p.evacuated(s, true, now):
		deadline = p.view.Evacuated[s.DataCentre].StatementsUntil + primaryChangeTimeout
	case s.failingSince > 0:
		deadline = s.failingSince + primaryChangeTimeout
	}
	return min(deadline, now+time.Duration(maxQueueShare*float64(r.Timeout)))
}

// serveWaiters hands free capacity to waiting statements, and refuses those that will
// not be served.
func (p *Pool) serveWaiters() {
	now := p.clock.Now()
	for _, g := range p.groups {
		if g.waiting.length() > 0 {
			g.waiting.serve(now)
		}
	}
}
