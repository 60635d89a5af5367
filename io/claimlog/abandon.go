package claimlog

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core/claim"
	"nutmegnotch/io/peer/peerpb"
)

// Times and limits of the releases of abandoned claims.
const (
	minReleaseDelay = 500 * time.Millisecond
	maxReleaseDelay = 30 * time.Second
	releaseTick     = 100 * time.Millisecond
	releasesAtOnce  = 64
	maxAbandoned    = 100000
)

// abandoned is a claim that waits for its release.
type abandoned struct {
	claim *peerpb.Claim
	until time.Time
	next  time.Time
	delay time.Duration
}

// Abandon releases a claim that has not run and never will run, as soon as the
// log can be reached. It gives up when the window has passed.
func (c *Claimer) Abandon(cl *peerpb.Claim) {
	select {
	case c.abandon <- cl:
	case <-c.done:
	}
}

// Abandoned returns the number of claims whose release was not read back yet.
func (c *Claimer) Abandoned() int {
	answer := make(chan int, 1)
	select {
	case c.pending <- answer:
		return <-answer
	case <-c.done:
		return 0
	}
}

// run owns the abandoned claims by claim id.
func (c *Claimer) run() {
	defer close(c.done)
	defer c.wg.Wait()
	all := map[string]*abandoned{}
	results := make(chan []string, 1)
	busy := false
	tick := time.NewTicker(releaseTick)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case cl := <-c.abandon:
			c.remember(all, cl)
		case answer := <-c.pending:
			answer <- len(all)
		case released := <-results:
			busy = false
			for _, id := range released {
				delete(all, id)
			}
		case now := <-tick.C:
			if busy {
				continue
			}
			if due := takeDue(all, now); len(due) > 0 {
				busy = true
				c.wg.Go(func() { results <- c.releaseAll(due) })
			}
		}
	}
}

func (c *Claimer) remember(all map[string]*abandoned, cl *peerpb.Claim) {
	if len(all) >= maxAbandoned {
		c.cfg.Logger.Warn("too many abandoned claims, key stays held for the window", zap.String("claim_id", cl.GetClaimId()))
		return
	}
	now := time.Now()
	if all[cl.GetClaimId()] == nil {
		all[cl.GetClaimId()] = &abandoned{claim: cl, until: now.Add(c.cfg.Window), next: now, delay: minReleaseDelay}
	}
}

// takeDue returns the claims to release now and drops those whose window has
// passed.
func takeDue(all map[string]*abandoned, now time.Time) []*peerpb.Claim {
	var due []*peerpb.Claim
	for id, a := range all {
		switch {
		case now.After(a.until):
			delete(all, id)
		case !now.Before(a.next) && len(due) < releasesAtOnce:
			due = append(due, a.claim)
			a.next = now.Add(a.delay)
			a.delay = min(2*a.delay, maxReleaseDelay)
		}
	}
	return due
}

// releaseAll returns the ids of the claims whose release was read back.
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

func (c *Claimer) release(ctx context.Context, cl *peerpb.Claim) bool {
	n, err := c.partition(cl)
	if err != nil {
		return true
	}
	r := &peerpb.ReleaseRequest{Partition: n, ClaimId: cl.GetClaimId(), KeyHash: cl.GetKeyHash()}
	f := &peerpb.Frame{Body: &peerpb.Frame_ReleaseRequest{ReleaseRequest: r}}
	for _, e := range claim.Batchers(int(n), c.cfg.Config.Current().EntrySet, claimAttempts) {
		if c.ask(ctx, e.ID, cl.GetClaimId(), f).GetResult() == peerpb.ClaimVerdict_RESULT_VOID {
			return true
		}
	}
	return false
}
