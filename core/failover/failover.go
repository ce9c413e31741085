// Package failover decides on the primary of one database group: suspicion, claim,
// fence, choice, promotion, and the return of old primaries.
//
// Usage: the control goroutine holds one Core per group, passes every event to
// Step with the current monotonic time and a Tick at least every 50 ms, and
// performs the actions; each answer comes back as an event that carries the
// attempt number of its action.
//
//	c := term.New(term.Config{Group: g, Self: id, Run: run, Endpoints: eps})
//	actions := c.Step(now, term.Status{Status: s})
//
// Safety rests on the endpoints' fence alone. The table row orders promoters
// and informs; the core goes on without it after ClaimTimeout.
package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation switches one rule off for the exhaustive search. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// MinorityFence goes on with less than a majority of grants.
	MinorityFence
	// ChooseFirst promotes any granting endpoint, not the one with the latest log.
	ChooseFirst
	// ChooseAgain promotes another endpoint in the same term.
	ChooseAgain
	// CountJoining counts an endpoint without its log towards the majority.
	CountJoining
	// SharedOwner uses the same fence owner for every promoter.
	SharedOwner
	// JoinUnconfirmed lets an endpoint without its log follow a primary whose
	// term the others have not confirmed.
	JoinUnconfirmed
)

// Endpoint is a member of the group.
type Endpoint struct {
	ID fleet.EndpointID
	// Addr is the host:port that replicas replicate from.
	Addr string
}

// Config holds the constants; zero values take the defaults of New.
type Config struct {
	Group fleet.GroupID
	Self  fleet.InstanceID
	// RunID identifies the process run, so that a restarted promoter is another
	// fence owner.
	RunID     string
	Endpoints []Endpoint
	// Seed seeds the jitter.
	Seed uint64
	// SuspectAfter is 500 ms: five heartbeats of 100 ms.
	SuspectAfter time.Duration
	// PeerViewMaxAge is 1.5 s, three pulls: an older suspicion of a peer is ignored.
	PeerViewMaxAge time.Duration
	// Stagger is 150 ms per rank, Jitter up to 30 ms.
	Stagger, Jitter time.Duration
	// ClaimTimeout is 300 ms; then the promotion goes on without the table.
	ClaimTimeout time.Duration
	// FenceTimeout is 600 ms; then the attempt ends and a higher term is used.
	FenceTimeout time.Duration
	// PromoteTimeout is 1 s.
	PromoteTimeout time.Duration
	// QuiesceTimeout is 100 ms: how long a planned promotion lets replicas
	// receive what the fenced old primary had logged.
	QuiesceTimeout time.Duration
	// Backoff is 200 ms, doubled per failed attempt up to 1.6 s, with jitter.
	Backoff time.Duration
	// RetryInterval is 200 ms: unanswered commands to endpoints are repeated after it.
	RetryInterval time.Duration
	// RepairDelay is 2.5 s, longer than an attempt: an endpoint whose fence term
	// stays above the primary's for this long is left over from an attempt that
	// failed, and only a promotion with a higher term takes it back.
	RepairDelay time.Duration
	// JoinDelay is 1.5 s: an endpoint that lost its log and its fence follows
	// only after it. An attempt that counts a grant from before the loss has
	// ended by then (FenceTimeout), and if it went on to promote, a majority of
	// the other endpoints no longer confirms the former term.
	JoinDelay time.Duration
	Mutation  Mutation
}

// phase is the step of the current attempt.
type phase int

const (
	idle phase = iota
	readingRow
	claimingTerm
	resolvingClaim
	quiescing
	fencing
	promoting
)

// reason is why an attempt runs.
type reason int

const (
	suspicion reason = iota
	planned
	repair
)

var reasonText = [...]string{"no status from the primary", "the primary is leaving", "an endpoint is fenced above the primary"}

