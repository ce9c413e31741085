package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns ids in descending order of their rendezvous hash for key. Every
// instance that knows the same ids computes the same order.
func Rank(key string, ids []InstanceID) []InstanceID {
	type scored struct {
		id    InstanceID
		score uint64
	}
	s := make([]scored, len(ids))
	for i, id := range ids {
		s[i] = scored{id, xxhash.Sum64String(string(id) + "\x00" + key)}
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ranked := make([]InstanceID, len(s))
	for i := range s {
		ranked[i] = s[i].id
	}
	return ranked
}
