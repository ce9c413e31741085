package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
)

// maxStoredAnswerBytes bounds the answer that is stored with a request id.
const maxStoredAnswerBytes = 64 << 10

// createOutcomeTable holds the first outcome of each request id, in the database
// that the request writes to, so that both commit together.
const createOutcomeTable = `CREATE TABLE IF NOT EXISTS vh_outcome (account text NOT NULL, request_id text NOT NULL, ` +
	`digest text NOT NULL, result text, created bigint NOT NULL, PRIMARY KEY (account, request_id))`

// capture copies an answer, to be stored with a request id.
type capture struct {
	active bool
	simple bool
	parts  [][]byte
	size   int
}

func (p *capture) startPart() { p.parts = append(p.parts, nil) }

func (p *capture) add(f pgwire.Frame) error {
	if !p.simple && f.Type() != 'D' && f.Type() != 'C' && f.Type() != 'I' || len(p.parts) == 0 {
		return nil
	}
	if p.size += len(f); p.size > maxStoredAnswerBytes {
		return outcome.New(outcome.NotSupported, outcome.NotRun, "the answer is longer than the 64 KiB that are stored with a request id",
			"return fewer rows or columns, or send the request without an id")
	}
	last := len(p.parts) - 1
	p.parts[last] = append(p.parts[last], f...)
	return nil
}

// start begins a capture for the request.
func (p *capture) start(simple bool) {
	*p = capture{active: true, simple: simple}
	if simple {
		p.startPart()
	}
}

// txRecord is a transaction with a request id: while it runs, what it
// answered; while it is repeated, what it answered the first time.
type txRecord struct {
	id         string
	statements []recordedStatement
	next       int
	size       int
	// statementFailed is set when a statement failed, since its answer is not stored.
	statementFailed bool
}

type recordedStatement struct {
	digest string
	parts  [][]byte
}

// assignRequestID uses the request id of a leading comment, or the one that was set,
// for a write or a transaction.
func (rq *request) assignRequestID(c *client, comment string) error {
	if rq.inTx || c.tx.replay != nil {
		if comment != "" {
			return outcome.New(outcome.NotSupported, outcome.NotRun, "a request id inside a transaction block is not supported",
				"set vh.request_id before BEGIN; it covers the whole transaction")
		}
		return nil
	}
	if !rq.write || !rq.commits && !rq.begins {
		return nil
	}
	id := strings.Clone(comment)
	if id == "" {
		id = c.requestID
	}
	if id == "" {
		return nil
	}
	if rq.explicitCommit || rq.begins && (rq.stmt.Kind == route.MultiStatement || c.batch.executes > 1) {
		return outcome.New(outcome.NotSupported, outcome.NotRun, "a request id needs BEGIN and COMMIT as queries of their own",
			"send the statements of the transaction one by one, or together without BEGIN and COMMIT")
	}
	rq.id, c.requestID = id, ""
	return nil
}

