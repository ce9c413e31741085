package app

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/platform"
	"github.com/vanillahinge/vanillahinge/platform/standin"
)

// world is a platform with one group and some instances in this process.
type world struct {
	t         *testing.T
	store     *standin.Store
	group     *standin.Group
	endpoints []*standin.Endpoint
	storeAddr string
	promoter  string
	apps      []*app
	config    map[string]any
	version   int
}

// nextPort counts through ports below the range of outgoing connections, so
// that no connection of a test takes one that is about to be listened on.
var nextPort atomic.Int32

// freePorts returns the first of n free ports in a row.
func freePorts(t *testing.T, n int) int {
	for range 1000 {
		first := 20000 + (int(nextPort.Add(int32(n)))+os.Getpid()*37)%10000
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if err != nil {
				free = false
				break
			}
			assert.NilError(t, l.Close())
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: standin.NewStore()}
	var err error
	w.group, w.endpoints, err = standin.NewGroup(w.store, "bookings", []string{"z1", "z2", "z1"})
	assert.NilError(t, err)
	storeSrv, promoteSrv := httptest.NewServer(w.store), httptest.NewServer(w.group.Promoter())
	t.Cleanup(func() { storeSrv.CloseClientConnections(); promoteSrv.Close() })
	w.storeAddr, w.promoter = strings.TrimPrefix(storeSrv.URL, "http://"), strings.TrimPrefix(promoteSrv.URL, "http://")
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": name, "type": kind, "service": "bookings", "timeout_ms": 2000, "goal_ms": 1000,
			"prio": 1, "max_staleness_ms": 1500}
	}
	w.config = map[string]any{
		"routes":   []any{route("latest", "primary"), route("bounded", "bounded_staleness"), route("own", "read_your_writes")},
		"services": []any{map[string]any{"name": "bookings", "max_conns": 40, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 500},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": []string{"key-acme"}, "rate_per_s": 10000, "burst": 10000},
			map[string]any{"name": "small", "api_keys": []string{"key-small"}, "rate_per_s": 20, "burst": 20}},
	}
	w.publish()
	return w
}

func (w *world) publish() {
	w.version++
	w.config["version"] = w.version
	w.store.Put("op", "config", w.config)
}

// startInstance runs an instance and waits until it is ready.
func (w *world) startInstance(name string, first bool) (a *app, stop func()) {
	t := w.t
	port := freePorts(t, 4)
	settings := map[string]any{
		"node_name": name, "ip": "127.0.0.1", "zone": "z1", "bootstrap": first,
		"listen":         map[string]any{"front": fmt.Sprintf("127.0.0.1:%d", port+2), "ready": fmt.Sprintf("127.0.0.1:%d", port+3)},
		"internal_ports": []int{port, port + 1},
		"bounds": map[string]any{"grace_s": 2, "config_apply_ms": 3000, "quota_window_s": 5, "quota_overshoot": 0.1,
			"quota_slack": 20},
		"platform": map[string]any{"addr": w.storeAddr}, "cloud": map[string]any{"addr": w.promoter},
	}
	raw, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	s, err := platform.LoadSettings(path)
	assert.NilError(t, err)
	var out io.Writer = io.Discard
	if os.Getenv("VH_TEST_LOG") != "" {
		out = os.Stderr
	}
	a = assemble(s, path, telemetry.NewLog(out, name))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.run(ctx) }()
	w.apps = append(w.apps, a)
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Errorf("instance %s: %v", name, err)
			}
		})
	}
	t.Cleanup(stop)
	w.eventually(5*time.Second, func() bool { return a.ready() && a.pool.LeaseValid() })
	return a, stop
}

func (w *world) eventually(within time.Duration, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(within); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within %v", within)
		}
	}
}

// client speaks the line protocol.
type client struct {
	t  *testing.T
	c  net.Conn
	r  *bufio.Reader
	id int
}

func dial(t *testing.T, a *app, database, key string) (*client, string) {
	t.Helper()
	conn, err := net.Dial("tcp", a.settings.CallerAddr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{t: t, c: conn, r: bufio.NewReader(conn)}
	_, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	assert.NilError(t, err)
	line, err := c.r.ReadString('\n')
	assert.NilError(t, err)
	return c, strings.TrimSpace(line)
}

// do sends a statement and returns the lines of its answer, joined by "|".
func (c *client) do(text string) string {
	c.t.Helper()
	c.id++
	_, err := fmt.Fprintf(c.c, "QUERY q%d %s\r\n", c.id, text)
	if err != nil {
		return "closed"
	}
	var lines []string
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return "closed"
		}
		lines = append(lines, strings.TrimSpace(line))
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "|")
		}
	}
}

func ok(answer string) bool { return strings.Contains(answer, "DONE ") }

