package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

const (
	// claimTimeout bounds the conditional write of a claim.
	claimTimeout = 800 * time.Millisecond
	// lateWriteTimeout bounds the wait for a record whose response was lost to
	// appear in the table; the store may apply it seconds later.
	lateWriteTimeout = 3 * time.Second
	// confirmTimeout bounds one Confirm call; it covers plannedChangeGrace.
	confirmTimeout = plannedChangeGrace + 200*time.Millisecond
	// changePollInterval is the polling interval of the steps of a change.
	changePollInterval = 20 * time.Millisecond
	// endpointCallTimeout bounds one internal statement at an endpoint.
	endpointCallTimeout = 400 * time.Millisecond
	// promoteTimeout bounds one call to the platform to promote an endpoint.
	promoteTimeout = 1200 * time.Millisecond
	// settleTimeout bounds the attempts to store the settled record.
	settleTimeout = 8 * time.Second
)

// replacePrimary carries out a change of a group's primary, from the claim to
// the settled record. It runs in a goroutine of its own.
func (c *Controller) replacePrimary(ctx context.Context, old catalog.Leadership, cause takeover.Cause, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*takeover.HolderTimeout+settleTimeout)
	defer cancel()
	switch cause {
	case takeover.Unreachable:
		if !c.peersConfirmUnreachable(ctx, old, addr) {
			return
		}
	case takeover.Leaving, takeover.Gone, takeover.Evacuated:
		if !c.readyForPlannedChange(ctx, old, cause) {
			return
		}
	}
	ch := &primaryChange{ctl: c, old: old, cause: cause, startedAt: c.Clock.Now()}
	if !ch.claim(ctx) {
		return
	}
	switch former, result := ch.awaitOldPrimaryUnused(ctx); result {
	case oldPrimaryUnused:
		if ch.promote(ctx) {
			ch.publishSettledRecord(ctx)
		}
	case formerPrimaryLeads:
		ch.withdraw(ctx, former)
	case notConfirmed:
		c.Log.Warn("control: change of primary abandoned; not enough instances confirmed in time", "group", string(old.Group))
	}
}

// endChange records that a change carried out here has ended, and whether it did so by a panic:
// then it is left to the others. A later change can start.
func (c *Controller) endChange(id fleet.GroupID, returned bool) {
	if c.runInLoop(c.ctx, func() {
		g := c.groupState(id)
		g.changing, g.changeFailed, g.changeFailedAt = false, !returned, c.Clock.Now()
	}) != nil {
		return // the controller has stopped
	}
}

// claimant returns this process as a claimant of changes in a group.
func (c *Controller) claimant(g *group) takeover.Claimant {
	return takeover.Claimant{Instance: c.Self.ID, LastClaim: g.lastClaim}
}

// peersConfirmUnreachable asks some other instances whether they reach the
// primary and reports whether enough of them do not.
func (c *Controller) peersConfirmUnreachable(ctx context.Context, old catalog.Leadership, addr string) bool {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	reachable, unreachable := 0, 0
	var witnesses, answered []fleet.InstanceID
	regional := false
	if c.runInLoop(ctx, func() { witnesses, regional = c.witnesses(old.Group), c.groupKeepers(old.Group).Count() > 1 }) != nil {
		return false
	}
	for _, p := range c.peerList(ctx, witnesses) {
		wg.Go(func() {
			res, err := p.client.Reach(call, &peerrpc.ReachRequest{Endpoint: old.Primary, Addr: addr})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered = append(answered, p.ID)
			}
			switch {
			case err != nil:
				c.Metrics.Count("exchange_failures")
			case res.Reachable:
				reachable++
			default:
				unreachable++
			}
		})
	}
	wg.Wait()
	ok := takeover.MajorityUnreachable(unreachable, reachable) && (!regional || takeover.MayConfirm(old.Users, append(answered, c.Self.ID)))
	c.Log.Info("control: primary unreachable; asked the other instances", "group", string(old.Group), "primary", string(old.Primary),
		"others_reach", reachable, "others_do_not", unreachable, "change", ok)
	return ok
}

// peerList returns those of the given instances that are other members.
func (c *Controller) peerList(ctx context.Context, ids []fleet.InstanceID) []*peer {
	var out []*peer
	if err := c.runInLoop(ctx, func() {
		for _, id := range ids {
			if p := c.peers[id]; p != nil {
				out = append(out, p)
			}
		}
	}); err != nil {
		return nil
	}
	return out
}