// digest identifies the statements of a request with their parameters.
func (c *client) digest(rq *request) string {
	h := sha256.New()
	if rq.simple {
		h.Write([]byte{'Q'})
		h.Write(rq.frame.Body())
		return hex.EncodeToString(h.Sum(nil))
	}
	b := &c.batch
	for i := range b.msgs {
		m := &b.msgs[i]
		switch m.typ {
		case 'B':
			bm, err := pgwire.DecodeBind(b.buf[m.start+5 : m.end])
			if err != nil {
				continue
			}
			fmt.Fprintf(h, "B%d,%d:", len(m.stmt.sql), len(bm.Rest))
			h.Write(m.stmt.sql)
			h.Write(bm.Rest)
		case 'E':
			h.Write([]byte{'E'})
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// executeWithRequestID runs a write and stores its answer in the same transaction, or
// returns the stored answer of the first run.
func (c *client) executeWithRequestID(rq *request, sc *pool.Conn, ep *pool.Endpoint) error {
	digest := c.digest(rq)
	first, err := false, c.ensureOutcomeTable(rq, sc)
	if err == nil && rq.resp.refused == notRefused {
		first, err = c.claimRequestID(rq, sc, "BEGIN;", digest)
	}
	if err != nil || rq.resp.refused != notRefused {
		sc.Taint()
		return c.finishExchange(rq, sc, ep, err)
	}
	if !first {
		return c.finishExchange(rq, sc, ep, c.replayWrite(rq, sc, digest))
	}
	rq.resp.heldOffset = c.w.Len()
	c.w.Hold()
	c.capture.start(rq.simple)
	rq.commits = false
	err = c.exchange(rq, sc)
	rq.commits = true
	c.capture.active = false
	switch {
	case err != nil || rq.resp.refused != notRefused:
		sc.Taint()
	case rq.resp.failed:
		// The error of the statement is the answer; nothing is stored, so a
		// repeat runs it again.
		if _, rerr := sc.Exec("ROLLBACK", rq.deadline, nil); rerr != nil {
			sc.Taint()
		}
		rq.resp.status = 'I'
	default:
		err = c.storeAndCommit(rq, sc, digest)
	}
	return c.finishExchange(rq, sc, ep, err)
}

// outcomeKey names a database whose outcome table is known to exist.
type outcomeKey struct {
	endpoint fleet.EndpointID
	database string
}

// ensureOutcomeTable creates the outcome table unless it is known to exist.
func (c *client) ensureOutcomeTable(rq *request, sc *pool.Conn) error {
	k := outcomeKey{sc.Endpoint(), sc.Database}
	if _, known := c.srv.outcomeTables.Load(k); known {
		return nil
	}
	if _, err := sc.Exec(createOutcomeTable, rq.deadline, nil); err != nil {
		sc.Taint()
		return c.internalStatementError(rq, err)
	}
	c.srv.outcomeTables.Store(k, true)
	return nil
}

// claimRequestID inserts the row of the request id within an open transaction. It
// reports whether the id was new.
func (c *client) claimRequestID(rq *request, sc *pool.Conn, begin, digest string) (first bool, err error) {
	tag, err := sc.Exec(begin+"INSERT INTO vh_outcome (account, request_id, digest, created) VALUES ("+
		quoteLiteral(string(c.account))+", "+quoteLiteral(rq.id)+", "+quoteLiteral(digest)+", "+strconv.FormatInt(time.Now().Unix(), 10)+
		") ON CONFLICT (account, request_id) DO NOTHING", rq.deadline, nil)
	if err != nil {
		return false, c.internalStatementError(rq, err)
	}
	return tag == "INSERT 0 1", nil
}

// internalStatementError is the error of a statement that the instance added. The caller's
// own statement has not been sent, or its transaction is rolled back.
func (c *client) internalStatementError(rq *request, err error) error {
	var se *pool.ServerError
	if !errors.As(err, &se) {
		return c.connError(rq, err)
	}
	switch se.Code {
	case "VH001":
		rq.resp.refused = refusedStaleTerm
		return nil
	case "42P01":
		// The database was created anew since the table was seen.
		c.srv.outcomeTables.Clear()
		return outcome.Wrap(err, outcome.Unavailable, outcome.NotRun, "the table of outcomes is missing", "repeat the request")
	case "40001", "40P01", "55P03", "53300", "57P03":
		return outcome.Wrap(err, outcome.Unavailable, outcome.NotRun, "the request id is in use by a request that still runs",
			"repeat the request")
	}
	return &pgwire.StatementError{Code: se.Code, Message: "the outcome of the request could not be stored: " +
		pgwire.ErrorField(se.Frame.Body(), 'M'), Hint: "send the request without an id, or ask an operator to check table vh_outcome"}
}

// storeAndCommit stores the captured answer and commits.
func (c *client) storeAndCommit(rq *request, sc *pool.Conn, digest string) error {
	rq.commitSent = true
	tag, err := sc.Exec("UPDATE vh_outcome SET digest = "+quoteLiteral(digest)+", result = "+quoteLiteral(encodeParts(c.capture.parts))+
		" WHERE account = "+quoteLiteral(string(c.account))+" AND request_id = "+quoteLiteral(rq.id)+";COMMIT", rq.deadline, nil)
	if err != nil {
		sc.Taint()
		var se *pool.ServerError
		if errors.As(err, &se) {
			// The endpoint itself refused, so nothing was committed.
			rq.commitSent = false
		}
		return c.internalStatementError(rq, err)
	}
	if tag != "COMMIT" {
		sc.Taint()
		return outcome.New(outcome.Unavailable, outcome.NotRun, "the endpoint rolled the request back", "repeat the request")
	}
	rq.resp.status = 'I'
	return nil
}

// loadOutcome reads the stored outcome and ends the transaction it was read in.
func (c *client) loadOutcome(rq *request, sc *pool.Conn) (digest string, parts [][]byte, err error) {
	var result string
	_, err = sc.Exec("SELECT digest, result FROM vh_outcome WHERE account = "+quoteLiteral(string(c.account))+
		" AND request_id = "+quoteLiteral(rq.id), rq.deadline, func(r *pgproto3.DataRow) {
		if len(r.Values) == 2 {
			digest, result = string(r.Values[0]), string(r.Values[1])
		}
	})
	if err == nil {
		_, err = sc.Exec("ROLLBACK", rq.deadline, nil)
	}
	if err != nil {
		return "", nil, c.internalStatementError(rq, err)
	}
	if digest == "" {
		return "", nil, outcome.New(outcome.Unavailable, outcome.NotRun, "the request id is in use by a request that still runs",
			"repeat the request")
	}
	parts, err = decodeParts(result)
	return digest, parts, err
}

func errRequestIDReused() error {
	return outcome.New(outcome.RequestIDReused, outcome.NotRun, "the request id was used with another statement or other parameters",
		"use a new request id for a new request")
}

// replayWrite answers a repeated write from its stored outcome.
func (c *client) replayWrite(rq *request, sc *pool.Conn, digest string) error {
	stored, parts, err := c.loadOutcome(rq, sc)
	if err != nil {
		return err
	}
	if rq.resp.refused != notRefused {
		return nil
	}
	if stored != digest {
		return errRequestIDReused()
	}
	c.srv.metrics.replayed.Inc(1)
	rq.resp.heldOffset = c.w.Len()
	c.w.Hold()
	if rq.simple {
		for _, p := range parts {
			if err := c.w.Add(p); err != nil {
				return err
			}
		}
	} else {
		// Parse, Bind and Describe go to the endpoint; Execute does not.
		c.batch.replay = parts
		rq.commits = false
		err := c.exchangeBatch(rq, sc)
		rq.commits, c.batch.replay = true, nil
		if err != nil {
			return err
		}
	}
	// The first run may have been answered as unknown: its outcome counts as
	// done once what this connection has seen is replicated.
	rq.resp.status = 'I'
	rq.resp.completions = max(rq.resp.completions, 1)
	return nil
}

// beginWithRequestID opens a transaction that has a request id.
func (c *client) beginWithRequestID(rq *request, sc *pool.Conn) error {
	if err := c.ensureOutcomeTable(rq, sc); err != nil || rq.resp.refused != notRefused {
		return err
	}
	rq.resp.heldOffset = c.w.Len()
	c.w.Hold()
	if err := c.exchange(rq, sc); err != nil || rq.resp.failed || rq.resp.refused != notRefused {
		return err
	}
	return c.startRecord(rq, sc)
}

// exchangeRecorded runs a statement of a transaction with a request id.
func (c *client) exchangeRecorded(rq *request, sc *pool.Conn) error {
	if rq.explicitCommit {
		if err := c.storeRecord(rq, sc); err != nil || rq.resp.refused != notRefused {
			return err
		}
		return c.exchange(rq, sc)
	}
	if rq.stmt.Kind == route.Rollback || !rq.simple && c.batch.executes == 0 {
		return c.exchange(rq, sc)
	}
	digest := c.digest(rq)
	c.capture.start(rq.simple)
	err := c.exchange(rq, sc)
	c.capture.active = false
	if err != nil {
		return err
	}
	return c.recordStatement(rq, digest)
}

// startRecord begins a transaction with a request id, after its BEGIN. When
// the id is known, the transaction is not run again but answered from the
// stored outcome.
func (c *client) startRecord(rq *request, sc *pool.Conn) error {
	first, err := c.claimRequestID(rq, sc, "", "transaction")
	if err != nil || rq.resp.refused != notRefused {
		sc.Taint()
		return err
	}
	if first {
		c.tx.record = &txRecord{id: rq.id}
		return nil
	}
	_, parts, err := c.loadOutcome(rq, sc)
	if err != nil || rq.resp.refused != notRefused {
		sc.Taint()
		return err
	}
	rec := &txRecord{id: rq.id}
	for len(parts) > 0 {
		if len(parts) < 2 || len(parts[1]) != 4 {
			return errors.New("stored transaction is malformed")
		}
		n := int(binary.BigEndian.Uint32(parts[1]))
		if n > len(parts)-2 {
			return errors.New("stored transaction is malformed")
		}
		rec.statements = append(rec.statements, recordedStatement{digest: string(parts[0]), parts: parts[2 : 2+n]})
		parts = parts[2+n:]
	}
	if err := c.waitReplicated(rq, sc.Floor()); err != nil {
		return err
	}
	c.srv.metrics.replayed.Inc(1)
	rq.resp.status = 'I'
	c.tx.replay = rec
	return nil
}

// recordStatement adds the answer of a statement to the open transaction.
func (c *client) recordStatement(rq *request, digest string) error {
	rec := c.tx.record
	if rq.resp.failed {
		rec.statementFailed = true
		return nil
	}
	rec.size += c.capture.size
	if rec.size > maxStoredAnswerBytes {
		return outcome.New(outcome.NotSupported, outcome.NotRun, "the answers of the transaction are longer than the 64 KiB that are stored with a request id",
			"read less inside the transaction, or run it without an id")
	}
	rec.statements = append(rec.statements, recordedStatement{digest: digest, parts: c.capture.parts})
	return nil
}

// storeRecord stores the answers of a transaction just before its COMMIT.
func (c *client) storeRecord(rq *request, sc *pool.Conn) error {
	rec := c.tx.record
	if sc.TxStatus() != 'T' {
		return nil // COMMIT of a failed transaction rolls back
	}
	if rec.statementFailed {
		return outcome.New(outcome.NotSupported, outcome.NotRun, "a transaction with a request id cannot commit after a failed statement",
			"repeat the transaction without the statement that fails")
	}
	var parts [][]byte
	for _, e := range rec.statements {
		parts = append(parts, []byte(e.digest), binary.BigEndian.AppendUint32(nil, uint32(len(e.parts))))
		parts = append(parts, e.parts...)
	}
	_, err := sc.Exec("UPDATE vh_outcome SET result = "+quoteLiteral(encodeParts(parts))+" WHERE account = "+
		quoteLiteral(string(c.account))+" AND request_id = "+quoteLiteral(rec.id), rq.deadline, nil)
	if err != nil {
		sc.Taint()
		return c.internalStatementError(rq, err)
	}
	return nil
}

// replayStatement answers a statement of a repeated transaction. It returns false
// when the endpoint is needed, which is only to prepare or describe.
func (c *client) replayStatement(rq *request, k route.Kind) (done bool, err error) {
	rec := c.tx.replay
	switch k {
	case route.Commit:
		if rec.next != len(rec.statements) {
			c.tx = transaction{failed: true}
			return true, errRequestIDReused()
		}
		c.tx = transaction{}
		c.w.CommandComplete("COMMIT")
		return true, nil
	case route.Rollback:
		c.tx = transaction{}
		c.w.CommandComplete("ROLLBACK")
		return true, nil
	}
	if rec.next >= len(rec.statements) || rec.statements[rec.next].digest != c.digest(rq) {
		c.tx = transaction{failed: true}
		return true, errRequestIDReused()
	}
	parts := rec.statements[rec.next].parts
	rec.next++
	if !rq.simple {
		c.batch.replay = parts
		return false, nil
	}
	for _, p := range parts {
		if err := c.w.Add(p); err != nil {
			return true, err
		}
	}
	return true, nil
}

// replayBatch answers a pipeline of a repeated transaction.
func (c *client) replayBatch(rq *request) error {
	b := &c.batch
	rq.commits, rq.begins, rq.returnsData, rq.inTx = false, false, false, false
	if b.executes == 0 {
		return c.execute(rq)
	}
	for i := range b.msgs {
		m := &b.msgs[i]
		if m.typ != 'E' || m.stmt.class.Kind != route.Commit && m.stmt.class.Kind != route.Rollback {
			continue
		}
		if b.executes > 1 {
			c.tx = transaction{failed: true}
			return errRequestIDReused()
		}
		for j := range b.msgs {
			if b.msgs[j].typ == 'E' {
				if _, err := c.replayStatement(rq, m.stmt.class.Kind); err != nil {
					return err
				}
			} else if err := c.synthesize(&b.msgs[j]); err != nil {
				return err
			}
		}
		return nil
	}
	if done, err := c.replayStatement(rq, route.Write); done || err != nil {
		return err
	}
	return c.execute(rq)
}

// encodeParts and decodeParts convert answers to text for the table.
func encodeParts(parts [][]byte) string {
	var b []byte
	for _, p := range parts {
		b = binary.BigEndian.AppendUint32(b, uint32(len(p)))
		b = append(b, p...)
	}
	return base64.StdEncoding.EncodeToString(b)
}

func decodeParts(s string) ([][]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("stored outcome: %w", err)
	}
	parts := [][]byte{}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errors.New("stored outcome is truncated")
		}
		n := int64(binary.BigEndian.Uint32(b))
		if n > int64(len(b)-4) {
			return nil, errors.New("stored outcome is truncated")
		}
		parts = append(parts, bytes.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	return parts, nil
}
