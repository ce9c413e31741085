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
	return Counts{c.events.Load(), c.droppedStatuses.Load(), c.polls.Load(), c.pollErrors.Load(), c.pulls.Load()}
}

// Intervals of the control goroutine.
const (
	// tickInterval is below the 50 ms that core/failover asks for.
	tickInterval = 25 * time.Millisecond
	// pullInterval and pullTimeout: an unanswered pull must not delay the next.
	pullInterval = 500 * time.Millisecond
	pullTimeout  = 450 * time.Millisecond
	// pollInterval is for the first two instances of a data centre; the others
	// poll 15 times less often, which keeps 4,600 instances below 2,000 reads/s.
	pollInterval     = time.Second
	slowPollInterval = 15 * time.Second
	tableTimeout     = time.Second
	probeInterval    = 100 * time.Millisecond
	// agePublishInterval bounds how late the view shows a younger age: one heartbeat of
	// an endpoint is 100 ms. A view per status took a tenth of the processor
	// time of an idle instance with 24 groups.
	agePublishInterval = 50 * time.Millisecond
	commandTimeout     = time.Second
	registerInterval   = 2 * time.Second
	// slowRegisterInterval replaces registerEvery in a fleet of more than
	// smallFleet instances: 4,600 / 15 s is 307 writes a second.
	slowRegisterInterval    = 15 * time.Second
	maxSmallFleet           = 100
	listInterval            = 2 * time.Second
	withdrawalRetryInterval = 500 * time.Millisecond
	// quotaSettleTime is the wait of core/quota before the shares of a new lender
	// may be used: a loan, a grant and the slack. Until then the instance is
	// not ready, so that the balancer sends no requests that would be refused.
	quotaSettleTime = 1600 * time.Millisecond
	// acceptTimeout is how long an operator waits for an acceptance.
	acceptTimeout = 10 * time.Second
	// putObjectTimeout and rowBound bound the repeated puts of a bundle; together
	// with acceptBound they stay below the 20 s of a request of an operator.
	putObjectTimeout = 3 * time.Second
	putRowTimeout    = 5 * time.Second
	// inboxSize bounds waiting events. Status watches and peers block beyond
	// it, which slows the sender down and loses nothing.
	inboxSize = 4096
)

// Controller is the control goroutine with its state. Fields below inbox belong
// to the goroutine; everything else reaches them through post or ask.
type Controller struct {
	cfg       Config
	snapshots *snapshot.Publisher
	inbox     chan func(now time.Duration)
	done      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	workers   sync.WaitGroup

	nonces                           atomic.Uint64
	polls, pollErrors, pulls, events atomic.Int64
	droppedStatuses                  atomic.Int64
	// loggedRefusals has the digests of withdrawals whose refusal is logged.
	loggedRefusals sync.Map
	// quotaUsableAt is when the quota shares of the slots may be used.
	quotaUsableAt atomic.Int64

	stateCore  *controlstate.Core
	memberCore *membership.Core
	slotCore   *slot.Core

	doc       *bundle.Document
	envelope  []byte
	bundleSum string
	parts     *bundle.Parts
	// withdrawnKeys is the grow-only set; envelopes holds its signed documents by
	// digest.
	withdrawnKeys map[fleet.KeyID]bool
	withdrawals   map[string][]byte
	// withdrawalsInRow holds the digests of envelopes that the row is known to hold.
	withdrawalsInRow map[string]bool
	// pendingSlots is the newest slot table heard of before a bundle fixed N.
	pendingSlots  *receivedSlots
	ownSlots      int
	onAccepted    map[uint64]func()
	lastRolloutID uint64

	groups map[fleet.GroupID]*group
	dirty  bool
	// agesChanged is set while the ages of endpoints are younger than the view shows.
	agesChanged bool
	proofExpiry time.Duration // end of the freshness proof
	isFresh     bool
	// staleTimer fires when the proof ends.
	staleTimer *time.Timer
	leaving    bool
	// draining closes idle sessions through the view.
	draining           bool
	handedOver         bool
	instances          []tablestore.Listed
	listKnown          bool
	pullRound          uint64
	lastStoreAnswer    time.Duration // last answer of the table
	storeSeen          bool
	polling            bool
	pullSoon           bool
	writingWithdrawals bool
	// partnerList is valid while partnersKnown.
	partnerList   []membership.Instance
	partnersKnown bool

	nextPull, nextPoll, nextRegister, nextList, nextProbe, nextWithdraw, nextMemberTick, nextAgePublish time.Duration
	pollBackoff                                                                                         time.Duration
}

type receivedSlots struct {
	table   slot.Table
	version uint64
	fromRow bool
}

// New returns a control that has not started.
func New(cfg Config) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		cfg:              cfg,
		inbox:            make(chan func(time.Duration), inboxSize),
		done:             make(chan struct{}),
		ctx:              ctx,
		cancel:           cancel,
		withdrawnKeys:    map[fleet.KeyID]bool{},
		withdrawals:      map[string][]byte{},
		withdrawalsInRow: map[string]bool{},
		onAccepted:       map[uint64]func(){},
		groups:           map[fleet.GroupID]*group{},
		pollBackoff:      pollInterval,
		staleTimer:       time.NewTimer(time.Hour),
	}
	now := c.now()
	c.stateCore = controlstate.New(controlstate.Config{Self: cfg.Instance}, now)
	c.memberCore = membership.New(membership.Config{Self: cfg.Instance, DataCentre: cfg.DataCentre})
	c.snapshots = snapshot.NewPublisher(&snapshot.Snapshot{Instance: cfg.Instance, DataCentre: cfg.DataCentre})
	return c
}

