package pool

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/warmup"
)

const (
	// firstListingTime is how long after the first listing of a group its endpoints begin
	// no ramps: at the first start of a fleet the endpoints register one after the other.
	firstListingTime = 5 * time.Second
	// clockSkew is by how much the clocks of endpoints and instances may differ.
	clockSkew = time.Second
	// failureExcess is by how much an endpoint's failure rate has to exceed that of its
	// siblings to count against it. Statements that fail everywhere are their caller's
	// fault.
	failureExcess = 0.2
	// startLifetime is how long after it took a start a statement may be sent to a cold
	// endpoint: an instance that was suspended meanwhile would send it outside the
	// second in which it was granted. ratelimit.ColdAccount allows for it.
	startLifetime = 250 * time.Millisecond
	// unheardTime is how long after the last sign of an endpoint's process another one may
	// run under its address. Endpoints report every 2 s.
	unheardTime = 3 * time.Second
	// longAgo is the start of an endpoint whose entry does not name it. How long it stays cold
	// is then what the entry says.
	longAgo = -24 * time.Hour
	// startPollInterval is how often a statement of a transaction looks for a start.
	startPollInterval = 10 * time.Millisecond
)

// Starts limits the statements that all instances together send to a cold endpoint. Its
// methods do not block.
type Starts interface {
	// Available returns how many statements may be started now.
	Available(now time.Duration, id fleet.EndpointID) int
	// Peek returns what is known of Available and changes nothing.
	Peek(now time.Duration, id fleet.EndpointID) int
	// Take takes one of them.
	Take(now time.Duration, id fleet.EndpointID) bool
	// Request asks for another one in the background. Pool.ServeWaiters is called when
	// there is one.
	Request(id fleet.EndpointID)
}

// SetStarts sets the limit for cold endpoints. Call it before the pool is used.
func (p *Pool) SetStarts(s Starts) { p.starts = s }

// ServeWaiters hands free capacity to waiting statements.
func (p *Pool) ServeWaiters() {
	p.mu.Lock()
	p.serveWaiters()
	p.mu.Unlock()
}

// warmState is what the pool knows about the start or recovery of an endpoint.
type warmState struct {
	// rated is set if the configuration limits the statements at a cold endpoint of the
	// group, and coldTime is how long an endpoint counts as cold. They are copied from it
	// since every choice of an endpoint needs them.
	rated    bool
	coldTime time.Duration
	// ramp is nil unless the endpoint ramps.
	ramp *warmup.Ramp
	// bornAt is the latest time at which the endpoint's process may have started, and
	// entryAt when its latest entry arrived.
	bornAt, entryAt time.Duration
	// suspectAt is when a connection to the endpoint ended unexpectedly, if suspect is set:
	// another process may run since. newerEntries counts the entries since then; the first
	// may have been under way.
	suspect      bool
	suspectAt    time.Duration
	newerEntries int
	// position is the latest log position that the endpoint reported.
	position fleet.LogPosition
	// startsWanted counts the statements of transactions that wait for a start.
	startsWanted int
}

// updateEntry records the entry of an endpoint in a new view, before it replaces the one
// known. isNew is set if there is none.
func (p *Pool) updateEntry(s *endpointState, e catalog.Endpoint, isNew, firstView bool, now time.Duration) {
	w, g := &s.warm, p.group(e.Group)
	if isNew {
		w.bornAt, w.entryAt = longAgo, now
		if e.Born > 0 {
			age := time.Since(time.UnixMilli(e.Born)) - clockSkew
			w.bornAt = now - max(0, age)
		}
		if !g.listed {
			g.listed, g.listedAt = true, now
		}
		if !firstView && now >= g.listedAt+firstListingTime {
			s.Endpoint = e
			p.beginRamp(s, warmup.New, now)
		}
		return
	}
	switch {
	case e.Born > s.Born:
		w.bornAt, w.entryAt, w.suspect = now, now, false
		p.beginRamp(s, warmup.Restarted, now)
	case e.Sequence != s.Sequence || e.WarmUp != s.WarmUp:
		w.entryAt = now
		if w.newerEntries++; w.newerEntries >= 2 {
			w.suspect = false
		}
	}
}

// SuspectRestart records that the endpoint closed a connection in use. One that only did not
// answer in time has not restarted, or is noticed by opened or by a probe.
func (p *Pool) SuspectRestart(c *Conn) {
	p.mu.Lock()
	c.endpoint.suspectRestart(p.clock.Now())
	p.mu.Unlock()
}

