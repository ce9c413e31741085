package executor

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
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
var errLeaseExpired = errors.New("executor: the lease on the primary has expired; it is renewed through the store or the other instances")

// errEvacuated means that the data centre of the endpoint is being evacuated and the time for
// open transactions is over; nothing was sent.
var errEvacuated = errors.New("executor: the data centre of the endpoint is being evacuated")

// notSent reports whether an error means that a statement was held back.
func notSent(err error) bool {
	return errors.Is(err, errLeaseExpired) || errors.Is(err, errEvacuated) || errors.Is(err, errStartExpired)
}

// errStartExpired means that the statement took too long to be sent to an endpoint that has
// just started; nothing was sent.
var errStartExpired = errors.New("executor: the start at the cold endpoint has expired; the statement takes another one")

// Local is the Executor that uses this instance's own connections.
type Local struct {
	Clock   *clock.Clock
	Pool    *pool.Pool
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
	// DecodeState decodes the answer to stmt.Status.
	DecodeState func(stmt.Answer) (stmt.EndpointState, error)

	mu           sync.Mutex
	serviceTimes map[statementClass]*dispatch.ServiceTime
	// transactions holds the work of the transactions of each database.
	transactions map[string]*dispatch.TransactionWork
	// positions holds the last request for the log position of each group's primary.
	positions map[fleet.GroupID]*positionRequest
}

// statementClass groups statements whose service times are estimated together.
type statementClass struct {
	database string
	write    bool
	commit   bool
}

func (op *Operation) class() statementClass {
	return statementClass{database: op.Route.Database, write: op.Writes(), commit: op.Statement.Kind == stmt.Commit}
}

// serviceTime returns the estimate for the class of an operation.
func (l *Local) serviceTime(op *Operation) *dispatch.ServiceTime {
	class := op.class()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.serviceTimes == nil {
		l.serviceTimes = map[statementClass]*dispatch.ServiceTime{}
	}
	t := l.serviceTimes[class]
	if t == nil {
		t = &dispatch.ServiceTime{}
		l.serviceTimes[class] = t
	}
	return t
}

// expectedWork returns the expected service time of a whole transaction of a database, 0
// if none has ended yet.
func (l *Local) expectedWork(database string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.transactions[database]; w != nil {
		return w.Mean()
	}
	return 0
}

// recordTransaction records the service time of a transaction that has committed.
func (l *Local) recordTransaction(database string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.transactions[database]
	if w == nil {
		if l.transactions == nil {
			l.transactions = map[string]*dispatch.TransactionWork{}
		}
		w = &dispatch.TransactionWork{}
		l.transactions[database] = w
	}
	w.Observe(work)
}

