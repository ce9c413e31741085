// Package testbed starts the whole system as processes on loopback: the
// platform stand-in, endpoint stand-ins and instances, with a signed bundle in
// force. The demo, the failure tests and the experiments share it.
//
//	bed, err := testbed.Start(ctx, testbed.Config{BinDir: "bin"})
//	defer bed.Close()
//	bed.Instances[0].Kill()
package testbed

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/bundle/strictyaml"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Profile describes the size and the network of a testbed.
type Profile struct {
	Name        string
	DataCentres []fleet.DataCentre
	// Groups are the ids of the database groups; each also names its database.
	Groups []fleet.GroupID
	// Connections is the ceiling of each endpoint, Slots how many statements
	// it runs at a time.
	Connections, Slots int
	// BetweenDataCentres is the one-way latency between data centres.
	BetweenDataCentres time.Duration
	// Accounts lists the client accounts.
	Accounts []Account
}

// Account is a client account of a testbed; its key is "key-" and its id.
type Account struct {
	ID     fleet.AccountID
	Weight int
	// Rate is in requests per second over the fleet, Burst in requests.
	Rate, Burst float64
}

// Mohamentes is the profile of section 1.4 of the design.
func Mohamentes() Profile {
	return Profile{
		Name:        "mohamentes",
		DataCentres: []fleet.DataCentre{"kecskemet", "szeged", "bekescsaba"},
		Groups:      []fleet.GroupID{"booking", "crew", "route"},
		Connections: 20, Slots: 3, BetweenDataCentres: 1500 * time.Microsecond,
		Accounts: accounts("portal", "dispatch", "tablets", "phone", "billing", "reports", "partner", "archive"),
	}
}

// SiamCanvas is the profile of section 1.4 of the design.
func SiamCanvas() Profile {
	return Profile{
		Name:        "siam-canvas",
		DataCentres: []fleet.DataCentre{"bangkok-1", "bangkok-2", "bangkok-3"},
		Groups:      []fleet.GroupID{"orders", "payouts", "profiles"},
		Connections: 40, Slots: 3, BetweenDataCentres: 500 * time.Microsecond,
		Accounts: accounts("studio-a", "studio-b", "studio-c", "studio-d", "studio-e", "studio-f", "studio-g", "studio-h"),
	}
}

// accounts makes two large accounts and lets the others be small.
func accounts(ids ...fleet.AccountID) []Account {
	var as []Account
	for i, id := range ids {
		a := Account{ID: id, Weight: 1, Rate: 100, Burst: 50}
		if i < 2 {
			a.Weight, a.Rate, a.Burst = 4, 400, 200
		}
		as = append(as, a)
	}
	return as
}

// Config says what to start.
type Config struct {
	// BinDir holds the built commands.
	BinDir string
	// Dir receives settings and logs; a temporary directory when empty.
	Dir     string
	Profile Profile
	// Instances is the number of entry instances; 4 when 0.
	Instances int
	// FleetSlots is N; Instances when 0.
	FleetSlots int
	// ServiceTime is how long a statement keeps its slot at an endpoint.
	ServiceTime time.Duration
	// Baseline is the YAML of the daemon's baseline settings, such as
	// "static_quota: true".
	Baseline string
	// Expiry is how long the platform lists an instance without heartbeat.
	Expiry time.Duration
	// LogLevel of the instances.
	LogLevel string
}

// Bed is a running testbed.
type Bed struct {
	Config    Config
	Platform  *Platform
	Endpoints []*Endpoint
	Instances []*Instance
	// Operators are the author and the one who signs off.
	Operators [2]bundle.PrivateKey
	// Doc is the bundle rolled out last.
	Doc *bundle.Document

	dir    string
	ownDir bool
	// number tells the testbeds of one process apart.
	number uint32
}

// systemUser is the account of the system at the endpoints.
const (
	systemUser     = "vanillahinge"
	systemPassword = "system-password"
)

// Key returns the key of an account of the testbed.
func Key(a fleet.AccountID) string { return "key-" + string(a) + "-0123456789" }

// Start starts everything and returns once each instance is ready.
func Start(ctx context.Context, cfg Config) (*Bed, error) {
	if cfg.Instances == 0 {
		cfg.Instances = 4
	}
	if cfg.FleetSlots == 0 {
		cfg.FleetSlots = cfg.Instances
	}
	if cfg.Profile.Name == "" {
		cfg.Profile = Mohamentes()
	}
	if cfg.LogLevel == "" {
		cfg.LogLevel = "info"
	}
	b := &Bed{Config: cfg, dir: cfg.Dir, number: bedCount.Add(1)}
	if b.dir == "" {
		dir, err := os.MkdirTemp("", "vanillahinge-")
		if err != nil {
			return nil, fmt.Errorf("testbed: %w", err)
		}
		b.dir, b.ownDir = dir, true
	}
	if err := b.start(ctx); err != nil {
		return nil, errors.Join(err, b.Close())
	}
	return b, nil
}

