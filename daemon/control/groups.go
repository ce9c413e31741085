package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/failover"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/ctl"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// group is the state of one database group. It belongs to the control goroutine.
type group struct {
	id             fleet.GroupID
	core           *failover.Core
	endpoints      []failover.Endpoint
	endpointStates map[fleet.EndpointID]*endpointState
	ages           ageTracker
	// probing is set while a status request to the primary is outstanding.
	probing bool
	// lastObservation is the observation last sent to peers. It has not changed
	// since observationChangedAt.
	lastObservation      observation
	observationChangedAt time.Duration
	// published is the group's part of the published snapshot, or nil if it must
	// be rebuilt.
	published *snapshot.Group
}

// observation is what this instance reports to its peers about a group.
type observation struct {
	term      fleet.Term
	primary   fleet.EndpointID
	suspected bool
	maxFence  fleet.Term
}

// endpointState is the last known status of an endpoint. For statusAt and
// appliedAsOf see StatusAt and AppliedAsOf of snapshot.Endpoint.
type endpointState struct {
	status      fleet.EndpointStatus
	statusAt    time.Time
	appliedAsOf time.Time
}

func groupRow(id fleet.GroupID) string { return "group/" + string(id) }

// updateGroups applies the groups of the bundle in force. A group keeps its core
// while its endpoints stay the same. If they change it gets a new core, which
// learns the primary from the status of the endpoints.
func (c *Controller) updateGroups(now time.Duration) {
	for id := range c.groups {
		if c.parts.Groups[id] == nil {
			delete(c.groups, id)
		}
	}
	for id, vg := range c.parts.Groups {
		var eps []failover.Endpoint
		var leaving []fleet.EndpointID
		for _, e := range vg.Endpoints {
			eps = append(eps, failover.Endpoint{ID: e.ID, Addr: e.Addr})
			if e.Leaving {
				leaving = append(leaving, e.ID)
			}
		}
		g := c.groups[id]
		if g == nil || !slices.Equal(g.endpoints, eps) {
			g = &group{id: id, endpoints: eps, endpointStates: map[fleet.EndpointID]*endpointState{}, core: failover.New(failover.Config{
				Group: id, Self: c.cfg.Instance, RunID: c.cfg.RunID, Endpoints: eps, Seed: c.cfg.Seed, SuspectAfter: c.cfg.FixedPromotionTimeout,
			})}
			for _, e := range eps {
				g.endpointStates[e.ID] = &endpointState{}
			}
			c.groups[id] = g
		}
		g.published = nil
		c.stepGroup(now, g, failover.Members{Answering: c.memberCore.Answering(now), Listed: len(c.memberCore.ListedIDs())})
		c.stepGroup(now, g, failover.LeavingEndpoints{Endpoints: leaving})
	}
	c.cfg.Endpoints.Watch(c.parts.Groups)
}

func (c *Controller) tickGroups(now time.Duration) {
	for _, g := range c.groups {
		c.stepGroup(now, g, failover.Tick{})
	}
	if now >= c.nextProbe {
		c.nextProbe = now + probeInterval
		for _, g := range c.groups {
			c.probe(g)
		}
	}
}

func (c *Controller) updateGroupMembers(now time.Duration) {
	if len(c.groups) == 0 {
		return
	}
	m := failover.Members{Answering: c.memberCore.Answering(now), Listed: len(c.memberCore.ListedIDs())}
	for _, g := range c.groups {
		c.stepGroup(now, g, m)
	}
}

// HandleStatus processes a status that an endpoint pushed. It does not block: if
// the inbox is full the status is dropped, and the next heartbeat follows within
// 100 ms.
func (c *Controller) HandleStatus(s fleet.EndpointStatus) {
	c.postOrDrop(func(now time.Duration) { c.applyStatus(now, s) })
}

// HandleUnreachable processes the report that an endpoint refused a connection.
// It does not block: if the inbox is full the report is dropped, and the watch
// tries to connect again.
func (c *Controller) HandleUnreachable(e fleet.EndpointID) {
	c.postOrDrop(func(now time.Duration) {
		for _, g := range c.groups {
			if g.endpointStates[e] != nil {
				c.stepGroup(now, g, failover.Unreachable{Endpoint: e})
			}
		}
	})
}

// postOrDrop is post that drops f if the inbox is full.
func (c *Controller) postOrDrop(f func(now time.Duration)) {
	select {
	case c.inbox <- f:
	default:
		c.droppedStatuses.Add(1)
	}
}

func (c *Controller) applyStatus(now time.Duration, s fleet.EndpointStatus) {
	g := c.groups[s.Group]
	if g == nil || g.endpointStates[s.Endpoint] == nil {
		return
	}
	e := g.endpointStates[s.Endpoint]
	wall := time.Now()
	// A status that only makes ages younger waits for the next snapshot. A
	// snapshot with older ages is safe, because it can only make routing avoid a
	// replica. A changed status, and the first one after a silence, are published
	// at once.
	if !isOutdated(e.status, s) && e.status != s {
		e.status = s
		c.dirty = true
	}
	if wall.Sub(e.statusAt) > silenceThreshold {
		c.dirty = true
	}
	e.statusAt = wall
	if s.Joining {
		// The endpoint has lost its log, and with it everything it had applied.
		e.appliedAsOf = time.Time{}
	}
	g.published, c.agesChanged = nil, true
	c.stepGroup(now, g, failover.Status{Status: s})
}