func TestCalmDay(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	b, _ := w.startInstance("edge-2", true)

	c, hello := dial(t, a, "own", "key-acme")
	assert.Equal(t, hello, "READY I -")
	assert.Equal(t, c.do("SET tz Asia/Bangkok"), "DONE -|READY I -")
	assert.Equal(t, c.do("PREPARE s1 PUT q2c"), "DONE -|READY I -")
	assert.Assert(t, ok(c.do("EXEC s1 roof booked")))
	for range 20 {
		// Its own write, wherever the read runs.
		assert.Assert(t, strings.Contains(c.do("FETCH roof"), "ROW booked|"))
	}
	assert.Equal(t, c.do("BEGIN"), "DONE -|READY T -")
	assert.Assert(t, ok(c.do("PUT roof twice")))
	assert.Equal(t, c.do("ROLLBACK"), "DONE -|READY I -")
	assert.Assert(t, strings.Contains(c.do("FETCH roof"), "ROW booked|"))
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("PUT roof cleaned")))
	assert.Assert(t, ok(c.do("COMMIT")))

	d, _ := dial(t, b, "latest", "key-acme")
	assert.Assert(t, strings.Contains(d.do("FETCH roof"), "ROW cleaned|"), "another instance reads the latest commit")

	// Names of one session mean nothing in another.
	assert.Assert(t, strings.HasPrefix(d.do("EXEC s1 roof x"), "ERR NOSTMT"))
	assert.Assert(t, strings.HasPrefix(d.do("WAITLSN 1.1 FETCH roof"), "ERR BADMSG"))
	assert.Assert(t, strings.HasPrefix(d.do("COMMIT"), "ERR BADMSG"))

	_, hello = dial(t, a, "latest", "key-of-nobody")
	assert.Assert(t, strings.HasPrefix(hello, "ERR NOAUTH"))
	_, hello = dial(t, a, "no-such", "key-acme")
	assert.Assert(t, strings.HasPrefix(hello, "ERR NODB"))
	for _, e := range w.endpoints {
		for _, account := range e.Accounts() {
			assert.Equal(t, account, "acme", "an endpoint learns the account's name and never its key")
		}
	}
}

// A failed transaction runs nothing more and its commit promises that nothing
// is kept.
func TestFailedTransaction(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	c, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("PUT roof kept?")))
	assert.Assert(t, strings.HasSuffix(c.do("NONSENSE"), "READY E -"))
	assert.Assert(t, strings.HasPrefix(c.do("FETCH roof"), "ERR BADMSG"))
	assert.Assert(t, strings.HasPrefix(c.do("COMMIT"), "ERR ABORTED"))
	_, kept := w.endpoints[0].Value("roof")
	assert.Assert(t, !kept)

	// A transaction that rests too long is rolled back.
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("PUT roof kept?")))
	time.Sleep(800 * time.Millisecond)
	assert.Assert(t, strings.HasPrefix(c.do("COMMIT"), "ERR ABORTED"))
	_, kept = w.endpoints[0].Value("roof")
	assert.Assert(t, !kept)
}

// A write whose answer was lost is in doubt and is not repeated; a read is.
func TestLostAnswers(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	c, _ := dial(t, a, "latest", "key-acme")
	w.endpoints[0].LoseAnswers(1)
	assert.Assert(t, strings.HasPrefix(c.do("PUT roof once"), "ERR INDOUBT"))
	assert.Equal(t, w.endpoints[0].Commits(), 1)
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("PUT roof more")))
	w.endpoints[0].LoseAnswers(1)
	assert.Assert(t, strings.HasPrefix(c.do("COMMIT"), "ERR INDOUBT"))
	assert.Equal(t, w.endpoints[0].Commits(), 2)

	// An endpoint that is full did not run it; it is asked again.
	w.endpoints[0].Shed(2)
	assert.Assert(t, ok(c.do("PUT roof third")))
	assert.Equal(t, w.endpoints[0].Commits(), 3)
}

// A read that an endpoint failed is repeated, also as the first statement of a
// transaction; a write is not, since it may have had an effect.
func TestFailedStatements(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	c, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, ok(c.do("PUT roof done")))
	w.endpoints[0].Fail(1)
	assert.Assert(t, ok(c.do("FETCH roof")))
	w.endpoints[0].Fail(1)
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("FETCH roof")))
	assert.Assert(t, ok(c.do("PUT roof again")))
	assert.Assert(t, ok(c.do("COMMIT")))
	assert.Equal(t, w.endpoints[0].Commits(), 2)

	w.endpoints[0].Fail(1)
	assert.Assert(t, strings.HasPrefix(c.do("PUT roof third"), "ERR FAILED"))
	assert.Equal(t, w.endpoints[0].Commits(), 2)
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("FETCH roof")))
	w.endpoints[0].Fail(1)
	assert.Assert(t, strings.HasPrefix(c.do("FETCH roof"), "ERR FAILED"))
}

// The primary crashes: another one takes over, with increasing fence numbers,
// and no write is acknowledged twice or by the old one.
func TestPrimaryCrashes(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	b, _ := w.startInstance("edge-2", true)
	c, _ := dial(t, a, "own", "key-acme")
	assert.Assert(t, ok(c.do("PUT roof first")))
	time.Sleep(50 * time.Millisecond) // the replicas receive it
	w.endpoints[0].Crash()
	start := time.Now()
	w.eventually(5*time.Second, func() bool { return ok(c.do("PUT roof second")) })
	t.Logf("writes again after %v", time.Since(start))
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Assert(t, strings.Contains(c.do("FETCH roof"), "ROW second|"))
	d, _ := dial(t, b, "latest", "key-acme")
	assert.Assert(t, strings.Contains(d.do("FETCH roof"), "ROW second|"))
	assert.Equal(t, len(w.group.Faults()), 0)
}

