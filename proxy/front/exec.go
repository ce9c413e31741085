package front

import (
	"context"
	"errors"
	"os"
	"time"
	"unsafe"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/retry"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
)

// maxHeldBytes bounds the part of a response that is buffered until a write is
// replicated or the term of a read is confirmed. Rows before the first
// CommandComplete are not buffered.
const maxHeldBytes = 1 << 20

// request is one simple query, or the messages of a pipeline up to a Sync or
// Flush. A session runs one request at a time and reuses the struct.
type request struct {
	started  time.Time
	deadline time.Time
	simple   bool
	frame    pgwire.Frame
	stmt     route.Statement
	sync     bool

	// write is set when the request needs a read-write connection to the
	// primary.
	write bool
	// commits is set when the response reports a commit, so it must be held
	// until the write is replicated. explicitCommit is set when the request
	// contains a COMMIT.
	commits, explicitCommit bool
	// begins is set when the request may start a transaction block.
	begins bool
	// returnsData is set when the response contains data of the database.
	returnsData bool
	// needsConfirmation is set when the response may only be sent once the
	// term of the primary is confirmed.
	needsConfirmation bool
	// mayShowUnreplicated is set when the response contains data read at the
	// primary. That data may include writes that no second endpoint has yet and
	// that a promotion would lose.
	mayShowUnreplicated bool
	// readOnly is set when the session asked for read-only access.
	readOnly bool
	inTx     bool
	// pendingWrites is set when a part of the pipeline that was flushed earlier
	// wrote something that is not committed yet.
	pendingWrites bool
	// id is the request id, or empty.
	id string

	// placed is set once endpoint has been chosen; primary is set when endpoint
	// is the primary.
	placed, primary bool
	// avoidEndpoints has bit i set when the next attempt should avoid endpoint i
	// of the group.
	avoidEndpoints uint64
	endpoint       fleet.EndpointID
	// sent is set once any byte of the request may have been sent to an
	// endpoint, commitSent once its commit may have been sent.
	sent, commitSent bool
	timedOut         bool
	// floorBefore is the last log position that the endpoint had reported on
	// the connection before the request.
	floorBefore fleet.LogPosition

	resp response
}

// response collects what the messages of the endpoint say about the request.
type response struct {
	// status is the transaction status of ReadyForQuery.
	status byte
	// failed is set by an ErrorResponse.
	failed bool
	// rows is set once a DataRow was forwarded.
	rows bool
	// completions counts the CommandComplete messages.
	completions int
	// lastTag is the start of the last command tag.
	lastTag [16]byte
	// heldOffset is the length of the output before the held part.
	heldOffset int
	// refused is why the endpoint rejected the request before running it.
	refused rejection
}

// rejection is a reason for which an endpoint rejects a request without running
// it.
type rejection uint8

const (
	notRefused rejection = iota
	refusedReadOnly
	refusedStaleTerm
	refusedUnavailable
)

// hasTag reports whether the last command hasTag starts with prefix.
func (resp *response) hasTag(prefix string) bool {
	return len(prefix) <= len(resp.lastTag) && string(resp.lastTag[:len(prefix)]) == prefix
}

// transaction is the state of a session's open transaction.
type transaction struct {
	conn     *pool.Conn
	endpoint *pool.Endpoint
	// failed is set when the instance rolled the transaction back and the
	// client has not ended it yet. Statements are refused until it does, so
	// that none of them runs outside the transaction.
	failed bool
	write  bool
	// primary is set when the transaction runs at the primary.
	primary bool
	// needsConfirmation is set until the term of the primary is confirmed; no
	// data may be returned before that.
	needsConfirmation bool
	// implicit is set between a Flush and its Sync outside a transaction block.
	implicit bool
	// savedVars are the session parameters that a ROLLBACK restores.
	savedVars *pool.SessionParams
	// pendingWrites is set when a write was answered at a Flush but is only
	// committed at the Sync.
	pendingWrites bool
	// record is set for a transaction with a request id. replay is set for a
	// repeated one, which has no server connection.
	record, replay *txRecord
}

func (t *transaction) open() bool { return t.conn != nil || t.failed || t.replay != nil }

// status returns the transaction status for ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case t.failed:
		return 'E'
	case t.conn != nil && !t.implicit:
		return t.conn.TxStatus()
	case t.replay != nil:
		return 'T'
	}
	return 'I'
}

