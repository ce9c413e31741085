// Package ratelimit keeps each client account within its rate and burst over all
// instances.
//
// Each account has a home: the first running instance by rendezvous hash. The
// home keeps the account's only bucket; the other instances ask it for tokens
// when an operation needs one, so that the whole burst serves wherever the
// operations arrive. An instance that does not reach the home admits 1/n of the
// rate by itself, and a home sets 1/n aside for every instance that it does not
// hear, so that the sum stays within the rate. A new home cannot know what its
// predecessor has given out, so its bucket starts with a part of the tolerance
// of the limits, and full only when the whole fleet starts for the first time.
package ratelimit

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = time.Second
	// ahead is for how long an instance asks for tokens in advance, so that a
	// busy account needs a few calls a second.
	ahead = 250 * time.Millisecond
	// tokenLife is how long a token may be spent after it was asked for.
	tokenLife = 2 * time.Second
	// minDry is the least time for which an instance refuses by itself after the
	// home had no token, about the time of a call between data centres.
	minDry = 10 * time.Millisecond
	// startPart of the tolerance is what a new home starts with: two new homes
	// in one window, and the half second until all know a home, keep within it.
	startPart = 0.4
)

// start returns the tokens that a new home starts with.
func start(t catalog.Tolerance, a catalog.Account) float64 {
	return startPart * (t.Factor*(a.Rate*t.Window.Seconds()+a.Burst) + t.ExtraOperations)
}

// HomeState is where an account's tokens come from.
type HomeState uint8

// The places.
const (
	// HomeLocal: this instance is the home.
	HomeLocal HomeState = iota
	// HomeRemote: another instance is.
	HomeRemote
	// HomeUnreachable: the home is not reached.
	HomeUnreachable
)

// Decision is the answer to an operation.
type Decision uint8

// The decisions.
const (
	// Refused: the account has used up its rate and burst.
	Refused Decision = iota
	// RefusedHomeUnreachable: the account's home is not reached, and this instance's part
	// of the rate is used up.
	RefusedHomeUnreachable
	Admitted
	// AskHome: the home has to be asked for a token.
	AskHome
)

// Limiter decides on the operations that arrive at one instance, and on the
// tokens of the accounts whose home it is.
type Limiter struct {
	firstStart bool
	tolerance  catalog.Tolerance
	accounts   map[fleet.AccountID]*account
}

type account struct {
	limits catalog.Account
	place  HomeState
	// placed says that the home has been known, begun that the bucket here was
	// given its first tokens, at started.
	placed, begun bool
	started       time.Duration
	// fraction of the rate that fills the bucket here: what the home may give
	// out, or the part of an instance that is cut off.
	fraction float64
	tokens   float64
	filled   time.Duration
	// wallet holds tokens from the home until spendBy.
	wallet  float64
	spendBy time.Duration
	// dry is until when the home is known to have no token.
	dry      time.Duration
	demand   float64
	measured time.Duration
}

// New returns a limiter without accounts.
func New(firstStart bool, t catalog.Tolerance) *Limiter {
	return &Limiter{firstStart: firstStart, tolerance: t, accounts: map[fleet.AccountID]*account{}}
}

// SetAccounts installs the limits in force.
func (l *Limiter) SetAccounts(now time.Duration, limits map[fleet.AccountID]catalog.Account) {
	for id := range l.accounts {
		if _, ok := limits[id]; !ok {
			delete(l.accounts, id)
		}
	}
	for id, a := range limits {
		b := l.accounts[id]
		if b == nil {
			// Until the home is known nothing is given out here.
			b = &account{place: HomeUnreachable, filled: now, measured: now}
			l.accounts[id] = b
		}
		b.fill(now)
		b.limits = a
		b.tokens = math.Min(b.tokens, math.Max(1, a.Burst))
		b.wallet = math.Min(b.wallet, b.limits.Rate*ahead.Seconds())
		b.dry = 0
	}
}

// SetHome says where an account's tokens come from and which fraction of the
// rate this instance gives out by itself. A bucket that becomes the account's
// again within a window starts empty. SetHome returns the tokens that a former
// home has left for the next one.
func (l *Limiter) SetHome(now time.Duration, id fleet.AccountID, p HomeState, fraction float64) (left float64) {
	b := l.accounts[id]
	if b == nil {
		return 0
	}
	b.fill(now)
	if b.place == HomeLocal && p == HomeRemote {
		left = b.tokens
	}
	if p != b.place {
		b.tokens = 0
	}
	if p == HomeLocal && p != b.place && (!b.begun || now > b.started+l.tolerance.Window) {
		b.tokens = math.Min(start(l.tolerance, b.limits), b.limits.Burst)
		if l.firstStart && !b.placed {
			b.tokens = b.limits.Burst
		}
		b.begun, b.started = true, now
	}
	// The first tokens of a home do not depend on who has answered it yet; only
	// what others have come to give out by themselves is taken off.
	clip := p == b.place && fraction < b.fraction
	b.placed = true
	b.place, b.fraction = p, fraction
	if clip {
		b.tokens = math.Min(b.tokens, b.capacity())
	}
	return left
}

