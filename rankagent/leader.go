package rankagent

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Settings of the leader.
const (
	// maxCopyTime limits the time for copying experts in one change. It is a tenth of
	// the time between two shifts of the demand for experts.
	maxCopyTime = 400 * time.Millisecond
	// rankReportTimeout is the time without a report from a rank's agent after which
	// the leader polls the engine of the rank directly. Direct polling has a cost, so
	// it is only the fallback.
	rankReportTimeout = 500 * time.Millisecond
)

// leaderState is the state of an agent while it leads its group.
type leaderState struct {
	agent       *Agent
	group       string
	coordinator *expertmap.ChangeCoordinator
	demand      *expertmap.DemandEstimator
	spec        expertSpec
	ranks       []rankState
	// plannedShifts is the number of demand shifts at the time the current change was
	// planned.
	plannedShifts int
	// encodeErrVersion is the version for which an error of its encoding was logged last.
	encodeErrVersion int64
	// lastApplied and lastDropped are the numbers of applied and dropped changes that
	// were last logged.
	lastApplied int
	lastDropped int
}

// rankState is what the leader knows of one rank.
type rankState struct {
	session          *peer.Session
	lastReport       time.Time
	lastPoll         time.Time
	placement        [][]int
	placementVersion int64
	mapVersion       int64
	epoch            int64
	slowdown         float64
}

// handleRankStatus handles the status of a rank; from is nil for the leader's own
// rank. It runs in the task.
func (a *Agent) handleRankStatus(from *peer.Session, st *peerpb.RankStatus, now time.Time) {
	s := a.state
	size := s.report.Place.Size
	if size <= 0 || size > maxRanks || s.spec.sets == 0 {
		return
	}
	if s.leading == nil || len(s.leading.ranks) != size || s.leading.spec != s.spec || s.leading.group != s.report.Place.Group {
		s.leading = newLeaderState(a, size)
		a.log.Info("leading the group", zap.String("group", s.leading.group), zap.Int("ranks", size))
	}
	l := s.leading
	l.coordinator.SetDraining(false)
	rank := int(st.GetRank())
	if rank < 0 || rank >= size {
		return
	}
	l.recordStatus(from, rank, st, now)
	if from == nil {
		l.reviewMap(now)
	}
	l.advance(now)
}

func newLeaderState(a *Agent, size int) *leaderState {
	s := a.state
	coordinator := expertmap.NewChangeCoordinator(s.report.Place.Rank, size, leaderNumber(a.cfg.Incarnation))
	coordinator.SetMaxPrepareBytes(maxPrepareBytes(a.cfg.LinkRate))
	return &leaderState{
		agent:       a,
		group:       s.report.Place.Group,
		coordinator: coordinator,
		demand:      expertmap.NewDemandEstimator(s.spec.sets, s.spec.experts),
		spec:        s.spec,
		ranks:       make([]rankState, size),
	}
}

// leaderNumber returns the leader number of an incarnation. It is never 0.
func leaderNumber(incarnation string) int64 {
	return int64(xxhash.Sum64String(incarnation)&0x7fffffff) | 1
}

// recordStatus records the status of a rank.
func (l *leaderState) recordStatus(from *peer.Session, rank int, st *peerpb.RankStatus, now time.Time) {
	r := &l.ranks[rank]
	r.session, r.lastReport, r.slowdown = from, now, st.GetPace()
	if r.epoch != st.GetEpoch() {
		r.placement = nil
	}
	r.mapVersion, r.epoch = st.GetMapVersion(), st.GetEpoch()
	if len(st.GetPlacement()) > 0 {
		r.placement, r.placementVersion = nil, st.GetMapVersion()
		for _, list := range st.GetPlacement() {
			r.placement = append(r.placement, decodeExperts(list))
		}
	}
	if from == nil {
		s := l.agent.state
		r.placement, r.placementVersion = s.placement, s.placementVersion
	}
	l.coordinator.HandleReport(rank, core.RankReport{
		Place: core.RankPlace{Group: st.GetGroup(), Rank: rank, Size: int(st.GetSize()), Epoch: st.GetEpoch(), Open: st.GetOpen()},
		Pass:  st.GetPass(), Map: st.GetMapVersion(), Prepared: st.GetPreparedVersion(), Armed: st.GetArmedVersion(),
		ArmedPass: st.GetArmedPass(), HeldPass: st.GetHeldPass(), Running: int(st.GetRunning()), Waiting: int(st.GetWaiting()),
	}, now)
	if l.demand.Add(st.GetChoices(), now) {
		l.agent.log.Info("demand for experts shifted", zap.Int("shifts", l.demand.Shifts))
	}
}

