package pool

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/edge/view"
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

// Guards against statements to an endpoint that has been leaving for longer than it serves,
// after it was promoted because no other answered (hunt h5n-128 on sc-hire, DRAIN 16).
func TestLeavingPrimaryIsUsedForItsTimeOnly(t *testing.T) {
	s := &endpointState{Endpoint: catalog.Endpoint{Leaving: true}, leavingSince: 2 * time.Second}
	assert.Assert(t, s.mayBeUsed(7900*time.Millisecond, 7*time.Second))
	assert.Assert(t, !s.mayBeUsed(8*time.Second, 7*time.Second))
	assert.Assert(t, s.mayBeUsed(time.Hour, 0), "no limit is set")
	s.Leaving = false
	assert.Assert(t, s.mayBeUsed(time.Hour, 7*time.Second))
}

// Guards against an instance that confirms a change of primary by its number while something can
// still be sent to the primary that it replaces: an instance of an earlier version may claim the
// change under the number of the record that named this primary.
func TestConfirmedChangeLeavesNoFormerPrimaryInUse(t *testing.T) {
	p, _, _ := evacuationPool("z2")
	c, err := p.Acquire(request(true, p))
	assert.NilError(t, err)
	assert.Assert(t, c.Primary && p.Permitted(c))
	settled := p.view.Leaders["g"]
	assert.Assert(t, !p.UsesFormerPrimary(settled))
	claim := catalog.Leadership{Group: "g", Version: 2, Revision: settled.Revision, Former: "a", Users: settled.Users}
	assert.Assert(t, p.UsesFormerPrimary(claim))
	p.DrainPrimary(claim, 0)
	assert.Assert(t, !p.UsesFormerPrimary(claim))
	assert.Assert(t, !p.Permitted(c))
}

// Guards against statements to a primary that had said that it is leaving before this process
// started, for as long again as it may be used (drawn day loss6, DRAIN 24).
func TestPrimaryThatLeftBeforeTheStartIsNotUsed(t *testing.T) {
	p := New(clock.New(), &countingDialer{}, telemetry.NewLog(io.Discard, "test"), telemetry.NewMetrics(), "z1")
	p.SetDrainTime(7 * time.Second)
	show := func(leaving bool) *endpointState {
		p.SetView(&view.View{Catalog: &catalog.Catalog{Groups: map[fleet.GroupID]catalog.Group{"g": {ID: "g", MaxConnections: 40}}},
			Endpoints: map[fleet.GroupID][]catalog.Endpoint{"g": {{ID: "a", Group: "g", Slots: 3, Leaving: leaving}}}})
		return p.endpoints["a"]
	}
	assert.Assert(t, !show(true).mayBeUsed(p.clock.Now(), p.drainTime))
	assert.Assert(t, show(false).mayBeUsed(p.clock.Now(), p.drainTime))
	assert.Assert(t, show(true).mayBeUsed(p.clock.Now(), p.drainTime), "it has just said so")
}

// Guards against acknowledged commits that are lost because a log is promoted which ends before
// what was reported when one of them was sent (review/11), and against a bound that no log can
// reach: that of an answer may count commits which nobody was told of.
func TestLeastAcknowledgedPosition(t *testing.T) {
	p, _, _ := evacuationPool("z2")
	at := func(n fleet.Position) fleet.LogPosition { return fleet.LogPosition{Term: 1, Position: n} }
	commit := func(reported fleet.Position) {
		c, err := p.Acquire(request(true, p))
		assert.NilError(t, err)
		p.EndStatement(c, stmt.Answer{Code: stmt.OK, Position: at(reported), State: stmt.Idle}, nil)
		p.RecordCommit(c, at(reported))
		p.Release(c, true)
	}
	commit(5)
	assert.Equal(t, p.LeastAcknowledged("g"), fleet.LogPosition{}, "nothing had been reported before it")
	commit(9)
	assert.Equal(t, p.LeastAcknowledged("g"), at(6))
	commit(9)
	assert.Equal(t, p.LeastAcknowledged("g"), at(6), "it is no later than what was reported")

	leads := p.view.Leaders["g"]
	show := func(l catalog.Leadership) {
		v := *p.view
		v.Leaders = map[fleet.GroupID]catalog.Leadership{"g": l}
		p.SetView(&v)
	}
	claim := leads
	claim.Settled, claim.Primary, claim.Version = false, "", claim.Version+1
	show(claim)
	assert.Equal(t, p.LeastAcknowledged("g"), at(6), "the holder of the change asks for it")
	show(claim.Settle("b", 2))
	assert.Equal(t, p.LeastAcknowledged("g"), fleet.LogPosition{}, "another primary leads, with what was kept")
}
