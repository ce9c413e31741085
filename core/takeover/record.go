package takeover

import (
	"slices"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

// The record of a change of primary goes through these states, each by a write on the
// condition that the store has the one before:
//
//	settled -> confirming -> promoting -> settled with the new primary
//	              |   ^          |
//	              |   +----------+  another claim
//	              +-> settled with the former primary
//
// A holder promotes only while the store has its promoting record. So a claim on top of a
// confirming record ends the right of every earlier holder to promote, and as long as all
// records of a change are confirming, the former primary is still the only one.

// Claimant is a process that claims changes of primary.
type Claimant struct {
	Instance fleet.InstanceID
	// LastClaim is the catalog.Leadership.Claim of its last claim in the group, 0 if it has made
	// none.
	LastClaim uint64
}

// made reports whether the process itself has made the claim of a record.
func (c Claimant) made(l catalog.Leadership) bool {
	return l.Holder == c.Instance && l.Claim == c.LastClaim && l.Claim != 0
}

// OwnChange tells how an unsettled change stands that this instance has claimed. It is stopped if
// the claim is this process's own, or that of an earlier process. After a restart the instance
// may take its change over at once, but only once: it has failed if that claim ends with the
// process as well, which the change may bring down.
func OwnChange(l catalog.Leadership, self Claimant) (stopped, failed bool) {
	own := l.Holder == self.Instance && !l.Settled
	stopped = own && (self.made(l) || !l.Resumed)
	return stopped, own && !stopped
}

// Claim returns the record of a holder that begins a change of primary, or takes one over, on
// top of the newest record. claim identifies it.
func Claim(old catalog.Leadership, era uint64, holder Claimant, claim uint64) catalog.Leadership {
	l := old.Next(era)
	l.Settled, l.Primary, l.Confirming = false, "", true
	l.Holder, l.Claim = holder.Instance, claim
	l.Resumed = !old.Settled && old.Holder == holder.Instance && (old.Resumed || !holder.made(old))
	switch {
	case old.Settled:
		l.Former, l.MayHavePromoted, l.ConfirmingSince = old.Primary, false, l.Order()
	case !old.Confirming:
		// Its holder may have announced a new primary that the store does not know.
		l.MayHavePromoted, l.ConfirmingSince = true, l.Order()
	}
	return l
}

// Promoting returns the record of a holder that may promote from now on. known is the highest
// term that the endpoints have told. Before the first change of a group no record tells the
// term of its primary, and this is the last moment to learn it: nobody leads a later one yet.
func Promoting(l catalog.Leadership, era uint64, known fleet.Term) catalog.Leadership {
	if l.PrimaryTerm == 0 && !mayHavePromoted(l) {
		l.PrimaryTerm = known
	}
	l = l.Next(era)
	l.Confirming = false
	l.Term = max(l.Term, l.PrimaryTerm+1)
	return l
}

// Complete returns the settled record of a change that has promoted an endpoint, which leads
// a log term. The removed users have not confirmed the change. Whoever has permission under
// this record acts on it, so that all users know each other.
func Complete(l catalog.Leadership, primary fleet.EndpointID, term fleet.Term, removed []fleet.InstanceID) catalog.Leadership {
	l = l.Settle(primary, term)
	l.Confirming, l.ConfirmingSince, l.MayHavePromoted, l.Unacknowledged = false, 0, false, false
	l.Removed = removed
	return l
}

// Withdraw returns the settled record of a change that is given up in favour of the former
// primary; see MayWithdraw. It has another id if it has started again since.
func Withdraw(l catalog.Leadership, former fleet.EndpointID) catalog.Leadership {
	l = l.Settle(former, l.PrimaryTerm)
	l.Confirming, l.ConfirmingSince, l.Former, l.Planned = false, 0, "", false
	return l
}

// MayPromote reports whether the holder of a change may have an endpoint promoted. The platform
// changes nothing for the endpoint that it takes for the primary, which is the former one until
// another may have been promoted. Its log still shows what was acknowledged.
func MayPromote(l catalog.Leadership, id fleet.EndpointID) bool {
	return l.Settled || id != l.Former || mayHavePromoted(l)
}

// MayWithdraw reports whether a change may be given up in favour of an endpoint with the given
// state: it is the former primary, since it leads the term of that one. No confirmation is
// needed: nobody has been promoted, and the write of the settled record ends the right of the
// holder to promote, so that users which never heard of the change use the same primary. It
// has not been demoted either, since that comes after the promoting record.
func MayWithdraw(l catalog.Leadership, s stmt.EndpointState) bool {
	return !l.Settled && l.Confirming && !l.MayHavePromoted && s.Primary &&
		(l.PrimaryTerm == 0 || s.Term == l.PrimaryTerm)
}

// RemoveUsers returns the current record without users whose removal, claimed with a record,
// has taken effect. As after a change, whoever has permission acts on the claim or on a later
// record. So all users know each other, unless some have registered since.
func RemoveUsers(claim, current catalog.Leadership) catalog.Leadership {
	l := current
	l.Unacknowledged = l.Unacknowledged && !slices.Equal(claim.Users, l.Users)
	isGone := func(u fleet.InstanceID) bool { return slices.Contains(claim.Removed, u) }
	l.Users = slices.DeleteFunc(slices.Clone(l.Users), isGone)
	l.Removed = slices.DeleteFunc(slices.Clone(l.Removed), isGone)
	return l
}
