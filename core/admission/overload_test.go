package admission_test

import (
	"fmt"
	"testing"
	"time"

	"nutmegnotch/core/admission"
	"nutmegnotch/emulator/experiment"
)

// Guards against the collapse of a cold or full server that gets more load than it
// can handle.
func TestOverloadCausesNoCollapse(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2, 3} {
		for seed := uint64(1); seed <= 5; seed++ {
			a := admission.New(experiment.ServerLimits, experiment.Epoch)
			got := experiment.Overload(a, experiment.ColdStartAndTurn, load, seed)
			if got.Collapses > 1 {
				t.Errorf("load %v, seed %d: got %+v, want no collapse but the one at the turn to cold", load, seed, got)
			}
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, held := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			l := admission.Limits{ColdTokens: 1 << 40, ColdConcurrency: 1 << 30, MemoryTokens: 1 << 40, MaxConcurrency: 1 << 30}
			a := admission.New(l, start)
			for i := range held {
				a.Admit(request(i, fmt.Sprint(i%10), 300), start)
			}
			r := request(held, "org", 300)
			o := good(10 * time.Millisecond)
			b.ResetTimer()
			for range b.N {
				a.Admit(r, start)
				a.Done(r, o, start)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/decision")
		})
	}
}
