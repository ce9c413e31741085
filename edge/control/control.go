// Package control keeps the control state of an instance: the configuration, the
// endpoints, the leadership records of the groups, the fleet's members and the
// lease that permits using primaries. A single goroutine owns this state and
// publishes immutable views for the data path.
package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/placement"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/core/topology"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/forward"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// Schema names the store's tables and decodes their rows.
type Schema struct {
	// FleetTable is the fleet's own table, with the leadership and member records.
	OperatorTable, EndpointTable, FleetTable string
	// ConfigKey is the key of the configuration in OperatorTable. EvacuationPrefix precedes
	// the name of a data centre in the keys of the rows there that request its evacuation.
	ConfigKey, EvacuationPrefix string
	DecodeCatalog               func([]byte) (*catalog.Catalog, error)
	DecodeEndpoint              func(kvstore.Row) (catalog.Endpoint, error)
	DecodeState                 func(stmt.Answer) (stmt.EndpointState, error)
}

// Promoter asks the platform to promote an endpoint.
type Promoter interface {
	// Promote calls the platform. mayCall is asked immediately before the call is sent.
	Promote(ctx context.Context, group fleet.GroupID, id fleet.EndpointID, fence uint64, mayCall func() bool) error
	// IsRefusal reports whether an error of Promote means that the endpoint
	// cannot be promoted.
	IsRefusal(err error) bool
}

// Config holds the dependencies of a Controller.
type Config struct {
	Self catalog.Member
	// Topology knows the regions; nil if there are none.
	Topology *topology.Topology
	// EvacuationTime is within what time a data centre must be evacuated, 0 if not stated.
	EvacuationTime time.Duration
	Clock          *clock.Clock
	Store          kvstore.Store
	Schema         Schema
	Promoter       Promoter
	Dialer         pool.Dialer
	Pool           *pool.Pool
	Limiter        *Limiter
	// ColdRate is the tolerated excess over the rate of cold endpoints.
	ColdRate catalog.Tolerance
	Log      *telemetry.Log
	Metrics  *telemetry.Metrics
}

