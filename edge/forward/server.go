package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
)

const (
	// writeTimeout bounds the write of a frame. A stream whose other side does not
	// read for that long is closed.
	writeTimeout = time.Second
	// maxOperationsPerStream bounds the operations of one stream that run at a time.
	maxOperationsPerStream = 4096
	// transactionIdleLimit is how long a transaction may wait for its next statement.
	// The instance of the session ends idle transactions itself; this one ends those
	// that it has lost.
	transactionIdleLimit = 10 * time.Second
	// readBuffer is the size of the read buffer of a stream, in bytes.
	readBuffer = 8 << 10
)

// Server runs the operations that other instances forward.
type Server struct {
	Clock    *clock.Clock
	Executor executor.Executor
	// Ready reports whether the endpoints are known here. Until then operations wait.
	Ready   func() bool
	Log     *telemetry.Log
	Metrics *telemetry.Metrics

	mu       sync.Mutex
	streams  map[*serverStream]struct{}
	leaving  bool
	inFlight atomic.Int64
}

// Serve serves the streams that arrive at a listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.Log.Warn("forward: accepting a stream failed", "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveStream(conn)
	}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// serverStream is the stream of one other instance.
type serverStream struct {
	server *Server
	conn   net.Conn

	writeMu sync.Mutex

	mu           sync.Mutex
	closed       bool
	running      int
	transactions map[uint64]*serverTransaction
}

// serverTransaction is a transaction of another instance's session. Its operations come
// one after the other.
type serverTransaction struct {
	mu      sync.Mutex
	running executor.Transaction
	// ended is set once it has been rolled back, maybe before it began.
	ended bool
	idle  *time.Timer
}

func (s *Server) serveStream(conn net.Conn) {
	st := &serverStream{server: s, conn: conn, transactions: map[uint64]*serverTransaction{}}
	s.mu.Lock()
	if s.streams == nil {
		s.streams = map[*serverStream]struct{}{}
	}
	s.streams[st] = struct{}{}
	leaving := s.leaving
	s.mu.Unlock()
	err := st.serve(leaving)
	s.mu.Lock()
	delete(s.streams, st)
	s.mu.Unlock()
	st.end()
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.Metrics.Count("forward_streams_failed")
		s.Log.Info("forward: stream ended", "remote", conn.RemoteAddr().String(), "error", err.Error())
	}
}

// serve handles the frames of a stream until it ends.
func (st *serverStream) serve(leaving bool) error {
	r := bufio.NewReaderSize(st.conn, readBuffer)
	version := make([]byte, len(protocolVersion))
	if err := st.conn.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := io.ReadFull(r, version); err != nil {
		return err
	}
	if string(version) != protocolVersion {
		return fmt.Errorf("%w: unknown protocol version %q", errFrame, version)
	}
	if err := st.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if leaving {
		st.write(newFrame(kindLeaving).bytes())
	}
	for {
		k, body, err := readFrame(r)
		if err != nil {
			return err
		}
		switch k {
		case kindPing:
			st.write(newFrame(kindPong).bytes())
		case kindRun:
			req, err := decodeRun(body)
			if err != nil {
				return err
			}
			st.start(req)
		case kindRollback:
			id, err := decodeNumber(body)
			if err != nil {
				return err
			}
			if tx := st.transaction(id); tx != nil {
				go st.rollback(id, tx)
			}
		default:
			return fmt.Errorf("%w: unexpected kind %d", errFrame, k)
		}
	}
}

// start begins to run an operation.
func (st *serverStream) start(req *run) {
	st.mu.Lock()
	refuse := st.closed || st.running >= maxOperationsPerStream
	var tx *serverTransaction
	switch {
	case refuse:
	case req.begin:
		tx = &serverTransaction{}
		refuse = req.transaction == 0 || st.transactions[req.transaction] != nil
		if !refuse {
			st.transactions[req.transaction] = tx
		}
	case req.transaction != 0:
		tx = st.transactions[req.transaction]
		refuse = tx == nil
	}
	if !refuse {
		st.running++
	}
	st.mu.Unlock()
	if refuse {
		st.server.Metrics.Count("forward_refused")
		st.write(encodeNumber(kindNotRun, req.id))
		return
	}
	st.server.inFlight.Add(1)
	go func() {
		defer func() {
			st.mu.Lock()
			st.running--
			st.mu.Unlock()
			st.server.inFlight.Add(-1)
		}()
		req.op.StartedAt = st.server.Clock.Now() - req.elapsed
		st.run(req, tx)
	}()
}

