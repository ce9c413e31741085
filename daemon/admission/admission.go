// Package admission admits requests of client accounts by core/quota and
// performs its exchanges with the holders of the accounts.
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

// maxWait bounds the whole wait of a request, over all its asks, so that a
// refusal comes within 200 ms also when the holder doesn't answer. It cuts the
// longest waits that the lender states (250 ms).
const maxWait = 180 * time.Millisecond

// avoidTime is how long an instance that refused a connection is passed over
// as a holder. Membership notices a death within 2 s.
const avoidTime = 3 * time.Second

// sweepEvery is how often lenders without urgent demand are checked for calls
// that are due; it is well below quota.DemandInterval.
const sweepEvery = 20 * time.Millisecond

// sweepIdle replaces sweepEvery while no request asks for admission. With
// quota.IdleInterval it stays within the time after which a loan is no longer
// renewed, and leaves room for two lost calls.
const sweepIdle = 60 * time.Millisecond

// ExchangeFunc sends an exchange to an instance.
type ExchangeFunc func(ctx context.Context, to fleet.InstanceID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)

// Controller admits requests. Its accounts share no lock on the path of a request.
type Controller struct {
	self  fleet.InstanceID
	start time.Time
	mode  quota.Mode
	call  ExchangeFunc

	accounts atomic.Pointer[map[fleet.AccountID]*account]
	// update serialises changes of the set; requests do not take it.
	update   sync.Mutex
	live     []fleet.InstanceID
	avoid    map[fleet.InstanceID]time.Duration // until; under update
	released atomic.Bool
	urgent   chan *account
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup

	admitted, refused, exchanges, failed atomic.Int64
}

type account struct {
	id fleet.AccountID

	mu     sync.Mutex
	lender *quota.Lender
	// answered is closed and replaced at each answer, so that waiting
	// requests ask again.
	answered chan struct{}
	queued   bool // waits in urgent

	holderMu sync.Mutex
	holder   *quota.Holder
}

// New returns a runner without accounts. Run starts its exchanges.
func New(self fleet.InstanceID, start time.Time, mode quota.Mode, call ExchangeFunc) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Controller{
		self: self, start: start, mode: mode, call: call,
		avoid: map[fleet.InstanceID]time.Duration{}, urgent: make(chan *account, 1024), ctx: ctx, cancel: cancel,
	}
	r.accounts.Store(&map[fleet.AccountID]*account{})
	return r
}

func (r *Controller) now() time.Duration { return time.Since(r.start) }

// Update installs the accounts with this instance's slots, and the holder of
// each account: the first live instance by rank.
func (r *Controller) Update(accounts map[fleet.AccountID]*snapshot.Account, fleetSlots, ownSlots int, live []fleet.InstanceID) {
	r.update.Lock()
	defer r.update.Unlock()
	now := r.now()
	r.live = live
	candidates := r.candidates(now)
	old := *r.accounts.Load()
	next := make(map[fleet.AccountID]*account, len(accounts))
	for id, va := range accounts {
		a := old[id]
		if a == nil {
			// An account that was removed and comes back must not reuse the
			// numbers of its former lender and holder.
			run := uint64(time.Now().UnixMicro())
			a = &account{id: id, lender: quota.NewLender(now, id, r.mode, run), answered: make(chan struct{}), holder: quota.NewHolder(id, run)}
		}
		share := quota.Share{Rate: va.Rate, Burst: va.Burst, FleetSlots: uint32(fleetSlots), Slots: uint32(ownSlots)}
		a.mu.Lock()
		a.lender.SetShare(now, share)
		if ranked := fleet.Rank("quota/"+string(id), candidates); len(ranked) > 0 {
			a.lender.SetHolder(now, ranked[0])
		}
		if r.released.Load() {
			a.lender.Release(now)
		}
		a.mu.Unlock()
		a.holderMu.Lock()
		a.holder.SetShare(now, share)
		a.holderMu.Unlock()
		next[id] = a
	}
	r.accounts.Store(&next)
}

