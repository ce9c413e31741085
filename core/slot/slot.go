// Package slot assigns fleet slots to instances. A slot carries an equal share
// of every account's rate and burst and of every endpoint's connections. The
// assignment is a single row of the shared table, changed by conditional puts.
//
// The control goroutine passes the slot row, freshness, membership and the
// table's answers to Step and performs the returned actions. Request handling
// uses exactly the slots of the last UseSlots action:
//
//	c := slot.New(slot.Config{Self: id, Run: run, SlotCount: 4})
//	c.Step(now, slot.Freshness{Fresh: true})
//	c.Step(now, slot.TableRow{Table: t, Version: v})
//	c.Step(now, slot.PutAnswer{Nonce: n, Result: slot.Applied, Version: v})
//	c.Step(now, slot.Accepted{Epoch: e})          // from core/controlstate
//
// While the table is unavailable no slot changes its owner.
package slot

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation disables one safety rule. Only tests set it, to show that the
// exhaustive search detects the loss of the rule.
type Mutation int

// Mutations, one for each safety rule.
const (
	NoMutation Mutation = iota
	// NoWait uses a slot as soon as it has been taken over.
	NoWait
	// UseWhileStale uses slots without a freshness proof.
	UseWhileStale
	// NoAcceptance starts the takeover wait before a majority of the witnesses
	// know of the new owner.
	NoAcceptance
)

// Config configures a Core. New replaces zero durations by their defaults.
type Config struct {
	Self fleet.InstanceID
	// Run identifies the run of the process. After a restart the instance is a
	// different owner.
	Run string
	// SlotCount is the number of fleet slots, from the bundle.
	SlotCount int
	// TakeoverWait is the time between the acceptance of a takeover and the first
	// use of the slot, by default 5 s. The former owner may still be running; it
	// stops using its slots when its freshness proof expires, after at most
	// controlstate's MaxProofAge (F, 3 s). The other 2 s cover the quota shares that
	// it has lent, and clock drift.
	TakeoverWait time.Duration
	// ReleaseDelay is the time between the last use of a slot and its release in
	// the table, by default 2 s. Loans of its shares end within 1.5 s, so the next
	// owner need not wait.
	ReleaseDelay time.Duration
	// PutTimeout is how long a put may go without an answer before the row is read
	// back, by default 1 s.
	PutTimeout time.Duration
	Mutation   Mutation
}

// Owner identifies the process run that owns one slot.
type Owner struct {
	Instance fleet.InstanceID `json:"instance,omitempty"`
	Run      string           `json:"run,omitempty"`
	// Released is set if the slot was not in use when this owner took it. The owner
	// then skips the takeover wait.
	Released bool `json:"released,omitempty"`
}

// Table is the content of the row `slots`.
type Table struct {
	Epoch uint64  `json:"epoch"`
	Slots []Owner `json:"slots"`
	// Nonce identifies the put that wrote the row.
	Nonce string `json:"nonce"`
}

// Event is an input of Step.
type Event interface{ event() }

// Tick reports only the passage of time.
type Tick struct{}

// TableRow is the row as read from the table. Version is 0 if the row is absent.
type TableRow struct {
	Table   Table
	Version uint64
}

// PeerTable is the content of the row as sent by a peer.
type PeerTable struct{ Table Table }

// Freshness reports whether the instance has a freshness proof; see
// core/controlstate.
type Freshness struct{ Fresh bool }

// Members reports the instances that are live and those that are considered
// gone, each in any order.
type Members struct{ Live, Gone []fleet.InstanceID }

// Result is the outcome of a conditional put.
type Result int

// Results of a conditional put.
const (
	// NoAnswer means that the put may have taken effect, or may yet.
	NoAnswer Result = iota
	Applied
	// Conflict means that the row did not have the version IfVersion.
	Conflict
)

// PutAnswer reports the result of a PutTable action. Version is the new version
// of the row.
type PutAnswer struct {
	Nonce   string
	Result  Result
	Version uint64
}

// Accepted reports that a majority of the witnesses hold a table of the epoch.
type Accepted struct{ Epoch uint64 }

// Shutdown begins the release of all slots of this instance.
type Shutdown struct{}

func (Tick) event()      {}
func (TableRow) event()  {}
func (PeerTable) event() {}
func (Freshness) event() {}
func (Members) event()   {}
func (PutAnswer) event() {}
func (Accepted) event()  {}
func (Shutdown) event()  {}

