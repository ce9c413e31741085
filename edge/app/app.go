// Package app builds an instance from its parts and runs it as a kratos application.
package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/topology"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/control"
	"github.com/vanillahinge/vanillahinge/edge/engine"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/forward"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/where"
	"github.com/vanillahinge/vanillahinge/platform"
)

const (
	// heapFraction is the heap's part of the memory limit; the rest is for stacks,
	// kernel buffers and the binary.
	heapFraction = 0.6
	// gcPercent starts a garbage collection when the heap has grown by half: memory
	// is scarcer than CPU time here, and collections are cheap because few objects
	// stay alive.
	gcPercent = 50
	// exitReserve is the end of the grace period, reserved for the exit of the process
	// after its sessions have ended. Open transactions have the first half of the grace
	// period; the reserve is taken from the second half.
	exitReserve = 500 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked; it may change
	// without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout bounds the wait for the last log lines at exit.
	logFlushTimeout = 100 * time.Millisecond
)

// Run runs an instance with the settings file at path until a signal stops it. Log
// lines are written to out.
func Run(path string, out io.Writer) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	// The instances' machines run one thread at a time; more threads would only add
	// context switches.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * heapFraction * (1 << 20)))
	}
	log := telemetry.NewLog(out, string(s.Instance))
	defer log.Close(logFlushTimeout)
	a := newApp(s, path, log)
	log.Info("app: starting", "data_centre", string(s.DataCentre), "callers", s.CallerAddr, "peers", s.PeerAddr,
		"store", s.StoreAddr, "first_start", s.FirstStart)
	err = a.run(context.Background())
	log.Info("app: stopped", "error", fmt.Sprint(err), "lines_lost", log.DroppedLines())
	return err
}

// app holds the parts of one instance.
type app struct {
	settings platform.Settings
	// path is the settings file.
	path     string
	log      *telemetry.Log
	metrics  *telemetry.Metrics
	store    *platform.Store
	promoter *platform.Promoter
	pool     *pool.Pool
	control  *control.Controller
	engine   *engine.Engine
	clock    *clock.Clock
	limiter  *control.Limiter
	local    *executor.Local
	// forwarder sends statements to other instances, forwardServer runs theirs.
	forwarder     *forward.Forwarder
	forwardServer *forward.Server
	stopping      atomic.Bool
	// drained is closed once no session is left. Until then the HTTP listeners stay
	// open: other instances treat one that refuses connections as not running.
	drained chan struct{}
}

// dialer opens connections to endpoints that use the line protocol.
type dialer struct{}

const (
	// connectTimeout covers several round trips between data centres; after a lost
	// packet the connection is attempted again.
	connectTimeout = 200 * time.Millisecond
	// handshakeTimeout bounds the startup exchange with a busy endpoint.
	handshakeTimeout = time.Second
)

// Open implements pool.Dialer.
func (dialer) Open(e catalog.Endpoint, account fleet.AccountID) (pool.RawConn, stmt.Answer, error) {
	c, a, err := platform.DialEndpoint(e, account, connectTimeout, handshakeTimeout)
	if err != nil {
		return nil, a, err
	}
	return c, a, nil
}

