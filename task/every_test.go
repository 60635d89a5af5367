package task_test

import (
	"context"
	"testing"
	"time"

	"nutmegnotch/task"
)

// Guards against a loop that goes on after its context has ended, or calls at once.
func TestEvery(t *testing.T) {
	const interval = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls, begun := 0, time.Now()
	task.Every(ctx, interval, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if got, want := calls, 3; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
	if got, want := time.Since(begun), 3*interval-interval/2; got < want {
		t.Errorf("time of three calls: got %v, want at least %v", got, want)
	}
}
