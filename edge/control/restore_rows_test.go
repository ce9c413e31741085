package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/platform"
)

// reportedRow returns the entry of an endpoint in a state, as of a report.
func reportedRow(state string, seq int) []byte {
	return fmt.Appendf(nil, `{"service":"bookings","addr":"10.0.0.1:80","zone":"z1","version":"v1","slots":3,"state":%q,"cold_ms":0,"db_role":"replica","seq":%d,"born":5}`, state, seq)
}

// Guards against the entry of a leaving endpoint that counts again at the second of two restores.
func TestLeavingEndpointStaysOutThroughTwoRestores(t *testing.T) {
	f := newTablesTest(t)
	v := kvstore.Version
	row := func(era, n uint64, state string, seq int) []kvstore.Row {
		return []kvstore.Row{{Table: "servers", Key: "i-1", Version: v(era, n), Value: reportedRow(state, seq)}}
	}
	f.replaceTable("servers", row(1, 10, "ready", 4), v(1, 10))
	f.applyChanges("servers", row(1, 20, "draining", 9), v(1, 20))
	assert.Assert(t, f.listed["i-1"].Leaving)
	f.replaceTable("servers", row(2, 10, "ready", 4), v(2, 12))
	assert.Assert(t, f.listed["i-1"].Leaving, "first restore")
	f.replaceTable("servers", row(3, 10, "ready", 4), v(3, 12))
	assert.Assert(t, f.listed["i-1"].Leaving, "second restore")
}

// Guards against an endpoint that is listed again at the second of two restores.
func TestGoneEndpointStaysOutThroughTwoRestores(t *testing.T) {
	f := newTablesTest(t)
	v := kvstore.Version
	row := func(era, n uint64) []kvstore.Row {
		return []kvstore.Row{{Table: "servers", Key: "i-1", Version: v(era, n), Value: reportedRow("ready", 4)}}
	}
	f.replaceTable("servers", row(1, 10), v(1, 10))
	f.applyChanges("servers", []kvstore.Row{{Table: "servers", Key: "i-1", Version: v(1, 20), Deleted: true}}, v(1, 20))
	f.replaceTable("servers", row(2, 10), v(2, 12))
	_, ok := f.listed["i-1"]
	assert.Assert(t, !ok, "first restore")
	f.replaceTable("servers", row(3, 10), v(3, 12))
	_, ok = f.listed["i-1"]
	assert.Assert(t, !ok, "second restore")
}

// Guards against a late read of a whole table that takes rows out of a newer copy for good.
func TestLateReadReplacesNoNewerCopy(t *testing.T) {
	f := newTablesTest(t)
	v := kvstore.Version
	self := []byte(`{"ID":"self","Addr":"127.0.0.1:2"}`)
	peer := kvstore.Row{Table: platform.FleetTable, Key: memberPrefix + "p", Version: v(2, 50), Value: []byte(`{"ID":"p","Addr":"127.0.0.1:3"}`)}
	own := kvstore.Row{Table: platform.FleetTable, Key: memberPrefix + "self", Version: v(2, 101), Value: self}
	f.replaceTable(platform.FleetTable, []kvstore.Row{peer, own}, v(2, 101)) // from a peer
	assert.Assert(t, f.registered())
	f.replaceTable(platform.FleetTable, []kvstore.Row{peer}, v(2, 100)) // late answer to the read of the store
	assert.Equal(t, f.tables[platform.FleetTable].asOf, v(2, 101))
	assert.Assert(t, f.registered())
}

// Guards against an instance that has left and counts as running again through the copy.
func TestMarkOfLeavingOutlivesRestore(t *testing.T) {
	f := newTablesTest(t)
	v := kvstore.Version
	p := func(era, n uint64, left string) []kvstore.Row {
		return []kvstore.Row{{Table: platform.FleetTable, Key: memberPrefix + "p", Version: v(era, n), Value: []byte(`{"ID":"p","Addr":"127.0.0.1:3"` + left + `}`)}}
	}
	f.replaceTable(platform.FleetTable, p(1, 10, ""), v(1, 10))
	f.applyChanges(platform.FleetTable, p(1, 20, `,"Left":true`), v(1, 20))
	assert.Assert(t, f.members["p"].Left)
	f.replaceTable(platform.FleetTable, p(2, 10, ""), v(2, 12))
	assert.Assert(t, f.members["p"].Left)
}
