// Package control keeps what an instance believes: the configuration, the
// endpoints, the records of primaries, the members and the permission to use
// primaries. One goroutine owns all of it and publishes views for traffic.
package control

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// Schema are the store's tables and how their rows are read.
type Schema struct {
	OperatorTable, EndpointTable, FleetTable string
	// ConfigKey is the operator's row with the configuration.
	ConfigKey      string
	DecodeCatalog  func([]byte) (*catalog.Catalog, error)
	DecodeEndpoint func(kvstore.Row) (catalog.Endpoint, error)
	DecodeState    func(stmt.Answer) (stmt.EndpointState, error)
}

// Promoter asks the platform to promote an endpoint.
type Promoter interface {
	Promote(ctx context.Context, group fleet.GroupID, id fleet.EndpointID, fence uint64) error
	// Refused reports whether an error of Promote means that the endpoint
	// cannot be promoted.
	Refused(err error) bool
}

// Config assembles a control.
type Config struct {
	Self     catalog.Member
	Clock    *clock.Clock
	Store    kvstore.Store
	Schema   Schema
	Promoter Promoter
	Dialer   pool.Dialer
	Pool     *pool.Pool
	Limiter  *Limiter
	Log      *telemetry.Log
	Metrics  *telemetry.Metrics
}

// Controller is the control state of one instance.
type Controller struct {
	Config
	mailbox chan func()
	view    atomic.Pointer[view.View]
	// regained is closed when a feed has regained the store.
	regained atomic.Pointer[chan struct{}]

	// ctx ends with Run.
	ctx context.Context

	// The rest belongs to the control goroutine.
	tables  map[string]*table
	catalog *catalog.Catalog
	// listed are the endpoints in the platform's list; kept are those that have
	// left it lately, with the time.
	listed  map[fleet.EndpointID]catalog.Endpoint
	kept    map[fleet.EndpointID]time.Duration
	last    map[fleet.EndpointID]catalog.Endpoint
	groups  map[fleet.GroupID]*group
	members map[fleet.InstanceID]catalog.Member
	peers   map[fleet.InstanceID]*peer
	lease   *lease.Lease
	expiry  time.Duration
	// leaving is set once this instance stops.
	leaving bool
}

// table is this instance's copy of a table.
type table struct {
	rows map[string]kvstore.Row
	asOf uint64
	// digest is of the keys and versions.
	digest uint64
	loaded bool
	// asked is when another instance was last asked for its copy; 0 once that
	// has come.
	asked time.Duration
}

// group is the state of one group's primary.
type group struct {
	record  catalog.Leadership
	changed time.Duration
	// announced says that the record was settled by its holder's word, ahead of
	// the table.
	announced bool
	// confirmed is the version of the newest record for which this instance has
	// stopped using earlier primaries.
	confirmed uint64
	waiting   []chan uint64
	// changing is set while this instance carries out a change.
	changing bool
	// asked is when the other instances were last asked about the primary.
	asked time.Duration
}

type peer struct {
	catalog.Member
	client     *peerrpc.Peer
	heard      time.Duration
	failures   int // in a row
	notRunning bool
	// serving is true until the instance says otherwise.
	serving bool
}

// keepUnlisted is how long an endpoint that left the list is still used while
// it answers: entries that lapsed with the store are back within 2 s.
const keepUnlisted = takeover.MissingGrace

// New returns a control that has learned nothing yet.
func New(c Config) *Controller {
	ctl := &Controller{
		Config: c, mailbox: make(chan func(), 64), tables: map[string]*table{},
		listed: map[fleet.EndpointID]catalog.Endpoint{}, kept: map[fleet.EndpointID]time.Duration{},
		last: map[fleet.EndpointID]catalog.Endpoint{}, groups: map[fleet.GroupID]*group{},
		members: map[fleet.InstanceID]catalog.Member{}, peers: map[fleet.InstanceID]*peer{}, lease: lease.New(),
	}
	for _, name := range []string{c.Schema.OperatorTable, c.Schema.EndpointTable, c.Schema.FleetTable} {
		ctl.tables[name] = &table{rows: map[string]kvstore.Row{}}
	}
	c.Limiter.lost = ctl.lostHome
	ctl.view.Store(&view.View{})
	regained := make(chan struct{})
	ctl.regained.Store(&regained)
	return ctl
}

