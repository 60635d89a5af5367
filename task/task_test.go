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
