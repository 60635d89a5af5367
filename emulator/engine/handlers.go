package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Limits and defaults of requests, and the number of past states kept for load
// reports.
const (
	maxBodyBytes     = 8 << 20
	defaultMaxTokens = 16
	maxLoadReports   = 256
)

// Event is an event of a streamed reply, or the whole reply if it is not streamed.
// Index counts the tokens from 0; in a whole reply it is the number of tokens.
type Event struct {
	ID         string   `json:"id"`
	Index      int64    `json:"index"`
	PromptHash string   `json:"prompt_hash"`
	Choices    []Choice `json:"choices"`
}

// Choice is a part of a reply that holds generated text.
type Choice struct {
	Text string `json:"text"`
}

// CompletionRequest is the body of a generation request.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Order is an order with its fence.
type Order struct {
	Kind  string `json:"kind"`
	Fence int64  `json:"fence"`
}

// Faults is the body of POST /faults. Cold resets the warm-up, Crash crashes the
// engine, StallMS pauses all runs, and Fail makes the engine reply 500 without a run.
type Faults struct {
	Cold    bool  `json:"cold"`
	Crash   bool  `json:"crash"`
	StallMS int64 `json:"stall_ms"`
	Fail    bool  `json:"fail"`
}

// loadReport is the response to GET /load, and a past state that it may show.
type loadReport struct {
	recordedAt  time.Time
	Incarnation string   `json:"incarnation"`
	HeldTokens  int64    `json:"held_tokens"`
	Running     int      `json:"running"`
	LagMS       int64    `json:"lag_ms"`
	Models      []string `json:"models,omitempty"`
	Crashes     int      `json:"crashes"`
}

func (e *Engine) routes() *httprouter.Router {
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, "/v1/completions", e.complete)
	r.HandlerFunc(http.MethodGet, "/load", e.load)
	r.HandlerFunc(http.MethodGet, "/runs", e.listRuns)
	r.HandlerFunc(http.MethodGet, "/orders", e.listOrders)
	r.HandlerFunc(http.MethodPost, "/orders", e.order)
	r.HandlerFunc(http.MethodPost, "/faults", e.faults)
	return r
}

