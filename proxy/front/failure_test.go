package front

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

// faultInjector dials the endpoints for the pool, records what is sent to them
// and injects connection faults.
type faultInjector struct {
	mu   sync.Mutex
	sent bytes.Buffer // all bytes written to endpoints
	// received counts the bytes read from endpoints.
	received atomic.Int64
	// closeAfterBytes is the number of further bytes to read, over all
	// connections, before the connection that reads the last of them is closed.
	// 0 disables it.
	closeAfterBytes atomic.Int64
	// closeAfterCommit closes the connection on which the next COMMIT is sent,
	// after a delay of 50 ms in which the endpoint runs the COMMIT.
	closeAfterCommit atomic.Bool
	// extraBytes is appended once to the data read from an endpoint, after a
	// ReadyForQuery.
	extraBytes atomic.Pointer[[]byte]
}

// faultConn is a connection to an endpoint on which its faultInjector acts.
type faultConn struct {
	net.Conn
	faults *faultInjector
}

func (f *faultInjector) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &faultConn{c, f}, nil
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.faults.mu.Lock()
	c.faults.sent.Write(p)
	c.faults.mu.Unlock()
	n, err := c.Conn.Write(p)
	if bytes.Contains(p, []byte("COMMIT")) && c.faults.closeAfterCommit.CompareAndSwap(true, false) {
		time.Sleep(50 * time.Millisecond)
		_ = c.Conn.Close()
	}
	return n, err
}

func (c *faultConn) Read(p []byte) (int, error) {
	if n := c.faults.closeAfterBytes.Load(); n > 0 {
		m, err := c.Conn.Read(p[:min(int64(len(p)), n)])
		if c.faults.closeAfterBytes.Add(-int64(m)) <= 0 {
			c.faults.closeAfterBytes.Store(0)
			_ = c.Conn.Close()
		}
		return m, err
	}
	n, err := c.Conn.Read(p)
	c.faults.received.Add(int64(n))
	if x := c.faults.extraBytes.Load(); x != nil && n > 0 && p[n-6] == 'Z' && n+len(*x) <= len(p) {
		c.faults.extraBytes.Store(nil)
		n += copy(p[n:], *x)
	}
	return n, err
}

// Guards against a truncated response that is delivered as complete, and against
// reuse of a server connection with unread data. Each step closes the server
// connection after a number of bytes of the response.
func TestServerConnectionLostMidResponse(t *testing.T) {
	faults := &faultInjector{}
	f := newFixture(t, fixtureConfig{dial: faults.dial})
	c := f.connectPgx("default_query_exec_mode=exec")
	mustExec(t, c, "CREATE TABLE big (id bigint, pad text)")
	mustExec(t, c, "INSERT INTO big WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 300) SELECT i, '"+
		strings.Repeat("x", 1000)+"' FROM n")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM big"), int64(300))

	// A read is retried if no byte of its response was sent to the caller.
	faults.closeAfterBytes.Store(20)
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM big"), int64(300))

	// Otherwise the caller gets an error, not a truncated result.
	faults.closeAfterBytes.Store(100_000)
	rows, err := c.Query(context.Background(), "SELECT id, pad FROM big")
	assert.NilError(t, err)
	n := 0
	for rows.Next() {
		n++
	}
	assertErrorContains(t, rows.Err(), "VH503")
	assert.Assert(t, n < 300)
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM big"), int64(300))

	// The outcome of a write is unknown.
	faults.closeAfterBytes.Store(5)
	_, err = c.Exec(context.Background(), "DELETE FROM big WHERE id = $1", 1)
	assertErrorContains(t, err, "08007")

	// A statement inside a transaction is reported as not run, since nothing was
	// committed.
	tx, err := c.Begin(context.Background())
	assert.NilError(t, err)
	faults.closeAfterBytes.Store(5)
	_, err = tx.Exec(context.Background(), "DELETE FROM big WHERE id = $1", 2)
	assertErrorContains(t, err, "not run")
	_, err = tx.Exec(context.Background(), "DELETE FROM big WHERE id = $1", 3)
	assertErrorContains(t, err, "25P02")
	assert.NilError(t, tx.Rollback(context.Background()))
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM big WHERE id IN (2, 3)"), int64(2))
}

