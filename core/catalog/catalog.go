// Package catalog defines the configuration that operators publish and the
// records of the fleet: routes, client accounts, groups, endpoints, primaries and
// instances. Values are immutable once published, so that request handling reads
// them without locks.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

// Consistency is the consistency level of the reads of a route.
type Consistency uint8

// Consistency levels.
const (
	// Latest reads see every acknowledged commit. They run at the primary.
	Latest Consistency = iota
	// BoundedStaleness reads see every commit that was acknowledged longer than
	// MaxStaleness ago.
	BoundedStaleness
	// ReadYourWrites reads see what BoundedStaleness reads see, and all commits of
	// their own session.
	ReadYourWrites
)

// String returns the name of the level in logs and metrics.
func (c Consistency) String() string {
	switch c {
	case Latest:
		return "latest"
	case BoundedStaleness:
		return "bounded"
	default:
		return "own_writes"
	}
}

// Route configures the handling of the statements for one database.
type Route struct {
	Database    string
	Group       fleet.GroupID
	Consistency Consistency
	// Open allows callers without a key.
	Open bool
	// StatementTimeout limits the duration of one statement.
	StatementTimeout time.Duration
	// LatencyObjective is the latency objective of a whole operation.
	LatencyObjective time.Duration
	// Priority orders waiting operations; lower values go first.
	Priority int
	// MaxStaleness is the bound of BoundedStaleness and ReadYourWrites.
	MaxStaleness time.Duration
	// Homes restricts the regions in which the route's statements may be handled.
	Homes topology.Homes
}

// Account is a client account with its rate limit over all instances together.
type Account struct {
	ID fleet.AccountID
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Tolerance is the amount by which an account may exceed its limits in a window.
type Tolerance struct {
	Window time.Duration
	// Factor is the allowed excess as a share of what the limits admit in a window.
	Factor float64
	// ExtraOperations is allowed in addition to the share.
	ExtraOperations float64
}

// Group is a database group: a primary and its replicas.
type Group struct {
	ID fleet.GroupID
	// MaxConnections is the limit on connections to each endpoint from all
	// instances together.
	MaxConnections int
	SyncReplicas   int
	// WarmUp is how long an endpoint counts as cold after its start, and ColdRate the number
	// of statements a second that a cold endpoint may get from all instances together; 0
	// means no limit.
	WarmUp   time.Duration
	ColdRate float64
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version uint64
	// Routes maps database names to routes.
	Routes   map[string]Route
	Accounts map[fleet.AccountID]Account
	// Keys maps each valid key to its account.
	Keys   map[string]fleet.AccountID
	Groups map[fleet.GroupID]Group
	// AccountHomes restricts the regions in which the statements of an account may be
	// handled. Accounts that are not restricted are missing.
	AccountHomes map[fleet.AccountID]topology.Homes
	// Problems lists the parts of the configuration that cannot be followed; everything else
	// is in force.
	Problems []Problem
	// TransactionIdleTimeout limits the pause between statements of a transaction.
	TransactionIdleTimeout time.Duration
	// Raw is the encoded form as published. It is passed on to instances that
	// cannot reach the store.
	Raw []byte
}

// Problem is a part of a configuration that is ignored.
type Problem struct {
	// Owner names the route, account or group, and Field the setting.
	Owner, Field string
	// Err says what is wrong and how to correct it.
	Err error
}

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("%.60q: %s: %v", p.Owner, p.Field, p.Err) }

// Unwrap returns the reason.
func (p Problem) Unwrap() error { return p.Err }

// Homes returns the restriction for the statements of an account on a route.
func (c *Catalog) Homes(r Route, account fleet.AccountID) topology.Homes {
	return r.Homes.And(c.AccountHomes[account])
}

// Endpoint is the entry of an endpoint in the platform's list.
type Endpoint struct {
	ID         fleet.EndpointID
	Group      fleet.GroupID
	Addr       string
	DataCentre fleet.DataCentre
	Slots      int
	// Leaving is set while the endpoint accepts no new work and is about to be
	// removed.
	Leaving bool
	// Primary is the role that the endpoint reports, which may be out of date.
	Primary bool
	// WarmUp is how long the endpoint is slow after its start.
	WarmUp time.Duration
	// Born identifies the start of the endpoint's process, in milliseconds, and Sequence
	// counts what the process has reported.
	Born, Sequence int64
}

