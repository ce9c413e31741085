package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

var kinds = []outcome.Kind{"", outcome.BadKey, outcome.KeyWithdrawn, outcome.NotAllowed, outcome.StaleTerm,
	outcome.RequestIDReused, outcome.OverRate, outcome.Unavailable, outcome.QueueDeadline, outcome.NotSupported,
	outcome.ShuttingDown, outcome.Cancelled, outcome.WriteUnknown, outcome.BadToken, outcome.Protocol}

// TestPolicyInvariants guards against retrying a write whose outcome is unknown
// or a request whose response has been sent in part, against more than three
// attempts, and against more retries than the budget allows.
func TestPolicyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{}, rapid.Uint64().Draw(t, "seed"))
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { p.RecordRequest(); requests++ },
			"fail": func(t *rapid.T) {
				a := Attempt{
					Number:   rapid.IntRange(1, 4).Draw(t, "number"),
					Outcome:  rapid.SampledFrom([]outcome.Outcome{outcome.Unknown, outcome.NotRun, outcome.Done}).Draw(t, "outcome"),
					Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
					ReadOnly: rapid.Bool().Draw(t, "read"), ResponseStarted: rapid.Bool().Draw(t, "answered"),
					InTransaction: rapid.Bool().Draw(t, "in transaction"),
					Remaining:     time.Duration(rapid.SampledFrom([]int{0, 1, 1000}).Draw(t, "left")) * time.Millisecond,
				}
				d := p.Decide(a)
				assert.Assert(t, d.Rule != "")
				if !d.Retry {
					return
				}
				retries++
				assert.Assert(t, a.Outcome == outcome.NotRun || a.Outcome == outcome.Unknown && a.ReadOnly)
				assert.Assert(t, !a.ResponseStarted && !a.InTransaction && a.Number < 3)
				assert.Assert(t, d.After <= 5*time.Millisecond<<(a.Number-1) && (a.Remaining == 0 || d.After < a.Remaining))
				assert.Assert(t, a.Kind == "" || a.Kind == outcome.StaleTerm || a.Kind == outcome.Unavailable || a.Kind == outcome.WriteUnknown)
			},
			"": func(t *rapid.T) {
				assert.Assert(t, float64(retries) <= 10+0.1*float64(requests)+1e-6)
			},
		})
	})
}

// TestBackoffJitter guards against many callers retrying at the same time: the
// delays must spread over the whole range, differ between seeds, and be the same
// for the same seed.
func TestBackoffJitter(t *testing.T) {
	a, b, c := New(Config{}, 1), New(Config{}, 1), New(Config{}, 2)
	var low, high, same int
	for range 1000 {
		x := a.Backoff(3)
		assert.Equal(t, x, b.Backoff(3))
		if x == c.Backoff(3) {
			same++
		}
		if x < 5*time.Millisecond {
			low++
		}
		if x > 15*time.Millisecond {
			high++
		}
	}
	assert.Assert(t, low > 200 && low < 300 && high > 200 && high < 300 && same < 5)
	for range 1000 {
		assert.Assert(t, a.Backoff(1000) <= 500*time.Millisecond)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := New(Config{}, 1)
	b.ReportAllocs()
	for b.Loop() {
		p.RecordRequest()
		p.Decide(Attempt{Number: 1, Outcome: outcome.NotRun, Kind: outcome.StaleTerm})
	}
}
