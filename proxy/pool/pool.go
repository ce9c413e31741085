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

// MaxConcurrentConnects limits the connections to one endpoint that are being
// opened at the same time. Opening one costs the endpoint about 10 ms, so more
// would delay running statements.
const MaxConcurrentConnects = 2

// probeIdleAfter is the idle time after which a connection is probed before it
// is used for a read. Connections are always probed before a write, because the
// instance does not retry failed writes.
const probeIdleAfter = time.Second

// Options are the settings of a pool.
type Options struct {
	Instance    fleet.InstanceID
	Credentials *auth.Credentials
	// Dial defaults to TCP.
	Dial DialFunc
	// ConnectTimeout limits connection setup; 1 s by default.
	ConnectTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed; 5 min by
	// default.
	IdleTimeout time.Duration
	// Fair configures the queues. Its Slots field is ignored: the number of slots
	// comes from the snapshot of each endpoint.
	Fair fair.Config
}

// Pool manages the server connections of one instance.
type Pool struct {
	opts  Options
	start time.Time

	// endpoints is copied on write, so that sessions can read it without a lock.
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

// Endpoint returns the pool's state for an endpoint, created if necessary, and
// applies the settings in v.
func (p *Pool) Endpoint(v *snapshot.Endpoint) *Endpoint {
	e := (*p.endpoints.Load())[v.ID]
	if e == nil || e.addr != v.Addr {
		e = p.addEndpoint(v)
	}
	if e.settings.Load() != v {
		e.applySettings(v)
	}
	return e
}

// Lookup returns the endpoint with the given identifier, or nil if it has never
// been used.
func (p *Pool) Lookup(id fleet.EndpointID) *Endpoint { return (*p.endpoints.Load())[id] }

// addEndpoint adds the endpoint v. An existing one with the same identifier but
// another address is closed and replaced.
func (p *Pool) addEndpoint(v *snapshot.Endpoint) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.endpoints.Load()
	if e := old[v.ID]; e != nil && e.addr == v.Addr {
		return e
	}
	cfg := p.opts.Fair
	cfg.Slots = max(v.Slots, 1)
	e := &Endpoint{pool: p, id: v.ID, addr: v.Addr, slots: cfg.Slots, maxConns: v.MaxConns, queue: fair.New[*Ticket](cfg)}
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

// CloseIdle closes connections that have been idle for longer than
// Options.IdleTimeout. It is called about once a second.
func (p *Pool) CloseIdle(now time.Time) {
	for _, e := range *p.endpoints.Load() {
		e.closeIdle(now.Add(-p.opts.IdleTimeout))
	}
}

// Close closes all idle connections. Connections in use are closed by Release.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range *p.endpoints.Load() {
		e.close()
	}
}

// Endpoint holds the request queue and the connections of one endpoint.
type Endpoint struct {
	pool *Pool
	id   fleet.EndpointID
	addr string
	// settings is the snapshot entry that was applied last.
	settings atomic.Pointer[snapshot.Endpoint]
	// load is the number of queued and running requests, used for routing.
	load atomic.Int64
	// latency is a moving average of the request latency in nanoseconds,
	// including the time in the queue.
	latency atomic.Int64

	mu           sync.Mutex
	queue        *fair.Queue[*Ticket]
	slots        int
	maxConns     int
	openConns    int
	openingConns int
	idle         []*Conn
	// waiters hold a slot and wait for a connection, in order of arrival.
	waiters []*Ticket
	closed  bool
}

// ID returns the endpoint's identifier.
func (e *Endpoint) ID() fleet.EndpointID { return e.id }

// Load returns the number of requests that are queued or running.
func (e *Endpoint) Load() int64 { return e.load.Load() }

// Latency returns a moving average of the request latency, including the time
// in the queue.
func (e *Endpoint) Latency() time.Duration { return time.Duration(e.latency.Load()) }

// Counts returns the numbers of open, opening and idle connections. The open
// ones include the other two.
func (e *Endpoint) Counts() (open, opening, idle int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openConns, e.openingConns, len(e.idle)
}

