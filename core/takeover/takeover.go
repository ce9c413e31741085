// Package takeover holds the rules by which one instance replaces the primary of a
// group. The edge controller applies them in this order:
//
//  1. Claim: a conditional write marks the leadership record as unsettled, with a
//     higher term.
//  2. Confirm: the members confirm that they no longer send to the old primary; see
//     TakesEffectAt. If most of them do not and the old primary answers, the change is
//     withdrawn; see MayWithdraw.
//  3. Choose: the replicas report their log positions, and stop receiving from the old
//     primary if replication is synchronous; see Choose.
//  4. Promote: a conditional write marks the record as promoting. The old primary is demoted
//     if it can be reached, and the chosen replica is promoted with the record's version as
//     fencing token.
//  5. Settle: once the new primary has taken over, a conditional write marks the
//     record as settled.
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
	// TransactionGrace is how long open transactions may continue at a primary that is
	// replaced as planned. Most last less.
	TransactionGrace = 300 * time.Millisecond
	// effectMargin covers TransactionGrace and the granularity of timers in the wait
	// for members that have not confirmed.
	effectMargin = TransactionGrace + 50*time.Millisecond
	// RenewalWait is how long after a record was written again in a new era of the store
	// a change takes effect at the earliest: the store may have lost the registration of a
	// user, which is not asked to confirm.
	RenewalWait = lease.Duration + effectMargin
	// AbandonedAfter is the age from which another instance may take over an unsettled
	// change. A change takes the time of the promotion (up to 600 ms) plus the wait for
	// members that have not confirmed (lease.Duration); the holder stops at
	// HolderTimeout.
	AbandonedAfter = 5500 * time.Millisecond
	// HolderTimeout is how long after it began to write its promoting record a holder may
	// still promote, and for how long it waits for confirmations before it claims again.
	HolderTimeout = 4500 * time.Millisecond
	// WithdrawAfter is how long a change may lack a majority of confirmations before it is
	// withdrawn if the former primary answers. A user that runs confirms within milliseconds,
	// one that is slow or has lost a packet within half a second.
	WithdrawAfter = time.Second
)

// Confirmation is what is known of one member during a change of primary.
type Confirmation struct {
	Member fleet.InstanceID
	// Confirmed is set if the member had stopped sending to the old primary at time At.
	Confirmed bool
	At        time.Duration
	// KnowsHolder is set if the member has acted on a record in which the holder of the
	// change is a user, so that it counts the holder among those whose responses extend its
	// permission. The holder is the only judge of that, and it counts as a user only if it
	// may use the primary itself.
	KnowsHolder bool
}

// EffectiveAt returns the time from which no member uses the old primary any more, for
// a change claimed at claimed. It returns false while fewer than a majority of the
// members have confirmed. Package lease explains why a majority and a wait are
// enough.
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
	case len(members) == 1:
		// Nobody else extends the permission of an only member.
		return claimed + lease.Duration + effectMargin, true
	case len(at) < need:
		return 0, false
	}
	return at[need-1] + lease.Duration + effectMargin, true
}

// TakesEffectAt returns the time from which no user that does not act on a change of primary,
// or on a removal of users, uses the old primary any more. claimed is when this instance knew
// the first of the successive claims since which nobody has been promoted; see
// catalog.Leadership.ConfirmingSince. A majority as in EffectiveAt counts if it has
// acknowledged the list of users. Otherwise time alone decides:
//
//   - If all users that have not confirmed know the holder as a user, none of them has a proof
//     by all users that is younger than the claim, because the holder answers with its record.
//     A proof by a majority ends lease.MaxPartialExtension after their last proof from the
//     store, which is older than the claim.
//   - Otherwise any proof without the store ends lease.MaxMajorityExtension after the claim.
func TakesEffectAt(claimed time.Duration, members []Confirmation, acknowledged bool) time.Duration {
	latest, confirmed, all, known := claimed, false, true, true
	for _, m := range members {
		if m.Confirmed {
			confirmed = true
			latest = max(latest, m.At)
		} else {
			all = false
			known = known && m.KnowsHolder
		}
	}
	if at, ok := EffectiveAt(claimed, members); ok && (acknowledged || all) {
		return at
	}
	extension := lease.MaxMajorityExtension
	if confirmed && known {
		extension = lease.MaxPartialExtension
	}
	return max(latest, claimed+extension+lease.Duration+effectMargin)
}

// Candidate is a replica that has reported its log position.
type Candidate struct {
	Endpoint fleet.EndpointID
	Received fleet.LogPosition
	// Term is the highest term that the endpoint knows.
	Term    fleet.Term
	Leaving bool
	// Refused marks an endpoint that the platform did not promote, or that must not be promoted
	// because its data centre is being evacuated. Its log still shows what was acknowledged.
	Refused bool
	// TakenOver marks an endpoint that an earlier holder of this change has promoted.
	TakenOver bool
	// Suspect marks an endpoint that was the primary before the last one, or that still
	// reports itself as primary. It may be cut off from most instances.
	Suspect bool
	// HomeScore prefers, among otherwise equal candidates, an endpoint that more of the
	// restricted routes and accounts may use.
	HomeScore int
	// SameDataCentre prefers, among otherwise equal candidates, an endpoint in the data
	// centre of the old primary's callers.
	SameDataCentre bool
}

