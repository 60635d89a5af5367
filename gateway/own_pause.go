package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// Limits after a pause of this process.
const (
	// maxTickGap is the time without a tick from which the process counts as paused.
	maxTickGap = time.Second
	// maxConfirmTime bounds how long requests then wait until the store has confirmed what
	// the gateway knows.
	maxConfirmTime = time.Second
)

// ownPauses detects that this process was paused. Keys may have been withdrawn and
// servers may have left meanwhile, so requests wait until both topics have been read.
type ownPauses struct {
	// onWake makes all watchers read their topics at once.
	onWake func(gap time.Duration)
	// tickedAt is when the last tick began, in nanoseconds since start.
	start    time.Time
	tickedAt atomic.Int64
	// waking is nil unless the process was paused and its knowledge is not confirmed.
	waking atomic.Pointer[waking]
	mu     sync.Mutex
}

// waking is the time from the end of a pause until what the gateway knows is confirmed.
type waking struct {
	since     time.Time
	mu        sync.Mutex
	pending   map[core.Topic]bool
	confirmed chan struct{}
}

func newOwnPauses(onWake func(gap time.Duration)) *ownPauses {
	return &ownPauses{onWake: onWake, start: time.Now()}
}

// tick records that the process runs. It is called at an interval far below maxTickGap.
func (p *ownPauses) tick() {
	if w := p.detect(); w != nil && time.Since(w.since) > maxConfirmTime {
		p.waking.CompareAndSwap(w, nil)
	}
	p.tickedAt.Store(int64(time.Since(p.start)))
}

// detect returns the current waking, or nil. A request may see the pause before the next
// tick does.
func (p *ownPauses) detect() *waking {
	if p.gap() <= maxTickGap {
		return p.waking.Load()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := p.gap()
	if gap <= maxTickGap {
		return p.waking.Load()
	}
	w := &waking{since: time.Now(), pending: map[core.Topic]bool{core.TopicOperator: true, core.TopicServers: true},
		confirmed: make(chan struct{})}
	p.waking.Store(w)
	p.tickedAt.Store(int64(time.Since(p.start)))
	p.onWake(gap)
	return w
}

// gap returns the time since the last tick, or 0 before the first one.
func (p *ownPauses) gap() time.Duration {
	at := p.tickedAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(p.start) - time.Duration(at)
}

// wokenSince reports whether a pause has ended after t and is not confirmed.
func (p *ownPauses) wokenSince(t time.Time) bool {
	w := p.waking.Load()
	return w != nil && w.since.After(t)
}

// isPending reports whether a topic has to be read after a pause.
func (p *ownPauses) isPending(t core.Topic) bool {
	w := p.waking.Load()
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending[t]
}

// await waits after a pause until what the gateway knows has been confirmed, or for
// maxConfirmTime. It reports whether it had to wait.
func (p *ownPauses) await(ctx context.Context) bool {
	w := p.detect()
	if w == nil {
		return false
	}
	t := time.NewTimer(time.Until(w.since.Add(maxConfirmTime)))
	defer t.Stop()
	select {
	case <-w.confirmed:
	case <-t.C:
		p.waking.CompareAndSwap(w, nil)
	case <-ctx.Done():
	}
	return true
}

// confirm records that a topic has been read to its end by a read that began at a time.
func (p *ownPauses) confirm(t core.Topic, begun time.Time) {
	w := p.waking.Load()
	if w == nil || begun.Before(w.since) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, t)
	if len(w.pending) == 0 && p.waking.CompareAndSwap(w, nil) {
		close(w.confirmed)
	}
}

// woken makes the watchers read at once after a pause.
func (g *Gateway) woken(gap time.Duration) {
	g.log.Warn("the process was paused; requests wait until the store has been read", zap.Duration("gap", gap))
	ownPauseCount.Add(1)
	g.interruptReads()
}
