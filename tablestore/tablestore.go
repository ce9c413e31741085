// Package tablestore is the HTTP client of the platform service, which offers
// a key-value table with conditional puts, a store of immutable objects and an
// eventually consistent registry of instances.
//
// HTTP API of the service (JSON):
//
//	GET  /v1/table/{key}          200 Row, 404
//	PUT  /v1/table/{key}          body PutRequest; 200 Row, 409 on a version mismatch
//	GET  /v1/table?prefix=P       200 []Row
//	GET  /v1/objects/{key}        200 bytes, 404
//	PUT  /v1/objects/{key}        200, 409 if the key exists with other content
//	GET  /v1/instances            200 []InstanceEntry
//	PUT  /v1/instances/{id}       body InstanceEntry; registers or updates the instance, also serves as its heartbeat
//
// Each request carries the caller's instance ID in the X-Instance header.
package tablestore

import (
	"context"
	"errors"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Row is a row of the table. Each put increases Version; 0 means that the row
// does not exist.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// PutRequest is the body of a conditional put: the row is replaced only if its
// current version is IfVersion, where 0 means that it does not exist.
type PutRequest struct {
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value"`
}

// InstanceEntry describes an instance in the registry.
type InstanceEntry struct {
	ID         fleet.InstanceID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// PeerAddr is the host:port that serves the peer protocol.
	PeerAddr string `json:"peer_addr"`
	// OpsAddr is the host:port that serves the operators' HTTP API.
	OpsAddr string `json:"ops_addr"`
	Leaving bool   `json:"leaving"`
	// Invalid says why an entry of the list cannot be used, if it cannot. The other
	// fields are empty then, except ID if it is known.
	Invalid string `json:"-"`
}

// Errors returned for calls to the platform service.
var (
	// ErrConflict reports that a conditional put failed because the row has
	// another version, or that an object exists with other content. The caller
	// has to read it again.
	ErrConflict = errors.New("tablestore: version conflict; read the current value and try again")
	// ErrNotFound reports that the row or object does not exist.
	ErrNotFound = errors.New("tablestore: not found")
	// ErrUnavailable reports that no usable response arrived. A put may have
	// taken effect, so the caller has to read the value back.
	ErrUnavailable = errors.New("tablestore: no response; a put may have taken effect, read the value back")
)

// Table is a key-value table with conditional puts.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// Put replaces the row if its current version is ifVersion; 0 means that
	// the row must not exist.
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (Row, error)
	List(ctx context.Context, prefix string) ([]Row, error)
}

// ObjectStore stores immutable objects by key.
type ObjectStore interface {
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, data []byte) error
}

// InstanceRegistry is the platform's list of instances. It is eventually
// consistent: a registration may be missing from List for a while.
type InstanceRegistry interface {
	// List returns the entries. Those that cannot be used are marked as Invalid.
	List(ctx context.Context) ([]InstanceEntry, error)
	Register(ctx context.Context, l InstanceEntry) error
}
