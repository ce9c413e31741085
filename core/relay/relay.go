// Package relay decides from which instance an instance follows the fleet's shared
// state, and which instances count as present.
//
// All instances compute the same order of the members. The first two of the order
// that are present read the platform's store. The first of them is the root. In each
// region the first member that is present follows the root, in each data centre the first
// one follows that of its region, and relays to the others of its data centre. An instance
// follows only instances that precede it in the order, so that there are no cycles, and
// each change crosses the boundary of a region and of a data centre once. The cost of an
// instance therefore depends on the size of its data centre only if it is a relay, on the
// number of data centres of its region only if it is the first of the region, and on the
// number of regions only if it is the root.
//
// Presence flows the other way: each instance reports to the one that it follows
// which instances it has heard from, and the root announces those that nobody has.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// readerCount is how many instances read the store. With two, one may fail.
	readerCount = 2
	// MaxSources is how many instances of its data centre, how many of its region, and
	// how many of the whole fleet, an instance tries before it reads the store itself.
	MaxSources = 2
	// HeardFor is how long an instance counts as heard after it has asked for changes
	// or been answered. An instance asks again at once, and each call is answered
	// within MaxHold.
	HeardFor = 1600 * time.Millisecond
	// MaxHold is how long a call for changes is held while there are none.
	MaxHold = 500 * time.Millisecond
)

// Member is a member of the fleet as seen by an instance.
type Member struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Region is the region of the data centre, "" if it is not known.
	Region fleet.Region
}

// Order returns the members in the order in which they read the store and relay.
func Order(members []Member) []Member {
	ids := make([]fleet.InstanceID, len(members))
	byID := make(map[fleet.InstanceID]Member, len(members))
	for i, m := range members {
		ids[i], byID[m.ID] = m.ID, m
	}
	ordered := make([]Member, len(members))
	for i, id := range fleet.Rank("relay", ids) {
		ordered[i] = byID[id]
	}
	return ordered
}

// Role is the place of an instance in the distribution of changes.
type Role struct {
	// Root is set for the instance that nobody precedes.
	Root bool
	// Reader is set for the instances that read the store while all is well.
	Reader bool
	// Sources are the instances to follow, the preferred one first.
	Sources []fleet.InstanceID
	// Hold is how long a call to the preferred source is held while there are no changes.
	Hold time.Duration
}

// relayHold replaces MaxHold for the calls between data centres in a fleet with several
// regions. Contact with the root passes one relay more there, and the holds of all calls on
// the way together must stay below ContactFor.
const relayHold = MaxHold / 2

// RoleOf returns the role of an instance. ordered is the result of Order; present
// reports whether another instance seems to run and answer.
func RoleOf(self Member, ordered []Member, present func(fleet.InstanceID) bool) Role {
	var local, regional, global []fleet.InstanceID
	preceding := 0
	severalRegions := slices.ContainsFunc(ordered, func(m Member) bool { return m.Region != self.Region })
	for _, m := range ordered {
		if m.ID == self.ID {
			break
		}
		if !present(m.ID) {
			continue
		}
		preceding++
		if m.DataCentre == self.DataCentre && len(local) < MaxSources {
			local = append(local, m.ID)
		}
		if m.Region == self.Region && len(regional) < MaxSources {
			regional = append(regional, m.ID)
		}
		if len(global) < MaxSources {
			global = append(global, m.ID)
		}
	}
	r := Role{Root: preceding == 0, Reader: preceding < readerCount, Sources: local, Hold: MaxHold}
	if severalRegions && len(local) == 0 {
		r.Hold = relayHold
	}
	for _, id := range slices.Concat(regional, global) {
		if !slices.Contains(r.Sources, id) {
			r.Sources = append(r.Sources, id)
		}
	}
	return r
}

// Presence tracks which instances have been heard from, directly or through others.
// It is not safe for concurrent use.
type Presence struct {
	// direct holds when each instance was last heard directly; reports holds what
	// others have heard.
	direct  map[fleet.InstanceID]time.Duration
	reports map[fleet.InstanceID]report
	// rootSince is when this instance became the root; hasRoot is set while it is.
	rootSince time.Duration
	hasRoot   bool
}

