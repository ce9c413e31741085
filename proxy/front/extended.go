package front

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
)

// segmentBytes is how much of a pipeline is sent before its responses are read.
// An endpoint that blocks on writing responses stops reading. Segments smaller
// than the socket buffers keep the two sides from waiting for each other
// forever.
const segmentBytes = 32 << 10

// maxBatchBytes bounds the size of the messages buffered between two Syncs.
const maxBatchBytes = 2 * pgwire.MaxCallerMessage

// stmt is a prepared statement of a session.
type stmt struct {
	// name is the name that the client uses. serverName is the name on server
	// connections, a digest of the text and parameter types, so that sessions
	// share prepared statements. It is empty for the unnamed statement, which is
	// not shared.
	name, serverName string
	sql              []byte
	oids             []byte
	class            route.Statement
	// local is set when the instance runs the statement itself.
	local bool
	// parseCompleted is set once the client's Parse has been answered with
	// ParseComplete.
	parseCompleted bool
}

// newStmt copies the statement of a Parse message and classifies it.
func newStmt(m pgwire.ParseMessage) *stmt {
	buf := make([]byte, 0, len(m.SQL)+len(m.OIDs))
	buf = append(append(buf, m.SQL...), m.OIDs...)
	s := &stmt{name: string(m.Name), sql: buf[:len(m.SQL)], oids: buf[len(m.SQL):]}
	s.class = route.Classify(unsafeString(s.sql))
	if s.name != "" {
		h := sha256.Sum256(buf)
		s.serverName = "vh_" + hex.EncodeToString(h[:16])
	}
	return s
}

// message is one message of a pipeline.
type message struct {
	typ        byte
	kind       byte // 'S' or 'P' for Describe and Close
	start, end int  // offsets in batch.buf
	stmt       *stmt
}

// batch holds the messages of a pipeline up to the next Sync or Flush.
type batch struct {
	buf  []byte
	msgs []message
	// err is the error for which the rest of the pipeline is skipped up to its
	// Sync.
	err error
	// added are the statements that this pipeline added to the session.
	added []*stmt
	// skipToSync is set after the error of a flushed part was sent: messages are
	// ignored until the next Sync.
	skipToSync bool
	// expected are the responses to the messages sent so far.
	expected []expectedResponse
	// executes counts the Execute messages.
	executes int
	// replay has the stored response to each Execute of a repeated request;
	// replayed is how many of them were used.
	replay   [][]byte
	replayed int
}

// expectedResponse is the response to one message that the endpoint or the
// instance itself has yet to send.
type expectedResponse struct {
	typ byte
	// hidden is set for messages that the instance added; their responses are
	// not forwarded.
	hidden bool
	stmt   *stmt
	// localResponse is sent instead of a response of the endpoint.
	localResponse []byte
	// local is set when the instance runs the statement itself.
	local bool
	kind  byte
	// unnamed is set for a Parse of the connection's unnamed statement.
	unnamed bool
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
	noData        = []byte{'n', 0, 0, 0, 4}
	noParams      = []byte{'t', 0, 0, 0, 6, 0, 0}
)

// dropBatch empties the batch and keeps its buffers unless they are large.
func (c *client) dropBatch() {
	b := &c.batch
	if cap(b.buf) > 16*segmentBytes {
		b.buf = nil
	}
	clear(b.msgs)
	clear(b.added)
	clear(b.expected)
	*b = batch{buf: b.buf[:0], msgs: b.msgs[:0], added: b.added[:0], expected: b.expected[:0]}
}

func errNoStatement(name []byte) error {
	return &pgwire.StatementError{Code: "26000", Message: "prepared statement \"" + string(name) + "\" does not exist",
		Hint: "prepare it in this session"}
}

