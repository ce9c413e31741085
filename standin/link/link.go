// Package link implements a TCP relay that adds one-way delay and simulates
// network partitions, for tests of latency between data centres and of
// partitions.
package link

import (
	"net"
	"sync"
	"time"
)

// maxQueuedChunks limits the chunks buffered in one direction of a connection.
const maxQueuedChunks = 256

// Link is a TCP relay that forwards each accepted connection to a target address.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	done     chan struct{}
	once     sync.Once

	mu          sync.Mutex
	delay       time.Duration
	partitioned bool
	changed     chan struct{}
	conns       map[net.Conn]bool
}

// Start starts a relay that listens on listen and forwards connections to
// target. An empty listen address selects a free loopback port.
func Start(listen, target string, delay time.Duration) (*Link, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, delay: delay, done: make(chan struct{}), changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	k.wg.Go(k.acceptLoop)
	return k, nil
}

// Addr returns the listen address of the relay.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// SetDelay sets the one-way delay that applies to each direction.
func (k *Link) SetDelay(d time.Duration) { k.update(func() { k.delay = d }) }

// SetPartitioned starts or ends a simulated network partition. During the
// partition no data is forwarded, and connections stay open.
func (k *Link) SetPartitioned(partitioned bool) {
	k.update(func() { k.partitioned = partitioned })
}

// update applies f under the mutex and wakes all goroutines blocked in
// waitToForward.
func (k *Link) update(f func()) {
	k.mu.Lock()
	f()
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
}

// Reset closes all connections, as a crash of the target's host does.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}

// Close stops the relay, closes its connections and waits for the relaying to end.
func (k *Link) Close() error {
	k.once.Do(func() { close(k.done) })
	err := k.listener.Close()
	k.Reset()
	k.wg.Wait()
	return err
}

func (k *Link) acceptLoop() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.wg.Go(func() { k.relay(c) })
	}
}

// addConn registers c for Reset. If the relay is closed, it closes c and
// returns false.
func (k *Link) addConn(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.done:
		c.Close()
		return false
	default:
	}
	k.conns[c] = true
	return true
}

func (k *Link) removeConn(c net.Conn) {
	c.Close()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// relay connects to the target and forwards data in both directions until both
// directions have ended.
func (k *Link) relay(client net.Conn) {
	if !k.addConn(client) {
		return
	}
	defer k.removeConn(client)
	if !k.waitToForward(time.Now()) {
		return
	}
	server, err := net.DialTimeout("tcp", k.target, 5*time.Second)
	if err != nil {
		return
	}
	if !k.addConn(server) {
		return
	}
	defer k.removeConn(server)
	var directions sync.WaitGroup
	directions.Go(func() { k.forward(server, client) })
	directions.Go(func() { k.forward(client, server) })
	directions.Wait()
}

// waitToForward blocks until data that was read at the time read may be
// forwarded: once the delay has elapsed and the link is not partitioned. It
// returns false if the relay is closed first.
func (k *Link) waitToForward(read time.Time) bool {
	for {
		k.mu.Lock()
		partitioned, wait, changed := k.partitioned, time.Until(read.Add(k.delay)), k.changed
		k.mu.Unlock()
		if !partitioned && wait <= 0 {
			return true
		}
		var due <-chan time.Time
		if !partitioned {
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-changed:
		case <-k.done:
			return false
		}
	}
}

// forward copies data from src to dst. End of stream is subject to the delay and
// the partition as data is, so dst is not closed during a partition.
func (k *Link) forward(dst, src net.Conn) {
	type chunk struct {
		data   []byte
		readAt time.Time
	}
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{buf[:n], time.Now()}:
				case <-k.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		src.Close()
		for range chunks {
		}
	}()
	for c := range chunks {
		if !k.waitToForward(c.readAt) {
			return
		}
		if _, err := dst.Write(c.data); err != nil {
			return
		}
	}
	k.waitToForward(time.Now())
	dst.Close()
}
