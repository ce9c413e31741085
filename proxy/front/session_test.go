package front

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

// A session that continues on a new connection with its token must read its own
// writes. A forged token and the token of another account must be rejected.
func TestSessionTokenOnNewConnection(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint)")
	for _, e := range f.endpoints {
		e.SetFaults(func(x *endpoint.Faults) { x.ApplyDelay = 300 * time.Millisecond })
	}
	mustExec(t, c, "INSERT INTO jobs VALUES (1)")
	token := c.PgConn().ParameterStatus("vh.token")
	assert.Assert(t, token != "")
	for _, extra := range []string{"vh.token=" + token, "options=-c%20vh.token%3D" + token} {
		moved := f.connectPgx(extra)
		before := f.acks.confirms.Load()
		assert.Equal(t, queryInt(t, moved, "SELECT count(*) FROM jobs"), int64(1))
		assert.Equal(t, f.acks.confirms.Load(), before, "a known floor needs no confirmation")
	}
	set := f.connectPgx("")
	mustExec(t, set, "SET vh.token = '"+token+"'")
	assert.Equal(t, queryInt(t, set, "SELECT count(*) FROM jobs"), int64(1))
	_, err := set.Exec(context.Background(), "SET vh.token = 'x"+token[1:]+"'")
	assertErrorContains(t, err, "28000")
	_, err = pgx.Connect(context.Background(), f.urlFor("anybody", "", "public", "vh.token="+token))
	assertErrorContains(t, err, "28000")
}

// The floor of a session is the minimum log position that its reads must see.
// Without a known floor, a read must not be answered before the term of the primary
// is confirmed, inside and outside a transaction.
func TestReadWithoutFloorConfirmsTerm(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	mustExec(t, f.connectPgx(""), "CREATE TABLE jobs (id bigint)")
	f.acks.failConfirm.Store(true)
	c := f.connectPgx("")
	_, err := c.Exec(context.Background(), "SELECT count(*) FROM jobs")
	assertErrorContains(t, err, "VH503")
	tx, err := c.Begin(context.Background())
	assert.NilError(t, err)
	_, err = tx.Exec(context.Background(), "SELECT count(*) FROM jobs")
	assertErrorContains(t, err, "VH503")
	assert.NilError(t, tx.Rollback(context.Background()))
	// The row count of a write that changes nothing also reveals data of the
	// primary, so it needs the confirmation too.
	_, err = f.connectPgx("").Exec(context.Background(), "UPDATE jobs SET id = 1 WHERE id = 7")
	assertErrorContains(t, err, "08007")
	f.acks.failConfirm.Store(false)
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(0))
	n := f.acks.confirms.Load()
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(0))
	assert.Equal(t, f.acks.confirms.Load(), n, "the floor is known after the first read")
}

// After a promotion a session must write to the new primary, and no acknowledged
// write may be lost.
func TestWritesAfterPromotion(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint)")
	mustExec(t, c, "INSERT INTO jobs VALUES (1)")
	open, err := f.connectPgx("").Begin(context.Background())
	assert.NilError(t, err)
	_, err = open.Exec(context.Background(), "INSERT INTO jobs VALUES (2)")
	assert.NilError(t, err)

	promote(t, f, 1)
	err = open.Commit(context.Background())
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(err.Error(), "unknown"), "the endpoint refused: %v", err)
	deadline := time.Now().Add(3 * time.Second)
	for {
		if _, err = c.Exec(context.Background(), "INSERT INTO jobs VALUES (3)"); err == nil {
			break
		}
		assert.Assert(t, strings.Contains(err.Error(), "not run"), "%v", err)
		assert.Assert(t, time.Now().Before(deadline), "no write after the promotion: %v", err)
	}
	assert.Equal(t, queryInt(t, c, "SELECT sum(id) FROM jobs"), int64(4))
}

// promote makes endpoint n the primary of term 2.
func promote(t *testing.T, f *fixture, n int) {
	t.Helper()
	for i, e := range f.endpoints {
		runCommand(t, e, "VH FENCE 2 test")
		if i == n {
			runCommand(t, e, "VH PROMOTE 2 test")
		}
	}
	for i, e := range f.endpoints {
		if i != n {
			runCommand(t, e, "VH FOLLOW 2 "+f.endpoints[n].Addr())
		}
	}
}

// runCommand runs a VH command on an endpoint as the system user.
func runCommand(t *testing.T, e *endpoint.Endpoint, sql string) {
	t.Helper()
	c, err := pgconn.Connect(context.Background(), "postgres://"+systemUser+":"+systemKey+"@"+e.Addr()+"/postgres?sslmode=disable")
	assert.NilError(t, err)
	_, err = c.Exec(context.Background(), sql).ReadAll()
	assert.NilError(t, err, sql)
	assert.NilError(t, c.Close(context.Background()))
}

