package failover

import (
	"cmp"
	"slices"
	"strconv"
)

// rowAnswer takes an answer of the table.
func (c *Core) rowAnswer(out []Action, e RowResponse) []Action {
	news := e.Result == OK && e.Row.Term > c.maxFence
	if news {
		c.raise(e.Row.Term)
	}
	if c.publish.active && e.Attempt == c.publish.call {
		return c.publishAnswer(out, e)
	}
	if e.Attempt != c.rowCall {
		return out
	}
	switch c.phase {
	case reading:
		if e.Result != OK {
			return c.fence(out)
		}
		if news && e.Row.State == Claimed && e.Row.Promoter != c.cfg.Self {
			return c.fail(out, "another promoter has just claimed a term")
		}
		c.newClaim()
		c.phase = claiming
		c.callCount++
		c.rowCall = c.callCount
		return append(out, Claim{Attempt: c.rowCall, Row: c.claim, IfVersion: e.Version})
	case claiming:
		switch e.Result {
		case OK:
			return c.fence(out)
		case Refused:
			return c.fail(out, "another promoter changed the row")
		case NoResponse:
			c.phase = resolving
			c.callCount++
			c.rowCall = c.callCount
			return append(out, ReadRow{Attempt: c.rowCall})
		}
	case resolving:
		// The nonce tells whether the lost answer was a success. An unchanged row
		// means that the put has not taken effect; the fence is safe without it.
		if e.Result == OK && e.Row.Nonce != c.claim.Nonce && e.Row.Term >= c.claim.Term {
			return c.fail(out, "another promoter claimed the term")
		}
		return c.fence(out)
	}
	return out
}

// newClaim takes the next term and a new owner; instance, run and attempt make
// it unique.
func (c *Core) newClaim() {
	nonce := c.cfg.RunID + "/" + strconv.FormatUint(c.attempt, 10)
	c.maxFence = max(c.maxFence, c.known) + 1
	c.claim = Row{Term: c.maxFence, Promoter: c.cfg.Self, Nonce: nonce, State: Claimed}
	c.owner = string(c.cfg.Self) + "/" + nonce
	if c.cfg.Mutation == SharedOwner {
		c.owner = "shared"
	}
}

// fence begins to fence: all endpoints at once, or the leaving primary first,
// so that its last entries reach the replicas.
func (c *Core) fence(out []Action) []Action {
	if c.why == suspicion && !c.suspects {
		return c.fail(out, "the primary was heard again")
	}
	if c.phase == reading {
		c.newClaim()
	}
	if c.why == planned && c.healthy() {
		c.phase, c.deadline = quiescing, c.now+c.cfg.QuiesceTimeout
		return c.sendFence(out, c.primary)
	}
	return c.fenceAll(out)
}

func (c *Core) fenceAll(out []Action) []Action {
	c.phase = fencing
	c.deadline, c.repeatAt = c.now+c.cfg.FenceTimeout, c.now+c.cfg.RetryInterval
	for i := range c.eps {
		if c.grants[i].result == NoResponse {
			out = c.sendFence(out, i)
		}
	}
	return out
}

func (c *Core) sendFence(out []Action, i int) []Action {
	return append(out, Fence{Attempt: c.attempt, Endpoint: c.cfg.Endpoints[i].ID, Term: c.claim.Term, Owner: c.owner})
}

func (c *Core) fenceAnswer(out []Action, e FenceResponse) []Action {
	if e.Result == OK {
		c.observe(e.Status)
	} else if e.Result == Refused {
		c.raise(e.Status.FenceTerm)
	}
	i := c.index(e.Endpoint)
	if i < 0 || e.Attempt != c.attempt || e.Result == NoResponse {
		return out
	}
	// An answer after the deadline does not count, even if this step handles it
	// before the timeout: JoinDelay relies on the length of an attempt.
	if c.phase != quiescing && c.phase != fencing || c.now >= c.deadline {
		return out
	}
	if e.Result == OK && (e.Status.FenceTerm != c.claim.Term || e.Status.FenceOwner != c.owner) {
		e.Result = Refused
	}
	c.grants[i] = grant{result: e.Result, status: e.Status}
	if c.phase == quiescing {
		return out
	}
	return c.choose(out, false)
}

// quiesced reports whether a majority of the staying endpoints has received what
// the fenced primary had logged.
func (c *Core) quiesced() bool {
	if c.primary < 0 || c.grants[c.primary].result != OK {
		return false
	}
	want, n := c.grants[c.primary].status.Received, 0
	for i := range c.eps {
		if i != c.primary && c.eps[i].has && c.eps[i].status.Term == c.known && c.eps[i].status.Received >= want {
			n++
		}
	}
	return n >= c.majority()
}

