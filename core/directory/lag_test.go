package directory_test

import (
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// Guards against a process that never asks others for records because one that lacks
// them too reports in between, and against one that asks for what it has just read.
func TestLag(t *testing.T) {
	var l directory.Lag
	for i, s := range []struct {
		at         time.Duration
		own, other int64
		want       time.Duration
	}{
		{0, 10, 10, 0},
		{100 * time.Millisecond, 10, 12, 0},
		{150 * time.Millisecond, 10, 10, 50 * time.Millisecond},
		{250 * time.Millisecond, 10, 14, 150 * time.Millisecond},
		{300 * time.Millisecond, 12, 15, 0},
		{350 * time.Millisecond, 13, 16, 50 * time.Millisecond},
		{400 * time.Millisecond, 15, 14, 0},
		{900 * time.Millisecond, 15, 20, 0},
	} {
		got := l.Observe(core.Position{Offset: s.own}, core.Position{Offset: s.other}, now.Add(s.at))
		if got != s.want {
			t.Errorf("step %d: got behind for %v, want %v", i, got, s.want)
		}
	}
}
