package catalog

import (
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

// HomeScore returns how many of the restricted routes of a group and of the restricted
// accounts allow a data centre. Statements that need the primary are refused where their
// homes do not allow its data centre.
func (c *Catalog) HomeScore(group fleet.GroupID, t *topology.Topology, dc fleet.DataCentre) int {
	if c == nil {
		return 0
	}
	n := 0
	for _, r := range c.Routes {
		if r.Group == group && r.Homes.Restricted && r.Homes.Allow(t, dc) {
			n++
		}
	}
	for _, h := range c.AccountHomes {
		if h.Allow(t, dc) {
			n++
		}
	}
	return n
}

// InternalAccount returns the account whose connections carry commands to endpoints of all
// regions: the first without homes or, if all have some, the first.
func (c *Catalog) InternalAccount() fleet.AccountID {
	var first fleet.AccountID
	restricted := true
	for id := range c.Accounts {
		r := c.AccountHomes[id].Restricted
		if first == "" || restricted && !r || restricted == r && id < first {
			first, restricted = id, r
		}
	}
	return first
}
