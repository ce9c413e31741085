package endpoint

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/xdg-go/scram"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// scramIterations is low because the stand-in accepts many connections in
// tests; a real endpoint uses 4096 or more.
const scramIterations = 4096

// maxMessage bounds one message of a client.
const maxMessage = 16 << 20

func newScramServer(user, password string) (*scram.Server, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, fmt.Errorf("password of the system user: %w", err)
	}
	salt := make([]byte, 16)
	rand.Read(salt)
	creds, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, err
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return creds, nil })
}

func readFence(path string) (p persisted, found bool, err error) {
	if path == "" {
		return p, false, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return p, false, nil
	}
	if err != nil {
		return p, false, fmt.Errorf("read the state file: %w", err)
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, false, fmt.Errorf("read the state file %s: %w; remove it to start a new group", path, err)
	}
	return p, true, nil
}

// session is one client connection.
type session struct {
	e      *Endpoint
	c      *gatedConn
	b      *pgproto3.Backend
	pid    uint32
	secret []byte
	db     string
	params map[string]string
	types  *pgtype.Map
	ctx    context.Context
	cancel context.CancelFunc
	// stopListen ends the status notifications; nil without LISTEN.
	stopListen context.CancelFunc

	term     fleet.Term
	termSet  bool
	readOnly bool

	// block is set inside an explicit transaction block.
	block         bool
	blockReadOnly bool
	failed        bool
	w             *writeTx
	// wrote is the floor that the last commit of this session reached.
	wrote    fleet.LogPosition
	reported fleet.LogPosition
	// ranWrite is set when the current request ran a write or a commit.
	ranWrite bool

	prepared map[string]*prepared
	portals  map[string]*portal

	mu        sync.Mutex
	statement context.CancelCauseFunc
}

type prepared struct {
	st     *statement
	oids   []uint32
	fields []pgproto3.FieldDescription
}

type portal struct {
	p       *prepared
	args    []any
	formats []int16
	fields  []pgproto3.FieldDescription
	res     *result
	tag     string
	sent    int
}

// Stats counts what the endpoint has done.
type Stats struct {
	Connections int `json:"connections"`
	// MaxConnections is the highest number of connections so far, and
	// RefusedConnections how many were refused at the ceiling.
	MaxConnections     int `json:"max_connections"`
	RefusedConnections int `json:"refused_connections"`
	InSlots            int `json:"in_slots"`
	// Reads and Writes count statements that have run, without those on the
	// proxy's table vh_outcome; PrimaryReads and ReplicaReads split the reads by
	// the role at that time.
	Reads        int64 `json:"reads"`
	PrimaryReads int64 `json:"primary_reads"`
	ReplicaReads int64 `json:"replica_reads"`
	Writes       int64 `json:"writes"`
}

// Stats returns the current counts.
func (e *Endpoint) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	primary, replica := e.primaryReads.Load(), e.replicaReads.Load()
	return Stats{
		Connections: len(e.sessions), MaxConnections: e.maxSessions, RefusedConnections: e.refusedSessions, InSlots: len(e.slots),
		Reads: primary + replica, PrimaryReads: primary, ReplicaReads: replica, Writes: e.writes.Load(),
	}
}

// serve runs one connection to its end.
func (e *Endpoint) serve(c *gatedConn) {
	r := bufio.NewReaderSize(c, 8192)
	for {
		head, err := r.Peek(8)
		if err != nil {
			return
		}
		if binary.BigEndian.Uint32(head[4:]) == replicationCode {
			r.Discard(8)
			if err := e.serveReplica(c, r); err != nil {
				e.log.Debug().Err(err).Msg("replication: a replica's connection ended")
			}
			return
		}
		b := pgproto3.NewBackend(r, c)
		b.SetMaxBodyLen(maxMessage)
		msg, err := b.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return
			}
			continue
		case *pgproto3.CancelRequest:
			e.cancelRequest(m)
			return
		case *pgproto3.StartupMessage:
			s := &session{e: e, c: c, b: b, params: m.Parameters, prepared: map[string]*prepared{}, portals: map[string]*portal{}}
			s.run()
			return
		default:
			return
		}
	}
}

func (e *Endpoint) cancelRequest(m *pgproto3.CancelRequest) {
	e.mu.Lock()
	s := e.sessions[m.ProcessID]
	e.mu.Unlock()
	if s != nil && string(s.secret) == string(m.SecretKey) {
		s.interrupt(errorf("57014", "canceling statement due to user request"))
	}
}

