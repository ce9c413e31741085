// Package admission enforces the rate limits of client accounts. It asks
// core/quota whether a request may run and carries the quota exchanges between
// this instance and the instance that holds each account's quota.
package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/quota"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
)

// maxWait bounds the total time a request waits for admission, over all its
// attempts, so that a request is refused within 200 ms even if the holder does
// not answer. It is shorter than the longest waits that the lender asks for
// (250 ms).
const maxWait = 180 * time.Millisecond

// unreachableTTL is how long an instance that refused a connection is not
// chosen as a holder. Membership detects a failed instance within 2 s.
const unreachableTTL = 3 * time.Second

// sweepInterval is how often all lenders are checked for exchanges that are
// due but were not requested through the urgent queue. It is well below
// quota.ActiveInterval.
const sweepInterval = 20 * time.Millisecond

// idleSweepInterval replaces sweepInterval while no request asks for admission.
// Added to quota.IdleInterval it still renews a loan before it expires, and
// leaves room for two lost calls.
const idleSweepInterval = 60 * time.Millisecond

// ExchangeFunc sends a quota exchange request to an instance and returns its
// response.
type ExchangeFunc func(ctx context.Context, to fleet.InstanceID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)

// Controller decides whether requests are admitted. Requests of different
// accounts take no common lock.
type Controller struct {
	self  fleet.InstanceID
	start time.Time
	mode  quota.Mode
	call  ExchangeFunc

	accounts atomic.Pointer[map[fleet.AccountID]*account]
	// update serialises changes to the set of accounts and guards live and
	// unreachableUntil. Requests do not take it.
	update           sync.Mutex
	live             []fleet.InstanceID
	unreachableUntil map[fleet.InstanceID]time.Duration
	released         atomic.Bool
	urgent           chan *account
	ctx              context.Context
	cancel           context.CancelFunc
	inFlight         sync.WaitGroup

	admitted, refused, exchanges, failedExchanges atomic.Int64
}

type account struct {
	id fleet.AccountID

	mu     sync.Mutex
	lender *quota.Lender
	// answered is closed and replaced whenever a grant arrives, so that
	// waiting requests try again.
	answered chan struct{}
	queued   bool // the account is in Controller.urgent

	holderMu sync.Mutex
	holder   *quota.Holder
}

// New returns a controller without accounts. Run must be called to perform
// quota exchanges.
func New(self fleet.InstanceID, start time.Time, mode quota.Mode, call ExchangeFunc) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		self: self, start: start, mode: mode, call: call,
		unreachableUntil: map[fleet.InstanceID]time.Duration{}, urgent: make(chan *account, 1024), ctx: ctx, cancel: cancel,
	}
	c.accounts.Store(&map[fleet.AccountID]*account{})
	return c
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Update installs the accounts and this instance's number of slots. The holder
// of an account is the highest-ranked live instance.
func (c *Controller) Update(accounts map[fleet.AccountID]*snapshot.Account, fleetSlots, ownSlots int, live []fleet.InstanceID) {
	c.update.Lock()
	defer c.update.Unlock()
	now := c.now()
	c.live = live
	candidates := c.candidates(now)
	old := *c.accounts.Load()
	next := make(map[fleet.AccountID]*account, len(accounts))
	for id, limits := range accounts {
		a := old[id]
		if a == nil {
			// An account that was removed and added again must not reuse the
			// sequence numbers and run id of its earlier lender and holder.
			run := uint64(time.Now().UnixMicro())
			a = &account{id: id, lender: quota.NewLender(now, id, c.mode, run), answered: make(chan struct{}), holder: quota.NewHolder(id, run)}
		}
		share := quota.Share{Rate: limits.Rate, Burst: limits.Burst, FleetSlots: uint32(fleetSlots), Slots: uint32(ownSlots)}
		a.mu.Lock()
		a.lender.SetShare(now, share)
		if ranked := fleet.Rank("quota/"+string(id), candidates); len(ranked) > 0 {
			a.lender.SetHolder(now, ranked[0])
		}
		if c.released.Load() {
			a.lender.Release(now)
		}
		a.mu.Unlock()
		a.holderMu.Lock()
		a.holder.SetShare(now, share)
		a.holderMu.Unlock()
		next[id] = a
	}
	c.accounts.Store(&next)
}

