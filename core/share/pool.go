package share

import (
	"math"
	"time"

	"nutmegnotch/core"
)

// Pool holds the credit and the concurrency slots that one entry owns, borrows
// and lends. It implements core.Credits. Times must come from the monotonic
// clock: if time went back, credit that has expired could be spent again.
//
// The share that an entry owns is the smallest one that any entry set or number
// of homes of the last 5 s gives it. Whichever sets the entries have seen, one
// set was in force at all of them within the last 5 s, so the shares never sum
// to more than one. The first set counts as a change, since a process does not
// know the sets before its start. For slots the sets of the last 8 s count,
// since slots that an entry lends just before it stops are used until their
// lease ends.
type Pool struct {
	self   string
	seq    uint64
	epochs []epoch
	// droppedEpochs is the number of epochs that were removed from epochs.
	droppedEpochs int
	orgs          map[string]*account
}

// account is the state of one organisation. It exists while something is
// borrowed, lent or in use, or the bucket is not full.
type account struct {
	name          string
	contract      core.Contract
	droppedEpochs int
	homes         []string
	positions     []position

	level    core.CreditAmount
	filledAt time.Time
	fraction float64
	loans    []loan
	usedAt   time.Time

	demand        core.CreditAmount
	demandAt      time.Time
	pending       []creditRequest
	nextHome      int
	noCreditUntil time.Time

	noSlotsUntil time.Time
	running      int
	lent         []lending
	borrowed     []lease
}

// loan is credit that a home has lent.
type loan struct {
	amount  core.CreditAmount
	expires time.Time
}

var _ core.Credits = (*Pool)(nil)

// New returns the pool of an entry. now is the start of the process; seq must be
// higher than every sequence number that an earlier process of this entry has
// used.
func New(self string, seq uint64, now time.Time) *Pool {
	return &Pool{
		self:   self,
		seq:    seq,
		epochs: []epoch{{since: now}},
		orgs:   map[string]*account{},
	}
}

// Update sets the contracts and the entry set. The pool keeps the maps, which
// must not change afterwards. Update must be called for every entry set in
// order, also for those that were replaced while this entry did not read: an
// entry that skips a set does not know that its homes may still be lending.
func (p *Pool) Update(contracts map[string]core.Contract, set core.EntrySet, now time.Time) {
	for _, a := range p.orgs {
		p.refill(a, now)
	}
	last := &p.epochs[len(p.epochs)-1]
	e := epoch{since: now, set: set, contracts: contracts}
	if sameHomes(*last, e) {
		last.contracts = contracts
	} else {
		p.epochs = append(p.epochs, e)
	}
	p.dropOldEpochs(now)
	for _, a := range p.orgs {
		a.contract = contracts[a.name]
		p.refill(a, now)
	}
}

// dropOldEpochs drops the epochs that no longer count for slots.
func (p *Pool) dropOldEpochs(now time.Time) {
	for len(p.epochs) > 1 && now.Sub(p.epochs[1].since) >= slotSettleTime {
		p.epochs = p.epochs[1:]
		p.droppedEpochs++
	}
}

// account returns the account of an organisation, refilled up to now. It creates
// a missing account, and returns nil for an organisation without a contract.
func (p *Pool) account(organisation string, now time.Time) *account {
	p.dropOldEpochs(now)
	a := p.orgs[organisation]
	if a == nil {
		c, ok := p.epochs[len(p.epochs)-1].contracts[organisation]
		if !ok {
			return nil
		}
		a = &account{name: organisation, contract: c, droppedEpochs: p.droppedEpochs, filledAt: now, demandAt: now, usedAt: now}
		p.updatePositions(a)
		// Nothing was spent without an account, so the bucket has been filling
		// since the oldest epoch that counts settled.
		if settled := p.oldestEpoch(now).since.Add(SettleTime); settled.Before(now) {
			a.filledAt = settled
		}
		a.fraction = a.creditFraction(now)
		p.orgs[organisation] = a
	}
	p.refill(a, now)
	return a
}

// updatePositions adds the positions of this entry in the epochs that are new to
// the account, and drops the positions of dropped epochs.
func (p *Pool) updatePositions(a *account) {
	if drop := min(p.droppedEpochs-a.droppedEpochs, len(a.positions)); drop > 0 {
		a.positions = append(a.positions[:0], a.positions[drop:]...)
	}
	a.droppedEpochs = p.droppedEpochs
	for i := len(a.positions); i < len(p.epochs); i++ {
		a.homes = p.epochs[i].homes(a.name)
		a.positions = append(a.positions, positionIn(a.homes, p.self))
		if i > 0 {
			a.positions[i-1].until = p.epochs[i].since
		}
	}
}

// oldestEpoch returns the oldest epoch that counts for credit.
func (p *Pool) oldestEpoch(now time.Time) epoch {
	for i, e := range p.epochs[1:] {
		if now.Sub(e.since) < SettleTime {
			return p.epochs[i]
		}
	}
	return p.epochs[len(p.epochs)-1]
}

// creditFraction returns the part of the contract's credit that this entry owns
// now.
func (a *account) creditFraction(now time.Time) float64 {
	f := 1.0
	for _, at := range a.positions {
		if at.until.IsZero() || now.Sub(at.until) < SettleTime {
			f = min(f, at.fraction())
		}
	}
	return f
}