// primaryChange is one change of a group's primary, carried out by this
// instance as its holder.
type primaryChange struct {
	ctl       *Controller
	old       catalog.Leadership
	cause     takeover.Cause
	startedAt time.Duration

	record    catalog.Leadership
	claimedAt time.Duration
	// calledAt is when the call that stored the record began. The time of the holder counts
	// from then: it may have read the answer late.
	calledAt time.Duration
	// unconfirmed are the users that have not confirmed the change when it takes effect.
	unconfirmed []fleet.InstanceID
	// acknowledged covers all commits that the users have acknowledged to callers, zero if that
	// is not known.
	acknowledged fleet.LogPosition
	// leastAcknowledged is a position that no log with all acknowledged commits ends before.
	leastAcknowledged fleet.LogPosition
	// knownTerm is the highest term that an endpoint of the group has told during the change, 0 if
	// none has.
	knownTerm fleet.Term
	// putOff is set once no log was known to hold all acknowledged commits.
	putOff bool
	// removal is set if users are removed and the primary stays. There is no call to the
	// platform that could take effect late, so the time of the holder is not bounded.
	removal bool
}

// encodeRow returns the row of the fleet's own table that stores a record.
func (ch *primaryChange) encodeRow(l catalog.Leadership) (kvstore.Row, error) {
	value, err := json.Marshal(l)
	return kvstore.Row{Table: ch.ctl.Schema.FleetTable, Key: leaderPrefix + string(l.Group), Value: value, Version: l.Version}, err
}

