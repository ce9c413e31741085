// Package daemon assembles an entry instance: the control goroutine, the data
// path and the three listeners, as one kratos app.
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

// stopTimeout bounds the stop of the listeners, which follows the drain.
const stopTimeout = 5 * time.Second

// Daemon is one entry instance.
type Daemon struct {
	settings  *config.Settings
	log       logging.Logger
	start     time.Time
	registry  metrics.Registry
	ring      *decision.Ring
	burn      *burn.Tracker
	platform  *tablestore.Client
	peers     *peer.Clients
	endpoints *ctl.Control
	control   *control.Controller
	admission *admission.Controller
	pool      *pool.Pool
	front     *front.Server
	peerPort  *httpServer
	opsPort   *httpServer
	app       *kratos.App
}

// New opens the listeners and assembles the instance; Run starts it.
func New(s *config.Settings, l *log.Logger, version string) (*Daemon, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("daemon: read random bytes: %w", err)
	}
	run := hex.EncodeToString(random[:8])
	d := &Daemon{
		settings: s, log: logging.ForComponent(l, "daemon"), start: time.Now(), registry: metrics.NewRegistry(),
		ring: decision.NewRing(s.Instance, s.Decisions),
	}
	d.burn = burn.NewTracker(s.Instance, d.ring, d.registry)
	d.platform = tablestore.NewClient(s.Platform.Addr, s.Instance, time.Duration(s.Platform.Timeout))
	if s.PeerTLS != nil {
		cert, err := auth.LoadCertificate(s.TLS.Peers.Certificate, s.TLS.Peers.Key)
		if err != nil {
			return nil, fmt.Errorf("daemon: certificate for instances: %w", err)
		}
		s.PeerTLS.Certificates = nil
		s.PeerTLS.GetCertificate = cert.Get
		s.PeerTLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.Get(nil) }
	}
	d.peers = peer.NewClients(s.PeerTLS)

	mode := quota.Lending
	if s.Baseline.StaticQuota {
		mode = quota.StaticSplit
	}
	d.admission = admission.New(s.Instance, d.start, mode, d.exchange)
	d.endpoints = ctl.NewControl(ctl.Options{
		Instance:    s.Instance,
		Credentials: ctl.Credentials{User: s.Credentials.User, Password: string(s.Credentials.Password)},
		OnEvent:     d.endpointEvent,
	})
	d.control = control.New(control.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, PeerAddr: s.Advertise.Peers, OpsAddr: s.Advertise.Operators,
		RunID: run, Operators: s.Operators, Table: d.platform, Objects: d.platform, Instances: d.platform.InstanceList(),
		PeerClient: d.peers.To, Endpoints: watcher{d.endpoints, logging.ForComponent(l, "ctl")}, Quota: d.admission, Recorder: d.ring,
		Log: logging.ForComponent(l, "control"), Seed: binary.BigEndian.Uint64(random[8:]), Start: d.start,
		FixedPromotionTimeout: time.Duration(s.Baseline.PromotionTimeout), OnBundle: d.objectives,
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
		InstanceNumber: number(s.Instance), ForwardCancel: d.forwardCancel,
		StartupTimeout: time.Duration(s.Timeouts.Login), QueueTimeout: time.Duration(s.Timeouts.Queue),
		AckTimeout: time.Duration(s.Timeouts.Acknowledge), DrainTimeout: stopTimeout,
	}
	if f := s.TLS.Callers; f.Certificate != "" {
		cert, err := auth.LoadCertificate(f.Certificate, f.Key)
		if err != nil {
			return nil, fmt.Errorf("daemon: certificate for callers: %w", err)
		}
		opts.TLS = cert.Config()
	}
	if d.front, err = front.New(opts); err != nil {
		return nil, err
	}
	if d.peerPort, err = listen("peers", s.Listen.Peers, peer.NewServer(peerHandler{PeerService: d.control.PeerService(), d: d}, s.PeerTLS)); err != nil {
		d.front.StopAccepting()
		return nil, err
	}
	handler := ops.New(d.control, d.ring, d.burn, d.registry, logging.ForComponent(l, "ops"))
	if d.opsPort, err = listen("operators", s.Listen.Operators, &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}); err != nil {
		d.front.StopAccepting()
		_ = d.peerPort.listener.Close()
		return nil, err
	}
	d.gauges()
	d.app = kratos.New(
		kratos.ID(string(s.Instance)), kratos.Name("vanillahinged"), kratos.Version(version),
		kratos.Logger(appLog{logging.ForComponent(l, "app")}),
		kratos.Server(d.front, d.peerPort, d.opsPort),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(d.drain),
	)
	return d, nil
}

// Addrs returns the addresses of the three listeners.
func (d *Daemon) Addrs() (callers, peers, operators net.Addr) {
	return d.front.Addr(), d.peerPort.listener.Addr(), d.opsPort.listener.Addr()
}

// Run serves until SIGTERM, SIGINT or Stop, and returns after the drain.
func (d *Daemon) Run() error {
	go d.control.Run()
	go d.admission.Run()
	ctx, cancel := context.WithCancel(context.Background())
	go d.housekeeping(ctx)
	d.log.Info("instance starts", "instance", d.settings.Instance, "data_centre", d.settings.DataCentre)
	err := d.app.Run()
	cancel()
	d.admission.Close()
	d.control.Close()
	d.endpoints.Close()
	d.pool.Close()
	d.peers.Close()
	d.platform.Close()
	d.log.Info("instance has stopped", "instance", d.settings.Instance)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	return nil
}