// Session parameters must not leak into another session, and must be kept when
// the session gets another server connection.
func TestSessionSettings(t *testing.T) {
	f := newFixture(t, fixtureConfig{maxConns: 2})
	a, b := f.connectPgx(""), f.connectPgx("")
	mustExec(t, a, "SET search_path TO 'a'")
	mustExec(t, a, "SET vh.max_age = '2s'")
	mustExec(t, a, "SET statement_timeout = '5s'")
	for range 5 {
		mustExec(t, a, "SELECT 1")
		mustExec(t, b, "SELECT 1")
	}
	show := func(c *pgx.Conn, name string, mode pgx.QueryExecMode) string {
		var s string
		assert.NilError(t, c.QueryRow(context.Background(), "SHOW "+name, mode).Scan(&s))
		return s
	}
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec} {
		assert.Equal(t, show(a, "vh.max_age", mode), "2s")
		assert.Equal(t, show(b, "vh.max_age", mode), "0s")
		assert.Equal(t, show(a, "statement_timeout", mode), "5000ms")
		assert.Equal(t, show(a, "vh.instance", mode), "i1")
	}
	mustExec(t, a, "RESET ALL")
	assert.Equal(t, show(a, "vh.max_age", pgx.QueryExecModeSimpleProtocol), "0s")
	mustExec(t, a, "DISCARD ALL")
	mustExec(t, a, "SELECT 1")
	// A SET that was rolled back has no effect.
	tx, err := a.Begin(context.Background())
	assert.NilError(t, err)
	_, err = tx.Exec(context.Background(), "SET search_path TO 'z'")
	assert.NilError(t, err)
	assert.NilError(t, tx.Rollback(context.Background()))
	mustExec(t, a, "SELECT 1")

	ro := f.connectPgx("default_transaction_read_only=on")
	_, err = ro.Exec(context.Background(), "CREATE TABLE x (id bigint)")
	assertErrorContains(t, err, "25006")
}

// A prepared statement must work on whichever server connection the session
// gets, and must be gone after its Close.
func TestPreparedStatements(t *testing.T) {
	f := newFixture(t, fixtureConfig{maxConns: 2})
	ctx := context.Background()
	mustExec(t, f.connectPgx(""), "CREATE TABLE jobs (id bigint)")
	var conns []*pgx.Conn
	for range 4 {
		c := f.connectPgx("")
		_, err := c.Prepare(ctx, "mine", "SELECT count(*) + $1 FROM jobs")
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	for i := range 40 {
		assert.Equal(t, queryInt(t, conns[i%4], "mine", i), int64(i))
	}
	_, err := conns[0].PgConn().Prepare(ctx, "mine", "SELECT 1", nil)
	assertErrorContains(t, err, "42P05")
	assert.NilError(t, conns[0].PgConn().Deallocate(ctx, "mine"))
	r := conns[0].PgConn().ExecPrepared(ctx, "mine", [][]byte{[]byte("1")}, nil, nil).Read()
	assertErrorContains(t, r.Err, "26000")
	// Prepare more statements than a server connection keeps.
	for i := range 300 {
		name := "s" + strings.Repeat("x", i%7) + string(rune('a'+i%26)) + time.Duration(i).String()
		_, err := conns[1].PgConn().Prepare(ctx, name, "SELECT "+time.Duration(i).String()[:1]+" + $1 + "+strings.Repeat("0+", i)+"1", []uint32{20})
		assert.NilError(t, err)
	}
	assert.Equal(t, queryInt(t, conns[1], "mine", 5), int64(5))
	// An error in one pipeline must not drop the session's other statements.
	_, err = conns[2].Exec(ctx, "INSERT INTO missing VALUES ($1)", 1)
	assertErrorContains(t, err, "42P01")
	assert.Equal(t, queryInt(t, conns[2], "mine", 6), int64(6))
}

// Parts of a pipeline that end with Flush are answered before the Sync. The
// commit at the Sync must still wait for replication, and an error must discard
// the rest of the pipeline up to the Sync.
func TestPipelineWithFlush(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint PRIMARY KEY)")
	h, err := c.PgConn().Hijack()
	assert.NilError(t, err)
	defer h.Conn.Close()
	fe := h.Frontend
	until := func(want byte) (types string) {
		for {
			m, err := fe.Receive()
			assert.NilError(t, err)
			b, err := m.(pgproto3.Message).(interface {
				Encode([]byte) ([]byte, error)
			}).Encode(nil)
			assert.NilError(t, err)
			if b[0] != 'S' {
				types += string(b[0])
			}
			if b[0] == want {
				return types
			}
		}
	}
	insert := func(id string) {
		fe.SendParse(&pgproto3.Parse{Query: "INSERT INTO jobs VALUES ($1)"})
		fe.SendBind(&pgproto3.Bind{Parameters: [][]byte{[]byte(id)}})
		fe.SendExecute(&pgproto3.Execute{})
	}
	insert("1")
	fe.Send(&pgproto3.Flush{})
	assert.NilError(t, fe.Flush())
	assert.Equal(t, until('C'), "12C")
	waits := f.acks.waits.Load()
	insert("2")
	fe.SendSync(&pgproto3.Sync{})
	assert.NilError(t, fe.Flush())
	assert.Equal(t, until('Z'), "12CZ")
	assert.Assert(t, f.acks.waits.Load() > waits, "the commit at Sync was acknowledged without waiting for replication")
	insert("3")
	insert("1")
	fe.Send(&pgproto3.Flush{})
	assert.NilError(t, fe.Flush())
	assert.Equal(t, until('E'), "12C12E")
	insert("4")
	fe.SendSync(&pgproto3.Sync{})
	assert.NilError(t, fe.Flush())
	assert.Equal(t, until('Z'), "Z")
	assert.Equal(t, queryInt(t, f.connectPgx(""), "SELECT sum(id) FROM jobs"), int64(3))
}

