package share

import "time"

// lease is the slots that a home has lent to this entry. want and seq are of
// the last request; the slots never exceed what was wanted last.
type lease struct {
	home    string
	seq     uint64
	want    int
	asked   time.Time
	open    bool
	slots   int
	expires time.Time
}

// lending is what this home has lent to one borrower. More than one grant can
// be valid, since the borrower may not have got the newest.
type lending struct {
	borrower string
	seq      uint64
	grants   []grant
}

type grant struct {
	slots   int
	expires time.Time
}

// count is the most that the borrower may believe to have.
func (l lending) count() int {
	n := 0
	for _, g := range l.grants {
		n = max(n, g.slots)
	}
	return n
}

// dropLeases forgets expired leases.
func (a *account) dropLeases(now time.Time) {
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
		if l.slots > 0 || now.Sub(l.asked) < SlotLeaseTTL {
			borrowed = append(borrowed, l)
		}
	}
	a.borrowed = borrowed
}

func (a *account) lentSlots(except string) int {
	n := 0
	for _, l := range a.lent {
		if l.borrower != except {
			n += l.count()
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

// ownUsed is the number of own slots that run requests of this entry.
func (a *account) ownUsed() int { return max(0, a.running-a.borrowedSlots()) }

// usable is the number of slots that this entry may use now.
func (a *account) usable() int {
	return a.borrowedSlots() + max(0, a.ownSlots()-a.lentSlots(""))
}

// TakeSlot takes a slot for one request. A request keeps running when a lease
// ends under it; no new one starts until the entry has slots for all again.
func (p *Pool) TakeSlot(organisation string, now time.Time) bool {
	a := p.account(organisation, now)
	if a == nil {
		return false
	}
	a.used = now
	a.dropLeases(now)
	if a.running >= a.usable() {
		return false
	}
	a.running++
	return true
}

// Settling reports that no entry may admit the organisation yet, and for how
// long at most: within the time that counts, this entry has known a
// configuration in which the organisation has no homes. A refusal then says
// nothing of what the organisation uses.
func (p *Pool) Settling(organisation string, now time.Time) (time.Duration, bool) {
	p.prune(now)
	var wait time.Duration
	for i, e := range p.epochs[:len(p.epochs)-1] {
		if len(e.homes(organisation)) == 0 {
			wait = p.epochs[i+1].since.Add(slotSettleTime).Sub(now)
		}
	}
	return wait, wait > 0
}

// FreeSlot gives a slot back.
func (p *Pool) FreeSlot(organisation string, now time.Time) {
	if a := p.orgs[organisation]; a != nil && a.running > 0 {
		a.running--
		a.used = now
	}
}

// LendSlots grants up to the number of slots. An older grant that the borrower
// may still use counts until its lease ends, up to what it wants now.
func (p *Pool) LendSlots(organisation, borrower string, seq uint64, slots int, now time.Time) (int, bool) {
	a := p.account(organisation, now)
	if a == nil || slots < 0 {
		return 0, false
	}
	a.used = now
	a.dropLeases(now)
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

// requestSlots prepares a request for slots to a home. The entry stops using more
// than it asks for before the home can know.
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
	l.seq, l.want, l.asked, l.open = p.seq, want, now, true
	l.slots = min(l.slots, want)
	return BorrowRequest{Organisation: a.name, Home: home, Seq: p.seq, ForSlots: true, Slots: want}
}

// SlotsGranted takes the answer to the last request for slots. Answers to
// earlier requests and second copies have no effect.
func (p *Pool) SlotsGranted(organisation, home string, seq uint64, slots int, now time.Time) {
	a := p.account(organisation, now)
	if a == nil {
		return
	}
	for i := range a.borrowed {
		l := &a.borrowed[i]
		if l.home == home && l.seq == seq && l.open {
			l.open = false
			l.expires = l.asked.Add(SlotLeaseTTL)
			l.slots = max(0, min(slots, l.want))
		}
	}
	a.dropLeases(now)
}

// Slots returns the number of requests of an organisation that run at this
// entry, and the number of slots that it may use.
func (p *Pool) Slots(organisation string, now time.Time) (running, usable int) {
	a := p.account(organisation, now)
	if a == nil {
		return 0, 0
	}
	a.dropLeases(now)
	return a.running, a.usable()
}
