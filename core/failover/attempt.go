package failover

import (
	"cmp"
	"slices"
	"strconv"
)

// handleRow handles the table's response to a read or write of the group's row.
func (c *Core) handleRow(out []Action, e RowResponse) []Action {
	newTerm := e.Result == OK && e.Row.Term > c.maxFenceTerm
	if newTerm {
		c.noteFenceTerm(e.Row.Term)
	}
	if c.publication.active && e.Attempt == c.publication.call {
		return c.handlePublicationRow(out, e)
	}
	if e.Attempt != c.rowCall {
		return out
	}
	switch c.phase {
	case readingRow:
		if e.Result != OK {
			return c.beginFencing(out)
		}
		if newTerm && e.Row.State == Claimed && e.Row.Promoter != c.cfg.Self {
			return c.failAttempt(out, "another promoter has just claimed a term")
		}
		c.newClaim()
		c.phase = claimingTerm
		c.lastCall++
		c.rowCall = c.lastCall
		return append(out, Claim{Attempt: c.rowCall, Row: c.claim, IfVersion: e.Version})
	case claimingTerm:
		switch e.Result {
		case OK:
			return c.beginFencing(out)
		case Refused:
			return c.failAttempt(out, "another promoter changed the row")
		case NoResponse:
			c.phase = resolvingClaim
			c.lastCall++
			c.rowCall = c.lastCall
			return append(out, ReadRow{Attempt: c.rowCall})
		}
	case resolvingClaim:
		// The nonce shows whether the claim whose response was lost took effect. An
		// unchanged row means that the claim has not; fencing is safe without a claim.
		if e.Result == OK && e.Row.Nonce != c.claim.Nonce && e.Row.Term >= c.claim.Term {
			return c.failAttempt(out, "another promoter claimed the term")
		}
		return c.beginFencing(out)
	}
	return out
}

// newClaim sets the next term and a new fence owner, which instance, run and
// attempt make unique.
func (c *Core) newClaim() {
	nonce := c.cfg.RunID + "/" + strconv.FormatUint(c.attempt, 10)
	c.maxFenceTerm = max(c.maxFenceTerm, c.knownTerm) + 1
	c.claim = Row{Term: c.maxFenceTerm, Promoter: c.cfg.Self, Nonce: nonce, State: Claimed}
	c.fenceOwner = string(c.cfg.Self) + "/" + nonce
	if c.cfg.Mutation == SharedOwner {
		c.fenceOwner = "shared"
	}
}

// beginFencing fences all endpoints at once. In a planned promotion it fences the
// leaving primary first, so that the replicas can receive its last log entries.
func (c *Core) beginFencing(out []Action) []Action {
	if c.attemptReason == suspicion && !c.suspectsPrimary {
		return c.failAttempt(out, "the primary was heard again")
	}
	if c.phase == readingRow {
		c.newClaim()
	}
	if c.attemptReason == planned && c.primaryHealthy() {
		c.phase, c.phaseDeadline = quiescing, c.now+c.cfg.QuiesceTimeout
		return c.sendFence(out, c.primary)
	}
	return c.fenceRemaining(out)
}

func (c *Core) fenceRemaining(out []Action) []Action {
	c.phase = fencing
	c.phaseDeadline, c.retryAt = c.now+c.cfg.FenceTimeout, c.now+c.cfg.RetryInterval
	for i := range c.endpoints {
		if c.fenceReplies[i].result == NoResponse {
			out = c.sendFence(out, i)
		}
	}
	return out
}

func (c *Core) sendFence(out []Action, i int) []Action {
	return append(out, Fence{Attempt: c.attempt, Endpoint: c.cfg.Endpoints[i].ID, Term: c.claim.Term, Owner: c.fenceOwner})
}

func (c *Core) handleFence(out []Action, e FenceResponse) []Action {
	if e.Result == OK {
		c.observeStatus(e.Status)
	} else if e.Result == Refused {
		c.noteFenceTerm(e.Status.FenceTerm)
	}
	i := c.endpointIndex(e.Endpoint)
	if i < 0 || e.Attempt != c.attempt || e.Result == NoResponse {
		return out
	}
	// A response after the deadline does not count, even if this step handles it
	// before the timeout: JoinDelay relies on the length of an attempt.
	if c.phase != quiescing && c.phase != fencing || c.now >= c.phaseDeadline {
		return out
	}
	if e.Result == OK && (e.Status.FenceTerm != c.claim.Term || e.Status.FenceOwner != c.fenceOwner) {
		e.Result = Refused
	}
	c.fenceReplies[i] = fenceReply{result: e.Result, status: e.Status}
	if c.phase == quiescing {
		return out
	}
	return c.chooseEndpoint(out, false)
}

// replicasCaughtUp reports whether a majority of endpoints, the primary not
// counted, has received the whole log of the fenced primary.
func (c *Core) replicasCaughtUp() bool {
	if c.primary < 0 || c.fenceReplies[c.primary].result != OK {
		return false
	}
	want, n := c.fenceReplies[c.primary].status.Received, 0
	for i := range c.endpoints {
		if i != c.primary && c.endpoints[i].hasStatus && c.endpoints[i].status.Term == c.knownTerm && c.endpoints[i].status.Received >= want {
			n++
		}
	}
	return n >= c.majority()
}

