package load

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

func startEndpoint(t *testing.T, cfg endpoint.Config) *endpoint.Endpoint {
	t.Helper()
	cfg.Group, cfg.User, cfg.Password, cfg.AllowNoTerm = "g1", "vh", "secret", true
	cfg.MaxConnections, cfg.ConnectDelay, cfg.LogWriter, cfg.Dir = 100, -1, io.Discard, t.TempDir()
	e, err := endpoint.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

func directConfig(es ...*endpoint.Endpoint) Config {
	cfg := Config{
		Profile: Profile{
			Name: "test", Groups: []string{"g1"}, Writes: 0.3, AgedReads: 0.2, MaxAge: 100 * time.Millisecond,
			RoamEvery: 20, DropToken: 0.5, Keys: 5,
			Accounts: []Account{{ID: "a", Offered: 150, Rate: 1000, Burst: 1000, Sessions: 4}, {ID: "b", Offered: 50, Rate: 1000, Burst: 1000, Sessions: 4}},
		},
		Seed: 1, Schedule: Schedule{Duration: 1500 * time.Millisecond}, Timeout: time.Second, User: "vh", Password: "secret",
	}
	for _, e := range es {
		cfg.Fleet.Instances = append(cfg.Fleet.Instances, Instance{ID: string(e.ID()), Callers: e.Addr()})
		cfg.Fleet.Endpoints = append(cfg.Fleet.Endpoints, Endpoint{ID: string(e.ID()), Group: "g1", SQL: e.Addr(), Faults: e.FaultAddr()})
	}
	return cfg
}

func run(t *testing.T, cfg Config) *Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	r, err := Run(ctx, cfg)
	assert.NilError(t, err)
	return r
}

// A load tool that finds violations in a correct system is of no use.
func TestCorrectRunHasNoViolations(t *testing.T) {
	r := run(t, directConfig(startEndpoint(t, endpoint.Config{ID: "a"})))
	assert.Assert(t, r.Verdict.OK(), "violations: %v", r.Verdict.Violations)
	assert.Assert(t, r.Verdict.Acknowledged > 30, "%d acknowledged writes", r.Verdict.Acknowledged)
	assert.Assert(t, r.Verdict.Linearizable > 0)
	assert.Equal(t, r.Verdict.Undecided, 0)
	assert.Equal(t, len(r.Wrongful), 0, "refusals: %v", r.Wrongful)
	assert.Equal(t, r.OverAdmitted, 0)
	assert.Assert(t, r.PrimaryReads > 30 && r.ReplicaReads == 0)
}

// Repeating a write whose answer was lost doubles it at an endpoint, which
// knows no request ids; the history must show that.
func TestLostAnswersWithBlindRepetitionAreDoubled(t *testing.T) {
	cfg := directConfig(startEndpoint(t, endpoint.Config{ID: "a"}))
	cfg.RetryUnknown = true
	cfg.Schedule.Faults = []Fault{{At: 300 * time.Millisecond, Action: "drop_answers", Target: "primary:g1", Count: 1}}
	r := run(t, cfg)
	assert.Equal(t, r.Verdict.Counts["doubled"], 1, "violations: %v", r.Verdict.Violations)
	assert.Equal(t, len(r.Verdict.Counts), 1, "violations: %v", r.Verdict.Violations)
}

// Without repetition the same fault leaves unknown outcomes and no violation.
func TestLostAnswersAreUnknown(t *testing.T) {
	cfg := directConfig(startEndpoint(t, endpoint.Config{ID: "a"}))
	cfg.Schedule.Faults = []Fault{{At: 300 * time.Millisecond, Action: "drop_answers", Target: "primary:g1", Count: 3}}
	r := run(t, cfg)
	assert.Assert(t, r.Verdict.OK(), "violations: %v", r.Verdict.Violations)
	assert.Equal(t, r.Verdict.UnknownRan, 3)
	assert.Equal(t, r.Wrongful["unknown:connection"], 3)
}

// Sessions that roam to a lagging replica without any routing read stale
// states; the history must show that.
func TestLaggingReplicaIsStale(t *testing.T) {
	a := startEndpoint(t, endpoint.Config{ID: "a"})
	b := startEndpoint(t, endpoint.Config{ID: "b", Primary: a.Addr(), Faults: endpoint.Faults{ApplyDelay: 300 * time.Millisecond}})
	cfg := directConfig(a, b)
	cfg.Audit = func(ctx context.Context, db string) ([]Row, error) { return auditDirect(ctx, a, db) }
	// The table must have reached the replica before sessions read there.
	conn, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://vh:secret@%s/g1?sslmode=disable", a.Addr()))
	assert.NilError(t, err)
	defer conn.Close(context.Background())
	_, err = conn.Exec(context.Background(), "CREATE TABLE IF NOT EXISTS load_log (id bigserial PRIMARY KEY, key text NOT NULL, name text NOT NULL)")
	assert.NilError(t, err)
	awaitTable(t, b)
	// A stale read shows in the register's history only when it meets a write
	// of the same key; beside load 1.5 s held too few of them.
	cfg.Schedule.Duration = 5 * time.Second
	r := run(t, cfg)
	t.Logf("violations: %v", r.Verdict.Counts)
	assert.Assert(t, r.Verdict.Counts["stale"] > 0 && r.Verdict.Counts["stale_beyond_age"] > 0 && r.Verdict.Counts["not_linearizable"] > 0, "violations: %v", r.Verdict.Counts)
	assert.Equal(t, r.Verdict.Counts["lost"]+r.Verdict.Counts["doubled"], 0)
	assert.Assert(t, r.ReplicaReads > 0 && r.ReplicaShare > 0 && r.ReplicaShare < 1)
}

