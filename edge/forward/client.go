package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
)

const (
	// dialTimeout bounds the opening of a stream: many round trips between data
	// centres. A lost first packet is sent again only after a second.
	dialTimeout = 150 * time.Millisecond
	// silenceBeforePing is how long a stream with operations in flight may bring
	// nothing before it is pinged, and silenceLimit how long before it counts as
	// silent. The limit allows for a lost packet, which TCP sends again after 200 ms,
	// and for a machine that gets no processor for a tenth of a second.
	silenceBeforePing = 100 * time.Millisecond
	silenceLimit      = 450 * time.Millisecond
	// closeAfter is how long a stream may be silent before it is closed. Until then
	// the outcome of a write that is waited for may still come.
	closeAfter = 3 * time.Second
	// watchInterval is how often the streams are checked for silence.
	watchInterval = 50 * time.Millisecond
)

var (
	// errNotSent means that an operation was not handed over: it has not run and will
	// not.
	errNotSent = errors.New("forward: not handed over to the instance; use another one")
	// errNotRun means that the instance refused an operation: it has not run and will
	// not.
	errNotRun = errors.New("forward: refused by the instance; use another one")
	// errLost means that an operation was handed over and no outcome came. It may have
	// run, and may run yet.
	errLost = errors.New("forward: no outcome from the instance; the operation may have run")
)

// clientStream is the stream to one other instance.
type clientStream struct {
	conn    net.Conn
	writeMu sync.Mutex
	leaving atomic.Bool

	mu      sync.Mutex
	closed  error
	nextID  uint64
	nextTx  uint64
	pending map[uint64]*pendingRun
	// received is when the last frame came or the first pending operation was sent.
	received time.Duration
	pinged   bool
}

// pendingRun is an operation whose outcome is waited for.
type pendingRun struct {
	done chan result
	// patient is set for what must not be repeated: a write outside a transaction, or
	// a commit.
	patient bool
}

type result struct {
	outcome *outcome
	err     error
}

// dial opens a stream to an instance.
func dial(ctx context.Context, addr string) (*clientStream, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if _, err := conn.Write([]byte(protocolVersion)); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return &clientStream{conn: conn, pending: map[uint64]*pendingRun{}}, nil
}

// read handles the frames of the stream until it ends.
func (c *clientStream) read(clk *clock.Clock) {
	r := bufio.NewReaderSize(c.conn, readBuffer)
	for {
		k, body, err := readFrame(r)
		if err != nil {
			c.close(err)
			return
		}
		c.mu.Lock()
		c.received, c.pinged = clk.Now(), false
		c.mu.Unlock()
		switch k {
		case kindPong:
		case kindLeaving:
			c.leaving.Store(true)
		case kindNotRun:
			id, err := decodeNumber(body)
			if err != nil {
				c.close(err)
				return
			}
			c.complete(id, result{err: errNotRun})
		case kindOutcome:
			o, err := decodeOutcome(body)
			if err != nil {
				c.close(err)
				return
			}
			c.complete(o.id, result{outcome: o})
		default:
			c.close(fmt.Errorf("%w: unexpected kind %d", errFrame, k))
			return
		}
	}
}

// complete hands a result to the caller that waits for it.
func (c *clientStream) complete(id uint64, r result) {
	c.mu.Lock()
	waiting := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if waiting != nil {
		waiting.done <- r
	}
}

// close ends the stream. The outcomes of the pending operations are lost.
func (c *clientStream) close(cause error) {
	c.mu.Lock()
	if c.closed == nil {
		c.closed = cause
	}
	pending := c.pending
	c.pending = map[uint64]*pendingRun{}
	c.mu.Unlock()
	c.conn.Close()
	for _, waiting := range pending {
		waiting.done <- result{err: fmt.Errorf("%w: %w", errLost, cause)}
	}
}

