package ratelimit

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Snapshot returns a limiter with a copy of one account, to learn what a decision would be:
// decisions on the copy leave l unchanged. A part of a token admits there.
func (l *Limiter) Snapshot(id fleet.AccountID) *Limiter {
	c := *l
	c.accounts, c.random = map[fleet.AccountID]*account{}, func() float64 { return 0 }
	if b := l.accounts[id]; b != nil {
		copied := *b
		c.accounts[id] = &copied
	}
	return &c
}

// Account is what an instance knows of an account.
type Account struct {
	Home HomeState
	// Tokens can be spent without asking the home.
	Tokens float64
	// Level is the last known level of the bucket, nil if none is known.
	Level *Level
}

// Inspect returns what is known of an account, and false if it has no limits here.
func (l *Limiter) Inspect(now time.Duration, id fleet.AccountID) (Account, bool) {
	b := l.Snapshot(id).accounts[id]
	if b == nil {
		return Account{}, false
	}
	b.refill(now)
	a := Account{Home: b.home, Tokens: b.tokens}
	if now <= b.prefetchedExpiry {
		a.Tokens += b.prefetched
	}
	if b.levelKnown {
		a.Level = &Level{Tokens: b.level, Age: max(0, now-b.levelAt)}
	}
	return a, true
}
