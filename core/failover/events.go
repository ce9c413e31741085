package failover

import (
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// RowState is the state of a promotion in the table.
type RowState string

// The states of a row.
const (
	Claimed  RowState = "claimed"
	Promoted RowState = "promoted"
)

// Row is the content of the row group/<id>.
type Row struct {
	Term     fleet.Term       `json:"term"`
	Primary  fleet.EndpointID `json:"primary,omitempty"`
	Promoter fleet.InstanceID `json:"promoter"`
	Nonce    string           `json:"nonce"`
	State    RowState         `json:"state"`
}

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Status is a status notification or an answer to VH STATUS.
type Status struct{ Status fleet.EndpointStatus }

// Unreachable reports that the endpoint refused or reset the connection.
type Unreachable struct{ Endpoint fleet.EndpointID }

// PeerView is a peer's observation of the group from a pull.
type PeerView struct {
	From fleet.InstanceID
	// Term and Primary are the peer's Core.Known.
	Term         fleet.Term
	Primary      fleet.EndpointID
	Suspected    bool
	MaxFenceTerm fleet.Term
}

// Members reports the instances that answer pulls, this one included, and how
// many the platform lists.
type Members struct {
	Answering []fleet.InstanceID
	Listed    int
}

// LeavingEndpoints replaces the set of endpoints that the bundle marks as leaving.
type LeavingEndpoints struct{ Endpoints []fleet.EndpointID }

// Result is the outcome of an action.
type Result int

// The results of an action.
const (
	// NoResponse: it may or may not have taken effect.
	NoResponse Result = iota
	// OK: it took effect.
	OK
	// Refused: it did not take effect (conflict or VH001).
	Refused
)

// RowResponse answers Claim, ReadRow and Publish. Row and Version are the row
// as it stands after OK; Version 0 means that it is absent.
type RowResponse struct {
	Attempt uint64
	Result  Result
	Row     Row
	Version uint64
}

// FenceResponse answers Fence.
type FenceResponse struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

// PromoteResponse answers Promote.
type PromoteResponse struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

// FollowResponse answers Follow.
type FollowResponse struct {
	Endpoint fleet.EndpointID
	Result   Result
	Status   fleet.EndpointStatus
}

// ConfirmResponse answers Confirm.
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

// ReadRow reads the row group/<id>.
type ReadRow struct{ Attempt uint64 }

// Claim writes the row if its version is still IfVersion.
type Claim struct {
	Attempt   uint64
	Row       Row
	IfVersion uint64
}

// Fence sends VH FENCE to the endpoint.
type Fence struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Term     fleet.Term
	Owner    string
}

// Promote sends VH PROMOTE to the endpoint.
type Promote struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Term     fleet.Term
	Owner    string
}

// Follow sends VH FOLLOW to the endpoint.
type Follow struct {
	Endpoint    fleet.EndpointID
	Term        fleet.Term
	Primary     fleet.EndpointID
	PrimaryAddr string
}

// Confirm sends VH CONFIRM to the endpoint.
type Confirm struct {
	Attempt  uint64
	Endpoint fleet.EndpointID
	Term     fleet.Term
}

// Publish writes the row with state promoted.
type Publish struct {
	Attempt   uint64
	Row       Row
	IfVersion uint64
}

// NotifyPeers tells peers at once about the primary.
type NotifyPeers struct {
	Term    fleet.Term
	Primary fleet.EndpointID
}

// RecordDecision asks for a decision record.
type RecordDecision struct {
	// Rule is the short name of the rule, Outcome one sentence.
	Rule, Outcome string
	Endpoint      fleet.EndpointID
	Term          fleet.Term
}

// PullPeers brings the next pull forward, because a suspicion has begun.
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
