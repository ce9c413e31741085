package engine

import (
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	positions "github.com/vanillahinge/vanillahinge/core/session"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/executor"
)

type preparedStatement struct {
	text string
	// writes is set if executing the statement writes.
	writes bool
}

// session is the session of one client connection.
type session struct {
	engine   *Engine
	client   ClientConn
	database string
	key      string
	// account is the client account of the last operation.
	account  fleet.AccountID
	settings map[string]string
	prepared map[string]preparedStatement
	// commits holds, by group, the log positions that cover the session's acknowledged commits.
	// The route may name another group at any time.
	commits positions.Token
	tx      *transaction

	mu sync.Mutex
	// waiting is set while the session waits for a statement, idle if it waits
	// outside a transaction.
	waiting, idle bool
	// stopDeadline is when the session has to end because the instance shuts down;
	// zero if it does not.
	stopDeadline time.Time
}

// transaction is an open transaction. Begin is sent to an endpoint together with
// the first statement that needs one.
type transaction struct {
	route    catalog.Route
	account  fleet.AccountID
	readOnly bool
	// running is nil until the transaction begins at an endpoint.
	running executor.Transaction
	// failed is set if the transaction is rolled back and only its end is accepted.
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

// stop asks the session to end: at once if it is idle, otherwise after its current
// statement, or by transactionDeadline if a transaction is open. It may be called
// again.
func (s *session) stop(transactionDeadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.stopDeadline.IsZero()
	s.stopDeadline = transactionDeadline
	if s.waiting && (first || s.idle) {
		s.client.Interrupt()
	}
}

// currentStopDeadline returns stopDeadline; safe for concurrent use with stop.
func (s *session) currentStopDeadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopDeadline
}

// nextStatement reads a statement. It returns errSessionEnded when the instance
// shuts down, and rolls a transaction back that stays idle for too long.
func (s *session) nextStatement() (stmt.Statement, error) {
	for {
		var deadline time.Time
		s.mu.Lock()
		if !s.stopDeadline.IsZero() {
			if s.tx == nil && !s.client.Pending() || !time.Now().Before(s.stopDeadline) {
				s.mu.Unlock()
				return stmt.Statement{}, errSessionEnded
			}
			deadline = s.stopDeadline
		}
		if s.tx != nil && !s.tx.failed {
			idleDeadline := time.Now().Add(s.idleTimeout())
			if deadline.IsZero() || idleDeadline.Before(deadline) {
				deadline = idleDeadline
			}
		}
		s.waiting, s.idle = true, s.tx == nil
		s.mu.Unlock()
		q, err := s.client.ReadStatement(deadline)
		s.mu.Lock()
		s.waiting = false
		s.mu.Unlock()
		if err == nil || !s.engine.Errors.IsTimeout(err) {
			return q, err
		}
		if s.currentStopDeadline().IsZero() && s.tx != nil {
			s.engine.Log.Info("session: idle transaction rolled back", "database", s.database,
				"limit_ms", s.idleTimeout().Milliseconds())
			s.failTransaction()
		}
	}
}

// idleTimeout bounds the pause between statements of a transaction.
func (s *session) idleTimeout() time.Duration {
	if c := s.engine.View().Catalog; c != nil {
		return c.TransactionIdleTimeout
	}
	return catalogTimeout
}

// failTransaction rolls the transaction back and leaves it in the failed state until
// the client ends it.
func (s *session) failTransaction() {
	s.rollback()
	s.tx.failed = true
}

// rollback rolls back what the transaction has begun at an endpoint.
func (s *session) rollback() {
	if s.tx.running != nil {
		s.tx.running.Rollback()
		s.tx.running = nil
	}
}

