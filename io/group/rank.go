package group

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer/peerpb"
)

// rankInfo is what the lead task gets to know of its own rank.
type rankInfo struct {
	recovered  bool
	stateLost  bool
	step       int64
	horizon    int64
	generation int64
	fence      int64
	mapVersion int64
	heard      time.Time
	maps       map[int64]core.ExpertMap
}

// rankTask owns the rank and gives all orders to its engine.
type rankTask struct {
	g       *Group
	log     *zap.Logger
	rank    *expertmap.Rank
	engine  core.RankEngine
	state   core.RankState
	started time.Time
	// floor is the highest fence that may have been seen before a restart;
	// below -1 means that the leaders stream has not been read to its end.
	floor int64
	heard time.Time
	maps  map[int64]core.ExpertMap
	// failed is set while the last call to the engine has failed.
	failed bool
}

// floorUnknown marks a leaders stream that has not been read to its end.
const floorUnknown = -2

func newRankTask(g *Group) *rankTask {
	return &rankTask{g: g, log: g.cfg.Logger, rank: expertmap.NewRank(g.cfg.Group, g.cfg.Rank), engine: g.cfg.Engine,
		started: time.Now(), floor: floorUnknown, maps: map[int64]core.ExpertMap{}}
}

func (t *rankTask) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.g.floors:
			t.floor = max(t.floor, f)
		case r := <-t.g.requests:
			r.reply <- t.serve(ctx, r.frame)
		case <-tick.C:
			t.poll(ctx)
			tick.Reset(t.interval())
			select {
			case t.g.infos <- t.info():
			case <-ctx.Done():
				return
			}
		}
	}
}

// interval returns the time to the next poll.
func (t *rankTask) interval() time.Duration {
	if t.failed || t.g.leads.Load() || !t.rank.Recovered() || t.rank.StateLost() {
		return pollInterval
	}
	return idlePollInterval
}

func (t *rankTask) info() rankInfo {
	return rankInfo{recovered: t.rank.Recovered(), stateLost: t.rank.StateLost(), step: t.state.Step,
		horizon: t.rank.Horizon(), generation: t.rank.Generation(), fence: t.rank.Fence(),
		mapVersion: t.rank.MapVersion(), heard: t.heard, maps: t.maps}
}

// poll reads the state of the engine, recovers the rank from it after a start,
// notices a restart of the engine and repeats orders that it lacks.
func (t *rankTask) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s, err := t.engine.State(ctx)
	t.failed = err != nil
	if err != nil {
		t.log.Debug("read state of engine failed", zap.Error(err))
		return
	}
	old := t.state
	t.state = s
	if !t.rank.Recovered() {
		t.recover(ctx, s)
		return
	}
	if s.Incarnation != old.Incarnation || s.Generation < t.rank.Generation() {
		if !t.rank.StateLost() {
			t.log.Warn("engine has lost its state", zap.Int64("horizon", t.rank.Horizon()))
		}
		t.rank.RecordStateLoss()
	}
	t.rank.SetLoaded(s.LoadedVersions)
	t.learn(ctx, s.LoadedVersions)
	t.push(ctx)
}

// recover takes over the engine's state. An engine that does not keep fences,
// or has lost them, needs the leaders stream for the fence. An order that the
// former agent sent may still arrive within orderTimeout, which only matters
// when the engine would not refuse it.
func (t *rankTask) recover(ctx context.Context, s core.RankState) {
	kept := s.Fencing && s.Generation != 0
	fence := s.Fence
	if !kept {
		if t.floor == floorUnknown || s.Generation != 0 && time.Since(t.started) < orderTimeout {
			return
		}
		fence = t.floor
	}
	t.learn(ctx, s.LoadedVersions)
	t.rank.Recover(s, fence)
	t.log.Info("rank recovered", zap.Int64("generation", s.Generation), zap.Int64("horizon", s.Horizon), zap.Int64("fence", t.rank.Fence()))
}

// learn reads the content of the newest maps of the engine that are not known
// here: those loaded before a start, and those whose order was answered with an
// error although the engine took it.
func (t *rankTask) learn(ctx context.Context, loaded []int64) {
	for _, v := range loaded[max(0, len(loaded)-keptMaps):] {
		if _, known := t.maps[v]; known {
			continue
		}
		m, err := t.engine.Map(ctx, v)
		if err != nil {
			t.log.Warn("read map of engine failed", zap.Int64("map", v), zap.Error(err))
			continue
		}
		t.remember(m)
	}
}

// remember keeps the content of the newest maps. The map is replaced, since
// the lead task reads the old one.
func (t *rankTask) remember(m core.ExpertMap) {
	next := maps.Clone(t.maps)
	next[m.Version] = m
	for len(next) > keptMaps {
		delete(next, slices.Min(slices.Collect(maps.Keys(next))))
	}
	t.maps = next
}

// push gives the engine the runs that it lacks.
func (t *rankTask) push(ctx context.Context) {
	for _, run := range t.rank.MissingRuns(t.state.Horizon) {
		if err := t.engine.Run(ctx, run); err != nil {
			t.failed = true
			t.log.Debug("order to engine failed", zap.Int64("from", run.From), zap.Error(err))
			return
		}
		t.state.Horizon = run.To
	}
}

