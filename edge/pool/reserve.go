package pool

import "time"

// recordInFlight records that n statements more are in flight on a connection, which
// also counts towards the reserve of its endpoint if only the primary can run them.
func (s *endpointState) recordInFlight(c *Conn, now time.Duration, n int) {
	s.load.InFlight += n
	s.occupancy.Add(now, n)
	if c.primaryOnly {
		s.primaryDemand.Add(now, c.priority, n)
	}
}

// place implements queuePolicy. It adds to the expected latency at an endpoint the queueing that it had on
// average lately, so that the endpoints of a group are loaded evenly, and what a read
// that replicas can run displaces at a primary. It also reports whether the free capacity
// of a primary is kept for statements that only it can run: from reads, for those of more
// urgent priorities and of their own, unless no replica can serve the read; and from
// other statements that only it can run, for more urgent ones, once not all can be served.
func (q *shareQueue) place(s *endpointState, r *Request, isPrimary bool, latency, now time.Duration) (time.Duration, bool) {
	work := time.Duration(float64(r.Work.Estimate()) * s.load.Slowdown(now))
	latency += time.Duration(float64(work) * s.occupancy.Mean(now) / float64(max(1, s.Slots)))
	if !isPrimary {
		return latency, false
	}
	equal := 1 - q.waiting.Excess(now, r.Priority, q.pool.capacity(q.group, now))
	if r.Primary && equal > 0.5 {
		return latency, false
	}
	if r.Primary {
		equal = 0
	}
	protected := s.primaryDemand.Protected(now, r.Priority, equal)
	latency += protected.Displacement(work, s.Slots)
	return latency, !protected.AdmitsOther(s.load.InFlight, s.load.Limit()) && (r.Primary || q.pool.replicaCanServe(r, s, now))
}

// replicaCanServe reports whether an endpoint other than the primary can serve a read,
// now or when it has capacity.
func (p *Pool) replicaCanServe(r *Request, primary *endpointState, now time.Duration) bool {
	for _, e := range p.view.Endpoints[r.Group] {
		s := p.endpoints[e.ID]
		if s != primary && p.exclusion(s, r, false, now) == eligible && s.lag.MayHaveApplied(now, r.Floor) {
			return true
		}
	}
	return false
}