// Core is the state machine of one group. It is not safe for concurrent use.
type Core struct {
	cfg Config
	rng uint64
	now time.Duration
	// endpoints has one entry per configured endpoint, in the same order.
	endpoints []endpointState
	// knownTerm is the highest term in which a primary was seen, and primary that
	// endpoint. A term never has two primaries.
	knownTerm fleet.Term
	primary   int
	// lastHeard is when the primary was last lastHeard, or the start of the watch.
	lastHeard time.Duration
	started   bool
	// maxFenceTerm is the highest term granted or claimed as far as known; a claim
	// always uses a higher one.
	maxFenceTerm     fleet.Term
	suspectsPrimary  bool
	peers            map[fleet.InstanceID]peerState
	answering        []fleet.InstanceID
	listedCount      int
	leavingEndpoints []fleet.EndpointID
	// fencedAboveSince is when an endpoint was first seen fenced above a live primary.
	fencedAboveSince time.Duration
	// triggeredAt is when the conditions of a start were first all met.
	triggeredAt    time.Duration
	notBefore      time.Duration
	failedAttempts int

	// The current attempt. A grant counts only for this attempt's term and
	// owner, and at most one endpoint is promoted in it.
	phase         phase
	attemptReason reason
	attempt       uint64
	rowCall       uint64
	phaseDeadline time.Duration
	retryAt       time.Duration
	claim         Row
	fenceOwner    string
	fenceReplies  []fenceReply
	chosen        int
	publication   publication
	lastCall      uint64
	join          joinCheck
}

// joinCheck asks the other endpoints for the primary's term before an endpoint
// that lost its log, and with it its fence, is told to follow. Without their
// answers it could join an old primary, which would then acknowledge writes.
type joinCheck struct {
	endpoint  int
	call      uint64
	retryAt   time.Duration
	confirmed []bool
}

type endpointState struct {
	status       fleet.EndpointStatus
	hasStatus    bool
	unreachable  bool
	statusAt     time.Duration
	nextFollowAt time.Duration
	// notFollowingSince is when the endpoint was first seen not to follow; 0 if it does.
	notFollowingSince time.Duration
	// joiningSince is when the endpoint was first seen without its log; 0 if it has it.
	joiningSince time.Duration
}

type peerState struct {
	view       PeerView
	receivedAt time.Duration
}

// fenceReply is an endpoint's answer to FENCE in the current attempt.
type fenceReply struct {
	result Result
	status fleet.EndpointStatus
}

// publication is the row to write after a promotion.
type publication struct {
	active     bool
	row        Row
	call       uint64
	nextReadAt time.Duration
}

// New returns a core that knows no primary.
func New(cfg Config) *Core {
	cfg.SuspectAfter = cmp.Or(cfg.SuspectAfter, 500*time.Millisecond)
	cfg.PeerViewMaxAge = cmp.Or(cfg.PeerViewMaxAge, 1500*time.Millisecond)
	cfg.Stagger = cmp.Or(cfg.Stagger, 150*time.Millisecond)
	cfg.Jitter = cmp.Or(cfg.Jitter, 30*time.Millisecond)
	cfg.ClaimTimeout = cmp.Or(cfg.ClaimTimeout, 300*time.Millisecond)
	cfg.FenceTimeout = cmp.Or(cfg.FenceTimeout, 600*time.Millisecond)
	cfg.PromoteTimeout = cmp.Or(cfg.PromoteTimeout, time.Second)
	cfg.QuiesceTimeout = cmp.Or(cfg.QuiesceTimeout, 100*time.Millisecond)
	cfg.Backoff = cmp.Or(cfg.Backoff, 200*time.Millisecond)
	cfg.RetryInterval = cmp.Or(cfg.RetryInterval, 200*time.Millisecond)
	cfg.JoinDelay = cmp.Or(cfg.JoinDelay, 1500*time.Millisecond)
	cfg.RepairDelay = cmp.Or(cfg.RepairDelay, 2500*time.Millisecond)
	return &Core{
		cfg:       cfg,
		rng:       cfg.Seed ^ xxhash.Sum64String(string(cfg.Self)+"/"+cfg.RunID+"/"+string(cfg.Group)),
		endpoints: make([]endpointState, len(cfg.Endpoints)),
		primary:   -1,
		chosen:    -1,
		peers:     map[fleet.InstanceID]peerState{},
	}
}

// Clone returns an independent copy.
func (c *Core) Clone() *Core {
	d := *c
	d.endpoints = slices.Clone(c.endpoints)
	d.peers = maps.Clone(c.peers)
	d.answering = slices.Clone(c.answering)
	d.leavingEndpoints = slices.Clone(c.leavingEndpoints)
	d.fenceReplies = slices.Clone(c.fenceReplies)
	d.join.confirmed = slices.Clone(c.join.confirmed)
	return &d
}

// random returns the next value of a splitmix64 generator.
func (c *Core) random() uint64 {
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// jitter returns a random duration below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return 0
	}
	return time.Duration(c.random() % uint64(d))
}

func (c *Core) endpointIndex(id fleet.EndpointID) int {
	return slices.IndexFunc(c.cfg.Endpoints, func(e Endpoint) bool { return e.ID == id })
}

