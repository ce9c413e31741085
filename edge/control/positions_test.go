package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/platform"
)

// endpointsOf returns the endpoints that take part in a change of a group's primary p.
func (f *tablesTest) endpointsOf(id fleet.GroupID) groupEndpoints {
	g, known := f.groupEndpoints(f.leadership(id), "p")
	assert.Assert(f.t, known)
	return g
}

// Guards against acknowledged commits that are lost because the entry of the only replica that
// has them has just gone from the list, or because the endpoint that gets the log of a primary
// that has left is not listed yet.
func TestEndpointsThatHaveJustLeftTheListAreAsked(t *testing.T) {
	f := newTablesTest(t)
	f.catalog = &catalog.Catalog{Groups: map[fleet.GroupID]catalog.Group{"bookings": {ID: "bookings", SyncReplicas: 1}}}
	list := func(id, addr, role string) { f.put(platform.EndpointTable, id, endpointRow(addr, role)) }
	list("p", "10.0.0.1:1", "primary")
	list("r1", "10.0.0.2:1", "replica")
	list("r2", "10.0.0.3:1", "replica")
	asked := func() []string {
		var ids []string
		for _, e := range f.endpointsOf("bookings").replicas {
			ids = append(ids, string(e.ID))
		}
		slices.Sort(ids)
		return ids
	}
	f.put(platform.EndpointTable, "r1", nil)
	assert.DeepEqual(t, asked(), []string{"r1", "r2"})
	list("r3", "10.0.0.2:1", "replica") // it has the log of r1
	assert.DeepEqual(t, asked(), []string{"r2", "r3"})

	leaving := f.lastEntries["p"]
	leaving.Leaving = true
	f.put(platform.EndpointTable, "p", nil)
	assert.Assert(t, !f.endpointsOf("bookings").successorDue, "it did not announce its end, and its log is not passed on")
	f.lastEntries["p"] = leaving
	assert.Assert(t, f.endpointsOf("bookings").successorDue)
	list("p2", "10.0.0.1:1", "replica")
	assert.Assert(t, !f.endpointsOf("bookings").successorDue)
	assert.DeepEqual(t, asked(), []string{"p2", "r2", "r3"})

	f.catalog.Groups["bookings"] = catalog.Group{ID: "bookings"}
	f.put(platform.EndpointTable, "r2", nil)
	assert.DeepEqual(t, asked(), []string{"p2", "r3"}) // without synchronous replicas only listed endpoints are promoted
}

// Guards against an endpoint that left the list before its group's primary failed and is
// forgotten, though it may come back with acknowledged commits: by a process that has seen it
// leave, and by one that was started after that (review/11).
func TestEndpointsThatLeftTheListAreMissing(t *testing.T) {
	record := catalog.Leadership{Group: "bookings", Primary: "p", Settled: true, Version: 9, Revision: 9, Term: 2, Users: []fleet.InstanceID{"self"},
		Replicas: &catalog.ReplicaSet{Copies: 1, Members: []catalog.ReplicaMember{{ID: "p", Addr: "10.0.0.1:1"}, {ID: "r1", Addr: "10.0.0.2:1"}, {ID: "r2", Addr: "10.0.0.3:1"}}}}
	for _, restarted := range []bool{false, true} {
		f := newTablesTest(t)
		f.catalog = &catalog.Catalog{Groups: map[fleet.GroupID]catalog.Group{"bookings": {ID: "bookings", SyncReplicas: 1}}}
		f.adoptLeadership(record)
		f.put(platform.EndpointTable, "p", endpointRow("10.0.0.1:1", "primary"))
		f.put(platform.EndpointTable, "r2", endpointRow("10.0.0.3:1", "replica"))
		if !restarted {
			f.put(platform.EndpointTable, "r1", endpointRow("10.0.0.2:1", "replica"))
			f.put(platform.EndpointTable, "r1", nil)
		}
		missing := func() []string {
			var ids []string
			for _, e := range f.endpointsOf("bookings").replicas {
				if _, listed := f.listed[e.ID]; !listed {
					ids = append(ids, string(e.ID)+" at "+e.Addr)
				}
			}
			return ids
		}
		assert.DeepEqual(t, missing(), []string{"r1 at 10.0.0.2:1"})
		f.removeUnlistedEndpoints(time.Hour)
		f.reviewEntries(time.Hour)
		assert.DeepEqual(t, missing(), []string{"r1 at 10.0.0.2:1"})

		// An endpoint that no record has named yet is remembered by the process.
		f.put(platform.EndpointTable, "r4", endpointRow("10.0.0.4:1", "replica"))
		f.put(platform.EndpointTable, "r4", nil)
		assert.DeepEqual(t, missing(), []string{"r1 at 10.0.0.2:1", "r4 at 10.0.0.4:1"})
		named := record
		named.Revision, named.Version, named.Replicas = 10, 10, &catalog.ReplicaSet{Copies: 1, Members: append(slices.Clone(record.Replicas.Members), catalog.ReplicaMember{ID: "r4", Addr: "10.0.0.4:1"})}
		f.adoptLeadership(named)
		assert.DeepEqual(t, missing(), []string{"r1 at 10.0.0.2:1", "r4 at 10.0.0.4:1"})
		proved := record
		proved.Revision, proved.Version, proved.Replicas = 11, 11, &catalog.ReplicaSet{Copies: 1, Members: []catalog.ReplicaMember{{ID: "p", Addr: "10.0.0.1:1"}, {ID: "r2", Addr: "10.0.0.3:1"}}}
		f.adoptLeadership(proved)
		f.indexGone()
		assert.Equal(t, len(missing()), 0, "they are known to hold nothing that the others lack")
	}
}

