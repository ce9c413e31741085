package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/session"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
)

// maxGroup is the number of endpoints of a group whose load is considered.
const maxGroup = 16

// client is the state of one caller's connection. Its goroutine owns
// everything but the fields below mu.
type client struct {
	srv    *Server
	nc     net.Conn
	r      *pgwire.Reader
	w      *pgwire.Writer
	id     uint32
	shard  uint32
	secret uint32

	account  fleet.AccountID
	key      fleet.KeyID
	keyed    bool
	database string
	group    fleet.GroupID
	weight   int
	// view is the view that the account, key and database were checked in.
	view *snapshot.Snapshot

	token           session.Token
	signer          *session.Signer
	signKey         []byte
	floorObservedAt time.Time
	maxAge          time.Duration
	maxAgeSet       bool
	// databaseMaxAge applies while the session has set none.
	databaseMaxAge time.Duration
	// readOnly is default_transaction_read_only.
	readOnly  bool
	timeout   time.Duration
	requestID string
	vars      *pool.Vars

	stmts   map[string]*stmt
	portals map[string]*stmt
	batch   batch
	tx      transaction
	rq      request
	use     pool.Use
	capture capture
	tie     uint32

	ticket        *pool.Ticket
	meters        *accountMetrics
	inFlight      [maxGroup]float64
	sampleCounter uint32

	ctx       context.Context
	cancel    context.CancelFunc
	interrupt chan struct{}
	// moved ends the wait of a request that is queued for an old primary.
	moved chan struct{}

	mu       sync.Mutex
	attached *pool.Conn
	// placed is the endpoint that the request waits for or runs at, and
	// placedTerm the term that it was chosen in.
	placed      fleet.EndpointID
	placedGroup fleet.GroupID
	placedTerm  fleet.Term
	// superseded is set when that endpoint is the primary of a lower term.
	superseded bool
	ending     *outcome.Error
	running    bool
	cancelled  bool
	idleSince  time.Time
	inTx       bool
	// request counts requests, so that a late cancel does not touch the next.
	request uint64
}

func newClient(srv *Server, nc net.Conn) *client {
	c := &client{
		srv: srv, nc: nc,
		r: pgwire.NewReader(nc, pgwire.MaxAuthMessage), w: pgwire.NewWriter(nc),
		stmts: map[string]*stmt{}, portals: map[string]*stmt{},
		interrupt: make(chan struct{}, 1),
		moved:     make(chan struct{}, 1),
		timeout:   srv.opts.StatementTimeout,
	}
	c.w.SetBeforeWrite(func() { _ = c.nc.SetWriteDeadline(time.Now().Add(srv.opts.WriteTimeout)) })
	c.ctx, c.cancel = context.WithCancel(srv.ctx)
	return c
}

// startup negotiates TLS, reads the startup packet, authenticates and reports
// the session's parameters. It reports whether the session is registered.
func (c *client) startup() bool {
	for {
		code, body, err := c.r.Startup()
		if err != nil {
			c.startupFailed(err)
			return false
		}
		switch code {
		case pgwire.CodeSSL:
			if !c.startTLS() {
				return false
			}
		case pgwire.CodeGSSEnc:
			if _, err := c.nc.Write([]byte{'N'}); err != nil {
				return false
			}
		case pgwire.CodeCancel:
			c.srv.handleCancelRequest(body)
			return false
		case pgwire.Protocol30, pgwire.Protocol32:
			return c.open(code, body)
		default:
			c.sendFatalError(outcome.New(outcome.Protocol, outcome.NotRun, "unknown protocol version",
				"use a client of PostgreSQL protocol 3.0"))
			return false
		}
	}
}

func (c *client) startupFailed(err error) {
	if errors.Is(err, pgwire.ErrMalformed) || errors.Is(err, pgwire.ErrTooLarge) {
		c.srv.metrics.malformed.Inc(1)
		c.sendFatalError(errProtocol(err))
	}
}

