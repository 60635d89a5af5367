package agent

import (
	"fmt"
	"math"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

const (
	// shortRetryAfter and longRetryAfter are sent with refusals for which the
	// agent cannot estimate when the cause will be gone.
	shortRetryAfter = 200 * time.Millisecond
	longRetryAfter  = time.Second
	// minTimeToDeadline is the least remaining time with which a run is started.
	minTimeToDeadline = 20 * time.Millisecond
	// brokenRunTTL is the time during which a crash report still names a run
	// whose connection to the backend server broke.
	brokenRunTTL = 5 * time.Second
)

// admissionTask serializes access to the admission state of the backend server.
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
	// leavingAcks holds the ids of the entries that know that the agent is leaving.
	leavingAcks map[string]bool
	// up, incarnation and models are the results of the last health probe of the
	// backend server.
	up          bool
	incarnation string
	models      []string
	// activeRequests counts requests from admission until their reply was handed
	// over. idleWaiters are closed when it becomes zero.
	activeRequests int
	idleWaiters    []chan struct{}
	// emptyWaiters are closed when the backend server holds no request. Exclusive
	// requests wait for that.
	emptyWaiters   []chan struct{}
	reservationSeq uint64
	// running maps reservation ids to request fingerprints. A crash report names
	// the fingerprints in running and in brokenRuns; 0 marks one that has been
	// reported or moved to brokenRuns.
	running    map[string]uint64
	brokenRuns []brokenRun
	crashCount int
	loadSeq    uint64
}

type brokenRun struct {
	reservationID string
	fingerprint   uint64
	at            time.Time
}

// reservation is the capacity that an admitted request holds. Its request's id
// is unique within the agent. incarnation is the incarnation of the backend
// server at admission.
type reservation struct {
	request     core.Request
	incarnation string
}

func newAdmissionTask(cfg Config, now time.Time) *admissionTask {
	s := &admissionState{cfg: cfg, admitter: cfg.Admitter, running: map[string]uint64{}, leavingAcks: map[string]bool{}}
	if s.admitter == nil {
		s.admitter = admission.New(admission.Limits{}, now)
	}
	return &admissionTask{Task: task.New(), cfg: cfg, state: s}
}

// do runs op in the task. It returns false if the task is not running.
func (t *admissionTask) do(op func(*admissionState)) bool {
	return t.Do(func() { op(t.state) })
}

// admit reserves the cost of a request, or refuses the request as not run.
func (t *admissionTask) admit(r core.Request, now time.Time) (reservation, core.Refusal, bool) {
	rsv, refusal, ok := reservation{}, notRunRefusal(core.CodeLeaving, "the agent does not run", longRetryAfter), false
	t.do(func(s *admissionState) { rsv, refusal, ok = s.admit(r, now) })
	return rsv, refusal, ok
}

// recheckPreconditions repeats the checks of admission before a run that had to
// wait for a claim.
func (t *admissionTask) recheckPreconditions(r core.Request, now time.Time) (core.Refusal, bool) {
	refusal, ok := notRunRefusal(core.CodeLeaving, "the agent does not run", longRetryAfter), false
	t.do(func(s *admissionState) { refusal, ok = s.checkPreconditions(r, now) })
	return refusal, ok
}

// freeReservation frees a reservation when the backend server no longer runs the
// request.
func (t *admissionTask) freeReservation(rsv reservation, o core.Outcome, now time.Time) {
	t.do(func(s *admissionState) {
		delete(s.running, rsv.request.ID)
		s.admitter.Done(rsv.request, o, now)
		s.wakeEmptyWaiters()
	})
}

// markBroken records a run whose connection to the backend server broke, so that
// a crash report names it. A run that a crash report has already named is
// ignored; its fingerprint is 0.
func (t *admissionTask) markBroken(rsv reservation, now time.Time) {
	t.do(func(s *admissionState) {
		if f := s.running[rsv.request.ID]; f != 0 {
			s.brokenRuns = append(s.brokenRuns, brokenRun{reservationID: rsv.request.ID, fingerprint: f, at: now})
			s.running[rsv.request.ID] = 0
		}
	})
}

// unmarkBroken takes markBroken back. It does nothing if a crash report has named the
// run meanwhile.
func (t *admissionTask) unmarkBroken(rsv reservation) {
	t.do(func(s *admissionState) {
		i := slices.IndexFunc(s.brokenRuns, func(b brokenRun) bool { return b.reservationID == rsv.request.ID })
		if i >= 0 {
			s.running[rsv.request.ID] = s.brokenRuns[i].fingerprint
			s.brokenRuns = slices.Delete(s.brokenRuns, i, i+1)
		}
	})
}

