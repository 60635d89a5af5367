package share

import (
	"time"

	"nutmegnotch/core"
)

// Static is the baseline of experiments: each entry owns an equal part of each
// contract and nothing is lent.
type Static struct {
	contracts map[string]core.Contract
	fraction  float64
	levels    map[string]core.CreditAmount
	filledAt  map[string]time.Time
}

// NewStatic returns the credit of one of n entries, with full buckets.
func NewStatic(contracts map[string]core.Contract, n int) *Static {
	return &Static{
		contracts: contracts,
		fraction:  1 / float64(n),
		levels:    map[string]core.CreditAmount{},
		filledAt:  map[string]time.Time{},
	}
}

// Spend takes the amount from the entry's part.
func (s *Static) Spend(organisation string, amount core.CreditAmount, now time.Time) (time.Duration, bool) {
	c := s.contracts[organisation]
	size := scale(bucketSize(c), s.fraction)
	size.Requests = max(size.Requests, 1)
	level, ok := s.levels[organisation]
	if !ok {
		level = size
	} else if d := now.Sub(s.filledAt[organisation]); d > 0 {
		level = minAmount(size, add(level, scale(rate(c), s.fraction*d.Seconds())))
	}
	s.filledAt[organisation] = now
	if !covers(level, amount) {
		s.levels[organisation] = level
		missing := sub(amount, level)
		r := scale(rate(c), s.fraction)
		w := max(ratio(missing.Requests, r.Requests), ratio(missing.Tokens, r.Tokens))
		return max(minWait, time.Duration(w*float64(time.Second))), false
	}
	s.levels[organisation] = sub(level, amount)
	return 0, true
}
