package gateway

import (
	"time"

	"nutmegnotch/core/retry"
)

// Parts of the shared retry budget that gateways use.
const (
	retryBudgetShare = 0.7
	// restartSlackShare is the part of the fixed number of retries that gateways use in
	// the first window after a start. What an earlier process has spent in that window
	// is not known. The rest of the budget bears three restarts of all gateways in one
	// window.
	restartSlackShare = 0.1
)

func newRetryBudget(cfg ReloadableConfig) *retry.WindowBudget {
	return retry.NewWindowBudget(cfg.RetryRatio*retryBudgetShare, 0, cfg.RetryWindow)
}

// allowRetry reports whether this gateway's part of the shared budget allows a retry,
// and if so counts it. It runs in the task.
func (g *Gateway) allowRetry(service string, now time.Time) bool {
	return g.currentRetryBudget(now).AllowRetry(service, now)
}

// currentRetryBudget returns this gateway's part of the shared budget. It runs in the task.
func (g *Gateway) currentRetryBudget(now time.Time) *retry.WindowBudget {
	s := g.state
	share, gateways := retryBudgetShare, s.members.countLive(now)
	if now.Sub(s.budgetStart) < s.reloadable.RetryWindow {
		// Other gateways that were started at the same time are not heard yet.
		share, gateways = restartSlackShare, s.members.countKnown()
	}
	s.retryBudget.SetLimits(s.reloadable.RetryRatio*retryBudgetShare, s.reloadable.RetrySlack*share/float64(gateways))
	return s.retryBudget
}