// A large result must be streamed, not buffered as a whole: while the client
// reads nothing, the instance stops reading from the endpoint.
func TestResultsAreStreamed(t *testing.T) {
	w := &faultInjector{}
	f := newFixture(t, fixtureConfig{dial: w.dial})
	c := f.connectPgx("default_query_exec_mode=simple_protocol")
	mustExec(t, c, "CREATE TABLE one (id bigint)")
	mustExec(t, c, "INSERT INTO one VALUES (1)")
	h, err := c.PgConn().Hijack()
	assert.NilError(t, err)
	defer h.Conn.Close()
	const rows, size = 400, 100_000
	h.Frontend.SendQuery(&pgproto3.Query{String: "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 400) " +
		"SELECT printf('%0100000d', i) FROM n, one"})
	assert.NilError(t, h.Frontend.Flush())
	last := int64(-1)
	for n := w.received.Load(); n != last || n < size; n = w.received.Load() {
		last = n
		time.Sleep(300 * time.Millisecond)
	}
	assert.Assert(t, last < rows*size/2, "the instance read %d bytes ahead of the client", last)
	got := 0
	for {
		m, err := h.Frontend.Receive()
		assert.NilError(t, err)
		switch m := m.(type) {
		case *pgproto3.DataRow:
			got += len(m.Values[0])
		case *pgproto3.ErrorResponse:
			t.Fatal(m.Message)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			break
		}
	}
	assert.Equal(t, got, rows*size)
}

// Idle sessions and idle transactions must be ended after their timeouts, so
// that they do not hold a session slot or a server connection forever.
func TestIdleTimeouts(t *testing.T) {
	f := newFixture(t, fixtureConfig{options: func(o *Options) {
		o.IdleTimeout, o.IdleInTransactionTimeout = 600*time.Millisecond, 200*time.Millisecond
	}})
	idle, holder := f.connectPgx(""), f.connectPgx("")
	_, err := holder.Begin(context.Background())
	assert.NilError(t, err)
	time.Sleep(450 * time.Millisecond)
	_, err = holder.Exec(context.Background(), "SELECT 1")
	assertErrorContains(t, err, "rolled back")
	mustExec(t, idle, "SELECT 1")
	time.Sleep(900 * time.Millisecond)
	_, err = idle.Exec(context.Background(), "SELECT 1")
	assertErrorContains(t, err, "57P01")
}

// newTLSConfig returns a server configuration with a self-signed certificate.
func newTLSConfig(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// Where TLS is required, a connection without it must be refused before the
// client proves its key, and plain-text bytes sent before the handshake must not
// be read as part of the TLS session.
func TestTLS(t *testing.T) {
	f := newFixture(t, fixtureConfig{options: func(o *Options) { o.TLS, o.RequireTLS = newTLSConfig(t), true }})
	_, err := pgx.Connect(context.Background(), f.url(""))
	assertErrorContains(t, err, "requires TLS")
	c, err := pgx.Connect(context.Background(), strings.Replace(f.url(""), "sslmode=disable", "sslmode=require", 1))
	assert.NilError(t, err)
	mustExec(t, c, "CREATE TABLE jobs (id bigint)")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(0))
	assert.NilError(t, c.Close(context.Background()))

	nc, err := net.Dial("tcp", f.srv.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	_, err = nc.Write(append([]byte{0, 0, 0, 8, 4, 210, 22, 47}, "smuggled"...))
	assert.NilError(t, err)
	b := make([]byte, 1)
	_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = nc.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, b[0], byte('E'))
}

