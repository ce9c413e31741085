package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Instance is one entry instance under load.
type Instance struct {
	ID        string `yaml:"id"`
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	// PID is the process to signal for kill, pause and drain; 0 if the load
	// tool must not signal it.
	PID int `yaml:"pid"`
}

// Endpoint is one endpoint stand-in.
type Endpoint struct {
	ID    string `yaml:"id"`
	Group string `yaml:"group"`
	SQL   string `yaml:"sql"`
	// Faults is the address of the fault port.
	Faults string `yaml:"faults"`
}

// Platform is the platform stand-in.
type Platform struct {
	Service string `yaml:"service"`
	Faults  string `yaml:"faults"`
}

// Fleet names the processes of an experiment.
type Fleet struct {
	Instances []Instance `yaml:"instances"`
	Endpoints []Endpoint `yaml:"endpoints"`
	Platform  Platform   `yaml:"platform"`
}

// ReadYAML decodes a YAML file and refuses unknown fields.
func ReadYAML(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(data, v, yaml.Strict()); err != nil {
		return fmt.Errorf("load: %s: %w", path, err)
	}
	return nil
}

func httpJSON(ctx context.Context, method, url string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var r io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		r = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, strings.TrimSpace(string(text)))
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// primary returns the endpoint that is the primary of the highest term.
func (f *Fleet) primary(ctx context.Context, group string) (Endpoint, error) {
	var best Endpoint
	var term fleet.Term
	for _, e := range f.Endpoints {
		var s fleet.EndpointStatus
		if e.Group != group || httpJSON(ctx, http.MethodGet, "http://"+e.Faults+"/status", nil, &s) != nil {
			continue
		}
		if s.Role == fleet.RolePrimary && s.Term > term {
			best, term = e, s.Term
		}
	}
	if term == 0 {
		return best, fmt.Errorf("load: no primary of group %s answers", group)
	}
	return best, nil
}

// endpointStats is what an endpoint's fault port counts.
type endpointStats struct {
	PrimaryReads int64 `json:"primary_reads"`
	ReplicaReads int64 `json:"replica_reads"`
}

// reads returns the counts of the endpoints that answer.
func (f *Fleet) reads(ctx context.Context) map[string]endpointStats {
	out := map[string]endpointStats{}
	for _, e := range f.Endpoints {
		var s endpointStats
		if httpJSON(ctx, http.MethodGet, "http://"+e.Faults+"/stats", nil, &s) == nil {
			out[e.ID] = s
		}
	}
	return out
}

// Fault is one entry of a fault schedule.
type Fault struct {
	// At is when the fault begins, For how long it lasts; 0 lasts to the end.
	At  time.Duration `yaml:"at" json:"at"`
	For time.Duration `yaml:"for" json:"for"`
	// Action is cut, kill, pause, lag, drop_answers (targets: endpoint:ID or
	// primary:GROUP; kill and pause also instance:ID), drain (instance:ID),
	// store_outage, or flood (account:ID).
	Action string `yaml:"action" json:"action"`
	Target string `yaml:"target" json:"target"`
	// Delay is the apply delay of lag, Factor multiplies the arrivals of
	// flood, Count is the number of answers that drop_answers discards.
	Delay  time.Duration `yaml:"delay" json:"delay,omitempty"`
	Factor float64       `yaml:"factor" json:"factor,omitempty"`
	Count  int           `yaml:"count" json:"count,omitempty"`
}

// Schedule is a fault schedule.
type Schedule struct {
	Duration time.Duration `yaml:"duration" json:"duration"`
	Faults   []Fault       `yaml:"faults" json:"faults"`
}

