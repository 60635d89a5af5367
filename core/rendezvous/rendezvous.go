// Package rendezvous implements rendezvous hashing (highest random weight): a
// change of a set moves only the keys of the members that were added or removed.
package rendezvous

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
)

type candidate struct {
	score uint64
	id    string
	index int
}

func (s candidate) before(o candidate) bool {
	if s.score != o.score {
		return s.score > o.score
	}
	return s.id < o.id
}

// Top returns the k entries with the highest weights for a key, highest first, or
// all when there are fewer. It is efficient for a small k only.
func Top(key string, entries []core.EntryInfo, k int) []core.EntryInfo {
	best := topK(key, len(entries), k, func(i int) string { return entries[i].ID })
	top := make([]core.EntryInfo, len(best))
	for i, s := range best {
		top[i] = entries[s.index]
	}
	return top
}

// TopIDs returns the k ids with the highest weights for a key, highest first, or all
// when there are fewer.
func TopIDs(key string, ids []string, k int) []string {
	best := topK(key, len(ids), k, func(i int) string { return ids[i] })
	top := make([]string, len(best))
	for i, s := range best {
		top[i] = s.id
	}
	return top
}

// topK returns the k candidates with the highest scores of n ids, highest first.
func topK(key string, n, k int, id func(int) string) []candidate {
	k = min(k, n)
	best := make([]candidate, 0, k+1)
	for i := range n {
		s := candidate{score: score(key, id(i)), id: id(i), index: i}
		if len(best) == k && (k == 0 || !s.before(best[k-1])) {
			continue
		}
		at := sort.Search(len(best), func(j int) bool { return s.before(best[j]) })
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), k)]
	}
	return best
}

// score returns the weight of an id for a key. A zero byte separates the two, so
// that the pairs ("ab", "c") and ("a", "bc") differ.
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest return no error.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