// Action is an output of Step.
type Action interface{ action() }

// PutTable writes the row if its version is still IfVersion, where 0 means that
// the row is absent.
type PutTable struct {
	Table     Table
	IfVersion uint64
}

// ReadTable reads the row, for example to resolve a put without an answer.
type ReadTable struct{}

// Announce passes the table to the witnesses. The event Accepted reports that a
// majority of them hold it.
type Announce struct{ Table Table }

// UseSlots replaces the set of slots that this instance may use.
type UseSlots struct{ Slots []int }

// AllReleased reports, after Shutdown, that this instance owns no more slots.
type AllReleased struct{}

func (PutTable) action()    {}
func (ReadTable) action()   {}
func (Announce) action()    {}
func (UseSlots) action()    {}
func (AllReleased) action() {}

// Core is the state machine of one instance. It performs no I/O and is not safe
// for concurrent use.
type Core struct {
	cfg Config
	// table is the known table of the highest epoch. version is the version of the
	// row it was read from, valid only if versionKnown is set.
	table        Table
	version      uint64
	versionKnown bool
	fresh        bool
	live, gone   []fleet.InstanceID
	// claims has one entry for each slot that the table assigns to this run.
	claims map[int]claim
	// releasing holds, for each slot that is being released, the time from which
	// it may be released in the table.
	releasing    map[int]time.Duration
	usable       []int
	shuttingDown bool
	allReleased  bool
	// pendingPut is the put in flight. Its nonce is empty if there is none.
	pendingPut  Table
	putDeadline time.Duration
	putCount    uint64
	nextRead    time.Duration
	// announcedEpoch is the epoch last passed to the witnesses.
	announcedEpoch uint64
}

// claim tells when a slot that this run owns becomes usable.
type claim struct {
	// epoch is that of the table that assigned the slot to this run.
	epoch uint64
	// scheduled is set once usableAt is known: at once if the slot was released,
	// otherwise when a majority of the witnesses hold the epoch.
	scheduled bool
	usableAt  time.Duration
}

// New returns a core that owns no slot.
func New(cfg Config) *Core {
	cfg.TakeoverWait = cmp.Or(cfg.TakeoverWait, 5*time.Second)
	cfg.ReleaseDelay = cmp.Or(cfg.ReleaseDelay, 2*time.Second)
	cfg.PutTimeout = cmp.Or(cfg.PutTimeout, time.Second)
	return &Core{cfg: cfg, claims: map[int]claim{}, releasing: map[int]time.Duration{}}
}

// Clone returns an independent copy.
func (c *Core) Clone() *Core {
	d := *c
	d.table = c.table.clone()
	d.pendingPut = c.pendingPut.clone()
	d.live, d.gone = slices.Clone(c.live), slices.Clone(c.gone)
	d.claims, d.releasing = maps.Clone(c.claims), maps.Clone(c.releasing)
	d.usable = slices.Clone(c.usable)
	return &d
}

func (t Table) clone() Table {
	t.Slots = slices.Clone(t.Slots)
	return t
}

// Step applies one event and returns the actions to perform.
func (c *Core) Step(now time.Duration, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case TableRow:
		out = c.handleRow(out, now, e)
	case PeerTable:
		if e.Table.Epoch > c.table.Epoch {
			c.versionKnown = false
			c.setTable(now, e.Table)
		}
	case Freshness:
		c.fresh = e.Fresh
	case Members:
		c.live, c.gone = slices.Clone(e.Live), slices.Clone(e.Gone)
	case PutAnswer:
		out = c.handlePutAnswer(out, now, e)
	case Accepted:
		for i, cl := range c.claims {
			if !cl.scheduled && cl.epoch <= e.Epoch {
				c.claims[i] = claim{epoch: cl.epoch, scheduled: true, usableAt: now + c.cfg.TakeoverWait}
			}
		}
	case Shutdown:
		c.shuttingDown = true
	}
	c.startReleases(now)
	out = c.updateUsable(out, now)
	out = c.announceTable(out)
	return c.writeTable(out, now)
}

// announceTable passes the table to the witnesses, once per epoch, if a claim
// needs their acceptance.
func (c *Core) announceTable(out []Action) []Action {
	for _, cl := range c.claims {
		if !cl.scheduled && c.announcedEpoch < c.table.Epoch {
			c.announcedEpoch = c.table.Epoch
			return append(out, Announce{Table: c.table.clone()})
		}
	}
	return out
}

