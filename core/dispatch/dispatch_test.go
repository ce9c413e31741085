package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that attracts the reads of a group because it fails
// them faster than the other endpoint answers: one of two endpoints fails every
// read at once while its health check passes.
func TestFailingEndpointIsAvoided(t *testing.T) {
	const serviceTime, distance, slots = 20 * time.Millisecond, time.Millisecond, 3
	failing, healthy := NewEndpointLoad(slots, slots), NewEndpointLoad(slots, slots)
	failed, served := 0, 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		if failing.ExpectedLatency(now, serviceTime, distance, slots) <= healthy.ExpectedLatency(now, serviceTime, distance, slots) {
			failing.RecordFailure(now)
			failed++
		} else {
			healthy.RecordAnswer(now, serviceTime, serviceTime)
			served++
		}
	}
	assert.Assert(t, failed*20 <= served, "%d failed, %d served", failed, served)

	// Once the endpoint answers again it regains its share of the reads. At each
	// read one statement is still in flight at the endpoint chosen last.
	recovered := 0
	healthy.InFlight = 1
	for now := 5 * time.Second; now < 15*time.Second; now += 10 * time.Millisecond {
		next, last := healthy, failing
		if failing.ExpectedLatency(now, serviceTime, distance, slots) <= healthy.ExpectedLatency(now, serviceTime, distance, slots) {
			next, last = failing, healthy
			recovered++
		}
		next.RecordAnswer(now, serviceTime*3/2, serviceTime)
		next.InFlight, last.InFlight = 1, 0
	}
	assert.Assert(t, recovered >= 400, "the recovered endpoint got %d of 1000 reads, want at least 400", recovered)
}
