package engine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

const (
	// maxAttemptsOnTime bounds the attempts at a statement while its latency
	// objective can still be met, and maxAttemptsLate after that.
	maxAttemptsLate   = 4
	maxAttemptsOnTime = 12
	// maxPreparedPerConn is the number of prepared statements on a connection above
	// which it is reset.
	maxPreparedPerConn = 100
	// minRetryPause and maxRetryPause bound the random pause before a statement is
	// sent again to the only endpoint that can serve it: about the time that a
	// statement occupies a slot.
	minRetryPause = 8 * time.Millisecond
	maxRetryPause = 24 * time.Millisecond
	// A read is abandoned and retried at another endpoint after readTimeoutFactor
	// times its estimated service time, but not before minReadTimeout.
	minReadTimeout    = 600 * time.Millisecond
	readTimeoutFactor = 12
)

// errLeaseExpired means that this instance may not use the primary now; nothing was
// sent.
var errLeaseExpired = errors.New("engine: the lease on the primary has expired; it is renewed through the store or the other instances")

// roundTrip sends statements in one write and returns the answer to the last one.
// It returns an error if an earlier one fails.
func (s *session) roundTrip(c *pool.Conn, deadline time.Time, ss ...stmt.Statement) (stmt.Answer, error) {
	if !s.engine.Pool.MaySend(c) {
		return stmt.Answer{}, errLeaseExpired
	}
	var buf [4]stmt.Answer
	answers, err := c.Do(deadline, buf[:0], ss...)
	if err != nil {
		return stmt.Answer{}, err
	}
	for i, a := range answers[:len(answers)-1] {
		if a.Code != stmt.OK {
			return stmt.Answer{}, fmt.Errorf("%w: connection setup refused by the endpoint (statement %d): %s %s",
				stmt.ErrLost, i, a.Code, a.Text)
		}
	}
	return answers[len(answers)-1], nil
}

// connSetup returns the statements that apply the session's settings to a connection
// and prepare the text that q executes, and records them in c. A connection that
// carries a setting of another session or too many prepared statements is reset
// first, unless a transaction is open on it.
func (s *session) connSetup(c *pool.Conn, q stmt.Statement, inTx bool) []stmt.Statement {
	var setup []stmt.Statement
	if !inTx {
		reset := len(c.PreparedNames) >= maxPreparedPerConn
		for name := range c.Settings {
			if _, ok := s.settings[name]; !ok {
				reset = true
			}
		}
		if reset {
			setup = append(setup, stmt.Statement{Kind: stmt.Reset})
			clear(c.Settings)
			clear(c.PreparedNames)
		}
	}
	for name, v := range s.settings {
		if old, ok := c.Settings[name]; !ok || old != v {
			setup = append(setup, stmt.Statement{Kind: stmt.Set, Name: name, Value: v})
			c.Settings[name] = v
		}
	}
	if q.Kind == stmt.Execute {
		text := s.prepared[q.Name].text
		if _, ok := c.PreparedNames[text]; !ok {
			name := "p" + strconv.Itoa(len(c.PreparedNames))
			c.PreparedNames[text] = name
			setup = append(setup, stmt.Statement{Kind: stmt.Prepare, Name: name, PreparedText: text})
		}
	}
	return setup
}

// replicaPosition reports whether a statement or transaction of a route may run at
// replicas, and the log position that a replica must have for it. Otherwise it may
// run only at the primary.
func (s *session) replicaPosition(r catalog.Route, readOnly bool) (minPosition fleet.LogPosition, replicas bool) {
	if !readOnly || r.Consistency == catalog.Latest || r.MaxStaleness <= 0 {
		return fleet.LogPosition{}, false
	}
	minPosition, ok := s.engine.Pool.RequiredPosition(r.Group, r.MaxStaleness)
	if !ok {
		return fleet.LogPosition{}, false
	}
	if r.Consistency == catalog.ReadYourWrites && s.lastCommit != (fleet.LogPosition{}) {
		if s.lastCommit.Term < s.engine.Pool.Term(r.Group) {
			// The change of primary may have lost the commit, so no replica can be
			// required to have it; the primary has what was kept.
			return fleet.LogPosition{}, false
		}
		minPosition = minPosition.Max(s.lastCommit)
	}
	return minPosition, true
}

// recordCommit updates lastCommit after an answer from the primary: after a write,
// or if the primary's term is newer than that of lastCommit.
func (s *session) recordCommit(c *pool.Conn, a stmt.Answer, wrote bool) {
	if c.Primary && (wrote || s.lastCommit != (fleet.LogPosition{}) && s.lastCommit.Term < a.Position.Term) {
		s.lastCommit = a.Position
	}
}