// Controller holds the control state of one instance.
type Controller struct {
	Config
	// mailbox carries the functions that the control goroutine runs.
	mailbox chan func()
	view    atomic.Pointer[view.View]
	// storeRecovered is closed when a feed reaches the store again after a failure.
	storeRecovered atomic.Pointer[chan struct{}]
	heldFeeds      heldFeeds
	repoll         atomic.Pointer[repollScope]
	// keepersByGroup holds the keepers of each group; see forward.Directory.
	keepersByGroup atomic.Pointer[map[fleet.GroupID][]forward.Keeper]

	// era is the era of the copy of the fleet's table. eraBegan wakes register when
	// another one begins.
	era      atomic.Uint64
	eraBegan chan struct{}
	// eraRows are the rows that record the latest eras, as far as the table lacks them.
	eraRows atomic.Pointer[[]kvstore.Row]

	// ctx is cancelled when Run returns.
	ctx context.Context

	// Only the control goroutine may use the fields below.
	tables  map[string]*table
	catalog *catalog.Catalog
	// catalogAhead is set while the store has only an older configuration.
	catalogAhead bool
	// listedByGroup holds the same endpoints as listed.
	listedByGroup map[fleet.GroupID][]catalog.Endpoint
	// listed holds the endpoints in the platform's list; unlisted holds those that
	// have left it within unlistedRetention, with the time at which they left.
	// lastEntries holds the latest entry of each endpoint in either.
	listed      map[fleet.EndpointID]catalog.Endpoint
	unlisted    map[fleet.EndpointID]time.Duration
	lastEntries map[fleet.EndpointID]catalog.Endpoint
	// entries holds the latest entry of each endpoint that is listed or has left the list
	// within goneRetention.
	entries map[fleet.EndpointID]*endpointEntry
	// goneByGroup holds those of them that have left the list.
	goneByGroup map[fleet.GroupID][]catalog.Endpoint
	groups      map[fleet.GroupID]*group
	members     map[fleet.InstanceID]catalog.Member
	peers       map[fleet.InstanceID]*peer
	// memberRows caches the decoded member records by the key of their row.
	memberRows map[string]memberRow
	// eraSeenAt is when the latest era began for this process, 0 if the process started
	// in it, and provenSince the era of its first proof. retained holds the members that
	// were known then, for memberRetention.
	eraSeenAt   time.Duration
	provenSince uint64
	// provenHere is set once this process has known all that the store had at some time since its
	// start.
	provenHere bool
	retained   map[string]memberRow
	// order holds the members in the order of package relay.
	order    []relay.Member
	role     relay.Role
	presence *relay.Presence
	// absent holds the members that the root has not heard from.
	absent map[fleet.InstanceID]bool
	// absentSince holds when this instance learned that a member is absent.
	absentSince map[fleet.InstanceID]time.Duration
	absentHash  uint64
	// removingMembers is set while this instance removes records of members.
	removingMembers bool
	// contact is when this instance last had contact with the root, directly or
	// through others, if hasContact is set.
	contact    time.Duration
	hasContact bool
	// changed is closed when there is news for the instances that follow this one.
	changed chan struct{}
	lease   *lease.Lease
	// permissions holds what permits the use of each group's primary.
	permissions map[fleet.GroupID]lease.Permission
	// evacuations holds the requests to evacuate data centres.
	evacuations evacuations
	// keeperOrder caches the result of package placement for each group; nil if it has
	// to be computed again. assignment holds the first keepers of all groups, nil as well
	// if it has to be computed again. groupDataCentres holds the data centres in which an
	// endpoint of the group has been listed.
	keeperOrder      map[fleet.GroupID]*placement.Keepers
	assignment       *placement.Assignment
	groupDataCentres map[fleet.GroupID]map[fleet.DataCentre]bool
	homes            homesCheck
	// leaving is set once this instance shuts down; stopping is its copy for other
	// goroutines.
	leaving bool
	// deregistered is set once it has ceased to be a user of primaries for good.
	deregistered bool
	// cold limits the statements to cold endpoints.
	cold *coldLimiter
	// Until fallbackUntil this instance reads the store although it is no reader.
	fallbackUntil time.Duration
	// detour is the instance that last answered with a recent proof while those that this
	// one follows had none.
	detour   fleet.InstanceID
	stopping atomic.Bool
}

