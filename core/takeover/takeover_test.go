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

// A former primary that was cut off still reports itself as primary at its old term.
// If that were taken for the result of a promotion, the writes that it then commits
// would be lost (found in run hunt-cf85-47).
func TestFormerPrimaryHasNotTakenOver(t *testing.T) {
	candidates := []Candidate{{Endpoint: "former", Term: 1, TakenOver: true, Suspect: true}, {Endpoint: "other", Term: 2}}
	best, _ := Choose(candidates, 0)
	assert.Equal(t, best.Endpoint, fleet.EndpointID("other"))
	record := Promoting(catalog.Leadership{Former: "p", Confirming: true}, 0, HighestTerm(1, candidates))
	assert.Equal(t, record.PrimaryTerm, fleet.Term(2))
	for _, k := range []struct {
		state stmt.EndpointState
		want  Role
	}{
		{stmt.EndpointState{Primary: true, Term: 1}, Follower},
		{stmt.EndpointState{Primary: true, Term: 2}, FormerPrimary},
		{stmt.EndpointState{Primary: false, Term: 3}, Follower},
		{stmt.EndpointState{Primary: true, Term: 3}, Successor},
	} {
		assert.Equal(t, RoleOf(record, "former", k.state), k.want, "%+v", k.state)
	}
}

// Guards against a former primary that counts as one that has taken over, or the other way round,
// because its term is not known (review/12, review/13).
func TestRoleOfWithUnknownTerm(t *testing.T) {
	leads := stmt.EndpointState{Primary: true, Term: 1}
	confirming := catalog.Leadership{Former: "p", Confirming: true}
	for name, k := range map[string]struct {
		record catalog.Leadership
		id     fleet.EndpointID
		state  stmt.EndpointState
		want   Role
	}{
		"before a promotion":                 {confirming, "p", leads, FormerPrimary},
		"under another id":                   {confirming, "p2", leads, FormerPrimary},
		"a replica":                          {confirming, "r", stmt.EndpointState{Term: 1}, Follower},
		"it has been told before":            {Promoting(confirming, 0, 1), "p", leads, FormerPrimary},
		"another one since":                  {Promoting(confirming, 0, 1), "r", stmt.EndpointState{Primary: true, Term: 2}, Successor},
		"another holder since":               {Claim(Promoting(confirming, 0, 1), 0, Claimant{}, 0), "r", stmt.EndpointState{Primary: true, Term: 2}, Successor},
		"nobody has told it":                 {Promoting(confirming, 0, 0), "r", leads, Successor},
		"nobody has told it, the former one": {Promoting(confirming, 0, 0), "p", leads, FormerPrimary},
	} {
		assert.Equal(t, RoleOf(k.record, k.id, k.state), k.want, name)
	}
	assert.Equal(t, Promoting(Claim(Promoting(confirming, 0, 0), 0, Claimant{}, 0), 0, 2).PrimaryTerm, fleet.Term(0), "the term may be that of a promoted endpoint")
	assert.Equal(t, Promoting(confirming, 0, 4).Term, fleet.Term(5), "the old primary is demoted with it")
}

// A leaving endpoint, or a suspect one that most instances may not reach, must not be
// promoted while another is available, even if its log is longer.
func TestChooseAvoidsLeavingAndSuspect(t *testing.T) {
	at := func(n uint64) fleet.LogPosition { return fleet.LogPosition{Term: 1, Position: fleet.Position(n)} }
	best, ok := Choose([]Candidate{
		{Endpoint: "suspect", Received: at(194), Suspect: true}, {Endpoint: "behind", Received: at(183)},
		{Endpoint: "leaving", Received: at(200), Leaving: true}, {Endpoint: "ahead", Received: at(190)},
	}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, best.Endpoint, fleet.EndpointID("ahead"))
	best, _ = Choose([]Candidate{{Endpoint: "b", Received: at(1), Leaving: true}, {Endpoint: "a", Received: at(1), Leaving: true}}, 0)
	assert.Equal(t, best.Endpoint, fleet.EndpointID("a"))
	_, ok = Choose(nil, 0)
	assert.Assert(t, !ok)
}

// A member that has not confirmed may still send to the old primary under a proof from
// before the claim. The change must not take effect before that proof has expired.
func TestEffectiveAtWaitsForUnconfirmedMembers(t *testing.T) {
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
	assert.Assert(t, !ok, "a minority of confirmations is not enough: the other members may extend their leases among themselves")
}

