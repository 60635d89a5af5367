package experiment

import (
	"fmt"
	"time"
)

func reportInterval() Experiment {
	return Experiment{
		Name: "report-interval",
		About: "Service by the time between load reports, for 60 s. " +
			"Replies carry no reports in the simulation, though they do in the product.",
		Columns: clusterColumns,
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, every := range []time.Duration{defaultReportInterval, 500 * time.Millisecond, time.Second} {
				for _, load := range []float64{0.7, 0.9, 1.5} {
					plan := minutePlan(load)
					plan.ReportInterval = every
					rows = append(rows, minuteRow(fmt.Sprintf("policy/every=%v/load=%v", every, load), ProductPolicy, plan, seed))
				}
			}
			return rows
		},
	}
}
