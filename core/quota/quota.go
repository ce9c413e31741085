// Package quota enforces each client account's rate and burst over the whole
// fleet.
//
// The limit of an account is a token bucket that is divided into fleet slots,
// and each slot into parts. An instance carries the parts of its slots. It
// lends those that it does not need itself, for a limited time, to the
// account's holder, one of the instances. The holder pools the loans in one
// bucket and grants tokens from it to the instances that have demand. Every
// instance has one Lender per account, and the holder has one Holder for it.
// They communicate by Exchange and Grant, which mirror AccountExchange and
// AccountGrant of peer/v1.
//
// Use, per account, under one lock:
//
//	switch r := lender.Admit(now, 1); r.Decision {
//	case quota.Admitted: // run the request
//	case quota.Pending:  // send what NextExchange returns; AdmitPending on its answer, or after r.After
//	case quota.Refused:  // VH429, not run; r.After is the retry-after
//	}
//	if ex, to, ok := lender.NextExchange(now); ok { // send ex to instance `to`
//	}
//	lender.HandleGrant(now, from, grant)
//
// Call NextExchange no later than NextExchangeAt, and after each Pending. On
// the holder, answer each received Exchange with Holder.HandleExchange. The
// lender on the holder's instance makes the same calls, without the network.
//
// Times count from the start of the local process. Clocks of two instances are
// never compared; their rates are assumed to differ by less than MaxClockDrift.
package quota

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Timing of the exchange. For safety, a lender waits LoanTTL + GrantTTL before
// it uses parts again that it has lent.
const (
	// LoanTTL is how long a loan is in force after the echoed holder time.
	LoanTTL = time.Second
	// GrantTTL is how long a grant may be spent after the call was sent.
	GrantTTL = 500 * time.Millisecond
	// MaxClockDrift is the fraction by which two clock rates may differ.
	MaxClockDrift = 0.01
	// ActiveInterval is the time between exchanges while there is demand.
	ActiveInterval = 100 * time.Millisecond
	// IdleInterval is the time between exchanges without demand. It must
	// allow for one lost call before the loan expires.
	IdleInterval = 400 * time.Millisecond
	// CallTimeout is how long an unanswered call delays the next one.
	CallTimeout = 50 * time.Millisecond
	// HolderTimeout is how long requests are kept Pending while the holder
	// does not answer. It outlasts four lost calls; after it they are refused.
	HolderTimeout = 250 * time.Millisecond
	// MaxScarceWait is how long a request may be kept Pending, instead of being
	// refused, for a token that the holder expects.
	MaxScarceWait = 125 * time.Millisecond
	// MaxLocalWait is how long a request may be kept Pending for a token of the
	// local bucket.
	MaxLocalWait = 250 * time.Millisecond
	// MinScarceInterval is the shortest time between calls made because the
	// tokens ran out again. It bounds the call rate while an account sends far
	// more than its limit.
	MinScarceInterval = 10 * time.Millisecond
	// GrantReturnAge is the age at which unspent tokens of a grant are returned
	// to the holder; the rest of GrantTTL is left for the transfer.
	GrantReturnAge = 300 * time.Millisecond
)

// PartsPerSlot is the number of parts of a slot. A part is the unit of loans.
const PartsPerSlot = 8

// Parameters that decide how many parts a lender retains, that is, does not
// lend.
const (
	// usageTimeConstant is the time constant of the smoothed usage that the
	// retained parts cover. It is longer than the time it takes to reclaim
	// parts, so that random gaps in the traffic do not lend parts that are
	// needed again at once.
	usageTimeConstant = 2 * time.Second
	// retainHeadroom is the factor by which the smoothed usage is multiplied to
	// get the rate that the retained parts must cover. It leaves room for usage
	// to grow by a quarter. For comparison, the loss of one instance of four
	// raises the traffic of the others by a third.
	retainHeadroom = 1.25
	// scarceDelay is how long a lender must get fewer tokens than it wants
	// before tokens count as scarce; the next answer makes up for a single
	// short one.
	scarceDelay = 50 * time.Millisecond
	// scarceRetainFactor replaces retainHeadroom while some instance lacks
	// tokens. It leaves some of the usage to the holder, which divides it by
	// demand; with 0.875 an instance with little demand got 1.9 times its
	// proportional amount.
	scarceRetainFactor = 0.8
	// retainRaiseInterval is the time between increases of the retained parts.
	// Reclaimed parts are of no use to anyone until a call is answered, and
	// bring no tokens with them.
	retainRaiseInterval = time.Second
	// retainStep is the largest increase of the retained parts at a time.
	retainStep = 2
	// retainSurplus is the number of parts above the need that may stay
	// retained, so that random variation of the usage does not move parts back
	// and forth.
	retainSurplus = 2
	// minRetainBurst is the burst of an instance's slots, in tokens, below
	// which no parts are retained: a small local bucket refuses random bursts
	// that are within the account's rate.
	minRetainBurst = 12
)