// Snapshots is the source of the published view.
func (c *Controller) Snapshots() *snapshot.Publisher { return c.snapshots }

func (c *Controller) now() time.Duration { return time.Since(c.cfg.Start) }

// Run runs the control goroutine until Close.
func (c *Controller) Run() {
	defer close(c.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer c.staleTimer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.staleTimer.C:
			// Traffic compares FreshUntil by itself; the slots must be given up
			// at the same moment and not at the next tick.
			c.stepControlState(c.now(), controlstate.Tick{})
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
	c.workers.Wait()
}

// post hands f to the control goroutine.
func (c *Controller) post(f func(now time.Duration)) {
	select {
	case c.inbox <- f:
	case <-c.ctx.Done():
	}
}

// call runs f on the control goroutine and waits for it.
func (c *Controller) call(ctx context.Context, f func(now time.Duration)) error {
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

// startWorker runs f outside the control goroutine with a bound on its time.
func (c *Controller) startWorker(bound time.Duration, f func(ctx context.Context)) {
	c.workers.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, bound)
		defer cancel()
		f(ctx)
	})
}

func (c *Controller) tick(now time.Duration) {
	c.stepControlState(now, controlstate.Tick{})
	if now >= c.nextMemberTick {
		c.nextMemberTick = now + 100*time.Millisecond
		c.stepMembership(now, membership.Tick{})
	}
	c.stepSlot(now, slot.Tick{})
	c.tickGroups(now)
	if c.agesChanged && now >= c.nextAgePublish {
		c.nextAgePublish = now + agePublishInterval
		c.dirty = true
	}
	if now >= c.nextRegister {
		c.nextRegister = now + registerInterval
		if len(c.instances) > maxSmallFleet {
			c.nextRegister = now + slowRegisterInterval
		}
		c.register()
	}
	if now >= c.nextList {
		c.nextList = now + listInterval
		if len(c.instances) > maxSmallFleet && !c.memberCore.PollsTable(pollRankKey) {
			c.nextList = now + slowPollInterval
		}
		c.listInstances()
	}
	if now >= c.nextPoll && !c.polling {
		c.pollTable(now)
	}
	if now >= c.nextPull {
		c.pull(now)
	}
	if now >= c.nextWithdraw {
		c.nextWithdraw = now + withdrawalRetryInterval
		c.retryWithdrawals()
	}
}

// stepControlState applies an event to core/fresh and performs its actions.
func (c *Controller) stepControlState(now time.Duration, e controlstate.Event) {
	for _, a := range c.stateCore.Step(now, e) {
		switch a := a.(type) {
		case controlstate.Fresh:
			c.proofExpiry = a.Expiry
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
			c.cfg.Log.Warn("control state is not fresh, keyed requests are refused", "store_answers", c.storeAvailable(now))
			c.record(decision.Record{Kind: decision.Freshness, Rule: "stale", Outcome: "keyed requests are refused, keyed sessions end",
				Inputs: []decision.Input{{Name: "proof_age", Value: (now - c.proofExpiry + maxProofAge).String()}}})
			c.stepSlot(now, slot.Freshness{Fresh: false})
		case controlstate.Fetch:
			c.fetchState(a)
		case controlstate.Accepted:
			if f := c.onAccepted[a.ID]; f != nil {
				delete(c.onAccepted, a.ID)
				f()
			}
		}
	}
}

// maxProofAge is F of core/fresh.
const maxProofAge = 3 * time.Second

// stepMembership applies an event to core/membership and tells the others.
func (c *Controller) stepMembership(now time.Duration, e membership.Event) {
	changed := false
	for _, a := range c.memberCore.Step(now, e) {
		if ch, ok := a.(membership.StateChanged); ok {
			changed = true
			c.cfg.Log.Info("instance is seen in another state", "instance", ch.ID, "from", stateNames[ch.From], "to", stateNames[ch.To])
		}
	}
	if _, listed := e.(membership.PlatformList); listed || changed {
		c.partnersKnown = false
	}
	c.stepSlot(now, slot.Members{Live: c.memberCore.Live(), Gone: c.memberCore.Gone()})
	c.updateGroupMembers(now)
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

func (c *Controller) storeAvailable(now time.Duration) bool {
	return c.storeSeen && now-c.lastStoreAnswer < 2*time.Second
}

// state is the control state that this instance holds.
func (c *Controller) state() controlstate.State {
	s := controlstate.State{Withdrawn: c.withdrawnKeyIDs()}
	if c.doc != nil {
		s.Bundle = c.doc.Version
	}
	s.SlotEpoch = c.slotTable().Epoch
	return s
}

func (c *Controller) slotTable() slot.Table {
	if c.slotCore != nil {
		return c.slotCore.Table()
	}
	if c.pendingSlots != nil {
		return c.pendingSlots.table
	}
	return slot.Table{}
}
