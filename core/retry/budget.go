// Package retry decides which requests may be retried, and detects requests that
// crash backend servers.
package retry

import (
	"time"

	"nutmegnotch/core"
)

// Limits of retries.
const (
	// MaxAttempts includes the first attempt.
	MaxAttempts = 3
	// BudgetRatio is the share of the requests of a service that may be retried.
	BudgetRatio = 0.1
	// BudgetBurst is the number of retries that are allowed at once.
	BudgetBurst = 10
)

// Budget is a token bucket per service that limits retries. It implements
// core.Retrier and is not safe for concurrent use. Its size is bounded, since
// services come from the configuration.
type Budget struct {
	ratio, burst float64
	remaining    map[string]float64
}

// NewBudget returns a budget with the default share and burst.
func NewBudget() *Budget { return NewBudgetWith(BudgetRatio, BudgetBurst) }

// NewBudgetWith returns a budget that allows each service burst retries at first
// and then retries for the share ratio of its requests.
func NewBudgetWith(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, remaining: map[string]float64{}}
}

// CountRequest implements core.Retrier.
func (b *Budget) CountRequest(service string, _ time.Time) {
	b.remaining[service] = min(b.burst, b.available(service)+b.ratio)
}

func (b *Budget) available(service string) float64 {
	if remaining, ok := b.remaining[service]; ok {
		return remaining
	}
	return b.burst
}

// AllowRetry implements core.Retrier.
func (b *Budget) AllowRetry(r core.Request, a core.Attempt, now time.Time) bool {
	if a.ReplyStarted || a.Number >= MaxAttempts || !now.Before(r.Deadline) {
		return false
	}
	if !a.NotRun && !r.Repeatable {
		return false
	}
	remaining := b.available(r.Service)
	if remaining < 1 {
		return false
	}
	b.remaining[r.Service] = remaining - 1
	return true
}

var _ core.Retrier = (*Budget)(nil)
