package experiment

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
)

// The simulated backend server: times per token, memory in tokens and warm-up.
const (
	step      = 10 * time.Millisecond
	tokenTime = 10 * time.Millisecond
	// slowdown is the part by which each further request lengthens a step.
	slowdown   = 0.02
	memory     = 16000
	coldMemory = 800
	coldFactor = 4.0
	warmTokens = (memory - coldMemory) / 2
	restart    = 5 * time.Second
	// deadline is the time in which a reply counts as good.
	deadline = 10 * time.Second
)

// ServerLimits are the limits of the simulated backend server.
var ServerLimits = admission.Limits{ColdTokens: coldMemory, ColdConcurrency: 2, MemoryTokens: memory, MaxConcurrency: 40}

// capacity returns the requests per second that a warm server ends.
func capacity() float64 {
	n := min(float64(ServerLimits.MaxConcurrency), float64(memory)/meanCost)
	return n / (meanOutput * tokenTime.Seconds() * (1 + slowdown*(n-1)))
}

// running is a request at a server: when it arrived, when it was begun and
// when its first token came.
type running struct {
	request          core.Request
	at, begun, first time.Duration
	// done counts generated tokens; prefill makes it start below zero.
	done float64
}

// server is a backend server behind an admitter.
type server struct {
	admitter core.Admitter
	// prefill is the time for 100 prompt tokens, in tokens. A server without
	// prefill does not tell the admitter when first tokens came.
	prefill float64
	runs    []*running
	served  float64
	down    time.Duration
}

// offered is what became of a request that was offered to a server.
type offered int

const (
	refused offered = iota
	broken
	begun
)

// offer asks the admitter. A server that is down breaks what is admitted.
func (s *server) offer(r core.Request, at, now time.Duration) offered {
	if _, ok := s.admitter.Admit(r, Epoch.Add(now)); !ok {
		return refused
	}
	if now < s.down {
		s.admitter.Done(r, core.Outcome{Crashed: true}, Epoch.Add(now))
		return broken
	}
	s.runs = append(s.runs, &running{request: r, at: at, begun: now, done: -s.prefill * float64(r.PromptTokens) / 100})
	return begun
}

// warmth grows from 0 to 1 with the tokens of the requests that the server has
// ended since it was cold. Work that has only begun warms nothing; otherwise a
// fresh server would keep up with any load.
func (s *server) warmth() float64 { return min(s.served/warmTokens, 1) }

// advanced is what a server did in one step.
type advanced struct {
	first, ended, broken []*running
	collapsed            bool
}

// advance generates for one step and collapses when the memory is exceeded.
func (s *server) advance(now time.Duration) advanced {
	var out advanced
	w := s.warmth()
	slow := (w + (1-w)*coldFactor) * (1 + slowdown*float64(max(len(s.runs)-1, 0)))
	tokens := step.Seconds() / (tokenTime.Seconds() * slow)
	held := 0.0
	var kept []*running
	for _, r := range s.runs {
		r.done += tokens
		if r.first == 0 && r.done >= 1 {
			r.first = now
			out.first = append(out.first, r)
		}
		if r.done < float64(r.request.OutputTokens) {
			held += float64(r.request.PromptTokens) + r.done
			kept = append(kept, r)
			continue
		}
		s.end(r, now)
		out.ended = append(out.ended, r)
	}
	s.runs = kept
	if held > coldMemory+s.warmth()*(memory-coldMemory) {
		out.broken, out.collapsed = s.runs, true
		s.collapse(now)
	}
	return out
}

func (s *server) end(r *running, now time.Duration) {
	s.served += float64(r.request.Cost())
	o := core.Outcome{Succeeded: true, OutputTokens: r.request.OutputTokens, Elapsed: now - r.begun}
	if s.prefill > 0 {
		o.FirstToken = r.first - r.begun
	}
	s.admitter.Done(r.request, o, Epoch.Add(now))
}

func (s *server) collapse(now time.Duration) {
	for _, r := range s.runs {
		s.admitter.Done(r.request, core.Outcome{Crashed: true}, Epoch.Add(now))
	}
	s.runs, s.served, s.down = nil, 0, now+restart
	s.admitter.Restarted(Epoch.Add(now))
}
