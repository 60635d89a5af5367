package experiment

import "fmt"

// hogShare is the share of the requests that one of ten organisations sends.
const hogShare = 0.8

func hog() Experiment {
	return Experiment{
		Name: "hog",
		About: "Service while one of ten organisations sends four fifths of the requests " +
			"and the others less than their shares, for 60 s.",
		Columns: clusterColumns,
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, p := range []ClusterPolicy{ProductPolicy, {"no_fair_share", routePolicy, noWarmUp}} {
				for _, load := range []float64{0.9, 1.5, 2, 3} {
					plan := minutePlan(load)
					plan.HogShare = hogShare
					rows = append(rows, minuteRow(fmt.Sprintf("%s/load=%v", p.Name, load), p, plan, seed))
				}
			}
			return rows
		},
	}
}
