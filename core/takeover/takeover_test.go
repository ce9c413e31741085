package takeover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

// Guards against taking the leadership of an earlier term for the promotion: a
// former primary that was cut off still calls itself primary, and writes that it
// then commits are lost (hunt-cf85-47).
func TestFormerPrimaryLeadsOnlyAtANewTerm(t *testing.T) {
	before := HighestTerm(1, []Candidate{{Endpoint: "former", Term: 1}, {Endpoint: "other", Term: 2}})
	assert.Equal(t, before, fleet.Term(2))
	assert.Assert(t, !HasTakenOver(stmt.EndpointState{Primary: true, Term: 1}, before))
	assert.Assert(t, !HasTakenOver(stmt.EndpointState{Primary: true, Term: 2}, before))
	assert.Assert(t, !HasTakenOver(stmt.EndpointState{Primary: false, Term: 3}, before))
	assert.Assert(t, HasTakenOver(stmt.EndpointState{Primary: true, Term: 3}, before))
}

// Guards against promoting an endpoint that most instances cannot reach while
// another is there.
func TestChooseAvoidsLeavingAndDoubtful(t *testing.T) {
	at := func(n uint64) fleet.LogPosition { return fleet.LogPosition{Term: 1, Position: fleet.Position(n)} }
	best, ok := Choose([]Candidate{
		{Endpoint: "doubtful", Received: at(194), Suspect: true}, {Endpoint: "behind", Received: at(183)},
		{Endpoint: "leaving", Received: at(200), Leaving: true}, {Endpoint: "ahead", Received: at(190)},
	})
	assert.Assert(t, ok)
	assert.Equal(t, best.Endpoint, fleet.EndpointID("ahead"))
	best, _ = Choose([]Candidate{{Endpoint: "b", Received: at(1), Leaving: true}, {Endpoint: "a", Received: at(1), Leaving: true}})
	assert.Equal(t, best.Endpoint, fleet.EndpointID("a"))
	_, ok = Choose(nil)
	assert.Assert(t, !ok)
}

// Guards against a change that takes effect while a member that did not confirm
// may still send by a proof from before the claim.
func TestEffectiveWaitsForSilentMembers(t *testing.T) {
	const claimed = 10 * time.Second
	all := []Confirmation{{Member: "a", Confirmed: true, At: claimed + 1}, {Member: "b", Confirmed: true, At: claimed + 5},
		{Member: "c", Confirmed: true, At: claimed + 3}}
	at, ok := EffectiveAt(claimed, all)
	assert.Assert(t, ok)
	assert.Equal(t, at, claimed+5)
	all[2].Confirmed = false
	at, ok = EffectiveAt(claimed, all)
	assert.Assert(t, ok)
	assert.Assert(t, at >= claimed+lease.Duration)
	all[1].Confirmed = false
	_, ok = EffectiveAt(claimed, all)
	assert.Assert(t, !ok, "a minority must not take effect: the others may prove freshness among themselves")
}

// Guards against needless changes and against two instances acting at once.
func TestJudge(t *testing.T) {
	settled := catalog.Leadership{Version: 5, Primary: "p", Settled: true}
	base := Observation{Now: 10 * time.Second, Record: settled, Listed: true, Candidates: 2}
	with := func(f func(*Observation)) Observation { s := base; f(&s); return s }
	for _, c := range []struct {
		name string
		s    Observation
		want Cause
	}{
		{"calm", base, None},
		{"leaving", with(func(s *Observation) { s.Leaving = true }), Leaving},
		{"leaving without a replica", with(func(s *Observation) { s.Leaving, s.Candidates = true, 0 }), None},
		{"refused once", with(func(s *Observation) { s.Failing, s.FailingSince = true, s.Now-FailingGrace/2 }), None},
		{"unreachable", with(func(s *Observation) { s.Failing, s.FailingSince = true, s.Now-FailingGrace }), Unreachable},
		{"the next in rank waits", with(func(s *Observation) { s.Failing, s.FailingSince, s.Rank = true, s.Now-FailingGrace, 1 }), None},
		{"lapsed entry", with(func(s *Observation) { s.Listed, s.MissingSince = false, s.Now-MissingGrace/2 }), None},
		{"gone", with(func(s *Observation) { s.Listed, s.MissingSince = false, s.Now-MissingGrace }), Gone},
		{"change under way", with(func(s *Observation) { s.Record.Settled, s.RecordLearnedAt, s.Leaving = false, s.Now-time.Second, true }), None},
		{"holder killed", with(func(s *Observation) { s.Record.Settled, s.RecordLearnedAt, s.HolderStopped = false, s.Now, true }), Unsettled},
		{"abandoned", with(func(s *Observation) { s.Record.Settled, s.RecordLearnedAt = false, s.Now-AbandonedAfter }), Unsettled},
	} {
		assert.Equal(t, ReplacementCause(c.s), c.want, c.name)
	}
	assert.Assert(t, HolderTimeout+500*time.Millisecond < AbandonedAfter, "a holder stops before another takes over")
}
