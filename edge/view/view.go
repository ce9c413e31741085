// Package view defines the snapshot of control state that the request path reads.
package view

import (
	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/evacuation"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/topology"
)

// View is a snapshot of the control state. It is immutable once published.
type View struct {
	// Catalog is nil until the first configuration has been loaded.
	Catalog *catalog.Catalog
	// Endpoints lists the endpoints in use of each group, ordered by id.
	Endpoints map[fleet.GroupID][]catalog.Endpoint
	// Leaders holds the leadership record of each group.
	Leaders map[fleet.GroupID]catalog.Leadership
	// Sharers is, for each group, the number of instances that keep connections to
	// its endpoints while all run.
	Sharers map[fleet.GroupID]int
	// Evacuated holds the data centres that are being evacuated.
	Evacuated evacuation.Set
}

// Route returns the route for a database.
func (v *View) Route(database string) (catalog.Route, bool) {
	if v.Catalog == nil {
		return catalog.Route{}, false
	}
	r, ok := v.Catalog.Routes[database]
	return r, ok
}

// Account returns the client account of a key and whether callers with that key
// may use the route. Open routes accept callers without a valid key.
func (v *View) Account(r catalog.Route, key string) (fleet.AccountID, bool) {
	if a, ok := v.Catalog.Keys[key]; ok && key != "" {
		return a, true
	}
	return AnonymousAccount, r.Open
}

// Homes returns the restriction in force for the statements of an account on a route. A
// transaction that began under another configuration obeys it from its next statement on.
func (v *View) Homes(r catalog.Route, account fleet.AccountID) topology.Homes {
	if now, ok := v.Catalog.Routes[r.Database]; ok {
		r = now
	}
	return v.Catalog.Homes(r, account)
}

// AnonymousAccount is the account of callers that use an open route without a valid
// key.
const AnonymousAccount fleet.AccountID = "-"
