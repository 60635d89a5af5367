package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

const org = "org"

var epoch = time.Unix(1_700_000_000, 0)

func contract(rate float64, slots int) map[string]core.Contract {
	return map[string]core.Contract{org: {
		Organisation: org, RequestsPerSecond: rate, TokensPerSecond: 100 * rate, Concurrency: slots,
	}}
}

func entrySet(ids ...int) core.EntrySet {
	var s core.EntrySet
	for _, id := range ids {
		s.Entries = append(s.Entries, core.EntryInfo{ID: fmt.Sprint(id)})
	}
	return s
}

// message is a request to a home, or its answer.
type message struct {
	request share.BorrowRequest
	from    string
	answer  bool
	amount  core.CreditAmount
	slots   int
}

// node is an entry whose clock differs from the simulation's by offset. config is
// the index of the newest version that it has read.
type node struct {
	id          string
	pool        *share.Pool
	offset      time.Duration
	config      int
	incarnation int
}

// version is one configuration and the time at which it was accepted.
type version struct {
	contracts map[string]core.Contract
	set       core.EntrySet
	at        time.Time
}

// simulation runs entries and delivers their messages in any order.
type simulation struct {
	now      time.Time
	nodes    []*node
	versions []version
	messages []message
	maxRate  float64
	maxSlots int
	// level is the level of one bucket for the largest contract: more admissions
	// than rate times duration plus burst in any interval make it negative.
	level    core.CreditAmount
	filledAt time.Time
}

func (s *simulation) clock(n *node) time.Time { return s.now.Add(n.offset) }

// admits reports whether the entry may admit requests: it has read the newest
// configuration, or the next one was accepted less than SettleTime ago.
func (s *simulation) admits(n *node) bool {
	return n.config+1 >= len(s.versions) || s.now.Sub(s.versions[n.config+1].at) < share.SettleTime
}

func (s *simulation) node(t *rapid.T) *node {
	n := rapid.SampledFrom(s.nodes).Draw(t, "entry")
	if !s.admits(n) {
		s.readConfig(n)
	}
	return n
}

func (s *simulation) readConfig(n *node) {
	for n.config < len(s.versions)-1 {
		n.config++
		v := s.versions[n.config]
		n.pool.Update(v.contracts, v.set, s.clock(n))
	}
}

func (s *simulation) start(i int) *node {
	n := &node{id: fmt.Sprint(i)}
	s.restart(n)
	return n
}

func (s *simulation) restart(n *node) {
	n.incarnation++
	n.pool = share.New(n.id, uint64(n.incarnation)<<32, s.clock(n))
	n.config = len(s.versions) - 2
	s.readConfig(n)
}

func (s *simulation) burst() core.CreditAmount { return share.Burst(contract(s.maxRate, 0)[org]) }

func (s *simulation) fill() {
	d := s.now.Sub(s.filledAt).Seconds()
	b := s.burst()
	s.level.Requests = min(b.Requests, s.level.Requests+d*s.maxRate)
	s.level.Tokens = min(b.Tokens, s.level.Tokens+d*100*s.maxRate)
	s.filledAt = s.now
}

func (s *simulation) spend(t *rapid.T) {
	n := s.node(t)
	a := core.CreditAmount{Requests: 1, Tokens: float64(rapid.IntRange(1, 300).Draw(t, "tokens"))}
	for range rapid.IntRange(1, 10).Draw(t, "count") {
		if _, ok := n.pool.Spend(org, a, s.clock(n)); ok {
			s.fill()
			s.level.Requests -= a.Requests
			s.level.Tokens -= a.Tokens
		}
	}
	for _, home := range n.pool.CreditHomes(org, s.clock(n)) {
		want := core.CreditAmount{Requests: 5, Tokens: 500}
		if q, ok := n.pool.RequestCredit(org, home, want, s.clock(n)); ok {
			s.messages = append(s.messages, message{request: q, from: n.id})
		}
	}
}

// spendAll spends all the credit of one entry.
func (s *simulation) spendAll(t *rapid.T) {
	n := s.node(t)
	a := core.CreditAmount{Requests: 1, Tokens: 10}
	for {
		if _, ok := n.pool.Spend(org, a, s.clock(n)); !ok {
			return
		}
		s.fill()
		s.level = core.CreditAmount{Requests: s.level.Requests - a.Requests, Tokens: s.level.Tokens - a.Tokens}
	}
}

// takeAllSlots takes all slots of one entry.
func (s *simulation) takeAllSlots(t *rapid.T) {
	n := s.node(t)
	for n.pool.TakeSlot(org, s.clock(n)) {
		continue
	}
	s.takeSlot(t)
}

