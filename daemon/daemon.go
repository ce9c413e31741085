// Package daemon assembles a proxy instance as one kratos app: the control
// goroutine, the data path, and the listeners for callers, peers and operators.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/drain"
	"github.com/vanillahinge/vanillahinge/core/fair"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/quota"
	"github.com/vanillahinge/vanillahinge/core/retry"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/ctl"
	"github.com/vanillahinge/vanillahinge/daemon/admission"
	"github.com/vanillahinge/vanillahinge/daemon/config"
	"github.com/vanillahinge/vanillahinge/daemon/control"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
	"github.com/vanillahinge/vanillahinge/daemon/ops"
	"github.com/vanillahinge/vanillahinge/peer"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
	"github.com/vanillahinge/vanillahinge/proxy/front"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
	"github.com/vanillahinge/vanillahinge/report/burn"
	"github.com/vanillahinge/vanillahinge/report/decision"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// stopTimeout bounds how long the listeners may take to stop after the drain.
const stopTimeout = 5 * time.Second

// Daemon is one proxy instance.
type Daemon struct {
	settings   *config.Settings
	log        logging.Logger
	start      time.Time
	registry   metrics.Registry
	ring       *decision.Ring
	burn       *burn.Tracker
	platform   *tablestore.Client
	peers      *peer.Clients
	endpoints  *ctl.Control
	control    *control.Controller
	admission  *admission.Controller
	pool       *pool.Pool
	front      *front.Server
	peerServer *httpServer
	opsServer  *httpServer
	app        *kratos.App
}

