package engine

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// scriptedClient sends its statements one after the other and then ends.
type scriptedClient struct {
	statements []stmt.Statement

	mu      sync.Mutex
	replies []stmt.Answer
	closed  bool
}

func (c *scriptedClient) ReadStartup(time.Time) (string, string, error) { return "db", "key", nil }
func (c *scriptedClient) SendReady() error                              { return nil }
func (c *scriptedClient) Refuse(stmt.Code, string) error                { return nil }
func (c *scriptedClient) ReadStatement(time.Time) (stmt.Statement, error) {
	if len(c.statements) == 0 {
		return stmt.Statement{}, io.EOF
	}
	q := c.statements[0]
	c.statements = c.statements[1:]
	return q, nil
}
func (c *scriptedClient) Interrupt()    {}
func (c *scriptedClient) Pending() bool { return len(c.statements) > 0 }
func (c *scriptedClient) Reply(a stmt.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, a)
	return nil
}
func (c *scriptedClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// panickingExecutor panics over one statement and answers the others.
type panickingExecutor struct{}

func (panickingExecutor) Run(op *executor.Operation) executor.Outcome {
	if op.Statement.ID == "bad" {
		panic("test")
	}
	return executor.Outcome{Answer: stmt.Answer{Signature: "s"}}
}
func (panickingExecutor) Begin(*executor.Operation, bool) (executor.Transaction, executor.Outcome) {
	return nil, executor.Outcome{Answer: stmt.Answer{Code: stmt.Busy}}
}

type admitAll struct{}

func (admitAll) Admit(time.Duration, fleet.AccountID) ratelimit.Decision { return ratelimit.Admitted }

type classifier struct{}

func (classifier) IsSessionEnd(err error) bool  { return errors.Is(err, io.EOF) }
func (classifier) IsUnsupported(err error) bool { return false }
func (classifier) IsTimeout(err error) bool     { return false }

// Guards against a fault in one session that ends the whole process.
func TestPanicEndsOneSession(t *testing.T) {
	v := &view.View{Catalog: &catalog.Catalog{Routes: map[string]catalog.Route{"db": {Database: "db", Open: true}}}}
	e := &Engine{Clock: clock.New(), View: func() *view.View { return v }, Executor: panickingExecutor{}, Admission: admitAll{}, Errors: classifier{},
		Log: telemetry.NewLog(io.Discard, "self"), Metrics: telemetry.NewMetrics()}
	bad := &scriptedClient{statements: []stmt.Statement{{ID: "bad", Kind: stmt.Write}}}
	e.Serve(bad)
	assert.Assert(t, bad.closed)
	assert.Equal(t, len(bad.replies), 0)
	good := &scriptedClient{statements: []stmt.Statement{{ID: "q1", Kind: stmt.Write}}}
	e.Serve(good)
	assert.Equal(t, len(good.replies), 1)
	assert.Equal(t, good.replies[0].Code, stmt.OK)
	assert.Equal(t, e.SessionCount(), 0)
}

// commitExecutor answers each write with the next position of the log of its group, and records
// what the operations required.
type commitExecutor struct {
	panickingExecutor
	view     *view.View
	next     map[fleet.GroupID]fleet.LogPosition
	required []fleet.LogPosition
}

func (e *commitExecutor) Run(op *executor.Operation) executor.Outcome {
	e.required = append(e.required, op.LastCommit)
	out := executor.Outcome{Answer: stmt.Answer{Signature: "s"}, LastCommit: op.LastCommit}
	if op.Writes() {
		out.LastCommit = e.next[op.Route.Group]
	}
	// The operator points the route to the other group after each statement.
	other := map[fleet.GroupID]fleet.GroupID{"a": "b", "b": "a"}[op.Route.Group]
	e.view.Catalog.Routes["db"] = catalog.Route{Database: "db", Open: true, Group: other}
	return out
}

// Guards against a session that loses its own commit when its route moves to another group and
// back: the position of the commit there replaced the one of the commit here (review/8).
func TestCommitsAreKeptByGroup(t *testing.T) {
	v := &view.View{Catalog: &catalog.Catalog{Routes: map[string]catalog.Route{"db": {Database: "db", Open: true, Group: "a"}}}}
	inA, inB := fleet.LogPosition{Term: 3, Position: 50}, fleet.LogPosition{Term: 1, Position: 7}
	x := &commitExecutor{view: v, next: map[fleet.GroupID]fleet.LogPosition{"a": inA, "b": inB}}
	e := &Engine{Clock: clock.New(), View: func() *view.View { return v }, Executor: x, Admission: admitAll{}, Errors: classifier{},
		Log: telemetry.NewLog(io.Discard, "self"), Metrics: telemetry.NewMetrics()}
	e.Serve(&scriptedClient{statements: []stmt.Statement{{ID: "q1", Kind: stmt.Write}, {ID: "q2", Kind: stmt.Write}, {ID: "q3", Kind: stmt.Read}, {ID: "q4", Kind: stmt.Read}}})
	assert.DeepEqual(t, x.required, []fleet.LogPosition{{}, {}, inA, inB})
}
