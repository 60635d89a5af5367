package expertmap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
)

// Guards against maps that lose an expert, exceed the slots of a rank, place an
// expert on one rank twice or beat the lower bound.
func TestPlaceKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(1, 20).Draw(t, "ranks"), Layers: 1, SlotsPerRank: rapid.IntRange(1, 4).Draw(t, "slots")}
		s.Experts = rapid.IntRange(1, s.Ranks*s.SlotsPerRank).Draw(t, "experts")
		load := core.ExpertLoad{rapid.SliceOfN(rapid.Float64Range(0, 1000), s.Experts, s.Experts).Draw(t, "load")}
		m := Place(s, EvenMap(s), load, rapid.Float64Range(0, 1).Draw(t, "slack"))
		used := make([]int, s.Ranks)
		for e, on := range m.Replicas[0] {
			if len(on) == 0 || len(slices.Compact(slices.Clone(on))) != len(on) {
				t.Fatalf("expert %d is on ranks %v", e, on)
			}
			for _, r := range on {
				used[r]++
			}
		}
		if got := slices.Max(used); got > s.SlotsPerRank {
			t.Fatalf("experts on one rank: got %d, want at most %d", got, s.SlotsPerRank)
		}
		if got, bound := Skew(m, load, s.Ranks), Bound(s, load); got < bound-1e-9 || bound < 1-1e-9 {
			t.Fatalf("skew: got %v, want at least the bound %v", got, bound)
		}
	})
}

// Guards against a map that is adopted although loading it costs more than it
// saves, and against a gain that is passed over.
func TestPolicyWeighsCost(t *testing.T) {
	s := Shape{Ranks: 8, Layers: 1, Experts: 8, SlotsPerRank: 2}
	load := core.ExpertLoad{{80, 10, 10, 10, 10, 10, 10, 10}}
	for _, c := range []struct {
		rate float64
		want bool
	}{{1e9, true}, {1e5, false}} {
		p := &Policy{Shape: s, Cost: Cost{ExpertBytes: 1e8, StoreBytesPerSecond: c.rate}, Life: time.Minute, Smoothing: 1}
		if _, got := p.Plan(EvenMap(s), load, time.Time{}); got != c.want {
			t.Errorf("adopted at %g bytes/s: got %v, want %v", c.rate, got, c.want)
		}
	}
}

// day is the popularity of experts through a day, from a seed.
type day struct {
	rng   *rand.Rand
	base  [][]float64
	swing [][]float64
	phase [][]float64
	jumps []int
}

const (
	dayWindow  = time.Minute
	dayWindows = 24 * 60
	dayTokens  = 2e6
)

func newDay(seed uint64, s Shape) *day {
	d := &day{rng: rand.New(rand.NewPCG(seed, 7))}
	for range s.Layers {
		var base, swing, phase []float64
		for range s.Experts {
			base = append(base, d.rng.NormFloat64()*0.7)
			swing = append(swing, d.rng.Float64()*0.8)
			phase = append(phase, d.rng.Float64()*2*math.Pi)
		}
		d.base, d.swing, d.phase = append(d.base, base), append(d.swing, swing), append(d.phase, phase)
	}
	for range 3 {
		d.jumps = append(d.jumps, 60+d.rng.IntN(dayWindows-120))
	}
	return d
}

// window returns the load of one window: slow drift, sampling noise and, at a
// jump, a new popularity for an eighth of the experts.
func (d *day) window(n int) core.ExpertLoad {
	load := make(core.ExpertLoad, len(d.base))
	for l := range load {
		if slices.Contains(d.jumps, n) {
			for range len(d.base[l]) / 8 {
				d.base[l][d.rng.IntN(len(d.base[l]))] = d.rng.NormFloat64()*0.7 + 1
			}
		}
		for e := range d.base[l] {
			angle := 2*math.Pi*float64(n)/dayWindows + d.phase[l][e]
			load[l] = append(load[l], math.Exp(d.base[l][e]+d.swing[l][e]*math.Sin(angle)))
		}
		scale := dayTokens / sum(load[l])
		for e, x := range load[l] {
			x *= scale
			load[l][e] = max(0, x+math.Sqrt(x)*d.rng.NormFloat64())
		}
	}
	return load
}

// result is one simulated day.
type result struct {
	skew, worst, bound, movedGB, delayed, replicaGB, changes, steps float64
}

const (
	stepTime = 25 * time.Millisecond
	gigabyte = 1e9
)

