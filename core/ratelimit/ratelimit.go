// Package ratelimit keeps each client account within its rate and burst over all
// instances.
//
// Each account has a home: the first running instance by rendezvous hash. The
// home holds the account's only token bucket. The other instances ask it for
// tokens when an operation needs one, so that the whole burst is available
// wherever the operations arrive. An instance that can't reach the home admits
// 1/n of the rate by itself, where n is the number of running instances. The
// home reserves 1/n for every instance that it can't reach, so that the sum
// stays within the rate. A new home can't know how many tokens its predecessor
// has granted. So its bucket starts with a fraction of the tolerance of the
// limits; it starts full only when the whole fleet starts for the first time.
package ratelimit

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = time.Second
	// prefetchTime is the time for which an instance requests tokens in advance,
	// so that a busy account needs only a few calls a second.
	prefetchTime = 250 * time.Millisecond
	// tokenTTL is how long a token may be spent after it was requested.
	tokenTTL = 2 * time.Second
	// minRefusalTime is the shortest time for which an instance refuses without
	// asking after the home had too few tokens. It is about the time of a call
	// between data centres.
	minRefusalTime = 10 * time.Millisecond
	// startFraction is the fraction of the tolerance that a new home starts
	// with. Two new homes in one window, together with the half second until
	// all instances know a new home, stay within the tolerance.
	startFraction = 0.4
)

// startTokens returns the number of tokens that a new home starts with.
func startTokens(t catalog.Tolerance, a catalog.Account) float64 {
	return startFraction * (t.Factor*(a.Rate*t.Window.Seconds()+a.Burst) + t.ExtraOperations)
}

// HomeState is the state of an account's home as seen by this instance.
type HomeState uint8

// The states.
const (
	// HomeLocal: this instance is the home.
	HomeLocal HomeState = iota
	// HomeRemote: another instance is the home and can be asked.
	HomeRemote
	// HomeUnreachable: the home can't be reached, or none is known.
	HomeUnreachable
)

// Decision is the outcome of an operation's request for admission.
type Decision uint8

// The decisions.
const (
	// Refused: the account has used up its rate and burst.
	Refused Decision = iota
	// RefusedHomeUnreachable: the account's home can't be reached, and this
	// instance's fraction of the rate is used up.
	RefusedHomeUnreachable
	Admitted
	// AskHome: the caller has to ask the home for a token.
	AskHome
)

// Limiter decides on the operations that arrive at one instance, and grants
// tokens of the accounts whose home the instance is.
type Limiter struct {
	firstStart bool
	tolerance  catalog.Tolerance
	accounts   map[fleet.AccountID]*account
}

type account struct {
	limits catalog.Account
	home   HomeState
	// homeKnown is set once the home has been known. hasStarted is set once
	// this instance became the home and its bucket got its start tokens, at
	// startedAt.
	homeKnown, hasStarted bool
	startedAt             time.Duration
	// fraction is the fraction of the rate that refills the local bucket: what
	// the home may grant, or the fraction of an instance that can't reach it.
	fraction   float64
	tokens     float64
	refilledAt time.Duration
	// prefetched is the number of unspent tokens from the home. They expire at
	// prefetchedExpiry.
	prefetched       float64
	prefetchedExpiry time.Duration
	// refuseUntil is the time until which the home is known to have no token.
	refuseUntil time.Duration
	demand      float64
	measuredAt  time.Duration
}

// New returns a limiter without accounts.
func New(firstStart bool, t catalog.Tolerance) *Limiter {
	return &Limiter{firstStart: firstStart, tolerance: t, accounts: map[fleet.AccountID]*account{}}
}