func (e *Endpoint) applySettings(v *snapshot.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Store(v)
	e.maxConns = v.MaxConns
	if s := max(v.Slots, 1); s != e.slots {
		e.slots = s
		e.queue.SetSlots(s)
		e.dispatchLocked(time.Since(e.pool.start))
	}
	for e.openConns > e.maxConns && len(e.idle) > 0 {
		e.closeIdleConnLocked(0)
	}
}

// Ticket is the place of one request in the queue of an endpoint. A session has
// one ticket and reuses it for each request.
type Ticket struct {
	item       fair.Item[*Ticket]
	wake       chan struct{}
	timer      *time.Timer
	endpoint   *Endpoint
	enqueuedAt time.Time
	// started is set when the queue has granted a slot, waiting while the request
	// blocks until then, and holdsSlot until the slot is released. All three are
	// guarded by the endpoint's lock.
	started, waiting, holdsSlot bool
	// openedConn is set when the request opened its own connection. Its latency
	// is then ignored, since it does not reflect how busy the endpoint is.
	openedConn bool
}

// NewTicket returns a ticket for the requests of one client account.
func NewTicket(account fleet.AccountID, weight int) *Ticket {
	t := &Ticket{wake: make(chan struct{}, 1)}
	t.item.Account, t.item.Weight, t.item.Value = account, weight, t
	t.timer = time.NewTimer(time.Hour)
	t.timer.Stop()
	return t
}

// SetWeight sets the account's weight in the fair queue for later requests.
func (t *Ticket) SetWeight(w int) { t.item.Weight = w }

func errQueueDeadline() error {
	return outcome.New(outcome.QueueDeadline, outcome.NotRun, "the deadline passed while the request was queued",
		"repeat the request later; the endpoint is busy")
}

func errInterrupted() error {
	return outcome.New(outcome.Cancelled, outcome.NotRun, "the request ended while it was queued",
		"repeat the request if it is still wanted")
}

func errPrimaryChanged() error {
	return outcome.Wrap(ErrSuperseded, outcome.StaleTerm, outcome.NotRun, "the request was queued for an old primary",
		"repeat the request; it has not run")
}

// AcquireOptions describes the request that needs a connection.
type AcquireOptions struct {
	Key
	Term     fleet.Term
	Deadline time.Time
	// Write requires that an idle connection is probed before it is used.
	Write bool
	// Interrupt ends the wait, for instance on a cancel request.
	Interrupt <-chan struct{}
	// PrimaryChanged is signalled when the group has a new primary. It ends the
	// wait and the opening of a connection with an error that wraps ErrSuperseded.
	PrimaryChanged <-chan struct{}
}

// Acquire waits in the fair queue for one of the endpoint's slots and then for a
// connection. Every error is an *outcome.Error with outcome NotRun. After success
// the ticket holds the slot until Release or ReleaseSlot is called.
func (e *Endpoint) Acquire(ctx context.Context, t *Ticket, opts *AcquireOptions) (*Conn, error) {
	now := time.Now()
	sinceStart := now.Sub(e.pool.start)
	t.endpoint, t.enqueuedAt = e, now
	t.item.Deadline = opts.Deadline.Sub(e.pool.start)
	e.load.Add(1)
	e.mu.Lock()
	t.started, t.openedConn = false, false
	e.queue.Push(sinceStart, &t.item)
	e.dispatchLocked(sinceStart)
	for !t.started {
		t.waiting = true
		e.mu.Unlock()
		err := t.wait(ctx, opts)
		e.mu.Lock()
		t.waiting = false
		if err != nil && !t.started {
			e.queue.Remove(&t.item)
			e.clearWake(t)
			e.mu.Unlock()
			e.load.Add(-1)
			return nil, err
		}
	}
	e.clearWake(t)
	c, err := e.acquireConnLocked(ctx, t, opts)
	if err != nil {
		e.releaseSlotLocked(t, false)
		e.mu.Unlock()
		return nil, err
	}
	e.mu.Unlock()
	if err := e.setTerm(c, opts); err != nil {
		e.Release(t, c)
		return nil, err
	}
	return c, nil
}

