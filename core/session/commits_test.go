package session

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// commitsSearch plays all sequences of commits of one session in two groups and in further
// ones, and of changes of primary.
type commitsSearch struct {
	// Mutations: one position for all groups, and a dropped floor that passes for none.
	onePosition, forgetDropped bool
}

type commitsState struct {
	token Token
	// last are the last commits in groups a and b, zero if there are none.
	last    [2]fleet.LogPosition
	term    fleet.Term
	further int
	// latest is the position of the latest commit, in whatever group.
	latest fleet.LogPosition
}

var searchedGroups = [2]fleet.GroupID{"a", "b"}

// stale reports whether a read of a group may run on a log that lacks the session's last commit.
func (s *commitsSearch) stale(st *commitsState, i int) bool {
	required := st.token.Required(searchedGroups[i])
	switch {
	case s.forgetDropped && required == droppedFloor:
		required = fleet.LogPosition{}
	case s.onePosition:
		required = st.latest
	}
	atPrimary := required != (fleet.LogPosition{}) && required.Term < st.term
	return st.last[i] != (fleet.LogPosition{}) && !atPrimary && required.Compare(st.last[i]) < 0
}

// run plays all sequences of depth actions and returns one that ends with a stale read, or "".
func (s *commitsSearch) run(st commitsState, depth int, play string) string {
	for i := range st.last {
		if s.stale(&st, i) {
			return fmt.Sprintf("%sa read in %s lacks %v", play, searchedGroups[i], st.last[i])
		}
	}
	if depth == 0 {
		return ""
	}
	for i, g := range searchedGroups {
		next := st
		next.token = st.token.Clone()
		// The positions of a are always below those of b.
		at := fleet.LogPosition{Term: st.term, Position: fleet.Position(1000*i + 20 - depth)}
		next.token.RaiseCommit(g, at)
		next.last[i], next.latest = at, at
		if v := s.run(next, depth-1, fmt.Sprintf("%scommit in %s; ", play, g)); v != "" {
			return v
		}
	}
	next := st
	next.token = st.token.Clone()
	next.further++
	next.latest = fleet.LogPosition{Term: st.term, Position: 1}
	next.token.RaiseCommit(fleet.GroupID(fmt.Sprint("further-", next.further)), next.latest)
	if v := s.run(next, depth-1, play+"commit elsewhere; "); v != "" {
		return v
	}
	next = st
	next.token = st.token.Clone()
	next.term++
	return s.run(next, depth-1, play+"change of primary; ")
}

// fullBut returns the state of a session that has committed in a and then in so many other
// groups that the token has room for some more.
func fullBut(groups int) commitsState {
	st := commitsState{term: 1}
	st.last[0] = fleet.LogPosition{Term: 1, Position: 1}
	st.latest = st.last[0]
	st.token.Raise("a", st.last[0])
	for i := range MaxFloors - 1 - groups {
		st.token.Raise(fleet.GroupID(fmt.Sprint("other-", i)), fleet.LogPosition{Term: 1, Position: 1})
	}
	return st
}

// Guards against a session whose commit in one group hides its commit in another (review/8), and
// against one that has forgotten a commit because it has written to many groups.
func TestReadsRequireTheCommitsOfTheirGroup(t *testing.T) {
	const depth = 7
	for _, room := range []int{0, 1, 2, MaxFloors - 1} {
		assert.Equal(t, (&commitsSearch{}).run(fullBut(room), depth, ""), "", "room for %d groups", room)
	}
	for name, s := range map[string]commitsSearch{"one position for all groups": {onePosition: true}, "a dropped floor is none": {forgetDropped: true}} {
		play := s.run(fullBut(0), depth, "")
		t.Logf("%s: %s", name, play)
		assert.Assert(t, play != "", "mutation not detected: %s", name)
	}
}
