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

// sessionCheckInterval is how often live sessions are checked for a lost freshness
// proof, a withdrawn key and idle timeouts. It adds to the bound of 5 s within
// which a withdrawn key stops working.
const sessionCheckInterval = 100 * time.Millisecond

// primaryCheckInterval is how often the view is checked for a new primary. It adds to
// the failover gap; a check without a new view is one atomic load.
const primaryCheckInterval = 5 * time.Millisecond

// supersedeGrace lets answers that are already on their way from an old
// primary arrive, so that a planned promotion leaves fewer unknown outcomes.
const supersedeGrace = 20 * time.Millisecond

// shardCount splits what all sessions use, so that no lock is shared by all.
const shardCount = 16

// lingerTimeout is how long a closed connection still reads. Closing with unread
// input resets the connection, which can destroy the last answer on its way.
const lingerTimeout = 250 * time.Millisecond

// Server is the caller port. It is a kratos transport server.
type Server struct {
	opts    Options
	ln      net.Listener
	metrics *serverMetrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	nextID   atomic.Uint32
	count    atomic.Int64
	draining atomic.Bool // idle sessions are closed
	stopping atomic.Bool
	// outcomeTables has the databases whose outcome table exists.
	outcomeTables sync.Map

	shards [shardCount]struct {
		mu       sync.Mutex
		sessions map[uint32]*client
		retryMu  sync.Mutex
		retry    *retry.Policy
	}
}

// New returns a server. It listens at once when no listener is given, so that
// Endpoint is known before Start.
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

// Endpoint returns the address as kratos registers it.
func (s *Server) Endpoint() (*url.URL, error) {
	return &url.URL{Scheme: "postgres", Host: s.ln.Addr().String()}, nil
}

// Start serves until Stop is called or ctx ends.
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
			s.opts.Logger.Warn().Err(err).Msg("front: accept failed")
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

// CloseIdle gives each idle session its token and closes it with 57P01, now
// and as sessions become idle.
func (s *Server) CloseIdle() {
	s.draining.Store(true)
	s.forEachSession(func(x *client) { x.endIfIdle(errShuttingDown(outcome.NotRun)) })
}

// CloseAll ends every session with a typed outcome.
func (s *Server) CloseAll() {
	s.draining.Store(true)
	s.forEachSession(func(x *client) { x.end(errShuttingDown(outcome.NotRun)) })
}

// Sessions returns the open sessions and those with a running request or an
// open transaction.
func (s *Server) Sessions() (open, busy int) {
	s.forEachSession(func(x *client) {
		open++
		if x.isBusy() {
			busy++
		}
	})
	return open, busy
}

// Stop drains: no new connections, idle sessions end at once, busy ones when
// their request or transaction has ended, and the rest at the drain bound or
// when ctx ends.
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
	bound := time.NewTimer(s.opts.DrainTimeout)
	defer bound.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-bound.C:
	}
	s.CloseAll()
	grace := time.NewTimer(time.Second)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
	s.cancel()
	s.forEachSession(func(x *client) { _ = x.nc.Close() })
	s.wg.Wait()
	return nil
}

func (s *Server) forEachSession(f func(*client)) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		list := make([]*client, 0, len(sh.sessions))
		for _, x := range sh.sessions {
			list = append(list, x)
		}
		sh.mu.Unlock()
		for _, x := range list {
			f(x)
		}
	}
}

// checkSessions ends sessions that may no longer run.
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
			v := s.opts.Source.Load()
			if v.Draining {
				s.draining.Store(true)
			}
			s.forEachSession(func(x *client) { x.revalidate(v, now) })
			if n++; n%10 == 0 {
				s.opts.Pool.CloseIdle(now)
			}
		}
	}
}

// watchPrimaries ends what waits for or runs at the primary of a lower term once
// the view shows a new primary.
func (s *Server) watchPrimaries() {
	defer s.wg.Done()
	tick := time.NewTicker(primaryCheckInterval)
	defer tick.Stop()
	// known holds the last primary of each group.
	known := map[fleet.GroupID]*snapshot.Group{}
	var seen *snapshot.Snapshot
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		v := s.opts.Source.Load()
		if v == seen {
			continue
		}
		seen = v
		for id, g := range v.Groups {
			if g.Primary == "" {
				continue
			}
			old := known[id]
			known[id] = g
			if old == nil || g.Term <= old.Term {
				continue
			}
			s.forEachSession(func(x *client) { x.supersede(id, old.Primary, g.Term) })
		}
	}
}

// register gives the session an id, or fails when there are too many.
func (s *Server) register(x *client) bool {
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
		x.id, x.shard = id, n%shardCount
		sh.sessions[id] = x
		sh.mu.Unlock()
		return true
	}
}

func (s *Server) unregister(x *client) {
	sh := &s.shards[x.shard]
	sh.mu.Lock()
	delete(sh.sessions, x.id)
	sh.mu.Unlock()
	s.count.Add(-1)
}

// Cancel cancels what a session of this instance runs and reports whether the
// key named one.
func (s *Server) Cancel(k CancelKey) bool {
	sh := &s.shards[k.Process&(1<<sessionBits-1)%shardCount]
	sh.mu.Lock()
	x := sh.sessions[k.Process]
	sh.mu.Unlock()
	if x == nil || x.secret != k.Secret {
		return false
	}
	x.cancelRequest()
	return true
}

func (s *Server) handleCancelRequest(body []byte) {
	if len(body) != 8 {
		return
	}
	k := CancelKey{Process: binary.BigEndian.Uint32(body), Secret: binary.BigEndian.Uint32(body[4:])}
	// Two instances can have the same number, so a key that names no session
	// here may still name one elsewhere.
	if k.Instance() == s.opts.InstanceNumber && s.Cancel(k) {
		return
	}
	if s.opts.ForwardCancel == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
	defer cancel()
	if err := s.opts.ForwardCancel(ctx, k.Instance(), k); err != nil {
		s.opts.Logger.Warn().Err(err).Uint32("instance", k.Instance()).Msg("front: cancel request was not forwarded")
	}
}

func (s *Server) recordDecision(x *client, kind decision.Kind, rule, out string, inputs ...decision.Input) {
	r := decision.Record{
		Time: time.Now(), Instance: s.opts.Source.Load().Instance, Kind: kind, Rule: rule, Outcome: out, Inputs: inputs,
	}
	if x != nil {
		r.Account, r.Group, r.Session = x.account, x.group, x.id
	}
	s.opts.Recorder.Record(r)
}

// serve runs one connection of a caller.
func (s *Server) serve(nc net.Conn) {
	defer s.wg.Done()
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
	}
	x := newClient(s, nc)
	defer func() { _ = x.nc.Close() }()
	stop := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	defer stop()
	_ = nc.SetDeadline(time.Now().Add(s.opts.StartupTimeout))
	if !x.startup() {
		return
	}
	defer s.unregister(x)
	defer x.cleanup()
	_ = x.nc.SetDeadline(time.Time{})
	x.run()
}

// sendFatalError sends a fatal error and closes in a way that lets it arrive.
func (x *client) sendFatalError(err error) {
	_ = x.nc.SetWriteDeadline(time.Now().Add(time.Second))
	x.w.Error(pgwire.SeverityFatal, err)
	_ = x.w.Flush()
	x.linger()
}

func (x *client) linger() {
	if cw, ok := x.nc.(interface{ CloseWrite() error }); ok {
		_ = cw.CloseWrite()
	}
	_ = x.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	var b [512]byte
	for {
		if _, err := x.nc.Read(b[:]); err != nil {
			return
		}
	}
}
