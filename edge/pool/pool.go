// Package pool keeps the connections to endpoints and hands them to sessions.
// It places each statement by package placing, queues what finds no room, and
// notices endpoints that stop answering.
package pool

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/staleread"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

const (
	// connectionOpenCost is what opening a connection takes of an endpoint's slot, which
	// placing weighs against a longer queue elsewhere (platform's figure).
	connectionOpenCost = 12 * time.Millisecond
	// remotePenalty is the time that a statement may wait longer in this data centre
	// rather than cross to another, whose bytes are dear: a quarter of the usual
	// work.
	remotePenalty = 5 * time.Millisecond
	// reservedConnections of an endpoint's ceiling stay free for changes of
	// primary.
	reservedConnections = 2
	// usableConnectionShare is the part of the rest that instances hold together.
	usableConnectionShare = 0.7
	// initialLocalDelay and farDistance are one-way delays assumed until measured.
	initialLocalDelay  = 100 * time.Microsecond
	initialRemoteDelay = 1400 * time.Microsecond
	// responseOverdueAfter is how long an endpoint may owe answers, and give none, before
	// its address is tried: with several statements in flight hardly any calm
	// endpoint is silent for so long.
	responseOverdueAfter = 200 * time.Millisecond
	// monitorInterval is how often endpoints are checked for owed answers.
	monitorInterval = 50 * time.Millisecond
	// unreachableRetryInterval is how often the address of an unreachable endpoint is tried.
	unreachableRetryInterval = 250 * time.Millisecond
	// idleCheckAfter is the idle time after which a connection is checked for an end
	// that arrived meanwhile.
	idleCheckAfter = 5 * time.Millisecond
	// connectionLimitPause is how long an endpoint that refused a connection for its ceiling
	// is not asked for more; connections of instances that lost power stay there
	// for up to 3 s.
	connectionLimitPause = 200 * time.Millisecond
	// primaryChangeTimeout is how long a group's primary may be on its way out before
	// statements for it are refused at once: above the time that a change takes
	// with all instances answering.
	primaryChangeTimeout = 1600 * time.Millisecond
	// maxQueueShare of a route's time limit is the longest that a statement is held
	// while its group has no primary, so that its caller can still repeat it.
	maxQueueShare = 0.9
	// leaseWait bounds the wait for the permission to use a primary, which is
	// renewed within a few calls when a machine wakes up.
	leaseWait = 250 * time.Millisecond
)

// RawConn is an open connection to an endpoint.
type RawConn interface {
	// Do sends statements in one write and reads their answers. After an error
	// what was sent may have run.
	Do(deadline time.Time, answers []stmt.Answer, ss ...stmt.Statement) ([]stmt.Answer, error)
	// Alive reports whether the far end has neither closed nor sent anything.
	Alive() bool
	Close()
}

// Dialer opens connections. Errors are those of package stmt.
type Dialer interface {
	Open(e catalog.Endpoint, account fleet.AccountID) (RawConn, stmt.Answer, error)
	// Probe reports whether the address accepts connections.
	Probe(addr string) error
}

// Conn is a connection that is handed to one session at a time.
type Conn struct {
	RawConn
	// Settings and Names are the session values and the prepared shapes, with
	// their names, on the connection.
	Settings      map[string]string
	PreparedNames map[string]string
	// Primary says that the connection was handed out to the group's primary.
	Primary bool

	endpoint *endpointState
	// catalogEntry is the endpoint as it was listed when the connection was handed out.
	catalogEntry catalog.Endpoint
	account      fleet.AccountID
	// recordVersion is that of the group's record when the connection was handed out.
	recordVersion uint64
	lastUsed      time.Duration
	// inFlight says that a statement is in flight, since started.
	inFlight  bool
	startedAt time.Duration
	revoked   atomic.Bool
}

// Endpoint returns the endpoint's id.
func (c *Conn) Endpoint() fleet.EndpointID { return c.catalogEntry.ID }

type endpointState struct {
	catalog.Endpoint
	load  *dispatch.EndpointLoad
	lag   dispatch.ReplicaLag
	limit int // connections
	open  int // connections, also those being opened
	// fullUntil is until when the endpoint is taken to have no place for more
	// connections than held.
	fullUntil    time.Duration
	openWhenFull int
	idle         []*Conn
	leased       map[*Conn]struct{}
	listed       bool
	rtt          time.Duration
	lastProbe    time.Duration
	// probing is set while the address is tried.
	probing     bool
	unreachable bool
	// failingSince is when attempts to reach the endpoint began to fail; 0 if the
	// last one succeeded.
	failingSince time.Duration
	lastResponse time.Duration
	// lostResponses counts the answers that were lostResponses in a row, the first at lostSince
	// and the last at lostLast.
	lostResponses       int
	firstLost, lastLost time.Duration
}

