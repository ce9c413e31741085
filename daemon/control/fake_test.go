package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/ctl"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
	"github.com/vanillahinge/vanillahinge/peer/v1/peerv1connect"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// fakeStore is an in-memory stand-in for the platform's table, object store and
// instance list.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]tablestore.Row
	objects map[string]string
	listed  []tablestore.InstanceEntry
	down    bool
	// loseAnswers is, by row, the number of puts still to take effect without a
	// response.
	loseAnswers map[string]int
	// downAfter names a row: the next put to it makes the store unavailable.
	downAfter string
}

func newStore() *fakeStore {
	return &fakeStore{rows: map[string]tablestore.Row{}, objects: map[string]string{}, loseAnswers: map[string]int{}}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, key string) (tablestore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	r, ok := s.rows[key]
	if !ok {
		return r, tablestore.ErrNotFound
	}
	return r, nil
}

func (s *fakeStore) Put(_ context.Context, key string, ifVersion uint64, v []byte) (tablestore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	if s.rows[key].Version != ifVersion {
		return tablestore.Row{}, tablestore.ErrConflict
	}
	s.rows[key] = tablestore.Row{Key: key, Version: ifVersion + 1, Value: v}
	if s.downAfter == key {
		s.down = true
	}
	if s.loseAnswers[key] > 0 {
		s.loseAnswers[key]--
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	return s.rows[key], nil
}

func (s *fakeStore) List(context.Context, string) ([]tablestore.Row, error) { return nil, nil }

func (s *fakeStore) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, tablestore.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return nil, tablestore.ErrNotFound
	}
	return []byte(o), nil
}

func (s *fakeStore) PutObject(_ context.Context, key string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return tablestore.ErrUnavailable
	}
	if o, ok := s.objects[key]; ok && o != string(data) {
		return tablestore.ErrConflict
	}
	s.objects[key] = string(data)
	return nil
}

// fakeInstanceList is the platform's instance list as seen by one instance.
type fakeInstanceList struct {
	s         *fakeStore
	reachable func() bool
}

func (l fakeInstanceList) List(context.Context) ([]tablestore.InstanceEntry, error) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.s.down || !l.reachable() {
		return nil, tablestore.ErrUnavailable
	}
	return append([]tablestore.InstanceEntry(nil), l.s.listed...), nil
}

func (l fakeInstanceList) Register(context.Context, tablestore.InstanceEntry) error { return nil }

// partitionableTable is the table as seen by one instance, which may be isolated.
type partitionableTable struct {
	*fakeStore
	reachable func() bool
}

