// Package share distributes the rate and concurrency limits of contracts over
// entries. Each home entry of an organisation owns one token bucket and lends
// credit and concurrency slots to the other entries.
package share

import (
	"math"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/rendezvous"
)

// Times and sizes of credit.
const (
	// LoanTTL is how long borrowed credit can be spent after it was requested.
	LoanTTL = time.Second
	// SlotLeaseTTL is how long lent slots can be used without a renewal.
	SlotLeaseTTL = 3 * time.Second
	// SettleTime is how long after a change of the homes a larger share takes
	// effect. By then each entry has seen the change or has stopped admitting
	// requests.
	SettleTime = 5 * time.Second
	// slotSettleTime is the same for slots. Slots that an entry lends at the end
	// of SettleTime are used until their lease ends.
	slotSettleTime = SettleTime + SlotLeaseTTL
	// Buckets hold what the contract grants in these times. The time for tokens
	// is longer, since one request may cost more than the tokens of a second.
	requestBucketTime = time.Second
	tokenBucketTime   = 4 * time.Second

	minHomes        = 4
	requestsPerHome = 100
	// tolerance absorbs rounding errors in sums of shares. What is spent beyond
	// the bucket because of it remains as debt in the bucket.
	tolerance = 1e-6
)

// Homes returns the number of homes of a contract in an entry set of n entries.
func Homes(c core.Contract, n int) int {
	return min(n, max(minHomes, int(math.Ceil(c.RequestsPerSecond/requestsPerHome))))
}

// rate returns what the contract grants per second.
func rate(c core.Contract) core.CreditAmount {
	return core.CreditAmount{Requests: max(0, c.RequestsPerSecond), Tokens: max(0, c.TokensPerSecond)}
}

// bucketSize returns the total size of the buckets of a contract. The bucket of
// each home holds at least one request.
func bucketSize(c core.Contract) core.CreditAmount {
	r := rate(c)
	b := core.CreditAmount{
		Requests: r.Requests * requestBucketTime.Seconds(),
		Tokens:   r.Tokens * tokenBucketTime.Seconds(),
	}
	if r.Requests > 0 {
		b.Requests = max(b.Requests, minHomes)
	}
	return b
}

// Burst returns how much more than rate times duration can be admitted in any
// interval: full buckets plus the credit that was lent just before the interval.
func Burst(c core.Contract) core.CreditAmount {
	return add(bucketSize(c), scale(rate(c), LoanTTL.Seconds()))
}

func add(a, b core.CreditAmount) core.CreditAmount {
	return core.CreditAmount{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}

func sub(a, b core.CreditAmount) core.CreditAmount {
	return core.CreditAmount{Requests: a.Requests - b.Requests, Tokens: a.Tokens - b.Tokens}
}

func scale(a core.CreditAmount, f float64) core.CreditAmount {
	return core.CreditAmount{Requests: a.Requests * f, Tokens: a.Tokens * f}
}

func minAmount(a, b core.CreditAmount) core.CreditAmount {
	return core.CreditAmount{Requests: min(a.Requests, b.Requests), Tokens: min(a.Tokens, b.Tokens)}
}

// covers reports whether a holds at least b, up to tolerance.
func covers(a, b core.CreditAmount) bool {
	return add(a, core.CreditAmount{Requests: tolerance, Tokens: tolerance}).Covers(b)
}

// epoch is a period that begins at since and during which the contracts and the
// entry set give each organisation the same homes.
type epoch struct {
	since     time.Time
	set       core.EntrySet
	contracts map[string]core.Contract
}

// position is the position of this entry among the homes of an organisation in
// one epoch. index is -1 if the entry is not a home. until is the end of the
// epoch, zero for the newest one.
type position struct {
	index, homes int
	until        time.Time
}

// fraction returns the part of the contract's credit that the position owns.
func (p position) fraction() float64 {
	if p.index < 0 {
		return 0
	}
	return 1 / float64(p.homes)
}

// slots returns the number of concurrency slots that the position owns.
func (p position) slots(concurrency int) int {
	if p.index < 0 || concurrency <= 0 {
		return 0
	}
	n := concurrency / p.homes
	if p.index < concurrency%p.homes {
		n++
	}
	return n
}

// homes returns the ids of the homes of an organisation in an epoch.
func (e epoch) homes(organisation string) []string {
	c, ok := e.contracts[organisation]
	if !ok {
		return nil
	}
	top := rendezvous.Top(organisation, e.set.Entries, Homes(c, len(e.set.Entries)))
	ids := make([]string, len(top))
	for i, h := range top {
		ids[i] = h.ID
	}
	return ids
}

func positionIn(homes []string, self string) position {
	for i, id := range homes {
		if id == self {
			return position{index: i, homes: len(homes)}
		}
	}
	return position{index: -1, homes: len(homes)}
}

// sameHomes reports whether both epochs give each organisation the same homes.
func sameHomes(a, b epoch) bool {
	if len(a.set.Entries) != len(b.set.Entries) {
		return false
	}
	ids := make(map[string]bool, len(a.set.Entries))
	for _, e := range a.set.Entries {
		ids[e.ID] = true
	}
	for _, e := range b.set.Entries {
		if !ids[e.ID] {
			return false
		}
	}
	n := len(a.set.Entries)
	for name, c := range b.contracts {
		old, ok := a.contracts[name]
		if !ok || Homes(old, n) != Homes(c, n) {
			return false
		}
	}
	return true
}
