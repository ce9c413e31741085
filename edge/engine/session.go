package engine

import (
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

type shape struct {
	text   string
	writes bool
}

// session is one caller's connection.
type session struct {
	e        *Engine
	caller   ClientConn
	database string
	key      string
	// account is the client account of the last operation.
	account fleet.AccountID
	values  map[string]string
	shapes  map[string]shape
	// own covers the session's acknowledged commits.
	own fleet.LogPosition
	tx  *transaction

	mu sync.Mutex
	// waiting says that the session waits for a statement, idle that it does so
	// outside a transaction.
	waiting, idle bool
	// stopAt is when the instance needs the session to end; zero if it does not.
	stopAt time.Time
}

// transaction is an open transaction. Begin is sent to an endpoint with the
// first statement that needs it.
type transaction struct {
	route    catalog.Route
	account  fleet.AccountID
	readOnly bool
	// began is when the first byte of the transaction had arrived.
	began time.Duration
	conn  *pool.Conn
	wrote bool
	// failed transactions only wait for their end.
	failed bool
}

func (s *session) state() stmt.TransactionState {
	switch {
	case s.tx == nil:
		return stmt.Idle
	case s.tx.failed:
		return stmt.FailedTransaction
	}
	return stmt.InTransaction
}

// stop asks the session to end: at once when it waits in the idle state, after
// its statement, or at the latest at half when a transaction is open. It may be
// called again.
func (s *session) stop(half time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.stopAt.IsZero()
	s.stopAt = half
	if s.waiting && (first || s.idle) {
		s.caller.Interrupt()
	}
}

func (s *session) stopTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopAt
}

// next reads a statement. It ends the session when the instance stops, and
// rolls an idle transaction back when its time is over.
func (s *session) next() (stmt.Statement, error) {
	for {
		var deadline time.Time
		s.mu.Lock()
		if !s.stopAt.IsZero() {
			if s.tx == nil && !s.caller.Pending() || !time.Now().Before(s.stopAt) {
				s.mu.Unlock()
				return stmt.Statement{}, errEnded
			}
			deadline = s.stopAt
		}
		if s.tx != nil && !s.tx.failed {
			idle := time.Now().Add(s.idleLimit())
			if deadline.IsZero() || idle.Before(deadline) {
				deadline = idle
			}
		}
		s.waiting, s.idle = true, s.tx == nil
		s.mu.Unlock()
		q, err := s.caller.Statement(deadline)
		s.mu.Lock()
		s.waiting = false
		s.mu.Unlock()
		if err == nil || !s.e.Errors.TimedOut(err) {
			return q, err
		}
		if s.stopTime().IsZero() && s.tx != nil {
			s.e.Log.Info("session: idle transaction rolled back", "database", s.database,
				"limit_ms", s.idleLimit().Milliseconds())
			s.abandon()
		}
	}
}

func (s *session) idleLimit() time.Duration {
	if c := s.e.View().Catalog; c != nil {
		return c.TransactionIdleTimeout
	}
	return catalogWait
}

// abandon rolls the transaction back and leaves it failed until the caller
// ends it.
func (s *session) abandon() {
	s.detach()
	s.tx.failed = true
}

// detach gives the transaction's connection back, rolled back.
func (s *session) detach() {
	c := s.tx.conn
	s.tx.conn = nil
	if c == nil {
		return
	}
	s.e.Pool.BeginStatement(c)
	a, err := s.exchange(c, time.Now().Add(rollbackLimit), stmt.Statement{Kind: stmt.Rollback})
	clean := err == nil && a.State == stmt.Idle
	if err == nil {
		s.e.Pool.EndStatement(c, a, nil)
	}
	s.e.Pool.Release(c, clean)
}

// rollbackLimit bounds the wait for a rollback; past it the connection is
// closed, which rolls back as well.
const rollbackLimit = 300 * time.Millisecond

func (s *session) run() {
	defer func() {
		if s.tx != nil {
			s.detach()
		}
	}()
	for {
		q, err := s.next()
		switch {
		case err == nil:
		case s.e.Errors.Unsupported(err):
			if s.tx != nil && !s.tx.failed {
				s.abandon()
			}
			if s.reply(q, stmt.Answer{Code: stmt.BadStatement, Text: "not a statement of this protocol; check its words"}) != nil {
				return
			}
			continue
		default:
			return
		}
		if s.reply(q, s.handle(q)) != nil {
			return
		}
		if s.ended() {
			return
		}
	}
}