// serve answers one message of a leader, or returns nil when it cannot.
func (t *rankTask) serve(ctx context.Context, f *peerpb.Frame) *peerpb.Frame {
	if !t.rank.Recovered() {
		t.poll(ctx)
		if !t.rank.Recovered() {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Collect:
		return t.collect(ctx, b.Collect)
	case *peerpb.Frame_Grant:
		return t.grant(ctx, b.Grant)
	case *peerpb.Frame_LoadMap:
		return t.load(ctx, b.LoadMap)
	case *peerpb.Frame_Stop:
		return t.stop(ctx, b.Stop)
	case *peerpb.Frame_Begin:
		return t.begin(ctx, b.Begin)
	default:
		t.log.Warn("frame does not belong to a group stream")
		return nil
	}
}

// ours checks the group of a message and notes that its leader gets on. Collect
// does not count, so that a leader that does not reach all ranks is replaced.
func (t *rankTask) ours(group string, fence int64, getsOn bool) bool {
	if group != t.g.cfg.Group {
		t.log.Warn("message for another group", zap.String("for", group))
		return false
	}
	if getsOn && fence >= t.rank.Fence() {
		t.heard = time.Now()
	}
	return true
}

func (t *rankTask) collect(ctx context.Context, c *peerpb.Collect) *peerpb.Frame {
	if !t.ours(c.GetGroup(), c.GetFence(), false) {
		return nil
	}
	// A leader with another list would leave out a rank.
	if c.GetRanksHash() != t.g.ranksHash {
		t.log.Error("leader has another list of rank ids", zap.String("leader", c.GetLeaderId()))
		return nil
	}
	a := t.rank.Collect(expertmap.Collect{Fence: c.GetFence()})
	if a.HighestFence == c.GetFence() {
		if err := t.engine.Fence(ctx, c.GetFence()); err != nil {
			t.log.Warn("tell engine the fence failed", zap.Int64("fence", c.GetFence()), zap.Error(err))
			return nil
		}
	}
	return collectAnswerToPB(t.g.cfg.Group, a)
}

func (t *rankTask) grant(ctx context.Context, g *peerpb.Grant) *peerpb.Frame {
	if !t.ours(g.GetGroup(), g.GetFence(), true) {
		return nil
	}
	before := t.rank.Horizon()
	a := t.rank.Grant(grantFromPB(g))
	if t.rank.Horizon() != before {
		t.push(ctx)
	}
	return grantAckToPB(t.g.cfg.Group, a)
}

func (t *rankTask) load(ctx context.Context, l *peerpb.LoadMap) *peerpb.Frame {
	if !t.ours(l.GetGroup(), l.GetFence(), true) {
		return nil
	}
	order := expertmap.LoadMap{Fence: l.GetFence(), Version: l.GetMapVersion()}
	m, held := t.maps[order.Version]
	if !held && len(l.GetPlacement()) == 0 {
		// This agent has restarted; the leader sends the content again.
		return loadAckToPB(t.g.cfg.Group, t.rank.LoadAck(order), false)
	}
	if !held {
		var err error
		if m, err = decodeMap(l); err != nil {
			t.log.Warn("refused a map", zap.Error(err))
			return nil
		}
	}
	if t.rank.AcceptFence(l.GetFence()) && !t.rank.LoadAck(order).Loaded {
		if err := t.engine.Load(ctx, l.GetFence(), m); err != nil {
			t.log.Warn("order to load a map failed", zap.Int64("map", m.Version), zap.Error(err))
		} else {
			t.remember(m)
		}
		t.poll(ctx)
	}
	_, held = t.maps[order.Version]
	return loadAckToPB(t.g.cfg.Group, t.rank.LoadAck(order), held)
}

func (t *rankTask) stop(ctx context.Context, p *peerpb.Stop) *peerpb.Frame {
	if !t.ours(p.GetGroup(), p.GetFence(), true) {
		return nil
	}
	s := expertmap.Stop{Fence: p.GetFence(), Generation: p.GetGeneration(), Horizon: p.GetHorizon()}
	if t.rank.AcceptStop(s) {
		if err := t.engine.Stop(ctx, s.Generation, s.Fence, t.rank.StopHorizon(s)); err != nil {
			t.log.Warn("order to stop failed", zap.Int64("generation", s.Generation), zap.Error(err))
		} else {
			t.rank.RecordStop(s)
			t.state.Generation = s.Generation
		}
	}
	return stopAckToPB(t.g.cfg.Group, t.rank.StopAck(s))
}

func (t *rankTask) begin(ctx context.Context, p *peerpb.Begin) *peerpb.Frame {
	if !t.ours(p.GetGroup(), p.GetFence(), true) {
		return nil
	}
	b := expertmap.Begin{Fence: p.GetFence(), Generation: p.GetGeneration(), Step: p.GetStep()}
	if t.rank.AcceptBegin(b) {
		if err := t.engine.Start(ctx, b.Generation, b.Fence, b.Step); err != nil {
			t.log.Warn("order to start failed", zap.Int64("generation", b.Generation), zap.Error(err))
		} else {
			t.rank.RecordBegin(b)
			t.state.Step, t.state.Horizon = b.Step, b.Step
		}
	}
	return beginAckToPB(t.g.cfg.Group, t.rank.BeginAck(b))
}
