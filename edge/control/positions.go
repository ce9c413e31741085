package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
)

const (
	// otherReplicasWait bounds the wait for the remaining replicas to report their
	// positions once one has reported, and firstReplicaTimeout the wait for the
	// first one.
	otherReplicasWait   = 150 * time.Millisecond
	firstReplicaTimeout = 600 * time.Millisecond
	// catchUpTimeout bounds the wait, in a planned change, for a replica to receive
	// the whole log of the old primary, and each wait for the positions of synchronous
	// replicas.
	catchUpTimeout = 800 * time.Millisecond
	// plannedChangeRetry is the pause before a planned change that was put off is
	// considered again.
	plannedChangeRetry = 500 * time.Millisecond
)

// groupEndpoints are the endpoints of a group that take part in a change of its primary.
type groupEndpoints struct {
	former   catalog.Endpoint
	replicas []catalog.Endpoint
	// successorDue is set while the old primary has left as announced and the endpoint that
	// gets its log and its address is not listed yet.
	successorDue bool
	syncReplicas int
	// set names the endpoints that may hold acknowledged commits, nil if they are not known.
	set *catalog.ReplicaSet
}

// find returns an endpoint that takes part in a change.
func (g groupEndpoints) find(id fleet.EndpointID) (catalog.Endpoint, bool) {
	if id == g.former.ID {
		return g.former, true
	}
	i := slices.IndexFunc(g.replicas, func(e catalog.Endpoint) bool { return e.ID == id })
	if i < 0 {
		return catalog.Endpoint{}, false
	}
	return g.replicas[i], true
}

// groupEndpoints returns the endpoints of a group other than former. With synchronous replicas
// those that have left the list are among them, unless another one has their address and so
// their log: each may be the only one with the latest commits, and come back.
// For the same reason those in an evacuated data centre are among them then; they are asked
// while that is permitted, and never promoted. It returns false if an input is unknown.
func (c *Controller) groupEndpoints(record catalog.Leadership, former fleet.EndpointID) (groupEndpoints, bool) {
	id := record.Group
	group, known := c.facts().Group(id, takeover.Replacement)
	if !known {
		return groupEndpoints{}, false
	}
	g := groupEndpoints{former: c.lastEntries[former], syncReplicas: group.SyncReplicas, set: record.Replicas}
	for _, e := range c.listedByGroup[id] {
		if e.ID != former && (g.syncReplicas > 0 || !c.evacuations.tracker.Set().Has(e.DataCentre)) {
			g.replicas = append(g.replicas, e)
		}
	}
	if g.syncReplicas == 0 {
		return g, true
	}
	for _, e := range takeover.MissingReplicas(record, c.listedByGroup[id], c.remembered(record)) {
		if last, ok := c.lastEntries[e.ID]; ok {
			e = last
		} else if k := c.entries[e.ID]; k != nil {
			e = k.entry
		}
		switch {
		case e.ID != former:
			g.replicas = append(g.replicas, e)
		case g.former.ID == "":
			g.former, g.successorDue = e, e.Leaving
		default:
			g.successorDue = e.Leaving
		}
	}
	return g, true
}

// remembered returns the endpoints of a group that have left the list within goneRetention, as far
// as no record has named them; see takeover.PlanReplicas.
func (c *Controller) remembered(record catalog.Leadership) []catalog.Endpoint {
	return slices.DeleteFunc(slices.Clone(c.goneByGroup[record.Group]), func(e catalog.Endpoint) bool { return record.Replicas.Has(e.ID) })
}

