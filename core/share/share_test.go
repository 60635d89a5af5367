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
	ask    share.BorrowRequest
	from   string
	answer bool
	amount core.CreditAmount
	slots  int
}

// node is an entry with a clock of its own. seen is the time at which it read
// the newest configuration.
type node struct {
	id     string
	pool   *share.Pool
	offset time.Duration
	config int
	life   int
}

// version is one configuration and when it was accepted.
type version struct {
	contracts map[string]core.Contract
	set       core.EntrySet
	at        time.Time
}

// world interleaves entries and messages in any order.
type world struct {
	now      time.Time
	nodes    []*node
	versions []version
	messages []message
	maxRate  float64
	maxSlots int
	// level is a bucket of the greatest contract: admissions beyond rate times
	// time plus burst of any interval make it negative.
	level  core.CreditAmount
	filled time.Time
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.offset) }

// admits reports whether the freshness rule lets the entry work.
func (w *world) admits(n *node) bool {
	return n.config+1 >= len(w.versions) || w.now.Sub(w.versions[n.config+1].at) < share.SettleTime
}

func (w *world) node(t *rapid.T) *node {
	n := rapid.SampledFrom(w.nodes).Draw(t, "entry")
	if !w.admits(n) {
		w.see(n)
	}
	return n
}

func (w *world) see(n *node) {
	for n.config < len(w.versions)-1 {
		n.config++
		v := w.versions[n.config]
		n.pool.Update(v.contracts, v.set, w.clock(n))
	}
}

func (w *world) start(i int) *node {
	n := &node{id: fmt.Sprint(i)}
	w.restart(n)
	return n
}

func (w *world) restart(n *node) {
	n.life++
	n.pool = share.New(n.id, uint64(n.life)<<32, w.clock(n))
	n.config = len(w.versions) - 2
	w.see(n)
}

func (w *world) burst() core.CreditAmount { return share.Burst(contract(w.maxRate, 0)[org]) }

func (w *world) fill() {
	d := w.now.Sub(w.filled).Seconds()
	b := w.burst()
	w.level.Requests = min(b.Requests, w.level.Requests+d*w.maxRate)
	w.level.Tokens = min(b.Tokens, w.level.Tokens+d*100*w.maxRate)
	w.filled = w.now
}

func (w *world) spend(t *rapid.T) {
	n := w.node(t)
	a := core.CreditAmount{Requests: 1, Tokens: float64(rapid.IntRange(1, 300).Draw(t, "tokens"))}
	for range rapid.IntRange(1, 10).Draw(t, "count") {
		if _, ok := n.pool.Spend(org, a, w.clock(n)); ok {
			w.fill()
			w.level.Requests -= a.Requests
			w.level.Tokens -= a.Tokens
		}
	}
	for _, home := range n.pool.CreditHomes(org, w.clock(n)) {
		want := core.CreditAmount{Requests: 5, Tokens: 500}
		if q, ok := n.pool.RequestCredit(org, home, want, w.clock(n)); ok {
			w.messages = append(w.messages, message{ask: q, from: n.id})
		}
	}
}

// drain spends all that one entry has.
func (w *world) drain(t *rapid.T) {
	n := w.node(t)
	a := core.CreditAmount{Requests: 1, Tokens: 10}
	for {
		if _, ok := n.pool.Spend(org, a, w.clock(n)); !ok {
			return
		}
		w.fill()
		w.level = core.CreditAmount{Requests: w.level.Requests - a.Requests, Tokens: w.level.Tokens - a.Tokens}
	}
}

// takeAll takes all slots that one entry has.
func (w *world) takeAll(t *rapid.T) {
	n := w.node(t)
	for n.pool.TakeSlot(org, w.clock(n)) {
		continue
	}
	w.take(t)
}

func (w *world) take(t *rapid.T) {
	n := w.node(t)
	if n.pool.TakeSlot(org, w.clock(n)) {
		return
	}
	for _, home := range n.pool.SlotHomes(org, w.clock(n)) {
		if q, ok := n.pool.RequestSlot(org, home, w.clock(n)); ok {
			w.messages = append(w.messages, message{ask: q, from: n.id})
		}
	}
}

func (w *world) free(t *rapid.T) {
	n := w.node(t)
	n.pool.FreeSlot(org, w.clock(n))
}

func (w *world) tick(t *rapid.T) {
	n := w.node(t)
	for _, q := range n.pool.Tick(w.clock(n)) {
		w.messages = append(w.messages, message{ask: q, from: n.id})
	}
}