// CompareReport orders two entries of the same endpoint: the one reported later is
// greater.
func (e Endpoint) CompareReport(o Endpoint) int {
	return cmp.Or(cmp.Compare(e.Born, o.Born), cmp.Compare(e.Sequence, o.Sequence))
}

// Leadership is the record in the store of the primary of a group.
type Leadership struct {
	Group fleet.GroupID
	// Version is the store's version of the record. It increases with every change
	// and is the fencing token of the instance that carries out the change.
	Version uint64
	// Revision counts the writes of the record, each on top of the newest record that
	// the writer knew, and Era is the era of the store in which it was written; see
	// Order.
	Revision uint64 `json:",omitempty"`
	Era      uint64 `json:",omitempty"`
	// RenewedEra is the era in which the record was last written again because the
	// store had come back from a copy, 0 if never.
	RenewedEra uint64 `json:",omitempty"`
	Term       fleet.Term
	Primary    fleet.EndpointID
	// PrimaryTerm is the log term with which the last primary took over, 0 if it is not known:
	// there has been no change, and none that may have promoted an endpoint. Any endpoint that
	// leads a later one was promoted since.
	PrimaryTerm fleet.Term `json:",omitempty"`
	// Former is the primary before Primary.
	Former fleet.EndpointID
	// Holder is the instance that carries out the change, and Claim identifies its claim: the
	// store may apply an earlier claim of the same instance late.
	Holder fleet.InstanceID
	Claim  uint64 `json:",omitempty"`
	// Resumed is set in a claim by which an instance took over the change of an earlier process
	// of its own; see takeover.OwnChange.
	Resumed bool `json:",omitempty"`
	// Settled is false while a change of primary is in progress. Until it is true
	// no statement may be sent to any primary of the group.
	Settled bool
	// Planned marks a change that waits for open transactions and loses no commit.
	Planned bool
	// Confirming is set in an unsettled record while its holder may not promote yet.
	// ConfirmingSince is the order of the first of the successive confirming records, and
	// MayHavePromoted is set if a holder before that one may have promoted an endpoint. See
	// package takeover.
	Confirming      bool   `json:",omitempty"`
	ConfirmingSince uint64 `json:",omitempty"`
	MayHavePromoted bool   `json:",omitempty"`
	// Users are the instances that may send statements to the primary, and that have
	// to confirm a change. They are in ascending order.
	Users []fleet.InstanceID `json:",omitempty"`
	// Removed are those of the Users that must not send any more, because they are
	// about to be removed. They are in ascending order.
	Removed []fleet.InstanceID `json:",omitempty"`
	// Unacknowledged is set while the Users include some that registered although most of the
	// others did not answer. A majority of them may not know each other then.
	Unacknowledged bool `json:",omitempty"`
	// Replicas are the endpoints that may hold acknowledged commits, nil if they are not known
	// or the group has no synchronous replicas.
	Replicas *ReplicaSet `json:",omitempty"`
}

// ReplicaSet names the endpoints of a group with synchronous replicas that count for the commits
// acknowledged so far. Each of these commits is in the logs of at least Copies members, beside
// that of the endpoint that was primary when it was acknowledged.
type ReplicaSet struct {
	Copies int
	// Members are in ascending order of their ids. The primary is one of them.
	Members []ReplicaMember
}

// ReplicaMember is an endpoint of a ReplicaSet, as it was last listed.
type ReplicaMember struct {
	ID         fleet.EndpointID
	Addr       string
	DataCentre fleet.DataCentre `json:",omitempty"`
}

// Equal reports whether two sets are the same. nil is no empty set.
func (s *ReplicaSet) Equal(o *ReplicaSet) bool {
	if s == nil || o == nil {
		return s == o
	}
	return s.Copies == o.Copies && slices.Equal(s.Members, o.Members)
}

