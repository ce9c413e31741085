// Package pool maintains the connections to endpoints and hands them out to
// sessions. It chooses the endpoint of each statement by the estimates of
// package dispatch, queues statements while no endpoint has capacity, and
// detects endpoints that stop responding.
package pool

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/admitqueue"
	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/evacuation"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/staleread"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/topology"
	"github.com/vanillahinge/vanillahinge/core/warmup"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

const (
	// connectionOpenCost is the time for which opening a connection occupies a
	// slot of the endpoint, as stated by the platform. It is added to the expected
	// latency of an endpoint without an idle connection.
	connectionOpenCost = 12 * time.Millisecond
	// remotePenalty is added to the expected latency of endpoints in other data
	// centres of the region, since traffic between data centres is expensive. It is a
	// quarter of the usual service time. regions.go has that of other regions.
	remotePenalty = 5 * time.Millisecond
	// reservedConnections of an endpoint's connection limit stay free for
	// changes of primary.
	reservedConnections = 2
	// usableConnectionShare is the share of the remaining connections that all
	// instances together may hold.
	usableConnectionShare = 0.7
	// initialLocalDelay and initialRemoteDelay are the one-way delays assumed
	// within and between data centres of a region until measured.
	initialLocalDelay  = 100 * time.Microsecond
	initialRemoteDelay = 1400 * time.Microsecond
	// answerOverdueAfter is how long an endpoint may have answers outstanding
	// without sending any before its address is probed. A healthy endpoint with
	// several statements in flight is hardly ever silent for that long.
	answerOverdueAfter = 200 * time.Millisecond
	// monitorInterval is how often endpoints are checked for overdue answers.
	monitorInterval = 50 * time.Millisecond
	// unreachableRetryInterval is how often an unreachable endpoint is probed.
	unreachableRetryInterval = 250 * time.Millisecond
	// idleCheckAfter is the idle time after which a connection is checked for
	// having been closed by the endpoint.
	idleCheckAfter = 5 * time.Millisecond
	// unkeptIdleTime is the idle time after which a connection is closed whose endpoint
	// another instance keeps connections to.
	unkeptIdleTime = 500 * time.Millisecond
	// connectionLimitPause is how long no further connections are opened to an
	// endpoint that refused one because of its connection limit. Connections of
	// instances that lost power count towards the limit for up to 3 s.
	connectionLimitPause = 200 * time.Millisecond
	// primaryChangeTimeout is how long statements wait for a primary that is
	// being replaced or cannot be reached; after that they are refused at once.
	// It is longer than a change of primary takes while all instances respond.
	primaryChangeTimeout = 1600 * time.Millisecond
	// maxQueueShare is the share of a route's statement timeout for which a
	// statement may wait while its group has no primary. The rest leaves the
	// caller time to repeat it.
	maxQueueShare = 0.9
	// drainMargin is how long before the end of a leaving endpoint's time statements are
	// sent to it no more: it announced its end before that was known here, and a statement
	// takes some time to get there.
	drainMargin = time.Second
	// leaseWait bounds the wait for the lease on primaries, which is renewed
	// within a few calls after a machine resumes from suspension.
	leaseWait = 250 * time.Millisecond
)

// RawConn is an open connection to an endpoint, without the state of the pool.
type RawConn interface {
	// Do sends statements in one write and reads their answers. If it returns
	// an error, the statements may have run.
	Do(deadline time.Time, answers []stmt.Answer, ss ...stmt.Statement) ([]stmt.Answer, error)
	// Alive reports whether the endpoint has neither closed the idle connection
	// nor sent unexpected data.
	Alive() bool
	Close()
}

// Dialer opens connections. It returns the errors defined in package stmt.
type Dialer interface {
	Open(e catalog.Endpoint, account fleet.AccountID) (RawConn, stmt.Answer, error)
	// Probe reports whether the address accepts connections.
	Probe(addr string) error
}