// View returns the newest view.
func (c *Controller) View() *view.View { return c.view.Load() }

// Ready reports whether sessions can be served.
func (c *Controller) Ready() bool { return c.View().Catalog != nil && len(c.View().Leaders) > 0 }

// do runs f in the control goroutine and waits for it.
func (c *Controller) do(ctx context.Context, f func()) error {
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

// tick is how often the situation of each primary is judged.
const tick = 50 * time.Millisecond

// Run keeps the state up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	for _, f := range []feed{
		{table: c.Schema.FleetTable, wait: ownWait, proof: true},
		{table: c.Schema.OperatorTable, wait: tableWait},
		{table: c.Schema.EndpointTable, wait: tableWait},
	} {
		go c.follow(ctx, f)
	}
	go c.register(ctx)
	go c.exchangeLoop(ctx)
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.mailbox:
			f()
		case <-t.C:
			c.judge(ctx)
		}
	}
}

// replace installs a whole copy of a table.
func (c *Controller) replace(name string, all []kvstore.Row, asOf uint64) {
	t := c.tables[name]
	before := t.rows
	t.rows = make(map[string]kvstore.Row, len(all))
	for _, r := range all {
		t.rows[r.Key] = r
	}
	t.asOf, t.loaded = max(t.asOf, asOf), true
	if !maps.EqualFunc(before, t.rows, func(a, b kvstore.Row) bool { return a.Version == b.Version }) || name != c.Schema.FleetTable {
		c.learned(name)
	}
}

// apply installs changed rows.
func (c *Controller) apply(name string, changed []kvstore.Row, asOf uint64) {
	t := c.tables[name]
	t.asOf = max(t.asOf, asOf)
	fresh := false
	for _, r := range changed {
		if old, ok := t.rows[r.Key]; ok && old.Version > r.Version {
			continue
		}
		if r.Deleted {
			delete(t.rows, r.Key)
		} else {
			t.rows[r.Key] = r
		}
		fresh = true
	}
	if fresh {
		c.learned(name)
	}
}

// learned derives the state from a table whose rows have changed.
func (c *Controller) learned(name string) {
	t := c.tables[name]
	t.digest = digest(t.rows)
	switch name {
	case c.Schema.OperatorTable:
		c.learnCatalog(t)
	case c.Schema.EndpointTable:
		c.learnEndpoints(t)
	case c.Schema.FleetTable:
		c.learnOwn(t)
	}
	c.publish()
}

func (c *Controller) learnCatalog(t *table) {
	row, ok := t.rows[c.Schema.ConfigKey]
	if !ok {
		return
	}
	next, err := c.Schema.DecodeCatalog(row.Value)
	if err != nil {
		c.Log.Warn("control: configuration ignored", "error", err.Error())
		c.Metrics.Count("catalogs_rejected")
		return
	}
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return
	}
	c.catalog = next
	c.Limiter.SetAccounts(c.Clock.Now(), next.Accounts)
	c.place()
	c.Metrics.Gauge("catalog_version", int64(next.Version))
	c.Log.Info("control: configuration in force", "version", next.Version, "bytes", len(row.Value), "routes", len(next.Routes),
		"accounts", len(next.Accounts), "keys", len(next.Keys))
}

func (c *Controller) learnEndpoints(t *table) {
	now := c.Clock.Now()
	before := c.listed
	c.listed = make(map[fleet.EndpointID]catalog.Endpoint, len(t.rows))
	for _, r := range t.rows {
		e, err := c.Schema.DecodeEndpoint(r)
		if err != nil {
			c.Metrics.Count("endpoint_rows_ignored")
			c.Log.Warn("control: endpoint entry ignored", "error", err.Error())
			continue
		}
		c.listed[e.ID] = e
		c.last[e.ID] = e
		delete(c.kept, e.ID)
		if old, known := before[e.ID]; !known || old != e {
			c.Log.Info("control: endpoint listed", "endpoint", string(e.ID), "group", string(e.Group), "leaving", e.Leaving,
				"primary", e.Primary)
		}
	}
	for id, e := range before {
		if _, ok := c.listed[id]; !ok {
			c.Log.Info("control: endpoint no longer listed", "endpoint", string(id), "group", string(e.Group))
			c.kept[id] = now
		}
	}
}

