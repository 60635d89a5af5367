// Package rank is the stand-in for the engine of one rank of a group that runs
// in lock-step on an expert map.
package rank

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"nutmegnotch/core"
)

// Sizes of a stand-in.
const (
	keptRuns    = 32
	keptHistory = 1 << 20
)

// Config describes a stand-in. LoadTime is the fixed part of the time that
// loading one map takes; the bytes that move to the rank come from Store on top.
// StepTime is the mean time of a step. With a Load, which tells the tokens per
// expert of the window of steps that a step belongs to, a rank takes as much
// longer or shorter as its share of the load is above or below the mean.
type Config struct {
	Rank     int
	Ranks    int
	Barrier  Barrier
	Fencing  bool
	StepTime time.Duration
	LoadTime time.Duration
	Store    *WeightStore
	Load     func(step int64) core.ExpertLoad
	// WindowSteps is the length of a window of load, 0 for 64 steps.
	WindowSteps int64
}

// StepRecord is one step that the engine ran. BusyUS is the time that the rank
// itself computed, and EndUnixUS when it had finished.
type StepRecord struct {
	Generation int64 `json:"generation"`
	Step       int64 `json:"step"`
	MapVersion int64 `json:"map_version"`
	BusyUS     int64 `json:"busy_us"`
	EndUnixUS  int64 `json:"end_unix_us"`
}

// Faults is the body of POST /faults. A restart loses all state; history stays,
// since it belongs to the checker.
type Faults struct {
	StallMS int64 `json:"stall_ms"`
	Restart bool  `json:"restart"`
}

// Rank is one stand-in. It is an http.Handler.
type Rank struct {
	cfg    Config
	ops    chan func(*state)
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// state is owned by the task of the stand-in.
type state struct {
	core.RankState
	maps    map[int64]core.ExpertMap
	history []StepRecord
	stalled time.Time
	// loading is the newest map that was ordered.
	loading int64
	// epoch grows when a step under way must not be counted.
	epoch int
}

// passed tells that all ranks have arrived at a step, which took busy.
type passed struct {
	epoch int
	step  int64
	busy  time.Duration
}

// New starts a stand-in.
func New(cfg Config) *Rank {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rank{cfg: cfg, ops: make(chan func(*state)), ctx: ctx, cancel: cancel, done: make(chan struct{})}
	go r.run()
	return r
}

// Close ends the stand-in.
func (r *Rank) Close() {
	r.cancel()
	<-r.done
}

// Done is closed when the stand-in has ended.
func (r *Rank) Done() <-chan struct{} { return r.done }

func (r *Rank) fresh() core.RankState {
	return core.RankState{Incarnation: uuid.NewString(), Fencing: r.cfg.Fencing}
}

// attempt is the one step that is under way.
type attempt struct {
	epoch  int
	cancel context.CancelFunc
	gone   chan struct{}
}

// run owns the state. At most one attempt at a step is under way.
func (r *Rank) run() {
	defer close(r.done)
	s := &state{RankState: r.fresh(), maps: map[int64]core.ExpertMap{}}
	through := make(chan passed)
	a := &attempt{cancel: func() {}, gone: make(chan struct{})}
	close(a.gone)
	busy := false
	defer func() { a.cancel(); <-a.gone }()
	for {
		if !busy && s.ready() {
			a = r.attempt(s, through)
			busy = true
		}
		gone := a.gone
		if !busy {
			gone = nil
		}
		select {
		case <-r.ctx.Done():
			return
		case op := <-r.ops:
			op(s)
			if s.epoch != a.epoch {
				a.cancel()
			}
		case p := <-through:
			s.ran(p)
		case <-gone:
			a.cancel()
			busy = false
		}
	}
}

// attempt starts the next step.
func (r *Rank) attempt(s *state, through chan<- passed) *attempt {
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{epoch: s.epoch, cancel: cancel, gone: make(chan struct{})}
	p, generation := passed{s.epoch, s.Step, r.busyTime(s)}, s.Generation
	go func() {
		defer close(a.gone)
		r.arrive(ctx, p, generation, through)
	}()
	return a
}

// ready reports whether a step may be run.
func (s *state) ready() bool {
	return s.Generation > 0 && !s.Stopped && s.Step < s.Horizon
}

// arrive waits at the barrier, runs the step and reports it.
func (r *Rank) arrive(ctx context.Context, p passed, generation int64, through chan<- passed) {
	if !r.unstall(ctx) {
		return
	}
	if r.cfg.Barrier.Arrive(ctx, Arrival{Generation: generation, Step: p.step, Rank: r.cfg.Rank}) != nil {
		return
	}
	if !sleep(ctx, p.busy) {
		return
	}
	select {
	case through <- p:
	case <-ctx.Done():
	}
}

// unstall waits until no stall is planted.
func (r *Rank) unstall(ctx context.Context) bool {
	for {
		until := make(chan time.Time, 1)
		select {
		case r.ops <- func(s *state) { until <- s.stalled }:
		case <-ctx.Done():
			return false
		}
		d := time.Until(<-until)
		if d <= 0 {
			return true
		}
		if !sleep(ctx, d) {
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// ran counts a step unless it was given up.
func (s *state) ran(p passed) {
	if p.epoch != s.epoch || p.step != s.Step {
		return
	}
	v, ok := s.mapOfStep()
	if !ok {
		return
	}
	s.MapVersion = v
	if len(s.history) < keptHistory {
		s.history = append(s.history, StepRecord{Generation: s.Generation, Step: s.Step, MapVersion: s.MapVersion,
			BusyUS: p.busy.Microseconds(), EndUnixUS: time.Now().UnixMicro()})
	}
	s.Step++
}

// do runs op in the task of the stand-in.
func (r *Rank) do(op func(*state)) bool {
	ran := make(chan struct{})
	select {
	case r.ops <- func(s *state) { op(s); close(ran) }:
		<-ran
		return true
	case <-r.done:
		return false
	}
}

// History returns the steps that the engine ran.
func (r *Rank) History() []StepRecord {
	var h []StepRecord
	r.do(func(s *state) { h = slices.Clone(s.history) })
	return h
}

// Inject plants a fault.
func (r *Rank) Inject(f Faults) {
	r.do(func(s *state) {
		if f.StallMS > 0 {
			s.stalled = time.Now().Add(time.Duration(f.StallMS) * time.Millisecond)
		}
		if f.Restart {
			s.RankState, s.maps, s.loading = r.fresh(), map[int64]core.ExpertMap{}, 0
			s.epoch++
		}
	})
}
