// Package rendezvous orders ids by highest random weight, so that a change of a
// set moves only the keys of the members that came or went.
package rendezvous

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
)

type scored struct {
	score uint64
	id    string
	index int
}

func (s scored) before(o scored) bool {
	if s.score != o.score {
		return s.score > o.score
	}
	return s.id < o.id
}

// Top returns the first k entries of a key in order, or all when there are
// fewer. It is meant for a small k.
func Top(key string, entries []core.EntryInfo, k int) []core.EntryInfo {
	best := first(key, len(entries), k, func(i int) string { return entries[i].ID })
	top := make([]core.EntryInfo, len(best))
	for i, s := range best {
		top[i] = entries[s.index]
	}
	return top
}

// IDs returns the first k ids of a key in order, or all when there are fewer.
func IDs(key string, ids []string, k int) []string {
	best := first(key, len(ids), k, func(i int) string { return ids[i] })
	top := make([]string, len(best))
	for i, s := range best {
		top[i] = s.id
	}
	return top
}

// first keeps the best k of n ids in order while it scores them.
func first(key string, n, k int, id func(int) string) []scored {
	k = min(k, n)
	best := make([]scored, 0, k+1)
	for i := range n {
		s := scored{score: score(key, id(i)), id: id(i), index: i}
		if len(best) == k && (k == 0 || !s.before(best[k-1])) {
			continue
		}
		at := sort.Search(len(best), func(j int) bool { return s.before(best[j]) })
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), k)]
	}
	return best
}

// score separates key and id by a zero byte, so that shifted pairs differ.
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest return no error.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
