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
	// copyBudget bounds the time for which ranks copy experts for one change. It
	// is a tenth of the time after which the popularity of experts moves on.
	copyBudget = 400 * time.Millisecond
	// silentRank is how long a rank without reports is waited for before its
	// engine is asked directly, at a price.
	silentRank = 500 * time.Millisecond
)

// lead is the state of an agent while it leads its group.
type lead struct {
	agent   *Agent
	group   string
	changer *expertmap.ChangeCoordinator
	demand  *expertmap.DemandEstimator
	shape   shape
	ranks   []rankState
	// plannedAt is the number of shifts of demand before the change was planned.
	plannedAt int
	lastTook  int
	lastDrop  int
}

// rankState is what the leader knows of the agent of a rank.
type rankState struct {
	session   *peer.Session
	heard     time.Time
	asked     time.Time
	placement [][]int
	placedMap int64
	mapNow    int64
	epoch     int64
	pace      float64
}

// leadStatus takes the status of a rank; a nil session stands for the own one.
// It runs in the task.
func (a *Agent) leadStatus(from *peer.Session, st *peerpb.RankStatus, now time.Time) {
	s := a.state
	size := s.report.Place.Size
	if size <= 0 || s.shape.sets == 0 {
		return
	}
	if s.lead == nil || len(s.lead.ranks) != size || s.lead.shape != s.shape || s.lead.group != s.report.Place.Group {
		s.lead = newLead(a, size)
		a.log.Info("leading the group", zap.String("group", s.lead.group), zap.Int("ranks", size))
	}
	l := s.lead
	l.changer.SetDraining(false)
	rank := int(st.GetRank())
	if rank < 0 || rank >= size {
		return
	}
	l.take(from, rank, st, now)
	if from == nil {
		l.ownStatus(now)
	}
	l.drive(now)
}

func newLead(a *Agent, size int) *lead {
	s := a.state
	return &lead{
		agent:   a,
		group:   s.report.Place.Group,
		changer: expertmap.NewChangeCoordinator(s.report.Place.Rank, size, numberOf(a.cfg.Incarnation), s.started),
		demand:  expertmap.NewDemandEstimator(s.shape.sets, s.shape.experts),
		shape:   s.shape,
		ranks:   make([]rankState, size),
	}
}

// numberOf derives a leader's number from its incarnation.
func numberOf(incarnation string) int64 {
	return int64(xxhash.Sum64String(incarnation)&0x7fffffff) | 1
}

