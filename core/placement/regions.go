package placement

import (
	"iter"
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

// Keepers holds the instances that may keep the connections of a group, divided by region
// where the fleet runs in several. It is immutable.
type Keepers struct {
	// regions are the regions with an endpoint of the group and an instance, each with its
	// instances in order of preference. If there is at most one, it is the only element and
	// holds all instances of the fleet.
	regions []regionKeepers
	// rest are the instances of the other regions, in order of preference.
	rest []fleet.InstanceID
}

type regionKeepers struct {
	region fleet.Region
	ids    []fleet.InstanceID
}

// ByRegion returns the keepers of a group whose endpoints are in the given data centres. All
// instances that know the same members and data centres get the same result.
func ByRegion(group fleet.GroupID, candidates []Candidate, endpoints map[fleet.DataCentre]bool, t *topology.Topology) *Keepers {
	near := func(dc fleet.DataCentre) bool { return endpoints[dc] }
	withEndpoint := map[fleet.Region]bool{}
	for dc := range endpoints {
		withEndpoint[t.Region(dc)] = true
	}
	inRegion := map[fleet.Region][]Candidate{}
	var others []Candidate
	for _, c := range candidates {
		if r := t.Region(c.DataCentre); withEndpoint[r] {
			inRegion[r] = append(inRegion[r], c)
		} else {
			others = append(others, c)
		}
	}
	k := &Keepers{}
	if len(inRegion) == 0 || len(inRegion) == 1 && len(others) == 0 {
		k.regions = []regionKeepers{{ids: Order(group, candidates, near)}}
		return k
	}
	for _, r := range rankRegions(group, inRegion) {
		k.regions = append(k.regions, regionKeepers{r, Order(group, inRegion[r], near)})
	}
	k.rest = Order(group, others, near)
	if len(k.regions) == 1 {
		// One keeper serves all regions; the others of the fleet come after its region.
		k.regions[0].ids = append(k.regions[0].ids, k.rest...)
		k.rest = nil
	}
	return k
}

// rankRegions returns the regions in an order that differs from group to group.
func rankRegions(group fleet.GroupID, regions map[fleet.Region][]Candidate) []fleet.Region {
	ids := make([]fleet.InstanceID, 0, len(regions))
	for r := range regions {
		ids = append(ids, fleet.InstanceID(r))
	}
	ranked := make([]fleet.Region, 0, len(ids))
	for _, id := range fleet.Rank("keeper-region/"+string(group), ids) {
		ranked = append(ranked, fleet.Region(id))
	}
	return ranked
}

// Count returns how many instances keep connections of the group at a time.
func (k *Keepers) Count() int { return len(k.regions) }

// UserCount returns how many instances are registered as users of the group's primary. It
// is odd, since one more user would make a majority larger without bearing another loss.
// With two or three regions the users of the primary's region are a majority, so that it goes
// on alone while the regions cannot reach each other. It never exceeds UserCount plus one for
// each further region.
func (k *Keepers) UserCount() int {
	regions := k.Count()
	n := min(max(UserCount, 2*regions-1), UserCount+regions-1)
	return n - (n+1)%2
}

// MaxUsers returns how many users there may be while one replaces another.
func (k *Keepers) MaxUsers() int { return UserCount + k.Count() - 1 }

// All returns all instances in the order in which they act for the group. The regions take
// turns, the one given first begins.
func (k *Keepers) All(first fleet.Region) iter.Seq[fleet.InstanceID] {
	return func(yield func(fleet.InstanceID) bool) {
		regions := k.ordered(first)
		for i, left := 0, true; left; i++ {
			left = false
			for _, r := range regions {
				if i >= len(r.ids) {
					continue
				}
				left = true
				if !yield(r.ids[i]) {
					return
				}
			}
		}
		for _, id := range k.rest {
			if !yield(id) {
				return
			}
		}
	}
}

// Users returns the instances that should be users of the group's primary, which is in
// region first: the keeper of each region, and then further ones of the primary's region.
// serves reports whether an instance runs and serves.
func (k *Keepers) Users(first fleet.Region, serves func(fleet.InstanceID) bool) []fleet.InstanceID {
	n := k.UserCount()
	regions := k.ordered(first)
	users := make([]fleet.InstanceID, 0, n)
	for _, r := range regions {
		if i := slices.IndexFunc(r.ids, serves); i >= 0 && len(users) < n {
			users = append(users, r.ids[i])
		}
	}
	add := func(ids []fleet.InstanceID) {
		for _, id := range ids {
			if len(users) == n {
				return
			}
			if serves(id) && !slices.Contains(users, id) {
				users = append(users, id)
			}
		}
	}
	for _, r := range regions {
		add(r.ids)
	}
	add(k.rest)
	return users
}

// Serving returns the keepers that serve the callers of a region, the preferred one first:
// that of the region itself, and the users of the primary as its fallbacks, those of the
// region first.
func (k *Keepers) Serving(region, first fleet.Region, serves func(fleet.InstanceID) bool) []fleet.InstanceID {
	users := k.Users(first, serves)
	if k.Count() == 1 {
		return users
	}
	i := slices.IndexFunc(k.regions, func(r regionKeepers) bool { return r.region == region })
	if i < 0 {
		return users
	}
	own := k.regions[i].ids
	var out []fleet.InstanceID
	if j := slices.IndexFunc(own, serves); j >= 0 {
		out = append(out, own[j])
	}
	for _, sameRegion := range []bool{true, false} {
		for _, u := range users {
			if slices.Contains(own, u) == sameRegion && !slices.Contains(out, u) {
				out = append(out, u)
			}
		}
	}
	return out
}

// ordered returns the regions in order, with the one given at the front if it is known.
func (k *Keepers) ordered(first fleet.Region) []regionKeepers {
	i := slices.IndexFunc(k.regions, func(r regionKeepers) bool { return r.region == first })
	if i <= 0 {
		return k.regions
	}
	out := append([]regionKeepers{k.regions[i]}, k.regions[:i]...)
	return append(out, k.regions[i+1:]...)
}