// unsafeString returns b as a string without copying. The string is valid only
// while b is not modified or reused.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// simpleQuery handles a Query message. A returned error ends the session.
func (c *client) simpleQuery(f pgwire.Frame) error {
	sql, err := pgwire.DecodeQuery(f.Body())
	if err != nil {
		return errProtocol(err)
	}
	if err := c.beginRequest(); err != nil {
		return err
	}
	rq := &c.rq
	*rq = request{started: time.Now(), simple: true, frame: f, sync: true, stmt: route.Classify(unsafeString(sql))}
	rq.deadline = rq.started.Add(c.timeout)
	c.dropBatch()
	return c.completeRequest(rq, c.runSimple(rq))
}

// completeRequest sends err to the client, if any, followed by ReadyForQuery
// when the request ends with a Sync. A returned error ends the session.
func (c *client) completeRequest(rq *request, err error) error {
	c.observe(rq, err)
	if err != nil {
		if fatal := c.failRequest(rq, err); fatal != nil {
			return fatal
		}
	}
	if rq.sync {
		c.w.ReadyForQuery(c.tx.status())
	}
	if werr := c.w.Flush(); werr != nil {
		return werr
	}
	return c.endRequest()
}

// failRequest aborts the open transaction and sends err to the client. It
// returns the error instead when it ends the session.
func (c *client) failRequest(rq *request, err error) error {
	var e *outcome.Error
	var se *pgwire.StatementError
	switch {
	case errors.As(err, &e):
	case errors.As(err, &se):
	default:
		return err // writing to the client failed
	}
	if c.tx.open() && !c.tx.failed {
		implicit := c.tx.implicit
		c.abortTransaction()
		c.tx.failed = !implicit
	}
	if e != nil {
		if end := c.endReason(); end != nil {
			return outcome.New(end.Kind, e.Outcome, end.Message, end.Remedy)
		}
		if e.Kind == outcome.Protocol {
			return e
		}
		c.recordRefusal("request", e)
	}
	c.w.Error(pgwire.SeverityError, err)
	return nil
}

// endReason returns why the session is to end, or nil.
func (c *client) endReason() *outcome.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

// endSessionWith ends the session when err is an *outcome.Error, and returns err.
// It is used for the checks before a request.
func (c *client) endSessionWith(err error) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		c.end(e)
	}
	return err
}

func (c *client) runSimple(rq *request) error {
	st := &rq.stmt
	if err := c.authorize(rq.started); err != nil {
		return c.endSessionWith(err)
	}
	if c.tx.failed {
		return c.runInFailedTransaction(st.Kind)
	}
	if st.Refusal != nil {
		return st.Refusal
	}
	switch st.Kind {
	case route.Empty:
		c.w.EmptyMessage('I')
		return nil
	}
	if done, err := c.answerLocally(st, true, false); done || err != nil {
		return err
	}
	rq.classify(c, st)
	if err := rq.assignRequestID(c, st.RequestID); err != nil {
		return err
	}
	if err := c.admit(st.Kind); err != nil {
		return err
	}
	if c.tx.replay != nil {
		_, err := c.replayStatement(rq, st.Kind)
		return err
	}
	return c.execute(rq)
}

// runInFailedTransaction responds to a statement in a transaction that the
// instance has rolled back: only COMMIT and ROLLBACK are accepted, and both are
// answered with ROLLBACK.
func (c *client) runInFailedTransaction(k route.Kind) error {
	if k == route.Commit || k == route.Rollback {
		c.tx.failed = false
		c.w.CommandComplete("ROLLBACK")
		return nil
	}
	return &pgwire.StatementError{Code: "25P02", Message: "the transaction has been rolled back", Hint: "send ROLLBACK, then repeat the transaction"}
}

// admit charges the statement to the quota of the account. COMMIT and ROLLBACK
// are never refused, because that would waste the work already admitted.
func (c *client) admit(k route.Kind) error {
	if k == route.Commit || k == route.Rollback {
		return nil
	}
	return c.srv.opts.Admitter.Admit(c.ctx, c.account)
}

