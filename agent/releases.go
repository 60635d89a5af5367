package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/io/peer/peerpb"
)

// Bounds of the claims that wait for their release.
const (
	maxReleases     = 4096
	releaseInterval = 500 * time.Millisecond
	releaseTimeout  = 2 * time.Second
	releasePoll     = 20 * time.Millisecond
)

// releaseTask releases claims that never run, as soon as the log takes them.
type releaseTask struct {
	claimer Claimer
	log     *zap.Logger
	add     chan *peerpb.Claim
	drained chan chan struct{}
	done    chan struct{}
}

func newReleaseTask(c Claimer, log *zap.Logger) *releaseTask {
	return &releaseTask{
		claimer: c,
		log:     log,
		add:     make(chan *peerpb.Claim, maxReleases),
		drained: make(chan chan struct{}),
		done:    make(chan struct{}),
	}
}

// release queues a claim that was marked as never to run. A claim that finds
// the queue full stays in the log until the window ends; lookups still answer
// that it was abandoned.
func (t *releaseTask) release(c *peerpb.Claim) {
	select {
	case t.add <- c:
	default:
		t.full(c)
	}
}

func (t *releaseTask) full(c *peerpb.Claim) {
	t.log.Warn("release queue is full, the key stays claimed", zap.String("claim_id", c.ClaimId))
}

// pendingReleases is a Claimer that goes on with releases by itself.
type pendingReleases interface {
	// Abandoned returns the number of releases that the log has not taken yet.
	Abandoned() int
}

// wait returns when no release waits here or at the claimer, at the latest
// after d.
func (t *releaseTask) wait(d time.Duration) {
	end := time.Now().Add(d)
	t.waitQueued(d)
	p, ok := t.claimer.(pendingReleases)
	for ok && p.Abandoned() > 0 && time.Now().Before(end) {
		time.Sleep(releasePoll)
	}
}

// waitQueued returns when no release waits here, at the latest after d.
func (t *releaseTask) waitQueued(d time.Duration) {
	empty := make(chan struct{})
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case t.drained <- empty:
	case <-timer.C:
		return
	case <-t.done:
		return
	}
	select {
	case <-empty:
	case <-timer.C:
	case <-t.done:
	}
}

func (t *releaseTask) run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(releaseInterval)
	defer tick.Stop()
	var waiting []*peerpb.Claim
	var watchers []chan struct{}
	for {
		select {
		case c := <-t.add:
			if len(waiting) >= maxReleases {
				t.full(c)
				continue
			}
			waiting = t.try(ctx, append(waiting, c))
		case c := <-t.drained:
			watchers = append(watchers, c)
		case <-tick.C:
			waiting = t.try(ctx, waiting)
		case <-ctx.Done():
			return
		}
		if len(waiting) > 0 || len(t.add) > 0 {
			continue
		}
		for _, c := range watchers {
			close(c)
		}
		watchers = nil
	}
}

// try releases the oldest claims until one fails and returns those that are
// left.
func (t *releaseTask) try(ctx context.Context, waiting []*peerpb.Claim) []*peerpb.Claim {
	for len(waiting) > 0 {
		c := waiting[0]
		tryCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := t.claimer.Release(tryCtx, c)
		cancel()
		if err != nil {
			t.log.Debug("release failed, trying again", zap.String("claim_id", c.ClaimId), zap.Error(err))
			return waiting
		}
		waiting = waiting[1:]
	}
	return nil
}
