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

// Settings of the decisions of a leader.
const (
	// maxCopyTime bounds the time for which ranks copy experts for one change. It
	// is a tenth of the time after which the popularity of experts moves on.
	maxCopyTime = 400 * time.Millisecond
	// rankReportTimeout is how long a rank without reports is waited for before its
	// engine is asked directly, at a price.
	rankReportTimeout = 500 * time.Millisecond
)

// leaderState is the state of an agent while it leads its group.
type leaderState struct {
	agent   *Agent
	group   string
	changer *expertmap.ChangeCoordinator
	demand  *expertmap.DemandEstimator
	spec    expertSpec
	ranks   []rankState
	// plannedShifts is the number of shifts of demand before the change was planned.
	plannedShifts int
	lastTaken     int
	lastDropped   int
}

// rankState is what the leader knows of the agent of a rank.
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

// handleRankStatus takes the status of a rank; a nil session stands for the own one.
// It runs in the task.
func (a *Agent) handleRankStatus(from *peer.Session, st *peerpb.RankStatus, now time.Time) {
	s := a.state
	size := s.report.Place.Size
	if size <= 0 || s.spec.sets == 0 {
		return
	}
	if s.leading == nil || len(s.leading.ranks) != size || s.leading.spec != s.spec || s.leading.group != s.report.Place.Group {
		s.leading = newLeaderState(a, size)
		a.log.Info("leading the group", zap.String("group", s.leading.group), zap.Int("ranks", size))
	}
	l := s.leading
	l.changer.SetDraining(false)
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
	return &leaderState{
		agent:   a,
		group:   s.report.Place.Group,
		changer: expertmap.NewChangeCoordinator(s.report.Place.Rank, size, leaderNumber(a.cfg.Incarnation), s.started),
		demand:  expertmap.NewDemandEstimator(s.spec.sets, s.spec.experts),
		spec:    s.spec,
		ranks:   make([]rankState, size),
	}
}

// leaderNumber derives a leader's number from its incarnation.
func leaderNumber(incarnation string) int64 {
	return int64(xxhash.Sum64String(incarnation)&0x7fffffff) | 1
}

// recordStatus notes the status of a rank.
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
	l.changer.HandleReport(rank, core.RankReport{
		Place: core.RankPlace{Group: st.GetGroup(), Rank: rank, Size: int(st.GetSize()), Epoch: st.GetEpoch(), Open: st.GetOpen()},
		Pass:  st.GetPass(), Map: st.GetMapVersion(), Prepared: st.GetPreparedVersion(), Armed: st.GetArmedVersion(),
		ArmedPass: st.GetArmedPass(), HeldPass: st.GetHeldPass(), Running: int(st.GetRunning()), Waiting: int(st.GetWaiting()),
	}, now)
	if l.demand.Add(st.GetChoices(), now) {
		l.agent.log.Info("demand for experts shifted", zap.Int("shifts", l.demand.Shifts))
	}
}

// reviewMap runs once for each poll of the own engine.
func (l *leaderState) reviewMap(now time.Time) {
	l.updateCurrentLayout()
	l.pollMissingRanks(now)
	load, ok := l.demand.Load()
	if !ok {
		return
	}
	c := l.changer
	switch {
	case c.Phase() == expertmap.PhasePrepare:
		if !l.changeWorthwhile(load) {
			l.agent.log.Info("change of map dropped: demand has shifted", zap.Int64("version", c.Version()))
			c.Drop(now)
		}
	case c.Ready(now):
		l.proposeChange(load, now)
	}
}

// changeWorthwhile reports whether the change that is prepared helps with the demand of
// now.
func (l *leaderState) changeWorthwhile(load [][]float64) bool {
	before := expertmap.LayoutSkew(l.changer.Current(), load, l.slowdowns())
	after := expertmap.LayoutSkew(l.changer.Target(), load, l.slowdowns())
	return expertmap.ShouldContinueChange(before, after, l.demand.Shifts != l.plannedShifts)
}

// updateCurrentLayout puts the map in force together from the ranks' placements.
func (l *leaderState) updateCurrentLayout() {
	layout := make(expertmap.Layout, len(l.ranks))
	for i := range l.ranks {
		r := &l.ranks[i]
		if r.placement == nil || r.placementVersion != l.ranks[0].placementVersion || r.mapVersion != r.placementVersion || r.epoch != l.changer.Epoch() {
			return
		}
		layout[i] = r.placement
	}
	if l.changer.Phase() == expertmap.PhaseIdle && layout.Complete(l.spec.sets, l.spec.experts) {
		l.changer.SetCurrent(layout)
	}
}

