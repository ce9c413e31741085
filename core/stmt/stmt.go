// Package stmt holds statements and answers in a form that no wire protocol
// shows through. Codecs translate to and from it; the engine reads nothing
// else.
package stmt

import (
	"fmt"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Kind is what a statement does.
type Kind uint8

// The kinds of statement.
const (
	Begin Kind = iota + 1
	Commit
	Rollback
	Read
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement shape.
	Prepare
	// Execute runs a prepared shape; it reads or writes as the shape does.
	Execute
	// Deallocate forgets a prepared name.
	Deallocate
	// Reset drops the values and prepared names of a connection. Only the
	// system sends it.
	Reset
	// Status, Pause, Resume and Demote act on an endpoint. Only the system
	// sends them.
	Status
	Pause
	Resume
	Demote
)

// InternalID is the id of statements that the system issues itself.
const InternalID = "-"

// Statement is one statement of a caller or of the system.
type Statement struct {
	// ID is the caller's id of the statement, passed on unchanged.
	ID   string
	Kind Kind
	// ReadOnly marks a Begin of a read-only transaction.
	ReadOnly bool
	// Name is a session value's or a prepared statement's name.
	Name string
	// Value is a session value.
	Value string
	// PreparedText is a prepared statement's text; ShapeWrites says that it writes.
	PreparedText   string
	PreparedWrites bool
	// Args is the text of a Read, Write or Execute after its verb and name. It
	// is passed on byte for byte.
	Args string
	// MinPosition makes an endpoint refuse the statement when its log lacks this
	// position. Zero means no condition.
	MinPosition fleet.LogPosition
	// Term is the argument of Pause and Demote.
	Term fleet.Term
}

// TransactionState is the transaction state of a connection.
type TransactionState uint8

// The transaction states.
const (
	Idle TransactionState = iota
	InTransaction
	// FailedTransaction rolls back when it is ended; nothing else runs in it.
	FailedTransaction
)

// Code classifies a refusal or failure.
type Code uint8

// The codes. Those for which Promises is true say that nothing of the
// caller's attempt is kept.
const (
	OK Code = iota
	// Busy: no capacity, or over the rate. Not run.
	Busy
	// Aborted: the transaction was rolled back.
	Aborted
	// Lagging: the endpoint's log lacks the position asked for. Not run.
	Lagging
	// ReadOnly: the endpoint is not the primary. Not run.
	ReadOnly
	// Moved: the endpoint is another one than was asked for.
	Moved
	// TooManyConnections: the endpoint's ceiling is reached.
	TooManyConnections
	// InDoubt: a write or commit was sent and its answer is not known.
	InDoubt
	// Timeout: the statement ran out of time; it may have run.
	Timeout
	// Failed: the statement ran and failed.
	Failed
	// BadStatement: malformed, or not possible in this state.
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

// String returns the code as logs and metrics name it.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code_%d", c)
}

// GuaranteesNotApplied reports whether the code tells a caller that nothing is kept.
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

// Answer is the whole answer to a statement.
type Answer struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement; empty when
	// the system answered itself.
	Signature string
	Code      Code
	// Text explains a Code other than OK.
	Text string
	// State is the transaction state after the statement.
	State TransactionState
	// Position is the log position that the endpoint reported; zero if none.
	Position fleet.LogPosition
}

// EndpointState is an endpoint's own account of itself.
type EndpointState struct {
	Primary bool
	// Term is the newest term the endpoint knows.
	Term fleet.Term
	// Received is the last position in the endpoint's log.
	Received fleet.LogPosition
}
