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
	before := l.Permission(Permission{}, "a", catalog.Leadership{Version: 4, Settled: true, Users: users}, 3)
	assert.Equal(t, before, Permission{Expiry: time.Second + Duration, From: 3, To: 4})
	l.AddProof(5 * time.Second)
	assert.Equal(t, l.Permission(before, "a", catalog.Leadership{Version: 5, Users: users}, 5), before)
	assert.Equal(t, l.Permission(Permission{}, "a", catalog.Leadership{Version: 5, Users: users}, 5), Permission{})
}

// Guards against a permission for the new primary that covers connections to the former one.
func TestPermissionCoversOnePrimary(t *testing.T) {
	p := Permission{Expiry: time.Second, From: 5, To: 7}
	for version, covered := range map[uint64]bool{4: false, 5: true, 7: true, 8: false} {
		assert.Equal(t, p.Covers(version, 0), covered, "version %d", version)
		assert.Assert(t, !p.Covers(version, time.Second))
	}
}

// Guards against a permission that outlives the list of users by whose answers it was
// extended.
func TestPermissionIsThatOfThePresentUsers(t *testing.T) {
	l := New()
	l.AddProof(0)
	l.AddPeerResponse("b", 3*time.Second, true)
	wide := l.Permission(Permission{}, "a", catalog.Leadership{Version: 4, Settled: true, Users: []fleet.InstanceID{"a", "b"}}, 1)
	assert.Equal(t, wide.Expiry, 3*time.Second+Duration)
	next := l.Permission(wide, "a", catalog.Leadership{Version: 5, Settled: true, Users: []fleet.InstanceID{"a", "c"}}, 1)
	assert.Equal(t, next.Expiry, Duration)
}
