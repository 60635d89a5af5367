package routing_test

import (
	"testing"

	"nutmegnotch/emulator/experiment"
)

// Guards against the collapse of cold servers when a failure domain returns to
// service.
func TestReturningDomainDoesNotCollapse(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		for i, phase := range experiment.Cluster(experiment.ProductPolicy, experiment.DomainOutagePlan(), seed) {
			if n := phase.Collapses; n != 0 {
				t.Errorf("seed %d, phase %d: got %d collapses, want 0", seed, i, n)
			}
		}
	}
}
