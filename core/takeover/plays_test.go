package takeover

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// edgeRules are the deviations from the safe rules in edge/control and edge/app. One is
// removed here together with its fix.
var edgeRules = rules{
	announceBeforeStore: true,
	silentFeedIsProof:   true,
}

// play performs actions, in the words of describeAction, separated by semicolons. It
// returns a description of a violation, or "", and the first action that the rules do not
// allow, or "".
func (s search) play(script string) (violation, impossible string) {
	s.maxClaims, s.maxKills, s.idle = 9, 9, true
	st := s.initial()
	for action := range strings.SplitSeq(strings.Join(strings.Fields(script), " "), "; ") {
		found := false
		var next searchState
		s.successors(st, func(a string, args [2]int, to searchState) {
			if !found && describeAction(a, args) == action {
				next, found = to, true
			}
		})
		if !found {
			return "", action
		}
		if v := s.violation(&next); v != "" {
			return v, ""
		}
		st = next
	}
	return "", ""
}

// lateUnsettled: c is a user and reaches the former primary only. It learns of the claim
// after the change has taken effect.
const lateUnsettled = `a claims; a is confirmed by a; a is confirmed by b; time passes; time passes;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2; c reads the store`

// Otherwise open transactions would continue at the former primary.
func TestClaimLearnedLateRenewsNoLease(t *testing.T) {
	v, _ := search{rules: rules{renewWhileUnsettled: edgeRules.renewWhileUnsettled}, n: 3, users: 3}.play(lateUnsettled)
	assert.Equal(t, v, "")
}

// lateSettled: as before, but c is told of the new primary, of which it is a user.
const lateSettled = `a claims; a is confirmed by a; a is confirmed by b; time passes; time passes;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2;
	a stores the new primary; b reads the store; c reads the store; c registers`

// The lease on the new primary must not cover connections to the former one.
func TestLeaseOnNewPrimaryCoversNoOldConnection(t *testing.T) {
	v, _ := search{rules: rules{groupLease: edgeRules.groupLease, storeConfirmed: edgeRules.storeConfirmed}, n: 3, users: 3}.play(lateSettled)
	assert.Equal(t, v, "")
}

// divided: a, b and c confirm a change, and a announces its end to b and c, which are cut
// off from the others then; the store never has the record. d takes the change over.
const divided = `a claims; a is confirmed by a; a is confirmed by b; a is confirmed by c; time passes; time passes;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2;
	b reads the store; c reads the store; d reads the store;
	a announces the new primary to a; a announces the new primary to b; a announces the new primary to c;
	time passes; b is answered by c; c is answered by b;
	time passes; b is answered by c; c is answered by b;
	time passes; b is answered by c; c is answered by b;
	time passes; b is answered by c; c is answered by b;
	d claims; d is confirmed by a; d is confirmed by d; d is confirmed by e;
	time passes; b is answered by c; c is answered by b;
	time passes; b is answered by c; c is answered by b;
	d calls the platform to promote endpoint 2; the platform promotes endpoint 2 for version 3`

// Otherwise a majority of one list may extend leases while one of the other changes the primary.
func TestMajoritiesOfAnnouncedAndStoredUsersIntersect(t *testing.T) {
	v, _ := search{rules: rules{announceBeforeStore: edgeRules.announceBeforeStore, announceConfirmed: edgeRules.announceConfirmed, storeConfirmed: edgeRules.storeConfirmed}, n: 5, users: 5}.play(divided)
	assert.Equal(t, v, "")
}

// keptLease: c confirms a change and proves with d and e that it knows of no other. The
// settled record has a, b and c as users; its announcement reaches c after the next change.
const keptLease = `a claims; a is confirmed by a; a is confirmed by b; a is confirmed by c; time passes; time passes;
	d is answered by c; e is answered by c; c is answered by d; c is answered by e;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2; a stores the new primary;
	a claims; a is confirmed by a; a is confirmed by b;
	time passes; c is answered by d; c is answered by e;
	time passes; c is answered by d; c is answered by e;
	a calls the platform to promote endpoint 2; the platform promotes endpoint 2 for version 4;
	c gets the delayed announcement`

