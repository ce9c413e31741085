package front

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fair"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/ctl"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

// cannedAnswer is what the fake endpoint of the benchmarks sends for any
// query: one row of one column.
func cannedAnswer() []byte {
	w := pgwire.NewWriter(nil)
	w.AppendFunc(func(b []byte) []byte {
		b = append(b, 'T', 0, 0, 0, 33, 0, 1, '?', 'c', 'o', 'l', 'u', 'm', 'n', '?', 0)
		b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, 0, 23, 0, 4, 0xff, 0xff, 0xff, 0xff, 0, 0)
		return append(b, 'D', 0, 0, 0, 11, 0, 1, 0, 0, 0, 1, '1')
	})
	w.CommandComplete("SELECT 1")
	w.ReadyForQuery('I')
	return w.Bytes()
}

// fakeEndpoint answers every query with the same bytes and allocates nothing
// per query, so that a benchmark shows the cost of the proxy.
func fakeEndpoint(b testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var wg sync.WaitGroup
	answer := cannedAnswer()
	var mu sync.Mutex
	var conns []net.Conn
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, nc)
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				serveFake(nc, answer)
			}()
		}
	}()
	b.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return ln.Addr().String()
}

func serveFake(nc net.Conn, answer []byte) {
	defer nc.Close()
	r := pgwire.NewReader(nc, pgwire.MaxServerMessage)
	if _, _, err := r.Startup(); err != nil {
		return
	}
	hello := []byte{'R', 0, 0, 0, 8, 0, 0, 0, 0, 'K', 0, 0, 0, 12, 0, 0, 0, 1, 0, 0, 0, 1, 'Z', 0, 0, 0, 5, 'I'}
	if _, err := nc.Write(hello); err != nil {
		return
	}
	for {
		f, err := r.Next()
		if err != nil || f.Type() != 'Q' {
			return
		}
		if _, err := nc.Write(answer); err != nil {
			return
		}
	}
}

// benchServer is an instance before three fake endpoints; open route, so that
// connecting costs nothing. The view has a known primary and no floor is
// needed, since vh.max_age is set by the sessions.
func benchServer(b testing.TB, q fair.Config) (*Server, string) {
	const maxConns, slots = 20, 16
	v := &snapshot.Snapshot{
		Instance: "i1", FreshUntil: time.Now().Add(time.Hour),
		Databases: map[string]*snapshot.Database{"public": {Name: "public", Group: "g", Open: true}},
	}
	g := &snapshot.Group{ID: "g", Term: 1, Primary: "e0"}
	direct := ""
	for i := range 3 {
		role := fleet.RoleReplica
		if i == 0 {
			role = fleet.RolePrimary
		}
		id := fleet.EndpointID(fmt.Sprintf("e%d", i))
		direct = fakeEndpoint(b)
		g.Endpoints = append(g.Endpoints, &snapshot.Endpoint{ID: id, Addr: direct, Slots: slots, MaxConns: maxConns,
			Status:   fleet.EndpointStatus{Endpoint: id, Role: role, Term: 1, FenceTerm: 1, Applied: 1, AppliedTerm: 1},
			StatusAt: time.Now().Add(time.Hour), AppliedAsOf: time.Now().Add(time.Hour)})
	}
	v.Groups = map[fleet.GroupID]*snapshot.Group{"g": g}
	creds, err := auth.NewCredentials(systemUser, systemKey)
	assert.NilError(b, err)
	p := pool.New(pool.Options{Instance: "i1", Credentials: creds, Fair: q})
	srv, err := New(Options{Addr: "127.0.0.1:0", Source: snapshot.NewPublisher(v), Acks: &fakeAcks{f: &fixture{}}, Admitter: &fakeAdmitter{},
		Recorder: &recorder{}, Pool: p})
	assert.NilError(b, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Start(context.Background())
	}()
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = srv.Stop(ctx)
		<-done
		p.Close()
	})
	return srv, direct
}

// rawCaller sends simple queries with as little work as possible.
type rawCaller struct {
	nc    net.Conn
	r     *pgwire.Reader
	query []byte
}

func dialRaw(b testing.TB, addr string) *rawCaller {
	nc, err := net.Dial("tcp", addr)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = nc.Close() })
	c := &rawCaller{nc: nc, r: pgwire.NewReader(nc, 1<<20)}
	body := []byte("user\x00x\x00database\x00public\x00vh.max_age\x001h\x00\x00")
	m := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	m = binary.BigEndian.AppendUint32(m, pgwire.Protocol30)
	_, err = nc.Write(append(m, body...))
	assert.NilError(b, err)
	assert.NilError(b, c.untilReady())
	w := pgwire.NewWriter(io.Discard)
	w.Query("SELECT 1")
	c.query = append([]byte(nil), w.Bytes()...)
	return c
}

func (c *rawCaller) untilReady() error {
	for {
		f, err := c.r.Next()
		if err != nil {
			return err
		}
		switch f.Type() {
		case 'E':
			return fmt.Errorf("%q", f.Body())
		case 'Z':
			return nil
		}
	}
}

func (c *rawCaller) run() error {
	if _, err := c.nc.Write(c.query); err != nil {
		return err
	}
	return c.untilReady()
}

