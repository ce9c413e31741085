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
		s[i] = scored{id, score(key, id)}
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

// First returns the first of the order that Rank computes, without sorting. It
// returns "" if ids is empty.
func First(key string, ids []InstanceID) InstanceID {
	var first InstanceID
	var highest uint64
	for i, id := range ids {
		if s := score(key, id); i == 0 || s > highest || s == highest && id < first {
			first, highest = id, s
		}
	}
	return first
}

// score returns the rendezvous hash of an instance for a key.
func score(key string, id InstanceID) uint64 {
	var buf [96]byte
	b := append(buf[:0], id...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, key...))
}
