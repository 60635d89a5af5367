package experiment

import "time"

// DomainOutagePlan returns a plan that takes a failure domain out of service from
// 60 s to 120 s.
func DomainOutagePlan() ClusterPlan {
	return ClusterPlan{Load: 0.7, Length: 200 * time.Second, OutageStart: 60 * time.Second, OutageEnd: 120 * time.Second, ReportInterval: defaultReportInterval,
		PhaseEnds: []time.Duration{60 * time.Second, 120 * time.Second, 150 * time.Second, 200 * time.Second}}
}

func domainLeaves() Experiment {
	return Experiment{
		Name:    "domain-leaves",
		About:   "Service before, during and after the absence of a failure domain, at 70 % load.",
		Columns: clusterColumns,
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, p := range []ClusterPolicy{
				ProductPolicy,
				{"rotation_memory_aware", roundRobin, memoryAware},
				{"rotation_no_warm_up", roundRobin, noWarmUp},
				{"rotation_fixed_count", roundRobin, fixedCount},
			} {
				rows = append(rows, domainRows(p, seed)...)
			}
			return rows
		},
	}
}

func domainRows(p ClusterPolicy, seed uint64) []Row {
	plan := DomainOutagePlan()
	phases := Cluster(p, plan, seed)
	var rows []Row
	from := time.Duration(0)
	for i, name := range []string{"before", "during", "return", "after"} {
		rows = append(rows, Row{p.Name + " " + name, phases[i].values(plan.PhaseEnds[i] - from)})
		from = plan.PhaseEnds[i]
	}
	return rows
}
