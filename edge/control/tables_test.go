package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
	"github.com/vanillahinge/vanillahinge/platform"
)

// tablesTest is a controller whose goroutine does not run: the test installs rows itself.
type tablesTest struct {
	*Controller
	t   *testing.T
	log *bytes.Buffer
	// version is that of the newest row.
	version uint64
	decoded int
}

func newTablesTest(t *testing.T) *tablesTest {
	f := &tablesTest{t: t, log: &bytes.Buffer{}}
	clk, m, log := clock.New(), telemetry.NewMetrics(), telemetry.NewLog(f.log, "self")
	f.Controller = New(Config{
		Self: catalog.Member{ID: "self", Addr: "127.0.0.1:2"}, Clock: clk, Store: unavailableStore{}, Log: log, Metrics: m,
		Pool: pool.New(clk, nil, log, m, ""), Limiter: NewLimiter(clk, m, true, catalog.Tolerance{Window: time.Second}),
		Schema: Schema{OperatorTable: platform.OperatorTable, EndpointTable: platform.EndpointTable, FleetTable: platform.FleetTable,
			ConfigKey: platform.ConfigKey, DecodeCatalog: platform.DecodeCatalog,
			DecodeEndpoint: func(r kvstore.Row) (catalog.Endpoint, error) {
				f.decoded++
				return platform.DecodeEndpoint(r)
			}},
	})
	f.ctx = t.Context()
	for _, name := range []string{platform.OperatorTable, platform.EndpointTable, platform.FleetTable} {
		f.replaceTable(name, nil, 1)
	}
	f.version = 1
	return f
}

// put installs a row as a feed brings it, nil for a deleted one.
func (f *tablesTest) put(table, key string, value []byte) {
	f.version++
	f.applyChanges(table, []kvstore.Row{{Table: table, Key: key, Value: value, Version: f.version, Deleted: value == nil}}, f.version)
}

func (f *tablesTest) putJSON(table, key string, value any) {
	raw, err := json.Marshal(value)
	assert.NilError(f.t, err)
	f.put(table, key, raw)
}

// metric returns the value of a metric, 0 if it is not there.
func (f *tablesTest) metric(name string) int {
	w := httptest.NewRecorder()
	f.Metrics.ServeHTTP(w, nil)
	n := 0
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, name+" ") {
			_, err := fmt.Sscanf(line[len(name):], "%d", &n)
			assert.NilError(f.t, err)
		}
	}
	return n
}

func endpointRow(addr, role string) []byte {
	return fmt.Appendf(nil, `{"service":"bookings","addr":%q,"zone":"z1","version":"v1","slots":3,"state":"ready","cold_ms":0,"db_role":%q,"seq":4}`, addr, role)
}

// Guards against a log that is filled, and a count that grows, with each change of the table by one odd entry.
func TestOddEntryIsLoggedAndCountedOnce(t *testing.T) {
	f := newTablesTest(t)
	f.put("servers", "odd", endpointRow("10.0.0.9:70000", "replica"))
	for i := range 10 {
		f.put("servers", fmt.Sprint("e", i), endpointRow("10.0.0.1:80", "replica"))
	}
	rows := []kvstore.Row{}
	for _, r := range f.tables["servers"].rows {
		rows = append(rows, r)
	}
	f.replaceTable("servers", rows, f.version)
	assert.Equal(t, len(f.listed), 10)
	assert.Equal(t, f.metric("endpoint_rows_ignored"), 1)
	assert.Equal(t, f.decoded, 11, "each entry is decoded once")
	f.put("servers", "odd", endpointRow("10.0.0.9:70000", "replica")) // written again
	assert.Equal(t, f.metric("endpoint_rows_ignored"), 2)
	f.put("servers", "odd", endpointRow("10.0.0.9:80", "replica"))
	f.put("servers", "odd", endpointRow("10.0.0.9:70000", "replica"))
	assert.Equal(t, f.metric("endpoint_rows_ignored"), 3)

	f.put("op", "config", []byte("["))
	f.put("vanillahinge", leaderPrefix+"bookings", []byte("["))
	f.put("vanillahinge", memberPrefix+"x", []byte("["))
	for i := range 5 {
		f.put("op", fmt.Sprint("other", i), []byte("{}"))
		f.putJSON("vanillahinge", fmt.Sprint(memberPrefix, i), catalog.Member{ID: fleet.InstanceID(fmt.Sprint(i)), Addr: "127.0.0.1:1"})
	}
	assert.Equal(t, f.metric("catalogs_rejected"), 1)
	assert.Equal(t, f.metric("fleet_rows_ignored"), 2)
	f.Log.Close(time.Second)
	for event, lines := range map[string]int{"invalid endpoint entry ignored": 2, "invalid configuration ignored": 1,
		"invalid leadership record ignored": 1, "invalid member record ignored": 1} {
		assert.Equal(t, strings.Count(f.log.String(), event), lines, "%s: %s", event, f.log)
	}
}

