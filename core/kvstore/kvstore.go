// Package kvstore defines the interface to the key-value store that holds the
// records shared by the fleet: tables of versioned rows, conditional transactions
// and a change feed.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Errors of the store.
var (
	// ErrConflict means that a row does not have the version that the transaction
	// requires.
	ErrConflict = errors.New("store: row version conflict; read the row again")
	// ErrCompacted means that the changes after the given version are no longer
	// kept.
	ErrCompacted = errors.New("store: changes after this version have been compacted; read the whole table")
	// ErrRefused means that the call had no effect. A later call may succeed.
	ErrRefused = errors.New("store: request refused without effect; try again later")
	// ErrNoAnswer means that the call may have taken effect, or may yet.
	ErrNoAnswer = errors.New("store: no answer; the call may have taken effect, read the rows back")
)

// Row is a row of a table. Versions come from a single counter for the whole
// store, so that of two changes the later one has the higher version.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
	// Unreadable says why the content of the row could not be decoded, if it could
	// not. Value is nil then. The row is in the table all the same.
	Unreadable string `json:",omitempty"`
}

// Transaction is a conditional write of several rows, applied atomically.
type Transaction struct {
	// Require lists the versions that rows must have for the transaction to apply;
	// 0 means that the row must be absent.
	Require []Row
	Put     []Row
	Delete  []Row
}

// Store is a key-value store with versioned rows.
type Store interface {
	// Apply applies a transaction and returns its version.
	Apply(ctx context.Context, t Transaction) (uint64, error)
	// ReadTable returns the rows of a table and the version as of which it read
	// them.
	ReadTable(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows of a table that changed after a version, in order,
	// and the version from which to continue. It waits up to wait for a change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}
