// Package failover decides which endpoint is the primary of a database group.
// It detects that the primary has failed, replaces it and lets replicas follow
// the new one.
//
// A promotion attempt claims the next term in the table row of the group, fences
// the endpoints at that term, chooses the endpoint with the latest log among a
// majority that granted the term, and promotes it. The other endpoints, the
// former primary included, are then told to follow the new primary.
//
// The control goroutine holds one Core per group. It passes every event to Step
// with the current monotonic time, and a Tick at least every 50 ms, and performs
// the returned actions. The response to an action comes back as an event with
// the attempt number of that action.
//
//	c := failover.New(failover.Config{Group: g, Self: id, RunID: run, Endpoints: eps})
//	actions := c.Step(now, failover.Status{Status: s})
//
// Safety depends only on the fences at the endpoints. The table row keeps
// promoters from competing and publishes the result; a promotion goes on without
// it after ClaimTimeout.
package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation disables one safety rule, so that the exhaustive state search can show
// that it detects the violation. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// MinorityFence promotes after fewer grants than a majority.
	MinorityFence
	// ChooseFirst promotes the first endpoint that granted the term instead of the
	// one with the latest log.
	ChooseFirst
	// ChooseAgain promotes another endpoint in the same term when the chosen one
	// does not respond.
	ChooseAgain
	// CountJoining counts an endpoint that lost its log towards the majority.
	CountJoining
	// SharedOwner uses the same fence owner for every promoter.
	SharedOwner
	// JoinUnconfirmed lets an endpoint that lost its log follow a primary whose
	// term the other endpoints have not confirmed.
	JoinUnconfirmed
)

// Endpoint is a member of the group.
type Endpoint struct {
	ID fleet.EndpointID
	// Addr is the host:port that replicas replicate from.
	Addr string
}

// Config holds the parameters of a Core. New replaces zero durations by the
// defaults given at each field.
type Config struct {
	Group fleet.GroupID
	Self  fleet.InstanceID
	// RunID identifies the run of the process. It is part of the fence owner, so
	// that a restarted promoter does not reuse the grants of its previous run.
	RunID     string
	Endpoints []Endpoint
	// Seed seeds the random generator for jitter.
	Seed uint64
	// SuspectAfter is how long the primary may be silent before it is suspected.
	// Default 500 ms, five heartbeats of 100 ms.
	SuspectAfter time.Duration
	// PeerViewMaxAge is the age from which a peer's suspicion is ignored. Default
	// 1.5 s, three pulls.
	PeerViewMaxAge time.Duration
	// Stagger delays the start of an attempt by the instance's rank, so that
	// instances do not compete. Default 150 ms per rank, plus Jitter of up to 30 ms.
	Stagger, Jitter time.Duration
	// ClaimTimeout limits the wait for the table; the promotion then goes on
	// without it. Default 300 ms.
	ClaimTimeout time.Duration
	// FenceTimeout limits the wait for a majority of grants; the attempt then ends
	// and the next one uses a higher term. Default 600 ms.
	FenceTimeout time.Duration
	// PromoteTimeout limits the wait for the chosen endpoint. Default 1 s.
	PromoteTimeout time.Duration
	// QuiesceTimeout is how long a planned promotion waits for the replicas to
	// receive the rest of the log of the fenced old primary. Default 100 ms.
	QuiesceTimeout time.Duration
	// Backoff is the pause after a failed attempt. Default 200 ms, doubled for each
	// further failure up to 1.6 s, with jitter.
	Backoff time.Duration
	// RetryInterval is the time after which a command that an endpoint has not
	// answered is sent again. Default 200 ms.
	RetryInterval time.Duration
	// RepairDelay is how long the fence term of an endpoint may stay above the
	// primary's term before a promotion repairs it. Default 2.5 s, longer than an
	// attempt: by then the fence is left over from an attempt that failed, and only
	// a promotion with a higher term brings the endpoint back into the group.
	RepairDelay time.Duration
	// JoinDelay is how long an endpoint that lost its log and its fence waits before
	// it may follow the primary. Default 1.5 s. An attempt that counts a grant from
	// before the loss has ended by then (FenceTimeout); if it went on to promote, a
	// majority of the other endpoints no longer confirms the former term.
	JoinDelay time.Duration
	Mutation  Mutation
}

// phase is the step that the current attempt has reached.
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

// attemptReason is why an attempt was started.
type attemptReason int