// wait blocks until the ticket is signalled or the request ends. It must be
// called without the endpoint's lock.
func (t *Ticket) wait(ctx context.Context, opts *AcquireOptions) error {
	t.timer.Reset(time.Until(opts.Deadline))
	defer t.timer.Stop()
	select {
	case <-t.wake:
		return nil
	case <-t.timer.C:
		return errQueueDeadline()
	case <-opts.Interrupt:
		return errInterrupted()
	case <-opts.PrimaryChanged:
		return errPrimaryChanged()
	case <-ctx.Done():
		return errInterrupted()
	}
}

// clearWake discards a pending wake-up of the ticket.
func (e *Endpoint) clearWake(t *Ticket) {
	select {
	case <-t.wake:
	default:
	}
}

// signal wakes the ticket. A second signal before the wake-up has no effect.
func (t *Ticket) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// dispatchLocked grants slots to the requests that the queue allows to start.
func (e *Endpoint) dispatchLocked(now time.Duration) {
	for it := e.queue.Next(now); it != nil; it = e.queue.Next(now) {
		t := it.Value
		t.started, t.holdsSlot = true, true
		if t.waiting {
			t.signal()
		}
	}
}

// releaseSlotLocked releases the slot of the ticket. ok is false if the request
// did not complete; its latency is then recorded neither by the queue's
// concurrency limit nor in the moving average.
func (e *Endpoint) releaseSlotLocked(t *Ticket, ok bool) {
	if !t.holdsSlot {
		return
	}
	t.holdsSlot = false
	ok = ok && !t.openedConn
	now := time.Now()
	sinceStart := now.Sub(e.pool.start)
	e.queue.Done(sinceStart, &t.item, ok)
	e.dispatchLocked(sinceStart)
	e.load.Add(-1)
	if ok {
		old := e.latency.Load()
		e.latency.Store(old + (int64(now.Sub(t.enqueuedAt))-old)/16)
	}
}

// acquireConnLocked returns an idle connection or opens one, after closing
// another idle one if the limit is reached. It releases the lock while it waits
// and holds it on return.
func (e *Endpoint) acquireConnLocked(ctx context.Context, t *Ticket, opts *AcquireOptions) (*Conn, error) {
	waiting := false
	defer func() {
		if waiting {
			e.removeWaiterLocked(t)
		}
	}()
	for {
		if e.closed {
			return nil, errClosed()
		}
		if c := e.takeIdleLocked(opts); c != nil {
			return c, nil
		}
		if e.openConns >= e.maxConns && len(e.idle) > 0 {
			// All idle connections are for another database or access mode, so
			// the least recently used one is closed to make room.
			e.closeIdleConnLocked(0)
		}
		if e.openConns < e.maxConns && e.openingConns < MaxConcurrentConnects {
			t.openedConn = true
			return e.openConnLocked(ctx, opts)
		}
		if !waiting {
			e.waiters = append(e.waiters, t)
			waiting = true
		}
		e.mu.Unlock()
		err := t.wait(ctx, opts)
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

// removeWaiterLocked removes the ticket from the queue and wakes the next waiter. The
// caller holds the endpoint's mutex.
func (e *Endpoint) removeWaiterLocked(t *Ticket) {
	for i, w := range e.waiters {
		if w == t {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			break
		}
	}
	e.clearWake(t)
	// The ticket may have been woken without taking a connection; pass the
	// wake-up on to the next waiter.
	e.wakeNextWaiterLocked()
}

func (e *Endpoint) wakeNextWaiterLocked() {
	if len(e.waiters) > 0 {
		e.waiters[0].signal()
	}
}

// takeIdleLocked returns the most recently used idle connection that matches
// opts.Key, or nil. Connections that fail the probe are closed.
func (e *Endpoint) takeIdleLocked(opts *AcquireOptions) *Conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if c.Key != opts.Key {
			continue
		}
		e.idle = append(e.idle[:i], e.idle[i+1:]...)
		if opts.Write || time.Since(c.idleSince) > probeIdleAfter {
			if !c.alive() {
				e.openConns--
				c.close()
				continue
			}
		}
		return c
	}
	return nil
}

