package task

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx is done. The first call comes after one
// interval.
func Every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f()
	}
}
