// Package rendezvous orders entries by highest random weight, so that a change
// of the entry set moves only the keys of the entries that came or went.
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
	k = min(k, len(entries))
	best := make([]scored, 0, k+1)
	for i, e := range entries {
		s := scored{score: score(key, e.ID), id: e.ID, index: i}
		if len(best) == k && (k == 0 || !s.before(best[k-1])) {
			continue
		}
		at := sort.Search(len(best), func(j int) bool { return s.before(best[j]) })
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), k)]
	}
	top := make([]core.EntryInfo, len(best))
	for i, s := range best {
		top[i] = entries[s.index]
	}
	return top
}

func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest return no error.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
