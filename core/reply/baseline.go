package reply

import "nutmegnotch/core"

// Unbounded is a baseline that reserves every reply whole and refuses none.
type Unbounded struct{ ledger }

// NewUnbounded returns a baseline without a limit.
func NewUnbounded() *Unbounded { return &Unbounded{newLedger()} }

// Reserve implements core.ReplyBudget.
func (b *Unbounded) Reserve(organisation string, want, _ int64) (core.Reservation, bool) {
	return b.take(organisation, want, false), true
}

// Backpressure is a baseline that reserves the same window for every reply, so
// that each slow caller causes backpressure on its backend server. It has no
// limits per organisation.
type Backpressure struct {
	ledger
	limit int64
}

// NewBackpressure returns the baseline with a limit for the whole process.
func NewBackpressure(limit int64) *Backpressure { return &Backpressure{newLedger(), limit} }

// Reserve implements core.ReplyBudget.
func (b *Backpressure) Reserve(organisation string, want, _ int64) (core.Reservation, bool) {
	bytes := min(want, WindowBytes)
	if b.total+bytes > b.limit {
		return core.Reservation{}, false
	}
	return b.take(organisation, bytes, bytes < want), true
}

var (
	_ core.ReplyBudget = (*Budget)(nil)
	_ core.ReplyBudget = (*Unbounded)(nil)
	_ core.ReplyBudget = (*Backpressure)(nil)
)
