package front

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/retry"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
)

// sessionCheckInterval is how often open sessions are checked for stale
// configuration, a withdrawn key and idle timeouts. It adds to the 5 s within
// which a withdrawn key must stop working.
const sessionCheckInterval = 100 * time.Millisecond

// primaryCheckInterval is how often the snapshot is checked for a new primary.
// It adds to the failover time. A check without a new snapshot costs one atomic
// load.
const primaryCheckInterval = 5 * time.Millisecond

// supersedeGrace is how long responses in flight from an old primary are still
// read, so that a planned promotion leaves fewer unknown outcomes.
const supersedeGrace = 20 * time.Millisecond

// shardCount is the number of shards of the session table and the retry
// policy. Sharding avoids a lock that all sessions contend for.
const shardCount = 16

// lingerTimeout is how long input is drained before a connection is closed.
// Closing with unread input resets the connection, and the reset can discard
// the last response before the caller has read it.
const lingerTimeout = 250 * time.Millisecond

// Server accepts and serves connections on the caller port. It implements the
// kratos transport.Server interface.
type Server struct {
	opts    Options
	ln      net.Listener
	metrics *serverMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	nextID   atomic.Uint32
	count    atomic.Int64
	draining atomic.Bool // sessions are closed as soon as they are idle
	stopping atomic.Bool // the listener is closed
	// outcomeTables is the set of outcomeKey whose outcome table is known to
	// exist.
	outcomeTables sync.Map

	shards [shardCount]struct {
		mu       sync.Mutex
		sessions map[uint32]*client
		retryMu  sync.Mutex
		retry    *retry.Policy
	}
}

// New returns a server. Without a listener in the options it opens one, so that
// Endpoint is valid before Start.
func New(o Options) (*Server, error) {
	o.setDefaults()
	if o.Source == nil || o.Acks == nil || o.Admitter == nil || o.Pool == nil || o.Recorder == nil {
		return nil, errors.New("caller port: Source, Acks, Admit, Pool and Recorder are required")
	}
	if o.InstanceNumber >= 1<<(31-sessionBits) {
		return nil, fmt.Errorf("caller port: instance number %d is above %d", o.InstanceNumber, 1<<(31-sessionBits)-1)
	}
	s := &Server{opts: o, ln: o.Listener}
	if s.ln == nil {
		ln, err := net.Listen("tcp", o.Addr)
		if err != nil {
			return nil, fmt.Errorf("caller port: %w; choose a free address in the settings", err)
		}
		s.ln = ln
	}
	s.metrics = newServerMetrics(o.Metrics)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var seed [8 * shardCount]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("caller port: read random bytes: %w", err)
	}
	for i := range s.shards {
		s.shards[i].sessions = map[uint32]*client{}
		s.shards[i].retry = retry.New(o.Retry, binary.BigEndian.Uint64(seed[8*i:]))
	}
	return s, nil
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Endpoint returns the address as a URL, for the kratos service registry.
func (s *Server) Endpoint() (*url.URL, error) {
	return &url.URL{Scheme: "postgres", Host: s.ln.Addr().String()}, nil
}

// Start accepts connections until Stop is called or ctx is cancelled.
func (s *Server) Start(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.StopAccepting() })
	defer stop()
	s.wg.Add(2)
	go s.checkSessions()
	go s.watchPrimaries()
	s.opts.Logger.Info().Str("addr", s.ln.Addr().String()).Msg("front: listening")
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if s.stopping.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.opts.Logger.Warn().Err(err).Msg("front: cannot accept connection")
			select {
			case <-time.After(50 * time.Millisecond):
				continue
			case <-s.ctx.Done():
				return nil
			}
		}
		s.wg.Add(1)
		go s.serve(nc)
	}
}

// StopAccepting closes the listener.
func (s *Server) StopAccepting() {
	if !s.stopping.Swap(true) {
		_ = s.ln.Close()
	}
}

// CloseIdle sends each idle session its token and closes it with SQLSTATE
// 57P01. Busy sessions are closed in the same way when they become idle.
func (s *Server) CloseIdle() {
	s.draining.Store(true)
	s.forEachSession(func(c *client) { c.endIfIdle(errShuttingDown(outcome.NotRun)) })
}

// CloseAll ends every session, idle or busy, with an error that states the
// outcome of its request.
func (s *Server) CloseAll() {
	s.draining.Store(true)
	s.forEachSession(func(c *client) { c.end(errShuttingDown(outcome.NotRun)) })
}

// Sessions returns the number of open sessions, and how many of them have a
// running request or an open transaction.
func (s *Server) Sessions() (open, busy int) {
	s.forEachSession(func(c *client) {
		open++
		if c.hasRequestOrTransaction() {
			busy++
		}
	})
	return open, busy
}

// Stop drains the server. It accepts no new connections, closes idle sessions
// at once and busy ones when their request or transaction ends. Sessions that
// remain at the drain timeout, or when ctx is cancelled, are ended.
func (s *Server) Stop(ctx context.Context) error {
	s.StopAccepting()
	s.CloseIdle()
	done := make(chan struct{})
	go func() {
		for s.count.Load() > 0 {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-s.ctx.Done():
				close(done)
				return
			}
		}
		close(done)
	}()
	drainTimer := time.NewTimer(s.opts.DrainTimeout)
	defer drainTimer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-drainTimer.C:
	}
	s.CloseAll()
	grace := time.NewTimer(time.Second)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
	s.cancel()
	s.forEachSession(func(c *client) { _ = c.nc.Close() })
	s.wg.Wait()
	return nil
}

