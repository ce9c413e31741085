// Package placement decides which instances keep the connections to the endpoints of
// a group.
//
// A connection belongs to one client account, takes an endpoint's slot while it is
// opened, and an endpoint accepts only a limited number. If every instance keeps its
// own, each has a few connections for all accounts and opens one for most statements:
// with 118 instances and 190 accounts that took a third of the slots' time. So in a
// fleet that is large for its endpoints one instance, the keeper, has the connections
// of a group, and the others forward their statements to it. It also sees the whole
// load of the endpoints, which makes its queue, its estimates and the log positions
// that it knows complete.
//
// The order of the instances is the same on all that know the same members, but
// nothing depends on that: two keepers of a group are only less efficient.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Candidate is an instance that may be a keeper.
type Candidate struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Capacity is the processor share of the instance's machine, in cores; 0 if it is
	// not known.
	Capacity float64
	// LinkMbps is the speed of the machine's link in Mbit/s; 0 if it is not known. Only
	// Assign regards it.
	LinkMbps float64
}

// Order returns the candidates in order of preference for a group, by weighted
// rendezvous hashing. Those in a data centre with an endpoint of the group come first,
// since statements to that endpoint then cross no further boundary.
func Order(group fleet.GroupID, candidates []Candidate, near func(fleet.DataCentre) bool) []fleet.InstanceID {
	type scored struct {
		id    fleet.InstanceID
		near  bool
		score float64
	}
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		h := xxhash.Sum64String("keeper/" + string(group) + "\x00" + string(c.ID))
		// Uniform in (0, 1); the lowest score wins with a probability in proportion
		// to the capacity.
		u := (float64(h>>11) + 0.5) / (1 << 53)
		capacity := c.Capacity
		if capacity <= 0 {
			capacity = 1
		}
		all[i] = scored{c.ID, near(c.DataCentre), -math.Log(u) / capacity}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]fleet.InstanceID, len(all))
	for i, s := range all {
		ids[i] = s.id
	}
	return ids
}

// UserCount is how many instances are registered as users of a group's primary when
// one keeps its connections: the keeper, and two that can follow it, so that a majority
// remains without any of them.
const UserCount = 3

// minAccountShare is the share of the client accounts for which an instance needs a
// connection to each endpoint to keep its own. The others hardly ever use one.
const minAccountShare = 0.75

// KeepOwn reports whether each of the instances should keep its own connections to an
// endpoint that accepts the given number from all of them together.
func KeepOwn(connections, instances, accounts int) bool {
	return float64(connections)/float64(max(1, instances)) >= minAccountShare*float64(accounts)
}
