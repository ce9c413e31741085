package quota

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Holder pools the parts that lenders lend for one account and grants tokens
// from them. level + outstanding never exceeds the burst of the loans in force.
// The one exception: grants made before a loan expired stay outstanding for up
// to GrantTTL. The lender waits that long before it uses its share again.
type Holder struct {
	account fleet.AccountID
	run     uint64
	share   Share

	updatedAt time.Duration // the time up to which level is refilled
	level     float64
	// outstanding is the sum of the tokens in grants.
	outstanding float64
	// grants is sorted by expiry.
	grants      []issuedGrant
	lastGrantID uint64
	loans       map[fleet.InstanceID]*loan

	mutation Mutation
}

type issuedGrant struct {
	id        uint64
	grantee   fleet.InstanceID
	tokens    float64
	expiresAt time.Duration
}

type loan struct {
	// parts is the number of parts lent.
	parts uint32
	// superseded holds earlier sizes of the loan, the largest first, with the
	// time at which each ceased to be in force.
	superseded []supersededLoan
	// expiresAt is the expiry of the loan; 0 if there was none.
	expiresAt time.Duration
	// lastGrant is the answer to the call with the highest sequence number.
	lastGrant  Grant
	lastCallAt time.Duration
	// unmetWant is the number of tokens that the lender wanted at lastCallAt
	// and did not get.
	unmetWant float64
	// shortSince is the time since which unmetWant has been above 0.
	shortSince time.Duration
	// fractionOwed is the fraction of a token, at most 1, carried over to the
	// lender's next grant.
	fractionOwed float64
}

type supersededLoan struct {
	parts     uint32
	expiresAt time.Duration
}

// replace installs a new size and expiry, and returns the largest number of
// parts that were lent within LoanTTL + GrantTTL before t.
func (lo *loan) replace(t time.Duration, parts uint32, expiresAt time.Duration) (recent uint32) {
	if lo.expiresAt > 0 {
		for len(lo.superseded) > 0 && lo.superseded[len(lo.superseded)-1].parts <= lo.parts {
			lo.superseded = lo.superseded[:len(lo.superseded)-1]
		}
		lo.superseded = append(lo.superseded, supersededLoan{lo.parts, min(lo.expiresAt, t)})
	}
	n := 0
	for n < len(lo.superseded) && lo.superseded[n].expiresAt+plusDrift(LoanTTL+GrantTTL) <= t {
		n++
	}
	lo.superseded = append(lo.superseded[:0], lo.superseded[n:]...)
	if len(lo.superseded) > 0 {
		recent = lo.superseded[0].parts
	}
	lo.parts, lo.expiresAt = parts, max(lo.expiresAt, expiresAt)
	return recent
}

// Retention of a holder's per-lender state.
const (
	// wantTTL is how long an unmet want counts as demand.
	wantTTL = 2*ActiveInterval + ActiveInterval/2
	// lenderIdleTimeout is the time without calls after which a lender's state
	// is dropped. By then, any loan based on the echo in a late call of it has
	// long expired.
	lenderIdleTimeout = time.Minute
)

// NewHolder returns an empty holder. run identifies the process run; it must
// not be 0 and must differ between runs of the instance.
func NewHolder(account fleet.AccountID, run uint64) *Holder {
	return &Holder{account: account, run: run, loans: map[fleet.InstanceID]*loan{}}
}

// SetShare sets the account's limit; Share.Slots is not used.
func (h *Holder) SetShare(now time.Duration, s Share) {
	h.advance(wireTime(now))
	h.share = s
	h.clampLevel()
}

// wireTime returns the holder's clock as sent in grants; it is never 0, which
// stands for "no clock yet" in an exchange.
func wireTime(now time.Duration) time.Duration { return now + time.Microsecond }

// partsLent returns the number of parts whose loans are in force at t.
func (h *Holder) partsLent(t time.Duration) uint32 {
	var n uint32
	for _, lo := range h.loans {
		if lo.expiresAt > t {
			n += lo.parts
		}
	}
	return n
}

// clampLevel limits the tokens in the bucket to the burst size of the parts lent to
// this holder, less the tokens in outstanding grants.
func (h *Holder) clampLevel() {
	available := h.share.burst(h.partsLent(h.updatedAt)) - h.outstanding
	h.level = max(min(h.level, available), 0)
}

// advance refills the bucket up to t, then expires loans and grants. Refilling
// before grants expire can only give a lower level than the exact order.
func (h *Holder) advance(t time.Duration) {
	if t <= h.updatedAt {
		return
	}
	for _, lo := range h.loans {
		if end := min(t, lo.expiresAt); end > h.updatedAt {
			h.level += refill(h.share.rate(lo.parts), end-h.updatedAt)
		}
	}
	h.updatedAt = t
	h.clampLevel()
	n := 0
	for n < len(h.grants) && h.grants[n].expiresAt <= t {
		h.outstanding -= h.grants[n].tokens
		n++
	}
	h.grants = append(h.grants[:0], h.grants[n:]...)
	if len(h.grants) == 0 {
		h.outstanding = 0
	}
}

