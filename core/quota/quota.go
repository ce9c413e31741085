// Package quota enforces each client account's rate and burst over the whole
// fleet. Every instance has one Lender per account, and the account's holder
// instance has one Holder for it; they talk by Exchange and Grant, which
// mirror AccountExchange and AccountGrant of peer/v1.
//
// Use, per account, under one lock:
//
//	switch v := lender.Admit(now, 1); v.Decision {
//	case quota.Admitted: // run the request
//	case quota.Pending:  // send the exchange that Due returns; Readmit on its answer, or after v.After
//	case quota.Refused:  // VH429, not run; v.After is the retry-after
//	}
//	if ex, to, ok := lender.Due(now); ok { // send ex to instance `to`
//	}
//	lender.Answer(now, from, grant)
//
// Call Due at every NextDue at the latest, and after each Pending. On the
// holder, answer each received Exchange with Holder.Exchange. The holder's
// own instance lends through the same calls, without a network between.
//
// Times are since the start of the own process; the two clocks are never
// compared, only their rates are assumed to differ by less than Slack.
package quota

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Bounds of the exchange. The safety argument needs LoanTime + GrantTime as
// the wait before a lender uses its own share again.
const (
	// LoanTTL is how long a loan counts after the echoed holder time.
	LoanTTL = time.Second
	// GrantTTL is how long a grant may be spent after the call was sent.
	GrantTTL = 500 * time.Millisecond
	// MaxClockDrift is the part by which two clock rates may differ.
	MaxClockDrift = 0.01
	// ActiveInterval is the time between exchanges while there is demand.
	ActiveInterval = 100 * time.Millisecond
	// IdleInterval is the time between exchanges without demand. It must
	// leave room for a lost call before the loan ends.
	IdleInterval = 400 * time.Millisecond
	// CallTimeout is how long an unanswered call delays the next one.
	CallTimeout = 50 * time.Millisecond
	// HolderTimeout is how long requests are kept Pending while the holder
	// doesn't answer. It outlasts four lost calls; after it they are refused.
	HolderTimeout = 250 * time.Millisecond
	// MaxScarceWait is how long a request may be kept Pending for a token that
	// is due, in place of a refusal.
	MaxScarceWait = 125 * time.Millisecond
	// MaxLocalWait is how long a request may be kept Pending for a token of the
	// own parts.
	MaxLocalWait = 250 * time.Millisecond
	// MinScarceInterval is the shortest time between calls made because the
	// tokens ran out again. It bounds the calls while an account floods.
	MinScarceInterval = 10 * time.Millisecond
	// GrantReturnAge is the age at which unspent tokens of a grant go back to the
	// holder; the rest of GrantTime is left for the way there.
	GrantReturnAge = 300 * time.Millisecond
)

// PartsPerSlot is the number of parts of a slot, the unit of loans.
const PartsPerSlot = 8

// Bounds of what a lender keeps of its share.
const (
	// usageTime is the time constant of the usage that the kept part covers.
	// It is longer than the wait to take parts back, so that chance gaps in
	// the traffic don't lend parts that are needed again at once.
	usageTime = 2 * time.Second
	// keepFactor adds headroom for a usage that grows: the traffic of one
	// lost instance of four raises that of the others by a third.
	keepFactor = 1.25
	// scarceAfter is how long a lender must come away short before tokens
	// count as scarce; a single short answer is made up by the next one.
	scarceAfter = 50 * time.Millisecond
	// scarceKeepFactor is used while some instance lacks tokens. It leaves
	// some of the usage to the holder, which divides it by demand; with 0.875
	// an instance with little demand got 1.9 times its part.
	scarceKeepFactor = 0.8
	// keepHold is the time between increases of the kept part. Parts that are
	// taken back serve nobody until a call is answered, and come empty.
	keepHold = time.Second
	// keepStep is the largest increase of the kept part at a time.
	keepStep = 2
	// keepSurplus is the number of parts above the need that are kept, so
	// that a usage that varies by chance doesn't move parts to and fro.
	keepSurplus = 2
	// keepFloor is the burst of the own slots below which nothing is kept: in
	// a small bucket of its own, chance bursts within the rate are refused.
	keepFloor = 12
)

