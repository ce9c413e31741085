// Package ratelimit keeps each client account within its rate and burst over all
// instances.
//
// Each account has a home: the first running instance by rendezvous hash. The
// home holds the account's only token bucket. The other instances ask it for
// tokens when an operation needs one, so that the whole burst is available
// wherever the operations arrive. With each answer an instance learns the level
// of the bucket and its own share of the recent grants.
//
// An instance that becomes the home continues with the newest level that it or
// an instance that asks it knows, so that the loss of a home neither grants the
// burst again nor loses it. Only if nobody knows a level, because all were
// restarted, does the bucket start with a fraction of the tolerance of the
// limits; it starts full only when the whole fleet starts for the first time.
//
// An instance that can't reach the home admits its part of the level and of the
// rate by itself, until the fleet has another home. The home reserves the part of
// every instance that is absent, so that the sum stays within the rate.
package ratelimit

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// The constants marked with a star hold for a tolerance with a window of referenceWindow;
// newTiming scales them to the window in force.
const (
	// referenceWindow is the window for which the scaled times are stated.
	referenceWindow = 5 * time.Second
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = time.Second
	// * prefetchTime is the time for which an instance requests tokens in advance,
	// so that a busy account needs only a few calls a second.
	prefetchTime = 250 * time.Millisecond
	// * tokenTTL is how long a token may be spent after it was requested.
	tokenTTL = 2 * time.Second
	// minRefusalTime is the shortest time for which an instance refuses without
	// asking after the home had too few tokens. It is about the time of a call
	// between data centres.
	minRefusalTime = 10 * time.Millisecond
	// startFraction is the fraction of the tolerance that a home starts with if
	// nobody knows the level of the bucket. It stays within the tolerance when all
	// instances are restarted twice in a window.
	startFraction = 0.5
	// * maxStartTime bounds the time since the start of its process for which such a
	// home also has the rate: when all instances were restarted, nothing was granted
	// meanwhile.
	maxStartTime = 500 * time.Millisecond
	// * recoveryTime is how long a new home takes over the levels that the instances
	// that ask it know.
	recoveryTime = 3 * time.Second
	// settleTime is how long a new home makes an instance wait that knows no level,
	// so that one that does may ask first.
	settleTime = 50 * time.Millisecond
	// * levelLifetime is how old a level may be when a home is lost. Until then the
	// bucket has been refilled.
	levelLifetime = 10 * time.Second
	// shareTimeConstant is the time constant of the grants from which an instance's
	// share of an account is computed.
	shareTimeConstant = 3 * time.Second
	// shareWeight is the weight of an instance's share of the recent grants in the
	// part of the rate that it admits by itself; the rest is the same for all, since
	// an account with few operations has them at different instances each second.
	shareWeight = 0.7
	// toleranceWithoutHome is the fraction of the tolerance that all instances
	// together may use while they don't reach the home.
	toleranceWithoutHome = 0.5
)

// timing holds the times that follow from the window of the tolerance: what is granted
// ahead and spent later adds to a window, and what was granted a window ago does not
// matter any more.
type timing struct {
	prefetch, tokenTTL, maxStart, recovery, levelLifetime time.Duration
}

func newTiming(t catalog.Tolerance) timing {
	scaled := func(d time.Duration) time.Duration {
		if t.Window <= 0 {
			return d
		}
		return time.Duration(float64(d) * float64(t.Window) / float64(referenceWindow))
	}
	return timing{prefetch: scaled(prefetchTime), tokenTTL: scaled(tokenTTL), maxStart: scaled(maxStartTime),
		recovery: scaled(recoveryTime), levelLifetime: scaled(levelLifetime)}
}

// startTokens returns the number of tokens that a new home starts with.
func startTokens(t catalog.Tolerance, a catalog.Account) float64 {
	return startFraction * excess(t, a)
}

