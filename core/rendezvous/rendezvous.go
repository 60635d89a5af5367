// Package rendezvous orders entries by highest random weight, so that a change
// of the entry set moves only the keys of the entries that came or went.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
)

type scored struct {
	score uint64
	entry core.EntryInfo
}

// Top returns the first k entries of a key in order, or all when there are
// fewer.
func Top(key string, entries []core.EntryInfo, k int) []core.EntryInfo {
	if k > len(entries) {
		k = len(entries)
	}
	all := make([]scored, len(entries))
	for i, e := range entries {
		all[i] = scored{score: score(key, e.ID), entry: e}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].entry.ID < all[j].entry.ID
	})
	top := make([]core.EntryInfo, k)
	for i := range top {
		top[i] = all[i].entry
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
