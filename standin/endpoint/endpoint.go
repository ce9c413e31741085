// Package endpoint is a stand-in for a database endpoint: it serves real SQL
// over the PostgreSQL protocol, replicates statements to its replicas, and
// obeys the VH commands of a promotion. Tests and the demo inject faults into
// it. The log lives in memory: a restarted endpoint copies it again.
package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/xdg-go/scram"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Config describes one endpoint. Zero values take the defaults of Start.
type Config struct {
	ID    fleet.EndpointID `yaml:"id"`
	Group fleet.GroupID    `yaml:"group"`
	// Listen is the address of the SQL port, which also serves replication.
	Listen string `yaml:"listen"`
	// FaultListen is the address of the fault port (HTTP).
	FaultListen string `yaml:"fault_listen"`
	// User and Password are the system's credentials.
	User     string `yaml:"user"`
	Password string `yaml:"password"`
	// Term is the term at which a new group starts, 1 by default.
	Term fleet.Term `yaml:"term"`
	// Primary is the address of the primary's SQL port; an endpoint without
	// it starts as the primary.
	Primary string `yaml:"primary"`
	// Idle starts a replica that follows nobody until VH FOLLOW names a
	// primary.
	Idle bool `yaml:"idle"`
	// StateFile keeps the fence over restarts. If it exists at start, the
	// endpoint has lost its log and starts joining. The directory must exist.
	StateFile string `yaml:"state_file"`
	// Join starts the endpoint as one that has lost its log.
	Join bool `yaml:"join"`
	// Slots is how many statements run at a time, 3 by default.
	Slots int `yaml:"slots"`
	// MaxConnections is the connection ceiling, 40 by default.
	MaxConnections int `yaml:"max_connections"`
	// ConnectDelay is how long a new connection takes; -1 for none, 10 ms by
	// default.
	ConnectDelay time.Duration `yaml:"connect_delay"`
	// ServiceTime is how long a statement keeps its slot in addition to the
	// engine's own time.
	ServiceTime time.Duration `yaml:"service_time"`
	// AllowNoTerm serves statements on connections that have no vh.term, for
	// clients that connect without vanillahinge.
	AllowNoTerm bool `yaml:"allow_no_term"`
	// Dir is where the temporary directory is made; the system's default if
	// empty.
	Dir string `yaml:"dir"`
	// Faults are injected from the start.
	Faults Faults `yaml:"faults"`
	// LogLevel is a level of phuslu/log, "info" by default.
	LogLevel string `yaml:"log_level"`
	// LogWriter takes the log, standard error by default.
	LogWriter io.Writer `yaml:"-"`
	// OnKill is called when the fault port is told to kill the endpoint.
	OnKill func() `yaml:"-"`
}

// Endpoint is a running endpoint.
type Endpoint struct {
	cfg    Config
	log    log.Logger
	faults *faultBox
	scram  *scram.Server
	sql    net.Listener
	http   net.Listener
	server *http.Server
	dir    string
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	slots  chan struct{}

	primaryReads, replicaReads, writes atomic.Int64

	// executing is read-locked by statements and locked by a rebuild.
	executing sync.RWMutex
	// applying is held by whatever changes the applied part of the log of a
	// replica. Lock order: applying, executing, mu.
	applying sync.Mutex

	mu                           sync.Mutex
	s                            state
	store                        *store
	changed                      chan struct{}
	open                         map[*writeTx]bool
	stopFollow                   context.CancelFunc
	sessions                     map[uint32]*session
	maxSessions, refusedSessions int
	nextPID                      uint32
	conns                        map[*gatedConn]bool
}

