package failover

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// sendFollowToAll tells all other endpoints at once to follow a new primary.
func (c *Core) sendFollowToAll(out []Action) []Action {
	for i := range c.endpoints {
		if i != c.primary {
			out = c.sendFollow(out, i)
		}
	}
	return out
}

func (c *Core) sendFollow(out []Action, i int) []Action {
	c.endpoints[i].nextFollowAt = c.now + c.cfg.RetryInterval
	p := c.cfg.Endpoints[c.primary]
	return append(out, Follow{Endpoint: c.cfg.Endpoints[i].ID, Term: c.knownTerm, Primary: p.ID, PrimaryAddr: p.Addr})
}

// attachReplicas tells endpoints that do not follow the primary, and are not fenced
// above its term, to follow it. The first instance by rank sends the command at
// once; each further one waits one second longer, in case those before it cannot
// reach the endpoint.
func (c *Core) attachReplicas(out []Action) []Action {
	if !c.primaryHealthy() || c.phase != idle {
		return out
	}
	addr, rank := c.cfg.Endpoints[c.primary].Addr, c.rank()
	for i := range c.endpoints {
		ep := &c.endpoints[i]
		s := &ep.status
		follows := s.Role == fleet.RoleReplica && s.Term == c.knownTerm && s.Primary == addr
		if i == c.primary || !ep.hasStatus || follows || s.FenceTerm > c.knownTerm {
			ep.notFollowingSince = 0
			continue
		}
		if ep.notFollowingSince == 0 {
			ep.notFollowingSince = c.now
		}
		switch {
		case c.now < ep.nextFollowAt || c.now-ep.notFollowingSince < time.Duration(rank)*time.Second:
		case s.Joining && c.now-ep.joiningSince < c.cfg.JoinDelay:
		case s.Joining && c.cfg.Mutation != JoinUnconfirmed:
			out = c.requestJoinConfirmation(out, i)
		default:
			out = c.sendFollow(out, i)
		}
	}
	return out
}

// requestJoinConfirmation asks all other endpoints to confirm the primary's term
// before the endpoint joining is told to follow.
func (c *Core) requestJoinConfirmation(out []Action, joining int) []Action {
	if c.now < c.join.retryAt {
		return out
	}
	c.lastCall++
	c.join = joinCheck{endpoint: joining, call: c.lastCall, retryAt: c.now + c.cfg.RetryInterval, confirmed: make([]bool, len(c.endpoints))}
	for i, e := range c.cfg.Endpoints {
		if i != joining {
			out = append(out, Confirm{Attempt: c.join.call, Endpoint: e.ID, Term: c.knownTerm})
		}
	}
	return out
}

func (c *Core) handleConfirm(out []Action, e ConfirmResponse) []Action {
	i := c.endpointIndex(e.Endpoint)
	if i < 0 || e.Result != OK || e.Attempt != c.join.call || e.Status.FenceTerm != c.knownTerm || e.Status.Joining {
		return out
	}
	c.join.confirmed[i] = true
	n := 0
	for _, ok := range c.join.confirmed {
		if ok {
			n++
		}
	}
	if n < c.majority() || c.phase != idle || !c.primaryHealthy() {
		return out
	}
	c.join.call = 0
	return c.sendFollow(out, c.join.endpoint)
}

// publishPromotion starts to write the row of a finished promotion, unless a higher
// term is known. It reads the row first, so that the effect of a write whose response
// was lost is known before the next one.
func (c *Core) publishPromotion(out []Action) []Action {
	p := &c.publication
	if !p.active || c.now < p.nextReadAt {
		return out
	}
	if c.knownTerm > p.row.Term {
		p.active = false
		return out
	}
	p.nextReadAt = c.now + 5*c.cfg.RetryInterval
	c.lastCall++
	p.call = c.lastCall
	return append(out, ReadRow{Attempt: p.call})
}

func (c *Core) handlePublicationRow(out []Action, e RowResponse) []Action {
	p := &c.publication
	if e.Result != OK {
		return out
	}
	if e.Row.Term > p.row.Term || e.Row == p.row {
		p.active = false
		return out
	}
	c.lastCall++
	p.call = c.lastCall
	return append(out, Publish{Attempt: p.call, Row: p.row, IfVersion: e.Version})
}