// Stop drains and stops the instance as SIGTERM does.
func (d *Daemon) Stop() error { return d.app.Stop() }

// objectives passes the objectives of a bundle to the burn report.
func (d *Daemon) objectives(doc *bundle.Document) {
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

// drain runs core/drain until nothing is left to do. The listeners for peers
// and operators stay open meanwhile.
func (d *Daemon) drain(ctx context.Context) error {
	d.log.Info("shutdown begins")
	in := drain.NewInstance()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		open, busy := d.front.Sessions()
		a := in.Step(time.Since(d.start), drain.Event{
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
	d.log.Info("shutdown is complete", "handed_over", d.control.HandedOver(ctx))
	return nil
}

// housekeeping closes the connections of leaving endpoints and reports when
// one has nothing left.
func (d *Daemon) housekeeping(ctx context.Context) {
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
				d.drainEndpoint(leaving, g, e)
			}
		}
		for id := range leaving {
			if !seen[id] {
				delete(leaving, id)
			}
		}
	}
}

func (d *Daemon) drainEndpoint(leaving map[fleet.EndpointID]*drain.Endpoint, g *snapshot.Group, e *snapshot.Endpoint) {
	m := leaving[e.ID]
	if m == nil {
		m = drain.NewEndpoint()
		leaving[e.ID] = m
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
	// The planned promotion that HandOver asks for is started by core/failover,
	// which sees the same leaving mark.
	a := m.Step(time.Since(d.start), ev)
	if a.CloseIdleConns && p != nil {
		p.CloseIdleConns()
	}
	if a.Drained {
		d.ring.Record(emptied(g.ID, e.ID))
		d.log.Info("leaving endpoint has no request left", "endpoint", e.ID)
	}
	if !e.Leaving && m.Phase() == drain.InService {
		delete(leaving, e.ID)
	}
}

// endpointEvent passes what a status watch learned to the control goroutine.
func (d *Daemon) endpointEvent(e ctl.Event) {
	switch {
	case e.Err == nil:
		d.control.HandleStatus(e.Status)
	case errors.Is(e.Err, syscall.ECONNREFUSED):
		d.control.HandleUnreachable(e.Endpoint)
	}
}

// number derives the number of an instance for cancel keys. Two instances may
// share a number; a cancel request then goes to both, and the secret decides.
func number(id fleet.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id)) % 8192) }

// forwardCancel hands a cancel request to the instances of that number.
func (d *Daemon) forwardCancel(ctx context.Context, n uint32, k front.CancelKey) error {
	secret := binary.BigEndian.AppendUint32(nil, k.Secret)
	for _, p := range d.control.Snapshots().Load().Peers {
		if number(p.ID) != n {
			continue
		}
		res, err := d.peers.To(p.Addr).Cancel(ctx, &peerv1.CancelRequest{ProcessId: k.Process, Secret: secret})
		if err != nil {
			return fmt.Errorf("daemon: cancel at instance %s: %w", p.ID, err)
		}
		if res.GetFound() {
			return nil
		}
	}
	return nil
}

// exchange calls the holder of an account.
func (d *Daemon) exchange(ctx context.Context, to fleet.InstanceID, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	for _, p := range d.control.Snapshots().Load().Peers {
		if p.ID == to {
			return d.peers.To(p.Addr).Exchange(ctx, req)
		}
	}
	return nil, fmt.Errorf("daemon: address of instance %s is not known", to)
}

// peerHandler serves the Peer service.
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

// watcher adapts package ctl to the control goroutine.
type watcher struct {
	c   *ctl.Control
	log logging.Logger
}

// Watch replaces the watched endpoints.
func (w watcher) Watch(groups map[fleet.GroupID]*snapshot.Group) {
	var targets []ctl.Target
	for _, g := range groups {
		for _, e := range g.Endpoints {
			targets = append(targets, ctl.Target{ID: e.ID, Group: g.ID, Addr: e.Addr})
		}
	}
	if err := w.c.SetTargets(targets); err != nil {
		w.log.Error("endpoints are not watched", "error", err.Error())
	}
}

// Commands returns the commands of an endpoint.
func (w watcher) Commands(id fleet.EndpointID) ctl.Commands {
	if cmd, ok := w.c.Commands(id); ok {
		return cmd
	}
	return nil
}

// httpServer is an HTTP server as a kratos transport server.
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
		return fmt.Errorf("daemon: port for %s: %w", s.name, err)
	}
	return nil
}

// Stop lets running requests end.
func (s *httpServer) Stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return s.server.Close()
	}
	return nil
}

// appLog passes the lines of kratos on.
type appLog struct{ p logging.Logger }

// Log implements the logger of kratos.
func (a appLog) Log(level kratoslog.Level, kv ...any) error {
	if level >= kratoslog.LevelWarn {
		a.p.Warn("message of the app", kv...)
	} else {
		a.p.Debug("message of the app", kv...)
	}
	return nil
}
