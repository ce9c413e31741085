package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

func candidates(n, dataCentres int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), DataCentre: fleet.DataCentre(fmt.Sprintf("z%d", i%dataCentres)), Capacity: 0.5}
	}
	return out
}

func anywhere(fleet.DataCentre) bool { return true }

func TestOrderIsTheSameEverywhere(t *testing.T) {
	all := candidates(50, 3)
	want := Order("g", all, anywhere)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		assert.DeepEqual(t, Order("g", all, anywhere), want)
	}
}

func TestInstancesNearTheEndpointsComeFirst(t *testing.T) {
	all := candidates(50, 5)
	near := func(dc fleet.DataCentre) bool { return dc == "z1" || dc == "z2" }
	order := Order("g", all, near)
	dataCentre := map[fleet.InstanceID]fleet.DataCentre{}
	for _, c := range all {
		dataCentre[c.ID] = c.DataCentre
	}
	for i, id := range order {
		assert.Equal(t, near(dataCentre[id]), i < 20, "position %d", i)
	}
}

// Only the groups of an instance that is gone get another keeper.
func TestLossMovesOnlyItsGroups(t *testing.T) {
	all := candidates(40, 3)
	gone := all[7].ID
	rest := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.ID == gone })
	moved := 0
	for g := range 200 {
		id := fleet.GroupID(fmt.Sprint("g", g))
		before, after := Order(id, all, anywhere)[0], Order(id, rest, anywhere)[0]
		if before != after {
			moved++
			assert.Equal(t, before, gone)
		}
	}
	assert.Assert(t, moved > 0 && moved < 20, "%d of 200 groups moved", moved)
}

// A machine with twice the processor share keeps about twice as many groups.
func TestShareFollowsCapacity(t *testing.T) {
	all := candidates(20, 1)
	for i := range 10 {
		all[i].Capacity = 1
	}
	large := 0
	const groups = 6000
	for g := range groups {
		first := Order(fleet.GroupID(fmt.Sprint("g", g)), all, anywhere)[0]
		for _, c := range all[:10] {
			if c.ID == first {
				large++
			}
		}
	}
	share := float64(large) / groups
	assert.Assert(t, share > 0.64 && share < 0.70, "the larger half keeps %.3f", share)
}

func TestKeepOwn(t *testing.T) {
	assert.Assert(t, KeepOwn(40, 4, 8), "ten connections for eight accounts")
	assert.Assert(t, !KeepOwn(9, 4, 8), "two connections for eight accounts")
	assert.Assert(t, !KeepOwn(149, 118, 190), "one connection for 190 accounts")
	assert.Assert(t, KeepOwn(2, 1, 0))
}
