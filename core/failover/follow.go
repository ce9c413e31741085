package failover

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// followAll tells every other endpoint to follow a new primary at once.
func (c *Core) followAll(out []Action) []Action {
	for i := range c.eps {
		if i != c.primary {
			out = c.sendFollow(out, i)
		}
	}
	return out
}

func (c *Core) sendFollow(out []Action, i int) []Action {
	c.eps[i].followAt = c.now + c.cfg.RetryInterval
	p := c.cfg.Endpoints[c.primary]
	return append(out, Follow{Endpoint: c.cfg.Endpoints[i].ID, Term: c.known, Primary: p.ID, PrimaryAddr: p.Addr})
}

// follow tells endpoints with a lower term to follow the primary. The first
// instance by rank does so at once, the others a second apart in case that it
// does not reach the endpoint.
func (c *Core) follow(out []Action) []Action {
	if !c.healthy() || c.phase != idle {
		return out
	}
	addr, rank := c.cfg.Endpoints[c.primary].Addr, c.rank()
	for i := range c.eps {
		ep := &c.eps[i]
		s := &ep.status
		follows := s.Role == fleet.RoleReplica && s.Term == c.known && s.Primary == addr
		if i == c.primary || !ep.has || follows || s.FenceTerm > c.known {
			ep.stray = 0
			continue
		}
		if ep.stray == 0 {
			ep.stray = c.now
		}
		switch {
		case c.now < ep.followAt || c.now-ep.stray < time.Duration(rank)*time.Second:
		case s.Joining && c.now-ep.joining < c.cfg.JoinDelay:
		case s.Joining && c.cfg.Mutation != JoinUnconfirmed:
			out = c.checkJoin(out, i)
		default:
			out = c.sendFollow(out, i)
		}
	}
	return out
}

// checkJoin asks every other endpoint to confirm the primary's term.
func (c *Core) checkJoin(out []Action, joining int) []Action {
	if c.now < c.join.until {
		return out
	}
	c.callCount++
	c.join = joinCheck{endpoint: joining, call: c.callCount, until: c.now + c.cfg.RetryInterval, confirmed: make([]bool, len(c.eps))}
	for i, e := range c.cfg.Endpoints {
		if i != joining {
			out = append(out, Confirm{Attempt: c.join.call, Endpoint: e.ID, Term: c.known})
		}
	}
	return out
}

func (c *Core) confirmAnswer(out []Action, e ConfirmResponse) []Action {
	i := c.index(e.Endpoint)
	if i < 0 || e.Result != OK || e.Attempt != c.join.call || e.Status.FenceTerm != c.known || e.Status.Joining {
		return out
	}
	c.join.confirmed[i] = true
	n := 0
	for _, ok := range c.join.confirmed {
		if ok {
			n++
		}
	}
	if n < c.majority() || c.phase != idle || !c.healthy() {
		return out
	}
	c.join.call = 0
	return c.sendFollow(out, c.join.endpoint)
}

// republish writes the row of a finished promotion; the row keeps the higher
// term. It reads first, so that a lost answer is resolved before the next put.
func (c *Core) republish(out []Action) []Action {
	p := &c.publish
	if !p.active || c.now < p.at {
		return out
	}
	if c.known > p.row.Term {
		p.active = false
		return out
	}
	p.at = c.now + 5*c.cfg.RetryInterval
	c.callCount++
	p.call = c.callCount
	return append(out, ReadRow{Attempt: p.call})
}

func (c *Core) publishAnswer(out []Action, e RowResponse) []Action {
	p := &c.publish
	if e.Result != OK {
		return out
	}
	if e.Row.Term > p.row.Term || e.Row == p.row {
		p.active = false
		return out
	}
	c.callCount++
	p.call = c.callCount
	return append(out, Publish{Attempt: p.call, Row: p.row, IfVersion: e.Version})
}