// silenceThreshold is two and a half heartbeat intervals of an endpoint.
const silenceThreshold = 250 * time.Millisecond

// isOutdated reports whether s is older than the known status. Pushed statuses
// and responses to VH STATUS reach the control goroutine in any order. Within a
// term, positions decrease only when an endpoint has lost its log.
func isOutdated(known, s fleet.EndpointStatus) bool {
	switch {
	case s.Joining || known.Joining:
		return false
	case s.FenceTerm != known.FenceTerm:
		return s.FenceTerm < known.FenceTerm
	case s.Term != known.Term:
		return s.Term < known.Term
	}
	return s.Applied < known.Applied || s.Received < known.Received
}

// stepGroup applies an event to the failover core of a group and performs the
// resulting actions.
func (c *Controller) stepGroup(now time.Duration, g *group, e failover.Event) {
	before, beforeTerm := g.core.Primary()
	for _, a := range g.core.Step(now, e) {
		c.performGroupAction(now, g, a)
	}
	if p, t := g.core.Primary(); p != before || t != beforeTerm {
		g.published, c.dirty = nil, true
		c.cfg.Log.Info("primary changed", "group", g.id, "primary", p, "term", t)
		if p == "" {
			c.record(decision.Record{Kind: decision.Promotion, Rule: "primary-lost", Group: g.id, Endpoint: before,
				Outcome: fmt.Sprintf("no primary is known after term %d", beforeTerm)})
		}
	}
}

func (c *Controller) performGroupAction(now time.Duration, g *group, a failover.Action) {
	respond := func(e failover.Event) {
		c.post(func(now time.Duration) {
			if c.groups[g.id] == g {
				c.stepGroup(now, g, e)
			}
		})
	}
	switch a := a.(type) {
	case failover.ReadRow:
		c.startWorker(tableTimeout, func(ctx context.Context) { respond(c.readGroupRow(ctx, g.id, a.Attempt)) })
	case failover.Claim:
		c.startWorker(tableTimeout, func(ctx context.Context) { respond(c.putGroupRow(ctx, g.id, a.Attempt, a.Row, a.IfVersion)) })
	case failover.Publish:
		c.startWorker(tableTimeout, func(ctx context.Context) { respond(c.putGroupRow(ctx, g.id, a.Attempt, a.Row, a.IfVersion)) })
	case failover.Fence:
		c.runCommand(a.Endpoint, func(ctx context.Context, cmd ctl.Commands) {
			s, err := cmd.Fence(ctx, a.Term, a.Owner)
			respond(failover.FenceResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: commandResult(err), Status: s})
		})
	case failover.Promote:
		c.runCommand(a.Endpoint, func(ctx context.Context, cmd ctl.Commands) {
			s, err := cmd.Promote(ctx, a.Term, a.Owner)
			respond(failover.PromoteResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: commandResult(err), Status: s})
		})
	case failover.Follow:
		c.runCommand(a.Endpoint, func(ctx context.Context, cmd ctl.Commands) {
			s, err := cmd.Follow(ctx, a.Term, a.PrimaryAddr)
			respond(failover.FollowResponse{Endpoint: a.Endpoint, Result: commandResult(err), Status: s})
		})
	case failover.Confirm:
		c.runCommand(a.Endpoint, func(ctx context.Context, cmd ctl.Commands) {
			s, err := cmd.Confirm(ctx, a.Term)
			respond(failover.ConfirmResponse{Attempt: a.Attempt, Endpoint: a.Endpoint, Result: commandResult(err), Status: s})
		})
	case failover.NotifyPeers:
		c.notifyPeers()
	case failover.PullPeers:
		c.scheduleEarlyPull(now)
	case failover.RecordDecision:
		c.cfg.Log.Info(a.Outcome, "group", g.id, "endpoint", a.Endpoint, "term", a.Term)
		c.record(decision.Record{Kind: decision.Promotion, Rule: a.Rule, Group: g.id, Endpoint: a.Endpoint, Outcome: a.Outcome,
			Inputs: []decision.Input{{Name: "term", Value: fmt.Sprint(a.Term)}, {Name: "suspected", Value: fmt.Sprint(g.core.SuspectsPrimary())},
				{Name: "answering", Value: fmt.Sprint(c.memberCore.Answering(now))}, {Name: "store_answers", Value: fmt.Sprint(c.storeAvailable(now))}}})
	}
}

// runCommand runs f in a worker with the command client of an endpoint. It does
// nothing if the endpoint is not watched.
func (c *Controller) runCommand(id fleet.EndpointID, f func(ctx context.Context, cmd ctl.Commands)) {
	cmd := c.cfg.Endpoints.Commands(id)
	if cmd == nil {
		return
	}
	c.startWorker(commandTimeout, func(ctx context.Context) { f(ctx, cmd) })
}

