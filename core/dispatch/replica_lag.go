package dispatch

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// lagPauseMin and lagPauseMax bound how long a replica that refused a read
	// for its lag is not asked for a position that it is not known to have. The
	// pause doubles with each refusal in a row: a replica 20 ms behind is asked
	// soon, one that applies a hundred times as late costs two calls a second.
	lagPauseMin = 30 * time.Millisecond
	lagPauseMax = 500 * time.Millisecond
)

// ReplicaLag is what is known of a replica's log.
type ReplicaLag struct {
	applied fleet.LogPosition
	pause   time.Duration
	until   time.Duration
}

// MayHave reports whether the replica may have a position now.
func (l *ReplicaLag) MayHave(now time.Duration, floor fleet.LogPosition) bool {
	return l.applied.Max(floor) == l.applied || now >= l.until
}

// RecordPosition records the position that the replica reported with an answer. A
// refused read asked for a position beyond it.
func (l *ReplicaLag) RecordPosition(now time.Duration, applied fleet.LogPosition, refused bool) {
	l.applied = l.applied.Max(applied)
	if !refused {
		l.pause = 0
		return
	}
	l.pause = min(max(2*l.pause, lagPauseMin), lagPauseMax)
	l.until = now + l.pause
}