func errProtocol(err error) *outcome.Error {
	return outcome.Wrap(err, outcome.Protocol, outcome.NotRun, "the message cannot be read",
		"check the client library; messages are limited to 16 MiB")
}

func (c *client) startTLS() bool {
	// Bytes that arrived before the handshake are not protected by it, so they
	// must not be taken as part of the session.
	if c.r.Buffered() {
		c.sendFatalError(outcome.New(outcome.Protocol, outcome.NotRun, "data arrived before the TLS handshake",
			"check what stands between the caller and this instance"))
		return false
	}
	if _, ok := c.nc.(*tls.Conn); ok || c.srv.opts.TLS == nil {
		_, err := c.nc.Write([]byte{'N'})
		return err == nil
	}
	if _, err := c.nc.Write([]byte{'S'}); err != nil {
		return false
	}
	t := tls.Server(c.nc, c.srv.opts.TLS)
	if err := t.HandshakeContext(c.ctx); err != nil {
		c.srv.metrics.malformed.Inc(1)
		return false
	}
	c.nc = t
	c.r.Reset(t)
	c.w.Reset(t)
	return true
}

// open handles the startup packet.
func (c *client) open(code uint32, body []byte) bool {
	params, err := pgwire.StartupParams(body)
	if err != nil {
		c.startupFailed(err)
		return false
	}
	if o, ok := params["options"]; ok {
		delete(params, "options")
		opts, err := pgwire.StartupOptions(o)
		if err != nil {
			c.startupFailed(err)
			return false
		}
		for k, v := range opts {
			params[k] = v
		}
	}
	if _, ok := c.nc.(*tls.Conn); !ok && c.srv.opts.RequireTLS {
		c.sendFatalError(outcome.New(outcome.BadKey, outcome.NotRun, "this port requires TLS", "connect with sslmode=require or stricter"))
		return false
	}
	if c.srv.draining.Load() {
		c.sendFatalError(errShuttingDown(outcome.NotRun))
		return false
	}
	if err := c.authenticate(params); err != nil {
		c.refusal("authentication", err)
		c.sendFatalError(err)
		return false
	}
	if err := c.applyStartup(params); err != nil {
		c.sendFatalError(err)
		return false
	}
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return false
	}
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.idleSince = time.Now()
	if !c.srv.register(c) {
		c.sendFatalError(outcome.New(outcome.Unavailable, outcome.NotRun, "the instance has as many sessions as it may",
			"connect again; the balancer chooses another instance"))
		return false
	}
	if code != pgwire.Protocol30 {
		_ = c.w.Encode(&pgproto3.NegotiateProtocolVersion{})
	}
	_ = c.w.Encode(&pgproto3.AuthenticationOk{})
	for k, v := range c.srv.opts.Parameters {
		c.w.ParameterStatus(k, v)
	}
	if v, ok := params["application_name"]; ok {
		c.w.ParameterStatus("application_name", v)
	}
	_ = c.w.Encode(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: secret[:]})
	c.w.ReadyForQuery('I')
	if err := c.w.Flush(); err != nil {
		c.srv.unregister(c)
		return false
	}
	c.r.SetLimit(pgwire.MaxCallerMessage)
	return true
}

// authenticate checks the caller's key, except on open routes, and then
// whether the account may reach the database.
func (c *client) authenticate(params map[string]string) error {
	v := c.srv.opts.Source.Load()
	user := params["user"]
	c.database = params["database"]
	if c.database == "" {
		c.database = user
	}
	if time.Now().After(v.FreshUntil) {
		return errNotFresh(outcome.NotRun)
	}
	db := v.Databases[c.database]
	if db != nil && db.Open {
		c.account, c.group, c.weight, c.view = AnonymousAccount, db.Group, 1, v
		c.databaseMaxAge = db.MaxAge
		return nil
	}
	a := v.Accounts[fleet.AccountID(user)]
	key, err := c.scram(user, a, fleet.KeyID(params["vh.key_id"]), v)
	if err != nil {
		return err
	}
	// The exchange takes round trips, during which the key can be withdrawn.
	v = c.srv.opts.Source.Load()
	if !auth.KeyValid(v, a.ID, key) {
		return auth.ErrWithdrawn(outcome.NotRun)
	}
	a = v.Accounts[a.ID]
	db = v.Databases[c.database]
	if db == nil || !a.Databases[c.database] {
		return errNotAllowed()
	}
	c.account, c.key, c.keyed = a.ID, key, true
	c.group, c.weight, c.view = db.Group, max(a.Weight, 1), v
	c.databaseMaxAge = db.MaxAge
	return nil
}

