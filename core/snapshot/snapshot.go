// Package snapshot defines the view of control state that the control goroutine
// publishes and that request handling reads without locks. A Snapshot and
// everything it points to are immutable once published.
package snapshot

import (
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Snapshot is the control state of an instance at one point in time.
type Snapshot struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// BundleVersion is zero until the first bundle is in force.
	BundleVersion uint64
	// FreshUntil is when the current freshness proof expires. Keyed requests are
	// refused after it. Compare it with time.Now, by the monotonic clock.
	FreshUntil time.Time
	// Draining is set once the instance has started to shut down.
	Draining bool

	Accounts  map[fleet.AccountID]*Account
	Databases map[string]*Database
	Groups    map[fleet.GroupID]*Group
	// Withdrawn holds the keys revoked by urgent withdrawals.
	Withdrawn map[fleet.KeyID]bool
	// TokenKeys verify session tokens. The first one also signs them.
	TokenKeys [][]byte
	// FleetSlots is the number of fleet slots, OwnSlots the number of those that
	// this instance may use.
	FleetSlots, OwnSlots int
	// Peers are the other instances that can be reached.
	Peers []Peer
}

// Peer is another instance of the fleet.
type Peer struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Addr is the host:port at which the instance serves the peer protocol.
	Addr string
}

// Account is a client account as configured in the bundle.
type Account struct {
	ID fleet.AccountID
	// Weight is the account's weight in fair queueing, at least 1.
	Weight int
	// Rate, in requests per second, and Burst, in requests, apply to the whole
	// fleet.
	Rate, Burst float64
	Keys        []SCRAMVerifier
	// Databases holds the names of the databases that the account may use.
	Databases map[string]bool
}

// SCRAMVerifier verifies an account's key by SCRAM-SHA-256 without storing the
// key itself.
type SCRAMVerifier struct {
	ID         fleet.KeyID
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// Database is a database name that callers connect to.
type Database struct {
	Name  string
	Group fleet.GroupID
	// Open allows callers without a key.
	Open bool
	// MaxAge bounds the staleness of replica reads in sessions that set no bound
	// themselves; 0 means no bound.
	MaxAge time.Duration
}

// Group is a database group and the known state of its endpoints.
type Group struct {
	ID fleet.GroupID
	// Term and Primary are the latest known. Primary is empty while the group has
	// no known primary.
	Term      fleet.Term
	Primary   fleet.EndpointID
	Endpoints []*Endpoint
}

// Endpoint is an endpoint and its last known status.
type Endpoint struct {
	ID         fleet.EndpointID
	DataCentre fleet.DataCentre
	// Addr is the host:port of the SQL port.
	Addr    string
	Leaving bool
	// Slots is the number of statements that the endpoint runs concurrently.
	Slots int
	// MaxConns is this instance's share of the endpoint's connections, not
	// counting the status connection.
	MaxConns int
	Status   fleet.EndpointStatus
	// StatusAt is when Status arrived; zero if it never did.
	StatusAt time.Time
	// AppliedAsOf is the latest time s such that the endpoint is known to have
	// applied everything that the primary had at s. The replica's staleness is at
	// most now - s.
	AppliedAsOf time.Time
}

// Source provides the current snapshot.
type Source interface {
	// Load never returns nil.
	Load() *Snapshot
}

// Publisher publishes snapshots through an atomic pointer.
type Publisher struct{ current atomic.Pointer[Snapshot] }

// NewPublisher returns a publisher whose first snapshot is s.
func NewPublisher(s *Snapshot) *Publisher {
	p := &Publisher{}
	p.current.Store(s)
	return p
}

// Load returns the snapshot published last.
func (p *Publisher) Load() *Snapshot { return p.current.Load() }

// Publish replaces the snapshot. Only the control goroutine may call it.
func (p *Publisher) Publish(s *Snapshot) { p.current.Store(s) }