// batchMessage adds a message of the extended query protocol to the batch. A
// returned error ends the session; an error of the statement is kept until the
// next Sync or Flush.
func (c *client) batchMessage(f pgwire.Frame) error {
	b := &c.batch
	if b.err != nil || b.skipToSync {
		return nil
	}
	m := message{typ: f.Type()}
	body := f.Body()
	switch m.typ {
	case 'P':
		p, err := pgwire.DecodeParse(body)
		if err != nil {
			return errProtocol(err)
		}
		if _, taken := c.stmts[unsafeString(p.Name)]; taken && len(p.Name) > 0 {
			b.err = &pgwire.StatementError{Code: "42P05", Message: "prepared statement \"" + string(p.Name) + "\" already exists",
				Hint: "close it first"}
			return nil
		}
		m.stmt = newStmt(p)
		if m.stmt.class.Refusal != nil {
			b.err = m.stmt.class.Refusal
			return nil
		}
		if m.stmt.class.Kind == route.MultiStatement {
			b.err = &pgwire.StatementError{Code: "42601", Message: "cannot insert multiple commands into a prepared statement",
				Hint: "send them one by one, or as a simple query"}
			return nil
		}
		m.stmt.local, _ = c.answerLocally(&m.stmt.class, false, true)
		c.stmts[m.stmt.name] = m.stmt
		b.added = append(b.added, m.stmt)
	case 'B':
		bm, err := pgwire.DecodeBind(body)
		if err != nil {
			return errProtocol(err)
		}
		if m.stmt = c.stmts[unsafeString(bm.Statement)]; m.stmt == nil {
			b.err = errNoStatement(bm.Statement)
			return nil
		}
		if old, ok := c.portals[unsafeString(bm.Portal)]; !ok || old != m.stmt {
			c.portals[string(bm.Portal)] = m.stmt
		}
	case 'D', 'C':
		kind, name, err := pgwire.DecodeTarget(body)
		if err != nil {
			return errProtocol(err)
		}
		m.kind = kind
		switch {
		case m.typ == 'C' && kind == 'S':
			delete(c.stmts, unsafeString(name))
		case m.typ == 'C':
			m.stmt = c.portals[unsafeString(name)]
			delete(c.portals, unsafeString(name))
		case kind == 'S':
			if m.stmt = c.stmts[unsafeString(name)]; m.stmt == nil {
				b.err = errNoStatement(name)
				return nil
			}
		default:
			m.stmt = c.portals[unsafeString(name)]
		}
	case 'E':
		portal, err := pgwire.DecodeExecute(body)
		if err != nil {
			return errProtocol(err)
		}
		if m.stmt = c.portals[unsafeString(portal)]; m.stmt == nil {
			b.err = &pgwire.StatementError{Code: "34000", Message: "portal \"" + string(portal) + "\" does not exist", Hint: "bind it first"}
			return nil
		}
		b.executes++
	}
	if len(b.buf)+len(f) > maxBatchBytes {
		return errProtocol(pgwire.ErrTooLarge)
	}
	m.start = len(b.buf)
	b.buf = append(b.buf, f...)
	m.end = len(b.buf)
	b.msgs = append(b.msgs, m)
	return nil
}

// refuseMessage answers a message of an unsupported type with an error.
func (c *client) refuseMessage(what, remedy string) error {
	if err := c.beginRequest(); err != nil {
		return err
	}
	rq := &c.rq
	*rq = request{started: time.Now(), sync: true}
	return c.completeRequest(rq, outcome.New(outcome.NotSupported, outcome.NotRun, what, remedy))
}

// flushBatch runs the messages received since the last Sync or Flush.
func (c *client) flushBatch(sync bool) error {
	b := &c.batch
	if !sync && (len(b.msgs) == 0 && b.err == nil || b.skipToSync) {
		return nil
	}
	if err := c.beginRequest(); err != nil {
		return err
	}
	rq := &c.rq
	*rq = request{started: time.Now(), sync: sync}
	rq.deadline = rq.started.Add(c.timeout)
	var err error
	if b.skipToSync {
		// The error was sent at the Flush, and the transaction has ended.
	} else {
		err = c.runBatch(rq)
	}
	if err != nil || rq.resp.failed {
		c.dropUnansweredStatements()
	}
	failed := err != nil || rq.resp.failed
	if rerr := c.completeRequest(rq, err); rerr != nil {
		return rerr
	}
	c.dropBatch()
	if !sync {
		b.skipToSync = failed
	}
	return nil
}

