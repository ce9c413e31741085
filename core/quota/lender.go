package quota

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Lender admits the requests of one account at one instance, and lends the
// parts that the instance does not need to the account's holder.
type Lender struct {
	account fleet.AccountID
	mode    Mode
	share   Share
	// reclaimDelay is the time from the call that lends parts until the lender
	// may use them again without an accepted answer. It is a field so that a
	// test can show what a shorter delay breaks.
	reclaimDelay time.Duration
	mutation     Mutation

	// localLevel is the number of tokens in the local bucket, refilled up to
	// localUpdatedAt. It is at most the burst size of the parts that are not lent.
	localLevel     float64
	localUpdatedAt time.Duration
	// loans are the calls whose lent parts may still be in use elsewhere, the
	// oldest first. A call replaces earlier ones at the holder, but may not
	// have arrived, so the largest loan is assumed to be in force. Loans that
	// a newer one of at least the same size covers are left out, so that the
	// largest is first.
	loans []sentLoan
	// lentTo is the only holder to which parts may be lent while there are any
	// loans. It is empty while the loans may be those of an earlier run of this
	// instance.
	lentTo fleet.InstanceID
	// lentRun is the process run of lentTo to which parts may be lent. It is 0
	// while the loans may be those of an earlier run of this instance.
	lentRun  uint64
	released bool
	// minRetainBurst is the constant of that name, except in tests.
	minRetainBurst float64

	// holder is the current holder; echo and holderRun are its clock and
	// process run from the newest answer, which was to a call sent at
	// echoSentAt.
	holder     fleet.InstanceID
	echo       time.Duration
	holderRun  uint64
	echoSentAt time.Duration

	seq        uint64
	lastCallAt time.Duration
	hasCalled  bool
	// awaitingAnswer is set while the newest call is unanswered; silentSince is
	// when the first call since the last answer was sent.
	awaitingAnswer bool
	silentSince    time.Duration
	// recentCalls holds the newest calls; an answer is used once, and only if
	// its call is among them.
	recentCalls [8]sentExchange

	// grants are the grants that can be spent, the oldest first; none has
	// expired.
	grants []receivedGrant
	// closedGrants holds ids of grants of (holder, holderRun) to report. The
	// first closedReported of them were sent with the newest call.
	closedGrants   []uint64
	closedReported int

	spent         float64 // tokens spent since the last call
	arrived       float64 // tokens requested since the last call
	pendingTokens float64 // of these, those left Pending
	demand        float64 // tokens requested per second, smoothed
	usage         float64 // tokens spent per second, smoothed over usageTimeConstant
	// scarce is set while this or another lender has lacked tokens for
	// scarceDelay; shortSince is the time since which this one has, or 0.
	scarce     bool
	shortSince time.Duration
	// retained is the number of parts that are not lent, last increased at
	// raisedAt.
	retained      uint32
	raisedAt      time.Duration
	lastRequestAt time.Duration
	hasRequest    bool
	// urgent is set when the next call should not wait for the call interval.
	urgent bool
	// tokensExpectedAt is when the holder expects to have tokens, if it granted
	// fewer than wanted.
	tokensExpectedAt time.Duration
}

type sentExchange struct {
	seq    uint64 // 0: none, or answered
	to     fleet.InstanceID
	sentAt time.Duration
	want   float64
}

type sentLoan struct {
	seq       uint64
	parts     uint32
	reclaimAt time.Duration
}

type receivedGrant struct {
	id          uint64
	from        fleet.InstanceID
	run         uint64
	tokens      float64
	requestedAt time.Duration
}

func (g *receivedGrant) expiresAt() time.Duration { return g.requestedAt + minusDrift(GrantTTL) }

// maxClosedGrants bounds the number of grants reported as closed in one call.
// Those that are not reported expire at the holder after GrantTTL.
const maxClosedGrants = 64

