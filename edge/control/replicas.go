package control

import (
	"context"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
)

const (
	// minReplicaPause and maxReplicaPause bound the pauses between attempts to correct the replicas
	// that a record names. They double while a proof fails.
	minReplicaPause = time.Second
	maxReplicaPause = 8 * time.Second
)

// nameFirstReplicas names the replicas of a group in its first record.
func (c *Controller) nameFirstReplicas(l *catalog.Leadership, old catalog.Leadership) {
	group, known := c.facts().Group(old.Group, takeover.Replacement)
	if known && old.Version == 0 {
		l.Replicas, _ = takeover.PlanReplicas(old, group.SyncReplicas, c.listedByGroup[old.Group], c.remembered(old))
	}
}

// forgetDroppedReplicas forgets the endpoints that a record names no more: they are known to hold
// nothing that the others lack.
func (c *Controller) forgetDroppedReplicas(old, l catalog.Leadership) {
	if old.Replicas == nil || l.Replicas == nil {
		return
	}
	for _, m := range old.Replicas.Members {
		if k := c.entries[m.ID]; k != nil && k.gone && !l.Replicas.Has(m.ID) {
			delete(c.entries, m.ID)
		}
	}
}

// correctReplicas corrects the replicas that the record of a group names, as its first present
// keeper; see takeover.PlanReplicas. A member that has left the list is dropped after
// takeover.MissingGrace at the earliest.
func (c *Controller) correctReplicas(ctx context.Context, now time.Duration, group catalog.Group, g *group) {
	record := g.record
	if group.SyncReplicas == 0 && record.Replicas == nil {
		return
	}
	if !record.Settled || record.Version == 0 || g.correcting || g.joining || g.removing || c.leaving || !c.registered() || c.keeperRank(group.ID) > 0 {
		return
	}
	next, step := takeover.PlanReplicas(record, group.SyncReplicas, c.listedByGroup[group.ID], c.remembered(record))
	switch {
	case step != takeover.ProveReplicas:
		g.unprovedSince, g.proofFailures = 0, 0
	case g.unprovedSince == 0:
		g.unprovedSince = now
	}
	wait := takeover.MissingGrace
	if record.Replicas == nil {
		wait = 0
	}
	if step == takeover.KeepReplicas || now < g.replicasCheckAt || step == takeover.ProveReplicas && now < g.unprovedSince+wait {
		return
	}
	primary := c.listed[record.Primary]
	dropped := takeover.MissingReplicas(record, c.listedByGroup[group.ID], c.remembered(record))
	g.correcting = true
	failedPause := min(minReplicaPause<<min(g.proofFailures, 8), maxReplicaPause)
	go func() {
		pause := failedPause // also after a panic
		c.guard(func() {
			if step == takeover.ProveReplicas && !c.proveReplicas(ctx, record, next, primary, dropped) {
				return
			}
			l := record
			l.Replicas, pause = next, maxJoinPause
			if c.storeRecord(ctx, &l) {
				c.Log.Info("control: replicas of a group named", "group", string(l.Group), "replicas", memberIDs(next))
			}
		})
		if c.runInLoop(ctx, func() {
			g.correcting, g.replicasCheckAt = false, c.Clock.Now()+pause
			if step == takeover.ProveReplicas {
				g.proofFailures++
			}
		}) != nil {
			return // the controller has stopped
		}
	}()
}

func memberIDs(s *catalog.ReplicaSet) []string {
	var out []string
	if s != nil {
		for _, m := range s.Members {
			out = append(out, string(m.ID))
		}
	}
	return out
}

// proveReplicas asks the primary and the replicas for their logs until they prove a set, for
// catchUpTimeout. dropped are asked as well.
func (c *Controller) proveReplicas(ctx context.Context, record catalog.Leadership, next *catalog.ReplicaSet, primary catalog.Endpoint, dropped []catalog.Endpoint) bool {
	if primary.ID == "" || slices.ContainsFunc(dropped, func(e catalog.Endpoint) bool { return !c.mayCommand(e) }) {
		return false // one that can't be asked may run
	}
	state, err := c.runEndpointCommand(primary, stmt.Statement{Kind: stmt.Status})
	if err != nil {
		c.Log.Info("control: replicas of a group not proved; the primary does not answer", "group", string(record.Group), "error", err.Error())
		return false
	}
	asked := slices.Clone(dropped)
	if c.runInLoop(ctx, func() {
		for _, e := range c.listedByGroup[record.Group] {
			if e.ID != record.Primary {
				asked = append(asked, e)
			}
		}
	}) != nil {
		return false
	}
	r := c.askReplicas(ctx, asked, stmt.Statement{Kind: stmt.Status}, state.Received)
	defer r.stop()
	for deadline := c.Clock.Now() + catchUpTimeout; c.Clock.Now() < deadline; {
		if !sleep(ctx, changePollInterval) {
			return false
		}
		// One that is dropped has had otherReplicasWait to answer.
		if reports := r.received(); c.Clock.Now() >= deadline-catchUpTimeout+otherReplicasWait && takeover.ProvesReplicas(record, next, state, reports) {
			return true
		}
	}
	c.Log.Info("control: replicas of a group not proved", "group", string(record.Group), "copies", next.Copies, "position", uint64(state.Received.Position))
	return false
}

// received returns the positions of the endpoints that have answered.
func (r *replicaReports) received() []takeover.ReplicaReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []takeover.ReplicaReport
	for _, f := range r.found {
		if f.answered {
			out = append(out, takeover.ReplicaReport{Endpoint: f.endpoint.ID, Received: f.state.Received})
		}
	}
	return out
}
