// Package control implements the control plane of an instance. A single
// goroutine owns the state machines of controlstate, membership, slot and
// failover. It feeds them events, performs their actions in worker goroutines
// and publishes the snapshots that request handling reads.
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

// Endpoints watches the status of database endpoints and sends them VH commands.
type Endpoints interface {
	// Watch replaces the set of watched endpoints.
	Watch(groups map[fleet.GroupID]*snapshot.Group)
	// Commands returns the command client of a watched endpoint. It returns nil
	// for any other endpoint.
	Commands(id fleet.EndpointID) ctl.Commands
}

// Quota enforces the rate limits of the client accounts on this instance.
type Quota interface {
	// Update replaces the accounts, the number of fleet slots and of this
	// instance's own slots, and the live instances, from which the holder of each
	// account follows.
	Update(accounts map[fleet.AccountID]*snapshot.Account, fleetSlots, ownSlots int, live []fleet.InstanceID)
	// Release stops lending quota before the slots are handed over. Released
	// reports whether no loan or grant can still be in use.
	Release()
	Released() bool
}

// Config configures a Controller.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// PeerAddr and OpsAddr are the addresses registered with the platform.
	PeerAddr, OpsAddr string
	// RunID differs for each run of the process.
	RunID     string
	Operators bundle.Operators
	Table     tablestore.Table
	Objects   tablestore.ObjectStore
	Instances tablestore.InstanceRegistry
	// PeerClient returns a client for the peer at addr.
	PeerClient func(addr string) peerv1connect.PeerClient
	Endpoints  Endpoints
	Quota      Quota
	Recorder   decision.Recorder
	Log        logging.Logger
	// Seed seeds the random jitter of promotion attempts.
	Seed uint64
	// Start is when the process started. The time passed to the state machines is
	// measured from it.
	Start time.Time
	// FixedPromotionTimeout, if not 0, is a fixed timeout after which a primary is
	// suspected. It serves as the baseline in comparisons.
	FixedPromotionTimeout time.Duration
	// OnBundle, if set, is called on the control goroutine with each bundle that
	// comes into force.
	OnBundle func(*bundle.Document)
}

// Counts holds totals since the start of the process.
type Counts struct{ Events, DroppedStatuses, Polls, PollErrors, Pulls, InvalidInstances int64 }

// Counts returns the totals.
func (c *Controller) Counts() Counts {
	return Counts{c.events.Load(), c.droppedStatuses.Load(), c.polls.Load(), c.pollErrors.Load(), c.pulls.Load(), c.invalidInstances.Load()}
}

// Intervals, timeouts and limits of the control goroutine.
const (
	// tickInterval stays below the 50 ms that core/failover requires.
	tickInterval = 25 * time.Millisecond
	// pullTimeout is shorter than pullInterval, so that an unanswered pull does not
	// delay the next one.
	pullInterval = 500 * time.Millisecond
	pullTimeout  = 450 * time.Millisecond
	// pollInterval applies to the first two instances of a data centre. The others
	// poll 15 times less often, which keeps a fleet of 4,600 instances below
	// 2,000 reads/s.
	pollInterval     = time.Second
	slowPollInterval = 15 * time.Second
	tableTimeout     = time.Second
	probeInterval    = 100 * time.Millisecond
	// agePublishInterval bounds how late a snapshot shows a younger endpoint age.
	// Endpoints send a heartbeat every 100 ms; publishing a snapshot for each
	// status took a tenth of the CPU time of an idle instance with 24 groups.
	agePublishInterval = 50 * time.Millisecond
	commandTimeout     = time.Second
	registerInterval   = 2 * time.Second
	// slowRegisterInterval replaces registerInterval in a fleet of more than
	// maxSmallFleet instances, so that 4,600 instances cause 307 writes/s.
	slowRegisterInterval    = 15 * time.Second
	maxSmallFleet           = 100
	listInterval            = 2 * time.Second
	withdrawalRetryInterval = 500 * time.Millisecond
	// quotaSettleTime is how long core/quota waits before the shares of a new
	// lender may be used: the durations of a loan and a grant plus the slack. Until
	// then the instance is not ready, so that the balancer sends it no requests
	// that would be refused.
	quotaSettleTime = 1600 * time.Millisecond
	// acceptTimeout is how long an operator's request waits until its change is
	// accepted.
	acceptTimeout = 10 * time.Second
	// putObjectTimeout and putRowTimeout limit the retried puts of a bundle.
	// Together with acceptTimeout they stay below the 20 s timeout of an operator's
	// request.
	putObjectTimeout = 3 * time.Second
	putRowTimeout    = 5 * time.Second
	// inboxSize is the number of events that can wait. When the inbox is full,
	// peers and workers block, which slows them down and loses nothing. Statuses
	// that endpoints push are dropped instead; see HandleStatus.
	inboxSize = 4096
)