// dropUnansweredStatements removes the statements of a failed pipeline whose
// Parse was not answered with ParseComplete.
func (c *client) dropUnansweredStatements() {
	for _, s := range c.batch.added {
		if !s.parseCompleted && c.stmts[s.name] == s {
			delete(c.stmts, s.name)
		}
	}
}

// resetParseCompleted is called when the responses to the pipeline were
// discarded, so its Parse messages are unanswered again.
func (c *client) resetParseCompleted() {
	for _, s := range c.batch.added {
		s.parseCompleted = false
	}
}

// runBatch runs the messages of the batch, locally where no endpoint is needed.
func (c *client) runBatch(rq *request) error {
	b := &c.batch
	if err := c.authorize(rq.started); err != nil {
		return c.endSessionWith(err)
	}
	if b.err != nil {
		return b.err
	}
	if c.tx.failed {
		return c.runBatchInFailedTransaction()
	}
	needsServer := false
	for i := range b.msgs {
		m := &b.msgs[i]
		if m.typ != 'C' && (m.stmt == nil || !m.stmt.local) {
			needsServer = true
		}
		if m.typ == 'E' && !m.stmt.local {
			rq.classify(c, &m.stmt.class)
			if err := rq.assignRequestID(c, m.stmt.class.RequestID); err != nil {
				return err
			}
			if err := c.admit(m.stmt.class.Kind); err != nil {
				return err
			}
		}
	}
	if b.executes == 0 && needsServer {
		rq.classifyDescribeOnly(c)
	}
	if c.tx.replay != nil && needsServer {
		return c.replayBatch(rq)
	}
	if !needsServer && (c.tx.conn == nil || !c.tx.implicit) {
		return c.runLocalBatch()
	}
	return c.execute(rq)
}

// classifyDescribeOnly classifies a pipeline that only prepares or describes
// statements: it runs at the primary if one of them is a write.
func (rq *request) classifyDescribeOnly(c *client) {
	rq.inTx = c.tx.conn != nil
	for i := range c.batch.msgs {
		s := c.batch.msgs[i].stmt
		if s == nil || s.local {
			continue
		}
		var probe request
		probe.classify(c, &s.class)
		rq.write = rq.write || probe.write
	}
}

// runBatchInFailedTransaction responds to a pipeline in a transaction that the
// instance has rolled back.
func (c *client) runBatchInFailedTransaction() error {
	for i := range c.batch.msgs {
		m := &c.batch.msgs[i]
		if m.stmt != nil && (m.stmt.class.Kind == route.Commit || m.stmt.class.Kind == route.Rollback) {
			continue
		}
		if m.typ != 'C' {
			return c.runInFailedTransaction(route.Write)
		}
	}
	for i := range c.batch.msgs {
		m := &c.batch.msgs[i]
		if m.typ == 'E' {
			if err := c.runInFailedTransaction(m.stmt.class.Kind); err != nil {
				return err
			}
			continue
		}
		if err := c.synthesize(m); err != nil {
			return err
		}
	}
	return nil
}

// runLocalBatch responds to a pipeline that needs no endpoint.
func (c *client) runLocalBatch() error {
	for i := range c.batch.msgs {
		if err := c.synthesize(&c.batch.msgs[i]); err != nil {
			return err
		}
	}
	return nil
}

// synthesize responds to one message without an endpoint.
func (c *client) synthesize(m *message) error {
	switch m.typ {
	case 'P':
		m.stmt.parseCompleted = true
		return c.w.Add(parseComplete)
	case 'B':
		return c.w.Add(bindComplete)
	case 'C':
		return c.w.Add(closeComplete)
	case 'D':
		if m.kind == 'S' {
			if err := c.w.Add(noParams); err != nil {
				return err
			}
		}
		if m.stmt != nil && m.stmt.class.Kind == route.Show {
			c.showDescription(m.stmt.class.Name)
			return nil
		}
		return c.w.Add(noData)
	case 'E':
		_, err := c.answerLocally(&m.stmt.class, false, false)
		return err
	}
	return nil
}