// excess returns how many operations more than its limits say an account may run
// in a window of the tolerance.
func excess(t catalog.Tolerance, a catalog.Account) float64 {
	return t.Factor*(a.Rate*t.Window.Seconds()+a.Burst) + t.ExtraOperations
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
	// startedAt is when the process started, and firstStart is set if the whole fleet
	// then started for the first time.
	startedAt  time.Duration
	firstStart bool
	tolerance  catalog.Tolerance
	timing     timing
	// exact is nil unless the limiter is exact.
	exact    *exactness
	accounts map[fleet.AccountID]*account
	// random returns a number in [0, 1).
	random func() float64
}

type account struct {
	limits catalog.Account
	timing *timing
	// readyAt is when an exact limiter may grant as the home.
	readyAt time.Duration
	// Until wantedHere and wantedElsewhere this instance, or others, want a token of the exact
	// home. lastHere is set if this instance took the last one.
	wantedHere, wantedElsewhere time.Duration
	lastHere                    bool
	home                        HomeState
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
	// level is the level of the bucket at levelAt, if levelKnown is set.
	level      float64
	levelAt    time.Duration
	levelKnown bool
	// partAt is when this instance last got tokens because it had lost the home, if
	// hadPart is set. spare is what was left of them at spareAt.
	hadPart         bool
	partAt, spareAt time.Duration
	spare           float64
	// granted is the rate of this instance's recent grants, total that of all
	// instances, both in operations a second.
	granted, total rateEstimate
	// grantedHere counts the tokens granted since this instance became the home.
	grantedHere float64
	demand      float64
	measuredAt  time.Duration
}

// rateEstimate is a moving average of a rate in operations a second.
type rateEstimate struct {
	rate float64
	at   time.Duration
}

func (e *rateEstimate) value(now time.Duration) float64 {
	return e.rate * math.Exp(-math.Max(0, (now-e.at).Seconds())/shareTimeConstant.Seconds())
}

func (e *rateEstimate) add(now time.Duration, n float64) {
	e.rate, e.at = e.value(now)+n/shareTimeConstant.Seconds(), now
}

// Level is what an instance knows of the bucket of an account.
type Level struct {
	Tokens float64
	// Age is how old the knowledge is.
	Age time.Duration
}

// New returns a limiter without accounts, for a process that starts now. random
// returns numbers in [0, 1).
func New(now time.Duration, firstStart bool, t catalog.Tolerance, random func() float64) *Limiter {
	return &Limiter{startedAt: now, firstStart: firstStart, tolerance: t, timing: newTiming(t), accounts: map[fleet.AccountID]*account{}, random: random}
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
			b = &account{timing: &l.timing, home: HomeUnreachable, refilledAt: now, measuredAt: now}
			l.accounts[id] = b
		}
		b.refill(now)
		b.limits = a
		b.tokens = math.Min(b.tokens, math.Max(1, a.Burst))
		b.prefetched = math.Min(b.prefetched, b.limits.Rate*l.timing.prefetch.Seconds())
		b.refuseUntil = 0
	}
}

