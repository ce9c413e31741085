// Package membership decides which instances are alive, from the platform's
// lagging list and from pulls between instances.
//
// Usage: the control goroutine passes the list, its own pulls and what peers
// report to Step, and a Tick at least every 100 ms. Membership chooses whom to
// ask and who acts first; safety never depends on it.
//
//	c := member.New(member.Config{Self: id, DataCentre: dc})
//	c.Step(now, member.Listed{Instances: list})
//	c.Step(now, member.Answered{Peer: id, Members: reports})
//	live := c.Live(now)
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// State is how an instance is seen.
type State int

// The states of an instance.
const (
	Unknown State = iota
	Alive
	// Suspected: no answer for SuspectAfter.
	Suspected
	// Leaving: listed or reported as leaving, and still heard.
	Leaving
	// Gone: no longer listed, or no answer to anyone for GoneAfter.
	Gone
)

// Config holds the constants; zero values take the defaults of New.
type Config struct {
	Self       fleet.InstanceID
	DataCentre fleet.DataCentre
	// SuspectAfter is 1 s: two pulls of 500 ms went unanswered.
	SuspectAfter time.Duration
	// AnswerWindow is 2 s: an answer this recent proves that an unlisted
	// instance is alive.
	AnswerWindow time.Duration
	// GoneAfter is 5 s: silence towards every peer for this long.
	GoneAfter time.Duration
}

// Instance is an entry of the platform's list.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	Addr       string
	Leaving    bool
}

// PeerReport is what a peer says of a third instance.
type PeerReport struct {
	Instance
	// SinceHeard is the time since the peer last heard the instance.
	SinceHeard time.Duration
}

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// PlatformList replaces the platform's list.
type PlatformList struct{ Instances []Instance }

// PullResponse reports a peer's answer to a pull.
type PullResponse struct {
	Peer    fleet.InstanceID
	Leaving bool
	Members []PeerReport
}

func (Tick) event()         {}
func (PlatformList) event() {}
func (PullResponse) event() {}

// Action is an output of Step.
type Action interface{ action() }

// StateChanged reports that an instance is seen in another state than before.
type StateChanged struct {
	ID       fleet.InstanceID
	From, To State
}

func (StateChanged) action() {}

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Duration
	// known has an entry for each instance that was ever listed or heard, until
	// it has been gone for forgetAfter.
	known map[fleet.InstanceID]*record
}

type record struct {
	Instance
	listed bool
	since  time.Duration
	// answered is the last answer to this instance's own pull; heard also takes
	// what peers report. heard is never before answered.
	answered, heard time.Duration
	hasAnswer       bool
	state           State
}

// forgetAfter bounds the number of records: at the future size 7,800 instances
// are replaced a day.
const forgetAfter = time.Minute

// New returns a core that knows only this instance.
func New(cfg Config) *Core {
	cfg.SuspectAfter = cmp.Or(cfg.SuspectAfter, time.Second)
	cfg.AnswerWindow = cmp.Or(cfg.AnswerWindow, 2*time.Second)
	cfg.GoneAfter = cmp.Or(cfg.GoneAfter, 5*time.Second)
	return &Core{cfg: cfg, known: map[fleet.InstanceID]*record{}}
}

// Step applies one event.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.now = max(c.now, now)
	switch e := e.(type) {
	case PlatformList:
		c.list(e.Instances)
	case PullResponse:
		c.answered(e)
	}
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(c.known)) {
		r := c.known[id]
		to := c.judge(r)
		if to != r.state {
			out = append(out, StateChanged{ID: id, From: r.state, To: to})
			r.state = to
		}
		if to == Gone && !r.listed && c.now-max(r.heard, r.since) >= forgetAfter {
			delete(c.known, id)
		}
	}
	return out
}

func (c *Core) list(instances []Instance) {
	for _, r := range c.known {
		r.listed = false
	}
	for _, i := range instances {
		if i.ID == c.cfg.Self {
			continue
		}
		r := c.get(i.ID)
		r.listed = true
		left := r.Leaving
		r.Instance = i
		// The list lags, so it cannot take back what the instance said of itself.
		r.Leaving = r.Leaving || left
	}
}

