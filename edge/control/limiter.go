package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
	// grantTimeout bounds one call for tokens: several round trips between data
	// centres. Times grantAttempts it stays below the shortest latency objective of
	// a route (150 ms).
	grantTimeout = 60 * time.Millisecond
	// grantAttempts covers a lost packet, which TCP retransmits only after 200 ms:
	// the second call uses another connection.
	grantAttempts = 2
	// firstContactWait bounds the wait of an operation for the home of its account
	// while the instance starts.
	firstContactWait = 200 * time.Millisecond
)

// Limiter admits operations of client accounts on this instance, and grants tokens
// to other instances for the accounts whose home is this instance. See package
// ratelimit.
type Limiter struct {
	clock   *clock.Clock
	metrics *telemetry.Metrics

	// onHomeDown is called when a home refuses connections, or the home is leaving, so
	// that the next home is assigned at once.
	onHomeDown func(p *peer)

	mu      sync.Mutex
	buckets *ratelimit.Limiter
	// homes and requests are by client account.
	homes    map[fleet.AccountID]accountHome
	requests map[fleet.AccountID]*tokenRequest
	// members, inContact and accountsChanged tell whether the homes have to be
	// assigned again.
	members                    []ratelimit.Member
	inContact, accountsChanged bool
	// firstContact is closed when this instance first has contact with the others;
	// hadContact is set then.
	firstContact chan struct{}
	hadContact   bool
}

type accountHome struct {
	// peer is nil if this instance is the home or none is known.
	peer *peer
	// fallbackFraction is the fraction of the rate that each instance admits if the
	// home does not answer and all ask for the same.
	fallbackFraction float64
}

// tokenRequest collects the operations of an account that wait for a token, so that
// one call to the home serves all of them.
type tokenRequest struct {
	waiting []chan ratelimit.Decision
	// running is set while requestTokens runs for the account.
	running bool
}

// NewLimiter returns a limiter without accounts; firstStart is passed on to
// ratelimit.New.
func NewLimiter(c *clock.Clock, m *telemetry.Metrics, firstStart bool, t catalog.Tolerance) *Limiter {
	return &Limiter{clock: c, metrics: m, buckets: ratelimit.New(c.Now(), firstStart, t, rand.Float64), homes: map[fleet.AccountID]accountHome{}, requests: map[fleet.AccountID]*tokenRequest{},
		firstContact: make(chan struct{})}
}

// Admit decides on one operation of a client account. It may wait for a call to the
// account's home, and never returns ratelimit.AskHome.
func (l *Limiter) Admit(now time.Duration, account fleet.AccountID) ratelimit.Decision {
	l.mu.Lock()
	d := l.buckets.Admit(now, account)
	if d == ratelimit.RefusedHomeUnreachable && !l.hadContact {
		l.mu.Unlock()
		select {
		case <-l.firstContact:
		case <-time.After(firstContactWait):
		}
		l.mu.Lock()
		d = l.buckets.Admit(l.clock.Now(), account)
	}
	if d != ratelimit.AskHome {
		l.mu.Unlock()
		return d
	}
	r := l.requests[account]
	if r == nil {
		r = &tokenRequest{}
		l.requests[account] = r
	}
	decision := make(chan ratelimit.Decision, 1)
	r.waiting = append(r.waiting, decision)
	start := !r.running
	r.running = true
	l.mu.Unlock()
	if start {
		// requestTokens also serves the operations of the account that arrive while
		// it runs. It has its own goroutine, so that this operation returns as soon
		// as its own decision is made.
		go l.requestTokens(account, r)
	}
	return <-decision
}