// SetAccounts sets the limits in force.
func (l *Limiter) SetAccounts(now time.Duration, limits map[fleet.AccountID]catalog.Account) {
	for id := range l.accounts {
		if _, ok := limits[id]; !ok {
			delete(l.accounts, id)
		}
	}
	for id, a := range limits {
		b := l.accounts[id]
		if b == nil {
			// Nothing is admitted locally until the home is known.
			b = &account{home: HomeUnreachable, refilledAt: now, measuredAt: now}
			l.accounts[id] = b
		}
		b.refill(now)
		b.limits = a
		b.tokens = math.Min(b.tokens, math.Max(1, a.Burst))
		b.prefetched = math.Min(b.prefetched, b.limits.Rate*prefetchTime.Seconds())
		b.refuseUntil = 0
	}
}

// SetHome sets the state of an account's home and the fraction of the rate that
// this instance may use by itself. An instance that becomes the home again
// within a tolerance window starts with an empty bucket. If this instance has
// stopped being the home, SetHome returns the tokens to hand over to the new
// home.
func (l *Limiter) SetHome(now time.Duration, id fleet.AccountID, state HomeState, fraction float64) (remaining float64) {
	b := l.accounts[id]
	if b == nil {
		return 0
	}
	b.refill(now)
	if b.home == HomeLocal && state == HomeRemote {
		remaining = b.tokens
	}
	if state != b.home {
		b.tokens = 0
	}
	if state == HomeLocal && state != b.home && (!b.hasStarted || now > b.startedAt+l.tolerance.Window) {
		b.tokens = math.Min(startTokens(l.tolerance, b.limits), b.limits.Burst)
		if l.firstStart && !b.homeKnown {
			b.tokens = b.limits.Burst
		}
		b.hasStarted, b.startedAt = true, now
	}
	// The start tokens of a home do not depend on which instances have answered
	// it yet. Tokens are removed only when its fraction shrinks, because other
	// instances have begun to use theirs by themselves.
	fractionReduced := state == b.home && fraction < b.fraction
	b.homeKnown = true
	b.home, b.fraction = state, fraction
	if fractionReduced {
		b.tokens = math.Min(b.tokens, b.maxTokens())
	}
	return remaining
}

// AcceptHandover adds the tokens that the former home handed over, up to the
// burst.
func (l *Limiter) AcceptHandover(now time.Duration, id fleet.AccountID, tokens float64) {
	if b := l.accounts[id]; b != nil && tokens > 0 {
		b.refill(now)
		b.tokens = math.Min(b.limits.Burst, b.tokens+tokens)
	}
}

func (b *account) maxTokens() float64 { return math.Max(1, b.limits.Burst*b.fraction) }

