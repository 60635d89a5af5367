package expertmap

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// zipfLoad returns the shares of experts of each set, Zipf-distributed over a
// random order of the experts.
func zipfLoad(r *rand.Rand, sets, experts int) [][]float64 {
	load := make([][]float64, sets)
	for s := range load {
		v := make([]float64, experts)
		for i, e := range r.Perm(experts) {
			v[e] = 1 / math.Pow(float64(i+1), 1.1)
		}
		load[s] = normalize(v)
	}
	return load
}

func roundRobinLayout(ranks, sets, experts int) Layout {
	l := make(Layout, ranks)
	for r := range l {
		l[r] = make([][]int, sets)
		for s := range l[r] {
			for e := r; e < experts; e += ranks {
				l[r][s] = append(l[r][s], e)
			}
		}
	}
	return l
}

// Guards against plans that copy more experts than allowed, lose an expert,
// exceed the slots of a rank or do not lower the skew. The baseline is the
// unchanged map.
func TestIncrementsLowerSkew(t *testing.T) {
	const ranks, sets, experts, slotsPerRank, changes = 12, 3, 96, 11, 5
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		load := zipfLoad(r, sets, experts)
		l := roundRobinLayout(ranks, sets, experts)
		baseline := LayoutSkew(l, load, nil)
		for range changes {
			next, changed := IncrementalPlanner{SlotsPerRank: slotsPerRank, MaxCopiesPerRank: 1}.Plan(l, load)
			if !changed {
				break
			}
			if !next.Complete(sets, experts) {
				t.Fatalf("seed %d: an expert is on no rank", seed)
			}
			for rank := range next {
				if got := l.ExpertsToCopy(next, rank); got > 1 {
					t.Errorf("seed %d, rank %d: got %d new experts, want at most 1", seed, rank, got)
				}
				for s := range next[rank] {
					if got := len(next[rank][s]); got > slotsPerRank {
						t.Errorf("seed %d, rank %d, set %d: got %d experts, want at most %d", seed, rank, s, got, slotsPerRank)
					}
				}
			}
			l = next
		}
		if got := LayoutSkew(l, load, nil); got > 1.3 || got >= baseline {
			t.Errorf("seed %d: skew got %.2f after %d changes, want at most 1.3 (%.2f before)", seed, got, changes, baseline)
		}
	}
}

// Guards against estimates that mix the demand before and after a shift, and
// against shifts that are detected while demand is constant.
func TestDemandFindsShifts(t *testing.T) {
	const sets, experts, perWindow = 3, 96, 4000
	r := rand.New(rand.NewPCG(1, 2))
	d := NewDemandEstimator(sets, experts)
	now := time.Unix(1_000_000, 0)
	addWindows := func(load [][]float64, n int) {
		for range n {
			choices := make([]uint32, sets*experts)
			for s := range load {
				for e, x := range load[s] {
					mean := x * perWindow
					choices[s*experts+e] = uint32(max(0, mean+math.Sqrt(mean)*r.NormFloat64()))
				}
			}
			d.Add(choices, now)
			now = now.Add(windowDuration)
		}
	}
	for phase := range 6 {
		load := zipfLoad(r, sets, experts)
		addWindows(load, 40)
		if got, want := d.Shifts, phase; got != want {
			t.Fatalf("shifts after phase %d: got %d, want %d", phase, got, want)
		}
		addWindows(load, 2)
		estimate, ok := d.Load()
		if !ok {
			t.Fatal("estimate: got none")
		}
		for s := range load {
			if got := cosine(estimate[s], load[s]); got < 0.98 {
				t.Errorf("phase %d, set %d: similarity got %.3f, want at least 0.98", phase, s, got)
			}
		}
	}
}

// Guards against a slow rank that keeps its load and delays every pass of the
// group: its experts must move to the other ranks.
func TestIncrementMovesWorkOffSlowRank(t *testing.T) {
	const ranks, sets, experts, slotsPerRank, slowdown = 6, 2, 24, 6, 5.0
	l := make(Layout, ranks)
	for r := range l {
		l[r] = make([][]int, sets)
		for s := range sets {
			for e := r; e < experts; e += ranks {
				l[r][s] = append(l[r][s], e)
			}
		}
	}
	load := make([][]float64, sets)
	for s := range load {
		load[s] = make([]float64, experts)
		for e := range load[s] {
			load[s][e] = 1.0 / experts
		}
	}
	slowdowns := []float64{1, 1, slowdown, 1, 1, 1}
	before := LayoutSkew(l, load, slowdowns)
	for range 8 {
		l, _ = IncrementalPlanner{SlotsPerRank: slotsPerRank, MaxCopiesPerRank: 1, Slowdowns: slowdowns}.Plan(l, load)
		if !l.Complete(sets, experts) {
			t.Fatal("layout lost an expert")
		}
	}
	if got := LayoutSkew(l, load, slowdowns); before < slowdown || got > 1.7 {
		t.Errorf("time of the slowest rank over an even split: got %.2f after %.2f, want at most 1.7", got, before)
	}
}

// Guards against a change that exceeds the copies per set, and against slow
// balancing of many sets when copies are fast enough for several per change.
func TestIncrementUsesFastCopies(t *testing.T) {
	const ranks, sets, experts, slotsPerRank, inSet, fast = 24, 16, 96, 5, 2, 5
	load := zipfLoad(rand.New(rand.NewPCG(3, 1)), sets, experts)
	skew := map[int]float64{}
	for _, most := range []int{1, fast} {
		l := roundRobinLayout(ranks, sets, experts)
		for range 2 {
			next, _ := IncrementalPlanner{SlotsPerRank: slotsPerRank, MaxCopiesPerRank: most, MaxCopiesPerSet: inSet}.Plan(l, load)
			if !next.Complete(sets, experts) {
				t.Fatal("an expert is on no rank")
			}
			for r := range next {
				if got := l.ExpertsToCopy(next, r); got > most {
					t.Errorf("rank %d: got %d new experts, want at most %d", r, got, most)
				}
				for s := range next[r] {
					one := Layout{{l[r][s]}}
					if got := one.ExpertsToCopy(Layout{{next[r][s]}}, 0); got > inSet {
						t.Errorf("rank %d, set %d: got %d new experts, want at most %d", r, s, got, inSet)
					}
				}
			}
			l = next
		}
		skew[most] = LayoutSkew(l, load, nil)
	}
	if skew[fast] >= skew[1]-0.2 {
		t.Errorf("skew after two changes: got %.2f with %d new experts a rank and %.2f with one, want at least 0.2 less", skew[fast], fast, skew[1])
	}
	t.Logf("skew after two changes: %.2f with one new expert a rank, %.2f with %d", skew[1], skew[fast], fast)
}

func BenchmarkPlan(b *testing.B) {
	load := zipfLoad(rand.New(rand.NewPCG(3, 1)), 16, 96)
	l := roundRobinLayout(24, 16, 96)
	for b.Loop() {
		IncrementalPlanner{SlotsPerRank: 5, MaxCopiesPerRank: 5, MaxCopiesPerSet: 2}.Plan(l, load)
	}
}