// Probe implements pool.Dialer.
func (dialer) Probe(addr string) error {
	c, err := platform.Dial(addr, connectTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

// newApp builds the parts of an instance and starts none of them.
func newApp(s platform.Settings, path string, log *telemetry.Log) *app {
	clk := clock.New()
	metrics := telemetry.NewMetrics()
	a := &app{drained: make(chan struct{}), settings: s, path: path, log: log, metrics: metrics,
		store: platform.NewStore(s.StoreAddr), promoter: platform.NewPromoter(s.PromotionAddr, s.Instance)}
	a.pool = pool.New(clk, dialer{}, log, metrics, s.DataCentre)
	a.pool.SetDrainTime(s.DrainTime)
	a.pool.SetOverloadControl(s.OverloadControl)
	regions := topology.New(s.Regions)
	a.pool.SetTopology(regions)
	limiter := control.NewLimiter(clk, metrics, s.FirstStart, s.Quota)
	a.control = control.New(control.Config{
		Self: catalog.Member{ID: s.Instance, DataCentre: s.DataCentre, Addr: s.PeerAddr,
			ForwardAddr: s.ForwardAddr, Capacity: s.Capacity, LinkMbps: s.LinkMbps, Incarnation: time.Now().UnixNano(), ReadsHomes: len(s.Regions) > 0},
		Topology: regions, EvacuationTime: s.EvacuationTime, Clock: clk, Store: a.store, Promoter: a.promoter, Dialer: dialer{}, Pool: a.pool, Limiter: limiter, ColdRate: s.ColdRate, Log: log, Metrics: metrics,
		Schema: control.Schema{OperatorTable: platform.OperatorTable, EndpointTable: platform.EndpointTable, FleetTable: platform.FleetTable,
			ConfigKey: platform.ConfigKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeCatalog: platform.DecodeCatalog, DecodeEndpoint: platform.DecodeEndpoint,
			DecodeState: platform.DecodeEndpointState},
	})
	a.clock, a.limiter = clk, limiter
	local := &executor.Local{Clock: clk, Pool: a.pool, Log: log, Metrics: metrics, DecodeState: platform.DecodeEndpointState}
	a.local = local
	a.forwarder = forward.New(clk, local, a.control, log, metrics)
	a.forwardServer = &forward.Server{Clock: clk, Executor: local, Ready: a.control.Ready, Log: log, Metrics: metrics}
	a.engine = &engine.Engine{Clock: clk, View: a.control.View, Executor: a.forwarder, Admission: limiter,
		Errors: platform.ErrorClassifier{}, Log: log, Metrics: metrics}
	return a
}

// ready reports whether the load balancer may send clients to this instance.
func (a *app) ready() bool { return !a.stopping.Load() && a.control.Ready() }

// run serves until a signal stops the process or parent is done.
func (a *app) run(parent context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.control.Run(ctx)
	go a.pool.MonitorEndpoints(ctx)
	go a.forwarder.Watch(ctx)
	go a.watchSettings(ctx)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", a.metrics)
	metricsMux.HandleFunc("GET "+where.Path, a.serveWhere)
	k := kratos.New(
		kratos.Name("vanillahinge-edge"), kratos.ID(string(a.settings.Instance)),
		kratos.Context(parent), kratos.Logger(kratoslog.NewStdLogger(io.Discard)),
		kratos.StopTimeout(a.settings.ShutdownGracePeriod+time.Second),
		kratos.Server(
			newHTTP("peers", a.settings.PeerAddr, peerrpc.Handler(a.control), a.drained),
			newHTTP("metrics", a.settings.MetricsAddr, metricsMux, a.drained),
			newHTTP("readiness", a.settings.ReadyAddr, platform.ReadyHandler(a.ready), a.drained),
			&forwardListener{a: a},
			&clientListener{a: a, drained: make(chan struct{})},
		),
	)
	return k.Run()
}

// watchSettings loads the settings again when their file changes or on SIGHUP. The
// addresses of the store and the promotion service are applied at once; the other
// settings need a restart.
func (a *app) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	var modified time.Time
	if info, err := os.Stat(a.path); err == nil {
		modified = info.ModTime()
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-t.C:
		}
		info, err := os.Stat(a.path)
		if err != nil || !signalled && info.ModTime().Equal(modified) {
			continue
		}
		modified = info.ModTime()
		s, err := platform.LoadSettings(a.path)
		if err != nil {
			a.log.Warn("app: new settings are invalid; the previous ones stay in force", "error", err.Error())
			continue
		}
		a.store.SetAddr(s.StoreAddr)
		a.promoter.SetAddr(s.PromotionAddr)
		restart := s.CallerAddr != a.settings.CallerAddr || s.PeerAddr != a.settings.PeerAddr || s.Instance != a.settings.Instance
		a.log.Info("app: settings reloaded", "signalled", signalled, "needs_restart", restart)
	}
}

// clientListener is the listener for clients as a kratos server.
type clientListener struct {
	a *app
	l atomic.Pointer[net.TCPListener]
	// accepted counts the connections that are being served.
	accepted sync.WaitGroup
	// drained is closed when Start has returned.
	drained chan struct{}
}

