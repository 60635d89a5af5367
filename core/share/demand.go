package share

import (
	"math"
	"sort"
	"time"

	"nutmegnotch/core"
)

// Times of asking homes.
const (
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
	// horizon is how much demand an entry prefetches. More credit would expire
	// unused when demand moves to another entry.
	horizon = 250 * time.Millisecond
	// dryTime is how long an entry refuses without asking after all homes were
	// short. It bounds the messages of an organisation over its limit.
	dryTime = 50 * time.Millisecond
	// renewTime is the interval of lease renewals.
	renewTime = time.Second
)

// BorrowRequest is a request to a home entry, for slots or for credit.
type BorrowRequest struct {
	Organisation string
	Home         string
	Seq          uint64
	ForSlots     bool
	Slots        int
	Amount       core.CreditAmount
}

// ask is an open request for credit.
type ask struct {
	home   string
	seq    uint64
	asked  time.Time
	amount core.CreditAmount
}

// observe counts demand.
func (a *account) observe(amount core.CreditAmount, now time.Time) {
	a.decay(now)
	a.demand = plus(a.demand, times(amount, 1/demandTime.Seconds()))
}

func (a *account) decay(now time.Time) {
	if d := now.Sub(a.demandAt); d > 0 {
		a.demand = times(a.demand, math.Exp(-d.Seconds()/demandTime.Seconds()))
		a.demandAt = now
	}
}

// others returns the homes other than this entry, beginning with the one whose
// turn it is.
func (p *Pool) others(a *account) []string {
	ids := make([]string, 0, len(a.homes))
	for i := range a.homes {
		if id := a.homes[(a.next+i)%len(a.homes)]; id != p.self {
			ids = append(ids, id)
		}
	}
	a.next++
	return ids
}

// Tick returns the requests that prefetch credit and renew leases. It is called
// about every 100 ms.
func (p *Pool) Tick(now time.Time) []BorrowRequest {
	p.forget(now)
	var asks []BorrowRequest
	for _, name := range p.names() {
		a := p.orgs[name]
		p.fill(a, now)
		a.decay(now)
		a.dropAsks(now)
		asks = append(asks, p.prefetch(a, now)...)
		asks = append(asks, p.renew(a, now)...)
	}
	return asks
}

// names returns the organisations with state, sorted so that equal histories
// give equal requests.
func (p *Pool) names() []string {
	names := make([]string, 0, len(p.orgs))
	for name := range p.orgs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (a *account) dropAsks(now time.Time) {
	kept := a.asks[:0]
	for _, q := range a.asks {
		if now.Sub(q.asked) < LoanTTL {
			kept = append(kept, q)
		}
	}
	a.asks = kept
}

// prefetch asks one home for what the next requests are expected to need. An
// entry with less than one request in the horizon asks when a request comes.
func (p *Pool) prefetch(a *account, now time.Time) []BorrowRequest {
	need := times(a.demand, horizon.Seconds())
	if need.Requests < 1 || now.Before(a.dry) {
		return nil
	}
	missing := minus(need, a.held())
	for _, q := range a.asks {
		missing = minus(missing, q.amount)
	}
	if missing.Requests < need.Requests/4 && missing.Tokens < need.Tokens/4 {
		return nil
	}
	for _, home := range p.others(a) {
		return []BorrowRequest{p.requestCredit(a, home, missing, now)}
	}
	return nil
}

func (p *Pool) requestCredit(a *account, home string, amount core.CreditAmount, now time.Time) BorrowRequest {
	amount = core.CreditAmount{Requests: max(0, amount.Requests), Tokens: max(0, amount.Tokens)}
	p.seq++
	a.asks = append(a.asks, ask{home: home, seq: p.seq, asked: now, amount: amount})
	return BorrowRequest{Organisation: a.name, Home: home, Seq: p.seq, Amount: amount}
}

// CreditGranted takes the answer to a request for credit. An answer that no request
// waits for, and a second copy of one, has no effect.
func (p *Pool) CreditGranted(organisation, home string, seq uint64, amount core.CreditAmount, now time.Time) {
	a := p.account(organisation, now)
	if a == nil {
		return
	}
	for i, q := range a.asks {
		if q.home == home && q.seq == seq {
			a.asks = append(a.asks[:i], a.asks[i+1:]...)
			p.AddBorrowed(organisation, least(amount, q.amount), q.asked, now)
			return
		}
	}
}

// CreditHomes returns the homes to ask, one after the other until the request is
// covered, for a request that Spend has refused. It is empty when all homes
// were short a moment ago.
func (p *Pool) CreditHomes(organisation string, now time.Time) []string {
	a := p.account(organisation, now)
	if a == nil || now.Before(a.dry) {
		return nil
	}
	return p.others(a)
}

// RequestCredit prepares a request to a home for what an amount is short of.
func (p *Pool) RequestCredit(organisation, home string, amount core.CreditAmount, now time.Time) (BorrowRequest, bool) {
	a := p.account(organisation, now)
	if a == nil {
		return BorrowRequest{}, false
	}
	return p.requestCredit(a, home, minus(amount, a.held()), now), true
}

// CreditExhausted tells that all homes were asked and were short.
func (p *Pool) CreditExhausted(organisation string, now time.Time) {
	if a := p.account(organisation, now); a != nil {
		a.dry = now.Add(dryTime)
	}
}

// SlotHomes returns the homes to ask one after the other for a slot. It is
// empty when none had one a moment ago.
func (p *Pool) SlotHomes(organisation string, now time.Time) []string {
	a := p.account(organisation, now)
	if a == nil || now.Before(a.noSlots) {
		return nil
	}
	return p.others(a)
}

// SlotsExhausted tells that all homes were asked for a slot and had none.
func (p *Pool) SlotsExhausted(organisation string, now time.Time) {
	if a := p.account(organisation, now); a != nil {
		a.noSlots = now.Add(dryTime)
	}
}

// RequestSlot prepares a request to a home for one more slot.
func (p *Pool) RequestSlot(organisation, home string, now time.Time) (BorrowRequest, bool) {
	a := p.account(organisation, now)
	if a == nil {
		return BorrowRequest{}, false
	}
	a.dropLeases(now)
	want := 1
	for _, l := range a.borrowed {
		switch {
		case l.home == home && l.open:
			want += l.want
		case l.home == home:
			want += l.slots
		}
	}
	return p.requestSlots(a, home, min(want, a.contract.Concurrency), now), true
}

// renew renews the leases of the slots in use, gives back the others, and asks
// for slots for requests whose lease has ended.
func (p *Pool) renew(a *account, now time.Time) []BorrowRequest {
	a.dropLeases(now)
	var asks []BorrowRequest
	spare := 1 + a.running/8
	if now.Sub(a.used) > renewTime {
		spare = 0
	}
	need := max(0, a.running+spare-max(0, a.ownSlots()-a.lentSlots("")))
	for _, l := range append([]lease(nil), a.borrowed...) {
		keep := min(l.slots, need)
		need -= keep
		if now.Sub(l.asked) >= renewTime && l.slots > 0 {
			asks = append(asks, p.requestSlots(a, l.home, keep, now))
		}
	}
	if a.running > a.usable() && !a.asking() {
		for _, home := range p.others(a) {
			return append(asks, p.requestSlots(a, home, a.borrowedFrom(home)+a.running-a.usable(), now))
		}
	}
	return asks
}

// asking reports a request for slots within the last renewal interval that has
// no answer.
func (a *account) asking() bool {
	for _, l := range a.borrowed {
		if l.open {
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