// Choose returns the candidate to promote: one that has taken over already, since callers
// may have commits there, or the one with the highest log position, so that as few commits
// as possible are lost. Without synchronous replicas a leaving or suspect endpoint is chosen
// only if there is no other; with them the position decides, since any commit may have been
// acknowledged. Choose returns false if there is no candidate that may be promoted.
func Choose(candidates []Candidate, syncReplicas int) (Candidate, bool) {
	allowed := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Refused })
	if len(allowed) == 0 {
		return Candidate{}, false
	}
	newest := HighestTerm(0, candidates)
	return slices.MaxFunc(allowed, func(a, b Candidate) int {
		availability := cmp.Or(compareBool(!a.Leaving, !b.Leaving), compareBool(!a.Suspect, !b.Suspect))
		first := availability
		if syncReplicas > 0 {
			first = 0
		}
		return cmp.Or(
			// An endpoint that leads an older term than another one knows was cut off.
			compareBool(a.TakenOver && a.Term == newest, b.TakenOver && b.Term == newest),
			first,
			a.Received.Compare(b.Received),
			availability,
			cmp.Compare(a.HomeScore, b.HomeScore),
			compareBool(a.SameDataCentre, b.SameDataCentre),
			cmp.Compare(b.Endpoint, a.Endpoint),
		)
	}), true
}

// Evidence is what the holder of a change knows of the logs of a group with synchronous
// replicas, once no instance uses the old primary any more.
type Evidence struct {
	// SyncReplicas is the number of replicas that have received a commit before it is
	// acknowledged, 0 if replication is asynchronous.
	SyncReplicas int
	// Candidates are the replicas that have reported their positions.
	Candidates []Candidate
	// Replicas are the endpoints that may hold acknowledged commits, nil if they are not known.
	Replicas *catalog.ReplicaSet
	// Missing counts those that have not reported, and others that may hold acknowledged commits.
	// They may have left the platform's list, and come back with their logs.
	Missing int
	// Former is the last position of the old primary, zero if it does not answer. Replicas
	// that receive from it reach this position.
	Former fleet.LogPosition
	// Acknowledged is a position that covers every commit which any user of the old primary has
	// acknowledged to a caller, zero if that is not known of all users.
	Acknowledged fleet.LogPosition
	// Least is a position that no log with all acknowledged commits ends before; see
	// LeastAcknowledged.
	Least fleet.LogPosition
}

// HoldsAcknowledged reports whether the log of the chosen candidate is known to hold every
// acknowledged commit: it has all that the old primary has or, if that is not known, all that
// the users have acknowledged or all that any of the candidates has received, where too few
// endpoints are missing for a commit to have been acknowledged by them alone. The last one needs
// the endpoints to be known, and a log that reaches what the users have told. There is no time
// after which an endpoint is promoted without that: the commits may come back with an endpoint,
// and an operator who gives them up sets the group's number of synchronous replicas to 0.
func (e Evidence) HoldsAcknowledged(chosen Candidate) bool {
	switch {
	case e.SyncReplicas == 0, chosen.TakenOver && chosen.Term == HighestTerm(0, e.Candidates):
		return true
	case chosen.Received.Compare(e.Least) < 0:
		return false
	case e.Former != (fleet.LogPosition{}):
		return chosen.Received.Compare(e.Former) >= 0
	case e.Acknowledged != (fleet.LogPosition{}) && chosen.Received.Compare(e.Acknowledged) >= 0:
		return true
	}
	return ProvableWithout(e.Missing, e.SyncReplicas, e.Replicas) &&
		!slices.ContainsFunc(e.Candidates, func(c Candidate) bool { return c.Received.Compare(chosen.Received) > 0 })
}

// ReadyForPlannedChange reports whether a planned change of a group with synchronous replicas
// may begin: a replica that stays has received what its primary had. Until then the primary
// is the only endpoint with all commits, and it still serves.
func ReadyForPlannedChange(primary fleet.LogPosition, replicas []Candidate) bool {
	return slices.ContainsFunc(replicas, func(c Candidate) bool {
		return !c.Leaving && !c.Refused && c.Received.Compare(primary) >= 0
	})
}

// Role is the part of an endpoint in a change of primary.
type Role uint8

const (
	// Follower does not lead, or leads a term from before that of the former primary: it was cut
	// off from the change that ended that term.
	Follower Role = iota
	// FormerPrimary still leads the term of the primary that is replaced, maybe under another id.
	FormerPrimary
	// Successor has taken over since.
	Successor
)

