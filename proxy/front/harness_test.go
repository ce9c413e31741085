package front

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	_ "github.com/lib/pq"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/proxy/auth"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

const (
	systemUser = "system"
	systemKey  = "system-secret"
	// callerKey is a canary value: it must never reach an endpoint, a log or a
	// decision record.
	callerKey = "canary-7f3a9c51"
	oldKey    = "canary-old-key"
)

// TestMain fails if a test leaves goroutines behind. It ignores the meterArbiter
// of go-metrics, one goroutine per process that never ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// fixture is one instance in front of a group of three stand-in endpoints.
type fixture struct {
	t         testing.TB
	endpoints []*endpoint.Endpoint
	publisher *snapshot.Publisher
	srv       *Server
	pool      *pool.Pool
	reg       metrics.Registry
	rec       recorder
	acks      *fakeAcks
	admitter  *fakeAdmitter
	opts      Options

	mu sync.Mutex
	// edit modifies each snapshot before it is published.
	edit func(*snapshot.Snapshot)
	stop chan struct{}
	done sync.WaitGroup
	// edits counts the calls of editSnapshot, publishedEdits those whose edit is in the
	// snapshot published last.
	edits          int64
	publishedEdits atomic.Int64
}

// recorder keeps the decision records in memory.
type recorder struct {
	mu   sync.Mutex
	list []decision.Record
}

func (r *recorder) Record(d decision.Record) {
	r.mu.Lock()
	r.list = append(r.list, d)
	r.mu.Unlock()
}

func (r *recorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%+v", r.list)
}

// fakeAdmitter admits every statement unless fail is set.
type fakeAdmitter struct{ fail atomic.Pointer[error] }

func (a *fakeAdmitter) Admit(context.Context, fleet.AccountID) error {
	if e := a.fail.Load(); e != nil {
		return *e
	}
	return nil
}

// fakeAcks implements ctl.Acks by reading the status of the stand-in endpoints
// directly.
type fakeAcks struct {
	f *fixture
	// waits and confirms count the calls of WaitReplicated and ConfirmTerm.
	waits, confirms atomic.Int64
	// blockReplication makes WaitReplicated block until its context ends;
	// failConfirm makes ConfirmTerm fail.
	blockReplication, failConfirm atomic.Bool
}

func (a *fakeAcks) WaitReplicated(ctx context.Context, _ fleet.GroupID, t fleet.Term, pos fleet.Position) error {
	a.waits.Add(1)
	for {
		n := 0
		for _, e := range a.f.endpoints {
			if s := e.Status(); s.FenceTerm == t && s.Received >= pos {
				n++
			}
		}
		if n >= 2 && !a.blockReplication.Load() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Microsecond):
		}
	}
}

func (a *fakeAcks) ConfirmTerm(_ context.Context, _ fleet.GroupID, t fleet.Term) error {
	a.confirms.Add(1)
	if a.failConfirm.Load() {
		return errors.New("term confirmation disabled by the test")
	}
	for _, e := range a.f.endpoints {
		if s := e.Status(); s.Role == fleet.RoleReplica && s.FenceTerm == t {
			return nil
		}
	}
	return errors.New("no replica confirms the term")
}

// fixtureConfig holds optional overrides for newFixture.
type fixtureConfig struct {
	options  func(*Options)
	endpoint func(i int, c *endpoint.Config)
	dial     pool.DialFunc
	edit     func(*snapshot.Snapshot) // modifies each snapshot before it is published
	maxConns int
}

