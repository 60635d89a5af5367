package expertmap

import "slices"

// Settings of the search for an increment.
const (
	// leastGain is the share of the objective that a single move has to improve.
	leastGain = 0.002
	// maxMoves bounds the moves of one increment.
	maxMoves = 64
)

// Increment plans small changes of a layout: a rank copies a few experts only,
// since a change takes as long as the rank with the most copies.
type Increment struct {
	// Places is the number of experts of a set that a rank can hold.
	Places int
	// MaxNew is the number of experts, over all sets, that a rank may copy.
	MaxNew int
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
	set, add, to, from, drop int
	value                    float64
}

// Plan returns a layout with less load on the most loaded ranks, and whether it
// differs from the current one. Load is by set and expert, as shares of the set.
func (p Increment) Plan(current Layout, load [][]float64) (Layout, bool) {
	sets := make([]*setPlan, len(load))
	for s := range load {
		sets[s] = newSetPlan(current, s, load[s], p.Paces)
	}
	copied := make([]int, len(current))
	changed := false
	for range maxMoves {
		best, ok := p.best(sets, copied)
		if !ok {
			break
		}
		changed = true
		if best.to >= 0 {
			copied[best.to]++
		}
		sets[best.set].apply(best)
	}
	if !changed {
		return current, false
	}
	return toLayout(sets, len(current)), true
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

// best returns the move that lowers the objective the most.
func (p Increment) best(sets []*setPlan, copied []int) (move, bool) {
	best := move{}
	found := false
	try := func(s *setPlan, m move, now float64) {
		m.value = now - s.objectiveAfter(m)
		if m.value > leastGain*now && (!found || m.value > best.value) {
			best, found = m, true
		}
	}
	for i, s := range sets {
		hot := indexOfMax(s.loads)
		now := s.objective(s.loads)
		for e, on := range s.holders {
			if !slices.Contains(on, hot) {
				continue
			}
			if len(on) > 1 {
				try(s, move{set: i, add: e, to: -1, from: hot, drop: -1}, now)
			}
			for r := range s.loads {
				if copied[r] >= p.MaxNew || s.loads[r] >= s.loads[hot] || slices.Contains(on, r) {
					continue
				}
				drop := -1
				if s.held[r] >= p.Places {
					if drop = s.coldest(r); drop < 0 {
						continue
					}
				}
				try(s, move{set: i, add: e, to: r, from: -1, drop: drop}, now)
				try(s, move{set: i, add: e, to: r, from: hot, drop: drop}, now)
			}
		}
	}
	return best, found
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
	loads := slices.Clone(s.loads)
	s.shift(loads, m)
	return s.objective(loads)
}

// shift changes the loads of ranks as a move does.
func (s *setPlan) shift(loads []float64, m move) {
	s.redistribute(loads, m.add, s.after(m))
	if m.drop >= 0 {
		s.redistribute(loads, m.drop, without(s.holders[m.drop], m.to))
	}
}

// after returns the holders of the moved expert after a move.
func (s *setPlan) after(m move) []int {
	on := slices.Clone(s.holders[m.add])
	if m.from >= 0 {
		on = without(on, m.from)
	}
	if m.to >= 0 {
		on = append(on, m.to)
	}
	return on
}

func without(list []int, x int) []int {
	out := make([]int, 0, len(list)+1)
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
	s.holders[m.add] = s.after(m)
	if m.from >= 0 {
		s.held[m.from]--
	}
	if m.to >= 0 {
		s.held[m.to]++
	}
	if m.drop >= 0 {
		s.holders[m.drop] = without(s.holders[m.drop], m.to)
		s.held[m.to]--
	}
}
