// Package staleread determines the log position that a replica must have
// applied to serve a read with bounded staleness.
//
// A position that the primary reported in its answer to a statement sent at
// time s covers every commit acknowledged before s. A read that may miss the
// commits of the last b is therefore satisfied by any reported position whose s
// is not before now-b. Replicas reach the oldest such position first.
package staleread

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// minSpacing is the least distance between the send times of two recorded
	// positions. It is far below the staleness bounds of routes, so that replicas
	// need hardly more of the log than the read requires.
	minSpacing = 25 * time.Millisecond
	// maxObservations limits the history. With minSpacing it spans 6.4 s, more than
	// the staleness bounds of routes.
	maxObservations = 256
)

type observation struct {
	// sent is when the statement was sent whose answer reported pos.
	sent time.Duration
	pos  fleet.LogPosition
}

// PositionHistory holds the positions that the primary of one group reported
// recently. It is not safe for concurrent use.
type PositionHistory struct {
	// observations are of one term, in the order of their sent times.
	observations []observation
	// newest is the highest position reported.
	newest fleet.LogPosition
}

// Observe records the position that the primary reported in its answer to a
// statement sent at sent. Call it only if sending to the primary was permitted at
// that time. A position of a newer term replaces all older ones, because commits
// of the old term may have been rolled back.
func (h *PositionHistory) Observe(sent time.Duration, pos fleet.LogPosition) {
	if pos == (fleet.LogPosition{}) || pos.Term < h.newest.Term {
		return
	}
	if pos.Term > h.newest.Term {
		h.observations = h.observations[:0]
	}
	h.newest = h.newest.Max(pos)
	if n := len(h.observations); n > 0 && sent < h.observations[n-1].sent+minSpacing {
		return
	}
	if len(h.observations) == maxObservations {
		copy(h.observations, h.observations[1:])
		h.observations = h.observations[:maxObservations-1]
	}
	h.observations = append(h.observations, observation{sent, pos})
}

// RequiredPosition returns the position that a replica must have applied to serve
// a read that began at now and may miss the commits of the last bound. It returns
// false if no position recent enough is known; the read must then run at the
// primary.
func (h *PositionHistory) RequiredPosition(now, bound time.Duration) (fleet.LogPosition, bool) {
	for _, o := range h.observations {
		if o.sent >= now-bound {
			return o.pos, true
		}
	}
	return fleet.LogPosition{}, false
}

// Latest returns when the statement was sent whose answer reported the latest position.
// It returns false if there is none.
func (h *PositionHistory) Latest() (time.Duration, bool) {
	if len(h.observations) == 0 {
		return 0, false
	}
	return h.observations[len(h.observations)-1].sent, true
}

// Newest returns the highest position reported.
func (h *PositionHistory) Newest() fleet.LogPosition { return h.newest }

// Term returns the newest term reported.
func (h *PositionHistory) Term() fleet.Term { return h.newest.Term }

// Reset drops the observations when another primary takes over. The newest
// position is kept, so that positions of older terms are still ignored.
func (h *PositionHistory) Reset() { h.observations = h.observations[:0] }
