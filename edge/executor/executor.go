// Package executor runs the statements of sessions at endpoints. It gets connections
// from the pool, applies the session's settings to them, repeats what provably did not
// run, and chooses the answer when a statement fails. A session may live on another
// instance: its statements then arrive through package forward.
//
// Invariants:
//   - A refusal that promises that nothing was applied is given only if no commit
//     and no single write of the attempt was sent, or if the endpoint reported that
//     it did not run.
//   - A connection is reused by another session only if it is idle and the whole
//     answer to its last statement has been read.
package executor

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

// Operation is a statement together with what an endpoint needs to run it for its
// session. It is not changed after it has been handed to an Executor.
type Operation struct {
	Route   catalog.Route
	Account fleet.AccountID
	// Statement is the statement as the client sent it. An Execute also has the text
	// of the prepared statement, which identifies it on any connection.
	Statement stmt.Statement
	// Settings are the session's settings.
	Settings map[string]string
	// Homes restricts the regions in which the statement may be handled.
	Homes topology.Homes
	// LastCommit is a log position of the route's group that covers the session's acknowledged
	// commits there, zero if there are none. One of an earlier term than the primary's requires
	// the primary.
	LastCommit fleet.LogPosition
	// StartedAt is when the statement arrived, on the clock of this instance.
	StartedAt time.Duration
}

// Writes reports whether the statement writes.
func (op *Operation) Writes() bool {
	return op.Statement.Kind == stmt.Write || op.Statement.Kind == stmt.Execute && op.Statement.PreparedWrites
}

// Outcome is the result of an Operation.
type Outcome struct {
	Answer stmt.Answer
	// LastCommit replaces that of the operation.
	LastCommit fleet.LogPosition
	// Open is set while the transaction goes on. Otherwise nothing of it is left at
	// an endpoint.
	Open bool
}

// Executor runs operations outside transactions and begins transactions.
type Executor interface {
	Run(op *Operation) Outcome
	// Begin begins a transaction and runs its first statement. The transaction is nil
	// unless the outcome is open.
	Begin(op *Operation, readOnly bool) (Transaction, Outcome)
}

// Transaction is an open transaction at an endpoint. It is used by one session and not
// after an outcome that is not open.
type Transaction interface {
	// Run runs a statement of the transaction, or its commit.
	Run(op *Operation) Outcome
	// Rollback ends the transaction. Nothing of it is kept.
	Rollback()
}
