package expertmap

import (
	"fmt"
	"slices"
	"time"

	"nutmegnotch/core"
)

// leaderSim simulates a group, its leaders and the messages between them. pick
// chooses among n possibilities.
type leaderSim struct {
	pick       func(n int) int
	now        time.Time
	nextOffset int64
	engines    []*fakeEngine
	ranks      []*Rank
	leaders    []*testLeader
	inFlight   []packet
	// mapByStep is the map of every step that an engine was ever ordered to run.
	mapByStep   map[int64]int64
	lastStepRun int64
	violation   error
	// skipFence injects the fault that ranks do not check fences.
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

func newLeaderSim(pick func(int) int, n int) *leaderSim {
	w := &leaderSim{pick: pick, now: time.Unix(0, 0), mapByStep: map[int64]int64{}}
	for i := range n {
		w.engines = append(w.engines, &fakeEngine{core.RankState{Fencing: i%2 == 0}})
		w.ranks = append(w.ranks, nil)
		w.restartAgent(i)
	}
	return w
}

// restartAgent replaces the agent of a rank. The new agent recovers the fence from
// an engine that stores fences and has kept its state, else from the log.
func (w *leaderSim) restartAgent(i int) {
	r, s := NewRank("g", i), w.engines[i].RankState
	fence := w.nextOffset - 1
	if s.Fencing && s.Generation != 0 {
		fence = s.Fence
	}
	r.Recover(s, fence)
	w.ranks[i] = r
	w.resetHistory()
}

func (w *leaderSim) loseEngine(i int) {
	w.engines[i].RankState = core.RankState{Fencing: w.engines[i].Fencing}
	w.ranks[i].RecordStateLoss()
}

// resetHistory drops the history when no engine and no agent has any step left.
// The group then starts again in a generation that was never used.
func (w *leaderSim) resetHistory() {
	for i, e := range w.engines {
		if e.Horizon != 0 || w.ranks[i].Horizon() != 0 {
			return
		}
	}
	w.mapByStep = map[int64]int64{}
}

func (w *leaderSim) elect() {
	l := NewLeader("g", w.nextOffset, len(w.ranks), nil, core.ExpertMap{})
	w.nextOffset++
	w.leaders = append(w.leaders, &testLeader{l, w.pick(len(w.ranks))})
}

func (w *leaderSim) send(l *testLeader) {
	w.now = w.now.Add(200 * time.Millisecond)
	l.ObserveStep(w.engines[l.rank].Step)
	for _, m := range l.Messages(w.now) {
		w.inFlight = append(w.inFlight, packet{leader: l, to: m.Rank, m: &m})
	}
}

// deliver delivers message i in flight. With keep the message stays in flight and
// is delivered again.
func (w *leaderSim) deliver(i int, keep bool) {
	p := w.inFlight[i]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if p.m == nil {
		p.leader.handleReply(p.reply)
		return
	}
	w.inFlight = append(w.inFlight, packet{leader: p.leader, reply: w.serve(p.to, *p.m)})
}

func (l *testLeader) handleReply(reply any) {
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

// fence returns the fence of a message as the rank sees it.
func (w *leaderSim) fence(r *Rank, f int64) int64 {
	if w.skipFence {
		return max(f, r.Fence())
	}
	return f
}

func (w *leaderSim) serve(i int, m Message) any {
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
			w.sendRuns(i)
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

// sendRuns gives the engine of rank i its missing runs and records the maps of
// their steps.
func (w *leaderSim) sendRuns(i int) {
	e := w.engines[i]
	for _, run := range w.ranks[i].MissingRuns(e.Horizon) {
		if e.Stopped || run.Generation != e.Generation || run.From != e.Horizon || e.Fencing && run.Fence < e.Fence {
			continue
		}
		e.Runs, e.Horizon = append(e.Runs, run), run.To
		for s := run.From; s < run.To; s++ {
			if v, ok := w.mapByStep[s]; ok && v != run.MapVersion {
				w.violation = fmt.Errorf("step %d: rank %d was ordered map %d, another rank map %d", s, i, run.MapVersion, v)
			}
			w.mapByStep[s] = run.MapVersion
		}
	}
}

// run advances all engines by up to n steps in lock-step.
func (w *leaderSim) run(n int64) {
	first := w.engines[0]
	end := first.Step + n
	for _, e := range w.engines {
		if e.Generation == 0 || e.Stopped || e.Generation != first.Generation {
			return
		}
		end = min(end, e.Horizon)
	}
	for _, e := range w.engines {
		w.lastStepRun = max(w.lastStepRun, end)
		e.Step = max(e.Step, end)
	}
}

// randomAction takes one random action.
func (w *leaderSim) randomAction() {
	switch k := w.pick(32); {
	case k < 14 && len(w.inFlight) > 0:
		w.deliver(w.pick(len(w.inFlight)), w.pick(8) == 0)
	case k < 16 && len(w.inFlight) > 0:
		w.deliver(0, false)
	case k == 16 && len(w.inFlight) > 0:
		i := w.pick(len(w.inFlight))
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
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
		w.sendRuns(w.pick(len(w.ranks)))
	}
}

// settle lets a new leader work without faults for a number of rounds.
func (w *leaderSim) settle(rounds int) {
	w.inFlight = nil
	w.elect()
	l := w.leaders[len(w.leaders)-1]
	w.leaders = []*testLeader{l}
	faulty := w.pick
	w.pick = func(n int) int { return n - 1 }
	defer func() { w.pick = faulty }()
	for range rounds {
		w.send(l)
		for len(w.inFlight) > 0 {
			w.deliver(0, false)
		}
		for i := range w.ranks {
			w.sendRuns(i)
		}
		w.run(32)
	}
}