// Conn is a pooled connection. It is used by one session at a time.
type Conn struct {
	RawConn
	// Settings holds the session settings in effect on the connection.
	Settings map[string]string
	// PreparedNames maps the text of each statement prepared on the connection
	// to its name there.
	PreparedNames map[string]string
	// Primary is true if the endpoint was the group's primary when the
	// connection was acquired.
	Primary bool

	endpoint *endpointState
	// catalogEntry is the endpoint's entry when the connection was acquired.
	catalogEntry catalog.Endpoint
	account      fleet.AccountID
	// recordVersion is the version of the group's leadership record when the
	// connection was acquired.
	recordVersion uint64
	lastUsed      time.Duration
	// primaryOnly is set while the connection is used for statements that no replica can
	// run. priority is that of its requests.
	primaryOnly bool
	priority    int
	// active is true while a statement is in flight, since startedAt. positionBefore is the
	// highest position that the group's primary had reported by then.
	active         bool
	startedAt      time.Duration
	positionBefore fleet.LogPosition
	// idleSince is when the last statement ended. ended is set if the transaction on the
	// connection was ended because its caller was idle; the connection is closed then.
	idleSince time.Duration
	ended     bool
	// startTaken is when the statement took its start at a cold endpoint, 0 if it needed
	// none. startMissing is set if the connection was reserved without the start that it
	// needs.
	startTaken   time.Duration
	startMissing bool
	// revoked is set when the primary was replaced.
	revoked atomic.Bool
	// evacuated is set when the connection was closed by an evacuation.
	evacuated atomic.Bool
}

// Endpoint returns the id of the endpoint that the connection leads to.
func (c *Conn) Endpoint() fleet.EndpointID { return c.catalogEntry.ID }

// endpointState is what the pool knows about one endpoint.
type endpointState struct {
	catalog.Endpoint
	load *dispatch.EndpointLoad
	// occupancy is that of all statements in flight, primaryDemand that of statements
	// that only the primary can run.
	occupancy     dispatch.Occupancy
	primaryDemand dispatch.PrimaryDemand
	lag           dispatch.ReplicaLag
	limit         int // maximum number of connections
	open          int // connections that are open or being opened
	// Until fullUntil, no more than openWhenFull connections are kept open,
	// since the endpoint has refused another one.
	fullUntil    time.Duration
	openWhenFull int
	idle         []*Conn
	inUse        map[*Conn]struct{}
	listed       bool // in the current view
	// leavingSince is when the endpoint was first known to be leaving, if it is.
	leavingSince time.Duration
	rtt          time.Duration
	lastProbe    time.Duration
	// probing is true while a probe of the address runs.
	probing     bool
	unreachable bool
	// failingSince is when attempts to reach the endpoint began to fail, or 0 if
	// the last one succeeded.
	failingSince time.Duration
	lastAnswer   time.Duration
	// lostAnswers counts consecutive lost answers, the first of them at
	// firstLost and the last at lastLost.
	lostAnswers         int
	firstLost, lastLost time.Duration
	warm                warmState
}

// maxOpen returns the number of connections that may be open now.
func (s *endpointState) maxOpen(now time.Duration) int {
	if now < s.fullUntil {
		return min(s.limit, s.openWhenFull)
	}
	return s.limit
}

// mayBeUsed reports whether statements may be sent to the endpoint, which may be used for
// drainTime after it has said that it is leaving.
func (s *endpointState) mayBeUsed(now, drainTime time.Duration) bool {
	return !s.Leaving || drainTime <= 0 || now < s.leavingSince+drainTime-drainMargin
}

func (s *endpointState) oneWayDelay() time.Duration { return s.rtt / 2 }

type group struct {
	waiting queuePolicy
	// positions holds the log positions reported by the primary.
	positions staleread.PositionHistory
	// acknowledged covers the commits that this instance has acknowledged to callers. base is a
	// position that the primary reported in its answer to a statement sent at baseFrom or
	// later, when the last settled record became known here; zero if there is none yet.
	acknowledged, base fleet.LogPosition
	baseFrom           time.Duration
	// leastAcknowledged is a position that no log with all of these commits ends before. It
	// counts for the primary that took over with settledTerm.
	leastAcknowledged fleet.LogPosition
	settledTerm       fleet.Term
	// changedAt is when the group's leadership record last changed, and
	// unsettledAt when it last changed from settled to unsettled.
	changedAt, unsettledAt time.Duration
	// listedAt is when an endpoint of the group was first listed, if listed is set.
	listed   bool
	listedAt time.Duration
}