// BenchmarkSimpleRead is the throughput of one instance for simple reads, with
// callers and endpoints in the same process. Run with -cpu 4.
func BenchmarkSimpleRead(b *testing.B) {
	for name, q := range map[string]fair.Config{"fixed": {FixedLimit: true}, "adaptive": {}} {
		b.Run(name, func(b *testing.B) {
			srv, _ := benchServer(b, q)
			throughput(b, srv.Addr().String())
		})
	}
}

// cpuTime is the processor time that this process has used. On a shared
// machine it says more than the time that passed.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func throughput(b *testing.B, addr string) {
	b.ReportAllocs()
	b.SetParallelism(8)
	before := cpuTime(b)
	defer func() { b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op") }()
	b.RunParallel(func(pb *testing.PB) {
		c := dialRaw(b, addr)
		for pb.Next() {
			if err := c.run(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
}

// BenchmarkDirectRead is the same without the proxy.
func BenchmarkDirectRead(b *testing.B) {
	throughput(b, fakeEndpoint(b))
}

// BenchmarkAddedLatency sends 25,000 reads/s in total from 32 callers, half of
// the target of one instance, and reports percentiles with and without the
// proxy. Latency counts from sending, since callers in the same process are
// late themselves; the load tool measures from the intended time.
func BenchmarkAddedLatency(b *testing.B) {
	srv, direct := benchServer(b, fair.Config{FixedLimit: true})
	const callers, rate = 32, 25_000
	for _, target := range []struct{ name, addr string }{{"direct", direct}, {"proxy", srv.Addr().String()}} {
		b.Run(target.name, func(b *testing.B) {
			per := max(b.N/callers, 1)
			all := make([][]time.Duration, callers)
			var wg sync.WaitGroup
			conns := make([]*rawCaller, callers)
			for i := range conns {
				conns[i] = dialRaw(b, target.addr)
				assert.NilError(b, conns[i].run())
			}
			start := time.Now().Add(time.Millisecond)
			gap := time.Duration(callers) * time.Second / rate
			for i, c := range conns {
				wg.Add(1)
				go func() {
					defer wg.Done()
					lat := make([]time.Duration, 0, per)
					for n := range per {
						due := start.Add(gap*time.Duration(n) + gap*time.Duration(i)/callers)
						time.Sleep(time.Until(due))
						sent := time.Now()
						if err := c.run(); err != nil {
							b.Error(err)
							return
						}
						lat = append(lat, time.Since(sent))
					}
					all[i] = lat
				}()
			}
			wg.Wait()
			var flat []time.Duration
			for _, l := range all {
				flat = append(flat, l...)
			}
			sort.Slice(flat, func(i, j int) bool { return flat[i] < flat[j] })
			for _, p := range []float64{50, 99} {
				b.ReportMetric(float64(flat[int(float64(len(flat)-1)*p/100)].Microseconds()), fmt.Sprintf("p%.0f-us", p))
			}
		})
	}
}

// BenchmarkPrimaryRead is the latency of reads at the primary of a stand-in
// group that replicates in 1.5 ms, with acknowledgements by ctl; alone, and
// beside a writer that commits without pause. The sessions' floors are known,
// so no read is confirmed.
func BenchmarkPrimaryRead(b *testing.B) {
	for _, writes := range []bool{false, true} {
		b.Run(fmt.Sprintf("writes=%v", writes), func(b *testing.B) {
			control := ctl.NewControl(ctl.Options{Instance: "i1", Credentials: ctl.Credentials{User: systemUser, Password: systemKey}})
			b.Cleanup(control.Close)
			f := newFixture(b, fixtureConfig{
				options: func(o *Options) { o.Acks = control },
				edit: func(v *snapshot.Snapshot) {
					for _, e := range v.Groups["g"].Endpoints {
						if e.ID != v.Groups["g"].Primary {
							e.Status.Applied = 0 // keeps replicas from serving the reads
						}
					}
				},
			})
			var targets []ctl.Target
			for _, e := range f.endpoints {
				targets = append(targets, ctl.Target{ID: e.Status().Endpoint, Group: "g", Addr: e.Addr()})
				e.SetFaults(func(x *endpoint.Faults) { x.ReceiveDelay = 1500 * time.Microsecond })
			}
			assert.NilError(b, control.SetTargets(targets))
			c, w := f.connectPgx("default_query_exec_mode=simple_protocol"), f.connectPgx("default_query_exec_mode=simple_protocol")
			mustExec(b, c, "CREATE TABLE jobs (id bigint)")
			mustExec(b, w, "INSERT INTO jobs VALUES (0)")
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			if writes {
				done.Go(func() {
					for ctx.Err() == nil {
						_, _ = w.Exec(context.Background(), "UPDATE jobs SET id = id + 1")
					}
				})
			}
			var lat []time.Duration
			for b.Loop() {
				at := time.Now()
				queryInt(b, c, "SELECT id FROM jobs")
				lat = append(lat, time.Since(at))
			}
			cancel()
			done.Wait()
			slices.Sort(lat)
			for _, p := range []int{50, 99} {
				b.ReportMetric(float64(lat[(len(lat)-1)*p/100].Microseconds()), fmt.Sprintf("p%d-us", p))
			}
		})
	}
}
