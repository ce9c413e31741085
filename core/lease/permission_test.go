package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Guards against a claim that renews the permission of a user which learns it late, and lets
// its open transactions go on at the former primary.
func TestChangeInProgressRenewsNothing(t *testing.T) {
	l := New()
	l.AddProof(time.Second)
	users := []fleet.InstanceID{"a", "b"}
	before := Permission{}.Next("a", catalog.Leadership{Revision: 4, Settled: true, Users: users}, 3, l.Expiry("a", users, nil))
	assert.Equal(t, before, Permission{Expiry: time.Second + Duration, From: 3, To: 4})
	l.AddProof(5 * time.Second)
	assert.Equal(t, before.Next("a", catalog.Leadership{Revision: 5, Users: users}, 5, l.Expiry("a", users, nil)), before)
	assert.Equal(t, Permission{}.Next("a", catalog.Leadership{Revision: 5, Users: users}, 5, l.Expiry("a", users, nil)), Permission{})
}

// Guards against a permission for the new primary that covers connections to the former one.
func TestPermissionCoversOnePrimary(t *testing.T) {
	p := Permission{Expiry: time.Second, From: 5, To: 7}
	for order, covered := range map[uint64]bool{4: false, 5: true, 7: true, 8: false} {
		assert.Equal(t, p.Covers(order, 0), covered, "order %d", order)
		assert.Assert(t, !p.Covers(order, time.Second))
	}
}

// Guards against a permission that outlives the list of users by whose answers it was
// extended.
func TestPermissionIsThatOfThePresentUsers(t *testing.T) {
	l := New()
	l.AddProof(0)
	l.AddPeerResponse("b", 3*time.Second, true)
	permission := func(before Permission, record catalog.Leadership) Permission {
		return before.Next("a", record, 1, l.Expiry("a", record.Users, record.Removed))
	}
	wide := permission(Permission{}, catalog.Leadership{Revision: 4, Settled: true, Users: []fleet.InstanceID{"a", "b"}})
	assert.Equal(t, wide.Expiry, 3*time.Second+Duration)
	next := permission(wide, catalog.Leadership{Revision: 5, Settled: true, Users: []fleet.InstanceID{"a", "c"}})
	assert.Equal(t, next.Expiry, Duration)
}
