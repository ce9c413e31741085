package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Event is a status or a connection failure that a watch reports.
type Event struct {
	Endpoint fleet.EndpointID
	At       time.Time
	// Status is set when Err is nil.
	Status fleet.EndpointStatus
	// Err is the reason why there is no status connection; it wraps
	// syscall.ECONNREFUSED when nothing listens at the address.
	Err error
}

// Credentials are the proxy's own credentials at the endpoints.
type Credentials struct {
	User, Password string
}

// WatchConfig describes the status connection of one endpoint. Zero durations
// take the defaults.
type WatchConfig struct {
	Instance    fleet.InstanceID
	Endpoint    fleet.EndpointID
	Group       fleet.GroupID
	Addr        string
	Credentials Credentials
	// OnEvent is called for each status and each failure, from the watch's
	// goroutine. It must not block.
	OnEvent func(Event)
	// HeartbeatTimeout closes a connection that receives no message, not even
	// a heartbeat, for this long. The default of 500 ms is five heartbeat
	// intervals of the endpoint.
	HeartbeatTimeout time.Duration
	// DialTimeout bounds connecting and authenticating, 1 s by default.
	DialTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay before the next attempt, 20 ms
	// and 500 ms by default.
	MinBackoff, MaxBackoff time.Duration
}

// controlDatabase is the database name of the status connection; VH commands
// do not depend on it.
const controlDatabase = "vh_control"

// writeTimeout bounds the sending of one command. Writes to an isolated
// endpoint block once the socket's send buffer is full.
const writeTimeout = time.Second

// Watch keeps one status connection to an endpoint and sends VH commands over
// it. It reconnects with backoff until Close. It implements Commands.
type Watch struct {
	cfg    WatchConfig
	pg     *pgconn.Config
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	conn    net.Conn
	pending []*call
}

var _ Commands = (*Watch)(nil)

// call is one command in flight. Responses arrive in the order of the commands.
type call struct {
	status fleet.EndpointStatus
	err    error
	done   chan struct{}
}

// StartWatch starts a watch.
func StartWatch(cfg WatchConfig) (*Watch, error) {
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = 500 * time.Millisecond
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.MinBackoff == 0 {
		cfg.MinBackoff = 20 * time.Millisecond
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = 500 * time.Millisecond
	}
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(Event) {}
	}
	u := url.URL{
		Scheme: "postgres", Host: cfg.Addr, Path: controlDatabase,
		User:     url.UserPassword(cfg.Credentials.User, cfg.Credentials.Password),
		RawQuery: url.Values{"sslmode": {"disable"}, "application_name": {"vanillahinge/" + string(cfg.Instance)}}.Encode(),
	}
	pg, err := pgconn.ParseConfig(u.String())
	if err != nil {
		return nil, fmt.Errorf("ctl: address of endpoint %s: %w", cfg.Endpoint, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{cfg: cfg, pg: pg, cancel: cancel, done: make(chan struct{})}
	go w.run(ctx)
	return w, nil
}

// Close stops the watch and waits for its goroutine.
func (w *Watch) Close() {
	w.cancel()
	<-w.done
}

func (w *Watch) run(ctx context.Context) {
	defer close(w.done)
	backoff := w.cfg.MinBackoff
	for ctx.Err() == nil {
		received, err := w.runConnection(ctx)
		if ctx.Err() != nil {
			return
		}
		w.cfg.OnEvent(Event{Endpoint: w.cfg.Endpoint, At: time.Now(), Err: err})
		if received {
			backoff = w.cfg.MinBackoff
		}
		// Jitter keeps the instances from reconnecting simultaneously.
		t := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		backoff = min(2*backoff, w.cfg.MaxBackoff)
	}
}

// runConnection opens a status connection and reads from it until it fails. It
// reports whether a status was received.
func (w *Watch) runConnection(ctx context.Context) (received bool, err error) {
	dial, cancel := context.WithTimeout(ctx, w.cfg.DialTimeout)
	defer cancel()
	pc, err := pgconn.ConnectConfig(dial, w.pg)
	if err != nil {
		return false, fmt.Errorf("ctl: connect to endpoint %s: %w", w.cfg.Endpoint, err)
	}
	h, err := pc.Hijack()
	if err != nil {
		return false, fmt.Errorf("ctl: connect to endpoint %s: %w", w.cfg.Endpoint, err)
	}
	defer h.Conn.Close()
	stop := context.AfterFunc(ctx, func() { h.Conn.Close() })
	defer stop()
	w.mu.Lock()
	w.conn = h.Conn
	w.mu.Unlock()
	defer func() { w.failPending(err) }()
	listen := &call{done: make(chan struct{})}
	if _, err := w.send(listen, "LISTEN vh_status"); err != nil {
		return false, err
	}
	received, err = w.readMessages(h.Conn, h.Frontend)
	return received, fmt.Errorf("ctl: status connection of endpoint %s: %w", w.cfg.Endpoint, err)
}

// failPending fails the commands in flight, which may have taken effect.
func (w *Watch) failPending(err error) {
	w.mu.Lock()
	pending := w.pending
	w.conn, w.pending = nil, nil
	w.mu.Unlock()
	for _, c := range pending {
		c.err = outcome.Wrap(err, outcome.Unavailable, outcome.Unknown,
			fmt.Sprintf("the connection to endpoint %s was lost during a command", w.cfg.Endpoint), "read the endpoint's status and repeat the command")
		close(c.done)
	}
}

func (w *Watch) readMessages(conn net.Conn, f *pgproto3.Frontend) (received bool, err error) {
	var answer fleet.EndpointStatus
	var failure error
	var dec decoder
	for {
		if err := conn.SetReadDeadline(time.Now().Add(w.cfg.HeartbeatTimeout)); err != nil {
			return received, err
		}
		msg, err := f.Receive()
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return received, fmt.Errorf("no heartbeat for %s: %w", w.cfg.HeartbeatTimeout, err)
			}
			return received, err
		}
		switch m := msg.(type) {
		case *pgproto3.NotificationResponse:
			s, err := dec.decode(w, []byte(m.Payload))
			if err != nil {
				return received, err
			}
			received = true
			w.cfg.OnEvent(Event{Endpoint: w.cfg.Endpoint, At: time.Now(), Status: s})
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				answer, failure = dec.decode(w, m.Values[0])
			}
		case *pgproto3.ErrorResponse:
			failure = w.refusal(m)
		case *pgproto3.ReadyForQuery:
			w.mu.Lock()
			if len(w.pending) == 0 {
				w.mu.Unlock()
				return received, errors.New("received a response without a pending command")
			}
			c := w.pending[0]
			w.pending = w.pending[1:]
			w.mu.Unlock()
			c.status, c.err = answer, failure
			close(c.done)
			answer, failure = fleet.EndpointStatus{}, nil
		}
	}
}

