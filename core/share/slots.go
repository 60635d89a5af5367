package share

import "time"

// lease holds the slots that a home has lent to this entry. seq, want and
// requestedAt belong to the last request, and pending reports whether it is
// still unanswered. slots never exceeds want.
type lease struct {
	home        string
	seq         uint64
	want        int
	requestedAt time.Time
	pending     bool
	slots       int
	expires     time.Time
}

// lending holds the slots that this home has lent to one borrower. More than one
// grant can be valid, since the borrower may not have received the newest one.
type lending struct {
	borrower string
	seq      uint64
	grants   []grant
}

type grant struct {
	slots   int
	expires time.Time
}

// maxSlots returns the maximum number of slots that the borrower may be using.
func (l lending) maxSlots() int {
	n := 0
	for _, g := range l.grants {
		n = max(n, g.slots)
	}
	return n
}

// dropExpiredLeases drops expired grants and leases.
func (a *account) dropExpiredLeases(now time.Time) {
	lent := a.lent[:0]
	for _, l := range a.lent {
		grants := l.grants[:0]
		for _, g := range l.grants {
			if now.Before(g.expires) {
				grants = append(grants, g)
			}
		}
		l.grants = grants
		if len(grants) > 0 {
			lent = append(lent, l)
		}
	}
	a.lent = lent
	borrowed := a.borrowed[:0]
	for _, l := range a.borrowed {
		if !now.Before(l.expires) {
			l.slots = 0
		}
		if l.slots > 0 || now.Sub(l.requestedAt) < SlotLeaseTTL {
			borrowed = append(borrowed, l)
		}
	}
	a.borrowed = borrowed
}

func (a *account) lentSlots(except string) int {
	n := 0
	for _, l := range a.lent {
		if l.borrower != except {
			n += l.maxSlots()
		}
	}
	return n
}

func (a *account) borrowedSlots() int {
	n := 0
	for _, l := range a.borrowed {
		n += l.slots
	}
	return n
}

// ownUsed returns the number of own slots that this entry's requests use.
func (a *account) ownUsed() int { return max(0, a.running-a.borrowedSlots()) }

// usableSlots returns the number of slots that this entry may use now.
func (a *account) usableSlots() int {
	return a.borrowedSlots() + max(0, a.ownSlots()-a.lentSlots(""))
}

// TakeSlot takes a slot for one request. A request continues when a lease ends,
// but no new one starts until the entry has slots for all running requests
// again.
func (p *Pool) TakeSlot(organisation string, now time.Time) bool {
	a := p.account(organisation, now)
	if a == nil {
		return false
	}
	a.usedAt = now
	a.dropExpiredLeases(now)
	if a.running >= a.usableSlots() {
		return false
	}
	a.running++
	return true
}

// Settling reports whether no entry may admit requests of the organisation yet,
// and for how long at most. That is the case after this entry has known a
// configuration in which the organisation had no homes, until slotSettleTime has
// passed. A refusal in that time does not mean that the organisation has reached
// a limit.
func (p *Pool) Settling(organisation string, now time.Time) (time.Duration, bool) {
	p.dropOldEpochs(now)
	var wait time.Duration
	for i, e := range p.epochs[:len(p.epochs)-1] {
		if len(e.homes(organisation)) == 0 {
			wait = p.epochs[i+1].since.Add(slotSettleTime).Sub(now)
		}
	}
	return wait, wait > 0
}

// FreeSlot returns a slot that TakeSlot has taken.
func (p *Pool) FreeSlot(organisation string, now time.Time) {
	if a := p.orgs[organisation]; a != nil && a.running > 0 {
		a.running--
		a.usedAt = now
	}
}

// LendSlots grants up to the requested number of slots. An older grant that the
// borrower may still use counts as lent until its lease ends, up to the number
// requested now.
func (p *Pool) LendSlots(organisation, borrower string, seq uint64, slots int, now time.Time) (int, bool) {
	a := p.account(organisation, now)
	if a == nil || slots < 0 {
		return 0, false
	}
	a.usedAt = now
	a.dropExpiredLeases(now)
	l := a.lendingTo(borrower)
	if seq <= l.seq {
		return 0, false
	}
	free := a.ownSlots() - a.ownUsed() - a.lentSlots(borrower)
	granted := max(0, min(slots, free))
	grants := l.grants[:0]
	for _, g := range l.grants {
		g.slots = min(g.slots, slots)
		if g.slots > granted {
			grants = append(grants, g)
		}
	}
	l.grants = append(grants, grant{slots: granted, expires: now.Add(SlotLeaseTTL)})
	l.seq = seq
	return granted, true
}

func (a *account) lendingTo(borrower string) *lending {
	for i := range a.lent {
		if a.lent[i].borrower == borrower {
			return &a.lent[i]
		}
	}
	a.lent = append(a.lent, lending{borrower: borrower})
	return &a.lent[len(a.lent)-1]
}

// requestSlots returns a request for slots to a home. The entry stops using more
// slots than it requests before the home learns of it.
func (p *Pool) requestSlots(a *account, home string, want int, now time.Time) BorrowRequest {
	var l *lease
	for i := range a.borrowed {
		if a.borrowed[i].home == home {
			l = &a.borrowed[i]
		}
	}
	if l == nil {
		a.borrowed = append(a.borrowed, lease{home: home})
		l = &a.borrowed[len(a.borrowed)-1]
	}
	p.seq++
	l.seq, l.want, l.requestedAt, l.pending = p.seq, want, now, true
	l.slots = min(l.slots, want)
	return BorrowRequest{Organisation: a.name, Home: home, Seq: p.seq, ForSlots: true, Slots: want}
}

// SlotsGranted applies the answer to the last request for slots. Answers to
// earlier requests and duplicates have no effect.
func (p *Pool) SlotsGranted(organisation, home string, seq uint64, slots int, now time.Time) {
	a := p.account(organisation, now)
	if a == nil {
		return
	}
	for i := range a.borrowed {
		l := &a.borrowed[i]
		if l.home == home && l.seq == seq && l.pending {
			l.pending = false
			l.expires = l.requestedAt.Add(SlotLeaseTTL)
			l.slots = max(0, min(slots, l.want))
		}
	}
	a.dropExpiredLeases(now)
}

// Slots returns the number of running requests of an organisation at this entry
// and the number of slots that the entry may use.
func (p *Pool) Slots(organisation string, now time.Time) (running, usable int) {
	a := p.account(organisation, now)
	if a == nil {
		return 0, 0
	}
	a.dropExpiredLeases(now)
	return a.running, a.usableSlots()
}
