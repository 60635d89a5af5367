package experiment

import (
	"fmt"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// The contract of the experiments with credit. Its rate is in requests per second.
const (
	creditOrg  = "org"
	creditRate = 200.0
	// creditTickInterval is the time between two calls of Pool.Tick.
	creditTickInterval = 100 * time.Millisecond
)

// creditAmount is the credit that one request spends.
var creditAmount = core.CreditAmount{Requests: 1, Tokens: 50}

func creditContract(slots int) map[string]core.Contract {
	return map[string]core.Contract{creditOrg: {
		Organisation: creditOrg, RequestsPerSecond: creditRate, TokensPerSecond: 100 * creditRate, Concurrency: slots,
	}}
}

func entrySet(ids ...int) core.EntrySet {
	var s core.EntrySet
	for _, id := range ids {
		s.Entries = append(s.Entries, core.EntryInfo{ID: fmt.Sprint(id)})
	}
	return s
}

// creditEntry is an entry that borrows credit from the homes of the contract. send
// sends a request for credit to a home and applies the answer to the pool.
type creditEntry struct {
	pool *share.Pool
	send func(p *share.Pool, q share.BorrowRequest, now time.Time)
}

// spend spends the credit of one request. If the pool has too little, it requests
// credit from one home after the other.
func (e creditEntry) spend(now time.Time) bool {
	if _, ok := e.pool.Spend(creditOrg, creditAmount, now); ok {
		return true
	}
	homes := e.pool.CreditHomes(creditOrg, now)
	for _, home := range homes {
		if q, ok := e.pool.RequestCredit(creditOrg, home, creditAmount, now); ok {
			e.send(e.pool, q, now)
		}
		if _, ok := e.pool.Spend(creditOrg, creditAmount, now); ok {
			return true
		}
	}
	if len(homes) > 0 {
		e.pool.CreditExhausted(creditOrg, now)
	}
	return false
}

// tick sends the requests of the pool that prefetch credit.
func (e creditEntry) tick(now time.Time) {
	for _, q := range e.pool.Tick(now) {
		e.send(e.pool, q, now)
	}
}

// lend grants a request for credit from the pool of the home.
func lend(p, home *share.Pool, q share.BorrowRequest, now time.Time) {
	p.CreditGranted(creditOrg, q.Home, q.Seq, home.Lend(creditOrg, q.Amount, now), now)
}
