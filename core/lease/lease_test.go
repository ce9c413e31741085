package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

var members = []fleet.InstanceID{"a", "b", "c", "d"}

func TestExpiry(t *testing.T) {
	l := New()
	assert.Equal(t, l.Expiry("a", members), time.Duration(0), "no proof, no permission")
	l.AddPeerResponse("b", 5*time.Second, true)
	l.AddPeerResponse("c", 5*time.Second, true)
	assert.Equal(t, l.Expiry("a", members), time.Duration(0), "a majority extends a proof and makes none")
	l.AddProof(-time.Second)
	assert.Equal(t, l.Expiry("a", members), time.Duration(0), "a proof from before the start")
	l.AddProof(time.Second)
	assert.Equal(t, l.Expiry("a", members), 5*time.Second+Duration, "a, b and c are a majority of four")
	assert.Equal(t, l.Expiry("a", append(members, "e", "f")), time.Second+Duration, "three of six are none")
	l.AddPeerResponse("b", 2*time.Minute, true)
	l.AddPeerResponse("c", 2*time.Minute, true)
	assert.Equal(t, l.Expiry("a", members), time.Second+MaxMajorityExtension+Duration, "a majority replaces the store for a time")
	l.AddProof(500 * time.Millisecond)
	at, _ := l.Proof()
	assert.Equal(t, at, time.Second, "an older proof changes nothing")
}

// Guards against a majority of restarted members that do not know a change
// which the processes before them confirmed.
func TestMembersWithoutAProofCountForNothing(t *testing.T) {
	l := New()
	l.AddProof(time.Second)
	l.AddPeerResponse("b", 5*time.Second, false)
	l.AddPeerResponse("c", 5*time.Second, true)
	assert.Equal(t, l.Expiry("a", members), time.Second+Duration)
}
