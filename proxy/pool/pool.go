package pool

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fair"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
)

// MaxConcurrentConnects is how many connections to one endpoint are opened at a time.
// Opening costs the endpoint about 10 ms; more at once would delay statements.
const MaxConcurrentConnects = 2

// probeIdle is the idle time after which a connection is probed before it
// carries a read. Writes are always probed, since their failure is not
// repeated by the instance.
const probeIdle = time.Second

// Options are the settings of a pool.
type Options struct {
	Instance    fleet.InstanceID
	Credentials *auth.Credentials
	// Dial defaults to TCP.
	Dial DialFunc
	// ConnectTimeout bounds opening a connection; 1 s by default.
	ConnectTimeout time.Duration
	// IdleTimeout closes connections that were not used; 5 min by default.
	IdleTimeout time.Duration
	// Fair is the mode of the queues; Slots is taken from the view.
	Fair fair.Config
}

// Pool holds the server connections of one instance.
type Pool struct {
	opts  Options
	start time.Time

	// endpoints is copied on write, so that sessions look up without a lock.
	endpoints atomic.Pointer[map[fleet.EndpointID]*Endpoint]
	mu        sync.Mutex
	closed    bool
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Dial == nil {
		d := &net.Dialer{}
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 5 * time.Minute
	}
	p := &Pool{opts: o, start: time.Now()}
	p.endpoints.Store(&map[fleet.EndpointID]*Endpoint{})
	return p
}

// Endpoint returns the connections of an endpoint and adopts its settings.
func (p *Pool) Endpoint(v *snapshot.Endpoint) *Endpoint {
	e := (*p.endpoints.Load())[v.ID]
	if e == nil || e.addr != v.Addr {
		e = p.add(v)
	}
	if e.seen.Load() != v {
		e.adopt(v)
	}
	return e
}

// Lookup returns an endpoint that has been used, or nil.
func (p *Pool) Lookup(id fleet.EndpointID) *Endpoint { return (*p.endpoints.Load())[id] }

func (p *Pool) add(v *snapshot.Endpoint) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.endpoints.Load()
	if e := old[v.ID]; e != nil && e.addr == v.Addr {
		return e
	}
	cfg := p.opts.Fair
	cfg.Slots = max(v.Slots, 1)
	e := &Endpoint{pool: p, id: v.ID, addr: v.Addr, slots: cfg.Slots, max: v.MaxConns, q: fair.New[*Ticket](cfg)}
	e.closed = p.closed
	next := make(map[fleet.EndpointID]*Endpoint, len(old)+1)
	for id, x := range old {
		next[id] = x
	}
	if prev := next[v.ID]; prev != nil {
		prev.close()
	}
	next[v.ID] = e
	p.endpoints.Store(&next)
	return e
}

// CloseIdle closes connections that have been idle for the idle timeout. It is
// called about once a second.
func (p *Pool) CloseIdle(now time.Time) {
	for _, e := range *p.endpoints.Load() {
		e.closeIdle(now.Add(-p.opts.IdleTimeout))
	}
}

// Close closes idle connections and makes Release close the others.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range *p.endpoints.Load() {
		e.close()
	}
}

// Endpoint is the queue and the connections of one endpoint.
type Endpoint struct {
	pool *Pool
	id   fleet.EndpointID
	addr string
	seen atomic.Pointer[snapshot.Endpoint]
	// load counts requests queued or running, for routing.
	load atomic.Int64
	// latency is the smoothed time of a statement in nanoseconds.
	latency atomic.Int64

	mu      sync.Mutex
	q       *fair.Queue[*Ticket]
	slots   int
	max     int
	open    int
	opening int
	idle    []*Conn
	waiters []*Ticket
	closed  bool
}

// ID returns the endpoint's identifier.
func (e *Endpoint) ID() fleet.EndpointID { return e.id }

// Load returns the requests that are queued or running.
func (e *Endpoint) Load() int64 { return e.load.Load() }

// Latency returns the smoothed time that a request takes, with its queueing.
func (e *Endpoint) Latency() time.Duration { return time.Duration(e.latency.Load()) }

// Counts returns the open, opening and idle connections.
func (e *Endpoint) Counts() (open, opening, idle int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open, e.opening, len(e.idle)
}

func (e *Endpoint) adopt(v *snapshot.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen.Store(v)
	e.max = v.MaxConns
	if s := max(v.Slots, 1); s != e.slots {
		e.slots = s
		e.q.SetSlots(s)
		e.startLocked(time.Since(e.pool.start))
	}
	for e.open > e.max && len(e.idle) > 0 {
		e.dropIdleLocked(0)
	}
}

// Ticket is one request's place in the queue. A session has one and uses it
// again for each request.
type Ticket struct {
	item    fair.Item[*Ticket]
	wake    chan struct{}
	timer   *time.Timer
	ep      *Endpoint
	entered time.Time
	// started, waiting and counted are guarded by the endpoint's lock.
	started, waiting, counted bool
	// opened is set when the request opened its connection; its time then says
	// nothing about how busy the endpoint is.
	opened bool
}

