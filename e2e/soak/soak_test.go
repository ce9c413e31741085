// Package soak runs the instances as separate processes against stand-ins of
// the platform, injects faults from outside and checks what callers get.
//
//	go test ./e2e/soak                                   a short run
//	VH_SOAK_SEEDS=50 VH_SOAK_FROM=100 go test ./e2e/soak -timeout 30m
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/platform/standin"
	"github.com/vanillahinge/vanillahinge/standin/link"
)

const (
	instances = 3
	clients   = 6
	// faultTime is followed by a calm in which all must be served again.
	faultTime = 8 * time.Second
	calmTime  = 5 * time.Second
	// recoveryTime is the users' bound after the loss of instances for good.
	recoveryTime = 12 * time.Second
	staleness    = 1500 * time.Millisecond
	// restTime is below the configured limit of 2 s, after which idle transactions end in
	// any case.
	restTime = 1200 * time.Millisecond
	// coldTime, coldRate, coldOvershoot and coldSlack are the terms of endpoints that have
	// just started.
	coldTime      = 2 * time.Second
	coldRate      = 40
	coldOvershoot = 1.5
	coldSlack     = 5
)

// failed are seeds that showed a fault once; they are played in each run.
var failed = []uint64{}

func setting(name string, def int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return def
}

func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "vanillahinge-edge")
	build := exec.Command("go", "build", "-o", bin, "github.com/vanillahinge/vanillahinge/cmd/vanillahinge-edge")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	seeds := append([]uint64(nil), failed...)
	for i := range setting("VH_SOAK_SEEDS", 3) {
		seeds = append(seeds, uint64(setting("VH_SOAK_FROM", 1)+i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, bin, seed) })
	}
}

type instance struct {
	name     string
	settings string
	caller   string
	log      *os.File
	store    *link.Link
	// successorPort is the first internal port of the instance that replaces this one.
	successorPort int

	mu  sync.Mutex
	cmd *exec.Cmd
}

