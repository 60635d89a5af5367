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

// rankSnapshot is the state of the local rank, as passed to the leader task.
type rankSnapshot struct {
	recovered    bool
	stateLost    bool
	step         int64
	horizon      int64
	generation   int64
	fence        int64
	mapVersion   int64
	leaderSeenAt time.Time
	maps         map[int64]core.ExpertMap
}

// rankTask owns the local rank and sends all orders to its engine.
type rankTask struct {
	g       *Group
	log     *zap.Logger
	rank    *expertmap.Rank
	engine  core.RankEngine
	state   core.RankState
	started time.Time
	// initialFence is the highest fence that the rank may have seen before a restart
	// of this agent, or initialFenceUnknown.
	initialFence int64
	leaderSeenAt time.Time
	maps         map[int64]core.ExpertMap
	// engineFailed is set when the last poll of the engine or the last run sent to
	// it has failed.
	engineFailed bool
}

// initialFenceUnknown means that the leaders stream has not been read to its
// end.
const initialFenceUnknown = -2

func newRankTask(g *Group) *rankTask {
	return &rankTask{g: g, log: g.cfg.Logger, rank: expertmap.NewRank(g.cfg.Group, g.cfg.Rank), engine: g.cfg.Engine,
		started: time.Now(), initialFence: initialFenceUnknown, maps: map[int64]core.ExpertMap{}}
}

func (t *rankTask) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.g.initialFences:
			t.initialFence = max(t.initialFence, f)
		case r := <-t.g.rankRequests:
			r.reply <- t.serve(ctx, r.frame)
		case <-tick.C:
			t.poll(ctx)
			tick.Reset(t.interval())
			select {
			case t.g.rankSnapshots <- t.snapshot():
			case <-ctx.Done():
				return
			}
		}
	}
}

// interval returns the time to the next poll.
func (t *rankTask) interval() time.Duration {
	if t.engineFailed || t.g.leading.Load() || !t.rank.Recovered() || t.rank.StateLost() {
		return pollInterval
	}
	return idlePollInterval
}

func (t *rankTask) snapshot() rankSnapshot {
	return rankSnapshot{recovered: t.rank.Recovered(), stateLost: t.rank.StateLost(), step: t.state.Step,
		horizon: t.rank.Horizon(), generation: t.rank.Generation(), fence: t.rank.Fence(),
		mapVersion: t.rank.MapVersion(), leaderSeenAt: t.leaderSeenAt, maps: t.maps}
}

// poll reads the state of the engine. It recovers the rank after a start of this
// agent, detects a restart of the engine and resends the runs that the engine
// has not received.
func (t *rankTask) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s, err := t.engine.State(ctx)
	t.engineFailed = err != nil
	if err != nil {
		t.log.Debug("reading the engine state failed", zap.Error(err))
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
			t.log.Warn("engine lost its state", zap.Int64("horizon", t.rank.Horizon()))
		}
		t.rank.RecordStateLoss()
	}
	t.rank.SetLoaded(s.LoadedVersions)
	t.fetchMaps(ctx, s.LoadedVersions)
	t.sendMissingRuns(ctx)
}

// recover restores the rank from the state of the engine. If the engine does not
// store fences or has lost them, the fence comes from the leaders stream. The rank
// is then not recovered until orderTimeout after the start: an order that the
// former agent sent may still arrive, and such an engine would not refuse it.
func (t *rankTask) recover(ctx context.Context, s core.RankState) {
	fenceStored := s.Fencing && s.Generation != 0
	fence := s.Fence
	if !fenceStored {
		if t.initialFence == initialFenceUnknown || s.Generation != 0 && time.Since(t.started) < orderTimeout {
			return
		}
		fence = t.initialFence
	}
	t.fetchMaps(ctx, s.LoadedVersions)
	t.rank.Recover(s, fence)
	t.log.Info("rank recovered", zap.Int64("generation", s.Generation), zap.Int64("horizon", s.Horizon), zap.Int64("fence", t.rank.Fence()))
}

// fetchMaps reads from the engine the newest loaded maps whose content is not
// cached. These were loaded before a start of this agent, or their order was
// answered with an error although the engine executed it.
func (t *rankTask) fetchMaps(ctx context.Context, loaded []int64) {
	for _, v := range loaded[max(0, len(loaded)-maxCachedMaps):] {
		if _, known := t.maps[v]; known {
			continue
		}
		m, err := t.engine.Map(ctx, v)
		if err != nil {
			t.log.Warn("reading a map from the engine failed", zap.Int64("map", v), zap.Error(err))
			continue
		}
		t.cacheMap(m)
	}
}