// maxOpen returns how many connections may be open now.
func (s *endpointState) maxOpen(now time.Duration) int {
	if now < s.fullUntil {
		return min(s.limit, s.openWhenFull)
	}
	return s.limit
}

func (s *endpointState) oneWayDelay() time.Duration { return s.rtt / 2 }

type group struct {
	waiting []*waiter
	fresh   staleread.Log
	// changedAt is when the group's record last changedAt, unsettledAt when it last
	// ceased to be settled.
	changedAt, unsettledAt time.Duration
}

// Request asks for a connection.
type Request struct {
	Group   fleet.GroupID
	Account fleet.AccountID
	// Primary asks for the group's primary.
	Primary bool
	// Floor is the position that a replica must have.
	Floor fleet.LogPosition
	// Avoid is an endpoint that has just refused or lost the statement.
	Avoid    fleet.EndpointID
	Priority int
	// LatestStart is the last moment at which starting is of use.
	LatestStart time.Duration
	// Timeout is the route's time limit for a statement.
	Timeout time.Duration
	// Work is the kind of statement.
	Work *dispatch.ServiceTime
	// Settings are the session's; a connection that has them is preferred.
	Settings map[string]string
}

// Refusal says why no connection was given; nothing was sent.
type Refusal struct {
	Reason string
	Remedy string
}

// Error returns the refusal.
func (r *Refusal) Error() string { return r.Reason + "; " + r.Remedy }

var (
	errTooBusy      = &Refusal{"the endpoints are too busy to answer in time", "try again later"}
	errQueueTimeout = &Refusal{"no endpoint became free in time", "try again later"}
	errNoPrimary    = &Refusal{"the group has no primary now", "try again in a second"}
	errNoEndpoint   = &Refusal{"no endpoint of the group can be reached", "try again in a second"}
)

// Pool holds the connections of one instance.
type Pool struct {
	clock   *clock.Clock
	dialer  Dialer
	log     *telemetry.Log
	metrics *telemetry.Metrics
	local   fleet.DataCentre
	// leaseExpiry is when the permission to use primaries ends.
	leaseExpiry atomic.Int64

	mu        sync.Mutex
	view      *view.View
	endpoints map[fleet.EndpointID]*endpointState
	groups    map[fleet.GroupID]*group
	inFlight  map[fleet.AccountID]int
}

// New returns a pool without endpoints.
func New(c *clock.Clock, d Dialer, l *telemetry.Log, m *telemetry.Metrics, local fleet.DataCentre) *Pool {
	return &Pool{clock: c, dialer: d, log: l, metrics: m, local: local, view: &view.View{},
		endpoints: map[fleet.EndpointID]*endpointState{}, groups: map[fleet.GroupID]*group{}, inFlight: map[fleet.AccountID]int{}}
}

// SetLeaseExpiry sets when the permission to use primaries ends.
func (p *Pool) SetLeaseExpiry(at time.Duration) {
	if at > time.Duration(p.leaseExpiry.Swap(int64(at))) {
		p.mu.Lock()
		p.dispatch()
		p.mu.Unlock()
	}
}

// LeaseValid reports whether primaries may be used now.
func (p *Pool) LeaseValid() bool { return p.leaseValidAt(p.clock.Now()) }

func (p *Pool) leaseValidAt(now time.Duration) bool { return now < time.Duration(p.leaseExpiry.Load()) }

// MaySend reports whether a statement may be sent on a connection now. It has
// to be asked immediately before each send.
func (p *Pool) MaySend(c *Conn) bool {
	return !c.Primary || !c.revoked.Load() && p.leaseValidAt(p.clock.Now())
}

// Revoked reports whether the connection's primary was replaced meanwhile.
func (c *Conn) Revoked() bool { return c.revoked.Load() }

func (p *Pool) group(id fleet.GroupID) *group {
	g := p.groups[id]
	if g == nil {
		g = &group{}
		p.groups[id] = g
	}
	return g
}

