package share

import (
	"math"
	"time"

	"nutmegnotch/core"
)

// Pool is the credit and the slots that one entry owns, borrows and lends. It
// implements core.Credits. Times must come from the monotonic clock: after a
// step back, credit that has expired would count as fresh.
//
// The share of an entry is the least that any entry set or number of homes of
// the last 5 s gives it. Whatever set each entry has seen, one set was in force
// within the last 5 s at all of them, so the shares never sum to more than one.
// The first set counts as a change, since a process can't know what was before.
// Slots count the sets of the last 8 s, since what an entry lends just before
// it stops is used until the lease ends.
type Pool struct {
	self   string
	seq    uint64
	epochs []epoch
	// pruned counts the epochs that were forgotten.
	pruned int
	orgs   map[string]*account
}

// account is the state of one organisation. It exists while something is
// borrowed, lent, in use, or missing from the bucket.
type account struct {
	name     string
	contract core.Contract
	pruned   int
	homes    []string
	places   []position

	level    core.CreditAmount
	filled   time.Time
	fraction float64
	loans    []loan
	used     time.Time

	demand   core.CreditAmount
	demandAt time.Time
	asks     []ask
	next     int
	dry      time.Time

	noSlots  time.Time
	running  int
	lent     []lending
	borrowed []lease
}

// loan is credit from a home.
type loan struct {
	amount  core.CreditAmount
	expires time.Time
}

var _ core.Credits = (*Pool)(nil)

// New returns the pool of an entry. now is the start of the process; seq must
// be above every number that an earlier process of this entry has used.
func New(self string, seq uint64, now time.Time) *Pool {
	return &Pool{
		self:   self,
		seq:    seq,
		epochs: []epoch{{since: now}},
		orgs:   map[string]*account{},
	}
}

// Update adopts contracts and entry set. The maps are kept and must not change.
// It must be called for each entry set in turn, also for those that were in
// force only while this entry didn't read: an entry that skips a set doesn't
// know that the homes of that set may still be lending.
func (p *Pool) Update(contracts map[string]core.Contract, set core.EntrySet, now time.Time) {
	for _, a := range p.orgs {
		p.fill(a, now)
	}
	last := &p.epochs[len(p.epochs)-1]
	e := epoch{since: now, set: set, contracts: contracts}
	if sameHomes(*last, e) {
		last.contracts = contracts
	} else {
		p.epochs = append(p.epochs, e)
	}
	p.prune(now)
	for _, a := range p.orgs {
		a.contract = contracts[a.name]
		p.fill(a, now)
	}
}

// prune forgets the epochs that count no more.
func (p *Pool) prune(now time.Time) {
	for len(p.epochs) > 1 && now.Sub(p.epochs[1].since) >= slotSettleTime {
		p.epochs = p.epochs[1:]
		p.pruned++
	}
}

// account returns the state of an organisation, or nil without a contract.
func (p *Pool) account(organisation string, now time.Time) *account {
	p.prune(now)
	a := p.orgs[organisation]
	if a == nil {
		c, ok := p.epochs[len(p.epochs)-1].contracts[organisation]
		if !ok {
			return nil
		}
		a = &account{name: organisation, contract: c, pruned: p.pruned, filled: now, demandAt: now, used: now}
		p.locate(a)
		// Nothing was spent before: the bucket has filled since the oldest
		// epoch that counts has settled.
		if settled := p.oldest(now).since.Add(SettleTime); settled.Before(now) {
			a.filled = settled
		}
		a.fraction = a.share(now)
		p.orgs[organisation] = a
	}
	p.fill(a, now)
	return a
}

// locate finds the place of this entry in the epochs that are new to the
// account, and drops the places of those that count no more.
func (p *Pool) locate(a *account) {
	if drop := min(p.pruned-a.pruned, len(a.places)); drop > 0 {
		a.places = append(a.places[:0], a.places[drop:]...)
	}
	a.pruned = p.pruned
	for i := len(a.places); i < len(p.epochs); i++ {
		a.homes = p.epochs[i].homes(a.name)
		a.places = append(a.places, positionIn(a.homes, p.self))
		if i > 0 {
			a.places[i-1].until = p.epochs[i].since
		}
	}
}

