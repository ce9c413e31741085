// Package bundle defines the configuration documents that operators publish:
// bundles and withdrawals. It decodes, validates, signs, compares and converts
// them, and does no I/O.
package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/vanillahinge/vanillahinge/bundle/strictyaml"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Document kinds, the values of the kind field.
const (
	KindBundle     = "bundle"
	KindWithdrawal = "withdrawal"
)

// Document is the decoded content of a bundle.
type Document struct {
	Kind string `yaml:"kind" json:"kind"`
	// Version increases with every bundle; an instance never adopts a lower
	// version than the one in force.
	Version uint64 `yaml:"version" json:"version"`
	// FleetSlots is the number of equal shares, one per slot, into which
	// account rates and endpoint connections are divided (N).
	FleetSlots int         `yaml:"fleet_slots" json:"fleet_slots"`
	Accounts   []Account   `yaml:"accounts" json:"accounts"`
	Databases  []Database  `yaml:"databases" json:"databases"`
	Groups     []Group     `yaml:"groups" json:"groups"`
	TokenKeys  []TokenKey  `yaml:"token_keys" json:"token_keys"`
	Objectives []Objective `yaml:"objectives,omitempty" json:"objectives,omitempty"`
}

// Account is a client account.
type Account struct {
	ID fleet.AccountID `yaml:"id" json:"id"`
	// Weight is the account's weight in fair queueing, at least 1.
	Weight int `yaml:"weight" json:"weight"`
	// Rate is in requests per second across the fleet; Burst is in requests.
	Rate      float64  `yaml:"rate" json:"rate"`
	Burst     float64  `yaml:"burst" json:"burst"`
	Keys      []Key    `yaml:"keys" json:"keys"`
	Databases []string `yaml:"databases" json:"databases"`
}

// Key is an account's authentication key, stored as a SCRAM-SHA-256 verifier.
type Key struct {
	ID       fleet.KeyID `yaml:"id" json:"id"`
	Verifier Secret      `yaml:"verifier" json:"verifier"`
}

// Database is a database name that clients connect to.
type Database struct {
	Name  string        `yaml:"name" json:"name"`
	Group fleet.GroupID `yaml:"group" json:"group"`
	// Open allows connections to the database without a key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// MaxAge is the default limit on the age of data read from replicas, for
	// sessions that set no limit themselves; 0 means no limit.
	MaxAge strictyaml.Duration `yaml:"max_age,omitempty" json:"max_age,omitempty"`
}

// Group is a database group: a primary and its replicas.
type Group struct {
	ID        fleet.GroupID `yaml:"id" json:"id"`
	Endpoints []Endpoint    `yaml:"endpoints" json:"endpoints"`
}

// Endpoint is a database server of a group.
type Endpoint struct {
	ID         fleet.EndpointID `yaml:"id" json:"id"`
	DataCentre fleet.DataCentre `yaml:"data_centre" json:"data_centre"`
	// Addr is the IP address and port on which the endpoint accepts SQL.
	Addr string `yaml:"addr" json:"addr"`
	// Slots is the number of statements that the endpoint runs concurrently.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the endpoint's connection limit, summed over all
	// instances.
	Connections int  `yaml:"connections" json:"connections"`
	Leaving     bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// TokenKey is a key for session tokens. The first key in the list signs new
// tokens; every key in the list is accepted for verification.
type TokenKey struct {
	ID string `yaml:"id" json:"id"`
	// Secret is the base64 encoding of at least 32 bytes.
	Secret Secret `yaml:"secret" json:"secret"`
}

// Objective is a service-level objective of one account on one route.
type Objective struct {
	Account fleet.AccountID `yaml:"account" json:"account"`
	// Route is a database name.
	Route string `yaml:"route" json:"route"`
	// Availability is the target fraction of requests that are answered, such
	// as 0.999.
	Availability float64 `yaml:"availability" json:"availability"`
	// Latency is the target that a fraction LatencyShare of the requests must
	// meet.
	Latency      strictyaml.Duration `yaml:"latency" json:"latency"`
	LatencyShare float64             `yaml:"latency_share" json:"latency_share"`
}

// Withdrawal is a set of revoked key ids. Withdrawals are cumulative: a later
// one never restores a key.
type Withdrawal struct {
	Kind string        `yaml:"kind" json:"kind"`
	Keys []fleet.KeyID `yaml:"keys" json:"keys"`
	// Reason is included in decision records.
	Reason string `yaml:"reason" json:"reason"`
}

// Secret is a string whose value is omitted from formatted output, logs and
// diffs.
type Secret string

// String returns a placeholder instead of the value.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder instead of the value for %#v.
func (Secret) GoString() string { return "[secret]" }

// Canonical returns the bytes that signatures cover: JSON with a fixed field
// order and every set sorted, so that equal content yields identical bytes.
// Token keys keep their order because the first one signs.
func (d *Document) Canonical() ([]byte, error) {
	c := *d
	c.Accounts = sortedCopy(d.Accounts, func(a, b Account) bool { return a.ID < b.ID })
	for i := range c.Accounts {
		c.Accounts[i].Keys = sortedCopy(c.Accounts[i].Keys, func(a, b Key) bool { return a.ID < b.ID })
		c.Accounts[i].Databases = sortedCopy(c.Accounts[i].Databases, func(a, b string) bool { return a < b })
	}
	c.Databases = sortedCopy(d.Databases, func(a, b Database) bool { return a.Name < b.Name })
	c.Groups = sortedCopy(d.Groups, func(a, b Group) bool { return a.ID < b.ID })
	for i := range c.Groups {
		c.Groups[i].Endpoints = sortedCopy(c.Groups[i].Endpoints, func(a, b Endpoint) bool { return a.ID < b.ID })
	}
	c.Objectives = sortedCopy(d.Objectives, func(a, b Objective) bool {
		if a.Account != b.Account {
			return a.Account < b.Account
		}
		return a.Route < b.Route
	})
	return marshalJSON(&c)
}

// Canonical returns the bytes that signatures cover.
func (w *Withdrawal) Canonical() ([]byte, error) {
	c := *w
	c.Keys = sortedCopy(w.Keys, func(a, b fleet.KeyID) bool { return a < b })
	return marshalJSON(&c)
}

func sortedCopy[T any](in []T, less func(a, b T) bool) []T {
	out := append([]T{}, in...)
	sort.SliceStable(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

func marshalJSON(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("bundle: canonical form: %w", err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// decodeJSON decodes exactly one JSON value. Unknown fields and trailing data
// are errors.
func decodeJSON(data []byte, v any) error {
	if len(data) > strictyaml.MaxSize {
		return fmt.Errorf("document has %d bytes; the limit is %d bytes", len(data), strictyaml.MaxSize)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if dec.More() {
		return fmt.Errorf("trailing data after the document")
	}
	return nil
}
