package experiment

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
	"nutmegnotch/core/routing"
)

// defaultReportInterval is the report interval of all plans except those of the
// experiment report-interval.
const defaultReportInterval = 200 * time.Millisecond

// ProductPolicy is the routing and the admission of the load balancer. The other
// policies are baselines.
var ProductPolicy = ClusterPolicy{"policy", routePolicy, memoryAware}

var clusterColumns = []string{"good/s", "late/s", "refused, %", "others refused, %", "retries/request",
	"first token p95, ms", "broken/s", "collapses", "spread of load"}

func memoryAware() core.Admitter { return admission.New(ServerLimits, Epoch.Add(-2*time.Minute)) }
func noWarmUp() core.Admitter    { return admission.NewNoWarmUp(ServerLimits) }
func fixedCount() core.Admitter  { return admission.NewFixedCount(ServerLimits.MaxConcurrency) }

func routePolicy(domain string, seed uint64) core.Router { return routing.New(domain, seed) }
func roundRobin(string, uint64) core.Router              { return &routing.RoundRobin{} }
func leastConnections(string, uint64) core.Router        { return routing.LeastConnections{} }
func twoChoices(_ string, seed uint64) core.Router       { return routing.NewTwoChoices(seed) }

// minutePlan returns a plan with a single phase of one minute.
func minutePlan(load float64) ClusterPlan {
	return ClusterPlan{Load: load, Length: time.Minute, ReportInterval: defaultReportInterval, PhaseEnds: []time.Duration{time.Minute}}
}

// minuteRow simulates a plan with a single phase and returns its row.
func minuteRow(name string, p ClusterPolicy, plan ClusterPlan, seed uint64) Row {
	phases := Cluster(p, plan, seed)
	return Row{name, phases[0].values(plan.Length)}
}

// values returns the values of clusterColumns for a phase of the given length.
func (p *ClusterPhase) values(length time.Duration) []float64 {
	s := length.Seconds()
	return []float64{
		float64(p.Good) / s,
		float64(p.Late) / s,
		100 * float64(p.Refused) / float64(p.Offered),
		100 * float64(p.OthersRefused) / max(float64(p.Others), 1),
		float64(p.Retries) / float64(p.Offered),
		1000 * percentile(p.TimesToFirstToken, 0.95),
		float64(p.Broken) / s,
		float64(p.Collapses),
		p.LoadSpreadSum / float64(p.Steps),
	}
}
