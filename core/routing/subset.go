package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSubsetSize is the number of agents per service that an entry keeps
// sessions with.
const DefaultSubsetSize = 16

// Subset returns the n ids that come first by rendezvous hashing with the key,
// best first. An id that joins or leaves changes at most one member. With at
// most n ids it returns all of them.
func Subset(key string, ids []string, n int) []string {
	type weighted struct {
		id     string
		weight uint64
	}
	all := make([]weighted, 0, len(ids))
	for _, id := range ids {
		all = append(all, weighted{id, weigh(key, id)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, min(n, len(all)))
	for i := 0; i < len(all) && i < n; i++ {
		out = append(out, all[i].id)
	}
	return out
}

// weigh separates key and id by a zero byte, so that shifted pairs differ.
func weigh(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
