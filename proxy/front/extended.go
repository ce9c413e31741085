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

// segmentSize is how much of a pipeline is sent before its answers are read.
// An endpoint that blocks on writing answers stops reading; with segments
// below the socket buffers neither side can wait for the other for ever.
const segmentSize = 32 << 10

// maxBatch bounds the messages kept between two Syncs.
const maxBatch = 2 * pgwire.MaxCallerMessage

// stmt is a prepared statement of a session.
type stmt struct {
	// name is that of the caller; server is that on server connections, a
	// digest of the text, so that sessions share what is prepared. It is
	// empty for the unnamed statement, which is not shared.
	name, server string
	sql          []byte
	oids         []byte
	class        route.Statement
	local        bool
	// parsed is set once the caller is owed no ParseComplete for it.
	parsed bool
}

func newStmt(m pgwire.ParseMessage) *stmt {
	buf := make([]byte, 0, len(m.SQL)+len(m.OIDs))
	buf = append(append(buf, m.SQL...), m.OIDs...)
	s := &stmt{name: string(m.Name), sql: buf[:len(m.SQL)], oids: buf[len(m.SQL):]}
	s.class = route.Classify(text(s.sql))
	if s.name != "" {
		h := sha256.Sum256(buf)
		s.server = "vh_" + hex.EncodeToString(h[:16])
	}
	return s
}

// message is one message of a pipeline.
type message struct {
	typ        byte
	kind       byte // 'S' or 'P' for Describe and Close
	start, end int  // in batch.buf
	stmt       *stmt
}

// batch holds the messages of a pipeline up to the next Sync or Flush.
type batch struct {
	buf  []byte
	msgs []message
	// err is why the rest of the pipeline is skipped up to its Sync.
	err error
	// added are the statements that this pipeline parsed.
	added []*stmt
	// skipping is set after the error of a flushed part was sent.
	skipping bool
	expects  []expect
	executes int
	// replay has the stored answer for each Execute of a repeated request.
	replay   [][]byte
	replayed int
}

// expect is one answer that the endpoint or the instance itself owes.
type expect struct {
	typ byte
	// hidden answers belong to messages that the instance added.
	hidden bool
	stmt   *stmt
	// synth is sent instead of an answer of the endpoint.
	synth []byte
	// local is run by the instance.
	local bool
	kind  byte
	// unnamed is set for a Parse into the unnamed statement of the connection.
	unnamed bool
}

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
	noData        = []byte{'n', 0, 0, 0, 4}
	noParams      = []byte{'t', 0, 0, 0, 6, 0, 0}
)

func (c *client) dropBatch() {
	b := &c.batch
	if cap(b.buf) > 16*segmentSize {
		b.buf = nil
	}
	clear(b.msgs)
	clear(b.added)
	clear(b.expects)
	*b = batch{buf: b.buf[:0], msgs: b.msgs[:0], added: b.added[:0], expects: b.expects[:0]}
}

func errNoStatement(name []byte) error {
	return &pgwire.StatementError{Code: "26000", Message: "prepared statement \"" + string(name) + "\" does not exist",
		Hint: "prepare it in this session"}
}