// classify sets the fields of the request that follow from the statement. It is
// called once for each Execute of a pipeline.
func (rq *request) classify(c *client, st *route.Statement) {
	rq.inTx = c.tx.conn != nil
	switch st.Kind {
	case route.Read, route.Show:
		rq.returnsData = st.Kind == route.Read
	case route.Begin:
		rq.begins = true
		rq.write = rq.write || st.Access == route.AccessReadWrite || st.Access == route.AccessDefault && !c.readOnly
		rq.readOnly = !rq.write
		return
	case route.Commit:
		rq.commits, rq.explicitCommit, rq.write = true, true, true
		return
	case route.Rollback, route.Savepoint:
		rq.write = true
		return
	case route.Set, route.Reset, route.Discard, route.Deallocate:
		return
	case route.MultiStatement:
		rq.returnsData, rq.commits = true, true
		rq.explicitCommit = rq.explicitCommit || st.Contains(route.Commit)
		rq.begins = rq.begins || st.Contains(route.Begin)
		rq.write = true
	default:
		rq.returnsData, rq.commits, rq.write = true, true, true
	}
	if c.readOnly && !rq.begins {
		// The endpoint itself rejects writes of a read-only session with 25006.
		rq.write, rq.commits, rq.readOnly = rq.explicitCommit, rq.explicitCommit, true
	}
}

// applyTransaction adjusts the request to the open transaction, once all its
// statements are classified.
func (rq *request) applyTransaction(c *client) {
	if c.tx.conn == nil {
		return
	}
	if c.tx.implicit {
		rq.commits = (rq.commits || c.tx.pendingWrites) && c.tx.write
		rq.pendingWrites = c.tx.pendingWrites
	} else {
		rq.commits = rq.explicitCommit && c.tx.write
	}
	rq.write = c.tx.write
	rq.needsConfirmation = c.tx.needsConfirmation && rq.returnsData
}

// execute runs a request and retries it where core/retry allows.
func (c *client) execute(rq *request) error {
	rq.applyTransaction(c)
	shard := &c.srv.shards[c.shard]
	shard.retryMu.Lock()
	shard.retry.RecordRequest()
	shard.retryMu.Unlock()
	outputStart := c.w.Len()
	c.w.MarkUnwritten()
	for attemptNumber := 1; ; attemptNumber++ {
		err := c.attempt(rq)
		if err == nil && rq.resp.refused == notRefused {
			return nil
		}
		if err == nil {
			c.w.Truncate(outputStart)
			c.resetParseCompleted()
			if rq.resp.refused == refusedReadOnly {
				// SQLSTATE 25006 proves that the statement did not run.
				rq.write, rq.commits, rq.needsConfirmation = true, true, false
				c.srv.metrics.reroutes.Inc(1)
				c.srv.recordDecision(c, decision.Reroute, "read_only_refused", "not run on a read-only connection; sent to the primary")
				attemptNumber--
				continue
			}
			err = rq.refusedError()
		} else if !c.w.Written() {
			c.w.Truncate(outputStart)
			c.resetParseCompleted()
		}
		var e *outcome.Error
		if !errors.As(err, &e) || c.endReason() != nil {
			return err
		}
		if errors.Is(err, pool.ErrSuperseded) && !rq.sent && !rq.inTx && !rq.timedOut && time.Now().Before(rq.deadline) {
			// Nothing was sent, and each repetition requires a higher term, so the
			// loop is bounded. It counts neither as an attempt nor against the
			// retry budget.
			c.srv.metrics.reroutes.Inc(1)
			c.srv.recordDecision(c, decision.Reroute, "new_primary", "not sent to the old primary; sent to the new one")
			attemptNumber--
			continue
		}
		rq.avoidFailed(c)
		shard.retryMu.Lock()
		d := shard.retry.Decide(retry.Attempt{
			Number: attemptNumber, Outcome: e.Outcome, Kind: e.Kind, ReadOnly: !rq.write, ResponseStarted: c.w.Written(),
			InTransaction: rq.inTx || c.tx.conn != nil, Remaining: max(time.Until(rq.deadline), 1),
		})
		shard.retryMu.Unlock()
		if !d.Retry || rq.timedOut || !c.sleep(d.After) {
			return err
		}
		c.srv.metrics.retries.Inc(1)
		c.srv.recordDecision(c, decision.Reroute, "retry", "repeated after "+string(e.Kind),
			decision.Input{Name: "rule", Value: d.Rule}, decision.Input{Name: "endpoint", Value: string(rq.endpoint)})
	}
}