// cacheMap adds a map to the cache, which holds the newest maxCachedMaps maps.
// It replaces t.maps instead of changing it, since the leader task reads the old
// value.
func (t *rankTask) cacheMap(m core.ExpertMap) {
	next := maps.Clone(t.maps)
	next[m.Version] = m
	for len(next) > maxCachedMaps {
		delete(next, slices.Min(slices.Collect(maps.Keys(next))))
	}
	t.maps = next
}

// sendMissingRuns sends the granted runs that the engine has not received.
func (t *rankTask) sendMissingRuns(ctx context.Context) {
	for _, run := range t.rank.MissingRuns(t.state.Horizon) {
		if err := t.engine.Run(ctx, run); err != nil {
			t.engineFailed = true
			t.log.Debug("order to run steps failed", zap.Int64("from", run.From), zap.Error(err))
			return
		}
		t.state.Horizon = run.To
	}
}

// serve returns the answer to a message of a leader, or nil when there is none.
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
		t.log.Warn("unexpected frame on a group stream")
		return nil
	}
}

// checkGroup reports whether a message is for this group. If isProgress is set,
// it also records that a leader was seen. Collect is not progress, so that
// a leader that does not reach all ranks is replaced.
func (t *rankTask) checkGroup(group string, fence int64, isProgress bool) bool {
	if group != t.g.cfg.Group {
		t.log.Warn("message is for another group", zap.String("for", group))
		return false
	}
	if isProgress && fence >= t.rank.Fence() {
		t.leaderSeenAt = time.Now()
	}
	return true
}

func (t *rankTask) collect(ctx context.Context, c *peerpb.Collect) *peerpb.Frame {
	if !t.checkGroup(c.GetGroup(), c.GetFence(), false) {
		return nil
	}
	// A leader with another list of ranks would omit a rank.
	if c.GetRanksHash() != t.g.ranksHash {
		t.log.Error("leader has a different list of rank ids", zap.String("leader", c.GetLeaderId()))
		return nil
	}
	a := t.rank.Collect(expertmap.Collect{Fence: c.GetFence()})
	if a.HighestFence == c.GetFence() {
		if err := t.engine.Fence(ctx, c.GetFence()); err != nil {
			t.log.Warn("sending the fence to the engine failed", zap.Int64("fence", c.GetFence()), zap.Error(err))
			return nil
		}
	}
	return collectAnswerToPB(t.g.cfg.Group, a)
}

func (t *rankTask) grant(ctx context.Context, g *peerpb.Grant) *peerpb.Frame {
	if !t.checkGroup(g.GetGroup(), g.GetFence(), true) {
		return nil
	}
	before := t.rank.Horizon()
	a := t.rank.Grant(grantFromPB(g))
	if t.rank.Horizon() != before {
		t.sendMissingRuns(ctx)
	}
	return grantAckToPB(t.g.cfg.Group, a)
}

func (t *rankTask) load(ctx context.Context, l *peerpb.LoadMap) *peerpb.Frame {
	if !t.checkGroup(l.GetGroup(), l.GetFence(), true) {
		return nil
	}
	order := expertmap.LoadMap{Fence: l.GetFence(), Version: l.GetMapVersion()}
	m, held := t.maps[order.Version]
	if !held && len(l.GetPlacement()) == 0 {
		// This agent has restarted since it received the content. The leader sends
		// the content again after this answer.
		return loadAckToPB(t.g.cfg.Group, t.rank.LoadAck(order), false)
	}
	if !held {
		var err error
		if m, err = decodeMap(l); err != nil {
			t.log.Warn("map refused", zap.Error(err))
			return nil
		}
	}
	if t.rank.AcceptFence(l.GetFence()) && !t.rank.LoadAck(order).Loaded {
		if err := t.engine.Load(ctx, l.GetFence(), m); err != nil {
			t.log.Warn("order to load a map failed", zap.Int64("map", m.Version), zap.Error(err))
		} else {
			t.cacheMap(m)
		}
		t.poll(ctx)
	}
	_, held = t.maps[order.Version]
	return loadAckToPB(t.g.cfg.Group, t.rank.LoadAck(order), held)
}

func (t *rankTask) stop(ctx context.Context, p *peerpb.Stop) *peerpb.Frame {
	if !t.checkGroup(p.GetGroup(), p.GetFence(), true) {
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
	if !t.checkGroup(p.GetGroup(), p.GetFence(), true) {
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