// chooseEndpoint promotes an endpoint once a majority has granted the term. If the
// granting endpoints that are not leaving are a majority by themselves, it chooses
// among them: any majority holds every acknowledged write. Otherwise, while the
// choice would be a leaving endpoint, it waits for the remaining responses until
// final is set.
func (c *Core) chooseEndpoint(out []Action, final bool) []Action {
	var granted, staying []int
	pending, refused := 0, 0
	for i, g := range c.fenceReplies {
		switch {
		case g.result == NoResponse:
			pending++
		case g.result == Refused:
			refused++
		case g.status.Joining && c.cfg.Mutation != CountJoining:
		default:
			granted = append(granted, i)
			if !c.isLeaving(i) {
				staying = append(staying, i)
			}
		}
	}
	need := c.majority()
	if c.cfg.Mutation == MinorityFence {
		need = 1
	}
	if refused > len(c.endpoints)-need {
		return c.failAttempt(out, "a majority of endpoints has granted another term")
	}
	if len(granted) < need {
		return out
	}
	candidates := granted
	if len(staying) >= need {
		candidates = staying
	}
	best := c.mostAdvanced(candidates)
	if c.isLeaving(best) && pending > 0 && !final {
		return out
	}
	c.chosen = best
	c.phase, c.phaseDeadline, c.retryAt = promoting, c.now+c.cfg.PromoteTimeout, c.now+c.cfg.RetryInterval
	return c.sendPromote(out)
}

// mostAdvanced returns the endpoint with the highest last log term and, within that
// term, the highest received position. Ties go to an endpoint that is not leaving,
// then to the former primary, then to configuration order.
func (c *Core) mostAdvanced(candidates []int) int {
	if c.cfg.Mutation == ChooseFirst {
		return candidates[0]
	}
	return slices.MaxFunc(candidates, func(a, b int) int {
		s, t := c.fenceReplies[a].status, c.fenceReplies[b].status
		return cmp.Or(
			cmp.Compare(s.LastLogTerm, t.LastLogTerm),
			cmp.Compare(s.Received, t.Received),
			-compareBool(c.isLeaving(a), c.isLeaving(b)),
			compareBool(a == c.primary, b == c.primary),
			cmp.Compare(b, a),
		)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (c *Core) sendPromote(out []Action) []Action {
	return append(out, Promote{Attempt: c.attempt, Endpoint: c.cfg.Endpoints[c.chosen].ID, Term: c.claim.Term, Owner: c.fenceOwner})
}

func (c *Core) handlePromote(out []Action, e PromoteResponse) []Action {
	if e.Result == OK {
		c.observeStatus(e.Status)
	}
	if c.phase != promoting || e.Attempt != c.attempt || c.endpointIndex(e.Endpoint) != c.chosen {
		return out
	}
	switch e.Result {
	case Refused:
		return c.failAttempt(out, "the chosen endpoint has granted a higher term")
	case NoResponse:
		// The command may have taken effect. It is sent again only to the same
		// endpoint: a second primary in one term would break the guarantee of the fence.
		if c.cfg.Mutation == ChooseAgain {
			return c.promoteAnother(out)
		}
		return out
	case OK:
	}
	out = append(out,
		RecordDecision{Rule: "promotion", Outcome: "promoted after " + reasonText[c.attemptReason], Endpoint: e.Endpoint, Term: c.claim.Term},
		NotifyPeers{Term: c.claim.Term, Primary: e.Endpoint})
	row := c.claim
	row.Primary, row.State = e.Endpoint, Promoted
	c.publication = publication{active: true, row: row}
	promoted := c.chosen == c.primary && c.knownTerm == c.claim.Term
	c.finishAttempt()
	if !promoted {
		return out
	}
	return c.sendFollowToAll(out)
}

func (c *Core) promoteAnother(out []Action) []Action {
	for i, g := range c.fenceReplies {
		if i != c.chosen && g.result == OK {
			c.chosen = i
			return c.sendPromote(out)
		}
	}
	return out
}

// finishAttempt ends the attempt after success.
func (c *Core) finishAttempt() {
	c.phase, c.suspicionAgreedAt, c.failedAttempts = idle, 0, 0
}

// failAttempt ends the attempt after a failure; the next one starts after a backoff
// and uses a higher term.
func (c *Core) failAttempt(out []Action, cause string) []Action {
	out = append(out, RecordDecision{Rule: "promotion-failed", Outcome: cause, Endpoint: c.primaryID(), Term: c.claim.Term})
	c.phase, c.suspicionAgreedAt = idle, 0
	pause := c.cfg.Backoff << min(c.failedAttempts, 3)
	c.failedAttempts++
	c.notBefore = max(c.notBefore, c.now+pause+c.jitter(pause))
	return out
}

// handleTimeouts moves the attempt on when the deadline of its phase has passed, and
// sends unanswered commands again before that.
func (c *Core) handleTimeouts(out []Action) []Action {
	if c.phase == quiescing && c.replicasCaughtUp() {
		return c.fenceRemaining(out)
	}
	if c.phase == idle || c.now < c.phaseDeadline {
		return c.retryCommands(out)
	}
	switch c.phase {
	case readingRow, claimingTerm, resolvingClaim:
		return c.beginFencing(out)
	case quiescing:
		return c.fenceRemaining(out)
	case fencing:
		out = c.chooseEndpoint(out, true)
		if c.phase == fencing {
			return c.failAttempt(out, "no majority of endpoints granted the term")
		}
	case promoting:
		return c.failAttempt(out, "the chosen endpoint did not answer")
	}
	return out
}

func (c *Core) retryCommands(out []Action) []Action {
	if c.now < c.retryAt {
		return out
	}
	switch c.phase {
	case fencing:
		c.retryAt = c.now + c.cfg.RetryInterval
		for i := range c.endpoints {
			if c.fenceReplies[i].result == NoResponse {
				out = c.sendFence(out, i)
			}
		}
	case promoting:
		c.retryAt = c.now + c.cfg.RetryInterval
		out = c.sendPromote(out)
	}
	return out
}
