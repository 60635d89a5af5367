package expertmap

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
)

// Guards against placements that lose an expert, exceed the slots of a rank or
// place an expert on one rank twice, and against a lower bound that is too high.
func TestPlaceKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(1, 20).Draw(t, "ranks"), Layers: 1, SlotsPerRank: rapid.IntRange(1, 4).Draw(t, "slots")}
		s.Experts = rapid.IntRange(1, s.Ranks*s.SlotsPerRank).Draw(t, "experts")
		load := core.ExpertLoad{rapid.SliceOfN(rapid.Float64Range(0, 1000), s.Experts, s.Experts).Draw(t, "load")}
		m := Place(s, EvenMap(s), load, rapid.Float64Range(0, 1).Draw(t, "slack"))
		used := make([]int, s.Ranks)
		for e, on := range m.Replicas[0] {
			if len(on) == 0 || len(slices.Compact(slices.Clone(on))) != len(on) {
				t.Fatalf("expert %d is on ranks %v", e, on)
			}
			for _, r := range on {
				used[r]++
			}
		}
		if got := slices.Max(used); got > s.SlotsPerRank {
			t.Fatalf("experts on one rank: got %d, want at most %d", got, s.SlotsPerRank)
		}
		if got, bound := Skew(m, load, s.Ranks), SkewLowerBound(s, load); got < bound-1e-9 || bound < 1-1e-9 {
			t.Fatalf("skew: got %v, want at least the bound %v", got, bound)
		}
	})
}

// Guards against a policy that adopts a map although loading it costs more than
// it saves, or rejects one that saves more than it costs.
func TestPolicyWeighsCost(t *testing.T) {
	s := Shape{Ranks: 8, Layers: 1, Experts: 8, SlotsPerRank: 2}
	load := core.ExpertLoad{{80, 10, 10, 10, 10, 10, 10, 10}}
	for _, c := range []struct {
		rate float64
		want bool
	}{{1e9, true}, {1e5, false}} {
		p := &CostBenefitPolicy{Shape: s, Cost: Cost{ExpertBytes: 1e8, StoreBytesPerSecond: c.rate}, MaxMapLifetime: time.Minute, SmoothingWeight: 1}
		if _, got := p.Plan(EvenMap(s), load, time.Time{}); got != c.want {
			t.Errorf("adopted at %g bytes/s: got %v, want %v", c.rate, got, c.want)
		}
	}
}