// NewTicket returns a ticket for the requests of one account.
func NewTicket(account fleet.AccountID, weight int) *Ticket {
	t := &Ticket{wake: make(chan struct{}, 1)}
	t.item.Account, t.item.Weight, t.item.Value = account, weight, t
	t.timer = time.NewTimer(time.Hour)
	t.timer.Stop()
	return t
}

// SetWeight changes the account's share for the requests that follow.
func (t *Ticket) SetWeight(w int) { t.item.Weight = w }

func errDeadline() error {
	return outcome.New(outcome.QueueDeadline, outcome.NotRun, "the deadline passed while the request was queued",
		"repeat the request later; the endpoint is busy")
}

func errInterrupted() error {
	return outcome.New(outcome.Cancelled, outcome.NotRun, "the request ended while it was queued",
		"repeat the request if it is still wanted")
}

func errMoved() error {
	return outcome.Wrap(ErrSuperseded, outcome.StaleTerm, outcome.NotRun, "the request was queued for an old primary",
		"repeat the request; it has not run")
}

// AcquireOptions says what a connection is wanted for.
type AcquireOptions struct {
	Key
	Term     fleet.Term
	Deadline time.Time
	// Write makes the connection be probed before it is used.
	Write bool
	// Interrupt ends the wait, for instance for a cancel request.
	Interrupt <-chan struct{}
	// PrimaryChanged ends the wait and the opening of a connection with an error whose
	// cause is ErrSuperseded, when the group has a new primary.
	PrimaryChanged <-chan struct{}
}

// Acquire waits for one of the endpoint's slots in the fair queue, then for a
// connection. Every error is typed and "not run". The ticket holds its slot
// until Release, Pause or an error.
func (e *Endpoint) Acquire(ctx context.Context, t *Ticket, u *AcquireOptions) (*Conn, error) {
	now := time.Now()
	since := now.Sub(e.pool.start)
	t.ep, t.entered = e, now
	t.item.Deadline = u.Deadline.Sub(e.pool.start)
	e.load.Add(1)
	e.mu.Lock()
	t.started, t.opened = false, false
	e.q.Push(since, &t.item)
	e.startLocked(since)
	for !t.started {
		t.waiting = true
		e.mu.Unlock()
		err := t.wait(ctx, u)
		e.mu.Lock()
		t.waiting = false
		if err != nil && !t.started {
			e.q.Remove(&t.item)
			e.drainWake(t)
			e.mu.Unlock()
			e.load.Add(-1)
			return nil, err
		}
	}
	e.drainWake(t)
	c, err := e.connLocked(ctx, t, u)
	if err != nil {
		e.finishLocked(t, false)
		e.mu.Unlock()
		return nil, err
	}
	e.mu.Unlock()
	if err := e.prepare(c, u); err != nil {
		e.Release(t, c)
		return nil, err
	}
	return c, nil
}

// wait blocks until the ticket is woken. It is called without the lock.
func (t *Ticket) wait(ctx context.Context, u *AcquireOptions) error {
	t.timer.Reset(time.Until(u.Deadline))
	defer t.timer.Stop()
	select {
	case <-t.wake:
		return nil
	case <-t.timer.C:
		return errDeadline()
	case <-u.Interrupt:
		return errInterrupted()
	case <-u.PrimaryChanged:
		return errMoved()
	case <-ctx.Done():
		return errInterrupted()
	}
}

func (e *Endpoint) drainWake(t *Ticket) {
	select {
	case <-t.wake:
	default:
	}
}

func (t *Ticket) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// startLocked starts whatever the queue allows.
func (e *Endpoint) startLocked(now time.Duration) {
	for it := e.q.Next(now); it != nil; it = e.q.Next(now) {
		t := it.Value
		t.started, t.counted = true, true
		if t.waiting {
			t.signal()
		}
	}
}

// finishLocked gives the slot back.
func (e *Endpoint) finishLocked(t *Ticket, ok bool) {
	if !t.counted {
		return
	}
	t.counted = false
	ok = ok && !t.opened
	now := time.Now()
	since := now.Sub(e.pool.start)
	e.q.Done(since, &t.item, ok)
	e.startLocked(since)
	e.load.Add(-1)
	if ok {
		old := e.latency.Load()
		e.latency.Store(old + (int64(now.Sub(t.entered))-old)/16)
	}
}

