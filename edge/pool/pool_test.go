package pool

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionLimitLeavesRoomForSuccessors guards against instances that
// together hold all connections of an endpoint. When all of them lost power, no
// successor got a connection for 3 s.
func TestConnectionLimitLeavesRoomForSuccessors(t *testing.T) {
	for _, c := range []struct{ maxConnections, members int }{{21, 4}, {41, 4}, {72, 26}, {292, 36}} {
		n := connectionLimit(c.maxConnections, c.members)
		assert.Assert(t, n*c.members <= c.maxConnections-reservedConnections-c.members/2, "%+v: %d each", c, n)
		assert.Assert(t, n >= 2, "%+v: %d each", c, n)
	}
	assert.Equal(t, connectionLimit(5, 4), 2, "an instance can always serve two accounts")
}
