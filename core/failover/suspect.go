package failover

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// rank returns this instance's place among the answering instances.
func (c *Core) rank() int {
	return max(0, slices.Index(fleet.Rank("group/"+string(c.cfg.Group), c.answering), c.cfg.Self))
}

// delay returns the wait by which instances start one after the other.
func (c *Core) delay() time.Duration {
	return time.Duration(c.rank())*c.cfg.Stagger + c.jitter(c.cfg.Jitter)
}

// suspect judges the primary.
func (c *Core) suspect(out []Action) []Action {
	was := c.suspects
	refused := c.primary >= 0 && c.eps[c.primary].unreachable
	c.suspects = c.started && (refused || c.now-c.heard >= c.cfg.SuspectAfter)
	if c.suspects && !was {
		out = append(out, PullPeers{})
	}
	return out
}

// agreed reports whether a majority of the answering instances suspects the
// same primary, at least two unless the fleet has one instance.
func (c *Core) agreed() bool {
	if !c.suspects {
		return false
	}
	n := 1
	for _, id := range c.answering {
		p, ok := c.peers[id]
		if id != c.cfg.Self && ok && p.view.Suspected && p.view.Term >= c.known && c.now-p.at < c.cfg.PeerViewMaxAge {
			n++
		}
	}
	need := len(c.answering)/2 + 1
	if c.listed != 1 {
		need = max(need, 2)
	}
	return n >= need
}

// healthy reports whether the primary serves and is heard.
func (c *Core) healthy() bool { return !c.suspects && c.serves() }

func (c *Core) isLeaving(i int) bool { return slices.Contains(c.leaving, c.cfg.Endpoints[i].ID) }

// wantsMove reports whether a leaving primary can be replaced now: a majority of
// endpoints that stay is heard and replicates from it.
func (c *Core) wantsMove() bool {
	if !c.healthy() || !c.isLeaving(c.primary) || c.rank() != 0 {
		return false
	}
	n := 0
	for i := range c.eps {
		ep := &c.eps[i]
		if !c.isLeaving(i) && ep.has && !ep.unreachable && !ep.status.Joining &&
			ep.status.Term == c.known && c.now-ep.seen < c.cfg.SuspectAfter {
			n++
		}
	}
	return n >= c.majority()
}

// wantsRepair reports whether an endpoint has stayed fenced above the primary.
func (c *Core) wantsRepair() bool {
	above := false
	for i := range c.eps {
		above = above || c.eps[i].has && i != c.primary && c.eps[i].status.FenceTerm > c.known
	}
	if !above || !c.healthy() {
		c.orphaned = 0
		return false
	}
	if c.orphaned == 0 {
		c.orphaned = c.now
	}
	return c.rank() == 0 && c.now-c.orphaned >= c.cfg.RepairDelay
}

// start begins an attempt when there is a reason for one.
func (c *Core) start(out []Action) []Action {
	wantsRepair := c.wantsRepair()
	if c.phase != idle {
		return out
	}
	switch {
	case c.agreed():
		if c.agreedAt == 0 {
			c.agreedAt = c.now
			c.notUntil = max(c.notUntil, c.now+c.delay())
		}
		c.why = suspicion
	case c.wantsMove():
		c.why = planned
	case wantsRepair:
		c.why = repair
	default:
		c.agreedAt = 0
		return out
	}
	if c.now < c.notUntil {
		return out
	}
	c.callCount++
	c.attempt = c.callCount
	c.rowCall = c.attempt
	c.phase, c.deadline = reading, c.now+c.cfg.ClaimTimeout
	c.grants = make([]grant, len(c.eps))
	c.chosen = -1
	out = append(out, RecordDecision{Rule: "promotion-start", Outcome: "promotion started: " + reasonText[c.why], Endpoint: c.primaryID(), Term: c.known})
	return append(out, ReadRow{Attempt: c.rowCall})
}

func (c *Core) primaryID() fleet.EndpointID {
	if c.primary < 0 {
		return ""
	}
	return c.cfg.Endpoints[c.primary].ID
}
