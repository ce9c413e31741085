// Package control runs the single goroutine that owns every control core of an
// instance. It feeds them with events, performs their actions through worker
// goroutines and publishes the view that traffic reads.
package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/controlstate"
	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/membership"
	"github.com/vanillahinge/vanillahinge/core/slot"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/ctl"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
	"github.com/vanillahinge/vanillahinge/peer/v1/peerv1connect"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// Endpoints watches database endpoints and sends them VH commands.
type Endpoints interface {
	// Watch replaces the set of watched endpoints.
	Watch(groups map[fleet.GroupID]*snapshot.Group)
	// Commands returns the commands of a watched endpoint, nil for others.
	Commands(id fleet.EndpointID) ctl.Commands
}

// Quota learns shares and holders.
type Quota interface {
	// Update installs the accounts with this instance's slots, and the holder
	// of each account.
	Update(accounts map[fleet.AccountID]*snapshot.Account, fleetSlots, ownSlots int, live []fleet.InstanceID)
	// Release stops lending ahead of a hand-over of slots; Released reports
	// that no loan or grant can be in use.
	Release()
	Released() bool
}

// Config holds what the control goroutine works with.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// PeerAddr and OpsAddr are registered with the platform.
	PeerAddr, OpsAddr string
	// RunID identifies the process run.
	RunID     string
	Operators bundle.Operators
	Table     tablestore.Table
	Objects   tablestore.Objects
	Instances tablestore.Instances
	// PeerClient returns the client of a peer address.
	PeerClient func(addr string) peerv1connect.PeerClient
	Endpoints  Endpoints
	Quota      Quota
	Recorder   decision.Recorder
	Log        logging.Logger
	// Seed seeds jitter.
	Seed uint64
	// Start is the start of the process; core time counts from it.
	Start time.Time
	// FixedPromotionTimeout, if not 0, is the baseline of a fixed timeout before a
	// promotion.
	FixedPromotionTimeout time.Duration
	// OnBundle, if set, learns each bundle that comes into force.
	OnBundle func(*bundle.Document)
}

// Counts are totals since the start.
type Counts struct{ Events, DroppedStatuses, Polls, PollErrors, Pulls int64 }

// Counts returns the totals.
func (c *Controller) Counts() Counts {
	return Counts{c.events.Load(), c.dropped.Load(), c.polls.Load(), c.pollErrors.Load(), c.pulls.Load()}
}

// Intervals of the control goroutine.
const (
	// tickEvery is below the 50 ms that core/failover asks for.
	tickEvery = 25 * time.Millisecond
	// pullEvery and pullTimeout: an unanswered pull must not delay the next.
	pullEvery   = 500 * time.Millisecond
	pullTimeout = 450 * time.Millisecond
	// pollEvery is for the first two instances of a data centre; the others
	// poll 15 times less often, which keeps 4,600 instances below 2,000 reads/s.
	pollEvery    = time.Second
	pollSeldom   = 15 * time.Second
	tableTimeout = time.Second
	probeEvery   = 100 * time.Millisecond
	// agesEvery bounds how late the view shows a younger age: one heartbeat of
	// an endpoint is 100 ms. A view per status took a tenth of the processor
	// time of an idle instance with 24 groups.
	agesEvery     = 50 * time.Millisecond
	commandBound  = time.Second
	registerEvery = 2 * time.Second
	// registerSeldom replaces registerEvery in a fleet of more than
	// smallFleet instances: 4,600 / 15 s is 307 writes a second.
	registerSeldom = 15 * time.Second
	smallFleet     = 100
	listEvery      = 2 * time.Second
	withdrawEvery  = 500 * time.Millisecond
	// settleTime is the wait of core/quota before the shares of a new lender
	// may be used: a loan, a grant and the slack. Until then the instance is
	// not ready, so that the balancer sends no requests that would be refused.
	settleTime = 1600 * time.Millisecond
	// acceptBound is how long an operator waits for an acceptance.
	acceptBound = 10 * time.Second
	// objectBound and rowBound bound the repeated puts of a bundle; together
	// with acceptBound they stay below the 20 s of a request of an operator.
	objectBound = 3 * time.Second
	rowBound    = 5 * time.Second
	// inboxSize bounds waiting events. Status watches and peers block beyond
	// it, which slows the sender down and loses nothing.
	inboxSize = 4096
)

