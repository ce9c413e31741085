package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against treating a replica with a longer log of an older term as one that
// has applied a write of the newer term.
func TestHasAppliedNeedsTermAndPosition(t *testing.T) {
	required := LogPosition{Term: 3, Position: 10}
	for _, c := range []struct {
		term Term
		pos  Position
		want bool
	}{{3, 10, true}, {4, 11, true}, {2, 12, false}, {3, 9, false}, {4, 9, false}} {
		s := EndpointStatus{AppliedTerm: c.term, Applied: c.pos}
		assert.Equal(t, s.HasApplied(required), c.want, "term %d position %d", c.term, c.pos)
	}
}

// Guards against comparing log positions of different terms by position alone.
func TestLogPositionMaxOrdersByTermFirst(t *testing.T) {
	a, b := LogPosition{Term: 1, Position: 9}, LogPosition{Term: 2, Position: 3}
	assert.Equal(t, a.Max(b), b)
	assert.Equal(t, b.Max(a), b)
}