// The primary must not be replaced without need, for example after one refused
// connection, and two instances must not act at the same time.
func TestReplacementCause(t *testing.T) {
	settled := catalog.Leadership{Version: 5, Primary: "p", Settled: true}
	base := Observation{Now: 10 * time.Second, Record: settled, Listed: true, Candidates: 2}
	with := func(f func(*Observation)) Observation { s := base; f(&s); return s }
	for _, c := range []struct {
		name string
		s    Observation
		want Cause
	}{
		{"healthy", base, None},
		{"leaving", with(func(s *Observation) { s.Leaving = true }), Leaving},
		{"leaving without a replica", with(func(s *Observation) { s.Leaving, s.Candidates = true, 0 }), None},
		{"failing for less than the grace period", with(func(s *Observation) { s.Failing, s.FailingSince = true, s.Now-FailingGrace/2 }), None},
		{"unreachable", with(func(s *Observation) { s.Failing, s.FailingSince = true, s.Now-FailingGrace }), Unreachable},
		{"second in rank waits", with(func(s *Observation) { s.Failing, s.FailingSince, s.Rank = true, s.Now-FailingGrace, 1 }), None},
		{"missing for less than the grace period", with(func(s *Observation) { s.Listed, s.MissingSince = false, s.Now-MissingGrace/2 }), None},
		{"gone", with(func(s *Observation) { s.Listed, s.MissingSince = false, s.Now-MissingGrace }), Gone},
		{"change in progress", with(func(s *Observation) { s.Record.Settled, s.RecordLearnedAt, s.Leaving = false, s.Now-time.Second, true }), None},
		{"holder stopped", with(func(s *Observation) { s.Record.Settled, s.RecordLearnedAt, s.HolderStopped = false, s.Now, true }), Unsettled},
		{"abandoned", with(func(s *Observation) { s.Record.Settled, s.RecordLearnedAt = false, s.Now-AbandonedAfter }), Unsettled},
	} {
		assert.Equal(t, ReplacementCause(c.s), c.want, c.name)
	}
	assert.Assert(t, HolderTimeout+500*time.Millisecond < AbandonedAfter, "a holder must stop before another instance takes over")
}

// Guards against a group without a primary for good after its only user was lost.
func TestOnlyUserIsWaitedFor(t *testing.T) {
	at, ok := EffectiveAt(time.Second, []Confirmation{{Member: "a"}})
	assert.Assert(t, ok)
	assert.Equal(t, at, time.Second+lease.Duration+effectMargin)
}

// Guards against callers without a primary while the leaving one still serves: no replica that
// stays has its log yet.
func TestPlannedChangeWaitsForAReplicaThatStays(t *testing.T) {
	at := func(n uint64) fleet.LogPosition { return fleet.LogPosition{Term: 2, Position: fleet.Position(n)} }
	assert.Assert(t, !ReadyForPlannedChange(at(5), nil))
	assert.Assert(t, !ReadyForPlannedChange(at(5), []Candidate{{Received: at(5), Leaving: true}, {Received: at(4)}}))
	assert.Assert(t, !ReadyForPlannedChange(at(5), []Candidate{{Received: fleet.LogPosition{Term: 1, Position: 9}}}))
	assert.Assert(t, ReadyForPlannedChange(at(5), []Candidate{{Received: at(5)}}))
}

// Guards against a change for an evacuation that begins before the group's turn, without a candidate
// outside, or not at all because the primary is healthy.
func TestEvacuatedPrimaryIsReplacedInItsTurn(t *testing.T) {
	o := Observation{Now: 10 * time.Second, Record: catalog.Leadership{Settled: true}, Listed: true, Evacuated: true,
		EvacuateFrom: 10 * time.Second, Candidates: 1}
	assert.Equal(t, ReplacementCause(o), Evacuated)
	assert.Equal(t, Evacuated.String(), "evacuated")
	early := o
	early.EvacuateFrom++
	assert.Equal(t, ReplacementCause(early), None)
	second := o
	second.Rank = 1
	assert.Equal(t, ReplacementCause(second), None)
	none := o
	none.Candidates = 0
	assert.Equal(t, ReplacementCause(none), None)
	failing := early
	failing.Failing = true
	assert.Equal(t, ReplacementCause(failing), Unreachable, "a failed primary is replaced without waiting for its turn")
}

