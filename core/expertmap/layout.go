package expertmap

import "slices"

// Layout lists the experts that each rank holds, by rank and set. It is the form
// in which engines of lock-step groups take maps.
type Layout [][][]int

// Clone returns a copy that shares nothing.
func (l Layout) Clone() Layout {
	out := make(Layout, len(l))
	for r := range l {
		out[r] = make([][]int, len(l[r]))
		for s := range l[r] {
			out[r][s] = slices.Clone(l[r][s])
		}
	}
	return out
}

// ExpertsToCopy returns how many experts rank r has to copy to go from l to next.
func (l Layout) ExpertsToCopy(next Layout, r int) int {
	n := 0
	for s := range next[r] {
		for _, e := range next[r][s] {
			if !slices.Contains(l[r][s], e) {
				n++
			}
		}
	}
	return n
}

// Complete reports whether every expert of every set is on a rank.
func (l Layout) Complete(sets, experts int) bool {
	for s := range sets {
		present := make([]bool, experts)
		found := 0
		for r := range l {
			if s >= len(l[r]) {
				return false
			}
			for _, e := range l[r][s] {
				if e < 0 || e >= experts {
					return false
				}
				if !present[e] {
					present[e] = true
					found++
				}
			}
		}
		if found < experts {
			return false
		}
	}
	return true
}

// LayoutSkew returns the time of the slowest ranks, set by set, over the time of
// an even split over ranks of the usual pace. Load is by set and expert; paces
// tell how many times slower each rank works, and may be nil.
func LayoutSkew(l Layout, load [][]float64, paces []float64) float64 {
	slowest, mean := 0.0, 0.0
	for s := range load {
		p := newSetPlan(l, s, load[s], paces)
		slowest += slices.Max(p.loads)
		mean += sum(load[s]) / float64(len(l))
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}