// Guards against a late response that is delivered as the response to the next
// request on the server connection, which can be that of another session. A
// response is late when the endpoint sends extra messages after ReadyForQuery, or
// when the statement has timed out.
func TestLateResponseIsDiscarded(t *testing.T) {
	faults := &faultInjector{}
	f := newFixture(t, fixtureConfig{dial: faults.dial})
	c := f.connectPgx("default_query_exec_mode=simple_protocol")
	mustExec(t, c, "CREATE TABLE one (id bigint)")
	mustExec(t, c, "INSERT INTO one VALUES (42)")
	for range 5 {
		late := []byte("D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x0266C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05I")
		faults.extraBytes.Store(&late)
		assert.Equal(t, queryInt(t, c, "SELECT id FROM one"), int64(42))
		assert.Equal(t, queryInt(t, c, "SELECT id FROM one"), int64(42))
	}
	// The primary delays its answers as well: on a busy machine the replicas may be too
	// far behind for the read.
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.AnswerDelay = 3 * time.Second })
	}
	mustExec(t, c, "SET statement_timeout = '50ms'")
	var n int
	err := c.QueryRow(context.Background(), "SELECT 7").Scan(&n)
	assertErrorContains(t, err, "57014")
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.AnswerDelay = 0 })
	}
	mustExec(t, c, "SET statement_timeout = DEFAULT")
	for i := range 20 {
		assert.Equal(t, queryInt(t, c, fmt.Sprintf("SELECT %d", i)), int64(i))
	}
}

// Guards against a cancel request that has no effect on the running statement,
// and against one that cancels a later statement.
func TestCancel(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint)")
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.AnswerDelay = 300 * time.Millisecond })
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT count(*) FROM jobs")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, c.PgConn().CancelRequest(context.Background()))
	err := <-done
	if err != nil {
		// The statement may have succeeded, since the stand-in runs it before it
		// delays the response. If it failed, the error says that it was cancelled
		// and has not run.
		assertErrorContains(t, err, "57014")
		assertErrorContains(t, err, "not run")
	}
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.AnswerDelay = 0 })
	}
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(0))
}

// Guards against a cancel request that is dropped because it arrived at an
// instance that does not own the session.
func TestCancelForwardedToOwningInstance(t *testing.T) {
	got := make(chan CancelKey, 1)
	f := newFixture(t, fixtureConfig{options: func(o *Options) {
		o.ForwardCancel = func(_ context.Context, instance uint32, k CancelKey) error {
			if instance != 9 {
				return errors.New("wrong instance")
			}
			got <- k
			return nil
		}
	}})
	nc, err := net.Dial("tcp", f.srv.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	k := CancelKey{Process: 9<<sessionBits | 3, Secret: 77}
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, 80877102)
	b = binary.BigEndian.AppendUint32(b, k.Process)
	b = binary.BigEndian.AppendUint32(b, k.Secret)
	_, err = nc.Write(b)
	assert.NilError(t, err)
	assert.Equal(t, <-got, k)
	assert.Assert(t, !f.srv.Cancel(CancelKey{Process: 5<<sessionBits | 1, Secret: 1}))
}

// Guards against a withdrawn key that keeps working in an open session: idle, in
// a transaction, or with a running request.
func TestWithdrawnKeyEndsLiveSessions(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	idle := f.connectPgx("")
	inTx := f.connectPgx("")
	busy := f.connectPgx("default_query_exec_mode=simple_protocol")
	mustExec(t, idle, "CREATE TABLE jobs (id bigint)")
	tx, err := inTx.Begin(context.Background())
	assert.NilError(t, err)
	_, err = tx.Exec(context.Background(), "INSERT INTO jobs VALUES (1)")
	assert.NilError(t, err)
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.AnswerDelay = time.Second })
	}
	done := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "SELECT count(*) FROM jobs")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	f.editSnapshot(func(v *snapshot.Snapshot) { v.Withdrawn = map[fleet.KeyID]bool{"k2": true} })
	assertErrorContains(t, <-done, "28000")
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.AnswerDelay = 0 })
	}
	time.Sleep(3 * sessionCheckInterval)
	for _, c := range []*pgx.Conn{idle, inTx} {
		_, err := c.Exec(context.Background(), "SELECT 1")
		assertErrorContains(t, err, "28000")
		assertErrorContains(t, err, "not run")
	}
	_, err = pgx.Connect(context.Background(), f.url(""))
	assertErrorContains(t, err, "28000")
	// The account's other key still works.
	c, err := pgx.Connect(context.Background(), f.urlFor("bookings", oldKey, "crew", ""))
	assert.NilError(t, err)
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(0))
	assert.NilError(t, c.Close(context.Background()))
}

