package expertmap

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// phase is what a leader is doing.
type phase int

const (
	phaseCollect phase = iota
	phaseStop
	phaseLoad
	phaseBegin
	phaseRun
)

// maxMapsPerLeader bounds the maps that one leader can name.
const maxMapsPerLeader = 1 << 20

// Message is one message of a leader to a rank. Exactly one of the pointers is
// set.
type Message struct {
	Rank    int
	Collect *Collect
	Grant   *core.StepGrant
	Load    *LoadMap
	Stop    *Stop
	Begin   *Begin
}

// rankView is what the leader knows of one rank.
type rankView struct {
	answer   *CollectAnswer
	horizon  int64
	loaded   []int64
	stopped  bool
	begun    bool
	last     Message
	sent     time.Time
	loadSent time.Time
	acked    bool
}

// Leader grants steps to all ranks of a group under one fence. One task owns
// it. It is only safe because ranks refuse lower fences; it needs no lease.
type Leader struct {
	group      string
	fence      int64
	ranks      []rankView
	phase      phase
	deposed    bool
	generation int64
	start      int64
	// plan holds the grants of the generation in order of steps. It is only
	// ever appended to, so that no step is granted with two maps.
	plan    []core.StepGrant
	planEnd int64
	current int64
	pending int64
	maps    map[int64]core.ExpertMap
	mapsNew int64
	step    int64
	resets  int
}

// NewLeader returns a leader with the fence of its record. maps are the maps
// whose content is known here. fallback is used when a generation has to begin
// and the map used so far is not known here.
func NewLeader(group string, fence int64, ranks int, maps map[int64]core.ExpertMap, fallback core.ExpertMap) *Leader {
	l := &Leader{group: group, fence: fence, ranks: make([]rankView, ranks), maps: map[int64]core.ExpertMap{}}
	for v, m := range maps {
		l.maps[v] = m
	}
	l.maps[0] = fallback
	return l
}

// Fence returns the fence of the leader.
func (l *Leader) Fence() int64 { return l.fence }

// Deposed reports that a rank has seen a higher fence.
func (l *Leader) Deposed() bool { return l.deposed }

// Collecting reports whether ranks have still to answer the first message.
func (l *Leader) Collecting() bool { return l.phase == phaseCollect }

// Running reports whether all ranks take grants.
func (l *Leader) Running() bool { return l.phase == phaseRun }

// Current returns the map version of new grants and Pending the one being
// loaded, 0 when there is none.
func (l *Leader) Current() int64 { return l.current }

// Pending returns the map version that ranks are loading.
func (l *Leader) Pending() int64 { return l.pending }

// Generation returns the generation of the group.
func (l *Leader) Generation() int64 { return l.generation }

// GenerationsStarted returns how many generations this leader has begun.
func (l *Leader) GenerationsStarted() int { return l.resets }

// PlanEnd returns the step up to which steps have been granted.
func (l *Leader) PlanEnd() int64 { return l.planEnd }

// Map returns the content of a map version.
func (l *Leader) Map(version int64) (core.ExpertMap, bool) {
	m, ok := l.maps[version]
	return m, ok && version != 0
}

// Propose starts a change to another map and returns its version. It reports
// false while the group is not running or another change is under way.
func (l *Leader) Propose(m core.ExpertMap) (int64, bool) {
	if l.deposed || l.phase != phaseRun || l.pending != 0 {
		return 0, false
	}
	l.pending = l.name(m)
	return l.pending, true
}

// name gives a map a version that no other leader can give.
func (l *Leader) name(m core.ExpertMap) int64 {
	l.mapsNew++
	m.Version = (l.fence+1)*maxMapsPerLeader + l.mapsNew
	l.maps[m.Version] = m
	return m.Version
}

// ObserveStep tells how far the group has come. Any rank's step will do, as no rank
// runs ahead of another by more than one step.
func (l *Leader) ObserveStep(step int64) {
	l.step = step
	if l.deposed || l.phase != phaseRun || step < l.planEnd-renewSteps {
		return
	}
	l.plan = append(l.plan, core.StepGrant{Group: l.group, Generation: l.generation, Fence: l.fence,
		FromStep: l.planEnd, ToStep: l.planEnd + GrantSteps, MapVersion: l.current})
	l.planEnd += GrantSteps
	l.trim()
}

// trim forgets grants that every rank holds, except the newest ones.
func (l *Leader) trim() {
	low := l.planEnd
	for i := range l.ranks {
		low = min(low, l.ranks[i].horizon)
	}
	for len(l.plan) > recentGrants && l.plan[0].ToStep <= low {
		l.plan = l.plan[1:]
	}
}

