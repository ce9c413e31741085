package pool

import (
	"fmt"
	"time"

	"github.com/vanillahinge/vanillahinge/core/evacuation"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/warmup"
)

var (
	errAllEvacuated = &Refusal{"all endpoints of the group are in data centres that are being evacuated",
		"repeat it after the evacuation, or start an endpoint in another data centre", "evacuated"}
	errPrimaryEvacuated = &Refusal{"the data centre of the primary is being evacuated and no endpoint outside can replace it",
		"repeat it after the evacuation, or start an endpoint in another data centre", "evacuated"}
)

// errEvacuatedMeanwhile is the error of a connection that was reserved before an evacuation and
// may not be used any more. The statement may be served elsewhere.
var errEvacuatedMeanwhile = fmt.Errorf("%w: the data centre of the endpoint is being evacuated", stmt.ErrUnreachable)

// evacuated reports whether an endpoint gets no further statement because its data centre is
// being evacuated. A primary gets those that only it can run (asPrimary) until its replacement
// begins, at most until the end of the time for open transactions, if it can be replaced.
func (p *Pool) evacuated(s *endpointState, asPrimary bool, now time.Duration) bool {
	w, ok := p.view.Evacuated[s.DataCentre]
	return ok && !(asPrimary && now < w.StatementsUntil && p.outlook(s.Group).Candidates > 0)
}

// outlook returns what the evacuations leave of a group.
func (p *Pool) outlook(id fleet.GroupID) evacuation.Outlook {
	return p.view.Evacuated.Outlook(p.view.Endpoints[id], p.view.Leaders[id].Primary)
}

// evacuationRefusal returns the reason to refuse a request at once because no endpoint outside
// the evacuated data centres can serve it, or nil.
func (p *Pool) evacuationRefusal(r *Request) *Refusal {
	if len(p.view.Evacuated) == 0 {
		return nil
	}
	o := p.outlook(r.Group)
	switch {
	case o.Stranded(p.view.Endpoints[r.Group]):
		return errAllEvacuated
	case r.Primary && o.PrimaryEvacuated && o.Candidates == 0:
		return errPrimaryEvacuated
	}
	return nil
}

// keepsIdle reports whether an endpoint's idle connections may stay open.
func (p *Pool) keepsIdle(s *endpointState, now time.Duration) bool {
	if !p.view.Evacuated.Has(s.DataCentre) {
		return true
	}
	primary, usable := p.usablePrimary(s.Group, now)
	return !p.evacuated(s, usable && primary == s.ID, now)
}

// mayProbe reports whether the address of an endpoint may be connected to.
func (p *Pool) mayProbe(s *endpointState) bool { return !p.view.Evacuated.Has(s.DataCentre) }

// evacuationBegan reports whether the data centre of an endpoint is being evacuated.
func (p *Pool) evacuationBegan(s *endpointState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.mayProbe(s)
}

// Evacuated reports whether a connection may no longer be used because the data centre
// of its endpoint is being evacuated.
func (p *Pool) Evacuated(c *Conn) bool {
	set := p.evacuations.Load()
	return c.evacuated.Load() || set != nil && !set.MaySendStatement(c.catalogEntry.DataCentre, p.clock.Now())
}

// enforceEvacuation closes the connections to an endpoint whose data centre is being evacuated:
// idle ones at once, open transactions at the end of their time, and statements that still run
// when the time for commands ends. MaySend stops statements on connections that stay open.
func (p *Pool) enforceEvacuation(s *endpointState, now time.Duration) {
	w, ok := p.view.Evacuated[s.DataCentre]
	if !ok {
		return
	}
	if !p.keepsIdle(s, now) {
		p.closeIdle(s)
	}
	if now < w.StatementsUntil {
		return
	}
	for c := range s.inUse {
		if c.evacuated.Load() || c.RawConn == nil || c.active && now < w.CommandsUntil {
			continue
		}
		c.evacuated.Store(true)
		c.RawConn.Close()
		p.metrics.Count("evacuated_connections_closed")
		p.log.Info("pool: connection closed; the data centre of the endpoint is being evacuated", "endpoint", string(s.ID),
			"account", string(c.account), "active", c.active)
	}
}

// applyEvacuations takes over the evacuated data centres of a view. before are those of the
// former one.
func (p *Pool) applyEvacuations(before evacuation.Set) {
	set := p.view.Evacuated
	p.evacuations.Store(&set)
	now := p.clock.Now()
	for _, s := range p.endpoints {
		p.enforceEvacuation(s, now)
		if before.Has(s.DataCentre) && !set.Has(s.DataCentre) {
			p.endpointRecovered(s, now)
		}
	}
}

// endpointRecovered is called when an endpoint may be used again after the evacuation of its
// data centre. Earlier failures are no reason to replace it as the primary: nothing was sent
// meanwhile that could have succeeded. One that was unreachable is probed before it is used.
func (p *Pool) endpointRecovered(s *endpointState, now time.Duration) {
	s.lostAnswers, s.failingSince = 0, 0
	if s.unreachable {
		s.failingSince = now
	}
	p.beginRamp(s, warmup.Readmitted, now)
}
