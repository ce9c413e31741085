package takeover

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
)

// The platform answers a second call for the endpoint that leads already with success and changes nothing.
func TestPromotionOfStoppedHolderIsFinished(t *testing.T) {
	const formerTerm, newTerm = fleet.Term(1), fleet.Term(2)
	promoted := stmt.EndpointState{Primary: true, Term: newTerm}
	candidates := []Candidate{{Endpoint: "promoted", Received: fleet.LogPosition{Term: newTerm, Position: 10}, Term: newTerm,
		TakenOver: RoleOf(catalog.Leadership{PrimaryTerm: formerTerm}, "promoted", promoted) == Successor, Suspect: promoted.Primary}}
	best, ok := Choose(candidates, 0)
	assert.Assert(t, ok)
	assert.Equal(t, best.Endpoint, fleet.EndpointID("promoted"))
	assert.Assert(t, best.TakenOver, "the change can never be finished while no other replica answers")
	// Before the first change the term is that which the endpoints have told its holder.
	record := Promoting(catalog.Leadership{Former: "p", Confirming: true}, 0, formerTerm)
	assert.Equal(t, RoleOf(Claim(record, 0, Claimant{}, 0), "promoted", promoted), Successor)
}

// Callers have acknowledged commits at an endpoint whose takeover was announced but not stored.
func TestSuccessorKeepsEndpointThatHasTakenOver(t *testing.T) {
	best, _ := Choose([]Candidate{
		{Endpoint: "promoted", Received: fleet.LogPosition{Term: 2, Position: 12}, Term: 2, TakenOver: true, Suspect: true},
		{Endpoint: "replica", Received: fleet.LogPosition{Term: 1, Position: 9}, Term: 1},
	}, 0)
	assert.Equal(t, best.Endpoint, fleet.EndpointID("promoted"))
}