// run hands an operation over and waits for its outcome, up to wait.
func (c *clientStream) run(now time.Duration, r *run, wait time.Duration) (*outcome, error) {
	single := r.transaction == 0
	waiting := &pendingRun{done: make(chan result, 1), patient: single && r.op.Writes() || r.op.Statement.Kind == stmt.Commit}
	c.mu.Lock()
	if c.closed != nil {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", errNotSent, c.closed)
	}
	c.nextID++
	r.id = c.nextID
	if len(c.pending) == 0 {
		c.received, c.pinged = now, false
	}
	c.pending[r.id] = waiting
	c.mu.Unlock()
	if err := c.write(encodeRun(r)); err != nil {
		// A part of the frame may have arrived; the instance runs only whole ones, but
		// the last byte may have been sent.
		c.close(err)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case res := <-waiting.done:
		return res.outcome, res.err
	case <-t.C:
		c.mu.Lock()
		delete(c.pending, r.id)
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: none within %v", errLost, wait)
	}
}

func (c *clientStream) write(frame []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(frame)
	return err
}

// newTransaction returns a number for a transaction.
func (c *clientStream) newTransaction() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextTx++
	return c.nextTx
}

// open reports whether the stream has not been closed.
func (c *clientStream) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed == nil
}

// watch pings a stream that is silent although operations are pending. If the silence
// goes on, what may be repeated elsewhere is given up; the outcomes of writes are waited
// for, since the instance may only be slow. It reports whether the stream is silent.
func (c *clientStream) watch(now time.Duration) (silent bool) {
	c.mu.Lock()
	since := now - c.received
	if c.closed != nil || len(c.pending) == 0 || since < silenceBeforePing {
		c.mu.Unlock()
		return false
	}
	ping := !c.pinged
	c.pinged = true
	var givenUp []*pendingRun
	if since >= silenceLimit {
		for id, p := range c.pending {
			if !p.patient {
				givenUp = append(givenUp, p)
				delete(c.pending, id)
			}
		}
	}
	c.mu.Unlock()
	for _, p := range givenUp {
		p.done <- result{err: fmt.Errorf("%w: silent for %v", errLost, since)}
	}
	if since >= closeAfter {
		c.close(fmt.Errorf("silent for %v", since))
	} else if ping {
		go func() {
			if err := c.write(newFrame(kindPing).bytes()); err != nil {
				c.close(err)
			}
		}()
	}
	return since >= silenceLimit
}

// silent reports whether operations have waited for longer than silenceLimit without a
// frame.
func (c *clientStream) silent(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 && now-c.received >= silenceLimit
}

// streams holds the streams to other instances.
type streams struct {
	clock *clock.Clock

	mu     sync.Mutex
	byAddr map[string]*streamSlot
}

// streamSlot holds the current stream to an instance. Callers wait for its opening
// together.
type streamSlot struct {
	mu     sync.Mutex
	stream *clientStream
}

// get returns a usable stream to the instance at an address.
func (s *streams) get(ctx context.Context, addr string) (*clientStream, error) {
	s.mu.Lock()
	if s.byAddr == nil {
		s.byAddr = map[string]*streamSlot{}
	}
	slot := s.byAddr[addr]
	if slot == nil {
		slot = &streamSlot{}
		s.byAddr[addr] = slot
	}
	s.mu.Unlock()
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if c := slot.stream; c != nil && c.open() {
		if c.leaving.Load() {
			return nil, fmt.Errorf("%w: it is leaving", errNotSent)
		}
		if c.silent(s.clock.Now()) {
			return nil, fmt.Errorf("%w: it is silent", errNotSent)
		}
		return c, nil
	}
	c, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	go c.read(s.clock)
	slot.stream = c
	return c, nil
}

// watch checks all streams for silence until ctx ends.
func (s *streams) watch(ctx context.Context, onSilent func(addr string)) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := s.clock.Now()
		s.mu.Lock()
		var silent []string
		for addr, slot := range s.byAddr {
			if !slot.mu.TryLock() {
				continue // being opened
			}
			if slot.stream != nil && slot.stream.watch(now) {
				silent = append(silent, addr)
			}
			slot.mu.Unlock()
		}
		s.mu.Unlock()
		for _, addr := range silent {
			onSilent(addr)
		}
	}
}
