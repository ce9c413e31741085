// Package app assembles an instance on the users' platform and runs it as a
// kratos app.
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/control"
	"github.com/vanillahinge/vanillahinge/edge/engine"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/platform"
)

const (
	// memoryPart of the limit is left to the heap; the rest is for stacks,
	// buffers of the kernel and the binary.
	memoryPart = 0.6
	// collectAt makes the heap grow by half before it is collected: memory is
	// scarcer than the time it takes, since little stays alive.
	collectAt = 50
	// stopReserve of the grace is left for the end of the process itself.
	stopReserve = 500 * time.Millisecond
	// settingsPeriod is how often the settings file is looked at; it may change
	// without a signal.
	settingsPeriod = 2 * time.Second
	// logDrain bounds the wait for the last log lines.
	logDrain = 100 * time.Millisecond
)

// Run runs an instance with the settings at path until it is told to stop.
func Run(path string, out io.Writer) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	// One thread runs at a time on these machines; more would only add switches.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitMB) * memoryPart * (1 << 20)))
	}
	log := telemetry.NewLog(out, string(s.Instance))
	defer log.Close(logDrain)
	a := assemble(s, path, log)
	log.Info("app: starting", "data_centre", string(s.DataCentre), "callers", s.CallerAddr, "peers", s.PeerAddr,
		"store", s.StoreAddr, "first_start", s.FirstStart)
	err = a.run(context.Background())
	log.Info("app: stopped", "error", fmt.Sprint(err), "lines_lost", log.DroppedLines())
	return err
}

type app struct {
	settings platform.Settings
	path     string
	log      *telemetry.Log
	metrics  *telemetry.Metrics
	store    *platform.Store
	promoter *platform.Promoter
	pool     *pool.Pool
	control  *control.Controller
	engine   *engine.Engine
	stopping atomic.Bool
	// drained is closed once no session is left. Other instances take one that
	// cannot be called for not running, so the port for them stays until then.
	drained chan struct{}
}

// dialer opens connections to endpoints in the line protocol.
type dialer struct{}

const (
	// connectWithin is several round trips between data centres; a lost packet
	// costs another attempt.
	connectWithin = 200 * time.Millisecond
	// handshakeWithin bounds the opening of a connection at a busy endpoint.
	handshakeWithin = time.Second
)

func (dialer) Open(e catalog.Endpoint, account fleet.AccountID) (pool.RawConn, stmt.Answer, error) {
	c, a, err := platform.DialEndpoint(e, account, connectWithin, handshakeWithin)
	if err != nil {
		return nil, a, err
	}
	return c, a, nil
}

func (dialer) Probe(addr string) error {
	c, err := platform.Dial(addr, connectWithin)
	if err != nil {
		return err
	}
	return c.Close()
}

func assemble(s platform.Settings, path string, log *telemetry.Log) *app {
	clk := clock.New()
	m := telemetry.NewMetrics()
	a := &app{drained: make(chan struct{}), settings: s, path: path, log: log, metrics: m,
		store: platform.NewStore(s.StoreAddr), promoter: platform.NewPromoter(s.PromotionAddr, s.Instance)}
	a.pool = pool.New(clk, dialer{}, log, m, s.DataCentre)
	limiter := control.NewLimiter(clk, m, s.FirstStart, s.Quota)
	a.control = control.New(control.Config{
		Self:  catalog.Member{ID: s.Instance, DataCentre: s.DataCentre, Addr: s.PeerAddr},
		Clock: clk, Store: a.store, Promoter: a.promoter, Dialer: dialer{}, Pool: a.pool, Limiter: limiter, Log: log, Metrics: m,
		Schema: control.Schema{OperatorTable: platform.OperatorTable, EndpointTable: platform.EndpointTable, FleetTable: platform.FleetTable,
			ConfigKey: platform.ConfigKey, DecodeCatalog: platform.DecodeCatalog, DecodeEndpoint: platform.DecodeEndpoint,
			DecodeState: platform.DecodeEndpointState},
	})
	a.engine = &engine.Engine{Clock: clk, View: a.control.View, Pool: a.pool, Admission: limiter,
		Errors: platform.ErrorClassifier{}, Log: log, Metrics: m}
	return a
}

