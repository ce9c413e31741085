// Package stmt defines statements and answers independently of any wire
// protocol. Codecs translate to and from these types; the engine uses no others.
package stmt

import (
	"fmt"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statement.
const (
	Begin Kind = iota + 1
	Commit
	Rollback
	Read
	Write
	// Set sets a session variable.
	Set
	// Prepare creates a prepared statement.
	Prepare
	// Execute runs a prepared statement. It reads or writes as that statement does.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Reset drops the session variables and prepared statements of a connection.
	// Callers cannot send it.
	Reset
	// Status, Pause, Resume and Demote are commands to an endpoint. Callers cannot
	// send them.
	Status
	Pause
	Resume
	Demote
)

// InternalID is the ID of statements that the proxy issues itself.
const InternalID = "-"

// Statement is a statement issued by a caller or by the proxy itself.
type Statement struct {
	// ID is the caller's ID of the statement, passed on unchanged.
	ID   string
	Kind Kind
	// ReadOnly marks a Begin of a read-only transaction.
	ReadOnly bool
	// Name is the name of a session variable or prepared statement.
	Name string
	// Value is the value of a session variable.
	Value string
	// PreparedText is the text of a prepared statement. PreparedWrites is set if
	// that statement writes.
	PreparedText   string
	PreparedWrites bool
	// Args is the text of a Read, Write or Execute after its verb and name. It
	// is passed on unchanged.
	Args string
	// MinPosition makes an endpoint refuse the statement if its log lacks this
	// position. Zero means no condition.
	MinPosition fleet.LogPosition
	// Term is the argument of Pause and Demote.
	Term fleet.Term
}

// TransactionState is the transaction state of a connection.
type TransactionState uint8

// States of a connection's transaction.
const (
	Idle TransactionState = iota
	InTransaction
	// FailedTransaction accepts only the end of the transaction, which rolls back.
	FailedTransaction
)

// Code classifies the result of a statement.
type Code uint8

// Result codes. Those for which GuaranteesNotApplied returns true tell the caller
// that nothing of its attempt was applied.
const (
	OK Code = iota
	// Busy: no capacity, or the account is over its rate limit. The statement did
	// not run.
	Busy
	// Aborted: the transaction was rolled back.
	Aborted
	// Lagging: the endpoint's log lacks MinPosition. The statement did not run.
	Lagging
	// ReadOnly: the endpoint is not the primary. The statement did not run.
	ReadOnly
	// Moved: the endpoint is not the one that was addressed.
	Moved
	// TooManyConnections: the endpoint's connection limit is reached.
	TooManyConnections
	// InDoubt: a write or commit was sent and its result is not known.
	InDoubt
	// Timeout: the statement exceeded its time limit. It may have run.
	Timeout
	// Failed: the statement ran and failed.
	Failed
	// BadStatement: the statement is malformed or not allowed in this state.
	BadStatement
	// UnknownDatabase: no route has this name.
	UnknownDatabase
	// BadKey: the key is unknown or withdrawn.
	BadKey
	// UnknownName: no statement is prepared under this name.
	UnknownName
)

var codeNames = [...]string{"ok", "busy", "aborted", "lagging", "read_only", "moved", "too_many_connections",
	"in_doubt", "timeout", "failed", "bad_statement", "unknown_database", "bad_key", "unknown_name"}

// String returns the name of the code in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code_%d", c)
}

// GuaranteesNotApplied reports whether the code tells the caller that nothing of
// its attempt was applied.
func (c Code) GuaranteesNotApplied() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Moved, TooManyConnections:
		return true
	}
	return false
}

// NotRun reports whether an endpoint that answers with the code did not run
// the statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, UnknownName, Moved, TooManyConnections:
		return true
	}
	return false
}

// Answer is the complete answer to a statement.
type Answer struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement. It is empty if
	// the proxy answered itself.
	Signature string
	Code      Code
	// Text explains a Code other than OK.
	Text string
	// State is the state after the statement.
	State TransactionState
	// Position is the log position that the endpoint reported; zero if none.
	Position fleet.LogPosition
}

// EndpointState is the state that an endpoint reports.
type EndpointState struct {
	Primary bool
	// Term is the term of the newest primary that the endpoint knows, which may be itself.
	Term fleet.Term
	// Received is the last position in the endpoint's log.
	Received fleet.LogPosition
}