func (s *session) interrupt(cause error) {
	s.mu.Lock()
	cancel := s.statement
	s.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

func (s *session) fatal(err *pgError) {
	s.b.Send(err.response("FATAL"))
	s.b.Flush()
}

func (s *session) run() {
	e := s.e
	name := s.params["application_name"]
	s.c.setPeer(strings.TrimPrefix(name, "vanillahinge/"))
	// The messages of an isolated peer would not have come through.
	if s.c.wait() != nil {
		return
	}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	defer s.cancel()
	s.secret = make([]byte, 4)
	rand.Read(s.secret)
	e.mu.Lock()
	if len(e.sessions) >= e.cfg.MaxConnections {
		e.refusedSessions++
		e.mu.Unlock()
		s.fatal(errorf("53300", "sorry, too many clients already"))
		return
	}
	e.nextPID++
	s.pid = e.nextPID
	e.sessions[s.pid] = s
	e.maxSessions = max(e.maxSessions, len(e.sessions))
	e.mu.Unlock()
	defer func() {
		if s.w != nil {
			s.w.rollback()
		}
		e.mu.Lock()
		delete(e.sessions, s.pid)
		e.mu.Unlock()
	}()
	if !sleep(s.ctx, e.cfg.ConnectDelay) {
		return
	}
	if err := s.authenticate(); err != nil {
		return
	}
	s.db = s.params["database"]
	if s.db == "" {
		s.db = s.params["user"]
	}
	if opts := s.params["options"]; opts != "" {
		for _, f := range strings.Fields(strings.ReplaceAll(opts, "-c ", "-c")) {
			if k, v, ok := strings.Cut(strings.TrimPrefix(f, "-c"), "="); ok {
				s.params[k] = v
			}
		}
	}
	for k, v := range s.params {
		if err := s.set(k, v); err != nil {
			s.fatal(toPgError(err))
			return
		}
	}
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}, {"TimeZone", "UTC"}, {"IntervalStyle", "postgres"},
		{"is_superuser", "off"}, {"session_authorization", s.params["user"]}, {"application_name", name},
	} {
		s.b.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.b.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.ready()
	if s.b.Flush() != nil {
		return
	}
	s.loop()
}

func (s *session) authenticate() error {
	e := s.e
	s.b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if err := s.b.Flush(); err != nil {
		return err
	}
	s.b.SetAuthType(pgproto3.AuthTypeSASL)
	msg, err := s.b.Receive()
	if err != nil {
		return err
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	bad := errorf("28P01", "password authentication failed for user %q", s.params["user"])
	if !ok || first.AuthMechanism != "SCRAM-SHA-256" {
		s.fatal(bad)
		return bad
	}
	conv := e.scram.NewConversation()
	reply, err := conv.Step(string(first.Data))
	if err != nil {
		s.fatal(bad)
		return bad
	}
	s.b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	if err := s.b.Flush(); err != nil {
		return err
	}
	s.b.SetAuthType(pgproto3.AuthTypeSASLContinue)
	if msg, err = s.b.Receive(); err != nil {
		return err
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		s.fatal(bad)
		return bad
	}
	reply, err = conv.Step(string(final.Data))
	if err != nil || !conv.Valid() || s.params["user"] != e.cfg.User {
		s.fatal(bad)
		return bad
	}
	s.b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	s.b.Send(&pgproto3.AuthenticationOk{})
	return nil
}

// ready reports the group's position if it has changed and ends the answer.
func (s *session) ready() {
	e := s.e
	e.mu.Lock()
	at := s.wrote
	if e.s.role == fleet.RolePrimary {
		at = at.Max(fleet.LogPosition{Term: e.s.term, Position: e.s.received()})
	}
	e.mu.Unlock()
	if at != s.reported && at != (fleet.LogPosition{}) {
		s.reported = at
		s.b.Send(&pgproto3.ParameterStatus{Name: "vh.log_position", Value: fmt.Sprintf("%d/%d", at.Term, at.Position)})
	}
	state := byte('I')
	switch {
	case s.block && s.failed:
		state = 'E'
	case s.block:
		state = 'T'
	}
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: state})
}

// flush sends the answer, subject to the injected faults.
func (s *session) flush() error {
	f := s.e.faults.get()
	if !sleep(s.ctx, f.AnswerDelay) {
		return s.ctx.Err()
	}
	write := s.ranWrite
	s.ranWrite = false
	if drop, hang := s.e.faults.takeDrop(write); drop {
		s.e.log.Debug().Uint32("pid", s.pid).Msg("faults: dropping an answer")
		if !hang {
			return io.ErrClosedPipe
		}
		// The client sees a silent connection until it closes it.
		for {
			if _, err := s.b.Receive(); err != nil {
				return err
			}
		}
	}
	return s.b.Flush()
}

