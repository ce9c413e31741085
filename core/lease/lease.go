// Package lease decides whether this instance may send statements to a primary, so
// that no instance uses an old primary after another one has taken over.
//
// Invariant: a change of primary takes effect only when each member has confirmed the
// change or has no proof younger than Duration. A member that does not answer, or whose
// address refuses connections, may run: the network may have cut it off. A proof of time
// t states that no change of primary unknown to this instance was claimed before t.
//
// A proof comes from the store (a read of the leadership records that started at t) or
// from a peer (the peer's proof, with its age). While the store gives none, it comes
// from a majority of the members: each has responded, with all the records it knows,
// to a call that started at t or later. Such a majority cannot miss a change: a
// majority must confirm the change before it takes effect, and the instance that
// carries it out then waits for Duration. A change without a majority waits until every such
// proof has ended, see takeover.TakesEffectAt: a majority without one of the members counts for
// at most MaxPartialExtension after the latest proof, and all members together for
// MaxMajorityExtension.
//
// The list of members changes by one addition at a time, and only once a majority of the
// list before has acknowledged it, or the list is marked as unacknowledged: then no majority
// counts for a change until all members act on it, or those that do not are removed. A member is
// removed only after a majority has acknowledged that it is about to be, or once no proof of the
// list before permits sending. A member that has left the fleet counts as one that has
// acknowledged: it does not send or respond any more, and its next process has no permission
// before it knows what was written until then. So a majority of a list that is out of date has a
// member in common with one that knows a later list, and cannot extend a lease any more.
//
// Proofs from before the start of the process do not count, and a member counts
// towards a majority only once it has a proof. Otherwise members that were restarted
// after they had confirmed a change could form a majority that does not know it.
//
// Times count from the start of the process, on a clock that includes the time for
// which the machine is suspended.
package lease

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// Duration is how long a proof permits sending. It bounds the wait for a member that
	// does not respond during a change of primary. The store is read once a second, and a
	// slow response takes up to half a second more.
	Duration = 2500 * time.Millisecond
	// MaxMajorityExtension bounds the time for which majority proofs replace proofs from
	// the store, because the list of members may change unnoticed in the meantime.
	MaxMajorityExtension = 30 * time.Second
	// MaxPartialExtension is the same bound for a majority that lacks a member. The members
	// that do not respond may be removed by one that reaches the store, without a majority;
	// see takeover.TakesEffectAt. The removal has to be over within 12 s of the loss.
	MaxPartialExtension = 4 * time.Second
)

// Lease records the evidence of one instance that it knows of every change of primary:
// the latest proof from the store and the latest responses of the members. It is not
// safe for concurrent use.
type Lease struct {
	latestProof   time.Duration
	hasProof      bool
	peerResponses map[fleet.InstanceID]time.Duration
}

// New returns a Lease without a proof.
func New() *Lease { return &Lease{peerResponses: map[fleet.InstanceID]time.Duration{}} }

// AddProof records a proof of time start, from the store or from a peer.
func (l *Lease) AddProof(start time.Duration) {
	if start < 0 {
		return
	}
	if !l.hasProof || start > l.latestProof {
		l.latestProof, l.hasProof = start, true
	}
}

// AddPeerResponse records that a peer responded, with all the records it knows, to a
// call that started at start. The response of a peer without a proof does not count,
// because the peer may not know a change that its previous process confirmed.
func (l *Lease) AddPeerResponse(peer fleet.InstanceID, start time.Duration, hasProof bool) {
	if hasProof && start > l.peerResponses[peer] {
		l.peerResponses[peer] = start
	}
}

// Proof returns the time of the latest proof from the store, directly or through a peer.
func (l *Lease) Proof() (time.Duration, bool) { return l.latestProof, l.hasProof }

// Expiry returns the time at which the permission to send ends, or 0 if there is no
// proof. The list of members includes this instance. Those in removed are about to leave
// the list: they count for its size, but their responses do not, since a majority of the
// next list need not have a member in common with them.
func (l *Lease) Expiry(self fleet.InstanceID, members, removed []fleet.InstanceID) time.Duration {
	if !l.hasProof {
		return 0
	}
	return l.ExpirySince(l.latestProof, self, members, removed)
}

// ExpirySince returns what Expiry would if the latest proof were the given one. It is used
// while later proofs do not count, because the store may have lost a change.
func (l *Lease) ExpirySince(latest time.Duration, self fleet.InstanceID, members, removed []fleet.InstanceID) time.Duration {
	proof := latest
	if m, ok := l.proofBy(Majority(len(members)), self, members, removed); ok {
		proof = max(proof, min(m, latest+MaxPartialExtension))
	}
	if a, ok := l.proofBy(len(members), self, members, removed); ok {
		proof = max(proof, min(a, latest+MaxMajorityExtension))
	}
	return proof + Duration
}

// proofBy returns the latest time such that n of the members, this instance included, have
// responded to calls that started at that time or later.
func (l *Lease) proofBy(n int, self fleet.InstanceID, members, removed []fleet.InstanceID) (time.Duration, bool) {
	others := n - 1
	var starts []time.Duration
	for _, m := range members {
		if at, ok := l.peerResponses[m]; ok && m != self && !slices.Contains(removed, m) {
			starts = append(starts, at)
		}
	}
	if others <= 0 || len(starts) < others {
		return 0, false
	}
	slices.Sort(starts)
	return starts[len(starts)-others], true
}

// Majority returns the smallest number that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// Permission is the right of an instance to send to the primary of one group.
type Permission struct {
	// Expiry is when the right ends; 0 if there is none.
	Expiry time.Duration
	// From and To are the orders of the first and the last record of that primary which the
	// right covers, see catalog.Leadership. Connections that were acquired under another record are not covered.
	From, To uint64
}

// Covers reports whether the permission covers a connection acquired under the record of an
// order, at time now.
func (p Permission) Covers(order uint64, now time.Duration) bool {
	return now < p.Expiry && order >= p.From && order <= p.To
}

// Next returns the permission of an instance under a record of its group's primary, whose
// primary has not changed since the record of order changed. expiry is what the evidence
// permits under the record. p is the permission under the record before. A change that goes
// on renews nothing: open transactions may use what is left of p.
func (p Permission) Next(self fleet.InstanceID, record catalog.Leadership, changed uint64, expiry time.Duration) Permission {
	switch {
	case !record.MayUse(self):
		return Permission{}
	case !record.Settled:
		return p
	}
	return Permission{Expiry: expiry, From: changed, To: record.Order()}
}
