package forward

import (
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/where"
)

// Explain returns the keeper to which an operation would be handed first. It contacts no
// instance.
func (f *Forwarder) Explain(op *executor.Operation) where.Keeper {
	// Without a keeper the operation runs here, as in open.
	w := where.Keeper{Self: true}
	for i, k := range f.directory.Keepers(op.Route.Group, op.Homes) {
		if i > 0 {
			w.Others = append(w.Others, string(k.ID))
			continue
		}
		w = where.Keeper{Instance: string(k.ID), Self: k.Self, OtherRegion: k.OtherRegion}
		if k.Self {
			break
		}
		w.Addr = k.Addr
	}
	return w
}
