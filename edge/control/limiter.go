package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/share"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/exchange"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
)

// askTimeout bounds a call for tokens; it is several round trips between data
// centres, and well below the shortest objective of a route.
const askTimeout = 60 * time.Millisecond

// Limiter admits operations for traffic and gives out tokens as home.
type Limiter struct {
	clock   *clock.Clock
	metrics *telemetry.Metrics

	mu    sync.Mutex
	l     *share.Limiter
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
	waiting []chan bool
	running bool
}

// NewLimiter returns a limiter without accounts.
func NewLimiter(c *clock.Clock, m *telemetry.Metrics, firstStart bool, t share.Tolerance) *Limiter {
	return &Limiter{clock: c, metrics: m, l: share.New(firstStart, t), homes: map[fleet.AccountID]home{}, asks: map[fleet.AccountID]*ask{}}
}

// Admit takes one operation of an account. It may wait for a call to another
// instance.
func (l *Limiter) Admit(now time.Duration, account fleet.AccountID) bool {
	l.mu.Lock()
	switch l.l.Admit(now, account) {
	case share.Admitted:
		l.mu.Unlock()
		return true
	case share.Refused:
		l.mu.Unlock()
		return false
	}
	a := l.asks[account]
	if a == nil {
		a = &ask{}
		l.asks[account] = a
	}
	answer := make(chan bool, 1)
	a.waiting = append(a.waiting, answer)
	start := !a.running
	a.running = true
	l.mu.Unlock()
	if start {
		l.askHome(account, a)
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
		want := l.l.Want(start, account, len(waiting))
		l.mu.Unlock()

		var got *exchange.Granted
		err := errNoHome
		if h.peer != nil {
			call, cancel := context.WithTimeout(context.Background(), askTimeout)
			got, err = h.peer.client.Grant(call, &exchange.Grant{Account: account, Want: want})
			cancel()
		}
		l.mu.Lock()
		now := l.clock.Now()
		admitted := 0
		if err == nil {
			l.metrics.Count("token_calls")
			admitted = l.l.Granted(start, now, account, got.Tokens, len(waiting), time.Duration(got.RetryMS)*time.Millisecond)
		} else {
			l.metrics.Count("token_calls_failed")
			for admitted < len(waiting) && l.l.Alone(now, account, h.alone) {
				admitted++
			}
		}
		l.mu.Unlock()
		for i, w := range waiting {
			w <- i < admitted
		}
	}
}

var errNoHome = errors.New("control: the account's home is not known yet; it is asked after the next exchange")

// Grant gives out tokens as home.
func (l *Limiter) Grant(account fleet.AccountID, want int) (int, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.l.Grant(l.clock.Now(), account, want)
}

// SetAccounts installs the limits in force.
func (l *Limiter) SetAccounts(now time.Duration, accounts map[fleet.AccountID]catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l.SetAccounts(now, accounts)
}

// place assigns the homes.
func (l *Limiter) place(now time.Duration, self fleet.InstanceID, members []share.Member, peers map[fleet.InstanceID]*peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.l.Accounts() {
		at, p, fraction := share.Home(self, id, members)
		l.l.SetPlace(now, id, p, fraction)
		l.homes[id] = home{peer: peers[at], alone: 1 / float64(max(1, len(members)))}
	}
}
