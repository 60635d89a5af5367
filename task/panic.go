package task

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
)

// restartDelay is the time after which a loop that has panicked is started again.
const restartDelay = time.Second

// Panic is a panic that was caught.
type Panic struct {
	Value any
	Stack []byte
}

func (p *Panic) Error() string { return fmt.Sprintf("panic: %v\n%s", p.Value, p.Stack) }

// Catch calls f and returns its panic as an error.
func Catch(f func()) (err error) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case *Panic:
			err = p
		default:
			err = &Panic{Value: p, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

// Keep runs a loop until it returns. When it panics, Keep calls failed and starts it again
// after a short time, unless ctx is done.
func Keep(ctx context.Context, loop func(context.Context), failed func(error)) {
	for {
		err := Catch(func() { loop(ctx) })
		if err == nil {
			return
		}
		failed(err)
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
			return
		}
	}
}
