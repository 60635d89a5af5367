package expertmap

import (
	"container/heap"
	"slices"

	"nutmegnotch/core"
)

// Shape holds the dimensions of a group. SlotsPerRank is the maximum number of
// experts that a rank holds in each layer.
type Shape struct {
	Ranks        int
	Layers       int
	Experts      int
	SlotsPerRank int
}

// EvenMap returns a round-robin placement that ignores load. Every rank holds at
// least one expert.
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

// RankLoads returns the load of each rank in one layer. The load of an expert is
// divided evenly among its replicas.
func RankLoads(replicas [][]int, load []float64, ranks int) []float64 {
	out := make([]float64, ranks)
	for e, on := range replicas {
		for _, r := range on {
			out[r] += load[e] / float64(len(on))
		}
	}
	return out
}

// Skew returns the load of the slowest rank divided by the mean load of all
// ranks. Layers run one after the other, so the slowest ranks of all layers are
// added up.
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

// SkewLowerBound returns a lower bound of the skew of any map whose experts
// divide their load evenly among their replicas. A layer whose slowest rank has
// load M needs at least ceil(load/M) replicas of each expert. The bound of the
// layer is the smallest M for which these replicas fit into all slots, and at
// least the mean. Whether the replicas can be packed without a slower rank is
// not considered, so the bound may be out of reach with more than one slot per
// rank.
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

func fits(s Shape, load []float64, maxLoad float64) bool {
	slots := 0
	for _, x := range load {
		n := max(1, int(x/maxLoad))
		if float64(n)*maxLoad < x {
			n++
		}
		if n > s.Ranks {
			return false
		}
		slots += n
	}
	return slots <= s.Ranks*s.SlotsPerRank
}

// expertHeap is a heap of experts by load per replica, highest first.
type expertHeap struct {
	load        []float64
	numReplicas []int
	order       []int
}

func (h *expertHeap) Len() int { return len(h.order) }
func (h *expertHeap) Less(i, j int) bool {
	return h.loadPerReplica(h.order[i]) > h.loadPerReplica(h.order[j])
}
func (h *expertHeap) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *expertHeap) Push(x any)    { h.order = append(h.order, x.(int)) }
func (h *expertHeap) Pop() any {
	x := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return x
}
func (h *expertHeap) loadPerReplica(e int) float64 { return h.load[e] / float64(h.numReplicas[e]) }

// replicaCounts gives every expert one replica and adds replicas of the experts
// with the highest load per replica, until all slots are used or no replica has
// more than maxLoadPerReplica.
func replicaCounts(s Shape, load []float64, slots int, maxLoadPerReplica float64) []int {
	h := &expertHeap{load: load, numReplicas: make([]int, s.Experts)}
	for e := range load {
		h.numReplicas[e] = 1
		h.order = append(h.order, e)
	}
	heap.Init(h)
	for used := s.Experts; used < slots; used++ {
		e := h.order[0]
		if h.numReplicas[e] >= s.Ranks || h.loadPerReplica(e) <= maxLoadPerReplica {
			break
		}
		h.numReplicas[e]++
		heap.Fix(h, 0)
	}
	return h.numReplicas
}

// Place returns a new placement of all layers. slack is the share by which the
// load of a rank may exceed the lower bound when that avoids a move from the
// current map.
func Place(s Shape, current core.ExpertMap, load core.ExpertLoad, slack float64) core.ExpertMap {
	m := core.ExpertMap{Replicas: make([][][]int, s.Layers)}
	for l := range m.Replicas {
		m.Replicas[l] = placeLayer(s, current.Replicas[l], load[l], slack)
	}
	return m
}

// replica is a replica that has to be placed. load is its share of the load of
// the expert.
type replica struct {
	expert int
	load   float64
}

// placeLayer places replicas in order of descending load (longest processing
// time first). A replica stays on a rank that already holds the expert if the
// load of that rank stays within the limit; else it goes to the least loaded
// rank with a free slot.
func placeLayer(s Shape, current [][]int, load []float64, slack float64) [][]int {
	bound := layerBound(s, load)
	limit := bound * (1 + slack)
	counts := replicaCounts(s, load, s.Ranks*s.SlotsPerRank, bound/4)
	var toPlace []replica
	for e, n := range counts {
		for range n {
			toPlace = append(toPlace, replica{e, load[e] / float64(n)})
		}
	}
	slices.SortStableFunc(toPlace, func(a, b replica) int {
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
	for _, x := range toPlace {
		if !p.placeOnHolder(x, current[x.expert], limit) {
			p.placeOnLeastLoaded(x)
		}
	}
	for e := range p.replicas {
		slices.Sort(p.replicas[e])
	}
	return p.replicas
}

// packing is the partial placement of a layer.
type packing struct {
	shape    Shape
	loads    []float64
	used     []int
	replicas [][]int
}

func (p *packing) hasRoom(rank, expert int) bool {
	return p.used[rank] < p.shape.SlotsPerRank && !slices.Contains(p.replicas[expert], rank)
}

func (p *packing) place(x replica, rank int) {
	p.replicas[x.expert] = append(p.replicas[x.expert], rank)
	p.used[rank]++
	p.loads[rank] += x.load
}

func (p *packing) placeOnHolder(x replica, holders []int, limit float64) bool {
	best := -1
	for _, r := range holders {
		if p.hasRoom(r, x.expert) && p.loads[r]+x.load <= limit && (best < 0 || p.loads[r] < p.loads[best]) {
			best = r
		}
	}
	if best >= 0 {
		p.place(x, best)
	}
	return best >= 0
}

// placeOnLeastLoaded places a replica on the least loaded rank that has room for
// it. It leaves out an additional replica that no rank has room for.
func (p *packing) placeOnLeastLoaded(x replica) {
	best := -1
	for r := range p.loads {
		if p.hasRoom(r, x.expert) && (best < 0 || p.loads[r] < p.loads[best]) {
			best = r
		}
	}
	if best >= 0 {
		p.place(x, best)
	}
}

// Moves returns the number of expert weights that ranks have to load to change
// from current to next.
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

// ReplicaCount returns the number of replicas of all experts in all layers.
func ReplicaCount(m core.ExpertMap) int {
	n := 0
	for _, layer := range m.Replicas {
		for _, on := range layer {
			n += len(on)
		}
	}
	return n
}