func errNotAllowed() *outcome.Error {
	return outcome.New(outcome.NotAllowed, outcome.NotRun, "the account may not reach this database",
		"check the database name, or ask an operator to add it to the account")
}

func (c *client) scram(user string, a *snapshot.Account, id fleet.KeyID, v *snapshot.Snapshot) (fleet.KeyID, error) {
	ex, err := auth.NewExchange(user, a, id, v.Withdrawn)
	if err != nil {
		return "", err
	}
	if err := c.w.Encode(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}}); err != nil {
		return "", err
	}
	body, err := c.saslMessage()
	if err != nil {
		return "", err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil || first.AuthMechanism != auth.Mechanism {
		return "", errProtocol(pgwire.ErrMalformed)
	}
	reply, err := ex.First(string(first.Data))
	if err != nil {
		return "", err
	}
	if err := c.w.Encode(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}); err != nil {
		return "", err
	}
	if body, err = c.saslMessage(); err != nil {
		return "", err
	}
	reply, key, err := ex.Final(string(body), v.Withdrawn)
	if err != nil {
		return "", err
	}
	return key, c.w.Encode(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

// saslMessage sends what is buffered and reads the caller's next step.
func (c *client) saslMessage() ([]byte, error) {
	if err := c.w.Flush(); err != nil {
		return nil, errProtocol(err)
	}
	f, err := c.r.Next()
	if err != nil {
		return nil, errProtocol(err)
	}
	if f.Type() != 'p' {
		return nil, errProtocol(pgwire.ErrMalformed)
	}
	return f.Body(), nil
}

// applyStartup takes the settings of the startup packet.
func (c *client) applyStartup(params map[string]string) error {
	c.token = session.New(c.account)
	c.ticket = pool.NewTicket(c.account, c.weight)
	c.meters = c.srv.metrics.account(c.account, c.database)
	for name, value := range params {
		switch name {
		case "user", "database", "vh.key_id", "replication", "application_name":
			continue
		}
		if strings.HasPrefix(name, "_pq_.") {
			continue
		}
		lower := strings.ToLower(name)
		if known, err := c.setProxyParameter(lower, value, false); err != nil {
			return err
		} else if known {
			continue
		}
		if !isUnquotedName(lower) {
			return errProtocol(pgwire.ErrMalformed)
		}
		if def, ok := c.srv.reportedParameter(lower); ok && equalSettingValues(def, value) {
			continue
		}
		c.vars = c.vars.With(lower, quoteLiteral(value))
	}
	return nil
}

// run reads and serves requests until the session ends.
func (c *client) run() {
	for {
		f, err := c.r.Next()
		if err != nil {
			c.readFailed(err)
			return
		}
		var fatal error
		switch f.Type() {
		case 'Q':
			fatal = c.simpleQuery(f)
		case 'P', 'B', 'D', 'E', 'C':
			fatal = c.batchMessage(f)
		case 'H':
			fatal = c.flushBatch(false)
		case 'S':
			fatal = c.flushBatch(true)
		case 'X':
			return
		case 'd', 'c', 'f':
			// COPY is refused, so these follow a refusal and mean nothing.
		case 'F':
			fatal = c.refuseMessage("function call messages are not supported", "call the function in a SELECT")
		default:
			fatal = errProtocol(pgwire.ErrMalformed)
		}
		if fatal != nil {
			c.fatal(fatal)
			return
		}
	}
}

// fatal ends the session with an error. A failed write to the caller has no
// type, and there is nobody left to tell.
func (c *client) fatal(err error) {
	var e *outcome.Error
	if !errors.As(err, &e) {
		return
	}
	if e.Kind == outcome.Protocol {
		c.srv.metrics.malformed.Inc(1)
	}
	c.abortTransaction()
	if e.Kind == outcome.ShuttingDown {
		c.sendToken()
	}
	c.refusal("session_end", e)
	c.sendFatalError(e)
}

func (c *client) readFailed(err error) {
	c.mu.Lock()
	end := c.ending
	c.mu.Unlock()
	switch {
	case end != nil:
		c.fatal(end)
	case errors.Is(err, pgwire.ErrMalformed) || errors.Is(err, pgwire.ErrTooLarge):
		c.fatal(errProtocol(err))
	case errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded):
	}
}

