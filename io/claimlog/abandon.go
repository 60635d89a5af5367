package claimlog

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core/claim"
	"nutmegnotch/io/peer/peerpb"
)

// Limits of the releases of abandoned claims.
const (
	minReleaseBackoff     = 500 * time.Millisecond
	maxReleaseBackoff     = 30 * time.Second
	releaseCheckInterval  = 100 * time.Millisecond
	maxConcurrentReleases = 64
	maxAbandoned          = 100000
)

// abandoned is a claim that is not released yet.
type abandoned struct {
	claim     *peerpb.Claim
	expiresAt time.Time
	retryAt   time.Time
	backoff   time.Duration
}

// Abandon releases a claim that has not run and never will. The release is
// retried until it is read back from the log or the window has passed.
func (c *Claimer) Abandon(cl *peerpb.Claim) {
	select {
	case c.abandon <- cl:
	case <-c.done:
	}
}

// Abandoned returns the number of abandoned claims whose release was not read
// back from the log yet.
func (c *Claimer) Abandoned() int {
	reply := make(chan int, 1)
	select {
	case c.countRequests <- reply:
		return <-reply
	case <-c.done:
		return 0
	}
}

// run owns the abandoned claims, keyed by claim id.
func (c *Claimer) run() {
	defer close(c.done)
	defer c.wg.Wait()
	claims := map[string]*abandoned{}
	results := make(chan []string, 1)
	releasing := false
	tick := time.NewTicker(releaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case cl := <-c.abandon:
			c.track(claims, cl)
		case reply := <-c.countRequests:
			reply <- len(claims)
		case released := <-results:
			releasing = false
			for _, id := range released {
				delete(claims, id)
			}
		case now := <-tick.C:
			if releasing {
				continue
			}
			if due := takeDue(claims, now); len(due) > 0 {
				releasing = true
				c.wg.Go(func() { results <- c.releaseAll(due) })
			}
		}
	}
}

// track adds a claim to the abandoned ones.
func (c *Claimer) track(claims map[string]*abandoned, cl *peerpb.Claim) {
	if len(claims) >= maxAbandoned {
		c.cfg.Logger.Warn("too many abandoned claims; key stays claimed until the claim window ends", zap.String("claim_id", cl.GetClaimId()))
		return
	}
	now := time.Now()
	if claims[cl.GetClaimId()] == nil {
		claims[cl.GetClaimId()] = &abandoned{claim: cl, expiresAt: now.Add(c.cfg.Window), retryAt: now, backoff: minReleaseBackoff}
	}
}

// takeDue returns the claims to release now, sets the time of their next attempt
// and removes the claims whose window has passed.
func takeDue(claims map[string]*abandoned, now time.Time) []*peerpb.Claim {
	var due []*peerpb.Claim
	for id, a := range claims {
		switch {
		case now.After(a.expiresAt):
			delete(claims, id)
		case !now.Before(a.retryAt) && len(due) < maxConcurrentReleases:
			due = append(due, a.claim)
			a.retryAt = now.Add(a.backoff)
			a.backoff = min(2*a.backoff, maxReleaseBackoff)
		}
	}
	return due
}

// releaseAll releases claims concurrently and returns the ids of those whose
// release was read back.
func (c *Claimer) releaseAll(due []*peerpb.Claim) []string {
	released := make(chan string, len(due))
	var wg conc.WaitGroup
	for _, cl := range due {
		wg.Go(func() {
			if c.release(c.ctx, cl) {
				released <- cl.GetClaimId()
			}
		})
	}
	wg.Wait()
	close(released)
	var ids []string
	for id := range released {
		ids = append(ids, id)
	}
	return ids
}

// release asks the batchers of the partition in turn and reports whether the claim
// needs no further attempt.
func (c *Claimer) release(ctx context.Context, cl *peerpb.Claim) bool {
	n, err := c.partitionOf(cl)
	if err != nil {
		return true
	}
	r := &peerpb.ReleaseRequest{Partition: n, ClaimId: cl.GetClaimId(), KeyHash: cl.GetKeyHash()}
	f := &peerpb.Frame{Body: &peerpb.Frame_ReleaseRequest{ReleaseRequest: r}}
	for _, e := range claim.Batchers(int(n), c.cfg.Config.Current().EntrySet, maxEntryAttempts) {
		if c.requestVerdict(ctx, e.ID, cl.GetClaimId(), f).GetResult() == peerpb.ClaimVerdict_RESULT_VOID {
			return true
		}
	}
	return false
}