// forEachSession calls f for each session without holding the lock of a shard.
func (s *Server) forEachSession(f func(*client)) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		list := make([]*client, 0, len(sh.sessions))
		for _, c := range sh.sessions {
			list = append(list, c)
		}
		sh.mu.Unlock()
		for _, c := range list {
			f(c)
		}
	}
}

// checkSessions periodically ends the sessions that may no longer run, and
// closes idle server connections.
func (s *Server) checkSessions() {
	defer s.wg.Done()
	tick := time.NewTicker(sessionCheckInterval)
	defer tick.Stop()
	n := 0
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-tick.C:
			snap := s.opts.Source.Load()
			if snap.Draining {
				s.draining.Store(true)
			}
			s.forEachSession(func(c *client) { c.revalidate(snap, now) })
			if n++; n%10 == 0 {
				s.opts.Pool.CloseIdle(now)
			}
		}
	}
}

// watchPrimaries interrupts the requests that wait for or run at the old
// primary of a group once the snapshot has a new primary with a higher term.
func (s *Server) watchPrimaries() {
	defer s.wg.Done()
	tick := time.NewTicker(primaryCheckInterval)
	defer tick.Stop()
	// lastPrimary holds each group as of its last known primary.
	lastPrimary := map[fleet.GroupID]*snapshot.Group{}
	var lastSnap *snapshot.Snapshot
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		snap := s.opts.Source.Load()
		if snap == lastSnap {
			continue
		}
		lastSnap = snap
		for id, g := range snap.Groups {
			if g.Primary == "" {
				continue
			}
			old := lastPrimary[id]
			lastPrimary[id] = g
			if old == nil || g.Term <= old.Term {
				continue
			}
			s.forEachSession(func(c *client) { c.supersede(id, old.Primary, g.Term) })
		}
	}
}

// register assigns a process id to the session and adds it to the session
// table. It returns false if the instance has MaxSessions sessions.
func (s *Server) register(c *client) bool {
	if s.count.Add(1) > int64(s.opts.MaxSessions) {
		s.count.Add(-1)
		return false
	}
	for {
		n := s.nextID.Add(1) & (1<<sessionBits - 1)
		id := s.opts.InstanceNumber<<sessionBits | n
		sh := &s.shards[n%shardCount]
		sh.mu.Lock()
		if _, taken := sh.sessions[id]; taken || n == 0 {
			sh.mu.Unlock()
			continue
		}
		c.id, c.shard = id, n%shardCount
		sh.sessions[id] = c
		sh.mu.Unlock()
		return true
	}
}

func (s *Server) unregister(c *client) {
	sh := &s.shards[c.shard]
	sh.mu.Lock()
	delete(sh.sessions, c.id)
	sh.mu.Unlock()
	s.count.Add(-1)
}

// Cancel cancels the running request of a session of this instance. It reports
// whether the key matches a session.
func (s *Server) Cancel(k CancelKey) bool {
	sh := &s.shards[k.Process&(1<<sessionBits-1)%shardCount]
	sh.mu.Lock()
	c := sh.sessions[k.Process]
	sh.mu.Unlock()
	if c == nil || c.secret != k.Secret {
		return false
	}
	c.cancelRequest()
	return true
}

// handleCancelRequest handles a cancel request packet. It forwards the request if
// no session of this instance matches the key.
func (s *Server) handleCancelRequest(body []byte) {
	if len(body) != 8 {
		return
	}
	k := CancelKey{Process: binary.BigEndian.Uint32(body), Secret: binary.BigEndian.Uint32(body[4:])}
	// Two instances can have the same number, so a key that matches no session
	// here can still match one on another instance.
	if k.Instance() == s.opts.InstanceNumber && s.Cancel(k) {
		return
	}
	if s.opts.ForwardCancel == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
	defer cancel()
	if err := s.opts.ForwardCancel(ctx, k.Instance(), k); err != nil {
		s.opts.Logger.Warn().Err(err).Uint32("instance", k.Instance()).Msg("front: cannot forward cancel request")
	}
}

// recordDecision adds a decision record for a session, or for none if c is nil.
func (s *Server) recordDecision(c *client, kind decision.Kind, rule, out string, inputs ...decision.Input) {
	r := decision.Record{
		Time: time.Now(), Instance: s.opts.Source.Load().Instance, Kind: kind, Rule: rule, Outcome: out, Inputs: inputs,
	}
	if c != nil {
		r.Account, r.Group, r.Session = c.account, c.group, c.id
	}
	s.opts.Recorder.Record(r)
}

// serve handles one caller connection.
func (s *Server) serve(nc net.Conn) {
	defer s.wg.Done()
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
	}
	c := newClient(s, nc)
	defer func() { _ = c.nc.Close() }()
	stop := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	defer stop()
	_ = nc.SetDeadline(time.Now().Add(s.opts.StartupTimeout))
	if !c.startup() {
		return
	}
	defer s.unregister(c)
	defer c.cleanup()
	_ = c.nc.SetDeadline(time.Time{})
	c.run()
}

// sendFatalError sends a fatal error and drains the input, so that closing the
// connection does not reset it before the error arrives.
func (c *client) sendFatalError(err error) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(time.Second))
	c.w.Error(pgwire.SeverityFatal, err)
	_ = c.w.Flush()
	c.linger()
}

// linger closes the write side and discards input until the caller closes the
// connection or lingerTimeout has passed.
func (c *client) linger() {
	if cw, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = cw.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	var b [512]byte
	for {
		if _, err := c.nc.Read(b[:]); err != nil {
			return
		}
	}
}
