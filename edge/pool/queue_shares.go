package pool

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/admitqueue"
	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

var (
	errBeyondLimit = ruleRefusal(admitqueue.BeyondLimit, "the endpoints are too busy to answer within the route's statement limit", "try again later")
	errOverShare   = ruleRefusal(admitqueue.OverShare, "the endpoints are busy, and most of what waits is of this client account", "slow down")
	errOutrun      = ruleRefusal(admitqueue.OutrunLate, "more urgent statements came first and the rest will not be served within the route's statement limit", "try again later")
	errExpired     = ruleRefusal(admitqueue.Expired, "no endpoint became free within the route's statement limit", "try again later")
)

// ruleRefusal returns a refusal whose text names the rule.
func ruleRefusal(rule admitqueue.Rule, reason, remedy string) *Refusal {
	return &Refusal{reason + " (rule " + string(rule) + ")", remedy, string(rule)}
}

// shareQueue is the policy with overload control, by package admitqueue: priorities and
// accounts have shares, and statements may run late.
type shareQueue struct {
	pool    *Pool
	group   fleet.GroupID
	waiting *admitqueue.Queue[*waiter]
}

func (q *shareQueue) length() int { return q.waiting.Len() }

func (q *shareQueue) ahead(r *Request) int {
	n := 0
	q.waiting.Any(func(it *admitqueue.Item[*waiter]) bool {
		if it.Priority <= r.Priority && overlap(it.Value.req.Homes, r.Homes) {
			n++
		}
		return false
	})
	return n
}

func (r *Request) statement() admitqueue.Statement {
	return admitqueue.Statement{Priority: r.Priority, Account: r.Account, PrimaryOnly: r.Primary, StartedAt: r.StartedAt,
		OnTimeBy: r.LatestStart, ServeBy: max(r.LatestStart, r.ServeBy), Cost: max(r.Cost, r.Work.Estimate())}
}

// startsAtOnce implements queuePolicy. serve leaves no statement in the queue that could
// run, so one that finds capacity overtakes none.
func (q *shareQueue) startsAtOnce(r *Request, best *endpointState, now time.Duration) bool {
	if !mayStart(best, now > r.LatestStart) {
		return false
	}
	if r.explain {
		return true
	}
	q.waiting.Started(now, &admitqueue.Item[*waiter]{Statement: r.statement()})
	return true
}

func (q *shareQueue) lastStart(r *Request) time.Duration { return max(r.LatestStart, r.ServeBy) }

func (q *shareQueue) push(w *waiter, _, now time.Duration) *Refusal {
	w.item.Value, w.item.Statement = w, w.req.statement()
	if w.noPrimary {
		w.item.ServeBy, w.item.Waived = w.until, true
		w.item.OnTimeBy = min(w.item.OnTimeBy, w.until)
	}
	w.until = w.item.ServeBy
	capacity := q.pool.capacity(q.group, now)
	var rule admitqueue.Rule
	if w.req.explain {
		rule = q.waiting.Check(now, &w.item, capacity)
	} else {
		rule = q.waiting.Push(now, &w.item, capacity)
	}
	switch rule {
	case admitqueue.Admitted:
		return nil
	case admitqueue.OverShare:
		return errOverShare
	}
	return errBeyondLimit
}

func (q *shareQueue) remove(w *waiter) bool { return q.waiting.Remove(&w.item) }

func (q *shareQueue) expired(w *waiter, now time.Duration) *Refusal {
	if w.noPrimary && q.pool.capacity(q.group, now).Primary == 0 {
		return errNoPrimary
	}
	return errExpired
}

func (q *shareQueue) serve(now time.Duration) {
	q.startWaiters(now)
	for q.waiting.Len() > 0 && q.endIdle(now) {
		q.startWaiters(now)
	}
}

// refuseLasting refuses the waiting statements that no endpoint can serve any more, because
// of their homes or an evacuation.
func (q *shareQueue) refuseLasting(now time.Duration) {
	p := q.pool
	var refused []*waiter
	q.waiting.Any(func(it *admitqueue.Item[*waiter]) bool {
		r := &it.Value.req
		if r.Homes.Restricted || len(p.view.Evacuated) > 0 {
			if it.Value.refusal = p.lastingRefusal(r, p.reachable(r, now)); it.Value.refusal != nil {
				refused = append(refused, it.Value)
			}
		}
		return false
	})
	for _, w := range refused {
		q.remove(w)
		w.ready <- struct{}{}
	}
}