// suspectRestart records that a connection to an endpoint ended unexpectedly.
func (s *endpointState) suspectRestart(now time.Duration) {
	s.warm.suspect, s.warm.suspectAt, s.warm.newerEntries = true, now, 0
}

// cold reports whether the rate of a cold endpoint applies to the endpoint.
func (p *Pool) cold(s *endpointState, now time.Duration) bool {
	w := &s.warm
	return w.rated && p.starts != nil &&
		(now < w.bornAt+w.coldTime || s.WarmUp > 0 && now < w.entryAt+s.WarmUp || w.suspect && now < w.suspectAt+w.coldTime)
}

// hasRoom reports whether a request may be sent to the endpoint now, as far as its limits
// are concerned. A ramp does not hold back what only the primary can run.
func (p *Pool) hasRoom(s *endpointState, r *Request, now time.Duration) bool {
	if !s.load.HasCapacity() || s.warm.ramp != nil && !r.Primary && s.load.InFlight >= s.warm.ramp.Limit() {
		return false
	}
	if !p.cold(s, now) {
		return true
	}
	if r.explain {
		r.heldBack = p.starts.Peek(now, s.ID) <= s.warm.startsWanted
		return !r.heldBack
	}
	if p.starts.Available(now, s.ID) <= s.warm.startsWanted {
		r.heldBack = true
		p.starts.Request(s.ID)
		return false
	}
	return true
}

// takeStart takes the start for a statement at a cold endpoint.
func (p *Pool) takeStart(c *Conn, now time.Duration) bool {
	c.startTaken = 0
	if !p.cold(c.endpoint, now) {
		return true
	}
	if !p.starts.Take(now, c.endpoint.ID) {
		return false
	}
	c.startTaken = now
	return true
}

// StartValid reports whether a statement may still be sent by the start that it took at a
// cold endpoint. Only the session that holds the connection may call it.
func (p *Pool) StartValid(c *Conn) bool {
	return c.startTaken == 0 || p.clock.Now() < c.startTaken+startLifetime
}

// opened records that a connection to the endpoint was opened before now. If the instance
// has heard nothing of the endpoint's process for long, for example because it was
// suspended, another one may run.
func (p *Pool) opened(s *endpointState, now time.Duration) {
	if s.lastAnswer == 0 || now < max(s.lastAnswer, s.warm.entryAt)+unheardTime {
		return // no process has answered this instance before, or it was heard recently
	}
	for _, c := range s.idle {
		if c.Alive() {
			return // it leads to the same process
		}
	}
	s.suspectRestart(now)
}

// renewStart takes a start for a statement on a connection that was just opened, if it needs
// one and has none or an old one, and returns the connection.
func (p *Pool) renewStart(c *Conn, r Request) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	renew := p.cold(c.endpoint, now) && (c.startTaken == 0 || now >= c.startTaken+startLifetime/2)
	policy := p.group(r.Group).waiting
	lastStart := policy.lastStart(&r)
	p.mu.Unlock()
	if renew && !p.AwaitStart(c, time.Now().Add(lastStart-now)) {
		evacuated := p.Evacuated(c)
		p.Release(c, true)
		if evacuated {
			return nil, errEvacuatedMeanwhile
		}
		p.mu.Lock()
		refusal := policy.expired(&waiter{req: r}, p.clock.Now())
		p.mu.Unlock()
		return nil, p.refuse(&r, refusal)
	}
	return c, nil
}

// AwaitStart waits until another statement may be sent on a connection that a session
// holds. It returns false if that is not so by the deadline, or if the connection may not be
// used any more; nothing was sent then.
func (p *Pool) AwaitStart(c *Conn, deadline time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, waited := c.endpoint, false
	for !p.takeStart(c, p.clock.Now()) {
		if !waited {
			waited = true
			s.warm.startsWanted++
			defer func() { s.warm.startsWanted-- }()
			p.metrics.Count("starts_held_back")
		}
		p.starts.Request(s.ID)
		p.mu.Unlock()
		time.Sleep(startPollInterval)
		p.mu.Lock()
		if c.revoked.Load() || p.Evacuated(c) || !time.Now().Before(deadline) {
			return false
		}
	}
	return true
}

// beginRamp begins a ramp, or begins the present one again.
func (p *Pool) beginRamp(s *endpointState, cause warmup.Cause, now time.Duration) {
	if cause != warmup.Promoted && cause != warmup.RolledBack {
		s.load.Forget()
	}
	s.warm.ramp = warmup.Begin(now, cause, s.load.MaxInFlight())
	p.metrics.Count(`ramps{why="` + string(cause) + `"}`)
	p.countRamps()
	if p.kept[s.Group] {
		p.log.Info("pool: ramp began", "endpoint", string(s.ID), "group", string(s.Group), "why", string(cause), "full", s.load.MaxInFlight())
	}
}

