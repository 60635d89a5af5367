package share

import (
	"math"
	"sort"
	"time"

	"nutmegnotch/core"
)

// Times of requests to homes.
const (
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = time.Second
	// prefetchHorizon is the time whose expected demand an entry prefetches. More
	// credit would expire unused when demand moves to another entry.
	prefetchHorizon = 250 * time.Millisecond
	// exhaustedBackoff is how long an entry sends no requests to homes after none
	// of them could lend. It bounds the messages for an organisation over its
	// limit.
	exhaustedBackoff = 50 * time.Millisecond
	// renewInterval is the interval of lease renewals.
	renewInterval = time.Second
)

// BorrowRequest is a request to a home entry to lend slots or credit.
type BorrowRequest struct {
	Organisation string
	Home         string
	Seq          uint64
	ForSlots     bool
	Slots        int
	Amount       core.CreditAmount
}

// creditRequest is a request for credit that was not answered yet.
type creditRequest struct {
	home        string
	seq         uint64
	requestedAt time.Time
	amount      core.CreditAmount
}

// observeDemand adds an amount to the moving average of demand.
func (a *account) observeDemand(amount core.CreditAmount, now time.Time) {
	a.decayDemand(now)
	a.demand = add(a.demand, scale(amount, 1/demandTimeConstant.Seconds()))
}

func (a *account) decayDemand(now time.Time) {
	if d := now.Sub(a.demandAt); d > 0 {
		a.demand = scale(a.demand, math.Exp(-d.Seconds()/demandTimeConstant.Seconds()))
		a.demandAt = now
	}
}

// otherHomes returns the homes except this entry. Each call begins with another
// home, to spread requests evenly.
func (p *Pool) otherHomes(a *account) []string {
	ids := make([]string, 0, len(a.homes))
	for i := range a.homes {
		if id := a.homes[(a.nextHome+i)%len(a.homes)]; id != p.self {
			ids = append(ids, id)
		}
	}
	a.nextHome++
	return ids
}

// Tick returns the requests that prefetch credit and renew leases, and drops
// idle accounts. Call it about every 100 ms.
func (p *Pool) Tick(now time.Time) []BorrowRequest {
	p.dropIdleAccounts(now)
	var requests []BorrowRequest
	for _, name := range p.organisations() {
		a := p.orgs[name]
		p.refill(a, now)
		a.decayDemand(now)
		a.dropExpiredRequests(now)
		requests = append(requests, p.prefetch(a, now)...)
		requests = append(requests, p.renewLeases(a, now)...)
	}
	return requests
}

