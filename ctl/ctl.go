// Package ctl is the control client of database endpoints: it sends VH
// commands, watches endpoint status and reports when a write is replicated.
package ctl

import (
	"context"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Acks decides when the response to a request may be sent to the caller.
type Acks interface {
	// WaitReplicated returns nil once a second endpoint of the group has
	// reported pos at term t. After an error the outcome of the write is unknown.
	WaitReplicated(ctx context.Context, g fleet.GroupID, t fleet.Term, pos fleet.Position) error
	// ConfirmTerm returns nil once an endpoint other than the primary has
	// confirmed term t with a request sent after the call began.
	ConfirmTerm(ctx context.Context, g fleet.GroupID, t fleet.Term) error
}

// Commands are the VH commands of one endpoint. If the endpoint refuses the
// term, the error is an outcome.Error of kind StaleTerm.
type Commands interface {
	Status(ctx context.Context) (fleet.EndpointStatus, error)
	Fence(ctx context.Context, t fleet.Term, owner string) (fleet.EndpointStatus, error)
	Promote(ctx context.Context, t fleet.Term, owner string) (fleet.EndpointStatus, error)
	Follow(ctx context.Context, t fleet.Term, primaryAddr string) (fleet.EndpointStatus, error)
	Confirm(ctx context.Context, t fleet.Term) (fleet.EndpointStatus, error)
}