// ownSlots returns the number of slots that this entry owns now.
func (a *account) ownSlots() int {
	n := math.MaxInt
	for _, at := range a.positions {
		n = min(n, at.slots(a.contract.Concurrency))
	}
	return n
}

// refill adds the credit up to now to the bucket and drops expired loans. When
// the share of this entry has grown, credit accrues from now on only.
func (p *Pool) refill(a *account, now time.Time) {
	p.dropOldEpochs(now)
	p.updatePositions(a)
	f := a.creditFraction(now)
	if f > a.fraction {
		a.filledAt = now
	}
	a.fraction = f
	if d := now.Sub(a.filledAt); d > 0 {
		a.level = add(a.level, scale(rate(a.contract), f*d.Seconds()))
		a.filledAt = now
	}
	a.level = minAmount(a.level, scale(bucketSize(a.contract), f))
	kept := a.loans[:0]
	for _, l := range a.loans {
		if now.Before(l.expires) {
			kept = append(kept, l)
		}
	}
	a.loans = kept
}

// available returns what the entry can spend.
func (a *account) available() core.CreditAmount {
	sum := a.level
	for _, l := range a.loans {
		sum = add(sum, l.amount)
	}
	return sum
}

// Spend takes the amount from the loans first and then from the entry's own
// bucket.
func (p *Pool) Spend(organisation string, amount core.CreditAmount, now time.Time) (time.Duration, bool) {
	a := p.account(organisation, now)
	if a == nil {
		return 0, false
	}
	a.usedAt = now
	if held := a.available(); !covers(held, amount) {
		return p.retryAfter(a, sub(amount, held), amount, now), false
	}
	a.observeDemand(amount, now)
	a.debit(amount)
	return 0, true
}

func (a *account) debit(amount core.CreditAmount) {
	for i := range a.loans {
		part := minAmount(a.loans[i].amount, amount)
		a.loans[i].amount = sub(a.loans[i].amount, part)
		amount = sub(amount, part)
	}
	a.level = sub(a.level, amount)
}

// minWait is the minimum time to wait after a refusal, so that callers do not
// retry immediately.
const minWait = 10 * time.Millisecond

// retryAfter estimates how long the contract takes to grant what is missing. It
// returns 0 if the amount exceeds the buckets of the contract.
func (p *Pool) retryAfter(a *account, missing, amount core.CreditAmount, now time.Time) time.Duration {
	if !covers(bucketSize(a.contract), amount) {
		return 0
	}
	r := rate(a.contract)
	s := max(ratio(missing.Requests, r.Requests), ratio(missing.Tokens, r.Tokens))
	w := max(minWait, time.Duration(s*float64(time.Second)))
	if len(p.oldestEpoch(now).set.Entries) == 0 && len(p.epochs) > 1 {
		w += max(0, p.epochs[1].since.Add(SettleTime).Sub(now))
	}
	return w
}

func ratio(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 0
	}
	return a / b
}

// Lend debits the entry's own bucket. Requests and tokens are lent in the
// requested proportion, since a request needs both.
func (p *Pool) Lend(organisation string, amount core.CreditAmount, now time.Time) core.CreditAmount {
	a := p.account(organisation, now)
	if a == nil || amount.Requests < 0 || amount.Tokens < 0 {
		return core.CreditAmount{}
	}
	a.usedAt = now
	f := 1.0
	if amount.Requests > 0 {
		f = min(f, a.level.Requests/amount.Requests)
	}
	if amount.Tokens > 0 {
		f = min(f, a.level.Tokens/amount.Tokens)
	}
	if f <= 0 || math.IsNaN(f) {
		return core.CreditAmount{}
	}
	lent := scale(amount, f)
	a.level = sub(a.level, lent)
	return lent
}

// AddBorrowed adds a loan, unless it has expired.
func (p *Pool) AddBorrowed(organisation string, amount core.CreditAmount, asked, now time.Time) {
	a := p.account(organisation, now)
	expires := asked.Add(LoanTTL)
	if a == nil || !now.Before(expires) {
		return
	}
	a.loans = append(a.loans, loan{amount: amount, expires: expires})
}

// Homes returns the ids of the home entries in the newest entry set.
func (p *Pool) Homes(organisation string) []string {
	return p.epochs[len(p.epochs)-1].homes(organisation)
}

// idleTTL is how long the account of an organisation without activity is kept.
const idleTTL = 30 * time.Second

// dropIdleAccounts drops the accounts of idle organisations that have no loans,
// lendings or leases and a full bucket. A new account has a full bucket too.
func (p *Pool) dropIdleAccounts(now time.Time) {
	for name, a := range p.orgs {
		if now.Sub(a.usedAt) < idleTTL || a.running > 0 {
			continue
		}
		p.refill(a, now)
		a.dropExpiredLeases(now)
		full := covers(a.level, scale(bucketSize(a.contract), a.fraction))
		if full && len(a.loans) == 0 && len(a.lent) == 0 && len(a.borrowed) == 0 {
			delete(p.orgs, name)
		}
	}
}
