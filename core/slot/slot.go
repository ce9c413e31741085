// Package slot decides which instance owns which fleet slot. A slot carries an
// equal share of every account's rate and burst and of every endpoint's
// connections.
//
// Usage: the control goroutine passes the slot row, freshness, membership and
// the answers of the table to Step and performs the actions. The traffic path
// uses exactly the slots of the last Use action.
//
//	c := slot.New(slot.Config{Self: id, Run: run, N: 4})
//	c.Step(now, slot.Freshness{Fresh: true})
//	c.Step(now, slot.TableRow{Table: t, Version: v})
//	c.Step(now, slot.PutAnswer{Nonce: n, Result: slot.Won, Version: v})
//	c.Step(now, slot.Accepted{Epoch: e})          // from core/fresh
//
// Without the table no slot changes hands.
package slot

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation switches one rule off for the exhaustive search. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// NoWait uses a slot as soon as it has been taken over.
	NoWait
	// UseWhileStale uses slots without a freshness proof.
	UseWhileStale
	// NoAcceptance starts the wait before a majority of witnesses know.
	NoAcceptance
)

// Config holds the constants; zero values take the defaults of New.
type Config struct {
	Self fleet.InstanceID
	// Run identifies the process run; a restarted instance is a new owner.
	Run string
	// SlotCount is the number of fleet slots, from the bundle.
	SlotCount int
	// TakeoverWait is F + 2 s = 5 s: after F the former owner, if it runs at all, has lost
	// its freshness proof and uses none of its slots; the 2 s cover loans of its
	// shares and clock slack.
	TakeoverWait time.Duration
	// ReleaseDelay is 2 s between the last use of a slot and its release in the
	// table. Loans of its shares have ended by then (1.5 s), so that the next
	// owner needs no wait.
	ReleaseDelay time.Duration
	// PutTimeout is 1 s; after it the row is read back.
	PutTimeout time.Duration
	Mutation   Mutation
}

// Owner is the owner of one slot.
type Owner struct {
	Instance fleet.InstanceID `json:"instance,omitempty"`
	Run      string           `json:"run,omitempty"`
	// Released is set when nobody used the slot when it was taken, so that no
	// wait is needed.
	Released bool `json:"released,omitempty"`
}

// Table is the content of the row `slots`.
type Table struct {
	Epoch uint64  `json:"epoch"`
	Slots []Owner `json:"slots"`
	// Nonce identifies the writer's put.
	Nonce string `json:"nonce"`
}

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// TableRow is the row as read from the table; Version 0 means that it is absent.
type TableRow struct {
	Table   Table
	Version uint64
}

// PeerTable is the table as a peer sent it.
type PeerTable struct{ Table Table }

// Freshness reports the state of core/fresh.
type Freshness struct{ Fresh bool }

// Members reports membership: Live in any order, and those seen as gone.
type Members struct{ Live, Gone []fleet.InstanceID }

// Result is the outcome of a conditional put.
type Result int

// The results of a put.
const (
	NoAnswer Result = iota
	Applied
	Conflict
)

// PutAnswer is the answer to PutTable; Version is the row's new version.
type PutAnswer struct {
	Nonce   string
	Result  Result
	Version uint64
}

// Accepted reports that a majority of the witnesses hold the epoch.
type Accepted struct{ Epoch uint64 }

// Shutdown begins the hand-over of all own slots.
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

// PutTable writes the row if its version is still IfVersion (0: absent).
type PutTable struct {
	Table     Table
	IfVersion uint64
}

// ReadTable reads the row, for example to resolve a lost answer.
type ReadTable struct{}

// Announce passes the table to the witnesses; Accepted reports their majority.
type Announce struct{ Table Table }

// UseSlots replaces the set of slots that this instance may use.
type UseSlots struct{ Slots []int }

// AllReleased reports that no slot is owned any more after Shutdown.
type AllReleased struct{}

func (PutTable) action()    {}
func (ReadTable) action()   {}
func (Announce) action()    {}
func (UseSlots) action()    {}
func (AllReleased) action() {}

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	cfg Config
	// table is the newest known by epoch. version is that of the row it was read
	// from; it is valid only while versionKnown.
	table        Table
	version      uint64
	versionKnown bool
	fresh        bool
	live, gone   []fleet.InstanceID
	// claims has one entry per slot that the table gives to this run.
	claims map[int]claim
	// releasing has the time at which a slot that is no longer used may be
	// released in the table.
	releasing map[int]time.Duration
	using     []int
	shutdown  bool
	handed    bool
	// put is the write in flight; its nonce is empty if there is none.
	put      Table
	putUntil time.Duration
	nonces   uint64
	readAt   time.Duration
	// spread is the epoch last passed to the witnesses for a claim's wait.
	spread uint64
}

