package quota

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Lender is the side of an instance that admits requests of one account.
type Lender struct {
	account fleet.AccountID
	mode    Mode
	share   Share
	// resumeWait is the time from a lending call to the use of its parts.
	// It is a field so that a test can show what a shorter one breaks.
	resumeWait time.Duration
	mutation   Mutation

	// own is the level of the own bucket, filled up to ownAt, and at most the
	// burst of the parts that are not lent.
	own   float64
	ownAt time.Duration
	// loans are the lending calls whose parts may still be in use elsewhere,
	// the oldest first. A call replaces the earlier ones at the holder, so
	// that the largest counts; calls that a newer one covers are left out,
	// which puts the largest first. While there are any, lentTo and lentRun
	// are the only holder that parts may be lent to. They are empty when an
	// earlier run of the instance may have lent them.
	loans    []sentLoan
	lentTo   fleet.InstanceID
	lentRun  uint64
	released bool
	// floor is keepFloor, but for tests.
	floor float64

	// holder is the current holder; echo and run are its clock and process
	// run in the newest answer to a call sent at echoSent.
	holder   fleet.InstanceID
	echo     time.Duration
	run      uint64
	echoSent time.Duration

	seq      uint64
	lastCall time.Duration
	called   bool
	// waiting is set while the newest call is unanswered; silentFrom is when
	// the first call since the last answer was sent.
	waiting    bool
	silentFrom time.Duration
	// calls remembers the newest calls; an answer is used once, and only if
	// its call is among them.
	calls [8]sentCall

	// grants can be spent, the oldest first; none is past its end.
	grants []liveGrant
	// closed holds ids of grants of (holder, run) to report. The first
	// closedSent of them went out with the newest call.
	closed     []uint64
	closedSent int

	spent    float64
	arrived  float64 // tokens asked for since the last call
	shortage float64 // of these, those left Pending
	demand   float64 // tokens asked for per second, smoothed
	usage    float64 // tokens spent per second, smoothed over usageTime
	// scarce is set while this or another lender has lacked tokens for
	// scarceAfter; shortFrom is since when this one has, or 0.
	scarce    bool
	shortFrom time.Duration
	// kept is the number of parts that are not lent, last increased at
	// raisedAt.
	kept     uint32
	raisedAt time.Duration
	lastAsk  time.Duration
	asked    bool
	urgent   bool
	// scarceUntil is when the holder expects tokens after it granted fewer
	// than wanted.
	scarceUntil time.Duration
}

type sentCall struct {
	seq  uint64 // 0: none, or answered
	to   fleet.InstanceID
	at   time.Duration
	want float64
}

type sentLoan struct {
	seq      uint64
	parts    uint32
	resumeAt time.Duration
}

type liveGrant struct {
	id     uint64
	from   fleet.InstanceID
	run    uint64
	tokens float64
	sent   time.Duration
}

func (g *liveGrant) ends() time.Duration { return g.sent + shorter(GrantTTL) }

// maxClosed bounds the grants reported in one call. Those dropped stop
// counting at the holder by themselves after GrantTime.
const maxClosed = 64

// NewLender returns a lender that starts empty. firstSeq must be greater than
// any Seq that an earlier run of this instance used, for example the wall
// clock in microseconds at the start of the process. The own share is not
// used before the loans and grants of an earlier run have ended.
func NewLender(now time.Duration, account fleet.AccountID, mode Mode, firstSeq uint64) *Lender {
	wait := longer(LoanTTL + GrantTTL)
	return &Lender{account: account, mode: mode, resumeWait: wait, seq: firstSeq,
		loans: []sentLoan{{parts: math.MaxUint32, resumeAt: now + wait}}, ownAt: now, floor: keepFloor}
}

// advance moves the own bucket and the grants to now.
func (l *Lender) advance(now time.Duration) {
	for len(l.loans) > 0 && now >= l.loans[0].resumeAt {
		l.fill(l.loans[0].resumeAt)
		l.loans = append(l.loans[:0], l.loans[1:]...)
	}
	l.fill(now)
	for len(l.grants) > 0 && now >= l.grants[0].ends() && l.mutation != KeepGrants {
		l.close(0)
	}
}

// fill fills the own bucket up to t.
func (l *Lender) fill(t time.Duration) {
	if t > l.ownAt {
		n := l.ownParts()
		l.own = min(l.own+refill(l.share.rate(n), t-l.ownAt), l.share.burst(n))
		l.ownAt = t
	}
}

