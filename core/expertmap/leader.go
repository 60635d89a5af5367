package expertmap

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// leaderPhase is the phase of a leader. It collects the state of all ranks and
// then either resumes the running generation or stops all ranks, loads a map,
// begins a new generation and runs it.
type leaderPhase int

const (
	leaderCollect leaderPhase = iota
	leaderStop
	leaderLoad
	leaderBegin
	leaderRun
)

// maxMapsPerLeader bounds the map versions that one leader can assign.
const maxMapsPerLeader = 1 << 20

// Message is a message of a leader to a rank. Exactly one of the pointers is
// set.
type Message struct {
	Rank    int
	Collect *Collect
	Grant   *core.StepGrant
	Load    *LoadMap
	Stop    *Stop
	Begin   *Begin
}

// rankProgress is what the leader knows of one rank.
type rankProgress struct {
	answer      *CollectAnswer
	horizon     int64
	loaded      []int64
	stopped     bool
	begun       bool
	lastMessage Message
	sentAt      time.Time
	loadSentAt  time.Time
	acked       bool
}

// Leader grants steps to all ranks of a group under one fencing token. It needs
// no lease, because ranks refuse lower fences. It is not safe for concurrent
// use.
type Leader struct {
	group      string
	fence      int64
	ranks      []rankProgress
	phase      leaderPhase
	deposed    bool
	generation int64
	startStep  int64
	// plan holds the grants of the generation in order of steps. Grants are
	// appended and never changed, so that no step is granted with two maps.
	plan               []core.StepGrant
	planEnd            int64
	current            int64
	pending            int64
	maps               map[int64]core.ExpertMap
	mapsAssigned       int64
	step               int64
	generationsStarted int
}

// NewLeader returns a leader with the fence of its record. maps holds the maps
// whose content the caller knows. fallback is the map of a new generation when
// the content of the map used so far is not known.
func NewLeader(group string, fence int64, ranks int, maps map[int64]core.ExpertMap, fallback core.ExpertMap) *Leader {
	l := &Leader{group: group, fence: fence, ranks: make([]rankProgress, ranks), maps: map[int64]core.ExpertMap{}}
	for v, m := range maps {
		l.maps[v] = m
	}
	l.maps[0] = fallback
	return l
}

// Fence returns the fence of the leader.
func (l *Leader) Fence() int64 { return l.fence }

// Deposed reports whether a rank has seen a higher fence. A deposed leader sends
// nothing and ignores all answers.
func (l *Leader) Deposed() bool { return l.deposed }

// Collecting reports whether some ranks have not answered Collect yet.
func (l *Leader) Collecting() bool { return l.phase == leaderCollect }

// Running reports whether the leader grants steps.
func (l *Leader) Running() bool { return l.phase == leaderRun }

// Current returns the map version of new grants.
func (l *Leader) Current() int64 { return l.current }

// Pending returns the map version that ranks are loading for a change of map,
// or 0.
func (l *Leader) Pending() int64 { return l.pending }

// Generation returns the generation of the group.
func (l *Leader) Generation() int64 { return l.generation }

// GenerationsStarted returns the number of generations that this leader has
// started.
func (l *Leader) GenerationsStarted() int { return l.generationsStarted }

// PlanEnd returns the first step that is not planned yet.
func (l *Leader) PlanEnd() int64 { return l.planEnd }

// Map returns the content of a map version, if it is known here.
func (l *Leader) Map(version int64) (core.ExpertMap, bool) {
	m, ok := l.maps[version]
	return m, ok && version != 0
}

// Propose starts a change to another map and returns the version assigned to
// it. It reports false while the group is not running or another change is in
// progress.
func (l *Leader) Propose(m core.ExpertMap) (int64, bool) {
	if l.deposed || l.phase != leaderRun || l.pending != 0 {
		return 0, false
	}
	l.pending = l.assignVersion(m)
	return l.pending, true
}

