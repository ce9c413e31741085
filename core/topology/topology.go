// Package topology tells in which region a data centre lies and how near two data centres
// are to each other. Every decision that prefers what is near asks it, so that all use the
// same order.
package topology

import (
	"slices"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Proximity orders pairs of data centres: the smaller, the nearer.
type Proximity uint8

// The proximities. Traffic between regions shares one link, and its round trip takes several
// times as long as one within a region.
const (
	SameDataCentre Proximity = iota
	SameRegion
	OtherRegion
)

// Topology holds the region of each known data centre. It is immutable. The zero value knows
// no data centre.
type Topology struct {
	regions map[fleet.DataCentre]fleet.Region
}

// New returns a topology. It takes ownership of regions.
func New(regions map[fleet.DataCentre]fleet.Region) *Topology { return &Topology{regions: regions} }

// Region returns the region of a data centre, "" if it is not known.
func (t *Topology) Region(dc fleet.DataCentre) fleet.Region {
	if t == nil {
		return ""
	}
	return t.regions[dc]
}

// Knows reports whether the region of a data centre is known.
func (t *Topology) Knows(dc fleet.DataCentre) bool { return t.Region(dc) != "" }

// KnowsRegion reports whether a known data centre lies in the region.
func (t *Topology) KnowsRegion(r fleet.Region) bool {
	if t == nil {
		return false
	}
	for _, known := range t.regions {
		if known == r {
			return true
		}
	}
	return false
}

// Proximity returns how near two data centres are. Data centres without a known region count
// as one region, so that a fleet without regions behaves as in a single one.
func (t *Topology) Proximity(a, b fleet.DataCentre) Proximity {
	switch {
	case a == b:
		return SameDataCentre
	case t.Region(a) == t.Region(b):
		return SameRegion
	}
	return OtherRegion
}

// Homes restricts where work may be done. The zero value restricts nothing.
type Homes struct {
	// Restricted is set if only Regions are allowed.
	Restricted bool
	Regions    []fleet.Region
}

// HomesOf returns the restriction to a list of regions; an empty list restricts nothing.
func HomesOf(regions []fleet.Region) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	return Homes{Restricted: true, Regions: regions}
}

// And returns the restriction that satisfies both. It allows nothing if the two have no
// region in common.
func (h Homes) And(o Homes) Homes {
	switch {
	case !h.Restricted:
		return o
	case !o.Restricted:
		return h
	}
	both := Homes{Restricted: true}
	for _, r := range h.Regions {
		if slices.Contains(o.Regions, r) {
			both.Regions = append(both.Regions, r)
		}
	}
	return both
}

// Allow reports whether work may be done in a data centre. One whose region is not known is
// allowed only where nothing is restricted.
func (h Homes) Allow(t *Topology, dc fleet.DataCentre) bool {
	return !h.Restricted || t.Knows(dc) && slices.Contains(h.Regions, t.Region(dc))
}
