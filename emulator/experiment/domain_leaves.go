package experiment

import "time"

// DomainPlan takes a failure domain out of service from 60 s to 120 s.
func DomainPlan() ClusterPlan {
	return ClusterPlan{Load: 0.7, Length: 200 * time.Second, Leave: 60 * time.Second, Back: 120 * time.Second, Report: reportEvery,
		Phases: []time.Duration{60 * time.Second, 120 * time.Second, 150 * time.Second, 200 * time.Second}}
}

func domainLeaves() Experiment {
	return Experiment{
		Name:    "domain-leaves",
		About:   "Service before, during and after the absence of a failure domain, at 70 % load.",
		Columns: clusterColumns,
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, p := range []ClusterPolicy{
				Product,
				{"rotation_memory_aware", rotation, memoryAware},
				{"rotation_no_warm_up", rotation, noWarmUp},
				{"rotation_fixed_count", rotation, fixedCount},
			} {
				rows = append(rows, domainRows(p, seed)...)
			}
			return rows
		},
	}
}

func domainRows(p ClusterPolicy, seed uint64) []Row {
	plan := DomainPlan()
	phases := Cluster(p, plan, seed)
	var rows []Row
	from := time.Duration(0)
	for i, name := range []string{"before", "during", "return", "after"} {
		rows = append(rows, Row{p.Name + " " + name, phases[i].values(plan.Phases[i] - from)})
		from = plan.Phases[i]
	}
	return rows
}
