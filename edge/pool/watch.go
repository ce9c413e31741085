package pool

import (
	"context"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// MonitorEndpoints notices endpoints that owe answers and tries again to reach those that
// were unreachable, until ctx ends.
func (p *Pool) MonitorEndpoints(ctx context.Context) {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := p.clock.Now()
		p.mu.Lock()
		var due []*server
		for _, s := range p.servers {
			if s.checking {
				continue
			}
			if s.down && now >= s.checked+retryDown || s.owes(now) {
				s.checking = true
				due = append(due, s)
			}
		}
		p.dispatch() // pauses may have ended
		p.mu.Unlock()
		for _, s := range due {
			go p.check(s)
		}
	}
}

// owes reports whether the endpoint owes an answer for so long, with none to
// any statement meanwhile, that its address should be tried.
func (s *server) owes(now time.Duration) bool {
	if now < s.answered+answersDue || now < s.checked+answersDue {
		return false
	}
	for c := range s.leased {
		if c.running && now >= c.started+answersDue {
			return true
		}
	}
	return false
}

// StartProbe tries an endpoint's address soon.
func (p *Pool) StartProbe(id fleet.EndpointID) {
	p.mu.Lock()
	s := p.servers[id]
	if s == nil || s.checking {
		p.mu.Unlock()
		return
	}
	s.checking = true
	p.mu.Unlock()
	go p.check(s)
}

// checkAttempts is how often an address must fail in a row before the endpoint
// counts as unreachable; a single lost packet fails one attempt.
const checkAttempts = 2

func (p *Pool) check(s *server) {
	start := p.clock.Now()
	p.mu.Lock()
	addr := s.Addr
	p.mu.Unlock()
	var err error
	for range checkAttempts {
		if err = p.dialer.Probe(addr); err == nil {
			break
		}
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.checking, s.checked = false, now
	wasDown := s.down
	if err == nil {
		s.failing, s.down = 0, false
		if wasDown {
			s.lost = 0
		}
		s.rtt = min(s.rtt, now-start)
		if wasDown {
			p.log.Info("pool: endpoint reached again", "endpoint", string(s.ID))
		}
		p.dispatch()
		return
	}
	if s.answered > start {
		return // an answer came meanwhile
	}
	if s.failing == 0 {
		s.failing = start
	}
	s.down = true
	if !wasDown {
		p.log.Warn("pool: endpoint unreachable", "endpoint", string(s.ID), "error", err.Error(),
			"last_answer_ms", (now - s.answered).Milliseconds(), "in_flight", s.load.InFlight)
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
	// lostInRow and lostFor make an endpoint that accepts connections count as
	// failing: that many answers lost and none received since the first of them,
	// that long ago. An endpoint that loses a part of its answers gives some in
	// between.
	lostInRow = 3
	lostFor   = 500 * time.Millisecond
	// lostFresh is how long after the last loss the endpoint still counts as
	// failing: most instances of a fleet of 36 send a primary a statement within
	// this time.
	lostFresh = 5 * time.Second
)

// mute reports whether the endpoint accepts connections and answers nothing.
func (s *server) mute(now time.Duration) bool {
	return s.lost >= lostInRow && now >= s.lostSince+lostFor && now < s.lostLast+lostFresh
}

// FailingSince returns since when an endpoint cannot be reached or answers nothing.
func (p *Pool) FailingSince(id fleet.EndpointID) (since time.Duration, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	switch {
	case s == nil:
		return 0, false
	case s.failing > 0:
		return s.failing, true
	case s.mute(p.clock.Now()):
		return s.lostSince, true
	}
	return 0, false
}

// Reachable tries an endpoint for another instance, unless it has answered
// lately, or answers nothing here either.
func (p *Pool) Reachable(id fleet.EndpointID, addr string) bool {
	now := p.clock.Now()
	p.mu.Lock()
	s := p.servers[id]
	recent := s != nil && !s.down && s.failing == 0 && s.lost == 0 && now < s.answered+answersDue && s.answered > 0
	failed := s != nil && (s.down && now < s.checked+answersDue || s.mute(now))
	p.mu.Unlock()
	return recent || !failed && p.dialer.Probe(addr) == nil
}