// connLocked returns a connection, opening or evicting one when needed. It
// releases the lock while it waits and holds it when it returns.
func (e *Endpoint) connLocked(ctx context.Context, t *Ticket, u *AcquireOptions) (*Conn, error) {
	queued := false
	defer func() {
		if queued {
			e.leaveLocked(t)
		}
	}()
	for {
		if e.closed {
			return nil, errClosed()
		}
		if c := e.takeIdleLocked(u); c != nil {
			return c, nil
		}
		if e.open >= e.max && len(e.idle) > 0 {
			// Every idle connection is of another database or mode: the one
			// that was used longest ago makes room.
			e.dropIdleLocked(0)
		}
		if e.open < e.max && e.opening < MaxConcurrentConnects {
			t.opened = true
			return e.openLocked(ctx, u)
		}
		if !queued {
			e.waiters = append(e.waiters, t)
			queued = true
		}
		e.mu.Unlock()
		err := t.wait(ctx, u)
		e.mu.Lock()
		if err != nil {
			return nil, err
		}
	}
}

func errClosed() error {
	return outcome.New(outcome.Unavailable, outcome.NotRun, "the endpoint is no longer in use",
		"repeat the request; it has not run")
}

func (e *Endpoint) leaveLocked(t *Ticket) {
	for i, w := range e.waiters {
		if w == t {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			break
		}
	}
	e.drainWake(t)
	// A wake-up that this ticket did not use belongs to the next one.
	e.wakeLocked()
}

func (e *Endpoint) wakeLocked() {
	if len(e.waiters) > 0 {
		e.waiters[0].signal()
	}
}

func (e *Endpoint) takeIdleLocked(u *AcquireOptions) *Conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if c.Key != u.Key {
			continue
		}
		e.idle = append(e.idle[:i], e.idle[i+1:]...)
		if u.Write || time.Since(c.idleAt) > probeIdle {
			if !c.alive() {
				e.open--
				c.close()
				continue
			}
		}
		return c
	}
	return nil
}

func (e *Endpoint) dropIdleLocked(i int) {
	c := e.idle[i]
	e.idle = append(e.idle[:i], e.idle[i+1:]...)
	e.open--
	c.close()
}

func (e *Endpoint) openLocked(ctx context.Context, u *AcquireOptions) (*Conn, error) {
	e.open++
	e.opening++
	e.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, u.Deadline)
	watched := make(chan bool, 1)
	go func() {
		select {
		case <-u.PrimaryChanged:
			cancel()
			watched <- true
		case <-ctx.Done():
			watched <- false
		}
	}()
	c, err := e.connect(ctx, u.Key, u.Term)
	cancel()
	if moved := <-watched; moved {
		if err == nil {
			c.close()
		}
		c, err = nil, errMoved()
	}
	e.mu.Lock()
	e.opening--
	if err != nil {
		e.open--
	}
	e.wakeLocked()
	return c, err
}

// prepare gives the connection the term that the view names.
func (e *Endpoint) prepare(c *Conn, u *AcquireOptions) error {
	if c.term == u.Term {
		return nil
	}
	deadline := time.Now().Add(e.pool.opts.ConnectTimeout)
	if u.Deadline.Before(deadline) {
		deadline = u.Deadline
	}
	_, err := c.Exec("SET vh.term = "+strconv.FormatUint(uint64(u.Term), 10), deadline, nil)
	if err != nil {
		c.MarkUnusable()
		return openError(err)
	}
	c.term = u.Term
	return nil
}

// ReleaseSlot gives the slot back while the connection stays with its transaction.
// Statements of an open transaction are not queued: others may wait for locks
// that the transaction holds, and would then wait for each other.
func (e *Endpoint) ReleaseSlot(t *Ticket, ok bool) {
	e.mu.Lock()
	e.finishLocked(t, ok)
	e.mu.Unlock()
}

// Release gives back the slot and the connection. A connection with an
// incomplete answer, an open transaction or unread bytes is closed.
func (e *Endpoint) Release(t *Ticket, c *Conn) {
	clean := !c.dirty && !c.tainted && !c.Superseded() && c.txStatus == 'I' && !c.R.Buffered()
	if !clean {
		c.close()
	}
	e.mu.Lock()
	e.finishLocked(t, !c.dirty && !c.tainted)
	switch {
	case !clean:
		e.open--
	case e.closed || e.open > e.max:
		e.open--
		c.close()
	default:
		c.idleAt = time.Now()
		e.idle = append(e.idle, c)
	}
	e.wakeLocked()
	e.mu.Unlock()
}

func (e *Endpoint) closeIdle(before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 0; i < len(e.idle); {
		if e.idle[i].idleAt.Before(before) || e.idle[i].R.Buffered() {
			e.dropIdleLocked(i)
			continue
		}
		i++
	}
}

func (e *Endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for len(e.idle) > 0 {
		e.dropIdleLocked(0)
	}
	for _, w := range e.waiters {
		w.signal()
	}
}

// CloseIdleConns closes the connections that are not in use, for an endpoint
// that leaves.
func (e *Endpoint) CloseIdleConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.idle) > 0 {
		e.dropIdleLocked(0)
	}
}

// alive looks at an idle connection without waiting. A closed connection is
// not alive, and neither is one on which bytes arrived while nothing was
// asked: they may be the late answer to an earlier request.
func (c *Conn) alive() bool {
	if c.R.Buffered() {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control does not look at the read deadline of the last request.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil && quiet
}
