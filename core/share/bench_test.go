package share_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// BenchmarkMemory measures the memory of an entry that is a home of every
// organisation and lends to three other entries.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 400, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			contracts := map[string]core.Contract{}
			for i := range n {
				c := contract(100, 20)[org]
				contracts[fmt.Sprint("organisation ", i)] = c
			}
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := share.New("0", 0, epoch)
				p.Update(contracts, entrySet(0, 1, 2, 3), epoch)
				now := epoch.Add(20 * time.Second)
				for name := range contracts {
					p.Spend(name, core.CreditAmount{Requests: 1}, now)
					for j := range 3 {
						p.LendSlots(name, fmt.Sprint(j), 1, 2, now)
						p.AddBorrowed(name, core.CreditAmount{Requests: 1}, now, now)
					}
				}
				p.Tick(now)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/organisation")
				runtime.KeepAlive(p)
			}
		})
	}
}