// commandResult converts the error of a VH command to a failover.Result.
func commandResult(err error) failover.Result {
	switch {
	case err == nil:
		return failover.OK
	case outcome.IsKind(err, outcome.StaleTerm):
		return failover.Refused
	default:
		return failover.NoResponse
	}
}

func (c *Controller) readGroupRow(ctx context.Context, id fleet.GroupID, attempt uint64) failover.RowResponse {
	ans := failover.RowResponse{Attempt: attempt}
	row, err := c.cfg.Table.Get(ctx, groupRow(id))
	switch {
	case errors.Is(err, tablestore.ErrNotFound):
		ans.Result = failover.OK
	case err == nil && json.Unmarshal(row.Value, &ans.Row) == nil:
		ans.Result, ans.Version = failover.OK, row.Version
	}
	return ans
}

func (c *Controller) putGroupRow(ctx context.Context, id fleet.GroupID, attempt uint64, r failover.Row, ifVersion uint64) failover.RowResponse {
	ans := failover.RowResponse{Attempt: attempt, Row: r}
	value, err := json.Marshal(r)
	if err != nil {
		c.cfg.Log.Error("could not encode a group row", "error", err.Error())
		return ans
	}
	row, err := c.cfg.Table.Put(ctx, groupRow(id), ifVersion, value)
	switch {
	case err == nil:
		ans.Result, ans.Version = failover.OK, row.Version
	case errors.Is(err, tablestore.ErrConflict):
		ans.Result = failover.Refused
	}
	return ans
}

// ageTracker derives upper bounds on the staleness of replicas.
//
// A sample records the position that the primary of a term reported in response
// to a request, and when that request was sent. A replica is then asked for its
// status. If its response to a request sent no earlier than the sample's covers
// the position and shows the same fence term, the replica has applied everything
// that had been acknowledged when the sample's request was sent: primary and
// replica are two of three endpoints, so no other primary had a fence majority
// by then. Pushed statuses prove nothing, because they may have been delayed on
// the way.
type ageTracker struct{ samples []primarySample }

// primarySample is a position that the primary reported in response to a request
// sent at the time sent.
type primarySample struct {
	sent     time.Time
	term     fleet.Term
	position fleet.LogPosition
}

// maxSamples covers a lag of 10 s at one probe every 100 ms. A replica that lags
// further behind has no proved age.
const maxSamples = 100

func (a *ageTracker) addSample(s primarySample) {
	if len(a.samples) > 0 && a.samples[len(a.samples)-1].term != s.term {
		a.samples = a.samples[:0]
	}
	if len(a.samples) == maxSamples {
		a.samples = slices.Delete(a.samples, 0, 1)
	}
	a.samples = append(a.samples, s)
}

// appliedAsOf returns the time of the latest sample that the status s covers. The
// request for s was sent at the time sent.
func (a *ageTracker) appliedAsOf(s fleet.EndpointStatus, sent time.Time) (time.Time, bool) {
	for i := len(a.samples) - 1; i >= 0; i-- {
		p := a.samples[i]
		if p.term == s.FenceTerm && !sent.Before(p.sent) && s.HasApplied(p.position) && !s.Joining {
			return p.sent, true
		}
	}
	return time.Time{}, false
}

// probe requests the status of the primary and then that of the replicas.
func (c *Controller) probe(g *group) {
	primary, t := g.core.Primary()
	if primary == "" || g.probing {
		return
	}
	pc := c.cfg.Endpoints.Commands(primary)
	if pc == nil {
		return
	}
	var replicas []fleet.EndpointID
	for _, e := range g.endpoints {
		if e.ID != primary {
			replicas = append(replicas, e.ID)
		}
	}
	g.probing = true
	c.startWorker(commandTimeout, func(ctx context.Context) {
		defer c.post(func(time.Duration) { g.probing = false })
		sent := time.Now()
		s, err := pc.Status(ctx)
		if err != nil || s.Role != fleet.RolePrimary || s.Term != t || s.FenceTerm != t {
			return
		}
		c.post(func(now time.Duration) {
			g.ages.addSample(primarySample{sent: sent, term: s.Term, position: fleet.LogPosition{Term: s.LastLogTerm, Position: s.Received}})
			c.applyStatus(now, s)
		})
		for _, id := range replicas {
			c.runCommand(id, func(ctx context.Context, cmd ctl.Commands) {
				sentAt := time.Now()
				s, err := cmd.Status(ctx)
				if err != nil {
					return
				}
				c.post(func(now time.Duration) {
					if at, ok := g.ages.appliedAsOf(s, sentAt); ok && g.endpointStates[id] != nil && at.After(g.endpointStates[id].appliedAsOf) {
						// The first proof makes the replica eligible for reads, so
						// publish it at once.
						c.dirty = c.dirty || g.endpointStates[id].appliedAsOf.IsZero()
						g.endpointStates[id].appliedAsOf = at
					}
					c.applyStatus(now, s)
				})
			})
		}
	})
}
