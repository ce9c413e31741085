package pool

import (
	"context"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/warmup"
)

// MonitorEndpoints probes endpoints with overdue answers and endpoints that were
// unreachable, until ctx is done.
func (p *Pool) MonitorEndpoints(ctx context.Context) {
	t := time.NewTicker(monitorInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := p.clock.Now()
		p.mu.Lock()
		var due []*endpointState
		for _, s := range p.endpoints {
			p.closeUnkept(s, now)
			p.enforceEvacuation(s, now)
			p.expireRamp(s, now)
			if s.probing || !p.mayProbe(s) {
				continue
			}
			if s.unreachable && now >= s.lastProbe+unreachableRetryInterval || s.answerOverdue(now) {
				s.probing = true
				due = append(due, s)
			}
		}
		p.serveWaiters() // connection limit and lag pauses may have ended
		p.mu.Unlock()
		for _, s := range due {
			go p.probe(s)
		}
	}
}

// answerOverdue reports whether a statement has waited for its answer for
// answerOverdueAfter while the endpoint sent no other one, so that its address
// should be probed.
func (s *endpointState) answerOverdue(now time.Duration) bool {
	if now < s.lastAnswer+answerOverdueAfter || now < s.lastProbe+answerOverdueAfter {
		return false
	}
	for c := range s.inUse {
		if c.active && now >= c.startedAt+answerOverdueAfter {
			return true
		}
	}
	return false
}

// StartProbe probes an endpoint's address in the background, unless a probe is
// already running.
func (p *Pool) StartProbe(id fleet.EndpointID) {
	p.mu.Lock()
	s := p.endpoints[id]
	if s == nil || s.probing || !p.mayProbe(s) {
		p.mu.Unlock()
		return
	}
	s.probing = true
	p.mu.Unlock()
	go p.probe(s)
}

// probeAttempts is the number of consecutive failures after which an endpoint
// counts as unreachable. A single lost packet makes one attempt fail.
const probeAttempts = 2

func (p *Pool) probe(s *endpointState) {
	start := p.clock.Now()
	p.mu.Lock()
	addr := s.Addr
	p.mu.Unlock()
	var err error
	for range probeAttempts {
		if p.evacuationBegan(s) {
			p.mu.Lock()
			s.probing = false
			p.mu.Unlock()
			return
		}
		if err = p.dialer.Probe(addr); err == nil {
			break
		}
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.probing, s.lastProbe = false, now
	wasUnreachable := s.unreachable
	if err == nil {
		s.failingSince, s.unreachable = 0, false
		if wasUnreachable {
			p.beginRamp(s, warmup.Reachable, now)
			s.suspectRestart(now)
			s.lostAnswers = 0
		}
		s.rtt = min(s.rtt, now-start)
		if wasUnreachable {
			p.log.Info("pool: endpoint reachable again", "endpoint", string(s.ID))
		}
		p.serveWaiters()
		return
	}
	if s.lastAnswer > start {
		return // an answer arrived while the probe ran
	}
	if s.failingSince == 0 {
		s.failingSince = start
	}
	s.unreachable = true
	if !wasUnreachable {
		p.log.Warn("pool: endpoint unreachable", "endpoint", string(s.ID), "error", err.Error(),
			"last_answer_ms", (now - s.lastAnswer).Milliseconds(), "in_flight", s.load.InFlight)
		p.metrics.Count("endpoints_lost")
		p.closeIdle(s)
		for c := range s.inUse {
			if c.RawConn != nil {
				c.RawConn.Close()
			}
		}
	}
}

const (
	// An endpoint that accepts connections counts as failing if at least
	// minLostAnswers answers were lost in a row, none was received since the
	// first loss, and that was at least minSilence ago. An endpoint that loses
	// only some of its answers delivers others in between.
	minLostAnswers = 3
	minSilence     = 500 * time.Millisecond
	// lostAnswerExpiry is how long after the last loss the endpoint still counts
	// as failing. In a fleet of 36, most instances send a primary a statement
	// within this time.
	lostAnswerExpiry = 5 * time.Second
)

// unresponsive reports whether the endpoint accepts connections but sends no
// answers.
func (s *endpointState) unresponsive(now time.Duration) bool {
	return s.lostAnswers >= minLostAnswers && now >= s.firstLost+minSilence && now < s.lastLost+lostAnswerExpiry
}

// FailingSince returns since when an endpoint has been unreachable or unresponsive,
// or false if it is neither.
func (p *Pool) FailingSince(id fleet.EndpointID) (since time.Duration, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[id]
	switch {
	case s == nil:
		return 0, false
	case s.failingSince > 0:
		return s.failingSince, true
	case s.unresponsive(p.clock.Now()):
		return s.firstLost, true
	}
	return 0, false
}

// Reachable reports, on behalf of another instance, whether an endpoint can be
// reached. It probes the address unless the endpoint has responded recently, or
// is known here to be unreachable or unresponsive.
func (p *Pool) Reachable(id fleet.EndpointID, addr string) bool {
	now := p.clock.Now()
	p.mu.Lock()
	s := p.endpoints[id]
	recent := s != nil && !s.unreachable && s.failingSince == 0 && s.lostAnswers == 0 && now < s.lastAnswer+answerOverdueAfter && s.lastAnswer > 0
	failed := s != nil && (!p.mayProbe(s) || s.unreachable && now < s.lastProbe+answerOverdueAfter || s.unresponsive(now))
	p.mu.Unlock()
	return recent || !failed && p.dialer.Probe(addr) == nil
}
