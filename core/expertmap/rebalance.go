package expertmap

import (
	"math"
	"slices"
	"time"

	"nutmegnotch/core"
)

// Cost holds the costs of a change of map.
type Cost struct {
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes float64
	// StoreBytesPerSecond is the rate at which the weight store delivers weights
	// to the whole group.
	StoreBytesPerSecond float64
	// LoadSlowdown is the share of step time lost while weights are loaded.
	LoadSlowdown float64
	// SwitchDelay is the time for which no steps run at the switch.
	SwitchDelay time.Duration
}

// LoadTime returns the time to load the weights of this number of experts.
func (c Cost) LoadTime(moves int) time.Duration {
	return time.Duration(float64(moves) * c.ExpertBytes / c.StoreBytesPerSecond * float64(time.Second))
}

// lostTime returns the step time that a group loses to a change with this
// number of moves.
func (c Cost) lostTime(moves int) time.Duration {
	return time.Duration(float64(c.LoadTime(moves))*c.LoadSlowdown) + c.SwitchDelay
}

// CostBenefitPolicy adopts a new map when the step time that it saves over its
// expected lifetime exceeds the cost of the change. It implements
// core.Rebalancer.
type CostBenefitPolicy struct {
	Shape Shape
	Cost  Cost
	// MaxMapLifetime bounds the expected lifetime of a map.
	MaxMapLifetime time.Duration
	// SmoothingWeight is the weight of the newest window in the exponentially
	// smoothed load, above 0 and at most 1, when Plan is called every
	// SmoothingInterval. When Plan is called less often, the weight grows with the
	// time since the last call. If SmoothingInterval is 0, the weight is constant.
	SmoothingWeight   float64
	SmoothingInterval time.Duration
	// ResetThreshold is the share of load above which a shift between experts in
	// one window discards the smoothed load; 0 means never.
	ResetThreshold float64
	// MinGain is the least share of step time that a change has to save.
	MinGain float64

	smoothed       core.ExpertLoad
	loadingUntil   time.Time
	lastPlanAt     time.Time
	decayedElapsed float64
	decayedMoves   float64
}

var (
	_ core.Rebalancer = (*CostBenefitPolicy)(nil)
	_ core.Rebalancer = StaticPolicy{}
	_ core.Rebalancer = (*PeriodicPolicy)(nil)
)

// placementSlacks are the values of slack with which a new placement of a layer
// is tried. A larger slack needs fewer moves.
var placementSlacks = []float64{0, 0.05, 0.15, 0.3}

// meanGainShare is the mean share of the initial gain over the lifetime of a
// map: the gain is taken to fall linearly to zero as the popularity of experts
// changes.
const meanGainShare = 0.5

// maxLocalSearchSteps bounds the steps of the local search in a layer.
const maxLocalSearchSteps = 96

// Plan chooses the placement with the largest net gain for each layer. It adopts
// them if the total gain also covers the delay of the switch, but not while the
// weights of the previous change are being loaded.
func (p *CostBenefitPolicy) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	p.smoothed = Smooth(p.smoothed, load, p.windowWeight(now), p.ResetThreshold)
	lifetime := p.expectedLifetime(current, now)
	if now.Before(p.loadingUntil) {
		return current, false
	}
	total := 0.0
	for l := range p.smoothed {
		total += slices.Max(RankLoads(current.Replicas[l], p.smoothed[l], p.Shape.Ranks))
	}
	next := core.ExpertMap{Replicas: make([][][]int, p.Shape.Layers)}
	for l := range next.Replicas {
		next.Replicas[l] = p.bestLayer(current.Replicas[l], p.smoothed[l], total, lifetime)
	}
	moves := Moves(current, next)
	before, after := Skew(current, p.smoothed, p.Shape.Ranks), Skew(next, p.smoothed, p.Shape.Ranks)
	if before <= after || (before-after)/before < p.MinGain || p.netGain(lifetime, (before-after)/before, moves) <= 0 {
		return current, false
	}
	p.loadingUntil = now.Add(p.Cost.LoadTime(moves))
	p.decayedMoves += float64(moves)
	return next, true
}

// windowWeight returns the smoothing weight of the window that ends now.
func (p *CostBenefitPolicy) windowWeight(now time.Time) float64 {
	if p.SmoothingInterval <= 0 || p.lastPlanAt.IsZero() {
		return p.SmoothingWeight
	}
	return 1 - math.Pow(1-p.SmoothingWeight, max(1, float64(now.Sub(p.lastPlanAt))/float64(p.SmoothingInterval)))
}