// Guards against an endpoint that is used on, or never again, after an odd entry has taken the place of its own.
func TestEndpointWithOddEntryCountsAsRemoved(t *testing.T) {
	f := newTablesTest(t)
	f.put("op", "config", []byte(`{"version":1,"services":[{"name":"bookings","max_conns":40}]}`))
	f.put("servers", "e1", endpointRow("10.0.0.1:80", "primary"))
	f.put("servers", "e2", endpointRow("10.0.0.2:80", "replica"))
	used := func() string {
		ids := []string{}
		for _, e := range f.View().Endpoints["bookings"] {
			ids = append(ids, string(e.ID)+" "+e.Addr)
		}
		return strings.Join(ids, ",")
	}
	f.put("servers", "e1", endpointRow("10.0.0.9:70000", "primary"))
	assert.Equal(t, used(), "e1 10.0.0.1:80,e2 10.0.0.2:80", "the last valid entry is used for the retention time")
	observed, _ := f.takeoverObservation("bookings", f.Clock.Now())
	assert.Assert(t, !observed.Listed)
	assert.Equal(t, f.View().Leaders["bookings"].Primary, fleet.EndpointID("e1"))
	f.removeUnlistedEndpoints(f.Clock.Now() + unlistedRetention)
	assert.Equal(t, used(), "e2 10.0.0.2:80")
	f.put("servers", "e1", endpointRow("10.0.0.1:80", "primary"))
	assert.Equal(t, used(), "e1 10.0.0.1:80,e2 10.0.0.2:80")
	observed, _ = f.takeoverObservation("bookings", f.Clock.Now())
	assert.Assert(t, observed.Listed)

	unreadable := kvstore.Row{Table: "servers", Key: "e2", Version: f.version + 1, Unreadable: "store: not base64"}
	f.applyChanges("servers", []kvstore.Row{unreadable}, unreadable.Version)
	f.removeUnlistedEndpoints(f.Clock.Now() + unlistedRetention)
	assert.Equal(t, used(), "e1 10.0.0.1:80")
}

// Guards against a group without a primary because an entry with an unusable address says that it is one too.
func TestOddEntryIsNoSecondPrimary(t *testing.T) {
	f := newTablesTest(t)
	f.put("servers", "e1", endpointRow("10.0.0.1:80", "primary"))
	f.put("servers", "odd", endpointRow("10.0.0.9:70000", "primary"))
	assert.Equal(t, f.leadership("bookings").Primary, fleet.EndpointID("e1"))
}

// Guards against a member that is taken for another one, or cannot be called, because of an odd record.
func TestOddMemberRecordIsRefused(t *testing.T) {
	f := newTablesTest(t)
	good := catalog.Member{ID: "a", DataCentre: "z1", Addr: "127.0.0.1:1", ForwardAddr: "127.0.0.1:3", Capacity: 2}
	f.putJSON("vanillahinge", memberPrefix+"a", good)
	f.putJSON("vanillahinge", memberPrefix+"self", f.Self)
	odd := map[string]string{
		"of another member": `{"ID":"a","Addr":"127.0.0.1:9"}`, "without id": `{"Addr":"127.0.0.1:9"}`, "without address": `{"ID":"odd"}`,
		"port 70000": `{"ID":"odd","Addr":"127.0.0.1:70000"}`, "port 0": `{"ID":"odd","Addr":"127.0.0.1:0"}`, "no host": `{"ID":"odd","Addr":":80"}`,
		"forward port": `{"ID":"odd","Addr":"127.0.0.1:9","ForwardAddr":"127.0.0.1:-1"}`, "capacity 1e999": `{"ID":"odd","Addr":"127.0.0.1:9","Capacity":1e999}`,
		"capacity 1e308": `{"ID":"odd","Addr":"127.0.0.1:9","Capacity":1e308}`, "capacity -1": `{"ID":"odd","Addr":"127.0.0.1:9","Capacity":-1}`,
		"nested": strings.Repeat("[", 1<<16), "text": `"odd"`, "null": "null", "long": `"` + strings.Repeat("x", 1<<20),
	}
	for name, value := range odd {
		t.Run(name, func(t *testing.T) {
			f.put("vanillahinge", memberPrefix+"odd", []byte(value))
			assert.DeepEqual(t, f.members, map[fleet.InstanceID]catalog.Member{"a": good, "self": f.Self})
			assert.Equal(t, len(f.peers), 1)
			assert.Equal(t, f.peers["a"].Addr, good.Addr)
			f.put("vanillahinge", memberPrefix+"odd", nil)
		})
	}
	assert.Equal(t, f.metric("fleet_rows_ignored"), len(odd))
	f.put("vanillahinge", memberPrefix+"a", []byte(odd["port 0"]))
	assert.Equal(t, len(f.peers), 0, "a member whose record turns bad has left")
	f.putJSON("vanillahinge", memberPrefix+"a", good)
	assert.Equal(t, len(f.peers), 1)
}

