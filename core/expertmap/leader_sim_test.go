package expertmap

import (
	"fmt"
	"slices"
	"time"

	"nutmegnotch/core"
)

// world holds a group, its leaders and the messages between them. pick chooses
// among n possibilities.
type world struct {
	pick    func(n int) int
	now     time.Time
	log     int64
	engines []*fakeEngine
	ranks   []*Rank
	leaders []*testLeader
	net     []packet
	// ordered is the map of every step that an engine was ever ordered to run.
	ordered map[int64]int64
	ran     int64
	bad     error
	// skipFence plants the fault of ranks that do not check fences.
	skipFence bool
}

type testLeader struct {
	*Leader
	rank int
}

type packet struct {
	leader *testLeader
	to     int
	m      *Message
	reply  any
}

type fakeEngine struct {
	core.RankState
}

func newWorld(pick func(int) int, n int) *world {
	w := &world{pick: pick, now: time.Unix(0, 0), ordered: map[int64]int64{}}
	for i := range n {
		w.engines = append(w.engines, &fakeEngine{core.RankState{Fencing: i%2 == 0}})
		w.ranks = append(w.ranks, nil)
		w.restartAgent(i)
	}
	return w
}

// restartAgent replaces the agent of a rank, which recovers its fence from a
// fencing engine that kept its state, else from the log.
func (w *world) restartAgent(i int) {
	r, s := NewRank("g", i), w.engines[i].RankState
	fence := w.log - 1
	if s.Fencing && s.Generation != 0 {
		fence = s.Fence
	}
	r.Recover(s, fence)
	w.ranks[i] = r
	w.forget()
}

func (w *world) loseEngine(i int) {
	w.engines[i].RankState = core.RankState{Fencing: w.engines[i].Fencing}
	w.ranks[i].RecordStateLoss()
}

// forget drops the history when no engine and no agent knows any step any
// more. The group then begins anew under a generation that was never used.
func (w *world) forget() {
	for i, e := range w.engines {
		if e.Horizon != 0 || w.ranks[i].Horizon() != 0 {
			return
		}
	}
	w.ordered = map[int64]int64{}
}

func (w *world) elect() {
	l := NewLeader("g", w.log, len(w.ranks), nil, core.ExpertMap{})
	w.log++
	w.leaders = append(w.leaders, &testLeader{l, w.pick(len(w.ranks))})
}

func (w *world) send(l *testLeader) {
	w.now = w.now.Add(200 * time.Millisecond)
	l.ObserveStep(w.engines[l.rank].Step)
	for _, m := range l.Messages(w.now) {
		w.net = append(w.net, packet{leader: l, to: m.Rank, m: &m})
	}
}

