// Package catalog holds what the operator and the endpoints have published:
// routes, client accounts, groups and endpoints. Values are immutable once
// published, so that traffic reads them without locks.
package catalog

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Consistency is the rule for the reads of a route.
type Consistency uint8

// The freshness rules.
const (
	// Latest reads see every acknowledged commit, so they run at the primary.
	Latest Consistency = iota
	// BoundedStaleness reads see every commit acknowledged longer than MaxStaleness ago.
	BoundedStaleness
	// ReadYourWrites reads are Bounded and see all commits of their session.
	ReadYourWrites
)

// String returns the rule as logs and metrics name it.
func (f Consistency) String() string {
	switch f {
	case Latest:
		return "latest"
	case BoundedStaleness:
		return "bounded"
	default:
		return "own_writes"
	}
}

// Route says how the statements for one database are handled.
type Route struct {
	Database    string
	Group       fleet.GroupID
	Consistency Consistency
	// Open routes accept callers without a key.
	Open bool
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// LatencyObjective is the latency objective of a whole operation.
	LatencyObjective time.Duration
	// Priority orders waiting operations; 0 goes first.
	Priority     int
	MaxStaleness time.Duration
}

// Account is a client account's limits over all instances together.
type Account struct {
	ID fleet.AccountID
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Tolerance is by how much an account may exceed its limits in a window.
type Tolerance struct {
	Window time.Duration
	// Factor is the excess as a part of what the limits allow in a window.
	Factor float64
	// ExtraOperations is an excess on top.
	ExtraOperations float64
}

// Group is one primary with its replicas.
type Group struct {
	ID fleet.GroupID
	// MaxConnections is each endpoint's ceiling over all instances.
	MaxConnections int
	SyncReplicas   int
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version uint64
	// Routes are by database name.
	Routes   map[string]Route
	Accounts map[fleet.AccountID]Account
	// Keys give the account of each key in force.
	Keys   map[string]fleet.AccountID
	Groups map[fleet.GroupID]Group
	// TransactionIdleTimeout bounds the pause between statements of a transaction.
	TransactionIdleTimeout time.Duration
	// Raw is the published form, passed on to instances without the store.
	Raw []byte
}

// Endpoint is an endpoint's entry in the platform's list.
type Endpoint struct {
	ID         fleet.EndpointID
	Group      fleet.GroupID
	Addr       string
	DataCentre fleet.DataCentre
	Slots      int
	// Leaving endpoints accept no new work and end soon.
	Leaving bool
	// Primary is the endpoint's own opinion, which may be out of date.
	Primary bool
	// WarmUp is how long after its start the endpoint stays slow.
	WarmUp time.Duration
}

// Leadership is the agreed record of a group's primary.
type Leadership struct {
	Group fleet.GroupID
	// Version is the store's version of the record. It grows with every change
	// and serves as the fence number of the change's holder.
	Version uint64
	Term    fleet.Term
	Primary fleet.EndpointID
	// Former is the primary before Primary.
	Former fleet.EndpointID
	// Holder is the instance that carries out the change.
	Holder fleet.InstanceID
	// Settled is false while a change of primary is under way. No statement
	// may be sent to any primary of the group meanwhile.
	Settled bool
	// Planned changes wait for open transactions and lose no commit.
	Planned bool
}

// Member is an instance of the fleet.
type Member struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Addr is the host:port of the protocol between instances.
	Addr string
}
