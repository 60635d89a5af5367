package rank

import (
	"context"
	"fmt"
	"slices"
	"time"

	"nutmegnotch/core"
)

var _ core.RankEngine = (*Rank)(nil)

// errClosed reports a call to a stand-in that has ended.
var errClosed = fmt.Errorf("stand-in has ended: %w", core.ErrUnavailable)

// order checks the fence and runs op in the task.
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

// State returns what the engine knows of itself.
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

// Fence records the fence; without fencing it has no effect.
func (r *Rank) Fence(_ context.Context, fence int64) error {
	return r.order(fence, func(*state) error { return nil })
}

// Load loads a map, which takes the configured time.
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
		if s.loading == m.Version || slices.Contains(s.LoadedVersions, m.Version) {
			return nil
		}
		s.loading = m.Version
		delay := r.cfg.LoadTime + r.cfg.Store.take(r.missing(s, m))
		if delay <= 0 {
			load(s)
			return nil
		}
		time.AfterFunc(delay, func() { r.do(load) })
		return nil
	})
}

// Map returns a loaded map.
func (r *Rank) Map(_ context.Context, version int64) (core.ExpertMap, error) {
	var m core.ExpertMap
	var ok bool
	r.do(func(s *state) { m, ok = s.maps[version] })
	if !ok {
		return m, fmt.Errorf("map %d: %w", version, core.ErrNotFound)
	}
	return m, nil
}

// Run appends a run that starts at the horizon.
func (r *Rank) Run(_ context.Context, run core.Run) error {
	return r.order(run.Fence, func(s *state) error {
		if s.Generation == 0 || s.Stopped || run.Generation != s.Generation {
			return fmt.Errorf("generation %d is not running: %w", run.Generation, core.ErrConflict)
		}
		if !slices.Contains(s.LoadedVersions, run.MapVersion) {
			return fmt.Errorf("map %d is not loaded: %w", run.MapVersion, core.ErrConflict)
		}
		if run.To <= s.Horizon && slices.ContainsFunc(s.Runs, func(h core.Run) bool {
			return h.From <= run.From && run.To <= h.To && h.MapVersion == run.MapVersion
		}) {
			return nil
		}
		if run.From != s.Horizon || run.To <= run.From {
			return fmt.Errorf("run from %d does not start at horizon %d: %w", run.From, s.Horizon, core.ErrConflict)
		}
		s.Runs, s.Horizon = append(s.Runs, run), run.To
		if n := len(s.Runs) - keptRuns; n > 0 && s.Runs[n-1].To <= s.Step {
			s.Runs = slices.Clone(s.Runs[n:])
		}
		return nil
	})
}

// Stop gives up the steps not yet run.
func (r *Rank) Stop(_ context.Context, generation, fence, horizon int64) error {
	return r.order(fence, func(s *state) error {
		if generation < s.Generation || generation == s.Generation && !s.Stopped {
			return fmt.Errorf("generation %d is not above %d: %w", generation, s.Generation, core.ErrConflict)
		}
		s.epoch++
		s.Generation, s.Stopped, s.Runs = generation, true, nil
		s.Horizon = max(s.Horizon, horizon)
		return nil
	})
}

// Start lets a stopped engine run from a step on.
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
