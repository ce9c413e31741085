// Package takeover holds the decisions of a change of primary. The order of a
// change is:
//
//  1. claim: a conditional write makes the record unsettled, at a higher term;
//  2. confirm: the members stop sending to the old primary and say so, see
//     Effective;
//  3. choose: the replicas stop receiving at the new term and report their
//     positions, see Choose; the old primary is demoted where it can be reached;
//  4. promote, with the record's version as fence number;
//  5. settle: once the new primary leads, a conditional write says so.
package takeover

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

const (
	// TransactionGrace is how long open transactions may go on at a primary
	// that is replaced as planned; most last less.
	TransactionGrace = 300 * time.Millisecond
	// margin covers OpenTransactions and the granularity of timers in the wait
	// for silent members.
	margin = TransactionGrace + 50*time.Millisecond
	// AbandonedAfter is the age at which another instance may take an unsettled
	// change over. A change takes the promotion's time (up to 600 ms) plus the
	// wait for silent members (lease.Duration); the holder stops at HolderLimit.
	AbandonedAfter = 5500 * time.Millisecond
	// HolderTimeout is how long after its claim a holder may still promote.
	HolderTimeout = 4500 * time.Millisecond
)

// Confirmation is what is known of one member during a change.
type Confirmation struct {
	Member fleet.InstanceID
	// Confirmed: the member had stopped sending to the old primary at At, or no
	// process ran there.
	Confirmed bool
	At        time.Duration
}

// EffectiveAt returns the time at which the old primary is no longer used by
// anybody, for a change claimed at claimed. It returns false while that cannot
// be said because no majority has confirmed. The reason stands in package
// lease. Members that do not run count as confirmed: a process that starts there
// later needs a proof from after its start, and so learns of the change.
func EffectiveAt(claimed time.Duration, members []Confirmation) (time.Duration, bool) {
	var at []time.Duration
	for _, m := range members {
		if m.Confirmed {
			at = append(at, max(claimed, m.At))
		}
	}
	slices.Sort(at)
	need := lease.Majority(len(members))
	switch {
	case len(members) == 0:
		return claimed, true
	case len(at) == len(members):
		return at[len(at)-1], true
	case len(at) < need:
		return 0, false
	}
	return at[need-1] + lease.Duration + margin, true
}

// Candidate is a replica that has reported its position.
type Candidate struct {
	Endpoint fleet.EndpointID
	Received fleet.LogPosition
	// Term is the newest term that the endpoint knows.
	Term    fleet.Term
	Leaving bool
	// Suspect endpoints were the primary before the last one, or still take
	// themselves for one: they may be cut off from the rest.
	Suspect bool
	// SameDataCentre prefers an endpoint in the data centre of the old primary's callers
	// among equals.
	SameDataCentre bool
}

// Choose returns the candidate to promote: the most advanced one, so that as
// few commits as possible are lost, and a leaving or doubtful one only if there
// is no other. It returns false without candidates.
func Choose(candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			boolCompare(!a.Leaving, !b.Leaving),
			boolCompare(!a.Suspect, !b.Suspect),
			cmp.Compare(a.Received.Term, b.Received.Term),
			cmp.Compare(a.Received.Position, b.Received.Position),
			boolCompare(a.SameDataCentre, b.SameDataCentre),
			cmp.Compare(b.Endpoint, a.Endpoint),
		)
	}), true
}

// HasTakenOver reports whether an endpoint that was promoted has taken over: it is a
// primary at a term above all that were known before the promotion. A former
// primary that was cut off takes itself for one at its old term until then.
func HasTakenOver(s stmt.EndpointState, before fleet.Term) bool { return s.Primary && s.Term > before }

// HighestTerm returns the newest term that the candidates know, or known if that is
// higher.
func HighestTerm(known fleet.Term, candidates []Candidate) fleet.Term {
	for _, c := range candidates {
		known = max(known, c.Term)
	}
	return known
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Cause is why a primary is to be replaced.
type Cause uint8

// The causes.
const (
	None Cause = iota
	// Leaving: the primary has announced its end.
	Leaving
	// Gone: the primary has left the platform's list.
	Gone
	// Unreachable: most instances cannot reach the primary.
	Unreachable
	// Unsettled: another instance began a change and did not finish it.
	Unsettled
)

// String returns the cause as logs name it.
func (c Cause) String() string {
	return [...]string{"none", "leaving", "gone", "unreachable", "unsettled"}[c]
}

// Observation is what an instance knows of a group's primary.
type Observation struct {
	Now    time.Duration
	Record catalog.Leadership
	// RecordLearnedAt is when this instance learned the record.
	RecordLearnedAt time.Duration
	// HolderStopped says that the process which claimed an unsettled change no
	// longer runs: it was this instance's before its restart, or its port refuses
	// connections.
	HolderStopped bool
	// Listed says that the primary is in the platform's list; Missing since
	// when it is not.
	Listed       bool
	MissingSince time.Duration
	// Leaving says that the primary has announced its end.
	Leaving bool
	// Failing says that attempts to reach the primary fail, since FailingSince.
	Failing      bool
	FailingSince time.Duration
	// Candidates is how many replicas are listed and not leaving.
	Candidates int
	// Rank is this instance's place in the order in which instances act.
	Rank int
}

const (
	// MissingGrace is how long a primary may be missing from the list before it
	// counts as gone; entries that lapsed with the store are back within 2 s.
	MissingGrace = 2500 * time.Millisecond
	// FailingGrace is how long a primary must fail before it is suspected; a
	// refused connection that succeeds when repeated is no outage.
	FailingGrace = 120 * time.Millisecond
	// stagger separates the claims of instances that notice the same; a claim
	// reaches the others in a few milliseconds.
	stagger = 60 * time.Millisecond
)

// ReplacementCause returns why the primary should be replaced now, or None. An
// Unreachable verdict still needs the agreement of Agreed.
func ReplacementCause(s Observation) Cause {
	delay := time.Duration(s.Rank) * stagger
	switch {
	case !s.Record.Settled:
		wait := AbandonedAfter
		if s.HolderStopped {
			wait = 0
		}
		if s.Now >= s.RecordLearnedAt+wait+delay {
			return Unsettled
		}
	case s.Candidates == 0:
	case s.Listed && s.Leaving:
		if s.Now >= s.RecordLearnedAt+delay {
			return Leaving
		}
	case s.Failing && s.Now >= s.FailingSince+FailingGrace+delay:
		return Unreachable
	case !s.Listed && s.Now >= s.MissingSince+MissingGrace+delay:
		return Gone
	}
	return None
}

// MajorityUnreachable reports whether enough of the instances asked cannot reach the
// primary either. A minority that is cut off from it does not justify a
// change, since the others would lose their primary for the time it takes.
func MajorityUnreachable(unreachable, reachable int) bool { return unreachable+1 > reachable }
