package agent

import (
	"context"
	"sync/atomic"
)

// replyCredit is the number of reply bytes that the entry permits the agent to
// send. One goroutine may call add while another calls take.
type replyCredit struct {
	bytes atomic.Int64
	wake  chan struct{}
}

func newReplyCredit() *replyCredit { return &replyCredit{wake: make(chan struct{}, 1)} }

func (c *replyCredit) add(n int64) {
	if n <= 0 {
		return
	}
	c.bytes.Add(n)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take waits until credit is available and takes up to n bytes of it. It returns
// the number of bytes taken, or 0 if ctx is done.
func (c *replyCredit) take(ctx context.Context, n int) int {
	for {
		if available := c.bytes.Load(); available > 0 {
			n = int(min(int64(n), available))
			c.bytes.Add(-int64(n))
			return n
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return 0
		}
	}
}
