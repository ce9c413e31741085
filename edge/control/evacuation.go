package control

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/evacuation"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// errEvacuated means that a command was not sent because the data centre of the endpoint is
// being evacuated.
var errEvacuated = errors.New("control: the data centre of the endpoint is being evacuated; nothing is sent there any more")

// evacuations is what the control goroutine knows of evacuations.
type evacuations struct {
	tracker *evacuation.Tracker
	// withoutEffect tells of each evacuated data centre that was checked whether no instance
	// or endpoint was known there.
	withoutEffect map[fleet.DataCentre]bool
	// evaluated is the view from which the groups were last judged.
	evaluated *view.View
	// stranded holds the groups that have no endpoint outside the evacuated data centres.
	stranded map[fleet.GroupID]bool
}

func newEvacuations(bound time.Duration) evacuations {
	return evacuations{tracker: evacuation.NewTracker(bound), withoutEffect: map[fleet.DataCentre]bool{}, stranded: map[fleet.GroupID]bool{}}
}

// isPlanned reports whether a change of primary for this cause waits for open transactions and
// for the log of the old primary.
func isPlanned(cause takeover.Cause) bool {
	return cause == takeover.Leaving || cause == takeover.Gone || cause == takeover.Evacuated
}

// updateEvacuations takes over the requests in the copy of the operator's table.
func (c *Controller) updateEvacuations(t *table) {
	if !t.loaded {
		return
	}
	var present []fleet.DataCentre
	for key, r := range t.rows {
		name, ok := strings.CutPrefix(key, c.Schema.EvacuationPrefix)
		if !ok || c.Schema.EvacuationPrefix == "" {
			continue
		}
		dc, err := evacuation.DataCentre(name)
		if err != nil {
			c.refuse(t, r, "control: invalid request for an evacuation ignored", "evacuation_rows_ignored", err)
			continue
		}
		present = append(present, dc)
	}
	slices.Sort(present)
	c.applyEvacuationChanges(c.evacuations.tracker.Observe(c.Clock.Now(), kvstore.Era(t.asOf), present))
}

// reviewEvacuations ends the requests that were lost with the store, and schedules the changes
// of primary.
func (c *Controller) reviewEvacuations(now time.Duration) {
	if changes := c.evacuations.tracker.Review(now); len(changes) > 0 {
		c.applyEvacuationChanges(changes)
		c.publishView()
	}
	c.scheduleEvacuations(now)
}

// applyEvacuationChanges reports the begin and the end of evacuations. The view has to be
// published after it.
func (c *Controller) applyEvacuationChanges(changes []evacuation.Change) {
	for _, ch := range changes {
		if ch.Begun {
			c.Metrics.Count("evacuations_begun")
			c.Log.Info("control: evacuation began", "data_centre", string(ch.DataCentre))
			continue
		}
		c.Metrics.Count("evacuations_ended")
		c.Log.Info("control: evacuation ended", "data_centre", string(ch.DataCentre), "after_ms", ch.Lasted.Milliseconds(),
			"lost_with_store", ch.Lost)
		delete(c.evacuations.withoutEffect, ch.DataCentre)
		c.resumeEvacuated(ch.DataCentre)
	}
	if len(changes) > 0 {
		c.Metrics.Gauge("evacuations", int64(len(c.evacuations.tracker.Set())))
	}
}

// resumeEvacuated lets the replicas of a data centre receive again that a change of primary
// paused before they could no longer be reached.
func (c *Controller) resumeEvacuated(dc fleet.DataCentre) {
	if c.catalog == nil {
		return
	}
	for id, group := range c.catalog.Groups {
		record := c.leadership(id)
		if group.SyncReplicas == 0 || !record.Settled || c.keeperRank(id) > 0 {
			continue
		}
		replicas := slices.DeleteFunc(slices.Clone(c.listedByGroup[id]), func(e catalog.Endpoint) bool { return e.DataCentre != dc })
		c.resumeReplicas(record, replicas)
	}
}