// reachable reports whether any endpoint can serve a request now or when it has capacity.
func (p *Pool) reachable(r *Request, now time.Duration) bool {
	primary, usable := p.usablePrimary(r.Group, now)
	return slices.ContainsFunc(p.view.Endpoints[r.Group], func(e catalog.Endpoint) bool {
		return p.exclusion(p.endpoints[e.ID], r, usable && e.ID == primary, now) == eligible
	})
}

// startWaiters refuses waiting statements that will not be served and starts those for
// which there is capacity.
func (q *shareQueue) startWaiters(now time.Duration) {
	p := q.pool
	q.refuseLasting(now)
	for _, e := range q.waiting.Expire(now, p.capacity(q.group, now)) {
		w := e.Item.Value
		w.refusal = errOutrun
		if e.Rule == admitqueue.Expired {
			w.refusal = q.expired(w, now)
		}
		w.ready <- struct{}{}
	}
	for q.waiting.Len() > 0 {
		free, primaryFree, replicaFree := p.freeEndpoints(q.group, now)
		if !free {
			return
		}
		// For each kind of statement, the most urgent priority that found no endpoint, plus
		// one: less urgent ones find none either, and 200 may wait. Statements with homes
		// are left out, since the endpoints that they find differ.
		var blocked [4]int
		var chosen *endpointState
		it := q.waiting.Next(now, func(it *admitqueue.Item[*waiter]) bool {
			kind, restricted := 0, it.Value.req.Homes.Restricted
			if it.PrimaryOnly {
				kind += 2
			}
			if it.Late() {
				kind++
			}
			if it.PrimaryOnly && !primaryFree || !restricted && blocked[kind] > 0 && it.Priority+1 >= blocked[kind] {
				return false
			}
			best, _, _ := p.chooseEndpoint(q, &it.Value.req, now)
			if best != nil && mayStart(best, it.Late()) {
				chosen = best
				return true
			}
			// An on-time read may also have found no replica that has applied its position.
			if !restricted && (it.PrimaryOnly || it.Late() || !replicaFree) {
				blocked[kind] = it.Priority + 1
			}
			return false
		})
		if it == nil {
			return
		}
		w := it.Value
		w.conn, w.needsOpen = p.reserve(chosen, &w.req, now)
		w.ready <- struct{}{}
	}
}

// mayStart reports whether a statement may start at an endpoint that has capacity. A
// late one only takes a slot that is free: one that waited in the endpoint's own queue
// would delay statements that can be on time.
func mayStart(s *endpointState, late bool) bool { return !late || s.load.InFlight < s.Slots }

// capacity returns the capacity of a group's endpoints.
func (p *Pool) capacity(id fleet.GroupID, now time.Duration) admitqueue.Capacity {
	primary, usable := p.usablePrimary(id, now)
	var c admitqueue.Capacity
	read, write := Request{Group: id}, Request{Group: id, Primary: true}
	for _, e := range p.view.Endpoints[id] {
		s := p.endpoints[e.ID]
		isPrimary := usable && e.ID == primary
		// A primary in an evacuated data centre still runs what only it can run.
		reads, writes := p.exclusion(s, &read, isPrimary, now) == eligible, isPrimary && p.exclusion(s, &write, true, now) == eligible
		if !reads && !writes {
			continue
		}
		t := s.load.Throughput(now, s.Slots)
		if writes {
			c.Primary = t
		}
		if s.warm.ramp != nil { // it does not hold back what only the primary can run
			t = min(t, float64(s.warm.ramp.Limit()))
		}
		c.All += t
	}
	c.All = max(c.All, c.Primary)
	return c
}

// freeEndpoints reports whether any endpoint of a group may be sent another statement,
// and whether its primary and any replica may.
func (p *Pool) freeEndpoints(id fleet.GroupID, now time.Duration) (free, primaryFree, replicaFree bool) {
	primary, usable := p.usablePrimary(id, now)
	for _, e := range p.view.Endpoints[id] {
		if s := p.endpoints[e.ID]; s != nil && s.load.HasCapacity() {
			free = true
			isPrimary := usable && e.ID == primary
			ramps := s.warm.ramp != nil && s.load.InFlight >= s.warm.ramp.Limit()
			primaryFree, replicaFree = primaryFree || isPrimary, replicaFree || !isPrimary && !ramps
		}
	}
	return free, primaryFree, replicaFree
}