// run runs an operation and sends its outcome. A panic ends the stream of the operation
// alone, so that its instance takes the answer for lost.
func (st *serverStream) run(req *run, tx *serverTransaction) {
	defer func() {
		if p := recover(); p != nil {
			st.server.Metrics.Count("panics")
			st.server.Log.Warn("forward: an operation panicked; its stream is closed", "id", req.op.Statement.ID, "panic", fmt.Sprint(p),
				"stack", string(debug.Stack()))
			st.conn.Close()
		}
	}()
	st.server.Metrics.Count("forward_operations")
	if !st.server.awaitReady() {
		st.forget(req.transaction)
		st.write(encodeNumber(kindNotRun, req.id))
		return
	}
	if tx == nil {
		st.write(encodeOutcome(&outcome{req.id, st.server.Executor.Run(&req.op)}))
		return
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	var out executor.Outcome
	switch {
	case req.begin && !tx.ended:
		tx.running, out = st.server.Executor.Begin(&req.op, req.readOnly)
	case tx.running == nil:
		// It was rolled back, because its instance asked for that or was silent.
		st.write(encodeNumber(kindNotRun, req.id))
		return
	default:
		tx.idle.Stop()
		out = tx.running.Run(&req.op)
	}
	if out.Open {
		tx.idle = time.AfterFunc(transactionIdleLimit, func() { st.rollback(req.transaction, tx) })
	} else {
		tx.running = nil
		st.forget(req.transaction)
	}
	if !st.write(encodeOutcome(&outcome{req.id, out})) && tx.running != nil {
		// Nobody can end it any more.
		tx.idle.Stop()
		tx.running.Rollback()
		tx.running = nil
	}
}

// readyWait bounds the wait of an operation while this instance starts: all may start
// at the same time, and then no other one is ready sooner.
const (
	readyWait         = 150 * time.Millisecond
	readyPollInterval = 10 * time.Millisecond
)

// awaitReady waits until this instance is ready and reports whether it is.
func (s *Server) awaitReady() bool {
	for waited := time.Duration(0); !s.Ready(); waited += readyPollInterval {
		if waited >= readyWait {
			return false
		}
		time.Sleep(readyPollInterval)
	}
	return true
}

func (st *serverStream) transaction(id uint64) *serverTransaction {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.transactions[id]
}

func (st *serverStream) forget(id uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.transactions, id)
}

// rollback ends a transaction once its current operation has ended.
func (st *serverStream) rollback(id uint64, tx *serverTransaction) {
	tx.mu.Lock()
	defer tx.mu.Unlock()
	st.forget(id)
	tx.ended = true
	if tx.running != nil {
		tx.idle.Stop()
		tx.running.Rollback()
		tx.running = nil
	}
}

// write sends a frame and reports whether it was sent. A stream on which that fails is
// closed.
func (st *serverStream) write(frame []byte) bool {
	st.writeMu.Lock()
	defer st.writeMu.Unlock()
	err := st.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = st.conn.Write(frame)
	}
	if err != nil {
		st.conn.Close()
	}
	return err == nil
}

// end closes the stream and rolls back its transactions.
func (st *serverStream) end() {
	st.conn.Close()
	st.mu.Lock()
	st.closed = true
	left := st.transactions
	st.transactions = map[uint64]*serverTransaction{}
	st.mu.Unlock()
	for id, tx := range left {
		st.rollback(id, tx)
	}
}

// Leave tells the other instances to forward nothing new here.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	streams := make([]*serverStream, 0, len(s.streams))
	for st := range s.streams {
		streams = append(streams, st)
	}
	s.mu.Unlock()
	for _, st := range streams {
		st.write(newFrame(kindLeaving).bytes())
	}
}

// Drain waits until no forwarded operation runs and no transaction is open, but not
// longer than until ctx ends, and for open transactions not longer than until
// transactionDeadline.
func (s *Server) Drain(ctx context.Context, transactionDeadline time.Time) {
	for ctx.Err() == nil {
		if s.inFlight.Load() == 0 && (s.openTransactions() == 0 || !time.Now().Before(transactionDeadline)) {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// drainPollInterval is how often Drain looks for operations that still run.
const drainPollInterval = 20 * time.Millisecond

func (s *Server) openTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for st := range s.streams {
		st.mu.Lock()
		n += len(st.transactions)
		st.mu.Unlock()
	}
	return n
}

// Close ends all streams.
func (s *Server) Close() {
	s.mu.Lock()
	streams := make([]*serverStream, 0, len(s.streams))
	for st := range s.streams {
		streams = append(streams, st)
	}
	s.mu.Unlock()
	for _, st := range streams {
		st.conn.Close()
	}
}