// take notes the status of a rank.
func (l *lead) take(from *peer.Session, rank int, st *peerpb.RankStatus, now time.Time) {
	r := &l.ranks[rank]
	r.session, r.heard, r.pace = from, now, st.GetPace()
	if r.epoch != st.GetEpoch() {
		r.placement = nil
	}
	r.mapNow, r.epoch = st.GetMapVersion(), st.GetEpoch()
	if len(st.GetPlacement()) > 0 {
		r.placement, r.placedMap = nil, st.GetMapVersion()
		for _, list := range st.GetPlacement() {
			r.placement = append(r.placement, experts(list))
		}
	}
	if from == nil {
		s := l.agent.state
		r.placement, r.placedMap = s.placement, s.placedMap
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

// ownStatus runs once for each poll of the own engine.
func (l *lead) ownStatus(now time.Time) {
	l.findCurrent()
	l.askSilent(now)
	load, ok := l.demand.Load()
	if !ok {
		return
	}
	c := l.changer
	switch {
	case c.Phase() == expertmap.PhasePrepare:
		if !l.stillPays(load) {
			l.agent.log.Info("change of map dropped: demand has shifted", zap.Int64("version", c.Version()))
			c.Drop(now)
		}
	case c.Ready(now):
		l.propose(load, now)
	}
}

// stillPays reports whether the change that is prepared helps with the demand of
// now.
func (l *lead) stillPays(load [][]float64) bool {
	before := expertmap.LayoutSkew(l.changer.Current(), load, l.paces())
	after := expertmap.LayoutSkew(l.changer.Target(), load, l.paces())
	return expertmap.ShouldContinueChange(before, after, l.demand.Shifts != l.plannedAt)
}

// findCurrent puts the map in force together from the ranks' placements.
func (l *lead) findCurrent() {
	layout := make(expertmap.Layout, len(l.ranks))
	for i := range l.ranks {
		r := &l.ranks[i]
		if r.placement == nil || r.placedMap != l.ranks[0].placedMap || r.mapNow != r.placedMap || r.epoch != l.changer.Epoch() {
			return
		}
		layout[i] = r.placement
	}
	if l.changer.Phase() == expertmap.PhaseIdle && layout.Complete(l.shape.sets, l.shape.experts) {
		l.changer.SetCurrent(layout)
	}
}

// propose plans a change of the map in force and begins it when it pays.
func (l *lead) propose(load [][]float64, now time.Time) {
	current := l.changer.Current()
	paces := l.paces()
	before := expertmap.LayoutSkew(current, load, paces)
	running := l.changer.MeanRunningRequests()
	// A plan without any skew left is the best that can come.
	if !expertmap.ShouldStartChange(before, 1, running) {
		return
	}
	plan := expertmap.IncrementalPlanner{SlotsPerRank: l.shape.places, MaxCopiesPerRank: l.shape.newPerRank(), MaxCopiesPerSet: l.shape.maxNew, Paces: paces}
	next, changed := plan.Plan(current, load)
	if !changed {
		return
	}
	after := expertmap.LayoutSkew(next, load, paces)
	if !expertmap.ShouldStartChange(before, after, running) || !next.Complete(l.shape.sets, l.shape.experts) {
		return
	}
	if l.changer.Propose(next, now) {
		l.plannedAt = l.demand.Shifts
		l.agent.log.Info("change of map begun", zap.Int64("version", l.changer.Version()), zap.Int64("epoch", l.changer.Epoch()),
			zap.Float64("skew_before", before), zap.Float64("skew_after", after), zap.Int("shifts", l.demand.Shifts))
	}
}

// newPerRank is the number of experts that a rank copies in one change. All ranks
// wait for the one with the most copies.
func (s shape) newPerRank() int {
	if s.copyTime <= 0 {
		return 1
	}
	return max(1, int(copyBudget/s.copyTime))
}

// paces returns how many times slower than usual each rank works.
func (l *lead) paces() []float64 {
	out := make([]float64, len(l.ranks))
	for i := range l.ranks {
		out[i] = 1
		if p := l.ranks[i].pace; p >= slowPace {
			out[i] = p
		}
	}
	return out
}

// askSilent reads the engines of ranks whose agents do not report.
func (l *lead) askSilent(now time.Time) {
	for i := range l.ranks {
		r := &l.ranks[i]
		engine := l.agent.state.ranks[i]
		if engine == "" || now.Sub(r.heard) < silentRank || now.Sub(r.asked) < silentRank {
			continue
		}
		r.asked = now
		rank, lists := i, l.changer.Current() == nil
		l.agent.wg.Go(func() { l.agent.askRank(rank, engine, lists) })
	}
}

// askRank reads the engine of another rank directly, and its experts when lists
// is set.
func (a *Agent) askRank(rank int, engine string, lists bool) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	r, err := a.cfg.Engine.Report(ctx, engine)
	if err != nil {
		a.log.Info("engine of a silent rank gives no report", zap.Int("rank", rank), zap.Error(err))
		return
	}
	var placement [][]int
	if lists {
		if placement, err = a.cfg.Engine.Placement(ctx, engine); err != nil {
			a.log.Info("engine of a silent rank gives no placement", zap.Int("rank", rank), zap.Error(err))
		}
	}
	a.task.Do(func() {
		l := a.state.lead
		if l == nil || r.Place.Rank != rank || rank >= len(l.ranks) {
			return
		}
		now := time.Now()
		s := &l.ranks[rank]
		s.mapNow, s.epoch = r.Map, r.Place.Epoch
		if placement != nil {
			s.placement, s.placedMap = placement, r.Map
		}
		l.changer.HandleReport(rank, r, now)
		l.drive(now)
	})
}

// drive gives the orders that the change needs now. It runs in the task.
func (l *lead) drive(now time.Time) {
	a := l.agent
	before := l.changer.Phase()
	orders := l.changer.Poll(now)
	if p := l.changer.Phase(); p != before {
		a.log.Info("change of map", zap.Int("phase", int(p)), zap.Int("from", int(before)), zap.Int64("version", l.changer.Version()))
	}
	if l.changer.Applied != l.lastTook || l.changer.Dropped != l.lastDrop {
		l.lastTook, l.lastDrop = l.changer.Applied, l.changer.Dropped
		a.log.Info("change of map ended", zap.Int64("version", l.changer.Version()), zap.Int("taken", l.lastTook), zap.Int("dropped", l.lastDrop))
	}
	for _, o := range orders {
		own := o.Rank == a.state.report.Place.Rank
		session, engine := l.ranks[o.Rank].session, a.state.ranks[o.Rank]
		a.wg.Go(func() {
			res := a.give(context.Background(), o, own, session, engine)
			a.task.Do(func() {
				if a.state.lead != l {
					return
				}
				now := time.Now()
				l.changer.HandleResult(o, res, now)
				l.drive(now)
			})
		})
	}
}

// sessionEnded forgets a session.
func (l *lead) sessionEnded(ended *peer.Session) {
	for i := range l.ranks {
		if l.ranks[i].session == ended {
			l.ranks[i].session = nil
		}
	}
}

// retire ends a change that is under way before a stop.
func (a *Agent) retire() {
	until := time.Now().Add(stopTimeout)
	for time.Now().Before(until) {
		idle := true
		a.task.Do(func() {
			if l := a.state.lead; l != nil {
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