// avoidFailed makes the next attempt prefer other replicas to the one that
// failed.
func (rq *request) avoidFailed(c *client) {
	g := c.srv.opts.Source.Load().Groups[c.group]
	if g == nil || !rq.placed || rq.primary {
		return
	}
	for i, e := range g.Endpoints {
		if e.ID == rq.endpoint && i < 64 {
			rq.avoidEndpoints |= 1 << i
		}
	}
}

// refusedError returns the error for a request that the endpoint rejected
// before running it.
func (rq *request) refusedError() error {
	if rq.resp.refused == refusedStaleTerm {
		return outcome.New(outcome.StaleTerm, outcome.NotRun, "the endpoint has another term than this instance knows",
			"repeat the request; it has not run")
	}
	return outcome.New(outcome.Unavailable, outcome.NotRun, "the endpoint does not take statements now",
		"repeat the request; it has not run")
}

// sleep waits for d. It returns false when the request was cancelled or the
// session ended meanwhile.
func (c *client) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.interrupt:
		return false
	case <-c.ctx.Done():
		return false
	}
}

// place chooses the endpoint for a request, waiting for an eligible replica
// where route.Choose asks for it.
func (c *client) place(rq *request) (route.Decision, *pool.Endpoint, fleet.Term, error) {
	var req route.Request
	for {
		now := time.Now()
		snap := c.srv.opts.Source.Load()
		g := snap.Groups[c.group]
		if g == nil {
			return route.Decision{}, nil, 0, errNoEndpoint()
		}
		req.Group, req.Write, req.Avoid = g, rq.write, rq.avoidEndpoints
		req.Floor, req.FloorKnown = c.token.Floor(c.group)
		req.FloorObservedAt, req.MaxAge, req.MaxAgeSet = c.floorObservedAt, c.databaseMaxAge, c.maxAgeSet
		if c.maxAgeSet {
			req.MaxAge = c.maxAge
		}
		n := min(len(g.Endpoints), maxGroupEndpoints)
		for i, e := range g.Endpoints[:n] {
			c.inFlight[i] = 0
			if pe := c.srv.opts.Pool.Lookup(e.ID); pe != nil {
				c.inFlight[i] = float64(pe.Load())
				if e.ID == g.Primary {
					req.PrimaryLatency = pe.Latency()
				}
			}
		}
		req.InFlight = c.inFlight[:n]
		c.tieBreaker++
		req.TieBreaker = c.tieBreaker
		d := route.Choose(now, &c.srv.opts.Route, &req)
		switch d.Action {
		case route.Use:
			return d, c.srv.opts.Pool.Endpoint(d.Endpoint), g.Term, nil
		case route.Unavailable:
			return d, nil, 0, errNoEndpoint()
		}
		// Wait in short steps: a new snapshot can make a replica eligible before
		// the wait is over.
		step := min(d.Wait, time.Millisecond)
		if !c.sleep(step) {
			return d, nil, 0, errNotSent()
		}
		req.Waited += max(time.Since(now), step)
	}
}

func errNotSent() error {
	return outcome.New(outcome.Cancelled, outcome.NotRun, "the request ended before it was sent",
		"repeat the request if it is still wanted")
}

func errNewPrimary() error {
	return outcome.Wrap(pool.ErrSuperseded, outcome.StaleTerm, outcome.NotRun, "the group has a new primary",
		"repeat the request; it has not run")
}