func (a *app) ready() bool { return !a.stopping.Load() && a.control.Ready() }

// run serves until the process is told to stop, or parent ends.
func (a *app) run(parent context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.control.Run(ctx)
	go a.pool.MonitorEndpoints(ctx)
	go a.watchSettings(ctx)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", a.metrics)
	k := kratos.New(
		kratos.Name("vanillahinge-edge"), kratos.ID(string(a.settings.Instance)),
		kratos.Context(parent), kratos.Logger(kratoslog.NewStdLogger(io.Discard)),
		kratos.StopTimeout(a.settings.ShutdownGracePeriod+time.Second),
		kratos.Server(
			newHTTP("peers", a.settings.PeerAddr, peerrpc.Handler(a.control), a.drained),
			newHTTP("metrics", a.settings.MetricsAddr, metricsMux, a.drained),
			newHTTP("readiness", a.settings.ReadyAddr, platform.ReadyHandler(a.ready), a.drained),
			&callers{a: a},
		),
	)
	return k.Run()
}

// watchSettings picks up changes of the settings file.
func (a *app) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	var seen time.Time
	if info, err := os.Stat(a.path); err == nil {
		seen = info.ModTime()
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		info, err := os.Stat(a.path)
		if err != nil || !signalled && info.ModTime().Equal(seen) {
			continue
		}
		seen = info.ModTime()
		s, err := platform.LoadSettings(a.path)
		if err != nil {
			a.log.Warn("app: settings kept; the new ones are not valid", "error", err.Error())
			continue
		}
		a.store.SetAddr(s.StoreAddr)
		a.promoter.SetAddr(s.PromotionAddr)
		restart := s.CallerAddr != a.settings.CallerAddr || s.PeerAddr != a.settings.PeerAddr || s.Instance != a.settings.Instance
		a.log.Info("app: settings read again", "signalled", signalled, "needs_restart", restart)
	}
}

// callers is the listener for callers.
type callers struct {
	a *app
	l atomic.Pointer[net.Listener]
}

// Start accepts callers until Stop.
func (c *callers) Start(context.Context) error {
	l, err := net.Listen("tcp", c.a.settings.CallerAddr)
	if err != nil {
		return fmt.Errorf("app: listen for callers: %w; check listen.front in the settings", err)
	}
	c.l.Store(&l)
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			c.a.log.Warn("app: accept failed", "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		go c.a.engine.Serve(platform.NewClientConn(conn))
	}
}

// acceptPause follows a failed accept, usually for lack of descriptors.
const acceptPause = 20 * time.Millisecond

// Stop ends the sessions within the grace.
func (c *callers) Stop(context.Context) error {
	c.a.stopping.Store(true)
	within := max(c.a.settings.ShutdownGracePeriod-stopReserve, stopReserve)
	c.a.log.Info("app: stopping", "sessions", c.a.engine.SessionCount(), "within_ms", within.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	defer close(c.a.drained)
	c.a.control.HandOffAccounts(ctx)
	c.a.engine.Shutdown(ctx, within)
	if l := c.l.Load(); l != nil {
		return (*l).Close()
	}
	return nil
}

// httpServer is an HTTP listener as a kratos server.
type httpServer struct {
	name    string
	addr    string
	drained <-chan struct{}
	http.Server
}

func newHTTP(name, addr string, h http.Handler, drained <-chan struct{}) *httpServer {
	return &httpServer{name: name, addr: addr, drained: drained, Server: http.Server{Handler: h, ReadHeaderTimeout: platform.HTTPReadTimeout}}
}

// Start serves until Stop.
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

// Stop closes the listener once no session is left.
func (s *httpServer) Stop(context.Context) error {
	<-s.drained
	return s.Server.Close()
}
