// Package staleread decides which log position a replica must have for a read
// of a given age.
//
// A position that the primary reported in its answer to a statement sent at
// time s covers every commit acknowledged before s. A read that may lack
// commits of the last b is therefore satisfied by any reported position whose
// s is not before now-b. The oldest such position is the easiest to meet.
package staleread

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// step is the spacing of the positions kept. It is far below the ages that
	// routes accept, so hardly any leniency is lost.
	step = 25 * time.Millisecond
	// kept bounds the positions kept; with step it spans 6.4 s, above the ages
	// that routes accept.
	kept = 256
)

type observation struct {
	sent time.Duration
	pos  fleet.LogPosition
}

// PositionHistory keeps the positions that one group's primary has reported.
type PositionHistory struct {
	ring []observation
	// newest is the highest position reported.
	newest fleet.LogPosition
}

// Observe records a position reported in the answer to a statement that was
// sent to the primary at sent, while sending was permitted. Positions of a
// newer term replace all older ones, because commits of the old term may have
// been rolled back.
func (l *PositionHistory) Observe(sent time.Duration, pos fleet.LogPosition) {
	if pos == (fleet.LogPosition{}) || pos.Term < l.newest.Term {
		return
	}
	if pos.Term > l.newest.Term {
		l.ring = l.ring[:0]
	}
	l.newest = l.newest.Max(pos)
	if n := len(l.ring); n > 0 && sent < l.ring[n-1].sent+step {
		return
	}
	if len(l.ring) == kept {
		copy(l.ring, l.ring[1:])
		l.ring = l.ring[:kept-1]
	}
	l.ring = append(l.ring, observation{sent, pos})
}

// RequiredPosition returns the position that a replica must have for a read that began
// at now and may lack commits of the last bound. It returns false when nothing
// recent enough is known; the read then belongs to the primary.
func (l *PositionHistory) RequiredPosition(now, bound time.Duration) (fleet.LogPosition, bool) {
	for _, o := range l.ring {
		if o.sent >= now-bound {
			return o.pos, true
		}
	}
	return fleet.LogPosition{}, false
}

// Term returns the newest term reported.
func (l *PositionHistory) Term() fleet.Term { return l.newest.Term }

// Reset forgets everything; used when another primary takes over.
func (l *PositionHistory) Reset() { l.ring = l.ring[:0] }