// deliver takes message i from the network, or a copy of it.
func (w *world) deliver(i int, keep bool) {
	p := w.net[i]
	if !keep {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if p.m == nil {
		p.leader.take(p.reply)
		return
	}
	w.net = append(w.net, packet{leader: p.leader, reply: w.serve(p.to, *p.m)})
}

func (l *testLeader) take(reply any) {
	switch a := reply.(type) {
	case CollectAnswer:
		l.HandleCollectAnswer(a)
	case GrantAck:
		l.HandleGrantAck(a)
	case LoadAck:
		l.HandleLoadAck(a)
	case StopAck:
		l.HandleStopAck(a)
	case BeginAck:
		l.HandleBeginAck(a)
	}
}

// fence is the fence of a message as the rank sees it.
func (w *world) fence(r *Rank, f int64) int64 {
	if w.skipFence {
		return max(f, r.Fence())
	}
	return f
}

func (w *world) serve(i int, m Message) any {
	r, e := w.ranks[i], w.engines[i]
	switch {
	case m.Collect != nil:
		a := r.Collect(Collect{Fence: w.fence(r, m.Collect.Fence)})
		e.Fence = max(e.Fence, r.Fence())
		return a
	case m.Grant != nil:
		g := *m.Grant
		g.Fence = w.fence(r, g.Fence)
		a := r.Grant(g)
		if w.pick(4) > 0 {
			w.push(i)
		}
		return a
	case m.Load != nil:
		if r.AcceptFence(w.fence(r, m.Load.Fence)) && w.pick(3) > 0 {
			e.LoadedVersions = append(e.LoadedVersions, m.Load.Version)
			r.SetLoaded(e.LoadedVersions)
		}
		return r.LoadAck(*m.Load)
	case m.Stop != nil:
		s := *m.Stop
		s.Fence = w.fence(r, s.Fence)
		if r.AcceptStop(s) {
			e.Generation, e.Stopped, e.Runs, e.Horizon = s.Generation, true, nil, max(e.Horizon, r.StopHorizon(s))
			r.RecordStop(s)
		}
		return r.StopAck(s)
	default:
		b := *m.Begin
		b.Fence = w.fence(r, b.Fence)
		if r.AcceptBegin(b) {
			e.Stopped, e.Step, e.Horizon = false, b.Step, b.Step
			r.RecordBegin(b)
		}
		return r.BeginAck(b)
	}
}

// push hands the engine the runs that it lacks.
func (w *world) push(i int) {
	e := w.engines[i]
	for _, run := range w.ranks[i].MissingRuns(e.Horizon) {
		if e.Stopped || run.Generation != e.Generation || run.From != e.Horizon || e.Fencing && run.Fence < e.Fence {
			continue
		}
		e.Runs, e.Horizon = append(e.Runs, run), run.To
		for s := run.From; s < run.To; s++ {
			if v, ok := w.ordered[s]; ok && v != run.MapVersion {
				w.bad = fmt.Errorf("step %d: rank %d was ordered map %d, another rank map %d", s, i, run.MapVersion, v)
			}
			w.ordered[s] = run.MapVersion
		}
	}
}

// run advances the group by up to n steps in lock-step.
func (w *world) run(n int64) {
	first := w.engines[0]
	end := first.Step + n
	for _, e := range w.engines {
		if e.Generation == 0 || e.Stopped || e.Generation != first.Generation {
			return
		}
		end = min(end, e.Horizon)
	}
	for _, e := range w.engines {
		w.ran = max(w.ran, end)
		e.Step = max(e.Step, end)
	}
}

// act does one random thing.
func (w *world) act() {
	switch k := w.pick(32); {
	case k < 14 && len(w.net) > 0:
		w.deliver(w.pick(len(w.net)), w.pick(8) == 0)
	case k < 16 && len(w.net) > 0:
		w.deliver(0, false)
	case k == 16 && len(w.net) > 0:
		i := w.pick(len(w.net))
		w.net = slices.Delete(w.net, i, i+1)
	case k < 23 && len(w.leaders) > 0:
		w.send(w.leaders[w.pick(len(w.leaders))])
	case k < 26:
		w.run(int64(1 + w.pick(64)))
	case k == 26 && len(w.leaders) > 0:
		w.leaders[w.pick(len(w.leaders))].Propose(core.ExpertMap{})
	case k == 27 && (len(w.leaders) == 0 || w.pick(4) == 0):
		w.elect()
	case k == 28 && w.pick(4) == 0:
		w.restartAgent(w.pick(len(w.ranks)))
	case k == 29 && w.pick(12) == 0:
		i := w.pick(len(w.ranks))
		w.loseEngine(i)
		w.restartAgent(i)
	case k == 30 && w.pick(12) == 0:
		w.loseEngine(w.pick(len(w.ranks)))
	default:
		w.push(w.pick(len(w.ranks)))
	}
}

// settle lets one new leader work without faults for a number of rounds.
func (w *world) settle(rounds int) {
	w.net = nil
	w.elect()
	l := w.leaders[len(w.leaders)-1]
	w.leaders = []*testLeader{l}
	faulty := w.pick
	w.pick = func(n int) int { return n - 1 }
	defer func() { w.pick = faulty }()
	for range rounds {
		w.send(l)
		for len(w.net) > 0 {
			w.deliver(0, false)
		}
		for i := range w.ranks {
			w.push(i)
		}
		w.run(32)
	}
}
