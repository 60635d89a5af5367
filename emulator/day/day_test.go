package day_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/emulator/day"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against gateways that break a rule while the store comes back from copies and
// servers leave and ask for pauses.
func TestDayWithReturnsOfTheStore(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			got, err := day.Play(seed, 8*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d sent, %d served, %d refused, %d failed, new eras in force after %v", got.Sent, got.Served, got.Refused, got.Failed, got.EraTimes)
			for _, v := range got.Violations {
				t.Error(v)
			}
			if got.Served < got.Sent*9/10 {
				t.Errorf("served: got %d of %d requests, want nine in ten", got.Served, got.Sent)
			}
		})
	}
}
