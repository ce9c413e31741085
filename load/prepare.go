package load

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Baselines are the settings of the daemon that replace a mechanism by a
// simple one, by the name that the measure script uses.
var Baselines = map[string]map[string]any{
	"":                  {},
	"reads-to-primary":  {"reads_to_primary": true},
	"static-quota":      {"static_quota": true},
	"first-come":        {"first_come": true},
	"any-data-centre":   {"any_data_centre": true},
	"promotion-timeout": {"promotion_timeout": "3s"},
}

// Prepare writes into dir everything that the processes of an experiment
// need: settings of the platform, endpoints and instances, the signed bundle,
// and fleet.yaml. Nothing is started.
func Prepare(dir string, p Profile, baseline string) error {
	base, ok := Baselines[baseline]
	if !ok {
		return fmt.Errorf("load: unknown baseline %q", baseline)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	addrs, err := freeAddrs(2 + 2*3*len(p.Groups) + 3*p.Instances)
	if err != nil {
		return err
	}
	take := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	f := Fleet{Platform: Platform{Service: take(), Faults: take()}}
	if err := writeYAML(dir, "platform.yaml", map[string]any{"listen": f.Platform.Service, "fault_listen": f.Platform.Faults}); err != nil {
		return err
	}
	dcOf := func(i int) string { return p.DataCentres[i%len(p.DataCentres)] }
	doc := &bundle.Document{Kind: bundle.KindBundle, Version: 1, FleetSlots: p.Instances}
	dcs := map[string]string{}
	for i := range p.Instances {
		dcs[fmt.Sprintf("i%d", i+1)] = dcOf(i)
	}
	for g, group := range p.Groups {
		bg := bundle.Group{ID: fleet.GroupID(group)}
		for i, letter := range "abc" {
			e := Endpoint{ID: group + "-" + string(letter), Group: group, SQL: take(), Faults: take()}
			f.Endpoints = append(f.Endpoints, e)
			// The primaries are spread over the data centres.
			dcs[e.ID] = dcOf(g + i)
			bg.Endpoints = append(bg.Endpoints, bundle.Endpoint{ID: fleet.EndpointID(e.ID), DataCentre: fleet.DataCentre(dcs[e.ID]), Addr: e.SQL, Slots: 3, Connections: p.Connections})
		}
		doc.Groups = append(doc.Groups, bg)
		doc.Databases = append(doc.Databases, bundle.Database{Name: group, Group: bg.ID})
	}
	password := base64.RawURLEncoding.EncodeToString(random(18))
	for i, e := range f.Endpoints {
		delays := map[string]string{}
		for id, dc := range dcs {
			if dc != dcs[e.ID] {
				delays[id] = p.BetweenDataCentres.String()
			}
		}
		s := map[string]any{
			"id": e.ID, "group": e.Group, "listen": e.SQL, "fault_listen": e.Faults, "user": "vanillahinge", "password": password,
			"max_connections": p.Connections, "service_time": p.ServiceTime.String(), "log_level": "warn",
			"faults": map[string]any{"one_way_delay": delays},
		}
		if i%3 > 0 {
			s["primary"] = f.Endpoints[i-i%3].SQL
		}
		if err := writeYAML(dir, "endpoint-"+e.ID+".yaml", s); err != nil {
			return err
		}
	}
	if err := fillAccounts(doc, p); err != nil {
		return err
	}
	operators, err := signBundle(dir, doc)
	if err != nil {
		return err
	}
	credentials := filepath.Join(dir, "credentials.yaml")
	if err := writeYAML(dir, "credentials.yaml", map[string]any{"user": "vanillahinge", "password": password}); err != nil {
		return err
	}
	for i := range p.Instances {
		in := Instance{ID: fmt.Sprintf("i%d", i+1), Callers: take(), Operators: take()}
		f.Instances = append(f.Instances, in)
		s := map[string]any{
			"instance": in.ID, "data_centre": dcs[in.ID],
			"listen":            map[string]any{"callers": in.Callers, "operators": in.Operators, "peers": take()},
			"platform":          map[string]any{"addr": f.Platform.Service},
			"trusted_operators": operators, "endpoint_credentials": credentials,
			"log": map[string]any{"level": "info"}, "baseline": base,
		}
		if err := writeYAML(dir, "instance-"+in.ID+".yaml", s); err != nil {
			return err
		}
	}
	return writeYAML(dir, "fleet.yaml", f)
}

func random(n int) []byte {
	b := make([]byte, n)
	rand.Read(b)
	return b
}

func fillAccounts(doc *bundle.Document, p Profile) error {
	doc.TokenKeys = []bundle.TokenKey{{ID: "t1", Secret: bundle.Secret(base64.StdEncoding.EncodeToString(random(32)))}}
	for _, a := range p.Accounts {
		v, err := bundle.NewVerifier(a.Key)
		if err != nil {
			return err
		}
		doc.Accounts = append(doc.Accounts, bundle.Account{
			ID: fleet.AccountID(a.ID), Weight: a.Weight, Rate: a.Rate, Burst: a.Burst,
			Keys: []bundle.Key{{ID: fleet.KeyID("key-" + a.ID), Verifier: v}}, Databases: p.Groups,
		})
	}
	return nil
}

// signBundle writes the envelope and returns the operators to trust.
func signBundle(dir string, doc *bundle.Document) ([]map[string]any, error) {
	if err := doc.Validate(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	env, err := bundle.Seal(doc)
	if err != nil {
		return nil, err
	}
	var operators []map[string]any
	for i, role := range []string{bundle.RoleAuthor, bundle.RoleSignOff} {
		id := fmt.Sprintf("op-%d", i+1)
		k, err := bundle.NewPrivateKey(id)
		if err != nil {
			return nil, err
		}
		if err := env.Sign(role, k.ID, k.Key); err != nil {
			return nil, err
		}
		operators = append(operators, map[string]any{"id": id, "public_key": k.Public()})
	}
	data, err := env.Encode()
	if err != nil {
		return nil, err
	}
	return operators, os.WriteFile(filepath.Join(dir, "envelope.json"), data, 0o600)
}

func writeYAML(dir, name string, v any) error {
	data, err := yaml.Marshal(v)
	if err != nil {
		return fmt.Errorf("load: %s: %w", name, err)
	}
	return os.WriteFile(filepath.Join(dir, name), data, 0o600)
}

// freeAddrs returns loopback addresses that nothing listens on. Another
// process may take one before it is used; the start of the process then fails.
func freeAddrs(n int) ([]string, error) {
	var out []string
	var ls []net.Listener
	defer func() {
		for _, l := range ls {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		ls = append(ls, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// scenarioFaults returns the faults of one part of a scenario.
func scenarioFaults(p Profile, name string) []Fault {
	s := time.Second
	switch name {
	case "cut":
		var out []Fault
		for i, g := range p.Groups {
			out = append(out, Fault{At: time.Duration(1+3*i) * s, For: 5 * s / 2, Action: "cut", Target: "primary:" + g})
		}
		return out
	case "kill":
		return []Fault{{At: 2 * s, Action: "kill", Target: fmt.Sprintf("instance:i%d", p.Instances)}}
	case "store":
		return []Fault{{At: s, For: 8 * s, Action: "store_outage"}}
	case "flood":
		return []Fault{{At: s, For: 8 * s, Action: "flood", Target: "account:" + p.Accounts[1].ID, Factor: 5}}
	case "lag":
		var out []Fault
		for _, g := range p.Groups {
			out = append(out, Fault{At: s, For: 8 * s, Action: "lag", Target: "endpoint:" + g + "-b", Delay: 200 * time.Millisecond})
		}
		return out
	}
	return nil
}

// Scenarios are the names of the scenarios: calm, single faults and pairs.
var Scenarios = []string{"calm", "cut", "kill", "store", "flood", "lag", "cut+kill", "cut+store", "cut+flood", "kill+store", "kill+flood", "store+flood"}