// newFixture starts the endpoints and the instance, publishes a new snapshot of
// the endpoints' status every millisecond, and stops everything at the end of the
// test.
func newFixture(t testing.TB, s fixtureConfig) *fixture {
	t.Helper()
	f := &fixture{t: t, edit: s.edit, stop: make(chan struct{}), reg: metrics.NewRegistry()}
	var primary string
	for i := range 3 {
		c := endpoint.Config{
			ID: fleet.EndpointID(fmt.Sprintf("e%d", i)), Group: "g", User: systemUser, Password: systemKey,
			Primary: primary, LogWriter: io.Discard, ConnectDelay: -1, Dir: t.TempDir(),
		}
		if s.endpoint != nil {
			s.endpoint(i, &c)
		}
		e, err := endpoint.Start(c)
		assert.NilError(t, err)
		f.endpoints = append(f.endpoints, e)
		if i == 0 {
			primary = e.Addr()
		}
	}
	salt := []byte("salt-of-bookings")
	k1, err := auth.NewVerifier("k1", oldKey, salt, 4096)
	assert.NilError(t, err)
	k2, err := auth.NewVerifier("k2", callerKey, salt, 4096)
	assert.NilError(t, err)
	account := &snapshot.Account{ID: "bookings", Weight: 1, Keys: []snapshot.SCRAMVerifier{k1, k2}, Databases: map[string]bool{"crew": true}}
	newSnapshot := func() *snapshot.Snapshot {
		return &snapshot.Snapshot{
			Instance: "i1", DataCentre: "szeged", FreshUntil: time.Now().Add(time.Hour),
			Accounts: map[fleet.AccountID]*snapshot.Account{"bookings": account},
			Databases: map[string]*snapshot.Database{
				"crew": {Name: "crew", Group: "g"}, "public": {Name: "public", Group: "g", Open: true},
			},
			TokenKeys: [][]byte{[]byte("0123456789abcdef0123456789abcdef")},
		}
	}
	if s.maxConns == 0 {
		s.maxConns = 6
	}
	publish := func() {
		v := newSnapshot()
		g := &snapshot.Group{ID: "g"}
		now := time.Now()
		for _, e := range f.endpoints {
			st := e.Status()
			if st.Role == fleet.RolePrimary && st.Term >= g.Term && st.FenceTerm == st.Term {
				g.Term, g.Primary = st.Term, st.Endpoint
			}
			g.Endpoints = append(g.Endpoints, &snapshot.Endpoint{ID: st.Endpoint, DataCentre: "szeged", Addr: e.Addr(),
				Slots: 3, MaxConns: s.maxConns, Status: st, StatusAt: now, AppliedAsOf: now})
		}
		v.Groups = map[fleet.GroupID]*snapshot.Group{"g": g}
		f.mu.Lock()
		if f.edit != nil {
			f.edit(v)
		}
		edits := f.edits
		f.mu.Unlock()
		if f.publisher == nil {
			f.publisher = snapshot.NewPublisher(v)
		} else {
			f.publisher.Publish(v)
		}
		f.publishedEdits.Store(edits)
	}
	publish()
	creds, err := auth.NewCredentials(systemUser, systemKey)
	assert.NilError(t, err)
	f.pool = pool.New(pool.Options{Instance: "i1", Credentials: creds, Dial: s.dial})
	f.acks, f.admitter = &fakeAcks{f: f}, &fakeAdmitter{}
	o := Options{
		Addr: "127.0.0.1:0", Source: f.publisher, Acks: f.acks, Admitter: f.admitter, Recorder: &f.rec, Pool: f.pool,
		Metrics: f.reg, InstanceNumber: 5, AckTimeout: 500 * time.Millisecond,
	}
	if s.options != nil {
		s.options(&o)
	}
	f.opts = o
	f.srv, err = New(o)
	assert.NilError(t, err)
	f.done.Add(2)
	go func() {
		defer f.done.Done()
		for {
			select {
			case <-f.stop:
				return
			case <-time.After(time.Millisecond):
				publish()
			}
		}
	}()
	go func() {
		defer f.done.Done()
		if err := f.srv.Start(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		assert.NilError(t, f.srv.Stop(ctx))
		close(f.stop)
		f.done.Wait()
		f.pool.Close()
		for _, e := range f.endpoints {
			_ = e.Close()
		}
	})
	return f
}

// startSecondInstance starts a second instance in front of the same endpoints
// and returns its address.
func (f *fixture) startSecondInstance() string {
	f.t.Helper()
	creds, err := auth.NewCredentials(systemUser, systemKey)
	assert.NilError(f.t, err)
	o := f.opts
	o.InstanceNumber++
	o.Pool = pool.New(pool.Options{Instance: "i2", Credentials: creds})
	srv, err := New(o)
	assert.NilError(f.t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Start(context.Background())
	}()
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = srv.Stop(ctx)
		<-done
		o.Pool.Close()
	})
	return srv.Addr().String()
}

// editSnapshot applies edit to every later snapshot and waits until one of them has
// been published.
func (f *fixture) editSnapshot(edit func(*snapshot.Snapshot)) {
	f.mu.Lock()
	f.edit = edit
	f.edits++
	edits := f.edits
	f.mu.Unlock()
	for f.publishedEdits.Load() < edits {
		time.Sleep(time.Millisecond)
	}
}

// url returns a connection URL for the account bookings and the database crew.
// extra is appended to the query string.
func (f *fixture) url(extra string) string {
	return f.urlFor("bookings", callerKey, "crew", extra)
}

func (f *fixture) urlFor(user, key, db, extra string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&%s", user, key, f.srv.Addr(), db, extra)
}

func (f *fixture) connectPgx(extra string) *pgx.Conn {
	f.t.Helper()
	c, err := pgx.Connect(context.Background(), f.url(extra))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.Close(ctx)
	})
	return c
}

func (f *fixture) openPQ(extra string) *sql.DB {
	f.t.Helper()
	db, err := sql.Open("postgres", f.url(extra))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = db.Close() })
	return db
}

func (f *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, f.reg).Count()
}

func mustExec(t testing.TB, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := c.Exec(context.Background(), sql, args...)
	assert.NilError(t, err, sql)
}

func queryInt(t testing.TB, c *pgx.Conn, sql string, args ...any) int64 {
	t.Helper()
	var n int64
	assert.NilError(t, c.QueryRow(context.Background(), sql, args...).Scan(&n), sql)
	return n
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func assertErrorContains(t testing.TB, err error, part string) {
	t.Helper()
	assert.Assert(t, strings.Contains(errText(err), part), "error %v does not contain %q", err, part)
}