func (c *Core) majority() int { return len(c.endpoints)/2 + 1 }

// Step applies one event.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.now = max(c.now, now)
	if !c.started {
		c.started, c.lastHeard = true, c.now
	}
	var out []Action
	switch e := e.(type) {
	case Status:
		c.observeStatus(e.Status)
	case Unreachable:
		if i := c.endpointIndex(e.Endpoint); i >= 0 {
			c.endpoints[i].unreachable = true
		}
	case PeerView:
		c.peers[e.From] = peerState{view: e, receivedAt: c.now}
		c.noteFenceTerm(e.MaxFenceTerm)
	case Members:
		c.answering, c.listedCount = slices.Clone(e.Answering), e.Listed
		slices.Sort(c.answering)
	case LeavingEndpoints:
		c.leavingEndpoints = slices.Clone(e.Endpoints)
	case RowResponse:
		out = c.handleRow(out, e)
	case FenceResponse:
		out = c.handleFence(out, e)
	case PromoteResponse:
		out = c.handlePromote(out, e)
	case ConfirmResponse:
		out = c.handleConfirm(out, e)
	case FollowResponse:
		if e.Result == OK {
			c.observeStatus(e.Status)
		}
	}
	out = c.updateSuspicion(out)
	out = c.handleTimeouts(out)
	out = c.startAttempt(out)
	out = c.attachReplicas(out)
	return c.publishPromotion(out)
}

// observeStatus takes a status. One with a lower fence term, or with the same fence
// term and a lower term, was overtaken on another connection.
func (c *Core) observeStatus(s fleet.EndpointStatus) {
	i := c.endpointIndex(s.Endpoint)
	if i < 0 {
		return
	}
	ep := &c.endpoints[i]
	old := ep.status
	if ep.hasStatus && !s.Joining && (s.FenceTerm < old.FenceTerm || s.FenceTerm == old.FenceTerm && s.Term < old.Term) {
		return
	}
	switch {
	case !s.Joining:
		ep.joiningSince = 0
	case ep.joiningSince == 0:
		ep.joiningSince = c.now
	}
	ep.status, ep.hasStatus, ep.unreachable, ep.statusAt = s, true, false, c.now
	if s.Role == fleet.RolePrimary && s.Term > c.knownTerm {
		c.knownTerm, c.primary = s.Term, i
		c.failedAttempts = 0
	}
	c.noteFenceTerm(s.FenceTerm)
	if i == c.primary && c.primaryServes() {
		c.lastHeard = c.now
	}
}

// primaryServes reports whether the known primary can still serve: it has not been
// fenced itself, and no majority has been fenced above its term.
func (c *Core) primaryServes() bool {
	if c.primary < 0 {
		return false
	}
	s := &c.endpoints[c.primary].status
	if s.Role != fleet.RolePrimary || s.Term != c.knownTerm || s.FenceTerm != c.knownTerm {
		return false
	}
	above := 0
	for i := range c.endpoints {
		if c.endpoints[i].hasStatus && c.endpoints[i].status.FenceTerm > c.knownTerm {
			above++
		}
	}
	return above < c.majority()
}

// noteFenceTerm notes a granted or claimed term. Another promoter that is at work gets
// time to finish.
func (c *Core) noteFenceTerm(t fleet.Term) {
	if t <= c.maxFenceTerm {
		return
	}
	c.maxFenceTerm = t
	if c.phase == idle && t > c.knownTerm {
		c.notBefore = max(c.notBefore, c.now+c.cfg.FenceTimeout+c.startDelay())
	}
}

// Primary returns the endpoint that reported the role of primary with the
// highest term; empty when there is none or it is known to be fenced.
func (c *Core) Primary() (fleet.EndpointID, fleet.Term) {
	if !c.primaryServes() {
		return "", c.knownTerm
	}
	return c.primaryID(), c.knownTerm
}

// LastKnown returns the last known primary and its term, served or not, to tell
// peers.
func (c *Core) LastKnown() (fleet.EndpointID, fleet.Term) { return c.primaryID(), c.knownTerm }

// SuspectsPrimary reports whether this instance does not hear the primary.
func (c *Core) SuspectsPrimary() bool { return c.suspectsPrimary }

// AttemptRunning reports whether an attempt is running.
func (c *Core) AttemptRunning() bool { return c.phase != idle }

// MaxFenceTerm returns the highest fence term seen.
func (c *Core) MaxFenceTerm() fleet.Term { return c.maxFenceTerm }