// The primary accepts connections and loses each answer: another one takes over.
// Guards against writes that are in doubt for as long as the fault lasts
// (incident inc-ed4c).
func TestPrimaryLosesAllAnswers(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	b, _ := w.startInstance("edge-2", true)
	ca, _ := dial(t, a, "latest", "key-acme")
	cb, _ := dial(t, b, "latest", "key-acme")
	assert.Assert(t, ok(ca.do("PUT roof before")))
	assert.Assert(t, ok(cb.do("PUT roof before too")))
	w.endpoints[0].LoseAnswers(1 << 20)
	w.eventually(5*time.Second, func() bool {
		one, two := ca.do("PUT roof during"), cb.do("PUT roof during")
		return ok(one) && ok(two)
	})
	assert.Assert(t, !w.endpoints[0].Leads())
	assert.Equal(t, len(w.group.Faults()), 0, "faults: %v", w.group.Faults())
}

// The primary announces its end: no acknowledged commit is lost and callers are
// not refused.
func TestPrimaryLeaves(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	w.startInstance("edge-2", true)
	c, _ := dial(t, a, "latest", "key-acme")
	w.group.SetLag(100 * time.Millisecond)
	last := ""
	for i := range 400 {
		if i == 50 {
			w.endpoints[0].Drain()
		}
		value := fmt.Sprintf("v%d", i)
		if answer := c.do("PUT roof " + value); ok(answer) {
			last = value
		} else {
			t.Fatalf("write %d: %s", i, answer)
		}
		time.Sleep(2 * time.Millisecond)
	}
	assert.Assert(t, !w.endpoints[0].Leads())
	assert.Assert(t, strings.Contains(c.do("FETCH roof"), "ROW "+last+"|"))
}

// A key taken away and a route dropped end open sessions' next operations, also
// while the store turns the instance away.
func TestConfigurationInForce(t *testing.T) {
	w := newWorld(t)
	a, _ := w.startInstance("edge-1", true)
	b, _ := w.startInstance("edge-2", true)
	w.eventually(2*time.Second, func() bool { return len(a.control.View().Leaders) > 0 })
	c, _ := dial(t, a, "latest", "key-acme")
	d, _ := dial(t, b, "bounded", "key-small")
	assert.Assert(t, ok(c.do("PUT roof 1")))
	assert.Assert(t, ok(d.do("FETCH roof")))
	w.config["tenants"] = w.config["tenants"].([]any)[1:]
	w.config["routes"] = w.config["routes"].([]any)[:1]
	w.publish()
	w.eventually(3*time.Second, func() bool { return a.control.View().Catalog.Version == 2 && b.control.View().Catalog.Version == 2 })
	assert.Assert(t, strings.HasPrefix(c.do("PUT roof 2"), "ERR NOAUTH"))
	assert.Assert(t, strings.HasPrefix(d.do("FETCH roof"), "ERR NODB"))
}

// A client account gets its rate over all instances together, and what it asks
// within it.
func TestRateOverInstances(t *testing.T) {
	w := newWorld(t)
	var apps []*app
	for i := range 3 {
		a, _ := w.startInstance(fmt.Sprintf("edge-%d", i), true)
		apps = append(apps, a)
	}
	time.Sleep(600 * time.Millisecond) // the instances hear of each other
	var mu sync.Mutex
	admitted := 0
	var wg sync.WaitGroup
	const length = 3 * time.Second
	for _, a := range apps {
		c, _ := dial(t, a, "bounded", "key-small")
		wg.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if ok(c.do("FETCH roof")) {
					mu.Lock()
					admitted++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	limit := 20*length.Seconds() + 20
	t.Logf("%d admitted, limit %.0f", admitted, limit)
	assert.Assert(t, float64(admitted) <= limit+1)
	assert.Assert(t, float64(admitted) >= 0.9*limit)
}

// At the end of an instance an open transaction may finish and idle sessions
// are closed without a message.
func TestGracefulEnd(t *testing.T) {
	w := newWorld(t)
	a, stop := w.startInstance("edge-1", true)
	c, _ := dial(t, a, "latest", "key-acme")
	idle, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, ok(c.do("BEGIN")))
	assert.Assert(t, ok(c.do("PUT roof last")))
	done := make(chan struct{})
	go func() { stop(); close(done) }()
	w.eventually(time.Second, func() bool { return !a.ready() })
	// Callers that are still sent here are served.
	late, hello := dial(t, a, "latest", "key-acme")
	assert.Equal(t, hello, "READY I -")
	assert.Assert(t, ok(late.do("FETCH roof")))
	assert.Assert(t, ok(c.do("COMMIT")))
	_, err := idle.r.ReadString('\n')
	assert.Equal(t, err, io.EOF)
	<-done
	v, _ := w.endpoints[0].Value("roof")
	assert.Equal(t, v, "last")
}