type world struct {
	// idleAccounts is the number of further accounts. With many, one instance keeps the
	// connections and the others forward their statements.
	idleAccounts int
	// syncReplicas is the number of replicas that have received a commit before it is
	// acknowledged.
	syncReplicas int
	// resting is the number of callers that are idle in transactions. Together they use all
	// connections to the endpoints, of which maxConnections are accepted. Overload control
	// is on in a world with such callers, since nothing else ends their transactions early.
	resting, maxConnections int
	// regions is set if the data centres lie in two regions.
	regions bool
	// loss is set if all instances but one are lost for good after the other faults.
	loss bool
	// calm is set once the faults have ended.
	calm atomic.Bool
	// cold is set if the configuration limits the statements to endpoints that have just
	// started. Endpoints start again then.
	cold      bool
	t         *testing.T
	bin       string
	rnd       *rand.Rand
	store     *standin.Store
	endpoints []*standin.Endpoint
	links     []*link.Link
	instances []*instance
	version   int

	mu     sync.Mutex
	config map[string]any
	faults []string
	events []string
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (w *world) violation(format string, args ...any) {
	w.note("VIOLATION "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func play(t *testing.T, bin string, seed uint64) {
	w := &world{t: t, bin: bin, rnd: rand.New(rand.NewPCG(seed, 0)), store: standin.NewStore()}
	g, endpoints, err := standin.NewGroup(w.store, "bookings", []string{"z1", "z2", "z3"})
	assert.NilError(t, err)
	w.endpoints = endpoints
	for _, e := range endpoints {
		k, err := link.Start("", e.Addr, 0)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = k.Close() })
		e.Addr = k.Addr()
		e.Register()
		w.links = append(w.links, k)
	}
	storeSrv, promoter := httptest.NewServer(w.store), httptest.NewServer(g.Promoter())
	t.Cleanup(func() { storeSrv.CloseClientConnections(); promoter.Close() })
	if seed%2 == 1 {
		w.idleAccounts = 40
	}
	w.maxConnections = 40
	if seed%4 < 2 { // with and without cold endpoints
		w.resting, w.maxConnections = 6, 14
	}
	w.syncReplicas = int(seed % 3)
	g.SetSyncReplicas(w.syncReplicas)
	w.regions = seed%4 == 3
	w.loss = seed%5 == 2
	if w.cold = seed%2 == 0; w.cold {
		g.ColdTime, g.ColdBound = coldTime, coldRate*coldOvershoot+coldSlack
	}
	w.publish()
	dir := t.TempDir()
	for i := range instances {
		w.prepare(dir, i, strings.TrimPrefix(storeSrv.URL, "http://"), strings.TrimPrefix(promoter.URL, "http://"), seed)
	}
	for _, in := range w.instances {
		w.start(in)
		t.Cleanup(func() { w.end(in, syscall.SIGKILL) })
	}
	time.Sleep(time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var all []*caller
	for i := range clients {
		c := &caller{w: w, item: fmt.Sprintf("item%d", i), rnd: rand.New(rand.NewPCG(seed, uint64(i+1))), state: map[int]outcome{}}
		all = append(all, c)
		wg.Go(func() { c.run(stop) })
	}
	for i := range w.resting {
		c := &caller{w: w, item: fmt.Sprintf("resting%d", i), rnd: rand.New(rand.NewPCG(seed, uint64(100+i))), state: map[int]outcome{}, rest: restTime}
		all = append(all, c)
		wg.Go(func() { c.run(stop) })
	}
	if w.regions {
		wg.Go(func() { w.readHomes(stop) })
	}
	end := time.Now().Add(faultTime)
	var heal sync.WaitGroup
	for time.Now().Before(end) {
		w.fault(&heal)
		time.Sleep(time.Duration(200+w.rnd.IntN(600)) * time.Millisecond)
	}
	heal.Wait()
	w.evacuation()
	if w.syncReplicas > 0 {
		w.loseMemory()
		time.Sleep(recoveryTime)
	}
	if w.loss {
		w.loseMostUsers()
		time.Sleep(recoveryTime)
	}
	w.note("calm")
	time.Sleep(calmTime - time.Second)
	w.calm.Store(true)
	for _, c := range all {
		c.calm.Store(true)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()

	var leader *standin.Endpoint
	for _, e := range endpoints {
		if e.IsPrimary() {
			leader = e
		}
	}
	if leader == nil {
		w.violation("no primary at the end")
	} else {
		for _, c := range all {
			c.check(leader)
		}
	}
	for _, f := range g.Violations() {
		w.violation("%s", f)
	}
	if len(w.faults) > 0 {
		keep := filepath.Join(os.TempDir(), fmt.Sprintf("vanillahinge-soak-%d", seed))
		assert.NilError(t, os.MkdirAll(keep, 0o755))
		for _, in := range w.instances {
			raw, err := os.ReadFile(in.log.Name())
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(filepath.Join(keep, in.name+".log"), raw, 0o644))
		}
		assert.NilError(t, os.WriteFile(filepath.Join(keep, "events.log"), []byte(strings.Join(w.events, "\n")+"\n"), 0o644))
		t.Fatalf("seed %d, logs in %s:\n%s", seed, keep, strings.Join(w.faults, "\n"))
	}
}

func (w *world) publish() {
	w.version++
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": name, "type": kind, "service": "bookings", "timeout_ms": 1000 + w.version,
			"goal_ms": 400, "prio": 1, "max_staleness_ms": staleness.Milliseconds()}
	}
	tenants := []any{map[string]any{"name": "acme", "api_keys": []string{"k"}, "rate_per_s": 5000, "burst": 5000}}
	for i := range w.idleAccounts {
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("idle-", i), "api_keys": []string{fmt.Sprint("idle-key-", i)}, "rate_per_s": 10, "burst": 10})
	}
	routes := []any{route("latest", "primary"), route("bounded", "bounded_staleness"), route("own", "read_your_writes")}
	if w.regions {
		home := route("home-south", "bounded_staleness")
		home["home_regions"] = []string{"south"}
		routes = append(routes, home)
	}
	service := map[string]any{"name": "bookings", "max_conns": w.maxConnections, "sync_replicas": w.syncReplicas}
	if w.cold {
		service["cold_s"], service["cold_per_s"] = coldTime.Seconds(), coldRate
	}
	config := map[string]any{"version": w.version,
		"routes":   routes,
		"services": []any{service},
		"limits":   map[string]any{"tx_idle_ms": 2000},
		"tenants":  tenants}
	w.mu.Lock()
	w.config = config
	w.mu.Unlock()
	w.store.Put("op", "config", config)
}

