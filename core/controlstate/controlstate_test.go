package controlstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const second = time.Second

var fourInstances = []fleet.InstanceID{"I1", "I2", "I3", "I4"}

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

// Guards against a freshness proof that stays valid for longer than MaxProofAge (F)
// after the start of the table read or pull from which it was obtained. Such a proof
// would break guarantee G6: an instance would serve keyed requests with stale state.
func TestProofExpires(t *testing.T) {
	c := newCore(0, fourInstances)
	out := c.Step(5*second, TableRead{Start: 4 * second})
	assert.Equal(t, freshUntil(out), 7*second)
	assert.Assert(t, c.IsFresh(7*second-1))
	out = c.Step(7*second, Tick{})
	assert.DeepEqual(t, out, []Action{Stale{}})
	assert.Equal(t, len(c.Step(9*second, TableRead{Start: 5 * second})), 0, "a read that took longer than MaxProofAge (F) gives no proof")
}

// Guards against a proof from less than a majority, from witnesses that are not
// voting since their restart, or from versions that are not installed yet.
func TestPullNeedsMajorityOfVotingWitnesses(t *testing.T) {
	c := newCore(0, fourInstances)
	c.Step(2*second, TableRead{Start: 2 * second})
	c.Step(4*second, PullStarted{Round: 1})
	c.Step(4*second, PullAnswer{Round: 1, From: "I2", Voting: true})
	c.Step(4*second, PullAnswer{Round: 1, From: "I2", Voting: true})
	c.Step(4*second, PullAnswer{Round: 1, From: "I3"})
	assert.Equal(t, c.ProofExpiry(), 5*second, "two of four are not a majority")
	out := c.Step(4*second, PullAnswer{Round: 1, From: "I4", Voting: true, State: State{Bundle: 7}})
	assert.DeepEqual(t, out, []Action{Fetch{State: State{Bundle: 7}, From: "I4"}})
	assert.Equal(t, c.ProofExpiry(), 5*second, "the proof waits for the installation of the version")
	out = c.Step(4500*time.Millisecond, Installed{State: State{Bundle: 7}})
	assert.Equal(t, freshUntil(out), 7*second)
}

// Guards against a proof adopted from a peer that is dated too late, and against
// an instance that counts in majorities by a proof from before its start.
func TestInheritedProof(t *testing.T) {
	c := newCore(10*second, fourInstances)
	c.Step(11*second, PullStarted{Round: 1})
	out := c.Step(12*second, PullAnswer{Round: 1, From: "I2", Fresh: true, ProofAge: second})
	assert.Equal(t, freshUntil(out), 13*second-10*time.Millisecond, "start of the pull, less the age and a clock drift of 1%")
	assert.Assert(t, !c.Voting())
	age, ok := c.ProofAge(12 * second)
	assert.Assert(t, ok && age == 2*second+10*time.Millisecond)
	c.Step(12*second, TableRead{Start: 11*second + 10*time.Millisecond})
	assert.Assert(t, !c.Voting(), "a proof must lie 1 s and the clock drift allowance after the start")
	c.Step(12*second, TableRead{Start: 12 * second})
	assert.Assert(t, c.Voting())
}

// Guards against accepting a rollout before its row is written, by answers older
// than SettleTime, or by a majority of the newest witnesses alone.
func TestRolloutAcceptance(t *testing.T) {
	sixInstances := append(fourInstances, "I5", "I6")
	c := newCore(0, sixInstances)
	c.Step(5*second, TableRead{Start: 5 * second})
	st := State{Bundle: 2}
	c.Step(5*second, Installed{State: st})
	c.Step(5*second, InstanceList{IDs: fourInstances})
	c.Step(5*second, Rollout{ID: 1, State: st, NeedRow: true})
	ackFrom := func(now, sent time.Duration, ids ...fleet.InstanceID) (accepted bool) {
		for _, id := range ids {
			for _, a := range c.Step(now, WitnessAck{From: id, Sent: sent, Voting: true, State: st}) {
				accepted = accepted || a == Accepted{ID: 1}
			}
		}
		return accepted
	}
	assert.Assert(t, !ackFrom(5*second, 5*second, "I2", "I3", "I4"), "the row is not written yet")
	assert.DeepEqual(t, c.Step(5*second, RowWritten{ID: 1}), []Action{Accepted{ID: 1}})

	c.Step(6*second, Rollout{ID: 1, State: st})
	assert.Assert(t, !ackFrom(6*second, 6*second, "I2", "I3"), "three of the former six are not a majority")
	assert.Assert(t, !ackFrom(8*second, 7*second, "I4"), "the first answers are older than SettleTime")
	assert.Assert(t, ackFrom(8*second, 8*second, "I2", "I3", "I4"))
}

// Guards G13 against an installation or a table read that takes an instance back
// to a lower version.
func TestInstalledVersionsNeverDecrease(t *testing.T) {
	c := newCore(0, fourInstances)
	c.Step(0, Installed{State: State{Bundle: 5, Withdrawn: []fleet.KeyID{"k"}}})
	c.Step(0, Installed{State: State{Bundle: 3}})
	assert.Assert(t, c.HasInstalled(State{Bundle: 5, Withdrawn: []fleet.KeyID{"k"}}))
	assert.Equal(t, freshUntil(c.Step(second, TableRead{Start: second, State: State{Bundle: 4}})), 4*second, "a row of a lower version requires no installation")
}