// Controller runs the control goroutine and holds its state. The fields from
// stateCore on belong to that goroutine; other goroutines access them through
// post or call.
type Controller struct {
	cfg       Config
	snapshots *snapshot.Publisher
	inbox     chan func(now time.Duration)
	done      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	workers   sync.WaitGroup

	nonces                                             atomic.Uint64
	polls, pollErrors, pulls, events, invalidInstances atomic.Int64
	droppedStatuses                                    atomic.Int64
	// loggedRefusals holds the digests of rejected withdrawals that have been
	// logged.
	loggedRefusals sync.Map
	// quotaUsableAt is the time since Config.Start, in nanoseconds, from which the
	// quota shares of the slots may be used.
	quotaUsableAt atomic.Int64

	stateCore  *controlstate.Core
	memberCore *membership.Core
	slotCore   *slot.Core

	doc       *bundle.Document
	envelope  []byte
	bundleSum string
	parts     *bundle.Parts
	// withdrawnKeys only grows. withdrawals holds the signed envelopes that it
	// comes from, by digest.
	withdrawnKeys map[fleet.KeyID]bool
	withdrawals   map[string][]byte
	// refusedInstances holds the faults of the entries in the platform's list of
	// instances that cannot be used.
	refusedInstances map[string]bool
	// withdrawalsInRow holds the digests of the envelopes that the table's row is
	// known to contain.
	withdrawalsInRow map[string]bool
	// pendingSlots is the newest slot table received before the first bundle set
	// the number of slots.
	pendingSlots  *receivedSlots
	ownSlots      int
	onAccepted    map[uint64]func()
	lastRolloutID uint64

	groups map[fleet.GroupID]*group
	dirty  bool
	// agesChanged is set while endpoint ages are younger than in the published
	// snapshot.
	agesChanged bool
	proofExpiry time.Duration // when the freshness proof expires
	isFresh     bool
	// staleTimer fires when the freshness proof expires.
	staleTimer *time.Timer
	leaving    bool
	// draining is published in the snapshot and makes sessions close when idle.
	draining           bool
	handedOver         bool
	instances          []tablestore.InstanceEntry
	listKnown          bool
	pullRound          uint64
	lastStoreAnswer    time.Duration // last successful read of the table
	storeSeen          bool
	polling            bool
	pullSoon           bool
	writingWithdrawals bool
	// partnerList is valid while partnersKnown is set.
	partnerList   []membership.Instance
	partnersKnown bool

	nextPull, nextPoll, nextRegister, nextList, nextProbe, nextWithdraw, nextMemberTick, nextAgePublish time.Duration
	pollBackoff                                                                                         time.Duration
}

// receivedSlots is a slot table from the table's row, with the row's version, or
// from a peer.
type receivedSlots struct {
	table   slot.Table
	version uint64
	fromRow bool
}

// New returns a Controller that has not started.
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

