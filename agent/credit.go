package agent

import (
	"context"
	"sync/atomic"
)

// creditGate counts the reply bytes that the entry permits. One goroutine adds
// and another takes.
type creditGate struct {
	bytes atomic.Int64
	wake  chan struct{}
}

func newCreditGate() *creditGate { return &creditGate{wake: make(chan struct{}, 1)} }

func (g *creditGate) add(n int64) {
	if n <= 0 {
		return
	}
	g.bytes.Add(n)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// take waits for credit and takes up to n bytes of it. Zero means that the
// context has ended.
func (g *creditGate) take(ctx context.Context, n int) int {
	for {
		if have := g.bytes.Load(); have > 0 {
			n = int(min(int64(n), have))
			g.bytes.Add(-int64(n))
			return n
		}
		select {
		case <-g.wake:
		case <-ctx.Done():
			return 0
		}
	}
}
