package takeover

import (
	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// AcknowledgedCommits is what one user of a primary knows of the commits that were acknowledged
// to callers, once it has stopped using the primary.
type AcknowledgedCommits struct {
	// Position covers every commit that the process has acknowledged.
	Position fleet.LogPosition `json:"p"`
	// Record is the order of the last settled record that the process has acted on.
	Record uint64 `json:"r"`
	// Base is set if Position also covers what any process had acknowledged before that record
	// was written: the primary has reported it in answer to a later statement.
	Base bool `json:"b,omitempty"`
	// RanBefore is set if the process has acted on an earlier record of the group, so that the
	// process before it had ended when the last settled record was written.
	RanBefore bool `json:"o,omitempty"`
	// AtLeast is a position that no log with all of the process's acknowledged commits ends
	// before, zero if it has acknowledged none that it can place.
	AtLeast fleet.LogPosition `json:"m,omitzero"`
}

// LeastAcknowledged returns the highest of the positions that no log with all acknowledged commits
// ends before. It counts whether or not all users have told theirs.
func LeastAcknowledged(users []*AcknowledgedCommits) fleet.LogPosition {
	var least fleet.LogPosition
	for _, u := range users {
		if u != nil {
			least = least.Max(u.AtLeast)
		}
	}
	return least
}

// AllAcknowledged returns a position that covers every acknowledged commit, given the knowledge
// of each user of the primary that a change replaces, nil if a user has not told it. It returns
// false if that is too little. What present processes have acknowledged is covered by their own
// positions. Processes that have ended, and users that have been removed, acknowledged nothing
// after the last settled record was written, or are covered by the base of the process that
// follows them.
func AllAcknowledged(change catalog.Leadership, users []*AcknowledgedCommits) (fleet.LogPosition, bool) {
	if change.MayHavePromoted {
		return fleet.LogPosition{}, false // commits may have been acknowledged at that endpoint
	}
	var highest fleet.LogPosition
	based := false
	for _, u := range users {
		if u == nil || !u.Base && !u.RanBefore {
			return fleet.LogPosition{}, false
		}
		highest = highest.Max(u.Position)
		// The first claim of the change was made on top of that record.
		based = based || u.Base && u.Record+1 == change.ConfirmingSince
	}
	return highest, based
}