// simulate runs a day. A step takes 25 ms times its skew, more while weights
// are loaded; the map takes effect once they are.
func simulate(seed uint64, s Shape, c Cost, r core.Rebalancer) result {
	d := newDay(seed, s)
	m, next := EvenMap(s), core.ExpertMap{}
	var ready time.Duration
	loading := false
	var out result
	for n := range dayWindows {
		load, now := d.window(n), time.Duration(n)*dayWindow
		usable := dayWindow
		if loading && now >= ready {
			m, loading = next, false
			usable -= c.SwitchDelay
			out.delayed += float64(c.SwitchDelay) / float64(stepTime)
		}
		skew := Skew(m, load, s.Ranks)
		slow := 1.0
		if loading {
			slow = 1 + c.LoadSlowdown*min(1, float64(ready-now)/float64(dayWindow))
		}
		steps := float64(usable) / (float64(stepTime) * skew * slow)
		if loading {
			out.delayed += steps * min(1, float64(ready-now)/float64(dayWindow))
		}
		out.steps += steps
		out.skew += skew / dayWindows
		out.bound += Bound(s, load) / dayWindows
		out.worst = max(out.worst, skew)
		out.replicaGB += float64(ReplicaCount(m)-s.Experts*s.Layers) * c.ExpertBytes / gigabyte / dayWindows
		if loading {
			continue
		}
		if p, ok := r.Plan(m, load, time.Unix(0, 0).Add(now)); ok {
			moves := Moves(m, p)
			next, loading, ready = p, true, now+dayWindow+c.LoadTime(moves)
			out.movedGB += float64(moves) * c.ExpertBytes / gigabyte
			out.changes++
		}
	}
	return out
}

// BenchmarkRebalanceDay compares the policy with both baselines and the lower
// bounds over five seeds in one run.
func BenchmarkRebalanceDay(b *testing.B) {
	for _, slots := range []int{1, 2} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			benchmarkPolicies(b, Shape{Ranks: 128, Layers: 4, Experts: 64, SlotsPerRank: slots})
		})
	}
}

// asked asks a policy at an interval only, with the newest window.
type asked struct {
	core.Rebalancer
	interval time.Duration
	last     time.Time
}

func (a *asked) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	if !a.last.IsZero() && now.Sub(a.last) < a.interval {
		return current, false
	}
	a.last = now
	return a.Rebalancer.Plan(current, load, now)
}

func benchmarkPolicies(b *testing.B, s Shape) {
	c := Cost{ExpertBytes: 44e6, StoreBytesPerSecond: 1e9, LoadSlowdown: 0.05, SwitchDelay: 0}
	newPolicy := func(smoothing, minGain float64) core.Rebalancer {
		return &Policy{Shape: s, Cost: c, Life: time.Hour, Smoothing: smoothing, SmoothingInterval: time.Minute,
			JumpDistance: 0.15, MinGain: minGain}
	}
	tenMinutes := func(r core.Rebalancer) core.Rebalancer { return &asked{Rebalancer: r, interval: 10 * time.Minute} }
	policies := []struct {
		name string
		make func() core.Rebalancer
	}{
		{"fixed", func() core.Rebalancer { return Fixed{} }},
		{"every_10_min", func() core.Rebalancer { return &Always{Shape: s, Interval: 10 * time.Minute} }},
		{"every_10_min_from_current", func() core.Rebalancer {
			return &Always{Shape: s, Interval: 10 * time.Minute, KeepCurrent: true}
		}},
		{"policy_10_min", func() core.Rebalancer { return tenMinutes(newPolicy(0.3, 0)) }},
		{"policy_10_min_gain_1", func() core.Rebalancer { return tenMinutes(newPolicy(0.3, 0.01)) }},
		{"policy_1_min", func() core.Rebalancer { return newPolicy(0.3, 0) }},
		{"policy_1_min_gain_0.5", func() core.Rebalancer { return newPolicy(0.3, 0.005) }},
		{"policy_1_min_gain_1", func() core.Rebalancer { return newPolicy(0.3, 0.01) }},
	}
	var baseline []result
	for seed := range uint64(daySeeds) {
		baseline = append(baseline, simulate(seed+1, s, c, &Always{Shape: s, Interval: 10 * time.Minute, KeepCurrent: true}))
	}
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				report(b, s, c, p.make, baseline)
			}
		})
	}
}

// daySeeds is the number of days that are simulated, each from its own seed.
const daySeeds = 5

// report prints means and extremes, and in how many days the policy ran more
// steps or moved fewer bytes than the baseline.
func report(b *testing.B, s Shape, c Cost, make func() core.Rebalancer, baseline []result) {
	moreSteps, fewerMoves := 0, 0
	columns := map[string][]float64{}
	for seed := range uint64(daySeeds) {
		r := simulate(seed+1, s, c, make())
		if r.steps > baseline[seed].steps {
			moreSteps++
		}
		if r.movedGB < baseline[seed].movedGB {
			fewerMoves++
		}
		for name, v := range map[string]float64{"skew": r.skew, "worst_skew": r.worst, "whole_expert_bound": r.bound,
			"perfect_bound": 1, "moved_GB": r.movedGB, "delayed_steps": r.delayed, "replica_GB": r.replicaGB,
			"changes": r.changes, "steps": r.steps} {
			columns[name] = append(columns[name], v)
		}
	}
	b.ReportMetric(float64(moreSteps), "days_more_steps")
	b.ReportMetric(float64(fewerMoves), "days_fewer_moves")
	for name, v := range columns {
		b.ReportMetric(sum(v)/daySeeds, name)
		b.ReportMetric(slices.Min(v), fmt.Sprint(name, "_min"))
		b.ReportMetric(slices.Max(v), fmt.Sprint(name, "_max"))
	}
}