type report struct {
	at    time.Duration
	heard []fleet.InstanceID
}

// NewPresence returns a Presence that has heard from nobody.
func NewPresence() *Presence {
	return &Presence{direct: map[fleet.InstanceID]time.Duration{}, reports: map[fleet.InstanceID]report{}}
}

// Hear records that an instance asked for changes, or was still waiting for the
// answer, at the given time.
func (p *Presence) Hear(now time.Duration, id fleet.InstanceID) { p.direct[id] = now }

// Forget records that an instance is starting or leaving and does not serve.
func (p *Presence) Forget(id fleet.InstanceID) { delete(p.direct, id) }

// Report records whom another instance has heard. A nil list repeats its last one.
func (p *Presence) Report(now time.Duration, from fleet.InstanceID, heard []fleet.InstanceID) {
	if heard == nil {
		heard = p.reports[from].heard
	}
	p.reports[from] = report{now, heard}
}

// Heard returns the instances heard within HeardFor, directly or through others, in
// ascending order.
func (p *Presence) Heard(now time.Duration) []fleet.InstanceID {
	seen := map[fleet.InstanceID]bool{}
	for id, at := range p.direct {
		if now >= at+HeardFor {
			delete(p.direct, id)
			continue
		}
		seen[id] = true
	}
	for from, r := range p.reports {
		if now >= r.at+HeardFor {
			delete(p.reports, from)
			continue
		}
		for _, id := range r.heard {
			seen[id] = true
		}
	}
	ids := make([]fleet.InstanceID, 0, len(seen))
	for id := range seen {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// HasQuorum reports whether an instance hears enough of the members to speak for the fleet,
// itself included, which the members that it hears may have heard as well. members is the
// result of Order. An instance whose record was deleted may still call and counts for no
// majority. Of two halves of the fleet the one with the first member has the quorum, since
// otherwise no account would have a home while the fleet is divided into halves.
func (p *Presence) HasQuorum(now time.Duration, self fleet.InstanceID, members []Member, stopped int) bool {
	heard := p.Heard(now)
	n, first := 0, false
	for i, m := range members {
		if _, found := slices.BinarySearch(heard, m.ID); found || m.ID == self {
			n++
			first = first || i == 0
		}
	}
	return Quorum(n, stopped, len(members)) || first && 2*(n+stopped) == len(members)
}

// SetRoot records whether this instance is the root now.
func (p *Presence) SetRoot(now time.Duration, root bool) {
	if root && !p.hasRoot {
		p.rootSince = now
	}
	p.hasRoot = root
}

// rootGrace is how long a new root announces nobody as absent. Until then an earlier root
// may have heard most instances, and what is in contact with it may take itself for
// present.
const rootGrace = HeardFor + ContactFor + MaxHold

// Absent returns, at the root, the members other than self that nobody has heard, in
// ascending order. ok is false while this instance cannot tell: it is not the root, has
// been for too short a time, or knows too few to speak for the fleet. stopped is the
// number of members whose processes have left the fleet.
func (p *Presence) Absent(now time.Duration, self fleet.InstanceID, members []Member, stopped int) (absent []fleet.InstanceID, ok bool) {
	heard := p.Heard(now)
	if !p.hasRoot || now < p.rootSince+rootGrace || !p.HasQuorum(now, self, members, stopped) {
		return nil, false
	}
	for _, m := range members {
		if _, found := slices.BinarySearch(heard, m.ID); !found && m.ID != self {
			absent = append(absent, m.ID)
		}
	}
	slices.SortFunc(absent, cmp.Compare)
	return absent, true
}

// ContactFor is how long after its last contact with the root an instance may take
// itself for present. It is shorter than HeardFor, so that an instance knows that it
// may count as absent before any other acts on that.
const ContactFor = HeardFor - 200*time.Millisecond

// Quorum reports whether the root knows enough of the members to speak for the fleet:
// it hears them, itself included, or knows that they have left. An instance that
// is cut off from the others takes itself for the root.
func Quorum(heard, stopped, members int) bool { return 2*(heard+stopped) > members }
