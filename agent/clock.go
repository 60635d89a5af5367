package agent

import (
	"context"
	"sync/atomic"
	"time"
)

// runClock ends a run that takes too long. It can be paused by the goroutine
// that reads the reply.
type runClock struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	left    time.Duration
	since   time.Time
	expired atomic.Bool
}

func newRunClock(d time.Duration, cancel context.CancelFunc) *runClock {
	c := &runClock{cancel: cancel, left: d, since: time.Now()}
	c.timer = time.AfterFunc(d, c.expire)
	return c
}

func (c *runClock) expire() {
	c.expired.Store(true)
	c.cancel()
}

func (c *runClock) restart(d time.Duration) {
	c.timer.Stop()
	c.left, c.since = d, time.Now()
	c.timer.Reset(d)
}

func (c *runClock) pause() {
	c.timer.Stop()
	c.left -= time.Since(c.since)
}

func (c *runClock) resume() {
	c.since = time.Now()
	c.timer.Reset(max(c.left, time.Millisecond))
}

func (c *runClock) stop() { c.timer.Stop() }
