// Package retry decides which requests may be attempted again, and recognises
// requests that crash backend servers.
package retry

import (
	"time"

	"nutmegnotch/core"
)

// Limits of retries.
const (
	// MaxAttempts counts the first attempt too.
	MaxAttempts = 3
	// BudgetRatio is the share of requests that may be retried per service.
	BudgetRatio = 0.1
	// BudgetBurst is the number of retries that may follow at once.
	BudgetBurst = 10
)

// Budget implements core.Retrier. It is not safe for concurrent use. It holds
// one number per service, and services come from the configuration.
type Budget struct {
	share, burst float64
	left         map[string]float64
}

// NewBudget returns a budget with the default share and burst.
func NewBudget() *Budget { return NewBudgetWith(BudgetRatio, BudgetBurst) }

// NewBudgetWith returns a budget that permits a full burst for each service and
// then retries for this share of requests.
func NewBudgetWith(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, left: map[string]float64{}}
}

// CountRequest implements core.Retrier.
func (b *Budget) CountRequest(service string, _ time.Time) {
	b.left[service] = min(b.burst, b.of(service)+b.share)
}

func (b *Budget) of(service string) float64 {
	if left, ok := b.left[service]; ok {
		return left
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
	left := b.of(r.Service)
	if left < 1 {
		return false
	}
	b.left[r.Service] = left - 1
	return true
}

var (
	_ core.Retrier    = (*Budget)(nil)
	_ core.Quarantine = (*Quarantine)(nil)
)
