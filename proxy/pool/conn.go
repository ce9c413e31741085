// Package pool keeps the server connections to endpoints within the
// instance's share and queues requests before the slots of each endpoint.
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

// maxPrepared bounds the statements prepared on one server connection. The
// oldest is closed when another is needed.
const maxPrepared = 256

// Key says what a server connection can be used for.
type Key struct {
	Database string
	ReadOnly bool
}

// Conn is a server connection. One goroutine uses it at a time.
type Conn struct {
	Key
	R *pgwire.Reader
	W *pgwire.Writer

	nc       net.Conn
	ep       *Endpoint
	term     fleet.Term
	floor    fleet.LogPosition
	pid      uint32
	secret   []byte
	params   map[string]string
	prepared map[string]uint64
	useCount uint64
	unnamed  any
	idleAt   time.Time
	// vars are the session parameters set on this connection.
	vars *SessionParams
	// dirty is set from the first byte of a request until its ReadyForQuery
	// outside a transaction. A dirty connection is closed, never reused.
	dirty    bool
	tainted  bool
	txStatus byte

	// deadlineMu guards expires, which another goroutine may set.
	deadlineMu sync.Mutex
	expires    time.Time
}

// Term returns the term that the connection carries.
func (c *Conn) Term() fleet.Term { return c.term }

// LogPosition returns the log position that the endpoint reported last on this
// connection. It is the zero floor at a replica.
func (c *Conn) LogPosition() fleet.LogPosition { return c.floor }

// Endpoint returns the endpoint's identifier.
func (c *Conn) Endpoint() fleet.EndpointID { return c.ep.id }

// ServerParams returns the parameters that the endpoint reported at startup.
func (c *Conn) ServerParams() map[string]string { return c.params }

// TxStatus returns the status byte of the last ReadyForQuery.
func (c *Conn) TxStatus() byte { return c.txStatus }

// InTransaction reports whether the last answer left a transaction open.
func (c *Conn) InTransaction() bool { return c.txStatus != 'I' }

// SetReadDeadline bounds the next reads. A connection that has been superseded
// keeps an earlier bound.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.expires.IsZero() && (t.IsZero() || t.After(c.expires)) {
		t = c.expires
	}
	_ = c.nc.SetReadDeadline(t)
}

// Supersede bounds all reads and writes by t, refuses further requests and makes Release
// close the connection. It may be called while another goroutine uses the
// connection, but not after that goroutine has released it.
func (c *Conn) Supersede(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.expires.IsZero() {
		c.expires = t
		_ = c.nc.SetDeadline(t)
	}
}

// Superseded reports whether Supersede was called.
func (c *Conn) Superseded() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.expires.IsZero()
}

// MarkUnusable makes Release close the connection.
func (c *Conn) MarkUnusable() { c.tainted = true }

// errUnasked is the error for bytes that arrived while nothing was asked. They
// may be the late answer to an earlier request, so the connection is closed.
var errUnasked = errors.New("the endpoint sent bytes that answer no request")

// ErrSuperseded is the error of a request on a connection to the primary of a
// lower term than the instance knows. Begin returns it before any byte is sent.
var ErrSuperseded = errors.New("the group has a new primary")

// BeginRequest marks the start of a request: until End is called the connection
// cannot be reused. It fails when bytes have arrived that answer no request,
// and when the connection has been superseded.
func (c *Conn) BeginRequest() error {
	if c.Superseded() {
		return ErrSuperseded
	}
	if c.R.Buffered() {
		c.tainted = true
		return errUnasked
	}
	c.dirty = true
	return nil
}

// EndRequest marks a complete answer with the status of its ReadyForQuery.
func (c *Conn) EndRequest(txStatus byte) { c.dirty, c.txStatus = false, txStatus }

// ObserveParameter takes a ParameterStatus body. It reports whether the
// parameter concerns the instance alone and must not reach the caller.
func (c *Conn) ObserveParameter(body []byte) (private bool) {
	name, rest, ok := pgwire.CString(body)
	if !ok || len(name) < 3 || string(name[:3]) != "vh." {
		return false
	}
	if string(name) == "vh.log_position" {
		if value, _, ok := pgwire.CString(rest); ok {
			if f, err := ParseLogPosition(string(value)); err == nil {
				c.floor = c.floor.Max(f)
			}
		}
	}
	return true
}

