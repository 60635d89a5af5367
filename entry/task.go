package entry

import "context"

// task runs operations on a state that it alone owns.
type task struct {
	ops  chan func()
	done chan struct{}
}

func startTask(ctx context.Context) task {
	t := task{ops: make(chan func()), done: make(chan struct{})}
	go t.run(ctx)
	return t
}

func (t task) run(ctx context.Context) {
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

// do runs op in the task and waits for it. It reports false when the task has
// ended. An op must not call do of the same task.
func (t task) do(op func()) bool {
	ran := make(chan struct{})
	select {
	case t.ops <- func() { op(); close(ran) }:
		<-ran
		return true
	case <-t.done:
		return false
	}
}
