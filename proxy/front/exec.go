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

// maxHeld bounds the answer that is held back until a write is replicated or a
// read is confirmed. Rows before the first CommandComplete are not held.
const maxHeld = 1 << 20

// request is one simple query, or the messages of a pipeline up to a Sync or
// Flush. A session has one at a time and uses it again.
type request struct {
	started  time.Time
	deadline time.Time
	simple   bool
	frame    pgwire.Frame
	stmt     route.Statement
	sync     bool

	// write asks for a read-write connection at the primary.
	write bool
	// commits is set when the answer tells of a commit, so it must be held
	// until the write is replicated; explicitCommit when a COMMIT is part.
	commits, explicitCommit bool
	// begins is set when a transaction block may start.
	begins bool
	// returnsData is set when the answer returnsData data.
	returnsData bool
	// confirm is set when the answer needs a confirmation of the term.
	confirm bool
	// dirty is set when the answer shows data of the primary, which may hold
	// writes that a promotion drops until a second endpoint has them.
	dirty bool
	// readOnly is set when the session itself asked for a read-only statement.
	readOnly bool
	inTx     bool
	// owes is set when an earlier part of the pipeline wrote something.
	owes bool
	id   string

	placed, primary bool
	avoid           uint64
	endpoint        fleet.EndpointID
	// sent is set once a byte of the request went to an endpoint, commitSent
	// once its commit may have.
	sent, commitSent bool
	timedOut         bool
	// before is the log position that the connection knew before the request.
	before fleet.LogPosition

	resp response
}

// response is what was learnt from the messages of an endpoint.
type response struct {
	status      byte
	failed      bool
	rows        bool
	completions int
	lastTag     [16]byte
	// heldOffset is the output length before the held part.
	heldOffset int
	// refused is the SQLSTATE with which the endpoint refused the request
	// before running it.
	refused refusal
}

type refusal uint8

const (
	notRefused refusal = iota
	refusedReadOnly
	refusedStaleTerm
	refusedBusy
)

func (a *response) tag(prefix string) bool {
	return len(prefix) <= len(a.lastTag) && string(a.lastTag[:len(prefix)]) == prefix
}

// transaction is the open transaction of a session.
type transaction struct {
	conn *pool.Conn
	ep   *pool.Endpoint
	// failed is set when the transaction was rolled back by the instance and
	// the caller has not ended it yet. Statements are refused until it does,
	// so that none of them runs outside the transaction.
	failed bool
	write  bool
	// primary is set when it runs at the primary.
	primary bool
	// confirm is set while the term needs a confirmation before data is shown.
	confirm bool
	// implicit is set between a Flush and its Sync outside a block.
	implicit bool
	// vars are the parameters that a ROLLBACK restores.
	vars *pool.Vars
	// owes is set when a Flush has answered a write that Sync commits.
	owes bool
	// record is set for a transaction with a request id, replay for the
	// repeat of one, which has no server connection.
	record, replay *txRecord
}

func (t *transaction) open() bool { return t.conn != nil || t.failed || t.replay != nil }

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

// text views bytes as a string. The string is valid as long as the bytes.
func text(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// simpleQuery serves a Query message. An error ends the session.
func (c *client) simpleQuery(f pgwire.Frame) error {
	sql, err := pgwire.DecodeQuery(f.Body())
	if err != nil {
		return errProtocol(err)
	}
	if err := c.begin(); err != nil {
		return err
	}
	rq := &c.rq
	*rq = request{started: time.Now(), simple: true, frame: f, sync: true, stmt: route.Classify(text(sql))}
	rq.deadline = rq.started.Add(c.timeout)
	c.dropBatch()
	return c.complete(rq, c.runSimple(rq))
}

// complete ends a request: it sends an error, if any, and ReadyForQuery.
func (c *client) complete(rq *request, err error) error {
	c.observe(rq, err)
	if err != nil {
		if fatal := c.fail(rq, err); fatal != nil {
			return fatal
		}
	}
	if rq.sync {
		c.w.ReadyForQuery(c.tx.status())
	}
	if werr := c.w.Flush(); werr != nil {
		return werr
	}
	return c.finish()
}

// fail sends an error within the session, or returns it when it ends the
// session.
func (c *client) fail(rq *request, err error) error {
	var e *outcome.Error
	var se *pgwire.StatementError
	switch {
	case errors.As(err, &e):
	case errors.As(err, &se):
	default:
		return err // the caller cannot be written to
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
		c.refusal("request", e)
	}
	c.w.Error(pgwire.SeverityError, err)
	return nil
}

func (c *client) endReason() *outcome.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// endSession makes an error of the checks before a request end the session.
func (c *client) endSession(err error) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		c.end(e)
	}
	return err
}

