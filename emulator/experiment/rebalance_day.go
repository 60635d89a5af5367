package experiment

import (
	"fmt"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

const (
	stepTime  = 25 * time.Millisecond
	gigabyte  = 1e9
	askedTime = 10 * time.Minute
	// dayBaseline is the policy that the others are compared with.
	dayBaseline = "every_10_min_from_current"
)

// DayResult is one simulated day: means over the windows, and sums.
type DayResult struct {
	Skew, WorstSkew, Bound, MovedGB, DelayedSteps, ReplicaGB, Changes, Steps float64
}

// day is the state of a group: its map, and the one that is being loaded.
type day struct {
	shape   expertmap.Shape
	cost    expertmap.Cost
	current core.ExpertMap
	next    core.ExpertMap
	loading bool
	ready   time.Duration
	out     DayResult
}

// RebalanceDay runs a day. A step takes 25 ms times its skew, more while
// weights are loaded; the map takes effect once they are.
func RebalanceDay(seed uint64, s expertmap.Shape, c expertmap.Cost, r core.Rebalancer) DayResult {
	p := newPopularity(seed, s)
	d := &day{shape: s, cost: c, current: expertmap.EvenMap(s)}
	for n := range dayWindows {
		load, now := p.window(n), time.Duration(n)*dayWindow
		d.advance(load, now)
		if !d.loading {
			d.plan(r, load, now)
		}
	}
	return d.out
}

// advance runs the steps of one window.
func (d *day) advance(load core.ExpertLoad, now time.Duration) {
	usable := dayWindow
	if d.loading && now >= d.ready {
		d.current, d.loading = d.next, false
		usable -= d.cost.SwitchDelay
		d.out.DelayedSteps += float64(d.cost.SwitchDelay) / float64(stepTime)
	}
	skew := expertmap.Skew(d.current, load, d.shape.Ranks)
	slow, part := 1.0, 0.0
	if d.loading {
		part = min(1, float64(d.ready-now)/float64(dayWindow))
		slow = 1 + d.cost.LoadSlowdown*part
	}
	steps := float64(usable) / (float64(stepTime) * skew * slow)
	d.out.DelayedSteps += steps * part
	d.out.Steps += steps
	d.out.Skew += skew / dayWindows
	d.out.Bound += expertmap.SkewLowerBound(d.shape, load) / dayWindows
	d.out.WorstSkew = max(d.out.WorstSkew, skew)
	replicas := expertmap.ReplicaCount(d.current) - d.shape.Experts*d.shape.Layers
	d.out.ReplicaGB += float64(replicas) * d.cost.ExpertBytes / gigabyte / dayWindows
}

// plan asks the policy for a map and starts to load it.
func (d *day) plan(r core.Rebalancer, load core.ExpertLoad, now time.Duration) {
	m, ok := r.Plan(d.current, load, time.Unix(0, 0).Add(now))
	if !ok {
		return
	}
	moves := expertmap.Moves(d.current, m)
	d.next, d.loading, d.ready = m, true, now+dayWindow+d.cost.LoadTime(moves)
	d.out.MovedGB += float64(moves) * d.cost.ExpertBytes / gigabyte
	d.out.Changes++
}

// asked asks a policy at an interval only, with the newest window.
type asked struct {
	core.Rebalancer
	last time.Time
}

// Plan implements core.Rebalancer.
func (a *asked) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	if !a.last.IsZero() && now.Sub(a.last) < askedTime {
		return current, false
	}
	a.last = now
	return a.Rebalancer.Plan(current, load, now)
}

type dayPolicy struct {
	name string
	make func() core.Rebalancer
}

var dayCost = expertmap.Cost{ExpertBytes: 44e6, StoreBytesPerSecond: 1e9, LoadSlowdown: 0.05}

func dayPolicies(s expertmap.Shape) []dayPolicy {
	always := func(keep bool) func() core.Rebalancer {
		return func() core.Rebalancer {
			return &expertmap.PeriodicPolicy{Shape: s, Interval: askedTime, KeepCurrent: keep}
		}
	}
	policy := func(minGain float64) func() core.Rebalancer {
		return func() core.Rebalancer {
			return &expertmap.CostBenefitPolicy{Shape: s, Cost: dayCost, MaxMapLifetime: time.Hour, SmoothingWeight: 0.3, SmoothingInterval: time.Minute,
				ResetThreshold: 0.15, MinGain: minGain}
		}
	}
	tenMinutes := func(minGain float64) func() core.Rebalancer {
		return func() core.Rebalancer { return &asked{Rebalancer: policy(minGain)()} }
	}
	return []dayPolicy{
		{"fixed", func() core.Rebalancer { return expertmap.StaticPolicy{} }},
		{"every_10_min", always(false)},
		{dayBaseline, always(true)},
		{"policy_10_min", tenMinutes(0)},
		{"policy_10_min_gain_1", tenMinutes(0.01)},
		{"policy_1_min", policy(0)},
		{"policy_1_min_gain_0.5", policy(0.005)},
		{"policy_1_min_gain_1", policy(0.01)},
	}
}

// dayRows runs all policies on one day. The first two values say whether a
// policy ran more steps and moved fewer bytes than the baseline, as 0 or 1.
func dayRows(s expertmap.Shape, seed uint64) []Row {
	policies := dayPolicies(s)
	results := make([]DayResult, len(policies))
	var base DayResult
	for i, p := range policies {
		results[i] = RebalanceDay(seed, s, dayCost, p.make())
		if p.name == dayBaseline {
			base = results[i]
		}
	}
	var rows []Row
	for i, r := range results {
		values := []float64{0, 0, r.Skew, r.WorstSkew, r.Bound, r.MovedGB, r.DelayedSteps, r.ReplicaGB, r.Changes, r.Steps}
		if r.Steps > base.Steps {
			values[0] = 1
		}
		if r.MovedGB < base.MovedGB {
			values[1] = 1
		}
		rows = append(rows, Row{fmt.Sprintf("slots=%d/%s", s.SlotsPerRank, policies[i].name), values})
	}
	return rows
}

func rebalanceDay() Experiment {
	return Experiment{
		Name:  "rebalance-day",
		About: "Step-time skew and cost of rebalancing through a day, with 128 ranks and 4 layers of 64 experts.",
		Columns: []string{"days with more steps", "days with fewer moves", "skew", "worst skew", "whole expert bound",
			"moved, GB", "delayed steps", "replicas, GB", "changes", "steps"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, slots := range []int{1, 2} {
				rows = append(rows, dayRows(expertmap.Shape{Ranks: 128, Layers: 4, Experts: 64, SlotsPerRank: slots}, seed)...)
			}
			return rows
		},
	}
}