// ParseLogPosition decodes `<term>/<position>`.
func ParseLogPosition(s string) (fleet.LogPosition, error) {
	t, p, ok := strings.Cut(s, "/")
	if !ok {
		return fleet.LogPosition{}, fmt.Errorf("log position %q is not <term>/<position>", s)
	}
	term, err1 := strconv.ParseUint(t, 10, 64)
	pos, err2 := strconv.ParseUint(p, 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		return fleet.LogPosition{}, fmt.Errorf("log position: %w", err)
	}
	return fleet.LogPosition{Term: fleet.Term(term), Position: fleet.Position(pos)}, nil
}

// Prepared reports whether a statement is prepared on the connection.
func (c *Conn) Prepared(name string) bool {
	_, ok := c.prepared[name]
	if ok {
		c.useCount++
		c.prepared[name] = c.useCount
	}
	return ok
}

// AddPrepared notes a statement that the endpoint has prepared.
func (c *Conn) AddPrepared(name string) {
	c.useCount++
	c.prepared[name] = c.useCount
}

// RemovePrepared forgets a statement.
func (c *Conn) RemovePrepared(name string) { delete(c.prepared, name) }

// Unnamed returns what the unnamed statement was prepared for.
func (c *Conn) Unnamed() any { return c.unnamed }

// SetUnnamed notes what the unnamed statement is prepared for.
func (c *Conn) SetUnnamed(v any) { c.unnamed = v }

