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

// maxGroupEndpoints is the number of endpoints of a group whose load is
// considered for routing.
const maxGroupEndpoints = 16

// client is the state of one client connection and its session. The goroutine
// of the connection owns all fields except those below mu.
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
	hasKey   bool
	database string
	group    fleet.GroupID
	weight   int
	// snapshot is the one that the account, key and database were last checked
	// against.
	snapshot *snapshot.Snapshot

	token           session.Token
	signer          *session.Signer
	signKey         []byte
	floorObservedAt time.Time
	maxAge          time.Duration
	maxAgeSet       bool
	// databaseMaxAge applies unless the session has set vh.max_age.
	databaseMaxAge time.Duration
	// readOnly is the session's default_transaction_read_only.
	readOnly  bool
	timeout   time.Duration
	requestID string
	vars      *pool.SessionParams

	stmts      map[string]*stmt
	portals    map[string]*stmt
	batch      batch
	tx         transaction
	rq         request
	use        pool.AcquireOptions
	capture    capture
	tieBreaker uint32

	ticket        *pool.Ticket
	meters        *accountMetrics
	inFlight      [maxGroupEndpoints]float64
	sampleCounter uint32

	ctx       context.Context
	cancel    context.CancelFunc
	interrupt chan struct{}
	// primaryMoved ends the wait of a request that is queued for an old primary.
	primaryMoved chan struct{}

	mu sync.Mutex
	// attached is the server connection that the request runs on.
	attached *pool.Conn
	// placed is the endpoint that the request waits for or runs at, and
	// placedTerm the term in which that endpoint was chosen.
	placed      fleet.EndpointID
	placedGroup fleet.GroupID
	placedTerm  fleet.Term
	// superseded is set when placed is the primary of a lower term.
	superseded bool
	// endErr is why the session is to end, or nil.
	endErr    *outcome.Error
	running   bool
	cancelled bool
	idleSince time.Time
	inTx      bool
	// requestSeq counts requests, so that a late cancel does not affect the next
	// one.
	requestSeq uint64
}

func newClient(srv *Server, nc net.Conn) *client {
	c := &client{
		srv: srv, nc: nc,
		r: pgwire.NewReader(nc, pgwire.MaxAuthMessage), w: pgwire.NewWriter(nc),
		stmts: map[string]*stmt{}, portals: map[string]*stmt{},
		interrupt:    make(chan struct{}, 1),
		primaryMoved: make(chan struct{}, 1),
		timeout:      srv.opts.StatementTimeout,
	}
	c.w.SetBeforeWrite(func() { _ = c.nc.SetWriteDeadline(time.Now().Add(srv.opts.WriteTimeout)) })
	c.ctx, c.cancel = context.WithCancel(srv.ctx)
	return c
}

// startup negotiates TLS, reads the startup packet, authenticates the client
// and sends the session's parameters. It returns true when the session is
// registered.
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
			return c.openSession(code, body)
		default:
			c.sendFatalError(outcome.New(outcome.Protocol, outcome.NotRun, "unknown protocol version",
				"use a client of PostgreSQL protocol 3.0"))
			return false
		}
	}
}

// startupFailed sends an error if the startup packet was malformed or too
// large.
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