func (c *client) runSimple(rq *request) error {
	st := &rq.stmt
	if err := c.allowed(rq.started); err != nil {
		return c.endSession(err)
	}
	if c.tx.failed {
		return c.inFailed(st.Kind)
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

// inFailed answers within a transaction that the instance has rolled back.
func (c *client) inFailed(k route.Kind) error {
	if k == route.Commit || k == route.Rollback {
		c.tx.failed = false
		c.w.CommandComplete("ROLLBACK")
		return nil
	}
	return &pgwire.StatementError{Code: "25P02", Message: "the transaction has been rolled back", Hint: "send ROLLBACK, then repeat the transaction"}
}

// admit asks for the account's quota. The end of a transaction is never
// refused, since refusing it would waste the work that was admitted.
func (c *client) admit(k route.Kind) error {
	if k == route.Commit || k == route.Rollback {
		return nil
	}
	return c.srv.opts.Admitter.Admit(c.ctx, c.account)
}

// classify derives from the statement what the request needs.
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
		// The endpoint refuses writes of the session with 25006 itself.
		rq.write, rq.commits, rq.readOnly = rq.explicitCommit, rq.explicitCommit, true
	}
}

// settleKind finishes classify once all statements are known.
func (rq *request) settleKind(c *client) {
	if c.tx.conn == nil {
		return
	}
	if c.tx.implicit {
		rq.commits = (rq.commits || c.tx.owes) && c.tx.write
		rq.owes = c.tx.owes
	} else {
		rq.commits = rq.explicitCommit && c.tx.write
	}
	rq.write = c.tx.write
	rq.confirm = c.tx.confirm && rq.returnsData
}

