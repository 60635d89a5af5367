package experiment

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
)

// Parameters of the simulated backend server.
const (
	stepInterval = 10 * time.Millisecond
	tokenTime    = 10 * time.Millisecond
	// slowdownPerRequest is the relative increase of the step time per additional
	// running request.
	slowdownPerRequest = 0.02
	memoryTokens       = 16000
	coldMemoryTokens   = 800
	// coldFactor multiplies the step time of a cold server.
	coldFactor = 4.0
	// warmTokens is the number of tokens in completed requests after which a server is
	// warm.
	warmTokens  = (memoryTokens - coldMemoryTokens) / 2
	restartTime = 5 * time.Second
	// requestTimeout is the deadline of a request. A reply after it counts as late.
	requestTimeout = 10 * time.Second
)

// ServerLimits are the limits of the simulated backend server.
var ServerLimits = admission.Limits{ColdTokens: coldMemoryTokens, ColdConcurrency: 2, MemoryTokens: memoryTokens, MaxConcurrency: 40}

// capacity returns the requests per second that a warm server can complete.
func capacity() float64 {
	n := min(float64(ServerLimits.MaxConcurrency), float64(memoryTokens)/meanCost)
	return n / (meanOutput * tokenTime.Seconds() * (1 + slowdownPerRequest*(n-1)))
}

// runningRequest is a request that a server runs. Times are relative to Epoch.
type runningRequest struct {
	request                            core.Request
	arrivedAt, startedAt, firstTokenAt time.Duration
	// generatedTokens starts below zero if the prefill takes time.
	generatedTokens float64
}

// server is a backend server behind an admitter.
type server struct {
	admitter core.Admitter
	// prefillCost is the prefill time per 100 prompt tokens, in output tokens. If it is
	// 0, the server does not report times to the first token to the admitter.
	prefillCost     float64
	activeRequests  []*runningRequest
	completedTokens float64
	downUntil       time.Duration
}

// admitResult is the result of offering a request to a server.
type admitResult int

const (
	requestRefused admitResult = iota
	// requestBroken means that the request was admitted while the server was restarting.
	requestBroken
	requestStarted
)

// admit offers a request to the admitter. An admitted request fails if the server is
// restarting after a crash.
func (s *server) admit(r core.Request, at, now time.Duration) admitResult {
	if _, ok := s.admitter.Admit(r, Epoch.Add(now)); !ok {
		return requestRefused
	}
	if now < s.downUntil {
		s.admitter.Done(r, core.Outcome{Crashed: true}, Epoch.Add(now))
		return requestBroken
	}
	s.activeRequests = append(s.activeRequests, &runningRequest{request: r, arrivedAt: at, startedAt: now, generatedTokens: -s.prefillCost * float64(r.PromptTokens) / 100})
	return requestStarted
}

// warmupProgress grows from 0 to 1 with the tokens of the requests that the server has
// completed since it was cold. Running requests do not count; otherwise a cold server
// would keep up with any load.
func (s *server) warmupProgress() float64 { return min(s.completedTokens/warmTokens, 1) }

// stepResult holds the requests that got their first token, completed or failed in one
// step, and whether the server crashed.
type stepResult struct {
	firstTokens, completed, broken []*runningRequest
	collapsed                      bool
}

// advance generates tokens for one step. The server crashes if its memory is exceeded.
func (s *server) advance(now time.Duration) stepResult {
	var out stepResult
	w := s.warmupProgress()
	slow := (w + (1-w)*coldFactor) * (1 + slowdownPerRequest*float64(max(len(s.activeRequests)-1, 0)))
	tokens := stepInterval.Seconds() / (tokenTime.Seconds() * slow)
	held := 0.0
	var kept []*runningRequest
	for _, r := range s.activeRequests {
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
	s.activeRequests = kept
	if held > coldMemoryTokens+s.warmupProgress()*(memoryTokens-coldMemoryTokens) {
		out.broken, out.collapsed = s.activeRequests, true
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
	for _, r := range s.activeRequests {
		s.admitter.Done(r.request, core.Outcome{Crashed: true}, Epoch.Add(now))
	}
	s.activeRequests, s.completedTokens, s.downUntil = nil, 0, now+restartTime
	s.admitter.Restarted(Epoch.Add(now))
}