// Guards against a session that keeps running on an instance with stale
// configuration. This applies to sessions authenticated by key and to those on an
// open route, which needs no key. It applies to idle sessions and to those in a
// transaction.
func TestStaleConfigurationEndsSessions(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint)")
	tx, err := c.Begin(context.Background())
	assert.NilError(t, err)
	_, err = tx.Exec(context.Background(), "INSERT INTO jobs VALUES (1)")
	assert.NilError(t, err)
	open, err := pgx.Connect(context.Background(), f.urlFor("anybody", "", "public", ""))
	assert.NilError(t, err)
	assert.Equal(t, queryInt(t, open, "SELECT 1"), int64(1))
	f.editSnapshot(func(v *snapshot.Snapshot) { v.FreshUntil = time.Now().Add(-time.Second) })
	_, err = open.Exec(context.Background(), "SELECT 1")
	assertErrorContains(t, err, "VH503")
	assertErrorContains(t, err, "not run")
	err = tx.Commit(context.Background())
	assertErrorContains(t, err, "VH503")
	assertErrorContains(t, err, "not run")
	_, err = pgx.Connect(context.Background(), f.url(""))
	assertErrorContains(t, err, "VH503")
	_, err = pgx.Connect(context.Background(), f.urlFor("anybody", "", "public", ""))
	assertErrorContains(t, err, "VH503")
	f.editSnapshot(nil)
	again, err := pgx.Connect(context.Background(), f.urlFor("anybody", "", "public", ""))
	assert.NilError(t, err)
	assert.Equal(t, queryInt(t, again, "SELECT 1"), int64(1))
	assert.NilError(t, again.Close(context.Background()))
	assert.Equal(t, queryInt(t, f.connectPgx(""), "SELECT count(*) FROM jobs"), int64(0))
}

// Guards against malformed input that affects other sessions. It must close only
// the connection that sent it.
func TestMalformedInputClosesOnlyThatConnection(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	good := f.connectPgx("")
	mustExec(t, good, "SELECT 1")
	send := func(b []byte) {
		nc, err := net.Dial("tcp", f.srv.Addr().String())
		assert.NilError(t, err)
		defer nc.Close()
		_, _ = nc.Write(b)
		_ = nc.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err = io.Copy(io.Discard, nc)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded))
		var ne net.Error
		assert.Assert(t, !errors.As(err, &ne) || !ne.Timeout(), "connection stays open")
	}
	send([]byte("GET / HTTP/1.1\r\n\r\n"))
	send([]byte{0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0})
	send([]byte{0, 0, 0, 9, 0, 3, 0, 0, 'x'})
	send([]byte{0, 0, 0, 1})

	for _, msg := range [][]byte{
		{'Q', 0x7f, 0xff, 0xff, 0xff, 'x'},
		{'Q', 0, 0, 0, 1},
		{'B', 0, 0, 0, 6, 'a', 'b'},
		{'%', 0, 0, 0, 4},
		{'P', 0, 0, 0, 8, 0, 0, 0, 9},
	} {
		c, err := pgx.Connect(context.Background(), f.url(""))
		assert.NilError(t, err)
		h, err := c.PgConn().Hijack()
		assert.NilError(t, err)
		_, err = h.Conn.Write(msg)
		assert.NilError(t, err)
		_ = h.Conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		out, err := io.ReadAll(h.Conn)
		assert.NilError(t, err, "message %v", msg)
		assert.Assert(t, bytes.Contains(out, []byte("08P01")), "message %v: %q", msg, out)
		_ = h.Conn.Close()
	}
	mustExec(t, good, "SELECT 1")
	assert.Assert(t, f.counter("proxy.malformed") >= 5)
}

