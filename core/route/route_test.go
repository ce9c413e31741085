package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

var t0 = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

func drawRequest(t *rapid.T) (Config, Request) {
	ago := func(label string) time.Time {
		d := rapid.SampledFrom([]time.Duration{-1, 0, ms, 10 * ms, 90 * ms, time.Second, 2 * time.Second}).Draw(t, label)
		if d < 0 {
			return time.Time{}
		}
		return t0.Add(-d)
	}
	g := &snapshot.Group{ID: "g", Term: fleet.Term(rapid.IntRange(1, 3).Draw(t, "term"))}
	n := rapid.IntRange(0, 4).Draw(t, "endpoints")
	req := Request{Group: g, Write: rapid.Bool().Draw(t, "write"),
		FloorKnown:      rapid.Bool().Draw(t, "known"),
		Floor:           fleet.LogPosition{Term: fleet.Term(rapid.IntRange(1, 4).Draw(t, "ft")), Position: fleet.Position(rapid.IntRange(0, 9).Draw(t, "fp"))},
		FloorObservedAt: ago("floor at"),
		MaxAge:          rapid.SampledFrom([]time.Duration{0, 5 * ms, time.Second}).Draw(t, "max age"),
		MaxAgeSet:       rapid.Bool().Draw(t, "set"),
		Avoid:           rapid.Uint64Range(0, 15).Draw(t, "avoid"),
		PrimaryLatency:  rapid.SampledFrom([]time.Duration{0, 3 * ms, time.Second}).Draw(t, "cost"),
		Waited:          rapid.SampledFrom([]time.Duration{0, 2 * ms, 30 * ms}).Draw(t, "waited"),
		TieBreaker:      rapid.Uint32().Draw(t, "tie"),
	}
	for i := range n {
		seen := ago("seen")
		ep := &snapshot.Endpoint{ID: fleet.EndpointID(fmt.Sprint(i)), DataCentre: fleet.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc")),
			Leaving: rapid.Bool().Draw(t, "leaving"), StatusAt: seen, AppliedAsOf: ago("caught up"),
			Status: fleet.EndpointStatus{Role: fleet.RoleReplica, Joining: rapid.Bool().Draw(t, "joining"),
				AppliedTerm: fleet.Term(rapid.IntRange(1, 3).Draw(t, "at")), Applied: fleet.Position(rapid.IntRange(0, 9).Draw(t, "ap"))}}
		ep.Status.LastLogTerm, ep.Status.Received = ep.Status.AppliedTerm, ep.Status.Applied+fleet.Position(rapid.IntRange(0, 3).Draw(t, "rx"))
		g.Endpoints = append(g.Endpoints, ep)
		req.InFlight = append(req.InFlight, float64(rapid.IntRange(0, 3).Draw(t, "load")))
	}
	if n > 0 && rapid.Bool().Draw(t, "has primary") {
		g.Primary = g.Endpoints[0].ID
		g.Endpoints[0].Status.Role = fleet.RolePrimary
	}
	return Config{DataCentre: "a", PreferDataCentre: rapid.Bool().Draw(t, "prefer")}, req
}

// TestChooseAgainstSpecification compares Choose with an independent
// specification. It guards against stale reads, writes sent to a replica,
// endpoints that accept no new statements, reads whose maximum age is not
// proved, needless reads at the primary, and unbounded waits.
func TestChooseAgainstSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, req := drawRequest(t)
		g := req.Group
		d := Choose(t0, &cfg, &req)

		eligible := map[*snapshot.Endpoint]float64{}
		fewest := 1e9
		for i, ep := range g.Endpoints {
			s := ep.Status
			if req.Write || !req.FloorKnown && !req.MaxAgeSet || ep.ID == g.Primary || s.Role == fleet.RolePrimary ||
				ep.Leaving || s.Joining || req.Avoid>>i&1 == 1 || ep.StatusAt.IsZero() || t0.Sub(ep.StatusAt) > time.Second ||
				req.FloorKnown && (s.AppliedTerm < req.Floor.Term || s.Applied < req.Floor.Position) ||
				req.MaxAge > 0 && (ep.AppliedAsOf.IsZero() || t0.Sub(ep.AppliedAsOf) > req.MaxAge) {
				continue
			}
			eligible[ep] = req.InFlight[i]
			fewest = min(fewest, req.InFlight[i])
		}
		switch {
		case len(eligible) > 0:
			load, ok := eligible[d.Endpoint]
			assert.Assert(t, d.Action == Use && ok && !d.Primary && d.ReadOnly && !d.Confirm)
			assert.Equal(t, load, fewest)
			for ep, l := range eligible {
				if cfg.PreferDataCentre && ep.DataCentre == "a" && l == fewest {
					assert.Equal(t, d.Endpoint.DataCentre, fleet.DataCentre("a"))
				}
			}
		case d.Action == Use:
			assert.Assert(t, d.Primary && d.Endpoint.ID == g.Primary)
			assert.Assert(t, !req.FloorKnown || g.Term >= req.Floor.Term)
			assert.Equal(t, d.ReadOnly, !req.Write)
			assert.Equal(t, d.Confirm, !req.Write && (!req.FloorKnown || req.MaxAge > 0))
		case d.Action == Wait:
			assert.Assert(t, d.Wait > 0 && req.Waited+d.Wait <= DefaultMaxWait)
			if d.Rule == "replica-expected" {
				assert.Assert(t, !req.Write && req.Waited+d.Wait <= req.PrimaryLatency)
			} else {
				assert.Assert(t, req.Floor.Term > g.Term)
			}
		default:
			assert.Assert(t, g.Primary == "" || req.FloorKnown && req.Floor.Term > g.Term)
		}
		if cfg.PrimaryOnly = true; true {
			d := Choose(t0, &cfg, &req)
			assert.Assert(t, d.Endpoint == nil || d.Primary)
		}
	})
}

