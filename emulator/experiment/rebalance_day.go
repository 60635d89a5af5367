package experiment

import (
	"fmt"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

const (
	stepTime          = 25 * time.Millisecond
	bytesPerGB        = 1e9
	rebalanceInterval = 10 * time.Minute
	// baselinePolicy is the policy that the others are compared with.
	baselinePolicy = "every_10_min_from_current"
)

// DayResult holds the results of one simulated day. Skew, SkewBound and ReplicaGB are
// means over the windows, WorstSkew is the maximum, and the other fields are sums.
type DayResult struct {
	Skew, WorstSkew, SkewBound, MovedGB, DelayedSteps, ReplicaGB, Changes, Steps float64
}

// daySimulation is the state of a group: the current map and the next one, whose
// weights are being loaded.
type daySimulation struct {
	shape   expertmap.Shape
	cost    expertmap.Cost
	current core.ExpertMap
	next    core.ExpertMap
	loading bool
	readyAt time.Duration
	result  DayResult
}

// RebalanceDay simulates a day. A step takes 25 ms times its skew, and longer while
// weights are loaded. A new map takes effect once its weights are loaded.
func RebalanceDay(seed uint64, s expertmap.Shape, c expertmap.Cost, r core.Rebalancer) DayResult {
	p := newPopularity(seed, s)
	d := &daySimulation{shape: s, cost: c, current: expertmap.EvenMap(s)}
	for n := range windowsPerDay {
		load, now := p.windowLoad(n), time.Duration(n)*windowLength
		d.advance(load, now)
		if !d.loading {
			d.plan(r, load, now)
		}
	}
	return d.result
}

// advance simulates the steps of one window.
func (d *daySimulation) advance(load core.ExpertLoad, now time.Duration) {
	usable := windowLength
	if d.loading && now >= d.readyAt {
		d.current, d.loading = d.next, false
		usable -= d.cost.SwitchDelay
		d.result.DelayedSteps += float64(d.cost.SwitchDelay) / float64(stepTime)
	}
	skew := expertmap.Skew(d.current, load, d.shape.Ranks)
	slowdown, loadingShare := 1.0, 0.0
	if d.loading {
		loadingShare = min(1, float64(d.readyAt-now)/float64(windowLength))
		slowdown = 1 + d.cost.LoadSlowdown*loadingShare
	}
	steps := float64(usable) / (float64(stepTime) * skew * slowdown)
	d.result.DelayedSteps += steps * loadingShare
	d.result.Steps += steps
	d.result.Skew += skew / windowsPerDay
	d.result.SkewBound += expertmap.SkewLowerBound(d.shape, load) / windowsPerDay
	d.result.WorstSkew = max(d.result.WorstSkew, skew)
	replicas := expertmap.ReplicaCount(d.current) - d.shape.Experts*d.shape.Layers
	d.result.ReplicaGB += float64(replicas) * d.cost.ExpertBytes / bytesPerGB / windowsPerDay
}

// plan asks the policy for a map and starts to load its weights.
func (d *daySimulation) plan(r core.Rebalancer, load core.ExpertLoad, now time.Duration) {
	m, ok := r.Plan(d.current, load, time.Unix(0, 0).Add(now))
	if !ok {
		return
	}
	moves := expertmap.Moves(d.current, m)
	d.next, d.loading, d.readyAt = m, true, now+windowLength+d.cost.LoadTime(moves)
	d.result.MovedGB += float64(moves) * d.cost.ExpertBytes / bytesPerGB
	d.result.Changes++
}

// intervalRebalancer calls a policy once per rebalanceInterval, with the load of the
// newest window.
type intervalRebalancer struct {
	core.Rebalancer
	last time.Time
}

// Plan implements core.Rebalancer.
func (a *intervalRebalancer) Plan(current core.ExpertMap, load core.ExpertLoad, now time.Time) (core.ExpertMap, bool) {
	if !a.last.IsZero() && now.Sub(a.last) < rebalanceInterval {
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
	periodic := func(keep bool) func() core.Rebalancer {
		return func() core.Rebalancer {
			return &expertmap.PeriodicPolicy{Shape: s, Interval: rebalanceInterval, KeepCurrent: keep}
		}
	}
	policy := func(minGain float64) func() core.Rebalancer {
		return func() core.Rebalancer {
			return &expertmap.CostBenefitPolicy{Shape: s, Cost: dayCost, MaxMapLifetime: time.Hour, SmoothingWeight: 0.3, SmoothingInterval: time.Minute,
				ResetThreshold: 0.15, MinGain: minGain}
		}
	}
	everyTenMinutes := func(minGain float64) func() core.Rebalancer {
		return func() core.Rebalancer { return &intervalRebalancer{Rebalancer: policy(minGain)()} }
	}
	return []dayPolicy{
		{"fixed", func() core.Rebalancer { return expertmap.StaticPolicy{} }},
		{"every_10_min", periodic(false)},
		{baselinePolicy, periodic(true)},
		{"policy_10_min", everyTenMinutes(0)},
		{"policy_10_min_gain_1", everyTenMinutes(0.01)},
		{"policy_1_min", policy(0)},
		{"policy_1_min_gain_0.5", policy(0.005)},
		{"policy_1_min_gain_1", policy(0.01)},
	}
}

// dayRows simulates one day with each policy. The first two values of a row are 1 if
// the policy ran more steps and moved fewer bytes than the baseline, and 0 otherwise.
func dayRows(s expertmap.Shape, seed uint64) []Row {
	policies := dayPolicies(s)
	results := make([]DayResult, len(policies))
	var base DayResult
	for i, p := range policies {
		results[i] = RebalanceDay(seed, s, dayCost, p.make())
		if p.name == baselinePolicy {
			base = results[i]
		}
	}
	var rows []Row
	for i, r := range results {
		values := []float64{0, 0, r.Skew, r.WorstSkew, r.SkewBound, r.MovedGB, r.DelayedSteps, r.ReplicaGB, r.Changes, r.Steps}
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
