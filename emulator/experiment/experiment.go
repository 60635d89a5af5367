// Package experiment compares the policies of the load balancer with their
// baselines in simulated time. A run is deterministic for its seed.
package experiment

import (
	"runtime"

	"github.com/sourcegraph/conc/iter"
)

// Experiment is a comparison of a policy with its baselines.
type Experiment struct {
	// Name selects the experiment on the command line.
	Name string
	// About describes in one sentence what is simulated.
	About string
	// Columns names the values of each row, with their units.
	Columns []string
	// Run runs each policy once. Its rows have the same names for every seed.
	Run func(seed uint64) []Row
}

// Row holds the results of one run, or of one phase of it.
type Row struct {
	Name   string
	Values []float64
}

// All returns all experiments in the order of docs/measurements.md.
func All() []Experiment {
	return []Experiment{
		overload(), domainLeaves(), clusterOverload(), reportInterval(), hog(),
		slowReaders(), contractCourse(), admitted(), rebalanceDay(), coldServers(), serverLimits(),
	}
}

// Find returns the experiment with a name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// Measure runs an experiment with the seeds 1 to n concurrently and aggregates the
// rows. n must be at least 1.
func Measure(e Experiment, n int) Table {
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	m := iter.Mapper[uint64, []Row]{MaxGoroutines: max(1, runtime.GOMAXPROCS(0)/2)}
	return newTable(e, m.Map(seeds, func(seed *uint64) []Row { return e.Run(*seed) }))
}
