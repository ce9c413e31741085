// Package membership decides which instances of the fleet are alive, from the
// platform's list of instances, which lags behind, and from pulls between instances.
//
// The control goroutine passes the platform's list, the responses to its own pulls,
// and what peers report in them to Step, and a Tick at least every 100 ms. Membership
// determines whom to ask and who acts first; safety never depends on it.
//
//	c := membership.New(membership.Config{Self: id, DataCentre: dc})
//	c.Step(now, membership.PlatformList{Instances: list})
//	c.Step(now, membership.PullResponse{Peer: id, Members: reports})
//	live := c.Live()
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// State is the state of an instance as this instance sees it.
type State int

// The states of an instance.
const (
	Unknown State = iota
	Alive
	// Suspected means that the instance has not responded for SuspectAfter.
	Suspected
	// Leaving means that the instance is listed or reported as leaving and is still
	// heard of.
	Leaving
	// Gone means that the instance is no longer listed, or has not responded to any
	// peer for GoneAfter.
	Gone
)

// Config holds the parameters of a Core. New replaces zero durations by the defaults
// given at each field.
type Config struct {
	Self       fleet.InstanceID
	DataCentre fleet.DataCentre
	// SuspectAfter is how long an instance may leave pulls unanswered before it is
	// suspected. Default 1 s, two pulls at 500 ms.
	SuspectAfter time.Duration
	// ResponseMaxAge is the age up to which a pull response proves that an instance
	// missing from the list is alive. Default 2 s.
	ResponseMaxAge time.Duration
	// GoneAfter is how long an instance must be silent towards every peer to count as
	// gone. Default 5 s.
	GoneAfter time.Duration
}

// Instance is an entry of the platform's list.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	Addr       string
	Leaving    bool
}

// PeerReport is what a peer reports about a third instance.
type PeerReport struct {
	Instance
	// SinceHeard is the time since the peer last received a response from the instance.
	SinceHeard time.Duration
}

// Event is an input of Step.
type Event interface{ event() }

// Tick reports only the passing of time, so that states change on silence.
type Tick struct{}

// PlatformList replaces the list of instances of the platform.
type PlatformList struct{ Instances []Instance }

// PullResponse is a peer's response to a pull.
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

// StateChanged reports that the state of an instance has changed.
type StateChanged struct {
	ID       fleet.InstanceID
	From, To State
}

func (StateChanged) action() {}

// Core is the membership state machine. It does no input or output and is not safe for
// concurrent use.
type Core struct {
	cfg Config
	now time.Duration
	// records has an entry for each instance that has been listed or heard of. The entry
	// is removed when the instance has been gone for forgetAfter.
	records map[fleet.InstanceID]*record
}

type record struct {
	Instance
	listed    bool
	firstSeen time.Duration
	// lastResponse is the time of the last response to a pull of this instance. lastHeard
	// also covers what peers report, and is never before lastResponse.
	lastResponse, lastHeard time.Duration
	hasResponse             bool
	state                   State
}

// forgetAfter is how long a gone instance is remembered. It bounds the number of
// records: at the planned size of the fleet, 7,800 instances are replaced per day.
const forgetAfter = time.Minute

// New returns a Core that knows only this instance.
func New(cfg Config) *Core {
	cfg.SuspectAfter = cmp.Or(cfg.SuspectAfter, time.Second)
	cfg.ResponseMaxAge = cmp.Or(cfg.ResponseMaxAge, 2*time.Second)
	cfg.GoneAfter = cmp.Or(cfg.GoneAfter, 5*time.Second)
	return &Core{cfg: cfg, records: map[fleet.InstanceID]*record{}}
}

// Step applies one event and returns the changes of state that follow from it.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.now = max(c.now, now)
	switch e := e.(type) {
	case PlatformList:
		c.applyList(e.Instances)
	case PullResponse:
		c.applyResponse(e)
	}
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[id]
		to := c.nextState(r)
		if to != r.state {
			out = append(out, StateChanged{ID: id, From: r.state, To: to})
			r.state = to
		}
		if to == Gone && !r.listed && c.now-max(r.lastHeard, r.firstSeen) >= forgetAfter {
			delete(c.records, id)
		}
	}
	return out
}

func (c *Core) applyList(instances []Instance) {
	for _, r := range c.records {
		r.listed = false
	}
	for _, i := range instances {
		if i.ID == c.cfg.Self {
			continue
		}
		r := c.getOrAdd(i.ID)
		r.listed = true
		wasLeaving := r.Leaving
		r.Instance = i
		// The list lags behind, so it does not override an instance's own report that
		// it is leaving.
		r.Leaving = r.Leaving || wasLeaving
	}
}

