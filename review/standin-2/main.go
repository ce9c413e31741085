// Command review-2 shows the cases of the second independent review: it starts instances
// of the project with stand-ins of the platform, the servers and the clients, all on
// loopback addresses, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// world holds what a case works with.
type world struct {
	rec     *recorder
	store   *store
	fleet   *fleet
	cloud   *cloud
	groups  []*group
	trouble bool
	// dir is a temporary folder, program that of the instances. rounds counts the set-ups.
	dir, program string
	rounds       int
}

const exitBroken, exitHeld, exitNotRun = 1, 0, 2

var cases = map[string]func(*world) int{"route-moved": routeMoved, "holder-killed": holderKilled, "change-stuck": changeStuck, "commits-lost": commitsLost}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		os.Exit(exitNotRun)
	}
	w := &world{rec: &recorder{start: time.Now(), f: f}, trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program}
	go w.endOnSignal()
	code := func() (code int) {
		defer func() {
			if p := recover(); p != nil {
				fmt.Fprintln(os.Stderr, "could not run:", p)
				code = exitNotRun
			}
			if w.fleet != nil {
				w.fleet.stop()
			}
		}()
		return run(w)
	}()
	w.rec.line("exit %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// timeLimit ends a case that takes too long.
const timeLimit = 115 * time.Second

// endOnSignal ends the instances when this process is asked to end, or takes too long.
func (w *world) endOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(timeLimit):
	}
	if w.fleet != nil {
		for _, in := range w.fleet.all {
			in.signal(syscall.SIGKILL)
		}
	}
	_ = os.RemoveAll(w.dir)
	os.Exit(exitNotRun)
}

// setUp starts the store and the servers of two services, one in each of the zones, the
// primary in the first. An earlier fleet is ended.
func (w *world) setUp(zones ...string) {
	if w.fleet != nil {
		w.fleet.stop()
	}
	w.rounds++
	w.groups = nil
	ip := fmt.Sprintf("127.%d.%d.10", 20+os.Getpid()%200, 1+os.Getpid()/200%200)
	st, err := newStore(ip)
	if err != nil {
		panic(err)
	}
	w.store = st
	for _, name := range []string{"svca", "svcb"} {
		g, err := newGroup(st, name, ip, zones, w.rec.line)
		if err != nil {
			panic(err)
		}
		w.groups = append(w.groups, g)
	}
	if w.cloud, err = newCloud(ip, w.rec.line, w.groups...); err != nil {
		panic(err)
	}
	w.fleet = &fleet{dir: filepath.Join(w.dir, fmt.Sprint(w.rounds)), program: w.program, store: st, cloud: w.cloud, rec: w.rec}
}

// instanceIP returns the address of the n-th instance.
func instanceIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%200, 20+n)
}

// route is a route of the configuration.
type route struct {
	host, kind, service string
	staleness           int
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes ...route) {
	var rs []map[string]any
	for _, r := range routes {
		m := map[string]any{"name": "r-" + r.host, "host": r.host, "prefix": "/", "type": r.kind, "timeout_ms": 1000, "goal_ms": 400, "prio": 1,
			"service": r.service, "attempts": 2, "public": false}
		if r.staleness > 0 {
			m["max_staleness_ms"] = r.staleness
		}
		rs = append(rs, m)
	}
	var ss, ts []map[string]any
	for _, g := range w.groups {
		ss = append(ss, map[string]any{"name": g.name, "health_path": "/health", "max_conns": 21, "protocol": "h1", "tls": false, "sync_replicas": g.syncReplicas})
	}
	for i := range 8 {
		ts = append(ts, map[string]any{"name": fmt.Sprintf("tenant%d", i), "api_keys": []string{fmt.Sprintf("key%d", i)}, "prio": 1, "rate_per_s": 131, "burst": 131})
	}
	w.store.set("op", "config", map[string]any{"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"tx_idle_ms": 3000}, "tenants": ts})
	w.rec.line("operator: version %d acknowledged, routes %v", version, routes)
}