// ownParts returns the number of parts that no loan can use.
func (l *Lender) ownParts() uint32 {
	n := l.share.parts()
	if len(l.loans) > 0 {
		n -= min(n, l.loans[0].parts)
	}
	return n
}

// close drops a live grant and reports it with the next call.
func (l *Lender) close(i int) {
	g := l.grants[i]
	l.grants = append(l.grants[:i], l.grants[i+1:]...)
	if g.from != l.holder || g.run != l.run {
		return
	}
	if len(l.closed) == maxClosed {
		copy(l.closed, l.closed[1:])
		l.closed = l.closed[:maxClosed-1]
		l.closedSent = max(l.closedSent-1, 0)
	}
	l.closed = append(l.closed, g.id)
}

// SetShare installs the limit and the own slots. A new share starts empty.
func (l *Lender) SetShare(now time.Duration, s Share) {
	l.advance(now)
	l.share = s
	l.own = min(l.own, s.burst(l.ownParts()))
}

// SetHolder names the holder. After a change the share is lent to the new
// holder only once it has been resumed from the old one.
func (l *Lender) SetHolder(now time.Duration, holder fleet.InstanceID) {
	l.advance(now)
	if holder == l.holder {
		return
	}
	l.holder = holder
	l.forgetRun()
	l.waiting, l.urgent, l.called = false, true, false
	l.silentFrom = now
	l.scarceUntil = 0
}

// forgetRun drops what belongs to one process run of the holder.
func (l *Lender) forgetRun() {
	l.echo, l.run = 0, 0
	l.closed, l.closedSent = l.closed[:0], 0
}

// Release stops lending for good, ahead of handing the slots over.
func (l *Lender) Release(now time.Duration) {
	l.advance(now)
	l.released = true
}

// Released reports whether no loan or grant of the share can still be in use,
// so that the slots may be handed over.
func (l *Lender) Released(now time.Duration) bool {
	l.advance(now)
	return l.released && len(l.loans) == 0
}

// Admit takes n tokens if it has them. Grants are of whole tokens, so n
// should be a whole number.
func (l *Lender) Admit(now time.Duration, n float64) Result {
	l.arrived += n
	l.lastAsk, l.asked = now, true
	return l.AdmitPending(now, n)
}

// AdmitPending asks again for a request that Admit left Pending. Ask once per
// answer: each Pending adds n to what the next call wants.
func (l *Lender) AdmitPending(now time.Duration, n float64) Result {
	l.advance(now)
	if l.take(n) {
		l.spent += n
		return Result{Decision: Admitted}
	}
	if l.mode == StaticSplit || l.holder == "" {
		return Result{Refused, l.ownAfter(now, n)}
	}
	if wait := l.ownAfter(now, l.shortage+n); wait <= MaxLocalWait && l.ownParts() > 0 {
		// The own parts bring the tokens in time, whatever the holder does.
		l.urgent = true
		l.shortage += n
		return Result{Pending, wait}
	}
	if wait := l.scarceUntil - now; wait > 0 {
		// As many requests as tokens are due within ScarceTime may wait.
		if wait > MaxScarceWait || l.shortage+n > max(refill(l.share.rate(l.share.parts()), MaxScarceWait), 1) {
			return Result{Refused, wait}
		}
	}
	if l.waiting && now-l.silentFrom >= HolderTimeout {
		return Result{Refused, l.ownAfter(now, n)}
	}
	l.urgent = true
	l.shortage += n
	left := HolderTimeout
	if l.waiting {
		left -= now - l.silentFrom
	}
	return Result{Pending, left}
}

// take spends n tokens, of the grants first, or none.
func (l *Lender) take(n float64) bool {
	have := l.own
	for i := range l.grants {
		have += l.grants[i].tokens
	}
	if have < n {
		return false
	}
	for n > 0 && len(l.grants) > 0 {
		g := &l.grants[0]
		t := min(n, g.tokens)
		g.tokens -= t
		n -= t
		if g.tokens <= 0 {
			l.close(0)
		}
	}
	l.own = max(l.own-n, 0)
	return true
}

