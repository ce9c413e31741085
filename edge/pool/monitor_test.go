package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnresponsiveRequiresSilence guards against replacing a primary that has
// only lost some connections, or to which nothing has been sent since.
func TestUnresponsiveRequiresSilence(t *testing.T) {
	const at = 10 * time.Second
	for _, c := range []struct {
		name        string
		lost        int
		first, last time.Duration
		now         time.Duration
		want        bool
	}{
		{"none", 0, 0, 0, at, false},
		{"two losses", 2, at, at + minSilence, at + minSilence, false},
		{"a burst of losses", 20, at, at + 10*time.Millisecond, at + minSilence - 1, false},
		{"no answer since", 3, at, at + 10*time.Millisecond, at + minSilence, true},
		{"losses that go on", 30, at, at + 3*time.Second, at + 3*time.Second, true},
		{"losses long ago", 3, at, at + minSilence, at + minSilence + lostAnswerExpiry, false},
	} {
		s := &endpointState{lostAnswers: c.lost, firstLost: c.first, lastLost: c.last}
		assert.Equal(t, s.unresponsive(c.now), c.want, c.name)
	}
}