// execute runs a request, repeating it where core/retry allows.
func (c *client) execute(rq *request) error {
	rq.settleKind(c)
	shard := &c.srv.shards[c.shard]
	shard.retryMu.Lock()
	shard.retry.RecordRequest()
	shard.retryMu.Unlock()
	mark := c.w.Len()
	c.w.MarkUnwritten()
	for n := 1; ; n++ {
		err := c.attempt(rq)
		if err == nil && rq.resp.refused == notRefused {
			return nil
		}
		if err == nil {
			c.w.Truncate(mark)
			c.unparse()
			if rq.resp.refused == refusedReadOnly {
				// 25006 proves that the statement did not run.
				rq.write, rq.commits, rq.confirm = true, true, false
				c.srv.metrics.reroutes.Inc(1)
				c.srv.recordDecision(c, decision.Reroute, "read_only_refused", "not run on a read-only connection; sent to the primary")
				n--
				continue
			}
			err = rq.refusedError()
		} else if !c.w.Written() {
			c.w.Truncate(mark)
			c.unparse()
		}
		var e *outcome.Error
		if !errors.As(err, &e) || c.endReason() != nil {
			return err
		}
		if errors.Is(err, pool.ErrSuperseded) && !rq.sent && !rq.inTx && !rq.timedOut && time.Now().Before(rq.deadline) {
			// No byte was sent, and each move needs a higher term, so that this
			// counts neither as an attempt nor against the budget of retries.
			c.srv.metrics.reroutes.Inc(1)
			c.srv.recordDecision(c, decision.Reroute, "new_primary", "not sent to the old primary; sent to the new one")
			n--
			continue
		}
		rq.avoidFailed(c)
		shard.retryMu.Lock()
		d := shard.retry.Decide(retry.Attempt{
			Number: n, Outcome: e.Outcome, Kind: e.Kind, ReadOnly: !rq.write, ResponseStarted: c.w.Written(),
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

// avoidFailed makes the next attempt prefer another endpoint.
func (rq *request) avoidFailed(c *client) {
	g := c.srv.opts.Source.Load().Groups[c.group]
	if g == nil || !rq.placed || rq.primary {
		return
	}
	for i, e := range g.Endpoints {
		if e.ID == rq.endpoint && i < 64 {
			rq.avoid |= 1 << i
		}
	}
}

// refusedError is the error of a request that the endpoint refused before it
// ran.
func (rq *request) refusedError() error {
	if rq.resp.refused == refusedStaleTerm {
		return outcome.New(outcome.StaleTerm, outcome.NotRun, "the endpoint has another term than this instance knows",
			"repeat the request; it has not run")
	}
	return outcome.New(outcome.Unavailable, outcome.NotRun, "the endpoint does not take statements now",
		"repeat the request; it has not run")
}

// sleep waits and reports whether the request may go on.
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

// place chooses the endpoint for a request.
func (c *client) place(rq *request) (route.Decision, *pool.Endpoint, fleet.Term, error) {
	var req route.Request
	for {
		now := time.Now()
		v := c.srv.opts.Source.Load()
		g := v.Groups[c.group]
		if g == nil {
			return route.Decision{}, nil, 0, errNoEndpoint()
		}
		req.Group, req.Write, req.Avoid = g, rq.write, rq.avoid
		req.Floor, req.FloorKnown = c.token.Floor(c.group)
		req.FloorObservedAt, req.MaxAge, req.MaxAgeSet = c.floorObservedAt, c.databaseMaxAge, c.maxAgeSet
		if c.maxAgeSet {
			req.MaxAge = c.maxAge
		}
		n := min(len(g.Endpoints), maxGroup)
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
		c.tie++
		req.TieBreaker = c.tie
		d := route.Choose(now, &c.srv.opts.Route, &req)
		switch d.Action {
		case route.Use:
			return d, c.srv.opts.Pool.Endpoint(d.Endpoint), g.Term, nil
		case route.Unavailable:
			return d, nil, 0, errNoEndpoint()
		}
		// A new view can make a replica eligible before the wait is over.
		step := min(d.Wait, time.Millisecond)
		if !c.sleep(step) {
			return d, nil, 0, errQueued()
		}
		req.Waited += max(time.Since(now), step)
	}
}

func errQueued() error {
	return outcome.New(outcome.Cancelled, outcome.NotRun, "the request ended before it was sent",
		"repeat the request if it is still wanted")
}

func errStaleView() error {
	return outcome.Wrap(pool.ErrSuperseded, outcome.StaleTerm, outcome.NotRun, "the group has a new primary",
		"repeat the request; it has not run")
}

// attempt sends a request once and forwards its answer.
func (c *client) attempt(rq *request) error {
	rq.resp, rq.sent, rq.commitSent = response{}, false, false
	sc, ep := c.tx.conn, c.tx.ep
	if sc == nil {
		d, e, term, err := c.place(rq)
		if err != nil {
			return err
		}
		rq.placed, rq.primary, rq.endpoint = true, d.Primary, d.Endpoint.ID
		rq.confirm = d.Confirm && rq.returnsData
		if rq.begins {
			_, known := c.token.Floor(c.group)
			c.tx.confirm = d.Confirm || d.Primary && !known
		}
		use := &c.use
		*use = pool.Use{
			Key:  pool.Key{Database: c.database, ReadOnly: d.ReadOnly || !rq.write},
			Term: term, Deadline: rq.started.Add(min(c.srv.opts.QueueTimeout, c.timeout)),
			Write: rq.write, Interrupt: c.interrupt, Moved: c.moved,
		}
		if rq.inTx {
			use.Deadline = rq.deadline
		}
		if !c.enqueue(e.ID(), term) {
			return errStaleView()
		}
		sc, err = e.Acquire(c.ctx, c.ticket, use)
		if err != nil {
			return err
		}
		ep = e
	} else {
		rq.placed, rq.primary, rq.endpoint = true, c.tx.write, sc.Endpoint()
	}
	rq.dirty = rq.returnsData && (rq.primary || c.tx.primary)
	if !c.attach(sc) {
		return c.finishExchange(rq, sc, ep, errQueued())
	}
	rq.before = sc.Floor()
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

// syncVars gives the connection the parameters of the session.
func (c *client) syncVars(rq *request, sc *pool.Conn) error {
	sql := c.vars.Diff(sc.Vars())
	if sql == "" {
		return nil
	}
	if _, err := sc.Exec(sql, c.readBound(rq), nil); err != nil {
		sc.Taint()
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
	sc.SetVars(c.vars)
	return nil
}

// readBound returns the deadline for reading an answer.
func (c *client) readBound(rq *request) time.Time { return rq.deadline }

// exchange sends the request and forwards its answer up to ReadyForQuery.
func (c *client) exchange(rq *request, sc *pool.Conn) error {
	if rq.resp.refused != notRefused {
		return nil
	}
	if !rq.simple {
		return c.exchangeBatch(rq, sc)
	}
	if err := sc.Begin(); err != nil {
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
		f, err := c.nextAnswer(rq, sc)
		if err != nil {
			return err
		}
		if f.Type() == 'Z' {
			return c.ready(rq, sc, f)
		}
		if err := c.forward(rq, sc, f); err != nil {
			return err
		}
	}
}

// nextAnswer reads the next message of the endpoint. Output is flushed before
// a wait once rows have been sent; before that it is kept back, because the
// endpoint may still refuse the request.
func (c *client) nextAnswer(rq *request, sc *pool.Conn) (pgwire.Frame, error) {
	if rq.resp.rows && !c.w.Held() && c.w.Len() > 0 && !sc.R.HasFrame() {
		if err := c.w.Flush(); err != nil {
			sc.Taint()
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
		if errors.Is(err, os.ErrDeadlineExceeded) && !rq.timedOut && c.stillWanted() && !time.Now().Before(rq.deadline) {
			// Statement timeout: the endpoint gets a moment to cancel, since its
			// answer is better than an unknown outcome.
			rq.timedOut = true
			sc.Taint()
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

func (c *client) stillWanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending == nil && !c.cancelled
}

func (c *client) wasCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

// ready takes a ReadyForQuery.
func (c *client) ready(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	if len(f.Body()) != 1 {
		return c.connError(rq, pgwire.ErrMalformed)
	}
	rq.resp.status = f.Body()[0]
	sc.End(rq.resp.status)
	return nil
}

// forward passes one message of the endpoint on to the caller.
func (c *client) forward(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	var err error
	switch f.Type() {
	case 'D':
		rq.resp.rows = true
		err = c.add(rq, sc, f)
	case 'C':
		rq.resp.completions++
		rq.resp.lastTag = [16]byte{}
		copy(rq.resp.lastTag[:], f.Body())
		if (rq.commits || rq.confirm || rq.dirty) && !c.w.Held() {
			rq.resp.heldOffset = c.w.Len()
			c.w.Hold()
		}
		err = c.add(rq, sc, f)
	case 'E':
		return c.forwardError(rq, sc, f)
	case 'S':
		if !sc.ObserveParameter(f.Body()) {
			err = c.w.Add(f)
		}
	case 'N':
		err = c.w.Add(f)
	case 'A':
		// Notifications belong to whoever listened before; LISTEN is refused.
	case 'G', 'H', 'W':
		return c.connError(rq, pgwire.ErrMalformed)
	default:
		err = c.add(rq, sc, f)
	}
	if err != nil {
		sc.Taint()
	}
	return err
}

// add appends a message of the answer to the output.
func (c *client) add(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	if c.capture.active {
		if err := c.capture.add(f); err != nil {
			return err
		}
	}
	if c.w.Held() && c.w.Len() > maxHeld {
		if !rq.commits && (rq.confirm || rq.dirty) {
			// The log position of a read comes with its end, so an earlier part
			// of a long answer does not wait for replication.
			if rq.confirm {
				if err := c.confirmTerm(sc.Term()); err != nil {
					sc.Taint()
					return err
				}
			}
			rq.resp.heldOffset = 0
			if err := c.w.Flush(); err != nil {
				return err
			}
			c.w.Hold()
		} else {
			sc.Taint()
			return c.connError(rq, errors.New("the answer of a write is longer than the instance holds back"))
		}
	}
	return c.w.Add(f)
}

func (c *client) forwardError(rq *request, sc *pool.Conn, f pgwire.Frame) error {
	rq.resp.failed = true
	body := f.Body()
	early := !rq.inTx && rq.resp.completions == 0 && !rq.resp.rows && !c.w.Written()
	switch {
	case early && !rq.write && !rq.readOnly && pgwire.SQLStateIs(body, "25006"):
		rq.resp.refused = refusedReadOnly
		return nil
	case pgwire.SQLStateIs(body, "VH001"):
		sc.Taint()
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
		// The endpoint has become a replica, which this instance will learn.
		sc.Taint()
		rq.resp.refused = refusedStaleTerm
		return nil
	case early && (pgwire.SQLStateIs(body, "53300") || pgwire.SQLStateIs(body, "57P03")):
		sc.Taint()
		rq.resp.refused = refusedBusy
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

// connError is the error of a request whose server connection cannot be used any
// more. The connection is closed, which rolls back whatever was not committed.
func (c *client) connError(rq *request, cause error) error {
	o := outcome.NotRun
	switch {
	case !rq.sent:
	case rq.commitSent:
		o = outcome.Unknown
	case !rq.inTx && !rq.begins && rq.id == "":
		// A read may have run; that changed nothing, but "not run" is not proved.
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

// finishExchange ends an exchange: it keeps or releases the server connection, waits
// for replication or confirmation, and releases a held answer.
func (c *client) finishExchange(rq *request, sc *pool.Conn, ep *pool.Endpoint, err error) error {
	a := &rq.resp
	if err != nil {
		sc.Taint()
	}
	floor, term := sc.Floor(), sc.Term()
	if err == nil && a.refused == notRefused {
		c.trackSimpleSet(rq, sc)
	}
	switch {
	case err == nil && a.status != 'I' && (a.refused == notRefused || rq.inTx):
		if c.tx.conn == nil {
			c.tx.conn, c.tx.ep, c.tx.write, c.tx.vars = sc, ep, rq.write, c.vars
			c.tx.implicit, c.tx.primary = !rq.sync, rq.primary
			ep.Pause(c.ticket, true)
		}
		c.tx.owes = c.tx.owes || c.tx.implicit && rq.commits
	default:
		if c.tx.conn != nil {
			if a.tag("ROLLBACK") || err != nil {
				c.vars = c.tx.vars
				sc.SetVars(c.vars)
			}
			c.tx = transaction{failed: err != nil && !c.tx.implicit && !rq.explicitCommit}
		}
		c.detach()
		ep.Release(c.ticket, sc)
		clear(c.portals)
	}
	if err != nil || a.refused != notRefused {
		if c.w.Held() {
			c.w.Truncate(a.heldOffset)
		}
		return err
	}
	return c.acknowledge(rq, floor, term)
}

// acknowledge releases the answer of a request whose exchange has succeeded.
func (c *client) acknowledge(rq *request, floor fleet.LogPosition, term fleet.Term) error {
	a := &rq.resp
	committed := rq.commits && (a.completions > 0 || rq.owes) && (rq.explicitCommit || !a.failed) && !a.tag("ROLLBACK") &&
		(a.status == 'I' || rq.explicitCommit)
	_, known := c.token.Floor(c.group)
	if committed {
		if err := c.waitReplicated(rq, floor); err != nil {
			c.w.Truncate(a.heldOffset)
			return err
		}
		if !known && floor == rq.before {
			// Nothing was written, so the wait proved nothing about the term.
			rq.confirm = true
		}
	}
	if rq.confirm && !a.failed {
		if err := c.confirmTerm(term); err != nil {
			c.w.Truncate(a.heldOffset)
			if committed {
				c.srv.metrics.ackUnknown.Inc(1)
				return errWriteUnknown(err)
			}
			return err
		}
		c.tx.confirm = false
	}
	// The wait comes after the confirmation, during which most positions are
	// replicated. A connection reports its position once it has changed, so a
	// position of another term, or none, was not reported by this primary.
	if rq.dirty && !committed && !a.failed && floor.Term == term {
		if err := c.waitSeen(floor); err != nil {
			c.w.Truncate(a.heldOffset)
			return err
		}
	}
	// A confirmed read of a session with a known floor does not raise it, since
	// that would keep replicas from serving the session.
	if (committed || rq.confirm && !a.failed && !known) && floor != (fleet.LogPosition{}) {
		c.token.Raise(c.group, floor)
		c.floorObservedAt = time.Now()
		c.sendToken()
	}
	return nil
}

// waitReplicated waits until the write is held by a second endpoint.
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

// waitSeen waits until what a read at the primary may have seen is held by a
// second endpoint.
func (c *client) waitSeen(floor fleet.LogPosition) error {
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

// confirmTerm proves that the primary that was read is still the primary.
func (c *client) confirmTerm(term fleet.Term) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.srv.opts.AckTimeout)
	defer cancel()
	if err := c.srv.opts.Acks.ConfirmTerm(ctx, c.group, term); err != nil {
		return outcome.Wrap(err, outcome.Unavailable, outcome.Unknown, "the primary that was read could not be confirmed",
			"repeat the read")
	}
	return nil
}

// abortTransaction rolls back an open transaction by closing its connection.
func (c *client) abortTransaction() {
	sc, ep := c.tx.conn, c.tx.ep
	if sc != nil {
		c.vars = c.tx.vars
		c.detach()
		sc.Taint()
		ep.Release(c.ticket, sc)
	}
	c.tx = transaction{}
	clear(c.portals)
}
