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
	n = min(n, len(ids))
	best := make([]weighted, 0, n+1)
	for _, id := range ids {
		w := weighted{id, weigh(key, id)}
		if len(best) == n && (n == 0 || compare(w, best[n-1]) >= 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, w, compare)
		best = slices.Insert(best, at, w)
		best = best[:min(len(best), n)]
	}
	out := make([]string, 0, n)
	for _, w := range best {
		out = append(out, w.id)
	}
	return out
}

type weighted struct {
	id     string
	weight uint64
}

// compare puts the higher weight first.
func compare(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
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
