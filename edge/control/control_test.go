package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
)

var errDown = errors.New("the store is down")

// noStore is a store that is down.
type noStore struct{}

func (noStore) ReadTable(context.Context, string) ([]kvstore.Row, uint64, error) {
	return nil, 0, errDown
}
func (noStore) Changes(context.Context, string, uint64, time.Duration) ([]kvstore.Row, uint64, error) {
	return nil, 0, errDown
}
func (noStore) Apply(context.Context, kvstore.Transaction) (uint64, error) { return 0, errDown }

// fakePeer is another instance that knows a configuration.
type fakePeer struct {
	addr string

	mu sync.Mutex
	// updates counts the calls, copies those answered with a configuration.
	updates, copies int
	// failing is how many of the next calls fail, silent how many of the next
	// calls for tokens get no answer.
	failing, silent int
	version         uint64
	padding         string
	own             []kvstore.Row
}

func (p *fakePeer) Update(_ context.Context, u *peerrpc.UpdateRequest) (*peerrpc.UpdateResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates++
	if p.failing > 0 {
		p.failing--
		return nil, errDown
	}
	a := &peerrpc.UpdateResponse{ProofAgeMS: 1, Serving: true, Tables: map[string]peerrpc.Table{}}
	if u.Tables["own"].AsOf < 1 {
		a.Tables["own"] = peerrpc.Table{TableState: peerrpc.TableState{AsOf: 1, Digest: 1}, Rows: p.own}
	}
	if u.Tables["operator"].AsOf < p.version {
		if len(u.RequestedTables) == 0 {
			a.NewerTables = []string{"operator"}
		} else {
			p.copies++
			value := fmt.Sprintf(`{"version":%d,"padding":%q}`, p.version, p.padding)
			a.Tables["operator"] = peerrpc.Table{TableState: peerrpc.TableState{AsOf: p.version, Digest: p.version},
				Rows: []kvstore.Row{{Table: "operator", Key: "config", Version: p.version, Value: []byte(value)}}}
		}
	}
	return a, nil
}

func (p *fakePeer) Confirm(context.Context, *peerrpc.ConfirmRequest) (*peerrpc.ConfirmResponse, error) {
	return nil, errDown
}
func (p *fakePeer) Reach(context.Context, *peerrpc.ReachRequest) (*peerrpc.ReachResponse, error) {
	return nil, errDown
}
func (p *fakePeer) Leave(context.Context, *peerrpc.LeaveRequest) (*peerrpc.LeaveResponse, error) {
	return &peerrpc.LeaveResponse{}, nil
}
func (p *fakePeer) Grant(ctx context.Context, g *peerrpc.GrantRequest) (*peerrpc.GrantResponse, error) {
	p.mu.Lock()
	silent := p.silent > 0
	p.silent--
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerrpc.GrantResponse{Tokens: g.RequestedTokens}, nil
}

// start runs a control beside other instances, of which the first ones run and
// the others have no process.
func start(t *testing.T, total int, running ...*fakePeer) *Controller {
	t.Helper()
	var own []kvstore.Row
	for i := range total {
		m := catalog.Member{ID: fleet.InstanceID(fmt.Sprint("peer-", i)), Addr: "127.0.0.1:1"}
		if i < len(running) {
			srv := httptest.NewServer(peerrpc.Handler(running[i]))
			t.Cleanup(srv.Close)
			m.Addr = strings.TrimPrefix(srv.URL, "http://")
			running[i].addr = m.Addr
		}
		value, err := json.Marshal(m)
		assert.NilError(t, err)
		own = append(own, kvstore.Row{Table: "own", Key: memberPrefix + string(m.ID), Version: 1, Value: value})
	}
	for _, p := range running {
		p.own = own
	}
	clk, m, log := clock.New(), telemetry.NewMetrics(), telemetry.NewLog(io.Discard, "self")
	c := New(Config{
		Self: catalog.Member{ID: "self", Addr: "127.0.0.1:2"}, Clock: clk, Store: noStore{}, Log: log, Metrics: m,
		Pool: pool.New(clk, nil, log, m, ""), Limiter: NewLimiter(clk, m, true, catalog.Tolerance{Window: time.Second}),
		Schema: Schema{OperatorTable: "operator", EndpointTable: "endpoints", FleetTable: "own", ConfigKey: "config",
			DecodeCatalog: func(raw []byte) (*catalog.Catalog, error) {
				v := struct {
					Version uint64 `json:"version"`
				}{}
				err := json.Unmarshal(raw, &v)
				return &catalog.Catalog{Version: v.Version}, err
			},
			DecodeEndpoint: func(kvstore.Row) (catalog.Endpoint, error) { return catalog.Endpoint{}, errDown },
			DecodeState:    func(stmt.Answer) (stmt.EndpointState, error) { return stmt.EndpointState{}, errDown },
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	assert.NilError(t, c.do(ctx, func() { c.replace("own", own, 1) }))
	return c
}

// inForce waits for a version of the configuration.
func inForce(t *testing.T, c *Controller, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var at uint64
		if err := c.do(context.Background(), func() {
			if c.catalog != nil {
				at = c.catalog.Version
			}
		}); err != nil {
			return poll.Error(err)
		}
		if at < version {
			return poll.Continue("version %d is in force", at)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against whole copies of a changed table from every other instance:
// they filled slow links, and calls for tokens ran into their time limit.
func TestConfigurationIsFetchedOnce(t *testing.T) {
	peers := []*fakePeer{{}, {}, {}, {}, {}}
	c := start(t, len(peers), peers...)
	for version := uint64(2); version <= 4; version++ {
		for _, p := range peers {
			p.mu.Lock()
			p.version, p.padding = version, strings.Repeat("x", 40<<10)
			p.mu.Unlock()
		}
		inForce(t, c, version)
	}
	copies := 0
	for _, p := range peers {
		p.mu.Lock()
		copies += p.copies
		p.mu.Unlock()
	}
	assert.Equal(t, copies, 3, "copies of three versions")
}

// Guards against an instance that is taken for cut off until its next turn
// comes, which takes 5 s among 36 instances, after two calls have failed.
func TestInstanceThatFailedIsCalledAgainSoon(t *testing.T) {
	p, proof := &fakePeer{failing: 2}, &fakePeer{}
	c := start(t, 36, p, proof)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		heard := false
		if err := c.do(context.Background(), func() { heard = c.peers["peer-0"].heard > 0 }); err != nil {
			return poll.Error(err)
		}
		if !heard {
			return poll.Continue("not heard yet")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against operations refused within the rate because one packet to the
// account's home was lost.
func TestTokensAreAskedForTwice(t *testing.T) {
	p := &fakePeer{silent: 1}
	c := start(t, 1, p)
	c.Limiter.SetAccounts(c.Clock.Now(), map[fleet.AccountID]catalog.Account{"acme": {Rate: 100, Burst: 10}})
	var home *peer
	assert.NilError(t, c.do(context.Background(), func() { home = c.peers["peer-0"] }))
	got, err := grant(home, &peerrpc.GrantRequest{Account: "acme", RequestedTokens: 1})
	assert.NilError(t, err)
	assert.Equal(t, got.Tokens, 1)
}
