package dispatch

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// minLagPause and maxLagPause bound how long a replica that refused a read
	// because of its lag gets no reads that need a position it is not known to
	// have. The pause doubles with each consecutive refusal: a replica that is 20 ms
	// behind is soon tried again, and one that is a hundred times as far behind
	// costs only two calls a second.
	minLagPause = 30 * time.Millisecond
	maxLagPause = 500 * time.Millisecond
)

// ReplicaLag tracks the log position that a replica is known to have applied, and
// backs off after refusals. The zero value is ready to use.
type ReplicaLag struct {
	applied fleet.LogPosition
	// pause is the length of the current pause; zero after a read that was not
	// refused.
	pause       time.Duration
	pausedUntil time.Duration
}

// MayHaveApplied reports whether the replica is known to have applied the position or,
// outside of a pause, may have.
func (l *ReplicaLag) MayHaveApplied(now time.Duration, pos fleet.LogPosition) bool {
	return l.applied.Max(pos) == l.applied || now >= l.pausedUntil
}

// RecordPosition records the position that the replica reported with an answer.
// refused is set if the replica refused a read that needed a later position.
func (l *ReplicaLag) RecordPosition(now time.Duration, applied fleet.LogPosition, refused bool) {
	l.applied = l.applied.Max(applied)
	if !refused {
		l.pause = 0
		return
	}
	l.pause = min(max(2*l.pause, minLagPause), maxLagPause)
	l.pausedUntil = now + l.pause
}
