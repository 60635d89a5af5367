package expertmap

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"nutmegnotch/core"
)

var takeoverSeeds = flag.Int("takeover-seeds", 50, "simulations of takeovers")

// Times of takeoverSim.
const (
	simTick          = 20 * time.Millisecond
	simPassTicks     = 2
	simOrderTimeout  = 150 * time.Millisecond
	simLeaderTimeout = 1200 * time.Millisecond
	simRestart       = 700 * time.Millisecond
)

// takeoverSim simulates the agents of a lock-step group in virtual time. The lowest rank
// that an agent hears leads. Some orders get no answer and are carried out late, and
// runners fall silent for about a second.
type takeoverSim struct {
	rng    *rand.Rand
	now    time.Time
	ticks  int
	group  *groupModel
	agents []simAgent
	// silentUntil is until when a runner neither reports nor does anything.
	silentUntil []time.Time
	pending     []pendingOrder
	late        []scheduledOrder
	// lateShare is the share of orders that are carried out late.
	lateShare float64
	// killOnGo kills a leader whose order to release a pass is carried out late.
	killOnGo bool
	silences bool
	// idles lets the group run out of requests now and then.
	idles    bool
	layouts  int
	number   int64
	mixed    map[string]bool
	lastPass time.Time
	// onOrder takes an order, which the simulation then carries out in no other way.
	onOrder func(agent int, a AddressedOrder) bool
}

type simAgent struct {
	coordinator *ChangeCoordinator
	// awakeAt is when the agent runs again after a restart or a freeze.
	awakeAt time.Time
	heard   []time.Time
}

// pendingOrder is an order whose result reaches its sender at the time at.
type pendingOrder struct {
	coordinator *ChangeCoordinator
	agent       int
	order       AddressedOrder
	result      core.OrderResult
	at          time.Time
}

// scheduledOrder is an order that is carried out at the time at.
type scheduledOrder struct {
	order AddressedOrder
	at    time.Time
}

func newTakeoverSim(ranks int, seed uint64) *takeoverSim {
	w := &takeoverSim{
		rng: rand.New(rand.NewPCG(seed, 53)), now: time.Unix(1_000_000, 0), group: newGroupModel(ranks),
		agents: make([]simAgent, ranks), silentUntil: make([]time.Time, ranks),
	}
	w.lastPass = w.now
	for i := range w.agents {
		w.agents[i].heard = make([]time.Time, ranks)
		w.restart(i, 0)
	}
	return w
}

// restart starts the agent of a rank anew after d.
func (w *takeoverSim) restart(i int, d time.Duration) {
	w.number++
	a := &w.agents[i]
	a.awakeAt = w.now.Add(d)
	a.coordinator = NewChangeCoordinator(i, len(w.agents), w.number)
}

func (w *takeoverSim) freeze(i int, d time.Duration) { w.agents[i].awakeAt = w.now.Add(d) }

// leads reports whether an agent believes that it leads the group.
func (w *takeoverSim) leads(i int) bool {
	for r := range i {
		if w.now.Sub(w.agents[i].heard[r]) < simLeaderTimeout {
			return false
		}
	}
	return true
}

func (w *takeoverSim) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.mixed == nil; {
		w.tick()
	}
}

func (w *takeoverSim) tick() {
	w.now, w.ticks = w.now.Add(simTick), w.ticks+1
	w.executeLate()
	if w.silences && w.rng.IntN(125) == 0 {
		w.silentUntil[w.rng.IntN(len(w.agents))] = w.now.Add(time.Duration(800+w.rng.IntN(500)) * time.Millisecond)
	}
	for i := range w.agents {
		if w.now.Before(w.agents[i].awakeAt) {
			continue
		}
		for r := range w.agents {
			w.agents[r].heard[i] = w.now
		}
	}
	for i := range w.agents {
		if !w.now.Before(w.agents[i].awakeAt) && w.leads(i) {
			w.lead(i)
		}
	}
	if w.idles && w.rng.IntN(100) == 0 {
		w.group.busy = !w.group.busy
	}
	if w.ticks%simPassTicks == 0 && w.group.busy {
		w.begin()
	}
}

func (w *takeoverSim) silent(rank int) bool { return w.now.Before(w.silentUntil[rank]) }

func (w *takeoverSim) begin() {
	for r := range w.agents {
		if w.silent(r) {
			return
		}
	}
	maps := w.group.begin()
	if maps == nil {
		return
	}
	w.lastPass = w.now
	if len(maps) > 1 {
		w.mixed = maps
	}
}