// New opens the listeners and assembles the instance. Run starts serving.
func New(s *config.Settings, l *log.Logger, version string) (*Daemon, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("daemon: read random bytes: %w", err)
	}
	runID := hex.EncodeToString(random[:8])
	d := &Daemon{
		settings: s, log: logging.ForComponent(l, "daemon"), start: time.Now(), registry: metrics.NewRegistry(),
		ring: decision.NewRing(s.Instance, s.Decisions),
	}
	d.burn = burn.NewTracker(s.Instance, d.ring, d.registry)
	d.platform = tablestore.NewClient(s.Platform.Addr, s.Instance, time.Duration(s.Platform.Timeout))
	if s.PeerTLS != nil {
		cert, err := auth.LoadCertificate(s.TLS.Peers.Certificate, s.TLS.Peers.Key)
		if err != nil {
			return nil, fmt.Errorf("daemon: load certificate for peers: %w", err)
		}
		s.PeerTLS.Certificates = nil
		s.PeerTLS.GetCertificate = cert.GetCertificate
		s.PeerTLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.GetCertificate(nil) }
	}
	d.peers = peer.NewClients(s.PeerTLS)

	mode := quota.Lending
	if s.Baseline.StaticQuota {
		mode = quota.StaticSplit
	}
	d.admission = admission.New(s.Instance, d.start, mode, d.sendExchange)
	d.endpoints = ctl.NewControl(ctl.Options{
		Instance:    s.Instance,
		Credentials: ctl.Credentials{User: s.Credentials.User, Password: string(s.Credentials.Password)},
		OnEvent:     d.endpointEvent,
	})
	d.control = control.New(control.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, PeerAddr: s.Advertise.Peers, OpsAddr: s.Advertise.Operators,
		RunID: runID, Operators: s.Operators, Table: d.platform, Objects: d.platform, Instances: d.platform.InstanceRegistry(),
		PeerClient: d.peers.Client, Endpoints: endpointWatcher{d.endpoints, logging.ForComponent(l, "ctl")}, Quota: d.admission, Recorder: d.ring,
		Log: logging.ForComponent(l, "control"), Seed: binary.BigEndian.Uint64(random[8:]), Start: d.start,
		FixedPromotionTimeout: time.Duration(s.Baseline.PromotionTimeout), OnBundle: d.setObjectives,
	})

	cred, err := auth.NewCredentials(s.Credentials.User, string(s.Credentials.Password))
	if err != nil {
		return nil, fmt.Errorf("daemon: endpoint credentials: %w", err)
	}
	fairConf := fair.Config{}
	if s.Baseline.FirstCome {
		fairConf.Mode, fairConf.FixedLimit = fair.FIFO, true
	}
	d.pool = pool.New(pool.Options{Instance: s.Instance, Credentials: cred, ConnectTimeout: time.Duration(s.Timeouts.Connect), Fair: fairConf})

	opts := front.Options{
		Addr: s.Listen.Callers, Source: d.control.Snapshots(), Acks: d.endpoints, Admitter: d.admission, Recorder: d.ring, Pool: d.pool,
		Route: route.Config{DataCentre: s.DataCentre, PreferDataCentre: !s.Baseline.AnyDataCentre, PrimaryOnly: s.Baseline.ReadsToPrimary}, Retry: retry.Config{},
		Metrics: d.registry, Logger: l, Observe: d.observe,
		InstanceNumber: instanceNumber(s.Instance), ForwardCancel: d.forwardCancel,
		StartupTimeout: time.Duration(s.Timeouts.Login), QueueTimeout: time.Duration(s.Timeouts.Queue),
		AckTimeout: time.Duration(s.Timeouts.Acknowledge), DrainTimeout: stopTimeout,
	}
	if f := s.TLS.Callers; f.Certificate != "" {
		cert, err := auth.LoadCertificate(f.Certificate, f.Key)
		if err != nil {
			return nil, fmt.Errorf("daemon: load certificate for callers: %w", err)
		}
		opts.TLS = cert.ServerConfig()
	}
	if d.front, err = front.New(opts); err != nil {
		return nil, err
	}
	if d.peerServer, err = listen("peers", s.Listen.Peers, peer.NewServer(peerHandler{PeerService: d.control.PeerService(), d: d}, s.PeerTLS)); err != nil {
		d.front.StopAccepting()
		return nil, err
	}
	handler := ops.New(d.control, d.ring, d.burn, d.registry, logging.ForComponent(l, "ops"))
	if d.opsServer, err = listen("operators", s.Listen.Operators, &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}); err != nil {
		d.front.StopAccepting()
		_ = d.peerServer.listener.Close()
		return nil, err
	}
	d.registerGauges()
	d.app = kratos.New(
		kratos.ID(string(s.Instance)), kratos.Name("vanillahinged"), kratos.Version(version),
		kratos.Logger(kratosLogger{logging.ForComponent(l, "app")}),
		kratos.Server(d.front, d.peerServer, d.opsServer),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(d.drain),
	)
	return d, nil
}

// Addrs returns the addresses of the listeners.
func (d *Daemon) Addrs() (callers, peers, operators net.Addr) {
	return d.front.Addr(), d.peerServer.listener.Addr(), d.opsServer.listener.Addr()
}

// Run serves until SIGTERM, SIGINT or Stop, and returns once the instance has
// drained and stopped.
func (d *Daemon) Run() error {
	go d.control.Run()
	go d.admission.Run()
	ctx, cancel := context.WithCancel(context.Background())
	go d.drainEndpoints(ctx)
	d.log.Info("instance starting", "instance", d.settings.Instance, "data_centre", d.settings.DataCentre)
	err := d.app.Run()
	cancel()
	d.admission.Close()
	d.control.Close()
	d.endpoints.Close()
	d.pool.Close()
	d.peers.Close()
	d.platform.Close()
	d.log.Info("instance stopped", "instance", d.settings.Instance)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	return nil
}

// Stop drains and stops the instance, like SIGTERM.
func (d *Daemon) Stop() error { return d.app.Stop() }

// setObjectives passes the service-level objectives of a bundle to the burn
// rate tracker.
func (d *Daemon) setObjectives(doc *bundle.Document) {
	group := map[string]fleet.GroupID{}
	for _, db := range doc.Databases {
		group[db.Name] = db.Group
	}
	var list []burn.Objective
	for _, o := range doc.Objectives {
		list = append(list, burn.Objective{Account: o.Account, Route: o.Route, Group: group[o.Route], Availability: o.Availability,
			Latency: time.Duration(o.Latency), LatencyShare: o.LatencyShare})
	}
	d.burn.SetObjectives(list)
}