// Controller is the control goroutine with its state. Fields below inbox belong
// to the goroutine; everything else reaches them through post or ask.
type Controller struct {
	cfg    Config
	holder *snapshot.Publisher
	inbox  chan func(now time.Duration)
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	nonces                           atomic.Uint64
	polls, pollErrors, pulls, events atomic.Int64
	dropped                          atomic.Int64
	// refusedOnce has the digests of withdrawals whose refusal is logged.
	refusedOnce sync.Map
	// settled is when the quota shares of the slots may be used.
	settled atomic.Int64

	fresh  *controlstate.Core
	member *membership.Core
	slot   *slot.Core

	doc      *bundle.Document
	envelope []byte
	sum      string
	parts    *bundle.Parts
	// withdrawn is the grow-only set; envelopes holds its signed documents by
	// digest.
	withdrawn   map[fleet.KeyID]bool
	withdrawals map[string][]byte
	// rowWithdrawn holds the digests of envelopes that the row is known to hold.
	rowWithdrawn map[string]bool
	// slotRow is the newest slot table heard of before a bundle fixed N.
	slotRow   *slotInput
	ownSlots  int
	accepting map[uint64]func()
	nextID    uint64

	groups map[fleet.GroupID]*group
	dirty  bool
	// aged is set while the ages of endpoints are younger than the view shows.
	aged    bool
	until   time.Duration // end of the freshness proof
	isFresh bool
	// staleTimer fires when the proof ends.
	staleTimer *time.Timer
	leaving    bool
	// draining closes idle sessions through the view.
	draining    bool
	handedOver  bool
	instances   []tablestore.Listed
	listKnown   bool
	round       uint64
	storeOK     time.Duration // last answer of the table
	storeSeen   bool
	polling     bool
	pullSoon    bool
	withdrawing bool
	// partnerList is valid while partnersKnown.
	partnerList   []membership.Instance
	partnersKnown bool

	nextPull, nextPoll, nextRegister, nextList, nextProbe, nextWithdraw, nextMember, nextAges time.Duration
	pollBackoff                                                                               time.Duration
}

type slotInput struct {
	table   slot.Table
	version uint64
	row     bool
}

// New returns a control that has not started.
func New(cfg Config) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		cfg:          cfg,
		inbox:        make(chan func(time.Duration), inboxSize),
		done:         make(chan struct{}),
		ctx:          ctx,
		cancel:       cancel,
		withdrawn:    map[fleet.KeyID]bool{},
		withdrawals:  map[string][]byte{},
		rowWithdrawn: map[string]bool{},
		accepting:    map[uint64]func(){},
		groups:       map[fleet.GroupID]*group{},
		pollBackoff:  pollEvery,
		staleTimer:   time.NewTimer(time.Hour),
	}
	now := c.now()
	c.fresh = controlstate.New(controlstate.Config{Self: cfg.Instance}, now)
	c.member = membership.New(membership.Config{Self: cfg.Instance, DataCentre: cfg.DataCentre})
	c.holder = snapshot.NewPublisher(&snapshot.Snapshot{Instance: cfg.Instance, DataCentre: cfg.DataCentre})
	return c
}

// Snapshots is the source of the published view.
func (c *Controller) Snapshots() *snapshot.Publisher { return c.holder }

func (c *Controller) now() time.Duration { return time.Since(c.cfg.Start) }

// Run runs the control goroutine until Close.
func (c *Controller) Run() {
	defer close(c.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer c.staleTimer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.staleTimer.C:
			// Traffic compares FreshUntil by itself; the slots must be given up
			// at the same moment and not at the next tick.
			c.stepFresh(c.now(), controlstate.Tick{})
		case f := <-c.inbox:
			f(c.now())
			c.events.Add(1)
			// A burst of statuses leads to one view, not to one per status.
			for more := true; more; {
				select {
				case f := <-c.inbox:
					f(c.now())
					c.events.Add(1)
				default:
					more = false
				}
			}
		case <-tick.C:
			c.tick(c.now())
		}
		if c.dirty {
			c.publish()
		}
	}
}

// Close ends the goroutine and waits for its workers.
func (c *Controller) Close() {
	c.cancel()
	<-c.done
	c.work.Wait()
}

// post hands f to the control goroutine.
func (c *Controller) post(f func(now time.Duration)) {
	select {
	case c.inbox <- f:
	case <-c.ctx.Done():
	}
}

// ask runs f on the control goroutine and waits for it.
func (c *Controller) ask(ctx context.Context, f func(now time.Duration)) error {
	ran := make(chan struct{})
	g := func(now time.Duration) { f(now); close(ran) }
	select {
	case c.inbox <- g:
	case <-ctx.Done():
		return fmt.Errorf("control: busy: %w", ctx.Err())
	case <-c.ctx.Done():
		return fmt.Errorf("control: shutting down: %w", c.ctx.Err())
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("control: busy: %w", ctx.Err())
	case <-c.ctx.Done():
		return fmt.Errorf("control: shutting down: %w", c.ctx.Err())
	}
}

