package expertmap

import (
	"slices"

	"nutmegnotch/core"
)

// Rank decides at an agent which orders of leaders are passed on to its engine.
// A grant counts as given once Rank has accepted it, whether or not the engine
// has received the run yet. It is not safe for concurrent use.
type Rank struct {
	group      string
	rank       int
	recovered  bool
	fence      int64
	generation int64
	horizon    int64
	recent     []core.StepGrant
	loaded     []int64
	stateLost  bool
	stopped    bool
}

// NewRank returns a rank that refuses everything until Recover is called.
func NewRank(group string, rank int) *Rank { return &Rank{group: group, rank: rank} }

// Recover restores the rank from the state of the engine. fence is the highest
// fence that the rank may have seen before: the engine's own fence if the
// engine stores fences, else the highest offset of the group in the leaders
// stream, which must have been read to its end.
func (r *Rank) Recover(s core.RankState, fence int64) {
	r.recovered = true
	r.fence = max(r.fence, fence, s.Fence)
	r.loaded = slices.Clone(s.LoadedVersions)
	r.generation, r.horizon, r.stopped = s.Generation, s.Horizon, s.Stopped
	r.stateLost = s.Generation == 0
	r.recent = nil
	for _, run := range s.Runs {
		r.addRecent(core.StepGrant{Group: r.group, Generation: run.Generation, Fence: run.Fence,
			FromStep: run.From, ToStep: run.To, MapVersion: run.MapVersion})
	}
}

// Recovered reports whether Recover has been called.
func (r *Rank) Recovered() bool { return r.recovered }

// RecordStateLoss records that the engine has restarted without its state. The
// horizon is kept, since no later generation may begin below it.
func (r *Rank) RecordStateLoss() { r.stateLost, r.loaded = true, nil }

// SetLoaded sets the map versions that the engine has loaded.
func (r *Rank) SetLoaded(versions []int64) { r.loaded = slices.Clone(versions) }

// Fence returns the highest fence that the rank has seen.
func (r *Rank) Fence() int64 { return r.fence }

// Horizon returns the first step that is not granted to the rank.
func (r *Rank) Horizon() int64 { return r.horizon }

// Generation returns the generation of the rank.
func (r *Rank) Generation() int64 { return r.generation }

// StateLost reports whether the engine has lost its state. The rank then
// accepts no grants until a new generation begins.
func (r *Rank) StateLost() bool { return r.stateLost }

// MapVersion returns the map of the last granted step, or 0.
func (r *Rank) MapVersion() int64 {
	if len(r.recent) == 0 {
		return 0
	}
	return r.recent[len(r.recent)-1].MapVersion
}

// AcceptFence records the fence of an order. It reports false, and the order
// must be ignored, when the fence is stale or the rank is not recovered.
func (r *Rank) AcceptFence(fence int64) bool {
	if !r.recovered || fence < r.fence {
		return false
	}
	r.fence = fence
	return true
}

// Collect records the fence and answers with the state of the rank. The caller
// must pass the fence to the engine before it sends the answer.
func (r *Rank) Collect(c Collect) CollectAnswer {
	a := CollectAnswer{Rank: r.rank, Fence: c.Fence}
	if r.AcceptFence(c.Fence) {
		a.Generation, a.Horizon, a.Recent = r.generation, r.horizon, slices.Clone(r.recent)
		a.Loaded, a.StateLost, a.Stopped = slices.Clone(r.loaded), r.stateLost, r.stopped
	}
	a.HighestFence = r.fence
	return a
}

// Grant accepts a grant that begins at the horizon, acknowledges one that the
// rank already holds and refuses any other.
func (r *Rank) Grant(g core.StepGrant) GrantAck {
	accepted := r.AcceptFence(g.Fence) && r.acceptGrant(g)
	return GrantAck{Rank: r.rank, Accepted: accepted, Horizon: r.horizon, HighestFence: r.fence,
		Generation: r.generation, StateLost: r.stateLost}
}

