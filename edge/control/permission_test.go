package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

// Guards against a user that learns of a planned change together with a new proof and goes on
// at the former primary after the change has taken effect.
func TestProofThatComesWithAClaimRenewsNothing(t *testing.T) {
	c := startController(t, 0)
	assert.NilError(t, c.runInLoop(context.Background(), func() {
		c.addProof(c.Clock.Now())
		before := c.permissions["bookings"]
		assert.Assert(t, before.Expiry > 0)
		c.adoptLeadership(catalog.Leadership{Group: "bookings", Version: 2, Revision: 2, Term: 2, Former: "e1", Holder: "peer-0", Planned: true,
			Users: []fleet.InstanceID{"self"}})
		c.addProof(c.Clock.Now())
		assert.Equal(t, c.permissions["bookings"], before)
		c.adoptLeadership(catalog.Leadership{Group: "bookings", Version: 3, Revision: 3, Term: 2, Primary: "e2", Former: "e1", Settled: true,
			Users: []fleet.InstanceID{"self"}})
		assert.Assert(t, !c.permissions["bookings"].Covers(0, c.Clock.Now()), "a connection to the former primary")
		assert.Assert(t, c.permissions["bookings"].Covers(3, c.Clock.Now()))
	}))
}

// Guards against a relayed proof that is younger than it is by a suspension of the relay
// between the reading of its age and the response.
func TestAgeOfRelayedProofIsOfTheTimeHeld(t *testing.T) {
	c := startController(t, 0)
	assert.NilError(t, c.runInLoop(context.Background(), func() {
		now := c.Clock.Now()
		c.addProof(now)
		res, _ := c.newsFor(now+time.Second, 400*time.Millisecond, &peerrpc.WatchRequest{})
		assert.Equal(t, res.HeldMS, int64(400))
		assert.Equal(t, res.ProofAgeMS, int64(1001))
	}))
}

// Guards against acknowledged commits that are lost because a process which was started again
// first copies an older table, and then counts as one that ran before the last record was written:
// what its earlier process acknowledged since is known to nobody.
func TestRecordFromBeforeTheStartIsNoneThatFollows(t *testing.T) {
	c := startController(t, 0)
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		settled := catalog.Leadership{Group: "orders", Primary: "e1", Settled: true, Users: []fleet.InstanceID{"self"}}
		adopt := func(revision uint64) bool {
			settled.Version, settled.Revision = revision, revision
			assert.Assert(t, c.adoptLeadership(settled))
			return c.groupState("orders").ranBefore
		}
		assert.Assert(t, !adopt(2), "the first one that it knows")
		assert.Assert(t, !adopt(3), "its copy of the table was older than its start")
		c.addProof(-time.Second)
		assert.Assert(t, !adopt(4), "and so is this proof")
		c.addProof(c.Clock.Now())
		assert.Assert(t, adopt(5))
	}))
}