func newGroup(lag time.Duration) *snapshot.Group {
	g := &snapshot.Group{ID: "g", Term: 1, Primary: "p"}
	for _, id := range []fleet.EndpointID{"p", "r1", "r2"} {
		g.Endpoints = append(g.Endpoints, &snapshot.Endpoint{ID: id, DataCentre: fleet.DataCentre(id), StatusAt: t0, AppliedAsOf: t0.Add(-lag),
			Status: fleet.EndpointStatus{Role: fleet.RoleReplica, AppliedTerm: 1, Applied: 10, LastLogTerm: 1, Received: 10}})
	}
	g.Endpoints[0].Status.Role = fleet.RolePrimary
	return g
}

// TestWaitOnlyWhenReplicaWillQualify guards against a wait that cannot
// succeed, and against a read at the primary when a replica is about to apply
// the floor.
func TestWaitOnlyWhenReplicaWillQualify(t *testing.T) {
	floor := fleet.LogPosition{Term: 1, Position: 11}
	req := Request{Group: newGroup(4 * ms), Floor: floor, FloorKnown: true, FloorObservedAt: t0, PrimaryLatency: 10 * ms}
	assert.Equal(t, Choose(t0, &Config{}, &req), Decision{Action: Wait, Wait: 10 * ms, Rule: "replica-expected"})
	req.Waited = 7 * ms
	assert.Equal(t, Choose(t0, &Config{}, &req).Rule, "primary")
	req.Waited, req.Group = 0, newGroup(30*ms)
	assert.Equal(t, Choose(t0, &Config{}, &req).Rule, "primary")
	// A position token does not say when its floor was written.
	req.FloorObservedAt = time.Time{}
	assert.Equal(t, Choose(t0, &Config{}, &req).Rule, "primary")
	req.Group.Endpoints[2].Status.Received = 11
	assert.Equal(t, Choose(t0, &Config{}, &req).Rule, "replica-expected")
	req.Group.Endpoints[2].Status.Applied = 11
	assert.Equal(t, Choose(t0, &Config{}, &req).Endpoint.ID, fleet.EndpointID("r2"))
}

// TestReadsSpreadOverEqualReplicas guards against sending all reads to the
// first of equally loaded replicas, and checks that PreferDataCentre accepts
// less than one additional request in flight.
func TestReadsSpreadOverEqualReplicas(t *testing.T) {
	count := map[fleet.EndpointID]int{}
	req := Request{Group: newGroup(0), FloorKnown: true}
	for req.TieBreaker = range uint32(30) {
		count[Choose(t0, &Config{DataCentre: "r2"}, &req).Endpoint.ID]++
	}
	assert.DeepEqual(t, count, map[fleet.EndpointID]int{"r1": 15, "r2": 15})
	prefer := Config{DataCentre: "r2", PreferDataCentre: true}
	req.InFlight = []float64{0, 0, 0.9}
	assert.Equal(t, Choose(t0, &prefer, &req).Endpoint.ID, fleet.EndpointID("r2"))
	req.InFlight[2] = 1
	assert.Equal(t, Choose(t0, &prefer, &req).Endpoint.ID, fleet.EndpointID("r1"))
}

func BenchmarkChoose(b *testing.B) {
	req := Request{Group: newGroup(0), FloorKnown: true, Floor: fleet.LogPosition{Term: 1, Position: 9}, InFlight: []float64{1, 2, 1}}
	cfg := Config{DataCentre: "r1", PreferDataCentre: true}
	b.ReportAllocs()
	for b.Loop() {
		Choose(t0, &cfg, &req)
	}
}
