package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/placement"
	"github.com/vanillahinge/vanillahinge/core/topology"
	"github.com/vanillahinge/vanillahinge/edge/forward"
)

// groupKeepers returns the instances that may keep the connections of a group.
func (c *Controller) groupKeepers(id fleet.GroupID) *placement.Keepers {
	if c.keeperOrder == nil {
		c.keeperOrder = map[fleet.GroupID]*placement.Keepers{}
	}
	k, ok := c.keeperOrder[id]
	if !ok {
		if c.assignment == nil {
			c.assignKeepers()
		}
		k = c.assignment.Keepers(id, c.groupDataCentres[id])
		c.keeperOrder[id] = k
	}
	return k
}

// assignKeepers chooses the first keeper of each group. Groups of whose connections each
// instance keeps its own are left out, since they load no keeper.
func (c *Controller) assignKeepers() {
	start := time.Now()
	candidates := make([]placement.Candidate, 0, len(c.members))
	for _, m := range c.members {
		candidates = append(candidates, placement.Candidate{ID: m.ID, DataCentre: m.DataCentre, Capacity: m.Capacity, LinkMbps: m.LinkMbps})
	}
	kept := map[fleet.GroupID]map[fleet.DataCentre]bool{}
	if c.catalog != nil {
		for id := range c.catalog.Groups {
			if !c.keepsOwn(id) {
				kept[id] = c.groupDataCentres[id]
			}
		}
	}
	c.assignment = placement.Assign(kept, candidates, c.Topology)
	stats := c.assignment.Stats()
	c.Metrics.Gauge("keepers_moved_by_capacity", int64(stats.Moved))
	c.Metrics.Gauge("keeper_groups_per_core_highest_milli", int64(1000*stats.Highest))
	c.Metrics.Gauge("keeper_assignment_us", time.Since(start).Microseconds())
}

// resetKeepers makes the keepers be computed again when they are needed next.
func (c *Controller) resetKeepers() { c.keeperOrder, c.assignment = nil, nil }

// primaryRegion returns the region in which the primary of a group was last known, "" if
// it has not been known yet.
func (c *Controller) primaryRegion(id fleet.GroupID) fleet.Region {
	if c.groupKeepers(id).Count() == 1 {
		return ""
	}
	g := c.groupState(id)
	if e, ok := c.lastEntries[c.leadership(id).Primary]; ok {
		g.primaryRegion = c.Topology.Region(e.DataCentre)
	}
	return g.primaryRegion
}

// users returns the instances that should be users of a group's primary.
func (c *Controller) users(id fleet.GroupID) []fleet.InstanceID {
	return c.groupKeepers(id).Users(c.primaryRegion(id), c.serves)
}

// servingKeepers returns the keepers of a group for the callers of this instance, the
// preferred one first.
func (c *Controller) servingKeepers(id fleet.GroupID) []fleet.InstanceID {
	return c.groupKeepers(id).Serving(c.Topology.Region(c.Self.DataCentre), c.primaryRegion(id), c.serves)
}

// serves reports whether an instance seems to run and to take statements of others.
func (c *Controller) serves(id fleet.InstanceID) bool {
	if id == c.Self.ID {
		return !c.leaving
	}
	return c.present(id) && c.Clock.Now() >= c.peers[id].awayUntil
}

// mayRequestJoin reports whether an instance that a statement needs as a user of the primary
// may register in addition to the present ones. Where a region has lost its keeper, the next
// one registers before the lost one is removed.
func (c *Controller) mayRequestJoin(id fleet.GroupID, users, present int) bool {
	k := c.groupKeepers(id)
	return present < k.UserCount() || k.Count() > 1 && users < k.MaxUsers()
}

// InHomes implements forward.Directory.
func (c *Controller) InHomes(k forward.Keeper, homes topology.Homes) bool {
	return k.Allowed(homes, c.Topology)
}

// homeScore returns how many restricted routes and accounts may use an endpoint as primary.
func (c *Controller) homeScore(e catalog.Endpoint) int {
	return c.View().Catalog.HomeScore(e.Group, c.Topology, e.DataCentre)
}

// homesCheck is the state of the check of the configuration's home regions.
type homesCheck struct {
	version     uint64
	dataCentres int
	// warned holds what has been logged for the version.
	warned map[string]bool
}

// checkHomes logs, once for each configuration, the homes with a region in which no data
// centre is known, and those without an endpoint of the group. The pool refuses the
// statements that have no other home.
func (c *Controller) checkHomes() {
	dataCentres := 0
	for _, dcs := range c.groupDataCentres {
		dataCentres += len(dcs)
	}
	h := &c.homes
	if h.version == c.catalog.Version && h.dataCentres == dataCentres && h.warned != nil {
		return
	}
	if h.version != c.catalog.Version || h.warned == nil {
		h.warned = map[string]bool{}
	}
	h.version, h.dataCentres = c.catalog.Version, dataCentres
	served := func(id fleet.GroupID, homes topology.Homes) bool {
		for dc := range c.groupDataCentres[id] {
			if homes.Allow(c.Topology, dc) {
				return true
			}
		}
		return false
	}
	problems := int64(0)
	warn := func(kind, owner string, homes topology.Homes, reason string) {
		problems++
		if key := kind + "/" + owner; !h.warned[key] {
			h.warned[key] = true
			c.Metrics.Count("homes_not_servable")
			c.Log.Warn("control: home regions without an endpoint; statements that need one there are refused", "version", c.catalog.Version, "kind", kind, "owner", owner,
				"regions", homes.Regions, "reason", reason, "remedy", "add an endpoint in the home regions or change them")
		}
	}
	for _, r := range c.catalog.Routes {
		switch {
		case !r.Homes.Restricted:
		case c.unknownRegions(r.Homes) != "":
			warn("route", r.Database, r.Homes, c.unknownRegions(r.Homes))
		case !served(r.Group, r.Homes):
			warn("route", r.Database, r.Homes, fmt.Sprintf("no endpoint of group %.60q is there", r.Group))
		}
	}
	// Many accounts have the same homes.
	type lack struct {
		groups int
		first  fleet.GroupID
	}
	lacks := map[string]lack{}
	for id, homes := range c.catalog.AccountHomes {
		if reason := c.unknownRegions(homes); reason != "" {
			warn("account", string(id), homes, reason)
			continue
		}
		key := regionsKey(homes)
		l, ok := lacks[key]
		if !ok {
			for g := range c.catalog.Groups {
				if !served(g, homes) {
					l.groups++
					if l.first == "" || g < l.first {
						l.first = g
					}
				}
			}
			lacks[key] = l
		}
		if l.groups > 0 {
			warn("account", string(id), homes, fmt.Sprintf("%d groups have no endpoint there, %.60q among them", l.groups, l.first))
		}
	}
	c.Metrics.Gauge("homes_not_servable_now", problems)
}

// unknownRegions returns the text of a warning about regions without a known data centre, ""
// if there are none.
func (c *Controller) unknownRegions(homes topology.Homes) string {
	var unknown []string
	for _, r := range homes.Regions {
		if !c.Topology.KnowsRegion(r) {
			unknown = append(unknown, fmt.Sprintf("%.60q", r))
		}
	}
	if unknown == nil {
		return ""
	}
	return "no data centre is known in " + strings.Join(unknown, ", ")
}

func regionsKey(homes topology.Homes) string {
	names := make([]string, len(homes.Regions))
	for i, r := range homes.Regions {
		names[i] = string(r)
	}
	slices.Sort(names)
	return strings.Join(names, "\x00")
}