// Guards against a key that is disclosed: neither the caller's key nor that of
// the system user may appear in what is sent to an endpoint, in a decision
// record, an error or a metric.
func TestKeysAreNotDisclosed(t *testing.T) {
	faults := &faultInjector{}
	f := newFixture(t, fixtureConfig{dial: faults.dial})
	c := f.connectPgx("application_name=x")
	mustExec(t, c, "CREATE TABLE jobs (id bigint)")
	mustExec(t, c, "INSERT INTO jobs VALUES (1)")
	_, err := pgx.Connect(context.Background(), f.urlFor("bookings", callerKey+"x", "crew", ""))
	assertErrorContains(t, err, "28P01")
	_, err2 := pgx.Connect(context.Background(), f.urlFor("nobody", callerKey, "crew", ""))
	assertErrorContains(t, err2, "28P01")
	_, err3 := pgx.Connect(context.Background(), f.urlFor("bookings", callerKey, "other", ""))
	assertErrorContains(t, err3, "42501")
	faults.mu.Lock()
	sent := faults.sent.String()
	faults.mu.Unlock()
	metricsText := fmt.Sprint(f.reg.GetAll())
	for _, s := range []string{sent, f.rec.text(), errText(err), errText(err2), errText(err3), metricsText} {
		assert.Assert(t, !strings.Contains(s, callerKey))
		assert.Assert(t, !strings.Contains(s, systemKey))
	}
	assert.Assert(t, strings.Contains(sent, "vanillahinge/i1"))
}

// Guards against a refusal without outcome, SQLSTATE or remedy, and against a
// session that cannot be used after a refusal.
func TestRefusedStatements(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	ctx := context.Background()
	for _, sql := range []string{
		"COPY jobs FROM STDIN", "LISTEN x", "CREATE TEMP TABLE t (id int)", "SELECT pg_advisory_lock(1)",
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1", "PREPARE p AS SELECT 1", "SET vh.unknown = 1",
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			rows, err := c.Query(ctx, sql, mode)
			if err == nil {
				rows.Close()
				err = rows.Err()
			}
			var pe *pgconn.PgError
			assert.Assert(t, errors.As(err, &pe), "%s: %v", sql, err)
			assert.Equal(t, pe.Code, "0A000", sql)
			assert.Assert(t, strings.HasPrefix(pe.Message, "not run: "), pe.Message)
			assert.Assert(t, pe.Hint != "", sql)
			assert.Equal(t, pe.Detail, "outcome=not_run")
		}
	}
	var over error = outcome.New(outcome.OverRate, outcome.NotRun, "over the rate", "wait 20ms")
	f.admitter.fail.Store(&over)
	_, err := c.Exec(ctx, "SELECT 1")
	assertErrorContains(t, err, "VH429")
	f.admitter.fail.Store(nil)
	mustExec(t, c, "SELECT 1")
	assert.Assert(t, strings.Contains(f.rec.text(), "over_rate"))
}

// Guards against a drain that interrupts a request or a transaction, or that
// closes a session without sending its token.
func TestDrain(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	ctx := context.Background()
	idle, busy := f.connectPgx(""), f.connectPgx("")
	mustExec(t, idle, "CREATE TABLE jobs (id bigint)")
	tx, err := busy.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (1)")
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- f.srv.Stop(ctx) }()
	time.Sleep(50 * time.Millisecond)
	_, err = idle.Exec(ctx, "SELECT 1")
	assertErrorContains(t, err, "57P01")
	token := idle.PgConn().ParameterStatus("vh.token")
	assert.Assert(t, token != "")
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (2)")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(ctx))
	assert.NilError(t, <-stopped)
	_, err = busy.Exec(ctx, "SELECT 1")
	assert.Assert(t, err != nil)
	_, err = pgx.Connect(ctx, f.url(""))
	assert.Assert(t, err != nil)
}

// Guards against a cancel request that is lost while its statement waits for a
// server connection, and against a cancelled statement that stays queued.
func TestCancelWhileQueued(t *testing.T) {
	f := newFixture(t, fixtureConfig{maxConns: 1})
	ctx := context.Background()
	holder, waiting := f.connectPgx(""), f.connectPgx("")
	mustExec(t, holder, "CREATE TABLE jobs (id bigint)")
	tx, err := holder.Begin(ctx)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := waiting.Exec(ctx, "INSERT INTO jobs VALUES (1)")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	assert.NilError(t, waiting.PgConn().CancelRequest(ctx))
	err = <-done
	assertErrorContains(t, err, "57014")
	assertErrorContains(t, err, "not run")
	assert.Assert(t, time.Since(start) < time.Second)
	_, err = waiting.Exec(ctx, "INSERT INTO jobs VALUES (2)")
	assertErrorContains(t, err, "VH504")
	assert.NilError(t, tx.Rollback(ctx))
	mustExec(t, waiting, "INSERT INTO jobs VALUES (3)")
	assert.Equal(t, queryInt(t, waiting, "SELECT sum(id) FROM jobs"), int64(3))
}