// organisations returns the organisations that have an account, sorted so that
// equal histories give equal requests.
func (p *Pool) organisations() []string {
	names := make([]string, 0, len(p.orgs))
	for name := range p.orgs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (a *account) dropExpiredRequests(now time.Time) {
	kept := a.pending[:0]
	for _, q := range a.pending {
		if now.Sub(q.requestedAt) < LoanTTL {
			kept = append(kept, q)
		}
	}
	a.pending = kept
}

// prefetch requests the credit for the demand of prefetchHorizon from one home.
// If that is less than one request, credit is requested only when a request
// arrives.
func (p *Pool) prefetch(a *account, now time.Time) []BorrowRequest {
	need := scale(a.demand, prefetchHorizon.Seconds())
	if need.Requests < 1 || now.Before(a.noCreditUntil) {
		return nil
	}
	missing := sub(need, a.available())
	for _, q := range a.pending {
		missing = sub(missing, q.amount)
	}
	if missing.Requests < need.Requests/4 && missing.Tokens < need.Tokens/4 {
		return nil
	}
	for _, home := range p.otherHomes(a) {
		return []BorrowRequest{p.requestCredit(a, home, missing, now)}
	}
	return nil
}

func (p *Pool) requestCredit(a *account, home string, amount core.CreditAmount, now time.Time) BorrowRequest {
	amount = core.CreditAmount{Requests: max(0, amount.Requests), Tokens: max(0, amount.Tokens)}
	p.seq++
	a.pending = append(a.pending, creditRequest{home: home, seq: p.seq, requestedAt: now, amount: amount})
	return BorrowRequest{Organisation: a.name, Home: home, Seq: p.seq, Amount: amount}
}

// CreditGranted adds the credit of the answer to a request. Unexpected answers
// and duplicates have no effect.
func (p *Pool) CreditGranted(organisation, home string, seq uint64, amount core.CreditAmount, now time.Time) {
	a := p.account(organisation, now)
	if a == nil {
		return
	}
	for i, q := range a.pending {
		if q.home == home && q.seq == seq {
			a.pending = append(a.pending[:i], a.pending[i+1:]...)
			p.AddBorrowed(organisation, minAmount(amount, q.amount), q.requestedAt, now)
			return
		}
	}
}

// CreditHomes returns the homes to request credit from, one after the other
// until the amount that Spend has refused is covered. It is empty within
// exhaustedBackoff of CreditExhausted.
func (p *Pool) CreditHomes(organisation string, now time.Time) []string {
	a := p.account(organisation, now)
	if a == nil || now.Before(a.noCreditUntil) {
		return nil
	}
	return p.otherHomes(a)
}

// RequestCredit returns a request to a home for the part of an amount that this
// entry lacks.
func (p *Pool) RequestCredit(organisation, home string, amount core.CreditAmount, now time.Time) (BorrowRequest, bool) {
	a := p.account(organisation, now)
	if a == nil {
		return BorrowRequest{}, false
	}
	return p.requestCredit(a, home, sub(amount, a.available()), now), true
}

// CreditExhausted records that no home could lend the credit requested.
func (p *Pool) CreditExhausted(organisation string, now time.Time) {
	if a := p.account(organisation, now); a != nil {
		a.noCreditUntil = now.Add(exhaustedBackoff)
	}
}

// SlotHomes returns the homes to request a slot from, one after the other. It is
// empty within exhaustedBackoff of SlotsExhausted.
func (p *Pool) SlotHomes(organisation string, now time.Time) []string {
	a := p.account(organisation, now)
	if a == nil || now.Before(a.noSlotsUntil) {
		return nil
	}
	return p.otherHomes(a)
}

// SlotsExhausted records that no home could lend a slot.
func (p *Pool) SlotsExhausted(organisation string, now time.Time) {
	if a := p.account(organisation, now); a != nil {
		a.noSlotsUntil = now.Add(exhaustedBackoff)
	}
}

// RequestSlot returns a request to a home for one more slot than it has lent.
func (p *Pool) RequestSlot(organisation, home string, now time.Time) (BorrowRequest, bool) {
	a := p.account(organisation, now)
	if a == nil {
		return BorrowRequest{}, false
	}
	a.dropExpiredLeases(now)
	want := 1
	for _, l := range a.borrowed {
		switch {
		case l.home == home && l.pending:
			want += l.want
		case l.home == home:
			want += l.slots
		}
	}
	return p.requestSlots(a, home, min(want, a.contract.Concurrency), now), true
}

// renewLeases renews the leases of the slots in use and a few spare ones,
// returns the other slots, and requests slots for running requests whose lease
// has ended.
func (p *Pool) renewLeases(a *account, now time.Time) []BorrowRequest {
	a.dropExpiredLeases(now)
	var requests []BorrowRequest
	spare := 1 + a.running/8
	if now.Sub(a.usedAt) > renewInterval {
		spare = 0
	}
	need := max(0, a.running+spare-max(0, a.ownSlots()-a.lentSlots("")))
	for _, l := range append([]lease(nil), a.borrowed...) {
		keep := min(l.slots, need)
		need -= keep
		if now.Sub(l.requestedAt) >= renewInterval && l.slots > 0 {
			requests = append(requests, p.requestSlots(a, l.home, keep, now))
		}
	}
	if a.running > a.usableSlots() && !a.slotRequestPending() {
		for _, home := range p.otherHomes(a) {
			return append(requests, p.requestSlots(a, home, a.borrowedFrom(home)+a.running-a.usableSlots(), now))
		}
	}
	return requests
}

// slotRequestPending reports whether a request for slots is not answered yet.
func (a *account) slotRequestPending() bool {
	for _, l := range a.borrowed {
		if l.pending {
			return true
		}
	}
	return false
}

func (a *account) borrowedFrom(home string) int {
	for _, l := range a.borrowed {
		if l.home == home {
			return l.slots
		}
	}
	return 0
}