func (p *Pool) endRamp(s *endpointState, end warmup.End, now time.Duration) {
	r := s.warm.ramp
	s.warm.ramp = nil
	s.load.RaiseLimit(r.Limit())
	p.countRamps()
	if p.kept[s.Group] {
		p.log.Info("pool: ramp ended", "endpoint", string(s.ID), "group", string(s.Group), "why", string(r.Cause()), "end", string(end),
			"took_ms", (now - r.Began()).Milliseconds(), "limit", r.Limit(), "steps_down", r.StepsDown())
	}
}

func (p *Pool) countRamps() {
	n := int64(0)
	for _, s := range p.endpoints {
		if s.warm.ramp != nil {
			n++
		}
	}
	p.metrics.Gauge("endpoints_ramping", n)
}

// expireRamp ends a ramp that has lasted too long, for example because no statement
// was sent to the endpoint.
func (p *Pool) expireRamp(s *endpointState, now time.Duration) {
	if s.warm.ramp != nil {
		if end := s.warm.ramp.Expired(now); end != warmup.Running {
			p.endRamp(s, end, now)
		}
	}
}

// reached records that the endpoint answered an attempt to connect. One that was unreachable
// before begins a ramp.
func (p *Pool) reached(s *endpointState, now time.Duration) {
	if s.unreachable {
		p.beginRamp(s, warmup.Reachable, now)
	}
	s.recordAnswer(now)
}

// answered records that the endpoint answered a statement. One that was unreachable or did
// not answer statements before begins a ramp. A connection that opens does not show that
// statements are answered again.
func (p *Pool) answered(s *endpointState, now time.Duration) {
	if !s.unreachable && s.unresponsive(now) {
		p.beginRamp(s, warmup.Responsive, now)
	}
	p.reached(s, now)
}

// siblings returns the mean slowdown and failure rate of the other endpoints of the group
// that have answered recently; 0 if none has.
func (p *Pool) siblings(s *endpointState, now time.Duration) (slowdown, failureRate float64) {
	n := 0.0
	for _, e := range p.view.Endpoints[s.Group] {
		o := p.endpoints[e.ID]
		if o == nil || o == s || o.unreachable {
			continue
		}
		if d, ok := o.load.RecentSlowdown(now); ok {
			slowdown, failureRate, n = slowdown+d, failureRate+o.load.FailureRate(now), n+1
		}
	}
	return slowdown / max(1, n), failureRate / max(1, n)
}

// rampAnswer adapts the ramp of an endpoint to the answer to one of its statements, which
// took the given multiple of its estimated service time. slowdown is 0 if that is not known.
func (p *Pool) rampAnswer(s *endpointState, code stmt.Code, slowdown float64, now time.Duration) {
	r := s.warm.ramp
	if r == nil {
		return
	}
	siblings, failureRate := p.siblings(s, now)
	switch {
	case code == stmt.Busy, code == stmt.Failed && s.load.FailureRate(now) > failureRate+failureExcess:
		p.rampFailure(s, now)
	case code == stmt.OK && slowdown > 0:
		r.SetFull(s.load.MaxInFlight())
		a := warmup.Answer{Slowdown: slowdown, Siblings: siblings, InFlight: s.load.InFlight, Waiting: p.group(s.Group).waiting.length() > 0}
		before := r.StepsDown()
		if end := r.RecordAnswer(now, a); end != warmup.Running {
			p.endRamp(s, end, now)
		}
		if r.StepsDown() > before {
			p.metrics.Count("ramp_steps_down")
		}
	}
}

// rampFailure records that the endpoint refused a statement or lost an answer.
func (p *Pool) rampFailure(s *endpointState, now time.Duration) {
	if r := s.warm.ramp; r != nil {
		before := r.StepsDown()
		r.RecordFailure(now)
		if r.StepsDown() > before {
			p.metrics.Count("ramp_steps_down")
		}
	}
}

// notePosition records the log position that an endpoint reports. A replica that is behind
// what it had in an earlier term was rolled back.
func (p *Pool) notePosition(s *endpointState, at fleet.LogPosition, now time.Duration) {
	if at.Term > s.warm.position.Term && at.Position < s.warm.position.Position {
		p.beginRamp(s, warmup.RolledBack, now)
	}
	s.warm.position = s.warm.position.Max(at)
}