func (b *account) refill(now time.Duration) {
	if now > b.refilledAt {
		full := math.Max(b.tokens, b.maxTokens())
		b.tokens = math.Min(full, b.tokens+b.limits.Rate*b.fraction*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

func (b *account) decayDemand(now time.Duration) {
	if now > b.measuredAt {
		b.demand *= math.Exp(-(now - b.measuredAt).Seconds() / demandTimeConstant.Seconds())
		b.measuredAt = now
	}
}

// Admit decides on an operation. Accounts without limits are admitted.
func (l *Limiter) Admit(now time.Duration, id fleet.AccountID) Decision {
	b := l.accounts[id]
	if b == nil {
		return Admitted
	}
	b.decayDemand(now)
	b.demand += 1 / demandTimeConstant.Seconds()
	if now > b.prefetchedExpiry {
		b.prefetched = 0
	}
	switch {
	case b.prefetched >= 1:
		b.prefetched--
		return Admitted
	case b.home != HomeRemote:
		return b.takeLocal(now)
	case now < b.refuseUntil:
		return Refused
	}
	return AskHome
}

func (b *account) takeLocal(now time.Duration) Decision {
	b.refill(now)
	if b.tokens < 1 {
		if b.home == HomeUnreachable {
			return RefusedHomeUnreachable
		}
		return Refused
	}
	b.tokens--
	return Admitted
}

// TokensToRequest returns how many tokens to ask the home for: one for each
// waiting operation, and those for the demand within prefetchTime.
func (l *Limiter) TokensToRequest(now time.Duration, id fleet.AccountID, waiting int) int {
	b := l.accounts[id]
	if b == nil {
		return waiting
	}
	b.decayDemand(now)
	return waiting + int(b.demand*prefetchTime.Seconds())
}

// Grant grants tokens as the home. It returns how many and, if they are fewer
// than wanted, the time until the next token. ok is false for an account whose
// limits are not known here.
func (l *Limiter) Grant(now time.Duration, id fleet.AccountID, want int) (granted int, retryAfter time.Duration, ok bool) {
	b := l.accounts[id]
	if b == nil {
		return 0, 0, false
	}
	b.refill(now)
	granted = max(0, min(want, int(b.tokens)))
	b.tokens -= float64(granted)
	if granted < want {
		if rate := b.limits.Rate * b.fraction; rate > 0 {
			retryAfter = time.Duration((1 - b.tokens) / rate * float64(time.Second))
		} else {
			retryAfter = time.Second
		}
	}
	return granted, max(0, retryAfter), true
}

// HandleGrant records the home's answer to a call that began at requestedAt,
// and returns how many of the waiting operations are admitted.
func (l *Limiter) HandleGrant(requestedAt, now time.Duration, id fleet.AccountID, granted, waiting int, retryAfter time.Duration) int {
	b := l.accounts[id]
	admitted := min(granted, waiting)
	if b == nil {
		return admitted
	}
	b.prefetched += float64(granted - admitted)
	b.prefetchedExpiry = requestedAt + tokenTTL
	if granted < waiting {
		b.refuseUntil = now + max(minRefusalTime, retryAfter)
	}
	return admitted
}

// AdmitWithoutHome decides on an operation whose home did not answer.
func (l *Limiter) AdmitWithoutHome(now time.Duration, id fleet.AccountID, fraction float64) bool {
	b := l.accounts[id]
	if b == nil {
		return true
	}
	l.SetHome(now, id, HomeUnreachable, fraction)
	return b.takeLocal(now) == Admitted
}

// Accounts returns the accounts that have limits.
func (l *Limiter) Accounts() []fleet.AccountID {
	ids := make([]fleet.AccountID, 0, len(l.accounts))
	for id := range l.accounts {
		ids = append(ids, id)
	}
	return ids
}

// Member is what an instance knows of another.
type Member struct {
	ID fleet.InstanceID
	// Running is false when no process listens there.
	Running bool
	// Reachable is true when calls to it succeed, FirstCallPending while the
	// first call since it became known has not ended.
	Reachable, FirstCallPending bool
	// Serving is false while it starts or leaves; it can't be a home then.
	Serving bool
}

// LocateHome returns an account's home, its state as seen by this instance, and
// the fraction of the rate that this instance may use by itself. members
// includes this instance, with Running and Reachable set.
func LocateHome(self fleet.InstanceID, account fleet.AccountID, members []Member) (home fleet.InstanceID, state HomeState, fraction float64) {
	ids := make([]fleet.InstanceID, 0, len(members))
	running, unreachable := 0, 0
	askable := map[fleet.InstanceID]bool{}
	for _, m := range members {
		if !m.Running {
			continue
		}
		running++
		if m.Serving {
			ids = append(ids, m.ID)
		}
		askable[m.ID] = m.Reachable || m.FirstCallPending
		if !m.Reachable {
			unreachable++
		}
	}
	localFraction := 1 / float64(max(1, running))
	if len(ids) == 0 {
		return self, HomeUnreachable, localFraction
	}
	home = fleet.First("account/"+string(account), ids)
	switch {
	case home == self:
		return home, HomeLocal, 1 - float64(unreachable)*localFraction
	case !askable[home]:
		return home, HomeUnreachable, localFraction
	}
	return home, HomeRemote, localFraction
}