func (s *session) loop() {
	skip := false
	for {
		msg, err := s.b.Receive()
		if err != nil {
			return
		}
		if skip {
			if _, ok := msg.(*pgproto3.Sync); !ok {
				if _, ok := msg.(*pgproto3.Terminate); ok {
					return
				}
				continue
			}
		}
		switch m := msg.(type) {
		case *pgproto3.Query:
			s.simple(m.String)
			s.ready()
			if s.flush() != nil {
				return
			}
		case *pgproto3.Parse:
			err = s.parse(m)
		case *pgproto3.Bind:
			err = s.bind(m)
		case *pgproto3.Describe:
			err = s.describe(m)
		case *pgproto3.Execute:
			err = s.executePortal(m)
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(s.prepared, m.Name)
			} else {
				delete(s.portals, m.Name)
			}
			s.b.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Flush:
			if s.flush() != nil {
				return
			}
		case *pgproto3.Sync:
			if !skip {
				if err := s.endImplicit(nil); err != nil {
					s.b.Send(toPgError(err).response("ERROR"))
				}
			}
			skip = false
			if !s.block {
				clear(s.portals)
			}
			s.ready()
			if s.flush() != nil {
				return
			}
		case *pgproto3.Terminate:
			return
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		default:
			s.fatal(errorf("08P01", "unexpected message %T", m))
			return
		}
		if err != nil {
			s.endImplicit(err)
			s.b.Send(toPgError(err).response("ERROR"))
			skip = true
			// PostgreSQL sends errors at once: a client that has sent Flush
			// waits for the error before it sends Sync.
			if s.flush() != nil {
				return
			}
		}
	}
}

// endImplicit ends the implicit transaction of a request: it commits, or rolls
// back when the request failed. A failure inside a block fails the block.
func (s *session) endImplicit(failure error) error {
	if s.block {
		if failure != nil {
			s.failed = true
		}
		return nil
	}
	if s.w == nil {
		return nil
	}
	if failure != nil {
		s.w.rollback()
		s.w = nil
		return nil
	}
	return s.commit()
}

func (s *session) commit() error {
	w := s.w
	s.w = nil
	if w == nil {
		return nil
	}
	s.ranWrite = true
	at, err := w.commit(s.term, s.termSet)
	if err != nil {
		return err
	}
	s.wrote = s.wrote.Max(at)
	return nil
}