// group is the state of one group's primary.
type group struct {
	record    catalog.Leadership
	learnedAt time.Duration
	// rowVersion and rowOrder are the version and announcedVersion of the record in the
	// table, 0 if there is none.
	rowVersion, rowOrder uint64
	// earlierProof is the latest proof of this instance from the era of the record, if
	// the record is from an earlier era than the table; negative if there was none.
	earlierProof time.Duration
	// renewing is set while this instance writes the record again in a new era, and
	// nextRenewal is when it may try again. renewedAt is when it learned that somebody
	// has.
	renewing               bool
	nextRenewal, renewedAt time.Duration
	// changedVersion is the version of the newest record that changed more than the
	// users of the primary.
	changedVersion uint64
	// changedOrder is the order of that record.
	changedOrder uint64
	// confirmedVersion is the order of the newest record for which this instance
	// has stopped using earlier primaries.
	confirmedVersion uint64
	confirmWaiters   []chan *peerrpc.ConfirmResponse
	// changing is set while this instance carries out a change of primary.
	changing bool
	// changeStartedAt is when this instance last began a change. A change for an
	// unreachable primary begins by asking the other instances about it.
	changeStartedAt time.Duration
	// lastClaim identifies the last claim of this process, 0 if it has made none.
	lastClaim uint64
	// changeFailed is set once a change carried out here has ended by a panic, at changeFailedAt.
	changeFailed   bool
	changeFailedAt time.Duration
	// plannedChangeAt is when a planned change that was put off is considered again.
	plannedChangeAt time.Duration
	// confirmingSince is the catalog.Leadership.ConfirmingSince of the newest confirming
	// record, and confirmingAt is when this instance learned the first record with it.
	confirmingSince uint64
	confirmingAt    time.Duration
	// settledOrder is the order of the newest settled record, and ranBefore is set if this
	// process has acted on an earlier record, and this one was written since its start; see
	// takeover.AcknowledgedCommits.
	settledOrder uint64
	ranBefore    bool
	// correcting is set while this instance corrects the replicas that the record names, and
	// replicasCheckAt is when it may try again. unprovedSince is since when they need a proof, 0 if
	// they need none, and proofFailures counts the attempts since.
	correcting                     bool
	replicasCheckAt, unprovedSince time.Duration
	proofFailures                  int
	// joining is set while this instance registers as a user of the primary. nextJoin
	// is when it may try again, and joinRequestedAt when a statement last needed it.
	joining                   bool
	nextJoin, joinRequestedAt time.Duration
	// removing is set while this instance removes users that are gone, and lostSince is when
	// it first found some lost that are to be removed without a majority, 0 if there are none.
	removing  bool
	lostSince time.Duration
	// stableKeepers are the first present keepers of the group since keepersSince.
	stableKeepers []fleet.InstanceID
	keepersSince  time.Duration
	// primaryRegion is the region in which the primary was last known.
	primaryRegion fleet.Region
	// acknowledged are the instances that act on a record in which this one is a user of the
	// primary; see takeover.TakesEffectAt.
	acknowledged map[fleet.InstanceID]bool
	// removals counts the records in which this instance is no user. An acknowledgement that
	// was requested before such a record does not count after it.
	removals int
	// removedHere are the users that this instance last removed or tried to; returned holds
	// when one of them had registered again.
	removedHere []fleet.InstanceID
	returned    map[fleet.InstanceID]time.Duration
	// holderCheckedAt is when this instance last called the holder of a change.
	holderCheckedAt time.Duration
}

// peer is the state of another instance of the fleet.
type peer struct {
	catalog.Member
	client *peerrpc.Peer
	// down is set after a call to the instance has failed, until one succeeds. It is
	// probed at probeAt.
	// Since downSince it is down.
	down       bool
	downSince  time.Duration
	probeAt    time.Duration
	probePause time.Duration
	// Until staleUntil another instance is preferred, because this one had no recent
	// proof.
	staleUntil time.Duration
	// Until awayUntil the instance does not serve: it has said that it is leaving or
	// starting. After that the list of absent instances tells.
	awayUntil time.Duration
	// provenSince is the era in which the instance's process had its first proof, and
	// learnAt when it may be called back for what the store has lost.
	provenSince uint64
	learnAt     time.Duration
	// reported is the list of heard instances that this instance has told it last.
	reported []fleet.InstanceID
}

// unlistedRetention is how long an endpoint that has left the list is still used
// if it answers: entries that expire because of a store outage reappear within
// 2 s.
const unlistedRetention = takeover.MissingGrace

