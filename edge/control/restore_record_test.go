package control

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/platform"
	"github.com/vanillahinge/vanillahinge/platform/standin"
)

// Guards against a write on a record of an earlier era that counts as one of the present era.
func TestRecordOfEarlierEraIsNotWritten(t *testing.T) {
	f := newTablesTest(t)
	st := standin.NewStore()
	srv := httptest.NewServer(st)
	t.Cleanup(srv.Close)
	addr := strings.TrimPrefix(srv.URL, "http://")
	f.Store = platform.NewStore(addr)
	other := platform.NewStore(addr)
	ctx := context.Background()
	go func() {
		for g := range f.mailbox {
			g()
		}
	}()
	put := func(l catalog.Leadership) uint64 {
		raw, err := json.Marshal(l)
		assert.NilError(t, err)
		row := kvstore.Row{Table: platform.FleetTable, Key: leaderPrefix + "bookings", Value: raw, Version: l.Version}
		v, err := other.Apply(ctx, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
		assert.NilError(t, err)
		return v
	}
	load := func() {
		rows, asOf, err := other.ReadTable(ctx, platform.FleetTable)
		assert.NilError(t, err)
		assert.NilError(t, f.runInLoop(ctx, func() { f.replaceTable(platform.FleetTable, rows, asOf) }))
	}
	_, _, err := f.Store.ReadTable(ctx, platform.FleetTable) // its client knows era 1
	assert.NilError(t, err)
	old := catalog.Leadership{Group: "bookings", Primary: "e1", Term: 1, Settled: true, Revision: 1, Era: 1, Users: []fleet.InstanceID{"a", "b"}}
	old.Version = put(old)
	load()
	assert.NilError(t, f.runInLoop(ctx, func() { old = f.leadership("bookings") })) // what a change or a registration begins with
	copied := st.Copy()
	changed := old
	changed.Primary, changed.Former, changed.Term, changed.Revision = "e2", "e1", 2, 3
	changed.Version = put(changed) // lost by the restore, remembered by another instance
	st.Restore(copied)
	load() // era 2, from another instance
	assert.NilError(t, f.runInLoop(ctx, func() { f.adoptLeadership(changed) }))
	assert.NilError(t, f.runInLoop(ctx, func() { assert.Equal(t, f.leadership("bookings").Primary, fleet.EndpointID("e2")) }))
	l := old.WithUser("self")
	ok := f.storeRecord(ctx, &l)
	var now catalog.Leadership
	assert.NilError(t, f.runInLoop(ctx, func() { now = f.leadership("bookings") }))
	assert.Assert(t, !ok)
	assert.Equal(t, now.Primary, fleet.EndpointID("e2"))
}

// Guards against a record that is older than the one before, because the store names a lower era.
func TestNextRecordIsNewer(t *testing.T) {
	old := catalog.Leadership{Group: "g", Era: 3, Revision: 5}
	assert.Assert(t, old.Next(1).Compare(old) > 0)
}