// claim writes the unsettled record that makes this instance the holder of the
// change. The write is conditional on the version of the old record.
func (ch *primaryChange) claim(ctx context.Context) bool {
	c, old := ch.ctl, ch.old
	var holder takeover.Claimant
	claim := rand.Uint64()
	if c.runInLoop(ctx, func() {
		g := c.groupState(old.Group)
		holder, g.lastClaim = c.claimant(g), claim
	}) != nil {
		return false
	}
	l := takeover.Claim(old, c.era.Load(), holder, claim)
	l.Term = max(old.Term, old.PrimaryTerm, c.Pool.Term(old.Group)) + 1
	if c.runInLoop(ctx, func() { c.nameFirstReplicas(&l, old) }) != nil {
		return false
	}
	l.Planned = isPlanned(ch.cause)
	if !old.Settled {
		group, known := c.changedGroup(ctx, old.Group)
		if !known {
			return false
		}
		// The former primary may be the only one with all acknowledged commits.
		l.Planned = old.Planned && group.SyncReplicas > 0
	}
	row, err := ch.encodeRow(l)
	if err != nil {
		c.Log.Warn("control: cannot encode the claim of a change of primary", "error", err.Error())
		return false
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	ch.calledAt = c.Clock.Now()
	version, err := c.apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
	cancel()
	switch {
	case err == nil:
	case errors.Is(err, kvstore.ErrNoAnswer):
		if version = ch.awaitLateWrite(ctx, l); version == 0 {
			c.Log.Warn("control: claim got no response from the store and did not appear in the table; change of primary abandoned", "group", string(old.Group))
			return false
		}
	default:
		c.Log.Info("control: claim rejected by the store", "group", string(old.Group), "cause", ch.cause.String(), "error", err.Error())
		return false
	}
	l.Version = version
	ch.record, ch.claimedAt = l, c.Clock.Now()
	c.Log.Info("control: change of primary claimed", "group", string(l.Group), "cause", ch.cause.String(), "fence", version,
		"term", uint64(l.Term), "former", string(l.Former), "planned", l.Planned)
	return c.runInLoop(ctx, func() { c.adoptLeadership(l); c.publishView() }) == nil
}

// changedGroup returns the configuration of a group for a step of a change of its primary, and
// false if an input of the step is unknown.
func (c *Controller) changedGroup(ctx context.Context, id fleet.GroupID) (group catalog.Group, known bool) {
	if c.runInLoop(ctx, func() { group, known = c.facts().Group(id, takeover.Replacement) }) != nil {
		return catalog.Group{}, false
	}
	return group, known
}

// awaitLateWrite waits until an unsettled record of this change whose response was lost
// appears in the table, and returns its version; 0 if it does not.
func (ch *primaryChange) awaitLateWrite(ctx context.Context, l catalog.Leadership) uint64 {
	c := ch.ctl
	for deadline := c.Clock.Now() + lateWriteTimeout; c.Clock.Now() < deadline; {
		var current catalog.Leadership
		if c.runInLoop(ctx, func() { current = c.leadership(l.Group) }) != nil {
			return 0
		}
		if current.Order() >= l.Order() {
			if current.Claim == l.Claim && current.Order() == l.Order() {
				return current.Version
			}
			return 0
		}
		if !sleep(ctx, changePollInterval) {
			return 0
		}
	}
	return 0
}

// claimValid reports whether this instance may still act on its claim: no newer
// record exists, the store has not come back from a copy since, which may lack the claim,
// and takeover.HolderTimeout has not passed.
func (ch *primaryChange) claimValid(ctx context.Context) bool {
	var current catalog.Leadership
	if ch.ctl.runInLoop(ctx, func() { current = ch.ctl.leadership(ch.old.Group) }) != nil {
		return false
	}
	if ch.record.Era != ch.ctl.era.Load() {
		return false
	}
	if ch.removal {
		return ch.stillRemoves(current)
	}
	return current.Order() == ch.record.Order() && ch.timeLeft() > 0
}

// stillRemoves reports whether the current record names all users as removed that this removal
// does. Other instances may register meanwhile.
func (ch *primaryChange) stillRemoves(current catalog.Leadership) bool {
	return current.Settled && current.Era == ch.record.Era && current.PrimaryTerm == ch.record.PrimaryTerm && current.Primary == ch.record.Primary &&
		!slices.ContainsFunc(ch.record.Removed, func(u fleet.InstanceID) bool { return !slices.Contains(current.Removed, u) })
}

// confirms reports whether an answer with the order of the record that a user acts on confirms
// this change or removal.
func (ch *primaryChange) confirms(order uint64) bool {
	return order == ch.record.Order() || ch.removal && order > ch.record.Order()
}

// timeLeft returns for how long this instance may still act on its claim.
func (ch *primaryChange) timeLeft() time.Duration {
	return ch.calledAt + takeover.HolderTimeout - ch.ctl.Clock.Now()
}

// confirmationResult is how the wait for the users of the old primary ends.
type confirmationResult uint8

const (
	// notConfirmed means that the claim is no longer valid.
	notConfirmed confirmationResult = iota
	// oldPrimaryUnused means that no instance sends to the old primary any more.
	oldPrimaryUnused
	// formerPrimaryLeads means that most users do not confirm and the old primary answers.
	formerPrimaryLeads
)

// awaitOldPrimaryUnused waits until no instance sends statements to the old primary, or until
// the change is to be withdrawn in favour of the former one, which it returns.
func (ch *primaryChange) awaitOldPrimaryUnused(ctx context.Context) (former fleet.EndpointID, result confirmationResult) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := *ch // calls that are under way go on reading the claim after the wait
	leads := make(chan fleet.EndpointID, 1)
	ch.ctl.spawn(func() {
		if id := wait.awaitFormerPrimary(ctx); id != "" {
			leads <- id
		}
	})
	confirmed, former, result := wait.awaitConfirmations(ctx, leads)
	ch.acknowledged, ch.leastAcknowledged = wait.acknowledged, wait.leastAcknowledged
	if result == oldPrimaryUnused {
		ch.ctl.Log.Info("control: no instance uses the old primary any more", "group", string(ch.old.Group), "users", len(ch.record.Users),
			"confirmed", len(confirmed), "after_ms", (ch.ctl.Clock.Now() - ch.claimedAt).Milliseconds())
		ch.unconfirmed = unconfirmed(ch.record.Users, confirmed)
	}
	return former, result
}

// formerPrimaryInterval is the time between two calls to the former primary of a change that
// most users do not confirm.
const formerPrimaryInterval = 200 * time.Millisecond

// awaitFormerPrimary waits until the change may be withdrawn, from takeover.WithdrawAfter after
// it began, and returns the former primary. It returns "" if ctx ends first, or if an endpoint
// may have been promoted.
func (ch *primaryChange) awaitFormerPrimary(ctx context.Context) fleet.EndpointID {
	c := ch.ctl
	for !ch.record.MayHavePromoted {
		var candidates []catalog.Endpoint
		if c.runInLoop(ctx, func() {
			if c.Clock.Now() >= c.groupState(ch.record.Group).confirmingAt+takeover.WithdrawAfter {
				candidates = c.formerPrimaries(ch.record)
			}
		}) != nil {
			return ""
		}
		for _, e := range candidates {
			s, err := c.runEndpointCommand(e, stmt.Statement{Kind: stmt.Status})
			if err == nil && takeover.MayWithdraw(ch.record, s) {
				return e.ID
			}
		}
		if !sleep(ctx, formerPrimaryInterval) {
			return ""
		}
	}
	return ""
}