// run handles statements until the session ends.
func (s *session) run() {
	defer func() {
		if s.tx != nil {
			s.rollback()
		}
	}()
	for {
		q, err := s.nextStatement()
		switch {
		case err == nil:
		case s.engine.Errors.IsUnsupported(err):
			if s.tx != nil && !s.tx.failed {
				s.failTransaction()
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
		if s.keyRejected() {
			return
		}
	}
}

// keyRejected reports whether the session has to end because its key no longer gives
// access to its route. The client ends a transaction that has failed first.
func (s *session) keyRejected() bool {
	if s.tx != nil {
		return false
	}
	_, _, code, _ := s.resolveRoute()
	return code == stmt.BadKey
}

// transactionAllowed reports whether the session's key still stands for the client account
// that began the transaction. The route is that of the begin: a changed route applies from
// the next transaction on, a changed key at once.
func (s *session) transactionAllowed() bool {
	account, ok := s.engine.View().Account(s.tx.route, s.key)
	return ok && account == s.tx.account
}

// reply sends the answer to a statement and records refusals.
func (s *session) reply(q stmt.Statement, a stmt.Answer) error {
	a.State = s.state()
	if a.Code != stmt.OK {
		s.engine.Metrics.Count(`refusals{code="` + a.Code.String() + `"}`)
		s.engine.Log.Info("session: statement refused", "id", q.ID, "database", s.database, "account", string(s.account),
			"code", a.Code.String(), "why", a.Text, "catalog", s.engine.catalogVersion())
	}
	return s.client.Reply(a)
}

// fail puts the open transaction, if any, into the failed state and returns the
// answer to the statement that failed.
func (s *session) fail(code stmt.Code, text string) stmt.Answer {
	if s.tx != nil && !s.tx.failed {
		s.failTransaction()
	}
	return stmt.Answer{Code: code, Text: text}
}

// handle runs one statement and returns the answer to it.
func (s *session) handle(q stmt.Statement) stmt.Answer {
	start := s.engine.Clock.Now()
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
	if s.tx != nil && q.Kind != stmt.Rollback && !s.transactionAllowed() {
		s.failTransaction()
		if q.Kind == stmt.Commit {
			s.tx = nil
		}
		return stmt.Answer{Code: stmt.Aborted, Text: "the key was withdrawn during the transaction, which is rolled back; use a key in force"}
	}
	switch q.Kind {
	case stmt.Set:
		s.settings[q.Name] = q.Value
		return stmt.Answer{}
	case stmt.Prepare:
		s.prepared[q.Name] = preparedStatement{text: q.PreparedText, writes: q.PreparedWrites}
		return stmt.Answer{}
	case stmt.Deallocate:
		if _, ok := s.prepared[q.Name]; !ok {
			return s.fail(stmt.UnknownName, "nothing is prepared under this name")
		}
		delete(s.prepared, q.Name)
		return stmt.Answer{}
	case stmt.Begin:
		return s.begin(q, start)
	case stmt.Rollback:
		if s.tx == nil {
			return stmt.Answer{Code: stmt.BadStatement, Text: "no transaction is open"}
		}
		s.rollback()
		s.tx = nil
		return stmt.Answer{}
	case stmt.Commit:
		if s.tx == nil {
			return stmt.Answer{Code: stmt.BadStatement, Text: "no transaction is open"}
		}
		a := s.runInTransaction(q, start)
		s.tx = nil
		return a
	case stmt.Execute:
		if _, ok := s.prepared[q.Name]; !ok {
			return s.fail(stmt.UnknownName, "nothing is prepared under this name")
		}
	}
	if s.tx != nil {
		return s.runInTransaction(q, start)
	}
	return s.runSingle(q, start)
}

// begin opens a transaction without sending anything to an endpoint.
func (s *session) begin(q stmt.Statement, start time.Duration) stmt.Answer {
	if s.tx != nil {
		return s.fail(stmt.BadStatement, "a transaction is open already; end it first")
	}
	r, account, code, text := s.admit(start)
	if code != stmt.OK {
		return stmt.Answer{Code: code, Text: text}
	}
	s.tx = &transaction{route: r, account: account, readOnly: q.ReadOnly}
	return stmt.Answer{}
}

// admit checks the route, the key and the client account's rate for a new operation.
func (s *session) admit(now time.Duration) (catalog.Route, fleet.AccountID, stmt.Code, string) {
	r, account, code, text := s.resolveRoute()
	s.account = account
	if code != stmt.OK {
		return r, account, code, text
	}
	switch s.engine.Admission.Admit(now, account) {
	case ratelimit.Admitted:
		return r, account, stmt.OK, ""
	case ratelimit.RefusedHomeUnreachable:
		s.engine.Metrics.Count(`home_not_reached{account="` + string(account) + `"}`)
		return r, account, stmt.Busy, "the instance that keeps the client account's tokens is not reached; try again in a second"
	}
	s.engine.Metrics.Count(`over_rate{account="` + string(account) + `"}`)
	return r, account, stmt.Busy, "the client account is over its rate; slow down"
}

// operation returns a statement with what an endpoint needs to run it.
func (s *session) operation(q stmt.Statement, r catalog.Route, account fleet.AccountID, start time.Duration) *executor.Operation {
	if q.Kind == stmt.Execute {
		p := s.prepared[q.Name]
		q.PreparedText, q.PreparedWrites = p.text, p.writes
	}
	return &executor.Operation{Route: r, Account: account, Homes: s.engine.View().Homes(r, account), Statement: q, Settings: s.settings, LastCommit: s.commits.Required(r.Group), StartedAt: start}
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(q stmt.Statement, start time.Duration) stmt.Answer {
	r, account, code, text := s.admit(start)
	if code != stmt.OK {
		return stmt.Answer{Code: code, Text: text}
	}
	out := s.engine.Executor.Run(s.operation(q, r, account, start))
	s.commits.RaiseCommit(r.Group, out.LastCommit)
	return out.Answer
}

// runInTransaction runs a statement of the open transaction, or its commit.
func (s *session) runInTransaction(q stmt.Statement, start time.Duration) stmt.Answer {
	tx := s.tx
	op := s.operation(q, tx.route, tx.account, start)
	var out executor.Outcome
	if tx.running == nil {
		tx.running, out = s.engine.Executor.Begin(op, tx.readOnly)
	} else {
		out = tx.running.Run(op)
	}
	if !out.Open {
		tx.running, tx.failed = nil, true
	}
	s.commits.RaiseCommit(tx.route.Group, out.LastCommit)
	return out.Answer
}
