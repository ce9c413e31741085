package pool

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

var (
	errTooBusy      = &Refusal{"the endpoints are too busy to answer in time", "try again later", "too_busy"}
	errQueueTimeout = &Refusal{"no endpoint became free in time", "try again later", "timeout"}
)

// strictQueue is the policy without overload control: strict priority, and refusal of what
// cannot start within the latency objective.
type strictQueue struct {
	pool    *Pool
	group   fleet.GroupID
	waiting []strictWaiter
}

type strictWaiter struct {
	dispatch.Waiter
	*waiter
}

func (q *strictQueue) length() int { return len(q.waiting) }

// startsAtOnce implements queuePolicy. Waiting statements whose homes
// exclude the endpoint do not count: it would be idle until they have ended.
func (q *strictQueue) startsAtOnce(r *Request, best *endpointState, _ time.Duration) bool {
	return !slices.ContainsFunc(q.waiting, func(w strictWaiter) bool {
		return w.Priority <= r.Priority && w.req.Homes.Allow(q.pool.topology, best.DataCentre)
	})
}

func (q *strictQueue) lastStart(r *Request) time.Duration { return r.LatestStart }

func (q *strictQueue) push(w *waiter, expected, now time.Duration) *Refusal {
	r := &w.req
	if !w.noPrimary {
		w.until = r.LatestStart
		if dispatch.CannotStartInTime(now, w.until, expected, q.ahead(r)+1, q.pool.totalLimit(r, now)) {
			return errTooBusy
		}
	}
	if r.explain {
		return nil
	}
	q.waiting = append(q.waiting, strictWaiter{dispatch.Waiter{Priority: r.Priority, AccountInFlight: float64(q.pool.inFlight[r.Account]),
		Arrived: now, LatestStart: w.until}, w})
	return nil
}

func (q *strictQueue) remove(w *waiter) bool {
	i := slices.IndexFunc(q.waiting, func(x strictWaiter) bool { return x.waiter == w })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

func (q *strictQueue) expired(w *waiter, _ time.Duration) *Refusal {
	if w.noPrimary {
		return errNoPrimary
	}
	return errQueueTimeout
}

func (q *strictQueue) ahead(r *Request) int {
	n := 0
	for _, w := range q.waiting {
		if w.Priority <= r.Priority && overlap(w.req.Homes, r.Homes) {
			n++
		}
	}
	return n
}

// overlap reports whether any region is in the homes of both.
func overlap(a, b topology.Homes) bool {
	if !a.Restricted || !b.Restricted {
		return true
	}
	return len(a.And(b).Regions) > 0
}

func (q *strictQueue) serve(now time.Duration) {
	p := q.pool
	slices.SortStableFunc(q.waiting, func(a, b strictWaiter) int {
		switch {
		case a.Before(b.Waiter):
			return -1
		case b.Before(a.Waiter):
			return 1
		}
		return 0
	})
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		best, _, reachable := p.chooseEndpoint(q, &w.req, now)
		if best == nil {
			if w.refusal = p.lastingRefusal(&w.req, reachable); w.refusal != nil {
				w.ready <- struct{}{}
				continue
			}
			remaining = append(remaining, w)
			continue
		}
		w.conn, w.needsOpen = p.reserve(best, &w.req, now)
		w.ready <- struct{}{}
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
}

// place implements queuePolicy.
func (q *strictQueue) place(_ *endpointState, _ *Request, _ bool, latency, _ time.Duration) (time.Duration, bool) {
	return latency, false
}

// totalLimit returns how many statements this instance may have in flight at the
// endpoints that can serve a request.
func (p *Pool) totalLimit(r *Request, now time.Duration) int {
	primary, usable := p.usablePrimary(r.Group, now)
	n := 0
	for _, e := range p.view.Endpoints[r.Group] {
		if s := p.endpoints[e.ID]; s != nil && !s.unreachable && r.Homes.Allow(p.topology, e.DataCentre) && !p.evacuated(s, r.Primary && e.ID == primary, now) && (!r.Primary || usable && e.ID == primary) {
			n += s.load.Limit()
		}
	}
	return n
}
