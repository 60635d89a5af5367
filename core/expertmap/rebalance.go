package expertmap

import (
	"math"
	"slices"
	"time"

	"nutmegnotch/core"
)

// Cost tells what a change of map costs a group.
type Cost struct {
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes float64
	// StoreBytesPerSecond is the rate at which the weight store feeds the group.
	StoreBytesPerSecond float64
	// LoadSlowdown is the share of step time lost while weights are loaded.
	LoadSlowdown float64
	// SwitchDelay is the time for which steps stand still at the switch.
	SwitchDelay time.Duration
}

// LoadTime returns how long the weights of a number of experts take to load.
func (c Cost) LoadTime(moves int) time.Duration {
	return time.Duration(float64(moves) * c.ExpertBytes / c.StoreBytesPerSecond * float64(time.Second))
}

// lost returns the time that a group loses by a change with this many moves.
func (c Cost) lost(moves int) time.Duration {
	return time.Duration(float64(c.LoadTime(moves))*c.LoadSlowdown) + c.SwitchDelay
}

// CostBenefitPolicy adopts a new map when the step time that it saves over its expected
// life exceeds the cost of the change. It is a core.Rebalancer.
type CostBenefitPolicy struct {
	Shape Shape
	Cost  Cost
	// MaxMapLifetime bounds the expected life of a map.
	MaxMapLifetime time.Duration
	// SmoothingWeight is the weight of the newest window, above 0 and at most 1, when
	// the policy is asked every SmoothingInterval. When it is asked less often,
	// the weight grows with the time since it was last asked. Without a
	// SmoothingInterval the weight is always the same.
	SmoothingWeight   float64
	SmoothingInterval time.Duration
	// ResetThreshold is the share of load that has to shift between experts in
	// one window for the smoothed load to be dropped; 0 means never.
	ResetThreshold float64
	// MinGain is the share of step time that a change has to save at least.
	MinGain float64

	smooth  core.ExpertLoad
	busy    time.Time
	last    time.Time
	elapsed float64
	moved   float64
}

var (
	_ core.Rebalancer = (*CostBenefitPolicy)(nil)
	_ core.Rebalancer = StaticPolicy{}
	_ core.Rebalancer = (*PeriodicPolicy)(nil)
)

// slacks are the shares above the lower bound at which a new placement of a
// layer is tried. A larger slack needs fewer moves.
var slacks = []float64{0, 0.05, 0.15, 0.3}

// meanGain is the mean of a gain over the life of a map when it falls evenly to
// zero as the popularity of experts moves on.
const meanGain = 0.5

// maxRepairs bounds the single moves that are tried for a layer.
const maxRepairs = 96

// Plan chooses for each layer the placement with the largest net gain and
// adopts them when the gain also covers the delay of the switch.
func (p *CostBenefitPolicy) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	p.smooth = Smooth(p.smooth, load, p.weight(now), p.ResetThreshold)
	life := p.expectedLife(current, now)
	if now.Before(p.busy) {
		return current, false
	}
	total := 0.0
	for l := range p.smooth {
		total += slices.Max(RankLoads(current.Replicas[l], p.smooth[l], p.Shape.Ranks))
	}
	next := core.ExpertMap{Replicas: make([][][]int, p.Shape.Layers)}
	for l := range next.Replicas {
		next.Replicas[l] = p.bestLayer(current.Replicas[l], p.smooth[l], total, life)
	}
	moves := Moves(current, next)
	before, after := Skew(current, p.smooth, p.Shape.Ranks), Skew(next, p.smooth, p.Shape.Ranks)
	if before <= after || (before-after)/before < p.MinGain || p.net(life, (before-after)/before, moves) <= 0 {
		return current, false
	}
	p.busy = now.Add(p.Cost.LoadTime(moves))
	p.moved += float64(moves)
	return next, true
}

// weight returns the weight of a window that was asked for now.
func (p *CostBenefitPolicy) weight(now time.Time) float64 {
	if p.SmoothingInterval <= 0 || p.last.IsZero() {
		return p.SmoothingWeight
	}
	return 1 - math.Pow(1-p.SmoothingWeight, max(1, float64(now.Sub(p.last))/float64(p.SmoothingInterval)))
}