func (c *Core) get(id fleet.InstanceID) *record {
	r := c.known[id]
	if r == nil {
		r = &record{Instance: Instance{ID: id}, since: c.now, state: Unknown}
		c.known[id] = r
	}
	return r
}

func (c *Core) answered(e PullResponse) {
	r := c.get(e.Peer)
	r.answered, r.heard, r.hasAnswer = c.now, c.now, true
	r.Leaving = r.Leaving || e.Leaving
	for _, m := range e.Members {
		if m.ID == c.cfg.Self {
			continue
		}
		t := c.get(m.ID)
		if t.Addr == "" {
			t.Addr, t.DataCentre = m.Addr, m.DataCentre
		}
		t.Leaving = t.Leaving || m.Leaving
		t.heard = max(t.heard, c.now-m.SinceHeard)
	}
}

func (c *Core) judge(r *record) State {
	answeredWithin := func(d time.Duration) bool { return r.hasAnswer && c.now-r.answered < d }
	switch {
	case c.now-max(r.heard, r.since) >= c.cfg.GoneAfter:
		return Gone
	case r.Leaving && (r.listed || answeredWithin(c.cfg.AnswerWindow)):
		return Leaving
	case !r.listed && answeredWithin(c.cfg.AnswerWindow):
		return Alive
	case !r.listed:
		return Gone
	case !answeredWithin(c.cfg.SuspectAfter) && c.now-r.since >= c.cfg.SuspectAfter:
		return Suspected
	}
	return Alive
}

// State returns how the instance is seen.
func (c *Core) State(id fleet.InstanceID) State {
	if id == c.cfg.Self {
		return Alive
	}
	if r := c.known[id]; r != nil {
		return r.state
	}
	return Unknown
}

// ids returns the known instances that keep accepts, sorted by id.
func (c *Core) ids(self bool, keep func(*record) bool) []fleet.InstanceID {
	var out []fleet.InstanceID
	if self {
		out = append(out, c.cfg.Self)
	}
	for id, r := range c.known {
		if keep(r) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Live returns the instances that are alive, this one included, sorted by id.
func (c *Core) Live() []fleet.InstanceID {
	return c.ids(true, func(r *record) bool { return r.state == Alive })
}

// Gone returns the instances that are gone, sorted by id.
func (c *Core) Gone() []fleet.InstanceID {
	return c.ids(false, func(r *record) bool { return r.state == Gone })
}

// Answering returns the instances that answered a pull within SuspectAfter,
// this one included, sorted by id.
func (c *Core) Answering(now time.Duration) []fleet.InstanceID {
	return c.ids(true, func(r *record) bool {
		return r.hasAnswer && now-r.answered < c.cfg.SuspectAfter && !r.Leaving
	})
}

// ListedIDs returns the ids of the platform's list with this instance, sorted.
func (c *Core) ListedIDs() []fleet.InstanceID {
	return c.ids(true, func(r *record) bool { return r.listed })
}

// Peers returns the instances to pull from: all that are not gone, without
// this one, sorted by id. A gone instance that is still listed is included, so
// that a healed partition is noticed.
func (c *Core) Peers() []Instance {
	var out []Instance
	for _, id := range c.ids(false, func(r *record) bool { return r.listed || r.state != Gone }) {
		out = append(out, c.known[id].Instance)
	}
	return out
}

// Reports returns what this instance tells its peers of others. It contains
// only what this instance heard itself, so that no rumour outlives its source.
func (c *Core) Reports(now time.Duration) []PeerReport {
	var out []PeerReport
	for _, id := range c.ids(false, func(r *record) bool { return r.hasAnswer }) {
		r := c.known[id]
		out = append(out, PeerReport{Instance: r.Instance, SinceHeard: now - r.answered})
	}
	return out
}

// PollsTable reports whether this instance is among the first two live instances of
// its data centre by rank for row, which poll the table every second.
func (c *Core) PollsTable(row string) bool {
	near := []fleet.InstanceID{c.cfg.Self}
	for _, id := range c.Live() {
		if r := c.known[id]; r != nil && r.DataCentre == c.cfg.DataCentre {
			near = append(near, id)
		}
	}
	ranked := fleet.Rank(row, near)
	return slices.Contains(ranked[:min(2, len(ranked))], c.cfg.Self)
}