// candidates returns the live instances that have not refused a connection
// within unreachableTTL, or all live instances if every one of them has.
func (c *Controller) candidates(now time.Duration) []fleet.InstanceID {
	var list []fleet.InstanceID
	for _, id := range c.live {
		if now >= c.unreachableUntil[id] {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return c.live
	}
	return list
}

// markUnreachable moves the accounts held by an instance that refuses
// connections to their next holder. The rate limit holds whichever instance is
// the holder.
func (c *Controller) markUnreachable(id fleet.InstanceID) {
	c.update.Lock()
	defer c.update.Unlock()
	now := c.now()
	if now < c.unreachableUntil[id] {
		return
	}
	c.unreachableUntil[id] = now + unreachableTTL
	candidates := c.candidates(now)
	for aid, a := range *c.accounts.Load() {
		if ranked := fleet.Rank("quota/"+string(aid), candidates); len(ranked) > 0 {
			a.mu.Lock()
			a.lender.SetHolder(now, ranked[0])
			a.mu.Unlock()
		}
	}
}

// Admit returns nil if the account may run one request now. The empty account
// id stands for open routes, which are not limited. If no token is available,
// the request waits as long as the lender asks, at most maxWait in total, and is
// then refused.
func (c *Controller) Admit(ctx context.Context, id fleet.AccountID) error {
	if id == "" {
		// Callers of an open route present no key, so there is no account to
		// charge.
		return nil
	}
	a := (*c.accounts.Load())[id]
	if a == nil {
		return outcome.New(outcome.NotAllowed, outcome.NotRun, "account is not in the bundle in force", "ask an operator to add the account")
	}
	admit := (*quota.Lender).Admit
	var deadline time.Duration
	for {
		now := c.now()
		a.mu.Lock()
		v := admit(a.lender, now, 1)
		answered := a.answered
		a.mu.Unlock()
		switch v.Decision {
		case quota.Admitted:
			c.admitted.Add(1)
			return nil
		case quota.Refused:
			return c.refuse(id, v.After)
		}
		admit = (*quota.Lender).AdmitPending
		if deadline == 0 {
			deadline = now + maxWait
		}
		wait := min(deadline-now, v.After)
		if deadline <= now {
			return c.refuse(id, v.After)
		}
		c.requestExchange(a)
		t := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-answered:
			t.Stop()
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return outcome.Wrap(ctx.Err(), outcome.Cancelled, outcome.NotRun, "request was cancelled before admission", "send it again")
		}
	}
}

func (c *Controller) refuse(id fleet.AccountID, after time.Duration) error {
	c.refused.Add(1)
	return outcome.New(outcome.OverRate, outcome.NotRun, fmt.Sprintf("account %s is over its rate", id),
		fmt.Sprintf("send it again after %v", max(after, time.Millisecond).Round(time.Millisecond)))
}

// requestExchange queues the account for an immediate exchange.
func (c *Controller) requestExchange(a *account) {
	a.mu.Lock()
	if a.queued {
		a.mu.Unlock()
		return
	}
	a.queued = true
	a.mu.Unlock()
	select {
	case c.urgent <- a:
	default:
		// The queue is full; the next sweep, within 20 ms, covers the
		// account.
		a.mu.Lock()
		a.queued = false
		a.mu.Unlock()
	}
}

// Run performs quota exchanges until Close is called.
func (c *Controller) Run() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	interval, lastTotal, lastRequest := sweepInterval, int64(0), c.now()
	for {
		select {
		case <-c.ctx.Done():
			return
		case a := <-c.urgent:
			batch := map[fleet.InstanceID][]dueExchange{}
			c.collectDue(a, batch)
			for more := true; more; {
				select {
				case a := <-c.urgent:
					c.collectDue(a, batch)
				default:
					more = false
				}
			}
			c.sendExchanges(batch)
		case <-tick.C:
			now, next := c.now(), sweepInterval
			if n := c.admitted.Load() + c.refused.Load(); n != lastTotal {
				lastTotal, lastRequest = n, now
			} else if now-lastRequest > quota.LoanTTL {
				next = idleSweepInterval
			}
			if next != interval {
				interval = next
				tick.Reset(interval)
			}
			batch := map[fleet.InstanceID][]dueExchange{}
			for _, a := range *c.accounts.Load() {
				c.collectDue(a, batch)
			}
			c.sendExchanges(batch)
		}
	}
}

// Close cancels running exchanges and waits for them to return.
func (c *Controller) Close() {
	c.cancel()
	c.inFlight.Wait()
}

// dueExchange is an exchange to send on behalf of an account.
type dueExchange struct {
	a  *account
	ex quota.Exchange
}

func (c *Controller) collectDue(a *account, batch map[fleet.InstanceID][]dueExchange) {
	now := c.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued = false
	if ex, to, ok := a.lender.NextExchange(now); ok {
		// Closed is valid only until the next call of NextExchange.
		ex.Closed = append([]uint64(nil), ex.Closed...)
		batch[to] = append(batch[to], dueExchange{a, ex})
	}
}