// HandleExchange processes a call from an instance and returns the answer. A
// repeated call gets the same answer again; an older one gets an empty grant.
func (h *Holder) HandleExchange(now time.Duration, from fleet.InstanceID, ex Exchange) Grant {
	t := wireTime(now)
	h.advance(t)
	lo := h.loans[from]
	if lo == nil {
		h.dropIdleLoans()
		lo = &loan{}
		h.loans[from] = lo
	}
	if ex.Seq <= lo.lastGrant.Seq {
		if ex.Seq == lo.lastGrant.Seq {
			return lo.lastGrant
		}
		return Grant{Account: h.account, Now: t, HolderRun: h.run, Seq: ex.Seq}
	}
	reserved := 0.0
	if ex.HolderRun == h.run {
		reserved = h.closeGrants(from, ex.Closed)
	}
	credit := min(ex.LendLevel, reserved)
	accepted := false
	expiresAt := ex.Echo + minusDrift(LoanTTL)
	if h.mutation == LoanFromNow {
		expiresAt = t + minusDrift(LoanTTL)
	}
	if ex.LentParts > 0 && ex.HolderRun == h.run && ex.Echo > 0 && ex.Echo <= t && expiresAt > t {
		accepted = true
		// The tokens moved with the call may fill the burst of the closed
		// grants, and that of parts that were not lent at any time since
		// before the call was sent. A call is at most LoanTTL old here.
		if recent := lo.replace(t, ex.LentParts, expiresAt); ex.LentParts > recent {
			credit = min(ex.LendLevel, reserved+h.share.burst(ex.LentParts-recent))
		}
	}
	h.level += max(credit, 0)
	h.clampLevel()
	// Outstanding grants may still use the burst of parts that this call
	// reclaimed.
	accepted = accepted && h.outstanding <= h.share.burst(h.partsLent(t))

	sinceLastCall := min(t-lo.lastCallAt, wantTTL)
	lo.lastCallAt = t
	g := Grant{Account: h.account, Now: t, HolderRun: h.run, Seq: ex.Seq, Accepted: accepted}
	unmet, scarce := h.unmetDemandOfOthers(t, from)
	if scarce {
		g.RetryAfter = LoanTTL
	}
	if ex.Want > 0 {
		h.grant(t, from, lo, sinceLastCall, ex.Want, unmet, &g)
	} else {
		lo.unmetWant, lo.fractionOwed = 0, 0
	}
	lo.lastGrant = g
	return g
}

// closeGrants removes grants of the instance and returns the sum of their
// outstanding tokens. Expired grants are no longer in the list and add nothing.
func (h *Holder) closeGrants(from fleet.InstanceID, ids []uint64) (reserved float64) {
	for _, id := range ids {
		for i := range h.grants {
			if h.grants[i].id == id && h.grants[i].grantee == from {
				reserved += h.grants[i].tokens
				h.grants = append(h.grants[:i], h.grants[i+1:]...)
				break
			}
		}
	}
	h.outstanding = max(h.outstanding-reserved, 0)
	return reserved
}

// unmetDemandOfOthers returns the number of tokens that the other lenders wanted at
// their last calls and did not get, and whether one of them has lacked tokens for
// at least scarceDelay. It leaves out lenders that have not called for wantTTL.
func (h *Holder) unmetDemandOfOthers(t time.Duration, from fleet.InstanceID) (sum float64, scarce bool) {
	for id, other := range h.loans {
		if id != from && t-other.lastCallAt < wantTTL {
			sum += other.unmetWant
			scarce = scarce || other.unmetWant > 0 && t-other.shortSince >= scarceDelay
		}
	}
	return sum, scarce
}

// grant grants the lender what it wants if the level covers all demands, else
// a fraction of the level in proportion to its demand. The fraction applies to
// the tokens refilled since its last call if these are more than the level, so
// that an instance that calls rarely gets as much as one that calls often.
func (h *Holder) grant(t time.Duration, from fleet.InstanceID, lo *loan, sinceLastCall time.Duration, want, unmet float64, g *Grant) {
	demand := want + unmet
	fraction := want / demand
	rate := h.share.rate(h.partsLent(t))
	due := want
	if demand > h.level {
		due = min(max(h.level, refill(rate, sinceLastCall))*fraction+lo.fractionOwed, want)
	}
	tokens := math.Floor(min(due, h.level))
	lo.fractionOwed = 0
	if tokens < want {
		lo.fractionOwed = min(max(due-tokens, 0), 1)
		g.RetryAfter = LoanTTL
		if rate > 0 {
			wait := max(1-lo.fractionOwed, 1-h.level+tokens) / (rate * (1 - MaxClockDrift) * fraction)
			g.RetryAfter = time.Duration(min(wait, 1) * float64(time.Second))
		}
		g.RetryAfter = max(g.RetryAfter, time.Millisecond)
	}
	if lo.unmetWant == 0 {
		lo.shortSince = t
	}
	lo.unmetWant = want - tokens
	if tokens <= 0 {
		return
	}
	h.lastGrantID++
	h.level -= tokens
	h.outstanding += tokens
	h.grants = append(h.grants, issuedGrant{h.lastGrantID, from, tokens, t + plusDrift(GrantTTL)})
	g.ID, g.Tokens = h.lastGrantID, tokens
}

// dropIdleLoans drops the state of lenders that have not called within
// lenderIdleTimeout.
func (h *Holder) dropIdleLoans() {
	for id, lo := range h.loans {
		if h.updatedAt-lo.lastCallAt > lenderIdleTimeout {
			delete(h.loans, id)
		}
	}
}
