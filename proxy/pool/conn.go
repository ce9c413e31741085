// Package pool manages the instance's server connections to endpoints. It keeps
// the number of connections to each endpoint within the instance's share and
// queues requests for the endpoint's slots.
package pool

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
	"github.com/vanillahinge/vanillahinge/proxy/pgwire"
)

// maxPreparedStatements limits the statements that are prepared on one server
// connection. The least recently used one is closed to make room for another.
const maxPreparedStatements = 256

// Key identifies the requests that can share a server connection: those for
// the same database with the same access mode.
type Key struct {
	Database string
	ReadOnly bool
}

// Conn is a server connection. Only one goroutine may use it at a time, except
// for Supersede and Superseded.
type Conn struct {
	Key
	R *pgwire.Reader
	W *pgwire.Writer

	netConn      net.Conn
	endpoint     *Endpoint
	term         fleet.Term
	logPosition  fleet.LogPosition
	backendPID   uint32
	cancelKey    []byte
	serverParams map[string]string
	// prepared maps the name of a prepared statement to the value of useCount
	// at its last use.
	prepared  map[string]uint64
	useCount  uint64
	unnamed   any
	idleSince time.Time
	// sessionParams are the session parameters set on this connection.
	sessionParams *SessionParams
	// responsePending is set before the first byte of a request is sent and
	// cleared by the ReadyForQuery that ends its response. A connection that is
	// released while it is set is closed, not reused.
	responsePending bool
	unusable        bool
	txStatus        byte

	// deadlineMu guards supersedeDeadline, which another goroutine may set.
	deadlineMu sync.Mutex
	// supersedeDeadline is zero until Supersede is called.
	supersedeDeadline time.Time
}

// Term returns the term that the connection presents to the endpoint.
func (c *Conn) Term() fleet.Term { return c.term }

// LogPosition returns the highest log position that the endpoint has reported
// on this connection. It is zero on a connection to a replica.
func (c *Conn) LogPosition() fleet.LogPosition { return c.logPosition }

// Endpoint returns the endpoint's identifier.
func (c *Conn) Endpoint() fleet.EndpointID { return c.endpoint.id }

// ServerParams returns the parameters that the endpoint reported at startup.
func (c *Conn) ServerParams() map[string]string { return c.serverParams }

// TxStatus returns the status byte of the last ReadyForQuery.
func (c *Conn) TxStatus() byte { return c.txStatus }

// InTransaction reports whether a transaction was open after the last response.
func (c *Conn) InTransaction() bool { return c.txStatus != 'I' }

// SetReadDeadline sets the deadline of the next reads. On a superseded
// connection the deadline cannot be later than the one given to Supersede.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.supersedeDeadline.IsZero() && (t.IsZero() || t.After(c.supersedeDeadline)) {
		t = c.supersedeDeadline
	}
	_ = c.netConn.SetReadDeadline(t)
}

// Supersede marks the connection as one to a former primary: all reads and
// writes end at t, further requests fail with ErrSuperseded, and Release closes
// the connection. It may be called while another goroutine uses the connection,
// but not after that goroutine has released it.
func (c *Conn) Supersede(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.supersedeDeadline.IsZero() {
		c.supersedeDeadline = t
		_ = c.netConn.SetDeadline(t)
	}
}

// Superseded reports whether Supersede has been called.
func (c *Conn) Superseded() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.supersedeDeadline.IsZero()
}

// MarkUnusable makes Release close the connection.
func (c *Conn) MarkUnusable() { c.unusable = true }

// errUnsolicitedBytes reports bytes that arrived while no request was pending.
// They may be the late response to an earlier request, so the connection is
// closed.
var errUnsolicitedBytes = errors.New("the endpoint sent data while no request was pending")

// ErrSuperseded is the error of a request on a connection to the primary of a
// lower term than the instance knows. BeginRequest returns it before any byte
// is sent.
var ErrSuperseded = errors.New("the group has a new primary")

