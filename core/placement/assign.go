package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

const (
	// mbpsPerCore converts a link speed to cores: a link of 10 Mbit/s counts as 0.1 cores. It
	// is an assumption, not a measurement.
	mbpsPerCore = 100
	// headroom is how many times as much as the best possible distribution loads the busiest
	// instance one group may load another. With 1, the largest few machines of a fleet whose
	// sizes differ little would keep all groups, wherever their endpoints are.
	headroom = 2
	// furtherHeadroom is the same for several groups at one instance. With headroom, a machine
	// of 0.46 cores kept 2 of 20 groups beside 9 others of up to 1.2 cores.
	furtherHeadroom = 1.25
	// largePool is the number of pairs of an instance and a group of a pool from which on the
	// scores are computed from one hash of each instance and each group instead of one for
	// each pair, which took 1.7 s for 4,600 instances and 26,000 groups.
	largePool = 1 << 20
	// smallShare is the share of the largest capacity of a pool below which an instance is
	// taken only if all larger ones have reached their bounds. Machines of 0.46 and 1.2 cores
	// are treated alike, those of 0.192 and 0.8 are not.
	smallShare = 1.0 / 3
)

// Assignment holds the first keeper of each group in each region. It is computed for all
// groups at once, so that no instance keeps more groups than its part. It is immutable.
type Assignment struct {
	candidates []Candidate
	topology   *topology.Topology
	first      map[poolKey]map[fleet.GroupID]fleet.InstanceID
	stats      Stats
}

// Stats describes an assignment.
type Stats struct {
	// Moved counts the keepers that are not the first in the group's order.
	Moved int
	// Highest is the highest number of groups for each core of capacity of a keeper.
	Highest float64
}

// Stats returns what describes the assignment.
func (a *Assignment) Stats() Stats { return a.stats }

// poolKey identifies the instances among which a group gets one keeper: those of a region, or
// those of the fleet for groups without an instance in the regions of their endpoints.
type poolKey struct {
	region fleet.Region
	fleet  bool
}

// pool is a set of instances and the groups of which each gets one keeper among them.
type pool struct {
	members []poolMember
	groups  []fleet.GroupID
	// byDataCentre holds the positions in members of the instances of each data centre,
	// dataCentres their names in order.
	byDataCentre map[fleet.DataCentre][]int
	dataCentres  []fleet.DataCentre
	large        bool
}

type poolMember struct {
	id       fleet.InstanceID
	hash     uint64
	capacity float64
	small    bool
	// bound is how many groups the instance may keep, kept how many it does.
	bound, kept int
}

// effective returns the capacity of an instance in cores; the slower of processor and link
// limits it.
func (c Candidate) effective() float64 {
	capacity := c.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	if c.LinkMbps > 0 {
		capacity = min(capacity, c.LinkMbps/mbpsPerCore)
	}
	return capacity
}

