package experiment

import "fmt"

func clusterOverload() Experiment {
	return Experiment{
		Name:    "cluster-overload",
		About:   "Service of 12 warm servers under loads below and above their capacity, for 60 s.",
		Columns: clusterColumns,
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, p := range []ClusterPolicy{
				ProductPolicy,
				{"rotation", roundRobin, memoryAware},
				{"least_connections", leastConnections, memoryAware},
				{"two_choices", twoChoices, memoryAware},
				{"rotation_fixed_count", roundRobin, fixedCount},
			} {
				for _, load := range []float64{0.5, 0.9, 1, 1.5, 2, 3} {
					rows = append(rows, minuteRow(fmt.Sprintf("%s/load=%v", p.Name, load), p, minutePlan(load), seed))
				}
			}
			return rows
		},
	}
}
