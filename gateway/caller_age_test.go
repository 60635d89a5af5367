package gateway

import (
	"testing"
	"time"
)

// Guards against retries by callers that are taken for first attempts and so are
// rejected early, also just after a restart of the gateway.
func TestCallerAge(t *testing.T) {
	const timeout = 8 * time.Second
	start := time.Unix(1000, 0)
	tests := []struct {
		at, left, want time.Duration
	}{
		{0, 7 * time.Second, time.Second},
		{time.Second, 8 * time.Second, 0},
		{3 * time.Second, 6 * time.Second, 2 * time.Second},
		{4 * time.Second, 9 * time.Second, 0},
		{5 * time.Second, 8 * time.Second, time.Second},
	}
	p := callerAges{}
	for _, tt := range tests {
		if got := p.age("r", tt.left, timeout, start.Add(tt.at)); got != tt.want {
			t.Errorf("age of a caller with %v left at %v: got %v, want %v", tt.left, tt.at, got, tt.want)
		}
	}
	// A caller that waits for much longer than others makes them look older for a time only.
	if got := p.age("r", time.Hour, timeout, start.Add(6*time.Second)); got != 0 {
		t.Errorf("age of a caller with an hour left: got %v, want 0", got)
	}
	for at := 7 * time.Second; at < 40*time.Second; at += 500 * time.Millisecond {
		got := p.age("r", 8*time.Second, timeout, start.Add(at))
		if at >= 6*time.Second+2*longestPeriod && got != 0 {
			t.Errorf("age of a caller with the usual time left at %v: got %v, want 0", at, got)
		}
	}
	// A route whose callers wait for less than its timeout.
	p = callerAges{}
	p.age("r", 4*time.Second, timeout, start)
	if got := p.age("r", 4*time.Second, timeout, start.Add(routeLearningPeriod)); got != 0 {
		t.Errorf("age of a caller with the usual time left: got %v, want 0", got)
	}
}
