package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replacing a primary that has just lost some connections, or
// that nothing was sent to since.
func TestMuteNeedsSilence(t *testing.T) {
	const at = 10 * time.Second
	for _, c := range []struct {
		name        string
		lost        int
		first, last time.Duration
		now         time.Duration
		want        bool
	}{
		{"none", 0, 0, 0, at, false},
		{"two losses", 2, at, at + lostFor, at + lostFor, false},
		{"a burst of losses", 20, at, at + 10*time.Millisecond, at + lostFor - 1, false},
		{"no answer since", 3, at, at + 10*time.Millisecond, at + lostFor, true},
		{"losses that go on", 30, at, at + 3*time.Second, at + 3*time.Second, true},
		{"losses long ago", 3, at, at + lostFor, at + lostFor + lostFresh, false},
	} {
		s := &server{lost: c.lost, lostSince: c.first, lostLast: c.last}
		assert.Equal(t, s.mute(c.now), c.want, c.name)
	}
}