// restore brings the store back from a copy. The operator and the endpoints write again
// what they have written.
func (w *world) restore(c standin.Copy) {
	w.store.Refuse(503)
	time.Sleep(300 * time.Millisecond)
	w.note("restore")
	w.store.Restore(c)
	w.store.Refuse(0)
	w.mu.Lock()
	config := w.config
	w.mu.Unlock()
	w.store.Put("op", "config", config)
	for _, e := range w.endpoints {
		e.Register()
	}
}

func (w *world) prepare(dir string, i int, store, promoter string, seed uint64) {
	k, err := link.Start("", store, 0)
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = k.Close() })
	port := 21000 + (os.Getpid()*31+int(seed)*instances*5+i*5)%9000
	in := &instance{name: fmt.Sprintf("edge-%d", i), caller: fmt.Sprintf("127.0.0.1:%d", port+3), store: k,
		settings: filepath.Join(dir, fmt.Sprintf("edge-%d.json", i)), successorPort: port - 10000}
	contracts := []string{}
	if w.resting > 0 {
		contracts = append(contracts, "pressure")
	}
	raw, err := json.Marshal(map[string]any{"contracts": contracts, "node_name": in.name, "ip": "127.0.0.1", "zone": fmt.Sprintf("z%d", i+1), "zones": w.zones(),
		"listen":         map[string]any{"front": in.caller, "ready": fmt.Sprintf("127.0.0.1:%d", port+4)},
		"internal_ports": []int{port, port + 2}, "bounds": map[string]any{"grace_s": 3, "quota_window_s": 5,
			"quota_overshoot": 0.1, "quota_slack": 20, "cold_overshoot": coldOvershoot, "cold_slack": coldSlack, "config_apply_ms": 3000,
			"evacuate_ms": evacuationBound.Milliseconds()},
		"platform": map[string]any{"addr": k.Addr()}, "cloud": map[string]any{"addr": promoter}})
	assert.NilError(w.t, err)
	assert.NilError(w.t, os.WriteFile(in.settings, raw, 0o600))
	in.log, err = os.Create(filepath.Join(dir, in.name+".log"))
	assert.NilError(w.t, err)
	w.instances = append(w.instances, in)
}

func (w *world) start(in *instance) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cmd = exec.Command(w.bin, "--settings", in.settings)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	if err := in.cmd.Start(); err != nil {
		w.violation("start %s: %v", in.name, err)
	}
}

// end signals an instance's process and waits for its end.
func (w *world) end(in *instance, sig syscall.Signal) {
	in.mu.Lock()
	cmd := in.cmd
	in.cmd = nil
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	_ = cmd.Wait() // a killed process reports its signal
}

func (w *world) signal(in *instance, sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(sig)
	}
}