// formerPrimaries returns the endpoints that may be the former primary of a change: the one
// that the record names, or the only one that reports itself as primary if that one has left
// the list. A primary that has crashed comes back with its log, and may have another id.
func (c *Controller) formerPrimaries(l catalog.Leadership) []catalog.Endpoint {
	if e, ok := c.listed[l.Former]; ok {
		return []catalog.Endpoint{e}
	}
	var out []catalog.Endpoint
	for _, e := range c.listedByGroup[l.Group] {
		if e.Primary {
			out = append(out, e)
		}
	}
	if len(out) != 1 {
		return nil
	}
	return out
}

// withdraw stores the record that gives the change up in favour of the former primary.
func (ch *primaryChange) withdraw(ctx context.Context, former fleet.EndpointID) {
	c, l := ch.ctl, takeover.Withdraw(ch.record, former)
	row, err := ch.encodeRow(l)
	if err != nil {
		c.Log.Warn("control: cannot encode the record of a withdrawn change", "error", err.Error())
		return
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := c.apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
	if err != nil {
		// If the write takes effect late, its record arrives with the table.
		c.Log.Info("control: change of primary not withdrawn", "group", string(l.Group), "error", err.Error())
		return
	}
	l.Version = version
	c.Metrics.Count("changes_withdrawn")
	c.Log.Warn("control: change of primary withdrawn; most users of the former primary do not confirm, and it answers",
		"group", string(l.Group), "primary", string(l.Primary), "term", uint64(l.PrimaryTerm), "users", len(l.Users))
	var g groupEndpoints
	known := false
	if c.runInLoop(ctx, func() {
		c.adoptLeadership(l)
		c.publishView()
		g, known = c.groupEndpoints(l, l.Primary)
	}) == nil && known && g.syncReplicas > 0 {
		c.resumeReplicas(l, g.replicas)
	}
}

// unconfirmed returns the users that have not confirmed a change. The settled record names
// them as about to be removed, and they register again when they answer. They stay in the
// list: the holder announces the record before the store has it, and until then another
// instance may carry out a change among the users of the claim.
func unconfirmed(users, confirmed []fleet.InstanceID) []fleet.InstanceID {
	return slices.DeleteFunc(slices.Clone(users), func(u fleet.InstanceID) bool { return slices.Contains(confirmed, u) })
}

// awaitConfirmations waits until every user acts on the record or has no permission any
// more, see takeover.TakesEffectAt, and returns those that do. It ends early if fewer than a
// majority have confirmed once leads brings the former primary.
func (ch *primaryChange) awaitConfirmations(ctx context.Context, leads <-chan fleet.EndpointID) (confirmed []fleet.InstanceID, former fleet.EndpointID, result confirmationResult) {
	c, ids := ch.ctl, ch.record.Users
	claimed, renewed := ch.claimedAt, time.Duration(0)
	if c.runInLoop(ctx, func() {
		g := c.groupState(ch.record.Group)
		if ch.record.Confirming && g.confirmingSince == ch.record.ConfirmingSince {
			claimed = g.confirmingAt
		}
		if ch.record.RenewedEra > 0 && ch.record.RenewedEra == ch.record.Era {
			renewed = g.renewedAt + takeover.RenewalWait
		}
	}) != nil {
		return nil, "", notConfirmed
	}
	var mu sync.Mutex
	state := make([]takeover.Confirmation, len(ids))
	acknowledgedCommits := make([]*takeover.AcknowledgedCommits, len(ids))
	for i, id := range ids {
		state[i].Member = id
		confirmed := func(at time.Duration, known *takeover.AcknowledgedCommits) {
			mu.Lock()
			defer mu.Unlock()
			state[i].Confirmed, state[i].At = true, at
			acknowledgedCommits[i] = known
		}
		c.spawn(func() { ch.requestConfirmation(ctx, id, confirmed) })
	}
	for {
		var acknowledged map[fleet.InstanceID]bool
		if c.runInLoop(ctx, func() { acknowledged = maps.Clone(c.groupState(ch.record.Group).acknowledged) }) != nil {
			return nil, "", notConfirmed
		}
		mu.Lock()
		for i := range state {
			state[i].KnowsHolder = ch.record.MayUse(c.Self.ID) && acknowledged[state[i].Member]
		}
		at := max(takeover.TakesEffectAt(claimed, state, !ch.record.Unacknowledged), renewed)
		_, majority := takeover.EffectiveAt(claimed, state)
		confirmed = confirmed[:0]
		for _, s := range state {
			if s.Confirmed {
				confirmed = append(confirmed, s.Member)
			}
		}
		ch.acknowledged = fleet.LogPosition{}
		if at, known := takeover.AllAcknowledged(ch.record, acknowledgedCommits); known {
			ch.acknowledged = at
		}
		ch.leastAcknowledged = takeover.LeastAcknowledged(acknowledgedCommits)
		mu.Unlock()
		select {
		case former = <-leads:
		default:
		}
		switch {
		case c.Clock.Now() >= at:
			return confirmed, "", oldPrimaryUnused
		case former != "" && (!majority || ch.record.Unacknowledged):
			return confirmed, former, formerPrimaryLeads
		}
		if !ch.claimValid(ctx) || !sleep(ctx, changePollInterval/2) {
			return nil, "", notConfirmed
		}
	}
}

// requestConfirmation calls one member until it confirms the change or the claim
// is no longer valid. A refused connection confirms nothing: a network may refuse it on
// behalf of a machine that it cuts off.
func (ch *primaryChange) requestConfirmation(ctx context.Context, id fleet.InstanceID, confirmed func(at time.Duration, known *takeover.AcknowledgedCommits)) {
	c := ch.ctl
	for ch.claimValid(ctx) {
		if id == c.Self.ID {
			res, err := c.Confirm(ctx, &peerrpc.ConfirmRequest{Record: ch.record})
			if err == nil && ch.confirms(res.Version) {
				confirmed(c.Clock.Now(), res.Acknowledged)
				return
			}
			continue
		}
		var p *peer
		left := false
		if c.runInLoop(ctx, func() { p, left = c.peers[id], c.hasLeft(id, ch.record.Version) }) != nil || p == nil {
			return
		}
		if left {
			confirmed(c.Clock.Now(), nil)
			return
		}
		call, cancel := context.WithTimeout(ctx, confirmTimeout)
		res, err := p.client.Confirm(call, &peerrpc.ConfirmRequest{Record: ch.record})
		cancel()
		if err == nil && ch.confirms(res.Version) {
			confirmed(c.Clock.Now(), res.Acknowledged)
			return
		}
		if !sleep(ctx, changePollInterval) {
			return
		}
	}
}

// Confirm serves the call of the holder of a change: it adopts the record and
// returns once this instance has stopped using earlier primaries.
func (c *Controller) Confirm(ctx context.Context, req *peerrpc.ConfirmRequest) (*peerrpc.ConfirmResponse, error) {
	done := make(chan *peerrpc.ConfirmResponse, 1)
	if err := c.runInLoop(ctx, func() {
		c.adoptLeadership(req.Record)
		c.publishView()
		g := c.groupState(req.Record.Group)
		if req.Record.Era < c.era.Load() {
			// Somebody may have been told otherwise since the store lost the record.
			done <- &peerrpc.ConfirmResponse{}
			return
		}
		if g.confirmedVersion >= req.Record.Order() && !c.Pool.UsesFormerPrimary(g.record) {
			done <- c.confirmation(g, g.confirmedVersion)
			return
		}
		g.confirmWaiters = append(g.confirmWaiters, done)
	}); err != nil {
		return nil, err
	}
	select {
	case res := <-done:
		return res, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reach serves the call of another instance: it reports whether this instance
// reaches an endpoint.
func (c *Controller) Reach(ctx context.Context, req *peerrpc.ReachRequest) (*peerrpc.ReachResponse, error) {
	if c.knownAsEvacuated(ctx, req.Endpoint) {
		return &peerrpc.ReachResponse{}, nil
	}
	return &peerrpc.ReachResponse{Reachable: c.Pool.Reachable(req.Endpoint, req.Addr)}, nil
}

// promote promotes the most advanced replica and waits until it is the primary. In a group
// with synchronous replicas it asks for their logs until one is known to hold all acknowledged
// commits. If the former primary comes back with its log before, the change is withdrawn.
func (ch *primaryChange) promote(ctx context.Context) bool {
	c := ch.ctl
	candidates := 0
	// lastFormer is what the former primary had when it was last asked. Nobody uses it any more.
	var lastFormer fleet.LogPosition
	for ch.claimValid(ctx) {
		var g groupEndpoints
		known := false
		if c.runInLoop(ctx, func() { g, known = c.groupEndpoints(ch.record, ch.record.Former) }) != nil {
			return false
		}
		if !known {
			if !sleep(ctx, changePollInterval) {
				return false
			}
			continue
		}
		// A demoted primary may stop sending its log to the replicas, so its position is
		// read before it is demoted, and collectPositions waits for a replica to reach it.
		former := ch.formerPosition(ctx, g.former)
		if !ch.record.Planned {
			former = lastFormer
		}
		formerKnown := former != (fleet.LogPosition{})
		ask := stmt.Statement{Kind: stmt.Status}
		switch {
		case g.syncReplicas > 0 && formerKnown:
			// An earlier holder or an earlier round may have paused them.
			ask = stmt.Statement{Kind: stmt.Resume}
		case g.syncReplicas > 0:
			// Replicas that stop receiving acknowledge no more commits of the old primary.
			// A pause with a term that is not above theirs changes nothing.
			ch.learnTerm(ctx, g)
			ask = stmt.Statement{Kind: stmt.Pause, Term: max(ch.record.Term, ch.knownTerm+1)}
		}
		evidence, leads := ch.collectPositions(ctx, g, ask, former)
		ch.knownTerm = max(takeover.HighestTerm(ch.knownTerm, evidence.Candidates), leads.state.Term)
		candidates = len(evidence.Candidates)
		if ch.promoteBest(ctx, g, evidence) {
			if g.syncReplicas > 0 {
				c.resumeReplicas(ch.record, g.replicas)
			}
			return true
		}
		if leads.id != "" {
			lastFormer = leads.state.Received
			if !ch.record.Planned && takeover.MayWithdraw(ch.record, leads.state) {
				ch.withdraw(ctx, leads.id)
				return false
			}
		}
		if g.syncReplicas == 0 || !sleep(ctx, changePollInterval) {
			break
		}
	}
	c.Log.Warn("control: change of primary failed; no replica was promoted", "group", string(ch.old.Group), "candidates", candidates)
	return false
}

// learnTerm asks the endpoints of a group for their terms until one has answered, unless the
// record or an earlier answer tells the term of the former primary.
func (ch *primaryChange) learnTerm(ctx context.Context, g groupEndpoints) {
	if ch.record.PrimaryTerm > 0 || ch.knownTerm > 0 {
		return
	}
	asked := slices.Clone(g.replicas)
	if g.former.ID != "" {
		asked = append(asked, g.former)
	}
	reports := ch.ctl.askReplicas(ctx, asked, stmt.Statement{Kind: stmt.Status}, fleet.LogPosition{})
	defer reports.stop()
	for deadline := ch.ctl.Clock.Now() + otherReplicasWait; ch.knownTerm == 0 && ch.ctl.Clock.Now() < deadline && sleep(ctx, changePollInterval/4); {
		candidates, leads, _ := reports.candidates(ch.record, "")
		ch.knownTerm = max(takeover.HighestTerm(0, candidates), leads.state.Term)
	}
}

// promoteBest promotes the best candidate, or another one that is as good if the platform
// refuses it. It returns false if there is none, or none that is known to hold all acknowledged
// commits.
func (ch *primaryChange) promoteBest(ctx context.Context, g groupEndpoints, evidence takeover.Evidence) bool {
	c := ch.ctl
	for ch.claimValid(ctx) {
		c.refuseEvacuated(g, evidence.Candidates)
		best, ok := takeover.Choose(evidence.Candidates, evidence.SyncReplicas)
		if !ok {
			return false
		}
		chosen, ok := g.find(best.Endpoint)
		if !ok {
			c.Log.Warn("control: endpoint not promoted; it takes no part in the change", "group", string(ch.old.Group), "endpoint", string(best.Endpoint))
			return false
		}
		if !evidence.HoldsAcknowledged(best) {
			if ch.putOff {
				return false
			}
			ch.putOff = true
			c.Metrics.Count("promotions_put_off")
			c.Log.Warn("control: no log is known to hold all acknowledged commits; bring the endpoints that are missing back, or set sync_replicas to 0 to give up what they alone have",
				"group", string(ch.old.Group), "missing", evidence.Missing, "best", string(best.Endpoint), "position", uint64(best.Received.Position),
				"former", uint64(evidence.Former.Position), "acknowledged", uint64(evidence.Acknowledged.Position),
				"at_least", uint64(evidence.Least.Position), "replicas_known", evidence.Replicas != nil)
			return false
		}
		if ch.record.Confirming && !ch.beginPromotion(ctx) {
			return false
		}
		call, cancel := context.WithTimeout(ctx, min(promoteTimeout, ch.timeLeft()))
		err := c.Promoter.Promote(call, ch.old.Group, best.Endpoint, ch.record.Version, func() bool { return ch.timeLeft() > 0 && !c.isEvacuated(chosen) })
		cancel()
		c.Metrics.Count("promotions")
		c.Log.Info("control: promotion requested", "group", string(ch.old.Group), "endpoint", string(best.Endpoint),
			"fence", ch.record.Version, "received", uint64(best.Received.Position), "received_term", uint64(best.Received.Term),
			"former_had", uint64(evidence.Former.Position), "error", errorText(err))
		switch {
		case err == nil:
			// Before, it may be the only endpoint with all acknowledged commits that the platform
			// can promote: the call changes nothing for an endpoint that it takes for the primary.
			if chosen.ID != g.former.ID {
				ch.demoteFormer(g.former)
			}
			if term, ok := ch.awaitTakeover(ctx, chosen); ok {
				ch.record = takeover.Complete(ch.record, best.Endpoint, term, ch.unconfirmed)
				return true
			}
		case c.Promoter.IsRefusal(err):
			for i := range evidence.Candidates {
				if evidence.Candidates[i].Endpoint == best.Endpoint {
					evidence.Candidates[i].Refused = true
				}
			}
		}
		if !sleep(ctx, changePollInterval) {
			return false
		}
	}
	return false
}

// beginPromotion stores the record with which this instance may promote. It reports whether the
// store has it; see takeover.Promoting.
func (ch *primaryChange) beginPromotion(ctx context.Context) bool {
	c := ch.ctl
	l := takeover.Promoting(ch.record, c.era.Load(), max(ch.knownTerm, c.Pool.Term(ch.old.Group)))
	row, err := ch.encodeRow(l)
	if err != nil {
		c.Log.Warn("control: cannot encode the record of a promotion", "error", err.Error())
		return false
	}
	for ch.claimValid(ctx) {
		called := c.Clock.Now()
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		version, err := c.apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
		cancel()
		if errors.Is(err, kvstore.ErrNoAnswer) {
			if version = ch.awaitLateWrite(ctx, l); version > 0 {
				err = nil
			}
		}
		switch {
		case err == nil:
			l.Version = version
			ch.record, ch.calledAt = l, called
			return c.runInLoop(ctx, func() { c.adoptLeadership(l); c.publishView() }) == nil
		case !errors.Is(err, kvstore.ErrRefused):
			c.Log.Info("control: promotion not begun; the store has no record of it", "group", string(l.Group), "error", err.Error())
			return false
		}
		if !sleep(ctx, changePollInterval) {
			return false
		}
	}
	return false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// demoteFormer demotes the old primary if it can be reached. It does not wait for that.
func (ch *primaryChange) demoteFormer(former catalog.Endpoint) {
	if former.ID == "" {
		return
	}
	term := ch.record.Term // the record changes once the new primary has taken over
	ch.ctl.spawn(func() {
		s, err := ch.ctl.runEndpointCommand(former, stmt.Statement{Kind: stmt.Demote, Term: term})
		if err != nil {
			ch.ctl.Log.Info("control: old primary not demoted", "endpoint", string(former.ID), "error", err.Error())
			return
		}
		ch.ctl.Log.Info("control: old primary demoted", "endpoint", string(former.ID), "position", uint64(s.Received.Position))
	})
}

// formerPosition returns the log position of the old primary in a planned change, zero if it
// does not answer.
func (ch *primaryChange) formerPosition(ctx context.Context, former catalog.Endpoint) fleet.LogPosition {
	if former.ID == "" || !ch.record.Planned {
		return fleet.LogPosition{}
	}
	for deadline := ch.ctl.Clock.Now() + endpointCallTimeout; ch.ctl.Clock.Now() < deadline; {
		s, err := ch.ctl.runEndpointCommand(former, stmt.Statement{Kind: stmt.Status})
		if err == nil {
			return s.Received
		}
		if errors.Is(err, errEvacuated) || !sleep(ctx, changePollInterval) {
			break
		}
	}
	return fleet.LogPosition{}
}

// awaitTakeover waits until the promoted endpoint reports that it has taken over, and returns
// the term that it leads.
func (ch *primaryChange) awaitTakeover(ctx context.Context, e catalog.Endpoint) (fleet.Term, bool) {
	c := ch.ctl
	var w pool.RawConn
	defer func() {
		if w != nil {
			w.Close()
		}
	}()
	for ch.claimValid(ctx) {
		var err error
		if !c.mayCommand(e) {
			return 0, false
		}
		if w == nil {
			if w, _, err = c.Dialer.Open(e, c.internalAccount()); err != nil {
				w = nil
			}
		}
		if w != nil && c.mayCommand(e) {
			var answers []stmt.Answer
			var s stmt.EndpointState
			if answers, err = w.Do(time.Now().Add(endpointCallTimeout), nil, stmt.Statement{Kind: stmt.Status}); err == nil {
				s, _ = c.Schema.DecodeState(answers[0]) // a refusal leaves s empty, and the endpoint is asked again
			} else {
				w.Close()
				w = nil
			}
			if takeover.RoleOf(ch.record, e.ID, s) == takeover.Successor {
				c.Log.Info("control: new primary has taken over", "group", string(ch.old.Group), "endpoint", string(e.ID),
					"term", uint64(s.Term), "after_ms", (c.Clock.Now() - ch.startedAt).Milliseconds())
				return s.Term, true
			}
		}
		if !sleep(ctx, changePollInterval) {
			return 0, false
		}
	}
	return 0, false
}

// publishSettledRecord announces the new primary to the other instances and stores
// the settled record.
func (ch *primaryChange) publishSettledRecord(ctx context.Context) {
	c := ch.ctl
	if c.runInLoop(ctx, func() { c.adoptLeadership(ch.record); c.publishView() }) != nil {
		return
	}
	for _, p := range c.peerList(ctx, ch.record.Users) {
		c.spawn(func() {
			call, cancel := context.WithTimeout(ctx, confirmTimeout)
			defer cancel()
			if _, err := p.client.Confirm(call, &peerrpc.ConfirmRequest{Record: ch.record}); err != nil {
				c.Metrics.Count("exchange_failures")
			}
		})
	}
	row, err := ch.encodeRow(ch.record)
	if err != nil {
		c.Log.Warn("control: cannot encode the settled record of a primary", "error", err.Error())
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		version, err := c.apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
		cancel()
		if err == nil {
			c.Log.Info("control: change of primary complete", "group", string(ch.old.Group), "primary", string(ch.record.Primary),
				"version", version, "took_ms", (c.Clock.Now() - ch.startedAt).Milliseconds())
			return
		}
		if errors.Is(err, kvstore.ErrConflict) {
			// An earlier call whose response was lost has stored it, or another
			// instance has taken the change over.
			return
		}
		if !sleep(ctx, 5*changePollInterval) {
			return
		}
	}
}

// internalAccount returns the client account for this instance's own connections
// to endpoints, which accept only an account that exists.
func (c *Controller) internalAccount() fleet.AccountID {
	if v := c.View(); v.Catalog != nil {
		return v.Catalog.InternalAccount()
	}
	return ""
}

// runEndpointCommand runs one internal statement at an endpoint, on a connection
// of its own.
func (c *Controller) runEndpointCommand(e catalog.Endpoint, s stmt.Statement) (stmt.EndpointState, error) {
	if !c.mayCommand(e) {
		return stmt.EndpointState{}, errEvacuated
	}
	w, _, err := c.Dialer.Open(e, c.internalAccount())
	if err != nil {
		return stmt.EndpointState{}, err
	}
	defer w.Close()
	if !c.mayCommand(e) {
		return stmt.EndpointState{}, errEvacuated
	}
	answers, err := w.Do(time.Now().Add(endpointCallTimeout), nil, s)
	if err != nil {
		return stmt.EndpointState{}, err
	}
	return c.Schema.DecodeState(answers[0])
}