// assignVersion stores a map under a new version that no other leader assigns.
func (l *Leader) assignVersion(m core.ExpertMap) int64 {
	l.mapsAssigned++
	m.Version = (l.fence+1)*maxMapsPerLeader + l.mapsAssigned
	l.maps[m.Version] = m
	return m.Version
}

// ObserveStep takes the step that the group has reached and appends a grant when
// few granted steps are left. The step of any rank can be used, since no rank
// is ahead of another by more than one step.
func (l *Leader) ObserveStep(step int64) {
	l.step = step
	if l.deposed || l.phase != leaderRun || step < l.planEnd-renewThresholdSteps {
		return
	}
	l.plan = append(l.plan, core.StepGrant{Group: l.group, Generation: l.generation, Fence: l.fence,
		FromStep: l.planEnd, ToStep: l.planEnd + GrantSteps, MapVersion: l.current})
	l.planEnd += GrantSteps
	l.trimPlan()
}

// trimPlan drops grants that every rank holds, except the newest ones.
func (l *Leader) trimPlan() {
	low := l.planEnd
	for i := range l.ranks {
		low = min(low, l.ranks[i].horizon)
	}
	for len(l.plan) > maxRecentGrants && l.plan[0].ToStep <= low {
		l.plan = l.plan[1:]
	}
}

