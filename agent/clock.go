package agent

import (
	"context"
	"sync/atomic"
	"time"
)

// runCountdown cancels a run that exceeds its time limit. The goroutine that
// reads the reply may pause it, so that waiting for a slow reader does not count.
// It is not safe for concurrent use, except for expired.
type runCountdown struct {
	cancel    context.CancelFunc
	timer     *time.Timer
	remaining time.Duration
	startedAt time.Time
	expired   atomic.Bool
}

func newRunCountdown(d time.Duration, cancel context.CancelFunc) *runCountdown {
	c := &runCountdown{cancel: cancel, remaining: d, startedAt: time.Now()}
	c.timer = time.AfterFunc(d, c.expire)
	return c
}

func (c *runCountdown) expire() {
	c.expired.Store(true)
	c.cancel()
}

func (c *runCountdown) restart(d time.Duration) {
	c.timer.Stop()
	c.remaining, c.startedAt = d, time.Now()
	c.timer.Reset(d)
}

func (c *runCountdown) pause() {
	c.timer.Stop()
	c.remaining -= time.Since(c.startedAt)
}

func (c *runCountdown) resume() {
	c.startedAt = time.Now()
	c.timer.Reset(max(c.remaining, time.Millisecond))
}

func (c *runCountdown) stop() { c.timer.Stop() }
