package quota

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Holder is the side that collects the loans of one account and grants
// tokens. level + outstanding never exceeds the burst of the loans that
// count, except that grants made before a loan ended stay outstanding for up
// to GrantTime; the lender waits that long before it uses its share.
type Holder struct {
	account fleet.AccountID
	run     uint64
	share   Share

	at    time.Duration // level is filled up to at
	level float64
	// outstanding is the sum of the tokens in grants.
	outstanding float64
	// grants is sorted by end.
	grants []issuedGrant
	lastID uint64
	loans  map[fleet.InstanceID]*loan

	mutation Mutation
}

type issuedGrant struct {
	id     uint64
	to     fleet.InstanceID
	tokens float64
	end    time.Duration
}

type loan struct {
	// slots is the number of parts lent.
	slots uint32
	// past holds earlier sizes of the loan, the largest first, with the time
	// at which each ceased to count.
	past []pastLoan
	// until is the end of the loan; 0 if there was none.
	until time.Duration
	// answer is the answer to the call with the highest sequence number.
	answer Grant
	heard  time.Duration
	// unmet is what the lender wanted and did not get at heard.
	unmet float64
	// shortFrom is since when unmet has been above 0.
	shortFrom time.Duration
	// carry is the part of a token that the lender is owed; below 1.
	carry float64
}

type pastLoan struct {
	slots uint32
	until time.Duration
}

// replace installs a new size and end, and returns the largest number of parts
// that counted within LoanTime + GrantTime before t.
func (lo *loan) replace(t time.Duration, slots uint32, until time.Duration) (recent uint32) {
	if lo.until > 0 {
		for len(lo.past) > 0 && lo.past[len(lo.past)-1].slots <= lo.slots {
			lo.past = lo.past[:len(lo.past)-1]
		}
		lo.past = append(lo.past, pastLoan{lo.slots, min(lo.until, t)})
	}
	n := 0
	for n < len(lo.past) && lo.past[n].until+longer(LoanTTL+GrantTTL) <= t {
		n++
	}
	lo.past = append(lo.past[:0], lo.past[n:]...)
	if len(lo.past) > 0 {
		recent = lo.past[0].slots
	}
	lo.slots, lo.until = slots, max(lo.until, until)
	return recent
}

// Bounds of what a holder remembers.
const (
	// wantTime is how long an unmet want counts as demand.
	wantTime = 2*ActiveInterval + ActiveInterval/2
	// forgetTime is when a silent lender is forgotten. Any echo that a late
	// call of it carries has long ended by then.
	forgetTime = time.Minute
)

// NewHolder returns an empty holder. run identifies the process run, is not
// 0, and must differ between runs of the instance.
func NewHolder(account fleet.AccountID, run uint64) *Holder {
	return &Holder{account: account, run: run, loans: map[fleet.InstanceID]*loan{}}
}

// SetShare installs the account's limit; Share.Slots is not used.
func (h *Holder) SetShare(now time.Duration, s Share) {
	h.advance(clock(now))
	h.share = s
	h.clip()
}

// clock returns the time that goes over the wire, which is never 0.
func clock(now time.Duration) time.Duration { return now + time.Microsecond }

// slotsLent returns the number of parts whose loans count at t.
func (h *Holder) slotsLent(t time.Duration) uint32 {
	var n uint32
	for _, lo := range h.loans {
		if lo.until > t {
			n += lo.slots
		}
	}
	return n
}

// clip keeps the level within the burst of the loans that count.
func (h *Holder) clip() {
	room := h.share.burst(h.slotsLent(h.at)) - h.outstanding
	h.level = max(min(h.level, room), 0)
}

// advance fills the bucket up to t, then ends loans and grants. Filling
// before grants end can only give a lower level than the exact order.
func (h *Holder) advance(t time.Duration) {
	if t <= h.at {
		return
	}
	for _, lo := range h.loans {
		if end := min(t, lo.until); end > h.at {
			h.level += refill(h.share.rate(lo.slots), end-h.at)
		}
	}
	h.at = t
	h.clip()
	n := 0
	for n < len(h.grants) && h.grants[n].end <= t {
		h.outstanding -= h.grants[n].tokens
		n++
	}
	h.grants = append(h.grants[:0], h.grants[n:]...)
	if len(h.grants) == 0 {
		h.outstanding = 0
	}
}