// proposeChange plans a change of the map in force and begins it when it pays.
func (l *leaderState) proposeChange(load [][]float64, now time.Time) {
	current := l.changer.Current()
	slowdowns := l.slowdowns()
	before := expertmap.LayoutSkew(current, load, slowdowns)
	running := l.changer.MeanRunningRequests()
	// A plan without any skew left is the best that can come.
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
	if l.changer.Propose(next, now) {
		l.plannedShifts = l.demand.Shifts
		l.agent.log.Info("change of map begun", zap.Int64("version", l.changer.Version()), zap.Int64("epoch", l.changer.Epoch()),
			zap.Float64("skew_before", before), zap.Float64("skew_after", after), zap.Int("shifts", l.demand.Shifts))
	}
}

// maxCopiesPerRank is the number of experts that a rank copies in one change. All ranks
// wait for the one with the most copies.
func (s expertSpec) maxCopiesPerRank() int {
	if s.copyTime <= 0 {
		return 1
	}
	return max(1, int(maxCopyTime/s.copyTime))
}

// slowdowns returns how many times slower than usual each rank works.
func (l *leaderState) slowdowns() []float64 {
	out := make([]float64, len(l.ranks))
	for i := range l.ranks {
		out[i] = 1
		if p := l.ranks[i].slowdown; p >= slowThreshold {
			out[i] = p
		}
	}
	return out
}

// pollMissingRanks reads the engines of ranks whose agents do not report.
func (l *leaderState) pollMissingRanks(now time.Time) {
	for i := range l.ranks {
		r := &l.ranks[i]
		engine := l.agent.state.rankEngines[i]
		if engine == "" || now.Sub(r.lastReport) < rankReportTimeout || now.Sub(r.lastPoll) < rankReportTimeout {
			continue
		}
		r.lastPoll = now
		rank, withPlacement := i, l.changer.Current() == nil
		l.agent.wg.Go(func() { l.agent.pollRank(rank, engine, withPlacement) })
	}
}

// pollRank reads the engine of another rank directly, and its experts when lists
// is set.
func (a *Agent) pollRank(rank int, engine string, withPlacement bool) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	r, err := a.cfg.Engine.Report(ctx, engine)
	if err != nil {
		a.log.Info("engine of a silent rank gives no report", zap.Int("rank", rank), zap.Error(err))
		return
	}
	var placement [][]int
	if withPlacement {
		if placement, err = a.cfg.Engine.Placement(ctx, engine); err != nil {
			a.log.Info("engine of a silent rank gives no placement", zap.Int("rank", rank), zap.Error(err))
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
		l.changer.HandleReport(rank, r, now)
		l.advance(now)
	})
}

// advance gives the orders that the change needs now. It runs in the task.
func (l *leaderState) advance(now time.Time) {
	a := l.agent
	before := l.changer.Phase()
	orders := l.changer.Poll(now)
	if p := l.changer.Phase(); p != before {
		a.log.Info("change of map", zap.Int("phase", int(p)), zap.Int("from", int(before)), zap.Int64("version", l.changer.Version()))
	}
	if l.changer.Applied != l.lastTaken || l.changer.Dropped != l.lastDropped {
		l.lastTaken, l.lastDropped = l.changer.Applied, l.changer.Dropped
		a.log.Info("change of map ended", zap.Int64("version", l.changer.Version()), zap.Int("taken", l.lastTaken), zap.Int("dropped", l.lastDropped))
	}
	for _, o := range orders {
		own := o.Rank == a.state.report.Place.Rank
		session, engine := l.ranks[o.Rank].session, a.state.rankEngines[o.Rank]
		a.wg.Go(func() {
			res := a.sendOrder(context.Background(), o, own, session, engine)
			a.task.Do(func() {
				if a.state.leading != l {
					return
				}
				now := time.Now()
				l.changer.HandleResult(o, res, now)
				l.advance(now)
			})
		})
	}
}

// dropSession forgets a session.
func (l *leaderState) dropSession(ended *peer.Session) {
	for i := range l.ranks {
		if l.ranks[i].session == ended {
			l.ranks[i].session = nil
		}
	}
}

// finishChange ends a change that is under way before a stop.
func (a *Agent) finishChange() {
	until := time.Now().Add(stopTimeout)
	for time.Now().Before(until) {
		idle := true
		a.task.Do(func() {
			if l := a.state.leading; l != nil {
				l.changer.SetDraining(true)
				now := time.Now()
				l.changer.Drop(now)
				idle = l.changer.Phase() == expertmap.PhaseIdle
			}
		})
		if idle {
			return
		}
		time.Sleep(pollInterval / 4)
	}
	a.log.Warn("agent stops during a change of map")
}