// New returns a Controller with no state; Run fills it.
func New(c Config) *Controller {
	ctl := &Controller{
		Config: c, mailbox: make(chan func(), 64), tables: map[string]*table{},
		listed: map[fleet.EndpointID]catalog.Endpoint{}, unlisted: map[fleet.EndpointID]time.Duration{},
		lastEntries: map[fleet.EndpointID]catalog.Endpoint{}, groups: map[fleet.GroupID]*group{},
		entries: map[fleet.EndpointID]*endpointEntry{}, goneByGroup: map[fleet.GroupID][]catalog.Endpoint{},
		members: map[fleet.InstanceID]catalog.Member{}, peers: map[fleet.InstanceID]*peer{}, lease: lease.New(),
		permissions: map[fleet.GroupID]lease.Permission{}, groupDataCentres: map[fleet.GroupID]map[fleet.DataCentre]bool{},
		memberRows: map[string]memberRow{}, presence: relay.NewPresence(), changed: make(chan struct{}),
		eraBegan: make(chan struct{}, 1), evacuations: newEvacuations(c.EvacuationTime),
	}
	ctl.eraRows.Store(&[]kvstore.Row{})
	for _, name := range []string{c.Schema.OperatorTable, c.Schema.EndpointTable, c.Schema.FleetTable} {
		ctl.tables[name] = &table{rows: map[string]kvstore.Row{}, deleted: map[string]kvstore.Row{}}
	}
	c.Limiter.onHomeDown = ctl.handleHomeDown
	ctl.cold = newColdLimiter(c.Clock, c.Metrics, c.ColdRate, c.Pool.ServeWaiters)
	c.Pool.SetStarts(ctl.cold)
	c.Pool.OnNoLease(ctl.requestJoin)
	ctl.view.Store(&view.View{})
	ctl.keepersByGroup.Store(&map[fleet.GroupID][]forward.Keeper{})
	recovered := make(chan struct{})
	ctl.storeRecovered.Store(&recovered)
	ctl.repoll.Store(newRepollScope())
	return ctl
}

// View returns the latest published view.
func (c *Controller) View() *view.View { return c.view.Load() }

// Ready reports whether sessions can be served.
func (c *Controller) Ready() bool { return c.View().Catalog != nil && len(c.View().Leaders) > 0 }

// runInLoop runs f in the control goroutine and waits for it.
func (c *Controller) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.mailbox <- func() { defer close(done); f() }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// evaluationInterval is how often each group's primary is checked for a reason to
// replace it.
const evaluationInterval = 50 * time.Millisecond

// Run starts the feeds and the calls to other instances, and runs the control
// goroutine until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	for _, f := range []feed{
		{table: c.Schema.FleetTable, wait: fleetTableWait, renewsLease: true},
		{table: c.Schema.OperatorTable, wait: otherTableWait},
		{table: c.Schema.EndpointTable, wait: otherTableWait},
	} {
		go c.followTable(ctx, f)
	}
	go c.register(ctx)
	go c.followPeers(ctx)
	go c.askOthers(ctx)
	go c.collectEvidence(ctx)
	t := time.NewTicker(evaluationInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.mailbox:
			c.guard(f)
		case <-t.C:
			c.guard(func() {
				now := c.Clock.Now()
				c.updateRole(now)
				c.probeDownPeers(ctx, now)
				c.reviewEvacuations(now)
				c.evaluatePrimaries(ctx)
				c.removeGoneMembers(ctx, now)
				c.heldFeeds.restartStale(now)
				c.dropRetainedMembers(now)
			})
		}
	}
}