func (b *Bed) start(ctx context.Context) error {
	for i, id := range []string{"operator-1", "operator-2"} {
		k, err := bundle.NewPrivateKey(id)
		if err != nil {
			return err
		}
		b.Operators[i] = k
	}
	if err := b.startPlatform(ctx); err != nil {
		return err
	}
	if err := b.startEndpoints(ctx); err != nil {
		return err
	}
	for i := range b.Config.Instances {
		if _, err := b.AddInstance(ctx, i); err != nil {
			return err
		}
	}
	doc, err := b.newDocument()
	if err != nil {
		return err
	}
	// An instance that knows no other takes all fleet slots and has to release
	// them one by one.
	if err := b.waitMembers(ctx); err != nil {
		return err
	}
	if err := b.Rollout(ctx, doc); err != nil {
		return err
	}
	for _, in := range b.Instances {
		if err := in.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitMembers waits until every instance sees all of them.
func (b *Bed) waitMembers(ctx context.Context) error {
	for _, in := range b.Instances {
		for {
			var s struct {
				Instances []struct {
					State string `json:"state"`
				} `json:"instances"`
			}
			if err := in.Get(ctx, "/status", &s); err != nil {
				return err
			}
			alive := 0
			for _, i := range s.Instances {
				if i.State == "alive" {
					alive++
				}
			}
			if alive == len(b.Instances) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("testbed: %s sees %d instances: %w", in.ID, alive, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Dir is where settings, logs and keys are.
func (b *Bed) Dir() string { return b.dir }

// Close ends every process by its id and removes a temporary directory.
func (b *Bed) Close() error {
	for _, in := range b.Instances {
		in.Kill()
	}
	for _, e := range b.Endpoints {
		e.Kill()
	}
	if b.Platform != nil {
		b.Platform.Kill()
	}
	if b.ownDir {
		return os.RemoveAll(b.dir)
	}
	return nil
}

// newDocument returns the first bundle of the testbed.
func (b *Bed) newDocument() (*bundle.Document, error) {
	p := b.Config.Profile
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("testbed: token key: %w", err)
	}
	d := &bundle.Document{
		Kind: bundle.KindBundle, Version: 1, FleetSlots: b.Config.FleetSlots,
		TokenKeys: []bundle.TokenKey{{ID: "token-1", Secret: bundle.Secret(base64.StdEncoding.EncodeToString(secret))}},
	}
	var names []string
	for _, g := range p.Groups {
		names = append(names, string(g))
		d.Databases = append(d.Databases, bundle.Database{Name: string(g), Group: g})
		bg := bundle.Group{ID: g}
		for _, e := range b.Endpoints {
			if e.Group == g {
				bg.Endpoints = append(bg.Endpoints, bundle.Endpoint{
					ID: e.ID, DataCentre: e.DataCentre, Addr: e.Addr, Slots: p.Slots, Connections: p.Connections,
				})
			}
		}
		d.Groups = append(d.Groups, bg)
	}
	d.Databases = append(d.Databases, bundle.Database{Name: "open", Group: p.Groups[0], Open: true})
	for _, a := range p.Accounts {
		v, err := bundle.NewVerifier(Key(a.ID))
		if err != nil {
			return nil, err
		}
		d.Accounts = append(d.Accounts, bundle.Account{
			ID: a.ID, Weight: a.Weight, Rate: a.Rate, Burst: a.Burst,
			Keys: []bundle.Key{{ID: fleet.KeyID(a.ID + "-1"), Verifier: v}}, Databases: names,
		})
		for _, name := range names {
			d.Objectives = append(d.Objectives, bundle.Objective{
				Account: a.ID, Route: name, Availability: 0.999,
				Latency: strictyaml.Duration(100 * time.Millisecond), LatencyShare: 0.99,
			})
		}
	}
	return d, nil
}

// Rollout signs the document with both keys and tries the living instances one
// after the other until one accepts it.
func (b *Bed) Rollout(ctx context.Context, d *bundle.Document) error {
	var errs []error
	for _, in := range b.Instances {
		if in.Dead() {
			continue
		}
		err := b.RolloutAt(ctx, in, d)
		if err == nil {
			b.Doc = d
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// RolloutAt hands the signed document to one instance.
func (b *Bed) RolloutAt(ctx context.Context, at *Instance, d *bundle.Document) error {
	env, err := bundle.Seal(d)
	if err != nil {
		return err
	}
	data, err := b.sign(env)
	if err != nil {
		return err
	}
	return at.post(ctx, "/bundle/accept", data)
}

// Withdraw signs and hands in an urgent withdrawal of keys.
func (b *Bed) Withdraw(ctx context.Context, at *Instance, keys ...fleet.KeyID) error {
	env, err := bundle.SealWithdrawal(&bundle.Withdrawal{Kind: bundle.KindWithdrawal, Keys: keys, Reason: "test"})
	if err != nil {
		return err
	}
	data, err := b.sign(env)
	if err != nil {
		return err
	}
	return at.post(ctx, "/withdrawal", data)
}

func (b *Bed) sign(env *bundle.Envelope) ([]byte, error) {
	if err := env.Sign(bundle.RoleAuthor, b.Operators[0].ID, b.Operators[0].Key); err != nil {
		return nil, err
	}
	if err := env.Sign(bundle.RoleSignOff, b.Operators[1].ID, b.Operators[1].Key); err != nil {
		return nil, err
	}
	return env.Encode()
}

var bedCount atomic.Uint32

// host returns a loopback address: 0 is for the stand-ins, i for instance i-1.
// It differs between processes and testbeds, so that ports that were free a
// moment ago are not taken by another testbed.
func (b *Bed) host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+b.number%250, 1+i)
}

// nextPort counts up below the range that the kernel takes ports of outgoing
// connections from, so that no port is handed out twice or taken in between.
var nextPort atomic.Uint32

const (
	firstPort = 10000
	portCount = 20000
)

// freeAddr returns an address on the host that nobody listens on.
func freeAddr(host string) (string, error) {
	var last error
	for range 100 {
		port := firstPort + nextPort.Add(1)%portCount
		addr := net.JoinHostPort(host, fmt.Sprint(port))
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, l.Close()
		}
		last = err
	}
	return "", fmt.Errorf("testbed: free port: %w", last)
}

func (b *Bed) write(name, content string) (string, error) {
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return "", fmt.Errorf("testbed: %w", err)
	}
	return path, nil
}