// SetView installs a new view.
func (p *Pool) SetView(v *view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, now := range v.Leaders {
		before, g := p.view.Leaders[id], p.group(id)
		if before.Primary != now.Primary && before.Version > 0 {
			g.fresh.Reset()
		}
		if before != now {
			g.changedAt = p.clock.Now()
			if before.Settled && !now.Settled {
				g.unsettledAt = g.changedAt
			}
		}
	}
	p.view = v
	for _, s := range p.endpoints {
		s.listed = false
	}
	for _, es := range v.Endpoints {
		for _, e := range es {
			s := p.endpoints[e.ID]
			if s == nil {
				s = &endpointState{load: dispatch.NewEndpointLoad(e.Slots, e.Slots), leased: map[*Conn]struct{}{}, rtt: 2 * initialRemoteDelay}
				if e.DataCentre == p.local {
					s.rtt = 2 * initialLocalDelay
				}
				p.endpoints[e.ID] = s
			}
			s.Endpoint, s.listed = e, true
			s.limit = connectionLimit(v.Catalog.Groups[e.Group].MaxConnections, v.MemberCount)
			s.load.SetMaxInFlight(min(s.limit, dispatch.MaxInFlight(e.Slots, v.MemberCount)))
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
	p.dispatch()
}

// connectionLimit returns how many connections an instance may hold at an
// endpoint. A part of the ceiling stays free, since the connections of instances
// that lost power stay there for up to 3 s and their successors need some.
func connectionLimit(ceiling, members int) int {
	return max(2, int(usableConnectionShare*float64(ceiling-reservedConnections))/max(1, members))
}

func (p *Pool) closeIdle(s *endpointState) {
	for _, c := range s.idle {
		c.RawConn.Close()
		s.open--
	}
	s.idle = nil
}

// DrainPrimary ends the use of the primaries that records before version named: after
// wait, in which open transactions may end by themselves, their connections are
// closed. The view must have the record of that version before. DrainPrimary returns
// when nothing more can be sent.
func (p *Pool) DrainPrimary(id fleet.GroupID, wait time.Duration, version uint64) {
	deadline := p.clock.Now() + wait
	for {
		p.mu.Lock()
		var left []*Conn
		for _, s := range p.endpoints {
			if s.Group != id {
				continue
			}
			for c := range s.leased {
				if c.Primary && c.recordVersion < version {
					left = append(left, c)
				}
			}
		}
		if len(left) == 0 || p.clock.Now() >= deadline {
			for _, c := range left {
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

// drainPollInterval is how often Stop looks for open transactions; it adds to the time
// of a planned change.
const drainPollInterval = 10 * time.Millisecond

// usablePrimary returns the id of a group's primary if it may be used.
func (p *Pool) usablePrimary(id fleet.GroupID, now time.Duration) (fleet.EndpointID, bool) {
	l, ok := p.view.Leaders[id]
	return l.Primary, ok && l.Settled && l.Primary != "" && p.leaseValidAt(now)
}

// chooseEndpoint returns the endpoint for a request and the expected time of the
// answer, or nil when none has room; reachable is false when none can serve it.
func (p *Pool) chooseEndpoint(r *Request, now time.Duration) (best *endpointState, expected time.Duration, reachable bool) {
	primary, usable := p.usablePrimary(r.Group, now)
	var soonest time.Duration
	for _, e := range p.view.Endpoints[r.Group] {
		s := p.endpoints[e.ID]
		isPrimary := usable && e.ID == primary
		if s == nil || s.unreachable || r.Primary && !isPrimary || !isPrimary && s.Leaving {
			continue
		}
		reachable = true
		if !isPrimary && !s.lag.MayHave(now, r.Floor) {
			continue
		}
		at := s.load.ExpectedLatency(now, r.Work.Estimate(), s.oneWayDelay(), s.Slots)
		if !p.hasIdle(s, r.Account) {
			at += connectionOpenCost + 2*s.oneWayDelay()
		}
		if e.DataCentre != p.local {
			at += remotePenalty
		}
		if e.ID == r.Avoid {
			at += r.Work.Estimate() * 4
		}
		if soonest == 0 || at < soonest {
			soonest = at
		}
		if !s.load.HasCapacity() || !p.hasIdle(s, r.Account) && s.open >= s.maxOpen(now) && len(s.idle) == 0 {
			continue
		}
		if best == nil || at < expected {
			best, expected = s, at
		}
	}
	if best == nil {
		expected = max(soonest, r.Work.Estimate())
	}
	return best, expected, reachable
}

func (p *Pool) hasIdle(s *endpointState, account fleet.AccountID) bool {
	for _, c := range s.idle {
		if c.account == account {
			return true
		}
	}
	return false
}

// reserve reserves a place at s for a request: an idle connection, or the right to
// open one, for which another account's idle connection may have to go.
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
	c.Primary, c.recordVersion = usable && s.ID == primary, p.view.Leaders[r.Group].Version
	c.revoked.Store(false)
	c.catalogEntry = s.Endpoint
	s.leased[c] = struct{}{}
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
	if !c.inFlight {
		c.inFlight, c.startedAt = true, now
		c.endpoint.load.InFlight++
		p.inFlight[c.account]++
	}
}

func (p *Pool) clearInFlight(c *Conn) {
	if c.inFlight {
		c.inFlight = false
		c.endpoint.load.InFlight--
		if p.inFlight[c.account]--; p.inFlight[c.account] == 0 {
			delete(p.inFlight, c.account)
		}
	}
}

// finishAcquire opens the connection if it is a new one.
func (p *Pool) finishAcquire(c *Conn, open bool, r Request) (*Conn, error) {
	if !open {
		if p.clock.Now() < c.lastUsed+idleCheckAfter || c.Alive() {
			return c, nil
		}
		// The endpoint has closed it; nothing was sent.
		p.Release(c, false)
		p.StartProbe(c.Endpoint())
		return nil, fmt.Errorf("%w: it closed an idle connection", stmt.ErrUnreachable)
	}
	start := p.clock.Now()
	wire, _, err := p.dialer.Open(c.catalogEntry, c.account)
	if err != nil {
		p.metrics.Count("connections_failed")
		p.recordOpenFailure(c, err)
		return nil, err
	}
	p.metrics.Count("connections_opened")
	p.metrics.Observe("connection_open_us", p.clock.Now()-start)
	p.mu.Lock()
	c.RawConn = wire
	c.endpoint.recordResponse(p.clock.Now())
	stopped := c.revoked.Load()
	p.mu.Unlock()
	if stopped {
		p.Release(c, false)
		return nil, fmt.Errorf("%w: the primary was replaced", stmt.ErrUnreachable)
	}
	return c, nil
}

func (s *endpointState) recordResponse(now time.Duration) {
	s.lastResponse, s.failingSince, s.unreachable = now, 0, false
}

// recordOpenFailure accounts for a connection that could not be recordOpenFailure.
func (p *Pool) recordOpenFailure(c *Conn, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	s := c.endpoint
	p.clearInFlight(c)
	delete(s.leased, c)
	s.open--
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		s.recordResponse(now)
		if refused.Code == stmt.TooManyConnections {
			s.fullUntil, s.openWhenFull = now+connectionLimitPause, s.open
		} else {
			s.load.RecordRejection(now)
		}
	} else if s.failingSince == 0 {
		s.failingSince = now
	}
	p.dispatch()
	p.mu.Unlock()
	p.log.Warn("pool: opening a connection failed", "endpoint", string(c.catalogEntry.ID), "addr", c.catalogEntry.Addr, "error", err.Error())
	if refused == nil {
		p.StartProbe(c.catalogEntry.ID)
	}
}

// BeginStatement marks a further statement on a connection that a session holds.
func (p *Pool) BeginStatement(c *Conn) {
	p.mu.Lock()
	p.markInFlight(c, p.clock.Now())
	p.mu.Unlock()
}

// EndStatement marks the end of a statement. Work is nil when the time that it took
// says nothing about the endpoint.
func (p *Pool) EndStatement(c *Conn, a stmt.Answer, work *dispatch.ServiceTime) {
	now := p.clock.Now()
	p.mu.Lock()
	s := c.endpoint
	took := now - c.startedAt
	s.recordResponse(now)
	s.lostResponses = 0
	switch {
	case a.Code == stmt.Busy:
		s.load.RecordRejection(now)
	case a.Code == stmt.Failed:
		s.load.RecordFailure(now)
	case a.Code == stmt.OK && work != nil:
		s.load.RecordAnswer(now, took-2*s.oneWayDelay(), work.Estimate())
		work.Observe(took - 2*s.oneWayDelay())
	}
	if !c.Primary {
		s.lag.RecordPosition(now, a.Position, a.Code == stmt.Lagging)
	} else if !c.revoked.Load() {
		p.group(s.Group).fresh.Observe(c.startedAt, a.Position)
	}
	p.clearInFlight(c)
	p.dispatch()
	p.mu.Unlock()
}

// RecordLostAnswer records that the answer to a statement did not come.
func (p *Pool) RecordLostAnswer(c *Conn) {
	now := p.clock.Now()
	p.mu.Lock()
	s := c.endpoint
	s.load.RecordFailure(now)
	if s.lostResponses == 0 {
		s.firstLost = now
	}
	s.lostResponses++
	s.lastLost = now
	p.mu.Unlock()
}

// Release gives a connection back. It is closed unless it may be used again by
// another session, which needs an idle state and no missing answer.
func (p *Pool) Release(c *Conn, reuse bool) {
	p.mu.Lock()
	s := c.endpoint
	p.clearInFlight(c)
	delete(s.leased, c)
	if reuse && !c.revoked.Load() && s.listed && !s.unreachable && !(s.Leaving && !c.Primary) {
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
	p.dispatch()
	p.mu.Unlock()
}

// RequiredPosition returns the log position that a replica must have for a read that
// accepts the given age, see freshness.Log.
func (p *Pool) RequiredPosition(id fleet.GroupID, age time.Duration) (fleet.LogPosition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(id).fresh.Required(p.clock.Now(), age)
}

// Term returns the newest term that the group's primary has reported.
func (p *Pool) Term(id fleet.GroupID) fleet.Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(id).fresh.Term()
}
