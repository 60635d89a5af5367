package task_test

import (
	"context"
	"fmt"
	"testing"

	"nutmegnotch/task"
)

func ExampleTask_Do() {
	ctx, cancel := context.WithCancel(context.Background())
	t := task.New()
	t.Start(ctx)
	n := 0
	t.Do(func() { n++ })
	cancel()
	<-t.Done()
	fmt.Println(n, t.Do(func() { n++ }))
	// Output: 1 false
}

// Guards against callers that block forever because the task was never started.
func TestDoBeforeStart(t *testing.T) {
	if got := task.New().Do(func() {}); got {
		t.Errorf("do before the start: got %t, want false", got)
	}
}

// Guards against an operation that ends the process, or the task for later ones.
func TestTryReturnsPanics(t *testing.T) {
	tk := startTask(t)
	var list []int
	if err := tk.Try(func() { list[3] = 1 }); err == nil {
		t.Error("operation that panics: got no error, want one")
	}
	ran := false
	if err := tk.Try(func() { ran = true }); err != nil || !ran {
		t.Errorf("next operation: got %v and ran %t, want no error and true", err, ran)
	}
}

// startTask returns a task that runs until the test ends.
func startTask(t *testing.T) *task.Task {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tk := task.New()
	tk.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-tk.Done()
	})
	return tk
}