func (d *Daemon) observe(o front.Observation) {
	d.burn.Observe(o.Account, o.Database, o.Latency, o.Err)
}

// drain performs the shutdown steps of core/drain until the instance may exit.
// The listeners for peers and operators stay open meanwhile.
func (d *Daemon) drain(ctx context.Context) error {
	d.log.Info("shutdown started")
	machine := drain.NewInstance()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		open, busy := d.front.Sessions()
		a := machine.Step(time.Since(d.start), drain.Event{
			Terminate: true, Sessions: open, BusySessions: busy,
			QuotaReleased: d.admission.Released(), SlotsHandedOver: d.control.HandedOver(ctx),
		})
		if a.ReportLeaving {
			d.control.Leave()
		}
		if a.StopAccepting {
			d.front.StopAccepting()
		}
		if a.CloseIdle {
			d.control.Drain()
			d.front.CloseIdle()
		}
		if a.CloseAll {
			d.front.CloseAll()
		}
		if a.ReleaseQuota {
			d.admission.Release()
		}
		if a.HandOverSlots {
			d.control.HandOver()
		}
		if a.Exit {
			break
		}
	}
	d.log.Info("shutdown complete", "handed_over", d.control.HandedOver(ctx))
	return nil
}

// drainEndpoints periodically advances the drain of every leaving endpoint
// until ctx ends.
func (d *Daemon) drainEndpoints(ctx context.Context) {
	leaving := map[fleet.EndpointID]*drain.Endpoint{}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := d.control.Snapshots().Load()
		seen := map[fleet.EndpointID]bool{}
		for _, g := range v.Groups {
			for _, e := range g.Endpoints {
				if !e.Leaving && leaving[e.ID] == nil {
					continue
				}
				seen[e.ID] = true
				d.stepEndpointDrain(leaving, g, e)
			}
		}
		for id := range leaving {
			if !seen[id] {
				delete(leaving, id)
			}
		}
	}
}

// stepEndpointDrain performs one drain step of an endpoint: it closes idle
// connections and records when the endpoint has drained.
func (d *Daemon) stepEndpointDrain(leaving map[fleet.EndpointID]*drain.Endpoint, g *snapshot.Group, e *snapshot.Endpoint) {
	endpoint := leaving[e.ID]
	if endpoint == nil {
		endpoint = drain.NewEndpoint()
		leaving[e.ID] = endpoint
	}
	ev := drain.EndpointEvent{Leaving: e.Leaving, Primary: g.Primary == e.ID}
	p := d.pool.Lookup(e.ID)
	if p != nil {
		open, opening, idle := p.Counts()
		ev.InFlight = max(0, open-idle) + opening
	}
	for _, o := range g.Endpoints {
		ev.HasSuccessor = ev.HasSuccessor || o.ID != e.ID && !o.Leaving
	}
	// The Switchover action is ignored: core/failover sees the same leaving mark
	// and starts the planned promotion itself.
	a := endpoint.Step(time.Since(d.start), ev)
	if a.CloseIdleConns && p != nil {
		p.CloseIdleConns()
	}
	if a.Drained {
		d.ring.Record(endpointDrainedRecord(g.ID, e.ID))
		d.log.Info("endpoint drained", "endpoint", e.ID)
	}
	if !e.Leaving && endpoint.Phase() == drain.InService {
		delete(leaving, e.ID)
	}
}

// endpointEvent passes the result of an endpoint status watch to the control
// goroutine.
func (d *Daemon) endpointEvent(e ctl.Event) {
	switch {
	case e.Err == nil:
		d.control.HandleStatus(e.Status)
	case errors.Is(e.Err, syscall.ECONNREFUSED):
		d.control.HandleUnreachable(e.Endpoint)
	}
}