// Request describes the connection that a statement needs.
type Request struct {
	Group   fleet.GroupID
	Account fleet.AccountID
	// Database names the route in metrics.
	Database string
	// StartedAt is when the statement arrived.
	StartedAt time.Duration
	// Primary requires the group's primary.
	Primary bool
	// Floor is the minimum log position that a replica must have applied.
	Floor fleet.LogPosition
	// Avoid is an endpoint that has just refused the statement or lost its
	// answer.
	Avoid fleet.EndpointID
	// Priority orders waiting statements; lower values go first.
	Priority int
	// LatestStart is the latest time at which the statement can start and still
	// complete within the route's latency objective, and ServeBy within its statement
	// limit.
	LatestStart, ServeBy time.Duration
	// Timeout is the route's statement timeout.
	Timeout time.Duration
	// Work estimates the service time of this kind of statement.
	Work *dispatch.ServiceTime
	// Cost is the service time of the whole transaction that the statement begins, or 0.
	Cost time.Duration
	// Homes restricts the regions of the endpoint.
	Homes topology.Homes
	// Settings are the session's settings. An idle connection with the same
	// settings is preferred.
	Settings map[string]string

	// heldBack is set if an endpoint was not chosen because of the rate of a cold endpoint.
	heldBack bool
	// explain is set for Explain: nothing is counted, requested or taken.
	explain bool
}

// Refusal is the error for a statement that got no connection. Nothing was sent.
type Refusal struct {
	Reason string
	Remedy string
	// Rule names the rule that refused, for metrics.
	Rule string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason + "; " + r.Remedy }

// Pool manages the endpoint connections of one instance.
type Pool struct {
	clock   *clock.Clock
	dialer  Dialer
	log     *telemetry.Log
	metrics *telemetry.Metrics
	local   fleet.DataCentre
	// topology knows the regions; nil if there are none.
	topology *topology.Topology
	// permissions holds what permits the use of each group's primary.
	permissions atomic.Pointer[map[fleet.GroupID]lease.Permission]
	// evacuations holds the data centres that are being evacuated.
	evacuations atomic.Pointer[evacuation.Set]
	// drainTime is how long a leaving endpoint may be used, 0 for no limit.
	drainTime time.Duration
	// overloadControl selects the policy of the queues.
	overloadControl bool
	// onNoLease is called when a statement needs a primary without a lease.
	onNoLease func(fleet.GroupID)
	// starts limits the statements at cold endpoints; nil if nothing does.
	starts Starts

	mu        sync.Mutex
	view      *view.View
	endpoints map[fleet.EndpointID]*endpointState
	groups    map[fleet.GroupID]*group
	inFlight  map[fleet.AccountID]int
	// kept holds the groups whose connections this instance keeps.
	kept map[fleet.GroupID]bool
}

// New returns a pool without endpoints.
func New(c *clock.Clock, d Dialer, l *telemetry.Log, m *telemetry.Metrics, local fleet.DataCentre) *Pool {
	return &Pool{clock: c, dialer: d, log: l, metrics: m, local: local, view: &view.View{},
		endpoints: map[fleet.EndpointID]*endpointState{}, groups: map[fleet.GroupID]*group{}, inFlight: map[fleet.AccountID]int{}}
}

// SetDrainTime sets how long an endpoint may be used after it has said that it is leaving.
// Call it before the pool is used.
func (p *Pool) SetDrainTime(d time.Duration) { p.drainTime = d }

// SetOverloadControl sets whether capacity is allocated by shares, with late starts, a
// reserve at the primary and the end of idle transactions (shareQueue). Call it before the
// pool is used.
func (p *Pool) SetOverloadControl(on bool) { p.overloadControl = on }

// newQueue returns the queue of a group.
func (p *Pool) newQueue(id fleet.GroupID) queuePolicy {
	if p.overloadControl {
		return &shareQueue{pool: p, group: id, waiting: admitqueue.New[*waiter]()}
	}
	return &strictQueue{pool: p, group: id}
}

// SetPermissions sets, by group, what permits the use of its primary.
func (p *Pool) SetPermissions(permissions map[fleet.GroupID]lease.Permission) {
	p.permissions.Store(&permissions)
	p.mu.Lock()
	p.serveWaiters()
	p.mu.Unlock()
}

