// Package task runs operations on a state that one goroutine owns.
package task

import "context"

// Task runs operations one after the other. The state that they touch belongs
// to the task alone.
type Task struct {
	ops     chan func()
	started chan struct{}
	done    chan struct{}
}

// New returns a task that runs nothing until Start.
func New() *Task {
	return &Task{ops: make(chan func()), started: make(chan struct{}), done: make(chan struct{})}
}

// Start runs the task until ctx ends. It may be called once.
func (t *Task) Start(ctx context.Context) {
	close(t.started)
	go t.run(ctx)
}

func (t *Task) run(ctx context.Context) {
	defer close(t.done)
	for {
		select {
		case op := <-t.ops:
			op()
		case <-ctx.Done():
			return
		}
	}
}

// Do runs op in the task and waits for it. It reports false when the task has
// not been started or has ended. An op must not call Do of its own task.
func (t *Task) Do(op func()) bool {
	select {
	case <-t.started:
	default:
		return false
	}
	ran := make(chan struct{})
	select {
	case t.ops <- func() { op(); close(ran) }:
		<-ran
		return true
	case <-t.done:
		return false
	}
}

// Done is closed when the task has ended.
func (t *Task) Done() <-chan struct{} { return t.done }