// attempt sends a request to an endpoint once and forwards the response.
func (c *client) attempt(rq *request) error {
	rq.resp, rq.sent, rq.commitSent = response{}, false, false
	sc, ep := c.tx.conn, c.tx.endpoint
	if sc == nil {
		d, e, term, err := c.place(rq)
		if err != nil {
			return err
		}
		rq.placed, rq.primary, rq.endpoint = true, d.Primary, d.Endpoint.ID
		rq.needsConfirmation = d.Confirm && rq.returnsData
		if rq.begins {
			_, known := c.token.Floor(c.group)
			c.tx.needsConfirmation = d.Confirm || d.Primary && !known
		}
		use := &c.use
		*use = pool.AcquireOptions{
			Key:  pool.Key{Database: c.database, ReadOnly: d.ReadOnly || !rq.write},
			Term: term, Deadline: rq.started.Add(min(c.srv.opts.QueueTimeout, c.timeout)),
			Write: rq.write, Interrupt: c.interrupt, PrimaryChanged: c.primaryMoved,
		}
		if rq.inTx {
			use.Deadline = rq.deadline
		}
		if !c.trackPlacement(e.ID(), term) {
			return errNewPrimary()
		}
		sc, err = e.Acquire(c.ctx, c.ticket, use)
		if err != nil {
			return err
		}
		ep = e
	} else {
		rq.placed, rq.primary, rq.endpoint = true, c.tx.write, sc.Endpoint()
	}
	rq.mayShowUnreplicated = rq.returnsData && (rq.primary || c.tx.primary)
	if !c.attach(sc) {
		return c.finishExchange(rq, sc, ep, errNotSent())
	}
	rq.floorBefore = sc.LogPosition()
	err := c.syncVars(rq, sc)
	if err == nil {
		switch {
		case rq.resp.refused != notRefused:
		case rq.id != "" && !rq.begins:
			return c.executeWithRequestID(rq, sc, ep)
		case rq.id != "":
			err = c.beginWithRequestID(rq, sc)
		case c.tx.record != nil:
			err = c.exchangeRecorded(rq, sc)
		default:
			err = c.exchange(rq, sc)
		}
	}
	return c.finishExchange(rq, sc, ep, err)
}

// syncVars sets the session's parameters on the server connection where they
// differ.
func (c *client) syncVars(rq *request, sc *pool.Conn) error {
	sql := c.vars.StatementsFrom(sc.SessionParams())
	if sql == "" {
		return nil
	}
	if _, err := sc.Exec(sql, c.readDeadline(rq), nil); err != nil {
		sc.MarkUnusable()
		var se *pool.ServerError
		if errors.As(err, &se) {
			if se.Code == "VH001" {
				rq.resp.refused = refusedStaleTerm
				return nil
			}
			return &pgwire.StatementError{Code: se.Code, Message: "a session parameter is not accepted: " + pgwire.ErrorField(se.Frame.Body(), 'M'),
				Hint: "correct the SET or the startup parameter"}
		}
		return c.connError(rq, err)
	}
	sc.SetSessionParams(c.vars)
	return nil
}

// readDeadline returns the deadline for reading a response.
func (c *client) readDeadline(rq *request) time.Time { return rq.deadline }

// exchange sends the request and forwards the response up to ReadyForQuery.
func (c *client) exchange(rq *request, sc *pool.Conn) error {
	if rq.resp.refused != notRefused {
		return nil
	}
	if !rq.simple {
		return c.exchangeBatch(rq, sc)
	}
	if err := sc.BeginRequest(); err != nil {
		return c.connError(rq, err)
	}
	rq.sent, rq.commitSent = true, rq.commits
	if err := sc.W.Add(rq.frame); err != nil {
		return c.connError(rq, err)
	}
	if err := sc.W.Flush(); err != nil {
		return c.connError(rq, err)
	}
	c.setReadDeadline(sc, rq.deadline)
	for {
		f, err := c.nextMessage(rq, sc)
		if err != nil {
			return err
		}
		if f.Type() == 'Z' {
			return c.handleReady(rq, sc, f)
		}
		if err := c.forward(rq, sc, f); err != nil {
			return err
		}
	}
}

// nextMessage reads the next message from the endpoint. Once the response has
// rows, the output is flushed before waiting for more; before that it is
// buffered, because the endpoint may still reject the request.
func (c *client) nextMessage(rq *request, sc *pool.Conn) (pgwire.Frame, error) {
	if rq.resp.rows && !c.w.Held() && c.w.Len() > 0 && !sc.R.HasFrame() {
		if err := c.w.Flush(); err != nil {
			sc.MarkUnusable()
			return nil, err
		}
	}
	for {
		f, err := sc.R.Next()
		if err == nil {
			return f, nil
		}
		if sc.Superseded() {
			return nil, c.connError(rq, pool.ErrSuperseded)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !rq.timedOut && c.requestMayContinue() && !time.Now().Before(rq.deadline) {
			// On a statement timeout, cancel at the endpoint and wait briefly: its
			// response gives a known outcome.
			rq.timedOut = true
			sc.MarkUnusable()
			ctx, cancel := context.WithTimeout(c.ctx, cancelGrace)
			cerr := sc.Cancel(ctx)
			cancel()
			if cerr == nil {
				c.setReadDeadline(sc, time.Now().Add(cancelGrace))
				continue
			}
		}
		return nil, c.connError(rq, err)
	}
}

// requestMayContinue reports whether the request is neither cancelled nor cut off by the
// end of the session.
func (c *client) requestMayContinue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr == nil && !c.cancelled
}

