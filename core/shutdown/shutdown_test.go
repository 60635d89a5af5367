package shutdown_test

import (
	"fmt"
	"testing"
	"time"

	"nutmegnotch/core/shutdown"
)

func Example() {
	begun := time.Unix(0, 0)
	p := shutdown.NewPlan(begun, 8*time.Second)
	at := begun.Add(3 * time.Second)
	fmt.Println(p.Accepts(at, at.Add(time.Second)))
	fmt.Println(p.Accepts(at, at.Add(8*time.Second)))
	// Output:
	// true
	// false
}

// Guards against requests that are accepted late in a planned stop and aborted at its end.
func TestAccepts(t *testing.T) {
	cases := []struct {
		name                  string
		grace, arrived, lasts time.Duration
		want                  bool
	}{
		{"long request before callers can know of the stop", 8 * time.Second, 2400 * time.Millisecond, 8 * time.Second, true},
		{"long request after that", 8 * time.Second, 2600 * time.Millisecond, 8 * time.Second, false},
		{"long request that just ends in time", 8 * time.Second, 3 * time.Second, 4500 * time.Millisecond, true},
		{"short request", 8 * time.Second, 3400 * time.Millisecond, time.Second, true},
		{"short request at the end", 8 * time.Second, 3500 * time.Millisecond, time.Millisecond, false},
		{"short grace, long request at the start", 2 * time.Second, 750 * time.Millisecond, 8 * time.Second, true},
		{"short grace, long request", 2 * time.Second, 850 * time.Millisecond, 8 * time.Second, false},
		{"short grace, short request", 2 * time.Second, 1400 * time.Millisecond, 100 * time.Millisecond, true},
		{"no grace", 0, 0, time.Millisecond, false},
	}
	begun := time.Unix(1000, 0)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			arrived := begun.Add(tc.arrived)
			got := shutdown.NewPlan(begun, tc.grace).Accepts(arrived, arrived.Add(tc.lasts))
			if got != tc.want {
				t.Errorf("accepts: got %t, want %t", got, tc.want)
			}
		})
	}
}

// Guards against a planned stop that aborts requests before the last sixth of its grace, or
// leaves no time to answer them.
func TestAbortAt(t *testing.T) {
	begun := time.Unix(1000, 0)
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 8 * time.Second, 10 * time.Minute} {
		p := shutdown.NewPlan(begun, grace)
		if got, want := p.AbortAt().Sub(begun), grace*5/6; got < want || got >= grace {
			t.Errorf("grace %v, abort: got %v, want at least %v and less than the grace", grace, got, want)
		}
		if got := p.BreakOffAt(); !got.After(p.AbortAt()) || !got.Before(p.CutAt()) {
			t.Errorf("grace %v, break-off: got %v, want it between the abort and the cut", grace, got.Sub(begun))
		}
		if got, end := p.CutAt(), begun.Add(grace); !got.After(p.AbortAt()) || !got.Before(end) {
			t.Errorf("grace %v, cut: got %v, want it between the abort and the end", grace, got.Sub(begun))
		}
		if p.RejectAt().After(p.AbortAt()) {
			t.Errorf("grace %v: got requests accepted until %v, want at most %v", grace, p.RejectAt().Sub(begun), p.AbortAt().Sub(begun))
		}
	}
}

// Guards against a planned stop that aborts a request without an answer because its deadline
// was extended, or that ends a request before the deadline with which it was accepted.
func TestExtend(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	cases := []struct {
		name                     string
		deadline, extended, want time.Duration
	}{
		{"not extended", time.Second, time.Second, time.Second},
		{"extended within the grace", time.Second, 6 * time.Second, 6 * time.Second},
		{"extended to the abort", time.Second, 7500 * time.Millisecond, 7 * time.Second},
		{"extended beyond the grace", time.Second, time.Minute, 7 * time.Second},
		{"accepted beyond the grace", 20 * time.Second, time.Minute, 20 * time.Second},
		{"accepted until just before the abort", 7400 * time.Millisecond, time.Minute, 7400 * time.Millisecond},
	}
	begun := time.Unix(1000, 0)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			got := shutdown.NewPlan(begun, grace).Extend(begun.Add(tc.deadline), begun.Add(tc.extended)).Sub(begun)
			if got != tc.want {
				t.Errorf("deadline: got %v, want %v", got, tc.want)
			}
		})
	}
}