// roundTrip sends statements in one write and returns the answer to the last one.
// It returns an error if an earlier one fails.
func (l *Local) roundTrip(c *pool.Conn, deadline time.Time, ss ...stmt.Statement) (stmt.Answer, error) {
	if !l.Pool.MaySend(c) {
		if l.Pool.Evacuated(c) {
			return stmt.Answer{}, errEvacuated
		}
		return stmt.Answer{}, errLeaseExpired
	}
	if !l.Pool.StartValid(c) {
		return stmt.Answer{}, errStartExpired
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
// and prepare the text that the operation executes, and records them in c. A
// connection that carries a setting of another session or too many prepared
// statements is reset first, unless a transaction is open on it.
func connSetup(c *pool.Conn, op *Operation, inTx bool) []stmt.Statement {
	var setup []stmt.Statement
	if !inTx {
		reset := len(c.PreparedNames) >= maxPreparedPerConn
		for name := range c.Settings {
			if _, ok := op.Settings[name]; !ok {
				reset = true
			}
		}
		if reset {
			setup = append(setup, stmt.Statement{Kind: stmt.Reset})
			clear(c.Settings)
			clear(c.PreparedNames)
		}
	}
	for name, v := range op.Settings {
		if old, ok := c.Settings[name]; !ok || old != v {
			setup = append(setup, stmt.Statement{Kind: stmt.Set, Name: name, Value: v})
			c.Settings[name] = v
		}
	}
	if op.Statement.Kind == stmt.Execute {
		text := op.Statement.PreparedText
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
func (l *Local) replicaPosition(op *Operation, readOnly bool) (minPosition fleet.LogPosition, replicas bool) {
	if !op.mayUseReplicas(readOnly) {
		return fleet.LogPosition{}, false
	}
	l.renewPosition(op)
	return l.knownReplicaPosition(op)
}

// mayUseReplicas reports whether the route lets a statement or transaction run at replicas.
func (op *Operation) mayUseReplicas(readOnly bool) bool {
	return readOnly && op.Route.Consistency != catalog.Latest && op.Route.MaxStaleness > 0
}

// knownReplicaPosition returns the log position that a replica must have for a statement that
// may run at replicas, and false if too little is known.
func (l *Local) knownReplicaPosition(op *Operation) (minPosition fleet.LogPosition, replicas bool) {
	r := &op.Route
	minPosition, ok := l.Pool.RequiredPosition(r.Group, r.MaxStaleness)
	if !ok {
		return fleet.LogPosition{}, false
	}
	if r.Consistency == catalog.ReadYourWrites && op.LastCommit != (fleet.LogPosition{}) {
		if op.LastCommit.Term < l.Pool.Term(r.Group) {
			// The change of primary may have lost the commit, so no replica can be
			// required to have it; the primary has what was kept.
			return fleet.LogPosition{}, false
		}
		minPosition = minPosition.Max(op.LastCommit)
	}
	return minPosition, true
}

// lastCommit returns the position that covers the session's acknowledged commits after
// an answer: that of the answer after a write at the primary, or if the primary's term
// is newer than that of the session's position.
func (op *Operation) lastCommit(c *pool.Conn, a stmt.Answer, wrote bool) fleet.LogPosition {
	if c.Primary && (wrote || op.LastCommit != (fleet.LogPosition{}) && op.LastCommit.Term < a.Position.Term) {
		return a.Position
	}
	return op.LastCommit
}

// execution is the state of one statement, or of the begin of a transaction, over
// its attempts at endpoints.
type execution struct {
	*Operation
	deadline    time.Time
	serviceTime *dispatch.ServiceTime
	attempts    int
	// cost is the expected service time of the transaction that the statement begins.
	cost time.Duration
	// avoid is the endpoint at which the last attempt failed.
	avoid fleet.EndpointID
}

func (l *Local) newExecution(op *Operation) *execution {
	deadline := time.Now().Add(op.Route.StatementTimeout - (l.Clock.Now() - op.StartedAt))
	return &execution{Operation: op, deadline: deadline, serviceTime: l.serviceTime(op)}
}

// latestStart returns the last moment at which a statement can start and still be
// answered within the route's latency objective.
func (ex *execution) latestStart() time.Duration {
	return ex.StartedAt + max(ex.Route.LatencyObjective-2*ex.serviceTime.Estimate(), ex.Route.LatencyObjective/4)
}

// serveBy returns the last moment at which a statement can start and still be answered
// within the route's statement limit. A busy endpoint takes about three times the
// estimate, which is a low quantile.
func (ex *execution) serveBy() time.Duration {
	limit := ex.Route.StatementTimeout
	return max(ex.latestStart(), ex.StartedAt+max(limit-3*ex.serviceTime.Estimate(), limit/2))
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

// poolRequest returns the request for a connection for the next attempt.
func (ex *execution) poolRequest(minPosition fleet.LogPosition, replicas bool) pool.Request {
	return pool.Request{
		Group: ex.Route.Group, Account: ex.Account, Primary: !replicas, Floor: minPosition, Avoid: ex.avoid,
		Priority: ex.Route.Priority, LatestStart: ex.latestStart(), ServeBy: ex.serveBy(), Timeout: ex.Route.StatementTimeout, Work: ex.serviceTime, Cost: ex.cost,
		Settings: ex.Settings, Homes: ex.Homes, Database: ex.Route.Database, StartedAt: ex.StartedAt,
	}
}

// acquire gets a connection for the next attempt, and the log position that a
// replica must have. If it gets none, it returns the answer for the client.
func (l *Local) acquire(ex *execution, readOnly bool) (*pool.Conn, fleet.LogPosition, stmt.Answer) {
	for {
		ex.attempts++
		minPosition, replicas := l.replicaPosition(ex.Operation, readOnly)
		c, err := l.Pool.Acquire(ex.poolRequest(minPosition, replicas))
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
		if !ex.mayRetry(l.Clock.Now()) {
			return nil, minPosition, stmt.Answer{Code: stmt.Busy, Text: "no connection to an endpoint; try again later"}
		}
		var refused *stmt.RefusedError
		if errors.As(err, &refused) && refused.Code != stmt.TooManyConnections && !replicas {
			pauseBeforeRetry()
		}
	}
}

// Run implements Executor.
func (l *Local) Run(op *Operation) Outcome {
	out := Outcome{LastCommit: op.LastCommit}
	out.Answer = l.runSingle(op, &out)
	return out
}

// runSingle runs a statement outside a transaction and returns the answer to it.
func (l *Local) runSingle(op *Operation, out *Outcome) stmt.Answer {
	writes, latest := op.Writes(), op.Route.Consistency == catalog.Latest
	ex := l.newExecution(op)
	for {
		c, minPosition, refusal := l.acquire(ex, !writes)
		if c == nil {
			return refusal
		}
		deadline := ex.deadline
		if !writes {
			deadline = ex.readDeadline()
		}
		a, sent, err := l.send(c, minPosition, ex, deadline, false)
		if err == nil && a.Code == stmt.OK {
			if writes && a.Signature != "" {
				l.Pool.RecordCommit(c, a.Position)
			}
			if a.Signature == "" {
				err = fmt.Errorf("%w: success without a signature", stmt.ErrLost)
			} else if writes && !l.Pool.Permitted(c) {
				// The primary may have been replaced before the write was applied. The
				// connection may lead to a former primary, so it is not reused.
				l.Pool.Release(c, false)
				return stmt.Answer{Code: stmt.InDoubt, Text: "the primary was replaced meanwhile; check before repeating"}
			} else {
				out.LastCommit = op.lastCommit(c, a, writes)
				l.recordServed(c, ex, minPosition)
				l.Pool.Release(c, a.State == stmt.Idle)
				return a
			}
		}
		ex.avoid = c.Endpoint()
		l.Pool.Release(c, err == nil && a.State == stmt.Idle)
		switch {
		case err != nil && sent && writes:
			return stmt.Answer{Code: stmt.InDoubt, Text: "the answer was lost; check before repeating"}
		case err != nil && sent && !time.Now().Before(ex.deadline):
			return stmt.Answer{Code: stmt.Timeout, Text: "no answer within the route's time limit"}
		case err != nil:
			if !ex.mayRetry(l.Clock.Now()) {
				if sent {
					return stmt.Answer{Code: stmt.Failed, Text: "the answer was lost; repeat the read"}
				}
				return stmt.Answer{Code: stmt.Busy, Text: "the connection to the endpoint was lost before it was sent; try again later"}
			}
			if notSent(err) {
				pauseBeforeRetry()
			}
		case a.Code.NotRun():
			if !ex.mayRetry(l.Clock.Now()) {
				return stmt.Answer{Code: stmt.Busy, Text: "the endpoints refused it; try again later"}
			}
			if a.Code != stmt.Lagging && (ex.attempts > 1 || writes || latest) {
				pauseBeforeRetry()
			}
		case a.Code == stmt.Failed && !writes && ex.mayRetry(l.Clock.Now()):
			// A read changed nothing, and it may succeed at another endpoint.
			if ex.attempts > 1 || latest {
				pauseBeforeRetry()
			}
		default:
			return a
		}
		l.Metrics.Count(`retries{why="` + retryReason(a, err) + `"}`)
		l.Log.Info("session: statement offered again", "id", op.Statement.ID, "database", op.Route.Database, "endpoint", string(ex.avoid),
			"why", retryReason(a, err), "attempt", ex.attempts)
	}
}

// retryReason returns the reason of a retry as logs and metrics name it.
func retryReason(a stmt.Answer, err error) string {
	switch {
	case errors.Is(err, errLeaseExpired):
		return "not_permitted"
	case errors.Is(err, errEvacuated):
		return "evacuated"
	case errors.Is(err, errStartExpired):
		return "start_expired"
	case err != nil:
		return "lost"
	}
	return a.Code.String()
}

// recordLostAnswer logs a statement that got no answer and reports it to the pool.
// It returns whether the statement may have reached the endpoint.
func (l *Local) recordLostAnswer(op *Operation, c *pool.Conn, err error) bool {
	if notSent(err) {
		return false
	}
	if !c.Revoked() {
		l.Pool.RecordLostAnswer(c)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.Pool.SuspectRestart(c)
		}
	}
	l.Log.Info("session: no answer from the endpoint", "id", op.Statement.ID, "database", op.Route.Database, "endpoint", string(c.Endpoint()), "primary", c.Primary,
		"primary_replaced", c.Revoked(), "error", err.Error())
	return true
}

// recordServed records the latency of a successful statement, and logs it if it was
// retried or missed the latency objective.
func (l *Local) recordServed(c *pool.Conn, ex *execution, minPosition fleet.LogPosition) {
	op := ex.Operation
	l.Metrics.Observe(`statement_us{database="`+op.Route.Database+`"}`, l.Clock.Now()-ex.StartedAt)
	if ex.attempts > 1 || l.Clock.Now()-ex.StartedAt > ex.Route.LatencyObjective {
		l.Log.Info("session: statement served after a retry or past its latency objective", "id", op.Statement.ID, "database", op.Route.Database, "endpoint", string(c.Endpoint()),
			"primary", c.Primary, "floor", uint64(minPosition.Position), "attempt", ex.attempts,
			"took_ms", (l.Clock.Now() - ex.StartedAt).Milliseconds())
	}
}

// send sets up a connection for the session and runs one statement on it. Sent
// reports whether the statement may have reached the endpoint.
func (l *Local) send(c *pool.Conn, minPosition fleet.LogPosition, ex *execution, deadline time.Time, inTx bool) (a stmt.Answer, sent bool, err error) {
	q := ex.Statement
	if setup := connSetup(c, ex.Operation, inTx); len(setup) > 0 {
		if a, err := l.roundTrip(c, ex.deadline, setup...); err != nil || a.Code != stmt.OK {
			return stmt.Answer{}, false, setupError(a, err)
		}
	}
	a, err = l.roundTrip(c, deadline, rewriteForEndpoint(c, q, minPosition))
	if err != nil {
		return stmt.Answer{}, l.recordLostAnswer(ex.Operation, c, err), err
	}
	l.Pool.EndStatement(c, a, ex.serviceTime)
	if a.Code == stmt.UnknownName && q.Kind == stmt.Execute {
		delete(c.PreparedNames, q.PreparedText)
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
func rewriteForEndpoint(c *pool.Conn, q stmt.Statement, minPosition fleet.LogPosition) stmt.Statement {
	if q.Kind == stmt.Execute {
		q.Name = c.PreparedNames[q.PreparedText]
	}
	q.MinPosition = minPosition
	return q
}

// transactionEvacuated is the answer to a statement of a transaction whose connection an
// evacuation has ended. Nothing of the statement was sent.
var transactionEvacuated = stmt.Answer{Code: stmt.Aborted, Text: "the data centre of the transaction's endpoint is being evacuated; it is rolled back"}

// localTransaction is a transaction on one of this instance's connections.
type localTransaction struct {
	*Local
	readOnly bool
	// conn is nil until the transaction begins at an endpoint.
	conn  *pool.Conn
	wrote bool
	// work is the service time of its statements so far.
	work time.Duration
}

// Begin implements Executor.
func (l *Local) Begin(op *Operation, readOnly bool) (Transaction, Outcome) {
	tx := &localTransaction{Local: l, readOnly: readOnly}
	out := tx.Run(op)
	if !out.Open {
		return nil, out
	}
	return tx, out
}

// Rollback implements Transaction.
func (tx *localTransaction) Rollback() {
	c := tx.conn
	tx.conn = nil
	if c == nil {
		return
	}
	if !tx.Pool.BeginStatement(c) {
		tx.Pool.Release(c, false)
		return
	}
	a, err := tx.roundTrip(c, time.Now().Add(rollbackTimeout), stmt.Statement{Kind: stmt.Rollback})
	clean := err == nil && a.State == stmt.Idle
	if err == nil {
		tx.Pool.EndStatement(c, a, nil)
	}
	tx.Pool.Release(c, clean)
}

// rollbackTimeout bounds the wait for a rollback. After it the connection is closed,
// which rolls the transaction back as well.
const rollbackTimeout = 300 * time.Millisecond

// beginAtEndpoint gets a connection for the transaction and begins it there. If that
// fails, it returns the answer for the client and false.
func (tx *localTransaction) beginAtEndpoint(ex *execution) (stmt.Answer, bool) {
	l := tx.Local
	ex.cost = l.expectedWork(ex.Route.Database)
	for {
		c, minPosition, refusal := l.acquire(ex, tx.readOnly)
		if c == nil {
			return refusal, false
		}
		setup := append(connSetup(c, ex.Operation, false), stmt.Statement{Kind: stmt.Begin, ReadOnly: tx.readOnly, MinPosition: minPosition})
		a, err := l.roundTrip(c, ex.deadline, setup...)
		if err == nil && a.Code == stmt.OK {
			tx.conn = c
			return a, true
		}
		ex.avoid = c.Endpoint()
		if err == nil {
			l.Pool.EndStatement(c, a, nil)
		}
		l.Pool.Release(c, err == nil && a.State == stmt.Idle)
		if !ex.mayRetry(l.Clock.Now()) {
			return stmt.Answer{Code: stmt.Busy, Text: "no endpoint could begin the transaction; try again later"}, false
		}
		l.Metrics.Count(`retries{why="` + retryReason(a, err) + `"}`)
		if err != nil || a.Code != stmt.Lagging {
			pauseBeforeRetry()
		}
	}
}

// Run implements Transaction.
func (tx *localTransaction) Run(op *Operation) Outcome {
	out := Outcome{LastCommit: op.LastCommit}
	out.Answer = tx.run(op, &out)
	return out
}

// run runs a statement of the transaction, or its commit, and returns the answer to
// it.
func (tx *localTransaction) run(op *Operation, out *Outcome) stmt.Answer {
	l := tx.Local
	writes, commit := op.Writes(), op.Statement.Kind == stmt.Commit
	ex := l.newExecution(op)
	for {
		first := tx.conn == nil
		if first {
			if a, ok := tx.beginAtEndpoint(ex); !ok {
				return a
			}
		} else if !l.Pool.InHomes(tx.conn, op.Homes) {
			tx.Rollback()
			return stmt.Answer{Code: stmt.Aborted, Text: "the home regions were changed and exclude its endpoint; the transaction is rolled back"}
		} else if !l.Pool.BeginStatement(tx.conn) {
			l.Pool.Release(tx.conn, false)
			tx.conn = nil
			return stmt.Answer{Code: stmt.Aborted, Text: "the transaction was idle while its connection was needed; it is rolled back, begin it again"}
		}
		if writes && !tx.conn.Primary {
			// No permission covers the connection, and it may lead to a former primary.
			tx.Rollback()
			return stmt.Answer{Code: stmt.Aborted, Text: "the transaction was begun as read-only; it is rolled back"}
		}
		if !l.Pool.AwaitStart(tx.conn, ex.deadline) {
			evacuated := l.Pool.Evacuated(tx.conn)
			tx.Rollback()
			if evacuated {
				return transactionEvacuated
			}
			return stmt.Answer{Code: stmt.Aborted, Text: "the endpoint has just started and takes no more statements now; the transaction is rolled back"}
		}
		a, sent, err := l.send(tx.conn, fleet.LogPosition{}, ex, ex.deadline, true)
		c := tx.conn
		switch {
		case err == nil && a.Code == stmt.OK && a.Signature != "":
			if commit && tx.wrote {
				l.Pool.RecordCommit(c, a.Position)
			}
			if commit && tx.wrote && !l.Pool.Permitted(c) {
				tx.conn = nil
				l.Pool.Release(c, false)
				return stmt.Answer{Code: stmt.InDoubt, Text: "the primary was replaced meanwhile; check before repeating"}
			}
			l.recordServed(c, ex, fleet.LogPosition{})
			if commit {
				out.LastCommit = op.lastCommit(c, a, tx.wrote)
				tx.conn = nil
				l.Pool.Release(c, a.State == stmt.Idle)
			}
			tx.wrote, out.Open = tx.wrote || writes, !commit
			if tx.work += ex.serviceTime.Estimate(); commit {
				l.recordTransaction(op.Route.Database, tx.work)
			}
			return a
		case err != nil || a.Code == stmt.OK:
			tx.conn = nil
			l.Pool.Release(c, false)
			if commit && tx.wrote && sent {
				return stmt.Answer{Code: stmt.InDoubt, Text: "the answer to the commit was lost; check before repeating"}
			}
			if first && !sent && ex.mayRetry(l.Clock.Now()) {
				continue
			}
			if errors.Is(err, errEvacuated) {
				return transactionEvacuated
			}
			return stmt.Answer{Code: stmt.Aborted, Text: "the connection of the transaction was lost; it is rolled back"}
		case a.Code.NotRun() && a.Code != stmt.ReadOnly && a.State == stmt.InTransaction && ex.mayRetry(l.Clock.Now()):
			ex.attempts++
			pauseBeforeRetry()
		case first && !commit && (a.Code.NotRun() || a.Code == stmt.Failed && !writes) && ex.mayRetry(l.Clock.Now()):
			// At most a read of the transaction has run, so it may begin again at
			// another endpoint.
			ex.avoid = c.Endpoint()
			tx.Rollback()
		case a.Code.NotRun():
			tx.Rollback()
			return stmt.Answer{Code: stmt.Aborted, Text: "the endpoint refused it (" + a.Code.String() + "); the transaction is rolled back"}
		case commit && tx.wrote && a.Code == stmt.Timeout:
			tx.conn = nil
			l.Pool.Release(c, false)
			return stmt.Answer{Code: stmt.InDoubt, Text: "the commit ran out of time; check before repeating"}
		default:
			tx.Rollback()
			return a
		}
	}
}