// ownAfter returns when the own share alone will have n tokens.
func (l *Lender) ownAfter(now time.Duration, n float64) time.Duration {
	wait := time.Duration(0)
	parts := l.ownParts()
	if parts == 0 && len(l.loans) > 0 {
		// The newest loan is the smallest; after it the whole share is free.
		wait = l.loans[len(l.loans)-1].resumeAt - now
		parts = l.share.parts()
	}
	rate := l.share.rate(parts) * (1 - MaxClockDrift)
	if rate <= 0 {
		return max(wait, LoanTTL)
	}
	missing := time.Duration((n - l.own) / rate * float64(time.Second))
	return max(wait+missing, time.Millisecond)
}

// interval returns the time between calls that are not urgent.
func (l *Lender) interval(now time.Duration) time.Duration {
	// A lender that keeps parts hears soon that others lack tokens.
	if l.active(now) || l.kept > 0 {
		return ActiveInterval
	}
	return IdleInterval
}

// active reports whether there was demand within LoanTime.
func (l *Lender) active(now time.Duration) bool {
	return l.asked && now-l.lastAsk < LoanTTL
}

// NextExchangeAt returns when Due should be called without new demand.
func (l *Lender) NextExchangeAt(now time.Duration) time.Duration {
	switch {
	case l.mode == StaticSplit || l.holder == "":
		return now + IdleInterval
	case l.waiting:
		return max(now, l.lastCall+CallTimeout)
	case l.urgent && !l.called:
		return now
	case l.urgent:
		return max(now, l.scarceUntil)
	}
	return max(now, l.lastCall+l.interval(now))
}

// NextExchange returns the next call and its destination, if one is due.
func (l *Lender) NextExchange(now time.Duration) (Exchange, fleet.InstanceID, bool) {
	l.advance(now)
	if l.mode == StaticSplit || l.holder == "" || now < l.NextExchangeAt(now) {
		return Exchange{}, "", false
	}
	elapsed := ActiveInterval
	if l.called {
		elapsed = max(now-l.lastCall, time.Millisecond)
	}
	// A call after 100 ms weighs a third; the estimate follows within 0.3 s.
	weight := min(elapsed.Seconds()/0.3, 1)
	l.demand += weight * (l.arrived/elapsed.Seconds() - l.demand)
	weight = min(elapsed.Seconds()/usageTime.Seconds(), 1)
	l.usage += weight * (l.spent/elapsed.Seconds() - l.usage)

	l.seq++
	ex := Exchange{Account: l.account, Echo: l.echo, HolderRun: l.run, Seq: l.seq, Spent: l.spent}
	if ex.LentParts = l.lend(now); ex.LentParts > 0 {
		kept := min(l.own, l.share.burst(l.ownParts()))
		ex.LendLevel = l.own - kept
		l.own = kept
	}
	held := 0.0
	for i := 0; i < len(l.grants); {
		g := &l.grants[i]
		if now-g.sent > GrantReturnAge && g.from == l.holder && g.run == l.run && l.run != 0 {
			ex.LendLevel += g.tokens
			l.close(i)
			continue
		}
		held += g.tokens
		i++
	}
	// Tokens for one and a half intervals cover the way of the next call; the
	// parts kept bring some of them.
	own := l.share.rate(l.ownParts())
	expect := max(l.demand-own, 0)
	if l.scarce && own > 0 {
		// Of scarce tokens an instance is due a part in proportion to its
		// whole demand, less those that it kept: of its usage, the part that
		// the own parts don't bring.
		expect = l.demand * max(1-own/max(l.usage, own), 0)
	}
	expect *= (ActiveInterval + ActiveInterval/2).Seconds()
	if !l.active(now) {
		expect = 0
	}
	// A part of a token is not fetched ahead: at a low rate the last tokens
	// would wait at instances that don't need them. The demand includes the
	// requests left pending.
	ex.Want = max(math.Ceil(max(math.Floor(expect), l.shortage)-held-l.own), 0)
	ex.Closed = l.closed
	l.closedSent = len(l.closed)

	l.calls[l.seq%uint64(len(l.calls))] = sentCall{l.seq, l.holder, now, ex.Want}
	if !l.waiting {
		l.waiting, l.silentFrom = true, now
	}
	l.lastCall, l.called = now, true
	l.spent, l.arrived, l.shortage, l.urgent = 0, 0, 0, false
	return ex, l.holder, true
}