// SetKept sets the groups whose connections this instance keeps. To the endpoints of the
// others it opens few and keeps none, since another instance needs them.
func (p *Pool) SetKept(kept map[fleet.GroupID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.Equal(kept, p.kept) {
		return
	}
	p.kept = kept
	for _, s := range p.endpoints {
		p.setLimits(s)
	}
}

// setLimits sets the limits of an endpoint under the present view.
func (p *Pool) setLimits(s *endpointState) {
	g, sharers := p.view.Catalog.Groups[s.Group], p.view.Sharers[s.Group]
	maxConnections := g.MaxConnections
	s.warm.rated, s.warm.coldTime = g.ColdRate > 0, g.WarmUp
	s.limit = connectionLimit(maxConnections, sharers)
	if !p.kept[s.Group] {
		s.limit = unkeptConnectionLimit(maxConnections)
	}
	s.load.SetMaxInFlight(min(s.limit, dispatch.MaxInFlight(s.Slots, sharers)))
}

// OnNoLease sets the function that is called, without blocking, when a statement needs
// the primary of a group for which there is no lease. Call it before the pool is used.
func (p *Pool) OnNoLease(f func(fleet.GroupID)) { p.onNoLease = f }

// LeaseValid reports whether the use of a group's primary is permitted now.
func (p *Pool) LeaseValid(id fleet.GroupID) bool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permitted(id, p.view.Leaders[id].Order(), now)
}

// permitted reports whether the use of the primary that the record of an order names is
// permitted at time now.
func (p *Pool) permitted(id fleet.GroupID, order uint64, now time.Duration) bool {
	permissions := p.permissions.Load()
	return permissions != nil && (*permissions)[id].Covers(order, now)
}

// MaySend reports whether a statement may be sent on a connection now. Call it
// immediately before each send.
func (p *Pool) MaySend(c *Conn) bool { return !p.Evacuated(c) && p.Permitted(c) }

// Permitted reports whether the endpoint of a connection that was acquired as that of the
// primary still is the primary, as far as this instance has permission to say so.
func (p *Pool) Permitted(c *Conn) bool {
	return !c.Primary || !c.revoked.Load() && p.permitted(c.catalogEntry.Group, c.recordVersion, p.clock.Now())
}

// Revoked reports whether DrainPrimary has ended the use of the connection
// because its primary was replaced.
func (c *Conn) Revoked() bool { return c.revoked.Load() }

func (p *Pool) group(id fleet.GroupID) *group {
	g := p.groups[id]
	if g == nil {
		g = &group{waiting: p.newQueue(id)}
		p.groups[id] = g
	}
	return g
}

// SetView replaces the view and updates endpoints and connection limits.
func (p *Pool) SetView(v *view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, now := range v.Leaders {
		before, g := p.view.Leaders[id], p.group(id)
		if before.Primary != now.Primary && before.Version > 0 {
			g.positions.Reset()
			if s := p.endpoints[now.Primary]; s != nil {
				p.beginRamp(s, warmup.Promoted, p.clock.Now())
			}
		}
		if now.Settled && now.Order() != before.Order() {
			g.base, g.baseFrom = fleet.LogPosition{}, p.clock.Now()
		}
		if now.Settled && now.PrimaryTerm != g.settledTerm {
			g.leastAcknowledged, g.settledTerm = fleet.LogPosition{}, now.PrimaryTerm
		}
		if !before.Equal(now) {
			g.changedAt = p.clock.Now()
			if before.Settled && !now.Settled {
				g.unsettledAt = g.changedAt
			}
		}
	}
	evacuatedBefore := p.view.Evacuated
	firstView := p.view.Catalog == nil
	p.view = v
	for _, s := range p.endpoints {
		s.listed = false
	}
	for _, es := range v.Endpoints {
		for _, e := range es {
			s := p.endpoints[e.ID]
			isNew := s == nil
			if isNew {
				s = &endpointState{load: dispatch.NewEndpointLoad(e.Slots, e.Slots), inUse: map[*Conn]struct{}{}, rtt: 2 * p.initialDelay(e.DataCentre)}
				p.endpoints[e.ID] = s
			}
			if e.Leaving && !s.Leaving {
				s.leavingSince = p.clock.Now()
				if firstView {
					s.leavingSince -= p.drainTime // since when is not known
				}
			}
			p.updateEntry(s, e, isNew, firstView, p.clock.Now())
			s.Endpoint, s.listed = e, true
			p.setLimits(s)
		}
	}
	for id, s := range p.endpoints {
		if !s.listed || s.Leaving && v.Leaders[s.Group].Primary != id {
			p.closeIdle(s)
		}
		if !s.listed && s.open == 0 {
			delete(p.endpoints, id)
		}
	}
	p.applyEvacuations(evacuatedBefore)
	p.serveWaiters()
}

