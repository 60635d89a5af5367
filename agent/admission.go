package agent

import (
	"fmt"
	"math"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// Times of refusals whose end is not known.
const (
	retrySoon  = 200 * time.Millisecond
	retryLater = time.Second
	// minDeadline is the least time left in which a run is worth starting.
	minDeadline = 20 * time.Millisecond
	// brokenAge is how long a broken run counts as held at a crash.
	brokenAge = 5 * time.Second
)

// admissionTask owns what the backend server holds.
type admissionTask struct {
	*task.Task
	cfg   Config
	state *admissionState
}

type admissionState struct {
	cfg      Config
	admitter core.Admitter
	limits   admission.Limits
	leaving  bool
	// up and incarnation are what the watcher last saw of the backend server.
	up          bool
	incarnation string
	models      []string
	// active counts requests from admission to the end of their reply.
	active int
	idle   []chan struct{}
	// empty holds the exclusive requests that wait until nothing is held.
	empty   []chan struct{}
	nextRun uint64
	// running and broken hold the fingerprints that a crash report names.
	running map[string]uint64
	broken  []brokenRun
	crashes int
	seq     uint64
}

type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

// admitted is a reservation. The id of its request is unique within the agent.
// incarnation is that of the backend server at admission.
type admitted struct {
	request     core.Request
	incarnation string
}

func newAdmissionTask(cfg Config, now time.Time) *admissionTask {
	s := &admissionState{cfg: cfg, admitter: cfg.Admitter, running: map[string]uint64{}}
	if s.admitter == nil {
		s.admitter = admission.New(admission.Limits{}, now)
	}
	return &admissionTask{Task: task.New(), cfg: cfg, state: s}
}

// do runs op in the task. It reports false when the task does not run.
func (t *admissionTask) do(op func(*admissionState)) bool {
	return t.Do(func() { op(t.state) })
}

// admit reserves the cost of a request or refuses it as not run.
func (t *admissionTask) admit(r core.Request, now time.Time) (admitted, core.Refusal, bool) {
	ad, refusal, ok := admitted{}, refuse(core.CodeLeaving, "the agent does not run", retryLater), false
	t.do(func(s *admissionState) { ad, refusal, ok = s.admit(r, now) })
	return ad, refusal, ok
}

// mayRun repeats the checks before a run that had to wait for a claim.
func (t *admissionTask) mayRun(r core.Request, now time.Time) (core.Refusal, bool) {
	refusal, ok := refuse(core.CodeLeaving, "the agent does not run", retryLater), false
	t.do(func(s *admissionState) { refusal, ok = s.gate(r, now) })
	return refusal, ok
}

// released frees the reservation, since the backend server is done with it.
func (t *admissionTask) released(ad admitted, o core.Outcome, now time.Time) {
	t.do(func(s *admissionState) {
		delete(s.running, ad.request.ID)
		s.admitter.Done(ad.request, o, now)
		s.wakeExclusive()
	})
}

// broke marks a run whose connection to the backend server broke, so that a
// crash report names it. One that a report has named already has no fingerprint
// left.
func (t *admissionTask) broke(ad admitted, now time.Time) {
	t.do(func(s *admissionState) {
		if f := s.running[ad.request.ID]; f != 0 {
			s.broken = append(s.broken, brokenRun{fingerprint: f, at: now})
			s.running[ad.request.ID] = 0
		}
	})
}

// ended tells that the reply of an admitted request has been handed over.
func (t *admissionTask) ended() {
	t.do(func(s *admissionState) {
		s.active--
		if s.active > 0 {
			return
		}
		for _, c := range s.idle {
			close(c)
		}
		s.idle = nil
	})
}

// startLeaving refuses new work from now on and returns a channel that is
// closed when nothing is held.
func (t *admissionTask) startLeaving() <-chan struct{} {
	idle := make(chan struct{})
	ok := t.do(func(s *admissionState) {
		s.leaving = true
		if s.active == 0 {
			close(idle)
			return
		}
		s.idle = append(s.idle, idle)
	})
	if !ok {
		close(idle)
	}
	return idle
}

func (s *admissionState) admit(r core.Request, now time.Time) (admitted, core.Refusal, bool) {
	if refusal, ok := s.gate(r, now); !ok {
		return admitted{}, refusal, false
	}
	// A repeat may arrive while the first attempt of the same id is being
	// cancelled, so the reservation gets an id of its own.
	s.nextRun++
	r.ID = fmt.Sprintf("%s/%d", r.ID, s.nextRun)
	if refusal, ok := s.admitter.Admit(r, now); !ok {
		return admitted{}, refusal, false
	}
	s.active++
	s.running[r.ID] = r.Fingerprint
	return admitted{request: r, incarnation: s.incarnation}, core.Refusal{}, true
}

// gate refuses what must not start now, whatever room there is.
func (s *admissionState) gate(r core.Request, now time.Time) (core.Refusal, bool) {
	current := s.cfg.Source.Current()
	service, known := current.Services[s.cfg.Service]
	switch {
	case s.leaving:
		return refuse(core.CodeLeaving, "the backend server is leaving", retryLater), false
	case !s.cfg.Source.Confirmed(now):
		return refuse(core.CodeStaleConfig, "the configuration is not confirmed", retrySoon), false
	case current.Drained(s.cfg.Self.FailureDomain):
		return refuse(core.CodeDrained, "the failure domain is out of service", retryLater), false
	case !known || r.Service != s.cfg.Service:
		return refuse(core.CodeNoServer, fmt.Sprintf("no service %q at this agent", r.Service), retryLater), false
	case !s.up:
		return refuse(core.CodeNoServer, "the backend server does not answer", retryLater), false
	case s.cfg.GroupStalled():
		return refuse(core.CodeNoServer, "the group of the backend server stands still", retryLater), false
	case r.Deadline.Sub(now) < minDeadline:
		return refuse(core.CodeDeadline, "not enough time left until the deadline", retrySoon), false
	}
	s.follow(service)
	return core.Refusal{}, true
}

// follow takes over changed limits of the service.
func (s *admissionState) follow(service core.Service) {
	l := admission.LimitsOf(service)
	if l == s.limits {
		return
	}
	s.limits = l
	if a, ok := s.admitter.(interface{ SetLimits(admission.Limits) }); ok {
		a.SetLimits(l)
	}
}

// load makes a load report.
func (t *admissionTask) load(now time.Time) *peerpb.Load {
	l := t.cfg.identity()
	t.do(func(s *admissionState) { l = s.load(now) })
	return l
}

func (s *admissionState) load(now time.Time) *peerpb.Load {
	current := s.cfg.Source.Current()
	service, known := current.Services[s.cfg.Service]
	if known {
		s.follow(service)
	}
	s.seq++
	heldTokens, heldCount, limitTokens, limitCount := s.admitter.Load()
	l := s.cfg.identity()
	l.State, l.Models, l.Seq = string(core.AgentReady), s.models, s.seq
	l.HeldTokens, l.HeldCount = heldTokens, int32(heldCount)
	l.LimitTokens, l.LimitCount = limitTokens, int32(min(limitCount, math.MaxInt32))
	if s.draining(now) {
		// Entries see a full server and make another choice.
		l.LimitTokens, l.LimitCount = heldTokens, int32(heldCount)
	}
	if len(l.Models) == 0 {
		l.Models = service.Models
	}
	if s.leaving {
		l.State = string(core.AgentLeaving)
	} else if !known || !s.up || s.cfg.GroupStalled() || !s.cfg.Source.Confirmed(now) {
		l.State = string(core.AgentNotReady)
	}
	return l
}

// identity returns the report of an agent that is not ready.
func (c Config) identity() *peerpb.Load {
	return &peerpb.Load{
		AgentId:       c.Self.Id,
		Incarnation:   c.Self.Incarnation,
		Service:       c.Service,
		FailureDomain: c.Self.FailureDomain,
		Region:        c.Self.Region,
		State:         string(core.AgentNotReady),
	}
}

func refuse(code core.Code, message string, after time.Duration) core.Refusal {
	return core.Refusal{Code: code, Message: message, NotRun: true, RetryAfter: after}
}