// Has reports whether an endpoint is a member.
func (s *ReplicaSet) Has(id fleet.EndpointID) bool {
	return s != nil && slices.ContainsFunc(s.Members, func(m ReplicaMember) bool { return m.ID == id })
}

// MayUse reports whether an instance may send statements to the primary.
func (l Leadership) MayUse(id fleet.InstanceID) bool {
	_, user := slices.BinarySearch(l.Users, id)
	_, removed := slices.BinarySearch(l.Removed, id)
	return user && !removed
}

// Order returns a number that increases from each record of the group to the next, also
// if the store lost the former one. No two different records of a group have the same one.
func (l Leadership) Order() uint64 { return kvstore.Version(l.Era, l.Revision) }

// Compare orders the records of a group: the newer one is greater. Of two with the same
// order and version the settled one is newer.
func (l Leadership) Compare(o Leadership) int {
	settled := 0
	switch {
	case l.Settled && !o.Settled:
		settled = 1
	case o.Settled && !l.Settled:
		settled = -1
	}
	return cmp.Or(cmp.Compare(l.Order(), o.Order()), cmp.Compare(l.Version, o.Version), settled)
}

// Next returns the record with the revision of a write on top of it in an era of the store.
// The revision after that of an unsettled record belongs to Settle: its holder announces the
// settled record before the store has it, so that another write may be made on top of the
// unsettled one.
func (l Leadership) Next(era uint64) Leadership {
	if !l.Settled {
		l.Revision++
	}
	l.Revision++
	l.Era = max(l.Era, era)
	return l
}

// Settle returns the settled record of a change, which names the primary and the log term with
// which it leads. Only the holder of the unsettled record may call it, and only once.
func (l Leadership) Settle(primary fleet.EndpointID, term fleet.Term) Leadership {
	l.Primary, l.PrimaryTerm, l.Settled = primary, term, true
	l.Revision++
	return l
}

// Equal reports whether two records are the same.
func (l Leadership) Equal(o Leadership) bool {
	return slices.Equal(l.Users, o.Users) && slices.Equal(l.Removed, o.Removed) && l.Group == o.Group && l.Version == o.Version && l.Term == o.Term && l.Primary == o.Primary && l.PrimaryTerm == o.PrimaryTerm &&
		l.Former == o.Former && l.Revision == o.Revision && l.Era == o.Era && l.RenewedEra == o.RenewedEra && l.Holder == o.Holder && l.Claim == o.Claim && l.Resumed == o.Resumed && l.Settled == o.Settled && l.Planned == o.Planned &&
		l.Confirming == o.Confirming && l.ConfirmingSince == o.ConfirmingSince && l.MayHavePromoted == o.MayHavePromoted && l.Unacknowledged == o.Unacknowledged && l.Replicas.Equal(o.Replicas)
}

// WithUser returns the record with another user, or with one that was about to be
// removed.
func (l Leadership) WithUser(id fleet.InstanceID) Leadership {
	l.Removed = slices.DeleteFunc(slices.Clone(l.Removed), func(r fleet.InstanceID) bool { return r == id })
	if i, found := slices.BinarySearch(l.Users, id); !found {
		l.Users = slices.Insert(slices.Clone(l.Users), i, id)
	}
	return l
}

// Member is an instance of the fleet.
type Member struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Addr is the host:port at which the instance serves calls from other instances,
	// ForwardAddr the one at which it runs their statements.
	Addr, ForwardAddr string
	// Capacity is the processor share of the instance's machine, in cores.
	Capacity float64
	// LinkMbps is the speed of the machine's link in Mbit/s; 0 if it is not known.
	LinkMbps float64 `json:",omitempty"`
	// Incarnation identifies the process of the instance. Left is set when that process has
	// stopped as asked; the next one registers itself before it acts for the fleet.
	Incarnation int64 `json:",omitempty"`
	Left        bool  `json:",omitempty"`
	// ReadsHomes is set if the instance understands the homes of forwarded statements.
	ReadsHomes bool `json:",omitempty"`
}
