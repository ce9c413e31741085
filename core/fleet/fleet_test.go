package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a replica with a longer log of an older term passing for
// one that holds a write of the newer term.
func TestCoversNeedsTermAndPosition(t *testing.T) {
	floor := LogPosition{Term: 3, Position: 10}
	for _, c := range []struct {
		term Term
		pos  Position
		want bool
	}{{3, 10, true}, {4, 11, true}, {2, 12, false}, {3, 9, false}, {4, 9, false}} {
		s := EndpointStatus{AppliedTerm: c.term, Applied: c.pos}
		assert.Equal(t, s.HasApplied(floor), c.want, "term %d position %d", c.term, c.pos)
	}
}

// Guards against merging floors by position alone across terms.
func TestFloorMaxOrdersByTermFirst(t *testing.T) {
	a, b := LogPosition{Term: 1, Position: 9}, LogPosition{Term: 2, Position: 3}
	assert.Equal(t, a.Max(b), b)
	assert.Equal(t, b.Max(a), b)
}
