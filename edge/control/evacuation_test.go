package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/evacuation"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/view"
)

// lateRequest is a Promoter before whose call a data centre is evacuated.
type lateRequest struct {
	evacuate func()
	calls    int
	sent     []fleet.EndpointID
}

func (p *lateRequest) Promote(_ context.Context, _ fleet.GroupID, id fleet.EndpointID, _ uint64, mayCall func() bool) error {
	p.calls++
	p.evacuate()
	if mayCall() {
		p.sent = append(p.sent, id)
	}
	return errUnavailable
}

func (p *lateRequest) IsRefusal(error) bool { return false }

// evacuate publishes a view with an evacuated data centre.
func (c *Controller) evacuate(dc fleet.DataCentre) {
	c.view.Store(&view.View{Catalog: &catalog.Catalog{}, Evacuated: evacuation.Set{dc: {}}})
}

// Guards against the promotion of an endpoint whose data centre is requested to be evacuated after
// its position was read, also when the request arrives just before the call is sent.
func TestCandidateIsCheckedAgainBeforePromotion(t *testing.T) {
	c := startController(t, 0)
	p := &lateRequest{evacuate: func() { c.evacuate("z1") }}
	c.Promoter = p
	ctx := context.Background()
	ch := &primaryChange{ctl: c, old: catalog.Leadership{Group: "bookings"}, calledAt: c.Clock.Now(), claimedAt: c.Clock.Now(),
		record: catalog.Leadership{Group: "bookings", Version: 2, Revision: 2, Term: 2, Former: "e0", Holder: "self"}}
	assert.NilError(t, c.runInLoop(ctx, func() { c.adoptLeadership(ch.record) }))
	g := groupEndpoints{replicas: []catalog.Endpoint{{ID: "e1", DataCentre: "z1"}}}
	evidence := takeover.Evidence{Candidates: []takeover.Candidate{{Endpoint: "e1"}}}
	assert.Assert(t, !ch.promoteBest(ctx, g, evidence))
	assert.Equal(t, p.calls, 1, "it is not chosen any more once the request is known")
	assert.Equal(t, len(p.sent), 0)
}

// Guards against acknowledged commits that are given up because the endpoints that have them are in
// an evacuated data centre and cannot be asked.
func TestCommitsInsideAreNotGivenUp(t *testing.T) {
	c := startController(t, 0)
	inside, outside := catalog.Endpoint{ID: "in", DataCentre: "z1"}, catalog.Endpoint{ID: "out", DataCentre: "z2"}
	c.evacuate("z1")
	for _, k := range []struct {
		sync     int
		replicas []catalog.Endpoint
		want     bool
	}{
		{1, []catalog.Endpoint{outside}, true},
		{1, []catalog.Endpoint{outside, outside}, true},
		{1, []catalog.Endpoint{inside, outside}, false},
		{2, []catalog.Endpoint{inside, outside}, true},
		{2, []catalog.Endpoint{inside, inside, outside}, false},
		{0, []catalog.Endpoint{outside}, true},
	} {
		set := &catalog.ReplicaSet{Copies: k.sync}
		assert.Equal(t, c.provableOutside(groupEndpoints{replicas: k.replicas, syncReplicas: k.sync, set: set}), k.want, "%+v", k)
		assert.Equal(t, c.provableOutside(groupEndpoints{replicas: k.replicas, syncReplicas: k.sync}), k.sync == 0, "the replicas are not known: %+v", k)
	}
	c.view.Store(&view.View{})
	assert.Assert(t, c.provableOutside(groupEndpoints{replicas: []catalog.Endpoint{inside, outside}, syncReplicas: 1, set: &catalog.ReplicaSet{Copies: 1}}))
}

// Guards against commands of a change of primary that reach the data centre after their time.
func TestCommandsToEvacuatedEndpointsEnd(t *testing.T) {
	c := startController(t, 0)
	inside := catalog.Endpoint{ID: "in", DataCentre: "z1"}
	assert.Assert(t, c.mayCommand(inside))
	now := c.Clock.Now()
	c.view.Store(&view.View{Evacuated: evacuation.Set{"z1": {CommandsUntil: now + time.Minute}}})
	assert.Assert(t, c.mayCommand(inside))
	c.evacuate("z1")
	assert.Assert(t, !c.mayCommand(inside) && c.mayCommand(catalog.Endpoint{ID: "out", DataCentre: "z2"}))
}
