package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

// panickingStore panics in the writes of records.
type panickingStore struct{ recordStore }

func (s *panickingStore) Apply(context.Context, kvstore.Transaction) (uint64, error) {
	panic("a fault that nobody has thought of")
}

// Guards against a process that ends, with all its callers' connections, because of a fault in
// the change of one group's primary.
func TestPanicInChangeEndsOnlyTheChange(t *testing.T) {
	c := startControllerWithStore(t, &panickingStore{}, 0)
	loadTables(t, c)
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		c.adoptLeadership(catalog.Leadership{Group: "bookings", Former: "e1", Holder: "self", Version: 9, Revision: 9, Term: 2, Users: []fleet.InstanceID{"self"}})
	}))
	var g group
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := c.runInLoop(t.Context(), func() { g = *c.groupState("bookings") }); err != nil {
			return poll.Error(err)
		}
		if !g.changeFailed || g.changing {
			return poll.Continue("not failed")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.NilError(t, c.runInLoop(t.Context(), func() {
		o, _ := c.takeoverObservation("bookings", c.Clock.Now())
		assert.Assert(t, o.Failed && o.FailedAt == g.changeFailedAt)
	}))
}
