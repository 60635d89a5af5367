package expertmap

import (
	"math"
	"slices"
)

const (
	// maxTargetRanks is the number of least loaded ranks that are tried as the
	// target of a replica.
	maxTargetRanks = 6
	// imbalanceExponent is the exponent of the rank loads in the objective. A high
	// exponent is dominated by the slowest rank and, unlike the maximum, still
	// shows progress when several ranks are equally slow.
	imbalanceExponent = 8
)

// localSearch improves the placement of one layer by a sequence of changes that
// load one expert each.
type localSearch struct {
	shape      Shape
	expertLoad []float64
	replicas   [][]int
	onRank     [][]int
	rankLoads  []float64
}

func newLocalSearch(s Shape, current [][]int, load []float64) *localSearch {
	p := &localSearch{shape: s, expertLoad: load, replicas: make([][]int, s.Experts), onRank: make([][]int, s.Ranks)}
	for e, on := range current {
		p.replicas[e] = slices.Clone(on)
		for _, r := range on {
			p.onRank[r] = append(p.onRank[r], e)
		}
	}
	p.rankLoads = RankLoads(p.replicas, load, s.Ranks)
	return p
}

// replicaChange adds a replica of expert on rank. drop is the expert whose
// replica is removed there to free a slot, and from the rank whose replica of
// expert is removed; -1 stands for none.
type replicaChange struct {
	expert, rank, drop, from int
}

// improve applies the change that takes load off the slowest rank and lowers the
// objective most. It reports false when no change lowers the objective.
func (p *localSearch) improve() bool {
	slowest := 0
	for r, x := range p.rankLoads {
		if x > p.rankLoads[slowest] {
			slowest = r
		}
	}
	best, bestDelta := replicaChange{}, 0.0
	for _, e := range p.onRank[slowest] {
		for _, t := range p.targets(e) {
			for _, c := range p.changes(e, slowest, t) {
				if d := p.objectiveDelta(c); d < bestDelta-1e-12 {
					best, bestDelta = c, d
				}
			}
		}
	}
	if bestDelta == 0 {
		return false
	}
	p.apply(best)
	return true
}

// targets returns the least loaded ranks that do not hold expert e.
func (p *localSearch) targets(e int) []int {
	var out []int
	for r := range p.rankLoads {
		if slices.Contains(p.onRank[r], e) {
			continue
		}
		i := len(out)
		for i > 0 && p.rankLoads[r] < p.rankLoads[out[i-1]] {
			i--
		}
		if i < maxTargetRanks {
			out = slices.Insert(out, i, r)
			out = out[:min(len(out), maxTargetRanks)]
		}
	}
	return out
}

// changes returns the possible changes that add a replica of expert e on rank t:
// in addition to or in place of the one on the slowest rank, in a free slot or
// in the slot of an expert that has other replicas.
func (p *localSearch) changes(e, slowest, t int) []replicaChange {
	drops := []int{}
	if len(p.onRank[t]) < p.shape.SlotsPerRank {
		drops = append(drops, -1)
	} else {
		for _, f := range p.onRank[t] {
			if len(p.replicas[f]) > 1 {
				drops = append(drops, f)
			}
		}
	}
	var out []replicaChange
	for _, f := range drops {
		out = append(out, replicaChange{e, t, f, -1}, replicaChange{e, t, f, slowest})
	}
	return out
}

// loadDeltas returns by how much a change alters the load of each rank.
func (p *localSearch) loadDeltas(c replicaChange) map[int]float64 {
	d := map[int]float64{}
	p.addLoadDelta(d, c.expert, c.rank, c.from)
	if c.drop >= 0 {
		p.addLoadDelta(d, c.drop, -1, c.rank)
	}
	return d
}

func (p *localSearch) addLoadDelta(d map[int]float64, e, add, remove int) {
	n := len(p.replicas[e])
	old, next := p.expertLoad[e]/float64(n), 0.0
	if add >= 0 {
		n++
	}
	if remove >= 0 {
		n--
	}
	next = p.expertLoad[e] / float64(n)
	for _, r := range p.replicas[e] {
		if r == remove {
			d[r] -= old
		} else {
			d[r] += next - old
		}
	}
	if add >= 0 {
		d[add] += next
	}
}

// objectiveDelta returns by how much a change alters the objective, the sum of
// the relative rank loads to the power of imbalanceExponent.
func (p *localSearch) objectiveDelta(c replicaChange) float64 {
	mean := sum(p.expertLoad) / float64(p.shape.Ranks)
	if mean == 0 {
		return 0
	}
	d := 0.0
	for r, x := range p.loadDeltas(c) {
		d += math.Pow((p.rankLoads[r]+x)/mean, imbalanceExponent) - math.Pow(p.rankLoads[r]/mean, imbalanceExponent)
	}
	return d
}

func (p *localSearch) apply(c replicaChange) {
	for r, x := range p.loadDeltas(c) {
		p.rankLoads[r] += x
	}
	p.add(c.expert, c.rank)
	if c.from >= 0 {
		p.remove(c.expert, c.from)
	}
	if c.drop >= 0 {
		p.remove(c.drop, c.rank)
	}
}

func (p *localSearch) add(e, r int) {
	p.replicas[e] = append(p.replicas[e], r)
	p.onRank[r] = append(p.onRank[r], e)
}

func (p *localSearch) remove(e, r int) {
	p.replicas[e] = slices.DeleteFunc(p.replicas[e], func(x int) bool { return x == r })
	p.onRank[r] = slices.DeleteFunc(p.onRank[r], func(x int) bool { return x == e })
}

// layer returns a copy of the current placement with sorted ranks.
func (p *localSearch) layer() [][]int {
	out := make([][]int, len(p.replicas))
	for e, on := range p.replicas {
		out[e] = slices.Clone(on)
		slices.Sort(out[e])
	}
	return out
}