// candidates returns the live instances that did not lately refuse a
// connection, or all live ones if there are no others.
func (r *Controller) candidates(now time.Duration) []fleet.InstanceID {
	var list []fleet.InstanceID
	for _, id := range r.live {
		if now >= r.avoid[id] {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return r.live
	}
	return list
}

// passOver turns the accounts held by an instance that refuses connections to
// their next holder. Safety doesn't depend on which instance is the holder.
func (r *Controller) passOver(id fleet.InstanceID) {
	r.update.Lock()
	defer r.update.Unlock()
	now := r.now()
	if now < r.avoid[id] {
		return
	}
	r.avoid[id] = now + avoidTime
	candidates := r.candidates(now)
	for aid, a := range *r.accounts.Load() {
		if ranked := fleet.Rank("quota/"+string(aid), candidates); len(ranked) > 0 {
			a.mu.Lock()
			a.lender.SetHolder(now, ranked[0])
			a.mu.Unlock()
		}
	}
}

// Admit returns nil if the account may run one request now; the empty account
// is that of open routes. A request without tokens waits as long as the lender
// says, up to maxWait in all, and is then refused.
func (r *Controller) Admit(ctx context.Context, id fleet.AccountID) error {
	if id == "" {
		// Callers of an open route present no key, so no account pays.
		return nil
	}
	a := (*r.accounts.Load())[id]
	if a == nil {
		return outcome.New(outcome.NotAllowed, outcome.NotRun, "account is not in the bundle in force", "ask an operator to add the account")
	}
	ask := (*quota.Lender).Admit
	var deadline time.Duration
	for {
		now := r.now()
		a.mu.Lock()
		v := ask(a.lender, now, 1)
		answered := a.answered
		a.mu.Unlock()
		switch v.Decision {
		case quota.Admitted:
			r.admitted.Add(1)
			return nil
		case quota.Refused:
			return r.refuse(id, v.After)
		}
		ask = (*quota.Lender).AdmitPending
		if deadline == 0 {
			deadline = now + maxWait
		}
		wait := min(deadline-now, v.After)
		if deadline <= now {
			return r.refuse(id, v.After)
		}
		r.hurry(a)
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

func (r *Controller) refuse(id fleet.AccountID, after time.Duration) error {
	r.refused.Add(1)
	return outcome.New(outcome.OverRate, outcome.NotRun, fmt.Sprintf("account %s is over its rate", id),
		fmt.Sprintf("send it again after %v", max(after, time.Millisecond).Round(time.Millisecond)))
}

// hurry asks for the account's exchange at once.
func (r *Controller) hurry(a *account) {
	a.mu.Lock()
	if a.queued {
		a.mu.Unlock()
		return
	}
	a.queued = true
	a.mu.Unlock()
	select {
	case r.urgent <- a:
	default:
		// The sweep follows within 20 ms.
		a.mu.Lock()
		a.queued = false
		a.mu.Unlock()
	}
}

// Run performs exchanges until Close.
func (r *Controller) Run() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	every, asked, lastAsk := sweepEvery, int64(0), r.now()
	for {
		select {
		case <-r.ctx.Done():
			return
		case a := <-r.urgent:
			batch := map[fleet.InstanceID][]due{}
			r.collect(a, batch)
			for more := true; more; {
				select {
				case a := <-r.urgent:
					r.collect(a, batch)
				default:
					more = false
				}
			}
			r.send(batch)
		case <-tick.C:
			now, next := r.now(), sweepEvery
			if n := r.admitted.Load() + r.refused.Load(); n != asked {
				asked, lastAsk = n, now
			} else if now-lastAsk > quota.LoanTTL {
				next = sweepIdle
			}
			if next != every {
				every = next
				tick.Reset(every)
			}
			batch := map[fleet.InstanceID][]due{}
			for _, a := range *r.accounts.Load() {
				r.collect(a, batch)
			}
			r.send(batch)
		}
	}
}

// Close ends the exchanges.
func (r *Controller) Close() {
	r.cancel()
	r.work.Wait()
}

type due struct {
	a  *account
	ex quota.Exchange
}

func (r *Controller) collect(a *account, batch map[fleet.InstanceID][]due) {
	now := r.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued = false
	if ex, to, ok := a.lender.NextExchange(now); ok {
		// Closed is valid only until the next call of Due.
		ex.Closed = append([]uint64(nil), ex.Closed...)
		batch[to] = append(batch[to], due{a, ex})
	}
}

// send performs one call per holder; the own holder needs no network.
func (r *Controller) send(batch map[fleet.InstanceID][]due) {
	for to, list := range batch {
		r.exchanges.Add(1)
		if to == r.self {
			for _, d := range list {
				r.answer(d.a, to, r.hold(d.a, to, d.ex))
			}
			continue
		}
		r.work.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, quota.CallTimeout)
			defer cancel()
			req := &peerv1.ExchangeRequest{From: string(r.self)}
			byID := make(map[string]*account, len(list))
			for _, d := range list {
				req.Accounts = append(req.Accounts, toWire(d.ex))
				byID[string(d.a.id)] = d.a
			}
			res, err := r.call(ctx, to, req)
			if err != nil {
				r.failed.Add(1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					r.passOver(to)
				}
				return
			}
			for _, g := range res.GetAccounts() {
				if a := byID[g.GetAccount()]; a != nil {
					r.answer(a, to, fromWireGrant(g))
				}
			}
		})
	}
}

