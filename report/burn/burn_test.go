package burn

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	coredecision "github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/report/decision"
)

func newTestTracker(t *testing.T) (*Tracker, *time.Time, *decision.Ring, metrics.Registry) {
	t.Helper()
	ring, reg := decision.NewRing("entry-1", 64), metrics.NewRegistry()
	tr := NewTracker("entry-1", ring, reg)
	now := time.Now().Truncate(bucketWidth)
	tr.now = func() time.Time { return now }
	tr.SetObjectives([]Objective{{Account: "booking", Route: "jobs", Group: "g1", Availability: 0.99, Latency: 50 * time.Millisecond, LatencyShare: 0.9}})
	return tr, &now, ring, reg
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "got %v, want %v", got, want)
}

// Guards against wrong burn rates, and against requests that are still counted
// after they are older than the window.
func TestBurnRatesByWindow(t *testing.T) {
	tr, now, _, reg := newTestTracker(t)
	failed := outcome.New(outcome.Unavailable, outcome.NotRun, "no primary", "")
	for i := range 100 {
		switch {
		case i < 20:
			tr.Observe("booking", "jobs", 0, failed)
		case i < 36:
			tr.Observe("booking", "jobs", 60*time.Millisecond, nil)
		default:
			tr.Observe("booking", "jobs", time.Millisecond, nil)
		}
	}
	e := tr.Report().Entries[0]
	assertNear(t, e.Windows[0].AvailabilityBurn, 20) // 20% failed, with an error budget of 1%
	assertNear(t, e.Windows[0].LatencyBurn, 2)       // 16 of 80 successful requests were slow: 20%, with an error budget of 10%
	assert.Equal(t, e.State, "urgent")
	assertNear(t, e.AvailabilityLeft, -19)
	assert.Assert(t, reg.Get(gaugeName(objectiveKey{"booking", "jobs"}, "5m", "availability")) != nil)

	*now = now.Add(10 * time.Minute)
	e = tr.Report().Entries[0]
	assert.Equal(t, e.Windows[0].Total, uint64(0))
	assert.Equal(t, e.Windows[1].Total, uint64(100))
	assert.Equal(t, e.State, "attention")
	*now = now.Add(7 * time.Hour)
	e = tr.Report().Entries[0]
	assert.Equal(t, e.Windows[3].Total, uint64(0))
	assert.Equal(t, e.State, "ok")
}

// Guards against requests that are refused through a fault of the caller and
// still use up the error budget.
func TestCallerErrorsAreNotCounted(t *testing.T) {
	tr, _, _, _ := newTestTracker(t)
	for _, k := range []outcome.Kind{outcome.BadKey, outcome.OverRate, outcome.RequestIDReused, outcome.Cancelled} {
		tr.Observe("booking", "jobs", 0, outcome.New(k, outcome.NotRun, "", ""))
	}
	tr.Observe("booking", "elsewhere", 0, nil)
	assert.Equal(t, tr.Report().Entries[0].Windows[3].Total, uint64(0))
}

// Guards against a report that lists decisions about another client account or
// group, or that omits those about the objective.
func TestReportListsRelatedDecisions(t *testing.T) {
	tr, _, ring, _ := newTestTracker(t)
	ring.Record(coredecision.Record{Kind: coredecision.Promotion, Group: "g1", Rule: "promotion"})
	ring.Record(coredecision.Record{Kind: coredecision.Promotion, Group: "g2", Rule: "other-group"})
	ring.Record(coredecision.Record{Kind: coredecision.Refusal, Account: "booking", Group: "g1", Rule: "no-primary"})
	ring.Record(coredecision.Record{Kind: coredecision.Refusal, Account: "portal", Group: "g1", Rule: "other-account"})
	ring.Record(coredecision.Record{Kind: coredecision.Freshness, Rule: "stale"})
	tr.Observe("booking", "jobs", 0, outcome.New(outcome.WriteUnknown, outcome.Unknown, "", ""))
	var rules []string
	for _, d := range tr.Report().Entries[0].Decisions {
		rules = append(rules, d.Rule)
	}
	assert.DeepEqual(t, rules, []string{"promotion", "no-primary", "stale"})
}

// Guards against a merged report that averages the instances' burn rates instead
// of computing them from the summed counts.
func TestMergeAddsCounts(t *testing.T) {
	a, _, _, _ := newTestTracker(t)
	b, _, _, _ := newTestTracker(t)
	for range 90 {
		a.Observe("booking", "jobs", 0, nil)
	}
	for range 10 {
		b.Observe("booking", "jobs", 0, outcome.New(outcome.Unavailable, outcome.NotRun, "", ""))
	}
	m := Merge(a.Report(), b.Report())
	assertNear(t, m.Entries[0].Windows[0].AvailabilityBurn, 10)
	assert.Equal(t, len(m.Instances), 2)
}

// Guards against a format that cannot be rendered, and against an HTML page that
// contains unescaped record texts or loads external resources.
func TestRenderFormats(t *testing.T) {
	tr, _, ring, _ := newTestTracker(t)
	ring.Record(coredecision.Record{Kind: coredecision.Refusal, Account: "booking", Rule: "r", Outcome: "<script>"})
	tr.Observe("booking", "jobs", time.Second, nil)
	for _, f := range []string{"text", "json", "html"} {
		var b bytes.Buffer
		assert.NilError(t, tr.Render(&b, f))
		assert.Assert(t, strings.Contains(b.String(), "booking"), b.String())
		if f == "json" {
			var r Report
			assert.NilError(t, json.Unmarshal(b.Bytes(), &r))
		}
		if f == "html" {
			assert.Assert(t, !strings.Contains(b.String(), "<script>"), "record is not escaped")
			assert.Assert(t, !strings.Contains(b.String(), "http"), "page is not self-contained")
		}
	}
	assert.ErrorContains(t, tr.Render(&bytes.Buffer{}, "pdf"), "unknown format")
	tr.SetObjectives(nil)
	assert.Equal(t, len(tr.Report().Entries), 0)
}
