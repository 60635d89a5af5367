package share

import (
	"time"

	"nutmegnotch/core"
)

// Static is the baseline for measurements: each entry owns an equal part of
// each contract and nothing is lent.
type Static struct {
	contracts map[string]core.Contract
	part      float64
	levels    map[string]core.CreditAmount
	filled    map[string]time.Time
}

// NewStatic returns the part of one of n entries, with full buckets.
func NewStatic(contracts map[string]core.Contract, n int) *Static {
	return &Static{
		contracts: contracts,
		part:      1 / float64(n),
		levels:    map[string]core.CreditAmount{},
		filled:    map[string]time.Time{},
	}
}

// Spend takes the amount from the entry's part.
func (s *Static) Spend(organisation string, amount core.CreditAmount, now time.Time) (time.Duration, bool) {
	c := s.contracts[organisation]
	size := times(bucket(c), s.part)
	size.Requests = max(size.Requests, 1)
	level, ok := s.levels[organisation]
	if !ok {
		level = size
	} else if d := now.Sub(s.filled[organisation]); d > 0 {
		level = least(size, plus(level, times(rate(c), s.part*d.Seconds())))
	}
	s.filled[organisation] = now
	if !covers(level, amount) {
		s.levels[organisation] = level
		missing := minus(amount, level)
		r := times(rate(c), s.part)
		w := max(ratio(missing.Requests, r.Requests), ratio(missing.Tokens, r.Tokens))
		return max(minWait, time.Duration(w*float64(time.Second))), false
	}
	s.levels[organisation] = minus(level, amount)
	return 0, true
}