func (w *takeoverSim) executeLate() {
	var left []scheduledOrder
	for _, s := range w.late {
		if w.now.Before(s.at) || w.silent(s.order.Rank) {
			left = append(left, s)
			continue
		}
		w.group.execute(s.order)
	}
	w.late = left
}

// lead lets an agent act as the leader for one tick.
func (w *takeoverSim) lead(i int) {
	c := w.agents[i].coordinator
	var left []pendingOrder
	for _, p := range w.pending {
		switch {
		case p.agent != i:
			left = append(left, p)
		case p.coordinator != c:
		case w.now.Before(p.at):
			left = append(left, p)
		default:
			c.HandleResult(p.order, p.result, w.now)
		}
	}
	w.pending = left
	for r := range w.agents {
		if !w.silent(r) {
			c.HandleReport(r, w.group.report(r), w.now)
		}
	}
	if c.Current() == nil {
		c.SetCurrent(numberedLayout(0, len(w.agents)))
	}
	if c.Ready(w.now) {
		w.layouts++
		c.Propose(numberedLayout(w.layouts, len(w.agents)), w.now)
	}
	for _, a := range c.Poll(w.now) {
		w.send(i, a)
	}
}

func (w *takeoverSim) send(i int, a AddressedOrder) {
	p := pendingOrder{coordinator: w.agents[i].coordinator, agent: i, order: a, result: core.OrderUnknown, at: w.now.Add(simOrderTimeout)}
	switch {
	case w.onOrder != nil && w.onOrder(i, a):
	case w.rng.Float64() < w.lateShare:
		w.late = append(w.late, scheduledOrder{a, w.now.Add(time.Duration(2000+w.rng.IntN(10000)) * time.Millisecond)})
		if w.killOnGo && a.Order.Kind == core.OrderGo {
			w.restart(i, simRestart)
		}
	case w.silent(a.Rank):
		w.late = append(w.late, scheduledOrder{a, w.silentUntil[a.Rank]})
	default:
		p.result, p.at = w.group.execute(a), w.now.Add(simTick)
	}
	w.pending = append(w.pending, p)
}

// Guards against passes with two maps after the kill of a leader whose order to release
// the pass is carried out while its successor at the same rank takes the change back.
func TestLateReleaseOfARestartedLeaderMixesNoMaps(t *testing.T) {
	for _, unheard := range []bool{true, false} {
		w := newTakeoverSim(4, 1)
		w.run(time.Second)
		var release AddressedOrder
		killed, disarmed := false, false
		w.onOrder = func(i int, a AddressedOrder) bool {
			switch {
			case i == 0 && a.Rank == 0 && a.Order.Kind == core.OrderGo && !killed:
				killed, release = true, a
				w.restart(0, simRestart)
				return true
			case killed && !disarmed && a.Order.Kind == core.OrderHold && unheard && w.silentUntil[3].IsZero():
				w.silentUntil[3] = w.now.Add(800 * time.Millisecond)
			case killed && a.Order.Kind == core.OrderDisarm && !disarmed:
				// The order is carried out between two orders to disarm.
				disarmed = true
				w.late = append(w.late, scheduledOrder{release, w.now.Add(simTick)})
				return false
			case disarmed && a.Order.Kind == core.OrderDisarm:
				return a.Rank != 0
			}
			return false
		}
		w.run(2 * time.Second)
		if !killed {
			t.Fatal("no change reached its release")
		}
		if !disarmed {
			w.group.execute(release)
		}
		w.run(5 * time.Second)
		if w.mixed != nil {
			t.Errorf("a rank unheard: %v: pass %d began with maps %v", unheard, w.group.pass, w.mixed)
		}
	}
}