// batchMessage takes a message of the extended protocol. An error ends the
// session; an error of the statement is kept until Sync.
func (c *client) batchMessage(f pgwire.Frame) error {
	b := &c.batch
	if b.err != nil || b.skipping {
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
		if _, taken := c.stmts[text(p.Name)]; taken && len(p.Name) > 0 {
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
		if m.stmt = c.stmts[text(bm.Statement)]; m.stmt == nil {
			b.err = errNoStatement(bm.Statement)
			return nil
		}
		if old, ok := c.portals[text(bm.Portal)]; !ok || old != m.stmt {
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
			delete(c.stmts, text(name))
		case m.typ == 'C':
			m.stmt = c.portals[text(name)]
			delete(c.portals, text(name))
		case kind == 'S':
			if m.stmt = c.stmts[text(name)]; m.stmt == nil {
				b.err = errNoStatement(name)
				return nil
			}
		default:
			m.stmt = c.portals[text(name)]
		}
	case 'E':
		portal, err := pgwire.DecodeExecute(body)
		if err != nil {
			return errProtocol(err)
		}
		if m.stmt = c.portals[text(portal)]; m.stmt == nil {
			b.err = &pgwire.StatementError{Code: "34000", Message: "portal \"" + string(portal) + "\" does not exist", Hint: "bind it first"}
			return nil
		}
		b.executes++
	}
	if len(b.buf)+len(f) > maxBatch {
		return errProtocol(pgwire.ErrTooLarge)
	}
	m.start = len(b.buf)
	b.buf = append(b.buf, f...)
	m.end = len(b.buf)
	b.msgs = append(b.msgs, m)
	return nil
}

func (c *client) refuseMessage(what, remedy string) error {
	if err := c.begin(); err != nil {
		return err
	}
	rq := &c.rq
	*rq = request{started: time.Now(), sync: true}
	return c.complete(rq, outcome.New(outcome.NotSupported, outcome.NotRun, what, remedy))
}

// flushBatch runs the messages received so far, at a Sync or Flush.
func (c *client) flushBatch(sync bool) error {
	b := &c.batch
	if !sync && (len(b.msgs) == 0 && b.err == nil || b.skipping) {
		return nil
	}
	if err := c.begin(); err != nil {
		return err
	}
	rq := &c.rq
	*rq = request{started: time.Now(), sync: sync}
	rq.deadline = rq.started.Add(c.timeout)
	var err error
	if b.skipping {
		// The error was sent at the Flush; the transaction has ended.
	} else {
		err = c.runBatch(rq)
	}
	if err != nil || rq.resp.failed {
		c.forgetParsed()
	}
	failed := err != nil || rq.resp.failed
	if rerr := c.complete(rq, err); rerr != nil {
		return rerr
	}
	c.dropBatch()
	if !sync {
		b.skipping = failed
	}
	return nil
}

// forgetParsed removes the statements of a failed pipeline that were not
// answered with ParseComplete.
func (c *client) forgetParsed() {
	for _, s := range c.batch.added {
		if !s.parsed && c.stmts[s.name] == s {
			delete(c.stmts, s.name)
		}
	}
}

// unparse notes that the answers to the pipeline were dropped.
func (c *client) unparse() {
	for _, s := range c.batch.added {
		s.parsed = false
	}
}

func (c *client) runBatch(rq *request) error {
	b := &c.batch
	if err := c.allowed(rq.started); err != nil {
		return c.endSession(err)
	}
	if b.err != nil {
		return b.err
	}
	if c.tx.failed {
		return c.failedBatch()
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
		rq.describe(c)
	}
	if c.tx.replay != nil && needsServer {
		return c.replayBatch(rq)
	}
	if !needsServer && (c.tx.conn == nil || !c.tx.implicit) {
		return c.localBatch()
	}
	return c.execute(rq)
}

// describe routes a pipeline that only prepares or describes.
func (rq *request) describe(c *client) {
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

// failedBatch answers a pipeline within a transaction that was rolled back.
func (c *client) failedBatch() error {
	for i := range c.batch.msgs {
		m := &c.batch.msgs[i]
		if m.stmt != nil && (m.stmt.class.Kind == route.Commit || m.stmt.class.Kind == route.Rollback) {
			continue
		}
		if m.typ != 'C' {
			return c.inFailed(route.Write)
		}
	}
	for i := range c.batch.msgs {
		m := &c.batch.msgs[i]
		if m.typ == 'E' {
			if err := c.inFailed(m.stmt.class.Kind); err != nil {
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

// localBatch answers a pipeline that needs no endpoint.
func (c *client) localBatch() error {
	for i := range c.batch.msgs {
		if err := c.synthesize(&c.batch.msgs[i]); err != nil {
			return err
		}
	}
	return nil
}

// synthesize answers one message without an endpoint.
func (c *client) synthesize(m *message) error {
	switch m.typ {
	case 'P':
		m.stmt.parsed = true
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

// exchangeBatch sends a pipeline and forwards its answers.
func (c *client) exchangeBatch(rq *request, sc *pool.Conn) error {
	b := &c.batch
	b.expects, b.replayed = b.expects[:0], 0
	if err := sc.Begin(); err != nil {
		return c.connError(rq, err)
	}
	rq.sent, rq.commitSent = true, rq.commits && rq.sync
	c.setReadDeadline(sc, rq.deadline)
	for i := range b.msgs {
		if sc.W.Len() > 0 && sc.W.Len()+b.msgs[i].end-b.msgs[i].start > segmentSize {
			sc.W.EmptyMessage('H')
			if err := c.segment(rq, sc); err != nil {
				return err
			}
			if rq.resp.failed {
				break
			}
		}
		c.send(&b.msgs[i], sc)
	}
	if rq.sync {
		sc.W.EmptyMessage('S')
		b.expects = append(b.expects, expect{typ: 'S'})
	} else {
		sc.W.EmptyMessage('H')
	}
	return c.segment(rq, sc)
}

// send appends a message to the output of the server connection, preceded by
// what the connection lacks for it.
func (c *client) send(m *message, sc *pool.Conn) {
	b := &c.batch
	frame := b.buf[m.start:m.end]
	e := expect{typ: m.typ, stmt: m.stmt, kind: m.kind}
	if m.stmt != nil && m.stmt.local {
		e.local = true
		b.expects = append(b.expects, e)
		return
	}
	switch m.typ {
	case 'P':
		if m.stmt.server != "" && sc.Prepared(m.stmt.server) {
			if sc.TxStatus() == 'E' {
				// The endpoint decides what may be parsed in a failed transaction.
				sc.SetUnnamed(nil)
				sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendParse(dst, "", m.stmt.sql, m.stmt.oids) })
				e.unnamed = true
				break
			}
			e.synth = parseComplete
			break
		}
		c.sendParse(m.stmt, sc, false)
		return
	case 'B':
		c.ensurePrepared(m.stmt, sc)
		bm, _ := pgwire.DecodeBind(frame[5:])
		sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendBind(dst, bm.Portal, m.stmt.server, bm.Rest) })
	case 'D':
		if m.kind == 'S' {
			c.ensurePrepared(m.stmt, sc)
			sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendTarget(dst, 'D', 'S', m.stmt.server) })
			break
		}
		_ = sc.W.Add(frame)
	case 'C':
		if m.kind == 'S' {
			// The statement stays prepared on the connection for other sessions.
			e.synth = closeComplete
			break
		}
		_ = sc.W.Add(frame)
	case 'E':
		if b.replayed < len(b.replay) {
			e.synth = b.replay[b.replayed]
			b.replayed++
			break
		}
		_ = sc.W.Add(frame)
	}
	b.expects = append(b.expects, e)
}

func (c *client) ensurePrepared(s *stmt, sc *pool.Conn) {
	if s.server == "" {
		if sc.Unnamed() != any(s) {
			c.sendParse(s, sc, true)
		}
		return
	}
	if !sc.Prepared(s.server) {
		c.sendParse(s, sc, true)
	}
}

// sendParse prepares a statement on the connection. The connection is told at
// once, so that later messages of the pipeline do not prepare it again.
func (c *client) sendParse(s *stmt, sc *pool.Conn, hidden bool) {
	if s.server == "" {
		sc.SetUnnamed(s)
	} else {
		if old := sc.Evictable(); old != "" {
			sc.DropPrepared(old)
			sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendTarget(dst, 'C', 'S', old) })
			c.batch.expects = append(c.batch.expects, expect{typ: 'C', hidden: true})
		}
		sc.AddPrepared(s.server)
	}
	sc.W.AppendFunc(func(dst []byte) []byte { return pgwire.AppendParse(dst, s.server, s.sql, s.oids) })
	c.batch.expects = append(c.batch.expects, expect{typ: 'P', hidden: hidden, stmt: s, unnamed: s.server == ""})
}

