// Package engine runs the sessions of callers: it keeps session values,
// prepared statements and transactions, decides where each statement goes, what
// is repeated and what a caller is told when something fails. It knows no wire
// protocol.
//
// Invariants:
//   - A refusal that promises that nothing is kept is given only when no commit
//     and no single write of the attempt was sent, or the endpoint itself said
//     that it did not run.
//   - A connection serves another session only in the idle state, with the whole
//     answer to its last statement read.
package engine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// ClientConn is a caller's connection in some wire protocol.
type ClientConn interface {
	// Opening reads the database and the key that a caller names.
	Opening(deadline time.Time) (database, key string, err error)
	Welcome() error
	Refuse(code stmt.Code, text string) error
	// Statement reads the next statement. A zero deadline means none.
	Statement(deadline time.Time) (stmt.Statement, error)
	// Interrupt makes a pending Statement fail with a timeout.
	Interrupt()
	// Pending reports whether bytes of another statement have arrived.
	Pending() bool
	Answer(a stmt.Answer) error
	Close()
}

// ErrorClassifier tells apart the errors of a wire protocol.
type ErrorClassifier interface {
	// Ended reports whether the caller ended its session.
	Ended(err error) bool
	// Unsupported reports whether the message was well formed, but no
	// statement; the session goes on.
	Unsupported(err error) bool
	// TimedOut reports whether the deadline passed or Interrupt was called.
	TimedOut(err error) bool
}

// Admission keeps client accounts within their rates.
type Admission interface {
	// Admit takes one operation of an account. It never returns share.Ask.
	Admit(now time.Duration, account fleet.AccountID) ratelimit.Decision
}

// Engine serves the sessions of one instance.
type Engine struct {
	Clock     *clock.Clock
	View      func() *view.View
	Pool      *pool.Pool
	Admission Admission
	Errors    ErrorClassifier
	Log       *telemetry.Log
	Metrics   *telemetry.Metrics

	mu       sync.Mutex
	sessions map[*session]struct{}
	work     map[workKind]*dispatch.ServiceTime
	stopping atomic.Bool
}

// workKind separates statements that take different times.
type workKind struct {
	database string
	write    bool
	commit   bool
}

// typical returns the estimate for a kind of statement.
func (e *Engine) typical(k workKind) *dispatch.ServiceTime {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.work == nil {
		e.work = map[workKind]*dispatch.ServiceTime{}
	}
	w := e.work[k]
	if w == nil {
		w = &dispatch.ServiceTime{}
		e.work[k] = w
	}
	return w
}

const (
	// openingLimit bounds the wait for a caller's first message; callers give up
	// after 2 s themselves.
	openingLimit = 5 * time.Second
	// catalogWait bounds the wait of a session that is opened before the first
	// configuration is known; it is below the 2 s after which callers give up.
	catalogWait = 1500 * time.Millisecond
	catalogPoll = 20 * time.Millisecond
)

// Serve runs a session until it ends.
func (e *Engine) Serve(c ClientConn) {
	defer c.Close()
	database, key, err := c.Opening(time.Now().Add(openingLimit))
	if err != nil {
		e.Metrics.Count(`sessions{outcome="no_opening"}`)
		return
	}
	for waited := time.Duration(0); e.View().Catalog == nil && waited < catalogWait; waited += catalogPoll {
		time.Sleep(catalogPoll)
	}
	s := &session{e: e, caller: c, database: database, key: key,
		values: map[string]string{}, shapes: map[string]shape{}}
	if code, text := s.authorize(); code != stmt.OK {
		e.Metrics.Count(`sessions{outcome="` + code.String() + `"}`)
		e.Log.Info("session: refused", "database", database, "reason", code.String(), "catalog", e.version())
		if err := c.Refuse(code, text); err != nil {
			return // the caller has gone
		}
		return
	}
	if !e.register(s) {
		e.Metrics.Count(`sessions{outcome="stopping"}`)
		if err := c.Refuse(stmt.Busy, "this instance is stopping; connect again"); err != nil {
			return // the caller has gone
		}
		return
	}
	defer e.unregister(s)
	if c.Welcome() != nil {
		return
	}
	e.Metrics.Count(`sessions{outcome="opened"}`)
	s.run()
}

func (e *Engine) version() uint64 {
	if c := e.View().Catalog; c != nil {
		return c.Version
	}
	return 0
}

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
	// rotationLag is how long after it is no longer ready an instance still gets
	// new connections: the platform asks once a second and goes by two misses.
	// Sessions that were closed before would come back to this instance.
	rotationLag = 2200 * time.Millisecond
	// idleSpread is the time over which idle sessions are closed, so that the
	// callers do not reconnect at once.
	idleSpread = 800 * time.Millisecond
	// stopPoll is how often Stop looks for sessions that have ended.
	stopPoll = 20 * time.Millisecond
)

// Shutdown ends the sessions within the time given. While the platform still sends
// callers all are served. Then idle sessions end one after the other, the others
// when their statement ends, and open transactions by half of the time. Shutdown
// returns when all have ended or ctx does.
func (e *Engine) Shutdown(ctx context.Context, within time.Duration) {
	half := time.Now().Add(within / 2)
	lag := min(rotationLag, within*2/5)
	for end := time.Now().Add(lag); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(stopPoll)
	}
	e.mu.Lock()
	e.stopping.Store(true)
	sessions := slices.Collect(maps.Keys(e.sessions))
	e.mu.Unlock()
	pace := min(idleSpread, within/8) / time.Duration(len(sessions)+1)
	for _, s := range sessions {
		s.stop(half)
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
			// A session that was about to wait when it was asked has missed it.
			s.stop(half)
		}
		time.Sleep(stopPoll)
	}
}

// SessionCount counts the open sessions.
func (e *Engine) SessionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// errEnded ends a session without a further word to the caller.
var errEnded = errors.New("session ended")

// route returns the session's route, and its account, as they are in force now.
func (s *session) route() (catalog.Route, fleet.AccountID, stmt.Code, string) {
	v := s.e.View()
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

func (s *session) authorize() (stmt.Code, string) {
	_, _, code, text := s.route()
	return code, text
}