// oldest returns the oldest epoch that counts for credit.
func (p *Pool) oldest(now time.Time) epoch {
	for i, e := range p.epochs[1:] {
		if now.Sub(e.since) < SettleTime {
			return p.epochs[i]
		}
	}
	return p.epochs[len(p.epochs)-1]
}

// share is the part of the credit that this entry owns now.
func (a *account) share(now time.Time) float64 {
	f := 1.0
	for _, at := range a.places {
		if at.until.IsZero() || now.Sub(at.until) < SettleTime {
			f = min(f, at.fraction())
		}
	}
	return f
}

// ownSlots is the number of slots that this entry owns now.
func (a *account) ownSlots() int {
	n := math.MaxInt
	for _, at := range a.places {
		n = min(n, at.slots(a.contract.Concurrency))
	}
	return n
}

// fill brings the bucket up to now. A share that has grown counts from now on.
func (p *Pool) fill(a *account, now time.Time) {
	p.prune(now)
	p.locate(a)
	f := a.share(now)
	if f > a.fraction {
		a.filled = now
	}
	a.fraction = f
	if d := now.Sub(a.filled); d > 0 {
		a.level = plus(a.level, times(rate(a.contract), f*d.Seconds()))
		a.filled = now
	}
	a.level = least(a.level, times(bucket(a.contract), f))
	kept := a.loans[:0]
	for _, l := range a.loans {
		if now.Before(l.expires) {
			kept = append(kept, l)
		}
	}
	a.loans = kept
}

// held is what the entry can spend.
func (a *account) held() core.CreditAmount {
	sum := a.level
	for _, l := range a.loans {
		sum = plus(sum, l.amount)
	}
	return sum
}

// Spend takes the amount from loans and the own bucket.
func (p *Pool) Spend(organisation string, amount core.CreditAmount, now time.Time) (time.Duration, bool) {
	a := p.account(organisation, now)
	if a == nil {
		return 0, false
	}
	a.used = now
	if held := a.held(); !covers(held, amount) {
		return p.wait(a, minus(amount, held), amount, now), false
	}
	a.observe(amount, now)
	a.take(amount)
	return 0, true
}

func (a *account) take(amount core.CreditAmount) {
	for i := range a.loans {
		part := least(a.loans[i].amount, amount)
		a.loans[i].amount = minus(a.loans[i].amount, part)
		amount = minus(amount, part)
	}
	a.level = minus(a.level, amount)
}

// minWait keeps callers from asking again at once.
const minWait = 10 * time.Millisecond

// wait estimates when the contract gives what is missing.
func (p *Pool) wait(a *account, missing, amount core.CreditAmount, now time.Time) time.Duration {
	if !covers(bucket(a.contract), amount) {
		return 0
	}
	r := rate(a.contract)
	s := max(ratio(missing.Requests, r.Requests), ratio(missing.Tokens, r.Tokens))
	w := max(minWait, time.Duration(s*float64(time.Second)))
	if len(p.oldest(now).set.Entries) == 0 && len(p.epochs) > 1 {
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

// Lend debits the own bucket. Both parts are lent in the proportion in which
// they were asked for, since a request needs both.
func (p *Pool) Lend(organisation string, amount core.CreditAmount, now time.Time) core.CreditAmount {
	a := p.account(organisation, now)
	if a == nil || amount.Requests < 0 || amount.Tokens < 0 {
		return core.CreditAmount{}
	}
	a.used = now
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
	lent := times(amount, f)
	a.level = minus(a.level, lent)
	return lent
}

// AddBorrowed adds a loan, unless its life is over.
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

// idleLife is how long an organisation without activity keeps its state.
const idleLife = 30 * time.Second

// forget drops the state of idle organisations that hold nothing. A bucket that
// was forgotten full is full when it is made again.
func (p *Pool) forget(now time.Time) {
	for name, a := range p.orgs {
		if now.Sub(a.used) < idleLife || a.running > 0 {
			continue
		}
		p.fill(a, now)
		a.dropLeases(now)
		full := covers(a.level, times(bucket(a.contract), a.fraction))
		if full && len(a.loans) == 0 && len(a.lent) == 0 && len(a.borrowed) == 0 {
			delete(p.orgs, name)
		}
	}
}