// requestTokens requests tokens from the home until no operation of the account
// waits.
func (l *Limiter) requestTokens(account fleet.AccountID, r *tokenRequest) {
	for {
		l.mu.Lock()
		waiting := r.waiting
		r.waiting = nil
		if len(waiting) == 0 {
			r.running = false
			delete(l.requests, account)
			l.mu.Unlock()
			return
		}
		h := l.homes[account]
		start := l.clock.Now()
		if h.peer == nil {
			// This instance has become the home since Admit, or no home is known.
			for _, w := range waiting {
				d := l.buckets.Admit(start, account)
				if d == ratelimit.AskHome {
					d = ratelimit.RefusedHomeUnreachable
				}
				w <- d
			}
			l.mu.Unlock()
			continue
		}
		req := &peerrpc.GrantRequest{Account: account, RequestedTokens: l.buckets.TokensToRequest(start, account, len(waiting))}
		if k := l.buckets.KnownLevel(start, account); k != nil {
			req.KnownLevel = &peerrpc.KnownLevel{Tokens: k.Tokens, AgeMS: k.Age.Milliseconds() + 1}
		}
		l.mu.Unlock()

		got, err := requestGrant(h.peer, req)
		if err == nil && got.NotHome {
			err = errNotHome
		}
		if err == nil && got.Leaving || errors.Is(err, peerrpc.ErrRefused) {
			l.onHomeDown(h.peer)
			if l.homePeer(account) != h.peer {
				l.mu.Lock()
				r.waiting = append(waiting, r.waiting...)
				l.mu.Unlock()
				continue
			}
		}
		l.mu.Lock()
		now := l.clock.Now()
		admitted, refusal := 0, ratelimit.Refused
		if err == nil {
			l.metrics.Count("token_calls")
			admitted = l.buckets.HandleGrant(start, now, account, ratelimit.GrantResult{Granted: got.Tokens,
				RetryAfter: time.Duration(got.RetryMS) * time.Millisecond, Level: got.Level, TotalRate: got.TotalRate}, len(waiting))
		} else {
			l.metrics.Count("token_calls_failed")
			refusal = ratelimit.RefusedHomeUnreachable
			l.accountsChanged = true // the account counts as without a home until the homes are assigned again
			for admitted < len(waiting) && l.buckets.AdmitWithoutHome(now, account, h.fallbackFraction) {
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

// errNotHome means that the instance called does not take itself for the home: it has
// learned later than this one, or has not yet, that another instance is gone.
var errNotHome = errors.New("control: the instance is not the home of the account; ask again after the next exchange")

// requestGrant calls a home for tokens, up to grantAttempts times.
func requestGrant(p *peer, req *peerrpc.GrantRequest) (res *peerrpc.GrantResponse, err error) {
	for range grantAttempts {
		call, cancel := context.WithTimeout(context.Background(), grantTimeout)
		res, err = p.client.Grant(call, req)
		cancel()
		if err == nil || errors.Is(err, peerrpc.ErrRefused) {
			break
		}
	}
	return res, err
}

func (l *Limiter) homePeer(account fleet.AccountID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.homes[account].peer
}

// Grant gives out up to want tokens of an account whose home is this instance, see
// ratelimit.Limiter.Grant.
func (l *Limiter) Grant(account fleet.AccountID, want int, known *ratelimit.Level) (ratelimit.GrantResult, ratelimit.GrantStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.Grant(l.clock.Now(), account, want, known)
}

// started reports whether this instance has had contact with the others, so that it
// knows which accounts it is the home of.
func (l *Limiter) started() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hadContact
}

// AddTokens adds the tokens that a former home has handed on.
func (l *Limiter) AddTokens(tokens map[fleet.AccountID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range tokens {
		l.buckets.AcceptHandover(l.clock.Now(), id, n)
	}
}

// SetAccounts installs the rate limits in force.
func (l *Limiter) SetAccounts(now time.Duration, accounts map[fleet.AccountID]catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.SetAccounts(now, accounts)
	l.accountsChanged = true
}

// assignHomes assigns a home to each client account. It returns the tokens to hand
// on to the new homes of accounts whose home was this instance. inContact is false if
// the other instances may take this one for absent; it is no home then.
func (l *Limiter) assignHomes(now time.Duration, self fleet.InstanceID, inContact bool, members []ratelimit.Member, peers map[fleet.InstanceID]*peer) map[*peer]map[fleet.AccountID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if inContact == l.inContact && !l.accountsChanged && slices.Equal(members, l.members) {
		return nil
	}
	l.inContact, l.accountsChanged, l.members = inContact, false, members
	if inContact && !l.hadContact {
		l.hadContact = true
		// The homes are assigned when this function returns, which the waiting
		// operations notice after it has released the lock.
		close(l.firstContact)
	}
	var handOff map[*peer]map[fleet.AccountID]float64
	located := ratelimit.NewHomes(self, members)
	for _, id := range l.buckets.Accounts() {
		home, state, fraction := located.Locate(id)
		if state == ratelimit.HomeLocal && !inContact {
			state, fraction = ratelimit.HomeUnreachable, 1/float64(max(1, len(members)))
		}
		next := peers[home]
		if n := l.buckets.SetHome(now, id, state, fraction); n >= 1 && next != nil {
			if handOff == nil {
				handOff = map[*peer]map[fleet.AccountID]float64{}
			}
			if handOff[next] == nil {
				handOff[next] = map[fleet.AccountID]float64{}
			}
			handOff[next][id] = n
		}
		l.homes[id] = accountHome{peer: next, fallbackFraction: 1 / float64(max(1, len(members)))}
	}
	return handOff
}