func (c *client) wasCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

// handleReady handles ReadyForQuery, the end of a response.
func (c *client) handleReady(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	if len(f.Body()) != 1 {
		return c.connError(rq, pgwire.ErrMalformed)
	}
	rq.resp.status = f.Body()[0]
	sc.EndRequest(rq.resp.status)
	return nil
}

// forward adds one message of the endpoint to the client's output.
func (c *client) forward(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	var err error
	switch f.Type() {
	case 'D':
		rq.resp.rows = true
		err = c.appendResponse(rq, sc, f)
	case 'C':
		rq.resp.completions++
		rq.resp.lastTag = [16]byte{}
		copy(rq.resp.lastTag[:], f.Body())
		if (rq.commits || rq.needsConfirmation || rq.mayShowUnreplicated) && !c.w.Held() {
			rq.resp.heldOffset = c.w.Len()
			c.w.Hold()
		}
		err = c.appendResponse(rq, sc, f)
	case 'E':
		return c.forwardError(rq, sc, f)
	case 'S':
		if !sc.ObserveParameter(f.Body()) {
			err = c.w.Add(f)
		}
	case 'N':
		err = c.w.Add(f)
	case 'A':
		// LISTEN is refused, so a notification belongs to an earlier use of the
		// connection and is dropped.
	case 'G', 'H', 'W':
		return c.connError(rq, pgwire.ErrMalformed)
	default:
		err = c.appendResponse(rq, sc, f)
	}
	if err != nil {
		sc.MarkUnusable()
	}
	return err
}

// appendResponse appends a message of the response to the output and bounds the
// part that is held.
func (c *client) appendResponse(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	if c.capture.active {
		if err := c.capture.add(f); err != nil {
			return err
		}
	}
	if c.w.Held() && c.w.Len() > maxHeldBytes {
		if !rq.commits && (rq.needsConfirmation || rq.mayShowUnreplicated) {
			// The endpoint reports the log position at the end of a read, so the
			// earlier parts of a long response cannot wait for replication.
			if rq.needsConfirmation {
				if err := c.confirmTerm(sc.Term()); err != nil {
					sc.MarkUnusable()
					return err
				}
			}
			rq.resp.heldOffset = 0
			if err := c.w.Flush(); err != nil {
				return err
			}
			c.w.Hold()
		} else {
			sc.MarkUnusable()
			return c.connError(rq, errors.New("the answer of a write is longer than the instance holds back"))
		}
	}
	return c.w.Add(f)
}

// forwardError handles an ErrorResponse of the endpoint: it notes a rejection
// that execute handles, maps the errors of a stale term or a cancelled
// statement, and forwards any other error as it is.
func (c *client) forwardError(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	rq.resp.failed = true
	body := f.Body()
	early := !rq.inTx && rq.resp.completions == 0 && !rq.resp.rows && !c.w.Written()
	switch {
	case early && !rq.write && !rq.readOnly && pgwire.SQLStateIs(body, "25006"):
		rq.resp.refused = refusedReadOnly
		return nil
	case pgwire.SQLStateIs(body, "VH001"):
		sc.MarkUnusable()
		if early {
			rq.resp.refused = refusedStaleTerm
			return nil
		}
		if rq.explicitCommit && rq.resp.completions > 0 {
			return errWriteUnknown(errors.New("VH001 after a statement of the query that may have been COMMIT"))
		}
		return outcome.New(outcome.StaleTerm, outcome.NotRun, "the group has a new primary; the transaction has been rolled back",
			"repeat the transaction")
	case early && rq.write && !sc.ReadOnly && pgwire.SQLStateIs(body, "25006"):
		// The endpoint has become a replica; the snapshot does not show it yet.
		sc.MarkUnusable()
		rq.resp.refused = refusedStaleTerm
		return nil
	case early && (pgwire.SQLStateIs(body, "53300") || pgwire.SQLStateIs(body, "57P03")):
		sc.MarkUnusable()
		rq.resp.refused = refusedUnavailable
		return nil
	case pgwire.SQLStateIs(body, "57014") && (rq.timedOut || c.wasCancelled()):
		o := outcome.NotRun
		if rq.explicitCommit {
			o = outcome.Unknown
		}
		c.w.Error(pgwire.SeverityError, c.errCancelled(rq, o))
		return nil
	}
	return c.w.Add(f)
}

