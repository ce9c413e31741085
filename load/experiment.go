package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/vanillahinge/vanillahinge/standin/link"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// Experiment is one scenario on a prepared fleet whose processes run.
type Experiment struct {
	Dir      string
	Profile  Profile
	Scenario string
	Baseline string
	Seed     uint64
	Duration time.Duration
	Warmup   time.Duration
	// PIDs are the process ids of the instances, for faults that need them.
	PIDs map[string]int
}

// Run publishes the bundle, waits until every instance is ready, and runs the
// scenario through relays with the clients' latency.
func (x Experiment) Run(ctx context.Context) (*Result, error) {
	if !slices.Contains(Scenarios, x.Scenario) {
		return nil, fmt.Errorf("load: unknown scenario %q; use one of %s", x.Scenario, strings.Join(Scenarios, ", "))
	}
	var f Fleet
	if err := ReadYAML(filepath.Join(x.Dir, "fleet.yaml"), &f); err != nil {
		return nil, err
	}
	envelope, err := os.ReadFile(filepath.Join(x.Dir, "envelope.json"))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if err := publish(ctx, f, envelope); err != nil {
		return nil, err
	}
	for i := range f.Instances {
		in := &f.Instances[i]
		in.PID = x.PIDs[in.ID]
		k, err := link.Start("", in.Callers, x.Profile.ToClients)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		defer k.Close()
		in.Callers = k.Addr()
	}
	cfg := Config{Profile: x.Profile, Fleet: f, Seed: x.Seed, Warmup: x.Warmup, RetryUnknown: true, Schedule: Schedule{Duration: x.Duration}}
	for _, name := range strings.Split(x.Scenario, "+") {
		cfg.Schedule.Faults = append(cfg.Schedule.Faults, scenarioFaults(x.Profile, name)...)
	}
	res, err := Run(ctx, cfg)
	if err != nil {
		return nil, err
	}
	res.Name, res.Baseline = x.Scenario, x.Baseline
	return res, nil
}

// publish puts the bundle in force and waits until all instances are ready and
// the fleet slots are spread evenly. While the first instance hands slots over,
// the fleet admits less than the rates, by design.
func publish(ctx context.Context, f Fleet, envelope []byte) error {
	deadline := time.Now().Add(30 * time.Second)
	var last error
	// Witnesses follow from the platform's list, so everyone must be listed.
	for {
		var list []tablestore.InstanceEntry
		last = httpJSON(ctx, http.MethodGet, "http://"+f.Platform.Service+"/v1/instances", nil, &list)
		if last == nil && len(list) >= len(f.Instances) {
			break
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("load: %d of %d instances are listed; see their logs: %w", len(list), len(f.Instances), errors.Join(last, ctx.Err()))
		}
		time.Sleep(50 * time.Millisecond)
	}
	for {
		// The instance that registered last has seen the whole list.
		last = post(ctx, "http://"+f.Instances[len(f.Instances)-1].Operators+"/bundle/accept", envelope)
		if last == nil {
			break
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("load: publish the bundle: %w", last)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, in := range f.Instances {
		for {
			var status struct {
				Slots []int `json:"slots"`
			}
			last = httpJSON(ctx, http.MethodGet, "http://"+in.Operators+"/readyz", nil, nil)
			if last == nil {
				last = httpJSON(ctx, http.MethodGet, "http://"+in.Operators+"/status", nil, &status)
			}
			if last == nil && len(status.Slots) == 1 {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("load: instance %s is not ready or has not one slot but %v: %w", in.ID, status.Slots, errors.Join(last, ctx.Err()))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if err != nil {
		return err
	}
	var answer struct {
		Accepted bool `json:"accepted"`
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(text, &answer) != nil || !answer.Accepted {
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