// connectionLimit returns how many connections one instance may hold at an
// endpoint that accepts maxConnections. A part of them stays unused, since an
// endpoint keeps the connections of instances that lost power for up to 3 s and
// the restarted instances need some meanwhile.
func connectionLimit(maxConnections, instances int) int {
	return max(2, UsableConnections(maxConnections)/max(1, instances))
}

// unkeptConnectionLimit returns how many connections an instance may hold at an endpoint
// whose connections another one keeps: a quarter of those that the keeper leaves.
func unkeptConnectionLimit(maxConnections int) int {
	return max(2, (maxConnections-reservedConnections-UsableConnections(maxConnections))/4)
}

// UsableConnections returns how many connections all instances together keep at an
// endpoint that accepts maxConnections.
func UsableConnections(maxConnections int) int {
	return int(usableConnectionShare * float64(maxConnections-reservedConnections))
}

// closeUnkept closes the idle connections that another instance needs.
func (p *Pool) closeUnkept(s *endpointState, now time.Duration) {
	if p.kept[s.Group] {
		return
	}
	s.idle = slices.DeleteFunc(s.idle, func(c *Conn) bool {
		if now < c.lastUsed+unkeptIdleTime {
			return false
		}
		c.RawConn.Close()
		s.open--
		return true
	})
}

func (p *Pool) closeIdle(s *endpointState) {
	for _, c := range s.idle {
		c.RawConn.Close()
		s.open--
	}
	s.idle = nil
}

// isFormer reports whether a connection was acquired as that of a primary which a leadership
// record replaces. Connections that were acquired under a later record are not.
func (c *Conn) isFormer(l catalog.Leadership) bool {
	return c.Primary && (c.recordVersion < l.Order() || c.recordVersion == l.Order() && c.catalogEntry.ID != l.Primary)
}

// formerPrimaries returns the connections in use that a leadership record ends. The caller
// holds the lock.
func (p *Pool) formerPrimaries(l catalog.Leadership) []*Conn {
	var out []*Conn
	for _, s := range p.endpoints {
		if s.Group != l.Group {
			continue
		}
		for c := range s.inUse {
			if c.isFormer(l) && !c.revoked.Load() {
				out = append(out, c)
			}
		}
	}
	return out
}

// UsesFormerPrimary reports whether something can still be sent to a primary that a leadership
// record replaces. The view must contain the record.
func (p *Pool) UsesFormerPrimary(l catalog.Leadership) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.formerPrimaries(l)) > 0
}

