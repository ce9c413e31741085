package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Faults is the set of injected faults. The fault port reads and replaces it
// as JSON; durations are in nanoseconds there.
type Faults struct {
	// Isolate names instances (from application_name vanillahinge/<id>) and
	// endpoints between which and this endpoint no bytes pass; connections
	// stay open. "*" isolates from everyone.
	Isolate []string `json:"isolate" yaml:"isolate"`
	// Paused stops all traffic and the application of the log.
	Paused bool `json:"paused" yaml:"paused"`
	// OneWayDelay is the latency of the network in each direction, by instance
	// or endpoint; "*" is for those not named.
	OneWayDelay map[string]time.Duration `json:"one_way_delay" yaml:"one_way_delay"`
	// AnswerDelay holds back each answer to a statement.
	AnswerDelay time.Duration `json:"answer_delay" yaml:"answer_delay"`
	// DropAnswers discards that many answers to statements that have run.
	DropAnswers int `json:"drop_answers" yaml:"drop_answers"`
	// DropWritesOnly limits DropAnswers to writes and commits.
	DropWritesOnly bool `json:"drop_writes_only" yaml:"drop_writes_only"`
	// DropHang keeps the connection of a dropped answer open and silent;
	// otherwise it is closed.
	DropHang bool `json:"drop_hang" yaml:"drop_hang"`
	// ReceiveDelay is added before a replicated entry counts as received.
	ReceiveDelay time.Duration `json:"receive_delay" yaml:"receive_delay"`
	// ApplyDelay is added between receiving and applying an entry.
	ApplyDelay time.Duration `json:"apply_delay" yaml:"apply_delay"`
}

// faultBox holds the current faults and wakes whoever waits for a change.
type faultBox struct {
	mu      sync.Mutex
	f       Faults
	changed chan struct{}
}

func newFaultBox(f Faults) *faultBox { return &faultBox{f: f, changed: make(chan struct{})} }

func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.f
}

func (b *faultBox) update(fn func(*Faults)) {
	b.mu.Lock()
	fn(&b.f)
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
}

// takeDrop reports whether the answer that is due must be discarded.
func (b *faultBox) takeDrop(write bool) (drop, hang bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.f.DropAnswers <= 0 || b.f.DropWritesOnly && !write {
		return false, false
	}
	b.f.DropAnswers--
	return true, b.f.DropHang
}

// blocked reports whether traffic with a peer is stopped, and a channel that
// is closed at the next change.
func (b *faultBox) blocked(peer string) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stop := b.f.Paused
	for _, n := range b.f.Isolate {
		if n == "*" || n == peer {
			stop = true
		}
	}
	return stop, b.changed
}

// wait blocks while traffic with the peer is stopped.
func (b *faultBox) wait(peer string, done <-chan struct{}) error {
	for {
		stop, changed := b.blocked(peer)
		if !stop {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

// gatedConn passes no bytes while its peer is isolated. It stays open then.
type gatedConn struct {
	net.Conn
	faults *faultBox
	once   sync.Once
	done   chan struct{}

	mu   sync.Mutex
	peer string

	// writing keeps the writes of the session and of its notifier whole.
	writing sync.Mutex
}

func newGatedConn(c net.Conn, f *faultBox) *gatedConn {
	return &gatedConn{Conn: c, faults: f, done: make(chan struct{})}
}

func (c *gatedConn) setPeer(p string) {
	c.mu.Lock()
	c.peer = p
	c.mu.Unlock()
}

func (c *gatedConn) peerName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// travel spends the one-way latency of the network to or from the peer.
func (c *gatedConn) travel() {
	c.faults.mu.Lock()
	delays := c.faults.f.OneWayDelay
	c.faults.mu.Unlock()
	if len(delays) == 0 {
		return
	}
	d, ok := delays[c.peerName()]
	if !ok {
		d = delays["*"]
	}
	if d > 0 {
		time.Sleep(d)
	}
}

func (c *gatedConn) wait() error { return c.faults.wait(c.peerName(), c.done) }

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.travel()
	}
	if n > 0 || err == nil {
		if werr := c.wait(); werr != nil {
			return 0, werr
		}
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.travel()
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		close(c.done)
		err = c.Conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