// handleRow applies a read of the row. It also resolves a put without an answer:
// the row has the nonce of the put if and only if the put took effect.
func (c *Core) handleRow(out []Action, now time.Duration, e TableRow) []Action {
	if e.Table.Epoch < c.table.Epoch {
		return out
	}
	c.version, c.versionKnown = e.Version, true
	if c.pendingPut.Nonce != "" && e.Table.Nonce == c.pendingPut.Nonce {
		c.putApplied(now, e.Version)
		return out
	}
	// The row does not have the nonce, so either another writer's put won, or the
	// put has not taken effect. In the second case a new put with the same
	// condition excludes the old one.
	if c.pendingPut.Nonce != "" && (e.Table.Epoch >= c.pendingPut.Epoch || now >= c.putDeadline) {
		c.pendingPut = Table{}
	}
	c.setTable(now, e.Table)
	return out
}

// handlePutAnswer applies the result of the pending put. Unless the put was
// applied, it reads the row back.
func (c *Core) handlePutAnswer(out []Action, now time.Duration, e PutAnswer) []Action {
	if c.pendingPut.Nonce == "" || e.Nonce != c.pendingPut.Nonce {
		return out
	}
	switch e.Result {
	case Applied:
		c.putApplied(now, e.Version)
		return out
	case Conflict:
		c.pendingPut = Table{}
	case NoAnswer:
	}
	c.versionKnown = false
	c.nextRead = now + c.cfg.PutTimeout
	return append(out, ReadTable{})
}

// putApplied makes the table of the pending put the current one.
func (c *Core) putApplied(now time.Duration, version uint64) {
	t := c.pendingPut
	c.pendingPut = Table{}
	c.version, c.versionKnown = version, true
	c.setTable(now, t)
}

// setTable replaces the table and updates the claims accordingly.
func (c *Core) setTable(now time.Duration, t Table) {
	c.table = t.clone()
	for i := range c.releasing {
		if !c.owns(i) {
			delete(c.releasing, i)
		}
	}
	for i := range c.claims {
		if !c.owns(i) {
			delete(c.claims, i)
		}
	}
	for i := range t.Slots {
		if _, known := c.claims[i]; known || !c.owns(i) {
			continue
		}
		cl := claim{epoch: t.Epoch}
		switch {
		case t.Slots[i].Released || c.cfg.Mutation == NoWait:
			cl.scheduled, cl.usableAt = true, now
		case c.cfg.Mutation == NoAcceptance:
			cl.scheduled, cl.usableAt = true, now+c.cfg.TakeoverWait
		}
		c.claims[i] = cl
	}
}

// owns reports whether the table assigns slot i to this run.
func (c *Core) owns(i int) bool {
	return i < len(c.table.Slots) && c.table.Slots[i].Instance == c.cfg.Self && c.table.Slots[i].Run == c.cfg.Run
}

// updateUsable derives the usable slots and reports a change, and reports when a
// shutdown has released all slots.
func (c *Core) updateUsable(out []Action, now time.Duration) []Action {
	var usable []int
	for i, cl := range c.claims {
		_, releasing := c.releasing[i]
		if i < c.cfg.SlotCount && cl.scheduled && now >= cl.usableAt && !releasing {
			usable = append(usable, i)
		}
	}
	slices.Sort(usable)
	if !c.fresh && c.cfg.Mutation != UseWhileStale {
		usable = nil
	}
	if !slices.Equal(usable, c.usable) {
		c.usable = usable
		out = append(out, UseSlots{Slots: slices.Clone(usable)})
	}
	if c.shuttingDown && !c.allReleased && len(c.claims) == 0 && c.pendingPut.Nonce == "" {
		c.allReleased = true
		out = append(out, AllReleased{})
	}
	return out
}

// startReleases stops the use of slots that other instances are to own: all of
// them at shutdown, otherwise as many as surplus returns. They are released
// together, because each release waits for ReleaseDelay.
func (c *Core) startReleases(now time.Duration) {
	if c.shuttingDown {
		for i := range c.claims {
			if _, ok := c.releasing[i]; !ok {
				c.releasing[i] = now + c.cfg.ReleaseDelay
			}
		}
		return
	}
	if !c.fresh || len(c.releasing) > 0 || c.pendingPut.Nonce != "" || slices.ContainsFunc(c.table.Slots, c.isFree) {
		return
	}
	surplus := c.surplus()
	for i := len(c.table.Slots) - 1; i >= 0 && surplus > 0; i-- {
		if _, owned := c.claims[i]; owned {
			c.releasing[i] = now + c.cfg.ReleaseDelay
			surplus--
		}
	}
}

