package forward

import (
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

// Allowed reports whether operations with the given homes may be handed to a keeper.
func (k Keeper) Allowed(homes topology.Homes, t *topology.Topology) bool {
	return !homes.Restricted || k.ReadsHomes && homes.Allow(t, k.DataCentre)
}

// InHomes returns those of the keepers that operations with the given homes may be handed
// to. If there is none, the operations run at this instance, on connections of its own,
// although it may be outside of the homes: the caller has sent them here.
func InHomes(keepers []Keeper, homes topology.Homes, t *topology.Topology) []Keeper {
	if !homes.Restricted {
		return keepers
	}
	return slices.DeleteFunc(slices.Clone(keepers), func(k Keeper) bool { return !k.Allowed(homes, t) })
}

// homes appends the homes of an operation, if they restrict it. A frame without them is
// the same as before homes were known.
func (e *encoder) homes(h topology.Homes) {
	if !h.Restricted {
		return
	}
	e.uint(uint64(len(h.Regions)))
	for _, r := range h.Regions {
		e.text(string(r))
	}
}

// homes takes the homes at the end of a frame.
func (d *decoder) homes() topology.Homes {
	if d.err != nil || len(d.b) == 0 {
		return topology.Homes{}
	}
	h := topology.Homes{Restricted: true}
	for range d.count() {
		h.Regions = append(h.Regions, fleet.Region(d.text()))
	}
	return h
}
