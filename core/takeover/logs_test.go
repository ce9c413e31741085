package takeover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/staleread"
)

// entry is a commit in a log. Its id is unique; its position is not, once logs have forked.
type entry struct {
	fleet.LogPosition
	id int
}

// replica is an endpoint with its log.
type replica struct {
	log  []entry
	term fleet.Term
	// cut is set while it receives nothing from the leader.
	cut bool
}

func (e *replica) end() fleet.LogPosition {
	if len(e.log) == 0 {
		return fleet.LogPosition{}
	}
	return e.log[len(e.log)-1].LogPosition
}

// has reports whether the log contains a commit.
func (e *replica) has(id int) bool {
	return slices.ContainsFunc(e.log, func(c entry) bool { return c.id == id })
}

// reader is an instance with one session.
type reader struct {
	primary   int // of the record that it acts on
	change    int
	positions staleread.PositionHistory
	// newest is the highest position that a primary has reported.
	newest     fleet.LogPosition
	lastCommit fleet.LogPosition
	own        []int // acknowledged commits of the session
}

type acknowledged struct {
	id int
	at time.Duration
}

// logModel plays a group whose logs fork at changes of primary. Permission is taken for
// granted: only instances that know the last change use the primary.
type logModel struct {
	rng       *rand.Rand
	now       time.Duration
	endpoints [3]replica
	leader    int
	term      fleet.Term
	change    int
	readers   [2]reader
	acked     []acknowledged
	nextID    int
	reads     int
	// Mutations.
	ignoreTerms, noFloor, useAnyAnswer bool
	// rebornPrimary lets the primary lose its log and come back under its id.
	rebornPrimary bool
}

const logStaleness = 400 * time.Millisecond

func (m *logModel) append(e int) entry {
	m.nextID++
	r := &m.endpoints[e]
	c := entry{fleet.LogPosition{Term: r.term, Position: r.end().Position + 1}, m.nextID}
	r.log = append(slices.Clone(r.log), c)
	return c
}

// serves reports whether an endpoint runs a read that requires a position.
func (m *logModel) serves(e *replica, required fleet.LogPosition) bool {
	if m.ignoreTerms {
		return e.end().Position >= required.Position
	}
	return e.end().Max(required) == e.end()
}

func (m *logModel) step() string {
	m.now += time.Duration(m.rng.IntN(40)) * time.Millisecond
	r := &m.readers[m.rng.IntN(len(m.readers))]
	e := m.rng.IntN(len(m.endpoints))
	current := r.change == m.change && r.primary == m.leader
	switch m.rng.IntN(12) {
	case 0, 1:
		if current && m.endpoints[m.leader].term == m.term {
			sent := m.now
			c := m.append(m.leader)
			m.now += time.Duration(m.rng.IntN(20)) * time.Millisecond
			m.acked = append(m.acked, acknowledged{c.id, m.now})
			r.positions.Observe(sent, c.LogPosition)
			r.newest = r.newest.Max(c.LogPosition)
			r.lastCommit, r.own = c.LogPosition, append(r.own, c.id)
		}
	case 2:
		// The answer to a commit is lost.
		if current && m.endpoints[m.leader].term == m.term {
			m.append(m.leader)
		}
	case 3, 4, 5:
		// Replication; a log that has forked is replaced.
		if to := &m.endpoints[e]; !to.cut && e != m.leader && m.endpoints[m.leader].term == m.term {
			to.log, to.term = m.endpoints[m.leader].log, m.term
			if m.rng.IntN(2) == 0 && len(to.log) > 0 && to.log[len(to.log)-1].Term == m.term {
				to.log = to.log[:len(to.log)-1]
			}
		}
	case 6:
		m.endpoints[e].cut = !m.endpoints[e].cut
	case 7:
		if m.rng.IntN(12) == 0 && e != m.leader {
			m.promote(e)
		}
	case 8:
		if r.change != m.change && m.rng.IntN(4) == 0 {
			if r.primary != m.leader {
				r.positions.Reset()
			}
			r.primary, r.change = m.leader, m.change
		}
	case 9:
		if m.rng.IntN(20) == 0 && (e != m.leader || m.rebornPrimary) {
			m.endpoints[e] = replica{cut: m.endpoints[e].cut}
		}
	default:
		return m.read(r, e, current)
	}
	return ""
}