const (
	leaderPrefix = "leader/"
	memberPrefix = "member/"
)

func (c *Controller) learnOwn(t *table) {
	c.members = map[fleet.InstanceID]catalog.Member{}
	for key, r := range t.rows {
		switch {
		case strings.HasPrefix(key, leaderPrefix):
			var l catalog.Leadership
			if err := json.Unmarshal(r.Value, &l); err != nil {
				c.Log.Warn("control: record of a primary ignored", "key", key, "error", err.Error())
				continue
			}
			l.Version = r.Version
			c.learnLeader(l)
		case strings.HasPrefix(key, memberPrefix):
			var m catalog.Member
			if err := json.Unmarshal(r.Value, &m); err != nil {
				c.Log.Warn("control: record of a member ignored", "key", key, "error", err.Error())
				continue
			}
			c.members[m.ID] = m
		}
	}
	for id, p := range c.peers {
		if m, ok := c.members[id]; !ok || m.Addr != p.Addr {
			p.client.Close()
			delete(c.peers, id)
		}
	}
	for id, m := range c.members {
		if _, ok := c.peers[id]; !ok && id != c.Self.ID {
			p := &peer{Member: m, client: peerrpc.NewPeer(m.Addr), serving: true}
			c.peers[id] = p
			// The accounts' homes are not known until the others answer.
			go c.callPeer(c.ctx, p, &peerrpc.UpdateRequest{From: c.Self.ID, Tables: c.tableStates(), Serving: c.serving()})
		}
	}
	c.place()
	c.renew()
}

// group returns the state of a group.
func (c *Controller) group(id fleet.GroupID) *group {
	g := c.groups[id]
	if g == nil {
		g = &group{record: catalog.Leadership{Group: id}, changed: c.Clock.Now()}
		c.groups[id] = g
	}
	return g
}

// planWait is how long open transactions may go on at a primary that is
// replaced as planned. takeover.Effective allows for it.
const planWait = takeover.TransactionGrace

// learnLeader adopts a record if it is newer than the one known. Of one version
// the settled form is newer: the holder announces the end of its change before
// the store has it.
func (c *Controller) learnLeader(l catalog.Leadership) {
	g := c.group(l.Group)
	old := g.record
	if l.Version < old.Version || l.Version == old.Version && (old.Settled || !l.Settled) {
		return
	}
	g.announced = l.Version == old.Version
	g.record, g.changed = l, c.Clock.Now()
	c.Log.Info("control: record of a primary", "group", string(l.Group), "version", l.Version, "term", uint64(l.Term),
		"primary", string(l.Primary), "former", string(l.Former), "settled", l.Settled, "holder", string(l.Holder))
	c.Metrics.Count("leader_records")
	if old.Primary == l.Primary && l.Settled {
		c.confirm(g, l.Version)
		return
	}
	wait := time.Duration(0)
	if l.Planned && !l.Settled {
		wait = planWait
	}
	// Traffic must see the record before what still runs is ended.
	c.publish()
	go func() {
		c.Pool.DrainPrimary(l.Group, wait, l.Version)
		if c.do(c.ctx, func() { c.confirm(g, l.Version) }) != nil {
			return // the instance has stopped
		}
	}()
}

// confirm records that earlier primaries than the record's are not used.
func (c *Controller) confirm(g *group, version uint64) {
	g.confirmed = max(g.confirmed, version)
	for _, w := range g.waiting {
		w <- g.confirmed
	}
	g.waiting = nil
}

// leader returns a group's record. Without one in the store, the primary is the
// endpoint that calls itself so, because no change has been made yet.
func (c *Controller) leader(id fleet.GroupID) catalog.Leadership {
	if g := c.groups[id]; g != nil && g.record.Version > 0 {
		return g.record
	}
	l := catalog.Leadership{Group: id, Settled: true}
	for _, e := range c.listed {
		if e.Group == id && e.Primary {
			if l.Primary != "" {
				return catalog.Leadership{Group: id, Settled: true}
			}
			l.Primary = e.ID
		}
	}
	if l.Primary == "" {
		// An entry that has just lapsed still names the primary.
		for eid := range c.kept {
			if e := c.last[eid]; e.Group == id && e.Primary {
				l.Primary = eid
			}
		}
	}
	return l
}

