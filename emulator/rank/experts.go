package rank

import (
	"context"
	"slices"
	"time"

	"nutmegnotch/core"
)

// defaultWindowSteps is the default number of steps in a load window.
const defaultWindowSteps = 64

var _ core.ExpertLoadReader = (*Rank)(nil)

// WeightStore emulates the store from which ranks load the weights of experts. It
// serves the ranks of a group in turn at a fixed rate.
type WeightStore struct {
	bytesPerSecond float64
	expertBytes    float64
	// freeAt holds the time at which all requested transfers are complete.
	freeAt chan time.Time
}

// NewWeightStore returns a store with the given rate and size of an expert.
func NewWeightStore(bytesPerSecond, expertBytes float64) *WeightStore {
	s := &WeightStore{bytesPerSecond: bytesPerSecond, expertBytes: expertBytes, freeAt: make(chan time.Time, 1)}
	s.freeAt <- time.Now()
	return s
}

// reserve schedules the transfer of a number of experts and returns the time until it
// is complete. It returns 0 for a nil store.
func (s *WeightStore) reserve(experts int) time.Duration {
	if s == nil || experts == 0 {
		return 0
	}
	now := time.Now()
	done := <-s.freeAt
	if done.Before(now) {
		done = now
	}
	done = done.Add(time.Duration(float64(experts) * s.expertBytes / s.bytesPerSecond * float64(time.Second)))
	s.freeAt <- done
	return done.Sub(now)
}

// countMissing returns the number of experts of a map that the rank would have to
// load. The rank holds the experts of the map that it loaded last.
func (r *Rank) countMissing(s *state, m core.ExpertMap) int {
	var held core.ExpertMap
	if n := len(s.LoadedVersions); n > 0 {
		held = s.maps[s.LoadedVersions[n-1]]
	}
	n := 0
	for l, layer := range m.Replicas {
		for e, ranks := range layer {
			has := l < len(held.Replicas) && e < len(held.Replicas[l]) && slices.Contains(held.Replicas[l][e], r.cfg.Rank)
			if slices.Contains(ranks, r.cfg.Rank) && !has {
				n++
			}
		}
	}
	return n
}

// nextMapVersion returns the map version of the run order that contains the next step.
// It reports false if there is none.
func (s *state) nextMapVersion() (int64, bool) {
	i := slices.IndexFunc(s.Runs, func(run core.Run) bool { return run.From <= s.Step && s.Step < run.To })
	if i < 0 {
		return 0, false
	}
	return s.Runs[i].MapVersion, true
}

// busyTime returns the compute time of the next step on this rank. It is StepTime
// times the ratio of the rank's share of the load to the mean share.
func (r *Rank) busyTime(s *state) time.Duration {
	if r.cfg.Load == nil || r.cfg.Ranks == 0 {
		return r.cfg.StepTime
	}
	v, _ := s.nextMapVersion()
	load := r.cfg.Load(r.windowStart(s.Step))
	own, total := 0.0, 0.0
	for l, layer := range s.maps[v].Replicas {
		for e, ranks := range layer {
			if l >= len(load) || e >= len(load[l]) {
				continue
			}
			total += load[l][e]
			if slices.Contains(ranks, r.cfg.Rank) {
				own += load[l][e] / float64(len(ranks))
			}
		}
	}
	if total == 0 {
		return r.cfg.StepTime
	}
	return time.Duration(float64(r.cfg.StepTime) * own * float64(r.cfg.Ranks) / total)
}

// windowStart returns the first step of the window that contains a step.
func (r *Rank) windowStart(step int64) int64 {
	n := r.cfg.WindowSteps
	if n <= 0 {
		n = defaultWindowSteps
	}
	return step - step%n
}

// Experts implements core.ExpertLoadReader.
func (r *Rank) Experts(context.Context) (core.ExpertWindow, error) {
	var w core.ExpertWindow
	ok := r.do(func(s *state) {
		w.Incarnation = s.Incarnation
		if end := r.windowStart(s.Step); end > 0 && r.cfg.Load != nil {
			w.EndStep, w.Tokens = end, r.cfg.Load(r.windowStart(end-1))
		}
	})
	if !ok {
		return w, errClosed
	}
	return w, nil
}
