package takeover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/lease"
)

// removalSearch visits all states of a removal, or of a change of primary without a majority,
// that c claims while a and b, the other users, may be cut off from the store, from c and from
// each other at any time. The permissions and the end of the wait are those of the production
// code.
type removalSearch struct {
	// known is set if a and b know c as a user. Otherwise they know each other only, and c
	// does not reach them.
	known bool
	// joiners have registered with c although a and b did not answer, and confirm at once.
	joiners int
	// announces lets an earlier holder announce a new primary, once, before c claims the change
	// again. Whoever is told uses that one until it learns of the claim of c.
	announces bool
	// step is the time between two moments. Coarser steps make fewer states of a long wait.
	step time.Duration
	// Mutations of the rules.
	early, partialCounts, unacknowledged, forgetJoiners, waitSinceFirstClaim bool
}

// removalUser is the state of a or b. Ages are in steps, none if there is no such event.
type removalUser struct {
	proofAge int8
	// responseAge are those of the responses of the other one and of c.
	responseAge [2]int8
	// knows is set once it has adopted the removal, at confirmAge if it told c so.
	knows      bool
	confirmAge int8
}

type removalState struct {
	users    [2]removalUser
	claimAge int8
	// earlierAge is the age of the claim of an earlier holder.
	earlierAge int8
}

// removalNow is the present in the times that are passed to the production code.
const removalNow = 100 * time.Second

func (s *removalSearch) ago(age int8) time.Duration {
	return removalNow - time.Duration(age)*s.step
}

// maySend reports whether user i may use the primary without knowing the removal.
func (s *removalSearch) maySend(st *removalState, i int) bool {
	u, names := &st.users[i], []fleet.InstanceID{"a", "b"}
	if u.knows {
		return false
	}
	l := lease.New()
	l.AddProof(s.ago(u.proofAge))
	for k, id := range []fleet.InstanceID{names[1-i], "c"} {
		if u.responseAge[k] != none {
			l.AddPeerResponse(id, s.ago(u.responseAge[k]), true)
		}
	}
	all := names
	if s.known {
		all = []fleet.InstanceID{"a", "b", "c"}
	}
	expiry := l.Expiry(names[i], all, nil)
	if s.partialCounts {
		expiry = max(expiry, l.Expiry(names[i], names, nil))
	}
	return removalNow < expiry
}

// effective reports whether the removal has taken effect.
func (s *removalSearch) effective(st *removalState) bool {
	if st.claimAge == none {
		return false
	}
	claimed := s.ago(st.claimAge)
	state := []Confirmation{{Member: "c", Confirmed: true, At: claimed}}
	for range s.joiners {
		state = append(state, state[0])
	}
	if s.waitSinceFirstClaim && st.earlierAge != none {
		claimed = s.ago(st.earlierAge)
	}
	for i, id := range []fleet.InstanceID{"a", "b"} {
		c := Confirmation{Member: id, KnowsHolder: s.known || s.unacknowledged}
		if st.users[i].confirmAge != none {
			c.Confirmed, c.At = true, s.ago(st.users[i].confirmAge)
		}
		state = append(state, c)
	}
	at := TakesEffectAt(claimed, state, s.joiners == 0 || s.forgetJoiners)
	if s.early {
		at = claimed + lease.Duration + effectMargin
	}
	return removalNow >= at
}

// successors calls f with each state that one action leads to.
func (s *removalSearch) successors(st removalState, f func(removalState)) {
	limit := int8((lease.MaxMajorityExtension+lease.Duration+effectMargin)/s.step + 1)
	fresh := int8(lease.Duration/s.step + 1)
	next := st
	next.claimAge, next.earlierAge = older(st.claimAge, limit), older(st.earlierAge, limit)
	for i := range next.users {
		u := &next.users[i]
		u.proofAge, u.confirmAge = older(u.proofAge, limit), older(u.confirmAge, limit)
		for k := range u.responseAge {
			if u.responseAge[k] = older(u.responseAge[k], fresh); u.responseAge[k] == fresh {
				u.responseAge[k] = none
			}
		}
	}
	f(next)
	if st.claimAge == none {
		next = st
		next.claimAge = 0
		f(next)
	}
	if s.announces && st.claimAge != none && st.earlierAge == none {
		next = st
		next.earlierAge, next.claimAge = st.claimAge, none
		for i := range next.users {
			next.users[i].knows, next.users[i].confirmAge = false, none
		}
		f(next)
	}
	for i := range st.users {
		// A read of the store, which has the removal once it is claimed.
		next = st
		next.users[i].proofAge, next.users[i].knows = 0, st.users[i].knows || st.claimAge != none
		f(next)
		// A response of the other user, with its proof and what it knows.
		next = st
		u, o := &next.users[i], &st.users[1-i]
		u.responseAge[0], u.knows = 0, u.knows || o.knows
		u.proofAge = min(u.proofAge, o.proofAge)
		f(next)
		if !s.known {
			continue
		}
		// A response of c, and one to c.
		next = st
		u = &next.users[i]
		u.responseAge[1], u.proofAge, u.knows = 0, 0, u.knows || st.claimAge != none
		f(next)
		if st.claimAge != none && st.users[i].confirmAge == none {
			next = st
			next.users[i].knows, next.users[i].confirmAge = true, 0
			f(next)
		}
	}
}

// run visits the reachable states, at most limit. It reports whether a user may send after the
// removal has taken effect.
func (s *removalSearch) run(limit int) (violated bool, states int) {
	first := removalState{claimAge: none, earlierAge: none}
	for i := range first.users {
		first.users[i] = removalUser{responseAge: [2]int8{none, none}, confirmAge: none}
	}
	seen := map[removalState]bool{first: true}
	for queue := []removalState{first}; len(queue) > 0 && !violated && len(seen) < limit; {
		st := queue[0]
		queue = queue[1:]
		s.successors(st, func(to removalState) {
			if seen[to] {
				return
			}
			seen[to] = true
			if s.effective(&to) {
				violated = violated || s.maySend(&to, 0) || s.maySend(&to, 1)
				return // the play is over
			}
			queue = append(queue, to)
		})
	}
	return violated, len(seen)
}

// Guards against a removed user that may still send when the removal takes effect, in any order
// of reads, calls and losses. Each mutant must be noticed.
func TestNoReachableStateUsesPrimaryAfterRemoval(t *testing.T) {
	const limit = 3_000_000
	known, unknown := removalSearch{known: true, step: 1300 * time.Millisecond}, removalSearch{step: 2200 * time.Millisecond}
	joined := removalSearch{joiners: 4, step: unknown.step}
	announced := removalSearch{known: true, announces: true, step: 1900 * time.Millisecond}
	for _, s := range []removalSearch{known, unknown, joined, announced} {
		violated, states := s.run(limit)
		t.Logf("known %v, joiners %d, announced %v: %d states", s.known, s.joiners, s.announces, states)
		assert.Assert(t, !violated)
		assert.Assert(t, states < limit, "not all states were visited")
	}
	early, partial, unacknowledged := known, known, unknown
	early.early, partial.partialCounts, unacknowledged.unacknowledged = true, true, true
	majority, first := joined, announced
	majority.forgetJoiners, first.waitSinceFirstClaim = true, true
	for name, s := range map[string]removalSearch{"wait without the partial extension": early,
		"majority that counts like all users": partial, "user that the others do not know": unacknowledged,
		"majority of users that the others do not know": majority, "wait since before an announcement": first} {
		violated, states := s.run(limit)
		t.Logf("%s: %d states", name, states)
		assert.Assert(t, violated, "mutation not detected: %s", name)
	}
}