func (e *Endpoint) closeIdleConnLocked(i int) {
	c := e.idle[i]
	e.idle = append(e.idle[:i], e.idle[i+1:]...)
	e.openConns--
	c.close()
}

// openConnLocked opens a connection. It releases the lock in the meantime and
// holds it on return.
func (e *Endpoint) openConnLocked(ctx context.Context, opts *AcquireOptions) (*Conn, error) {
	e.openConns++
	e.openingConns++
	e.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, opts.Deadline)
	primaryChanged := make(chan bool, 1)
	go func() {
		select {
		case <-opts.PrimaryChanged:
			cancel()
			primaryChanged <- true
		case <-ctx.Done():
			primaryChanged <- false
		}
	}()
	c, err := e.connect(ctx, opts.Key, opts.Term)
	cancel()
	if changed := <-primaryChanged; changed {
		if err == nil {
			c.close()
		}
		c, err = nil, errPrimaryChanged()
	}
	e.mu.Lock()
	e.openingConns--
	if err != nil {
		e.openConns--
	}
	e.wakeNextWaiterLocked()
	return c, err
}

// setTerm sets the term of the connection to the one in opts, if it differs.
func (e *Endpoint) setTerm(c *Conn, opts *AcquireOptions) error {
	if c.term == opts.Term {
		return nil
	}
	deadline := time.Now().Add(e.pool.opts.ConnectTimeout)
	if opts.Deadline.Before(deadline) {
		deadline = opts.Deadline
	}
	_, err := c.Exec("SET vh.term = "+strconv.FormatUint(uint64(opts.Term), 10), deadline, nil)
	if err != nil {
		c.MarkUnusable()
		return classifyConnectError(err)
	}
	c.term = opts.Term
	return nil
}

// ReleaseSlot releases the slot but keeps the connection, which has an open
// transaction. Later statements of the transaction are not queued: the requests
// that hold the slots may be waiting for locks of this transaction, which would
// be a deadlock.
func (e *Endpoint) ReleaseSlot(t *Ticket, ok bool) {
	e.mu.Lock()
	e.releaseSlotLocked(t, ok)
	e.mu.Unlock()
}

// Release releases the slot and the connection. A connection that is marked
// unusable, is superseded or has an incomplete response, an open transaction or
// unread bytes is closed.
func (e *Endpoint) Release(t *Ticket, c *Conn) {
	clean := !c.responsePending && !c.unusable && !c.Superseded() && c.txStatus == 'I' && !c.R.Buffered()
	if !clean {
		c.close()
	}
	e.mu.Lock()
	e.releaseSlotLocked(t, !c.responsePending && !c.unusable)
	switch {
	case !clean:
		e.openConns--
	case e.closed || e.openConns > e.maxConns:
		e.openConns--
		c.close()
	default:
		c.idleSince = time.Now()
		e.idle = append(e.idle, c)
	}
	e.wakeNextWaiterLocked()
	e.mu.Unlock()
}

func (e *Endpoint) closeIdle(before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 0; i < len(e.idle); {
		if e.idle[i].idleSince.Before(before) || e.idle[i].R.Buffered() {
			e.closeIdleConnLocked(i)
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
		e.closeIdleConnLocked(0)
	}
	for _, w := range e.waiters {
		w.signal()
	}
}

// CloseIdleConns closes all idle connections, whatever their idle time. It is
// used for an endpoint that leaves.
func (e *Endpoint) CloseIdleConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.idle) > 0 {
		e.closeIdleConnLocked(0)
	}
}

// alive probes an idle connection without blocking. It returns false if the
// endpoint has closed the connection, or if bytes have arrived: they may be the
// late response to an earlier request.
func (c *Conn) alive() bool {
	if c.R.Buffered() {
		return false
	}
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	// Control is not affected by the read deadline of the last request, which may
	// have passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil && noData
}
