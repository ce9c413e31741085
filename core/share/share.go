// Package share keeps each client account within its rate and burst over all
// instances. Every instance admits a fraction of the account's rate.
//
// Fractions follow the demand that instances report to each other. An instance
// that hears from no other uses 1/n of the rate, and the others set 1/n aside
// for an instance that they do not hear, so the sum stays at or below the rate
// once reports have been exchanged. While demand moves, fractions computed from
// reports of different age may overlap for one exchange interval; the burst is
// divided by the same fractions, which bounds the excess.
package share

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// demandWindow is the time constant of the measured demand: long against
	// the gaps between an account's operations, short against a flood.
	demandWindow = time.Second
	// minWeight is the demand, in operations per second, that an instance is
	// credited with at least, so that an account's first operations there are
	// admitted.
	minWeight = 2.0
	// restartFill is the part of the burst that a process starts with when the
	// fleet was running before: its predecessor may have spent the rest.
	restartFill = 0.25
)

// Report is the demand that an instance has reported.
type Report struct {
	// Heard is when the call that brought the report began.
	Heard  time.Duration
	Demand map[fleet.AccountID]float64
	// NotRunning means that no process runs there.
	NotRunning bool
}

// Limiter admits this instance's part of each account's rate.
type Limiter struct {
	// firstStart is true when the whole fleet starts for the first time, so
	// buckets start full.
	firstStart bool
	members    int
	accounts   map[fleet.AccountID]*bucket
}

type bucket struct {
	limits   catalog.Account
	fraction float64
	tokens   float64
	filled   time.Duration
	demand   float64
	measured time.Duration
}

// New returns a limiter without accounts.
func New(firstStart bool) *Limiter {
	return &Limiter{firstStart: firstStart, members: 1, accounts: map[fleet.AccountID]*bucket{}}
}

// SetAccounts installs the limits in force.
func (l *Limiter) SetAccounts(now time.Duration, accounts map[fleet.AccountID]catalog.Account) {
	for id := range l.accounts {
		if _, ok := accounts[id]; !ok {
			delete(l.accounts, id)
		}
	}
	for id, a := range accounts {
		b := l.accounts[id]
		if b == nil {
			b = &bucket{fraction: 1 / float64(l.members), filled: now, measured: now}
			b.tokens = a.Burst * b.fraction
			if !l.firstStart {
				b.tokens *= restartFill
			}
			l.accounts[id] = b
		}
		b.fill(now)
		b.limits = a
		b.tokens = math.Min(b.tokens, b.capacity())
	}
}

func (b *bucket) capacity() float64 { return math.Max(1, b.limits.Burst*b.fraction) }

func (b *bucket) fill(now time.Duration) {
	if now > b.filled {
		b.tokens = math.Min(b.capacity(), b.tokens+b.limits.Rate*b.fraction*(now-b.filled).Seconds())
		b.filled = now
	}
}

func (b *bucket) decay(now time.Duration) {
	if now > b.measured {
		b.demand *= math.Exp(-(now - b.measured).Seconds() / demandWindow.Seconds())
		b.measured = now
	}
}

// Admit takes one operation from the account's bucket. It returns false when
// the account is over this instance's part of its rate. Accounts without
// limits are admitted.
func (l *Limiter) Admit(now time.Duration, id fleet.AccountID) bool {
	b := l.accounts[id]
	if b == nil {
		return true
	}
	b.fill(now)
	b.decay(now)
	b.demand += 1 / demandWindow.Seconds()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Demand returns the operations per second asked for by each account, admitted
// or not, without the accounts that asked for nothing lately.
func (l *Limiter) Demand(now time.Duration) map[fleet.AccountID]float64 {
	d := make(map[fleet.AccountID]float64, len(l.accounts))
	for id, b := range l.accounts {
		b.decay(now)
		if b.demand >= 0.1 {
			d[id] = math.Round(b.demand*10) / 10
		}
	}
	return d
}

// Rebalance computes the fractions from the reports of the other members.
// Reports older than freshFor do not count.
func (l *Limiter) Rebalance(now, freshFor time.Duration, others []Report) {
	l.members = len(others) + 1
	equal := 1 / float64(l.members)
	reserved := 0.0
	var heard []Report
	running := 1
	for _, r := range others {
		switch {
		case r.NotRunning:
		case r.Heard > 0 && now < r.Heard+freshFor:
			heard = append(heard, r)
			running++
		default:
			reserved += equal
			running++
		}
	}
	for id, b := range l.accounts {
		b.fill(now)
		b.decay(now)
		f := equal
		if len(heard) > 0 || running == 1 {
			own := math.Max(b.demand, minWeight)
			total := own
			for _, r := range heard {
				total += math.Max(r.Demand[id], minWeight)
			}
			f = (1 - reserved) * own / total
		}
		b.fraction = f
		b.tokens = math.Min(b.tokens, b.capacity())
	}
}