// SetHome sets the state of an account's home and the fraction of the rate that
// the home may grant, or that each instance may use without one if all ask for the
// same. If this instance has stopped being the home, SetHome returns the tokens to
// hand over to the new home.
func (l *Limiter) SetHome(now time.Duration, id fleet.AccountID, state HomeState, fraction float64) (remaining float64) {
	b := l.accounts[id]
	if b == nil {
		return 0
	}
	b.refill(now)
	if b.home == HomeLocal && state != HomeLocal {
		if l.exact != nil {
			l.mayGrant(now, b) // without contact there is nothing to hand over
		}
		b.setLevel(now, b.tokens)
		if state == HomeRemote {
			remaining = b.tokens
		}
	}
	if state != b.home {
		if b.home == HomeUnreachable {
			b.spare, b.spareAt = b.tokens, now
		}
		b.tokens = 0
	}
	switch {
	case state == b.home:
	case l.exact != nil:
		l.beginExact(now, b, state)
	case state == HomeLocal:
		l.becomeHome(now, b)
	case state == HomeUnreachable:
		l.loseHome(now, b, fraction)
	}
	switch {
	case l.exact != nil:
		fraction = exactFraction(state)
	case state == HomeUnreachable:
		fraction = b.withoutHome(now, fraction)
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

// becomeHome sets the first tokens of a new home.
func (l *Limiter) becomeHome(now time.Duration, b *account) {
	switch {
	case l.firstStart && !b.homeKnown:
		b.tokens = b.limits.Burst
		b.setLevel(now, b.tokens)
	case b.levelKnown && now < b.levelAt+l.timing.levelLifetime:
		b.tokens = b.level
	case !b.hasStarted || now > b.startedAt+l.tolerance.Window:
		b.levelKnown = false
		up := min(l.timing.maxStart, now-l.startedAt)
		b.tokens = math.Min(startTokens(l.tolerance, b.limits)+b.limits.Rate*up.Seconds(), b.limits.Burst)
	}
	b.hasStarted, b.startedAt, b.grantedHere = true, now, 0
}

// loseHome sets the first tokens of an instance that does not reach the home: its part
// of the bucket's level and of the tolerance. It gets them once for each loss: if the
// home has not answered since, what is left of them goes on.
func (l *Limiter) loseHome(now time.Duration, b *account, equal float64) {
	part := b.withoutHome(now, equal)
	if b.hadPart && (!b.levelKnown || b.levelAt <= b.partAt) {
		b.tokens = b.spare + part*b.limits.Rate*(now-b.spareAt).Seconds()
		return
	}
	b.tokens = part * (b.knownLevel(now) + toleranceWithoutHome*excess(l.tolerance, b.limits))
	b.hadPart, b.partAt = true, now
}

func (b *account) setLevel(at time.Duration, tokens float64) {
	b.level, b.levelAt, b.levelKnown = tokens, at, true
}

// knownLevel returns the last known level of the bucket; 0 if it is too old.
func (b *account) knownLevel(now time.Duration) float64 {
	if !b.levelKnown || now > b.levelAt+b.timing.levelLifetime {
		return 0
	}
	return b.level
}

// withoutHome returns the part of the rate that this instance admits without the
// home. equal is its part if all have the same.
func (b *account) withoutHome(now time.Duration, equal float64) float64 {
	// Below the rate the shares don't add up to 1: a share that was learned while the
	// account was nearly idle would be too large later.
	total := math.Max(b.limits.Rate, b.total.value(now))
	if total <= 0 {
		return equal
	}
	return shareWeight*math.Min(1, b.granted.value(now)/total) + (1-shareWeight)*equal
}

// takeOverLevel continues a new home's bucket with a level that an instance knows from
// an earlier home, if it is newer than the one known here. A level that was learned since
// this instance became the home is its own.
func (b *account) takeOverLevel(now time.Duration, known Level) {
	at := now - known.Age
	if at >= b.startedAt || b.levelKnown && at <= b.levelAt {
		return
	}
	b.setLevel(at, known.Tokens)
	b.restart(now, known.Tokens+b.limits.Rate*b.fraction*(now-b.startedAt).Seconds())
}

// restart sets the bucket of a new home to a level from which it has granted since it
// became the home.
func (b *account) restart(now time.Duration, level float64) {
	b.tokens = math.Max(0, math.Min(b.limits.Burst, level-b.grantedHere))
	b.refilledAt = now
}

// inRecovery reports whether this instance has just become the home.
func (b *account) inRecovery(now time.Duration) bool {
	return b.home == HomeLocal && now <= b.startedAt+b.timing.recovery
}

// AcceptHandover takes over the bucket of the former home, which has this level. It
// replaces the level with which this home has begun.
func (l *Limiter) AcceptHandover(now time.Duration, id fleet.AccountID, tokens float64) {
	if b := l.accounts[id]; b != nil && tokens > 0 && b.inRecovery(now) {
		if l.exact != nil && now >= b.readyAt {
			return
		}
		b.readyAt = now
		b.refill(now)
		b.setLevel(now, tokens)
		b.restart(now, tokens)
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
		return l.takeLocal(now, b)
	case now < b.refuseUntil:
		return Refused
	}
	return AskHome
}

func (l *Limiter) takeLocal(now time.Duration, b *account) Decision {
	b.refill(now)
	if l.exact != nil && !l.mayGrant(now, b) {
		return RefusedHomeUnreachable
	}
	switch {
	case b.tokens >= 1:
	case b.home == HomeLocal:
		return Refused
	case b.tokens <= 0 || l.random() >= b.tokens:
		// A part of a token admits with that probability, so that the instances
		// together admit as many operations as they have tokens.
		return RefusedHomeUnreachable
	}
	b.tokens--
	b.lastHere = true
	if b.home == HomeLocal {
		b.recordGrant(now, 1, 1)
		b.grantedHere++
	}
	return Admitted
}

// recordGrant records grants to this instance and to all.
func (b *account) recordGrant(now time.Duration, here, all float64) {
	b.granted.add(now, here)
	b.total.add(now, all)
}

// TokensToRequest returns how many tokens to ask the home for: one for each
// waiting operation, and those for the demand within prefetchTime.
func (l *Limiter) TokensToRequest(now time.Duration, id fleet.AccountID, waiting int) int {
	b := l.accounts[id]
	if b == nil {
		return waiting
	}
	b.decayDemand(now)
	return waiting + int(b.demand*l.timing.prefetch.Seconds())
}

// GrantResult is the result of a request for tokens.
type GrantResult struct {
	// Granted is the number of tokens granted. If it is less than requested,
	// RetryAfter is the time until the next token.
	Granted    int
	RetryAfter time.Duration
	// Level is the level of the bucket after the grant.
	Level float64
	// TotalRate is the recent rate of the grants to all instances, in operations a
	// second.
	TotalRate float64
}

// GrantStatus tells whether a request for tokens was decided.
type GrantStatus uint8

// The statuses.
const (
	// Granted: the result holds.
	Granted GrantStatus = iota
	// UnknownAccount: the limits of the account are not known here.
	UnknownAccount
	// NotHome: this instance is not the home of the account.
	NotHome
	// Settling: this instance has just become the home, and nobody has told it the
	// level of the bucket yet. Ask again within settleTime.
	Settling
)

// Grant grants tokens as the home. known is what the asking instance knows of the
// bucket, nil if nothing.
func (l *Limiter) Grant(now time.Duration, id fleet.AccountID, want int, known *Level) (GrantResult, GrantStatus) {
	b := l.accounts[id]
	switch {
	case b == nil:
		return GrantResult{}, UnknownAccount
	case b.home != HomeLocal:
		return GrantResult{}, NotHome
	}
	b.refill(now)
	if l.exact != nil {
		return l.grantExact(now, b, want)
	}
	if known != nil && b.inRecovery(now) {
		b.takeOverLevel(now, *known)
	}
	if !b.levelKnown && now < b.startedAt+settleTime {
		return GrantResult{}, Settling
	}
	return b.grant(now, want), Granted
}

// grant takes up to want tokens from the bucket of a home.
func (b *account) grant(now time.Duration, want int) GrantResult {
	r := GrantResult{Granted: max(0, min(want, int(b.tokens)))}
	b.tokens -= float64(r.Granted)
	b.grantedHere += float64(r.Granted)
	b.recordGrant(now, 0, float64(r.Granted))
	if r.Granted < want {
		if rate := b.limits.Rate * b.fraction; rate > 0 {
			r.RetryAfter = max(0, time.Duration((1-b.tokens)/rate*float64(time.Second)))
		} else {
			r.RetryAfter = time.Second
		}
	}
	r.Level, r.TotalRate = b.tokens, b.total.value(now)
	return r
}

// KnownLevel returns what this instance knows of an account's bucket, to tell a new
// home; nil if nothing.
func (l *Limiter) KnownLevel(now time.Duration, id fleet.AccountID) *Level {
	b := l.accounts[id]
	if b == nil || !b.levelKnown || now > b.levelAt+b.timing.levelLifetime {
		return nil
	}
	return &Level{Tokens: b.level, Age: now - b.levelAt}
}

// HandleGrant records the home's answer to a call that began at requestedAt,
// and returns how many of the waiting operations are admitted.
func (l *Limiter) HandleGrant(requestedAt, now time.Duration, id fleet.AccountID, r GrantResult, waiting int) int {
	b := l.accounts[id]
	admitted := min(r.Granted, waiting)
	if b == nil {
		return admitted
	}
	expiry := requestedAt + l.timing.tokenTTL
	if l.exact != nil {
		if now > b.prefetchedExpiry {
			b.prefetched = 0
		}
		// Newer tokens must not prolong the life of older ones.
		if b.prefetched > 0 {
			expiry = min(expiry, b.prefetchedExpiry)
		}
	}
	b.prefetched += float64(r.Granted - admitted)
	b.prefetchedExpiry = expiry
	if r.Granted < waiting {
		b.refuseUntil = now + max(minRefusalTime, r.RetryAfter)
	}
	b.setLevel(requestedAt, r.Level)
	b.granted.add(now, float64(r.Granted))
	b.total = rateEstimate{rate: r.TotalRate, at: now}
	return admitted
}

// AdmitWithoutHome decides on an operation whose home did not answer.
func (l *Limiter) AdmitWithoutHome(now time.Duration, id fleet.AccountID, fraction float64) bool {
	b := l.accounts[id]
	if b == nil {
		return true
	}
	l.SetHome(now, id, HomeUnreachable, fraction)
	return l.takeLocal(now, b) == Admitted
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
	// Running is false when its process has left the fleet.
	Running bool
	// Reachable is true when calls to it succeed, FirstCallPending while the
	// first call since it became known has not ended.
	Reachable, FirstCallPending bool
	// Serving is false while it starts or leaves; it can't be a home then.
	Serving bool
}

// Homes locates the homes of accounts among the members that one instance knows.
type Homes struct {
	self fleet.InstanceID
	// candidates are the members that can be homes.
	candidates []fleet.InstanceID
	askable    map[fleet.InstanceID]bool
	// equal is the fraction of the rate of each running member if all have the same,
	// reserved the sum of those of the members that are not reached.
	equal, reserved float64
}

// NewHomes returns the homes as seen by an instance. members includes it, with Running and
// Reachable set.
func NewHomes(self fleet.InstanceID, members []Member) *Homes {
	h := &Homes{self: self, askable: make(map[fleet.InstanceID]bool, len(members))}
	running, unreachable := 0, 0
	for _, m := range members {
		if !m.Running {
			continue
		}
		running++
		if m.Serving {
			h.candidates = append(h.candidates, m.ID)
		}
		h.askable[m.ID] = m.Reachable || m.FirstCallPending
		if !m.Reachable {
			unreachable++
		}
	}
	h.equal = 1 / float64(max(1, running))
	h.reserved = float64(unreachable) * h.equal
	return h
}

// Locate returns an account's home, its state as seen by the instance, and the fraction of
// the rate that the instance may use by itself.
func (h *Homes) Locate(account fleet.AccountID) (home fleet.InstanceID, state HomeState, fraction float64) {
	if len(h.candidates) == 0 {
		return h.self, HomeUnreachable, h.equal
	}
	home = fleet.First("account/"+string(account), h.candidates)
	switch {
	case home == h.self:
		return home, HomeLocal, 1 - h.reserved
	case !h.askable[home]:
		return home, HomeUnreachable, h.equal
	}
	return home, HomeRemote, h.equal
}