// deliver handles any message; it stays in the network when it is doubled.
func (w *world) deliver(t *rapid.T) {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	m := w.messages[i]
	if fate := rapid.IntRange(0, 5).Draw(t, "fate"); fate > 0 {
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
		if fate == 1 {
			return
		}
	}
	for _, n := range w.nodes {
		switch {
		case !w.admits(n):
		case m.answer && n.id == m.from && m.ask.ForSlots:
			n.pool.SlotsGranted(org, m.ask.Home, m.ask.Seq, m.slots, w.clock(n))
		case m.answer && n.id == m.from:
			n.pool.CreditGranted(org, m.ask.Home, m.ask.Seq, m.amount, w.clock(n))
		case !m.answer && n.id == m.ask.Home:
			w.lend(n, m)
		}
	}
}

func (w *world) lend(n *node, m message) {
	m.answer = true
	if !m.ask.ForSlots {
		m.amount = n.pool.Lend(org, m.ask.Amount, w.clock(n))
		w.messages = append(w.messages, m)
		return
	}
	// The upper half of the number names the incarnation of the borrower.
	borrower := fmt.Sprint(m.from, "/", m.ask.Seq>>32)
	if slots, ok := n.pool.LendSlots(org, borrower, m.ask.Seq, m.ask.Slots, w.clock(n)); ok {
		m.slots = slots
		w.messages = append(w.messages, m)
	}
}

func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) wait(*rapid.T) { w.now = w.now.Add(share.SettleTime) }

func (w *world) die(t *rapid.T) { w.restart(w.node(t)) }

func (w *world) change(t *rapid.T) {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, len(w.nodes)-1), 1, len(w.nodes), rapid.ID).Draw(t, "set")
	c := contract(w.maxRate*rapid.Float64Range(0.2, 1).Draw(t, "rate"), rapid.IntRange(1, w.maxSlots).Draw(t, "slots"))
	w.versions = append(w.versions, version{contracts: c, set: entrySet(ids...), at: w.now})
}

func (w *world) learn(t *rapid.T) { w.see(w.node(t)) }

func (w *world) check(t *rapid.T) {
	if w.level.Requests < -0.01 || w.level.Tokens < -0.01 {
		t.Fatalf("admitted beyond rate and burst by %+v", w.level)
	}
	used := 0
	for _, n := range w.nodes {
		if w.admits(n) {
			running, usable := n.pool.Slots(org, w.clock(n))
			used += min(running, usable)
		}
	}
	if used > w.maxSlots {
		t.Fatalf("slots in use: got %d, want at most %d", used, w.maxSlots)
	}
}

// Guards against credit or slots that are created by lost, doubled or late
// messages, by deaths, by changes of the entry set or of the contract, by
// entries that pause, or by clocks that differ. Clocks of one entry don't step
// here: a loan that is read after a step back would count as fresh, so the pool
// requires the monotonic clock, which has no steps.
func TestNothingBeyondContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "entries")
		w := &world{now: epoch, filled: epoch, maxRate: rapid.SampledFrom([]float64{2, 20, 700}).Draw(t, "rate"), maxSlots: 9}
		w.level = w.burst()
		w.versions = []version{{contracts: contract(w.maxRate, w.maxSlots), set: entrySet(0), at: epoch}}
		for i := range n {
			w.nodes = append(w.nodes, w.start(i))
			w.nodes[i].offset = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "offset")) * time.Millisecond
			w.restart(w.nodes[i])
		}
		w.wait(t)
		w.wait(t)
		// 30 steps, the default of Repeat, seldom empty a bucket and a lease, and
		// credit and slots don't touch each other.
		actions := []func(*rapid.T){
			w.tick, w.deliver, w.deliver, w.deliver, w.pass, w.pass, w.wait, w.die, w.change, w.learn, w.learn,
		}
		if rapid.Bool().Draw(t, "slots") {
			actions = append(actions, w.take, w.take, w.takeAll, w.takeAll, w.free, w.tick)
		} else {
			actions = append(actions, w.spend, w.drain, w.drain)
		}
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			w.check(t)
		}
	})
}

// Guards against a contract that is never given out.
func TestHomeServesItsShare(t *testing.T) {
	p := share.New("0", 0, epoch)
	p.Update(contract(40, 5), entrySet(0, 1), epoch)
	one := core.CreditAmount{Requests: 1, Tokens: 1}
	if wait, ok := p.Spend(org, one, epoch.Add(time.Second)); ok || wait < 4*time.Second {
		t.Errorf("spend before the share settles: got %v after %v, want a wait of 4 s", ok, wait)
	}
	// The bucket fills from the first tick after the share has settled.
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

// Guards against slots that a home lends again while a borrower that missed the
// newest grant may still use them, and against requests that arrive late.
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

// Guards against refusals of a new contract that blame its organisation.
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