// sendExchanges sends one request per holder. Accounts that this instance
// holds itself are handled without a network call.
func (c *Controller) sendExchanges(batch map[fleet.InstanceID][]dueExchange) {
	for to, list := range batch {
		c.exchanges.Add(1)
		if to == c.self {
			for _, d := range list {
				c.handleGrant(d.a, to, c.handleExchange(d.a, to, d.ex))
			}
			continue
		}
		c.inFlight.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, quota.CallTimeout)
			defer cancel()
			req := &peerv1.ExchangeRequest{From: string(c.self)}
			byID := make(map[string]*account, len(list))
			for _, d := range list {
				req.Accounts = append(req.Accounts, exchangeToWire(d.ex))
				byID[string(d.a.id)] = d.a
			}
			res, err := c.call(ctx, to, req)
			if err != nil {
				c.failedExchanges.Add(1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					c.markUnreachable(to)
				}
				return
			}
			for _, g := range res.GetAccounts() {
				if a := byID[g.GetAccount()]; a != nil {
					c.handleGrant(a, to, grantFromWire(g))
				}
			}
		})
	}
}

func (c *Controller) handleGrant(a *account, from fleet.InstanceID, g quota.Grant) {
	a.mu.Lock()
	a.lender.HandleGrant(c.now(), from, g)
	close(a.answered)
	a.answered = make(chan struct{})
	a.mu.Unlock()
}

func (c *Controller) handleExchange(a *account, from fleet.InstanceID, ex quota.Exchange) quota.Grant {
	a.holderMu.Lock()
	defer a.holderMu.Unlock()
	return a.holder.HandleExchange(c.now(), from, ex)
}

// Exchange serves the RPC Peer.Exchange, in which this instance is the holder.
// Accounts that are unknown or carry invalid token counts are left out of the
// response.
func (c *Controller) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	res := &peerv1.ExchangeResponse{}
	accounts := *c.accounts.Load()
	for _, w := range req.GetAccounts() {
		a := accounts[fleet.AccountID(w.GetAccount())]
		if a == nil || !validTokenCount(w.GetLendLevel()) || !validTokenCount(w.GetSpent()) || !validTokenCount(w.GetWant()) {
			continue
		}
		g := c.handleExchange(a, fleet.InstanceID(req.GetFrom()), exchangeFromWire(w))
		res.Accounts = append(res.Accounts, &peerv1.AccountGrant{
			Account: w.GetAccount(), NowUs: uint64(g.Now / time.Microsecond), HolderRun: g.HolderRun, Seq: g.Seq,
			Grant: g.ID, Tokens: g.Tokens, RetryAfterUs: uint64(g.RetryAfter / time.Microsecond), Accepted: g.Accepted,
		})
	}
	return res, nil
}

// validTokenCount reports whether a number received from a peer is a possible
// number of tokens. It rejects NaN, infinities and negative numbers.
func validTokenCount(x float64) bool { return x >= 0 && x <= 1e12 }

// exchangeToWire encodes an exchange. Times are sent in microseconds. Both
// directions round down, so the echoed time is never later than the exact value
// and the holder ends loans and grants early rather than late.
func exchangeToWire(ex quota.Exchange) *peerv1.AccountExchange {
	return &peerv1.AccountExchange{
		Account: string(ex.Account), EchoUs: uint64(ex.Echo / time.Microsecond), HolderRun: ex.HolderRun, LendLevel: ex.LendLevel,
		Slots: ex.LentParts, Seq: ex.Seq, Spent: ex.Spent, Want: ex.Want, Closed: ex.Closed,
	}
}

func exchangeFromWire(w *peerv1.AccountExchange) quota.Exchange {
	return quota.Exchange{
		Account: fleet.AccountID(w.GetAccount()), Echo: time.Duration(w.GetEchoUs()) * time.Microsecond, HolderRun: w.GetHolderRun(),
		LendLevel: w.GetLendLevel(), LentParts: w.GetSlots(), Seq: w.GetSeq(), Spent: w.GetSpent(), Want: w.GetWant(), Closed: w.GetClosed(),
	}
}

func grantFromWire(g *peerv1.AccountGrant) quota.Grant {
	return quota.Grant{
		Account: fleet.AccountID(g.GetAccount()), Now: time.Duration(g.GetNowUs()) * time.Microsecond, HolderRun: g.GetHolderRun(), Seq: g.GetSeq(),
		ID: g.GetGrant(), Tokens: g.GetTokens(), RetryAfter: time.Duration(g.GetRetryAfterUs()) * time.Microsecond, Accepted: g.GetAccepted(),
	}
}

// Release permanently stops lending, before the instance hands over its slots.
func (c *Controller) Release() {
	c.update.Lock()
	defer c.update.Unlock()
	c.released.Store(true)
	now := c.now()
	for _, a := range *c.accounts.Load() {
		a.mu.Lock()
		a.lender.Release(now)
		a.mu.Unlock()
	}
}

// Released reports whether lending has been released for every account and no
// loan or grant can still be in use.
func (c *Controller) Released() bool {
	now := c.now()
	for _, a := range *c.accounts.Load() {
		a.mu.Lock()
		ok := a.lender.Released(now)
		a.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// Counts are totals since the start of the process.
type Counts struct{ Admitted, Refused, Exchanges, FailedExchanges int64 }

func (c *Controller) Counts() Counts {
	return Counts{c.admitted.Load(), c.refused.Load(), c.exchanges.Load(), c.failedExchanges.Load()}
}
