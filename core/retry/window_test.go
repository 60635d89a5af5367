package retry_test

import (
	"testing"
	"time"

	"nutmegnotch/core/retry"
)

// Guards against more retries in any window than the ratio and the slack allow.
func TestWindowBoundsRepeats(t *testing.T) {
	const ratio, slack, length = 0.2, 10.0, 10 * time.Second
	w := retry.NewWindowBudget(ratio, slack, length)
	begin := time.Unix(1_000_000, 0)
	var requests, retries []time.Duration
	for at := time.Duration(0); at < 40*time.Second; at += 20 * time.Millisecond {
		busy := at < 15*time.Second || at > 30*time.Second
		if busy && at%(100*time.Millisecond) == 0 {
			w.CountRequest("s", begin.Add(at))
			requests = append(requests, at)
		}
		if w.AllowRetry("s", begin.Add(at)) {
			retries = append(retries, at)
		}
	}
	in := func(list []time.Duration, from, to time.Duration) int {
		n := 0
		for _, x := range list {
			if x >= from && x < to {
				n++
			}
		}
		return n
	}
	if len(retries) < 20 {
		t.Fatalf("retries: got %d, want at least 20", len(retries))
	}
	for from := time.Duration(0); from < 30*time.Second; from += 250 * time.Millisecond {
		got := in(retries, from, from+length)
		most := max(in(requests, from, from+length), in(requests, from-length/2, from+length/2), in(requests, from-length, from))
		if want := ratio*float64(most) + slack; float64(got) > want {
			t.Errorf("retries from %v: got %d, want at most %.1f", from, got, want)
		}
	}
	if !w.AllowRetry("other", begin) {
		t.Error("first retry of another service: got false, want true")
	}
}

// Guards against a panic, which costs a caller its answer, when the first request of a service
// that is counted has arrived before requests of other services that were counted earlier.
func TestRequestsThatArrivedBeforeTheWindowCount(t *testing.T) {
	t.Parallel()
	const length = 10 * time.Second
	begin := time.Unix(1_000_000, 0)
	for _, before := range []time.Duration{0, time.Millisecond, length / 20, length / 19, length / 2, length, 10 * length} {
		w := retry.NewWindowBudget(1, 0, length)
		w.CountRequest("other", begin)
		w.CountRequest("s", begin.Add(-before))
		if !w.AllowRetry("s", begin) {
			t.Errorf("retry beside a request that arrived %v before: got refused, want allowed", before)
		}
		if w.AllowRetry("s", begin.Add(-before)) {
			t.Errorf("second retry beside a request that arrived %v before: got allowed, want refused", before)
		}
	}
}