// requestDone records that the reply of an admitted request was handed over.
func (t *admissionTask) requestDone() {
	t.do(func(s *admissionState) {
		s.activeRequests--
		if s.activeRequests > 0 {
			return
		}
		for _, c := range s.idleWaiters {
			close(c)
		}
		s.idleWaiters = nil
	})
}

// startLeaving makes the task refuse new requests and returns a channel that is
// closed when no admitted request is left.
func (t *admissionTask) startLeaving() <-chan struct{} {
	idle := make(chan struct{})
	ok := t.do(func(s *admissionState) {
		s.leaving = true
		if s.activeRequests == 0 {
			close(idle)
			return
		}
		s.idleWaiters = append(s.idleWaiters, idle)
	})
	if !ok {
		close(idle)
	}
	return idle
}

func (s *admissionState) admit(r core.Request, now time.Time) (reservation, core.Refusal, bool) {
	if refusal, ok := s.checkPreconditions(r, now); !ok {
		return reservation{}, refusal, false
	}
	// A retry may arrive while the first attempt with the same request id is
	// being cancelled, so the reservation gets its own id.
	s.reservationSeq++
	r.ID = fmt.Sprintf("%s/%d", r.ID, s.reservationSeq)
	if refusal, ok := s.admitter.Admit(r, now); !ok {
		return reservation{}, refusal, false
	}
	s.activeRequests++
	s.running[r.ID] = r.Fingerprint
	return reservation{request: r, incarnation: s.incarnation}, core.Refusal{}, true
}

// checkPreconditions refuses requests that must not start now, regardless of
// free capacity.
func (s *admissionState) checkPreconditions(r core.Request, now time.Time) (core.Refusal, bool) {
	current := s.cfg.Source.Current()
	service, known := current.Services[s.cfg.Service]
	switch {
	case s.leaving:
		return notRunRefusal(core.CodeLeaving, "the backend server is leaving", longRetryAfter), false
	case !s.cfg.Source.Confirmed(now):
		return notRunRefusal(core.CodeStaleConfig, "the configuration is not confirmed", shortRetryAfter), false
	case current.Drained(s.cfg.Self.FailureDomain):
		return notRunRefusal(core.CodeDrained, "the failure domain is out of service", longRetryAfter), false
	case !known || r.Service != s.cfg.Service:
		return notRunRefusal(core.CodeNoServer, fmt.Sprintf("no service %q at this agent", r.Service), longRetryAfter), false
	case !s.up:
		return notRunRefusal(core.CodeNoServer, "the backend server does not answer", longRetryAfter), false
	case s.cfg.GroupStalled():
		return notRunRefusal(core.CodeNoServer, "the group of the backend server stands still", longRetryAfter), false
	case r.Deadline.Sub(now) < minTimeToDeadline:
		return notRunRefusal(core.CodeDeadline, "not enough time left until the deadline", shortRetryAfter), false
	}
	s.applyLimits(service)
	return core.Refusal{}, true
}

// applyLimits passes changed limits of the service to the admitter.
func (s *admissionState) applyLimits(service core.Service) {
	l := admission.LimitsOf(service)
	if l == s.limits {
		return
	}
	s.limits = l
	if a, ok := s.admitter.(interface{ SetLimits(admission.Limits) }); ok {
		a.SetLimits(l)
	}
}

// loadReport returns a new load report.
func (t *admissionTask) loadReport(now time.Time) *peerpb.Load {
	l := t.cfg.notReadyReport()
	t.do(func(s *admissionState) { l = s.loadReport(now) })
	return l
}

func (s *admissionState) loadReport(now time.Time) *peerpb.Load {
	current := s.cfg.Source.Current()
	service, known := current.Services[s.cfg.Service]
	if known {
		s.applyLimits(service)
	}
	s.loadSeq++
	heldTokens, heldCount, limitTokens, limitCount := s.admitter.Load()
	l := s.cfg.notReadyReport()
	l.State, l.Models, l.Seq = string(core.AgentReady), s.models, s.loadSeq
	l.HeldTokens, l.HeldCount = heldTokens, int32(heldCount)
	l.LimitTokens, l.LimitCount = limitTokens, int32(min(limitCount, math.MaxInt32))
	if s.draining(now) {
		// Report a full server, so that entries choose another one.
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

// notReadyReport returns the load report of an agent that is not ready.
func (c Config) notReadyReport() *peerpb.Load {
	return &peerpb.Load{
		AgentId:       c.Self.Id,
		Incarnation:   c.Self.Incarnation,
		Service:       c.Service,
		FailureDomain: c.Self.FailureDomain,
		Region:        c.Self.Region,
		State:         string(core.AgentNotReady),
	}
}

// notRunRefusal returns a refusal of a request of which nothing ran.
func notRunRefusal(code core.Code, message string, after time.Duration) core.Refusal {
	return core.Refusal{Code: code, Message: message, NotRun: true, RetryAfter: after}
}