// loseMostUsers cuts the primary off and loses all instances but one for good at the same time,
// as in a rack that loses power. Others take their places a second later, and the primary is back
// at some time after that.
func (w *world) loseMostUsers() {
	last, dark := w.rnd.IntN(instances), 0
	for i, e := range w.endpoints {
		if e.IsPrimary() {
			dark = i
		}
	}
	w.note("all instances but edge-%d are lost, endpoint %d is cut off", last, dark)
	w.endpoints[dark].SetIsolated(true)
	w.links[dark].SetPartitioned(true)
	for i, in := range w.instances {
		if i != last {
			w.end(in, syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	for i, in := range w.instances {
		if i != last {
			w.replace(in)
			w.start(in)
		}
	}
	time.Sleep(time.Duration(w.rnd.IntN(6000)) * time.Millisecond)
	w.links[dark].SetPartitioned(false)
	w.endpoints[dark].SetIsolated(false)
}

// loseMemory loses the primary and a replica while the other replica receives nothing, and the
// replica that is lost leaves the list. Then all instances are killed and started again, maybe while
// the store is down, and the two are back at some time after that.
func (w *world) loseMemory() {
	order := w.rnd.Perm(len(w.endpoints))
	for i, r := range order {
		if w.endpoints[r].IsPrimary() {
			order[0], order[i] = order[i], order[0]
		}
	}
	primary, replica, behind := order[0], order[1], order[2]
	storeDown := w.rnd.IntN(2) == 0
	w.note("endpoint %d receives nothing, %d and then the primary %d are cut off, all instances are killed, store down %v", behind, replica, primary, storeDown)
	w.endpoints[behind].SetDeaf(true)
	time.Sleep(time.Duration(500+w.rnd.IntN(1000)) * time.Millisecond)
	setCut := func(i int, cut bool) {
		w.endpoints[i].SetIsolated(cut)
		w.links[i].SetPartitioned(cut)
	}
	setCut(replica, true)
	w.store.Delete("servers", w.endpoints[replica].ID)
	time.Sleep(time.Duration(w.rnd.IntN(3500)) * time.Millisecond)
	setCut(primary, true)
	time.Sleep(time.Duration(200+w.rnd.IntN(1000)) * time.Millisecond)
	if storeDown {
		w.store.Refuse(503)
	}
	for _, in := range w.instances {
		w.end(in, syscall.SIGKILL)
	}
	for _, in := range w.instances {
		w.start(in)
	}
	time.Sleep(time.Duration(w.rnd.IntN(2000)) * time.Millisecond)
	w.store.Refuse(0)
	time.Sleep(time.Duration(w.rnd.IntN(4000)) * time.Millisecond)
	first, second := replica, primary
	if w.rnd.IntN(2) == 0 {
		first, second = primary, replica
	}
	for _, i := range []int{first, second} {
		setCut(i, false)
		w.endpoints[i].Register()
		time.Sleep(time.Duration(w.rnd.IntN(1500)) * time.Millisecond)
	}
	w.endpoints[behind].SetDeaf(false)
}

// replace gives the settings of an instance another name and internal address. Callers find its
// successor where it was.
func (w *world) replace(in *instance) {
	raw, err := os.ReadFile(in.settings)
	assert.NilError(w.t, err)
	settings := map[string]any{}
	assert.NilError(w.t, json.Unmarshal(raw, &settings))
	settings["node_name"] = in.name + "-successor"
	settings["internal_ports"] = []int{in.successorPort, in.successorPort + 2}
	raw, err = json.Marshal(settings)
	assert.NilError(w.t, err)
	assert.NilError(w.t, os.WriteFile(in.settings, raw, 0o600))
}

// fault begins a random fault and ends it later.
func (w *world) fault(heal *sync.WaitGroup) {
	in, e := w.instances[w.rnd.IntN(instances)], w.rnd.IntN(len(w.endpoints))
	wait := time.Duration(300+w.rnd.IntN(2500)) * time.Millisecond
	later := func(f func()) { heal.Go(func() { time.Sleep(wait); f() }) }
	kinds := 14
	if w.cold {
		kinds = 16
	}
	kind := w.rnd.IntN(kinds)
	w.note("fault %d: %s, endpoint %d, for %v", kind, in.name, e, wait)
	switch kind {
	case 0:
		w.signal(in, syscall.SIGSTOP)
		later(func() { w.signal(in, syscall.SIGCONT) })
	case 1, 2:
		sig := syscall.SIGKILL
		if kind == 2 {
			sig = syscall.SIGTERM
		}
		heal.Go(func() {
			w.signal(in, syscall.SIGCONT)
			w.end(in, sig)
			time.Sleep(wait / 2)
			w.start(in)
		})
	case 3:
		w.store.Refuse(503)
		later(func() { w.store.Refuse(0) })
	case 4:
		in.store.SetPartitioned(true)
		later(func() { in.store.SetPartitioned(false) })
	case 5:
		w.store.LoseAnswers(2)
	case 6:
		w.store.Compact()
	case 7:
		// Cut off from the instances, and from what the others decide.
		w.endpoints[e].SetIsolated(true)
		w.links[e].SetPartitioned(true)
		later(func() { w.links[e].SetPartitioned(false); time.Sleep(wait / 2); w.endpoints[e].SetIsolated(false) })
	case 8:
		w.links[e].SetDelay(30 * time.Millisecond)
		later(func() { w.links[e].SetDelay(0) })
	case 9:
		w.links[e].Reset()
		w.endpoints[e].LoseAnswers(2)
	case 10:
		w.endpoints[e].Shed(5)
	case 11:
		w.publish()
	case 12:
		c := w.store.Copy()
		later(func() { w.restore(c) })
	case 13:
		w.requestEvacuation(w.endpoints[e])
		later(func() { w.withdrawEvacuation(w.endpoints[e]) })
	case 14, 15:
		w.endpoints[e].Recycle()
	}
}