// choose promotes an endpoint once a majority has granted. An endpoint that
// stays is preferred when the granting endpoints that stay are a majority by
// themselves: any majority holds every acknowledged write. Otherwise the
// choice waits for the remaining answers while it would fall on a leaving one.
func (c *Core) choose(out []Action, final bool) []Action {
	var granted, staying []int
	open, refused := 0, 0
	for i, g := range c.grants {
		switch {
		case g.result == NoResponse:
			open++
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
	if refused > len(c.eps)-need {
		return c.fail(out, "a majority of endpoints has granted another term")
	}
	if len(granted) < need {
		return out
	}
	from := granted
	if len(staying) >= need {
		from = staying
	}
	best := c.latest(from)
	if c.isLeaving(best) && open > 0 && !final {
		return out
	}
	c.chosen = best
	c.phase, c.deadline, c.repeatAt = promoting, c.now+c.cfg.PromoteTimeout, c.now+c.cfg.RetryInterval
	return c.sendPromote(out)
}

// latest returns the endpoint with the highest (last log term, received); ties
// go to one that stays, then to the former primary, then to configuration order.
func (c *Core) latest(from []int) int {
	if c.cfg.Mutation == ChooseFirst {
		return from[0]
	}
	return slices.MaxFunc(from, func(a, b int) int {
		s, t := c.grants[a].status, c.grants[b].status
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
	return append(out, Promote{Attempt: c.attempt, Endpoint: c.cfg.Endpoints[c.chosen].ID, Term: c.claim.Term, Owner: c.owner})
}

func (c *Core) promoteAnswer(out []Action, e PromoteResponse) []Action {
	if e.Result == OK {
		c.observe(e.Status)
	}
	if c.phase != promoting || e.Attempt != c.attempt || c.index(e.Endpoint) != c.chosen {
		return out
	}
	switch e.Result {
	case Refused:
		return c.fail(out, "the chosen endpoint has granted a higher term")
	case NoResponse:
		// The command may have taken effect. It is repeated at the same endpoint
		// only: a second primary of one term would break the fence.
		if c.cfg.Mutation == ChooseAgain {
			return c.chooseAgain(out)
		}
		return out
	case OK:
	}
	out = append(out,
		RecordDecision{Rule: "promotion", Outcome: "promoted after " + reasonText[c.why], Endpoint: e.Endpoint, Term: c.claim.Term},
		NotifyPeers{Term: c.claim.Term, Primary: e.Endpoint})
	row := c.claim
	row.Primary, row.State = e.Endpoint, Promoted
	c.publish = publication{active: true, row: row}
	promoted := c.chosen == c.primary && c.known == c.claim.Term
	c.finish()
	if !promoted {
		return out
	}
	return c.followAll(out)
}

func (c *Core) chooseAgain(out []Action) []Action {
	for i, g := range c.grants {
		if i != c.chosen && g.result == OK {
			c.chosen = i
			return c.sendPromote(out)
		}
	}
	return out
}

// finish ends the attempt.
func (c *Core) finish() {
	c.phase, c.agreedAt, c.failures = idle, 0, 0
}

// fail ends the attempt; the next one uses a higher term after a backoff.
func (c *Core) fail(out []Action, cause string) []Action {
	out = append(out, RecordDecision{Rule: "promotion-failed", Outcome: cause, Endpoint: c.primaryID(), Term: c.claim.Term})
	c.phase, c.agreedAt = idle, 0
	pause := c.cfg.Backoff << min(c.failures, 3)
	c.failures++
	c.notUntil = max(c.notUntil, c.now+pause+c.jitter(pause))
	return out
}

// timeouts ends or repeats the step of the current attempt.
func (c *Core) timeouts(out []Action) []Action {
	if c.phase == quiescing && c.quiesced() {
		return c.fenceAll(out)
	}
	if c.phase == idle || c.now < c.deadline {
		return c.repeat(out)
	}
	switch c.phase {
	case reading, claiming, resolving:
		return c.fence(out)
	case quiescing:
		return c.fenceAll(out)
	case fencing:
		out = c.choose(out, true)
		if c.phase == fencing {
			return c.fail(out, "no majority of endpoints granted the term")
		}
	case promoting:
		return c.fail(out, "the chosen endpoint did not answer")
	}
	return out
}

func (c *Core) repeat(out []Action) []Action {
	if c.now < c.repeatAt {
		return out
	}
	switch c.phase {
	case fencing:
		c.repeatAt = c.now + c.cfg.RetryInterval
		for i := range c.eps {
			if c.grants[i].result == NoResponse {
				out = c.sendFence(out, i)
			}
		}
	case promoting:
		c.repeatAt = c.now + c.cfg.RetryInterval
		out = c.sendPromote(out)
	}
	return out
}
