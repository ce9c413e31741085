package executor

import (
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// obligingEndpoint accepts all connections, runs all statements and records them.
type obligingEndpoint struct {
	mu  sync.Mutex
	ran []stmt.Kind
	// open is set while a transaction is open.
	open bool
}

func (e *obligingEndpoint) Open(catalog.Endpoint, fleet.AccountID) (pool.RawConn, stmt.Answer, error) {
	return e, stmt.Answer{Position: endpointPosition}, nil
}

func (e *obligingEndpoint) Probe(string) error { return nil }
func (e *obligingEndpoint) Alive() bool        { return true }
func (e *obligingEndpoint) Close()             {}

func (e *obligingEndpoint) Do(_ time.Time, answers []stmt.Answer, ss ...stmt.Statement) ([]stmt.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range ss {
		e.ran = append(e.ran, s.Kind)
		a := stmt.Answer{Position: endpointPosition}
		switch s.Kind {
		case stmt.Begin:
			e.open = true
		case stmt.Commit, stmt.Rollback:
			e.open = false
		}
		if s.Kind != stmt.Begin && s.Kind != stmt.Rollback {
			a.Signature = "s"
		}
		if e.open {
			a.State = stmt.InTransaction
		}
		answers = append(answers, a)
	}
	return answers, nil
}

var endpointPosition = fleet.LogPosition{Term: 1, Position: 7}

// Guards against a write in a transaction that was begun as read-only at an endpoint which
// this instance takes for a replica, and which may be a former primary: such a connection is
// used without permission.
func TestReadOnlyTransactionDoesNotWriteAtAFormerPrimary(t *testing.T) {
	const group = fleet.GroupID("bookings")
	e := &obligingEndpoint{}
	clk, log, m := clock.New(), telemetry.NewLog(io.Discard, "self"), telemetry.NewMetrics()
	p := pool.New(clk, e, log, m, "")
	p.SetView(&view.View{Catalog: &catalog.Catalog{Groups: map[fleet.GroupID]catalog.Group{group: {ID: group, MaxConnections: 20}}},
		Endpoints: map[fleet.GroupID][]catalog.Endpoint{group: {{ID: "e1", Group: group, Addr: "10.0.0.1:1", Slots: 3}}},
		Leaders:   map[fleet.GroupID]catalog.Leadership{group: {Group: group, Version: 1, Revision: 1, Primary: "e1", Settled: true}},
		Sharers:   map[fleet.GroupID]int{group: 1}})
	p.SetPermissions(map[fleet.GroupID]lease.Permission{group: {Expiry: clk.Now() + time.Hour, To: 1 << 62}})
	l := &Local{Clock: clk, Pool: p, Log: log, Metrics: m}
	op := func(kind stmt.Kind) *Operation {
		return &Operation{Route: catalog.Route{Database: "db", Group: group, Consistency: catalog.BoundedStaleness, MaxStaleness: time.Minute,
			StatementTimeout: 500 * time.Millisecond, LatencyObjective: 200 * time.Millisecond},
			Account: "acme", Statement: stmt.Statement{ID: "q", Kind: kind}, StartedAt: clk.Now()}
	}
	assert.Equal(t, l.Run(op(stmt.Write)).Answer.Code, stmt.OK)
	// The instance is cut off: it has no permission, and knows no other primary.
	p.SetPermissions(map[fleet.GroupID]lease.Permission{})
	tx, out := l.Begin(op(stmt.Read), true)
	assert.Equal(t, out.Answer.Code, stmt.OK)
	e.ran = nil
	out = tx.Run(op(stmt.Write))
	assert.Equal(t, out.Answer.Code, stmt.Aborted)
	assert.Assert(t, !out.Open)
	assert.DeepEqual(t, e.ran, []stmt.Kind{stmt.Rollback})
}