// execution is the state of one statement, or of the begin of a transaction, over
// its attempts at endpoints.
type execution struct {
	route       catalog.Route
	account     fleet.AccountID
	startedAt   time.Duration
	deadline    time.Time
	serviceTime *dispatch.ServiceTime
	attempts    int
	// avoid is the endpoint at which the last attempt failed.
	avoid fleet.EndpointID
}

func (s *session) newExecution(r catalog.Route, account fleet.AccountID, start time.Duration, class statementClass) *execution {
	return &execution{route: r, account: account, startedAt: start, deadline: time.Now().Add(r.StatementTimeout), serviceTime: s.engine.serviceTime(class)}
}

// latestStart returns the last moment at which a statement can start and still be
// answered within the route's latency objective.
func (ex *execution) latestStart() time.Duration {
	return ex.startedAt + max(ex.route.LatencyObjective-2*ex.serviceTime.Estimate(), ex.route.LatencyObjective/4)
}

// mayRetry reports whether another attempt is allowed.
func (ex *execution) mayRetry(now time.Duration) bool {
	limit := maxAttemptsLate
	if now < ex.latestStart() {
		limit = maxAttemptsOnTime
	}
	return ex.attempts < limit && time.Until(ex.deadline) > ex.serviceTime.Estimate()
}

// pauseBeforeRetry sleeps for a random time before the same endpoint is tried again.
func pauseBeforeRetry() { time.Sleep(minRetryPause + rand.N(maxRetryPause-minRetryPause)) }