// AcceptHandover adds the tokens that a former home has left.
func (l *Limiter) AcceptHandover(now time.Duration, id fleet.AccountID, tokens float64) {
	if b := l.accounts[id]; b != nil && tokens > 0 {
		b.fill(now)
		b.tokens = math.Min(b.limits.Burst, b.tokens+tokens)
	}
}

func (b *account) capacity() float64 { return math.Max(1, b.limits.Burst*b.fraction) }

func (b *account) fill(now time.Duration) {
	if now > b.filled {
		full := math.Max(b.tokens, b.capacity())
		b.tokens = math.Min(full, b.tokens+b.limits.Rate*b.fraction*(now-b.filled).Seconds())
		b.filled = now
	}
}

func (b *account) decay(now time.Duration) {
	if now > b.measured {
		b.demand *= math.Exp(-(now - b.measured).Seconds() / demandWindow.Seconds())
		b.measured = now
	}
}

// Admit decides on an operation. Accounts without limits are admitted.
func (l *Limiter) Admit(now time.Duration, id fleet.AccountID) Decision {
	b := l.accounts[id]
	if b == nil {
		return Admitted
	}
	b.decay(now)
	b.demand += 1 / demandWindow.Seconds()
	if now > b.spendBy {
		b.wallet = 0
	}
	switch {
	case b.wallet >= 1:
		b.wallet--
		return Admitted
	case b.place != HomeRemote:
		return b.take(now)
	case now < b.dry:
		return Refused
	}
	return AskHome
}

func (b *account) take(now time.Duration) Decision {
	b.fill(now)
	if b.tokens < 1 {
		if b.place == HomeUnreachable {
			return RefusedHomeUnreachable
		}
		return Refused
	}
	b.tokens--
	return Admitted
}

// TokensToRequest returns how many tokens to ask the home for when waiting operations need
// one each.
func (l *Limiter) TokensToRequest(now time.Duration, id fleet.AccountID, waiting int) int {
	b := l.accounts[id]
	if b == nil {
		return waiting
	}
	b.decay(now)
	return waiting + int(b.demand*ahead.Seconds())
}

// Grant gives out tokens as home. It returns how many, and after which time
// there will be one if there are fewer than wanted. It returns false for an
// account whose limits are not known here.
func (l *Limiter) Grant(now time.Duration, id fleet.AccountID, want int) (granted int, retry time.Duration, ok bool) {
	b := l.accounts[id]
	if b == nil {
		return 0, 0, false
	}
	b.fill(now)
	granted = max(0, min(want, int(b.tokens)))
	b.tokens -= float64(granted)
	if granted < want {
		if rate := b.limits.Rate * b.fraction; rate > 0 {
			retry = time.Duration((1 - b.tokens) / rate * float64(time.Second))
		} else {
			retry = time.Second
		}
	}
	return granted, max(0, retry), true
}

// HandleGrant records the home's answer to a call begun at asked, and returns how
// many of the waiting operations are admitted.
func (l *Limiter) HandleGrant(asked, now time.Duration, id fleet.AccountID, granted, waiting int, retry time.Duration) int {
	b := l.accounts[id]
	admitted := min(granted, waiting)
	if b == nil {
		return admitted
	}
	b.wallet += float64(granted - admitted)
	b.spendBy = asked + tokenLife
	if granted < waiting {
		b.dry = now + max(minDry, retry)
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
	return b.take(now) == Admitted
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
	// Reachable is true when calls to it succeed, FirstCallPending while the first one since
	// it became known has not ended.
	Reachable, FirstCallPending bool
	// Serving is false while it starts or leaves; it is no home then.
	Serving bool
}

// LocateHome returns where an account's tokens come from and which fraction of the
// rate this instance may give out by itself. Members includes this instance,
// with Running and Heard set.
func LocateHome(self fleet.InstanceID, account fleet.AccountID, members []Member) (home fleet.InstanceID, p HomeState, fraction float64) {
	ids := make([]fleet.InstanceID, 0, len(members))
	running, silent := 0, 0
	reached := map[fleet.InstanceID]bool{}
	for _, m := range members {
		if !m.Running {
			continue
		}
		running++
		if m.Serving {
			ids = append(ids, m.ID)
		}
		reached[m.ID] = m.Reachable || m.FirstCallPending
		if !m.Reachable {
			silent++
		}
	}
	part := 1 / float64(max(1, running))
	if len(ids) == 0 {
		return self, HomeUnreachable, part
	}
	home = fleet.Rank("account/"+string(account), ids)[0]
	switch {
	case home == self:
		return home, HomeLocal, 1 - float64(silent)*part
	case !reached[home]:
		return home, HomeUnreachable, part
	}
	return home, HomeRemote, part
}