// A lease that the users of one record extended must not hold under a record with others.
func TestLeaseEndsWithUsersThatExtendedIt(t *testing.T) {
	v, _ := search{rules: rules{renewWhileUnsettled: edgeRules.renewWhileUnsettled, keepLease: edgeRules.keepLease, announceBeforeStore: edgeRules.announceBeforeStore, announceConfirmed: edgeRules.announceConfirmed, storeConfirmed: edgeRules.storeConfirmed}, n: 5, users: 5, delays: true}.play(keptLease)
	assert.Equal(t, v, "")
}

// relayed: d, which is no user, is suspended between taking the age of its proof and
// taking the time for which it held the call of c.
const relayed = `a claims; a is confirmed by a; a is confirmed by b; time passes; c is answered by d; time passes;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2`

// A relayed proof must not become younger while the instance that relays it is suspended.
func TestSuspendedRelayMakesNoProofYounger(t *testing.T) {
	v, _ := search{rules: rules{relayTooYoung: edgeRules.relayTooYoung}, n: 4, users: 3}.play(relayed)
	assert.Equal(t, v, "")
}

// refused: b runs and has a lease while its port refuses the connection of the holder.
const refused = `a claims; a is confirmed by a; a is refused by running b;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2`

// A refused connection must not stand for a confirmation while a process has a lease.
func TestRefusalOfRunningUserIsNoConfirmation(t *testing.T) {
	v, _ := search{rules: rules{refusedWhileRunning: edgeRules.refusedWhileRunning}, n: 2, users: 2}.play(refused)
	assert.Equal(t, v, "")
}

// silentFeed: the feed of c brings nothing although the claim is in the store.
const silentFeed = `a claims; a is confirmed by a; a is confirmed by b; time passes; c hears nothing from the feed; time passes;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2`

// Silence of a feed that delivers nothing must not renew a lease.
func TestSilentFeedIsNoProof(t *testing.T) {
	v, _ := search{rules: rules{silentFeedIsProof: edgeRules.silentFeedIsProof}, n: 3, users: 3}.play(silentFeed)
	assert.Equal(t, v, "")
}

// delayedPromotion: the call of a is held up until b has finished the change with another
// endpoint.
const delayedPromotion = `a claims; a is confirmed by a; a is confirmed by b; a is confirmed by c;
	a calls the platform to promote endpoint 1; time passes; time passes; time passes; time passes;
	b claims; b is confirmed by a; b is confirmed by b; b is confirmed by c;
	b calls the platform to promote endpoint 2; the platform promotes endpoint 2 for version 3; b stores the new primary;
	b reads the store; the platform promotes endpoint 1 for version 2`

// A promotion call must not take effect after its holder has given up.
func TestDelayedPromotionReplacesNoLaterPrimary(t *testing.T) {
	v, _ := search{rules: rules{promoteOutlivesHolder: edgeRules.promoteOutlivesHolder}, n: 3, users: 3}.play(delayedPromotion)
	assert.Equal(t, v, "")
}

// twoHolders: d, which is no user, was restarted before its claim, and a has not reached
// it since.
const twoHolders = `d claims; d is confirmed by a; d is confirmed by b; d is confirmed by c; d calls the platform to promote endpoint 1;
	a claims; a is confirmed by a; a is confirmed by b; a is confirmed by c;
	a calls the platform to promote endpoint 2; the platform promotes endpoint 2 for version 3; a stores the new primary;
	the platform promotes endpoint 1 for version 2`

// Otherwise two holders would promote at once.
func TestEarlierRefusalDoesNotShowHolderStopped(t *testing.T) {
	v, _ := search{rules: rules{staleStopEvidence: edgeRules.staleStopEvidence}, n: 4, users: 3, anyFirst: true}.play(twoHolders)
	assert.Equal(t, v, "")
}

