package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
)

const (
	// askTimeout bounds a call for tokens: several round trips between data
	// centres. With askAttempts it stays below the shortest objective of a route
	// (150 ms).
	askTimeout = 60 * time.Millisecond
	// askAttempts covers a lost packet, which TCP repeats only after 200 ms: the
	// second call takes another connection.
	askAttempts = 2
)

// Limiter admits operations for traffic and gives out tokens as home.
type Limiter struct {
	clock   *clock.Clock
	metrics *telemetry.Metrics

	// lost is told of a home that does not run, so that the next one is known
	// at once.
	lost func(p *peer)

	mu    sync.Mutex
	l     *ratelimit.Limiter
	homes map[fleet.AccountID]home
	asks  map[fleet.AccountID]*ask
}

type home struct {
	peer *peer
	// alone is the fraction of the rate to use if the home does not answer.
	alone float64
}

// ask collects the operations of an account that wait for a token.
type ask struct {
	waiting []chan ratelimit.Decision
	running bool
}

// NewLimiter returns a limiter without accounts.
func NewLimiter(c *clock.Clock, m *telemetry.Metrics, firstStart bool, t catalog.Tolerance) *Limiter {
	return &Limiter{clock: c, metrics: m, l: ratelimit.New(firstStart, t), homes: map[fleet.AccountID]home{}, asks: map[fleet.AccountID]*ask{}}
}

// Admit takes one operation of an account. It may wait for a call to another
// instance, and never returns share.Ask.
func (l *Limiter) Admit(now time.Duration, account fleet.AccountID) ratelimit.Decision {
	l.mu.Lock()
	if d := l.l.Admit(now, account); d != ratelimit.AskHome {
		l.mu.Unlock()
		return d
	}
	a := l.asks[account]
	if a == nil {
		a = &ask{}
		l.asks[account] = a
	}
	answer := make(chan ratelimit.Decision, 1)
	a.waiting = append(a.waiting, answer)
	start := !a.running
	a.running = true
	l.mu.Unlock()
	if start {
		// The caller must not have to serve those that come after it.
		go l.askHome(account, a)
	}
	return <-answer
}

// askHome calls the home until no operation waits.
func (l *Limiter) askHome(account fleet.AccountID, a *ask) {
	for {
		l.mu.Lock()
		waiting := a.waiting
		a.waiting = nil
		if len(waiting) == 0 {
			a.running = false
			delete(l.asks, account)
			l.mu.Unlock()
			return
		}
		h := l.homes[account]
		start := l.clock.Now()
		if h.peer == nil {
			// This instance has become the home meanwhile, or none is known.
			for _, w := range waiting {
				d := l.l.Admit(start, account)
				if d == ratelimit.AskHome {
					d = ratelimit.RefusedHomeUnreachable
				}
				w <- d
			}
			l.mu.Unlock()
			continue
		}
		want := l.l.TokensToRequest(start, account, len(waiting))
		l.mu.Unlock()

		got, err := grant(h.peer, &peerrpc.GrantRequest{Account: account, RequestedTokens: want})
		if errors.Is(err, peerrpc.ErrNotRunning) {
			l.lost(h.peer)
			if l.home(account) != h.peer {
				l.mu.Lock()
				a.waiting = append(waiting, a.waiting...)
				l.mu.Unlock()
				continue
			}
		}
		l.mu.Lock()
		now := l.clock.Now()
		admitted, refusal := 0, ratelimit.Refused
		if err == nil {
			l.metrics.Count("token_calls")
			admitted = l.l.HandleGrant(start, now, account, got.Tokens, len(waiting), time.Duration(got.RetryMS)*time.Millisecond)
		} else {
			l.metrics.Count("token_calls_failed")
			refusal = ratelimit.RefusedHomeUnreachable
			for admitted < len(waiting) && l.l.AdmitWithoutHome(now, account, h.alone) {
				admitted++
			}
		}
		l.mu.Unlock()
		for i, w := range waiting {
			if i < admitted {
				w <- ratelimit.Admitted
			} else {
				w <- refusal
			}
		}
	}
}

// grant asks a home for tokens.
func grant(p *peer, g *peerrpc.GrantRequest) (got *peerrpc.GrantResponse, err error) {
	for range askAttempts {
		call, cancel := context.WithTimeout(context.Background(), askTimeout)
		got, err = p.client.Grant(call, g)
		cancel()
		if err == nil || errors.Is(err, peerrpc.ErrNotRunning) {
			break
		}
	}
	return got, err
}

func (l *Limiter) home(account fleet.AccountID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.homes[account].peer
}

// Grant gives out tokens as home.
func (l *Limiter) Grant(account fleet.AccountID, want int) (int, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.l.Grant(l.clock.Now(), account, want)
}

// AddTokens adds the tokens that former homes have left.
func (l *Limiter) AddTokens(tokens map[fleet.AccountID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range tokens {
		l.l.AcceptHandover(l.clock.Now(), id, n)
	}
}

// SetAccounts installs the limits in force.
func (l *Limiter) SetAccounts(now time.Duration, accounts map[fleet.AccountID]catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l.SetAccounts(now, accounts)
}

// place assigns the homes. It returns the tokens that are left here for the
// next homes.
func (l *Limiter) place(now time.Duration, self fleet.InstanceID, members []ratelimit.Member, peers map[fleet.InstanceID]*peer) map[*peer]map[fleet.AccountID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var left map[*peer]map[fleet.AccountID]float64
	for _, id := range l.l.Accounts() {
		at, p, fraction := ratelimit.LocateHome(self, id, members)
		next := peers[at]
		if n := l.l.SetHome(now, id, p, fraction); n >= 1 && next != nil {
			if left == nil {
				left = map[*peer]map[fleet.AccountID]float64{}
			}
			if left[next] == nil {
				left[next] = map[fleet.AccountID]float64{}
			}
			left[next][id] = n
		}
		l.homes[id] = home{peer: next, alone: 1 / float64(max(1, len(members)))}
	}
	return left
}