func (s *session) simple(sql string) {
	sts := splitStatements(sql)
	if len(sts) == 0 {
		s.b.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, ts := range sts {
		st := parseStatement(ts)
		res, tag, err := s.execute(st, nil)
		if err == nil && !s.block && i == len(sts)-1 {
			err = s.endImplicit(nil)
		}
		if err != nil {
			s.endImplicit(err)
			s.b.Send(toPgError(err).response("ERROR"))
			return
		}
		if res != nil && len(res.columns) > 0 {
			var sample []any
			if len(res.rows) > 0 {
				sample = res.rows[0]
			}
			fs := fields(st, res.columns, sample, nil)
			s.b.Send(&pgproto3.RowDescription{Fields: fs})
			for _, row := range res.rows {
				s.sendRow(fs, row, nil)
			}
		}
		s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
}

func (s *session) sendRow(fs []pgproto3.FieldDescription, row []any, formats []int16) error {
	values := make([][]byte, len(row))
	for i, v := range row {
		if formatOf(formats, i) == pgtype.BinaryFormatCode {
			b, err := encodeBinary(s.typeMap(), fs[i].DataTypeOID, v)
			if err != nil {
				return err
			}
			values[i] = b
		} else {
			values[i] = encodeText(fs[i].DataTypeOID, v)
		}
	}
	s.b.Send(&pgproto3.DataRow{Values: values})
	return nil
}

func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgtype.TextFormatCode
}

func (s *session) typeMap() *pgtype.Map {
	if s.types == nil {
		s.types = pgtype.NewMap()
	}
	return s.types
}

func (s *session) parse(m *pgproto3.Parse) error {
	sts := splitStatements(m.Query)
	if len(sts) > 1 {
		return errorf("42601", "cannot insert multiple commands into a prepared statement")
	}
	var ts []token
	if len(sts) == 1 {
		ts = sts[0]
	}
	p := &prepared{st: parseStatement(ts)}
	p.oids = make([]uint32, max(p.st.params, len(m.ParameterOIDs)))
	copy(p.oids, m.ParameterOIDs)
	if m.Name != "" && s.prepared[m.Name] != nil {
		return errorf("42P05", "prepared statement %q already exists", m.Name)
	}
	if s.failed && p.st.class != classCommit && p.st.class != classRollback {
		return errFailedBlock
	}
	if err := s.resolveFields(p); err != nil {
		return err
	}
	s.prepared[m.Name] = p
	s.b.Send(&pgproto3.ParseComplete{})
	return nil
}

var errFailedBlock = errorf("25P02", "current transaction is aborted, commands ignored until end of transaction block")

// resolveFields finds the result columns of a statement that has not run.
func (s *session) resolveFields(p *prepared) error {
	switch p.st.class {
	case classShow, classVH:
		p.fields = fields(p.st, []column{{name: showName(p.st), declType: "TEXT"}}, nil, nil)
		return nil
	case classRead, classWrite:
	default:
		return nil
	}
	if isSelectOne(p.st) {
		p.fields = fields(p.st, selectOne.columns, selectOne.rows[0], nil)
		return nil
	}
	s.e.executing.RLock()
	defer s.e.executing.RUnlock()
	var cols []column
	var sample []any
	look := func(conn *db) error {
		es, err := conn.prepare(p.st.sql(time.Now()))
		if err != nil {
			return err
		}
		cols = es.columns
		untyped := false
		for _, c := range cols {
			untyped = untyped || c.declType == ""
		}
		// A first row with NULL parameters shows the types of expressions.
		if untyped && es.readOnly {
			if r, err := es.run(s.ctx, nil, 1); err == nil && len(r.rows) > 0 {
				sample = r.rows[0]
			}
		}
		return nil
	}
	var err error
	if s.w != nil {
		err = s.w.exclusive(func() error { return look(s.w.conn) })
	} else {
		err = s.withReader(look)
	}
	if err != nil {
		return err
	}
	if len(cols) > 0 {
		p.fields = fields(p.st, cols, sample, p.oids)
	}
	return nil
}

func (s *session) withReader(fn func(*db) error) error {
	d, err := s.e.currentStore().open(s.db)
	if err != nil {
		return err
	}
	r, err := d.borrowReader()
	if err != nil {
		return err
	}
	defer d.returnReader(r)
	return fn(r)
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.prepared[m.PreparedStatement]
	if p == nil {
		return errorf("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.oids) {
		return errorf("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d", len(m.Parameters), m.PreparedStatement, len(p.oids))
	}
	po := &portal{p: p, args: make([]any, len(m.Parameters)), formats: append([]int16(nil), m.ResultFormatCodes...), fields: p.fields}
	for i, raw := range m.Parameters {
		v, err := decodeParam(s.typeMap(), p.oids[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		po.args[i] = v
	}
	s.portals[m.DestinationPortal] = po
	s.b.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var fs []pgproto3.FieldDescription
	if m.ObjectType == 'S' {
		p := s.prepared[m.Name]
		if p == nil {
			return errorf("26000", "prepared statement %q does not exist", m.Name)
		}
		s.b.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		fs = p.fields
	} else {
		po := s.portals[m.Name]
		if po == nil {
			return errorf("34000", "portal %q does not exist", m.Name)
		}
		fs = append(fs, po.fields...)
		for i := range fs {
			fs[i].Format = formatOf(po.formats, i)
		}
	}
	if len(fs) == 0 {
		s.b.Send(&pgproto3.NoData{})
		return nil
	}
	s.b.Send(&pgproto3.RowDescription{Fields: fs})
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	po := s.portals[m.Portal]
	if po == nil {
		return errorf("34000", "portal %q does not exist", m.Portal)
	}
	if po.p.st.class == classEmpty {
		s.b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.tag == "" {
		res, tag, err := s.execute(po.p.st, po.args)
		if err != nil {
			return err
		}
		po.res, po.tag = res, tag
	}
	if po.res != nil && len(po.fields) > 0 {
		limit := len(po.res.rows)
		if m.MaxRows > 0 {
			limit = min(limit, po.sent+int(m.MaxRows))
		}
		for ; po.sent < limit; po.sent++ {
			if err := s.sendRow(po.fields, po.res.rows[po.sent], po.formats); err != nil {
				return err
			}
		}
		if po.sent < len(po.res.rows) {
			s.b.Send(&pgproto3.PortalSuspended{})
			return nil
		}
	}
	s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.tag)})
	return nil
}

// selectOne is answered without the engine, so that the cost of a proxy can
// be measured.
var selectOne = &result{columns: []column{{name: "?column?", declType: "INT"}}, rows: [][]any{{int64(1)}}}

func isSelectOne(st *statement) bool {
	return st.class == classRead && len(st.words) == 2 && st.words[0] == "SELECT" && st.words[1] == "1"
}

// execute runs one statement. The caller ends the implicit transaction.
func (s *session) execute(st *statement, args []any) (*result, string, error) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.mu.Lock()
	s.statement = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.statement = nil
		s.mu.Unlock()
	}()
	res, tag, err := s.dispatch(ctx, st, args)
	if err != nil {
		if perr, ok := context.Cause(ctx).(*pgError); ok {
			err = perr
		}
	}
	return res, tag, err
}