func (s *simulation) takeSlot(t *rapid.T) {
	n := s.node(t)
	if n.pool.TakeSlot(org, s.clock(n)) {
		return
	}
	for _, home := range n.pool.SlotHomes(org, s.clock(n)) {
		if q, ok := n.pool.RequestSlot(org, home, s.clock(n)); ok {
			s.messages = append(s.messages, message{request: q, from: n.id})
		}
	}
}

func (s *simulation) freeSlot(t *rapid.T) {
	n := s.node(t)
	n.pool.FreeSlot(org, s.clock(n))
}

func (s *simulation) tick(t *rapid.T) {
	n := s.node(t)
	for _, q := range n.pool.Tick(s.clock(n)) {
		s.messages = append(s.messages, message{request: q, from: n.id})
	}
}

// deliver delivers, drops or duplicates any message. A duplicated message stays
// in the network.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	m := s.messages[i]
	if fate := rapid.IntRange(0, 5).Draw(t, "fate"); fate > 0 {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
		if fate == 1 {
			return
		}
	}
	for _, n := range s.nodes {
		switch {
		case !s.admits(n):
		case m.answer && n.id == m.from && m.request.ForSlots:
			n.pool.SlotsGranted(org, m.request.Home, m.request.Seq, m.slots, s.clock(n))
		case m.answer && n.id == m.from:
			n.pool.CreditGranted(org, m.request.Home, m.request.Seq, m.amount, s.clock(n))
		case !m.answer && n.id == m.request.Home:
			s.lend(n, m)
		}
	}
}

func (s *simulation) lend(n *node, m message) {
	m.answer = true
	if !m.request.ForSlots {
		m.amount = n.pool.Lend(org, m.request.Amount, s.clock(n))
		s.messages = append(s.messages, m)
		return
	}
	// The upper half of the sequence number is the incarnation of the borrower.
	borrower := fmt.Sprint(m.from, "/", m.request.Seq>>32)
	if slots, ok := n.pool.LendSlots(org, borrower, m.request.Seq, m.request.Slots, s.clock(n)); ok {
		m.slots = slots
		s.messages = append(s.messages, m)
	}
}

func (s *simulation) advanceTime(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (s *simulation) settle(*rapid.T) { s.now = s.now.Add(share.SettleTime) }

func (s *simulation) restartAny(t *rapid.T) { s.restart(s.node(t)) }

func (s *simulation) changeConfig(t *rapid.T) {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, len(s.nodes)-1), 1, len(s.nodes), rapid.ID).Draw(t, "set")
	c := contract(s.maxRate*rapid.Float64Range(0.2, 1).Draw(t, "rate"), rapid.IntRange(1, s.maxSlots).Draw(t, "slots"))
	s.versions = append(s.versions, version{contracts: c, set: entrySet(ids...), at: s.now})
}

func (s *simulation) readConfigAny(t *rapid.T) { s.readConfig(s.node(t)) }

func (s *simulation) check(t *rapid.T) {
	if s.level.Requests < -0.01 || s.level.Tokens < -0.01 {
		t.Fatalf("admitted beyond rate and burst by %+v", s.level)
	}
	used := 0
	for _, n := range s.nodes {
		if s.admits(n) {
			running, usable := n.pool.Slots(org, s.clock(n))
			used += min(running, usable)
		}
	}
	if used > s.maxSlots {
		t.Fatalf("slots in use: got %d, want at most %d", used, s.maxSlots)
	}
}

// Guards against admissions or slots beyond the contract because of lost,
// duplicate or late messages, restarts, changes of the entry set or of the
// contract, paused entries, or clocks that differ. The clock of an entry is not
// set back here, since the pool requires the monotonic clock: after a step back
// an expired loan would count as valid.
func TestAdmissionsStayWithinContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "entries")
		s := &simulation{now: epoch, filledAt: epoch, maxRate: rapid.SampledFrom([]float64{2, 20, 700}).Draw(t, "rate"), maxSlots: 9}
		s.level = s.burst()
		s.versions = []version{{contracts: contract(s.maxRate, s.maxSlots), set: entrySet(0), at: epoch}}
		for i := range n {
			s.nodes = append(s.nodes, s.start(i))
			s.nodes[i].offset = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "offset")) * time.Millisecond
			s.restart(s.nodes[i])
		}
		s.settle(t)
		s.settle(t)
		// The 30 steps of rapid's Repeat rarely empty a bucket or a lease. Credit
		// and slots are tested apart, since they do not affect each other.
		actions := []func(*rapid.T){
			s.tick, s.deliver, s.deliver, s.deliver, s.advanceTime, s.advanceTime, s.settle, s.restartAny, s.changeConfig, s.readConfigAny, s.readConfigAny,
		}
		if rapid.Bool().Draw(t, "slots") {
			actions = append(actions, s.takeSlot, s.takeSlot, s.takeAllSlots, s.takeAllSlots, s.freeSlot, s.tick)
		} else {
			actions = append(actions, s.spend, s.spendAll, s.spendAll)
		}
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			s.check(t)
		}
	})
}

