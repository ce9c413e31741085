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
	// requires, or that the version is from an earlier era.
	ErrConflict = errors.New("store: row version conflict; read the row again")
	// ErrCompacted means that the changes after the given version are no longer
	// kept, or that the version is from another era.
	ErrCompacted = errors.New("store: changes after this version have been compacted; read the whole table")
	// ErrRefused means that the call had no effect. A later call may succeed.
	ErrRefused = errors.New("store: request refused without effect; try again later")
	// ErrNoAnswer means that the call may have taken effect, or may yet.
	ErrNoAnswer = errors.New("store: no answer; the call may have taken effect, read the rows back")
)

// versionBits is the size of the store's counter within a version. Together with
// 13 bits of the era a version is exact in a 64-bit float, as some receivers of fencing
// tokens keep them.
const versionBits = 40

// MaxCount is the highest count of a store.
const MaxCount = 1<<versionBits - 1

// Version returns the version with the given count in an era of the store. A store that
// comes back from a copy begins an era: what it acknowledged since the copy is gone, and
// its counts are given out again. Versions are ordered by era first.
func Version(era, count uint64) uint64 { return era<<versionBits | count }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> versionBits }

// Count returns the store's count in a version.
func Count(version uint64) uint64 { return version & MaxCount }

// Row is a row of a table. Versions come from a single counter for the whole
// store, so that of two changes the later one has the higher version. The version of a
// row names the era in which it was read, not the one in which it was written.
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