// HandleExchange takes a call from an instance and answers it.
func (h *Holder) HandleExchange(now time.Duration, from fleet.InstanceID, ex Exchange) Grant {
	t := clock(now)
	h.advance(t)
	lo := h.loans[from]
	if lo == nil {
		h.forget()
		lo = &loan{}
		h.loans[from] = lo
	}
	if ex.Seq <= lo.answer.Seq {
		if ex.Seq == lo.answer.Seq {
			return lo.answer
		}
		return Grant{Account: h.account, Now: t, HolderRun: h.run, Seq: ex.Seq}
	}
	reserved := 0.0
	if ex.HolderRun == h.run {
		reserved = h.close(from, ex.Closed)
	}
	credit := min(ex.LendLevel, reserved)
	accepted := false
	end := ex.Echo + shorter(LoanTTL)
	if h.mutation == LoanFromNow {
		end = t + shorter(LoanTTL)
	}
	if ex.LentParts > 0 && ex.HolderRun == h.run && ex.Echo > 0 && ex.Echo <= t && end > t {
		accepted = true
		// The room of parts that have not counted since before the call was
		// sent is free for the level moved with it, besides the room of the
		// closed grants. A call is at most LoanTime old here.
		if recent := lo.replace(t, ex.LentParts, end); ex.LentParts > recent {
			credit = min(ex.LendLevel, reserved+h.share.burst(ex.LentParts-recent))
		}
	}
	h.level += max(credit, 0)
	h.clip()
	// Grants may still use the room of parts that this call took back.
	accepted = accepted && h.outstanding <= h.share.burst(h.slotsLent(t))

	since := min(t-lo.heard, wantTime)
	lo.heard = t
	g := Grant{Account: h.account, Now: t, HolderRun: h.run, Seq: ex.Seq, Accepted: accepted}
	unmet, scarce := h.unmet(t, from)
	if scarce {
		g.RetryAfter = LoanTTL
	}
	if ex.Want > 0 {
		h.grant(t, from, lo, since, ex.Want, unmet, &g)
	} else {
		lo.unmet, lo.carry = 0, 0
	}
	lo.answer = g
	return g
}

// close ends grants of the instance and returns the tokens that they kept
// outstanding.
func (h *Holder) close(from fleet.InstanceID, ids []uint64) (reserved float64) {
	for _, id := range ids {
		for i := range h.grants {
			if h.grants[i].id == id && h.grants[i].to == from {
				reserved += h.grants[i].tokens
				h.grants = append(h.grants[:i], h.grants[i+1:]...)
				break
			}
		}
	}
	h.outstanding = max(h.outstanding-reserved, 0)
	return reserved
}

// unmet returns what the other lenders lack, and whether one of them has
// lacked tokens for scarceAfter.
func (h *Holder) unmet(t time.Duration, from fleet.InstanceID) (sum float64, scarce bool) {
	for id, other := range h.loans {
		if id != from && t-other.heard < wantTime {
			sum += other.unmet
			scarce = scarce || other.unmet > 0 && t-other.shortFrom >= scarceAfter
		}
	}
	return sum, scarce
}

// grant gives the lender its part of the level: all that it wants when there
// is enough for everyone, else in proportion to the demands. The part of the
// rate since the last call counts as well, so that an instance that calls
// seldom gets as much as one that calls often.
func (h *Holder) grant(t time.Duration, from fleet.InstanceID, lo *loan, since time.Duration, want, unmet float64, g *Grant) {
	demand := want + unmet
	part := want / demand
	rate := h.share.rate(h.slotsLent(t))
	due := want
	if demand > h.level {
		due = min(max(h.level, refill(rate, since))*part+lo.carry, want)
	}
	tokens := math.Floor(min(due, h.level))
	lo.carry = 0
	if tokens < want {
		lo.carry = min(max(due-tokens, 0), 1)
		g.RetryAfter = LoanTTL
		if rate > 0 {
			missing := max(1-lo.carry, 1-h.level+tokens) / (rate * (1 - MaxClockDrift) * part)
			g.RetryAfter = time.Duration(min(missing, 1) * float64(time.Second))
		}
		g.RetryAfter = max(g.RetryAfter, time.Millisecond)
	}
	if lo.unmet == 0 {
		lo.shortFrom = t
	}
	lo.unmet = want - tokens
	if tokens <= 0 {
		return
	}
	h.lastID++
	h.level -= tokens
	h.outstanding += tokens
	h.grants = append(h.grants, issuedGrant{h.lastID, from, tokens, t + longer(GrantTTL)})
	g.ID, g.Tokens = h.lastID, tokens
}

// forget drops lenders that have been silent for long.
func (h *Holder) forget() {
	for id, lo := range h.loans {
		if h.at-lo.heard > forgetTime {
			delete(h.loans, id)
		}
	}
}
