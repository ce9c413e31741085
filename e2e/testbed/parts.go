package testbed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
	"github.com/vanillahinge/vanillahinge/standin/table"
)

// Platform is the platform stand-in.
type Platform struct {
	*Process
	Addr, FaultAddr string
}

func (b *Bed) startPlatform(ctx context.Context) error {
	addr, err := freeAddr(b.host(0))
	if err != nil {
		return err
	}
	faults, err := freeAddr(b.host(0))
	if err != nil {
		return err
	}
	args := []string{"--listen", addr, "--fault-listen", faults}
	if b.Config.Expiry > 0 {
		args = append(args, "--expiry", b.Config.Expiry.String())
	}
	p, err := b.startProcess("platform", "vh-platform", args...)
	if err != nil {
		return err
	}
	b.Platform = &Platform{Process: p, Addr: addr, FaultAddr: faults}
	return p.waitHTTP(ctx, "http://"+faults+"/faults")
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(ctx context.Context, f table.Faults) error {
	return send(ctx, http.MethodPut, "http://"+p.FaultAddr+"/faults", f, nil)
}

// Endpoint is an endpoint stand-in.
type Endpoint struct {
	*Process
	ID              fleet.EndpointID
	Group           fleet.GroupID
	DataCentre      fleet.DataCentre
	Addr, FaultAddr string

	base endpoint.Faults
}

func (b *Bed) startEndpoints(ctx context.Context) error {
	for _, g := range b.Config.Profile.Groups {
		primary := ""
		for i, dc := range b.Config.Profile.DataCentres {
			e, err := b.startEndpoint(g, i, dc, primary)
			if err != nil {
				return err
			}
			if err := e.waitHTTP(ctx, "http://"+e.FaultAddr+"/status"); err != nil {
				return err
			}
			if primary == "" {
				primary = e.Addr
			}
		}
	}
	for _, e := range b.Endpoints {
		e.base = endpoint.Faults{OneWayDelay: b.delays(e)}
		if err := e.SetFaults(ctx, endpoint.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startEndpoint(g fleet.GroupID, i int, dc fleet.DataCentre, primary string) (*Endpoint, error) {
	e := &Endpoint{ID: fleet.EndpointID(fmt.Sprintf("%s-%d", g, i+1)), Group: g, DataCentre: dc}
	var err error
	if e.Addr, err = freeAddr(b.host(0)); err != nil {
		return nil, err
	}
	if e.FaultAddr, err = freeAddr(b.host(0)); err != nil {
		return nil, err
	}
	args := []string{
		"--id", string(e.ID), "--group", string(g), "--listen", e.Addr, "--fault-listen", e.FaultAddr,
		"--user", systemUser, "--password", systemPassword, "--dir", b.dir,
		"--slots", fmt.Sprint(b.Config.Profile.Slots), "--max-connections", fmt.Sprint(b.Config.Profile.Connections),
	}
	if primary != "" {
		args = append(args, "--primary", primary)
	}
	if b.Config.ServiceTime > 0 {
		args = append(args, "--service-time", b.Config.ServiceTime.String())
	}
	if e.Process, err = b.startProcess(string(e.ID), "vh-endpoint", args...); err != nil {
		return nil, err
	}
	b.Endpoints = append(b.Endpoints, e)
	return e, nil
}

// delays returns the latency from an endpoint to every peer outside its data
// centre.
func (b *Bed) delays(e *Endpoint) map[string]time.Duration {
	d := map[string]time.Duration{}
	one := b.Config.Profile.BetweenDataCentres
	for _, o := range b.Endpoints {
		if o.DataCentre != e.DataCentre {
			d[string(o.ID)] = one
		}
	}
	// Instances that are added later sit in the same places as the first ones.
	for i := range 4 * b.Config.Instances {
		if b.dataCentre(i) != e.DataCentre {
			d[string(instanceID(i))] = one
		}
	}
	return d
}

// DSN is a connection string of the system's account for read-only sessions
// in a term.
func (e *Endpoint) DSN(database string, term fleet.Term) string {
	q := url.Values{"sslmode": {"disable"}, "default_transaction_read_only": {"on"}, "vh.term": {fmt.Sprint(term)}}
	u := url.URL{Scheme: "postgres", User: url.UserPassword(systemUser, systemPassword), Host: e.Addr, Path: "/" + database, RawQuery: q.Encode()}
	return u.String()
}

// SetFaults replaces the faults of the endpoint; the network's latency stays.
func (e *Endpoint) SetFaults(ctx context.Context, f endpoint.Faults) error {
	if f.OneWayDelay == nil {
		f.OneWayDelay = e.base.OneWayDelay
	}
	return send(ctx, http.MethodPut, "http://"+e.FaultAddr+"/faults", f, nil)
}

// Stats asks the endpoint for its counters.
func (e *Endpoint) Stats(ctx context.Context) (endpoint.Stats, error) {
	var s endpoint.Stats
	err := send(ctx, http.MethodGet, "http://"+e.FaultAddr+"/stats", nil, &s)
	return s, err
}

// Status asks the endpoint for its status.
func (e *Endpoint) Status(ctx context.Context) (fleet.EndpointStatus, error) {
	// A paused endpoint accepts connections and never answers.
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	var s fleet.EndpointStatus
	err := send(ctx, http.MethodGet, "http://"+e.FaultAddr+"/status", nil, &s)
	return s, err
}

// Members returns the endpoints of a group.
func (b *Bed) Members(g fleet.GroupID) []*Endpoint {
	var es []*Endpoint
	for _, e := range b.Endpoints {
		if e.Group == g {
			es = append(es, e)
		}
	}
	return es
}

// Primary returns the endpoint of a group that is primary with the highest
// term among those that answer.
func (b *Bed) Primary(ctx context.Context, g fleet.GroupID) (*Endpoint, error) {
	var best *Endpoint
	var term fleet.Term
	for _, e := range b.Members(g) {
		if e.Dead() {
			continue
		}
		s, err := e.Status(ctx)
		if err == nil && s.Role == fleet.RolePrimary && s.Term > term {
			best, term = e, s.Term
		}
	}
	if best == nil {
		return nil, fmt.Errorf("testbed: group %s has no primary", g)
	}
	return best, nil
}

// Instance is an entry instance.
type Instance struct {
	*Process
	ID fleet.InstanceID
	// CallersAddr, PeersAddr and OpsAddr are the three ports.
	CallersAddr, PeersAddr, OpsAddr string
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("instance-%d", i+1)) }

func (b *Bed) dataCentre(i int) fleet.DataCentre {
	dcs := b.Config.Profile.DataCentres
	return dcs[i%len(dcs)]
}

// AddInstance starts instance number i (from 0); it does not wait for it.
// Each instance has a loopback address of its own.
func (b *Bed) AddInstance(ctx context.Context, i int) (*Instance, error) {
	in := &Instance{ID: instanceID(i)}
	host := b.host(i + 1)
	var err error
	for _, a := range []*string{&in.CallersAddr, &in.PeersAddr, &in.OpsAddr} {
		if *a, err = freeAddr(host); err != nil {
			return nil, err
		}
	}
	cred, err := b.write("credentials.yaml", fmt.Sprintf("user: %s\npassword: %s\n", systemUser, systemPassword))
	if err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`instance: %s
data_centre: %s
listen:
  callers: %s
  peers: %s
  operators: %s
platform:
  addr: %s
trusted_operators:
  - id: %s
    public_key: %s
  - id: %s
    public_key: %s
endpoint_credentials: %s
log:
  level: %s
`, in.ID, b.dataCentre(i), in.CallersAddr, in.PeersAddr, in.OpsAddr, b.Platform.Addr,
		b.Operators[0].ID, b.Operators[0].Public(), b.Operators[1].ID, b.Operators[1].Public(), cred, b.Config.LogLevel)
	if b.Config.Baseline != "" {
		settings += "baseline:\n  " + b.Config.Baseline + "\n"
	}
	path, err := b.write(string(in.ID)+".yaml", settings)
	if err != nil {
		return nil, err
	}
	if in.Process, err = b.startProcess(string(in.ID), "vanillahinged", "--config", path); err != nil {
		return nil, err
	}
	b.Instances = append(b.Instances, in)
	return in, in.waitHTTP(ctx, "http://"+in.OpsAddr+"/healthz")
}

// WaitReady waits until the instance serves callers.
func (in *Instance) WaitReady(ctx context.Context) error {
	return in.waitHTTP(ctx, "http://"+in.OpsAddr+"/readyz")
}

func (in *Instance) post(ctx context.Context, path string, data []byte) error {
	return send(ctx, http.MethodPost, "http://"+in.OpsAddr+path, data, nil)
}

// Get reads a JSON page of the operators' port.
func (in *Instance) Get(ctx context.Context, path string, into any) error {
	return send(ctx, http.MethodGet, "http://"+in.OpsAddr+path, nil, into)
}

// Decisions returns the decision records that match a query such as
// "kind=promotion".
func (in *Instance) Decisions(ctx context.Context, query string) ([]decision.Record, error) {
	var rs []decision.Record
	err := in.Get(ctx, "/decisions?"+query, &rs)
	return rs, err
}

// DSN is a connection string for a client account of the testbed.
func (in *Instance) DSN(a fleet.AccountID, database string, params ...string) string {
	q := url.Values{"sslmode": {"disable"}}
	for i := 0; i+1 < len(params); i += 2 {
		q.Set(params[i], params[i+1])
	}
	u := url.URL{Scheme: "postgres", User: url.UserPassword(string(a), Key(a)), Host: in.CallersAddr, Path: "/" + database, RawQuery: q.Encode()}
	return u.String()
}

// WaitPrimary waits until a group has a primary with a term above after, as
// this instance sees it.
func (b *Bed) WaitPrimary(ctx context.Context, g fleet.GroupID, after fleet.Term) (*Endpoint, fleet.Term, error) {
	for {
		e, err := b.Primary(ctx, g)
		if err == nil {
			s, serr := e.Status(ctx)
			if serr == nil && s.Term > after {
				return e, s.Term, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Join(ctx.Err(), err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}
