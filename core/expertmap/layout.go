package expertmap

import "slices"

// Layout lists the experts that each rank holds, by rank and expert set. It is
// the form of a map that the engines of lock-step groups accept.
type Layout [][][]int

// Clone returns a deep copy.
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

// ExpertsToCopy returns the number of experts that rank r has to copy for a
// change from l to next.
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

// Complete reports whether every expert of every set is on at least one rank
// and all expert numbers are valid.
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

// LayoutSkew returns the load skew of a layout: the time of the slowest rank,
// added up over all sets, divided by the time of an even split over ranks of
// normal speed. load is by set and expert. slowdowns holds the factor by which
// each rank is slower than normal; nil means that all ranks have normal speed.
func LayoutSkew(l Layout, load [][]float64, slowdowns []float64) float64 {
	slowest, mean := 0.0, 0.0
	for s := range load {
		p := newSetPlan(l, s, load[s], slowdowns)
		slowest += slices.Max(p.rankLoads)
		mean += sum(load[s]) / float64(len(l))
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}