// Validate checks a schedule before a run, so that a typing error does not
// pass for a system without faults.
func (s *Schedule) Validate() error {
	for i, f := range s.Faults {
		kind, name, _ := strings.Cut(f.Target, ":")
		allowed := map[string]string{
			"cut": "endpoint primary", "kill": "endpoint primary instance", "pause": "endpoint primary instance",
			"lag": "endpoint primary", "drop_answers": "endpoint primary", "drain": "instance", "flood": "account", "store_outage": "",
		}
		kinds, ok := allowed[f.Action]
		if !ok {
			return fmt.Errorf("load: fault %d: unknown action %q; use cut, kill, pause, lag, drop_answers, drain, flood or store_outage", i, f.Action)
		}
		if kinds != "" && (name == "" || !strings.Contains(" "+kinds+" ", " "+kind+" ")) {
			return fmt.Errorf("load: fault %d: bad target %q of %s; use one of: %s, with a name after a colon", i, f.Target, f.Action, kinds)
		}
		if f.Action == "flood" && f.Factor <= 0 {
			return fmt.Errorf("load: fault %d: flood needs a factor above 0", i)
		}
		if f.At < 0 || f.For < 0 {
			return fmt.Errorf("load: fault %d: at and for must not be negative", i)
		}
	}
	return nil
}

// Mark is a fault as it was injected.
type Mark struct {
	Fault
	// Resolved is the endpoint or instance that was hit, Group its group.
	Resolved string        `json:"resolved"`
	Group    string        `json:"group,omitempty"`
	Begin    time.Duration `json:"begin"`
	End      time.Duration `json:"end,omitempty"`
	Error    string        `json:"error,omitempty"`
}

// inject begins a fault and returns how to end it (nil if it cannot end).
func (r *runner) inject(ctx context.Context, f Fault, m *Mark) (func() error, error) {
	kind, name, _ := strings.Cut(f.Target, ":")
	m.Resolved = name
	if f.Action == "flood" {
		for _, a := range r.accounts {
			if a.ID == name {
				a.factor.Store(int64(f.Factor * 1000))
				return func() error { a.factor.Store(1000); return nil }, nil
			}
		}
		return nil, fmt.Errorf("load: no account %s", name)
	}
	if f.Action == "store_outage" {
		url := "http://" + r.cfg.Fleet.Platform.Faults + "/faults"
		set := func(outage []string) error {
			return httpJSON(ctx, http.MethodPatch, url, map[string]any{"outage": outage}, nil)
		}
		return func() error { return set([]string{}) }, set([]string{"*"})
	}
	if kind == "instance" {
		for _, i := range r.cfg.Fleet.Instances {
			if i.ID == name {
				return signalInstance(i, f.Action)
			}
		}
		return nil, fmt.Errorf("load: no instance %s", name)
	}
	var e Endpoint
	var err error
	if kind == "primary" {
		e, err = r.cfg.Fleet.primary(ctx, name)
	} else {
		err = fmt.Errorf("load: no endpoint %s", name)
		for _, x := range r.cfg.Fleet.Endpoints {
			if x.ID == name {
				e, err = x, nil
			}
		}
	}
	if err != nil {
		return nil, err
	}
	m.Resolved, m.Group = e.ID, e.Group
	base := "http://" + e.Faults
	patch := func(v map[string]any) func() error {
		return func() error { return httpJSON(ctx, http.MethodPatch, base+"/faults", v, nil) }
	}
	switch f.Action {
	case "cut":
		return patch(map[string]any{"isolate": []string{}}), patch(map[string]any{"isolate": []string{"*"}})()
	case "pause":
		return patch(map[string]any{"paused": false}), patch(map[string]any{"paused": true})()
	case "lag":
		return patch(map[string]any{"apply_delay": 0}), patch(map[string]any{"apply_delay": f.Delay})()
	case "drop_answers":
		return patch(map[string]any{"drop_answers": 0}), patch(map[string]any{"drop_answers": max(f.Count, 1), "drop_writes_only": true})()
	case "kill":
		return nil, httpJSON(ctx, http.MethodPost, base+"/kill", nil, nil)
	}
	return nil, fmt.Errorf("load: unknown action %q", f.Action)
}

func signalInstance(i Instance, action string) (func() error, error) {
	if i.PID <= 1 {
		return nil, fmt.Errorf("load: the fleet file has no process id of instance %s", i.ID)
	}
	signal := func(s syscall.Signal) error { return syscall.Kill(i.PID, s) }
	switch action {
	case "kill":
		return nil, signal(syscall.SIGKILL)
	case "drain":
		return nil, signal(syscall.SIGTERM)
	case "pause":
		return func() error { return signal(syscall.SIGCONT) }, signal(syscall.SIGSTOP)
	}
	return nil, fmt.Errorf("load: unknown action %q of an instance", action)
}
