package configlog

import (
	"slices"
	"testing"
	"time"
)

// Guards against many entries that write the same checkpoint. A checkpoint is
// assumed to be read by the others one second after it was written.
func TestFewDuplicateCheckpoints(t *testing.T) {
	for _, n := range []int{3, 100, 400, 1600} {
		const rounds = 200
		written := 0
		for range rounds {
			due := make([]time.Duration, n)
			for i := range due {
				due[i] = jitter(checkpointDelayBound(n, defaultCheckpointDelay, defaultRetention))
			}
			first := slices.Min(due)
			for _, d := range due {
				if d-first < time.Second {
					written++
				}
			}
		}
		mean := float64(written) / rounds
		t.Logf("%d entries: %.1f checkpoints", n, mean)
		if mean > 6 {
			t.Errorf("%d entries: got %.1f checkpoints on average, want at most 6", n, mean)
		}
	}
}
