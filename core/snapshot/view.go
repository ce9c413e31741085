// Package snapshot defines the immutable snapshot that the control goroutine
// publishes and traffic goroutines read. A View and everything it points to
// is never changed after it has been published.
package snapshot

import (
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Snapshot is what an instance knows at one moment.
type Snapshot struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// BundleVersion is zero before a bundle is in force.
	BundleVersion uint64
	// FreshUntil is the end of the current freshness proof. Keyed requests
	// are refused after it. Compare with time.Now (monotonic).
	FreshUntil time.Time
	// Draining is set once the instance has started to shut down.
	Draining bool

	Accounts  map[fleet.AccountID]*Account
	Databases map[string]*Database
	Groups    map[fleet.GroupID]*Group
	// Withdrawn holds keys withdrawn by an urgent withdrawal.
	Withdrawn map[fleet.KeyID]bool
	// TokenKeys signs (first) and verifies (all) session tokens.
	TokenKeys [][]byte
	// FleetSlots is N, and OwnSlots how many of them this instance may use.
	FleetSlots, OwnSlots int
	// Peers are the other instances that can be reached.
	Peers []Peer
}

// Peer is another instance.
type Peer struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Addr is the host:port of the peer protocol.
	Addr string
}

// Account is a client account as the bundle describes it.
type Account struct {
	ID fleet.AccountID
	// Weight is the share in fair queueing, at least 1.
	Weight int
	// Rate is in requests per second over the fleet, Burst in requests.
	Rate, Burst float64
	Keys        []SCRAMVerifier
	// Databases lists the databases that the account may reach.
	Databases map[string]bool
}

// SCRAMVerifier is a SCRAM-SHA-256 verifier; the key itself is not known.
type SCRAMVerifier struct {
	ID         fleet.KeyID
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// Database is a name that callers connect to.
type Database struct {
	Name  string
	Group fleet.GroupID
	// Open marks a route that needs no key.
	Open bool
	// MaxAge bounds the age of replica reads of sessions that set none; 0
	// means no bound.
	MaxAge time.Duration
}

// Group is a database group with what is known of its endpoints.
type Group struct {
	ID fleet.GroupID
	// Term and Primary are the latest known; Primary is empty while none is.
	Term      fleet.Term
	Primary   fleet.EndpointID
	Endpoints []*Endpoint
}

// Endpoint is one endpoint with its last known status.
type Endpoint struct {
	ID         fleet.EndpointID
	DataCentre fleet.DataCentre
	// Addr is the host:port of the SQL port.
	Addr    string
	Leaving bool
	// Slots is how many statements the endpoint runs at a time.
	Slots int
	// MaxConns is this instance's share of the endpoint's connections,
	// without the status connection.
	MaxConns int
	Status   fleet.EndpointStatus
	// StatusAt is when Status arrived; the zero time means never.
	StatusAt time.Time
	// AppliedAsOf is the latest time s such that the endpoint has applied
	// everything that the primary had at s; its proved age is now - s.
	AppliedAsOf time.Time
}

// Source gives the current view. Load never returns nil.
type Source interface {
	Load() *Snapshot
}

// Publisher publishes views through an atomic pointer.
type Publisher struct{ p atomic.Pointer[Snapshot] }

// NewPublisher returns a holder with a first view.
func NewPublisher(v *Snapshot) *Publisher {
	h := &Publisher{}
	h.p.Store(v)
	return h
}

// Load returns the view published last.
func (h *Publisher) Load() *Snapshot { return h.p.Load() }

// Publish replaces the view. Only the control goroutine calls it.
func (h *Publisher) Publish(v *Snapshot) { h.p.Store(v) }