func (c *Core) getOrAdd(id fleet.InstanceID) *record {
	r := c.records[id]
	if r == nil {
		r = &record{Instance: Instance{ID: id}, firstSeen: c.now, state: Unknown}
		c.records[id] = r
	}
	return r
}

func (c *Core) applyResponse(e PullResponse) {
	r := c.getOrAdd(e.Peer)
	r.lastResponse, r.lastHeard, r.hasResponse = c.now, c.now, true
	r.Leaving = r.Leaving || e.Leaving
	for _, m := range e.Members {
		if m.ID == c.cfg.Self {
			continue
		}
		t := c.getOrAdd(m.ID)
		if t.Addr == "" {
			t.Addr, t.DataCentre = m.Addr, m.DataCentre
		}
		t.Leaving = t.Leaving || m.Leaving
		t.lastHeard = max(t.lastHeard, c.now-m.SinceHeard)
	}
}

func (c *Core) nextState(r *record) State {
	respondedWithin := func(d time.Duration) bool { return r.hasResponse && c.now-r.lastResponse < d }
	switch {
	case c.now-max(r.lastHeard, r.firstSeen) >= c.cfg.GoneAfter:
		return Gone
	case r.Leaving && (r.listed || respondedWithin(c.cfg.ResponseMaxAge)):
		return Leaving
	case !r.listed && respondedWithin(c.cfg.ResponseMaxAge):
		return Alive
	case !r.listed:
		return Gone
	case !respondedWithin(c.cfg.SuspectAfter) && c.now-r.firstSeen >= c.cfg.SuspectAfter:
		return Suspected
	}
	return Alive
}

// State returns the state of an instance.
func (c *Core) State(id fleet.InstanceID) State {
	if id == c.cfg.Self {
		return Alive
	}
	if r := c.records[id]; r != nil {
		return r.state
	}
	return Unknown
}

// filterIDs returns the ids of the known instances that keep accepts, and of this
// instance if self is set, sorted.
func (c *Core) filterIDs(self bool, keep func(*record) bool) []fleet.InstanceID {
	var out []fleet.InstanceID
	if self {
		out = append(out, c.cfg.Self)
	}
	for id, r := range c.records {
		if keep(r) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Live returns the ids of the instances that are alive, this one included, sorted.
func (c *Core) Live() []fleet.InstanceID {
	return c.filterIDs(true, func(r *record) bool { return r.state == Alive })
}

// Gone returns the ids of the instances that are gone, sorted.
func (c *Core) Gone() []fleet.InstanceID {
	return c.filterIDs(false, func(r *record) bool { return r.state == Gone })
}

// Answering returns the ids of the instances that are not leaving and have responded
// to a pull within SuspectAfter, this one included, sorted.
func (c *Core) Answering(now time.Duration) []fleet.InstanceID {
	return c.filterIDs(true, func(r *record) bool {
		return r.hasResponse && now-r.lastResponse < c.cfg.SuspectAfter && !r.Leaving
	})
}

// ListedIDs returns the ids of the instances in the platform's list and of this one,
// sorted.
func (c *Core) ListedIDs() []fleet.InstanceID {
	return c.filterIDs(true, func(r *record) bool { return r.listed })
}

// Peers returns the instances to pull from, without this one, sorted by id: all that
// are not gone, and those that are gone but still listed, so that the end of a network
// partition is noticed.
func (c *Core) Peers() []Instance {
	var out []Instance
	for _, id := range c.filterIDs(false, func(r *record) bool { return r.listed || r.state != Gone }) {
		out = append(out, c.records[id].Instance)
	}
	return out
}

// Reports returns what this instance tells its peers about other instances. It contains
// only instances that have responded to this instance itself, so that outdated reports
// do not keep circulating between peers.
func (c *Core) Reports(now time.Duration) []PeerReport {
	var out []PeerReport
	for _, id := range c.filterIDs(false, func(r *record) bool { return r.hasResponse }) {
		r := c.records[id]
		out = append(out, PeerReport{Instance: r.Instance, SinceHeard: now - r.lastResponse})
	}
	return out
}

// PollsTable reports whether this instance is among the first two live instances of its
// data centre in the rank order of row. Those two poll the table every second.
func (c *Core) PollsTable(row string) bool {
	candidates := []fleet.InstanceID{c.cfg.Self}
	for _, id := range c.Live() {
		if r := c.records[id]; r != nil && r.DataCentre == c.cfg.DataCentre {
			candidates = append(candidates, id)
		}
	}
	ranked := fleet.Rank(row, candidates)
	return slices.Contains(ranked[:min(2, len(ranked))], c.cfg.Self)
}