// cleanup releases what the session holds.
func (c *client) cleanup() {
	c.abortTransaction()
	c.cancel()
}

// begin marks a request as running. It fails when the session is to end.
func (c *client) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.cancelled = true, false
	c.request++
	select {
	case <-c.interrupt:
	default:
	}
	if c.ending != nil {
		return c.ending
	}
	return nil
}

// finish marks a request as answered. It returns the reason to end, if any.
func (c *client) finish() error {
	idleOnly := c.srv.draining.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	c.inTx = c.tx.open()
	c.idleSince = time.Now()
	if c.ending != nil {
		return c.ending
	}
	if idleOnly && !c.inTx {
		return errShuttingDown(outcome.NotRun)
	}
	return nil
}

// attach makes a server connection visible to end and cancelRequest. It
// reports false when one of them came while there was none.
func (c *client) attach(sc *pool.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attached = sc
	if c.superseded {
		sc.Supersede(past)
	}
	return !c.cancelled && c.ending == nil
}

// enqueue notes the endpoint that the request is about to wait for. It reports
// false when the view has a higher term by now.
func (c *client) enqueue(id fleet.EndpointID, t fleet.Term) bool {
	c.mu.Lock()
	c.placed, c.placedGroup, c.placedTerm, c.superseded = id, c.group, t, false
	select {
	case <-c.moved:
	default:
	}
	c.mu.Unlock()
	// A view published before the lines above may have been swept already.
	g := c.srv.opts.Source.Load().Groups[c.group]
	return g == nil || g.Term <= t || g.Primary == ""
}

// supersede ends what waits for or runs at the old primary of a group.
func (c *client) supersede(group fleet.GroupID, old fleet.EndpointID, t fleet.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placedGroup != group || c.placed != old || c.placedTerm >= t {
		return
	}
	c.superseded = true
	if c.attached != nil {
		c.attached.Supersede(time.Now().Add(supersedeGrace))
		return
	}
	select {
	case c.moved <- struct{}{}:
	default:
	}
}

// detach must be called before the connection is released, so that no
// deadline of this session reaches the next one.
func (c *client) detach() {
	c.mu.Lock()
	c.attached, c.placed = nil, ""
	c.mu.Unlock()
}

// setReadDeadline bounds the reads of a server connection. A session that is
// to end gets a deadline in the past.
func (c *client) setReadDeadline(sc *pool.Conn, t time.Time) {
	c.mu.Lock()
	if c.ending != nil {
		t = past
	}
	sc.SetReadDeadline(t)
	c.mu.Unlock()
}

var past = time.Unix(1, 0)

// end ends the session now: a running request gets a truthful outcome.
func (c *client) end(reason *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(reason)
}

func (c *client) endLocked(reason *outcome.Error) {
	if c.ending != nil {
		return
	}
	c.ending = reason
	_ = c.nc.SetReadDeadline(past)
	if c.attached != nil {
		c.attached.Taint()
		c.attached.SetReadDeadline(past)
	}
	c.cancel()
}

// endIfIdle ends the session unless a request or a transaction is open.
func (c *client) endIfIdle(reason *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running && !c.inTx {
		c.endLocked(reason)
	}
}