// BeginRequest marks the start of a request. The connection cannot be reused
// until EndRequest is called. BeginRequest fails if the connection has been
// superseded or has received bytes that belong to no request.
func (c *Conn) BeginRequest() error {
	if c.Superseded() {
		return ErrSuperseded
	}
	if c.R.Buffered() {
		c.unusable = true
		return errUnsolicitedBytes
	}
	c.responsePending = true
	return nil
}

// EndRequest marks the response as complete and records the transaction status
// of its ReadyForQuery.
func (c *Conn) EndRequest(txStatus byte) { c.responsePending, c.txStatus = false, txStatus }

// ObserveParameter processes the body of a ParameterStatus message. It reports
// whether the parameter is internal to the proxy (prefix "vh.") and must not be
// forwarded to the caller.
func (c *Conn) ObserveParameter(body []byte) (private bool) {
	name, rest, ok := pgwire.CString(body)
	if !ok || len(name) < 3 || string(name[:3]) != "vh." {
		return false
	}
	if string(name) == "vh.log_position" {
		if value, _, ok := pgwire.CString(rest); ok {
			if f, err := ParseLogPosition(string(value)); err == nil {
				c.logPosition = c.logPosition.Max(f)
			}
		}
	}
	return true
}

// ParseLogPosition parses a log position of the form <term>/<position>.
func ParseLogPosition(s string) (fleet.LogPosition, error) {
	t, p, ok := strings.Cut(s, "/")
	if !ok {
		return fleet.LogPosition{}, fmt.Errorf("log position %q is not <term>/<position>", s)
	}
	term, err1 := strconv.ParseUint(t, 10, 64)
	pos, err2 := strconv.ParseUint(p, 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		return fleet.LogPosition{}, fmt.Errorf("parse log position: %w", err)
	}
	return fleet.LogPosition{Term: fleet.Term(term), Position: fleet.Position(pos)}, nil
}

// Prepared reports whether a statement is prepared on the connection, and
// counts as a use of it.
func (c *Conn) Prepared(name string) bool {
	_, ok := c.prepared[name]
	if ok {
		c.useCount++
		c.prepared[name] = c.useCount
	}
	return ok
}

// AddPrepared records a statement that the endpoint has prepared.
func (c *Conn) AddPrepared(name string) {
	c.useCount++
	c.prepared[name] = c.useCount
}

// RemovePrepared removes the record of a prepared statement.
func (c *Conn) RemovePrepared(name string) { delete(c.prepared, name) }

// Unnamed returns the value given to the last call of SetUnnamed.
func (c *Conn) Unnamed() any { return c.unnamed }

// SetUnnamed records what the unnamed prepared statement currently stands for.
func (c *Conn) SetUnnamed(v any) { c.unnamed = v }

// LeastRecentlyUsedPrepared returns the least recently used prepared statement
// if the connection has reached maxPreparedStatements, and "" otherwise.
func (c *Conn) LeastRecentlyUsedPrepared() string {
	if len(c.prepared) < maxPreparedStatements {
		return ""
	}
	oldest, at := "", ^uint64(0)
	for n, u := range c.prepared {
		if u < at {
			oldest, at = n, u
		}
	}
	return oldest
}

// SessionParams returns the session parameters that are set on the connection.
func (c *Conn) SessionParams() *SessionParams { return c.sessionParams }

// SetSessionParams records the session parameters that are set on the connection.
func (c *Conn) SetSessionParams(v *SessionParams) { c.sessionParams = v }

// Exec runs a simple query on behalf of the instance itself and calls row for
// each DataRow. It returns the last command tag. The deadline applies to the
// whole response. An ErrorResponse is returned as *ServerError, and the
// connection stays usable.
func (c *Conn) Exec(sql string, deadline time.Time, row func(*pgproto3.DataRow)) (tag string, err error) {
	c.W.Query(sql)
	return c.flushAndReadResponse(deadline, row)
}