// surplus returns how many slots this instance has to release until every live
// instance has at most one slot fewer than this one.
func (c *Core) surplus() int {
	counts := c.slotCounts()
	own := counts[c.cfg.Self]
	delete(counts, c.cfg.Self)
	others := slices.Sorted(maps.Values(counts))
	n := 0
	for len(others) > 0 && own >= others[0]+2 {
		own--
		others[0]++
		n++
		slices.Sort(others)
	}
	return n
}

// isFree reports whether a slot may be taken over: it has no owner, its owner is
// gone, or it belongs to an earlier run of this instance.
func (c *Core) isFree(o Owner) bool {
	return o.Instance == "" || slices.Contains(c.gone, o.Instance) || o.Instance == c.cfg.Self && o.Run != c.cfg.Run
}

// slotCounts returns the number of slots that each live instance owns.
func (c *Core) slotCounts() map[fleet.InstanceID]int {
	counts := map[fleet.InstanceID]int{}
	for _, id := range c.live {
		counts[id] = 0
	}
	for _, o := range c.table.Slots {
		if _, live := counts[o.Instance]; live && !c.isFree(o) {
			counts[o.Instance]++
		}
	}
	return counts
}

// writeTable puts a new table when slots are to be taken or released. If the
// version of the row is unknown or a put has timed out, it reads the row instead.
func (c *Core) writeTable(out []Action, now time.Duration) []Action {
	if c.pendingPut.Nonce != "" {
		if now >= c.putDeadline && now >= c.nextRead {
			c.nextRead = now + c.cfg.PutTimeout
			out = append(out, ReadTable{})
		}
		return out
	}
	next, changed := c.planTable(now)
	if !changed {
		return out
	}
	if !c.versionKnown {
		if now >= c.nextRead {
			c.nextRead = now + c.cfg.PutTimeout
			out = append(out, ReadTable{})
		}
		return out
	}
	c.putCount++
	next.Epoch = c.table.Epoch + 1
	next.Nonce = string(c.cfg.Self) + "/" + c.cfg.Run + "/" + strconv.FormatUint(c.putCount, 10)
	c.pendingPut, c.putDeadline = next, now+c.cfg.PutTimeout
	return append(out, PutTable{Table: next.clone(), IfVersion: c.version})
}

// planTable returns the table with the slots that this instance takes or
// releases. Free slots go to the live instance with the fewest slots, with ties
// broken by rendezvous hash. Every instance computes the whole assignment but
// takes only its own slots.
func (c *Core) planTable(now time.Duration) (next Table, changed bool) {
	next = c.table.clone()
	for i, at := range c.releasing {
		if now >= at && c.owns(i) {
			next.Slots[i] = Owner{}
			changed = true
		}
	}
	// Before the first Members event no other instance is known, and this one would
	// take every free slot.
	if c.shuttingDown || !c.fresh || changed || len(c.live) == 0 {
		return next, changed
	}
	for len(next.Slots) < c.cfg.SlotCount {
		next.Slots = append(next.Slots, Owner{})
	}
	counts := c.slotCounts()
	for i, o := range next.Slots[:c.cfg.SlotCount] {
		if !c.isFree(o) {
			continue
		}
		key := "slots/" + strconv.Itoa(i)
		ranked := fleet.Rank(key, slices.Sorted(maps.Keys(counts)))
		taker := slices.MinFunc(ranked, func(a, b fleet.InstanceID) int { return counts[a] - counts[b] })
		counts[taker]++
		if taker == c.cfg.Self {
			// A slot that the table did not have counts as released only if the whole
			// table is new: otherwise instances with the former SlotCount may still run.
			released := o.Instance == "" && (i < len(c.table.Slots) || len(c.table.Slots) == 0)
			next.Slots[i] = Owner{Instance: c.cfg.Self, Run: c.cfg.Run, Released: released}
			changed = true
		}
	}
	return next, changed
}

// Table returns the known table of the highest epoch, to pass on to peers.
func (c *Core) Table() Table { return c.table.clone() }

// UsableSlots returns the slots that this instance may use.
func (c *Core) UsableSlots() []int { return c.usable }