// readyForPlannedChange reports whether a planned change of a group may begin; see
// takeover.ReadyForPlannedChange. Otherwise the change is put off.
func (c *Controller) readyForPlannedChange(ctx context.Context, old catalog.Leadership, cause takeover.Cause) bool {
	var g groupEndpoints
	known := false
	if c.runInLoop(ctx, func() { g, known = c.groupEndpoints(old, old.Primary) }) != nil || !known {
		return false
	}
	if g.syncReplicas == 0 {
		return true
	}
	primary, err := c.runEndpointCommand(g.former, stmt.Statement{Kind: stmt.Status})
	if err != nil {
		if _, failing := c.Pool.FailingSince(old.Primary); failing && !errors.Is(err, errEvacuated) || cause == takeover.Gone {
			return true // there is nothing to wait for
		}
		if errors.Is(err, errEvacuated) && c.provableOutside(g) {
			return true
		}
	} else {
		reports := c.askReplicas(ctx, g.replicas, stmt.Statement{Kind: stmt.Status}, primary.Received)
		defer reports.stop()
		for deadline := c.Clock.Now() + catchUpTimeout; c.Clock.Now() < deadline; {
			if replicas, _, _ := reports.candidates(old, old.Former); takeover.ReadyForPlannedChange(primary.Received, replicas) {
				return true
			}
			if !sleep(ctx, changePollInterval) {
				return false
			}
		}
	}
	c.Log.Info("control: planned change of primary put off; no replica that stays has the whole log", "group", string(old.Group),
		"primary", string(old.Primary), "position", uint64(primary.Received.Position), "error", errorText(err))
	if c.runInLoop(ctx, func() { c.groupState(old.Group).plannedChangeAt = c.Clock.Now() + plannedChangeRetry }) != nil {
		return false // the controller has stopped
	}
	return false
}

// collectPositions asks the replicas for their log positions. It waits until one replica that
// stays has the position of the former primary, if that is known, or, with synchronous replicas,
// until one is known to hold all acknowledged commits, and then up to otherReplicasWait for the
// rest.
//
// With synchronous replicas the former primary is asked as well. It is returned if it still
// leads its term, maybe under another id.
func (ch *primaryChange) collectPositions(ctx context.Context, g groupEndpoints, ask stmt.Statement, former fleet.LogPosition) (takeover.Evidence, formerPrimary) {
	c := ch.ctl
	reports := c.askReplicas(ctx, g.replicas, ask, former)
	if g.syncReplicas > 0 && g.former.ID != "" {
		defer c.askFormer(ctx, reports, g.former)()
	}
	defer reports.stop()
	start := c.Clock.Now()
	for {
		e := takeover.Evidence{SyncReplicas: g.syncReplicas, Replicas: g.set, Former: former, Acknowledged: ch.acknowledged, Least: ch.leastAcknowledged}
		var leads formerPrimary
		e.Candidates, leads, e.Missing = reports.candidates(ch.record, ch.old.Former)
		if leads.id != "" {
			e.Former = leads.state.Received
		}
		if g.successorDue {
			e.Missing += g.syncReplicas // it has all commits, so that any of them may be there alone
		}
		reached := slices.ContainsFunc(e.Candidates, func(k takeover.Candidate) bool {
			return !k.Leaving && !k.Refused && k.Received.Compare(former) >= 0
		})
		if g.syncReplicas > 0 && former == (fleet.LogPosition{}) {
			best, ok := takeover.Choose(e.Candidates, e.SyncReplicas)
			reached = ok && e.HoldsAcknowledged(best)
		}
		waited := c.Clock.Now() - start
		switch {
		case reached && (len(e.Candidates) == len(g.replicas) || waited >= otherReplicasWait),
			leads.id != "" && !ch.record.Planned && waited >= otherReplicasWait,
			len(e.Candidates) > 0 && waited >= catchUpTimeout-changePollInterval:
			return e, leads
		case len(e.Candidates) == 0 && waited >= firstReplicaTimeout:
			if g.syncReplicas > 0 {
				return e, leads
			}
			// No replica answers. Promoting any of them is better than none.
			for _, r := range g.replicas {
				if c.View().Evacuated.Has(r.DataCentre) {
					continue
				}
				e.Candidates = append(e.Candidates, takeover.Candidate{Endpoint: r.ID, Leaving: r.Leaving, HomeScore: c.homeScore(r), SameDataCentre: r.DataCentre == c.Self.DataCentre})
			}
			return e, leads
		}
		if !sleep(ctx, changePollInterval/2) {
			return takeover.Evidence{SyncReplicas: g.syncReplicas, Replicas: g.set}, formerPrimary{}
		}
	}
}

// formerPrimary is the state of the old primary, while it still leads its term.
type formerPrimary struct {
	id    fleet.EndpointID
	state stmt.EndpointState
}

