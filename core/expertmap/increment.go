package expertmap

import "slices"

// Limits of the search for moves.
const (
	// minMoveGain is the least share by which a move has to lower the objective of
	// its set.
	minMoveGain = 0.002
	// maxMovesPerPlan bounds the moves of one plan.
	maxMovesPerPlan = 256
)

// IncrementalPlanner plans small changes of a layout. It limits the experts that
// a rank copies, since a change takes as long as the rank with the most copies.
type IncrementalPlanner struct {
	// SlotsPerRank is the number of experts of a set that a rank can hold.
	SlotsPerRank int
	// MaxCopiesPerRank is the maximum number of experts that a rank copies over all
	// sets. MaxCopiesPerSet is the maximum that it copies in one set; 0 means that
	// only MaxCopiesPerRank applies.
	MaxCopiesPerRank, MaxCopiesPerSet int
	// Slowdowns holds the factor by which each rank is slower than normal; nil means
	// that all ranks have normal speed.
	Slowdowns []float64
}

// setPlan is the planned placement of one set: the ranks that hold each expert
// and the number of experts on each rank.
type setPlan struct {
	expertLoad []float64
	holders    [][]int
	heldCount  []int
	slowdowns  []float64
	// rankLoads is the time of each rank, in units of the time at normal speed.
	rankLoads []float64
	// scratch and next are buffers that are reused for each candidate move.
	scratch []float64
	next    []int
}

func newSetPlan(l Layout, s int, load, slowdowns []float64) *setPlan {
	p := &setPlan{expertLoad: load, holders: make([][]int, len(load)), heldCount: make([]int, len(l)), slowdowns: slowdowns, rankLoads: make([]float64, len(l))}
	for r := range l {
		for _, e := range l[r][s] {
			p.holders[e] = append(p.holders[e], r)
			p.heldCount[r]++
		}
	}
	for e, on := range p.holders {
		for _, r := range on {
			p.rankLoads[r] += p.work(e, r, len(on))
		}
	}
	return p
}

// work returns the time that rank r spends on expert e when n ranks hold it.
func (s *setPlan) work(e, r, n int) float64 {
	w := s.expertLoad[e] / float64(n)
	if s.slowdowns != nil {
		w *= s.slowdowns[r]
	}
	return w
}

// move adds a replica of expert add on rank to, removes the one on rank from and
// removes the replica of expert drop on rank to. A negative value leaves out its
// part: with a negative to, only the replica on from is removed.
type move struct {
	add, to, from, drop int
	value               float64
}

// Plan returns a layout with less load on the most loaded ranks. It reports false
// when no move helps. load is by set and expert, as shares of the set.
func (p IncrementalPlanner) Plan(current Layout, load [][]float64) (Layout, bool) {
	sets := make([]*setPlan, len(load))
	bests := make([]move, len(load))
	c := newCopyCounts(p, len(load), len(current))
	for s := range load {
		sets[s] = newSetPlan(current, s, load[s], p.Slowdowns)
		bests[s] = p.bestMove(s, sets[s], c)
	}
	changed := false
	for range maxMovesPerPlan {
		i := indexOfBestMove(bests)
		best := bests[i]
		if best.value <= 0 {
			break
		}
		if best.to >= 0 && !c.allow(best.to, i) {
			// Moves in other sets have used up the copies of the rank since.
			bests[i] = p.bestMove(i, sets[i], c)
			continue
		}
		changed = true
		if best.to >= 0 {
			c.add(best.to, i)
		}
		sets[i].apply(best)
		bests[i] = p.bestMove(i, sets[i], c)
	}
	if !changed {
		return current, false
	}
	return toLayout(sets, len(current)), true
}

// copyCounts counts the experts that each rank copies, over all sets and by set.
type copyCounts struct {
	plan  IncrementalPlanner
	total []int
	bySet [][]int
}

func newCopyCounts(p IncrementalPlanner, sets, ranks int) *copyCounts {
	c := &copyCounts{plan: p, total: make([]int, ranks), bySet: make([][]int, sets)}
	for s := range c.bySet {
		c.bySet[s] = make([]int, ranks)
	}
	return c
}

// allow reports whether a rank may copy one more expert of a set.
func (c *copyCounts) allow(rank, set int) bool {
	return c.total[rank] < c.plan.MaxCopiesPerRank && (c.plan.MaxCopiesPerSet <= 0 || c.bySet[set][rank] < c.plan.MaxCopiesPerSet)
}

func (c *copyCounts) add(rank, set int) {
	c.total[rank]++
	c.bySet[set][rank]++
}

