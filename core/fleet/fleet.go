// Package fleet defines the identifiers and small values that every part of
// vanillahinge shares: instances, data centres, client accounts, database
// groups, endpoints, terms and log positions.
package fleet

// InstanceID names one entry instance. It is unique over the fleet's lifetime.
type InstanceID string

// DataCentre names the data centre of an instance or endpoint.
type DataCentre string

// AccountID names a client account. It equals the caller's user name.
type AccountID string

// GroupID names a database group: one primary endpoint and its replicas.
type GroupID string

// EndpointID names one database endpoint.
type EndpointID string

// KeyID names one key of a client account. It is not secret.
type KeyID string

// Term counts the primaries of a group. It grows with every promotion.
type Term uint64

// Position is a log position within a group. Positions grow strictly, also
// across terms, because a promotion appends a no-op entry.
type Position uint64

// LogPosition is the oldest state of a group that a session may read.
type LogPosition struct {
	Term     Term
	Position Position
}

// Max returns the later of two floors.
func (f LogPosition) Max(g LogPosition) LogPosition {
	if g.Term > f.Term || g.Term == f.Term && g.Position > f.Position {
		return g
	}
	return f
}

// Role is what an endpoint says of itself.
type Role string

// The roles of an endpoint.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// EndpointStatus is what an endpoint reports through VH STATUS, VH FENCE and
// its status notifications. The JSON form is the wire form.
type EndpointStatus struct {
	Endpoint EndpointID `json:"endpoint"`
	Group    GroupID    `json:"group"`
	Role     Role       `json:"role"`
	// Term is the term at which the endpoint serves or replicates.
	Term Term `json:"term"`
	// FenceTerm is the highest term granted; lower terms are refused.
	FenceTerm Term `json:"fence_term"`
	// FenceOwner is the promoter that FenceTerm was granted to.
	FenceOwner string `json:"fence_owner"`
	// LastLogTerm is the term of the last entry received.
	LastLogTerm Term     `json:"last_log_term"`
	Received    Position `json:"received"`
	// AppliedTerm is the term of the last entry applied.
	AppliedTerm Term     `json:"applied_term"`
	Applied     Position `json:"applied"`
	// Primary is the host:port that a replica replicates from.
	Primary string `json:"primary,omitempty"`
	// Joining is set while an endpoint that lost its log copies it again.
	// A joining endpoint does not count towards a fence majority.
	Joining bool `json:"joining,omitempty"`
}

// HasApplied reports whether the endpoint has applied everything up to the floor.
func (s EndpointStatus) HasApplied(f LogPosition) bool {
	return s.AppliedTerm >= f.Term && s.Applied >= f.Position
}
