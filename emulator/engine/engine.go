// Package engine emulates a model engine. It generates tokens at a configured rate,
// is cold after a start, and crashes when the tokens that it holds exceed its memory.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
)

// Options configures the emulated engine.
type Options struct {
	// TokensPerSecond is the generation rate of a single request on a warm engine.
	TokensPerSecond float64
	// Slowdown is the relative increase of the step time per additional running
	// request.
	Slowdown float64
	// MemoryTokens is the token capacity of a warm engine and ColdTokens that of a
	// cold one. An engine is warm once the requests that it has completed amount to
	// WarmTokens. The default of WarmTokens is half of the difference between
	// MemoryTokens and ColdTokens.
	MemoryTokens int64
	ColdTokens   int64
	WarmTokens   int64
	// ColdFactor multiplies the step time of a cold engine.
	ColdFactor float64
	// RestartTime is the time after a crash during which the engine breaks all
	// connections.
	RestartTime time.Duration
	// CrashMarker is a text that crashes the engine if a prompt contains it. An empty
	// CrashMarker has no effect.
	CrashMarker string
	// LoadLag is the minimum age of the state that load reports show.
	LoadLag time.Duration
	// CheckFence makes the engine refuse orders whose fence is below the highest one
	// received.
	CheckFence bool
	Models     []string
}

// Run records one run of a request, for tests that check the history.
type Run struct {
	RequestID   string `json:"request_id"`
	PromptHash  string `json:"prompt_hash"`
	Incarnation string `json:"incarnation"`
	StartNS     int64  `json:"start_unix_ns"`
	EndNS       int64  `json:"end_unix_ns"`
	Tokens      int64  `json:"tokens"`
	Outcome     string `json:"outcome"`
}

// Outcomes of runs.
const (
	OutcomeRunning   = "running"
	OutcomeDone      = "done"
	OutcomeCancelled = "cancelled"
	OutcomeCrashed   = "crashed"
)

// Engine is an emulated model engine. It implements http.Handler.
type Engine struct {
	opts   Options
	router *httprouter.Router
	ops    chan func(*state)
	stop   chan struct{}
	done   chan struct{}
}

// state is owned by the engine's task.
type state struct {
	opts              Options
	incarnation       string
	incarnationCtx    context.Context
	cancelIncarnation context.CancelFunc
	downUntil         time.Time
	heldTokens        int64
	running           int
	completedTokens   int64
	crashes           int
	runs              []Run
	orders            []Order
	fence             int64
	stallUntil        time.Time
	fail              bool
	loadReports       []loadReport
}

// New starts an engine. Callers must call Close to stop it.
func New(o Options) *Engine {
	if o.WarmTokens <= 0 {
		o.WarmTokens = (o.MemoryTokens - o.ColdTokens) / 2
	}
	e := &Engine{
		opts: o,
		ops:  make(chan func(*state)),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	e.router = e.routes()
	go e.run()
	return e
}

// Close stops the engine and breaks all its streams.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

func (e *Engine) run() {
	defer close(e.done)
	s := &state{opts: e.opts}
	s.restart(time.Now())
	for {
		select {
		case op := <-e.ops:
			op(s)
		case <-e.stop:
			s.cancelIncarnation()
			return
		}
	}
}

// do runs op in the engine's task. It reports false if the engine is closed.
func (e *Engine) do(op func(*state)) bool {
	ran := make(chan struct{})
	select {
	case e.ops <- func(s *state) { op(s); close(ran) }:
		<-ran
		return true
	case <-e.done:
		return false
	}
}

// restart starts a new incarnation, which is cold and idle and accepts requests from
// the time up.
func (s *state) restart(up time.Time) {
	if s.cancelIncarnation != nil {
		s.cancelIncarnation()
	}
	s.incarnationCtx, s.cancelIncarnation = context.WithCancel(context.Background())
	s.incarnation = uuid.NewString()
	s.downUntil = up
	s.heldTokens, s.running, s.completedTokens = 0, 0, 0
}

// crashAndRestart breaks all streams. The engine accepts requests again after
// RestartTime.
func (s *state) crashAndRestart(now time.Time) {
	s.crashes++
	s.restart(now.Add(s.opts.RestartTime))
}

// capacity returns the current token capacity.
func (s *state) capacity() int64 {
	warmRange := s.opts.MemoryTokens - s.opts.ColdTokens
	return s.opts.ColdTokens + int64(s.warmupProgress()*float64(warmRange))
}

// warmupProgress returns the warm-up progress: 0 after a start, and 1 once the completed
// requests amount to WarmTokens.
func (s *state) warmupProgress() float64 {
	if s.completedTokens >= s.opts.WarmTokens {
		return 1
	}
	return float64(s.completedTokens) / float64(s.opts.WarmTokens)
}

// stepTime returns the current time to generate one token.
func (s *state) stepTime() time.Duration {
	w := s.warmupProgress()
	cold := w + (1-w)*max(s.opts.ColdFactor, 1)
	load := 1 + s.opts.Slowdown*float64(max(s.running-1, 0))
	return time.Duration(float64(time.Second) / s.opts.TokensPerSecond * cold * load)
}

// startRun records a run and holds the tokens of its prompt. It returns the index of
// the run, and a context that ends with the current incarnation.
func (s *state) startRun(id, prompt string, tokens int64, now time.Time) (run int, incarnationCtx context.Context) {
	s.runs = append(s.runs, Run{
		RequestID:   id,
		PromptHash:  PromptHash(prompt),
		Incarnation: s.incarnation,
		StartNS:     now.UnixNano(),
		Outcome:     OutcomeRunning,
	})
	incarnationCtx = s.incarnationCtx
	s.running++
	s.hold(tokens, now)
	return len(s.runs) - 1, incarnationCtx
}

// hold adds to the held tokens. The engine crashes if they exceed its capacity.
func (s *state) hold(tokens int64, now time.Time) {
	s.heldTokens += tokens
	if s.heldTokens > s.capacity() {
		s.crashAndRestart(now)
	}
}

// endRun ends a run and frees the tokens that it holds. A run of an earlier
// incarnation holds none.
func (s *state) endRun(incarnationCtx context.Context, run int, heldTokens int64, outcome string, now time.Time) {
	r := &s.runs[run]
	r.EndNS, r.Outcome = now.UnixNano(), outcome
	if incarnationCtx.Err() != nil {
		r.Outcome = OutcomeCrashed
		return
	}
	s.heldTokens -= heldTokens
	s.running--
	if outcome == OutcomeDone {
		s.completedTokens += heldTokens
	}
}

// PromptHash returns the hash that identifies a prompt in runs and replies.
func PromptHash(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// PromptTokens returns the number of tokens that the engine counts for a prompt.
func PromptTokens(prompt string) int64 { return int64(len(prompt))/4 + 1 }