func (c *client) errCancelled(rq *request, o outcome.Outcome) *outcome.Error {
	msg, remedy := "cancelled on request of the caller", "repeat the request if it is still wanted"
	if rq.timedOut {
		msg, remedy = "the statement timeout passed", "raise statement_timeout or make the statement cheaper"
	}
	if o == outcome.Unknown {
		remedy = "repeat the write with the same vh.request_id, or read its effect first"
	}
	return outcome.New(outcome.Cancelled, o, msg, remedy)
}

// connError returns the error for a request whose server connection is no
// longer usable. The connection is closed, which rolls back whatever was not
// committed.
func (c *client) connError(rq *request, cause error) error {
	o := outcome.NotRun
	switch {
	case !rq.sent:
	case rq.commitSent:
		o = outcome.Unknown
	case !rq.inTx && !rq.begins && rq.id == "":
		// A read may have run. It changed nothing, but NotRun is not proven.
		o = outcome.Unknown
	}
	if rq.timedOut || c.wasCancelled() {
		if !rq.write {
			o = outcome.NotRun
		}
		return c.errCancelled(rq, o)
	}
	if end := c.endReason(); end != nil {
		return outcome.Wrap(cause, end.Kind, o, end.Message, end.Remedy)
	}
	if rq.commitSent {
		c.srv.metrics.ackUnknown.Inc(1)
		return errWriteUnknown(cause)
	}
	if o == outcome.NotRun && errors.Is(cause, pool.ErrSuperseded) {
		msg, remedy := "the request had not been sent to the old primary", "repeat the request"
		if rq.sent || rq.inTx {
			msg, remedy = "the transaction at the old primary has been rolled back", "repeat the transaction"
		}
		return outcome.Wrap(cause, outcome.StaleTerm, o, msg, remedy)
	}
	msg, remedy := "the connection to the endpoint was lost", "repeat the request"
	if rq.inTx {
		msg, remedy = "the connection to the endpoint was lost; the transaction has been rolled back", "repeat the transaction"
	}
	return outcome.Wrap(cause, outcome.Unavailable, o, msg, remedy)
}

// finishExchange ends an exchange: it keeps the server connection for an open
// transaction or releases it, waits for replication or confirmation, and
// releases a held response.
func (c *client) finishExchange(rq *request, sc *pool.Conn, ep *pool.Endpoint, err error) error {
	resp := &rq.resp
	if err != nil {
		sc.MarkUnusable()
	}
	floor, term := sc.LogPosition(), sc.Term()
	if err == nil && resp.refused == notRefused {
		c.trackSimpleSet(rq, sc)
	}
	switch {
	case err == nil && resp.status != 'I' && (resp.refused == notRefused || rq.inTx):
		if c.tx.conn == nil {
			c.tx.conn, c.tx.endpoint, c.tx.write, c.tx.savedVars = sc, ep, rq.write, c.vars
			c.tx.implicit, c.tx.primary = !rq.sync, rq.primary
			ep.ReleaseSlot(c.ticket, true)
		}
		c.tx.pendingWrites = c.tx.pendingWrites || c.tx.implicit && rq.commits
	default:
		if c.tx.conn != nil {
			if resp.hasTag("ROLLBACK") || err != nil {
				c.vars = c.tx.savedVars
				sc.SetSessionParams(c.vars)
			}
			c.tx = transaction{failed: err != nil && !c.tx.implicit && !rq.explicitCommit}
		}
		c.detach()
		ep.Release(c.ticket, sc)
		clear(c.portals)
	}
	if err != nil || resp.refused != notRefused {
		if c.w.Held() {
			c.w.Truncate(resp.heldOffset)
		}
		return err
	}
	return c.acknowledge(rq, floor, term)
}

