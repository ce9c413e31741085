package takeover

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

// endpointsNamed returns endpoints with the given ids. Each letter has an address of its own, so that
// p2 is at that of p.
func endpointsNamed(ids ...fleet.EndpointID) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, id := range ids {
		out = append(out, catalog.Endpoint{ID: id, Addr: "10.0.0.1:" + string(id[:1])})
	}
	return out
}

// Guards against a record that names too few replicas, so that a holder without memory does not
// miss one with acknowledged commits, or too many for ever, so that it waits for nothing.
func TestPlanReplicas(t *testing.T) {
	set := func(copies int, ids ...fleet.EndpointID) *catalog.ReplicaSet {
		return newReplicaSet(copies, endpointsNamed(ids...))
	}
	for name, k := range map[string]struct {
		record             *catalog.ReplicaSet
		first              bool
		sync               int
		listed, remembered []catalog.Endpoint
		want               *catalog.ReplicaSet
		step               ReplicaStep
	}{
		"the first record":               {first: true, sync: 1, listed: endpointsNamed("p", "r"), want: set(1, "p", "r"), step: StoreReplicas},
		"a record of an earlier version": {sync: 1, listed: endpointsNamed("p", "r"), want: set(1, "p", "r"), step: ProveReplicas},
		"asynchronous":                   {listed: endpointsNamed("p", "r")},
		"asynchronous from now on":       {record: set(1, "p", "r"), listed: endpointsNamed("p", "r"), step: StoreReplicas},
		"right":                          {record: set(1, "p", "r"), sync: 1, listed: endpointsNamed("r", "p")},
		"another one":                    {record: set(1, "p", "r"), sync: 1, listed: endpointsNamed("p", "r", "s"), want: set(1, "p", "r", "s"), step: StoreReplicas},
		"one that came and went":         {record: set(1, "p", "r"), sync: 1, listed: endpointsNamed("p", "r"), remembered: endpointsNamed("s"), want: set(1, "p", "r", "s"), step: StoreReplicas},
		"one with a successor":           {record: set(1, "p", "r"), sync: 1, listed: endpointsNamed("p", "r2"), want: set(1, "p", "r2"), step: StoreReplicas},
		"one that left":                  {record: set(1, "p", "r", "s"), sync: 1, listed: endpointsNamed("p", "r"), want: set(1, "p", "r"), step: ProveReplicas},
		"one that left while one came":   {record: set(1, "p", "r"), sync: 1, listed: endpointsNamed("p", "s"), want: set(1, "p", "r", "s"), step: StoreReplicas},
		"more copies":                    {record: set(1, "p", "r", "s"), sync: 2, listed: endpointsNamed("p", "r", "s"), want: set(2, "p", "r", "s"), step: ProveReplicas},
		"fewer copies":                   {record: set(2, "p", "r", "s"), sync: 1, listed: endpointsNamed("p", "r", "s"), want: set(1, "p", "r", "s"), step: StoreReplicas},
		"all have left":                  {record: set(1, "p", "r"), sync: 1, want: set(1), step: ProveReplicas},
	} {
		record := catalog.Leadership{Group: "bookings", Settled: true, Version: 5, Replicas: k.record}
		if k.first {
			record.Version = 0
		}
		next, step := PlanReplicas(record, k.sync, k.listed, k.remembered)
		assert.Equal(t, step, k.step, name)
		assert.Assert(t, next.Equal(k.want), "%s: %v", name, next)
	}
}

// Guards against a replica that is dropped while it may hold what the others lack.
func TestProvesReplicas(t *testing.T) {
	at := func(n fleet.Position) fleet.LogPosition { return fleet.LogPosition{Term: 3, Position: n} }
	record := catalog.Leadership{Primary: "p", PrimaryTerm: 3}
	primary := stmt.EndpointState{Primary: true, Term: 3, Received: at(7)}
	earlier := primary
	earlier.Term = 2
	for name, k := range map[string]struct {
		primary stmt.EndpointState
		copies  int
		reports []ReplicaReport
		want    bool
	}{
		"one has all":                   {primary, 1, []ReplicaReport{{"r", at(7)}, {"s", at(4)}}, true},
		"none has all":                  {primary, 1, []ReplicaReport{{"r", at(6)}, {"s", at(6)}}, false},
		"one of two copies":             {primary, 2, []ReplicaReport{{"r", at(7)}, {"s", at(6)}}, false},
		"both copies":                   {primary, 2, []ReplicaReport{{"r", at(8)}, {"s", at(7)}}, true},
		"the primary is no copy":        {primary, 1, []ReplicaReport{{"p", at(7)}}, false},
		"one that is dropped answers":   {primary, 1, []ReplicaReport{{"r", at(7)}, {"x", at(1)}}, false},
		"nobody answers":                {primary, 1, nil, false},
		"it leads an earlier term":      {earlier, 1, []ReplicaReport{{"r", at(7)}}, false},
		"it is no primary":              {stmt.EndpointState{Term: 3, Received: at(7)}, 1, []ReplicaReport{{"r", at(7)}}, false},
		"a log of an earlier term only": {primary, 1, []ReplicaReport{{"r", fleet.LogPosition{Term: 2, Position: 9}}}, false},
	} {
		next := newReplicaSet(k.copies, endpointsNamed("p", "r", "s"))
		assert.Equal(t, ProvesReplicas(record, next, k.primary, k.reports), k.want, name)
	}
}