// claim says when an owned slot may be used.
type claim struct {
	// epoch of the table that gave the slot to this run.
	epoch uint64
	// timed is set once usable is: when the slot was free, or when a majority
	// of witnesses knew the epoch.
	timed  bool
	usable time.Duration
}

// New returns a core that uses no slot.
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
	d.put = c.put.clone()
	d.live, d.gone = slices.Clone(c.live), slices.Clone(c.gone)
	d.claims, d.releasing = maps.Clone(c.claims), maps.Clone(c.releasing)
	d.using = slices.Clone(c.using)
	return &d
}

func (t Table) clone() Table {
	t.Slots = slices.Clone(t.Slots)
	return t
}

// Step applies one event.
func (c *Core) Step(now time.Duration, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case TableRow:
		out = c.row(out, now, e)
	case PeerTable:
		if e.Table.Epoch > c.table.Epoch {
			c.versionKnown = false
			c.adopt(now, e.Table)
		}
	case Freshness:
		c.fresh = e.Fresh
	case Members:
		c.live, c.gone = slices.Clone(e.Live), slices.Clone(e.Gone)
	case PutAnswer:
		out = c.putAnswer(out, now, e)
	case Accepted:
		for i, cl := range c.claims {
			if !cl.timed && cl.epoch <= e.Epoch {
				c.claims[i] = claim{epoch: cl.epoch, timed: true, usable: now + c.cfg.TakeoverWait}
			}
		}
	case Shutdown:
		c.shutdown = true
	}
	c.startReleases(now)
	out = c.use(out, now)
	out = c.awaitAcceptance(out)
	return c.write(out, now)
}

// awaitAcceptance passes a table that starts a wait to the witnesses.
func (c *Core) awaitAcceptance(out []Action) []Action {
	for _, cl := range c.claims {
		if !cl.timed && c.spread < c.table.Epoch {
			c.spread = c.table.Epoch
			return append(out, Announce{Table: c.table.clone()})
		}
	}
	return out
}

// row takes a read of the table. It also resolves a put without an answer: the
// row holds this run's nonce iff the put took effect.
func (c *Core) row(out []Action, now time.Duration, e TableRow) []Action {
	if e.Table.Epoch < c.table.Epoch {
		return out
	}
	c.version, c.versionKnown = e.Version, true
	if c.put.Nonce != "" && e.Table.Nonce == c.put.Nonce {
		c.won(now, e.Version)
		return out
	}
	// Without the nonce the put was lost to another writer, or has not taken
	// effect: then a new put with the same condition excludes the old one.
	if c.put.Nonce != "" && (e.Table.Epoch >= c.put.Epoch || now >= c.putUntil) {
		c.put = Table{}
	}
	c.adopt(now, e.Table)
	return out
}

func (c *Core) putAnswer(out []Action, now time.Duration, e PutAnswer) []Action {
	if c.put.Nonce == "" || e.Nonce != c.put.Nonce {
		return out
	}
	switch e.Result {
	case Applied:
		c.won(now, e.Version)
		return out
	case Conflict:
		c.put = Table{}
	case NoAnswer:
	}
	c.versionKnown = false
	c.readAt = now + c.cfg.PutTimeout
	return append(out, ReadTable{})
}

func (c *Core) won(now time.Duration, version uint64) {
	t := c.put
	c.put = Table{}
	c.version, c.versionKnown = version, true
	c.adopt(now, t)
}

// adopt replaces the table and derives the claims.
func (c *Core) adopt(now time.Duration, t Table) {
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
			cl.timed, cl.usable = true, now
		case c.cfg.Mutation == NoAcceptance:
			cl.timed, cl.usable = true, now+c.cfg.TakeoverWait
		}
		c.claims[i] = cl
	}
}

// owns reports whether the table gives slot i to this run.
func (c *Core) owns(i int) bool {
	return i < len(c.table.Slots) && c.table.Slots[i].Instance == c.cfg.Self && c.table.Slots[i].Run == c.cfg.Run
}

// use derives the usable slots and reports a change.
func (c *Core) use(out []Action, now time.Duration) []Action {
	var use []int
	for i, cl := range c.claims {
		_, releasing := c.releasing[i]
		if i < c.cfg.SlotCount && cl.timed && now >= cl.usable && !releasing {
			use = append(use, i)
		}
	}
	slices.Sort(use)
	if !c.fresh && c.cfg.Mutation != UseWhileStale {
		use = nil
	}
	if !slices.Equal(use, c.using) {
		c.using = use
		out = append(out, UseSlots{Slots: slices.Clone(use)})
	}
	if c.shutdown && !c.handed && len(c.claims) == 0 && c.put.Nonce == "" {
		c.handed = true
		out = append(out, AllReleased{})
	}
	return out
}

