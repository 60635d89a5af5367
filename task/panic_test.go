package task_test

import (
	"context"
	"errors"
	"testing"

	"nutmegnotch/task"
)

// Guards against an unexpected error in one operation that ends the process.
func TestPanicIsThatOfTheCaller(t *testing.T) {
	tk := startTask(t)
	var list []int
	err := task.Catch(func() { tk.Do(func() { list[3] = 1 }) })
	var p *task.Panic
	if !errors.As(err, &p) || len(p.Stack) == 0 {
		t.Errorf("operation that panics: got %v, want a panic with its stack", err)
	}
	if !tk.Do(func() {}) {
		t.Error("next operation: got it not run")
	}
}

// Guards against a loop that ends silently at an unexpected error while its process lives
// on without it.
func TestKeepStartsALoopAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runs int
	var failed []error
	task.Keep(ctx, func(context.Context) {
		if runs++; runs == 1 {
			panic("fault in the loop")
		}
	}, func(err error) { failed = append(failed, err) })
	if runs != 2 || len(failed) != 1 {
		t.Errorf("loop that panics once: got %d runs and failures %v, want 2 runs and 1 failure", runs, failed)
	}
}
