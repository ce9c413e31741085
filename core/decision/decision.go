// Package decision defines the audit record of a decision that the fleet made
// without an operator: a promotion, a refusal, a reroute or a change of
// configuration. Records never contain keys, tokens or statement text.
package decision

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Kind classifies a record.
type Kind string

// Kinds of record.
const (
	Promotion  Kind = "promotion"
	Refusal    Kind = "refusal"
	Reroute    Kind = "reroute"
	Bundle     Kind = "bundle"
	Withdrawal Kind = "withdrawal"
	Slot       Kind = "slot"
	Freshness  Kind = "freshness"
	Drain      Kind = "drain"
)

// Input is a fact on which the decision was based.
type Input struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Record is the audit record of one decision.
type Record struct {
	// Seq numbers the records of an instance consecutively.
	Seq      uint64           `json:"seq"`
	Time     time.Time        `json:"time"`
	Instance fleet.InstanceID `json:"instance"`
	Kind     Kind             `json:"kind"`
	// Rule is the short name of the rule that was applied, as listed in
	// docs/PROOF.md.
	Rule     string           `json:"rule"`
	Account  fleet.AccountID  `json:"account,omitempty"`
	Group    fleet.GroupID    `json:"group,omitempty"`
	Endpoint fleet.EndpointID `json:"endpoint,omitempty"`
	// Session is the process ID of the caller's session; 0 if there is none.
	Session uint32  `json:"session,omitempty"`
	Inputs  []Input `json:"inputs,omitempty"`
	// Outcome describes the result in one short sentence.
	Outcome string `json:"outcome"`
}

// Recorder stores records.
type Recorder interface {
	// Record must not block.
	Record(Record)
}