func (t partitionableTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if !t.reachable() {
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	return t.fakeStore.Get(ctx, key)
}

func (t partitionableTable) Put(ctx context.Context, key string, v uint64, b []byte) (tablestore.Row, error) {
	if !t.reachable() {
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	return t.fakeStore.Put(ctx, key, v, b)
}

// fakeEndpoints watches no endpoints.
type fakeEndpoints struct{}

func (fakeEndpoints) Watch(map[fleet.GroupID]*snapshot.Group)   {}
func (fakeEndpoints) Commands(id fleet.EndpointID) ctl.Commands { return nil }

// fakeQuota ignores updates.
type fakeQuota struct{}

func (fakeQuota) Update(map[fleet.AccountID]*snapshot.Account, int, int, []fleet.InstanceID) {}
func (fakeQuota) Release()                                                                   {}
func (fakeQuota) Released() bool                                                             { return true }

// fakeRecorder collects decision records.
type fakeRecorder struct {
	mu   sync.Mutex
	list []decision.Record
}

func (r *fakeRecorder) Record(x decision.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// network connects controllers by address. Isolated instances cannot reach any
// other instance.
type network struct {
	mu          sync.Mutex
	controllers map[string]*Controller
	isolated    map[string]bool
}

func (n *network) dial(a, b string) (*Controller, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[a] || n.isolated[b] || n.controllers[b] == nil {
		return nil, errors.New("no connection")
	}
	return n.controllers[b], nil
}

func (n *network) setIsolated(id string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = cut
}

// directClient calls the peer's PeerService without a network.
type directClient struct {
	peerv1connect.PeerClient
	n        *network
	from, to string
}

func (d directClient) Pull(ctx context.Context, r *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	c, err := d.n.dial(d.from, d.to)
	if err != nil {
		return nil, err
	}
	return c.PeerService().Pull(ctx, r)
}

func (d directClient) Notice(ctx context.Context, r *peerv1.NoticeRequest) (*peerv1.NoticeResponse, error) {
	c, err := d.n.dial(d.from, d.to)
	if err != nil {
		return nil, err
	}
	return c.PeerService().Notice(ctx, r)
}

func (d directClient) Accept(ctx context.Context, r *peerv1.AcceptRequest) (*peerv1.AcceptResponse, error) {
	c, err := d.n.dial(d.from, d.to)
	if err != nil {
		return nil, err
	}
	return c.PeerService().Accept(ctx, r)
}

// fixture is a fleet of controllers that share one store.
type fixture struct {
	t           *testing.T
	store       *fakeStore
	net         *network
	operators   bundle.Operators
	keys        []bundle.PrivateKey
	controllers map[string]*Controller
	recorders   map[string]*fakeRecorder
}

func newFixture(t *testing.T, ids ...string) *fixture {
	t.Helper()
	f := &fixture{t: t, store: newStore(), net: &network{controllers: map[string]*Controller{}, isolated: map[string]bool{}}, operators: bundle.Operators{}, controllers: map[string]*Controller{}, recorders: map[string]*fakeRecorder{}}
	for _, id := range []string{"anna", "bela"} {
		k, err := bundle.NewPrivateKey(id)
		assert.NilError(t, err)
		pub, err := bundle.ParsePublicKey(k.Public())
		assert.NilError(t, err)
		f.operators[id], f.keys = pub, append(f.keys, k)
	}
	for _, id := range ids {
		f.store.listed = append(f.store.listed, tablestore.InstanceEntry{ID: fleet.InstanceID(id), DataCentre: "dc1", PeerAddr: id})
	}
	for _, id := range ids {
		f.start(id)
	}
	return f
}

// start starts an instance without any control state.
func (f *fixture) start(id string) *Controller {
	reachable := func() bool {
		f.net.mu.Lock()
		defer f.net.mu.Unlock()
		return !f.net.isolated[id]
	}
	rec := &fakeRecorder{}
	c := New(Config{
		Instance: fleet.InstanceID(id), DataCentre: "dc1", PeerAddr: id, RunID: fmt.Sprintf("run-%d", time.Now().UnixNano()), Operators: f.operators,
		Table: partitionableTable{f.store, reachable}, Objects: f.store, Instances: fakeInstanceList{f.store, reachable},
		PeerClient: func(addr string) peerv1connect.PeerClient { return directClient{n: f.net, from: id, to: addr} },
		Endpoints:  fakeEndpoints{}, Quota: fakeQuota{}, Recorder: rec, Log: logging.ForComponent(nil, "control"), Start: time.Now(),
	})
	f.net.mu.Lock()
	f.net.controllers[id] = c
	f.net.mu.Unlock()
	f.controllers[id], f.recorders[id] = c, rec
	go c.Run()
	f.t.Cleanup(c.Close)
	return c
}

// stop ends an instance without a graceful shutdown, as a crash does.
func (f *fixture) stop(id string) {
	f.net.mu.Lock()
	delete(f.net.controllers, id)
	f.net.mu.Unlock()
	f.controllers[id].Close()
	delete(f.controllers, id)
}

// doc returns a valid bundle document, modified by change if it is not nil.
func (f *fixture) doc(version uint64, change func(d *bundle.Document)) *bundle.Document {
	v, err := bundle.NewVerifier("rye")
	assert.NilError(f.t, err)
	d := &bundle.Document{
		Kind: bundle.KindBundle, Version: version, FleetSlots: 3,
		Accounts:  []bundle.Account{{ID: "a", Weight: 1, Rate: 100, Burst: 10, Keys: []bundle.Key{{ID: "a-1", Verifier: v}}, Databases: []string{"jobs"}}},
		Databases: []bundle.Database{{Name: "jobs", Group: "g1"}},
		Groups:    []bundle.Group{{ID: "g1"}},
		TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}},
	}
	for i := range 3 {
		d.Groups[0].Endpoints = append(d.Groups[0].Endpoints, bundle.Endpoint{ID: fleet.EndpointID(fmt.Sprintf("g1-%d", i)), DataCentre: "dc1", Addr: fmt.Sprintf("127.0.0.1:%d", 6001+i), Slots: 3, Connections: 20})
	}
	if change != nil {
		change(d)
	}
	return d
}

func (f *fixture) bundle(version uint64, change func(d *bundle.Document)) []byte {
	e, err := bundle.Seal(f.doc(version, change))
	assert.NilError(f.t, err)
	return f.sign(e)
}

func (f *fixture) withdrawal(keys ...fleet.KeyID) []byte {
	e, err := bundle.SealWithdrawal(&bundle.Withdrawal{Kind: bundle.KindWithdrawal, Keys: keys})
	assert.NilError(f.t, err)
	return f.sign(e)
}

func (f *fixture) sign(e *bundle.Envelope) []byte {
	assert.NilError(f.t, e.Sign(bundle.RoleAuthor, f.keys[0].ID, f.keys[0].Key))
	assert.NilError(f.t, e.Sign(bundle.RoleSignOff, f.keys[1].ID, f.keys[1].Key))
	b, err := e.Encode()
	assert.NilError(f.t, err)
	return b
}

// eventually waits until ok returns true and returns how long that took. It fails
// the test after bound.
func (f *fixture) eventually(what string, bound time.Duration, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > bound {
			f.t.Fatalf("timed out after %v: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *fixture) version(id string) uint64 {
	return f.controllers[id].Snapshots().Load().BundleVersion
}

func isFresh(c *Controller) bool { return time.Now().Before(c.Snapshots().Load().FreshUntil) }

// waitForVersion waits until the bundle version is in force at all running
// instances.
func (f *fixture) waitForVersion(version uint64, bound time.Duration) time.Duration {
	f.t.Helper()
	return f.eventually(fmt.Sprintf("version %d everywhere", version), bound, func() bool {
		for id := range f.controllers {
			if f.version(id) != version {
				return false
			}
		}
		return true
	})
}

func (f *fixture) waitForFresh(bound time.Duration) {
	f.t.Helper()
	f.eventually("all fresh", bound, func() bool {
		for _, c := range f.controllers {
			if !isFresh(c) {
				return false
			}
		}
		return true
	})
}

func hasRecordForRule(r *fakeRecorder, rule string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.list {
		if strings.Contains(x.Rule, rule) {
			return true
		}
	}
	return false
}
