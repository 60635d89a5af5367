package expertmap

import (
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

// Policy adopts a new map when the step time that it saves over its expected
// life exceeds the cost of the change. It is a core.Rebalancer.
type Policy struct {
	Shape Shape
	Cost  Cost
	// Life is the expected life of a map.
	Life time.Duration
	// Smoothing is the weight of the newest window, above 0 and at most 1.
	Smoothing float64
	// JumpDistance is the share of load that has to shift between experts in
	// one window for the smoothed load to be dropped; 0 means never.
	JumpDistance float64

	smooth core.ExpertLoad
	busy   time.Time
}

var (
	_ core.Rebalancer = (*Policy)(nil)
	_ core.Rebalancer = Fixed{}
	_ core.Rebalancer = (*Always)(nil)
)

// slacks are the shares above the lower bound at which Place is tried. A larger
// slack needs fewer moves.
var slacks = []float64{0, 0.05, 0.15, 0.3}

// Plan returns the candidate with the largest net gain, when there is one.
func (p *Policy) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	p.smooth = Smooth(p.smooth, load, p.Smoothing, p.JumpDistance)
	if now.Before(p.busy) {
		return current, false
	}
	best, gain, bestMoves := current, time.Duration(0), 0
	before := Skew(current, p.smooth, p.Shape.Ranks)
	for _, slack := range slacks {
		m := Place(p.Shape, current, p.smooth, slack)
		moves := Moves(current, m)
		if g := p.net(before, Skew(m, p.smooth, p.Shape.Ranks), moves); g > gain {
			best, gain, bestMoves = m, g, moves
		}
	}
	if gain <= 0 {
		return current, false
	}
	p.busy = now.Add(p.Cost.LoadTime(bestMoves))
	return best, true
}

// net returns the time gained over the life of a map. The gain starts when the
// weights have been loaded.
func (p *Policy) net(before, after float64, moves int) time.Duration {
	life := p.Life - p.Cost.LoadTime(moves)
	if life <= 0 || before <= after {
		return 0
	}
	return time.Duration(float64(life)*(before-after)/before) - p.Cost.lost(moves)
}

// Fixed never changes the map.
type Fixed struct{}

// Plan returns the current map.
func (Fixed) Plan(current core.ExpertMap, _ core.ExpertLoad, _ time.Time) (core.ExpertMap, bool) {
	return current, false
}

// Always places all experts anew at every interval, from the newest window
// alone and without regard to the current map.
type Always struct {
	Shape    Shape
	Interval time.Duration

	last time.Time
}

// Plan returns a new map once per interval.
func (a *Always) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	if !a.last.IsZero() && now.Sub(a.last) < a.Interval {
		return current, false
	}
	a.last = now
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