// Guards against a planned change that begins because a replica has the log that must not be promoted.
func TestReplicaThatMustNotBePromotedIsNoReasonToBegin(t *testing.T) {
	at := fleet.LogPosition{Term: 1, Position: 7}
	assert.Assert(t, ReadyForPlannedChange(at, []Candidate{{Endpoint: "a", Received: at}}))
	assert.Assert(t, !ReadyForPlannedChange(at, []Candidate{{Endpoint: "a", Received: at, Refused: true}}))
}

// Guards against a log that is promoted although it may lack acknowledged commits, whatever the
// time that has passed, and against one that is not though it is known to have them.
func TestHoldsAcknowledged(t *testing.T) {
	at := func(n fleet.Position) fleet.LogPosition { return fleet.LogPosition{Term: 1, Position: n} }
	one := Candidate{Endpoint: "r", Received: at(5)}
	unknown := &catalog.ReplicaSet{}
	for name, k := range map[string]struct {
		e    Evidence
		want bool
	}{
		"no other endpoint":                          {Evidence{}, true},
		"another one is missing":                     {Evidence{Missing: 1}, false},
		"missing, but all is known to be here":       {Evidence{Missing: 2, Acknowledged: at(5)}, true},
		"something is not here":                      {Evidence{Missing: 2, Acknowledged: at(6)}, false},
		"the old primary has more":                   {Evidence{Former: at(6), Acknowledged: at(5)}, false},
		"the old primary has as much":                {Evidence{Missing: 2, Former: at(5)}, true},
		"another candidate has more":                 {Evidence{Candidates: []Candidate{{Received: at(6)}}}, false},
		"another has more, which nobody was told of": {Evidence{Candidates: []Candidate{{Received: at(6)}}, Acknowledged: at(5)}, true},
		"a user has been told more":                  {Evidence{Least: at(6)}, false},
		"a user has been told as much":               {Evidence{Least: at(5)}, true},
		"the others are not known":                   {Evidence{Replicas: unknown}, false},
		"not known, but all is here":                 {Evidence{Replicas: unknown, Acknowledged: at(5)}, true},
		"not known, but the old primary has no more": {Evidence{Replicas: unknown, Former: at(5)}, true},
		"copies that are not counted on yet":         {Evidence{SyncReplicas: 2, Missing: 1}, false},
		"one of two copies is missing":               {Evidence{SyncReplicas: 2, Missing: 1, Replicas: &catalog.ReplicaSet{Copies: 2}}, true},
		"both copies are missing":                    {Evidence{SyncReplicas: 2, Missing: 2, Replicas: &catalog.ReplicaSet{Copies: 2}}, false},
		"the number was lowered":                     {Evidence{Missing: 1, Replicas: &catalog.ReplicaSet{Copies: 2}}, false},
	} {
		if k.e.SyncReplicas == 0 {
			k.e.SyncReplicas = 1
		}
		switch k.e.Replicas {
		case nil:
			k.e.Replicas = &catalog.ReplicaSet{Copies: 1}
		case unknown:
			k.e.Replicas = nil
		}
		k.e.Candidates = append(k.e.Candidates, one)
		assert.Equal(t, k.e.HoldsAcknowledged(one), k.want, name)
	}
}

// Guards against a position that is taken to cover all acknowledged commits although a process
// whose acknowledgements nobody reports may have had more.
func TestAllAcknowledged(t *testing.T) {
	at := func(n fleet.Position) fleet.LogPosition { return fleet.LogPosition{Term: 1, Position: n} }
	change := catalog.Leadership{ConfirmingSince: 8}
	based := &AcknowledgedCommits{Position: at(5), Record: 7, Base: true}
	idle := &AcknowledgedCommits{Record: 7, RanBefore: true}
	restarted := &AcknowledgedCommits{Position: at(9), Record: 7}
	earlier := &AcknowledgedCommits{Position: at(6), Record: 6, Base: true, RanBefore: true}
	for name, k := range map[string]struct {
		change catalog.Leadership
		users  []*AcknowledgedCommits
		want   fleet.Position
	}{
		"one that is idle":                        {change, []*AcknowledgedCommits{based, idle}, 5},
		"one that knows only an earlier record":   {change, []*AcknowledgedCommits{based, earlier}, 6},
		"nobody has asked the primary":            {change, []*AcknowledgedCommits{idle, idle}, 0},
		"nobody has since the users were changed": {change, []*AcknowledgedCommits{earlier, idle}, 0},
		"one that was restarted":                  {change, []*AcknowledgedCommits{based, restarted}, 0},
		"one that does not tell":                  {change, []*AcknowledgedCommits{based, nil}, 0},
		"another endpoint may have been promoted": {catalog.Leadership{ConfirmingSince: 8, MayHavePromoted: true}, []*AcknowledgedCommits{based, idle}, 0},
	} {
		got, known := AllAcknowledged(k.change, k.users)
		assert.Equal(t, known, k.want > 0, name)
		if known {
			assert.Equal(t, got, at(k.want), name)
		}
	}
}