// HandleCollectAnswer processes the answer of a rank to Collect. After the last
// answer the leader resumes the generation or starts a new one.
func (l *Leader) HandleCollectAnswer(a CollectAnswer) {
	if !l.validAnswer(a.Rank, a.HighestFence) || a.Fence != l.fence || a.HighestFence != l.fence || l.phase != leaderCollect {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked, r.answer, r.horizon, r.loaded = true, &a, a.Horizon, a.Loaded
	for i := range l.ranks {
		if l.ranks[i].answer == nil {
			return
		}
	}
	l.resume()
}

// validAnswer checks the rank and the fence of an answer. It reports false when
// the answer must be ignored.
func (l *Leader) validAnswer(rank int, fence int64) bool {
	if rank < 0 || rank >= len(l.ranks) {
		return false
	}
	if fence > l.fence {
		l.deposed = true
	}
	return !l.deposed
}

// startGeneration starts a new generation: all ranks stop, load the current map
// and begin above every known horizon.
func (l *Leader) startGeneration() {
	l.generation = max(l.generation, l.fence) + 1
	l.generationsStarted++
	l.planEnd = max(l.planEnd, l.startStep)
	l.phase = leaderStop
	if l.pending != 0 {
		delete(l.maps, l.pending)
		l.pending = 0
	}
	if l.current == 0 {
		l.current = l.newestKnownMap()
	}
	for i := range l.ranks {
		l.ranks[i].stopped, l.ranks[i].begun, l.ranks[i].sentAt = false, false, time.Time{}
	}
}

// HandleStopAck processes the answer of a rank to Stop.
func (l *Leader) HandleStopAck(a StopAck) {
	if !l.validAnswer(a.Rank, a.HighestFence) || l.phase == leaderCollect || l.phase == leaderRun {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	if !a.Stopped {
		if a.Generation >= l.generation {
			l.generation = a.Generation
			l.startGeneration()
		}
		return
	}
	if a.Generation != l.generation || l.phase != leaderStop {
		return
	}
	r.stopped, r.loaded, r.horizon = true, a.Loaded, max(r.horizon, a.Horizon)
	l.planEnd = max(l.planEnd, a.Horizon)
	if l.all(func(r *rankProgress) bool { return r.stopped }) {
		l.phase = leaderLoad
		l.startStep = l.planEnd + generationGapSteps
		l.plan = nil
		l.advanceIfLoaded()
	}
}

func (l *Leader) all(pred func(*rankProgress) bool) bool {
	for i := range l.ranks {
		if !pred(&l.ranks[i]) {
			return false
		}
	}
	return true
}

// advanceIfLoaded enters the next phase, or puts the pending map into use, once
// all ranks have loaded the map that the leader waits for.
func (l *Leader) advanceIfLoaded() {
	want := l.pending
	if l.phase == leaderLoad {
		want = l.current
	}
	if want == 0 || !l.all(func(r *rankProgress) bool { return slices.Contains(r.loaded, want) }) {
		return
	}
	switch l.phase {
	case leaderLoad:
		l.phase = leaderBegin
	case leaderRun:
		l.current, l.pending = l.pending, 0
		l.dropUnusedMaps()
	default:
	}
}

// dropUnusedMaps drops the content of maps that no grant in the plan names.
func (l *Leader) dropUnusedMaps() {
	for v := range l.maps {
		used := v == 0 || v == l.current || slices.ContainsFunc(l.plan, func(g core.StepGrant) bool { return g.MapVersion == v })
		if !used {
			delete(l.maps, v)
		}
	}
}

// HandleLoadAck processes the answer of a rank to LoadMap.
func (l *Leader) HandleLoadAck(a LoadAck) {
	if !l.validAnswer(a.Rank, a.HighestFence) || l.phase == leaderCollect {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	if a.StateLost {
		l.handleStateLoss()
		return
	}
	if a.Loaded && !slices.Contains(r.loaded, a.Version) {
		r.loaded = append(r.loaded, a.Version)
		l.advanceIfLoaded()
	}
}

// handleStateLoss starts a new generation unless ranks are already being stopped
// for one.
func (l *Leader) handleStateLoss() {
	if l.phase != leaderStop {
		l.startGeneration()
	}
}

// HandleBeginAck processes the answer of a rank to Begin.
func (l *Leader) HandleBeginAck(a BeginAck) {
	if !l.validAnswer(a.Rank, a.HighestFence) || l.phase != leaderBegin {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	if a.StateLost {
		l.handleStateLoss()
		return
	}
	if !a.Begun || a.Generation != l.generation {
		return
	}
	r.begun, r.horizon = true, l.startStep
	if l.all(func(r *rankProgress) bool { return r.begun }) {
		l.phase, l.planEnd = leaderRun, l.startStep
		l.ObserveStep(l.startStep)
	}
}

// HandleGrantAck processes the answer of a rank to a grant. The horizon in a
// refusal is where the next grant to the rank begins.
func (l *Leader) HandleGrantAck(a GrantAck) {
	if !l.validAnswer(a.Rank, a.HighestFence) || l.phase != leaderRun {
		return
	}
	r := &l.ranks[a.Rank]
	r.acked = true
	switch {
	case a.StateLost:
		l.handleStateLoss()
	case a.Generation < l.generation:
	case a.Generation > l.generation || a.Horizon > l.planEnd:
		l.generation = max(l.generation, a.Generation)
		l.planEnd = max(l.planEnd, a.Horizon)
		l.startGeneration()
	case !a.Accepted && a.Horizon == r.horizon:
		l.handleRefusal(r)
	default:
		r.horizon = a.Horizon
		if _, ok := l.nextGrant(r.horizon); !ok && r.horizon < l.planEnd {
			l.startGeneration()
		}
	}
}

// handleRefusal marks the map of the rank's next grant as not loaded there. A
// map whose content is not known here cannot be loaded again, so the leader
// starts a new generation with a map that is known, see newestKnownMap.
func (l *Leader) handleRefusal(r *rankProgress) {
	if g, ok := l.nextGrant(r.horizon); ok {
		if _, known := l.maps[g.MapVersion]; !known {
			l.current = 0
			l.startGeneration()
			return
		}
		r.loaded = slices.DeleteFunc(slices.Clone(r.loaded), func(v int64) bool { return v == g.MapVersion })
	}
}

// nextGrant returns the rest of the planned grant that contains the horizon.
func (l *Leader) nextGrant(horizon int64) (core.StepGrant, bool) {
	for _, g := range l.plan {
		if g.FromStep <= horizon && horizon < g.ToStep {
			g.FromStep, g.Fence, g.Generation = horizon, l.fence, l.generation
			return g, true
		}
	}
	return core.StepGrant{}, false
}
