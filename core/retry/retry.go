// Package retry decides whether an instance retries a failed request by itself,
// and after which delay.
//
// Use: one Policy per instance, under a lock. Call RecordRequest for each
// request that a caller sends, and Decide after each failed attempt:
//
//	p := retry.New(retry.Config{}, seed)
//	p.RecordRequest()
//	d := p.Decide(retry.Attempt{Number: 1, Outcome: outcome.Of(err), Remaining: remaining})
//	if d.Retry { // wait d.After, then try again }
//
// A request is retried only if it is known not to have run, or if it is a read
// and no byte of the response has been sent to the caller. If the outcome of
// another request is unknown, the caller has to repeat it with its request id.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Config holds the settings; zero values mean the defaults.
type Config struct {
	// MaxAttempts includes the first attempt; 3 by default.
	MaxAttempts int
	// BaseBackoff and MaxBackoff bound the backoff; 5 ms and 500 ms by default.
	BaseBackoff, MaxBackoff time.Duration
	// BudgetRatio is the number of retries that each request adds to the budget;
	// 0.1 by default.
	BudgetRatio float64
	// BudgetCap is the largest number of retries in the budget, and the number
	// at the start; 10 by default.
	BudgetCap float64
	// RetryUnknown retries requests with an unknown outcome. It breaks
	// at-most-once execution and exists so that a test can show that.
	RetryUnknown bool
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is 1 for the first attempt.
	Number  int
	Outcome outcome.Outcome
	// Kind is the kind of the error; refusals that the caller has caused, such
	// as a bad key, are never retried.
	Kind outcome.Kind
	// ReadOnly is set for a statement that ran on a read-only connection.
	ReadOnly bool
	// ResponseStarted is set once a byte of the response has been sent to the
	// caller.
	ResponseStarted bool
	// InTransaction is set once the first statement of a transaction block has
	// been answered; later statements can't be retried without it.
	InTransaction bool
	// Remaining is the time until the caller's deadline; 0 means no deadline.
	Remaining time.Duration
}

// Decision says whether to retry and when.
type Decision struct {
	Retry bool
	After time.Duration
	// Rule is the name of the rule that decided, for the decision log.
	Rule string
}

// Policy holds the budget and the random source of an instance.
type Policy struct {
	cfg Config
	rnd *rand.Rand
	// available is the number of retries in the budget, between 0 and BudgetCap.
	available float64
}

// New returns a policy with a full budget. The seed determines the jitter.
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
	return &Policy{cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 0)), available: cfg.BudgetCap}
}

// RecordRequest adds BudgetRatio to the budget, for a request of a caller.
func (p *Policy) RecordRequest() { p.available = min(p.available+p.cfg.BudgetRatio, p.cfg.BudgetCap) }

// nonRetryable reports whether a retry after an error of this kind can't succeed.
func nonRetryable(k outcome.Kind) bool {
	switch k {
	case outcome.BadKey, outcome.KeyWithdrawn, outcome.NotAllowed, outcome.RequestIDReused, outcome.OverRate,
		outcome.QueueDeadline, outcome.NotSupported, outcome.ShuttingDown, outcome.Cancelled, outcome.BadToken, outcome.Protocol:
		return true
	}
	return false
}

// Decide decides on a failed attempt. A retry reduces the budget by one.
func (p *Policy) Decide(a Attempt) Decision {
	switch {
	case a.Outcome == outcome.Done:
		return Decision{Rule: "done"}
	case a.ResponseStarted:
		return Decision{Rule: "answer-started"}
	case a.InTransaction:
		return Decision{Rule: "in-transaction"}
	case nonRetryable(a.Kind):
		return Decision{Rule: "final-refusal"}
	case a.Outcome == outcome.Unknown && !a.ReadOnly && !p.cfg.RetryUnknown:
		return Decision{Rule: "outcome-unknown"}
	case a.Number >= p.cfg.MaxAttempts:
		return Decision{Rule: "attempts-used-up"}
	case p.available < 1:
		return Decision{Rule: "budget-used-up"}
	}
	after := p.Backoff(a.Number)
	if a.Remaining > 0 && after >= a.Remaining {
		return Decision{Rule: "deadline"}
	}
	p.available--
	return Decision{Retry: true, After: after, Rule: "retry"}
}

// Backoff returns the delay after the given attempt with full jitter: a random
// time up to BaseBackoff, doubled for each attempt after the first, and at most
// MaxBackoff.
func (p *Policy) Backoff(attempt int) time.Duration {
	limit := p.cfg.BaseBackoff
	for i := 1; i < attempt && limit < p.cfg.MaxBackoff; i++ {
		limit *= 2
	}
	return time.Duration(p.rnd.Int64N(int64(min(limit, p.cfg.MaxBackoff)) + 1))
}
