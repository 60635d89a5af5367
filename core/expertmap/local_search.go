package expertmap

import (
	"math"
	"slices"
)

const (
	// repairTargets is how many of the least loaded ranks are tried for a
	// further replica.
	repairTargets = 6
	// unevenness is the exponent of the measure that repair lowers. A high one
	// follows the slowest rank and still sees progress when several are equal.
	unevenness = 8
)

// repair improves one layer one weight load at a time.
type repair struct {
	shape    Shape
	load     []float64
	replicas [][]int
	onRank   [][]int
	loads    []float64
}

func newRepair(s Shape, current [][]int, load []float64) *repair {
	p := &repair{shape: s, load: load, replicas: make([][]int, s.Experts), onRank: make([][]int, s.Ranks)}
	for e, on := range current {
		p.replicas[e] = slices.Clone(on)
		for _, r := range on {
			p.onRank[r] = append(p.onRank[r], e)
		}
	}
	p.loads = RankLoads(p.replicas, load, s.Ranks)
	return p
}

// change puts a replica of expert on rank; drop is the expert that gives up its
// slot there, -1 for none, and from the rank that gives up expert, -1 for none.
type change struct {
	expert, rank, drop, from int
}

// step makes the best change for the slowest rank. It reports false when none
// makes the layer more even.
func (p *repair) step() bool {
	slowest := 0
	for r, x := range p.loads {
		if x > p.loads[slowest] {
			slowest = r
		}
	}
	best, bestDelta := change{}, 0.0
	for _, e := range p.onRank[slowest] {
		for _, t := range p.targets(e) {
			for _, c := range p.changes(e, slowest, t) {
				if d := p.delta(c); d < bestDelta-1e-12 {
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

// targets returns the least loaded ranks without the expert.
func (p *repair) targets(e int) []int {
	var out []int
	for r := range p.loads {
		if slices.Contains(p.onRank[r], e) {
			continue
		}
		i := len(out)
		for i > 0 && p.loads[r] < p.loads[out[i-1]] {
			i--
		}
		if i < repairTargets {
			out = slices.Insert(out, i, r)
			out = out[:min(len(out), repairTargets)]
		}
	}
	return out
}

// changes returns the ways to bring expert e to rank t: as a further replica or
// instead of the one on the slowest rank, into a free slot or that of an expert
// that has other replicas.
func (p *repair) changes(e, slowest, t int) []change {
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
	var out []change
	for _, f := range drops {
		out = append(out, change{e, t, f, -1}, change{e, t, f, slowest})
	}
	return out
}

// shifts adds what a change does to the load of ranks.
func (p *repair) shifts(c change) map[int]float64 {
	d := map[int]float64{}
	p.shift(d, c.expert, c.rank, c.from)
	if c.drop >= 0 {
		p.shift(d, c.drop, -1, c.rank)
	}
	return d
}

func (p *repair) shift(d map[int]float64, e, add, remove int) {
	n := len(p.replicas[e])
	old, next := p.load[e]/float64(n), 0.0
	if add >= 0 {
		n++
	}
	if remove >= 0 {
		n--
	}
	next = p.load[e] / float64(n)
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

// delta is how much the measure of unevenness changes.
func (p *repair) delta(c change) float64 {
	mean := sum(p.load) / float64(p.shape.Ranks)
	if mean == 0 {
		return 0
	}
	d := 0.0
	for r, x := range p.shifts(c) {
		d += math.Pow((p.loads[r]+x)/mean, unevenness) - math.Pow(p.loads[r]/mean, unevenness)
	}
	return d
}

func (p *repair) apply(c change) {
	for r, x := range p.shifts(c) {
		p.loads[r] += x
	}
	p.add(c.expert, c.rank)
	if c.from >= 0 {
		p.remove(c.expert, c.from)
	}
	if c.drop >= 0 {
		p.remove(c.drop, c.rank)
	}
}

func (p *repair) add(e, r int) {
	p.replicas[e] = append(p.replicas[e], r)
	p.onRank[r] = append(p.onRank[r], e)
}

func (p *repair) remove(e, r int) {
	p.replicas[e] = slices.DeleteFunc(p.replicas[e], func(x int) bool { return x == r })
	p.onRank[r] = slices.DeleteFunc(p.onRank[r], func(x int) bool { return x == e })
}

// layer returns a copy of the layer in its present form.
func (p *repair) layer() [][]int {
	out := make([][]int, len(p.replicas))
	for e, on := range p.replicas {
		out[e] = slices.Clone(on)
		slices.Sort(out[e])
	}
	return out
}
