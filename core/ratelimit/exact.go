package ratelimit

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// An exact limiter keeps a bound in every window, at the price of granting nothing while
// it is unclear which instance is the home. It is used where being without tokens costs
// little: other endpoints serve what a cold one may not.
//
// A home grants only while it has had contact with the fleet recently, so that the others
// cannot have taken it for absent. A new home begins with an empty bucket, after as long
// as an earlier home that was cut off or suspended may go on. An instance without a home
// admits nothing.

// startJitter is for how long, as a share of the window, a token may be on its way: from
// its use to the arrival of the statement at the endpoint.
const startJitter = 0.25

// turnTime is how long an exact home leaves the next token to the instances that were
// refused one, or to itself. Without turns the home, which knows when the next token comes,
// took all of them.
const turnTime = 100 * time.Millisecond

// exactness is the state of an exact limiter.
type exactness struct {
	// wait is how long a new home grants nothing.
	wait time.Duration
	// validUntil is until when this instance cannot count as absent.
	validUntil time.Duration
	// settledAt is when the instances that can be homes last changed.
	settledAt time.Duration
}

// MakeExact makes the limiter exact. wait is the longest time for which an earlier home may
// grant tokens after another instance has become the home. Call it before SetAccounts.
func (l *Limiter) MakeExact(wait time.Duration) {
	l.exact = &exactness{wait: wait, settledAt: l.startedAt}
}

// SetContact tells an exact limiter until when this instance cannot count as absent, and
// whether the instances that can be homes have changed.
func (l *Limiter) SetContact(now, validUntil time.Duration, changed bool) {
	if now >= l.exact.validUntil || changed {
		// After a time without contact it is as if all homes were new.
		l.exact.settledAt = now
		for _, b := range l.accounts {
			if now >= l.exact.validUntil && b.home == HomeLocal {
				b.startAt(now + l.exact.wait)
			}
		}
	}
	l.exact.validUntil = validUntil
}

// beginExact sets the tokens after a change of the home's state. An account that is new
// while the homes have not changed for long has had no other home.
func (l *Limiter) beginExact(now time.Duration, b *account, state HomeState) {
	b.tokens, b.prefetched = 0, 0
	if state != HomeLocal {
		return
	}
	since := now
	if !b.homeKnown {
		since = l.exact.settledAt
	}
	b.startedAt, b.hasStarted, b.grantedHere = now, true, 0
	b.startAt(max(now, since+l.exact.wait))
}

// startAt makes an exact home begin with an empty bucket at a time.
func (b *account) startAt(at time.Duration) { b.readyAt, b.refilledAt, b.tokens = at, at, 0 }

func exactFraction(state HomeState) float64 {
	if state == HomeLocal {
		return 1
	}
	return 0
}

// mayGrant reports whether an exact home may grant tokens now.
func (l *Limiter) mayGrant(now time.Duration, b *account) bool {
	if b.home != HomeLocal || now < b.readyAt || now >= l.exact.validUntil {
		b.tokens = 0
		return false
	}
	return true
}

func (l *Limiter) grantExact(now time.Duration, b *account, want int) (GrantResult, GrantStatus) {
	if !l.mayGrant(now, b) {
		return GrantResult{RetryAfter: max(minRefusalTime, b.readyAt-now)}, Granted
	}
	left := 0.0
	if !b.lastHere && now < b.wantedHere {
		left = 1
	}
	b.tokens -= left
	r := b.grant(now, want)
	b.tokens += left
	if r.Granted > 0 {
		b.lastHere, b.wantedElsewhere = false, 0
	} else {
		r.RetryAfter = max(minRefusalTime, r.RetryAfter)
		b.wantedElsewhere = now + r.RetryAfter + turnTime
	}
	return r, Granted
}

// Want records that a statement of this instance waits for a token.
func (l *Limiter) Want(now time.Duration, id fleet.AccountID) {
	if b := l.accounts[id]; b != nil {
		b.wantedHere = now + turnTime
	}
}

// Available returns how many tokens of an account can be taken now without asking the home.
func (l *Limiter) Available(now time.Duration, id fleet.AccountID) int {
	b := l.accounts[id]
	switch {
	case b == nil:
		return 0
	case b.prefetched >= 1 && now <= b.prefetchedExpiry:
		return int(b.prefetched)
	case b.home != HomeLocal:
		return 0
	}
	b.refill(now)
	if l.exact != nil && !l.mayGrant(now, b) {
		return 0
	}
	if l.exact != nil && b.lastHere && now < b.wantedElsewhere {
		return max(0, int(b.tokens-1))
	}
	return int(b.tokens)
}

// NextToken returns after which time it is worth asking again for a token that is not
// available.
func (l *Limiter) NextToken(now time.Duration, id fleet.AccountID) time.Duration {
	b := l.accounts[id]
	if b == nil {
		return time.Second
	}
	next := b.refuseUntil - now
	if b.home == HomeLocal && b.limits.Rate > 0 {
		next = time.Duration((1 - b.tokens) / b.limits.Rate * float64(time.Second))
	}
	return max(minRefusalTime, min(next, time.Second))
}

// BoundedAccount returns the limits of an account for an exact limiter, with which at most
// the number of tokens that rate and tolerance allow in a window arrive in any window.
// Tokens are used up to their lifetime after they were granted.
func BoundedAccount(id fleet.AccountID, rate float64, t catalog.Tolerance) catalog.Account {
	// A bucket of b tokens that refills with r grants at most b + r*d tokens in a time d.
	// The next whole token must not be reached.
	allowed := math.Floor(rate*t.Window.Seconds()*(1+t.Factor)+t.ExtraOperations+1e-9) + 0.9
	d := t.Window.Seconds()*(1+startJitter) + newTiming(t).tokenTTL.Seconds()
	if allowed < 1 {
		return catalog.Account{ID: id}
	}
	burst := math.Max(1, allowed-rate*d)
	return catalog.Account{ID: id, Rate: math.Min(rate, (allowed-burst)/d), Burst: burst}
}

// MayAsk reports whether it is worth asking the home for tokens now.
func (l *Limiter) MayAsk(now time.Duration, id fleet.AccountID) bool {
	b := l.accounts[id]
	return b != nil && b.home == HomeRemote && now >= b.refuseUntil
}

// StoreGrant records the home's answer to a call that began at requestedAt, for tokens that
// are taken later.
func (l *Limiter) StoreGrant(requestedAt, now time.Duration, id fleet.AccountID, r GrantResult) {
	waiting := 0
	if r.Granted == 0 {
		waiting = 1
	}
	l.HandleGrant(requestedAt, now, id, r, waiting)
}

// AddAccount sets the limits of one account and leaves the others.
func (l *Limiter) AddAccount(now time.Duration, a catalog.Account) {
	if b := l.accounts[a.ID]; b != nil {
		b.refill(now)
		b.limits = a
		return
	}
	l.accounts[a.ID] = &account{timing: &l.timing, limits: a, home: HomeUnreachable, refilledAt: now, measuredAt: now}
}

// RemoveAccount forgets an account. An exact limiter may forget one at any time, since its
// bucket begins empty.
func (l *Limiter) RemoveAccount(id fleet.AccountID) { delete(l.accounts, id) }