// Assign chooses the first keepers of groups whose endpoints are in the given data centres, by
// rendezvous hashing with bounded load. All instances that know the same members, groups and
// data centres get the same result. Groups without known endpoints keep the plain order.
// The candidates must not be modified while the result is in use.
func Assign(groups map[fleet.GroupID]map[fleet.DataCentre]bool, candidates []Candidate, t *topology.Topology) *Assignment {
	a := &Assignment{candidates: candidates, topology: t, first: map[poolKey]map[fleet.GroupID]fleet.InstanceID{}}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(x, y Candidate) int { return cmp.Compare(x.ID, y.ID) })
	pools := map[poolKey]*pool{}
	add := func(key poolKey, c Candidate) {
		p := pools[key]
		if p == nil {
			p = &pool{byDataCentre: map[fleet.DataCentre][]int{}}
			pools[key] = p
		}
		if p.byDataCentre[c.DataCentre] == nil {
			p.dataCentres = append(p.dataCentres, c.DataCentre)
		}
		p.byDataCentre[c.DataCentre] = append(p.byDataCentre[c.DataCentre], len(p.members))
		p.members = append(p.members, poolMember{id: c.ID, hash: xxhash.Sum64String(string(c.ID)), capacity: c.effective()})
	}
	for _, c := range sorted {
		add(poolKey{region: t.Region(c.DataCentre)}, c)
		add(poolKey{fleet: true}, c)
	}
	for id, endpoints := range groups {
		placed := len(endpoints) == 0
		seen := map[fleet.Region]bool{}
		for dc := range endpoints {
			r := t.Region(dc)
			if p := pools[poolKey{region: r}]; p != nil && !seen[r] {
				seen[r], placed = true, true
				p.groups = append(p.groups, id)
			}
		}
		if p := pools[poolKey{fleet: true}]; !placed && p != nil {
			p.groups = append(p.groups, id)
		}
	}
	kept := map[fleet.InstanceID]int{}
	for key, p := range pools {
		a.first[key] = p.assign(groups, &a.stats)
		for _, m := range p.members {
			kept[m.id] += m.kept
		}
	}
	for _, c := range candidates {
		a.stats.Highest = max(a.stats.Highest, float64(kept[c.ID])/c.effective())
	}
	return a
}

// Keepers returns the keepers of a group whose endpoints are in the given data centres. The
// assigned one comes first in its region; the order of the others is that of ByRegion, as is
// that of all for a group that was not assigned.
func (a *Assignment) Keepers(group fleet.GroupID, endpoints map[fleet.DataCentre]bool) *Keepers {
	k := ByRegion(group, a.candidates, endpoints, a.topology)
	for _, r := range k.regions {
		first, ok := a.first[poolKey{region: r.region}][group]
		if !ok && len(k.regions) == 1 {
			// The region has no name here if all instances are in it, or none.
			first, ok = a.first[poolKey{fleet: true}][group]
			for dc := range endpoints {
				if id, found := a.first[poolKey{region: a.topology.Region(dc)}][group]; found {
					first, ok = id, true
				}
			}
		}
		if j := slices.Index(r.ids, first); ok && j > 0 {
			copy(r.ids[1:j+1], r.ids[:j])
			r.ids[0] = first
		}
	}
	return k
}

// assign returns the keeper of each group of the pool. The groups choose one after the other,
// in an order that does not depend on the members: a lost instance then affects only its own
// groups and those that are displaced by them or follow a changed bound.
func (p *pool) assign(groups map[fleet.GroupID]map[fleet.DataCentre]bool, stats *Stats) map[fleet.GroupID]fleet.InstanceID {
	out := make(map[fleet.GroupID]fleet.InstanceID, len(p.groups))
	if len(p.groups) == 0 {
		return out
	}
	slices.Sort(p.groups)
	slices.SortStableFunc(p.groups, func(x, y fleet.GroupID) int {
		return cmp.Compare(xxhash.Sum64String(string(x)), xxhash.Sum64String(string(y)))
	})
	p.setBounds()
	p.large = len(p.groups)*len(p.members) >= largePool
	largest := 0.0
	for _, m := range p.members {
		largest = max(largest, m.capacity)
	}
	hasSmall := false
	for i := range p.members {
		m := &p.members[i]
		m.small = m.capacity < smallShare*largest
		hasSmall = hasSmall || m.small && m.bound > 0
	}
	var buf []byte
	for _, id := range p.groups {
		buf = append(append(append(buf[:0], "keeper/"...), id...), 0)
		i, moved := p.choose(&pairHash{prefix: buf, group: xxhash.Sum64(buf), mixed: p.large}, groups[id], hasSmall)
		if i < 0 {
			continue // not reached: the bounds sum up to the number of groups at least
		}
		p.members[i].kept++
		out[id] = p.members[i].id
		if moved {
			stats.Moved++
		}
	}
	return out
}

