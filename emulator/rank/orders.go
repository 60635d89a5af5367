package rank

import (
	"context"
	"fmt"
	"slices"
	"time"

	"nutmegnotch/core"
)

var _ core.RankEngine = (*Rank)(nil)

// errClosed is returned by calls to an engine that has been closed.
var errClosed = fmt.Errorf("stand-in has ended: %w", core.ErrUnavailable)

// order checks the fence and runs op in the engine's task.
func (r *Rank) order(fence int64, op func(*state) error) error {
	err := errClosed
	r.do(func(s *state) {
		if s.Fencing && fence < s.Fence {
			err = fmt.Errorf("fence %d is below %d: %w", fence, s.Fence, core.ErrStaleFence)
			return
		}
		if s.Fencing {
			s.Fence = fence
		}
		err = op(s)
	})
	return err
}

// State implements core.RankEngine.
func (r *Rank) State(context.Context) (core.RankState, error) {
	var out core.RankState
	ok := r.do(func(s *state) {
		out = s.RankState
		out.LoadedVersions, out.Runs = slices.Clone(s.LoadedVersions), slices.Clone(s.Runs)
	})
	if !ok {
		return out, errClosed
	}
	return out, nil
}

// Fence implements core.RankEngine. It has no effect without fencing.
func (r *Rank) Fence(_ context.Context, fence int64) error {
	return r.order(fence, func(*state) error { return nil })
}

// Load implements core.RankEngine. Loading takes LoadTime plus the time to transfer
// the missing experts from the weight store.
func (r *Rank) Load(_ context.Context, fence int64, m core.ExpertMap) error {
	if m.Version == 0 {
		return fmt.Errorf("map version 0: %w", core.ErrInvalid)
	}
	return r.order(fence, func(s *state) error {
		incarnation := s.Incarnation
		load := func(s *state) {
			if s.Incarnation == incarnation && !slices.Contains(s.LoadedVersions, m.Version) {
				s.LoadedVersions = append(s.LoadedVersions, m.Version)
				s.maps[m.Version] = m
			}
		}
		if s.loadingVersion == m.Version || slices.Contains(s.LoadedVersions, m.Version) {
			return nil
		}
		s.loadingVersion = m.Version
		delay := r.cfg.LoadTime + r.cfg.Store.reserve(r.countMissing(s, m))
		if delay <= 0 {
			load(s)
			return nil
		}
		time.AfterFunc(delay, func() { r.do(load) })
		return nil
	})
}

// Map implements core.RankEngine.
func (r *Rank) Map(_ context.Context, version int64) (core.ExpertMap, error) {
	var m core.ExpertMap
	var ok bool
	r.do(func(s *state) { m, ok = s.maps[version] })
	if !ok {
		return m, fmt.Errorf("map %d: %w", version, core.ErrNotFound)
	}
	return m, nil
}

// Run implements core.RankEngine.
func (r *Rank) Run(_ context.Context, run core.Run) error {
	return r.order(run.Fence, func(s *state) error {
		if s.Generation == 0 || s.Stopped || run.Generation != s.Generation {
			return fmt.Errorf("generation %d is not running: %w", run.Generation, core.ErrConflict)
		}
		if !slices.Contains(s.LoadedVersions, run.MapVersion) {
			return fmt.Errorf("map %d is not loaded: %w", run.MapVersion, core.ErrConflict)
		}
		if run.To <= s.Horizon && slices.ContainsFunc(s.Runs, func(accepted core.Run) bool {
			return accepted.From <= run.From && run.To <= accepted.To && accepted.MapVersion == run.MapVersion
		}) {
			return nil
		}
		if run.From != s.Horizon || run.To <= run.From {
			return fmt.Errorf("run from %d does not start at horizon %d: %w", run.From, s.Horizon, core.ErrConflict)
		}
		s.Runs, s.Horizon = append(s.Runs, run), run.To
		if n := len(s.Runs) - maxRuns; n > 0 && s.Runs[n-1].To <= s.Step {
			s.Runs = slices.Clone(s.Runs[n:])
		}
		return nil
	})
}

// Stop implements core.RankEngine.
func (r *Rank) Stop(_ context.Context, generation, fence, horizon int64) error {
	return r.order(fence, func(s *state) error {
		if generation < s.Generation || generation == s.Generation && !s.Stopped {
			return fmt.Errorf("generation %d is not above %d: %w", generation, s.Generation, core.ErrConflict)
		}
		s.attemptEpoch++
		s.Generation, s.Stopped, s.Runs = generation, true, nil
		s.Horizon = max(s.Horizon, horizon)
		return nil
	})
}

// Start implements core.RankEngine.
func (r *Rank) Start(_ context.Context, generation, fence, step int64) error {
	return r.order(fence, func(s *state) error {
		if generation != s.Generation || s.Stopped && step < s.Horizon {
			return fmt.Errorf("start of generation %d at step %d: engine has %d and horizon %d: %w",
				generation, step, s.Generation, s.Horizon, core.ErrConflict)
		}
		if s.Stopped {
			s.Stopped, s.Step, s.Horizon = false, step, step
		}
		return nil
	})
}
