package pool

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against instances that hold an endpoint's whole ceiling: after a power
// loss of all of them nobody got a connection for 3 s.
func TestConnectionLimitLeavesRoomForSuccessors(t *testing.T) {
	for _, c := range []struct{ ceiling, members int }{{21, 4}, {41, 4}, {72, 26}, {292, 36}} {
		n := connectionLimit(c.ceiling, c.members)
		assert.Assert(t, n*c.members <= c.ceiling-reservedConnections-c.members/2, "%+v: %d each", c, n)
		assert.Assert(t, n >= 2, "%+v: %d each", c, n)
	}
	assert.Equal(t, connectionLimit(5, 4), 2, "an instance can always serve two accounts")
}
