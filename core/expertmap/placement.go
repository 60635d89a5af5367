package expertmap

import (
	"container/heap"
	"slices"

	"nutmegnotch/core"
)

// Shape is the size of a group. SlotsPerRank bounds the experts that a rank
// holds in each layer.
type Shape struct {
	Ranks        int
	Layers       int
	Experts      int
	SlotsPerRank int
}

// EvenMap places experts without knowledge of load: the slots of a layer are
// dealt out to the experts in turn.
func EvenMap(s Shape) core.ExpertMap {
	m := core.ExpertMap{Replicas: make([][][]int, s.Layers)}
	slots := max(s.Experts, s.Ranks)
	for l := range m.Replicas {
		m.Replicas[l] = make([][]int, s.Experts)
		for i := range slots {
			e := i % s.Experts
			m.Replicas[l][e] = append(m.Replicas[l][e], i%s.Ranks)
		}
	}
	return m
}

// RankLoads returns the load of each rank in one layer.
func RankLoads(replicas [][]int, load []float64, ranks int) []float64 {
	out := make([]float64, ranks)
	for e, on := range replicas {
		for _, r := range on {
			out[r] += load[e] / float64(len(on))
		}
	}
	return out
}

// Skew returns the time of the slowest rank over the mean time of all ranks.
// Layers are passed one after the other, so their slowest ranks add up.
func Skew(m core.ExpertMap, load core.ExpertLoad, ranks int) float64 {
	slowest, mean := 0.0, 0.0
	for l := range load {
		loads := RankLoads(m.Replicas[l], load[l], ranks)
		slowest += slices.Max(loads)
		mean += sum(loads) / float64(ranks)
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

func sum(v []float64) float64 {
	t := 0.0
	for _, x := range v {
		t += x
	}
	return t
}

// SkewLowerBound returns a lower bound of the skew that any map with whole experts and
// evenly divided replicas can reach. A layer whose slowest rank has load M needs
// at least ceil(load/M) replicas of each expert; the least M whose replicas fit
// into all slots, and never less than the mean, bounds the layer. Whether the
// replicas can be packed without a slower rank is not considered, so the bound
// may not be reachable with more than one slot per rank.
func SkewLowerBound(s Shape, load core.ExpertLoad) float64 {
	slowest, mean := 0.0, 0.0
	for l := range load {
		m := sum(load[l]) / float64(s.Ranks)
		slowest += layerBound(s, load[l])
		mean += m
	}
	if mean == 0 {
		return 1
	}
	return slowest / mean
}

func layerBound(s Shape, load []float64) float64 {
	low, high := sum(load)/float64(s.Ranks), slices.Max(load)
	if low >= high || fits(s, load, low) {
		return low
	}
	const rounds = 40
	for range rounds {
		mid := (low + high) / 2
		if fits(s, load, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

func fits(s Shape, load []float64, most float64) bool {
	slots := 0
	for _, x := range load {
		n := max(1, int(x/most))
		if float64(n)*most < x {
			n++
		}
		if n > s.Ranks {
			return false
		}
		slots += n
	}
	return slots <= s.Ranks*s.SlotsPerRank
}

// hotter orders experts by load per replica, hottest first.
type hotter struct {
	load   []float64
	copies []int
	order  []int
}

func (h *hotter) Len() int           { return len(h.order) }
func (h *hotter) Less(i, j int) bool { return h.piece(h.order[i]) > h.piece(h.order[j]) }
func (h *hotter) Swap(i, j int)      { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *hotter) Push(x any)         { h.order = append(h.order, x.(int)) }
func (h *hotter) Pop() any {
	x := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return x
}
func (h *hotter) piece(e int) float64 { return h.load[e] / float64(h.copies[e]) }

// replicaCounts gives every expert one replica, and the hottest experts more
// until slots are used up or no piece is larger than enough.
func replicaCounts(s Shape, load []float64, slots int, enough float64) []int {
	h := &hotter{load: load, copies: make([]int, s.Experts)}
	for e := range load {
		h.copies[e] = 1
		h.order = append(h.order, e)
	}
	heap.Init(h)
	for used := s.Experts; used < slots; used++ {
		e := h.order[0]
		if h.copies[e] >= s.Ranks || h.piece(e) <= enough {
			break
		}
		h.copies[e]++
		heap.Fix(h, 0)
	}
	return h.copies
}

// Place places the experts of all layers. slack is the share by which a rank
// may exceed the lower bound when that saves a move from the current map.
func Place(s Shape, current core.ExpertMap, load core.ExpertLoad, slack float64) core.ExpertMap {
	m := core.ExpertMap{Replicas: make([][][]int, s.Layers)}
	for l := range m.Replicas {
		m.Replicas[l] = placeLayer(s, current.Replicas[l], load[l], slack)
	}
	return m
}

// piece is one replica that has to be placed.
type piece struct {
	expert int
	load   float64
}

// placeLayer places pieces in order of falling load (longest processing time
// first). A piece stays on a rank that holds its expert already while that rank
// stays below the limit; else it goes to the least loaded rank with a free slot.
func placeLayer(s Shape, current [][]int, load []float64, slack float64) [][]int {
	bound := layerBound(s, load)
	limit := bound * (1 + slack)
	counts := replicaCounts(s, load, s.Ranks*s.SlotsPerRank, bound/4)
	var pieces []piece
	for e, n := range counts {
		for range n {
			pieces = append(pieces, piece{e, load[e] / float64(n)})
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int {
		switch {
		case a.load > b.load:
			return -1
		case a.load < b.load:
			return 1
		default:
			return a.expert - b.expert
		}
	})
	p := &packing{shape: s, loads: make([]float64, s.Ranks), used: make([]int, s.Ranks), replicas: make([][]int, s.Experts)}
	for _, x := range pieces {
		if !p.keep(x, current[x.expert], limit) {
			p.least(x)
		}
	}
	for e := range p.replicas {
		slices.Sort(p.replicas[e])
	}
	return p.replicas
}

// packing is a layer that is being placed.
type packing struct {
	shape    Shape
	loads    []float64
	used     []int
	replicas [][]int
}

func (p *packing) free(rank, expert int) bool {
	return p.used[rank] < p.shape.SlotsPerRank && !slices.Contains(p.replicas[expert], rank)
}

func (p *packing) put(x piece, rank int) {
	p.replicas[x.expert] = append(p.replicas[x.expert], rank)
	p.used[rank]++
	p.loads[rank] += x.load
}

func (p *packing) keep(x piece, holders []int, limit float64) bool {
	best := -1
	for _, r := range holders {
		if p.free(r, x.expert) && p.loads[r]+x.load <= limit && (best < 0 || p.loads[r] < p.loads[best]) {
			best = r
		}
	}
	if best >= 0 {
		p.put(x, best)
	}
	return best >= 0
}

// least puts a piece on the least loaded rank that may hold it. A further
// replica that no rank may hold is left out.
func (p *packing) least(x piece) {
	best := -1
	for r := range p.loads {
		if p.free(r, x.expert) && (best < 0 || p.loads[r] < p.loads[best]) {
			best = r
		}
	}
	if best >= 0 {
		p.put(x, best)
	}
}

// Moves returns how many expert weights ranks have to load for the next map.
func Moves(current, next core.ExpertMap) int {
	n := 0
	for l := range next.Replicas {
		n += layerMoves(current.Replicas[l], next.Replicas[l])
	}
	return n
}

func layerMoves(current, next [][]int) int {
	n := 0
	for e, on := range next {
		for _, r := range on {
			if !slices.Contains(current[e], r) {
				n++
			}
		}
	}
	return n
}

// ReplicaCount returns the number of experts that all ranks hold together.
func ReplicaCount(m core.ExpertMap) int {
	n := 0
	for _, layer := range m.Replicas {
		for _, on := range layer {
			n += len(on)
		}
	}
	return n
}
