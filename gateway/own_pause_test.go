package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"nutmegnotch/core"
)

// Guards against requests that go on after a pause before both topics have been read
// since, and against ones that wait without end if the store does not answer.
func TestRequestsWaitAfterAPause(t *testing.T) {
	t.Parallel()
	read := func(topics ...core.Topic) func(p *ownPauses, begun time.Time) {
		return func(p *ownPauses, begun time.Time) {
			for _, topic := range topics {
				p.confirm(topic, begun)
			}
		}
	}
	cases := []struct {
		name string
		// gap is the time without a tick, and age how long before the end of the pause the
		// reads began.
		gap, age time.Duration
		read     func(p *ownPauses, begun time.Time)
		wait     bool
		least    time.Duration
	}{
		{"no pause", maxTickGap / 2, 0, read(), false, 0},
		{"both topics are read", 2 * maxTickGap, 0, read(core.TopicOperator, core.TopicServers), true, 0},
		{"one topic is read", 2 * maxTickGap, 0, read(core.TopicOperator), true, maxConfirmTime / 2},
		{"the reads began before", 2 * maxTickGap, time.Second, read(core.TopicOperator, core.TopicServers), true, maxConfirmTime / 2},
		{"the store does not answer", 2 * maxTickGap, 0, read(), true, maxConfirmTime / 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			woken := 0
			p := newOwnPauses(func(time.Duration) { woken++ })
			p.start = p.start.Add(-time.Minute)
			p.tickedAt.Store(int64(time.Since(p.start) - c.gap))
			p.detect()
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() {
				for ctx.Err() == nil {
					p.tick()
					time.Sleep(tickInterval)
				}
			})
			defer wg.Wait()
			defer cancel()
			c.read(p, time.Now().Add(-c.age))
			begun := time.Now()
			waited := p.await(context.Background())
			took := time.Since(begun)
			if got := woken > 0; got != c.wait {
				t.Errorf("pause detected: got %t, want %t", got, c.wait)
			}
			if took < c.least || took > c.least+maxConfirmTime {
				t.Errorf("wait: got %v, want %v to %v", took, c.least, c.least+maxConfirmTime)
			}
			if want := c.least > 0; waited != want {
				t.Errorf("waited: got %t, want %t", waited, want)
			}
			if p.await(context.Background()) {
				t.Error("a later request waits too")
			}
		})
	}
}

// Guards against a topic that is read again and again without a wait, because the other
// one cannot be read after a pause.
func TestTopicIsReadOnceAfterAPause(t *testing.T) {
	p := newOwnPauses(func(time.Duration) {})
	p.start = p.start.Add(-time.Minute)
	p.tickedAt.Store(int64(time.Since(p.start) - 2*maxTickGap))
	p.detect()
	p.confirm(core.TopicOperator, time.Now())
	for _, c := range []struct {
		topic core.Topic
		want  bool
	}{{core.TopicOperator, false}, {core.TopicServers, true}, {core.TopicMembers, false}} {
		if got := p.isPending(c.topic); got != c.want {
			t.Errorf("topic %d has to be read: got %t, want %t", c.topic, got, c.want)
		}
	}
	p.waking.Load().since = time.Now().Add(-2 * maxConfirmTime)
	p.tick()
	if p.isPending(core.TopicServers) {
		t.Errorf("topic %d has to be read after %v: got true, want false", core.TopicServers, 2*maxConfirmTime)
	}
}
