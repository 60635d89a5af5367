package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/io/peer/peerpb"
)

// Limits of the queue of claims to release.
const (
	maxPendingReleases   = 4096
	releaseRetryInterval = 500 * time.Millisecond
	releaseTimeout       = 2 * time.Second
	releasePollInterval  = 20 * time.Millisecond
)

// releaseTask releases claims that will never run and retries while the log is
// unavailable.
type releaseTask struct {
	claimer Claimer
	log     *zap.Logger
	add     chan *peerpb.Claim
	// notifyEmpty takes channels that are closed once the queue is empty.
	notifyEmpty chan chan struct{}
	done        chan struct{}
}

func newReleaseTask(c Claimer, log *zap.Logger) *releaseTask {
	return &releaseTask{
		claimer:     c,
		log:         log,
		add:         make(chan *peerpb.Claim, maxPendingReleases),
		notifyEmpty: make(chan chan struct{}),
		done:        make(chan struct{}),
	}
}

// release queues a claim that was recorded as abandoned. If the queue is full,
// the key stays claimed until the claim window ends; lookups at this agent still
// return that the claim was abandoned.
func (t *releaseTask) release(c *peerpb.Claim) {
	select {
	case t.add <- c:
	default:
		t.logQueueFull(c)
	}
}

func (t *releaseTask) logQueueFull(c *peerpb.Claim) {
	t.log.Warn("release queue is full; key stays claimed until the claim window ends", zap.String("claim_id", c.ClaimId))
}

// pendingReleases is an optional interface of a Claimer that retries releases by
// itself.
type pendingReleases interface {
	// Abandoned returns the number of releases that are not in the log yet.
	Abandoned() int
}

// waitReleased waits until no release is pending in the queue or at the claimer,
// but no longer than d.
func (t *releaseTask) waitReleased(d time.Duration) {
	end := time.Now().Add(d)
	t.waitQueueEmpty(d)
	p, ok := t.claimer.(pendingReleases)
	for ok && p.Abandoned() > 0 && time.Now().Before(end) {
		time.Sleep(releasePollInterval)
	}
}

// waitQueueEmpty waits until the queue is empty, but no longer than d.
func (t *releaseTask) waitQueueEmpty(d time.Duration) {
	empty := make(chan struct{})
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case t.notifyEmpty <- empty:
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

// run releases the queued claims until ctx is done. Claims whose release failed
// stay queued and are retried at every tick.
func (t *releaseTask) run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(releaseRetryInterval)
	defer tick.Stop()
	var pending []*peerpb.Claim
	var emptyWaiters []chan struct{}
	for {
		select {
		case c := <-t.add:
			if len(pending) >= maxPendingReleases {
				t.logQueueFull(c)
				continue
			}
			pending = t.releasePending(ctx, append(pending, c))
		case c := <-t.notifyEmpty:
			emptyWaiters = append(emptyWaiters, c)
		case <-tick.C:
			pending = t.releasePending(ctx, pending)
		case <-ctx.Done():
			return
		}
		if len(pending) > 0 || len(t.add) > 0 {
			continue
		}
		for _, c := range emptyWaiters {
			close(c)
		}
		emptyWaiters = nil
	}
}

// releasePending releases claims, oldest first, until one fails. It returns the
// claims that are still pending.
func (t *releaseTask) releasePending(ctx context.Context, pending []*peerpb.Claim) []*peerpb.Claim {
	for len(pending) > 0 {
		c := pending[0]
		tryCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := t.claimer.Release(tryCtx, c)
		cancel()
		if err != nil {
			t.log.Debug("failed to release claim, will retry", zap.String("claim_id", c.ClaimId), zap.Error(err))
			return pending
		}
		pending = pending[1:]
	}
	return nil
}
