package configlog_test

import (
	"fmt"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/io/configlog"
)

// BenchmarkPublish measures the time until a change is accepted, with the times
// of exchange and long poll that processes use, and until three entries and a
// fed agent have it in force.
func BenchmarkPublish(b *testing.B) {
	usual := func(cfg *configlog.Config) { cfg.ExchangeInterval, cfg.ReadWait = 500*time.Millisecond, time.Second }
	c := newCluster(b)
	a := c.start("a", core.RoleEntry, usual)
	second := c.start("b", core.RoleEntry, usual, a)
	third := c.start("c", core.RoleEntry, usual, a, second)
	agent := c.start("agent", core.RoleAgent, usual, a, second, third)
	wait(b, "entry set of three", 10*time.Second, func() bool { return len(agent.Current().EntrySet.Entries) == 3 })
	var accepted, force, worst time.Duration
	i := 0
	for b.Loop() {
		i++
		began := time.Now()
		name := fmt.Sprint("d", i)
		publish(b, a, drain(name, name, 0), 5*time.Second, config.Accepted)
		accepted += time.Since(began)
		for _, p := range []*process{second, third, agent} {
			wait(b, "change in force", 5*time.Second, func() bool { return p.Current().Drained(name) })
		}
		force += time.Since(began)
		worst = max(worst, time.Since(began))
	}
	b.ReportMetric(float64(accepted.Microseconds())/1000/float64(i), "accepted_ms")
	b.ReportMetric(float64(force.Microseconds())/1000/float64(i), "in_force_ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst_ms")
}