// ended reports whether the session has to end because its key or its route is
// no longer in force.
func (s *session) ended() bool {
	if s.tx != nil {
		return false
	}
	_, _, code, _ := s.route()
	return code == stmt.BadKey
}

func (s *session) reply(q stmt.Statement, a stmt.Answer) error {
	a.State = s.state()
	if a.Code != stmt.OK {
		s.e.Metrics.Count(`refusals{code="` + a.Code.String() + `"}`)
		s.e.Log.Info("session: statement refused", "id", q.ID, "database", s.database, "account", string(s.account),
			"code", a.Code.String(), "why", a.Text, "catalog", s.e.version())
	}
	return s.caller.Answer(a)
}

// fail turns the open transaction, if any, into a failed one and returns the
// answer to its statement.
func (s *session) fail(code stmt.Code, text string) stmt.Answer {
	if s.tx != nil && !s.tx.failed {
		s.abandon()
	}
	return stmt.Answer{Code: code, Text: text}
}

func (s *session) handle(q stmt.Statement) stmt.Answer {
	start := s.e.Clock.Now()
	if s.state() == stmt.FailedTransaction {
		switch q.Kind {
		case stmt.Rollback:
			s.tx = nil
			return stmt.Answer{}
		case stmt.Commit:
			s.tx = nil
			return stmt.Answer{Code: stmt.Aborted, Text: "the transaction had failed and is rolled back"}
		}
		return stmt.Answer{Code: stmt.BadStatement, Text: "the transaction has failed; end it first"}
	}
	switch q.Kind {
	case stmt.Set:
		s.values[q.Name] = q.Value
		return stmt.Answer{}
	case stmt.Prepare:
		s.shapes[q.Name] = shape{text: q.PreparedText, writes: q.PreparedWrites}
		return stmt.Answer{}
	case stmt.Deallocate:
		if _, ok := s.shapes[q.Name]; !ok {
			return s.fail(stmt.UnknownName, "nothing is prepared under this name")
		}
		delete(s.shapes, q.Name)
		return stmt.Answer{}
	case stmt.Begin:
		return s.begin(q, start)
	case stmt.Rollback:
		if s.tx == nil {
			return stmt.Answer{Code: stmt.BadStatement, Text: "no transaction is open"}
		}
		s.detach()
		s.tx = nil
		return stmt.Answer{}
	case stmt.Commit:
		if s.tx == nil {
			return stmt.Answer{Code: stmt.BadStatement, Text: "no transaction is open"}
		}
		a := s.inTransaction(q, start)
		if s.tx != nil && s.tx.conn != nil {
			s.detach()
		}
		s.tx = nil
		return a
	case stmt.Execute:
		if _, ok := s.shapes[q.Name]; !ok {
			return s.fail(stmt.UnknownName, "nothing is prepared under this name")
		}
	}
	if s.tx != nil {
		return s.inTransaction(q, start)
	}
	return s.single(q, start)
}

// begin opens a transaction without sending anything.
func (s *session) begin(q stmt.Statement, start time.Duration) stmt.Answer {
	if s.tx != nil {
		return s.fail(stmt.BadStatement, "a transaction is open already; end it first")
	}
	r, account, code, text := s.admit(start)
	if code != stmt.OK {
		return stmt.Answer{Code: code, Text: text}
	}
	s.tx = &transaction{route: r, account: account, readOnly: q.ReadOnly, began: start}
	return stmt.Answer{}
}

// admit checks the route, the key and the account's rate for a new operation.
func (s *session) admit(now time.Duration) (catalog.Route, fleet.AccountID, stmt.Code, string) {
	r, account, code, text := s.route()
	s.account = account
	if code != stmt.OK {
		return r, account, code, text
	}
	switch s.e.Admission.Admit(now, account) {
	case ratelimit.Admitted:
		return r, account, stmt.OK, ""
	case ratelimit.RefusedHomeUnreachable:
		s.e.Metrics.Count(`home_not_reached{account="` + string(account) + `"}`)
		return r, account, stmt.Busy, "the instance that keeps the client account's tokens is not reached; try again in a second"
	}
	s.e.Metrics.Count(`over_rate{account="` + string(account) + `"}`)
	return r, account, stmt.Busy, "the client account is over its rate; slow down"
}

// writes reports whether a statement writes.
func (s *session) writes(q stmt.Statement) bool {
	return q.Kind == stmt.Write || q.Kind == stmt.Execute && s.shapes[q.Name].writes
}