// Guards against a change of primary that nobody else gets to carry out: the process that holds it
// is brought down by it, is started again, and takes its claim over at once (review/12, 13, 14).
func TestChangeIsNotKeptByHolderThatCrashes(t *testing.T) {
	const step, restart = 10 * time.Millisecond, 500 * time.Millisecond
	// takenOver returns when another instance than the first one claims the change, 0 if none does
	// in a minute. The first one ends some time after each of its claims, or only fails in them.
	takenOver := func(after time.Duration, restarts bool, own func(catalog.Leadership, Claimant) (stopped, failed bool), failedCounts bool) time.Duration {
		record := Claim(catalog.Leadership{Group: "bookings", Primary: "e1", Settled: true}, 0, Claimant{Instance: "a"}, 1)
		self := Claimant{Instance: "a", LastClaim: 1}
		learned, failsAt, back := time.Duration(0), after, time.Duration(-1)
		failed, failedAt := false, time.Duration(0)
		for now := step; now < time.Minute; now += step {
			switch {
			case failsAt > 0 && now >= failsAt:
				failsAt = 0
				if restarts {
					self.LastClaim, back = 0, now+restart
				} else {
					failed, failedAt, back = failedCounts, now, now
				}
			case back >= 0 && now >= back:
				o := Observation{Now: now, Record: record, RecordLearnedAt: learned, Failed: failed, FailedAt: failedAt}
				stopped, failedBefore := own(record, self)
				if o.HolderStopped = stopped; failedBefore {
					o.Failed, o.FailedAt = true, learned
				}
				if ReplacementCause(o) != Unsettled {
					break
				}
				claim := uint64(now)
				record, self.LastClaim = Claim(record, 0, self, claim), claim
				learned, failsAt, back = now, now+after, -1
			}
			if ReplacementCause(Observation{Now: now, Record: record, RecordLearnedAt: learned, Rank: 1}) == Unsettled {
				return now
			}
		}
		return 0
	}
	alwaysStopped := func(catalog.Leadership, Claimant) (stopped, failed bool) { return true, false }
	for after := step; after < 2*time.Second; after += 7 * step {
		// Once more at once after a restart, and then as late as anybody.
		bound := after + restart + AbandonedAfter + 2*claimStagger
		for _, restarts := range []bool{false, true} {
			at := takenOver(after, restarts, OwnChange, true)
			assert.Assert(t, at > 0 && at <= bound, "ends %v after a claim, is started again %v: taken over at %v", after, restarts, at)
		}
		assert.Equal(t, takenOver(after, true, alwaysStopped, true), time.Duration(0), "mutation not detected: own claim taken over at once")
		assert.Equal(t, takenOver(after, false, OwnChange, false), time.Duration(0), "mutation not detected: failure not counted")
	}
}

// Guards against a former primary that is promoted in its own succession (review/13).
func TestFormerPrimaryIsNoCandidate(t *testing.T) {
	settled := catalog.Leadership{Primary: "p", Former: "r", Settled: true}
	claimed := Claim(settled, 0, Claimant{}, 0)
	promoting := Promoting(claimed, 0, 1)
	for _, k := range []struct {
		record catalog.Leadership
		id     fleet.EndpointID
		want   bool
	}{
		{settled, "r", true}, {claimed, "p", false}, {claimed, "r", true}, {Claim(claimed, 0, Claimant{}, 0), "p", false},
		{promoting, "p", true}, {Claim(promoting, 0, Claimant{}, 0), "p", true},
	} {
		assert.Equal(t, MayPromote(k.record, k.id), k.want, "%s: %+v", k.id, k.record)
	}
}