// Start accepts clients until Stop.
func (c *clientListener) Start(context.Context) error {
	defer close(c.drained)
	l, err := net.Listen("tcp", c.a.settings.CallerAddr)
	if err != nil {
		return fmt.Errorf("app: listen for clients: %w; check listen.front in the settings", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("app: listen for clients: %q is not a TCP address; check listen.front in the settings", c.a.settings.CallerAddr)
	}
	c.l.Store(tcp)
	return c.accept(tcp)
}

// accept serves the connections that arrive until the listener is closed or its deadline
// has passed.
func (c *clientListener) accept(l *net.TCPListener) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			c.a.log.Warn("app: accepting a client connection failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		c.accepted.Go(func() { c.a.engine.Serve(platform.NewClientConn(conn)) })
	}
}

// acceptDrain is how long connections are still accepted after all sessions have ended,
// so that those which wait in the queue of the listener are told to connect again rather
// than reset; refusalTime bounds the time until they have been.
const (
	acceptDrain = 50 * time.Millisecond
	refusalTime = 250 * time.Millisecond
)

// drainQueue accepts and refuses the connections that wait in the queue of the listener,
// and closes it.
func (c *clientListener) drainQueue(l *net.TCPListener) error {
	if err := l.SetDeadline(time.Now().Add(acceptDrain)); err != nil {
		return err
	}
	<-c.drained
	err := l.Close()
	refused := make(chan struct{})
	go func() {
		c.accepted.Wait()
		close(refused)
	}()
	select {
	case <-refused:
	case <-time.After(refusalTime):
	}
	return err
}

// acceptRetryDelay is the pause after a failed accept, which is usually caused by a
// lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Stop reports the instance as not ready, hands its client accounts to other
// instances and ends the sessions within the grace period.
func (c *clientListener) Stop(context.Context) error {
	c.a.stopping.Store(true)
	grace := c.a.settings.ShutdownGracePeriod
	within := max(grace-exitReserve, exitReserve)
	transactionDeadline := time.Now().Add(min(grace/2, within))
	c.a.log.Info("app: stopping", "sessions", c.a.engine.SessionCount(), "within_ms", within.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	defer close(c.a.drained)
	c.a.control.HandOffAccounts(ctx)
	c.a.forwardServer.Leave()
	c.a.engine.Shutdown(ctx, within, transactionDeadline)
	c.a.forwardServer.Drain(ctx, transactionDeadline)
	c.a.control.Deregister()
	if l := c.l.Load(); l != nil {
		return c.drainQueue(l)
	}
	return nil
}

// forwardListener is the listener for the statements of other instances as a kratos
// server.
type forwardListener struct {
	a *app
	l atomic.Pointer[net.Listener]
}

// Start accepts streams until Stop.
func (f *forwardListener) Start(context.Context) error {
	l, err := net.Listen("tcp", f.a.settings.ForwardAddr)
	if err != nil {
		return fmt.Errorf("app: listen for statements of other instances: %w; check the ports for instances in the settings", err)
	}
	f.l.Store(&l)
	return f.a.forwardServer.Serve(l)
}

// Stop closes the listener and the streams once no session is left and no forwarded
// statement runs.
func (f *forwardListener) Stop(context.Context) error {
	<-f.a.drained
	f.a.forwardServer.Close()
	if l := f.l.Load(); l != nil {
		return (*l).Close()
	}
	return nil
}

// httpServer is an HTTP server as a kratos server.
type httpServer struct {
	name    string
	addr    string
	drained <-chan struct{}
	http.Server
}

// newHTTP returns an HTTP server that stays open until drained is closed.
func newHTTP(name, addr string, h http.Handler, drained <-chan struct{}) *httpServer {
	return &httpServer{name: name, addr: addr, drained: drained, Server: http.Server{Handler: h, ReadHeaderTimeout: platform.HTTPReadTimeout}}
}

// Start serves requests until Stop.
func (s *httpServer) Start(context.Context) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("app: listen for %s: %w; check the address in the settings", s.name, err)
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("app: serve %s: %w", s.name, err)
	}
	return nil
}

// Stop closes the server once no session is left.
func (s *httpServer) Stop(context.Context) error {
	<-s.drained
	return s.Server.Close()
}
