package catalog

import (
	"fmt"
	"hash/maphash"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

// orderSearch visits the sequences of writes and announcements by which two instances and a
// store can make records of one group: claims, announcements that the store may never have,
// registrations, the loss of a process, a store that comes back from its copy, and renewals.
type orderSearch struct {
	// Mutations of the rules.
	reuse, oldEra bool
}

// orderRecord is a record that can be compared. Content tells records apart that are written
// on top of the same one.
type orderRecord struct {
	era, revision, version uint64
	settled                bool
	content                int8
}

func (r orderRecord) leadership() Leadership {
	return Leadership{Era: r.era, Revision: r.revision, Version: r.version, Settled: r.settled}
}

func (r orderRecord) withOrder(l Leadership) orderRecord {
	r.era, r.revision, r.settled = l.Era, l.Revision, l.Settled
	return r
}

type orderInstance struct {
	known, held orderRecord
	announced   bool
}

const (
	orderDepth = 11
	orderKinds = 2 * orderDepth
)

type orderState struct {
	stored, copied orderRecord
	count, era     uint64
	instances      [2]orderInstance
	// made are the records that have been stored or announced, without their versions.
	made [orderKinds]orderRecord
	n    int8
}

// make adds a record and reports whether it has an order of its own.
func (st *orderState) make(r orderRecord) bool {
	r.version = 0
	for _, m := range st.made[:st.n] {
		if m != r && m.leadership().Order() == r.leadership().Order() {
			return false
		}
	}
	st.made[st.n] = r
	st.n++
	return true
}

// write stores a record. It reports whether the record has an order of its own.
func (st *orderState) write(r orderRecord) bool {
	st.count++
	r.version = kvstore.Version(st.era, st.count)
	unique := st.make(r)
	st.stored = r
	return unique
}

func (i *orderInstance) learn(r orderRecord) {
	if r.leadership().Compare(i.known.leadership()) > 0 {
		i.known = r
	}
}

// next returns a record with new content on top of r.
func (s *orderSearch) next(st *orderState, r orderRecord, settled bool, era uint64) orderRecord {
	l := r.leadership().Next(era)
	if s.reuse {
		l = r.leadership()
		l.Revision, l.Era = l.Revision+1, max(l.Era, era)
	}
	if s.oldEra {
		l.Era = r.era
	}
	l.Settled = settled
	return orderRecord{version: r.version, content: st.n + 1}.withOrder(l)
}

// successors calls f with each state that one action leads to, and whether all orders in it
// are unique.
func (s *orderSearch) successors(st orderState, f func(next orderState, unique bool)) {
	for i := range st.instances {
		in := st.instances[i]
		next := st
		next.instances[i].learn(st.stored)
		f(next, true)
		next = st
		next.instances[1-i].learn(in.known)
		f(next, true)
		next = st
		next.instances[i] = orderInstance{}
		f(next, true)
		current := in.known.version == st.stored.version && in.known.era == st.era
		if current {
			next = st // a claim
			r := s.next(&st, in.known, false, st.era)
			unique := next.write(r)
			next.instances[i] = orderInstance{known: next.stored, held: next.stored}
			f(next, unique)
		}
		if current && in.known.settled {
			next = st // a registration
			unique := next.write(s.next(&st, in.known, true, st.era))
			next.instances[i].known = next.stored
			f(next, unique)
		}
		if in.held.version > 0 && !in.announced && in.held.era == st.era && in.known.leadership().Compare(in.held.leadership()) == 0 {
			next = st
			r := orderRecord{version: in.held.version, content: st.n + 1}.withOrder(in.held.leadership().Settle(fleet.EndpointID("e"), 1))
			unique := next.make(r)
			next.instances[i].known, next.instances[i].held, next.instances[i].announced = r, r, true
			f(next, unique)
		}
		if in.announced && in.held.version == st.stored.version {
			next = st // the store has the announced record
			next.count++
			next.stored = in.held
			next.stored.version = kvstore.Version(st.era, next.count)
			next.instances[i] = orderInstance{known: next.stored}
			f(next, true)
		}
		if in.known.version > 0 && in.known.era < st.era && st.stored.era < st.era {
			next = st // a renewal
			unique := next.write(s.next(&st, in.known, in.known.settled, st.era))
			next.instances[i] = orderInstance{known: next.stored}
			f(next, unique)
		}
	}
	if st.era == 0 {
		next := st
		next.era, next.stored = 1, st.copied
		next.stored.version = kvstore.Version(1, kvstore.Count(st.copied.version))
		next.count = kvstore.Count(st.copied.version)
		f(next, true)
	}
	next := st
	next.copied = st.stored
	f(next, true)
}

// run visits the states within depth actions. It returns a description of two records with one
// order, or "", and the number of states.
func (s *orderSearch) run(depth int) (violation string, states int) {
	first := orderState{stored: orderRecord{revision: 1, version: 1, settled: true}, count: 1}
	first.copied = first.stored
	first.make(first.stored)
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{maphash.Comparable(seed, first): true}
	for queue, d := []orderState{first}, 0; d < depth && violation == ""; d++ {
		var next []orderState
		for _, st := range queue {
			s.successors(st, func(to orderState, unique bool) {
				if !unique && violation == "" {
					violation = fmt.Sprintf("after %d actions: %+v", d+1, to.stored)
				}
				if h := maphash.Comparable(seed, to); !seen[h] {
					seen[h] = true
					if d+1 < depth {
						next = append(next, to)
					}
				}
			})
		}
		queue = next
	}
	return violation, len(seen)
}

// Guards against two different records of a group with one order: whoever acts on one of them
// would take itself to act on the other.
func TestNoTwoRecordsHaveOneOrder(t *testing.T) {
	violation, states := (&orderSearch{}).run(orderDepth - 1)
	t.Logf("%d states", states)
	assert.Equal(t, violation, "")
	for name, s := range map[string]orderSearch{"number of the announced record given out again": {reuse: true}, "renewal without an era": {oldEra: true}} {
		violation, states := s.run(orderDepth - 1)
		t.Logf("%s: %d states: %s", name, states, violation)
		assert.Assert(t, violation != "", "mutation not detected: %s", name)
	}
}