// RoleOf returns the role of an endpoint that has reported a state to the holder of a change. The
// term of the former primary may be unknown, which is no term that all others are above: until
// an endpoint may have been promoted, whatever leads is the former primary. From then on the
// record tells its term; see Promoting. It does not if it is by an instance of an earlier
// version or no endpoint has told a term.
func RoleOf(record catalog.Leadership, id fleet.EndpointID, s stmt.EndpointState) Role {
	switch {
	case !s.Primary || s.Term < record.PrimaryTerm:
		return Follower
	case record.PrimaryTerm > 0 && s.Term > record.PrimaryTerm:
		return Successor
	case record.PrimaryTerm > 0 || !mayHavePromoted(record) || id == record.Former:
		return FormerPrimary
	}
	return Successor
}

// mayHavePromoted reports whether a holder of the change with an unsettled record may have
// promoted an endpoint, the one of this record included.
func mayHavePromoted(l catalog.Leadership) bool { return !l.Confirming || l.MayHavePromoted }

// HighestTerm returns the highest of known and the terms that the candidates know.
func HighestTerm(known fleet.Term, candidates []Candidate) fleet.Term {
	for _, c := range candidates {
		known = max(known, c.Term)
	}
	return known
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Cause is the reason for replacing a primary.
type Cause uint8

// The causes.
const (
	None Cause = iota
	// Leaving means that the primary has announced that it will stop.
	Leaving
	// Gone means that the primary is no longer in the platform's list.
	Gone
	// Unreachable means that most instances cannot reach the primary.
	Unreachable
	// Unsettled means that an instance began a change and did not finish it.
	Unsettled
	// Evacuated means that the data centre of the primary is being evacuated.
	Evacuated
)

// String returns the name of the cause as it appears in logs.
func (c Cause) String() string {
	return [...]string{"none", "leaving", "gone", "unreachable", "unsettled", "evacuated"}[c]
}

// Observation is what one instance knows of the primary of a group.
type Observation struct {
	Now    time.Duration
	Record catalog.Leadership
	// RecordLearnedAt is when this instance learned the record.
	RecordLearnedAt time.Duration
	// HolderStopped reports that the process which claimed an unsettled change no longer carries
	// it out: OwnChange tells, or it has left the fleet.
	HolderStopped bool
	// Failed reports that a change which this instance carried out ended by a fault of the
	// program, at FailedAt or later.
	Failed   bool
	FailedAt time.Duration
	// Listed reports whether the primary is in the platform's list, and MissingSince
	// when it disappeared from it.
	Listed       bool
	MissingSince time.Duration
	// Leaving reports that the primary has announced that it will stop.
	Leaving bool
	// Failing reports that attempts to reach the primary have failed since
	// FailingSince.
	Failing      bool
	FailingSince time.Duration
	// Evacuated reports that the data centre of the primary is being evacuated, and
	// EvacuateFrom when the change of primary may begin.
	Evacuated    bool
	EvacuateFrom time.Duration
	// Candidates is the number of replicas that are listed, not leaving and outside all
	// evacuated data centres.
	Candidates int
	// Rank is this instance's position in the order in which instances act.
	Rank int
}

const (
	// MissingGrace is how long a primary may be missing from the list before it counts
	// as gone. Entries that expired during a failure of the store are back within 2 s.
	MissingGrace = 2500 * time.Millisecond
	// FailingGrace is how long a primary must fail before it is suspected. A refused
	// connection that succeeds on retry is not an outage.
	FailingGrace = 120 * time.Millisecond
	// claimStagger separates the claims of instances that notice the same failure. A
	// claim reaches the other instances within a few milliseconds.
	claimStagger = 60 * time.Millisecond
	// failedPause is how long a process that failed in a change leaves it to the others, beyond
	// the time after which they may take it over.
	failedPause = AbandonedAfter + time.Second
)

// ReplacementCause returns why the primary should be replaced now, or None. For
// Unreachable the caller must also check MajorityUnreachable.
func ReplacementCause(o Observation) Cause {
	delay := time.Duration(o.Rank) * claimStagger
	switch {
	case o.Failed && o.Now < o.FailedAt+failedPause:
	case !o.Record.Settled:
		wait := AbandonedAfter
		if o.HolderStopped {
			wait = 0
		}
		if o.Now >= o.RecordLearnedAt+wait+delay {
			return Unsettled
		}
	case o.Candidates == 0:
	case o.Evacuated && o.Now >= max(o.RecordLearnedAt, o.EvacuateFrom)+delay:
		return Evacuated
	case o.Listed && o.Leaving:
		if o.Now >= o.RecordLearnedAt+delay {
			return Leaving
		}
	case o.Failing && o.Now >= o.FailingSince+FailingGrace+delay:
		return Unreachable
	case !o.Listed && o.Now >= o.MissingSince+MissingGrace+delay:
		return Gone
	}
	return None
}

// MajorityUnreachable reports whether most of the instances that responded, this one
// included, cannot reach the primary. The arguments count the responses of the other
// instances. A minority that is cut off from the primary does not justify a change,
// because the majority would lose its primary for the duration of the change.
func MajorityUnreachable(unreachable, reachable int) bool { return unreachable+1 > reachable }