// segment sends what is buffered and reads every answer that is owed.
func (c *client) segment(rq *request, sc *pool.Conn) error {
	b := &c.batch
	if err := sc.W.Flush(); err != nil {
		return c.connError(rq, err)
	}
	for i := 0; i < len(b.expects); i++ {
		e := &b.expects[i]
		if e.typ == 'P' && !e.hidden && (e.synth != nil || e.local) {
			e.stmt.parsed = true
		}
		switch {
		case e.synth != nil:
			if e.typ == 'E' {
				rq.resp.completions++
			}
			if err := c.add(rq, sc, e.synth); err != nil {
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
		if err := c.answerOf(rq, sc, e); err != nil {
			return err
		}
		if rq.resp.failed && e.typ != 'S' {
			return c.skipToSync(rq, sc, i)
		}
		if e.typ == 'P' && !e.hidden {
			e.stmt.parsed = true
		}
	}
	b.expects = b.expects[:0]
	return nil
}

// skipToSync ends a pipeline after an error. Statements whose ParseComplete
// did not arrive are not prepared.
func (c *client) skipToSync(rq *request, sc *pool.Conn, at int) error {
	b := &c.batch
	synced := false
	for i := at; i < len(b.expects); i++ {
		e := &b.expects[i]
		switch {
		case e.typ == 'S':
			synced = true
		case e.typ == 'P' && e.synth == nil && !e.local:
			if e.unnamed {
				sc.SetUnnamed(nil)
			} else {
				sc.DropPrepared(e.stmt.server)
			}
		}
	}
	b.expects = b.expects[:0]
	if !synced {
		sc.W.EmptyMessage('S')
		if err := sc.W.Flush(); err != nil {
			return c.connError(rq, err)
		}
	}
	b.expects = append(b.expects, expect{typ: 'S'})
	err := c.answerOf(rq, sc, &b.expects[0])
	b.expects = b.expects[:0]
	return err
}

// answerOf forwards the answer to one message.
func (c *client) answerOf(rq *request, sc *pool.Conn, e *expect) error {
	for {
		f, err := c.nextAnswer(rq, sc)
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
			return c.ready(rq, sc, f)
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