// scheduleEvacuations determines the groups whose primary has to leave an evacuated data
// centre, and those that are left without an endpoint.
func (c *Controller) scheduleEvacuations(now time.Duration) {
	v := c.view.Load()
	if v == c.evacuations.evaluated || v.Catalog == nil {
		return // nothing has changed
	}
	c.evacuations.evaluated = v
	set := v.Evacuated
	if len(set) == 0 && len(c.evacuations.stranded) == 0 {
		c.evacuations.tracker.Schedule(now, nil)
		return
	}
	var affected []fleet.GroupID
	for id := range v.Catalog.Groups {
		endpoints := v.Endpoints[id]
		o := set.Outlook(endpoints, v.Leaders[id].Primary)
		if o.PrimaryEvacuated && o.Candidates > 0 {
			affected = append(affected, id)
		}
		c.reportStranded(id, o.Stranded(endpoints))
	}
	c.evacuations.tracker.Schedule(now, affected)
	for dc := range set {
		c.reportEffect(dc)
	}
}

// reportStranded reports that a group has no endpoint outside the evacuated data centres, or
// has one again.
func (c *Controller) reportStranded(id fleet.GroupID, stranded bool) {
	if stranded == c.evacuations.stranded[id] {
		return
	}
	if stranded {
		c.evacuations.stranded[id] = true
		c.Log.Warn("control: group without an endpoint outside the evacuated data centres; its statements are refused", "group", string(id))
	} else {
		delete(c.evacuations.stranded, id)
		c.Log.Info("control: group has an endpoint outside the evacuated data centres again", "group", string(id))
	}
	c.Metrics.Gauge("groups_without_endpoint", int64(len(c.evacuations.stranded)))
}

// reportEffect reports once that a data centre is being evacuated in which no instance or
// endpoint is known. The request stays in force, since an endpoint may appear there.
func (c *Controller) reportEffect(dc fleet.DataCentre) {
	if _, reported := c.evacuations.withoutEffect[dc]; reported || !c.tables[c.Schema.EndpointTable].loaded || !c.tables[c.Schema.FleetTable].loaded {
		return
	}
	none := true
	for _, e := range c.lastEntries {
		none = none && e.DataCentre != dc
	}
	for _, m := range c.members {
		none = none && m.DataCentre != dc
	}
	c.evacuations.withoutEffect[dc] = none
	if none {
		c.Metrics.Count("evacuations_without_effect")
		c.Log.Warn("control: evacuation has no effect; no instance or endpoint is known in the data centre", "data_centre", string(dc))
	}
}

// allEvacuated reports whether evacuations leave no endpoint of a group that could replace
// former.
func (c *Controller) allEvacuated(id fleet.GroupID, former fleet.EndpointID) bool {
	set := c.evacuations.tracker.Set()
	g, known := c.groupEndpoints(c.leadership(id), former)
	return known && len(set) > 0 && !slices.ContainsFunc(g.replicas, func(e catalog.Endpoint) bool { return !set.Has(e.DataCentre) })
}

// mayCommand reports whether a command may be sent to an endpoint now.
func (c *Controller) mayCommand(e catalog.Endpoint) bool {
	return c.View().Evacuated.MaySendCommand(e.DataCentre, c.Clock.Now())
}

// provableOutside reports whether the endpoints outside the evacuated data centres can show
// without the others that their logs hold all acknowledged commits.
func (c *Controller) provableOutside(g groupEndpoints) bool {
	set := c.View().Evacuated
	inside := 0
	for _, e := range g.replicas {
		if set.Has(e.DataCentre) {
			inside++
		}
	}
	return takeover.ProvableWithout(inside, g.syncReplicas, g.set)
}

// knownAsEvacuated reports whether an endpoint is in a data centre that is being evacuated, also
// if it has left the list.
func (c *Controller) knownAsEvacuated(ctx context.Context, id fleet.EndpointID) bool {
	evacuated := false
	if c.runInLoop(ctx, func() {
		k := c.entries[id]
		evacuated = k != nil && c.evacuations.tracker.Set().Has(k.entry.DataCentre)
	}) != nil {
		return true // the caller has gone
	}
	return evacuated
}

// isEvacuated reports whether the data centre of an endpoint is being evacuated.
func (c *Controller) isEvacuated(e catalog.Endpoint) bool {
	return c.View().Evacuated.Has(e.DataCentre)
}

// refuseEvacuated marks the candidates that must not be promoted because their data centre is
// being evacuated.
func (c *Controller) refuseEvacuated(g groupEndpoints, candidates []takeover.Candidate) {
	for i := range candidates {
		if e, ok := g.find(candidates[i].Endpoint); ok && c.isEvacuated(e) {
			candidates[i].Refused = true
		}
	}
}
