package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
)

const (
	overloadDuration = 120 * time.Second
	// overloadColdAt is when the server becomes cold again.
	overloadColdAt = 60 * time.Second
)

// overloadPhaseEnds are the ends of the phases in which good replies are counted: the
// start of a cold server, the warm server, and the time after it becomes cold again.
var overloadPhaseEnds = []time.Duration{30 * time.Second, overloadColdAt, overloadDuration}

// Scenario describes whether the server is warm at the start and when it becomes cold
// without a restart, so that the admitter is not told. A ColdAt of 0 means never.
type Scenario struct {
	Name       string
	StartsWarm bool
	ColdAt     time.Duration
}

// The scenarios of the overload experiment.
var (
	ColdStartAndTurn = Scenario{Name: "cold_start_and_turn", ColdAt: overloadColdAt}
	AlwaysWarm       = Scenario{Name: "warm", StartsWarm: true}
)

// OverloadResult counts requests and, in Collapses, crashes of the server. Good holds
// one count for each phase.
type OverloadResult struct {
	Good                             [3]int
	Late, Refused, Broken, Collapses int
}

// Overload simulates one server behind an admitter. load is a multiple of the
// capacity of the server. Refused requests are not retried.
func Overload(a core.Admitter, sc Scenario, load float64, seed uint64) OverloadResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out OverloadResult
	s := &server{admitter: a}
	if sc.StartsWarm {
		s.completedTokens = warmTokens
	}
	at, n := interarrivalTime(rng, load*capacity()), 0
	r := drawRequest(rng, n)
	for now := time.Duration(0); now < overloadDuration; now += stepInterval {
		if sc.ColdAt > 0 && now == sc.ColdAt {
			s.completedTokens = 0
		}
		for at <= now {
			out.countAdmitResult(s.admit(r, at, now))
			n++
			at += interarrivalTime(rng, load*capacity())
			r = drawRequest(rng, n)
		}
		out.addStep(s.advance(now), now)
	}
	return out
}

func (r *OverloadResult) countAdmitResult(o admitResult) {
	switch o {
	case requestRefused:
		r.Refused++
	case requestBroken:
		r.Broken++
	}
}

func (r *OverloadResult) addStep(a stepResult, now time.Duration) {
	for _, x := range a.completed {
		if now-x.arrivedAt <= requestTimeout {
			r.Good[phaseOf(overloadPhaseEnds, now)]++
		} else {
			r.Late++
		}
	}
	r.Broken += len(a.broken)
	if a.collapsed {
		r.Collapses++
	}
}

func (r *OverloadResult) values() []float64 {
	var out []float64
	from := time.Duration(0)
	for i, end := range overloadPhaseEnds {
		out = append(out, float64(r.Good[i])/(end-from).Seconds())
		from = end
	}
	return append(out, float64(r.Late), float64(r.Refused), float64(r.Broken), float64(r.Collapses))
}

func overload() Experiment {
	policies := []struct {
		name string
		make func() core.Admitter
	}{
		{"policy", func() core.Admitter { return admission.New(ServerLimits, Epoch) }},
		{"no_limit", func() core.Admitter { return admission.NewUnlimited() }},
		{"fixed_count", func() core.Admitter { return admission.NewFixedCount(ServerLimits.MaxConcurrency) }},
		{"no_warm_up", func() core.Admitter { return admission.NewNoWarmUp(ServerLimits) }},
	}
	return Experiment{
		Name:    "overload",
		About:   "Admission of one server under loads below and above its capacity, for 120 s.",
		Columns: []string{"good/s, 0 to 30 s", "good/s, 30 to 60 s", "good/s, 60 to 120 s", "late", "refused", "broken", "collapses"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, sc := range []Scenario{ColdStartAndTurn, AlwaysWarm} {
				for _, p := range policies {
					for _, load := range []float64{0.5, 1, 1.5, 2, 3} {
						r := Overload(p.make(), sc, load, seed)
						rows = append(rows, Row{fmt.Sprintf("%s/%s/load=%v", sc.Name, p.name, load), r.values()})
					}
				}
			}
			return rows
		},
	}
}
