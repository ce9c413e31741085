// Package view is the snapshot of control state that traffic reads.
package view

import (
	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// View is immutable once published.
type View struct {
	// Catalog is nil until the first configuration is known.
	Catalog *catalog.Catalog
	// Endpoints lists each group's endpoints in use, by id.
	Endpoints map[fleet.GroupID][]catalog.Endpoint
	Leaders   map[fleet.GroupID]catalog.Leadership
	// MemberCount counts the instances of the fleet, including this one.
	MemberCount int
}

// Route returns the route for a database.
func (v *View) Route(database string) (catalog.Route, bool) {
	if v.Catalog == nil {
		return catalog.Route{}, false
	}
	r, ok := v.Catalog.Routes[database]
	return r, ok
}

// Account returns the client account that may use a route with a key. Open
// routes need no key.
func (v *View) Account(r catalog.Route, key string) (fleet.AccountID, bool) {
	if a, ok := v.Catalog.Keys[key]; ok && key != "" {
		return a, true
	}
	return AnonymousAccount, r.Open
}

// AnonymousAccount stands for callers of open routes that named no valid key.
const AnonymousAccount fleet.AccountID = "-"
