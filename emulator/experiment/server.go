package experiment

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
)

// The simulated backend server: times per token, memory in tokens and warm-up.
const (
	stepInterval = 10 * time.Millisecond
	tokenTime    = 10 * time.Millisecond
	// slowdown is the part by which each further request lengthens a step.
	slowdownPerRequest = 0.02
	memoryTokens       = 16000
	coldMemoryTokens   = 800
	coldFactor         = 4.0
	warmTokens         = (memoryTokens - coldMemoryTokens) / 2
	restartTime        = 5 * time.Second
	// deadline is the time in which a reply counts as good.
	requestTimeout = 10 * time.Second
)

// ServerLimits are the limits of the simulated backend server.
var ServerLimits = admission.Limits{ColdTokens: coldMemoryTokens, ColdConcurrency: 2, MemoryTokens: memoryTokens, MaxConcurrency: 40}

// capacity returns the requests per second that a warm server ends.
func capacity() float64 {
	n := min(float64(ServerLimits.MaxConcurrency), float64(memoryTokens)/meanCost)
	return n / (meanOutput * tokenTime.Seconds() * (1 + slowdownPerRequest*(n-1)))
}

// running is a request at a server: when it arrived, when it was begun and
// when its first token came.
type runningRequest struct {
	request                            core.Request
	arrivedAt, startedAt, firstTokenAt time.Duration
	// done counts generated tokens; prefill makes it start below zero.
	generatedTokens float64
}

// server is a backend server behind an admitter.
type server struct {
	admitter core.Admitter
	// prefill is the time for 100 prompt tokens, in tokens. A server without
	// prefill does not tell the admitter when first tokens came.
	prefillCost     float64
	running         []*runningRequest
	completedTokens float64
	downUntil       time.Duration
}

// offered is what became of a request that was offered to a server.
type admitResult int

const (
	requestRefused admitResult = iota
	requestBroken
	requestStarted
)

// offer asks the admitter. A server that is down breaks what is admitted.
func (s *server) admit(r core.Request, at, now time.Duration) admitResult {
	if _, ok := s.admitter.Admit(r, Epoch.Add(now)); !ok {
		return requestRefused
	}
	if now < s.downUntil {
		s.admitter.Done(r, core.Outcome{Crashed: true}, Epoch.Add(now))
		return requestBroken
	}
	s.running = append(s.running, &runningRequest{request: r, arrivedAt: at, startedAt: now, generatedTokens: -s.prefillCost * float64(r.PromptTokens) / 100})
	return requestStarted
}

// warmth grows from 0 to 1 with the tokens of the requests that the server has
// ended since it was cold. Work that has only begun warms nothing; otherwise a
// fresh server would keep up with any load.
func (s *server) warmupProgress() float64 { return min(s.completedTokens/warmTokens, 1) }

// advanced is what a server did in one step.
type stepResult struct {
	firstTokens, completed, broken []*runningRequest
	collapsed                      bool
}

// advance generates for one step and collapses when the memory is exceeded.
func (s *server) advance(now time.Duration) stepResult {
	var out stepResult
	w := s.warmupProgress()
	slow := (w + (1-w)*coldFactor) * (1 + slowdownPerRequest*float64(max(len(s.running)-1, 0)))
	tokens := stepInterval.Seconds() / (tokenTime.Seconds() * slow)
	held := 0.0
	var kept []*runningRequest
	for _, r := range s.running {
		r.generatedTokens += tokens
		if r.firstTokenAt == 0 && r.generatedTokens >= 1 {
			r.firstTokenAt = now
			out.firstTokens = append(out.firstTokens, r)
		}
		if r.generatedTokens < float64(r.request.OutputTokens) {
			held += float64(r.request.PromptTokens) + r.generatedTokens
			kept = append(kept, r)
			continue
		}
		s.complete(r, now)
		out.completed = append(out.completed, r)
	}
	s.running = kept
	if held > coldMemoryTokens+s.warmupProgress()*(memoryTokens-coldMemoryTokens) {
		out.broken, out.collapsed = s.running, true
		s.crashAndRestart(now)
	}
	return out
}

func (s *server) complete(r *runningRequest, now time.Duration) {
	s.completedTokens += float64(r.request.Cost())
	o := core.Outcome{Succeeded: true, OutputTokens: r.request.OutputTokens, Elapsed: now - r.startedAt}
	if s.prefillCost > 0 {
		o.FirstToken = r.firstTokenAt - r.startedAt
	}
	s.admitter.Done(r.request, o, Epoch.Add(now))
}

func (s *server) crashAndRestart(now time.Duration) {
	for _, r := range s.running {
		s.admitter.Done(r.request, core.Outcome{Crashed: true}, Epoch.Add(now))
	}
	s.running, s.completedTokens, s.downUntil = nil, 0, now+restartTime
	s.admitter.Restarted(Epoch.Add(now))
}
