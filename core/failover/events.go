package failover

import (
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// RowState is the state of a promotion as stored in the table.
type RowState string

// The row states.
const (
	Claimed  RowState = "claimed"
	Promoted RowState = "promoted"
)

// Row is the content of the table row group/<id>.
type Row struct {
	Term     fleet.Term       `json:"term"`
	Primary  fleet.EndpointID `json:"primary,omitempty"`
	Promoter fleet.InstanceID `json:"promoter"`
	Nonce    string           `json:"nonce"`
	State    RowState         `json:"state"`
}

// Event is an input of Step.
type Event interface{ event() }

// Tick reports only the passing of time, so that timeouts take effect.
type Tick struct{}

// Status is a status notification from an endpoint or its response to VH STATUS.
type Status struct{ Status fleet.EndpointStatus }

// Unreachable reports that an endpoint refused or reset the connection.
type Unreachable struct{ Endpoint fleet.EndpointID }

// PeerView is a peer's view of the group, received in a pull.
type PeerView struct {
	From fleet.InstanceID
	// Term and Primary are the result of the peer's Core.LastKnown.
	Term         fleet.Term
	Primary      fleet.EndpointID
	Suspected    bool
	MaxFenceTerm fleet.Term
}

// Members reports the instances that answer pulls, this one included, and the
// number of instances that the platform lists.
type Members struct {
	Answering []fleet.InstanceID
	Listed    int
}

// LeavingEndpoints replaces the set of endpoints that the configuration bundle marks
// as leaving.
type LeavingEndpoints struct{ Endpoints []fleet.EndpointID }

// Result is the outcome of an action.
type Result int

// The results.
const (
	// NoResponse means that the action may or may not have taken effect.
	NoResponse Result = iota
	// OK means that the action took effect.
	OK
	// Refused means that the action did not take effect, because of a version
	// conflict in the table or error VH001 from an endpoint.
	Refused
)

// RowResponse is the response to Claim, ReadRow and Publish. After OK, Row and
// Version are the current row; version 0 means that there is none.
type RowResponse struct {
	Attempt uint64
	Result  Result
	Row     Row
	Version uint64
}

// FenceResponse is the response to Fence.
type FenceResponse struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

// PromoteResponse is the response to Promote.
type PromoteResponse struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

// FollowResponse is the response to Follow.
type FollowResponse struct {
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

// ConfirmResponse is an endpoint's answer to Confirm. It counts as a confirmation if
// Result is OK, the fence term in Status is the primary's term and the endpoint is not
// copying its log again.
type ConfirmResponse struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

func (ConfirmResponse) event()  {}
func (Tick) event()             {}
func (Status) event()           {}
func (Unreachable) event()      {}
func (PeerView) event()         {}
func (Members) event()          {}
func (LeavingEndpoints) event() {}
func (RowResponse) event()      {}
func (FenceResponse) event()    {}
func (PromoteResponse) event()  {}
func (FollowResponse) event()   {}

// Action is an output of Step.
type Action interface{ action() }

// ReadRow reads the table row group/<id>.
type ReadRow struct{ Attempt uint64 }

// Claim writes the row with state claimed if its version is still IfVersion.
type Claim struct {
	Attempt   uint64
	Row       Row
	IfVersion uint64
}

// Fence sends VH FENCE to an endpoint.
type Fence struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Term     fleet.Term
	Owner    string
}

// Promote sends VH PROMOTE to an endpoint.
type Promote struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Term     fleet.Term
	Owner    string
}

// Follow sends VH FOLLOW to an endpoint.
type Follow struct {
	Endpoint    fleet.EndpointID
	Term        fleet.Term
	Primary     fleet.EndpointID
	PrimaryAddr string
}

// Confirm sends VH CONFIRM to an endpoint, which confirms that it has granted no term
// higher than Term. A majority must confirm the primary's term before an endpoint that
// copies the whole log is told to follow.
type Confirm struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Term     fleet.Term
}

// Publish writes the row with state promoted if its version is still IfVersion.
type Publish struct {
	Attempt   uint64
	Row       Row
	IfVersion uint64
}

// NotifyPeers announces the new primary to the peers without waiting for their next
// pull.
type NotifyPeers struct {
	Term    fleet.Term
	Primary fleet.EndpointID
}

// RecordDecision writes a decision record.
type RecordDecision struct {
	// Rule is the short name of the rule, and Outcome a sentence for the reader.
	Rule, Outcome string
	Endpoint      fleet.EndpointID
	Term          fleet.Term
}

// PullPeers brings the next pull from peers forward because this instance has begun
// to suspect the primary.
type PullPeers struct{}

func (Confirm) action()        {}
func (PullPeers) action()      {}
func (ReadRow) action()        {}
func (Claim) action()          {}
func (Fence) action()          {}
func (Promote) action()        {}
func (Follow) action()         {}
func (Publish) action()        {}
func (NotifyPeers) action()    {}
func (RecordDecision) action() {}
