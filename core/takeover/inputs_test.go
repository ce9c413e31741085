package takeover

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// facts are the ones that can arrive, each alone.
var facts = []struct {
	name string
	read func(*Facts)
	// needed is the first decision that needs it.
	needed Decision
}{
	{"configuration", func(f *Facts) {
		f.Configuration = &catalog.Catalog{Groups: map[fleet.GroupID]catalog.Group{"bookings": {ID: "bookings", SyncReplicas: 1}}}
	}, Renewal},
	{"records", func(f *Facts) { f.Records = true }, Renewal},
	{"endpoints", func(f *Facts) { f.Endpoints = true }, Membership},
	{"evacuations", func(f *Facts) { f.Evacuations = true }, Replacement},
}

// Guards against a decision that takes what has not been read for an empty answer: a holder
// that was started again read a configuration that was not there yet (review/14).
func TestDecisionsWaitForTheirInputs(t *testing.T) {
	for arrived := range 1 << len(facts) {
		var f Facts
		expected := [...]bool{Renewal: true, Membership: true, Replacement: true}
		for i, fact := range facts {
			if arrived&(1<<i) != 0 {
				fact.read(&f)
				continue
			}
			for d := fact.needed; d <= Replacement; d++ {
				expected[d] = false
			}
		}
		for d, known := range expected {
			group, ok := f.Group("bookings", Decision(d))
			assert.Equal(t, ok, known, "decision %d with %+v", d, f)
			assert.Equal(t, group.SyncReplicas == 1, known)
			_, ok = f.Group("orders", Decision(d))
			assert.Assert(t, !ok, "a group that is not configured")
		}
	}
}
