package control

import (
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/share"
)

// Limiter makes share.Limiter usable by traffic and control together.
type Limiter struct {
	mu sync.Mutex
	l  *share.Limiter
}

// NewLimiter returns a limiter without accounts.
func NewLimiter(firstStart bool) *Limiter { return &Limiter{l: share.New(firstStart)} }

// Admit takes one operation of an account.
func (l *Limiter) Admit(now time.Duration, account fleet.AccountID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.l.Admit(now, account)
}

// SetAccounts installs the limits in force.
func (l *Limiter) SetAccounts(now time.Duration, accounts map[fleet.AccountID]catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l.SetAccounts(now, accounts)
}

// Demand returns what each account asks for.
func (l *Limiter) Demand(now time.Duration) map[fleet.AccountID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.l.Demand(now)
}

// Rebalance computes this instance's part from the others' reports.
func (l *Limiter) Rebalance(now time.Duration, others []share.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l.Rebalance(now, reportFresh, others)
}

// reportFresh is how long a report of demand counts; one call may be missed.
const reportFresh = 2*exchangePeriod + exchangeTimeout