func indexOfBestMove(bests []move) int {
	best := 0
	for i := range bests {
		if bests[i].value > bests[best].value {
			best = i
		}
	}
	return best
}

func toLayout(sets []*setPlan, ranks int) Layout {
	out := make(Layout, ranks)
	for r := range out {
		out[r] = make([][]int, len(sets))
		for s := range sets {
			out[r][s] = []int{}
		}
	}
	for s, p := range sets {
		for e, on := range p.holders {
			for _, r := range on {
				out[r][s] = append(out[r][s], e)
			}
		}
	}
	return out
}

// bestMove returns the move in a set that lowers its objective most. Its value
// is 0 when no move reaches minMoveGain.
func (p IncrementalPlanner) bestMove(set int, s *setPlan, c *copyCounts) move {
	best := move{}
	hot := indexOfMax(s.rankLoads)
	now := s.objective(s.rankLoads)
	try := func(m move) {
		m.value = now - s.objectiveAfter(m)
		if m.value > minMoveGain*now && m.value > best.value {
			best = m
		}
	}
	for e, on := range s.holders {
		if !slices.Contains(on, hot) {
			continue
		}
		if len(on) > 1 {
			try(move{add: e, to: -1, from: hot, drop: -1})
		}
		for r := range s.rankLoads {
			if !c.allow(r, set) || s.rankLoads[r] >= s.rankLoads[hot] || slices.Contains(on, r) {
				continue
			}
			drop := -1
			if s.heldCount[r] >= p.SlotsPerRank {
				if drop = s.coldest(r); drop < 0 {
					continue
				}
			}
			try(move{add: e, to: r, from: -1, drop: drop})
			try(move{add: e, to: r, from: hot, drop: drop})
		}
	}
	return best
}

func indexOfMax(v []float64) int {
	best := 0
	for i, x := range v {
		if x > v[best] {
			best = i
		}
	}
	return best
}

// coldest returns the expert with the least load per replica among those on rank
// r that other ranks hold too, or -1.
func (s *setPlan) coldest(r int) int {
	best := -1
	for e, on := range s.holders {
		if len(on) < 2 || !slices.Contains(on, r) {
			continue
		}
		if best < 0 || s.expertLoad[e]/float64(len(on)) < s.expertLoad[best]/float64(len(s.holders[best])) {
			best = e
		}
	}
	return best
}

// objective returns the sum of the fourth powers of the rank loads, which is
// dominated by the most loaded ranks. Loads are relative to an even split, so
// that sets can be compared.
func (s *setPlan) objective(loads []float64) float64 {
	mean := sum(s.expertLoad) / float64(len(loads))
	if mean == 0 {
		return 0
	}
	total := 0.0
	for _, x := range loads {
		x /= mean
		total += x * x * x * x
	}
	return total
}

func (s *setPlan) objectiveAfter(m move) float64 {
	s.scratch = append(s.scratch[:0], s.rankLoads...)
	s.shiftLoads(s.scratch, m)
	return s.objective(s.scratch)
}

// shiftLoads applies the effect of a move to rank loads.
func (s *setPlan) shiftLoads(loads []float64, m move) {
	s.next = s.holdersAfter(s.next[:0], m)
	s.redistribute(loads, m.add, s.next)
	if m.drop >= 0 {
		s.next = without(s.next[:0], s.holders[m.drop], m.to)
		s.redistribute(loads, m.drop, s.next)
	}
}

// holdersAfter appends to out the ranks that hold the moved expert after a move.
func (s *setPlan) holdersAfter(out []int, m move) []int {
	out = without(out, s.holders[m.add], m.from)
	if m.to >= 0 {
		out = append(out, m.to)
	}
	return out
}

// without appends the elements of list other than x to out.
func without(out, list []int, x int) []int {
	for _, v := range list {
		if v != x {
			out = append(out, v)
		}
	}
	return out
}

func (s *setPlan) redistribute(loads []float64, e int, next []int) {
	for _, r := range s.holders[e] {
		loads[r] -= s.work(e, r, len(s.holders[e]))
	}
	for _, r := range next {
		loads[r] += s.work(e, r, len(next))
	}
}

func (s *setPlan) apply(m move) {
	s.shiftLoads(s.rankLoads, m)
	s.holders[m.add] = s.holdersAfter(nil, m)
	if m.from >= 0 {
		s.heldCount[m.from]--
	}
	if m.to >= 0 {
		s.heldCount[m.to]++
	}
	if m.drop >= 0 {
		s.holders[m.drop] = without(nil, s.holders[m.drop], m.to)
		s.heldCount[m.to]--
	}
}
