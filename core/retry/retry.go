// Package retry decides whether the instance repeats a failed request on its
// own, and after which delay.
//
// Use: one Policy per instance, under a lock. Call Request for each request
// that a caller sends, and Decide after each failed attempt:
//
//	p := retry.New(retry.Config{}, seed)
//	p.Request()
//	d := p.Decide(retry.Attempt{Number: 1, Outcome: outcome.Of(err), Left: left})
//	if d.Retry { // wait d.After, then try again }
//
// Only a request that is proved not to have run is repeated, or a read of
// which no byte has gone to the caller. A request whose outcome is unknown is
// the caller's to repeat, with its request id.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Config holds the settings; zero values take the defaults.
type Config struct {
	// MaxAttempts counts the first attempt; 3 by default.
	MaxAttempts int
	// BaseBackoff and MaxBackoff bound the backoff; 5 ms and 500 ms by default.
	BaseBackoff, MaxBackoff time.Duration
	// BudgetRatio is the share of requests that may be retries; 0.1 by default.
	BudgetRatio float64
	// BudgetCap is the number of retries that can be saved up, and allowed
	// before any request was seen; 10 by default.
	BudgetCap float64
	// RetryUnknown repeats requests with an unknown outcome. It breaks
	// at-most-once and exists so that a test can show that it does.
	RetryUnknown bool
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is 1 for the first attempt.
	Number  int
	Outcome outcome.Outcome
	// Kind is the kind of the error; refusals of the caller's own making,
	// such as a bad key, are never repeated.
	Kind outcome.Kind
	// ReadOnly is set for a statement that ran on a read-only connection.
	ReadOnly bool
	// ResponseStarted is set once a byte of the answer has gone to the caller.
	ResponseStarted bool
	// InTransaction is set after the first statement of a transaction block
	// has been answered; such a request can't be repeated alone.
	InTransaction bool
	// Remaining is the time until the caller's deadline; 0 means no deadline.
	Remaining time.Duration
}

// Decision says whether and when to repeat.
type Decision struct {
	Retry bool
	After time.Duration
	// Rule is the short name of the rule that decided.
	Rule string
}

// Policy holds the budget and the random source of an instance.
type Policy struct {
	cfg Config
	rnd *rand.Rand
	// saved is the number of retries allowed now, between 0 and Reserve.
	saved float64
}

// New returns a policy whose jitter follows from the seed.
func New(cfg Config, seed uint64) *Policy {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = 3
	}
	if cfg.BaseBackoff == 0 {
		cfg.BaseBackoff = 5 * time.Millisecond
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = 500 * time.Millisecond
	}
	if cfg.BudgetRatio == 0 {
		cfg.BudgetRatio = 0.1
	}
	if cfg.BudgetCap == 0 {
		cfg.BudgetCap = 10
	}
	return &Policy{cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 0)), saved: cfg.BudgetCap}
}

// RecordRequest adds a caller's request to the budget.
func (p *Policy) RecordRequest() { p.saved = min(p.saved+p.cfg.BudgetRatio, p.cfg.BudgetCap) }

// final reports whether a refusal of the kind would be repeated in vain.
func final(k outcome.Kind) bool {
	switch k {
	case outcome.BadKey, outcome.KeyWithdrawn, outcome.NotAllowed, outcome.RequestIDReused, outcome.OverRate,
		outcome.QueueDeadline, outcome.NotSupported, outcome.ShuttingDown, outcome.Cancelled, outcome.BadToken, outcome.Protocol:
		return true
	}
	return false
}

// Decide judges a failed attempt. A granted retry takes from the budget.
func (p *Policy) Decide(a Attempt) Decision {
	switch {
	case a.Outcome == outcome.Done:
		return Decision{Rule: "done"}
	case a.ResponseStarted:
		return Decision{Rule: "answer-started"}
	case a.InTransaction:
		return Decision{Rule: "in-transaction"}
	case final(a.Kind):
		return Decision{Rule: "final-refusal"}
	case a.Outcome == outcome.Unknown && !a.ReadOnly && !p.cfg.RetryUnknown:
		return Decision{Rule: "outcome-unknown"}
	case a.Number >= p.cfg.MaxAttempts:
		return Decision{Rule: "attempts-used-up"}
	case p.saved < 1:
		return Decision{Rule: "budget-used-up"}
	}
	after := p.Backoff(a.Number)
	if a.Remaining > 0 && after >= a.Remaining {
		return Decision{Rule: "deadline"}
	}
	p.saved--
	return Decision{Retry: true, After: after, Rule: "retry"}
}

// Backoff returns a delay for the attempt with full jitter: any time up to
// Base doubled per attempt, at most Max.
func (p *Policy) Backoff(number int) time.Duration {
	top := p.cfg.BaseBackoff
	for i := 1; i < number && top < p.cfg.MaxBackoff; i++ {
		top *= 2
	}
	return time.Duration(p.rnd.Int64N(int64(min(top, p.cfg.MaxBackoff)) + 1))
}