// exchangeBatch sends a pipeline in segments and forwards the responses.
func (c *client) exchangeBatch(rq *request, sc *pool.Conn) error {
	b := &c.batch
	b.expected, b.replayed = b.expected[:0], 0
	if err := sc.BeginRequest(); err != nil {
		return c.connError(rq, err)
	}
	rq.sent, rq.commitSent = true, rq.commits && rq.sync
	c.setReadDeadline(sc, rq.deadline)
	for i := range b.msgs {
		if sc.W.Len() > 0 && sc.W.Len()+b.msgs[i].end-b.msgs[i].start > segmentBytes {
			sc.W.EmptyMessage('H')
			if err := c.runSegment(rq, sc); err != nil {
				return err
			}
			if rq.resp.failed {
				break
			}
		}
		c.sendMessage(&b.msgs[i], sc)
	}
	if rq.sync {
		sc.W.EmptyMessage('S')
		b.expected = append(b.expected, expectedResponse{typ: 'S'})
	} else {
		sc.W.EmptyMessage('H')
	}
	return c.runSegment(rq, sc)
}

// sendMessage appends a message to the output of the server connection. If the
// connection lacks the prepared statement that the message uses, a Parse comes
// first.
func (c *client) sendMessage(m *message, sc *pool.Conn) {
	b := &c.batch
	frame := b.buf[m.start:m.end]
	e := expectedResponse{typ: m.typ, stmt: m.stmt, kind: m.kind}
	if m.stmt != nil && m.stmt.local {
		e.local = true
		b.expected = append(b.expected, e)
		return
	}
	switch m.typ {
	case 'P':
		if m.stmt.serverName != "" && sc.Prepared(m.stmt.serverName) {
			if sc.TxStatus() == 'E' {
				// In a failed transaction the endpoint decides which statements may be
				// parsed.
				sc.SetUnnamed(nil)
				sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendParse(dst, "", m.stmt.sql, m.stmt.oids) })
				e.unnamed = true
				break
			}
			e.localResponse = parseComplete
			break
		}
		c.sendParse(m.stmt, sc, false)
		return
	case 'B':
		c.ensurePrepared(m.stmt, sc)
		bm, _ := pgwire.DecodeBind(frame[5:])
		sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendBind(dst, bm.Portal, m.stmt.serverName, bm.Rest) })
	case 'D':
		if m.kind == 'S' {
			c.ensurePrepared(m.stmt, sc)
			sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendTarget(dst, 'D', 'S', m.stmt.serverName) })
			break
		}
		_ = sc.W.Add(frame)
	case 'C':
		if m.kind == 'S' {
			// The statement stays prepared on the server connection for other
			// sessions.
			e.localResponse = closeComplete
			break
		}
		_ = sc.W.Add(frame)
	case 'E':
		if b.replayed < len(b.replay) {
			e.localResponse = b.replay[b.replayed]
			b.replayed++
			break
		}
		_ = sc.W.Add(frame)
	}
	b.expected = append(b.expected, e)
}

// ensurePrepared sends a Parse unless the server connection has the statement.
func (c *client) ensurePrepared(s *stmt, sc *pool.Conn) {
	if s.serverName == "" {
		if sc.Unnamed() != any(s) {
			c.sendParse(s, sc, true)
		}
		return
	}
	if !sc.Prepared(s.serverName) {
		c.sendParse(s, sc, true)
	}
}

// sendParse prepares a statement on the server connection, closing an old one
// when there are too many. The connection records it at once, so that later
// messages of the pipeline do not prepare it again.
func (c *client) sendParse(s *stmt, sc *pool.Conn, hidden bool) {
	if s.serverName == "" {
		sc.SetUnnamed(s)
	} else {
		if old := sc.LeastRecentlyUsedPrepared(); old != "" {
			sc.RemovePrepared(old)
			sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendTarget(dst, 'C', 'S', old) })
			c.batch.expected = append(c.batch.expected, expectedResponse{typ: 'C', hidden: true})
		}
		sc.AddPrepared(s.serverName)
	}
	sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendParse(dst, s.serverName, s.sql, s.oids) })
	c.batch.expected = append(c.batch.expected, expectedResponse{typ: 'P', hidden: hidden, stmt: s, unnamed: s.serverName == ""})
}

