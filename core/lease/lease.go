// Package lease decides whether this instance may send statements to a
// primary, so that no instance uses an old primary once another one has taken
// over.
//
// Invariant: a change of primary takes effect only when every member has
// either confirmed the change, is known not to run, or had no proof younger
// than Duration. A proof at time s states that no change of primary unknown to
// this instance was claimed before s.
//
// Proofs come from the store (a read of the records that began at s), from a
// peer (its proof, aged), or, while the store gives none, from a majority of
// the members: each answered a call that began at s or later with all the
// records it knows. A change is confirmed by a majority before it takes effect
// and the instance that changes the primary waits Duration after that, so a
// majority proof cannot miss it.
//
// Proofs from before the process started do not count, and a member counts for
// a majority only once it has a proof. Otherwise members that confirmed a change
// and were restarted since could form a majority that does not know it.
//
// Times count from the process start on a clock that includes suspension.
package lease

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// Duration is how long a proof permits sending. It bounds the wait for a
	// member that does not answer during a change of primary; the store is read
	// once a second, and a slow answer takes up to half a second more.
	Duration = 2500 * time.Millisecond
	// MaxMajorityExtension bounds how long majority proofs replace proofs from the
	// store, since the list of members may change unseen meanwhile.
	MaxMajorityExtension = 30 * time.Second
)

// Lease holds the proofs of one instance.
type Lease struct {
	direct   time.Duration
	hasProof bool
	answered map[fleet.InstanceID]time.Duration
}

// New returns a lease without a proof.
func New() *Lease { return &Lease{answered: map[fleet.InstanceID]time.Duration{}} }

// AddProof records a proof at start, from the store or inherited from a peer.
func (l *Lease) AddProof(start time.Duration) {
	if start < 0 {
		return
	}
	if !l.hasProof || start > l.direct {
		l.direct, l.hasProof = start, true
	}
}

// AddPeerResponse records that a peer answered a call begun at start with all the
// records it knows. A peer without a proof may not know a change that its
// predecessor confirmed, so its answer does not count.
func (l *Lease) AddPeerResponse(peer fleet.InstanceID, start time.Duration, hasProof bool) {
	if hasProof && start > l.answered[peer] {
		l.answered[peer] = start
	}
}

// Proof returns the time of the latest proof from the store, also inherited.
func (l *Lease) Proof() (time.Duration, bool) { return l.direct, l.hasProof }

// Expiry returns the time at which the permission to send ends; 0 without any
// proof. Members includes this instance.
func (l *Lease) Expiry(self fleet.InstanceID, members []fleet.InstanceID) time.Duration {
	if !l.hasProof {
		return 0
	}
	proof := l.direct
	if m, ok := l.majority(self, members); ok {
		proof = max(proof, min(m, l.direct+MaxMajorityExtension))
	}
	return proof + Duration
}

// majority returns the time since which a majority of the members, counting
// this instance, has answered.
func (l *Lease) majority(self fleet.InstanceID, members []fleet.InstanceID) (time.Duration, bool) {
	others := Majority(len(members)) - 1
	var starts []time.Duration
	for _, m := range members {
		if at, ok := l.answered[m]; ok && m != self {
			starts = append(starts, at)
		}
	}
	if others <= 0 || len(starts) < others {
		return 0, false
	}
	slices.Sort(starts)
	return starts[len(starts)-others], true
}

// Majority returns how many of n members are more than half.
func Majority(n int) int { return n/2 + 1 }
