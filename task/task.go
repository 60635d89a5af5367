// Package task provides a goroutine that runs operations one at a time, so that
// the state they use needs no locks.
package task

import (
	"context"
)

// Task runs operations sequentially in its own goroutine. State that is used by
// its operations only needs no other synchronization.
type Task struct {
	ops     chan func()
	started chan struct{}
	done    chan struct{}
}

// New returns a task that runs no operations until Start is called.
func New() *Task {
	return &Task{ops: make(chan func()), started: make(chan struct{}), done: make(chan struct{})}
}

// Start runs the task in a new goroutine until ctx is done. It must not be
// called more than once.
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

// Do runs op in the task's goroutine and waits until it returns. It returns
// false without running op if the task has not been started or has ended. An op
// that calls Do of its own task deadlocks. If op panics, Do panics with a *Panic in the
// caller's goroutine, and the task goes on.
func (t *Task) Do(op func()) bool {
	select {
	case <-t.started:
	default:
		return false
	}
	ran := make(chan struct{})
	var err error
	select {
	case t.ops <- func() { err = Catch(op); close(ran) }:
		<-ran
		if err != nil {
			panic(err)
		}
		return true
	case <-t.done:
		return false
	}
}

// Try is like Do, but returns a panic of op as an error. It is for what comes from others.
// The state must bear an op that ends halfway.
func (t *Task) Try(op func()) error {
	return Catch(func() { t.Do(op) })
}

// Done returns a channel that is closed when the task has ended.
func (t *Task) Done() <-chan struct{} { return t.done }
