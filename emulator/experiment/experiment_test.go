package experiment

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"nutmegnotch/core/admission"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/core/reply"
)

// Guards against runs that depend on anything but their seed, such as the iteration
// order of a map or the clock. Runs are shortened where that changes no code path.
func TestRunDependsOnSeedOnly(t *testing.T) {
	cluster := func(p ClusterPolicy, change func(p *ClusterPlan)) func() any {
		plan := ClusterPlan{Load: 1.5, Length: 8 * time.Second, ReportInterval: defaultReportInterval, PhaseEnds: []time.Duration{4 * time.Second, 8 * time.Second}}
		change(&plan)
		return func() any { return Cluster(p, plan, 3) }
	}
	shape := expertmap.Shape{Ranks: 8, Layers: 1, Experts: 8, SlotsPerRank: 2}
	for _, c := range []struct {
		name string
		run  func() any
	}{
		{"overload", func() any { return Overload(admission.New(ServerLimits, Epoch), ColdStartAndTurn, 1, 3) }},
		{"domain-leaves", cluster(ProductPolicy, func(p *ClusterPlan) { p.OutageStart, p.OutageEnd = 2*time.Second, 4*time.Second })},
		{"cluster-overload", cluster(ClusterPolicy{"two_choices", twoChoices, memoryAware}, func(*ClusterPlan) {})},
		{"report-interval", cluster(ProductPolicy, func(p *ClusterPlan) { p.ReportInterval = time.Second })},
		{"hog", cluster(ProductPolicy, func(p *ClusterPlan) { p.HogShare = hogShare })},
		{"slow-readers", func() any { return SlowReaders(reply.NewBudget(ReplyBudgetBytes), 3) }},
		{"contract-course", func() any { return ContractCourse(Lending, 3) }},
		{"admitted", func() any { return Admitted(3, 0.9, Lending, 3) }},
		{"cold-servers", func() any { return ColdServers(ColdPlan{Gateways: 12}, ColdPolicies[1].New, 3) }},
		{"server-limits", func() any { return PlayServerLimit(LimitPlans[4], LimitPolicies[4].New, 3) }},
		{"rebalance-day", func() any { return RebalanceDay(3, shape, dayCost, dayPolicies(shape)[5].make()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got, want := c.run(), c.run(); !reflect.DeepEqual(got, want) {
				t.Errorf("second run: got %+v, want %+v", got, want)
			}
			if _, ok := Find(c.name); !ok {
				t.Errorf("experiment %q: not found", c.name)
			}
		})
	}
	if got, want := len(All()), 11; got != want {
		t.Errorf("experiments: got %d, want the %d that this test runs", got, want)
	}
}

// Guards against means or extremes of the wrong column, and against a failure to
// encode infinite values, which JSON does not have.
func TestTableAggregatesSeeds(t *testing.T) {
	e := Experiment{Name: "e", About: "A.", Columns: []string{"seed", "never"},
		Run: func(seed uint64) []Row { return []Row{{"r", []float64{float64(seed), math.Inf(1)}}} }}
	table := Measure(e, 3)
	var b strings.Builder
	if err := table.Write(&b); err != nil {
		t.Fatal(err)
	}
	if want := "| r | 2 (1 to 3) | +Inf |\n"; !strings.Contains(b.String(), want) {
		t.Errorf("table: got %q, want it to contain %q", b.String(), want)
	}
	got, err := json.Marshal(table.Rows)
	if want := `[{"name":"r","values":[{"mean":2,"min":1,"max":3},{"mean":null,"min":null,"max":null}]}]`; err != nil || string(got) != want {
		t.Errorf("JSON: got %s, %v, want %s", got, err, want)
	}
}
