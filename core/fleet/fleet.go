// Package fleet defines the identifiers and basic types that all packages of
// vanillahinge share: instances, data centres, client accounts, database groups,
// endpoints, terms and log positions.
package fleet

import "cmp"

// InstanceID identifies an instance of the proxy. It is unique over the lifetime
// of the fleet.
type InstanceID string

// DataCentre is the name of the data centre of an instance or endpoint.
type DataCentre string

// Region is the name of a region, which holds one or more data centres.
type Region string

// AccountID identifies a client account. It equals the caller's user name.
type AccountID string

// GroupID identifies a database group: one primary endpoint and its replicas.
type GroupID string

// EndpointID identifies a database endpoint.
type EndpointID string

// KeyID identifies a key of a client account. It is not secret.
type KeyID string

// Term numbers the primaries of a group. It increases with every promotion.
type Term uint64

// Position is the index of an entry in the log of a group. It increases strictly,
// also across terms, because a promotion appends a no-op entry.
type Position uint64

// LogPosition is a position in the log of a group together with the term of its
// entry. As a condition of a read it is the oldest state that may be returned.
type LogPosition struct {
	Term     Term
	Position Position
}

// Compare orders positions by term and then by position: the log that ends at the greater one
// is newer.
func (p LogPosition) Compare(q LogPosition) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Position, q.Position))
}

// Max returns the later of p and q, ordered by term first.
func (p LogPosition) Max(q LogPosition) LogPosition {
	if q.Term > p.Term || q.Term == p.Term && q.Position > p.Position {
		return q
	}
	return p
}

// Role is the replication role that an endpoint reports.
type Role string

// Roles of an endpoint.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// EndpointStatus is the status that an endpoint reports in its answers to VH
// STATUS and VH FENCE and in status notifications. On the wire it is encoded as
// JSON.
type EndpointStatus struct {
	Endpoint EndpointID `json:"endpoint"`
	Group    GroupID    `json:"group"`
	Role     Role       `json:"role"`
	// Term is the term at which the endpoint serves or replicates.
	Term Term `json:"term"`
	// FenceTerm is the highest term that the endpoint has granted. It refuses lower
	// terms.
	FenceTerm Term `json:"fence_term"`
	// FenceOwner is the promoter to which FenceTerm was granted.
	FenceOwner string `json:"fence_owner"`
	// LastLogTerm is the term of the last entry received.
	LastLogTerm Term     `json:"last_log_term"`
	Received    Position `json:"received"`
	// AppliedTerm is the term of the last entry applied.
	AppliedTerm Term     `json:"applied_term"`
	Applied     Position `json:"applied"`
	// Primary is the host:port that a replica replicates from.
	Primary string `json:"primary,omitempty"`
	// Joining is set while an endpoint that lost its log copies it again. A joining
	// endpoint does not count towards a majority for fencing.
	Joining bool `json:"joining,omitempty"`
}

// HasApplied reports whether the endpoint has applied the log up to p.
func (s EndpointStatus) HasApplied(p LogPosition) bool {
	return s.AppliedTerm >= p.Term && s.Applied >= p.Position
}