// Guards against a group whose primary is given up because of an odd record, of its own or of another group.
func TestOddLeadershipRecordIsRefused(t *testing.T) {
	f := newTablesTest(t)
	good := catalog.Leadership{Group: "bookings", Term: 3, Primary: "e1", Settled: true, Users: []fleet.InstanceID{"a", "self"}}
	f.putJSON("vanillahinge", leaderPrefix+"bookings", good)
	good.Version = f.version
	change := func(f func(*catalog.Leadership)) string {
		l := good
		l.Users = slices.Clone(good.Users)
		f(&l)
		raw, err := json.Marshal(l)
		assert.NilError(t, err)
		return string(raw)
	}
	for name, value := range map[string]string{
		"term 2^64-1": change(func(l *catalog.Leadership) { l.Term = 1<<64 - 1 }), "term 1e999": `{"Group":"bookings","Term":1e999}`,
		"negative term": `{"Group":"bookings","Term":-1}`, "users not in order": change(func(l *catalog.Leadership) { l.Users = []fleet.InstanceID{"self", "a"} }),
		"user twice":              change(func(l *catalog.Leadership) { l.Users = []fleet.InstanceID{"a", "a", "self"} }),
		"removed not in order":    change(func(l *catalog.Leadership) { l.Removed = []fleet.InstanceID{"self", "a"} }),
		"settled without primary": change(func(l *catalog.Leadership) { l.Primary = "" }),
		"of another group":        change(func(l *catalog.Leadership) { l.Group = "other" }), "without group": change(func(l *catalog.Leadership) { l.Group = "" }),
		"nested": strings.Repeat("[", 1<<16), "null": "null", "empty": "{}",
	} {
		t.Run(name, func(t *testing.T) {
			f.put("vanillahinge", leaderPrefix+"bookings", []byte(value))
			assert.DeepEqual(t, f.leadership("bookings"), good)
		})
		t.Run("other group, "+name, func(t *testing.T) {
			if value = strings.Replace(value, `"other"`, `"bookings"`, 1); name != "of another group" {
				value = strings.Replace(value, `"Group":""`, `"Group":"bookings"`, 1)
			}
			f.put("vanillahinge", leaderPrefix+"flights", []byte(value))
			assert.DeepEqual(t, f.leadership("bookings"), good)
		})
	}
	f.putJSON("vanillahinge", leaderPrefix+"bookings", catalog.Leadership{Group: "bookings", Term: 4, Former: "e1", Holder: "a", Users: good.Users})
	assert.Equal(t, f.leadership("bookings").Term, fleet.Term(4), "the next valid record counts")
}

// Guards against copies of a table that never agree because a row of it holds odd bytes.
func TestOddRowsTravelBetweenInstances(t *testing.T) {
	from, to := newTablesTest(t), newTablesTest(t)
	rows := []kvstore.Row{
		{Table: "servers", Key: "e1", Value: endpointRow("10.0.0.1:80", "primary"), Version: 2},
		{Table: "servers", Key: "binary", Value: []byte("\x00\xff\xfe\xc3("), Version: 3},
		{Table: "servers", Key: "nested", Value: []byte(strings.Repeat("[", 1<<16)), Version: 4},
		{Table: "servers", Key: "", Unreadable: "store: not a text", Version: 5},
		{Table: "servers", Key: "e\u2028\x00<&>", Value: []byte("{}"), Version: 1<<63 - 1},
		{Table: "servers", Key: "unreadable", Unreadable: "store: not base64", Version: 7},
	}
	from.applyChanges("servers", rows, 1<<64-1)
	for range 3 {
		change, ok := from.tables["servers"].changesFor(to.tableStates()["servers"])
		if !ok {
			break
		}
		raw, err := json.Marshal(change) // as package peerrpc does
		assert.NilError(t, err)
		change.Rows = nil
		assert.NilError(t, json.Unmarshal(raw, &change))
		to.applyTableChange("servers", change)
	}
	assert.DeepEqual(t, to.tables["servers"].rows, from.tables["servers"].rows)
	assert.Equal(t, to.tables["servers"].asOf, uint64(1<<64-1))
	assert.Equal(t, to.metric("table_copies_damaged"), 0)
	assert.Equal(t, len(to.listed), 1)
	assert.Equal(t, to.metric("endpoint_rows_ignored"), 5)
}