func (s *session) dispatch(ctx context.Context, st *statement, args []any) (*result, string, error) {
	if s.failed {
		switch st.class {
		case classCommit, classRollback:
		case classSavepoint:
			if st.words[0] != "ROLLBACK" {
				return nil, "", errFailedBlock
			}
		default:
			return nil, "", errFailedBlock
		}
	}
	switch st.class {
	case classEmpty:
		return nil, "", nil
	case classVH:
		status, err := s.e.vhCommand(st)
		if err != nil {
			return nil, "", err
		}
		data, err := json.Marshal(status)
		if err != nil {
			return nil, "", err
		}
		return textResult("status", string(data)), "VH", nil
	case classSet:
		return nil, "SET", s.setStatement(st)
	case classShow:
		name := showName(st)
		v, err := s.show(name)
		return textResult(name, v), "SHOW", err
	case classReset:
		return nil, st.tag, s.reset(st)
	case classDeallocate:
		if name := st.words[len(st.words)-1]; name == "ALL" {
			clear(s.prepared)
		} else {
			delete(s.prepared, unquote(lastWord(st)))
		}
		return nil, "DEALLOCATE", nil
	case classListen:
		return nil, st.tag, s.listenStatement(st)
	case classBegin:
		return nil, "BEGIN", s.begin(st)
	case classCommit:
		return s.commitBlock()
	case classRollback:
		if s.w != nil {
			s.w.rollback()
			s.w = nil
		}
		s.block, s.failed = false, false
		return nil, "ROLLBACK", nil
	case classSavepoint:
		return s.savepoint(ctx, st)
	case classRead:
		if st.locking {
			return s.write(ctx, st, args)
		}
		return s.read(ctx, st, args)
	case classWrite:
		return s.write(ctx, st, args)
	}
	e := errorf("0A000", "%s is not supported by the stand-in endpoint", st.words[0])
	return nil, "", e
}

func (s *session) begin(st *statement) error {
	if s.block {
		return nil // PostgreSQL warns and goes on.
	}
	if err := s.endImplicit(nil); err != nil {
		return err
	}
	s.e.mu.Lock()
	perr := s.e.checkTerm(s.term, s.termSet)
	s.e.mu.Unlock()
	if perr != nil {
		return perr
	}
	s.block, s.failed, s.blockReadOnly = true, false, s.readOnly
	text := strings.Join(st.words, " ")
	if strings.Contains(text, "READ ONLY") {
		s.blockReadOnly = true
	}
	if strings.Contains(text, "READ WRITE") {
		s.blockReadOnly = false
	}
	return nil
}

func (s *session) commitBlock() (*result, string, error) {
	failed := s.failed
	s.block, s.failed = false, false
	if failed {
		if s.w != nil {
			s.w.rollback()
			s.w = nil
		}
		return nil, "ROLLBACK", nil
	}
	if err := s.commit(); err != nil {
		return nil, "", err
	}
	return nil, "COMMIT", nil
}

func (s *session) savepoint(ctx context.Context, st *statement) (*result, string, error) {
	if !s.block {
		return nil, "", errorf("25P01", "%s can only be used in transaction blocks", st.words[0])
	}
	if s.blockReadOnly {
		s.failed = false
		return nil, st.tag, nil
	}
	if err := s.ensureWrite(ctx); err != nil {
		return nil, "", err
	}
	if _, err := s.w.run(ctx, st.engine, nil, logSavepoint); err != nil {
		return nil, "", err
	}
	s.failed = false
	return nil, st.tag, nil
}

