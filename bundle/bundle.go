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

// The kinds of document.
const (
	KindBundle     = "bundle"
	KindWithdrawal = "withdrawal"
)

// Document is the content of a bundle.
type Document struct {
	Kind string `yaml:"kind" json:"kind"`
	// Version grows with every bundle; an instance never adopts a lower one.
	Version uint64 `yaml:"version" json:"version"`
	// FleetSlots is N, the number of shares of rates and connections.
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
	// Weight is the share in fair queueing, at least 1.
	Weight int `yaml:"weight" json:"weight"`
	// Rate is in requests per second over the fleet, Burst in requests.
	Rate      float64  `yaml:"rate" json:"rate"`
	Burst     float64  `yaml:"burst" json:"burst"`
	Keys      []Key    `yaml:"keys" json:"keys"`
	Databases []string `yaml:"databases" json:"databases"`
}

// Key is one key of an account, held as a SCRAM-SHA-256 verifier.
type Key struct {
	ID       fleet.KeyID `yaml:"id" json:"id"`
	Verifier Secret      `yaml:"verifier" json:"verifier"`
}

// Database is a name that callers connect to.
type Database struct {
	Name  string        `yaml:"name" json:"name"`
	Group fleet.GroupID `yaml:"group" json:"group"`
	// Open marks a route that needs no key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// MaxAge bounds the age of replica reads of sessions that set none; 0
	// means no bound.
	MaxAge strictyaml.Duration `yaml:"max_age,omitempty" json:"max_age,omitempty"`
}

// Group is a database group.
type Group struct {
	ID        fleet.GroupID `yaml:"id" json:"id"`
	Endpoints []Endpoint    `yaml:"endpoints" json:"endpoints"`
}

// Endpoint is one endpoint of a group.
type Endpoint struct {
	ID         fleet.EndpointID `yaml:"id" json:"id"`
	DataCentre fleet.DataCentre `yaml:"data_centre" json:"data_centre"`
	// Addr is the IP address and port of the SQL port.
	Addr string `yaml:"addr" json:"addr"`
	// Slots is how many statements the endpoint runs at a time.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the endpoint's ceiling over all instances.
	Connections int  `yaml:"connections" json:"connections"`
	Leaving     bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// TokenKey signs session tokens. The first of the list signs, all verify.
type TokenKey struct {
	ID string `yaml:"id" json:"id"`
	// Secret is base64 of at least 32 bytes.
	Secret Secret `yaml:"secret" json:"secret"`
}

// Objective is a service-level objective of one account on one route.
type Objective struct {
	Account fleet.AccountID `yaml:"account" json:"account"`
	// Route is a database name.
	Route string `yaml:"route" json:"route"`
	// Availability is the share of requests to be answered, such as 0.999.
	Availability float64 `yaml:"availability" json:"availability"`
	// Latency is to be met by LatencyShare of the requests.
	Latency      strictyaml.Duration `yaml:"latency" json:"latency"`
	LatencyShare float64             `yaml:"latency_share" json:"latency_share"`
}

// Withdrawal is a set of withdrawn key ids. Withdrawals only add up.
type Withdrawal struct {
	Kind string        `yaml:"kind" json:"kind"`
	Keys []fleet.KeyID `yaml:"keys" json:"keys"`
	// Reason is shown in decision records.
	Reason string `yaml:"reason" json:"reason"`
}

// Secret is a string that formatting, logging and diffs never show.
type Secret string

// String hides the value.
func (Secret) String() string { return "[secret]" }

// GoString hides the value from %#v.
func (Secret) GoString() string { return "[secret]" }

// Canonical returns the bytes that signatures cover: JSON with fixed field
// order and every set sorted, so that the same content has the same bytes.
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

// decodeJSON decodes one JSON value with no unknown fields and nothing after.
func decodeJSON(data []byte, v any) error {
	if len(data) > strictyaml.MaxSize {
		return fmt.Errorf("document has %d bytes, more than %d", len(data), strictyaml.MaxSize)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if dec.More() {
		return fmt.Errorf("data after the document")
	}
	return nil
}