// startTLS answers an SSLRequest and runs the TLS handshake if TLS is
// configured. It returns false when the connection has to be closed.
func (c *client) startTLS() bool {
	// Bytes that arrived before the handshake are not protected by TLS, so they
	// must not be read as part of the session.
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

// openSession handles the startup packet.
func (c *client) openSession(code uint32, body []byte) bool {
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
		c.recordRefusal("authentication", err)
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

// authenticate checks the client's key, except on open routes, and then whether
// the account may access the database.
func (c *client) authenticate(params map[string]string) error {
	snap := c.srv.opts.Source.Load()
	user := params["user"]
	c.database = params["database"]
	if c.database == "" {
		c.database = user
	}
	if time.Now().After(snap.FreshUntil) {
		return errNotFresh(outcome.NotRun)
	}
	db := snap.Databases[c.database]
	if db != nil && db.Open {
		c.account, c.group, c.weight, c.snapshot = AnonymousAccount, db.Group, 1, snap
		c.databaseMaxAge = db.MaxAge
		return nil
	}
	a := snap.Accounts[fleet.AccountID(user)]
	key, err := c.authenticateSCRAM(user, a, fleet.KeyID(params["vh.key_id"]), snap)
	if err != nil {
		return err
	}
	// The key can be withdrawn during the round trips of the SCRAM exchange, so
	// check it against the latest snapshot.
	snap = c.srv.opts.Source.Load()
	if !auth.KeyValid(snap, a.ID, key) {
		return auth.KeyWithdrawnError(outcome.NotRun)
	}
	a = snap.Accounts[a.ID]
	db = snap.Databases[c.database]
	if db == nil || !a.Databases[c.database] {
		return errNotAllowed()
	}
	c.account, c.key, c.hasKey = a.ID, key, true
	c.group, c.weight, c.snapshot = db.Group, max(a.Weight, 1), snap
	c.databaseMaxAge = db.MaxAge
	return nil
}

func errNotAllowed() *outcome.Error {
	return outcome.New(outcome.NotAllowed, outcome.NotRun, "the account may not reach this database",
		"check the database name, or ask an operator to add it to the account")
}

// authenticateSCRAM runs the SCRAM exchange and returns the id of the key that
// the client proved.
func (c *client) authenticateSCRAM(user string, a *snapshot.Account, id fleet.KeyID, snap *snapshot.Snapshot) (fleet.KeyID, error) {
	ex, err := auth.NewServerExchange(user, a, id, snap.Withdrawn)
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
	reply, err := ex.HandleClientFirst(string(first.Data))
	if err != nil {
		return "", err
	}
	if err := c.w.Encode(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}); err != nil {
		return "", err
	}
	if body, err = c.saslMessage(); err != nil {
		return "", err
	}
	reply, key, err := ex.HandleClientFinal(string(body), snap.Withdrawn)
	if err != nil {
		return "", err
	}
	return key, c.w.Encode(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

// saslMessage flushes the output and reads the client's next SASL message.
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

// applyStartup applies the parameters of the startup packet to the session.
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

// run reads and handles messages until the session ends.
func (c *client) run() {
	for {
		f, err := c.r.Next()
		if err != nil {
			c.handleReadError(err)
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
			// COPY is refused, so COPY messages can only follow that refusal and are
		// ignored.
		case 'F':
			fatal = c.refuseMessage("function call messages are not supported", "call the function in a SELECT")
		default:
			fatal = errProtocol(pgwire.ErrMalformed)
		}
		if fatal != nil {
			c.endWithError(fatal)
			return
		}
	}
}

// endWithError ends the session and sends a typed error to the client. An
// untyped error is a failed write to the client, which can no longer receive
// anything.
func (c *client) endWithError(err error) {
	var e *outcome.Error
	if !errors.As(err, &e) {
		return
	}
	if e.Kind == outcome.Protocol {
		c.srv.metrics.malformed.Inc(1)
	}
	c.abortTransaction()
	if e.Kind == outcome.ShuttingDown {
		c.sendSessionToken()
	}
	c.recordRefusal("session_end", e)
	c.sendFatalError(e)
}

// handleReadError ends the session after a failed read: with endErr when the
// session was ended by another goroutine, and with a protocol error when the
// message was malformed or too large.
func (c *client) handleReadError(err error) {
	c.mu.Lock()
	end := c.endErr
	c.mu.Unlock()
	switch {
	case end != nil:
		c.endWithError(end)
	case errors.Is(err, pgwire.ErrMalformed) || errors.Is(err, pgwire.ErrTooLarge):
		c.endWithError(errProtocol(err))
	case errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded):
	}
}

// cleanup releases the session's server connection and context.
func (c *client) cleanup() {
	c.abortTransaction()
	c.cancel()
}

// beginRequest marks a request as running. It returns an error when the session
// is to end.
func (c *client) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.cancelled = true, false
	c.requestSeq++
	select {
	case <-c.interrupt:
	default:
	}
	if c.endErr != nil {
		return c.endErr
	}
	return nil
}

// endRequest marks the request as finished. It returns an error when the
// session is to end.
func (c *client) endRequest() error {
	draining := c.srv.draining.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	c.inTx = c.tx.open()
	c.idleSince = time.Now()
	if c.endErr != nil {
		return c.endErr
	}
	if draining && !c.inTx {
		return errShuttingDown(outcome.NotRun)
	}
	return nil
}

// attach makes a server connection visible to end and cancelRequest. It returns
// false when one of them was called before.
func (c *client) attach(sc *pool.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attached = sc
	if c.superseded {
		sc.Supersede(pastDeadline)
	}
	return !c.cancelled && c.endErr == nil
}

// trackPlacement records the endpoint that the request is about to wait for, so
// that supersede finds the request. It returns false when the current snapshot
// already has a primary of a higher term.
func (c *client) trackPlacement(id fleet.EndpointID, t fleet.Term) bool {
	c.mu.Lock()
	c.placed, c.placedGroup, c.placedTerm, c.superseded = id, c.group, t, false
	select {
	case <-c.primaryMoved:
	default:
	}
	c.mu.Unlock()
	// supersede may already have been called for a snapshot that was published
	// before the lines above.
	g := c.srv.opts.Source.Load().Groups[c.group]
	return g == nil || g.Term <= t || g.Primary == ""
}

// supersede ends the request if it waits for or runs at the old primary of the
// group: t is the term of the new primary.
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
	case c.primaryMoved <- struct{}{}:
	default:
	}
}