// choose returns the position of the instance that a group gets, -1 if none has room, and
// whether another would have been taken if none were full or too small. It looks at instances near the endpoints
// first, and at small ones only if no other has room.
func (p *pool) choose(hash *pairHash, near map[fleet.DataCentre]bool, hasSmall bool) (chosen int, moved bool) {
	for _, small := range []bool{false, true} {
		if small && !hasSmall {
			break
		}
		for _, wantNear := range []bool{true, false} {
			plain, free := lowest{at: -1}, lowest{at: -1}
			for _, dc := range p.dataCentres {
				if near[dc] != wantNear {
					continue
				}
				for _, i := range p.byDataCentre[dc] {
					m := &p.members[i]
					eligible := m.small == small && m.kept < m.bound
					if !eligible && small {
						continue
					}
					h := hash.of(m)
					if eligible {
						free.offer(h, i, m)
					}
					plain.offer(h, i, m)
				}
			}
			if free.at >= 0 {
				return free.at, small || moved || free.at != plain.at
			}
			moved = moved || plain.at >= 0
		}
	}
	return -1, false
}

// pairHash computes the hash of a group and an instance.
type pairHash struct {
	// prefix is what precedes the instance's id in the hash of Order, group is its hash.
	prefix []byte
	group  uint64
	mixed  bool
}

func (p *pairHash) of(m *poolMember) uint64 {
	if !p.mixed {
		return xxhash.Sum64(append(p.prefix, m.id...))
	}
	// The finalizer of splitmix64.
	h := p.group ^ m.hash
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// lowest finds the instance with the lowest score of Order.
type lowest struct {
	at    int
	score float64
	id    fleet.InstanceID
}

func (l *lowest) offer(h uint64, at int, m *poolMember) {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	// -log(u) is at least 1-u, so most logarithms need not be computed.
	if l.at >= 0 && 1-u > l.score*m.capacity {
		return
	}
	score := -math.Log(u) / m.capacity
	if l.at < 0 || score < l.score || score == l.score && m.id < l.id {
		*l = lowest{at, score, m.id}
	}
}

// setBounds sets how many groups each instance may keep. An instance is excluded if one group
// would load it more than headroom times as much as the best possible distribution loads its
// busiest one. The others have their part of the capacity of all that are not excluded,
// rounded up.
func (p *pool) setBounds() {
	groups, total, largest := len(p.groups), 0.0, 0.0
	for _, m := range p.members {
		total += m.capacity
		largest = max(largest, m.capacity)
	}
	seats := func(perGroup float64) int {
		n := 0
		for _, m := range p.members {
			n += min(groups, int(m.capacity/perGroup))
		}
		return n
	}
	// The capacity for each group in the best distribution is at most total/groups, and at
	// most largest. At largest/groups the largest instance alone would suffice.
	low, high := largest/float64(groups)*(1-1e-9), min(largest, total/float64(groups))*(1+1e-9)
	for range 50 {
		if mid := (low + high) / 2; seats(mid) >= groups {
			low = mid
		} else {
			high = mid
		}
	}
	// With all instances the parts rounded up sum up to the number of groups at least; with
	// fewer they do as well, and only the capacity for each group may bound them further.
	for perGroup, i := low/headroom, 0; ; perGroup, i = perGroup*0.9, i+1 {
		if i == 100 {
			perGroup = 0
		}
		eligible := 0.0
		for _, m := range p.members {
			if m.capacity >= perGroup {
				eligible += m.capacity
			}
		}
		sum := 0
		for j := range p.members {
			m := &p.members[j]
			m.bound = 0
			if m.capacity < perGroup {
				continue
			}
			// The subtraction keeps a part that is a whole number from being rounded up.
			m.bound = max(1, int(math.Ceil(float64(groups)*m.capacity/eligible-1e-9)))
			if perGroup > 0 {
				m.bound = min(m.bound, max(1, int(m.capacity/(perGroup*headroom/furtherHeadroom))))
			}
			sum += m.bound
		}
		if sum >= groups || perGroup == 0 {
			return
		}
	}
}