// flushAndReadResponse sends the buffered messages and reads the response up to
// ReadyForQuery.
func (c *Conn) flushAndReadResponse(deadline time.Time, row func(*pgproto3.DataRow)) (tag string, err error) {
	if err := c.BeginRequest(); err != nil {
		return "", err
	}
	c.SetReadDeadline(deadline)
	if err := c.W.Flush(); err != nil {
		return "", fmt.Errorf("send to endpoint %s: %w", c.endpoint.id, err)
	}
	var failed error
	var dr pgproto3.DataRow
	for {
		f, err := c.R.Next()
		if err != nil {
			return "", fmt.Errorf("receive from endpoint %s: %w", c.endpoint.id, err)
		}
		switch f.Type() {
		case 'D':
			if row != nil {
				if err := dr.Decode(f.Body()); err != nil {
					return "", fmt.Errorf("decode row from endpoint %s: %w", c.endpoint.id, err)
				}
				row(&dr)
			}
		case 'C':
			t, _, _ := pgwire.CString(f.Body())
			tag = string(t)
		case 'S':
			c.ObserveParameter(f.Body())
		case 'E':
			if failed == nil {
				failed = NewServerError(f)
			}
		case 'Z':
			if len(f.Body()) != 1 {
				return "", fmt.Errorf("receive from endpoint %s: %w", c.endpoint.id, pgwire.ErrMalformed)
			}
			c.EndRequest(f.Body()[0])
			return tag, failed
		}
	}
}

// ServerError is an ErrorResponse of an endpoint.
type ServerError struct {
	// Frame is the complete message, ready to be forwarded unchanged.
	Frame pgwire.Frame
	// Code is the SQLSTATE.
	Code string
}

// NewServerError returns a ServerError with a copy of an ErrorResponse frame.
func NewServerError(f pgwire.Frame) *ServerError {
	c := append(pgwire.Frame(nil), f...)
	return &ServerError{Frame: c, Code: pgwire.ErrorField(c.Body(), 'C')}
}

// Error returns the SQLSTATE and message.
func (e *ServerError) Error() string {
	return "endpoint: " + e.Code + " " + pgwire.ErrorField(e.Frame.Body(), 'M')
}

// DialFunc opens a network connection to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// connect opens a connection, authenticates with the system's endpoint
// credentials and waits for the first ReadyForQuery.
func (e *Endpoint) connect(ctx context.Context, k Key, term fleet.Term) (c *Conn, err error) {
	o := e.pool.opts
	ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
	defer cancel()
	nc, err := o.Dial(ctx, e.addr)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.Unavailable, outcome.NotRun,
			"the endpoint cannot be reached", "repeat the request; it has not run")
	}
	defer func() {
		if err != nil {
			_ = nc.Close()
		}
	}()
	if d, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(d)
	}
	// Abort the startup as well if ctx is cancelled before its deadline.
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c = &Conn{
		Key: k, netConn: nc, endpoint: e, term: term, txStatus: 'I',
		R: pgwire.NewReader(nc, pgwire.MaxServerMessage), W: pgwire.NewWriter(nc),
		serverParams: map[string]string{}, prepared: map[string]uint64{},
	}
	params := map[string]string{
		"user":             o.Credentials.User(),
		"database":         k.Database,
		"application_name": "vanillahinge/" + string(o.Instance),
		"vh.term":          strconv.FormatUint(uint64(term), 10),
	}
	if k.ReadOnly {
		params["default_transaction_read_only"] = "on"
	}
	if err := c.W.Encode(&pgproto3.StartupMessage{ProtocolVersion: pgwire.Protocol30, Parameters: params}); err != nil {
		return nil, fmt.Errorf("encode startup message for endpoint %s: %w", e.id, err)
	}
	if err := c.handshake(o.Credentials); err != nil {
		return nil, classifyConnectError(err)
	}
	if !stop() {
		return nil, classifyConnectError(context.Cause(ctx))
	}
	_ = nc.SetDeadline(time.Time{})
	return c, nil
}