// askFormer asks the old primary for its state, as one of the reports, until the returned
// function is called.
func (c *Controller) askFormer(ctx context.Context, r *replicaReports, e catalog.Endpoint) (stop func()) {
	former := c.askReplicas(ctx, []catalog.Endpoint{e}, stmt.Statement{Kind: stmt.Status}, fleet.LogPosition{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.former = former
	return former.stop
}

// replicaReports collects what replicas answer to a command.
type replicaReports struct {
	ctl  *Controller
	stop context.CancelFunc

	mu    sync.Mutex
	found []replicaReport
	// former is the report of the old primary, nil if it is not asked.
	former *replicaReports
}

type replicaReport struct {
	endpoint catalog.Endpoint
	answered bool
	state    stmt.EndpointState
}

// askReplicas sends a command to each replica until the replica has target, for catchUpTimeout
// or until stop is called.
func (c *Controller) askReplicas(ctx context.Context, replicas []catalog.Endpoint, ask stmt.Statement, target fleet.LogPosition) *replicaReports {
	query, cancel := context.WithTimeout(ctx, catchUpTimeout)
	r := &replicaReports{ctl: c, stop: cancel, found: make([]replicaReport, len(replicas))}
	for i, e := range replicas {
		r.found[i].endpoint = e
		c.spawn(func() {
			for query.Err() == nil {
				s, err := c.runEndpointCommand(e, ask)
				if err == nil {
					r.mu.Lock()
					r.found[i].answered, r.found[i].state = true, s
					r.mu.Unlock()
					if s.Received.Compare(target) >= 0 {
						return
					}
				}
				if !sleep(query, changePollInterval) {
					return
				}
			}
		})
	}
	return r
}

// candidates returns the replicas that have answered, the old primary of the change with the given
// record if it still leads, and how many replicas have not answered. suspect was the primary
// before the last one.
func (r *replicaReports) candidates(record catalog.Leadership, suspect fleet.EndpointID) (out []takeover.Candidate, leads formerPrimary, missing int) {
	r.mu.Lock()
	found := r.found
	for _, f := range found {
		if !f.answered {
			missing++
		}
	}
	if r.former != nil {
		r.former.mu.Lock()
		found = append(slices.Clone(found), r.former.found...)
		r.former.mu.Unlock()
	}
	defer r.mu.Unlock()
	for _, f := range found {
		role := takeover.RoleOf(record, f.endpoint.ID, f.state)
		switch {
		case !f.answered:
		case r.former != nil && role == takeover.FormerPrimary:
			if leads.id == "" || f.state.Term > leads.state.Term {
				leads = formerPrimary{f.endpoint.ID, f.state}
			}
		default:
			out = append(out, takeover.Candidate{Endpoint: f.endpoint.ID, Received: f.state.Received, Term: max(f.state.Term, f.state.Received.Term),
				TakenOver: role == takeover.Successor, Leaving: f.endpoint.Leaving,
				Refused:        r.ctl.View().Evacuated.Has(f.endpoint.DataCentre) || !takeover.MayPromote(record, f.endpoint.ID),
				Suspect:        f.state.Primary || f.endpoint.ID == suspect,
				HomeScore:      r.ctl.homeScore(f.endpoint),
				SameDataCentre: f.endpoint.DataCentre == r.ctl.Self.DataCentre})
		}
	}
	return out, leads, missing
}

// resumeReplicas lets the replicas that were paused for a change receive from the new primary,
// unless the next change has begun.
func (c *Controller) resumeReplicas(settled catalog.Leadership, replicas []catalog.Endpoint) {
	for _, e := range replicas {
		if e.ID == settled.Primary {
			continue
		}
		c.spawn(func() {
			for deadline := c.Clock.Now() + settleTimeout; c.Clock.Now() < deadline; {
				var current catalog.Leadership
				if c.runInLoop(c.ctx, func() { current = c.leadership(settled.Group) }) != nil ||
					current.Order() > settled.Order() && (!current.Settled || current.PrimaryTerm != settled.PrimaryTerm) {
					return
				}
				_, err := c.runEndpointCommand(e, stmt.Statement{Kind: stmt.Resume})
				if err == nil {
					return
				}
				if !sleep(c.ctx, 5*changePollInterval) {
					c.Log.Info("control: replica not resumed", "endpoint", string(e.ID), "error", err.Error())
					return
				}
			}
			c.Log.Info("control: replica not resumed; it does not answer", "endpoint", string(e.ID))
		})
	}
}
