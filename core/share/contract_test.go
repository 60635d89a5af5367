package share_test

import (
	"testing"
	"time"

	"nutmegnotch/emulator/experiment"
)

// Guards against more admissions than the contract permits while entries join,
// crash or are partitioned from the others.
func TestContractOverCourse(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		c := experiment.ContractCourse(experiment.Lending, seed)
		for _, w := range []time.Duration{time.Second, 10 * time.Second} {
			if got := c.PeakAdmitted(w); got > 1 {
				t.Errorf("seed %d: admitted in %v: got %.3f of the contract, want at most 1", seed, w, got)
			}
		}
	}
}