func (r *Controller) answer(a *account, from fleet.InstanceID, g quota.Grant) {
	a.mu.Lock()
	a.lender.HandleGrant(r.now(), from, g)
	close(a.answered)
	a.answered = make(chan struct{})
	a.mu.Unlock()
}

func (r *Controller) hold(a *account, from fleet.InstanceID, ex quota.Exchange) quota.Grant {
	a.holderMu.Lock()
	defer a.holderMu.Unlock()
	return a.holder.HandleExchange(r.now(), from, ex)
}

// Exchange serves Peer.Exchange: this instance as the holder.
func (r *Controller) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	res := &peerv1.ExchangeResponse{}
	accounts := *r.accounts.Load()
	for _, w := range req.GetAccounts() {
		a := accounts[fleet.AccountID(w.GetAccount())]
		if a == nil || !amount(w.GetLendLevel()) || !amount(w.GetSpent()) || !amount(w.GetWant()) {
			continue
		}
		g := r.hold(a, fleet.InstanceID(req.GetFrom()), fromWire(w))
		res.Accounts = append(res.Accounts, &peerv1.AccountGrant{
			Account: w.GetAccount(), NowUs: uint64(g.Now / time.Microsecond), HolderRun: g.HolderRun, Seq: g.Seq,
			Grant: g.ID, Tokens: g.Tokens, RetryAfterUs: uint64(g.RetryAfter / time.Microsecond), Accepted: g.Accepted,
		})
	}
	return res, nil
}

// amount reports whether a number from the wire is a possible count of tokens.
func amount(x float64) bool { return x >= 0 && x <= 1e12 }

// The clocks travel in microseconds. Both directions round down, which makes
// the echoed time earlier and ends loans and grants at the holder sooner than
// by the exact value, never later.
func toWire(ex quota.Exchange) *peerv1.AccountExchange {
	return &peerv1.AccountExchange{
		Account: string(ex.Account), EchoUs: uint64(ex.Echo / time.Microsecond), HolderRun: ex.HolderRun, LendLevel: ex.LendLevel,
		Slots: ex.LentParts, Seq: ex.Seq, Spent: ex.Spent, Want: ex.Want, Closed: ex.Closed,
	}
}

func fromWire(w *peerv1.AccountExchange) quota.Exchange {
	return quota.Exchange{
		Account: fleet.AccountID(w.GetAccount()), Echo: time.Duration(w.GetEchoUs()) * time.Microsecond, HolderRun: w.GetHolderRun(),
		LendLevel: w.GetLendLevel(), LentParts: w.GetSlots(), Seq: w.GetSeq(), Spent: w.GetSpent(), Want: w.GetWant(), Closed: w.GetClosed(),
	}
}

func fromWireGrant(g *peerv1.AccountGrant) quota.Grant {
	return quota.Grant{
		Account: fleet.AccountID(g.GetAccount()), Now: time.Duration(g.GetNowUs()) * time.Microsecond, HolderRun: g.GetHolderRun(), Seq: g.GetSeq(),
		ID: g.GetGrant(), Tokens: g.GetTokens(), RetryAfter: time.Duration(g.GetRetryAfterUs()) * time.Microsecond, Accepted: g.GetAccepted(),
	}
}

// Release stops lending for good, ahead of handing the slots over.
func (r *Controller) Release() {
	r.update.Lock()
	defer r.update.Unlock()
	r.released.Store(true)
	now := r.now()
	for _, a := range *r.accounts.Load() {
		a.mu.Lock()
		a.lender.Release(now)
		a.mu.Unlock()
	}
}

// Released reports whether no loan or grant can still be in use.
func (r *Controller) Released() bool {
	now := r.now()
	for _, a := range *r.accounts.Load() {
		a.mu.Lock()
		ok := a.lender.Released(now)
		a.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// Counts are totals since the start.
type Counts struct{ Admitted, Refused, Exchanges, FailedExchanges int64 }

// Counts returns the totals.
func (r *Controller) Counts() Counts {
	return Counts{r.admitted.Load(), r.refused.Load(), r.exchanges.Load(), r.failed.Load()}
}