// promote makes an endpoint lead the next term with what it has. Commits that it lacks are
// lost, and do not count any more.
func (m *logModel) promote(e int) {
	m.leader, m.term, m.change = e, m.term+1, m.change+1
	to := &m.endpoints[e]
	to.term = m.term
	kept := func(id int) bool { return to.has(id) }
	m.acked = slices.DeleteFunc(m.acked, func(a acknowledged) bool { return !kept(a.id) })
	for i := range m.readers {
		m.readers[i].own = slices.DeleteFunc(m.readers[i].own, func(id int) bool { return !kept(id) })
	}
	m.append(e)
}

// read reads at an endpoint, as edge/executor does for a route with bounded staleness and
// a session's own commits, and checks what the log lacks.
func (m *logModel) read(r *reader, e int, current bool) string {
	to := &m.endpoints[e]
	required, replicas := r.positions.RequiredPosition(m.now, logStaleness)
	if r.lastCommit != (fleet.LogPosition{}) && r.lastCommit.Term < r.positions.Term() {
		replicas = false
	}
	required = required.Max(r.lastCommit)
	atPrimary := current && e == r.primary
	switch {
	case atPrimary:
		// The record holds the term at which the endpoint has taken over.
		if !m.useAnyAnswer && (to.end().Term < m.term || to.end().Max(r.newest) != to.end()) {
			return "" // the answer is not used
		}
		r.newest = to.end()
		r.positions.Observe(m.now, to.end())
		if r.lastCommit.Term < to.end().Term {
			r.lastCommit = to.end()
		}
	case !replicas || !m.noFloor && !m.serves(to, required):
		return ""
	}
	m.reads++
	for _, a := range m.acked {
		if (atPrimary || a.at < m.now-logStaleness || slices.Contains(r.own, a.id)) && !to.has(a.id) {
			return fmt.Sprintf("%v: a read at endpoint %d, whose log ends at %v, lacks commit %d (at the primary: %v)", m.now, e, to.end(), a.id, atPrimary)
		}
	}
	return ""
}

func runLogs(seeds int, setup func(*logModel)) (violation string, reads int) {
	for seed := range seeds {
		m := &logModel{rng: rand.New(rand.NewPCG(uint64(seed), 3)), term: 1, change: 1}
		for i := range m.endpoints {
			m.endpoints[i] = replica{term: 1, log: []entry{{LogPosition: fleet.LogPosition{Term: 1, Position: 1}}}}
		}
		for i := range m.readers {
			m.readers[i].change = 1
		}
		setup(m)
		for range 600 {
			if v := m.step(); v != "" {
				return fmt.Sprintf("seed %d: %s", seed, v), reads
			}
		}
		reads += m.reads
	}
	return "", reads
}

// A position of one term must not let an endpoint whose log has forked serve a read.
func TestReadsLackNoAcknowledgedCommitAcrossTerms(t *testing.T) {
	v, reads := runLogs(2_000, func(*logModel) {})
	assert.Equal(t, v, "")
	assert.Assert(t, reads > 10_000, "too few reads: %d", reads)
	for name, setup := range map[string]func(*logModel){
		"positions compared without terms": func(m *logModel) { m.ignoreTerms = true },
		"no position required":             func(m *logModel) { m.noFloor = true },
	} {
		v, _ := runLogs(2_000, setup)
		t.Logf("%s: %s", name, v)
		assert.Assert(t, v != "", "mutation not detected: %s", name)
	}
}

// edgeUsesAnyAnswer is set while edge/executor uses the answer of a primary whose log ends
// before the term of the record, or before a position that it has reported. It is removed
// together with the fix.
const edgeUsesAnyAnswer = true

// A primary that has lost its log and comes back under its id must not serve reads.
func TestReadAtPrimaryThatLostItsLogIsNotUsed(t *testing.T) {
	v, _ := runLogs(2_000, func(m *logModel) { m.rebornPrimary, m.useAnyAnswer = true, edgeUsesAnyAnswer })
	assert.Equal(t, v, "")
}
