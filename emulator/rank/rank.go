// Package rank emulates the engine of one rank of a lock-step group, which runs its
// steps with an expert map.
package rank

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"nutmegnotch/core"
)

// Limits of the runs and history records that an engine keeps.
const (
	maxRuns    = 32
	maxHistory = 1 << 20
)

// Config configures an emulated engine.
type Config struct {
	Rank    int
	Ranks   int
	Barrier Barrier
	Fencing bool
	// StepTime is the mean time of a step over the ranks of the group.
	StepTime time.Duration
	// LoadTime is the fixed part of the time to load a map. The time to transfer the
	// missing experts from Store, which may be nil, is added to it.
	LoadTime time.Duration
	Store    *WeightStore
	// Load returns the tokens per expert in the load window that starts at a step. If
	// it is set, the time of a step is proportional to the rank's share of the load.
	Load func(step int64) core.ExpertLoad
	// WindowSteps is the number of steps in a load window, 64 if it is 0.
	WindowSteps int64
}

// StepRecord records a step that the engine ran. BusyUS is the compute time of the
// rank, without the wait at the barrier, and EndUnixUS the time when the step ended.
type StepRecord struct {
	Generation int64 `json:"generation"`
	Step       int64 `json:"step"`
	MapVersion int64 `json:"map_version"`
	BusyUS     int64 `json:"busy_us"`
	EndUnixUS  int64 `json:"end_unix_us"`
}

// Faults is the body of POST /faults. A restart loses all state except the history,
// which tests check.
type Faults struct {
	StallMS int64 `json:"stall_ms"`
	Restart bool  `json:"restart"`
}

// Rank is the emulated engine of one rank.
type Rank struct {
	cfg    Config
	ops    chan func(*state)
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// state is owned by the engine's task.
type state struct {
	core.RankState
	maps         map[int64]core.ExpertMap
	history      []StepRecord
	stalledUntil time.Time
	// loadingVersion is the version of the map that was last ordered to be loaded.
	loadingVersion int64
	// attemptEpoch is incremented when the step in progress must not be counted.
	attemptEpoch int
}

// stepResult is a completed step. busy is its compute time.
type stepResult struct {
	epoch int
	step  int64
	busy  time.Duration
}

// New starts an engine. Callers must call Close to stop it.
func New(cfg Config) *Rank {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rank{cfg: cfg, ops: make(chan func(*state)), ctx: ctx, cancel: cancel, done: make(chan struct{})}
	go r.run()
	return r
}

// Close stops the engine.
func (r *Rank) Close() {
	r.cancel()
	<-r.done
}

// Done returns a channel that is closed when the engine has stopped.
func (r *Rank) Done() <-chan struct{} { return r.done }

func (r *Rank) newRankState() core.RankState {
	return core.RankState{Incarnation: uuid.NewString(), Fencing: r.cfg.Fencing}
}

// stepAttempt is an attempt to run the next step. ended is closed when its goroutine
// has returned.
type stepAttempt struct {
	epoch  int
	cancel context.CancelFunc
	ended  chan struct{}
}

// run is the engine's task, which owns the state. At most one attempt is in progress.
func (r *Rank) run() {
	defer close(r.done)
	s := &state{RankState: r.newRankState(), maps: map[int64]core.ExpertMap{}}
	results := make(chan stepResult)
	a := &stepAttempt{cancel: func() {}, ended: make(chan struct{})}
	close(a.ended)
	inProgress := false
	defer func() { a.cancel(); <-a.ended }()
	for {
		if !inProgress && s.canStep() {
			a = r.startStep(s, results)
			inProgress = true
		}
		ended := a.ended
		if !inProgress {
			ended = nil
		}
		select {
		case <-r.ctx.Done():
			return
		case op := <-r.ops:
			op(s)
			if s.attemptEpoch != a.epoch {
				a.cancel()
			}
		case p := <-results:
			s.completeStep(p)
		case <-ended:
			a.cancel()
			inProgress = false
		}
	}
}

// startStep starts an attempt to run the next step.
func (r *Rank) startStep(s *state, results chan<- stepResult) *stepAttempt {
	ctx, cancel := context.WithCancel(r.ctx)
	a := &stepAttempt{epoch: s.attemptEpoch, cancel: cancel, ended: make(chan struct{})}
	p, generation := stepResult{s.attemptEpoch, s.Step, r.busyTime(s)}, s.Generation
	go func() {
		defer close(a.ended)
		r.runStep(ctx, p, generation, results)
	}()
	return a
}

// canStep reports whether the next step may run.
func (s *state) canStep() bool {
	return s.Generation > 0 && !s.Stopped && s.Step < s.Horizon
}

// runStep waits at the barrier, runs the step and sends its result.
func (r *Rank) runStep(ctx context.Context, p stepResult, generation int64, results chan<- stepResult) {
	if !r.waitForStall(ctx) {
		return
	}
	if r.cfg.Barrier.Arrive(ctx, Arrival{Generation: generation, Step: p.step, Rank: r.cfg.Rank}) != nil {
		return
	}
	if !sleep(ctx, p.busy) {
		return
	}
	select {
	case results <- p:
	case <-ctx.Done():
	}
}

// waitForStall waits until an injected stall is over. It reports false if ctx ends
// first.
func (r *Rank) waitForStall(ctx context.Context) bool {
	for {
		until := make(chan time.Time, 1)
		select {
		case r.ops <- func(s *state) { until <- s.stalledUntil }:
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

// sleep reports false if ctx ends first.
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

// completeStep records a step, unless its attempt was abandoned.
func (s *state) completeStep(p stepResult) {
	if p.epoch != s.attemptEpoch || p.step != s.Step {
		return
	}
	v, ok := s.nextMapVersion()
	if !ok {
		return
	}
	s.MapVersion = v
	if len(s.history) < maxHistory {
		s.history = append(s.history, StepRecord{Generation: s.Generation, Step: s.Step, MapVersion: s.MapVersion,
			BusyUS: p.busy.Microseconds(), EndUnixUS: time.Now().UnixMicro()})
	}
	s.Step++
}

// do runs op in the engine's task. It reports false if the engine is closed.
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

// History returns the steps that the engine ran, in order.
func (r *Rank) History() []StepRecord {
	var h []StepRecord
	r.do(func(s *state) { h = slices.Clone(s.history) })
	return h
}

// Inject applies the faults.
func (r *Rank) Inject(f Faults) {
	r.do(func(s *state) {
		if f.StallMS > 0 {
			s.stalledUntil = time.Now().Add(time.Duration(f.StallMS) * time.Millisecond)
		}
		if f.Restart {
			s.RankState, s.maps, s.loadingVersion = r.newRankState(), map[int64]core.ExpertMap{}, 0
			s.attemptEpoch++
		}
	})
}