// abortIfDown breaks the connection while the engine restarts or if it is closed.
func (e *Engine) abortIfDown() {
	down := true
	e.do(func(s *state) { down = time.Now().Before(s.downUntil) })
	if down {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c CompletionRequest
	if !decode(w, r, &c) {
		return
	}
	e.abortIfDown()
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	g := generation{engine: e, id: r.Header.Get("X-Request-Id"), request: c, heldTokens: PromptTokens(c.Prompt)}
	fail := false
	e.do(func(s *state) {
		if fail = s.fail; fail {
			return
		}
		g.run, g.incarnationCtx = s.startRun(g.id, c.Prompt, g.heldTokens, time.Now())
		if e.opts.CrashMarker != "" && strings.Contains(c.Prompt, e.opts.CrashMarker) {
			s.crashAndRestart(time.Now())
		}
	})
	if fail {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	if g.incarnationCtx == nil {
		panic(http.ErrAbortHandler)
	}
	g.serve(w, r)
}

// generation is a run of a request.
type generation struct {
	engine         *Engine
	id             string
	request        CompletionRequest
	run            int
	incarnationCtx context.Context
	heldTokens     int64
}

func (g *generation) serve(w http.ResponseWriter, r *http.Request) {
	outcome := OutcomeCancelled
	defer func() {
		g.engine.do(func(s *state) { s.endRun(g.incarnationCtx, g.run, g.heldTokens, outcome, time.Now()) })
		if g.incarnationCtx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}()
	if g.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	var text strings.Builder
	for i := int64(0); i < g.request.MaxTokens; i++ {
		if !g.generateToken(r.Context()) {
			return
		}
		if !g.request.Stream {
			fmt.Fprintf(&text, " w%d", i)
			continue
		}
		if !g.sendEvent(w, i) {
			return
		}
	}
	outcome = OutcomeDone
	if g.request.Stream {
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	writeJSON(w, Event{ID: g.id, Index: g.request.MaxTokens, PromptHash: PromptHash(g.request.Prompt), Choices: []Choice{{Text: text.String()}}})
}

// generateToken generates one token. It reports false if the run has ended early.
func (g *generation) generateToken(ctx context.Context) bool {
	var d time.Duration
	if !g.engine.do(func(s *state) { d = s.stepTime() + max(time.Until(s.stallUntil), 0) }) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return false
	case <-g.incarnationCtx.Done():
		return false
	}
	g.engine.do(func(s *state) {
		if g.incarnationCtx.Err() != nil {
			return
		}
		g.heldTokens++
		s.runs[g.run].Tokens++
		s.hold(1, time.Now())
	})
	return g.incarnationCtx.Err() == nil
}

func (g *generation) sendEvent(w http.ResponseWriter, i int64) bool {
	data, err := json.Marshal(Event{ID: g.id, Index: i, PromptHash: PromptHash(g.request.Prompt), Choices: []Choice{{Text: fmt.Sprintf(" w%d", i)}}})
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// load serves GET /load.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.abortIfDown()
	var l loadReport
	e.do(func(s *state) { l = s.newLoadReport(time.Now()) })
	writeJSON(w, l)
}

// newLoadReport records the current state and returns the newest recorded one that is
// at least LoadLag old, or else the oldest. The incarnation and the number of crashes
// are always current.
func (s *state) newLoadReport(now time.Time) loadReport {
	s.loadReports = append(s.loadReports, loadReport{recordedAt: now, HeldTokens: s.heldTokens, Running: s.running})
	if len(s.loadReports) > maxLoadReports {
		s.loadReports = s.loadReports[1:]
	}
	l := s.loadReports[0]
	for _, r := range s.loadReports {
		if now.Sub(r.recordedAt) >= s.opts.LoadLag {
			l = r
		}
	}
	l.Incarnation, l.Models, l.Crashes = s.incarnation, s.opts.Models, s.crashes
	l.LagMS = now.Sub(l.recordedAt).Milliseconds()
	return l
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	runs := e.Runs()
	writeJSON(w, map[string]any{"runs": runs})
}

// Runs returns all runs in order of their start.
func (e *Engine) Runs() []Run {
	runs := []Run{}
	e.do(func(s *state) { runs = append(runs, s.runs...) })
	return runs
}

// Crashes returns the number of crashes, including those from exceeded memory.
func (e *Engine) Crashes() int {
	n := 0
	e.do(func(s *state) { n = s.crashes })
	return n
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	orders := []Order{}
	e.do(func(s *state) { orders = append(orders, s.orders...) })
	writeJSON(w, map[string]any{"orders": orders})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decode(w, r, &o) {
		return
	}
	e.abortIfDown()
	stale := false
	e.do(func(s *state) {
		if stale = e.opts.CheckFence && o.Fence < s.fence; stale {
			return
		}
		s.fence = max(s.fence, o.Fence)
		s.orders = append(s.orders, o)
	})
	if stale {
		http.Error(w, "fencing number is below the highest seen", http.StatusConflict)
		return
	}
	writeJSON(w, map[string]any{"done": true})
}

func (e *Engine) faults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		e.Inject(f)
		writeJSON(w, f)
	}
}

// Inject applies the faults. StallMS and Fail replace the values set before.
func (e *Engine) Inject(f Faults) {
	e.do(func(s *state) {
		now := time.Now()
		s.fail = f.Fail
		s.stallUntil = now.Add(time.Duration(f.StallMS) * time.Millisecond)
		if f.Cold {
			s.completedTokens = 0
		}
		if f.Crash {
			s.crashAndRestart(now)
		}
	})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("decode request: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