// LeastRecentlyUsedPrepared returns the statement used longest ago when the connection holds
// as many as it may, or "".
func (c *Conn) LeastRecentlyUsedPrepared() string {
	if len(c.prepared) < maxPrepared {
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
func (c *Conn) SessionParams() *SessionParams { return c.vars }

// SetSessionParams notes the session parameters that are set on the connection.
func (c *Conn) SetSessionParams(v *SessionParams) { c.vars = v }

// Exec runs a simple query of the instance's own and calls row for each
// DataRow. It returns the last command tag. The deadline bounds the whole
// answer. An ErrorResponse is returned as *ServerError with the connection
// still usable.
func (c *Conn) Exec(sql string, deadline time.Time, row func(*pgproto3.DataRow)) (tag string, err error) {
	c.W.Query(sql)
	return c.finish(deadline, row)
}

func (c *Conn) finish(deadline time.Time, row func(*pgproto3.DataRow)) (tag string, err error) {
	if err := c.BeginRequest(); err != nil {
		return "", err
	}
	c.SetReadDeadline(deadline)
	if err := c.W.Flush(); err != nil {
		return "", fmt.Errorf("send to endpoint %s: %w", c.ep.id, err)
	}
	var failed error
	var dr pgproto3.DataRow
	for {
		f, err := c.R.Next()
		if err != nil {
			return "", fmt.Errorf("receive from endpoint %s: %w", c.ep.id, err)
		}
		switch f.Type() {
		case 'D':
			if row != nil {
				if err := dr.Decode(f.Body()); err != nil {
					return "", fmt.Errorf("row from endpoint %s: %w", c.ep.id, err)
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
				return "", fmt.Errorf("receive from endpoint %s: %w", c.ep.id, pgwire.ErrMalformed)
			}
			c.EndRequest(f.Body()[0])
			return tag, failed
		}
	}
}

// ServerError is an ErrorResponse of an endpoint.
type ServerError struct {
	// Frame is the whole message, to be forwarded unchanged.
	Frame pgwire.Frame
	// Code is the SQLSTATE.
	Code string
}

// NewServerError copies an ErrorResponse.
func NewServerError(f pgwire.Frame) *ServerError {
	c := append(pgwire.Frame(nil), f...)
	return &ServerError{Frame: c, Code: pgwire.ErrorField(c.Body(), 'C')}
}

// Error returns the SQLSTATE and message.
func (e *ServerError) Error() string {
	return "endpoint: " + e.Code + " " + pgwire.ErrorField(e.Frame.Body(), 'M')
}

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// connect opens a connection, authenticates with the system's credentials and
// waits for the first ReadyForQuery.
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
	// The startup also ends when ctx is cancelled before its deadline.
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c = &Conn{
		Key: k, nc: nc, ep: e, term: term, txStatus: 'I',
		R: pgwire.NewReader(nc, pgwire.MaxServerMessage), W: pgwire.NewWriter(nc),
		params: map[string]string{}, prepared: map[string]uint64{},
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
		return nil, fmt.Errorf("startup of endpoint %s: %w", e.id, err)
	}
	if err := c.handshake(o.Credentials); err != nil {
		return nil, openError(err)
	}
	if !stop() {
		return nil, openError(context.Cause(ctx))
	}
	_ = nc.SetDeadline(time.Time{})
	return c, nil
}

// openError classifies a failed startup. Nothing of a request has been sent,
// so every failure is "not run".
func openError(err error) error {
	var se *ServerError
	if errors.As(err, &se) && se.Code == "VH001" {
		return outcome.Wrap(err, outcome.StaleTerm, outcome.NotRun,
			"the endpoint has another term", "repeat the request; it has not run")
	}
	return outcome.Wrap(err, outcome.Unavailable, outcome.NotRun,
		"no connection to the endpoint could be opened", "repeat the request; it has not run")
}

func (c *Conn) handshake(creds *auth.Credentials) error {
	if err := c.W.Flush(); err != nil {
		return fmt.Errorf("send startup: %w", err)
	}
	var ex *auth.ClientExchange
	for {
		f, err := c.R.Next()
		if err != nil {
			return fmt.Errorf("receive startup answer: %w", err)
		}
		switch f.Type() {
		case 'R':
			if err := c.authStep(creds, &ex, f.Body()); err != nil {
				return err
			}
		case 'S':
			if c.ObserveParameter(f.Body()) {
				continue
			}
			name, rest, _ := pgwire.CString(f.Body())
			value, _, _ := pgwire.CString(rest)
			c.params[string(name)] = string(value)
		case 'K':
			if len(f.Body()) >= 8 {
				c.pid = binary.BigEndian.Uint32(f.Body())
				c.secret = append([]byte(nil), f.Body()[4:]...)
			}
		case 'E':
			return NewServerError(f)
		case 'Z':
			if c.R.Buffered() {
				return errUnasked
			}
			return nil
		}
	}
}

func (c *Conn) authStep(creds *auth.Credentials, ex **auth.ClientExchange, body []byte) error {
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
				return errors.New("the endpoint did not prove its identity; check the endpoint credentials")
			}
			return nil
		}
		reply = &pgproto3.SASLResponse{Data: []byte(msg)}
	default:
		return fmt.Errorf("the endpoint asks for authentication method %d; configure SCRAM-SHA-256 there", code)
	}
	if err := c.W.Encode(reply); err != nil {
		return fmt.Errorf("encode authentication: %w", err)
	}
	return c.W.Flush()
}

// Cancel asks the endpoint to cancel what runs on the connection.
func (c *Conn) Cancel(ctx context.Context) error {
	nc, err := c.ep.pool.opts.Dial(ctx, c.ep.addr)
	if err != nil {
		return fmt.Errorf("connect to cancel: %w", err)
	}
	defer nc.Close()
	if d, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(d)
	}
	b := make([]byte, 0, 16)
	b = binary.BigEndian.AppendUint32(b, uint32(12+len(c.secret)))
	b = binary.BigEndian.AppendUint32(b, pgwire.CodeCancel)
	b = binary.BigEndian.AppendUint32(b, c.pid)
	b = append(b, c.secret...)
	if _, err := nc.Write(b); err != nil {
		return fmt.Errorf("send cancel: %w", err)
	}
	// The endpoint closes the connection once it has acted on the request.
	_, _ = nc.Read(b[:1])
	return nil
}

func (c *Conn) close() { _ = c.nc.Close() }