// decoder caches the last status of a connection. An idle endpoint sends the
// same text in each heartbeat and response, and parsing it every time accounted
// for a third of the time spent on a status connection.
type decoder struct {
	text   string
	status fleet.EndpointStatus
}

func (d *decoder) decode(w *Watch, text []byte) (fleet.EndpointStatus, error) {
	if len(text) > 0 && string(text) == d.text {
		return d.status, nil
	}
	s, err := w.decode(text)
	if err == nil {
		d.text, d.status = string(text), s
	}
	return s, err
}

// decode parses a status and rejects that of another endpoint, which is
// received if the configured address is wrong.
func (w *Watch) decode(data []byte) (fleet.EndpointStatus, error) {
	var s fleet.EndpointStatus
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode the status: %w", err)
	}
	if s.Endpoint != w.cfg.Endpoint || s.Group != w.cfg.Group {
		return s, fmt.Errorf("%s answers as endpoint %s of group %s; correct the endpoint's address in the bundle", w.cfg.Addr, s.Endpoint, s.Group)
	}
	return s, nil
}

// refusal converts an error response to an outcome.Error. The endpoint rejected
// the command, so it did not take effect.
func (w *Watch) refusal(m *pgproto3.ErrorResponse) error {
	if m.Code == "VH001" {
		return outcome.New(outcome.StaleTerm, outcome.NotRun, fmt.Sprintf("endpoint %s: %s", w.cfg.Endpoint, m.Message), "use a higher term")
	}
	return outcome.New(outcome.Unavailable, outcome.NotRun, fmt.Sprintf("endpoint %s: %s (SQLSTATE %s)", w.cfg.Endpoint, m.Message, m.Code), "choose another endpoint")
}

// send writes a command to the connection and appends it to pending. The lock
// keeps the order of pending equal to the order on the wire.
func (w *Watch) send(c *call, sql string) (*call, error) {
	buf, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return nil, outcome.New(outcome.Unavailable, outcome.NotRun, fmt.Sprintf("no connection to endpoint %s", w.cfg.Endpoint), "repeat the command when the endpoint can be reached")
	}
	w.pending = append(w.pending, c)
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.Write(buf); err != nil {
		// Part of the command may have been sent; readMessages gets an error
		// and failPending then fails the call.
		w.conn.Close()
	}
	return c, nil
}

func (w *Watch) command(ctx context.Context, sql string) (fleet.EndpointStatus, error) {
	c, err := w.send(&call{done: make(chan struct{})}, sql)
	if err != nil {
		return fleet.EndpointStatus{}, err
	}
	select {
	case <-c.done:
		return c.status, c.err
	case <-ctx.Done():
		return fleet.EndpointStatus{}, outcome.Wrap(context.Cause(ctx), outcome.Unavailable, outcome.Unknown,
			fmt.Sprintf("no answer from endpoint %s", w.cfg.Endpoint), "read the endpoint's status and repeat the command")
	}
}

// Status sends VH STATUS.
func (w *Watch) Status(ctx context.Context) (fleet.EndpointStatus, error) {
	return w.command(ctx, "VH STATUS")
}

// Fence sends VH FENCE. The owner must not contain white space.
func (w *Watch) Fence(ctx context.Context, t fleet.Term, owner string) (fleet.EndpointStatus, error) {
	return w.command(ctx, fmt.Sprintf("VH FENCE %d %s", t, owner))
}

// Promote sends VH PROMOTE.
func (w *Watch) Promote(ctx context.Context, t fleet.Term, owner string) (fleet.EndpointStatus, error) {
	return w.command(ctx, fmt.Sprintf("VH PROMOTE %d %s", t, owner))
}

// Follow sends VH FOLLOW.
func (w *Watch) Follow(ctx context.Context, t fleet.Term, primaryAddr string) (fleet.EndpointStatus, error) {
	return w.command(ctx, fmt.Sprintf("VH FOLLOW %d %s", t, primaryAddr))
}

// Confirm sends VH CONFIRM.
func (w *Watch) Confirm(ctx context.Context, t fleet.Term) (fleet.EndpointStatus, error) {
	return w.command(ctx, fmt.Sprintf("VH CONFIRM %d", t))
}