// shorter and longer take the slack off a time that permits something, and
// add it to a time that must have passed.
func shorter(d time.Duration) time.Duration { return d - d/100 }
func longer(d time.Duration) time.Duration  { return d + d/100 }

// refill returns the tokens that a rate brings in d. Slack is subtracted, so
// that a clock that runs fast doesn't raise the rate.
func refill(rate float64, d time.Duration) float64 {
	return rate * (1 - MaxClockDrift) * d.Seconds()
}

// Share is an account's limit and the part of it that an instance carries.
type Share struct {
	// Rate is in tokens per second over the fleet, Burst in tokens.
	Rate, Burst float64
	// FleetSlots is N; Slots is how many of them the instance may use.
	FleetSlots, Slots uint32
}

// parts returns the number of parts of the own slots.
func (s Share) parts() uint32 { return s.Slots * PartsPerSlot }

// rate and burst return the portion of the limit that n parts carry.
func (s Share) rate(n uint32) float64  { return part(s.Rate, n, s.FleetSlots*PartsPerSlot) }
func (s Share) burst(n uint32) float64 { return part(s.Burst, n, s.FleetSlots*PartsPerSlot) }

func part(whole float64, n, of uint32) float64 {
	if of == 0 {
		return 0
	}
	return whole * float64(min(n, of)) / float64(of)
}

// Exchange is one call from a lender to the holder of an account.
type Exchange struct {
	Account fleet.AccountID
	// Echo is the holder's clock in the last answer; 0 at first.
	Echo time.Duration
	// HolderRun is the process run of the holder that Echo belongs to.
	HolderRun uint64
	// LendLevel is the number of tokens moved to the holder: what the own
	// bucket has above the burst of the parts kept, and the unspent rest of
	// grants in Closed.
	LendLevel float64
	// LentParts is the number of parts lent, SlotParts per slot; it replaces that
	// of earlier calls. 0 leaves an earlier loan as it is.
	LentParts uint32
	// Seq grows with each call, also over restarts of the lender.
	Seq uint64
	// Spent is the number of tokens spent since the last call. It informs
	// only.
	Spent float64
	// Want is the number of tokens wanted now.
	Want float64
	// Closed lists grants of HolderRun that are spent or given up. It is
	// valid until the next call of a method of the lender.
	Closed []uint64
}

// Grant is the holder's answer.
type Grant struct {
	Account fleet.AccountID
	// Now is the holder's clock at answer time; never 0.
	Now       time.Duration
	HolderRun uint64
	// Seq echoes the call.
	Seq uint64
	// ID names the grant; 0 when none was made.
	ID     uint64
	Tokens float64
	// RetryAfter is when tokens are expected when fewer were granted than
	// wanted. It is also set when another lender has lacked tokens
	// for scarceAfter.
	RetryAfter time.Duration
	// Accepted is set when the loan of this call counts at the holder in
	// place of any earlier one, and the holder's level and grants are within
	// the burst of the loans that count. The lender may then use the parts
	// that it has taken back.
	Accepted bool
}

// Decision is the answer to a request for admission.
type Decision uint8

// The decisions.
const (
	Admitted Decision = iota
	// Pending: an exchange may bring tokens; Readmit after its answer.
	Pending
	Refused
)

// Result is a decision with its time.
type Result struct {
	Decision Decision
	// After is the retry-after of a refusal, or the longest wait of Pending.
	After time.Duration
}

// Mode selects how shares are used.
type Mode uint8

// The modes.
const (
	// Lending is the mode of section 8 of the design.
	Lending Mode = iota
	// StaticSplit never lends: each instance has its own share only. It is
	// the baseline for measuring wrongful refusals.
	StaticSplit
)
