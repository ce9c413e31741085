// Package engine runs client sessions. It keeps their settings, prepared statements
// and transactions, admits their operations and hands their statements to an executor.
// It is independent of the wire protocol.
package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// ClientConn is a client's connection in some wire protocol.
type ClientConn interface {
	// ReadStartup reads the database and the key that the client names.
	ReadStartup(deadline time.Time) (database, key string, err error)
	// SendReady accepts the session.
	SendReady() error
	// Refuse rejects the session.
	Refuse(code stmt.Code, text string) error
	// ReadStatement reads the next statement. A zero deadline means none.
	ReadStatement(deadline time.Time) (stmt.Statement, error)
	// Interrupt makes a pending ReadStatement fail with a timeout.
	Interrupt()
	// Pending reports whether bytes of another statement have arrived.
	Pending() bool
	// Reply sends the answer to the last statement.
	Reply(a stmt.Answer) error
	Close()
}

// ErrorClassifier classifies the errors of a ClientConn.
type ErrorClassifier interface {
	// IsSessionEnd reports whether the client ended its session.
	IsSessionEnd(err error) bool
	// IsUnsupported reports whether the message was well formed but is not a
	// statement; the session continues.
	IsUnsupported(err error) bool
	// IsTimeout reports whether the deadline passed or Interrupt was called.
	IsTimeout(err error) bool
}

// Admission enforces the rate limits of client accounts.
type Admission interface {
	// Admit decides on one operation of an account. It never returns
	// ratelimit.AskHome.
	Admit(now time.Duration, account fleet.AccountID) ratelimit.Decision
}

// Engine serves the sessions of one instance.
type Engine struct {
	Clock     *clock.Clock
	View      func() *view.View
	Executor  executor.Executor
	Admission Admission
	Errors    ErrorClassifier
	Log       *telemetry.Log
	Metrics   *telemetry.Metrics

	mu       sync.Mutex
	sessions map[*session]struct{}
	stopping atomic.Bool
}

const (
	// startupTimeout bounds the wait for a client's startup message; clients
	// themselves give up after 2 s.
	startupTimeout = 5 * time.Second
	// catalogTimeout bounds the wait of a session that starts before the first
	// configuration is known; it is below the 2 s after which clients give up.
	catalogTimeout      = 1500 * time.Millisecond
	catalogPollInterval = 20 * time.Millisecond
)

// Serve runs a session until it ends.
func (e *Engine) Serve(c ClientConn) {
	defer c.Close()
	database, key, err := c.ReadStartup(time.Now().Add(startupTimeout))
	if err != nil {
		e.Metrics.Count(`sessions{outcome="no_opening"}`)
		return
	}
	for waited := time.Duration(0); e.View().Catalog == nil && waited < catalogTimeout; waited += catalogPollInterval {
		time.Sleep(catalogPollInterval)
	}
	s := &session{engine: e, client: c, database: database, key: key,
		settings: map[string]string{}, prepared: map[string]preparedStatement{}}
	if code, text := s.authorize(); code != stmt.OK {
		e.Metrics.Count(`sessions{outcome="` + code.String() + `"}`)
		e.Log.Info("session: refused", "database", database, "reason", code.String(), "catalog", e.catalogVersion())
		if err := c.Refuse(code, text); err != nil {
			return // the client has disconnected
		}
		return
	}
	if !e.register(s) {
		e.Metrics.Count(`sessions{outcome="stopping"}`)
		if err := c.Refuse(stmt.Busy, "this instance is stopping; connect again"); err != nil {
			return // the client has disconnected
		}
		return
	}
	defer e.unregister(s)
	defer func() {
		// A fault in one session must not end the others.
		if p := recover(); p != nil {
			e.Metrics.Count("panics")
			e.Log.Warn("session: panic; the session is closed", "database", database, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	if c.SendReady() != nil {
		return
	}
	e.Metrics.Count(`sessions{outcome="opened"}`)
	s.run()
}

// catalogVersion returns the version of the configuration in force; 0 if none is
// known.
func (e *Engine) catalogVersion() uint64 {
	if c := e.View().Catalog; c != nil {
		return c.Version
	}
	return 0
}

// register adds a session. It returns false once the engine shuts down.
func (e *Engine) register(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions == nil {
		e.sessions = map[*session]struct{}{}
	}
	if e.stopping.Load() {
		return false
	}
	e.sessions[s] = struct{}{}
	return true
}

func (e *Engine) unregister(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
}

const (
	// balancerLag is how long the platform's load balancer still sends new
	// connections to an instance that is no longer ready: it probes once a second
	// and removes an instance after two failed probes. Clients of sessions that are
	// closed earlier could reconnect to this instance.
	balancerLag = 2200 * time.Millisecond
	// idleCloseSpread is the time over which the closing of idle sessions is
	// spread, so that their clients do not all reconnect at the same moment.
	idleCloseSpread = 800 * time.Millisecond
	// shutdownPollInterval is how often Shutdown checks for sessions that have ended.
	shutdownPollInterval = 20 * time.Millisecond
)

// Shutdown ends the sessions within the given time. It serves all clients while the
// load balancer still sends new ones, for balancerLag. Then it ends idle sessions
// one after the other, the others after their current statement, and those with an
// open transaction at transactionDeadline at the latest. Shutdown returns when all
// sessions have ended or ctx is done.
func (e *Engine) Shutdown(ctx context.Context, within time.Duration, transactionDeadline time.Time) {
	lag := min(balancerLag, within*2/5)
	for end := time.Now().Add(lag); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(shutdownPollInterval)
	}
	e.mu.Lock()
	e.stopping.Store(true)
	sessions := slices.Collect(maps.Keys(e.sessions))
	e.mu.Unlock()
	pace := min(idleCloseSpread, within/8) / time.Duration(len(sessions)+1)
	for _, s := range sessions {
		s.stop(transactionDeadline)
		time.Sleep(pace)
	}
	for ctx.Err() == nil {
		e.mu.Lock()
		left := slices.Collect(maps.Keys(e.sessions))
		e.mu.Unlock()
		if len(left) == 0 {
			return
		}
		for _, s := range left {
			// A session that was about to wait for a statement has missed the
			// earlier interrupt.
			s.stop(transactionDeadline)
		}
		time.Sleep(shutdownPollInterval)
	}
}

// SessionCount returns the number of open sessions.
func (e *Engine) SessionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// errSessionEnded ends a session without a message to the client.
var errSessionEnded = errors.New("session ended")

// resolveRoute returns the session's route and client account under the
// configuration in force, or the code and text of a refusal.
func (s *session) resolveRoute() (catalog.Route, fleet.AccountID, stmt.Code, string) {
	v := s.engine.View()
	if v.Catalog == nil {
		return catalog.Route{}, "", stmt.Busy, "no configuration is known yet; try again in a second"
	}
	r, ok := v.Route(s.database)
	if !ok {
		return r, "", stmt.UnknownDatabase, "no route has this name; check the database"
	}
	account, ok := v.Account(r, s.key)
	if !ok {
		return r, "", stmt.BadKey, "the key is unknown or withdrawn; use a key in force"
	}
	return r, account, stmt.OK, ""
}

// authorize checks the session's database and key.
func (s *session) authorize() (stmt.Code, string) {
	_, _, code, text := s.resolveRoute()
	return code, text
}
