// Package kvstore is the port to the store in which the fleet agrees on its
// records: tables of versioned rows, conditional transactions and a feed of
// changes.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Errors of the store.
var (
	// ErrConflict: a row has another version than the transaction demands.
	ErrConflict = errors.New("store: a row has changed; read it again")
	// ErrCompacted: the changes since the given version are no longer kept.
	ErrCompacted = errors.New("store: the history is gone; read the whole table")
	// ErrRefused: the store did nothing and may serve a later call.
	ErrRefused = errors.New("store: refused without doing anything; try again later")
	// ErrNoAnswer: the call may have taken effect, or may yet.
	ErrNoAnswer = errors.New("store: no answer; read back what the call may have changed")
)

// Row is a row of a table. Versions come from one counter for the whole store,
// so a later change of any row has a higher version.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Transaction is a transaction: it applies whole or not at all.
type Transaction struct {
	// Require lists rows with the version that each must have; 0 means absent.
	Require []Row
	Put     []Row
	Delete  []Row
}

// Store keeps the rows.
type Store interface {
	// Apply carries out a transaction and returns the version it got.
	Apply(ctx context.Context, c Transaction) (uint64, error)
	// ReadTable returns a table and the version as of which it was read.
	ReadTable(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes waits up to wait for changes after a version. It returns the
	// changed rows in order and the version to go on from.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}
