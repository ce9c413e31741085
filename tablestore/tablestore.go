// Package tablestore is the client of the platform's service: a table with
// conditional puts, an object store and the lagging list of instances.
//
// HTTP interface of the service (JSON):
//
//	GET  /v1/table/{key}          200 Row, 404
//	PUT  /v1/table/{key}          body PutRequest; 200 Row, 409 when the version differs
//	GET  /v1/table?prefix=P       200 []Row
//	GET  /v1/objects/{key}        200 bytes, 404
//	PUT  /v1/objects/{key}        200; objects are immutable: 409 when the content differs
//	GET  /v1/instances            200 []Listed
//	PUT  /v1/instances/{id}       body Listed; registers or updates, heartbeat
//
// Each request carries the header X-Instance with the caller's instance id.
package tablestore

import (
	"context"
	"errors"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Row is one row of the table. Version grows with each put; 0 means absent.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// PutRequest replaces a row if its version is still IfVersion (0: absent).
type PutRequest struct {
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value"`
}

// InstanceEntry is one entry of the platform's list of instances.
type InstanceEntry struct {
	ID         fleet.InstanceID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// PeerAddr is the host:port of the peer protocol.
	PeerAddr string `json:"peer_addr"`
	// OpsAddr is the host:port of the operators' HTTP port.
	OpsAddr string `json:"ops_addr"`
	Leaving bool   `json:"leaving"`
}

// Errors of the platform's service.
var (
	// ErrConflict: the row's version differs; read it again.
	ErrConflict = errors.New("tablestore: row changed; read it again")
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.New("tablestore: not found")
	// ErrUnavailable: no answer; a put may have taken effect, so read back.
	ErrUnavailable = errors.New("tablestore: no answer; a put may have taken effect, so read it back")
)

// Table is the transactional table service.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// Put is conditional on ifVersion; 0 means that the row must be absent.
	Put(ctx context.Context, key string, ifVersion uint64, value []byte) (Row, error)
	List(ctx context.Context, prefix string) ([]Row, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, data []byte) error
}

// InstanceRegistry is the lagging list of instances.
type InstanceRegistry interface {
	List(ctx context.Context) ([]InstanceEntry, error)
	Register(ctx context.Context, l InstanceEntry) error
}
