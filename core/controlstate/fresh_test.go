package controlstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const second = time.Second

var four = []fleet.InstanceID{"I1", "I2", "I3", "I4"}

func newCore(now time.Duration, ids []fleet.InstanceID) *Core {
	c := New(Config{Self: "I1"}, now)
	c.Step(now, InstanceList{IDs: ids})
	return c
}

func freshUntil(actions []Action) time.Duration {
	for _, a := range actions {
		if f, ok := a.(Fresh); ok {
			return f.Expiry
		}
	}
	return 0
}

// Guards G6: a proof ends F after the read or pull that gave it was started.
func TestProofEnds(t *testing.T) {
	c := newCore(0, four)
	out := c.Step(5*second, TableRead{Start: 4 * second})
	assert.Equal(t, freshUntil(out), 7*second)
	assert.Assert(t, c.IsFresh(7*second-1))
	out = c.Step(7*second, Tick{})
	assert.DeepEqual(t, out, []Action{Stale{}})
	assert.Equal(t, len(c.Step(9*second, TableRead{Start: 5 * second})), 0, "a slow read proves nothing any more")
}

// Guards against a proof by fewer than a majority, or by witnesses that restarted.
func TestMajorityPull(t *testing.T) {
	c := newCore(0, four)
	c.Step(2*second, TableRead{Start: 2 * second})
	c.Step(4*second, PullStarted{Round: 1})
	c.Step(4*second, PullAnswer{Round: 1, From: "I2", Voting: true})
	c.Step(4*second, PullAnswer{Round: 1, From: "I2", Voting: true})
	c.Step(4*second, PullAnswer{Round: 1, From: "I3"})
	assert.Equal(t, c.ProofExpiry(), 5*second, "two of four are no majority")
	out := c.Step(4*second, PullAnswer{Round: 1, From: "I4", Voting: true, State: State{Bundle: 7}})
	assert.DeepEqual(t, out, []Action{Fetch{State: State{Bundle: 7}, From: "I4"}})
	assert.Equal(t, c.ProofExpiry(), 5*second, "not before the version is installed")
	out = c.Step(4500*time.Millisecond, Installed{State: State{Bundle: 7}})
	assert.Equal(t, freshUntil(out), 7*second)
}

// Guards against an inherited proof that is dated too late, and against an
// instance that counts by a proof from before its start.
func TestInheritedProof(t *testing.T) {
	c := newCore(10*second, four)
	c.Step(11*second, PullStarted{Round: 1})
	out := c.Step(12*second, PullAnswer{Round: 1, From: "I2", Fresh: true, ProofAge: second})
	assert.Equal(t, freshUntil(out), 13*second-10*time.Millisecond, "start of the pull, less the age and 1%")
	assert.Assert(t, !c.Voting())
	age, ok := c.ProofAge(12 * second)
	assert.Assert(t, ok && age == 2*second+10*time.Millisecond)
	c.Step(12*second, TableRead{Start: 11*second + 10*time.Millisecond})
	assert.Assert(t, !c.Voting(), "a proof must lie 1 s and the slack after the start")
	c.Step(12*second, TableRead{Start: 12 * second})
	assert.Assert(t, c.Voting())
}

// Guards against an acceptance without the row, by old answers, or by a
// majority of only the newest list.
func TestAcceptance(t *testing.T) {
	five := append(four, "I5", "I6")
	c := newCore(0, five)
	c.Step(5*second, TableRead{Start: 5 * second})
	st := State{Bundle: 2}
	c.Step(5*second, Installed{State: st})
	c.Step(5*second, InstanceList{IDs: four})
	c.Step(5*second, Rollout{ID: 1, State: st, NeedRow: true})
	held := func(now, sent time.Duration, ids ...fleet.InstanceID) (accepted bool) {
		for _, id := range ids {
			for _, a := range c.Step(now, WitnessAck{From: id, Sent: sent, Voting: true, State: st}) {
				accepted = accepted || a == Accepted{ID: 1}
			}
		}
		return accepted
	}
	assert.Assert(t, !held(5*second, 5*second, "I2", "I3", "I4"), "no row yet")
	assert.DeepEqual(t, c.Step(5*second, RowWritten{ID: 1}), []Action{Accepted{ID: 1}})

	c.Step(6*second, Rollout{ID: 1, State: st})
	assert.Assert(t, !held(6*second, 6*second, "I2", "I3"), "three of the former six are no majority")
	assert.Assert(t, !held(8*second, 7*second, "I4"), "the first answers are too old by now")
	assert.Assert(t, held(8*second, 8*second, "I2", "I3", "I4"))
}

// Guards G13: nothing moves an instance to a lower version.
func TestNeverReverts(t *testing.T) {
	c := newCore(0, four)
	c.Step(0, Installed{State: State{Bundle: 5, Withdrawn: []fleet.KeyID{"k"}}})
	c.Step(0, Installed{State: State{Bundle: 3}})
	assert.Assert(t, c.HasInstalled(State{Bundle: 5, Withdrawn: []fleet.KeyID{"k"}}))
	assert.Equal(t, freshUntil(c.Step(second, TableRead{Start: second, State: State{Bundle: 4}})), 4*second, "a lagging row needs nothing")
}