// DrainPrimary ends the use of the primaries that a leadership record replaces. It waits up
// to wait for open transactions to end and then closes the remaining connections. The view
// must contain the record before the call. After DrainPrimary returns, nothing more can be
// sent to the old primaries.
func (p *Pool) DrainPrimary(l catalog.Leadership, wait time.Duration) {
	deadline := p.clock.Now() + wait
	for {
		p.mu.Lock()
		remaining := p.formerPrimaries(l)
		if len(remaining) == 0 || p.clock.Now() >= deadline {
			for _, c := range remaining {
				c.revoked.Store(true)
				if c.RawConn != nil {
					c.RawConn.Close()
				}
			}
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		time.Sleep(drainPollInterval)
	}
}

// drainPollInterval is how often DrainPrimary checks for open transactions. It
// adds to the duration of a planned change of primary.
const drainPollInterval = 10 * time.Millisecond

// usablePrimary returns the id of a group's primary and whether it may be used.
func (p *Pool) usablePrimary(id fleet.GroupID, now time.Duration) (fleet.EndpointID, bool) {
	primary, why := p.primaryUse(id, now)
	return primary, why == ""
}

// primaryUse returns the id of a group's primary and why it may not be used, "" if it may.
func (p *Pool) primaryUse(id fleet.GroupID, now time.Duration) (primary fleet.EndpointID, why string) {
	l, ok := p.view.Leaders[id]
	switch {
	case !ok || l.Primary == "":
		return l.Primary, "no_primary"
	case !l.Settled:
		return l.Primary, "change_of_primary"
	case !p.permitted(id, l.Order(), now):
		return l.Primary, "no_permission"
	}
	return l.Primary, ""
}

// chooseEndpoint returns the endpoint with the lowest expected latency for a
// request under the policy of its group, or nil if none has capacity. reachable is false if no endpoint can
// serve the request at all.
func (p *Pool) chooseEndpoint(policy queuePolicy, r *Request, now time.Duration) (best *endpointState, expected time.Duration, reachable bool) {
	primary, usable := p.usablePrimary(r.Group, now)
	var lowest time.Duration
	for _, e := range p.view.Endpoints[r.Group] {
		s := p.endpoints[e.ID]
		isPrimary := usable && e.ID == primary
		if p.exclusion(s, r, isPrimary, now) != eligible {
			continue
		}
		reachable = true
		if !isPrimary && !s.lag.MayHaveApplied(now, r.Floor) {
			continue
		}
		idle := p.hasIdle(s, r.Account)
		latency, reserved := policy.place(s, r, isPrimary, p.expectedLatency(s, r, idle, now), now)
		if lowest == 0 || latency < lowest {
			lowest = latency
		}
		if reserved || !p.hasRoom(s, r, now) || !idle && !s.mayOpen(now) {
			continue
		}
		if best == nil || latency < expected {
			best, expected = s, latency
		}
	}
	if best == nil {
		expected = max(lowest, r.Work.Estimate())
	}
	return best, expected, reachable
}

// expectedLatency returns the latency by which the endpoints that can serve a request are
// compared. idle is set if an idle connection of the request's account leads there.
func (p *Pool) expectedLatency(s *endpointState, r *Request, idle bool, now time.Duration) time.Duration {
	latency := s.load.ExpectedLatency(now, r.Work.Estimate(), s.oneWayDelay(), s.Slots)
	if !idle {
		latency += connectionOpenCost + 2*s.oneWayDelay()
	}
	latency += p.distancePenalty(s.DataCentre)
	if s.ID == r.Avoid {
		latency += r.Work.Estimate() * 4
	}
	return latency
}

// mayOpen reports whether a connection may be opened to the endpoint now, if need be in place
// of an idle one of another account.
func (s *endpointState) mayOpen(now time.Duration) bool {
	return s.open < s.maxOpen(now) || len(s.idle) > 0
}

// exclusion is why an endpoint cannot serve a request at all, as logs and metrics name it.
type exclusion string

const (
	eligible            exclusion = ""
	excludedUnknown     exclusion = "not_listed"
	excludedUnreachable exclusion = "unreachable"
	excludedReplica     exclusion = "not_primary"
	excludedLeaving     exclusion = "leaving"
	excludedHomes       exclusion = "outside_homes"
	excludedEvacuated   exclusion = "evacuated"
)

// exclusion returns why an endpoint cannot serve a request at time now, or eligible.
// isPrimary is set for the group's primary while its use is permitted.
func (p *Pool) exclusion(s *endpointState, r *Request, isPrimary bool, now time.Duration) exclusion {
	switch {
	case s == nil:
		return excludedUnknown
	case r.Homes.Restricted && !r.Homes.Allow(p.topology, s.DataCentre):
		return excludedHomes
	case len(p.view.Evacuated) > 0 && p.evacuated(s, isPrimary && r.Primary, now):
		return excludedEvacuated
	case s.unreachable:
		return excludedUnreachable
	case r.Primary && !isPrimary:
		return excludedReplica
	case !isPrimary && s.Leaving, !s.mayBeUsed(now, p.drainTime):
		return excludedLeaving
	}
	return eligible
}

func (p *Pool) hasIdle(s *endpointState, account fleet.AccountID) bool {
	for _, c := range s.idle {
		if c.account == account {
			return true
		}
	}
	return false
}

// reserve reserves a connection at s for a request: an idle one, or a new one
// that the caller has to open. If the connection limit is reached, an idle
// connection of another account is closed first.
func (p *Pool) reserve(s *endpointState, r *Request, now time.Duration) (c *Conn, open bool) {
	found := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		if s.idle[i].account != r.Account {
			continue
		}
		if found < 0 || sameSettings(s.idle[i].Settings, r.Settings) {
			found = i
		}
		if sameSettings(s.idle[i].Settings, r.Settings) {
			break
		}
	}
	if found >= 0 {
		c = s.idle[found]
		s.idle = slices.Delete(s.idle, found, found+1)
	} else {
		if s.open >= s.maxOpen(now) {
			s.idle[0].RawConn.Close()
			s.idle = slices.Delete(s.idle, 0, 1)
			s.open--
		}
		s.open++
		c, open = &Conn{endpoint: s, account: r.Account, Settings: map[string]string{}, PreparedNames: map[string]string{}}, true
	}
	primary, usable := p.usablePrimary(r.Group, now)
	c.Primary, c.recordVersion = usable && s.ID == primary, p.view.Leaders[r.Group].Order()
	c.revoked.Store(false)
	c.catalogEntry, c.primaryOnly, c.priority = s.Endpoint, r.Primary, r.Priority
	s.inUse[c] = struct{}{}
	c.startMissing = !p.takeStart(c, now) // chooseEndpoint found one, but the home may have changed
	p.markInFlight(c, now)
	return c, open
}