// A live session must lose access to a database once a snapshot no longer lists
// the database for its account.
func TestDatabaseTakenFromAccount(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "SELECT 1")
	f.editSnapshot(func(v *snapshot.Snapshot) {
		a := *v.Accounts["bookings"]
		a.Databases = nil
		v.Accounts = map[fleet.AccountID]*snapshot.Account{"bookings": &a}
	})
	_, err := c.Exec(context.Background(), "SELECT 1")
	var pe *pgconn.PgError
	assert.Assert(t, errors.As(err, &pe))
	assert.Equal(t, pe.Code, "42501")
}

// execInBackground runs a statement in a new session in the background and gives
// it 50 ms to reach the endpoint or its queue.
func execInBackground(f *fixture, sql string) <-chan error {
	c, done := f.connectPgx("default_query_exec_mode=simple_protocol"), make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), sql)
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	return done
}

// promoteWithPrimaryIsolated promotes endpoint 1 to the primary of term 2 while
// endpoint 0, the old primary, is isolated.
func promoteWithPrimaryIsolated(t *testing.T, f *fixture) {
	t.Helper()
	for _, e := range f.endpoints[1:] {
		runCommand(t, e, "VH FENCE 2 test")
	}
	runCommand(t, f.endpoints[1], "VH PROMOTE 2 test")
	runCommand(t, f.endpoints[2], "VH FOLLOW 2 "+f.endpoints[1].Addr())
}

// When the primary is replaced, requests must not wait at the old one until
// their timeouts: a write that was sent fails with an unknown outcome, not with
// "not run", and queued requests run at the new primary.
func TestRequestsLeaveReplacedPrimary(t *testing.T) {
	f := newFixture(t, fixtureConfig{
		options: func(o *Options) { o.QueueTimeout = 5 * time.Second },
		edit: func(v *snapshot.Snapshot) {
			for _, e := range v.Groups["g"].Endpoints {
				e.Slots = 1
			}
		},
	})
	ctx := context.Background()
	mustExec(t, f.connectPgx(""), "CREATE TABLE jobs (id bigint)")
	tx, err := f.connectPgx("default_query_exec_mode=simple_protocol").Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (1)")
	assert.NilError(t, err)
	// The open transaction locks the database, so this INSERT waits at the
	// endpoint and occupies its only slot.
	sent := execInBackground(f, "INSERT INTO jobs VALUES (2)")
	f.endpoints[0].SetFaults(func(x *endpoint.Faults) { x.Isolate = []string{"*"} })
	inTx := make(chan error, 1)
	go func() {
		_, err := tx.Exec(ctx, "INSERT INTO jobs VALUES (4)")
		inTx <- err
	}()
	queued := []<-chan error{execInBackground(f, "INSERT INTO jobs VALUES (5)"), execInBackground(f, "SELECT count(*) FROM jobs")}

	begin := time.Now()
	promoteWithPrimaryIsolated(t, f)
	assertErrorContains(t, <-sent, "08007")
	err = <-inTx
	assertErrorContains(t, err, "VH001")
	assertErrorContains(t, err, "not run")
	for _, done := range queued {
		assert.NilError(t, <-done)
	}
	assert.Assert(t, time.Since(begin) < time.Second, "ended after %v", time.Since(begin))
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (6)")
	assertErrorContains(t, err, "25P02")
	assert.NilError(t, tx.Rollback(ctx))
	assert.Equal(t, queryInt(t, f.connectPgx(""), "SELECT sum(id) FROM jobs"), int64(5))
}

// A read, an idle transaction and a connection attempt must not stay with an
// isolated primary once the new primary serves.
func TestReadsLeaveIsolatedPrimary(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	ctx := context.Background()
	mustExec(t, f.connectPgx(""), "CREATE TABLE jobs (id bigint)")
	assert.NilError(t, <-execInBackground(f, "SELECT count(*) FROM jobs"))
	tx, err := f.connectPgx("default_query_exec_mode=simple_protocol").Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (1)")
	assert.NilError(t, err)
	f.endpoints[0].SetFaults(func(x *endpoint.Faults) { x.Isolate = []string{"*"} })
	waiting := []<-chan error{execInBackground(f, "SELECT count(*) FROM jobs"), execInBackground(f, "SELECT count(*) FROM jobs")}
	begin := time.Now()
	promoteWithPrimaryIsolated(t, f)
	for _, done := range waiting {
		assert.NilError(t, <-done)
	}
	// COMMIT was not sent to the old primary, so the outcome is not "unknown".
	err = tx.Commit(ctx)
	assertErrorContains(t, err, "VH001")
	assertErrorContains(t, err, "not run")
	assert.Assert(t, time.Since(begin) < 700*time.Millisecond, "ended after %v", time.Since(begin))
}