// reviewMap decides whether to start a map change or to drop the one being prepared.
// It runs once per poll of the local engine.
func (l *leaderState) reviewMap(now time.Time) {
	l.updateCurrentLayout()
	l.pollMissingRanks(now)
	load, ok := l.demand.Load()
	if !ok {
		return
	}
	c := l.coordinator
	switch {
	case c.Phase() == expertmap.PhasePrepare:
		if !l.shouldContinueChange(load) {
			l.agent.log.Info("map change dropped: demand has shifted", zap.Int64("version", c.Version()))
			c.Drop(now)
		}
	case c.Ready(now):
		l.proposeChange(load, now)
	}
}

// shouldContinueChange reports whether the change being prepared is worthwhile for
// the current demand.
func (l *leaderState) shouldContinueChange(load [][]float64) bool {
	before := expertmap.LayoutSkew(l.coordinator.Current(), load, l.slowdowns())
	after := expertmap.LayoutSkew(l.coordinator.Target(), load, l.slowdowns())
	return expertmap.ShouldContinueChange(before, after, l.demand.Shifts != l.plannedShifts)
}

// updateCurrentLayout assembles the current layout from the placements of all
// ranks. It does nothing during a change or unless all placements are current and
// of the same map version.
func (l *leaderState) updateCurrentLayout() {
	layout := make(expertmap.Layout, len(l.ranks))
	for i := range l.ranks {
		r := &l.ranks[i]
		if r.placement == nil || r.placementVersion != l.ranks[0].placementVersion || r.mapVersion != r.placementVersion || r.epoch != l.coordinator.Epoch() {
			return
		}
		layout[i] = r.placement
	}
	if l.coordinator.Phase() == expertmap.PhaseIdle && layout.Complete(l.spec.sets, l.spec.experts) {
		l.coordinator.SetCurrent(layout)
	}
}

// proposeChange plans a change of the current map and starts it if it is worthwhile.
func (l *leaderState) proposeChange(load [][]float64, now time.Time) {
	current := l.coordinator.Current()
	slowdowns := l.slowdowns()
	before := expertmap.LayoutSkew(current, load, slowdowns)
	running := l.coordinator.MeanRunningRequests()
	// A skew of 1 after the change is the best possible result. If even that is not
	// worth a change, skip the planning.
	if !expertmap.ShouldStartChange(before, 1, running) {
		return
	}
	planner := expertmap.IncrementalPlanner{SlotsPerRank: l.spec.slotsPerRank, MaxCopiesPerRank: l.spec.maxCopiesPerRank(), MaxCopiesPerSet: l.spec.maxNewExperts, Slowdowns: slowdowns}
	next, changed := planner.Plan(current, load)
	if !changed {
		return
	}
	after := expertmap.LayoutSkew(next, load, slowdowns)
	if !expertmap.ShouldStartChange(before, after, running) || !next.Complete(l.spec.sets, l.spec.experts) {
		return
	}
	if l.coordinator.Propose(next, now) {
		l.plannedShifts = l.demand.Shifts
		l.agent.log.Info("map change started", zap.Int64("version", l.coordinator.Version()), zap.Int64("epoch", l.coordinator.Epoch()),
			zap.Float64("skew_before", before), zap.Float64("skew_after", after), zap.Int("shifts", l.demand.Shifts))
	}
}

// maxCopiesPerRank returns how many experts a rank may copy in one change. It is
// limited because all ranks wait for the one with the most copies.
func (s expertSpec) maxCopiesPerRank() int {
	if s.copyTime <= 0 {
		return 1
	}
	return max(1, int(maxCopyTime/s.copyTime))
}

// slowdowns returns the slowdown factor of each rank; ranks below slowThreshold count
// as 1.
func (l *leaderState) slowdowns() []float64 {
	out := make([]float64, len(l.ranks))
	for i := range l.ranks {
		out[i] = 1
		if x := l.ranks[i].slowdown; x >= slowThreshold {
			out[i] = x
		}
	}
	return out
}

