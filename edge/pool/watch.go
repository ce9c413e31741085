package pool

import (
	"context"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// MonitorEndpoints notices endpoints that owe answers and tries again to reach those that
// were unreachable, until ctx ends.
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
			if s.probing {
				continue
			}
			if s.unreachable && now >= s.lastProbe+unreachableRetryInterval || s.responseOverdue(now) {
				s.probing = true
				due = append(due, s)
			}
		}
		p.dispatch() // pauses may have ended
		p.mu.Unlock()
		for _, s := range due {
			go p.probe(s)
		}
	}
}

// responseOverdue reports whether the endpoint responseOverdue an answer for so long, with none to
// any statement meanwhile, that its address should be tried.
func (s *endpointState) responseOverdue(now time.Duration) bool {
	if now < s.lastResponse+responseOverdueAfter || now < s.lastProbe+responseOverdueAfter {
		return false
	}
	for c := range s.leased {
		if c.inFlight && now >= c.startedAt+responseOverdueAfter {
			return true
		}
	}
	return false
}

// StartProbe tries an endpoint's address soon.
func (p *Pool) StartProbe(id fleet.EndpointID) {
	p.mu.Lock()
	s := p.endpoints[id]
	if s == nil || s.probing {
		p.mu.Unlock()
		return
	}
	s.probing = true
	p.mu.Unlock()
	go p.probe(s)
}

// probeAttempts is how often an address must fail in a row before the endpoint
// counts as unreachable; a single lost packet fails one attempt.
const probeAttempts = 2

func (p *Pool) probe(s *endpointState) {
	start := p.clock.Now()
	p.mu.Lock()
	addr := s.Addr
	p.mu.Unlock()
	var err error
	for range probeAttempts {
		if err = p.dialer.Probe(addr); err == nil {
			break
		}
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.probing, s.lastProbe = false, now
	wasDown := s.unreachable
	if err == nil {
		s.failingSince, s.unreachable = 0, false
		if wasDown {
			s.lostResponses = 0
		}
		s.rtt = min(s.rtt, now-start)
		if wasDown {
			p.log.Info("pool: endpoint reached again", "endpoint", string(s.ID))
		}
		p.dispatch()
		return
	}
	if s.lastResponse > start {
		return // an answer came meanwhile
	}
	if s.failingSince == 0 {
		s.failingSince = start
	}
	s.unreachable = true
	if !wasDown {
		p.log.Warn("pool: endpoint unreachable", "endpoint", string(s.ID), "error", err.Error(),
			"last_answer_ms", (now - s.lastResponse).Milliseconds(), "in_flight", s.load.InFlight)
		p.metrics.Count("endpoints_lost")
		p.closeIdle(s)
		for c := range s.leased {
			if c.RawConn != nil {
				c.RawConn.Close()
			}
		}
	}
}

const (
	// minLostResponses and lostFor make an endpoint that accepts connections count as
	// failing: that many answers lost and none received since the first of them,
	// that long ago. An endpoint that loses a part of its answers gives some in
	// between.
	minLostResponses = 3
	minSilence       = 500 * time.Millisecond
	// lostResponseExpiry is how long after the last loss the endpoint still counts as
	// failing: most instances of a fleet of 36 send a primary a statement within
	// this time.
	lostResponseExpiry = 5 * time.Second
)

// unresponsive reports whether the endpoint accepts connections and answers nothing.
func (s *endpointState) unresponsive(now time.Duration) bool {
	return s.lostResponses >= minLostResponses && now >= s.firstLost+minSilence && now < s.lastLost+lostResponseExpiry
}

// FailingSince returns since when an endpoint cannot be reached or answers nothing.
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

// Reachable tries an endpoint for another instance, unless it has answered
// lately, or answers nothing here either.
func (p *Pool) Reachable(id fleet.EndpointID, addr string) bool {
	now := p.clock.Now()
	p.mu.Lock()
	s := p.endpoints[id]
	recent := s != nil && !s.unreachable && s.failingSince == 0 && s.lostResponses == 0 && now < s.lastResponse+responseOverdueAfter && s.lastResponse > 0
	failed := s != nil && (s.unreachable && now < s.lastProbe+responseOverdueAfter || s.unresponsive(now))
	p.mu.Unlock()
	return recent || !failed && p.dialer.Probe(addr) == nil
}
