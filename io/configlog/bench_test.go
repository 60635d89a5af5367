package configlog_test

import (
	"fmt"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/io/configlog"
)

// BenchmarkPublish measures the time until a change is accepted, and until three
// entries and an agent that relies on them have applied it. The intervals of
// exchange and long poll are the defaults.
func BenchmarkPublish(b *testing.B) {
	defaultIntervals := func(cfg *configlog.Config) { cfg.ExchangeInterval, cfg.ReadWait = 500*time.Millisecond, time.Second }
	c := newCluster(b)
	a := c.start("a", core.RoleEntry, defaultIntervals)
	second := c.start("b", core.RoleEntry, defaultIntervals, a)
	third := c.start("c", core.RoleEntry, defaultIntervals, a, second)
	agent := c.start("agent", core.RoleAgent, defaultIntervals, a, second, third)
	wait(b, "entry set of three", 10*time.Second, func() bool { return len(agent.Current().EntrySet.Entries) == 3 })
	var accepted, inForce, worst time.Duration
	i := 0
	for b.Loop() {
		i++
		began := time.Now()
		name := fmt.Sprint("d", i)
		publish(b, a, drain(name, name, 0), 5*time.Second, config.Accepted)
		accepted += time.Since(began)
		for _, p := range []*process{second, third, agent} {
			wait(b, "change applied", 5*time.Second, func() bool { return p.Current().Drained(name) })
		}
		inForce += time.Since(began)
		worst = max(worst, time.Since(began))
	}
	b.ReportMetric(float64(accepted.Microseconds())/1000/float64(i), "accepted_ms")
	b.ReportMetric(float64(inForce.Microseconds())/1000/float64(i), "in_force_ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst_ms")
}
