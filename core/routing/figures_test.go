package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// spread prints mean and standard deviation.
func spread(x []float64) string {
	mean, sum := 0.0, 0.0
	for _, v := range x {
		mean += v / float64(len(x))
	}
	for _, v := range x {
		sum += (v - mean) * (v - mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", mean, math.Sqrt(sum/float64(len(x))))
}

// report prints one line of a table for each phase.
func report(b *testing.B, p simPolicy, plan simPlan, names []string) {
	b.Helper()
	var runs []simFigures
	for seed := uint64(1); seed <= simSeeds; seed++ {
		runs = append(runs, simulate(p, plan, seed))
	}
	from := time.Duration(0)
	for i, name := range names {
		s := (plan.phases[i] - from).Seconds()
		from = plan.phases[i]
		column := func(of func(f simFigures) float64) string {
			var x []float64
			for _, f := range runs {
				x = append(x, of(f))
			}
			return spread(x)
		}
		fmt.Printf("| %s %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", p.name, name,
			column(func(f simFigures) float64 { return float64(f.good[i]) / s }),
			column(func(f simFigures) float64 { return float64(f.late[i]) / s }),
			column(func(f simFigures) float64 { return 100 * float64(f.refused[i]) / float64(f.offered[i]) }),
			column(func(f simFigures) float64 { return 100 * float64(f.smallRefused[i]) / max(float64(f.small[i]), 1) }),
			column(func(f simFigures) float64 { return float64(f.retries[i]) / float64(f.offered[i]) }),
			column(func(f simFigures) float64 { return 1000 * percentile(f.first[i], 0.95) }),
			column(func(f simFigures) float64 { return float64(f.broken[i]) / s }),
			column(func(f simFigures) float64 { return float64(f.collapses[i]) }),
			column(func(f simFigures) float64 { return f.skew[i] / float64(f.ticks[i]) }))
	}
}

func percentile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