// Start starts an endpoint. It serves until Close.
func Start(cfg Config) (*Endpoint, error) {
	if cfg.ID == "" || cfg.Group == "" || cfg.User == "" {
		return nil, fmt.Errorf("endpoint: id, group and user must be set")
	}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.FaultListen == "" {
		cfg.FaultListen = "127.0.0.1:0"
	}
	if cfg.Term == 0 {
		cfg.Term = 1
	}
	if cfg.Slots == 0 {
		cfg.Slots = 3
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 40
	}
	if cfg.ConnectDelay == 0 {
		cfg.ConnectDelay = 10 * time.Millisecond
	}
	if cfg.LogLevel == "" {
		cfg.LogLevel = "info"
	}
	if cfg.LogWriter == nil {
		cfg.LogWriter = os.Stderr
	}
	e := &Endpoint{
		cfg:      cfg,
		log:      log.Logger{Level: log.ParseLevel(cfg.LogLevel), Writer: &log.IOWriter{Writer: cfg.LogWriter}, Context: log.NewContext(nil).Str("endpoint", string(cfg.ID)).Value()},
		faults:   newFaultBox(cfg.Faults),
		slots:    make(chan struct{}, cfg.Slots),
		changed:  make(chan struct{}),
		open:     map[*writeTx]bool{},
		sessions: map[uint32]*session{},
		conns:    map[*gatedConn]bool{},
	}
	var err error
	if e.scram, err = newScramServer(cfg.User, cfg.Password); err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	if e.dir, err = os.MkdirTemp(cfg.Dir, "vh-endpoint-"); err != nil {
		return nil, fmt.Errorf("endpoint: create the temporary directory: %w", err)
	}
	if e.store, err = newStore(e.dir); err != nil {
		os.RemoveAll(e.dir)
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	if e.sql, err = net.Listen("tcp", cfg.Listen); err != nil {
		os.RemoveAll(e.dir)
		return nil, fmt.Errorf("endpoint: listen for SQL: %w", err)
	}
	if e.http, err = net.Listen("tcp", cfg.FaultListen); err != nil {
		e.sql.Close()
		os.RemoveAll(e.dir)
		return nil, fmt.Errorf("endpoint: listen for faults: %w", err)
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if err := e.initState(); err != nil {
		e.Close()
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	e.server = &http.Server{Handler: e.faultHandler(), ReadHeaderTimeout: 5 * time.Second}
	e.tasks.Go(func() { e.server.Serve(e.http) })
	e.tasks.Go(e.applyLoop)
	e.tasks.Go(e.acceptLoop)
	return e, nil
}

// initState sets the first role and term. An endpoint that lost its log takes
// no part in terms below the fence that its state file keeps.
func (e *Endpoint) initState() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept, found, err := readFence(e.cfg.StateFile)
	if err != nil {
		return err
	}
	s := &e.s
	s.term, s.fenceTerm = e.cfg.Term, e.cfg.Term
	s.joining = e.cfg.Join || found
	if found && kept.FenceTerm >= s.fenceTerm {
		s.fenceTerm, s.fenceOwner = kept.FenceTerm, kept.FenceOwner
	}
	switch {
	case e.cfg.Idle || e.cfg.Primary != "" || s.joining:
		s.role = fleet.RoleReplica
		s.primary = e.cfg.Primary
		// A joining endpoint has forgotten what it granted, so it follows only
		// when the promoter's side tells it to.
		if s.primary != "" && !s.joining {
			e.startFollowing()
		}
	default:
		e.becomePrimary(s.term)
	}
	return e.persistFence(s.fenceTerm, s.fenceOwner)
}

// Addr returns the address of the SQL port.
func (e *Endpoint) Addr() string { return e.sql.Addr().String() }

// FaultAddr returns the address of the fault port.
func (e *Endpoint) FaultAddr() string { return e.http.Addr().String() }

// ID returns the endpoint's name.
func (e *Endpoint) ID() fleet.EndpointID { return e.cfg.ID }

// SetFaults changes the injected faults.
func (e *Endpoint) SetFaults(change func(*Faults)) { e.faults.update(change) }

func (e *Endpoint) currentStore() *store {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store
}

func (e *Endpoint) acceptLoop() {
	for {
		raw, err := e.sql.Accept()
		if err != nil {
			return
		}
		c := newGatedConn(raw, e.faults)
		e.mu.Lock()
		if e.ctx.Err() != nil {
			e.mu.Unlock()
			c.Close()
			return
		}
		e.conns[c] = true
		e.tasks.Go(func() {
			e.serve(c)
			c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		})
		e.mu.Unlock()
	}
}

// Close stops the endpoint at once, as a crash does, and removes its files.
func (e *Endpoint) Close() error {
	e.cancel()
	e.sql.Close()
	if e.server != nil {
		e.server.Close()
	}
	e.http.Close()
	e.mu.Lock()
	e.stopFollowing()
	for c := range e.conns {
		c.Close()
	}
	for _, s := range e.sessions {
		s.interrupt(errorf("57P01", "terminating connection due to administrator command"))
	}
	e.mu.Unlock()
	e.abortAll(errorf("57P01", "terminating connection due to administrator command"))
	e.tasks.Wait()
	e.currentStore().close()
	return os.RemoveAll(e.dir)
}