// HandleCollectAnswer takes the answer of a rank to Collect.
func (l *Leader) HandleCollectAnswer(a CollectAnswer) {
	if !l.knows(a.Rank, a.HighestFence) || a.Fence != l.fence || a.HighestFence != l.fence || l.phase != phaseCollect {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked, r.answer, r.horizon, r.loaded = true, &a, a.Horizon, a.Loaded
	for i := range l.ranks {
		if l.ranks[i].answer == nil {
			return
		}
	}
	l.takeOver()
}

// knows checks rank and fence of an answer. It reports false when the answer
// must be ignored.
func (l *Leader) knows(rank int, fence int64) bool {
	if rank < 0 || rank >= len(l.ranks) {
		return false
	}
	if fence > l.fence {
		l.deposed = true
	}
	return !l.deposed
}

// reset begins a new generation: all ranks stop, load the current map and
// begin above every known horizon.
func (l *Leader) reset() {
	l.generation = max(l.generation, l.fence) + 1
	l.resets++
	l.planEnd = max(l.planEnd, l.start)
	l.phase = phaseStop
	if l.pending != 0 {
		delete(l.maps, l.pending)
		l.pending = 0
	}
	if l.current == 0 {
		l.current = l.newestKnown()
	}
	for i := range l.ranks {
		l.ranks[i].stopped, l.ranks[i].begun, l.ranks[i].sent = false, false, time.Time{}
	}
}

// HandleStopAck takes the answer of a rank to Stop.
func (l *Leader) HandleStopAck(a StopAck) {
	if !l.knows(a.Rank, a.HighestFence) || l.phase == phaseCollect || l.phase == phaseRun {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	if !a.Stopped {
		if a.Generation >= l.generation {
			l.generation = a.Generation
			l.reset()
		}
		return
	}
	if a.Generation != l.generation || l.phase != phaseStop {
		return
	}
	r.stopped, r.loaded, r.horizon = true, a.Loaded, max(r.horizon, a.Horizon)
	l.planEnd = max(l.planEnd, a.Horizon)
	if l.all(func(r *rankView) bool { return r.stopped }) {
		l.phase = phaseLoad
		l.start = l.planEnd + restartGap
		l.plan = nil
		l.loadedAll()
	}
}

func (l *Leader) all(f func(*rankView) bool) bool {
	for i := range l.ranks {
		if !f(&l.ranks[i]) {
			return false
		}
	}
	return true
}

// loadedAll goes on when all ranks have loaded the map that is waited for.
func (l *Leader) loadedAll() {
	want := l.pending
	if l.phase == phaseLoad {
		want = l.current
	}
	if want == 0 || !l.all(func(r *rankView) bool { return slices.Contains(r.loaded, want) }) {
		return
	}
	switch l.phase {
	case phaseLoad:
		l.phase = phaseBegin
	case phaseRun:
		l.current, l.pending = l.pending, 0
		l.forget()
	default:
	}
}

// forget drops the content of maps that no grant in the plan names.
func (l *Leader) forget() {
	for v := range l.maps {
		used := v == 0 || v == l.current || slices.ContainsFunc(l.plan, func(g core.StepGrant) bool { return g.MapVersion == v })
		if !used {
			delete(l.maps, v)
		}
	}
}

// HandleLoadAck takes the answer of a rank to LoadMap.
func (l *Leader) HandleLoadAck(a LoadAck) {
	if !l.knows(a.Rank, a.HighestFence) || l.phase == phaseCollect {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	if a.StateLost {
		l.lost()
		return
	}
	if a.Loaded && !slices.Contains(r.loaded, a.Version) {
		r.loaded = append(r.loaded, a.Version)
		l.loadedAll()
	}
}

// lost begins a new generation unless ranks are being stopped for one already.
func (l *Leader) lost() {
	if l.phase != phaseStop {
		l.reset()
	}
}

// HandleBeginAck takes the answer of a rank to Begin.
func (l *Leader) HandleBeginAck(a BeginAck) {
	if !l.knows(a.Rank, a.HighestFence) || l.phase != phaseBegin {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	if a.StateLost {
		l.lost()
		return
	}
	if !a.Begun || a.Generation != l.generation {
		return
	}
	r.begun, r.horizon = true, l.start
	if l.all(func(r *rankView) bool { return r.begun }) {
		l.phase, l.planEnd = phaseRun, l.start
		l.ObserveStep(l.start)
	}
}

// HandleGrantAck takes the answer of a rank to a grant. A refusal tells the horizon
// from which the rank is filled up again.
func (l *Leader) HandleGrantAck(a GrantAck) {
	if !l.knows(a.Rank, a.HighestFence) || l.phase != phaseRun {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	switch {
	case a.StateLost:
		l.lost()
	case a.Generation < l.generation:
	case a.Generation > l.generation || a.Horizon > l.planEnd:
		l.generation = max(l.generation, a.Generation)
		l.planEnd = max(l.planEnd, a.Horizon)
		l.reset()
	case !a.Accepted && a.Horizon == r.horizon:
		l.refused(r)
	default:
		r.horizon = a.Horizon
		if _, ok := l.next(r.horizon); !ok && r.horizon < l.planEnd {
			l.reset()
		}
	}
}

// refused forgets that the rank has loaded the map of its next grant. A map
// whose content is not known here cannot be loaded again, so the group begins
// a new generation with the fallback map.
func (l *Leader) refused(r *rankView) {
	if g, ok := l.next(r.horizon); ok {
		if _, known := l.maps[g.MapVersion]; !known {
			l.current = 0
			l.reset()
			return
		}
		r.loaded = slices.DeleteFunc(slices.Clone(r.loaded), func(v int64) bool { return v == g.MapVersion })
	}
}

// next returns the part of the plan that follows a horizon.
func (l *Leader) next(horizon int64) (core.StepGrant, bool) {
	for _, g := range l.plan {
		if g.FromStep <= horizon && horizon < g.ToStep {
			g.FromStep, g.Fence, g.Generation = horizon, l.fence, l.generation
			return g, true
		}
	}
	return core.StepGrant{}, false
}