func sameSettings(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || w != v {
			return false
		}
	}
	return true
}

func (p *Pool) markInFlight(c *Conn, now time.Duration) {
	if !c.active {
		c.active, c.startedAt = true, now
		c.positionBefore = p.group(c.endpoint.Group).positions.Newest()
		c.endpoint.recordInFlight(c, now, 1)
		p.inFlight[c.account]++
	}
}

func (p *Pool) clearInFlight(c *Conn) {
	c.startTaken = 0
	if c.active {
		c.active, c.idleSince = false, p.clock.Now()
		c.endpoint.recordInFlight(c, c.idleSince, -1)
		if p.inFlight[c.account]--; p.inFlight[c.account] == 0 {
			delete(p.inFlight, c.account)
		}
	}
}

// finishAcquire opens a reserved connection that is new, and checks that one
// that was idle is still open.
func (p *Pool) finishAcquire(c *Conn, open bool, r Request) (*Conn, error) {
	if !open {
		if p.clock.Now() < c.lastUsed+idleCheckAfter || c.Alive() {
			if c.startMissing {
				return p.renewStart(c, r)
			}
			return c, nil
		}
		// The endpoint has closed the connection; nothing was sent.
		p.mu.Lock()
		c.endpoint.suspectRestart(p.clock.Now())
		p.mu.Unlock()
		p.Release(c, false)
		p.StartProbe(c.Endpoint())
		return nil, fmt.Errorf("%w: the endpoint closed an idle connection", stmt.ErrUnreachable)
	}
	start := p.clock.Now()
	raw, _, err := p.dialer.Open(c.catalogEntry, c.account)
	if err != nil {
		p.metrics.Count("connections_failed")
		p.recordOpenFailure(c, err)
		return nil, err
	}
	p.metrics.Count("connections_opened")
	p.metrics.Observe("connection_open_us", p.clock.Now()-start)
	p.mu.Lock()
	c.RawConn = raw
	p.opened(c.endpoint, p.clock.Now())
	p.reached(c.endpoint, p.clock.Now())
	revoked := c.revoked.Load()
	p.mu.Unlock()
	if revoked {
		p.Release(c, false)
		return nil, fmt.Errorf("%w: the primary was replaced", stmt.ErrUnreachable)
	}
	if p.Evacuated(c) {
		p.Release(c, false)
		return nil, errEvacuatedMeanwhile
	}
	return p.renewStart(c, r)
}

func (s *endpointState) recordAnswer(now time.Duration) {
	s.lastAnswer, s.failingSince, s.unreachable = now, 0, false
}

// recordOpenFailure releases the reservation of a connection that could not be
// opened and records the cause.
func (p *Pool) recordOpenFailure(c *Conn, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	s := c.endpoint
	p.clearInFlight(c)
	delete(s.inUse, c)
	s.open--
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		p.reached(s, now)
		if refused.Code == stmt.TooManyConnections {
			s.fullUntil, s.openWhenFull = now+connectionLimitPause, s.open
		} else {
			s.load.RecordRejection(now)
			p.rampFailure(s, now)
		}
	} else {
		s.suspectRestart(now)
		if s.failingSince == 0 {
			s.failingSince = now
		}
	}
	p.serveWaiters()
	p.mu.Unlock()
	p.log.Warn("pool: opening a connection failed", "endpoint", string(c.catalogEntry.ID), "addr", c.catalogEntry.Addr, "error", err.Error())
	if refused == nil {
		p.StartProbe(c.catalogEntry.ID)
	}
}

// BeginStatement records that a session starts another statement on a connection
// that it already holds. It returns false if the transaction on the connection was ended
// because its caller was idle: it is rolled back, and the connection must be released.
func (p *Pool) BeginStatement(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended {
		return false
	}
	p.markInFlight(c, p.clock.Now())
	return true
}