func (r *Rank) acceptGrant(g core.StepGrant) bool {
	if r.stateLost || r.stopped || g.Generation != r.generation || g.ToStep <= g.FromStep {
		return false
	}
	if g.FromStep == r.horizon {
		if !slices.Contains(r.loaded, g.MapVersion) {
			return false
		}
		r.addRecent(g)
		r.horizon = g.ToStep
		return true
	}
	return r.holds(g)
}

// holds reports whether every step of g is already granted with the same map.
func (r *Rank) holds(g core.StepGrant) bool {
	at := g.FromStep
	for _, have := range r.recent {
		if have.FromStep <= at && at < have.ToStep && have.MapVersion == g.MapVersion {
			at = have.ToStep
		}
	}
	return at >= g.ToStep
}

func (r *Rank) addRecent(g core.StepGrant) {
	r.recent = append(r.recent, g)
	if n := len(r.recent) - maxRecentGrants; n > 0 {
		r.recent = slices.Clone(r.recent[n:])
	}
}

// MissingRuns returns the granted runs that an engine with this horizon has not
// received yet.
func (r *Rank) MissingRuns(engineHorizon int64) []core.Run {
	if r.stateLost || r.stopped {
		return nil
	}
	var runs []core.Run
	for _, g := range r.recent {
		if g.ToStep > engineHorizon && g.Generation == r.generation {
			runs = append(runs, core.Run{Generation: g.Generation, Fence: r.fence,
				From: max(g.FromStep, engineHorizon), To: g.ToStep, MapVersion: g.MapVersion})
		}
	}
	return runs
}

// AcceptStop reports whether a Stop must be passed on to the engine. A rank that
// has already stopped for the generation passes it on again when the horizon is
// higher. The caller calls RecordStop once the engine has stopped.
func (r *Rank) AcceptStop(s Stop) bool {
	if !r.AcceptFence(s.Fence) {
		return false
	}
	higherHorizon := r.stopped && s.Generation == r.generation && s.Horizon > r.horizon
	return s.Generation > r.generation || higherHorizon
}

// StopHorizon returns the horizon that the engine has to store when it stops.
func (r *Rank) StopHorizon(s Stop) int64 { return max(r.horizon, s.Horizon) }

// RecordStop enters the generation of s in the stopped state.
func (r *Rank) RecordStop(s Stop) {
	r.horizon = r.StopHorizon(s)
	r.generation, r.stopped, r.stateLost, r.recent = s.Generation, true, false, nil
}

// StopAck answers a Stop.
func (r *Rank) StopAck(s Stop) StopAck {
	return StopAck{Rank: r.rank, Stopped: r.stopped && !r.stateLost && r.generation == s.Generation,
		Generation: r.generation, Horizon: r.horizon, HighestFence: r.fence, Loaded: slices.Clone(r.loaded)}
}

// AcceptBegin reports whether a Begin must be passed on to the engine. The
// caller calls RecordBegin once the engine has started.
func (r *Rank) AcceptBegin(b Begin) bool {
	return r.AcceptFence(b.Fence) && r.stopped && !r.stateLost && b.Generation == r.generation && b.Step >= r.horizon
}

// RecordBegin ends the stopped state and sets the horizon to the first step of
// the generation.
func (r *Rank) RecordBegin(b Begin) { r.stopped, r.horizon = false, b.Step }

// BeginAck answers a Begin.
func (r *Rank) BeginAck(b Begin) BeginAck {
	return BeginAck{Rank: r.rank, Begun: !r.stopped && !r.stateLost && r.generation == b.Generation && r.horizon >= b.Step,
		Generation: r.generation, HighestFence: r.fence, StateLost: r.stateLost}
}

// LoadAck answers a LoadMap. The caller passes the order on to the engine if
// AcceptFence reports true.
func (r *Rank) LoadAck(m LoadMap) LoadAck {
	return LoadAck{Rank: r.rank, Version: m.Version, Loaded: slices.Contains(r.loaded, m.Version),
		HighestFence: r.fence, StateLost: r.stateLost}
}
