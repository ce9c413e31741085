package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load: two endpoints get all reads of a group, and one of them fails each
// at once while its health says otherwise. Guards against an endpoint that draws
// the reads because it fails faster than the other one answers.
func TestEndpointThatFailsIsAvoided(t *testing.T) {
	const typical, distance, slots = 20 * time.Millisecond, time.Millisecond, 3
	bad, good := NewEndpointLoad(slots, slots), NewEndpointLoad(slots, slots)
	failed, served := 0, 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		if bad.ExpectedLatency(now, typical, distance, slots) <= good.ExpectedLatency(now, typical, distance, slots) {
			bad.RecordFailure(now)
			failed++
		} else {
			good.RecordAnswer(now, typical, typical)
			served++
		}
	}
	assert.Assert(t, failed*20 <= served, "%d failed, %d served", failed, served)

	// Once it answers again it gets its part back: each time the other one still
	// has the last statement.
	got := 0
	good.InFlight = 1
	for now := 5 * time.Second; now < 15*time.Second; now += 10 * time.Millisecond {
		next, last := good, bad
		if bad.ExpectedLatency(now, typical, distance, slots) <= good.ExpectedLatency(now, typical, distance, slots) {
			next, last = bad, good
			got++
		}
		next.RecordAnswer(now, typical*3/2, typical)
		next.InFlight, last.InFlight = 1, 0
	}
	assert.Assert(t, got >= 400, "%d of 1000", got)
}