// NewLender returns a lender that starts without tokens. firstSeq must be
// greater than any Seq that an earlier run of this instance used, for example
// the wall clock in microseconds at the start of the process. The lender does
// not use its share before loans and grants of an earlier run have expired.
func NewLender(now time.Duration, account fleet.AccountID, mode Mode, firstSeq uint64) *Lender {
	wait := plusDrift(LoanTTL + GrantTTL)
	return &Lender{account: account, mode: mode, reclaimDelay: wait, seq: firstSeq,
		loans: []sentLoan{{parts: math.MaxUint32, reclaimAt: now + wait}}, localUpdatedAt: now, minRetainBurst: minRetainBurst}
}

// advance refills the local bucket up to now and expires loans and grants.
func (l *Lender) advance(now time.Duration) {
	for len(l.loans) > 0 && now >= l.loans[0].reclaimAt {
		l.fill(l.loans[0].reclaimAt)
		l.loans = append(l.loans[:0], l.loans[1:]...)
	}
	l.fill(now)
	for len(l.grants) > 0 && now >= l.grants[0].expiresAt() && l.mutation != KeepGrants {
		l.closeGrant(0)
	}
}

// fill refills the local bucket up to t.
func (l *Lender) fill(t time.Duration) {
	if t > l.localUpdatedAt {
		n := l.localParts()
		l.localLevel = min(l.localLevel+refill(l.share.rate(n), t-l.localUpdatedAt), l.share.burst(n))
		l.localUpdatedAt = t
	}
}

// localParts returns the number of parts that are certainly not lent.
func (l *Lender) localParts() uint32 {
	n := l.share.parts()
	if len(l.loans) > 0 {
		n -= min(n, l.loans[0].parts)
	}
	return n
}

// closeGrant drops a grant and queues it to be reported with the next call.
func (l *Lender) closeGrant(i int) {
	g := l.grants[i]
	l.grants = append(l.grants[:i], l.grants[i+1:]...)
	if g.from != l.holder || g.run != l.holderRun {
		return
	}
	if len(l.closedGrants) == maxClosedGrants {
		copy(l.closedGrants, l.closedGrants[1:])
		l.closedGrants = l.closedGrants[:maxClosedGrants-1]
		l.closedReported = max(l.closedReported-1, 0)
	}
	l.closedGrants = append(l.closedGrants, g.id)
}

// SetShare sets the limit and this instance's slots. An added share starts
// without tokens.
func (l *Lender) SetShare(now time.Duration, s Share) {
	l.advance(now)
	l.share = s
	l.localLevel = min(l.localLevel, s.burst(l.localParts()))
}

// SetHolder sets the holder. After a change the share is lent to the new holder
// only once it has been reclaimed from the old one.
func (l *Lender) SetHolder(now time.Duration, holder fleet.InstanceID) {
	l.advance(now)
	if holder == l.holder {
		return
	}
	l.holder = holder
	l.resetHolderRun()
	l.awaitingAnswer, l.urgent, l.hasCalled = false, true, false
	l.silentSince = now
	l.tokensExpectedAt = 0
}

// resetHolderRun clears the state that belongs to one process run of the
// holder.
func (l *Lender) resetHolderRun() {
	l.echo, l.holderRun = 0, 0
	l.closedGrants, l.closedReported = l.closedGrants[:0], 0
}

// Release stops lending permanently, before the slots are handed over.
func (l *Lender) Release(now time.Duration) {
	l.advance(now)
	l.released = true
}

// Released reports whether the slots may be handed over: Release was called,
// and no loan of the share or grant from it can still be in use.
func (l *Lender) Released(now time.Duration) bool {
	l.advance(now)
	return l.released && len(l.loans) == 0
}

// Admit decides on a request that costs n tokens, and spends them if it is
// admitted. Grants are of whole tokens, so n should be a whole number.
func (l *Lender) Admit(now time.Duration, n float64) Result {
	l.arrived += n
	l.lastRequestAt, l.hasRequest = now, true
	return l.AdmitPending(now, n)
}