// classifyConnectError converts an error from connection setup to a typed one.
// No part of the request has been sent, so the outcome is always NotRun.
func classifyConnectError(err error) error {
	var se *ServerError
	if errors.As(err, &se) && se.Code == "VH001" {
		return outcome.Wrap(err, outcome.StaleTerm, outcome.NotRun,
			"the endpoint has another term", "repeat the request; it has not run")
	}
	return outcome.Wrap(err, outcome.Unavailable, outcome.NotRun,
		"no connection to the endpoint could be opened", "repeat the request; it has not run")
}

// handshake sends the startup message and reads up to the first ReadyForQuery.
func (c *Conn) handshake(creds *auth.Credentials) error {
	if err := c.W.Flush(); err != nil {
		return fmt.Errorf("send startup message: %w", err)
	}
	var ex *auth.ClientExchange
	for {
		f, err := c.R.Next()
		if err != nil {
			return fmt.Errorf("receive startup response: %w", err)
		}
		switch f.Type() {
		case 'R':
			if err := c.handleAuthentication(creds, &ex, f.Body()); err != nil {
				return err
			}
		case 'S':
			if c.ObserveParameter(f.Body()) {
				continue
			}
			name, rest, _ := pgwire.CString(f.Body())
			value, _, _ := pgwire.CString(rest)
			c.serverParams[string(name)] = string(value)
		case 'K':
			if len(f.Body()) >= 8 {
				c.backendPID = binary.BigEndian.Uint32(f.Body())
				c.cancelKey = append([]byte(nil), f.Body()[4:]...)
			}
		case 'E':
			return NewServerError(f)
		case 'Z':
			if c.R.Buffered() {
				return errUnsolicitedBytes
			}
			return nil
		}
	}
}

// handleAuthentication replies to the body of one Authentication message.
func (c *Conn) handleAuthentication(creds *auth.Credentials, ex **auth.ClientExchange, body []byte) error {
	if len(body) < 4 {
		return pgwire.ErrMalformed
	}
	var reply pgwire.Encoder
	switch code := binary.BigEndian.Uint32(body); code {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeSASL:
		e, first, err := creds.Start()
		if err != nil {
			return err
		}
		*ex = e
		reply = &pgproto3.SASLInitialResponse{AuthMechanism: auth.Mechanism, Data: []byte(first)}
	case pgproto3.AuthTypeSASLContinue, pgproto3.AuthTypeSASLFinal:
		if *ex == nil {
			return pgwire.ErrMalformed
		}
		msg, err := (*ex).Step(string(body[4:]))
		if err != nil {
			return err
		}
		if code == pgproto3.AuthTypeSASLFinal {
			if !(*ex).Verified() {
				return errors.New("SCRAM: the endpoint did not prove that it knows the verifier; check the endpoint credentials")
			}
			return nil
		}
		reply = &pgproto3.SASLResponse{Data: []byte(msg)}
	default:
		return fmt.Errorf("the endpoint requests unsupported authentication method %d; configure SCRAM-SHA-256 at the endpoint", code)
	}
	if err := c.W.Encode(reply); err != nil {
		return fmt.Errorf("encode authentication message: %w", err)
	}
	return c.W.Flush()
}

// Cancel sends a CancelRequest for the statement that runs on the connection.
// It uses a network connection of its own.
func (c *Conn) Cancel(ctx context.Context) error {
	nc, err := c.endpoint.pool.opts.Dial(ctx, c.endpoint.addr)
	if err != nil {
		return fmt.Errorf("connect for cancel request: %w", err)
	}
	defer nc.Close()
	if d, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(d)
	}
	b := make([]byte, 0, 16)
	b = binary.BigEndian.AppendUint32(b, uint32(12+len(c.cancelKey)))
	b = binary.BigEndian.AppendUint32(b, pgwire.CodeCancel)
	b = binary.BigEndian.AppendUint32(b, c.backendPID)
	b = append(b, c.cancelKey...)
	if _, err := nc.Write(b); err != nil {
		return fmt.Errorf("send cancel request: %w", err)
	}
	// The endpoint closes the connection once it has processed the request.
	_, _ = nc.Read(b[:1])
	return nil
}

func (c *Conn) close() { _ = c.netConn.Close() }