// Snapshots returns the publisher of this instance's snapshots.
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
			// Request handling checks FreshUntil itself. The slots must be given
			// up at the same moment, not at the next tick.
			c.stepControlState(c.now(), controlstate.Tick{})
		case f := <-c.inbox:
			f(c.now())
			c.events.Add(1)
			// Drain the inbox, so that a burst of statuses leads to one snapshot
			// instead of one per status.
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

// Close stops the control goroutine and waits for its workers.
func (c *Controller) Close() {
	c.cancel()
	<-c.done
	c.workers.Wait()
}

// post queues f to run on the control goroutine. It blocks while the inbox is
// full.
func (c *Controller) post(f func(now time.Duration)) {
	select {
	case c.inbox <- f:
	case <-c.ctx.Done():
	}
}

// call runs f on the control goroutine and waits until it has run.
func (c *Controller) call(ctx context.Context, f func(now time.Duration)) error {
	ran := make(chan struct{})
	g := func(now time.Duration) { f(now); close(ran) }
	select {
	case c.inbox <- g:
	case <-ctx.Done():
		return fmt.Errorf("control: control goroutine is busy: %w", ctx.Err())
	case <-c.ctx.Done():
		return fmt.Errorf("control: shutting down: %w", c.ctx.Err())
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("control: control goroutine is busy: %w", ctx.Err())
	case <-c.ctx.Done():
		return fmt.Errorf("control: shutting down: %w", c.ctx.Err())
	}
}

// startWorker runs f in a new goroutine with a context that ends after bound.
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

// stepControlState applies an event to core/controlstate and performs the
// resulting actions.
func (c *Controller) stepControlState(now time.Duration, e controlstate.Event) {
	for _, a := range c.stateCore.Step(now, e) {
		switch a := a.(type) {
		case controlstate.Fresh:
			c.proofExpiry = a.Expiry
			c.staleTimer.Reset(a.Expiry - now)
			c.dirty = true
			if !c.isFresh {
				c.isFresh = true
				c.cfg.Log.Info("control state is up to date; accepting requests authenticated by key")
				c.record(decision.Record{Kind: decision.Freshness, Rule: "fresh", Outcome: "keyed requests may run"})
			}
			c.stepSlot(now, slot.Freshness{Fresh: true})
		case controlstate.Stale:
			c.isFresh = false
			c.dirty = true
			c.cfg.Log.Warn("control state is not proven up to date; refusing requests authenticated by key", "store_answers", c.storeAvailable(now))
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

// maxProofAge is the default of controlstate.Config.MaxProofAge.
const maxProofAge = 3 * time.Second

// stepMembership applies an event to core/membership and passes the resulting
// membership to the slot, group and quota state.
func (c *Controller) stepMembership(now time.Duration, e membership.Event) {
	changed := false
	for _, a := range c.memberCore.Step(now, e) {
		if ch, ok := a.(membership.StateChanged); ok {
			changed = true
			c.cfg.Log.Info("membership state of an instance changed", "instance", ch.ID, "from", stateNames[ch.From], "to", stateNames[ch.To])
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

// storeAvailable reports whether a read of the table succeeded within the last
// 2 s.
func (c *Controller) storeAvailable(now time.Duration) bool {
	return c.storeSeen && now-c.lastStoreAnswer < 2*time.Second
}

// state returns the versions of the control state that this instance holds.
func (c *Controller) state() controlstate.State {
	s := controlstate.State{Withdrawn: c.withdrawnKeyIDs()}
	if c.doc != nil {
		s.Bundle = c.doc.Version
	}
	s.SlotEpoch = c.slotTable().Epoch
	return s
}

// slotTable returns the newest slot table that this instance holds.
func (c *Controller) slotTable() slot.Table {
	if c.slotCore != nil {
		return c.slotCore.Table()
	}
	if c.pendingSlots != nil {
		return c.pendingSlots.table
	}
	return slot.Table{}
}
