package engine

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// recordingExecutor succeeds and records what runs, and for which client account.
type recordingExecutor struct {
	ran        []string
	accounts   []fleet.AccountID
	rolledBack int
}

func (r *recordingExecutor) Run(op *executor.Operation) executor.Outcome {
	r.ran = append(r.ran, op.Statement.ID)
	r.accounts = append(r.accounts, op.Account)
	return executor.Outcome{Answer: stmt.Answer{Signature: "s"}, Open: op.Statement.Kind != stmt.Commit}
}

func (r *recordingExecutor) Begin(op *executor.Operation, _ bool) (executor.Transaction, executor.Outcome) {
	return r, r.Run(op)
}

func (r *recordingExecutor) Rollback() { r.rolledBack++ }

// changingClient puts another configuration into force before one of its statements.
type changingClient struct {
	scriptedClient
	changeBefore string
	change       func()
}

func (c *changingClient) ReadStatement(deadline time.Time) (stmt.Statement, error) {
	q, err := c.scriptedClient.ReadStatement(deadline)
	if err == nil && q.ID == c.changeBefore {
		c.change()
	}
	return q, err
}

// Guards against a withdrawn key that goes on in an open transaction, and commits (review/5).
func TestWithdrawnKeyEndsOpenTransaction(t *testing.T) {
	route := catalog.Route{Database: "db"}
	open := catalog.Route{Database: "db", Open: true}
	routes := func(r catalog.Route) map[string]catalog.Route { return map[string]catalog.Route{"db": r} }
	acme := map[string]fleet.AccountID{"key": "acme"}
	before := &catalog.Catalog{Routes: routes(route), Keys: acme}
	without := &catalog.Catalog{Routes: routes(route)}
	statement := func(id string, kind stmt.Kind) stmt.Statement { return stmt.Statement{ID: id, Kind: kind, Name: "n"} }
	begin, put, fetch, commit := statement("begin", stmt.Begin), statement("put", stmt.Write), statement("fetch", stmt.Read), statement("commit", stmt.Commit)
	rollback, set, prepare, next := statement("rollback", stmt.Rollback), statement("set", stmt.Set), statement("prepare", stmt.Prepare), statement("next", stmt.Read)
	for _, c := range []struct {
		name          string
		before, after *catalog.Catalog
		statements    []stmt.Statement
		changeBefore  string
		codes         []stmt.Code
		ran           []string
		rolledBack    int
		// lastAccount is the account of the last statement that runs, "" if it does not matter.
		lastAccount fleet.AccountID
	}{
		{"a statement, and the session ends with the transaction", before, without, []stmt.Statement{begin, put, fetch, rollback, next}, "fetch",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.Aborted, stmt.OK}, []string{"put"}, 1, ""},
		{"the commit", before, without, []stmt.Statement{begin, put, commit, next}, "commit",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.Aborted}, []string{"put"}, 1, ""},
		{"the commit after a refused statement", before, without, []stmt.Statement{begin, put, fetch, commit, next}, "fetch",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.Aborted, stmt.Aborted}, []string{"put"}, 1, ""},
		{"nothing sent yet", before, without, []stmt.Statement{begin, put, rollback}, "put",
			[]stmt.Code{stmt.OK, stmt.Aborted, stmt.OK}, nil, 0, ""},
		{"set", before, without, []stmt.Statement{begin, put, set, commit}, "set",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.Aborted, stmt.Aborted}, []string{"put"}, 1, ""},
		{"prepare", before, without, []stmt.Statement{begin, put, prepare, commit}, "prepare",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.Aborted, stmt.Aborted}, []string{"put"}, 1, ""},
		{"rollback", before, without, []stmt.Statement{begin, put, rollback, next}, "rollback",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.OK}, []string{"put"}, 1, ""},
		{"the key belongs to another account", before, &catalog.Catalog{Routes: routes(route), Keys: map[string]fleet.AccountID{"key": "other"}},
			[]stmt.Statement{begin, put, commit, next}, "commit", []stmt.Code{stmt.OK, stmt.OK, stmt.Aborted, stmt.OK}, []string{"put", "next"}, 1, "other"},
		{"the key of an open route", &catalog.Catalog{Routes: routes(open), Keys: acme}, &catalog.Catalog{Routes: routes(open)},
			[]stmt.Statement{begin, put, commit, next}, "commit", []stmt.Code{stmt.OK, stmt.OK, stmt.Aborted, stmt.OK}, []string{"put", "next"}, 1, ""},
		// A changed route applies from the next transaction on.
		{"the route is removed", before, &catalog.Catalog{Keys: acme}, []stmt.Statement{begin, put, commit, next}, "put",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.OK, stmt.UnknownDatabase}, []string{"put", "commit"}, 0, ""},
		{"the route is closed", &catalog.Catalog{Routes: routes(open)}, without, []stmt.Statement{begin, put, commit, next}, "put",
			[]stmt.Code{stmt.OK, stmt.OK, stmt.OK}, []string{"put", "commit"}, 0, ""},
		{"the key stays", before, &catalog.Catalog{Routes: routes(route), Keys: map[string]fleet.AccountID{"key": "acme", "second": "acme"}},
			[]stmt.Statement{begin, put, fetch, commit, next}, "fetch", []stmt.Code{stmt.OK, stmt.OK, stmt.OK, stmt.OK, stmt.OK},
			[]string{"put", "fetch", "commit", "next"}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var current atomic.Pointer[view.View]
			current.Store(&view.View{Catalog: c.before})
			ran := &recordingExecutor{}
			e := &Engine{Clock: clock.New(), View: current.Load, Executor: ran, Admission: admitAll{}, Errors: classifier{},
				Log: telemetry.NewLog(io.Discard, "self"), Metrics: telemetry.NewMetrics()}
			client := &changingClient{scriptedClient: scriptedClient{statements: c.statements}, changeBefore: c.changeBefore,
				change: func() { current.Store(&view.View{Catalog: c.after}) }}
			e.Serve(client)
			var codes []stmt.Code
			for _, a := range client.replies {
				codes = append(codes, a.Code)
			}
			assert.DeepEqual(t, codes, c.codes)
			assert.DeepEqual(t, ran.ran, c.ran)
			assert.Equal(t, ran.rolledBack, c.rolledBack)
			if c.lastAccount != "" {
				assert.DeepEqual(t, ran.accounts, []fleet.AccountID{"acme", c.lastAccount})
			}
		})
	}
}
