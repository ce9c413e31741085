package takeover

import (
	"cmp"
	"slices"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

// The record of a group with synchronous replicas names the endpoints that may hold acknowledged
// commits, so that a holder without memory knows which of them are missing. The first keeper of
// the group keeps it right:
//
//   - The first record of a group names the listed endpoints: nothing was acknowledged before.
//   - An endpoint that is listed is added at once. One that leaves the list before is remembered
//     by the processes that saw it.
//   - One that is listed at the address of a member has its log, and takes its place.
//   - A member is dropped, and more copies are counted on, only once that is proved; see
//     ProvesReplicas.

// ReplicaStep is what it takes to correct the replicas that a record names.
type ReplicaStep uint8

const (
	// KeepReplicas means that nothing has to be corrected.
	KeepReplicas ReplicaStep = iota
	// StoreReplicas means that the set claims no more than the record, and may be stored.
	StoreReplicas
	// ProveReplicas means that the set has to be proved first.
	ProveReplicas
)

// PlanReplicas returns the set that a settled record should name next, and what that takes.
// listed are the group's endpoints in the platform's list; remembered are those that have left
// it, and that no record has named.
func PlanReplicas(record catalog.Leadership, syncReplicas int, listed, remembered []catalog.Endpoint) (*catalog.ReplicaSet, ReplicaStep) {
	if syncReplicas == 0 {
		if record.Replicas == nil {
			return nil, KeepReplicas
		}
		return nil, StoreReplicas
	}
	known := slices.Clone(listed)
	for _, e := range remembered {
		if !hasSuccessor(e.Addr, listed) {
			known = append(known, e)
		}
	}
	wanted := newReplicaSet(syncReplicas, known)
	switch {
	case record.Version == 0:
		return wanted, StoreReplicas
	case record.Replicas == nil:
		return wanted, ProveReplicas
	}
	grown := newReplicaSet(min(record.Replicas.Copies, syncReplicas), append(known, unlistedMembers(record, listed)...))
	switch {
	case !grown.Equal(record.Replicas):
		return grown, StoreReplicas
	case !wanted.Equal(record.Replicas):
		return wanted, ProveReplicas
	}
	return nil, KeepReplicas
}

// unlistedMembers returns the replicas that a record names and that are not listed, nor another
// endpoint at their address, which has their log.
func unlistedMembers(record catalog.Leadership, listed []catalog.Endpoint) []catalog.Endpoint {
	if record.Replicas == nil {
		return nil
	}
	var out []catalog.Endpoint
	for _, m := range record.Replicas.Members {
		if !slices.ContainsFunc(listed, func(e catalog.Endpoint) bool { return e.ID == m.ID }) && !hasSuccessor(m.Addr, listed) {
			out = append(out, catalog.Endpoint{ID: m.ID, Group: record.Group, Addr: m.Addr, DataCentre: m.DataCentre})
		}
	}
	return out
}

// MissingReplicas returns the endpoints that are not listed and may hold acknowledged commits:
// those that the record names, and those that this process remembers.
func MissingReplicas(record catalog.Leadership, listed, remembered []catalog.Endpoint) []catalog.Endpoint {
	out := unlistedMembers(record, listed)
	for _, e := range remembered {
		if !hasSuccessor(e.Addr, listed) && !slices.ContainsFunc(out, func(o catalog.Endpoint) bool { return o.ID == e.ID }) {
			out = append(out, e)
		}
	}
	return out
}

func hasSuccessor(addr string, listed []catalog.Endpoint) bool {
	return slices.ContainsFunc(listed, func(e catalog.Endpoint) bool { return e.Addr == addr })
}

// newReplicaSet returns the set of the given endpoints.
func newReplicaSet(copies int, endpoints []catalog.Endpoint) *catalog.ReplicaSet {
	s := &catalog.ReplicaSet{Copies: copies}
	for _, e := range endpoints {
		if !s.Has(e.ID) {
			s.Members = append(s.Members, catalog.ReplicaMember{ID: e.ID, Addr: e.Addr, DataCentre: e.DataCentre})
		}
	}
	slices.SortFunc(s.Members, func(a, b catalog.ReplicaMember) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// ReplicaReport is what one endpoint has reported for a proof.
type ReplicaReport struct {
	Endpoint fleet.EndpointID
	Received fleet.LogPosition
}

// ProvesReplicas reports whether a record may name next: enough of its members have received all
// that the primary of the record had when it was asked, so that they hold whatever was
// acknowledged until then. The others had left the list by then, and must not have answered:
// the primary may still send its log to them.
func ProvesReplicas(record catalog.Leadership, next *catalog.ReplicaSet, primary stmt.EndpointState, reports []ReplicaReport) bool {
	if !primary.Primary || record.PrimaryTerm > 0 && primary.Term != record.PrimaryTerm {
		return false
	}
	copies := 0
	for _, r := range reports {
		switch {
		case !next.Has(r.Endpoint):
			return false
		case r.Endpoint != record.Primary && r.Received.Compare(primary.Received) >= 0:
			copies++
		}
	}
	return copies >= next.Copies
}

// ProvableWithout reports whether a log can be shown to hold all acknowledged commits while some
// replicas can't be asked: fewer than hold a copy of each.
func ProvableWithout(unreachable, syncReplicas int, replicas *catalog.ReplicaSet) bool {
	return syncReplicas == 0 || replicas != nil && unreachable < min(replicas.Copies, syncReplicas)
}