// pollMissingRanks polls the engines of ranks whose agents do not report.
func (l *leaderState) pollMissingRanks(now time.Time) {
	for i := range l.ranks {
		r := &l.ranks[i]
		engineAddress := l.agent.state.rankEngines[i]
		if engineAddress == "" || now.Sub(r.lastReport) < rankReportTimeout || now.Sub(r.lastPoll) < rankReportTimeout {
			continue
		}
		r.lastPoll = now
		rank, withPlacement := i, l.coordinator.Current() == nil
		l.agent.attempt(func() { l.agent.pollRank(rank, engineAddress, withPlacement) })
	}
}

// pollRank polls the engine of another rank directly. It reads the placement too if
// withPlacement is set.
func (a *Agent) pollRank(rank int, engineAddress string, withPlacement bool) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	r, err := a.cfg.Engine.Report(ctx, engineAddress)
	if err != nil {
		a.log.Info("reading the report of an unreported rank failed", zap.Int("rank", rank), zap.Error(err))
		return
	}
	var placement [][]int
	if withPlacement {
		if placement, err = a.cfg.Engine.Placement(ctx, engineAddress); err != nil {
			a.log.Info("reading the placement of an unreported rank failed", zap.Int("rank", rank), zap.Error(err))
		}
	}
	a.task.Do(func() {
		l := a.state.leading
		if l == nil || r.Place.Rank != rank || rank >= len(l.ranks) {
			return
		}
		now := time.Now()
		s := &l.ranks[rank]
		s.mapVersion, s.epoch = r.Map, r.Place.Epoch
		if placement != nil {
			s.placement, s.placementVersion = placement, r.Map
		}
		l.coordinator.HandleReport(rank, r, now)
		l.advance(now)
	})
}

// advance advances the map change and sends the orders that are due. It runs in the
// task.
func (l *leaderState) advance(now time.Time) {
	a := l.agent
	before := l.coordinator.Phase()
	orders := l.coordinator.Poll(now)
	if err := l.coordinator.EncodeError(); err != nil && l.encodeErrVersion != l.coordinator.Version() {
		l.encodeErrVersion = l.coordinator.Version()
		a.log.Error("map has no compact form; sending lists", zap.Int64("version", l.encodeErrVersion), zap.Error(err))
	}
	if p := l.coordinator.Phase(); p != before {
		a.log.Info("map change phase", zap.Int("phase", int(p)), zap.Int("from", int(before)), zap.Int64("version", l.coordinator.Version()))
	}
	if l.coordinator.Applied != l.lastApplied || l.coordinator.Dropped != l.lastDropped {
		l.lastApplied, l.lastDropped = l.coordinator.Applied, l.coordinator.Dropped
		a.log.Info("map change ended", zap.Int64("version", l.coordinator.Version()), zap.Int("taken", l.lastApplied), zap.Int("dropped", l.lastDropped))
	}
	for _, o := range orders {
		local := o.Rank == a.state.report.Place.Rank
		session, engineAddress := l.ranks[o.Rank].session, a.state.rankEngines[o.Rank]
		a.attempt(func() {
			res := a.sendOrder(context.Background(), o, local, session, engineAddress)
			a.task.Do(func() {
				if a.state.leading != l {
					return
				}
				now := time.Now()
				l.coordinator.HandleResult(o, res, now)
				l.advance(now)
			})
		})
	}
}

// dropSession removes a session that has ended.
func (l *leaderState) dropSession(ended *peer.Session) {
	for i := range l.ranks {
		if l.ranks[i].session == ended {
			l.ranks[i].session = nil
		}
	}
}

// endChange stops new changes and waits until a map change in progress has been
// dropped or completed, or until stopTimeout has passed.
func (a *Agent) endChange() {
	deadline := time.Now().Add(stopTimeout)
	for time.Now().Before(deadline) {
		idle := true
		a.task.Do(func() {
			if l := a.state.leading; l != nil {
				l.coordinator.SetDraining(true)
				now := time.Now()
				l.coordinator.Drop(now)
				idle = l.coordinator.Phase() == expertmap.PhaseIdle
			}
		})
		if idle {
			return
		}
		time.Sleep(pollInterval / 4)
	}
	a.log.Warn("stopping during a map change")
}
