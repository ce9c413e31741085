// Command vhload drives load through the caller port, runs experiments on a
// prepared fleet, and reports the results.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "vhload:", err)
		os.Exit(1)
	}
}

// options are the flags of all subcommands.
type options struct {
	profile, dir, baseline, scenario, out, pids string
	fleet, schedule, user, password             string
	seed                                        uint64
	duration, warmup                            time.Duration
	retry                                       bool
}

func run(ctx context.Context) error {
	o := options{profile: "mohamentes", scenario: "calm", seed: 1, duration: 12 * time.Second, warmup: 2 * time.Second}
	flaggy.SetName("vhload")
	flaggy.SetDescription("load and experiment tool of vanillahinge")
	add := func(name, description string) *flaggy.Subcommand {
		c := flaggy.NewSubcommand(name)
		c.Description = description
		flaggy.AttachSubcommand(c, 1)
		return c
	}
	common := func(c *flaggy.Subcommand) {
		c.String(&o.profile, "p", "profile", "mohamentes, siam-canvas, or a YAML file")
		c.UInt64(&o.seed, "s", "seed", "seed of arrivals and sessions")
		c.Duration(&o.duration, "d", "duration", "measured part of the run")
		c.Duration(&o.warmup, "w", "warmup", "part before it that is not measured")
		c.String(&o.out, "o", "out", "file for the result (JSON)")
	}
	runCmd := add("run", "drive one run, e.g. vhload run --fleet fleet.yaml --schedule faults.yaml")
	common(runCmd)
	runCmd.String(&o.fleet, "f", "fleet", "file that names instances, endpoints and the platform")
	runCmd.String(&o.schedule, "", "schedule", "fault schedule (YAML)")
	runCmd.String(&o.user, "", "user", "user for all accounts, for a run against an endpoint")
	runCmd.String(&o.password, "", "password", "password of that user")
	runCmd.Bool(&o.retry, "", "retry", "repeat writes of unknown outcome with their request id")
	prepare := add("prepare", "write the settings of an experiment, e.g. vhload prepare --dir out/calm")
	prepare.String(&o.profile, "p", "profile", "mohamentes, siam-canvas, or a YAML file")
	prepare.String(&o.dir, "", "dir", "directory for the files")
	prepare.String(&o.baseline, "b", "baseline", "reads-to-primary, static-quota, first-come, any-data-centre or promotion-timeout")
	experiment := add("experiment", "run a scenario on a prepared fleet whose processes run")
	common(experiment)
	experiment.String(&o.dir, "", "dir", "directory that prepare filled")
	experiment.String(&o.baseline, "b", "baseline", "name of the baseline, for the report")
	experiment.String(&o.scenario, "", "scenario", strings.Join(load.Scenarios, ", "))
	experiment.String(&o.pids, "", "pids", "process ids of the instances, such as i1=123,i2=124")
	report := add("report", "print the table of all results in a directory and write report.html")
	report.String(&o.dir, "", "dir", "directory of results")
	flaggy.Parse()
	switch {
	case runCmd.Used:
		return runOne(ctx, o)
	case prepare.Used:
		p, err := profile(o.profile)
		if err != nil {
			return err
		}
		if o.dir == "" {
			return errors.New("prepare needs --dir")
		}
		return load.Prepare(o.dir, p, o.baseline)
	case experiment.Used:
		return runExperiment(ctx, o)
	case report.Used:
		return writeReport(o.dir)
	}
	flaggy.ShowHelpAndExit("")
	return nil
}

func profile(name string) (load.Profile, error) {
	if p, ok := load.Profiles[name]; ok {
		return p, nil
	}
	var p load.Profile
	if err := load.ReadYAML(name, &p); err != nil {
		return p, fmt.Errorf("profile %q is neither built in nor a readable file: %w", name, err)
	}
	return p, nil
}

func runOne(ctx context.Context, o options) error {
	p, err := profile(o.profile)
	if err != nil {
		return err
	}
	cfg := load.Config{Profile: p, Seed: o.seed, Warmup: o.warmup, User: o.user, Password: o.password, RetryUnknown: o.retry}
	if err := load.ReadYAML(o.fleet, &cfg.Fleet); err != nil {
		return err
	}
	if o.schedule != "" {
		if err := load.ReadYAML(o.schedule, &cfg.Schedule); err != nil {
			return err
		}
	}
	if cfg.Schedule.Duration == 0 {
		cfg.Schedule.Duration = o.duration
	}
	res, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	res.Name = "run"
	return finish(res, o.out)
}

func runExperiment(ctx context.Context, o options) error {
	p, err := profile(o.profile)
	if err != nil {
		return err
	}
	x := load.Experiment{Dir: o.dir, Profile: p, Scenario: o.scenario, Baseline: o.baseline, Seed: o.seed, Duration: o.duration, Warmup: o.warmup, PIDs: map[string]int{}}
	for _, f := range strings.Split(o.pids, ",") {
		id, text, ok := strings.Cut(f, "=")
		if !ok {
			continue
		}
		if x.PIDs[id], err = strconv.Atoi(text); err != nil {
			return fmt.Errorf("--pids: %w", err)
		}
	}
	res, err := x.Run(ctx)
	if err != nil {
		return err
	}
	return finish(res, o.out)
}

// finish stores a result and prints its line. A broken promise is an error.
func finish(res *load.Result, out string) error {
	if out != "" {
		data, err := json.MarshalIndent(res, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(out, data, 0o644); err != nil {
			return err
		}
	}
	if err := load.WriteTable(os.Stdout, []*load.Result{res}); err != nil {
		return err
	}
	if !res.Verdict.OK() || res.OverAdmitted > 0 {
		return fmt.Errorf("promises broken: %v, over-admitted %d; examples: %v", res.Verdict.Counts, res.OverAdmitted, res.Verdict.Violations)
	}
	return nil
}

func writeReport(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return err
	}
	var results []*load.Result
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		var r load.Result
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		results = append(results, &r)
	}
	if len(results) == 0 {
		return fmt.Errorf("no results in %s", dir)
	}
	if err := load.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	w, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	if err := load.WriteHTML(w, results); err != nil {
		w.Close()
		return err
	}
	return w.Close()
}