// keep returns the number of parts that the own usage needs.
func (l *Lender) keep(now time.Duration) uint32 {
	rate := l.share.rate(1) * (1 - MaxClockDrift)
	if rate <= 0 {
		return 0
	}
	need, surplus := math.Ceil(l.usage*keepFactor/rate), float64(keepSurplus)
	if l.scarce {
		need, surplus = math.Floor(min(l.usage, l.demand)*scarceKeepFactor/rate), 0
	}
	need = min(need, float64(l.share.parts()))
	if l.share.burst(l.share.parts()) < l.floor || now-l.lastAsk >= usageTime {
		need, surplus = 0, 0
	}
	switch kept := float64(l.kept); {
	case need+surplus < kept:
		l.kept = uint32(need)
	case need > kept && now >= l.raisedAt+keepHold:
		l.kept, l.raisedAt = min(uint32(need), l.kept+keepStep), now
	}
	return min(l.kept, l.share.parts())
}

// replaced notes that the loan of call seq has replaced those of earlier calls
// at the holder, and that the holder's level and grants fit into the rest.
func (l *Lender) replaced(seq uint64) {
	n := 0
	for n < len(l.loans) && l.loans[n].seq < seq {
		n++
	}
	l.loans = append(l.loans[:0], l.loans[n:]...)
}

// lend returns the number of parts that the call lends, and marks them as lent.
func (l *Lender) lend(now time.Duration) uint32 {
	// An old echo would make a loan that ends soon, and a holder that no
	// longer answers must not keep the share: two lost calls end the loan.
	if l.released || l.run == 0 || l.share.Slots == 0 || now-l.echoSent > l.interval(now)+HolderTimeout-CallTimeout {
		return 0
	}
	if len(l.loans) > 0 && (l.lentTo != l.holder || l.lentRun != l.run) {
		return 0
	}
	parts := l.share.parts() - l.keep(now)
	if parts == 0 {
		return 0
	}
	l.lentTo, l.lentRun = l.holder, l.run
	n := len(l.loans)
	for n > 0 && l.loans[n-1].parts <= parts {
		n--
	}
	l.loans = append(l.loans[:n], sentLoan{l.seq, parts, now + l.resumeWait})
	return parts
}

// HandleGrant takes an answer. Late, duplicate and reordered answers are safe.
func (l *Lender) HandleGrant(now time.Duration, from fleet.InstanceID, g Grant) {
	l.advance(now)
	call := &l.calls[g.Seq%uint64(len(l.calls))]
	if call.seq != g.Seq || call.seq == 0 || call.to != from {
		return
	}
	sent := call.at
	call.seq = 0
	if from == l.holder {
		if g.HolderRun != l.run && (l.run == 0 || sent >= l.echoSent) {
			l.forgetRun()
			l.run = g.HolderRun
		}
		if g.HolderRun == l.run && g.Now > l.echo {
			l.echo, l.echoSent = g.Now, sent
		}
		if g.Accepted && from == l.lentTo && g.HolderRun == l.lentRun {
			l.replaced(g.Seq)
		}
		// Even a late answer shows that the holder lives.
		l.silentFrom = l.lastCall
		if g.Seq == l.seq {
			l.waiting = false
			if g.HolderRun == l.run {
				l.closed = append(l.closed[:0], l.closed[l.closedSent:]...)
			}
			l.closedSent = 0
			l.scarceUntil = 0
			short := g.Tokens < call.want
			if !short {
				l.shortFrom = 0
			} else if l.shortFrom == 0 {
				l.shortFrom = now
			}
			scarce := l.scarce
			l.scarce = g.RetryAfter > 0 && (!short || now-l.shortFrom >= scarceAfter)
			if l.scarce && !scarce && l.kept > 0 {
				l.urgent = true // lend more at once
			}
			if g.Tokens < call.want && g.RetryAfter > 0 {
				l.scarceUntil = now + max(min(g.RetryAfter, LoanTTL), MinScarceInterval)
			}
		}
	}
	if g.ID == 0 || g.Tokens <= 0 {
		return
	}
	// Grants stay sorted by the time of their call.
	i := len(l.grants)
	for i > 0 && l.grants[i-1].sent > sent {
		i--
	}
	l.grants = append(l.grants, liveGrant{})
	copy(l.grants[i+1:], l.grants[i:])
	l.grants[i] = liveGrant{id: g.ID, from: from, run: g.HolderRun, tokens: g.Tokens, sent: sent}
	l.advance(now)
}