// acquire gets a connection for the next attempt, and the log position that a
// replica must have. If it gets none, it returns the answer for the client.
func (s *session) acquire(ex *execution, readOnly bool) (*pool.Conn, fleet.LogPosition, stmt.Answer) {
	for {
		ex.attempts++
		minPosition, replicas := s.replicaPosition(ex.route, readOnly)
		c, err := s.engine.Pool.Acquire(pool.Request{
			Group: ex.route.Group, Account: ex.account, Primary: !replicas, Floor: minPosition, Avoid: ex.avoid,
			Priority: ex.route.Priority, LatestStart: ex.latestStart(), Timeout: ex.route.StatementTimeout, Work: ex.serviceTime, Settings: s.settings,
		})
		if err == nil {
			if c.Primary {
				minPosition = fleet.LogPosition{}
			}
			return c, minPosition, stmt.Answer{}
		}
		var refusal *pool.Refusal
		if errors.As(err, &refusal) {
			return nil, minPosition, stmt.Answer{Code: stmt.Busy, Text: err.Error()}
		}
		if !ex.mayRetry(s.engine.Clock.Now()) {
			return nil, minPosition, stmt.Answer{Code: stmt.Busy, Text: "no connection to an endpoint; try again later"}
		}
		var refused *stmt.RefusedError
		if errors.As(err, &refused) && refused.Code != stmt.TooManyConnections && !replicas {
			pauseBeforeRetry()
		}
	}
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(q stmt.Statement, start time.Duration) stmt.Answer {
	r, account, code, text := s.admit(start)
	if code != stmt.OK {
		return stmt.Answer{Code: code, Text: text}
	}
	writes := s.isWrite(q)
	ex := s.newExecution(r, account, start, statementClass{database: s.database, write: writes})
	for {
		c, minPosition, refusal := s.acquire(ex, !writes)
		if c == nil {
			return refusal
		}
		deadline := ex.deadline
		if !writes {
			deadline = ex.readDeadline()
		}
		a, sent, err := s.send(c, q, minPosition, ex, deadline)
		if err == nil && a.Code == stmt.OK {
			if a.Signature == "" {
				err = fmt.Errorf("%w: success without a signature", stmt.ErrLost)
			} else if writes && !s.engine.Pool.MaySend(c) {
				// The primary may have been replaced before the write was applied. The
				// connection may lead to a former primary, so it is not reused.
				s.engine.Pool.Release(c, false)
				return stmt.Answer{Code: stmt.InDoubt, Text: "the primary was replaced meanwhile; check before repeating"}
			} else {
				s.recordCommit(c, a, writes)
				s.engine.Pool.Release(c, a.State == stmt.Idle)
				s.recordServed(q, c, ex, minPosition)
				return a
			}
		}
		ex.avoid = c.Endpoint()
		s.engine.Pool.Release(c, err == nil && a.State == stmt.Idle)
		switch {
		case err != nil && sent && writes:
			return stmt.Answer{Code: stmt.InDoubt, Text: "the answer was lost; check before repeating"}
		case err != nil && sent && !time.Now().Before(ex.deadline):
			return stmt.Answer{Code: stmt.Timeout, Text: "no answer within the route's time limit"}
		case err != nil:
			if !ex.mayRetry(s.engine.Clock.Now()) {
				if sent {
					return stmt.Answer{Code: stmt.Failed, Text: "the answer was lost; repeat the read"}
				}
				return stmt.Answer{Code: stmt.Busy, Text: "the connection to the endpoint was lost before it was sent; try again later"}
			}
			if errors.Is(err, errLeaseExpired) {
				pauseBeforeRetry()
			}
		case a.Code.NotRun():
			if !ex.mayRetry(s.engine.Clock.Now()) {
				return stmt.Answer{Code: stmt.Busy, Text: "the endpoints refused it; try again later"}
			}
			if a.Code != stmt.Lagging && (ex.attempts > 1 || writes || r.Consistency == catalog.Latest) {
				pauseBeforeRetry()
			}
		case a.Code == stmt.Failed && !writes && ex.mayRetry(s.engine.Clock.Now()):
			// A read changed nothing, and it may succeed at another endpoint.
			if ex.attempts > 1 || r.Consistency == catalog.Latest {
				pauseBeforeRetry()
			}
		default:
			return a
		}
		s.engine.Metrics.Count(`retries{why="` + retryReason(a, err) + `"}`)
		s.engine.Log.Info("session: statement offered again", "id", q.ID, "database", s.database, "endpoint", string(ex.avoid),
			"why", retryReason(a, err), "attempt", ex.attempts)
	}
}

// retryReason returns the reason of a retry as logs and metrics name it.
func retryReason(a stmt.Answer, err error) string {
	switch {
	case errors.Is(err, errLeaseExpired):
		return "not_permitted"
	case err != nil:
		return "lost"
	}
	return a.Code.String()
}

// recordLostAnswer logs a statement that got no answer and reports it to the pool.
// It returns whether the statement may have reached the endpoint.
func (s *session) recordLostAnswer(q stmt.Statement, c *pool.Conn, err error) bool {
	if errors.Is(err, errLeaseExpired) {
		return false
	}
	if !c.Revoked() {
		s.engine.Pool.RecordLostAnswer(c)
	}
	s.engine.Log.Info("session: no answer from the endpoint", "id", q.ID, "database", s.database, "endpoint", string(c.Endpoint()), "primary", c.Primary,
		"primary_replaced", c.Revoked(), "error", err.Error())
	return true
}

// recordServed records the latency of a successful statement, and logs it if it was
// retried or missed the latency objective.
func (s *session) recordServed(q stmt.Statement, c *pool.Conn, ex *execution, minPosition fleet.LogPosition) {
	s.engine.Metrics.Observe(`statement_us{database="`+s.database+`"}`, s.engine.Clock.Now()-ex.startedAt)
	if ex.attempts > 1 || s.engine.Clock.Now()-ex.startedAt > ex.route.LatencyObjective {
		s.engine.Log.Info("session: statement served after a retry or past its latency objective", "id", q.ID, "database", s.database, "endpoint", string(c.Endpoint()),
			"primary", c.Primary, "floor", uint64(minPosition.Position), "attempt", ex.attempts,
			"took_ms", (s.engine.Clock.Now() - ex.startedAt).Milliseconds())
	}
}

// send sets up a connection for the session and runs one statement on it. Sent
// reports whether the statement may have reached the endpoint.
func (s *session) send(c *pool.Conn, q stmt.Statement, minPosition fleet.LogPosition, ex *execution, deadline time.Time) (a stmt.Answer, sent bool, err error) {
	if setup := s.connSetup(c, q, s.tx != nil); len(setup) > 0 {
		if a, err := s.roundTrip(c, ex.deadline, setup...); err != nil || a.Code != stmt.OK {
			return stmt.Answer{}, false, setupError(a, err)
		}
	}
	a, err = s.roundTrip(c, deadline, s.rewriteForEndpoint(c, q, minPosition))
	if err != nil {
		return stmt.Answer{}, s.recordLostAnswer(q, c, err), err
	}
	s.engine.Pool.EndStatement(c, a, ex.serviceTime)
	if a.Code == stmt.UnknownName && q.Kind == stmt.Execute {
		delete(c.PreparedNames, s.prepared[q.Name].text)
	}
	return a, true, nil
}

// readDeadline returns the deadline of one attempt at a read, which can be retried at
// another endpoint.
func (ex *execution) readDeadline() time.Time {
	if attempt := time.Now().Add(max(minReadTimeout, readTimeoutFactor*ex.serviceTime.Estimate())); attempt.Before(ex.deadline) {
		return attempt
	}
	return ex.deadline
}

// setupError turns a refusal during the setup of a connection into an error: the
// settings of the connection are unknown after it.
func setupError(a stmt.Answer, err error) error {
	if err == nil {
		err = fmt.Errorf("%w: connection setup refused by the endpoint: %s %s", stmt.ErrLost, a.Code, a.Text)
	}
	return err
}

// rewriteForEndpoint returns a statement in the form sent to the endpoint: with the
// connection's name of the prepared statement and the required log position; the rest
// stays as the client sent it.
func (s *session) rewriteForEndpoint(c *pool.Conn, q stmt.Statement, minPosition fleet.LogPosition) stmt.Statement {
	if q.Kind == stmt.Execute {
		q.Name = c.PreparedNames[s.prepared[q.Name].text]
	}
	q.MinPosition = minPosition
	return q
}

// beginAtEndpoint gets a connection for the open transaction and begins it there. If
// that fails, it returns the answer for the client and false.
func (s *session) beginAtEndpoint(q stmt.Statement, ex *execution) (stmt.Answer, bool) {
	tx := s.tx
	for {
		c, minPosition, refusal := s.acquire(ex, tx.readOnly)
		if c == nil {
			return refusal, false
		}
		setup := append(s.connSetup(c, q, false), stmt.Statement{Kind: stmt.Begin, ReadOnly: tx.readOnly, MinPosition: minPosition})
		a, err := s.roundTrip(c, ex.deadline, setup...)
		if err == nil && a.Code == stmt.OK {
			tx.conn = c
			return a, true
		}
		ex.avoid = c.Endpoint()
		if err == nil {
			s.engine.Pool.EndStatement(c, a, nil)
		}
		s.engine.Pool.Release(c, err == nil && a.State == stmt.Idle)
		if !ex.mayRetry(s.engine.Clock.Now()) {
			return stmt.Answer{Code: stmt.Busy, Text: "no endpoint could begin the transaction; try again later"}, false
		}
		s.engine.Metrics.Count(`retries{why="` + retryReason(a, err) + `"}`)
		if err != nil || a.Code != stmt.Lagging {
			pauseBeforeRetry()
		}
	}
}

// runInTransaction runs a statement of the open transaction, or its commit.
func (s *session) runInTransaction(q stmt.Statement, start time.Duration) stmt.Answer {
	tx := s.tx
	writes, commit := s.isWrite(q), q.Kind == stmt.Commit
	ex := s.newExecution(tx.route, tx.account, start, statementClass{database: s.database, write: writes, commit: commit})
	for {
		first := tx.conn == nil
		if first {
			if a, ok := s.beginAtEndpoint(q, ex); !ok {
				tx.failed = true
				return a
			}
		} else {
			s.engine.Pool.BeginStatement(tx.conn)
		}
		a, sent, err := s.send(tx.conn, q, fleet.LogPosition{}, ex, ex.deadline)
		c := tx.conn
		switch {
		case err == nil && a.Code == stmt.OK && a.Signature != "":
			if commit && tx.wrote && !s.engine.Pool.MaySend(c) {
				tx.conn = nil
				s.engine.Pool.Release(c, false)
				return stmt.Answer{Code: stmt.InDoubt, Text: "the primary was replaced meanwhile; check before repeating"}
			}
			if commit {
				s.recordCommit(c, a, tx.wrote)
				tx.conn = nil
				s.engine.Pool.Release(c, a.State == stmt.Idle)
			}
			tx.wrote = tx.wrote || writes
			s.recordServed(q, c, ex, fleet.LogPosition{})
			return a
		case err != nil || a.Code == stmt.OK:
			tx.conn = nil
			s.engine.Pool.Release(c, false)
			if commit && tx.wrote && sent {
				return stmt.Answer{Code: stmt.InDoubt, Text: "the answer to the commit was lost; check before repeating"}
			}
			if first && !sent && ex.mayRetry(s.engine.Clock.Now()) {
				continue
			}
			tx.failed = true
			return stmt.Answer{Code: stmt.Aborted, Text: "the connection of the transaction was lost; it is rolled back"}
		case a.Code.NotRun() && a.Code != stmt.ReadOnly && a.State == stmt.InTransaction && ex.mayRetry(s.engine.Clock.Now()):
			ex.attempts++
			pauseBeforeRetry()
		case first && !commit && (a.Code.NotRun() || a.Code == stmt.Failed && !writes) && ex.mayRetry(s.engine.Clock.Now()):
			// At most a read of the transaction has run, so it may begin again at
			// another endpoint.
			ex.avoid = c.Endpoint()
			s.rollbackAndRelease()
		case a.Code.NotRun():
			s.rollbackAndRelease()
			tx.failed = true
			return stmt.Answer{Code: stmt.Aborted, Text: "the endpoint refused it (" + a.Code.String() + "); the transaction is rolled back"}
		case commit && tx.wrote && a.Code == stmt.Timeout:
			tx.conn = nil
			s.engine.Pool.Release(c, false)
			return stmt.Answer{Code: stmt.InDoubt, Text: "the commit ran out of time; check before repeating"}
		default:
			s.rollbackAndRelease()
			tx.failed = true
			return a
		}
	}
}
