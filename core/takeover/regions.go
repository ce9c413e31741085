package takeover

import (
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
)

// MayConfirm reports whether the instances that answer include a majority of the users of a
// primary, so that a change can take effect. An instance whose region is cut off from that of
// the primary finds the primary unreachable, as do all others of its region. Its claim would
// only stop the users that still reach the primary.
func MayConfirm(users, answering []fleet.InstanceID) bool {
	n := 0
	for _, u := range users {
		if slices.Contains(answering, u) {
			n++
		}
	}
	return len(users) == 0 || n >= lease.Majority(len(users))
}