// worker runs f outside the control goroutine with a bound on its time.
func (c *Controller) worker(bound time.Duration, f func(ctx context.Context)) {
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, bound)
		defer cancel()
		f(ctx)
	})
}

func (c *Controller) tick(now time.Duration) {
	c.stepFresh(now, controlstate.Tick{})
	if now >= c.nextMember {
		c.nextMember = now + 100*time.Millisecond
		c.stepMember(now, membership.Tick{})
	}
	c.stepSlot(now, slot.Tick{})
	c.tickGroups(now)
	if c.aged && now >= c.nextAges {
		c.nextAges = now + agesEvery
		c.dirty = true
	}
	if now >= c.nextRegister {
		c.nextRegister = now + registerEvery
		if len(c.instances) > smallFleet {
			c.nextRegister = now + registerSeldom
		}
		c.register()
	}
	if now >= c.nextList {
		c.nextList = now + listEvery
		if len(c.instances) > smallFleet && !c.member.PollsTable(tableRow) {
			c.nextList = now + pollSeldom
		}
		c.list()
	}
	if now >= c.nextPoll && !c.polling {
		c.poll(now)
	}
	if now >= c.nextPull {
		c.pull(now)
	}
	if now >= c.nextWithdraw {
		c.nextWithdraw = now + withdrawEvery
		c.retryWithdrawals()
	}
}

// stepFresh applies an event to core/fresh and performs its actions.
func (c *Controller) stepFresh(now time.Duration, e controlstate.Event) {
	for _, a := range c.fresh.Step(now, e) {
		switch a := a.(type) {
		case controlstate.Fresh:
			c.until = a.Expiry
			c.staleTimer.Reset(a.Expiry - now)
			c.dirty = true
			if !c.isFresh {
				c.isFresh = true
				c.cfg.Log.Info("control state is fresh")
				c.record(decision.Record{Kind: decision.Freshness, Rule: "fresh", Outcome: "keyed requests may run"})
			}
			c.stepSlot(now, slot.Freshness{Fresh: true})
		case controlstate.Stale:
			c.isFresh = false
			c.dirty = true
			c.cfg.Log.Warn("control state is not fresh, keyed requests are refused", "store_answers", c.storeAnswers(now))
			c.record(decision.Record{Kind: decision.Freshness, Rule: "stale", Outcome: "keyed requests are refused, keyed sessions end",
				Inputs: []decision.Input{{Name: "proof_age", Value: (now - c.until + freshBound).String()}}})
			c.stepSlot(now, slot.Freshness{Fresh: false})
		case controlstate.Fetch:
			c.fetch(a)
		case controlstate.Accepted:
			if f := c.accepting[a.ID]; f != nil {
				delete(c.accepting, a.ID)
				f()
			}
		}
	}
}

// freshBound is F of core/fresh.
const freshBound = 3 * time.Second

// stepMember applies an event to core/membership and tells the others.
func (c *Controller) stepMember(now time.Duration, e membership.Event) {
	changed := false
	for _, a := range c.member.Step(now, e) {
		if ch, ok := a.(membership.StateChanged); ok {
			changed = true
			c.cfg.Log.Info("instance is seen in another state", "instance", ch.ID, "from", stateNames[ch.From], "to", stateNames[ch.To])
		}
	}
	if _, listed := e.(membership.PlatformList); listed || changed {
		c.partnersKnown = false
	}
	c.stepSlot(now, slot.Members{Live: c.member.Live(), Gone: c.member.Gone()})
	c.membersToGroups(now)
	if changed {
		c.dirty = true
		c.updateQuota()
	}
}

func (c *Controller) record(r decision.Record) {
	if c.cfg.Recorder != nil {
		c.cfg.Recorder.Record(r)
	}
}

func (c *Controller) storeAnswers(now time.Duration) bool {
	return c.storeSeen && now-c.storeOK < 2*time.Second
}

// state is the control state that this instance holds.
func (c *Controller) state() controlstate.State {
	s := controlstate.State{Withdrawn: c.withdrawnIDs()}
	if c.doc != nil {
		s.Bundle = c.doc.Version
	}
	s.SlotEpoch = c.slotTable().Epoch
	return s
}

func (c *Controller) slotTable() slot.Table {
	if c.slot != nil {
		return c.slot.Table()
	}
	if c.slotRow != nil {
		return c.slotRow.table
	}
	return slot.Table{}
}