// shrunk: b acts on an announcement with all users, and does not learn that the stored
// record has fewer.
const shrunk = `a claims; a is confirmed by a; a is confirmed by b; a is confirmed by c; time passes; time passes;
	d is answered by c; e is answered by c; b is answered by d; b is answered by e;
	a calls the platform to promote endpoint 1; the platform promotes endpoint 1 for version 2;
	a announces the new primary to b; a stores the new primary; a claims; a is confirmed by a; a is confirmed by c;
	time passes; b is answered by d; b is answered by e;
	time passes; b is answered by d; b is answered by e;
	a calls the platform to promote endpoint 2; the platform promotes endpoint 2 for version 4`

// announcedTwice: b uses the primary that a has announced, and a, restarted before the store has
// its record, claims the change again on top of its former claim.
const announcedTwice = `a claims; a is confirmed by a; a is confirmed by b; a calls the platform to promote endpoint 1;
	the platform promotes endpoint 1 for version 2; a announces the new primary to b; a is killed; a starts; a reads the store;
	a claims; a is confirmed by a; a is confirmed by b; a calls the platform to promote endpoint 2; the platform promotes endpoint 2 for version 3`

// Guards against a user that confirms a change by its number alone while its transactions go on
// at the primary that was announced under the same number.
func TestClaimEndsUseOfAnnouncedPrimary(t *testing.T) {
	v, impossible := search{rules: rules{announceBeforeStore: true, reuseOrder: edgeRules.reuseOrder}, n: 2, users: 2}.play(announcedTwice)
	assert.Equal(t, v, "")
	assert.Equal(t, impossible, "")
}

// Each play breaks its own rules alone, and is safe without them: also if the new primary is
// announced early with all users, or stored first with those that have confirmed.
func TestPlaysNeedTheirRules(t *testing.T) {
	for name, c := range map[string]struct {
		search
		script string
	}{
		"lateUnsettled":    {search{rules: rules{renewWhileUnsettled: true}, n: 3, users: 3}, lateUnsettled},
		"lateSettled":      {search{rules: rules{groupLease: true, storeConfirmed: true}, n: 3, users: 3}, lateSettled},
		"divided":          {search{rules: rules{announceBeforeStore: true, announceConfirmed: true}, n: 5, users: 5}, divided},
		"shrunk":           {search{rules: rules{announceBeforeStore: true, storeConfirmed: true}, n: 5, users: 5}, shrunk},
		"keptLease":        {search{rules: rules{renewWhileUnsettled: true, keepLease: true, announceBeforeStore: true, announceConfirmed: true, storeConfirmed: true}, n: 5, users: 5, delays: true}, keptLease},
		"relayed":          {search{rules: rules{relayTooYoung: true}, n: 4, users: 3}, relayed},
		"refused":          {search{rules: rules{refusedWhileRunning: true}, n: 2, users: 2}, refused},
		"silentFeed":       {search{rules: rules{silentFeedIsProof: true}, n: 3, users: 3}, silentFeed},
		"delayedPromotion": {search{rules: rules{promoteOutlivesHolder: true}, n: 3, users: 3}, delayedPromotion},
		"announcedTwice":   {search{rules: rules{announceBeforeStore: true, reuseOrder: true}, n: 2, users: 2}, announcedTwice},
		"twoHolders":       {search{rules: rules{staleStopEvidence: true}, n: 4, users: 3, anyFirst: true}, twoHolders},
	} {
		v, impossible := c.play(c.script)
		t.Logf("%s: %s", name, v)
		assert.Assert(t, v != "", "%s: no violation; not possible: %q", name, impossible)
		for _, safe := range []rules{{}, {announceBeforeStore: true}, {storeConfirmed: true}} {
			c.rules = safe
			v, _ = c.play(c.script)
			assert.Equal(t, v, "", name)
		}
	}
}
