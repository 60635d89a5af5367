package expertmap

import "slices"

// Settings of the search for an increment.
const (
	// leastGain is the share of the objective that a single move has to improve.
	leastGain = 0.002
	// maxMoves bounds the moves of one increment.
	maxMoves = 256
)

// IncrementalPlanner plans small changes of a layout: a rank copies a few experts only,
// since a change takes as long as the rank with the most copies.
type IncrementalPlanner struct {
	// SlotsPerRank is the number of experts of a set that a rank can hold.
	SlotsPerRank int
	// MaxCopiesPerRank is the number of experts, over all sets, that a rank may copy, and
	// MaxCopiesPerSet the same for each set; 0 stands for no limit of its own.
	MaxCopiesPerRank, MaxCopiesPerSet int
	// Paces tell how many times slower than usual each rank works; nil stands
	// for the usual pace.
	Paces []float64
}

// setPlan is the plan of one set.
type setPlan struct {
	load    []float64
	holders [][]int
	held    []int
	paces   []float64
	// loads is the work of each rank, in time at the usual pace.
	loads []float64
	// scratch and next are buffers of the search.
	scratch []float64
	next    []int
}

func newSetPlan(l Layout, s int, load, paces []float64) *setPlan {
	p := &setPlan{load: load, holders: make([][]int, len(load)), held: make([]int, len(l)), paces: paces, loads: make([]float64, len(l))}
	for r := range l {
		for _, e := range l[r][s] {
			p.holders[e] = append(p.holders[e], r)
			p.held[r]++
		}
	}
	for e, on := range p.holders {
		for _, r := range on {
			p.loads[r] += p.work(e, r, len(on))
		}
	}
	return p
}

// work is the time that rank r spends on expert e when n ranks hold it.
func (s *setPlan) work(e, r, n int) float64 {
	w := s.load[e] / float64(n)
	if s.paces != nil {
		w *= s.paces[r]
	}
	return w
}

// move is one step of a plan: expert add comes to rank to. A negative from keeps
// all replicas of it; a negative drop makes no room at to. With a negative to,
// the replica at from is dropped only.
type move struct {
	add, to, from, drop int
	value               float64
}

// Plan returns a layout with less load on the most loaded ranks, and whether it
// differs from the current one. Load is by set and expert, as shares of the set.
func (p IncrementalPlanner) Plan(current Layout, load [][]float64) (Layout, bool) {
	sets := make([]*setPlan, len(load))
	bests := make([]move, len(load))
	c := newCopies(p, len(load), len(current))
	for s := range load {
		sets[s] = newSetPlan(current, s, load[s], p.Paces)
		bests[s] = p.best(s, sets[s], c)
	}
	changed := false
	for range maxMoves {
		i := indexOfBest(bests)
		best := bests[i]
		if best.value <= 0 {
			break
		}
		if best.to >= 0 && !c.allow(best.to, i) {
			// The rank has copied its part for another set meanwhile.
			bests[i] = p.best(i, sets[i], c)
			continue
		}
		changed = true
		if best.to >= 0 {
			c.add(best.to, i)
		}
		sets[i].apply(best)
		bests[i] = p.best(i, sets[i], c)
	}
	if !changed {
		return current, false
	}
	return toLayout(sets, len(current)), true
}

// copies counts the experts that each rank copies, over all sets and by set.
type copies struct {
	plan  IncrementalPlanner
	total []int
	bySet [][]int
}

func newCopies(p IncrementalPlanner, sets, ranks int) *copies {
	c := &copies{plan: p, total: make([]int, ranks), bySet: make([][]int, sets)}
	for s := range c.bySet {
		c.bySet[s] = make([]int, ranks)
	}
	return c
}

// allow reports whether a rank may copy one more expert of a set.
func (c *copies) allow(rank, set int) bool {
	return c.total[rank] < c.plan.MaxCopiesPerRank && (c.plan.MaxCopiesPerSet <= 0 || c.bySet[set][rank] < c.plan.MaxCopiesPerSet)
}

func (c *copies) add(rank, set int) {
	c.total[rank]++
	c.bySet[set][rank]++
}

func indexOfBest(bests []move) int {
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

// best returns the move in a set that lowers its objective the most. Its value is
// 0 when no move lowers it enough.
func (p IncrementalPlanner) best(set int, s *setPlan, c *copies) move {
	best := move{}
	hot := indexOfMax(s.loads)
	now := s.objective(s.loads)
	try := func(m move) {
		m.value = now - s.objectiveAfter(m)
		if m.value > leastGain*now && m.value > best.value {
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
		for r := range s.loads {
			if !c.allow(r, set) || s.loads[r] >= s.loads[hot] || slices.Contains(on, r) {
				continue
			}
			drop := -1
			if s.held[r] >= p.SlotsPerRank {
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

// coldest returns the expert with the least load per replica at a rank that
// other ranks hold too, or -1.
func (s *setPlan) coldest(r int) int {
	best := -1
	for e, on := range s.holders {
		if len(on) < 2 || !slices.Contains(on, r) {
			continue
		}
		if best < 0 || s.load[e]/float64(len(on)) < s.load[best]/float64(len(s.holders[best])) {
			best = e
		}
	}
	return best
}

// objective grows steeply with the load of the most loaded ranks. It is in units
// of an even split, so that sets compare.
func (s *setPlan) objective(loads []float64) float64 {
	mean := sum(s.load) / float64(len(loads))
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
	s.scratch = append(s.scratch[:0], s.loads...)
	s.shift(s.scratch, m)
	return s.objective(s.scratch)
}

// shift changes the loads of ranks as a move does.
func (s *setPlan) shift(loads []float64, m move) {
	s.next = s.after(s.next[:0], m)
	s.redistribute(loads, m.add, s.next)
	if m.drop >= 0 {
		s.next = without(s.next[:0], s.holders[m.drop], m.to)
		s.redistribute(loads, m.drop, s.next)
	}
}

// after appends the holders of the moved expert after a move to out.
func (s *setPlan) after(out []int, m move) []int {
	out = without(out, s.holders[m.add], m.from)
	if m.to >= 0 {
		out = append(out, m.to)
	}
	return out
}

// without appends a list without x to out.
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
	s.shift(s.loads, m)
	s.holders[m.add] = s.after(nil, m)
	if m.from >= 0 {
		s.held[m.from]--
	}
	if m.to >= 0 {
		s.held[m.to]++
	}
	if m.drop >= 0 {
		s.holders[m.drop] = without(nil, s.holders[m.drop], m.to)
		s.held[m.to]--
	}
}
