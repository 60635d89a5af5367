package rendezvous_test

import (
	"fmt"
	"testing"

	"nutmegnotch/core"
	"nutmegnotch/core/rendezvous"
)

func entries(n int) []core.EntryInfo {
	all := make([]core.EntryInfo, n)
	for i := range all {
		all[i].ID = fmt.Sprint("entry-", i)
	}
	return all
}

// Guards against a result for a small k that is not a prefix of the result for a
// larger k.
func TestTopIsPrefix(t *testing.T) {
	all := rendezvous.Top("key", entries(20), 20)
	for k := range 25 {
		top := rendezvous.Top("key", entries(20), k)
		if got, want := len(top), min(k, 20); got != want {
			t.Fatalf("entries for k=%d: got %d, want %d", k, got, want)
		}
		for i := range top {
			if top[i] != all[i] {
				t.Errorf("entry %d for k=%d: got %v, want %v", i, k, top[i], all[i])
			}
		}
	}
}

func BenchmarkTop(b *testing.B) {
	all := entries(1600)
	for b.Loop() {
		rendezvous.Top("organisation", all, 4)
	}
}
