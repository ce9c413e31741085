package pool

import (
	"time"

	"github.com/vanillahinge/vanillahinge/edge/where"
)

// Reasons why an endpoint that can serve a request is not chosen at present.
const (
	behindPosition   = "behind_required_position"
	coldRateReached  = "cold_rate_reached"
	inFlightReached  = "in_flight_limit_reached"
	noConnectionLeft = "connection_limit_reached"
	capacityReserved = "capacity_reserved"
)

// Explain returns what Acquire would do with a request now. It takes nothing, sends nothing and
// changes nothing.
func (p *Pool) Explain(r Request) where.Pool {
	r.explain = true
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[r.Group]
	if g == nil {
		g = &group{waiting: p.newQueue(r.Group)}
	}
	primary, why := p.primaryUse(r.Group, now)
	w := where.Pool{PrimaryOnly: r.Primary, Primary: string(primary), NotPermitted: why, ServiceMS: milliseconds(r.Work.Estimate()),
		Queue: g.waiting.length(), Ahead: g.waiting.ahead(&r), Endpoints: []where.Endpoint{}}
	for _, e := range p.view.Endpoints[r.Group] {
		s := p.endpoints[e.ID]
		isPrimary := why == "" && e.ID == primary
		x := where.Endpoint{ID: string(e.ID), DataCentre: string(e.DataCentre), Primary: e.ID == primary, Excluded: string(p.exclusion(s, &r, isPrimary, now))}
		if x.Excluded == "" {
			p.explainEndpoint(g.waiting, &x, s, &r, isPrimary, now)
		}
		w.Endpoints = append(w.Endpoints, x)
	}
	best, waits, reachable, refusal := p.decide(g, &r, now)
	switch {
	case refusal != nil:
		w.Decision = where.Decision{Outcome: where.Refuse, Reason: refusal.Reason, Remedy: refusal.Remedy}
	case best != nil:
		w.Decision = where.Decision{Outcome: where.Run, Endpoint: string(best.ID)}
	case reachable && w.Ahead > 0:
		w.Decision = where.Decision{Outcome: where.Wait, WaitMS: milliseconds(waits.until - now), Reason: "statements of the same or a more urgent priority wait already"}
	case reachable:
		w.Decision = where.Decision{Outcome: where.Wait, WaitMS: milliseconds(waits.until - now), Reason: "no endpoint has capacity for it now"}
	default:
		w.Decision = where.Decision{Outcome: where.Wait, WaitMS: milliseconds(waits.until - now), Reason: "the primary cannot be used now"}
	}
	return w
}

// explainEndpoint fills in how an endpoint that is not excluded fits a request.
func (p *Pool) explainEndpoint(policy queuePolicy, x *where.Endpoint, s *endpointState, r *Request, isPrimary bool, now time.Duration) {
	idle := p.hasIdle(s, r.Account)
	latency, reserved := policy.place(s, r, isPrimary, p.expectedLatency(s, r, idle, now), now)
	x.ExpectedMS, x.IdleConnection = milliseconds(latency), idle
	x.Connections, x.MaxConnections = s.open, s.maxOpen(now)
	x.InFlight, x.MaxInFlight = s.load.InFlight, s.load.Limit()
	if s.warm.ramp != nil {
		x.RampLimit = s.warm.ramp.Limit()
	}
	probe := *r
	probe.heldBack = false
	switch {
	case !isPrimary && !s.lag.MayHaveApplied(now, r.Floor):
		x.NotNow = behindPosition
	case reserved:
		x.NotNow = capacityReserved
	case !p.hasRoom(s, &probe, now) && probe.heldBack:
		x.NotNow = coldRateReached
	case !p.hasRoom(s, &probe, now):
		x.NotNow = inFlightReached
	case !idle && !s.mayOpen(now):
		x.NotNow = noConnectionLeft
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