func (c *client) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running || c.inTx
}

// revalidate ends the session when it may no longer run.
func (c *client) revalidate(v *snapshot.Snapshot, now time.Time) {
	// Open routes, too, use fleet slots, which may have another owner by then.
	if now.After(v.FreshUntil) {
		c.end(errNotFresh(outcome.NotRun))
		return
	}
	if c.keyed {
		if !auth.KeyValid(v, c.account, c.key) {
			var e *outcome.Error
			if errors.As(auth.ErrWithdrawn(outcome.NotRun), &e) {
				c.end(e)
			}
			return
		}
	}
	if c.srv.draining.Load() {
		c.endIfIdle(errShuttingDown(outcome.NotRun))
	}
	o := &c.srv.opts
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		return
	}
	idle := now.Sub(c.idleSince)
	switch {
	case c.inTx && idle > o.IdleInTransactionTimeout:
		c.endLocked(outcome.New(outcome.ShuttingDown, outcome.NotRun,
			"the transaction was idle for too long and has been rolled back", "repeat the transaction without pauses"))
	case !c.inTx && o.IdleTimeout > 0 && idle > o.IdleTimeout:
		c.endLocked(outcome.New(outcome.ShuttingDown, outcome.NotRun, "the session was idle for too long", "connect again"))
	}
}

// allowed checks, before a request, what the sweep checks between requests.
func (c *client) allowed(now time.Time) error {
	v := c.srv.opts.Source.Load()
	if now.After(v.FreshUntil) {
		return errNotFresh(outcome.NotRun)
	}
	if v == c.view {
		return nil
	}
	db := v.Databases[c.database]
	if db == nil {
		return errNotAllowed()
	}
	if c.keyed {
		if !auth.KeyValid(v, c.account, c.key) {
			return auth.ErrWithdrawn(outcome.NotRun)
		}
		a := v.Accounts[c.account]
		if !a.Databases[c.database] {
			return errNotAllowed()
		}
		if w := max(a.Weight, 1); w != c.weight {
			c.weight = w
			c.ticket.SetWeight(w)
		}
	} else if !db.Open {
		// The route needs a key now, and this session has shown none.
		return errNotAllowed()
	}
	c.group, c.view, c.databaseMaxAge = db.Group, v, db.MaxAge
	return nil
}

// cancelRequest cancels the running request, if any.
func (c *client) cancelRequest() {
	c.mu.Lock()
	if !c.running || c.cancelled {
		c.mu.Unlock()
		return
	}
	c.cancelled = true
	select {
	case c.interrupt <- struct{}{}:
	default:
	}
	sc, n := c.attached, c.request
	if sc != nil {
		// The cancel could reach the endpoint after this request has ended and
		// would then hit the next one on the connection.
		sc.Taint()
	}
	c.mu.Unlock()
	if sc != nil {
		c.cancelAt(sc, n)
	}
}

// cancelGrace is how long the endpoint has to act on a cancel request.
const cancelGrace = time.Second

// cancelAt asks the endpoint to cancel request n and bounds the wait for its
// answer.
func (c *client) cancelAt(sc *pool.Conn, n uint64) {
	ctx, cancel := context.WithTimeout(c.srv.ctx, cancelGrace)
	defer cancel()
	if err := sc.Cancel(ctx); err != nil {
		c.srv.opts.Logger.Warn().Err(err).Msg("front: cancel request failed")
	}
	c.mu.Lock()
	if c.attached == sc && c.request == n {
		sc.SetReadDeadline(time.Now().Add(cancelGrace))
	}
	c.mu.Unlock()
}

// refusal records a typed error.
func (c *client) refusal(rule string, err error) {
	var e *outcome.Error
	if !errors.As(err, &e) {
		return
	}
	c.srv.metrics.refused(e.Kind)
	c.srv.recordDecision(c, decision.Refusal, rule, e.Outcome.String()+": "+e.Message,
		decision.Input{Name: "kind", Value: string(e.Kind)}, decision.Input{Name: "database", Value: c.database})
}