// guard runs a function of the control goroutine. A panic, for example over a message
// that nobody has thought of, ends that function alone. It reports whether f has returned.
func (c *Controller) guard(f func()) (returned bool) {
	defer func() {
		if p := recover(); p != nil {
			c.Metrics.Count("panics")
			c.Log.Warn("control: panic; what was being handled is dropped", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

// spawn runs a function that works for one group in a goroutine of its own, as guard does: a
// fault there must not end an instance that serves other groups.
func (c *Controller) spawn(f func()) { go c.guard(f) }

const (
	leaderPrefix = "leader/"
	memberPrefix = "member/"
)

// groupState returns the state of a group and creates it if it is missing.
func (c *Controller) groupState(id fleet.GroupID) *group {
	g := c.groups[id]
	if g == nil {
		g = &group{record: catalog.Leadership{Group: id}, learnedAt: c.Clock.Now(), earlierProof: -1}
		c.groups[id] = g
	}
	return g
}

// plannedChangeGrace is how long open transactions may continue at a primary that
// is replaced by a planned change. takeover.EffectiveAt allows for it.
const plannedChangeGrace = takeover.TransactionGrace

// adoptLeadership installs a record if it is newer than the known one: the holder
// announces the end of a change before the store has it, and what was lost with the store
// is still known here. It reports whether it was.
func (c *Controller) adoptLeadership(l catalog.Leadership) bool {
	g := c.groupState(l.Group)
	old := g.record
	if l.Compare(old) <= 0 {
		return false
	}
	if same := old; l.Order() == old.Order() {
		if same.Version = l.Version; same.Equal(l) {
			g.record.Version = l.Version
			return false
		}
	}
	if !l.Settled || l.PrimaryTerm != old.PrimaryTerm || l.Primary != old.Primary && old.Version > 0 {
		g.changedVersion, g.changedOrder = l.Version, l.Order()
	}
	g.record, g.learnedAt = l, c.Clock.Now()
	g.noteReturned(g.learnedAt, old, l)
	if !l.MayUse(c.Self.ID) {
		g.acknowledged = nil
		g.removals++
	}
	if l.Settled {
		g.settledOrder, g.ranBefore = l.Order(), old.Version > 0 && c.provenHere
	}
	if l.Confirming && l.ConfirmingSince != g.confirmingSince {
		g.confirmingSince, g.confirmingAt = l.ConfirmingSince, g.learnedAt
	}
	c.forgetDroppedReplicas(old, l)
	if l.RenewedEra > old.RenewedEra {
		g.renewedAt = g.learnedAt
	}
	c.Log.Info("control: leadership record adopted", "group", string(l.Group), "version", l.Version, "era", l.Era, "revision", l.Revision,
		"term", uint64(l.Term),
		"primary", string(l.Primary), "former", string(l.Former), "settled", l.Settled, "confirming", l.Confirming, "holder", string(l.Holder))
	c.Metrics.Count("leader_records")
	c.signalChange()
	c.renewLease()
	if l.Settled && old.Primary == l.Primary && old.PrimaryTerm == l.PrimaryTerm {
		c.markConfirmed(g, l.Order())
		return true
	}
	wait := time.Duration(0)
	if l.Planned && !l.Settled {
		wait = plannedChangeGrace
	}
	// The data path must see the record before DrainPrimary ends what still runs.
	c.publishView()
	go func() {
		c.Pool.DrainPrimary(l, wait)
		if c.runInLoop(c.ctx, func() { c.markConfirmed(g, l.Order()) }) != nil {
			return // the controller has stopped
		}
	}()
	return true
}

// confirmation returns the answer to a Confirm call, given the order of the record that this
// instance acts on.
func (c *Controller) confirmation(g *group, order uint64) *peerrpc.ConfirmResponse {
	res := &peerrpc.ConfirmResponse{Version: order}
	if !g.record.Settled {
		known := &takeover.AcknowledgedCommits{Record: g.settledOrder, RanBefore: g.ranBefore}
		known.Position, known.Base = c.Pool.Acknowledged(g.record.Group)
		known.AtLeast = c.Pool.LeastAcknowledged(g.record.Group)
		res.Acknowledged = known
	}
	return res
}

// markConfirmed records that this instance no longer uses primaries from before
// the record of the given order, and answers the waiting Confirm calls.
func (c *Controller) markConfirmed(g *group, version uint64) {
	g.confirmedVersion = max(g.confirmedVersion, version)
	for _, w := range g.confirmWaiters {
		w <- c.confirmation(g, g.confirmedVersion)
	}
	g.confirmWaiters = nil
}

// leadership returns a group's record. If the store has none, no change has been
// made yet, and the primary is the only endpoint that reports itself as primary.
func (c *Controller) leadership(id fleet.GroupID) catalog.Leadership {
	if g := c.groups[id]; g != nil && g.record.Version > 0 {
		return g.record
	}
	l := catalog.Leadership{Group: id, Settled: true}
	for _, e := range c.listedByGroup[id] {
		if e.Primary {
			if l.Primary != "" {
				return catalog.Leadership{Group: id, Settled: true}
			}
			l.Primary = e.ID
		}
	}
	if l.Primary == "" {
		// Fall back to an entry that has just left the list.
		for eid := range c.unlisted {
			if e := c.lastEntries[eid]; e.Group == id && e.Primary {
				l.Primary = eid
			}
		}
	}
	return l
}

// facts returns what this process has read of the inputs of decisions about primaries.
func (c *Controller) facts() takeover.Facts {
	return takeover.Facts{Configuration: c.catalog, Records: c.tables[c.Schema.FleetTable].loaded,
		Endpoints: c.tables[c.Schema.EndpointTable].loaded, Evacuations: c.tables[c.Schema.OperatorTable].loaded}
}

// publishView publishes a view of the state, once all inputs of decisions about primaries are
// known. Until then this instance is not ready.
func (c *Controller) publishView() {
	if !c.facts().Known(takeover.Replacement) {
		return
	}
	v := &view.View{Catalog: c.catalog, Endpoints: map[fleet.GroupID][]catalog.Endpoint{},
		Leaders: map[fleet.GroupID]catalog.Leadership{}, Sharers: map[fleet.GroupID]int{},
		Evacuated: c.evacuations.tracker.Set()}
	for _, e := range c.listed {
		v.Endpoints[e.Group] = append(v.Endpoints[e.Group], e)
	}
	for id := range c.unlisted {
		if e := c.lastEntries[id]; !e.Leaving {
			v.Endpoints[e.Group] = append(v.Endpoints[e.Group], e)
		}
	}
	for _, es := range v.Endpoints {
		slices.SortFunc(es, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	for id := range c.catalog.Groups {
		v.Leaders[id] = c.leadership(id)
		v.Sharers[id] = c.groupKeepers(id).Count()
		if c.keepsOwn(id) {
			v.Sharers[id] = max(1, len(c.members))
		}
	}
	c.cold.setEndpoints(c.Clock.Now(), v)
	first := c.view.Load().Catalog == nil
	c.view.Store(v)
	c.Pool.SetView(v)
	c.checkHomes()
	c.publishPlacement()
	if first {
		c.repollNow() // the others may use this instance now
	}
}

// renewLease passes the permissions to use primaries on to the pool. An instance that is
// not registered as a user of a primary is not asked to confirm a change of it, so it gets
// none.
func (c *Controller) renewLease() {
	renewed := false
	for id, g := range c.groups {
		before := c.permissions[id]
		next := before.Next(c.Self.ID, g.record, g.changedOrder, c.leaseExpiry(g))
		if c.deregistered || !c.registered() {
			next = lease.Permission{}
		}
		if next != before {
			c.permissions[id] = next
			renewed = true
		}
	}
	if renewed {
		c.Pool.SetPermissions(maps.Clone(c.permissions))
	}
}

// removeUnlistedEndpoints drops endpoints that left the list unlistedRetention ago.
func (c *Controller) removeUnlistedEndpoints(now time.Duration) {
	evicted := false
	for id, at := range c.unlisted {
		if now >= at+unlistedRetention {
			delete(c.unlisted, id)
			delete(c.lastEntries, id)
			evicted = true
		}
	}
	if evicted {
		c.publishView()
	}
}

// evaluatePrimaries starts a change for each primary that has to be replaced.
func (c *Controller) evaluatePrimaries(ctx context.Context) {
	now := c.Clock.Now()
	c.removeUnlistedEndpoints(now)
	c.reviewEntries(now)
	c.assignHomes()
	facts := c.facts()
	if !facts.Known(takeover.Renewal) {
		return
	}
	c.publishPlacement()
	for id := range c.catalog.Groups {
		g := c.groupState(id)
		if g.changing {
			continue
		}
		if g.record.Version > 0 && g.record.Era < c.era.Load() {
			c.renewRecord(ctx, now, id, g)
			continue
		}
		if !facts.Known(takeover.Membership) {
			continue
		}
		c.joinUsers(ctx, now, id, g)
		c.acknowledgeUsers(ctx, now, id, g)
		c.removeGoneUsers(ctx, now, id, g)
		if !facts.Known(takeover.Replacement) {
			continue
		}
		c.correctReplicas(ctx, now, facts.Configuration.Groups[id], g)
		s, addr := c.takeoverObservation(id, now)
		if s.Rank == 0 {
			c.checkHolder(ctx, now, g)
		}
		cause := takeover.ReplacementCause(s)
		if s.Record.Settled && len(c.silentUsers(now, s.Record)) > 0 && (cause != takeover.Gone || g.removing && !s.Record.Unacknowledged) {
			// These users are removed first: a change would wait as long. A primary that has left
			// the list may have started again under another id.
			continue
		}
		if cause == takeover.None || c.leaving || !c.registered() || cause == takeover.Unreachable && now < g.changeStartedAt+reachRetryInterval {
			continue
		}
		if isPlanned(cause) && now < g.plannedChangeAt {
			continue
		}
		if cause == takeover.Unsettled && c.allEvacuated(id, s.Record.Former) {
			continue // a claim would only be a write to the store
		}
		g.changing, g.changeStartedAt = true, now
		old := c.leadership(id)
		go func() { c.endChange(id, c.guard(func() { c.replacePrimary(ctx, old, cause, addr) })) }()
	}
}

// reachRetryInterval is the pause before the other instances are asked again, after
// they did not confirm that a primary is unreachable.
const reachRetryInterval = 400 * time.Millisecond

// takeoverObservation returns the inputs for takeover.ReplacementCause and the
// address of the primary.
func (c *Controller) takeoverObservation(id fleet.GroupID, now time.Duration) (takeover.Observation, string) {
	record := c.leadership(id)
	e, listed := c.listed[record.Primary]
	s := takeover.Observation{
		Now: now, Record: record, RecordLearnedAt: c.groupState(id).learnedAt, Listed: listed, Leaving: e.Leaving,
		Rank: c.keeperRank(id),
	}
	g := c.groupState(id)
	stopped, failed := takeover.OwnChange(record, c.claimant(g))
	s.HolderStopped = stopped || c.hasLeft(record.Holder, record.Version)
	if s.Failed, s.FailedAt = g.changeFailed, g.changeFailedAt; failed {
		s.Failed, s.FailedAt = true, g.learnedAt
	}
	if !listed {
		s.MissingSince = c.groupState(id).learnedAt
		if at, ok := c.unlisted[record.Primary]; ok {
			s.MissingSince = at
		}
	}
	s.FailingSince, s.Failing = c.Pool.FailingSince(record.Primary)
	s.EvacuateFrom, s.Evacuated = c.evacuations.tracker.ChangeFrom(id)
	for _, other := range c.listedByGroup[id] {
		if !other.Leaving && other.ID != record.Primary && !c.evacuations.tracker.Set().Has(other.DataCentre) {
			s.Candidates++
		}
	}
	return s, c.lastEntries[record.Primary].Addr
}

// memberStates returns the known state of the members.
func (c *Controller) memberStates(now time.Duration) []ratelimit.Member {
	out := make([]ratelimit.Member, 0, len(c.peers)+1)
	out = append(out, ratelimit.Member{ID: c.Self.ID, Running: true, Reachable: true, Serving: !c.leaving})
	for _, p := range c.peers {
		out = append(out, ratelimit.Member{ID: p.ID, Running: !c.hasLeft(p.ID, 0) || !c.proofIsRecent(now), Serving: now >= p.awayUntil && !c.absent[p.ID],
			Reachable: !p.down && !c.absent[p.ID]})
	}
	slices.SortFunc(out, func(a, b ratelimit.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
