package admission

import (
	"math"
	"time"

	"nutmegnotch/core"
)

// Baseline is a simpler policy for comparisons in benchmarks. It ignores
// outcomes and fair shares. It implements core.Admitter.
type Baseline struct {
	limitTokens int64
	limitCount  int
	held        map[string]int64
	tokens      int64
}

// NewUnlimited returns the baseline that admits everything.
func NewUnlimited() *Baseline { return newBaseline(math.MaxInt64, math.MaxInt) }

// NewFixedCount returns the baseline that admits up to n requests of any size.
func NewFixedCount(n int) *Baseline { return newBaseline(math.MaxInt64, n) }

// NewNoWarmUp returns the baseline that applies the full limits from the start.
func NewNoWarmUp(l Limits) *Baseline { return newBaseline(l.MemoryTokens, l.MaxConcurrency) }

func newBaseline(tokens int64, count int) *Baseline {
	return &Baseline{limitTokens: tokens, limitCount: count, held: map[string]int64{}}
}

// Admit reserves the cost of r or refuses it as not run.
func (b *Baseline) Admit(r core.Request, _ time.Time) (core.Refusal, bool) {
	if r.Cost() > b.limitTokens-b.tokens || len(b.held) >= b.limitCount {
		return refuse(core.CodeOverloaded, "limit of the backend server", defaultRetryAfter), false
	}
	b.held[r.ID] = r.Cost()
	b.tokens += r.Cost()
	return core.Refusal{}, true
}

// Done releases what Admit reserved.
func (b *Baseline) Done(r core.Request, _ core.Outcome, _ time.Time) {
	b.tokens -= b.held[r.ID]
	delete(b.held, r.ID)
}

// Restarted has no effect.
func (b *Baseline) Restarted(time.Time) {}

// Load returns the reserved tokens and requests and their limits.
func (b *Baseline) Load() (heldTokens int64, heldCount int, limitTokens int64, limitCount int) {
	return b.tokens, len(b.held), b.limitTokens, b.limitCount
}
