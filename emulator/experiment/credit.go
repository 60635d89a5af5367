package experiment

import (
	"fmt"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// The contract of the experiments with credit, in requests per second.
const (
	creditOrg  = "org"
	creditRate = 200.0
	// creditTick is the time between two ticks of a pool.
	creditTickInterval = 100 * time.Millisecond
)

// creditAmount is what one request spends.
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

// lendingEntry is an entry that borrows from the homes of the contract. send
// carries a request for credit, and its answer, to a home.
type creditEntry struct {
	pool *share.Pool
	send func(p *share.Pool, q share.BorrowRequest, now time.Time)
}

// spend asks one home after the other for what the pool lacks.
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

// tick sends what the pool asks for ahead of need.
func (e creditEntry) tick(now time.Time) {
	for _, q := range e.pool.Tick(now) {
		e.send(e.pool, q, now)
	}
}

// lend answers a request for credit.
func lend(p, home *share.Pool, q share.BorrowRequest, now time.Time) {
	p.CreditGranted(creditOrg, q.Home, q.Seq, home.Lend(creditOrg, q.Amount, now), now)
}