// expectedLife is how long a replica stays where it is put: the number of
// replicas over the recent rate of moves, and at most Life. A policy that
// counted on longer lives than its own changes allow would change too often.
func (p *CostBenefitPolicy) expectedLife(m core.ExpertMap, now time.Time) time.Duration {
	if !p.last.IsZero() {
		d := now.Sub(p.last)
		keep := math.Exp(-float64(d) / float64(p.MaxMapLifetime))
		p.elapsed = (p.elapsed + float64(d)) * keep
		p.moved *= keep
	}
	p.last = now
	if p.moved < 1 {
		return p.MaxMapLifetime
	}
	life := float64(ReplicaCount(m)) * p.elapsed / p.moved
	return time.Duration(min(float64(p.MaxMapLifetime), max(life, p.elapsed/p.moved)))
}

// bestLayer returns the placement of a layer with the largest net gain; total
// is the step time of all layers in units of load.
func (p *CostBenefitPolicy) bestLayer(current [][]int, load []float64, total float64, life time.Duration) [][]int {
	before := slices.Max(RankLoads(current, load, p.Shape.Ranks))
	best, gain := current, time.Duration(0)
	try := func(layer [][]int, slowest float64) {
		g := p.net(life, (before-slowest)/total, layerMoves(current, layer)) + p.Cost.SwitchDelay
		if g > gain {
			best, gain = layer, g
		}
	}
	r := newRepair(p.Shape, current, load)
	for i := 1; i <= maxRepairs && r.step(); i++ {
		if i&(i-1) == 0 || i%8 == 0 {
			try(r.layer(), slices.Max(r.loads))
		}
	}
	for _, slack := range slacks {
		layer := placeLayer(p.Shape, current, load, slack)
		try(layer, slices.Max(RankLoads(layer, load, p.Shape.Ranks)))
	}
	return best
}

// net returns the time gained when steps get shorter by a share. The gain
// starts when the weights have been loaded.
func (p *CostBenefitPolicy) net(life time.Duration, share float64, moves int) time.Duration {
	left := life - p.Cost.LoadTime(moves)
	if left <= 0 {
		return -p.Cost.lost(moves)
	}
	return time.Duration(float64(left)*share*meanGain) - p.Cost.lost(moves)
}

// StaticPolicy never changes the map.
type StaticPolicy struct{}

// Plan returns the current map.
func (StaticPolicy) Plan(current core.ExpertMap, _ core.ExpertLoad, _ time.Time) (core.ExpertMap, bool) {
	return current, false
}

// PeriodicPolicy places all experts anew at every interval, from the newest window
// alone. With KeepCurrent an expert stays on a rank that holds it as long as
// that rank does not become slower than the bound; else the current map does
// not count.
type PeriodicPolicy struct {
	Shape       Shape
	Interval    time.Duration
	KeepCurrent bool

	last time.Time
}

// Plan returns a new map once per interval.
func (a *PeriodicPolicy) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	if !a.last.IsZero() && now.Sub(a.last) < a.Interval {
		return current, false
	}
	a.last = now
	if a.KeepCurrent {
		return Place(a.Shape, current, load, 0), true
	}
	none := core.ExpertMap{Replicas: make([][][]int, a.Shape.Layers)}
	for l := range none.Replicas {
		none.Replicas[l] = make([][]int, a.Shape.Experts)
	}
	return Place(a.Shape, none, load, 0), true
}

// Smooth joins a window with the smoothed load before it. Loads are shares of
// their layer, so that windows of different length count alike.
func Smooth(old, window core.ExpertLoad, weight, jump float64) core.ExpertLoad {
	out := make(core.ExpertLoad, len(window))
	for l := range window {
		out[l] = shares(window[l])
		if old == nil || jump > 0 && distance(old[l], out[l]) > jump {
			continue
		}
		for e := range out[l] {
			out[l][e] = weight*out[l][e] + (1-weight)*old[l][e]
		}
	}
	return out
}

func shares(load []float64) []float64 {
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

// distance is the share of load that shifted between experts.
func distance(a, b []float64) float64 {
	d := 0.0
	for e := range a {
		d += max(0, a[e]-b[e])
	}
	return d
}
