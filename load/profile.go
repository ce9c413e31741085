// Package load drives vanillahinge through its caller port with an open-loop
// load, injects faults on a schedule, records the history of every key and
// checks it, and reports the four measures of the design page.
package load

import (
	"fmt"
	"time"
)

// Account is one client account of a load.
type Account struct {
	ID  string `yaml:"id" json:"id"`
	Key string `yaml:"key" json:"-"`
	// Offered is the arrival rate in requests per second.
	Offered float64 `yaml:"offered" json:"offered"`
	// Rate and Burst are what the bundle allows the account.
	Rate  float64 `yaml:"rate" json:"rate"`
	Burst float64 `yaml:"burst" json:"burst"`
	// Weight is the account's share in fair queueing.
	Weight int `yaml:"weight" json:"weight"`
	// Sessions is how many connections carry the account's requests.
	Sessions int `yaml:"sessions" json:"sessions"`
}

// Profile is the shape of one operator's load.
type Profile struct {
	Name string `yaml:"name" json:"name"`
	// DataCentres are the names of the data centres of the region.
	DataCentres []string `yaml:"data_centres" json:"data_centres"`
	// BetweenDataCentres and ToClients are one-way latencies.
	BetweenDataCentres time.Duration `yaml:"between_data_centres" json:"between_data_centres"`
	ToClients          time.Duration `yaml:"to_clients" json:"to_clients"`
	// Groups names the database groups; each has one database of its name.
	Groups []string `yaml:"groups" json:"groups"`
	// Connections is the ceiling per endpoint, ServiceTime the time that a
	// statement keeps one of the 3 slots.
	Connections int           `yaml:"connections" json:"connections"`
	ServiceTime time.Duration `yaml:"service_time" json:"service_time"`
	Instances   int           `yaml:"instances" json:"instances"`
	Accounts    []Account     `yaml:"accounts" json:"accounts"`
	// Writes and AgedReads are shares of the requests; the rest are reads
	// within the session.
	Writes    float64       `yaml:"writes" json:"writes"`
	AgedReads float64       `yaml:"aged_reads" json:"aged_reads"`
	MaxAge    time.Duration `yaml:"max_age" json:"max_age"`
	// RoamEvery is the mean number of requests between two moves of a session
	// to another instance. DropToken is the share of moves without the token.
	RoamEvery float64 `yaml:"roam_every" json:"roam_every"`
	DropToken float64 `yaml:"drop_token" json:"drop_token"`
	// Keys is the number of keys per account and database.
	Keys int `yaml:"keys" json:"keys"`
}

// accountShares are the shares of the 8 client accounts: a few large ones.
var accountShares = []float64{0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02}

// accounts splits an offered load. Each account's rate is twice what it
// offers, so that normal operation stays well inside the rates.
func accounts(prefix string, offered float64) []Account {
	var out []Account
	for i, share := range accountShares {
		o := offered * share
		out = append(out, Account{
			ID: fmt.Sprintf("%s-%d", prefix, i+1), Key: fmt.Sprintf("load-key-%s-%d-0123456789", prefix, i+1),
			Offered: o, Rate: 2 * o, Burst: max(2*o, 20), Weight: max(1, int(share*100)), Sessions: max(4, int(share*40)),
		})
	}
	return out
}

// Profiles are the sizes of today of section 1.4 of the design page.
var Profiles = map[string]Profile{
	"mohamentes": {
		Name: "mohamentes", DataCentres: []string{"kecskemet", "szeged", "bekescsaba"},
		BetweenDataCentres: 1500 * time.Microsecond, ToClients: time.Millisecond,
		Groups: []string{"bookings", "crews", "routes"}, Connections: 20, ServiceTime: time.Millisecond, Instances: 4,
		Accounts: accounts("crew", 400), Writes: 0.2, AgedReads: 0.2, MaxAge: 2 * time.Second,
		RoamEvery: 200, DropToken: 0.1, Keys: 20,
	},
	"siam-canvas": {
		Name: "siam-canvas", DataCentres: []string{"bangkok-1", "bangkok-2", "bangkok-3"},
		BetweenDataCentres: 500 * time.Microsecond, ToClients: 3 * time.Millisecond,
		Groups: []string{"orders", "profiles", "payouts"}, Connections: 40, ServiceTime: time.Millisecond, Instances: 4,
		Accounts: accounts("studio", 600), Writes: 0.2, AgedReads: 0.1, MaxAge: time.Second,
		RoamEvery: 100, DropToken: 0.1, Keys: 20,
	},
}