func (s *session) acquireSlot(ctx context.Context) error {
	select {
	case s.e.slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case s.e.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *session) releaseSlot() { <-s.e.slots }

// occupy spends the service time and a pg_sleep of the statement.
func (s *session) occupy(ctx context.Context, st *statement, args []any) error {
	d := s.e.cfg.ServiceTime
	if st.sleep != "" {
		arg := st.sleep
		if n, err := strconv.Atoi(strings.TrimPrefix(arg, "$")); err == nil && arg[0] == '$' && n >= 1 && n <= len(args) {
			arg = fmt.Sprint(args[n-1])
		}
		sec, err := strconv.ParseFloat(strings.Trim(arg, "'"), 64)
		if err != nil {
			return errorf("22P02", "pg_sleep needs a number of seconds, not %s", st.sleep)
		}
		d += time.Duration(sec * float64(time.Second))
	}
	if !sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

func (s *session) read(ctx context.Context, st *statement, args []any) (*result, string, error) {
	e := s.e
	if err := s.acquireSlot(ctx); err != nil {
		return nil, "", err
	}
	defer s.releaseSlot()
	if err := s.occupy(ctx, st, args); err != nil {
		return nil, "", err
	}
	e.executing.RLock()
	defer e.executing.RUnlock()
	e.mu.Lock()
	perr := e.checkTerm(s.term, s.termSet)
	if perr == nil {
		perr = e.checkReadable()
	}
	primary := e.s.role == fleet.RolePrimary
	e.mu.Unlock()
	if perr != nil {
		return nil, "", perr
	}
	if !strings.Contains(st.text, "vh_outcome") {
		if primary {
			e.primaryReads.Add(1)
		} else {
			e.replicaReads.Add(1)
		}
	}
	if isSelectOne(st) {
		return selectOne, "SELECT 1", nil
	}
	var res *result
	var err error
	if s.w != nil {
		res, err = s.w.run(ctx, st.sql(time.Now()), args, logIfChanged)
	} else {
		err = s.withReader(func(conn *db) error {
			var err error
			res, err = conn.exec(ctx, st.sql(time.Now()), args)
			return err
		})
	}
	if err != nil {
		return nil, "", err
	}
	return res, "SELECT " + strconv.Itoa(len(res.rows)), nil
}

// ensureWrite opens the write transaction of the block or of the request. The
// writer's place is taken before a slot, so that waiting writers do not keep
// the writer's own statements from a slot.
func (s *session) ensureWrite(ctx context.Context) error {
	if s.w != nil {
		return nil
	}
	e := s.e
	e.mu.Lock()
	perr := e.checkTerm(s.term, s.termSet)
	readOnly := s.readOnly && !s.block || s.block && s.blockReadOnly
	if perr == nil && readOnly {
		perr = errorf("25006", "cannot execute a write in a read-only transaction")
	}
	if perr == nil {
		perr = e.checkWritable(s.term, s.termSet)
	}
	e.mu.Unlock()
	if perr != nil {
		return perr
	}
	w, err := e.beginWrite(ctx, s.db, s.term, s.termSet)
	if err != nil {
		return err
	}
	s.w = w
	return nil
}

func (s *session) write(ctx context.Context, st *statement, args []any) (*result, string, error) {
	s.ranWrite = true
	if err := s.ensureWrite(ctx); err != nil {
		return nil, "", err
	}
	if err := s.acquireSlot(ctx); err != nil {
		return nil, "", err
	}
	defer s.releaseSlot()
	if err := s.occupy(ctx, st, args); err != nil {
		return nil, "", err
	}
	rule := logIfChanged
	if _, second, _ := strings.Cut(st.tag, " "); second != "" && st.words[0] != "TRUNCATE" {
		rule = logAlways
	}
	res, err := s.w.run(ctx, st.sql(time.Now()), args, rule)
	if err != nil {
		return nil, "", err
	}
	if !strings.Contains(st.text, "vh_outcome") {
		s.e.writes.Add(1)
	}
	tag := st.tag
	switch {
	case st.tag == "SELECT":
		tag = "SELECT " + strconv.Itoa(len(res.rows))
	case st.tag == "INSERT" || st.tag == "REPLACE":
		tag = "INSERT 0 " + strconv.FormatInt(res.changes, 10)
	case st.tag == "UPDATE" || st.tag == "DELETE":
		tag += " " + strconv.FormatInt(res.changes, 10)
	}
	return res, tag, nil
}

func textResult(name, v string) *result {
	return &result{columns: []column{{name: name, declType: "TEXT"}}, rows: [][]any{{v}}}
}