// AdmitPending decides again on a request that Admit left Pending. Call it once
// per answer: each Pending adds n to what the next call wants.
func (l *Lender) AdmitPending(now time.Duration, n float64) Result {
	l.advance(now)
	if l.spend(n) {
		l.spent += n
		return Result{Decision: Admitted}
	}
	if l.mode == StaticSplit || l.holder == "" {
		return Result{Refused, l.localWait(now, n)}
	}
	if wait := l.localWait(now, l.pendingTokens+n); wait <= MaxLocalWait && l.localParts() > 0 {
		// The local bucket has the tokens in time, whatever the holder does.
		l.urgent = true
		l.pendingTokens += n
		return Result{Pending, wait}
	}
	if wait := l.tokensExpectedAt - now; wait > 0 {
		// Only as many requests may wait as the share yields tokens within
		// MaxScarceWait.
		if wait > MaxScarceWait || l.pendingTokens+n > max(refill(l.share.rate(l.share.parts()), MaxScarceWait), 1) {
			return Result{Refused, wait}
		}
	}
	if l.awaitingAnswer && now-l.silentSince >= HolderTimeout {
		return Result{Refused, l.localWait(now, n)}
	}
	l.urgent = true
	l.pendingTokens += n
	remaining := HolderTimeout
	if l.awaitingAnswer {
		remaining -= now - l.silentSince
	}
	return Result{Pending, remaining}
}

// spend takes n tokens, from the grants first. If there are fewer than n it
// takes none and returns false.
func (l *Lender) spend(n float64) bool {
	available := l.localLevel
	for i := range l.grants {
		available += l.grants[i].tokens
	}
	if available < n {
		return false
	}
	for n > 0 && len(l.grants) > 0 {
		g := &l.grants[0]
		t := min(n, g.tokens)
		g.tokens -= t
		n -= t
		if g.tokens <= 0 {
			l.closeGrant(0)
		}
	}
	l.localLevel = max(l.localLevel-n, 0)
	return true
}

// localWait returns how long it takes until this instance's share alone yields
// n tokens.
func (l *Lender) localWait(now time.Duration, n float64) time.Duration {
	wait := time.Duration(0)
	parts := l.localParts()
	if parts == 0 && len(l.loans) > 0 {
		// The newest loan is the smallest and ends last; after it no part is lent.
		wait = l.loans[len(l.loans)-1].reclaimAt - now
		parts = l.share.parts()
	}
	rate := l.share.rate(parts) * (1 - MaxClockDrift)
	if rate <= 0 {
		return max(wait, LoanTTL)
	}
	refillTime := time.Duration((n - l.localLevel) / rate * float64(time.Second))
	return max(wait+refillTime, time.Millisecond)
}

// exchangeInterval returns the time between calls that are not urgent.
func (l *Lender) exchangeInterval(now time.Duration) time.Duration {
	// A lender that retains parts must learn soon that others lack tokens.
	if l.active(now) || l.retained > 0 {
		return ActiveInterval
	}
	return IdleInterval
}

// active reports whether there was a request within the last LoanTTL.
func (l *Lender) active(now time.Duration) bool {
	return l.hasRequest && now-l.lastRequestAt < LoanTTL
}

// NextExchangeAt returns when NextExchange should be called if no request
// arrives before.
func (l *Lender) NextExchangeAt(now time.Duration) time.Duration {
	switch {
	case l.mode == StaticSplit || l.holder == "":
		return now + IdleInterval
	case l.awaitingAnswer:
		return max(now, l.lastCallAt+CallTimeout)
	case l.urgent && !l.hasCalled:
		return now
	case l.urgent:
		return max(now, l.tokensExpectedAt)
	}
	return max(now, l.lastCallAt+l.exchangeInterval(now))
}