// stateDialer opens connections to endpoints that report to lead a term.
type stateDialer struct{}

type stateConn struct{ pool.RawConn }

func (stateDialer) Probe(string) error { return nil }

func (stateDialer) Open(catalog.Endpoint, fleet.AccountID) (pool.RawConn, stmt.Answer, error) {
	return stateConn{}, stmt.Answer{}, nil
}

func (stateConn) Do(time.Time, []stmt.Answer, ...stmt.Statement) ([]stmt.Answer, error) {
	return []stmt.Answer{{}}, nil
}

func (stateConn) Close() {}

// acceptingPromoter accepts every promotion.
type acceptingPromoter struct{ promoted []fleet.EndpointID }

func (p *acceptingPromoter) Promote(_ context.Context, _ fleet.GroupID, id fleet.EndpointID, _ uint64, _ func() bool) error {
	p.promoted = append(p.promoted, id)
	return nil
}

func (p *acceptingPromoter) IsRefusal(error) bool { return false }

// Guards against a holder that ends because the endpoint which it promotes is looked up among
// the replicas: it is the former primary, which leads again, or has left meanwhile (review/13).
func TestPromotedEndpointIsTheOneThatWasChosen(t *testing.T) {
	for id, promoted := range map[fleet.EndpointID]bool{"p": true, "r": true, "gone": false} {
		c := startController(t, 0)
		p := &acceptingPromoter{}
		c.Dialer, c.Promoter = stateDialer{}, p
		c.Schema.DecodeState = func(stmt.Answer) (stmt.EndpointState, error) { return stmt.EndpointState{Primary: true, Term: 3}, nil }
		ch := &primaryChange{ctl: c, calledAt: c.Clock.Now(), record: catalog.Leadership{Group: "bookings", Version: 9, Revision: 9, Term: 2,
			Former: "p", PrimaryTerm: 1, MayHavePromoted: true, Holder: "self"}}
		ch.old = ch.record
		assert.NilError(t, c.runInLoop(t.Context(), func() { c.adoptLeadership(ch.record) }))
		g := groupEndpoints{former: catalog.Endpoint{ID: "p"}, replicas: []catalog.Endpoint{{ID: "r"}}}
		evidence := takeover.Evidence{Candidates: []takeover.Candidate{{Endpoint: id}}}
		assert.Equal(t, ch.promoteBest(t.Context(), g, evidence), promoted, id)
		if promoted {
			assert.DeepEqual(t, p.promoted, []fleet.EndpointID{id})
			assert.Equal(t, ch.record.Primary, id)
			assert.Equal(t, ch.record.PrimaryTerm, fleet.Term(3))
		}
	}
}

// Guards against a replica that is dropped because nothing may be sent to it: it may run, and have
// what the others lack.
func TestReplicaThatCannotBeAskedIsNotDropped(t *testing.T) {
	c := startController(t, 0)
	loadTables(t, c)
	c.Dialer = stateDialer{}
	c.Schema.DecodeState = func(stmt.Answer) (stmt.EndpointState, error) {
		return stmt.EndpointState{Primary: true, Term: 3, Received: fleet.LogPosition{Term: 3, Position: 5}}, nil
	}
	p, r, x := catalog.Endpoint{ID: "p"}, catalog.Endpoint{ID: "r"}, catalog.Endpoint{ID: "x", DataCentre: "z1"}
	assert.NilError(t, c.runInLoop(t.Context(), func() { c.listedByGroup["bookings"] = []catalog.Endpoint{p, r} }))
	record := catalog.Leadership{Group: "bookings", Primary: "p", PrimaryTerm: 3, Settled: true}
	next := &catalog.ReplicaSet{Copies: 1, Members: []catalog.ReplicaMember{{ID: "p"}, {ID: "r"}}}
	assert.Assert(t, c.proveReplicas(t.Context(), record, next, p, nil))
	assert.Assert(t, !c.proveReplicas(t.Context(), record, next, p, []catalog.Endpoint{x}), "it answers")
	c.evacuate("z1")
	assert.Assert(t, !c.proveReplicas(t.Context(), record, next, p, []catalog.Endpoint{x}), "nothing may be sent there")
}