// Guards against home entries that do not grant the contract's credit and slots
// after SettleTime, or grant some before.
func TestHomeServesItsShare(t *testing.T) {
	p := share.New("0", 0, epoch)
	p.Update(contract(40, 5), entrySet(0, 1), epoch)
	one := core.CreditAmount{Requests: 1, Tokens: 1}
	if wait, ok := p.Spend(org, one, epoch.Add(time.Second)); ok || wait < 4*time.Second {
		t.Errorf("spend before the share settles: got %v after %v, want a wait of 4 s", ok, wait)
	}
	// The bucket fills from the first tick after SettleTime on.
	for d := time.Second; d < 6*time.Second; d += 100 * time.Millisecond {
		p.Tick(epoch.Add(d))
		if lent := p.Lend(org, core.CreditAmount{Requests: 0.01}, epoch.Add(d)); (lent.Requests > 0) != (d > share.SettleTime) {
			t.Errorf("lent %v after the change: got %v", d, lent)
		}
		if p.TakeSlot(org, epoch.Add(d)) {
			t.Errorf("got a slot %v after the change", d)
		}
	}
	got := 0
	for now := epoch.Add(6 * time.Second); now.Before(epoch.Add(16 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if _, ok := p.Spend(org, one, now); ok {
			got++
		}
	}
	if want := 200 + 20; got < want-3 || got > want {
		t.Errorf("admitted in 10 s at half of 40/s: got %d, want %d", got, want)
	}
	if wait, ok := p.Spend(org, core.CreditAmount{Requests: 1, Tokens: 1e6}, epoch.Add(17*time.Second)); ok || wait != 0 {
		t.Errorf("spend beyond the bucket: got %v, %v, want a permanent refusal", wait, ok)
	}
	slots := 0
	for p.TakeSlot(org, epoch.Add(20*time.Second)) {
		slots++
	}
	if slots != 2 && slots != 3 {
		t.Errorf("slots at one of two homes: got %d, want 2 or 3 of 5", slots)
	}
}

// Guards against a home that lends slots again while a borrower that did not
// receive the newest grant may still use them, and against late requests that
// take effect.
func TestLentSlotsCountUntilLeaseEnds(t *testing.T) {
	p := share.New("0", 0, epoch)
	p.Update(contract(1, 4), entrySet(0), epoch)
	now := epoch.Add(10 * time.Second)
	lend := func(borrower string, seq uint64, slots, want int, wantOK bool) {
		t.Helper()
		if got, ok := p.LendSlots(org, borrower, seq, slots, now); got != want || ok != wantOK {
			t.Errorf("lend %d to %s: got %d, %v, want %d, %v", slots, borrower, got, ok, want, wantOK)
		}
	}
	lend("b", 2, 4, 4, true)
	lend("b", 1, 1, 0, false)
	lend("b", 2, 1, 0, false)
	p.Update(contract(1, 2), entrySet(0), now)
	lend("b", 3, 4, 2, true)
	p.Update(contract(1, 4), entrySet(0), now)
	lend("c", 1, 4, 0, true)
	now = now.Add(share.SlotLeaseTTL)
	lend("c", 2, 4, 4, true)
}

// Guards against refusals after a new contract that report a limit reached by
// the organisation, although no entry can admit its requests yet.
func TestSettling(t *testing.T) {
	now := time.Now()
	p := share.New("e1", 1, now)
	set := core.EntrySet{Entries: []core.EntryInfo{{ID: "e1"}}}
	c := core.Contract{Concurrency: 1}
	p.Update(map[string]core.Contract{"old": c}, set, now)
	now = now.Add(time.Minute)
	p.Update(map[string]core.Contract{"old": c, "new": c}, set, now)
	for _, tt := range []struct {
		organisation string
		after        time.Duration
		want         bool
	}{{"old", 0, false}, {"new", 0, true}, {"new", 7 * time.Second, true}, {"new", 8 * time.Second, false}} {
		wait, got := p.Settling(tt.organisation, now.Add(tt.after))
		if got != tt.want || got && wait != 8*time.Second-tt.after {
			t.Errorf("%s after %v: got %v for %v, want %v", tt.organisation, tt.after, got, wait, tt.want)
		}
	}
}