// instanceNumber derives the number that stands for an instance in cancel keys.
// If two instances share a number, a cancel request is sent to both and the
// secret decides which session it cancels.
func instanceNumber(id fleet.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id)) % 8192) }

// forwardCancel forwards a cancel request to the instances with number n.
func (d *Daemon) forwardCancel(ctx context.Context, n uint32, k front.CancelKey) error {
	secret := binary.BigEndian.AppendUint32(nil, k.Secret)
	for _, p := range d.control.Snapshots().Load().Peers {
		if instanceNumber(p.ID) != n {
			continue
		}
		res, err := d.peers.Client(p.Addr).Cancel(ctx, &peerv1.CancelRequest{ProcessId: k.Process, Secret: secret})
		if err != nil {
			return fmt.Errorf("daemon: forward cancel request to instance %s: %w", p.ID, err)
		}
		if res.GetFound() {
			return nil
		}
	}
	return nil
}

// sendExchange sends a quota exchange to an instance.
func (d *Daemon) sendExchange(ctx context.Context, to fleet.InstanceID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	for _, p := range d.control.Snapshots().Load().Peers {
		if p.ID == to {
			return d.peers.Client(p.Addr).Exchange(ctx, req)
		}
	}
	return nil, fmt.Errorf("daemon: no known address for instance %s", to)
}

// peerHandler implements the RPC service Peer.
type peerHandler struct {
	control.PeerService
	d *Daemon
}

// Exchange serves quota exchanges.
func (h peerHandler) Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return h.d.admission.Exchange(ctx, req)
}

// Cancel serves a forwarded cancel request.
func (h peerHandler) Cancel(_ context.Context, req *peerv1.CancelRequest) (*peerv1.CancelResponse, error) {
	if len(req.GetSecret()) != 4 {
		return &peerv1.CancelResponse{}, nil
	}
	k := front.CancelKey{Process: req.GetProcessId(), Secret: binary.BigEndian.Uint32(req.GetSecret())}
	return &peerv1.CancelResponse{Found: h.d.front.Cancel(k)}, nil
}

// endpointWatcher adapts ctl.Control to the interface that the control goroutine
// uses.
type endpointWatcher struct {
	c   *ctl.Control
	log logging.Logger
}

// Watch replaces the set of endpoints whose status is watched.
func (w endpointWatcher) Watch(groups map[fleet.GroupID]*snapshot.Group) {
	var targets []ctl.Target
	for _, g := range groups {
		for _, e := range g.Endpoints {
			targets = append(targets, ctl.Target{ID: e.ID, Group: g.ID, Addr: e.Addr})
		}
	}
	if err := w.c.SetTargets(targets); err != nil {
		w.log.Error("cannot watch endpoints", "error", err.Error())
	}
}

// Commands returns the interface for sending commands to an endpoint, or nil if
// the endpoint is unknown.
func (w endpointWatcher) Commands(id fleet.EndpointID) ctl.Commands {
	if cmd, ok := w.c.Commands(id); ok {
		return cmd
	}
	return nil
}

// httpServer adapts an HTTP server to the kratos interface transport.Server.
type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func listen(name, addr string, s *http.Server) (*httpServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen for %s: %w; choose a free address in the settings", name, err)
	}
	return &httpServer{name: name, listener: l, server: s}, nil
}

// Start serves until Stop.
func (s *httpServer) Start(context.Context) error {
	if err := peer.Serve(s.server, s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("daemon: serve %s: %w", s.name, err)
	}
	return nil
}

// Stop waits for running requests to end, and closes their connections when ctx
// ends.
func (s *httpServer) Stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return s.server.Close()
	}
	return nil
}

// kratosLogger writes kratos log messages to the instance's log. Messages below
// the level warn are logged as debug.
type kratosLogger struct{ logger logging.Logger }

// Log implements the kratos interface log.Logger.
func (k kratosLogger) Log(level kratoslog.Level, kv ...any) error {
	if level >= kratoslog.LevelWarn {
		k.logger.Warn("kratos message", kv...)
	} else {
		k.logger.Debug("kratos message", kv...)
	}
	return nil
}