// NextExchange returns the next call and its destination, if one is due.
func (l *Lender) NextExchange(now time.Duration) (Exchange, fleet.InstanceID, bool) {
	l.advance(now)
	if l.mode == StaticSplit || l.holder == "" || now < l.NextExchangeAt(now) {
		return Exchange{}, "", false
	}
	elapsed := ActiveInterval
	if l.hasCalled {
		elapsed = max(now-l.lastCallAt, time.Millisecond)
	}
	// The estimate has a time constant of 0.3 s: a call after 100 ms has a
	// weight of a third.
	weight := min(elapsed.Seconds()/0.3, 1)
	l.demand += weight * (l.arrived/elapsed.Seconds() - l.demand)
	weight = min(elapsed.Seconds()/usageTimeConstant.Seconds(), 1)
	l.usage += weight * (l.spent/elapsed.Seconds() - l.usage)

	l.seq++
	ex := Exchange{Account: l.account, Echo: l.echo, HolderRun: l.holderRun, Seq: l.seq, Spent: l.spent}
	if ex.LentParts = l.lend(now); ex.LentParts > 0 {
		level := min(l.localLevel, l.share.burst(l.localParts()))
		ex.LendLevel = l.localLevel - level
		l.localLevel = level
	}
	granted := 0.0
	for i := 0; i < len(l.grants); {
		g := &l.grants[i]
		if now-g.requestedAt > GrantReturnAge && g.from == l.holder && g.run == l.holderRun && l.holderRun != 0 {
			ex.LendLevel += g.tokens
			l.closeGrant(i)
			continue
		}
		granted += g.tokens
		i++
	}
	// Tokens for one and a half intervals last until the next call is
	// answered; the local parts yield some of them.
	localRate := l.share.rate(l.localParts())
	wantAhead := max(l.demand-localRate, 0)
	if l.scarce && localRate > 0 {
		// The holder divides scarce tokens in proportion to what the instances
		// want. The lender wants its whole demand, reduced by the fraction of
		// its usage that the local parts cover.
		wantAhead = l.demand * max(1-localRate/max(l.usage, localRate), 0)
	}
	wantAhead *= (ActiveInterval + ActiveInterval/2).Seconds()
	if !l.active(now) {
		wantAhead = 0
	}
	// A fraction of a token is not requested ahead: at a low rate the last
	// tokens would be held by instances that do not need them. The demand
	// includes the requests left pending.
	ex.Want = max(math.Ceil(max(math.Floor(wantAhead), l.pendingTokens)-granted-l.localLevel), 0)
	ex.Closed = l.closedGrants
	l.closedReported = len(l.closedGrants)

	l.recentCalls[l.seq%uint64(len(l.recentCalls))] = sentExchange{l.seq, l.holder, now, ex.Want}
	if !l.awaitingAnswer {
		l.awaitingAnswer, l.silentSince = true, now
	}
	l.lastCallAt, l.hasCalled = now, true
	l.spent, l.arrived, l.pendingTokens, l.urgent = 0, 0, 0, false
	return ex, l.holder, true
}

// updateRetained adjusts the number of parts that are not lent to this
// instance's usage, and returns it.
func (l *Lender) updateRetained(now time.Duration) uint32 {
	rate := l.share.rate(1) * (1 - MaxClockDrift)
	if rate <= 0 {
		return 0
	}
	need, surplus := math.Ceil(l.usage*retainHeadroom/rate), float64(retainSurplus)
	if l.scarce {
		need, surplus = math.Floor(min(l.usage, l.demand)*scarceRetainFactor/rate), 0
	}
	need = min(need, float64(l.share.parts()))
	if l.share.burst(l.share.parts()) < l.minRetainBurst || now-l.lastRequestAt >= usageTimeConstant {
		need, surplus = 0, 0
	}
	switch retained := float64(l.retained); {
	case need+surplus < retained:
		l.retained = uint32(need)
	case need > retained && now >= l.raisedAt+retainRaiseInterval:
		l.retained, l.raisedAt = min(uint32(need), l.retained+retainStep), now
	}
	return min(l.retained, l.share.parts())
}