// runSegment sends the buffered messages and reads all expected responses.
func (c *client) runSegment(rq *request, sc *pool.Conn) error {
	b := &c.batch
	if err := sc.W.Flush(); err != nil {
		return c.connError(rq, err)
	}
	for i := 0; i < len(b.expected); i++ {
		e := &b.expected[i]
		if e.typ == 'P' && !e.hidden && (e.localResponse != nil || e.local) {
			e.stmt.parseCompleted = true
		}
		switch {
		case e.localResponse != nil:
			if e.typ == 'E' {
				rq.resp.completions++
			}
			if err := c.appendResponse(rq, sc, e.localResponse); err != nil {
				return err
			}
			continue
		case e.local:
			if err := c.synthesize(&message{typ: e.typ, kind: e.kind, stmt: e.stmt}); err != nil {
				return err
			}
			continue
		}
		if c.capture.active && e.typ == 'E' {
			c.capture.startPart()
		}
		if err := c.forwardResponse(rq, sc, e); err != nil {
			return err
		}
		if rq.resp.failed && e.typ != 'S' {
			return c.skipToSync(rq, sc, i)
		}
		if e.typ == 'P' && !e.hidden {
			e.stmt.parseCompleted = true
		}
	}
	b.expected = b.expected[:0]
	return nil
}

// skipToSync ends a pipeline after an error, from the expected response at
// index at on. Statements whose ParseComplete did not arrive are not prepared on
// the connection.
func (c *client) skipToSync(rq *request, sc *pool.Conn, at int) error {
	b := &c.batch
	synced := false
	for i := at; i < len(b.expected); i++ {
		e := &b.expected[i]
		switch {
		case e.typ == 'S':
			synced = true
		case e.typ == 'P' && e.localResponse == nil && !e.local:
			if e.unnamed {
				sc.SetUnnamed(nil)
			} else {
				sc.RemovePrepared(e.stmt.serverName)
			}
		}
	}
	b.expected = b.expected[:0]
	if !synced {
		sc.W.EmptyMessage('S')
		if err := sc.W.Flush(); err != nil {
			return c.connError(rq, err)
		}
	}
	b.expected = append(b.expected, expectedResponse{typ: 'S'})
	err := c.forwardResponse(rq, sc, &b.expected[0])
	b.expected = b.expected[:0]
	return err
}

// forwardResponse forwards the response to one message.
func (c *client) forwardResponse(rq *request, sc *pool.Conn, e *expectedResponse) error {
	for {
		f, err := c.nextMessage(rq, sc)
		if err != nil {
			return err
		}
		t := f.Type()
		if t == 'E' {
			if err := c.forwardError(rq, sc, f); err != nil {
				return err
			}
			if e.typ == 'S' {
				continue // a failed commit at Sync; ReadyForQuery follows
			}
			return nil
		}
		if t == 'S' || t == 'N' || t == 'A' {
			if err := c.forward(rq, sc, f); err != nil {
				return err
			}
			continue
		}
		last := false
		switch e.typ {
		case 'P':
			last = t == '1'
		case 'B':
			last = t == '2'
		case 'C':
			last = t == '3'
		case 'D':
			last = t == 'T' || t == 'n'
			if !last && t != 't' {
				return c.connError(rq, pgwire.ErrMalformed)
			}
		case 'E':
			last = t == 'C' || t == 'I' || t == 's'
			if !last && t != 'D' {
				return c.connError(rq, pgwire.ErrMalformed)
			}
		case 'S':
			if t != 'Z' {
				return c.connError(rq, pgwire.ErrMalformed)
			}
			return c.handleReady(rq, sc, f)
		}
		if !last && e.typ != 'D' && e.typ != 'E' {
			return c.connError(rq, pgwire.ErrMalformed)
		}
		if !e.hidden {
			if err := c.forward(rq, sc, f); err != nil {
				return err
			}
		}
		if last {
			if e.typ == 'E' && t == 'C' {
				c.trackSet(&e.stmt.class, sc, false)
			}
			return nil
		}
	}
}