// detach hides the server connection from other goroutines. It must be called
// before the connection is released, so that a deadline set for this session
// does not affect the next one.
func (c *client) detach() {
	c.mu.Lock()
	c.attached, c.placed = nil, ""
	c.mu.Unlock()
}

// setReadDeadline sets the read deadline of a server connection, or one in the
// past when the session is to end.
func (c *client) setReadDeadline(sc *pool.Conn, t time.Time) {
	c.mu.Lock()
	if c.endErr != nil {
		t = pastDeadline
	}
	sc.SetReadDeadline(t)
	c.mu.Unlock()
}

// pastDeadline makes pending reads fail at once.
var pastDeadline = time.Unix(1, 0)

// end ends the session now. A running request is interrupted and fails with the
// outcome that is known for it.
func (c *client) end(reason *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(reason)
}

// endLocked is end for callers that hold mu.
func (c *client) endLocked(reason *outcome.Error) {
	if c.endErr != nil {
		return
	}
	c.endErr = reason
	_ = c.nc.SetReadDeadline(pastDeadline)
	if c.attached != nil {
		c.attached.MarkUnusable()
		c.attached.SetReadDeadline(pastDeadline)
	}
	c.cancel()
}

// endIfIdle ends the session unless a request is running or a transaction is
// open.
func (c *client) endIfIdle(reason *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running && !c.inTx {
		c.endLocked(reason)
	}
}

// hasRequestOrTransaction reports whether a request is running or a transaction is open.
func (c *client) hasRequestOrTransaction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running || c.inTx
}

// revalidate ends the session when the snapshot no longer allows it, the
// instance is draining, or an idle timeout has passed.
func (c *client) revalidate(snap *snapshot.Snapshot, now time.Time) {
	// This holds for open routes too: they use fleet slots, which may belong to
	// another instance once the snapshot is no longer fresh.
	if now.After(snap.FreshUntil) {
		c.end(errNotFresh(outcome.NotRun))
		return
	}
	if c.hasKey {
		if !auth.KeyValid(snap, c.account, c.key) {
			var e *outcome.Error
			if errors.As(auth.KeyWithdrawnError(outcome.NotRun), &e) {
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

// authorize checks before a request what revalidate checks between requests:
// that the snapshot is fresh and the session may still access the database. It
// also takes over changed settings of the account and database.
func (c *client) authorize(now time.Time) error {
	snap := c.srv.opts.Source.Load()
	if now.After(snap.FreshUntil) {
		return errNotFresh(outcome.NotRun)
	}
	if snap == c.snapshot {
		return nil
	}
	db := snap.Databases[c.database]
	if db == nil {
		return errNotAllowed()
	}
	if c.hasKey {
		if !auth.KeyValid(snap, c.account, c.key) {
			return auth.KeyWithdrawnError(outcome.NotRun)
		}
		a := snap.Accounts[c.account]
		if !a.Databases[c.database] {
			return errNotAllowed()
		}
		if w := max(a.Weight, 1); w != c.weight {
			c.weight = w
			c.ticket.SetWeight(w)
		}
	} else if !db.Open {
		// The database now requires a key, and this session has not presented one.
		return errNotAllowed()
	}
	c.group, c.snapshot, c.databaseMaxAge = db.Group, snap, db.MaxAge
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
	sc, n := c.attached, c.requestSeq
	if sc != nil {
		// The cancel could reach the endpoint after this request has ended and
		// would then cancel the next one on the connection, so the connection must
		// not be reused.
		sc.MarkUnusable()
	}
	c.mu.Unlock()
	if sc != nil {
		c.cancelAtEndpoint(sc, n)
	}
}

// cancelGrace is how long to wait for the endpoint to act on a cancel request.
const cancelGrace = time.Second

// cancelAtEndpoint asks the endpoint to cancel request n and bounds the wait for
// its response.
func (c *client) cancelAtEndpoint(sc *pool.Conn, n uint64) {
	ctx, cancel := context.WithTimeout(c.srv.ctx, cancelGrace)
	defer cancel()
	if err := sc.Cancel(ctx); err != nil {
		c.srv.opts.Logger.Warn().Err(err).Msg("front: cancel request failed")
	}
	c.mu.Lock()
	if c.attached == sc && c.requestSeq == n {
		sc.SetReadDeadline(time.Now().Add(cancelGrace))
	}
	c.mu.Unlock()
}

// recordRefusal counts a typed error and adds it to the decision log.
func (c *client) recordRefusal(rule string, err error) {
	var e *outcome.Error
	if !errors.As(err, &e) {
		return
	}
	c.srv.metrics.refused(e.Kind)
	c.srv.recordDecision(c, decision.Refusal, rule, e.Outcome.String()+": "+e.Message,
		decision.Input{Name: "kind", Value: string(e.Kind)}, decision.Input{Name: "database", Value: c.database})
}