// expectedLifetime returns how long a replica stays in place: the number of
// replicas divided by the recent rate of moves, and at most MaxMapLifetime. A
// policy that expected longer lifetimes than its own changes allow would change
// too often.
func (p *CostBenefitPolicy) expectedLifetime(m core.ExpertMap, now time.Time) time.Duration {
	if !p.lastPlanAt.IsZero() {
		d := now.Sub(p.lastPlanAt)
		decay := math.Exp(-float64(d) / float64(p.MaxMapLifetime))
		p.decayedElapsed = (p.decayedElapsed + float64(d)) * decay
		p.decayedMoves *= decay
	}
	p.lastPlanAt = now
	if p.decayedMoves < 1 {
		return p.MaxMapLifetime
	}
	lifetime := float64(ReplicaCount(m)) * p.decayedElapsed / p.decayedMoves
	return time.Duration(min(float64(p.MaxMapLifetime), max(lifetime, p.decayedElapsed/p.decayedMoves)))
}

// bestLayer returns the placement of a layer with the largest net gain. total is
// the step time of all layers in units of load.
func (p *CostBenefitPolicy) bestLayer(current [][]int, load []float64, total float64, lifetime time.Duration) [][]int {
	before := slices.Max(RankLoads(current, load, p.Shape.Ranks))
	best, gain := current, time.Duration(0)
	try := func(layer [][]int, slowest float64) {
		g := p.netGain(lifetime, (before-slowest)/total, layerMoves(current, layer)) + p.Cost.SwitchDelay
		if g > gain {
			best, gain = layer, g
		}
	}
	search := newLocalSearch(p.Shape, current, load)
	for i := 1; i <= maxLocalSearchSteps && search.improve(); i++ {
		if i&(i-1) == 0 || i%8 == 0 {
			try(search.layer(), slices.Max(search.rankLoads))
		}
	}
	for _, slack := range placementSlacks {
		layer := placeLayer(p.Shape, current, load, slack)
		try(layer, slices.Max(RankLoads(layer, load, p.Shape.Ranks)))
	}
	return best
}

// netGain returns the time gained, less the cost of the moves, when steps get
// shorter by a share. The gain starts when the weights have been loaded.
func (p *CostBenefitPolicy) netGain(lifetime time.Duration, share float64, moves int) time.Duration {
	left := lifetime - p.Cost.LoadTime(moves)
	if left <= 0 {
		return -p.Cost.lostTime(moves)
	}
	return time.Duration(float64(left)*share*meanGainShare) - p.Cost.lostTime(moves)
}

// StaticPolicy never changes the map. It implements core.Rebalancer.
type StaticPolicy struct{}

// Plan returns the current map.
func (StaticPolicy) Plan(current core.ExpertMap, _ core.ExpertLoad, _ time.Time) (core.ExpertMap, bool) {
	return current, false
}

// PeriodicPolicy computes a new placement at every interval from the newest
// window only. With KeepCurrent an expert stays on a rank that holds it if the
// load of that rank does not exceed the lower bound; without it the current map
// is ignored. It implements core.Rebalancer.
type PeriodicPolicy struct {
	Shape       Shape
	Interval    time.Duration
	KeepCurrent bool

	lastPlanAt time.Time
}

// Plan returns a new map if Interval has passed since the last one.
func (a *PeriodicPolicy) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	if !a.lastPlanAt.IsZero() && now.Sub(a.lastPlanAt) < a.Interval {
		return current, false
	}
	a.lastPlanAt = now
	if a.KeepCurrent {
		return Place(a.Shape, current, load, 0), true
	}
	none := core.ExpertMap{Replicas: make([][][]int, a.Shape.Layers)}
	for l := range none.Replicas {
		none.Replicas[l] = make([][]int, a.Shape.Experts)
	}
	return Place(a.Shape, none, load, 0), true
}

// Smooth returns the exponentially smoothed load after one more window. Loads
// are normalized to shares of their layer, so that windows of different length
// have the same weight. A layer in which more than resetThreshold of the load has
// shifted takes the load of the window alone; 0 disables this.
func Smooth(old, window core.ExpertLoad, weight, resetThreshold float64) core.ExpertLoad {
	out := make(core.ExpertLoad, len(window))
	for l := range window {
		out[l] = normalize(window[l])
		if old == nil || resetThreshold > 0 && loadDistance(old[l], out[l]) > resetThreshold {
			continue
		}
		for e := range out[l] {
			out[l][e] = weight*out[l][e] + (1-weight)*old[l][e]
		}
	}
	return out
}

func normalize(load []float64) []float64 {
	total := sum(load)
	out := make([]float64, len(load))
	for e, x := range load {
		if total > 0 {
			out[e] = x / total
		} else {
			out[e] = 1 / float64(len(load))
		}
	}
	return out
}

// loadDistance returns the share of load that shifted between experts.
func loadDistance(a, b []float64) float64 {
	d := 0.0
	for e := range a {
		d += max(0, a[e]-b[e])
	}
	return d
}
