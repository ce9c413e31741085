package failover

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// rank returns this instance's place in the group's order of the answering
// instances, 0 for the first.
func (c *Core) rank() int {
	return max(0, slices.Index(fleet.Rank("group/"+string(c.cfg.Group), c.answering), c.cfg.Self))
}

// startDelay returns the wait, by rank, that keeps instances from starting attempts
// at the same time.
func (c *Core) startDelay() time.Duration {
	return time.Duration(c.rank())*c.cfg.Stagger + c.jitter(c.cfg.Jitter)
}

// updateSuspicion suspects the primary if it refuses connections or has been silent
// for SuspectAfter. A new suspicion brings the next pull from peers forward.
func (c *Core) updateSuspicion(out []Action) []Action {
	was := c.suspectsPrimary
	refused := c.primary >= 0 && c.endpoints[c.primary].unreachable
	c.suspectsPrimary = c.started && (refused || c.now-c.lastHeard >= c.cfg.SuspectAfter)
	if c.suspectsPrimary && !was {
		out = append(out, PullPeers{})
	}
	return out
}

// suspicionAgreed reports whether a majority of the answering instances suspects the
// primary. A peer's suspicion in a lower term does not count. At least two instances
// must agree, unless the platform lists only one.
func (c *Core) suspicionAgreed() bool {
	if !c.suspectsPrimary {
		return false
	}
	n := 1
	for _, id := range c.answering {
		p, ok := c.peers[id]
		if id != c.cfg.Self && ok && p.view.Suspected && p.view.Term >= c.knownTerm && c.now-p.receivedAt < c.cfg.PeerViewMaxAge {
			n++
		}
	}
	need := len(c.answering)/2 + 1
	if c.listedCount != 1 {
		need = max(need, 2)
	}
	return n >= need
}

// primaryHealthy reports whether the primary can serve and is not suspected.
func (c *Core) primaryHealthy() bool { return !c.suspectsPrimary && c.primaryServes() }

func (c *Core) isLeaving(i int) bool {
	return slices.Contains(c.leavingEndpoints, c.cfg.Endpoints[i].ID)
}

// plannedPromotionDue reports whether this instance should replace a leaving primary
// now: a majority of endpoints that are not leaving is reachable and replicates from
// it.
func (c *Core) plannedPromotionDue() bool {
	if !c.primaryHealthy() || !c.isLeaving(c.primary) || c.rank() != 0 {
		return false
	}
	n := 0
	for i := range c.endpoints {
		ep := &c.endpoints[i]
		if !c.isLeaving(i) && ep.hasStatus && !ep.unreachable && !ep.status.Joining &&
			ep.status.Term == c.knownTerm && c.now-ep.statusAt < c.cfg.SuspectAfter {
			n++
		}
	}
	return n >= c.majority()
}

// repairDue reports whether this instance should promote again because an endpoint
// has stayed fenced above the primary's term for RepairDelay. It also keeps track of
// that time, so it is called in every step.
func (c *Core) repairDue() bool {
	above := false
	for i := range c.endpoints {
		above = above || c.endpoints[i].hasStatus && i != c.primary && c.endpoints[i].status.FenceTerm > c.knownTerm
	}
	if !above || !c.primaryHealthy() {
		c.fencedAboveSince = 0
		return false
	}
	if c.fencedAboveSince == 0 {
		c.fencedAboveSince = c.now
	}
	return c.rank() == 0 && c.now-c.fencedAboveSince >= c.cfg.RepairDelay
}

// startAttempt starts a promotion attempt if there is a reason for one and the delay
// has passed.
func (c *Core) startAttempt(out []Action) []Action {
	repairDue := c.repairDue()
	if c.phase != idle {
		return out
	}
	switch {
	case c.suspicionAgreed():
		if c.suspicionAgreedAt == 0 {
			c.suspicionAgreedAt = c.now
			c.notBefore = max(c.notBefore, c.now+c.startDelay())
		}
		c.attemptReason = suspicion
	case c.plannedPromotionDue():
		c.attemptReason = planned
	case repairDue:
		c.attemptReason = repair
	default:
		c.suspicionAgreedAt = 0
		return out
	}
	if c.now < c.notBefore {
		return out
	}
	c.lastCall++
	c.attempt = c.lastCall
	c.rowCall = c.attempt
	c.phase, c.phaseDeadline = readingRow, c.now+c.cfg.ClaimTimeout
	c.fenceReplies = make([]fenceReply, len(c.endpoints))
	c.chosen = -1
	out = append(out, RecordDecision{Rule: "promotion-start", Outcome: "promotion started: " + reasonText[c.attemptReason], Endpoint: c.primaryID(), Term: c.knownTerm})
	return append(out, ReadRow{Attempt: c.rowCall})
}

func (c *Core) primaryID() fleet.EndpointID {
	if c.primary < 0 {
		return ""
	}
	return c.cfg.Endpoints[c.primary].ID
}
