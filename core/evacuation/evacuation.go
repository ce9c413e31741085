// Package evacuation decides which data centres are being evacuated, until when their
// endpoints may still be used, and when the primaries there are replaced.
//
// A request is a row in the operator's table. Every instance reads the rows with that table
// and decides by itself; nothing is agreed on between instances.
package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// DefaultBound is the time within which a data centre must be evacuated if the settings
	// do not state one.
	DefaultBound = 5 * time.Second
	// maxStatementGrace is how long open transactions may continue at most.
	maxStatementGrace = 1500 * time.Millisecond
	// statementShare and commandShare are the shares of the bound, from the time when an
	// instance learned of the request, in which it may send statements and the commands of a
	// change of primary. The rest covers the time for which the request travels to the
	// instance (up to 2 s for one whose relay has failed) and opening a connection.
	statementShare = 0.3
	commandShare   = 0.6
	// RestoreGrace is for how long a request counts that is missing from a restored store.
	// The operator writes its rows again within that time.
	RestoreGrace = 6 * time.Second
	// ChangeSpacing separates the changes of primary of the groups. The platform takes 50
	// promotions a second from the whole fleet; a fifth is left for changes with other causes
	// and for repeated calls.
	ChangeSpacing = 25 * time.Millisecond
	// maxNameBytes limits the name of a data centre.
	maxNameBytes = 255
)

// DataCentre returns the data centre that a request names, or why it names none.
func DataCentre(name string) (fleet.DataCentre, error) {
	if name == "" {
		return "", fmt.Errorf("evacuation: the row names no data centre; add its name to the key")
	}
	if len(name) > maxNameBytes {
		return "", fmt.Errorf("evacuation: the name of the data centre has %d bytes, more than %d; correct the key", len(name), maxNameBytes)
	}
	for _, r := range name {
		if r == utf8.RuneError || unicode.IsSpace(r) || !unicode.IsPrint(r) {
			return "", fmt.Errorf("evacuation: %q is not a name of printable characters without blanks; correct the key", name)
		}
	}
	return fleet.DataCentre(name), nil
}

// Window is the time for which the endpoints of an evacuated data centre may still be used.
type Window struct {
	// Since is when this instance learned of the request.
	Since time.Duration
	// StatementsUntil is when the last statement may be sent, on a connection that was in use
	// before, and CommandsUntil when the last command of a change of primary may be.
	StatementsUntil, CommandsUntil time.Duration
}

// Set holds the data centres that are being evacuated. A published Set is immutable.
type Set map[fleet.DataCentre]Window

// Has reports whether a data centre is being evacuated.
func (s Set) Has(dc fleet.DataCentre) bool {
	_, ok := s[dc]
	return ok
}

// MaySendStatement reports whether a statement may be sent to a data centre at time now, on a
// connection that was acquired before.
func (s Set) MaySendStatement(dc fleet.DataCentre, now time.Duration) bool {
	w, evacuated := s[dc]
	return !evacuated || now < w.StatementsUntil
}

// MaySendCommand reports whether a command of a change of primary may be sent to a data
// centre at time now.
func (s Set) MaySendCommand(dc fleet.DataCentre, now time.Duration) bool {
	w, evacuated := s[dc]
	return !evacuated || now < w.CommandsUntil
}

// Outlook is what a set of evacuated data centres leaves of a group.
type Outlook struct {
	// Usable counts the endpoints outside the evacuated data centres.
	Usable int
	// Candidates counts those of them that may replace the primary: they stay and are not
	// the primary.
	Candidates int
	// PrimaryEvacuated is set if the primary is in an evacuated data centre.
	PrimaryEvacuated bool
}

// Stranded reports whether a group that has endpoints has none that may be used.
func (o Outlook) Stranded(endpoints []catalog.Endpoint) bool {
	return len(endpoints) > 0 && o.Usable == 0
}

// Outlook returns what the set leaves of a group with the given endpoints and primary.
func (s Set) Outlook(endpoints []catalog.Endpoint, primary fleet.EndpointID) Outlook {
	var o Outlook
	for _, e := range endpoints {
		switch {
		case s.Has(e.DataCentre):
			o.PrimaryEvacuated = o.PrimaryEvacuated || e.ID == primary
		case e.Leaving || e.ID == primary:
			o.Usable++
		default:
			o.Usable++
			o.Candidates++
		}
	}
	return o
}

// request is what an instance knows of one request.
type request struct {
	window Window
	// era is the era of the store in which the row was last read.
	era uint64
	// missing is set if the row is missing from the copies of the later era missingEra, since
	// missingSince.
	missing      bool
	missingEra   uint64
	missingSince time.Duration
}

// Tracker holds the requests that one instance knows. It is not safe for concurrent use.
type Tracker struct {
	bound    time.Duration
	requests map[fleet.DataCentre]*request
	// loaded is set once the operator's table was read.
	loaded bool
	// starts holds when the change of primary of each affected group may begin, and nextStart
	// the earliest time for another group.
	starts    map[fleet.GroupID]time.Duration
	nextStart time.Duration
	set       Set
	mutant    mutant
}

// mutant disables one rule, so that a test can show that it notices. Only tests set it.
type mutant int