// publish makes a view of the state.
func (c *Controller) publish() {
	if c.catalog == nil || !c.tables[c.Schema.FleetTable].loaded || !c.tables[c.Schema.EndpointTable].loaded {
		return
	}
	v := &view.View{Catalog: c.catalog, Endpoints: map[fleet.GroupID][]catalog.Endpoint{},
		Leaders: map[fleet.GroupID]catalog.Leadership{}, MemberCount: max(1, len(c.members))}
	for _, e := range c.listed {
		v.Endpoints[e.Group] = append(v.Endpoints[e.Group], e)
	}
	for id := range c.kept {
		if e := c.last[id]; !e.Leaving {
			v.Endpoints[e.Group] = append(v.Endpoints[e.Group], e)
		}
	}
	for _, es := range v.Endpoints {
		slices.SortFunc(es, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	for id := range c.catalog.Groups {
		v.Leaders[id] = c.leader(id)
	}
	c.view.Store(v)
	c.Pool.SetView(v)
}

// memberIDs returns the members in a fixed order.
func (c *Controller) memberIDs() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(c.members))
}

// renew publishes until when primaries may be used. An instance that is not
// listed as a member is not asked for confirmations and gets no permission.
func (c *Controller) renew() {
	if _, ok := c.members[c.Self.ID]; !ok {
		return
	}
	at := c.lease.Expiry(c.Self.ID, c.memberIDs())
	if at > c.expiry {
		c.expiry = at
		c.Pool.SetLeaseExpiry(at)
	}
}

// forget drops endpoints that left the list long enough ago.
func (c *Controller) forget(now time.Duration) {
	gone := false
	for id, at := range c.kept {
		if now >= at+keepUnlisted {
			delete(c.kept, id)
			delete(c.last, id)
			gone = true
		}
	}
	if gone {
		c.publish()
	}
}

// judge looks for primaries that have to be replaced.
func (c *Controller) judge(ctx context.Context) {
	now := c.Clock.Now()
	c.forget(now)
	c.place()
	if c.catalog == nil || !c.tables[c.Schema.FleetTable].loaded {
		return
	}
	members := c.memberIDs()
	for id := range c.catalog.Groups {
		g := c.group(id)
		if g.changing {
			continue
		}
		s, addr := c.situation(id, now, members)
		cause := takeover.ReplacementCause(s)
		if cause == takeover.None || cause == takeover.Unreachable && now < g.asked+askAgain {
			continue
		}
		g.changing, g.asked = true, now
		go c.change(ctx, c.leader(id), cause, addr)
	}
}

// askAgain is the pause after the other instances did not agree that a primary
// is unreachable.
const askAgain = 400 * time.Millisecond

func (c *Controller) situation(id fleet.GroupID, now time.Duration, members []fleet.InstanceID) (takeover.Observation, string) {
	record := c.leader(id)
	e, listed := c.listed[record.Primary]
	s := takeover.Observation{
		Now: now, Record: record, RecordLearnedAt: c.group(id).changed, Listed: listed, Leaving: e.Leaving,
		Rank: slices.Index(fleet.Rank(string(id), members), c.Self.ID),
	}
	if p := c.peers[record.Holder]; record.Holder == c.Self.ID || p != nil && p.notRunning {
		s.HolderStopped = true
	}
	if !listed {
		s.MissingSince = c.group(id).changed
		if at, ok := c.kept[record.Primary]; ok {
			s.MissingSince = at
		}
	}
	s.FailingSince, s.Failing = c.Pool.FailingSince(record.Primary)
	for _, other := range c.listed {
		if other.Group == id && !other.Leaving && other.ID != record.Primary {
			s.Candidates++
		}
	}
	return s, c.last[record.Primary].Addr
}

// running returns what is known of the members. An answer shows for two periods
// that an instance is reached, unless two calls have failed since.
func (c *Controller) running(now time.Duration) []ratelimit.Member {
	out := []ratelimit.Member{{ID: c.Self.ID, Running: true, Reachable: true, Serving: !c.leaving}}
	for _, p := range c.peers {
		out = append(out, ratelimit.Member{ID: p.ID, Running: !p.notRunning, Serving: p.serving,
			Reachable: p.heard > 0 && now < p.heard+2*c.period()+exchangeTimeout, FirstCallPending: p.heard == 0 && p.failures == 0})
	}
	return out
}