// awaitTable waits until an endpoint has the table of the load.
func awaitTable(t *testing.T, e *endpoint.Endpoint) {
	for range 1000 {
		if _, err := auditDirect(context.Background(), e, "g1"); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the endpoint has no table after 10 s")
}

func auditDirect(ctx context.Context, e *endpoint.Endpoint, db string) ([]Row, error) {
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://vh:secret@%s/%s?sslmode=disable", e.Addr(), db))
	if err != nil {
		return nil, err
	}
	defer c.Close(ctx)
	rows, err := c.Query(ctx, "SELECT id, key, name FROM load_log")
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, func(r pgx.CollectableRow) (Row, error) {
		x := Row{Database: db}
		err := r.Scan(&x.ID, &x.Key, &x.Name)
		return x, err
	})
}

// A primary that acknowledges alone loses writes when a replica without them
// is promoted; the history must show the loss and the gap.
func TestAcknowledgementByOneEndpointLosesWrites(t *testing.T) {
	a := startEndpoint(t, endpoint.Config{ID: "a"})
	b := startEndpoint(t, endpoint.Config{ID: "b", Primary: a.Addr()})
	cfg := directConfig(a)
	cfg.Fleet.Endpoints = append(cfg.Fleet.Endpoints, Endpoint{ID: "b", Group: "g1", SQL: b.Addr(), Faults: b.FaultAddr()})
	go func() {
		awaitTable(t, b)
		b.SetFaults(func(f *endpoint.Faults) { f.Isolate = []string{"a"} })
	}()
	cfg.Audit = func(ctx context.Context, db string) ([]Row, error) { return auditDirect(ctx, b, db) }
	r := run(t, cfg)
	assert.Assert(t, r.Verdict.Counts["lost"] > 0, "violations: %v", r.Verdict.Counts)
}

// An endpoint that hangs must show as a gap and as latency of all requests
// that were due meanwhile, not only of those in flight.
func TestPauseShowsAsGapAndLatency(t *testing.T) {
	cfg := directConfig(startEndpoint(t, endpoint.Config{ID: "a"}))
	cfg.Schedule.Faults = []Fault{{At: 500 * time.Millisecond, For: 400 * time.Millisecond, Action: "pause", Target: "endpoint:a"}}
	r := run(t, cfg)
	assert.Assert(t, r.Verdict.OK(), "violations: %v", r.Verdict.Violations)
	assert.Equal(t, len(r.Gaps), 1)
	assert.Assert(t, r.GapWorst >= 350 && r.GapWorst < 1000, "gap %f ms", r.GapWorst)
	assert.Assert(t, r.Latency.P90 > 150, "p90 %f ms; 400 of 1500 ms were paused", r.Latency.P90)
	assert.Assert(t, r.Latency.P50 < 100, "p50 %f ms", r.Latency.P50)
}

// Admissions above rate and burst must be counted, and refusals inside the
// rate told apart from those outside.
func TestRateMeasures(t *testing.T) {
	a := Account{ID: "a", Rate: 10, Burst: 5}
	var ops []Op
	for i := range 30 {
		at := time.Duration(i) * time.Millisecond
		ops = append(ops, Op{Start: at, End: at + time.Millisecond, Intended: at, Result: Done})
	}
	assert.Assert(t, overAdmissions(ops, a.Rate, a.Burst) >= 23)
	assert.Equal(t, overAdmissions(ops[:5], a.Rate, a.Burst), 0)
	ops = append(ops[:5:5],
		Op{Start: 10 * time.Millisecond, End: 11 * time.Millisecond, Result: NotRun, Code: "VH429"},
		Op{Start: 900 * time.Millisecond, End: 901 * time.Millisecond, Result: NotRun, Code: "VH429"})
	r := accountResult(a, ops)
	assert.Equal(t, r.OverRate, 1)
	assert.DeepEqual(t, r.Wrongful, map[string]int{"VH429": 1})
	assert.Equal(t, r.Within, 6)

	// At five times the rate, a limiter that serves the rate and burst is
	// right whichever requests it picks; one that serves half of it is not.
	flood := func(serve int) AccountResult {
		ops := make([]Op, 500)
		for i := range ops {
			at := time.Duration(i) * 20 * time.Millisecond // 50/s for 10 s
			ops[i] = Op{Start: at, End: at + time.Millisecond, Intended: at, Result: NotRun, Code: "VH429"}
			if i%serve == serve-1 {
				ops[i].Result, ops[i].Code = Done, ""
			}
		}
		return accountResult(a, ops)
	}
	assert.Assert(t, flood(5).Wrongful["VH429"] <= 5, "%v", flood(5).Wrongful)
	assert.Assert(t, flood(10).Wrongful["VH429"] >= 45, "%v", flood(10).Wrongful)
}

// A typing error in a schedule must not pass for a run without faults.
func TestScheduleValidation(t *testing.T) {
	for _, c := range []struct {
		f    Fault
		want string
	}{
		{Fault{Action: "cutt", Target: "primary:g1"}, "unknown action"},
		{Fault{Action: "cut", Target: "instance:i1"}, "bad target"},
		{Fault{Action: "cut", Target: "primary"}, "bad target"},
		{Fault{Action: "flood", Target: "account:a"}, "factor"},
		{Fault{Action: "kill", Target: "instance:i1", At: -1}, "negative"},
	} {
		err := (&Schedule{Faults: []Fault{c.f}}).Validate()
		assert.Assert(t, err != nil && strings.Contains(err.Error(), c.want), "error: %v", err)
	}
	assert.NilError(t, (&Schedule{Faults: []Fault{{Action: "store_outage"}, {Action: "kill", Target: "instance:i1"}}}).Validate())
}
