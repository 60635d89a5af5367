// Package engine is a stand-in for a model engine. It generates tokens at a
// configured rate, is cold after a start, and collapses when the tokens that it
// holds outgrow its memory.
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

// Options describe the engine that the stand-in plays.
type Options struct {
	// TokensPerSecond is the rate of one request that runs alone.
	TokensPerSecond float64
	// Slowdown is the part by which each further request lengthens a step.
	Slowdown float64
	// MemoryTokens is what a warm engine can hold. ColdTokens is what it can
	// hold after a start. It is warm when it has ended requests of WarmTokens;
	// the default is half of what it can hold.
	MemoryTokens int64
	ColdTokens   int64
	WarmTokens   int64
	// ColdFactor multiplies the step time of an engine that has just started.
	ColdFactor float64
	// RestartTime is how long a collapsed engine answers nothing.
	RestartTime time.Duration
	// CrashMarker is a text that makes the engine crash when a prompt holds it.
	CrashMarker string
	// LoadLag delays the state that load reports show.
	LoadLag time.Duration
	// CheckFence makes the engine refuse orders with old fencing numbers.
	CheckFence bool
	Models     []string
}

// Run is one run of a request, for checks of histories.
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

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	opts   Options
	router *httprouter.Router
	ops    chan func(*state)
	stop   chan struct{}
	done   chan struct{}
}

// state is owned by the engine's task.
type state struct {
	opts        Options
	incarnation string
	crash       context.Context
	kill        context.CancelFunc
	downUntil   time.Time
	held        int64
	running     int
	served      int64
	crashes     int
	runs        []Run
	orders      []Order
	fence       int64
	stallUntil  time.Time
	fail        bool
	reports     []report
}

// New starts a stand-in. Close ends it.
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

// Close ends the stand-in; all its streams break.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// ServeHTTP serves the engine's protocol.
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
			s.kill()
			return
		}
	}
}

// do runs op in the engine's task. It reports false when the engine is closed.
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

// restart begins a new incarnation that is cold and empty.
func (s *state) restart(up time.Time) {
	if s.kill != nil {
		s.kill()
	}
	s.crash, s.kill = context.WithCancel(context.Background())
	s.incarnation = uuid.NewString()
	s.downUntil = up
	s.held, s.running, s.served = 0, 0, 0
}

// collapse breaks all streams; the engine is back after its restart time.
func (s *state) collapse(now time.Time) {
	s.crashes++
	s.restart(now.Add(s.opts.RestartTime))
}

// capacity returns the tokens that the engine can hold at present.
func (s *state) capacity() int64 {
	span := s.opts.MemoryTokens - s.opts.ColdTokens
	return s.opts.ColdTokens + int64(s.warmth()*float64(span))
}

// warmth grows from 0 after a start to 1 with the tokens of ended requests.
func (s *state) warmth() float64 {
	if s.served >= s.opts.WarmTokens {
		return 1
	}
	return float64(s.served) / float64(s.opts.WarmTokens)
}

// step returns the time of one token at present.
func (s *state) step() time.Duration {
	w := s.warmth()
	cold := w + (1-w)*max(s.opts.ColdFactor, 1)
	load := 1 + s.opts.Slowdown*float64(max(s.running-1, 0))
	return time.Duration(float64(time.Second) / s.opts.TokensPerSecond * cold * load)
}

// begin starts a run and holds its prompt. It returns the context that ends
// with the present incarnation.
func (s *state) begin(id, prompt string, tokens int64, now time.Time) (run int, crash context.Context) {
	s.runs = append(s.runs, Run{
		RequestID:   id,
		PromptHash:  PromptHash(prompt),
		Incarnation: s.incarnation,
		StartNS:     now.UnixNano(),
		Outcome:     OutcomeRunning,
	})
	crash = s.crash
	s.running++
	s.grow(tokens, now)
	return len(s.runs) - 1, crash
}

// grow holds more tokens, which may collapse the engine.
func (s *state) grow(tokens int64, now time.Time) {
	s.held += tokens
	if s.held > s.capacity() {
		s.collapse(now)
	}
}

// end finishes a run. A run of an older incarnation holds nothing any more.
func (s *state) end(crash context.Context, run int, held int64, outcome string, now time.Time) {
	r := &s.runs[run]
	r.EndNS, r.Outcome = now.UnixNano(), outcome
	if crash.Err() != nil {
		r.Outcome = OutcomeCrashed
		return
	}
	s.held -= held
	s.running--
	if outcome == OutcomeDone {
		s.served += held
	}
}

// PromptHash identifies a prompt in runs and replies.
func PromptHash(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// PromptTokens is the number of tokens that the stand-in counts for a prompt.
func PromptTokens(prompt string) int64 { return int64(len(prompt))/4 + 1 }