// Guards against a pass that a restarted leader uses again although an order of its
// predecessor to release it may still be carried out.
func TestRestartedLeaderUsesNoPassAgain(t *testing.T) {
	g, now := newGroupModel(4), time.Unix(1_000_000, 0)
	propose := func(c *ChangeCoordinator) {
		c.SetCurrent(numberedLayout(0, 4))
		now = now.Add(time.Millisecond)
		if !c.Propose(numberedLayout(9, 4), now) {
			t.Fatal("propose: got false, want true")
		}
	}
	first := NewChangeCoordinator(0, 4, 7)
	now = runWithoutFaults(g, first, now, 10, true)
	propose(first)
	released := int64(-1)
	for range 50 {
		if now = runWithoutFaults(g, first, now, 1, false); g.ranks[0].held >= 0 {
			released = g.ranks[0].held
			// A rank that lost its prepared map makes the leader roll the change back.
			g.ranks[2].prepared = 0
		}
	}
	if released < 0 || first.Dropped != 1 {
		t.Fatalf("first leader: got pass %d released and %d changes rolled back, want one", released, first.Dropped)
	}
	second := NewChangeCoordinator(0, 4, 8)
	now = runWithoutFaults(g, second, now, 2, false)
	propose(second)
	for range 100 {
		if now = runWithoutFaults(g, second, now, 1, false); g.ranks[0].held >= 0 && g.ranks[0].held <= released {
			t.Fatalf("pass of the second leader: got %d, want one after %d", g.ranks[0].held, released)
		}
	}
	runWithoutFaults(g, second, now, 20, true)
	if got, want := second.Applied, 1; got != want {
		t.Errorf("changes of the second leader once passes begin: got %d, want %d", got, want)
	}
}

// Guards against passes with two maps, and against groups that stay held, after leaders
// were killed or frozen while orders are carried out late and runners fall silent.
func TestTakeoversMixNoMaps(t *testing.T) {
	const settleTime = 20 * time.Second
	for seed := range uint64(*takeoverSeeds) {
		w := newTakeoverSim(4, seed)
		w.lateShare, w.silences, w.idles, w.killOnGo = 0.3, true, seed%4 >= 2, seed%2 == 0
		for range 20 {
			w.run(time.Duration(500+w.rng.IntN(4000)) * time.Millisecond)
			switch i := w.rng.IntN(3); {
			case w.rng.IntN(3) == 0:
				w.restart(i, simRestart)
			case w.rng.IntN(2) == 0:
				w.freeze(i, time.Duration(1000+w.rng.IntN(3500))*time.Millisecond)
			}
		}
		w.lateShare, w.silences, w.idles, w.killOnGo = 0, false, false, false
		w.group.busy = true
		w.run(settleTime)
		if w.mixed != nil {
			t.Errorf("seed %d: pass %d began with maps %v", seed, w.group.pass, w.mixed)
		} else if got := w.now.Sub(w.lastPass); got > time.Second {
			t.Errorf("seed %d: last pass %v before the end, want at most 1s", seed, got)
		}
	}
}

// Guards against a hold that another leader placed for a pass which this one has released:
// nobody released it, and the group began no pass any more.
func TestHoldOfAFormerLeaderIsReleased(t *testing.T) {
	w := newTakeoverSim(4, 1)
	w.run(time.Second)
	frozen, held := false, false
	w.onOrder = func(i int, a AddressedOrder) bool {
		switch {
		case i == 0 && a.Order.Kind == core.OrderArm && !frozen:
			frozen = true
			w.freeze(0, simLeaderTimeout+foreignHoldTimeout+2*simTick)
		case i == 1 && a.Rank == 1 && a.Order.Kind == core.OrderHold && !held:
			// The engine holds the pass, and its answer is lost.
			held = true
			w.group.execute(a)
			return true
		}
		return false
	}
	w.agents[1].coordinator = NewChangeCoordinator(1, 4, 99)
	w.run(4 * time.Second)
	if !held {
		t.Fatal("the second agent did not take the hold over")
	}
	w.run(20 * time.Second)
	if got := w.now.Sub(w.lastPass); got > time.Second || w.mixed != nil {
		t.Errorf("last pass %v before the end with maps %v, want at most 1s and one map", got, w.mixed)
	}
}

// Guards against a takeover that waits for ever for its second hold, since the rank that it
// asks holds another pass.
func TestTakeoverBesideAHoldOfAnotherPass(t *testing.T) {
	for _, c := range []struct {
		ranks, other int
		within       time.Duration
	}{{4, 1, 3 * time.Second}, {4, 2, 3 * time.Second}, {4, 3, 3 * time.Second}, {2, 1, 20 * time.Second}} {
		g, now := newGroupModel(c.ranks), time.Unix(1_000_000, 0)
		g.pass = 4
		g.ranks[0].held, g.ranks[c.other].held = 5, 9
		leader := NewChangeCoordinator(0, c.ranks, 7)
		now = runWithoutFaults(g, leader, now, 1, true)
		leader.SetCurrent(numberedLayout(0, c.ranks))
		runWithoutFaults(g, leader, now, int(c.within/(20*time.Millisecond)), true)
		if g.pass < 50 {
			t.Errorf("rank %d of %d holds another pass: got pass %d after %v, want at least 50", c.other, c.ranks, g.pass, c.within)
		}
	}
}