// acknowledge releases the response of a request whose exchange has succeeded,
// after the waits for replication and confirmation that it needs.
func (c *client) acknowledge(rq *request, floor fleet.LogPosition, term fleet.Term) error {
	resp := &rq.resp
	committed := rq.commits && (resp.completions > 0 || rq.pendingWrites) && (rq.explicitCommit || !resp.failed) && !resp.hasTag("ROLLBACK") &&
		(resp.status == 'I' || rq.explicitCommit)
	_, known := c.token.Floor(c.group)
	if committed {
		if err := c.waitReplicated(rq, floor); err != nil {
			c.w.Truncate(resp.heldOffset)
			return err
		}
		if !known && floor == rq.floorBefore {
			// Nothing was written, so the wait for replication does not prove that
			// the term is current.
			rq.needsConfirmation = true
		}
	}
	if rq.needsConfirmation && !resp.failed {
		if err := c.confirmTerm(term); err != nil {
			c.w.Truncate(resp.heldOffset)
			if committed {
				c.srv.metrics.ackUnknown.Inc(1)
				return errWriteUnknown(err)
			}
			return err
		}
		c.tx.needsConfirmation = false
	}
	// Waiting after the confirmation costs less, since most positions are
	// replicated by then. A connection reports its position only after a change,
	// so a position of another term, or none, was not reported by this primary.
	if rq.mayShowUnreplicated && !committed && !resp.failed && floor.Term == term {
		if err := c.waitReadReplicated(floor); err != nil {
			c.w.Truncate(resp.heldOffset)
			return err
		}
	}
	// A confirmed read does not raise a floor that is already known, since that
	// would keep replicas from serving the session.
	if (committed || rq.needsConfirmation && !resp.failed && !known) && floor != (fleet.LogPosition{}) {
		c.token.Raise(c.group, floor)
		c.floorObservedAt = time.Now()
		c.sendSessionToken()
	}
	return nil
}

// waitReplicated waits until a second endpoint has the write.
func (c *client) waitReplicated(rq *request, floor fleet.LogPosition) error {
	if floor == (fleet.LogPosition{}) {
		c.srv.metrics.ackUnknown.Inc(1)
		return errWriteUnknown(errors.New("the endpoint reported no log position"))
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.srv.opts.AckTimeout)
	defer cancel()
	err := c.srv.opts.Acks.WaitReplicated(ctx, c.group, floor.Term, floor.Position)
	if err == nil {
		return nil
	}
	c.srv.metrics.ackUnknown.Inc(1)
	if end := c.endReason(); end != nil {
		return outcome.Wrap(err, end.Kind, outcome.Unknown, end.Message, end.Remedy)
	}
	return errWriteUnknown(err)
}

// waitReadReplicated waits until a second endpoint has everything that a read
// at the primary may have returned.
func (c *client) waitReadReplicated(floor fleet.LogPosition) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.srv.opts.AckTimeout)
	defer cancel()
	err := c.srv.opts.Acks.WaitReplicated(ctx, c.group, floor.Term, floor.Position)
	if err == nil {
		return nil
	}
	o, remedy := outcome.Unknown, "repeat the read"
	if c.tx.conn != nil {
		// The error rolls the transaction back.
		o, remedy = outcome.NotRun, "repeat the transaction"
	}
	return outcome.Wrap(err, outcome.Unavailable, o, "the data that was read is not known to be on a second endpoint", remedy)
}

// confirmTerm confirms that the primary that served the read is still the
// primary of the group.
func (c *client) confirmTerm(term fleet.Term) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.srv.opts.AckTimeout)
	defer cancel()
	if err := c.srv.opts.Acks.ConfirmTerm(ctx, c.group, term); err != nil {
		return outcome.Wrap(err, outcome.Unavailable, outcome.Unknown, "the primary that was read could not be confirmed",
			"repeat the read")
	}
	return nil
}

// abortTransaction rolls back an open transaction by closing its server
// connection.
func (c *client) abortTransaction() {
	sc, ep := c.tx.conn, c.tx.endpoint
	if sc != nil {
		c.vars = c.tx.savedVars
		c.detach()
		sc.MarkUnusable()
		ep.Release(c.ticket, sc)
	}
	c.tx = transaction{}
	clear(c.portals)
}