// EndStatement records the answer to a statement. work is nil if the duration of
// the statement says nothing about the load of the endpoint.
func (p *Pool) EndStatement(c *Conn, a stmt.Answer, work *dispatch.ServiceTime) {
	now := p.clock.Now()
	p.mu.Lock()
	s := c.endpoint
	took := now - c.startedAt
	p.answered(s, now)
	s.lostAnswers = 0
	slowdown := 0.0
	switch {
	case a.Code == stmt.Busy:
		s.load.RecordRejection(now)
	case a.Code == stmt.Failed:
		s.load.RecordFailure(now)
	case a.Code == stmt.OK && work != nil:
		slowdown = float64(took-2*s.oneWayDelay()) / float64(work.Estimate())
		s.load.RecordAnswer(now, took-2*s.oneWayDelay(), work.Estimate())
		work.Observe(took - 2*s.oneWayDelay())
	}
	p.rampAnswer(s, a.Code, slowdown, now)
	p.notePosition(s, a.Position, now)
	if !c.Primary {
		s.lag.RecordPosition(now, a.Position, a.Code == stmt.Lagging)
	} else if g := p.group(s.Group); !c.revoked.Load() {
		g.positions.Observe(c.startedAt, a.Position)
		if g.base == (fleet.LogPosition{}) && c.startedAt >= g.baseFrom {
			g.base = a.Position
		}
	}
	p.clearInFlight(c)
	p.serveWaiters()
	p.mu.Unlock()
}

// RecordLostAnswer records that the answer to a statement was lost.
func (p *Pool) RecordLostAnswer(c *Conn) {
	now := p.clock.Now()
	p.mu.Lock()
	s := c.endpoint
	s.load.RecordFailure(now)
	p.rampFailure(s, now)
	if s.lostAnswers == 0 {
		s.firstLost = now
	}
	s.lostAnswers++
	s.lastLost = now
	p.mu.Unlock()
}

// Release returns a connection to the pool. reuse says that another session may
// use it, which requires that it is outside a transaction and has no outstanding
// answers. Otherwise, or if its endpoint is no longer in use, it is closed.
func (p *Pool) Release(c *Conn, reuse bool) {
	p.mu.Lock()
	s := c.endpoint
	if c.ended {
		p.mu.Unlock()
		return
	}
	p.clearInFlight(c)
	delete(s.inUse, c)
	if reuse && !c.revoked.Load() && !c.evacuated.Load() && s.listed && !s.unreachable && !(s.Leaving && !c.Primary) && p.keepsIdle(s, p.clock.Now()) {
		c.lastUsed = p.clock.Now()
		s.idle = append(s.idle, c)
	} else {
		s.open--
		if c.RawConn != nil {
			c.RawConn.Close()
		}
	}
	if !s.listed && s.open == 0 && p.endpoints[s.ID] == s {
		delete(p.endpoints, s.ID)
	}
	p.serveWaiters()
	p.mu.Unlock()
}

// RequiredPosition returns the log position that a replica must have applied for
// a read that accepts data of the given age; see staleread.PositionHistory.
func (p *Pool) RequiredPosition(id fleet.GroupID, age time.Duration) (fleet.LogPosition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(id).positions.RequiredPosition(p.clock.Now(), age)
}

// RecordCommit records that a commit at the primary is about to be acknowledged to a caller.
// Call it before the check whether the connection is still permitted.
func (p *Pool) RecordCommit(c *Conn, at fleet.LogPosition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(c.catalogEntry.Group)
	g.acknowledged = g.acknowledged.Max(at)
	// A commit gets the next number, so one above all that was reported before it was sent.
	if before := c.positionBefore; before.Term == at.Term && before.Position < at.Position {
		before.Position++
		g.leastAcknowledged = g.leastAcknowledged.Max(before)
	}
}

// LeastAcknowledged returns a position that no log with all commits which this instance has
// acknowledged to callers ends before, zero if none is known.
func (p *Pool) LeastAcknowledged(id fleet.GroupID) fleet.LogPosition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(id).leastAcknowledged
}

// Acknowledged returns a position that covers every commit which this instance has acknowledged
// to callers. hasBase is set if it also covers what any process had acknowledged when the last
// settled record became known here.
func (p *Pool) Acknowledged(id fleet.GroupID) (at fleet.LogPosition, hasBase bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(id)
	return g.acknowledged.Max(g.base), g.base != (fleet.LogPosition{})
}

// Term returns the newest term that the group's primary has reported.
func (p *Pool) Term(id fleet.GroupID) fleet.Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(id).positions.Term()
}
