package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a moment as the record names it.
func (r *record) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// ended is called with the exit code before the program ends.
var ended = func(int) {}

// cannotRun ends the program because the case could not be played.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	ended(2)
	os.Exit(2)
}

// The bounds of the sheet of the small deployment.
const (
	graceTime      = 6 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	txIdle         = 3 * time.Second
)

// tenant is a client account with its limits.
type tenant struct {
	name, key   string
	rate, burst float64
}

// instance is a process of the system.
type instance struct {
	name, zone, ip      string
	front, ready, meter string
	settings            string

	mu   sync.Mutex
	cmd  *exec.Cmd
	exit chan struct{}
}

// world is a small deployment: the stand-ins, and the instances as processes.
type world struct {
	dir       string
	binary    string
	log       *record
	store     *store
	services  map[string]*service
	names     []string
	tenants   []tenant
	instances []*instance
	storeAddr string
	cloudAddr string
	nextID    atomic.Uint64
}

var zones = []string{"kecskemet", "szeged", "bekescsaba"}

// newWorld starts the stand-ins: three services of three backends each.
func newWorld(binary string, log *record, tenants []tenant, work time.Duration) *world {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	w := &world{dir: dir, binary: binary, log: log, store: newStore(), services: map[string]*service{}, tenants: tenants}
	w.storeAddr = serveHTTP(w.store)
	for i := range 3 {
		name := fmt.Sprintf("foglalas%d", i+1)
		order := append(append([]string(nil), zones[i:]...), zones[:i]...)
		w.names = append(w.names, name)
		w.services[name] = newService(w.store, log, name, order, 21, work)
	}
	w.cloudAddr = serveHTTP(&cloud{services: w.services, log: log})
	w.configure(1)
	return w
}

func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// configure writes a configuration: a route of each kind for each service.
func (w *world) configure(version int) {
	var routes, services, tenants []any
	for i, name := range w.names {
		for _, k := range []struct {
			host, kind    string
			timeout, goal int
			prio, stale   int
		}{{"latest", "primary", 1000, 200, 1, 0}, {"bounded", "bounded_staleness", 2000, 600, 2, 1500}, {"own", "read_your_writes", 1000, 400, 2, 2500}} {
			host := fmt.Sprintf("%s%d", k.host, i+1)
			routes = append(routes, map[string]any{"name": "r-" + host, "host": host, "prefix": "/", "type": k.kind, "timeout_ms": k.timeout, "goal_ms": k.goal,
				"prio": k.prio, "service": name, "attempts": 2, "max_staleness_ms": k.stale, "public": false})
		}
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 21, "protocol": "h1", "tls": false,
			"sync_replicas": w.services[name].sync})
	}
	for _, t := range w.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "api_keys": []string{t.key}, "prio": 1, "rate_per_s": t.rate, "burst": t.burst})
	}
	w.store.put("op", "config", map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": txIdle.Milliseconds()}})
}

// addInstance prepares an instance with an address of its own.
func (w *world) addInstance(name, zone string, port int) *instance {
	ip := fleetIP(len(w.instances) + 1)
	in := &instance{name: name, zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1),
		meter: fmt.Sprintf("%s:%d", ip, port+11), settings: filepath.Join(w.dir, name+".json")}
	w.instances = append(w.instances, in)
	w.writeSettings(in, port, true)
	return in
}

func (w *world) writeSettings(in *instance, port int, first bool) {
	raw, err := json.MarshalIndent(map[string]any{"node_name": in.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"},
		"ip": in.ip, "zone": in.zone, "region": "kozep-alfold", "listen": map[string]any{"front": in.front, "ready": in.ready},
		"internal_ports": []int{port + 10, port + 25}, "seeds": []string{}, "bootstrap": first, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.608, "cores": 1, "memory_limit_mb": 414, "max_fds": 6300, "link_mbps": 1500.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"},
		"tolerate":  map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 7000,
			"grace_s": graceTime.Seconds(), "lost_slack_ms": 200, "config_apply_ms": 3000, "back_ms": 250, "skew_max_ms": 12000, "revoke_strict": false,
			"revoke_ms": 5000, "quota_window_s": quotaWindow.Seconds(), "quota_overshoot": quotaOvershoot, "quota_slack": quotaSlack, "recovery_s": 12,
			"require_fence": false, "thaw_ms": 300},
		"platform": map[string]any{"addr": w.storeAddr, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 8.0, "part_writes_per_s": 150,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0},
		"cloud": map[string]any{"addr": w.cloudAddr, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0}}, "", "  ")
	if err == nil {
		err = os.WriteFile(in.settings, raw, 0o600)
	}
	if err != nil {
		cannotRun("settings of %s: %v", in.name, err)
	}
}