const (
	noMutant mutant = iota
	// forgetAfterRestore withdraws a request that is missing from a restored store.
	forgetAfterRestore
	// graceAtStart lets an instance that starts send as if the request were new.
	graceAtStart
	// windowStartsAgain lets open transactions go on again when the row is written again.
	windowStartsAgain
	// keepDeleted ignores that a row was deleted.
	keepDeleted
)

// NewTracker returns a tracker without requests. bound is the time within which a data
// centre must be evacuated, 0 for DefaultBound.
func NewTracker(bound time.Duration) *Tracker {
	if bound <= 0 {
		bound = DefaultBound
	}
	return &Tracker{bound: bound, requests: map[fleet.DataCentre]*request{}, starts: map[fleet.GroupID]time.Duration{}, set: Set{}}
}

// Change is the begin or the end of an evacuation.
type Change struct {
	DataCentre fleet.DataCentre
	Begun      bool
	// Lasted is for how long an evacuation that has ended was in force here.
	Lasted time.Duration
	// Lost is set if the row did not reappear after the store was restored.
	Lost bool
}

// Observe takes over the requests in a copy of the operator's table that was read in an era of
// the store, and returns what changed. A request whose row is missing is withdrawn, except
// that after a restore it counts for RestoreGrace: the copy may be older than the row.
func (t *Tracker) Observe(now time.Duration, era uint64, present []fleet.DataCentre) []Change {
	var changes []Change
	seen := make(map[fleet.DataCentre]bool, len(present))
	for _, dc := range present {
		seen[dc] = true
		if r := t.requests[dc]; r != nil {
			if r.missing && t.mutant == windowStartsAgain {
				delete(t.requests, dc)
				return t.Observe(now, era, present)
			}
			r.era, r.missing = max(r.era, era), false
			continue
		}
		w := Window{Since: now, StatementsUntil: now, CommandsUntil: now}
		if t.loaded || t.mutant == graceAtStart {
			w.StatementsUntil += min(maxStatementGrace, time.Duration(statementShare*float64(t.bound)))
			w.CommandsUntil += time.Duration(commandShare * float64(t.bound))
		}
		// An instance that starts does not know how old the request is, so it sends nothing.
		t.requests[dc] = &request{window: w, era: era}
		changes = append(changes, Change{DataCentre: dc, Begun: true})
	}
	for _, dc := range slices.Sorted(maps.Keys(t.requests)) {
		r := t.requests[dc]
		switch {
		case seen[dc], t.mutant == keepDeleted:
		case era > r.era && t.mutant != forgetAfterRestore:
			// After another restore the operator begins again to write its rows.
			if !r.missing || era > r.missingEra {
				r.missing, r.missingEra, r.missingSince = true, era, now
			}
		default:
			delete(t.requests, dc)
			changes = append(changes, Change{DataCentre: dc, Lasted: now - r.window.Since})
		}
	}
	t.loaded = true
	changes = append(changes, t.expire(now)...)
	t.publish(changes)
	return changes
}

// Review ends the requests that did not reappear within RestoreGrace, and returns them.
func (t *Tracker) Review(now time.Duration) []Change {
	changes := t.expire(now)
	t.publish(changes)
	return changes
}

func (t *Tracker) expire(now time.Duration) []Change {
	var changes []Change
	for _, dc := range slices.Sorted(maps.Keys(t.requests)) {
		if r := t.requests[dc]; r.missing && now >= r.missingSince+RestoreGrace {
			delete(t.requests, dc)
			changes = append(changes, Change{DataCentre: dc, Lasted: now - r.window.Since, Lost: true})
		}
	}
	return changes
}

// publish replaces the set if anything changed.
func (t *Tracker) publish(changes []Change) {
	if len(changes) == 0 {
		return
	}
	t.set = make(Set, len(t.requests))
	for dc, r := range t.requests {
		t.set[dc] = r.window
	}
}

// Set returns the data centres that are being evacuated. It is replaced, not changed, by the
// next Change.
func (t *Tracker) Set() Set { return t.set }

// Schedule assigns to each group whose primary is to leave an evacuated data centre the time
// from which its change of primary may begin, ChangeSpacing apart. A group keeps its time until
// it is no longer affected. Instances that learn of a request at the same time compute the same
// order, and each group's change is begun by one of them.
func (t *Tracker) Schedule(now time.Duration, affected []fleet.GroupID) {
	if len(affected) == 0 {
		clear(t.starts)
		return
	}
	affected = slices.Sorted(slices.Values(affected))
	maps.DeleteFunc(t.starts, func(id fleet.GroupID, _ time.Duration) bool {
		_, found := slices.BinarySearch(affected, id)
		return !found
	})
	for _, id := range affected {
		if _, ok := t.starts[id]; !ok {
			start := max(now, t.nextStart)
			t.starts[id], t.nextStart = start, start+ChangeSpacing
		}
	}
}

// ChangeFrom returns from when the change of primary of a group may begin, false if the group
// is not affected.
func (t *Tracker) ChangeFrom(id fleet.GroupID) (time.Duration, bool) {
	at, ok := t.starts[id]
	return at, ok
}
