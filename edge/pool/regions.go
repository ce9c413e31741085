package pool

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

const (
	// otherRegionPenalty is added to the expected latency of endpoints in other regions:
	// the usual service time, so that a read crosses the link between regions only if it
	// would otherwise wait for about another statement. It also exceeds connectionOpenCost,
	// so that an idle connection in another region does not keep one from being opened here.
	otherRegionPenalty = 20 * time.Millisecond
	// initialOtherRegionDelay is the one-way delay assumed between regions until measured.
	initialOtherRegionDelay = 8 * time.Millisecond
)

// distancePenalty returns what is added to the expected latency of endpoints in a data
// centre.
func (p *Pool) distancePenalty(dc fleet.DataCentre) time.Duration {
	switch p.topology.Proximity(p.local, dc) {
	case topology.SameDataCentre:
		return 0
	case topology.SameRegion:
		return remotePenalty
	}
	return otherRegionPenalty
}

// initialDelay returns the one-way delay to a data centre that is assumed until measured.
func (p *Pool) initialDelay(dc fleet.DataCentre) time.Duration {
	switch p.topology.Proximity(p.local, dc) {
	case topology.SameDataCentre:
		return initialLocalDelay
	case topology.SameRegion:
		return initialRemoteDelay
	}
	return initialOtherRegionDelay
}

// SetTopology sets the regions of the data centres. Call it before the pool is used.
func (p *Pool) SetTopology(t *topology.Topology) { p.topology = t }

// PositionDue reports whether the primary of a group should be asked for its log position,
// so that reads which accept data of the given age can run at replicas: few statements of this
// instance go there, since the primary is in another region or outside of the homes of the
// read, and the latest position known is half as old as accepted, or none is known. known is
// false in the last case.
func (p *Pool) PositionDue(id fleet.GroupID, age time.Duration, homes topology.Homes) (due, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[p.view.Leaders[id].Primary]
	if s == nil || p.topology.Proximity(p.local, s.DataCentre) != topology.OtherRegion && homes.Allow(p.topology, s.DataCentre) {
		return false, true
	}
	now := p.clock.Now()
	_, known = p.group(id).positions.RequiredPosition(now, age)
	at, ok := p.group(id).positions.Latest()
	return !ok || now >= at+age/2, known
}

// InternalAccount returns the account whose connection asks for a log position.
func (p *Pool) InternalAccount() fleet.AccountID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Catalog.InternalAccount()
}

var (
	errNoEndpointInHomes = &Refusal{"no endpoint of the group is in the home regions of the route and the account",
		"ask the operator for an endpoint there or for other home regions", "outside_homes"}
	errPrimaryOutsideHomes = &Refusal{"the group's primary is outside of the home regions, and no other endpoint may run this statement",
		"use a route whose reads may be stale, or ask the operator for a primary in the home regions", "outside_homes"}
)

// homesRefusal returns why a request cannot be served within its homes, or nil if that may
// change soon, and counts the refusal.
func (p *Pool) homesRefusal(r *Request) *Refusal {
	refusal, why := p.outsideHomes(r)
	if refusal != nil && !r.explain {
		p.metrics.Count(`outside_homes{why="` + why + `"}`)
	}
	return refusal
}

// outsideHomes returns why a request cannot be served within its homes and how metrics name
// that, or nil if that may change soon.
func (p *Pool) outsideHomes(r *Request) (refusal *Refusal, why string) {
	if !r.Homes.Restricted {
		return nil, ""
	}
	inside := false
	for _, e := range p.view.Endpoints[r.Group] {
		inside = inside || r.Homes.Allow(p.topology, e.DataCentre)
	}
	if !inside {
		return errNoEndpointInHomes, "no_endpoint"
	}
	// During a change of primary the next one may be inside.
	l := p.view.Leaders[r.Group]
	if s := p.endpoints[l.Primary]; r.Primary && l.Settled && s != nil && !r.Homes.Allow(p.topology, s.DataCentre) {
		return errPrimaryOutsideHomes, "primary"
	}
	return nil, ""
}

// InHomes reports whether a statement with the given homes may be sent on a connection.
func (p *Pool) InHomes(c *Conn, homes topology.Homes) bool {
	return homes.Allow(p.topology, c.catalogEntry.DataCentre)
}