// startReleases stops the use of slots that go to other owners: all of them at
// shutdown, otherwise as many as it takes until no live instance has two fewer.
// They are released together, since each release waits ReleaseDelay.
func (c *Core) startReleases(now time.Duration) {
	if c.shutdown {
		for i := range c.claims {
			if _, ok := c.releasing[i]; !ok {
				c.releasing[i] = now + c.cfg.ReleaseDelay
			}
		}
		return
	}
	if !c.fresh || len(c.releasing) > 0 || c.put.Nonce != "" || slices.ContainsFunc(c.table.Slots, c.free) {
		return
	}
	surplus := c.surplus()
	for i := len(c.table.Slots) - 1; i >= 0 && surplus > 0; i-- {
		if _, mine := c.claims[i]; mine {
			c.releasing[i] = now + c.cfg.ReleaseDelay
			surplus--
		}
	}
}

// surplus returns how many slots this instance gives up so that no live
// instance has two fewer than it.
func (c *Core) surplus() int {
	counts := c.counts()
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

// free reports whether a slot may be taken.
func (c *Core) free(o Owner) bool {
	return o.Instance == "" || slices.Contains(c.gone, o.Instance) || o.Instance == c.cfg.Self && o.Run != c.cfg.Run
}

// counts returns the number of slots of each live instance.
func (c *Core) counts() map[fleet.InstanceID]int {
	counts := map[fleet.InstanceID]int{}
	for _, id := range c.live {
		counts[id] = 0
	}
	for _, o := range c.table.Slots {
		if _, live := counts[o.Instance]; live && !c.free(o) {
			counts[o.Instance]++
		}
	}
	return counts
}

// write changes the table when slots are to be taken or released.
func (c *Core) write(out []Action, now time.Duration) []Action {
	if c.put.Nonce != "" {
		if now >= c.putUntil && now >= c.readAt {
			c.readAt = now + c.cfg.PutTimeout
			out = append(out, ReadTable{})
		}
		return out
	}
	next, changed := c.plan(now)
	if !changed {
		return out
	}
	if !c.versionKnown {
		if now >= c.readAt {
			c.readAt = now + c.cfg.PutTimeout
			out = append(out, ReadTable{})
		}
		return out
	}
	c.nonces++
	next.Epoch = c.table.Epoch + 1
	next.Nonce = string(c.cfg.Self) + "/" + c.cfg.Run + "/" + strconv.FormatUint(c.nonces, 10)
	c.put, c.putUntil = next, now+c.cfg.PutTimeout
	return append(out, PutTable{Table: next.clone(), IfVersion: c.version})
}

// plan returns the table with this instance's changes. Free slots go to the
// live instance with the fewest slots, ties by rank; each instance takes only
// its own.
func (c *Core) plan(now time.Duration) (next Table, changed bool) {
	next = c.table.clone()
	for i, at := range c.releasing {
		if now >= at && c.owns(i) {
			next.Slots[i] = Owner{}
			changed = true
		}
	}
	// Before the first Members event this instance would take every free slot.
	if c.shutdown || !c.fresh || changed || len(c.live) == 0 {
		return next, changed
	}
	for len(next.Slots) < c.cfg.SlotCount {
		next.Slots = append(next.Slots, Owner{})
	}
	counts := c.counts()
	for i, o := range next.Slots[:c.cfg.SlotCount] {
		if !c.free(o) {
			continue
		}
		row := "slots/" + strconv.Itoa(i)
		ranked := fleet.Rank(row, slices.Sorted(maps.Keys(counts)))
		taker := slices.MinFunc(ranked, func(a, b fleet.InstanceID) int { return counts[a] - counts[b] })
		counts[taker]++
		if taker == c.cfg.Self {
			// A slot that the table never had is free only if the whole table is
			// new: otherwise instances with the former N may still run.
			released := o.Instance == "" && (i < len(c.table.Slots) || len(c.table.Slots) == 0)
			next.Slots[i] = Owner{Instance: c.cfg.Self, Run: c.cfg.Run, Released: released}
			changed = true
		}
	}
	return next, changed
}

// Table returns the newest table known, to pass on to peers.
func (c *Core) Table() Table { return c.table.clone() }

// UsableSlots returns the slots in use.
func (c *Core) UsableSlots() []int { return c.using }
