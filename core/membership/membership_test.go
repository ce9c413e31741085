package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const second = time.Second

func listed(ids ...fleet.InstanceID) PlatformList {
	var l PlatformList
	for _, id := range ids {
		l.Instances = append(l.Instances, Instance{ID: id, DataCentre: "d", Addr: string(id) + ":1"})
	}
	return l
}

// An instance must not count as gone after a pause or a lost pull, and a dead one must
// not stay in the membership.
func TestStatesWithoutResponses(t *testing.T) {
	c := New(Config{Self: "I1", DataCentre: "d"})
	c.Step(0, listed("I1", "I2", "I3"))
	assert.Equal(t, c.State("I2"), Alive, "listed as live")
	for at := time.Duration(0); at <= 6*second; at += second / 2 {
		c.Step(at, PullResponse{Peer: "I3", Members: []PeerReport{{Instance: Instance{ID: "I2"}, SinceHeard: min(at, second)}}})
	}
	assert.Equal(t, c.State("I2"), Suspected, "a peer still receives responses from it")
	assert.DeepEqual(t, c.Answering(6*second), []fleet.InstanceID{"I1", "I3"})
	out := c.Step(11*second, Tick{})
	assert.Equal(t, len(out), 2)
	assert.Equal(t, c.State("I2"), Gone)
	assert.DeepEqual(t, c.Gone(), []fleet.InstanceID{"I2", "I3"})
	assert.Equal(t, len(c.Peers()), 2, "listed instances are still pulled from")
	c.Step(12*second, PullResponse{Peer: "I2"})
	assert.Equal(t, c.State("I2"), Alive)
}

// The platform's list lags behind. A new instance must be noticed by its responses, a
// leaving one must stay leaving, and one that is neither listed nor responding must be
// gone and then forgotten.
func TestPlatformListLags(t *testing.T) {
	c := New(Config{Self: "I1"})
	c.Step(0, listed("I1", "I2"))
	c.Step(0, PullResponse{Peer: "I9"})
	assert.Equal(t, c.State("I9"), Alive)
	assert.DeepEqual(t, c.ListedIDs(), []fleet.InstanceID{"I1", "I2"})
	c.Step(second, PullResponse{Peer: "I2", Leaving: true})
	c.Step(second, listed("I1", "I2"))
	assert.Equal(t, c.State("I2"), Leaving)
	c.Step(3*second, Tick{})
	assert.Equal(t, c.State("I9"), Gone)
	c.Step(3*time.Minute, Tick{})
	assert.Equal(t, c.State("I9"), Unknown)
}

// Exactly two instances of a data centre poll the table, which limits its load.
func TestTwoInstancesPollPerDataCentre(t *testing.T) {
	polls := 0
	for _, self := range []fleet.InstanceID{"I1", "I2", "I3", "I4", "I5"} {
		c := New(Config{Self: self, DataCentre: "d"})
		c.Step(0, listed("I1", "I2", "I3", "I4", "I5"))
		if c.PollsTable("slots") {
			polls++
		}
	}
	assert.Equal(t, polls, 2)
}
