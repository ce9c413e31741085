package takeover

import (
	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Decision is a kind of decision about the primary of a group.
type Decision uint8

const (
	// Renewal writes the record again in a new era of the store.
	Renewal Decision = iota
	// Membership registers, acknowledges or removes users of the primary.
	Membership
	// Replacement begins a change of primary, or takes one of its steps.
	Replacement
)

// Facts tells what a process has read since its start. What it has not read yet is unknown:
// an empty table is an answer, a missing one is not.
type Facts struct {
	// Configuration is nil until one is in force.
	Configuration *catalog.Catalog
	// Records is set once the leadership and member records have been read, Endpoints once the
	// platform's list of endpoints has, and Evacuations once the requests for evacuations have:
	// the configuration may come from another instance, without them.
	Records, Endpoints, Evacuations bool
}

// Known reports whether the process has read all inputs of a kind of decision.
func (f Facts) Known(d Decision) bool {
	if f.Configuration == nil || !f.Records {
		return false
	}
	switch d {
	case Renewal:
		return true
	case Membership:
		return f.Endpoints // they order the keepers of a group
	default:
		return f.Endpoints && f.Evacuations
	}
}

// Group returns the configuration of a group for a decision about its primary, and false if
// an input of the decision is unknown or the group is not configured. The decision is not
// taken then.
func (f Facts) Group(id fleet.GroupID, d Decision) (catalog.Group, bool) {
	if !f.Known(d) {
		return catalog.Group{}, false
	}
	g, ok := f.Configuration.Groups[id]
	return g, ok
}
