package rank

import (
	"context"
	"slices"
	"time"

	"nutmegnotch/core"
)

// defaultWindowSteps is the length of a window of load without a setting.
const defaultWindowSteps = 64

var _ core.ExpertLoadReader = (*Rank)(nil)

// WeightStore is the stand-in for the weight store. It feeds all ranks of a group one
// after the other at one rate.
type WeightStore struct {
	bytesPerSecond float64
	expertBytes    float64
	// free holds the time at which the store has fed all that was asked for.
	free chan time.Time
}

// NewWeightStore returns a store with a rate for experts of one size.
func NewWeightStore(bytesPerSecond, expertBytes float64) *WeightStore {
	s := &WeightStore{bytesPerSecond: bytesPerSecond, expertBytes: expertBytes, free: make(chan time.Time, 1)}
	s.free <- time.Now()
	return s
}

// take reserves the weights of a number of experts and returns how long they
// take from now on. A nil store takes no time.
func (s *WeightStore) take(experts int) time.Duration {
	if s == nil || experts == 0 {
		return 0
	}
	now := time.Now()
	at := <-s.free
	if at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(float64(experts) * s.expertBytes / s.bytesPerSecond * float64(time.Second)))
	s.free <- at
	return at.Sub(now)
}

// missing counts the experts of a map that the rank would have to load. It
// holds those of the map that it loaded last.
func (r *Rank) missing(s *state, m core.ExpertMap) int {
	var held core.ExpertMap
	if n := len(s.LoadedVersions); n > 0 {
		held = s.maps[s.LoadedVersions[n-1]]
	}
	n := 0
	for l, layer := range m.Replicas {
		for e, on := range layer {
			has := l < len(held.Replicas) && e < len(held.Replicas[l]) && slices.Contains(held.Replicas[l][e], r.cfg.Rank)
			if slices.Contains(on, r.cfg.Rank) && !has {
				n++
			}
		}
	}
	return n
}

// mapOfStep returns the map version that the next step has been ordered with.
func (s *state) mapOfStep() (int64, bool) {
	i := slices.IndexFunc(s.Runs, func(run core.Run) bool { return run.From <= s.Step && s.Step < run.To })
	if i < 0 {
		return 0, false
	}
	return s.Runs[i].MapVersion, true
}

// busyTime is how long the next step keeps the rank busy.
func (r *Rank) busyTime(s *state) time.Duration {
	if r.cfg.Load == nil || r.cfg.Ranks == 0 {
		return r.cfg.StepTime
	}
	v, _ := s.mapOfStep()
	load := r.cfg.Load(r.windowOf(s.Step))
	own, all := 0.0, 0.0
	for l, layer := range s.maps[v].Replicas {
		for e, on := range layer {
			if l >= len(load) || e >= len(load[l]) {
				continue
			}
			all += load[l][e]
			if slices.Contains(on, r.cfg.Rank) {
				own += load[l][e] / float64(len(on))
			}
		}
	}
	if all == 0 {
		return r.cfg.StepTime
	}
	return time.Duration(float64(r.cfg.StepTime) * own * float64(r.cfg.Ranks) / all)
}

// windowOf returns the first step of the window that a step belongs to.
func (r *Rank) windowOf(step int64) int64 {
	n := r.cfg.WindowSteps
	if n <= 0 {
		n = defaultWindowSteps
	}
	return step - step%n
}

// Experts returns the load of the newest closed window.
func (r *Rank) Experts(context.Context) (core.ExpertWindow, error) {
	var w core.ExpertWindow
	ok := r.do(func(s *state) {
		w.Incarnation = s.Incarnation
		if end := r.windowOf(s.Step); end > 0 && r.cfg.Load != nil {
			w.EndStep, w.Tokens = end, r.cfg.Load(r.windowOf(end-1))
		}
	})
	if !ok {
		return w, errClosed
	}
	return w, nil
}