// dropSupersededLoans drops the loans of calls before seq. The holder has
// replaced them by the loan of call seq, and its level and grants are within
// the burst of the loans in force.
func (l *Lender) dropSupersededLoans(seq uint64) {
	n := 0
	for n < len(l.loans) && l.loans[n].seq < seq {
		n++
	}
	l.loans = append(l.loans[:0], l.loans[n:]...)
}

// lend returns the number of parts that the call lends, and marks them as lent.
func (l *Lender) lend(now time.Duration) uint32 {
	// A loan expires LoanTTL after the echoed time, so one with an old echo
	// would end soon. And nothing is lent to a holder that no longer answers,
	// so that the loan ends after two lost calls.
	if l.released || l.holderRun == 0 || l.share.Slots == 0 || now-l.echoSentAt > l.exchangeInterval(now)+HolderTimeout-CallTimeout {
		return 0
	}
	if len(l.loans) > 0 && (l.lentTo != l.holder || l.lentRun != l.holderRun) {
		return 0
	}
	parts := l.share.parts() - l.updateRetained(now)
	if parts == 0 {
		return 0
	}
	l.lentTo, l.lentRun = l.holder, l.holderRun
	n := len(l.loans)
	for n > 0 && l.loans[n-1].parts <= parts {
		n--
	}
	l.loans = append(l.loans[:n], sentLoan{l.seq, parts, now + l.reclaimDelay})
	return parts
}

// HandleGrant processes an answer. Late, duplicate and reordered answers are
// safe.
func (l *Lender) HandleGrant(now time.Duration, from fleet.InstanceID, g Grant) {
	l.advance(now)
	call := &l.recentCalls[g.Seq%uint64(len(l.recentCalls))]
	if call.seq != g.Seq || call.seq == 0 || call.to != from {
		return
	}
	sentAt := call.sentAt
	call.seq = 0
	if from == l.holder {
		if g.HolderRun != l.holderRun && (l.holderRun == 0 || sentAt >= l.echoSentAt) {
			l.resetHolderRun()
			l.holderRun = g.HolderRun
		}
		if g.HolderRun == l.holderRun && g.Now > l.echo {
			l.echo, l.echoSentAt = g.Now, sentAt
		}
		if g.Accepted && from == l.lentTo && g.HolderRun == l.lentRun {
			l.dropSupersededLoans(g.Seq)
		}
		// Even a late answer shows that the holder is alive.
		l.silentSince = l.lastCallAt
		if g.Seq == l.seq {
			l.awaitingAnswer = false
			if g.HolderRun == l.holderRun {
				l.closedGrants = append(l.closedGrants[:0], l.closedGrants[l.closedReported:]...)
			}
			l.closedReported = 0
			l.tokensExpectedAt = 0
			short := g.Tokens < call.want
			if !short {
				l.shortSince = 0
			} else if l.shortSince == 0 {
				l.shortSince = now
			}
			wasScarce := l.scarce
			l.scarce = g.RetryAfter > 0 && (!short || now-l.shortSince >= scarceDelay)
			if l.scarce && !wasScarce && l.retained > 0 {
				l.urgent = true // lend more parts at once
			}
			if g.Tokens < call.want && g.RetryAfter > 0 {
				l.tokensExpectedAt = now + max(min(g.RetryAfter, LoanTTL), MinScarceInterval)
			}
		}
	}
	if g.ID == 0 || g.Tokens <= 0 {
		return
	}
	// Grants stay sorted by the time of their call.
	i := len(l.grants)
	for i > 0 && l.grants[i-1].requestedAt > sentAt {
		i--
	}
	l.grants = append(l.grants, receivedGrant{})
	copy(l.grants[i+1:], l.grants[i:])
	l.grants[i] = receivedGrant{id: g.ID, from: from, run: g.HolderRun, tokens: g.Tokens, requestedAt: sentAt}
	l.advance(now)
}