// minusDrift shortens a time during which something is permitted, and
// plusDrift lengthens a time that must have passed, by MaxClockDrift.
func minusDrift(d time.Duration) time.Duration { return d - d/100 }
func plusDrift(d time.Duration) time.Duration  { return d + d/100 }

// refill returns the tokens that a rate yields in d. MaxClockDrift is
// subtracted, so that a clock that runs fast does not raise the rate.
func refill(rate float64, d time.Duration) float64 {
	return rate * (1 - MaxClockDrift) * d.Seconds()
}

// Share is an account's limit and an instance's share of it.
type Share struct {
	// Rate is in tokens per second over the fleet, Burst in tokens.
	Rate, Burst float64
	// FleetSlots is the number of slots of the fleet, Slots how many of them
	// belong to this instance.
	FleetSlots, Slots uint32
}

// parts returns the number of parts of the instance's slots.
func (s Share) parts() uint32 { return s.Slots * PartsPerSlot }

// rate and burst return the rate and burst of n parts.
func (s Share) rate(n uint32) float64  { return fraction(s.Rate, n, s.FleetSlots*PartsPerSlot) }
func (s Share) burst(n uint32) float64 { return fraction(s.Burst, n, s.FleetSlots*PartsPerSlot) }

func fraction(whole float64, n, of uint32) float64 {
	if of == 0 {
		return 0
	}
	return whole * float64(min(n, of)) / float64(of)
}

// Exchange is one call from a lender to the holder of an account.
type Exchange struct {
	Account fleet.AccountID
	// Echo is the holder's clock from its last answer; 0 before the first one.
	Echo time.Duration
	// HolderRun is the process run of the holder that Echo belongs to.
	HolderRun uint64
	// LendLevel is the number of tokens moved to the holder: those in the
	// local bucket beyond the burst size of the parts that the lender retains,
	// and the unspent rest of the grants in Closed.
	LendLevel float64
	// LentParts is the number of parts lent, PartsPerSlot per slot ("slots" on
	// the wire). It replaces that of earlier calls; 0 leaves an earlier loan as
	// it is.
	LentParts uint32
	// Seq increases with each call, also across restarts of the lender.
	Seq uint64
	// Spent is the number of tokens spent since the last call. It is
	// informational only.
	Spent float64
	// Want is the number of tokens wanted now.
	Want float64
	// Closed lists the ids of grants of HolderRun that are spent, expired or
	// returned. It is valid until the next call of a method of the lender.
	Closed []uint64
}

// Grant is the holder's answer.
type Grant struct {
	Account fleet.AccountID
	// Now is the holder's clock at answer time; never 0.
	Now       time.Duration
	HolderRun uint64
	// Seq is that of the call.
	Seq uint64
	// ID identifies the grant; 0 if no tokens were granted.
	ID     uint64
	Tokens float64
	// RetryAfter is the time until tokens are expected if fewer were granted
	// than wanted. It is also set when another lender has lacked tokens for
	// scarceDelay.
	RetryAfter time.Duration
	// Accepted is set when the loan of this call has replaced any earlier one
	// at the holder, and the holder's level and grants are within the burst of
	// the loans in force. The lender may then use the parts that it has
	// reclaimed.
	Accepted bool
}

// Decision is the outcome of a request for admission.
type Decision uint8

// The decisions.
const (
	Admitted Decision = iota
	// Pending: an exchange may bring tokens; call AdmitPending after its answer.
	Pending
	Refused
)

// Result is a decision and the wait that belongs to it.
type Result struct {
	Decision Decision
	// After is the retry-after of a refusal, or the longest wait of Pending.
	After time.Duration
}

// Mode selects how shares are used.
type Mode uint8

// The modes.
const (
	// Lending lends parts that an instance does not need to the holder, as in
	// section 8 of the design.
	Lending Mode = iota
	// StaticSplit never lends: each instance uses only its own share. It is
	// the baseline for measuring refusals of requests within the rate.
	StaticSplit
)