// fleet prepares and starts four instances, as in the small deployment, and waits until
// all are ready.
func (w *world) fleet() {
	port := freePorts()
	for _, m := range []struct{ name, zone string }{{"edge-kecskemet-1", "kecskemet"}, {"edge-kecskemet-2", "kecskemet"}, {"edge-szeged-1", "szeged"}, {"edge-bekescsaba-1", "bekescsaba"}} {
		w.addInstance(m.name, m.zone, port)
	}
	for _, in := range w.instances {
		w.start(in)
	}
	for end := time.Now().Add(10 * time.Second); ; {
		ready := 0
		for _, in := range w.instances {
			if in.isReady() {
				ready++
			}
		}
		if ready == len(w.instances) {
			break
		}
		if time.Now().After(end) {
			cannotRun("the instances are not ready after 10 s")
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, in := range w.instances {
		w.writeSettings(in, port, false) // the whole system has started
	}
}

// freePorts returns the first of some ports that are free on the addresses of the fleet.
func freePorts() int {
	for port := 20000 + os.Getpid()%97*100; port < 60000; port += 100 {
		free := true
		for _, offset := range []int{0, 1, 10, 11, 12} {
			for n := 1; n <= fleetSize && free; n++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", fleetIP(n), port+offset))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			return port
		}
	}
	cannotRun("no free ports")
	return 0
}

// fleetSize is the number of instances of the small deployment.
const fleetSize = 4

// fleetIP returns the loopback address of the n-th instance, counted from 1.
func fleetIP(n int) string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, n) }

func (w *world) start(in *instance) {
	out, err := os.OpenFile(filepath.Join(w.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(w.binary)
	cmd.Env = []string{"VANILLAHINGE_BOOT=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the harness
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", in.name, err)
	}
	exit := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exit = cmd, exit
	in.mu.Unlock()
	w.log.write("start %s", in.name)
	go func() {
		err := cmd.Wait()
		w.log.write("%s has ended: %v", in.name, err)
		_ = out.Close()
		close(exit)
	}()
}

func (w *world) signal(in *instance, sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	w.log.write("%v to %s", sig, in.name)
	_ = in.cmd.Process.Signal(sig)
}

func (w *world) awaitExit(in *instance) {
	in.mu.Lock()
	exit := in.exit
	in.mu.Unlock()
	<-exit
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, in := range w.instances {
		in.mu.Lock()
		cmd, exit := in.cmd, in.exit
		in.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-exit:
			continue
		default:
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exit
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs of the instances:", w.dir)
	}
}

// isReady asks the instance as the balancer does.
func (in *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + in.ready + "/vanillahinge/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// metric returns a counter of the instance; 0 if it has none.
func (in *instance) metric(name string) float64 {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + in.meter + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	sum := 0.0
	for s := bufio.NewScanner(res.Body); s.Scan(); {
		f := strings.Fields(s.Text())
		if len(f) == 2 && (strings.HasPrefix(f[0], name)) {
			var v float64
			_, _ = fmt.Sscan(f[1], &v)
			sum += v
		}
	}
	return sum
}

// session is a client's connection to an instance.
type session struct {
	w *world
	c net.Conn
	r *bufio.Reader
}

// answer is the answer to a statement.
type answer struct {
	rows  []string
	done  string // the signature, if the statement succeeded
	code  string // the code, if it did not
	text  string
	state string
}

var errRefused = errors.New("session refused")

func (w *world) open(in *instance, database, key string) (*session, error) {
	c, err := net.DialTimeout("tcp", in.front, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{w: w, c: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key)
	line, err := s.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("%w: %s", errRefused, strings.TrimSpace(line))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

// newID returns the id of a statement.
func (w *world) newID() string { return fmt.Sprintf("%016x", w.nextID.Add(1)) }

// query sends a statement and waits for its answer.
func (s *session) query(id, text string, timeout time.Duration) (answer, error) {
	_ = s.c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(s.c, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return answer{}, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.done = rest
		case "ERR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (s *session) close() { _ = s.c.Close() }