const (
	suspicion attemptReason = iota
	planned
	repair
)

var reasonText = [...]string{"no status from the primary", "the primary is leaving", "an endpoint is fenced above the primary"}

// Core is the failover state machine of one group. It does no input or output
// and is not safe for concurrent use.
type Core struct {
	cfg Config
	rng uint64
	now time.Duration
	// endpoints has one entry per configured endpoint, in the same order.
	endpoints []endpointState
	// knownTerm is the highest term for which a primary has been seen, and primary
	// the index of that endpoint, -1 if none. A term never has two primaries.
	knownTerm fleet.Term
	primary   int
	// lastHeard is the time of the last status that showed a working primary, at
	// first the time of the first event.
	lastHeard time.Duration
	started   bool
	// maxFenceTerm is the highest term known to have been granted or claimed; a new
	// claim always uses a higher one.
	maxFenceTerm     fleet.Term
	suspectsPrimary  bool
	peers            map[fleet.InstanceID]peerState
	answering        []fleet.InstanceID
	listedCount      int
	leavingEndpoints []fleet.EndpointID
	// fencedAboveSince is when an endpoint was first seen with a fence term above
	// that of a healthy primary; 0 if none is.
	fencedAboveSince time.Duration
	// suspicionAgreedAt is when a majority first agreed on the current suspicion; 0
	// before that.
	suspicionAgreedAt time.Duration
	// notBefore is the earliest start of the next attempt.
	notBefore      time.Duration
	failedAttempts int

	// State of the current attempt. A grant counts only for the term and the fence
	// owner of this attempt, and an attempt promotes at most one endpoint.
	phase         phase
	attemptReason attemptReason
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

// joinCheck tracks which endpoints have confirmed the primary's term before an
// endpoint that lost its log, and its fence with it, is told to follow. Without
// the confirmations it could follow an old primary, which would then acknowledge
// writes.
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
	// notFollowingSince is when the endpoint was first seen not to follow the
	// primary; 0 if it follows.
	notFollowingSince time.Duration
	// joiningSince is when the endpoint was first seen without its log; 0 if it has
	// one.
	joiningSince time.Duration
}

type peerState struct {
	view       PeerView
	receivedAt time.Duration
}

// fenceReply is an endpoint's response to VH FENCE in the current attempt.
type fenceReply struct {
	result Result
	status fleet.EndpointStatus
}

// publication is the table row that is still to be written after a promotion.
type publication struct {
	active     bool
	row        Row
	call       uint64
	nextReadAt time.Duration
}

// New returns a Core that knows no primary.
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

// Step applies one event and returns the actions that follow from it.
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

// observeStatus records the status of an endpoint. A status with a lower fence
// term, or with the same fence term and a lower term, is stale: a newer one has
// arrived before it on another connection.
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

// primaryServes reports whether the known primary can still serve: neither the
// primary itself nor a majority of the endpoints has been fenced above its term.
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

// noteFenceTerm records a term that was granted or claimed. A new term while this
// instance runs no attempt means that another promoter is at work; the next attempt
// is delayed to let it finish.
func (c *Core) noteFenceTerm(t fleet.Term) {
	if t <= c.maxFenceTerm {
		return
	}
	c.maxFenceTerm = t
	if c.phase == idle && t > c.knownTerm {
		c.notBefore = max(c.notBefore, c.now+c.cfg.FenceTimeout+c.startDelay())
	}
}

// Primary returns the endpoint that reported the role of primary with the highest
// term, and that term. The endpoint is empty if there is none or if it is known to
// be fenced.
func (c *Core) Primary() (fleet.EndpointID, fleet.Term) {
	if !c.primaryServes() {
		return "", c.knownTerm
	}
	return c.primaryID(), c.knownTerm
}

// LastKnown returns the last known primary and its term, even if it no longer
// serves. It is reported to peers.
func (c *Core) LastKnown() (fleet.EndpointID, fleet.Term) { return c.primaryID(), c.knownTerm }

// SuspectsPrimary reports whether this instance has lost contact with the primary.
func (c *Core) SuspectsPrimary() bool { return c.suspectsPrimary }

// AttemptRunning reports whether a promotion attempt is running.
func (c *Core) AttemptRunning() bool { return c.phase != idle }

// MaxFenceTerm returns the highest fence term seen.
func (c *Core) MaxFenceTerm() fleet.Term { return c.maxFenceTerm }
