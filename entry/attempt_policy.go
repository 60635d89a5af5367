package entry

import (
	"context"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// maxReported bounds the fingerprints that are read from one report of a peer,
// and the remembered crash reports.
const maxReported = 1024

// maxResentReports bounds the crash reports that are sent to an entry that connects.
const maxResentReports = 64

// attemptPolicy is the task that owns the retry budget and the crash quarantine,
// which decide whether and how a request may be attempted.
type attemptPolicy struct {
	*task.Task
	retrier    core.Retrier
	quarantine core.Quarantine
	// active holds the fingerprints of suspects that are running. Each
	// runs at most once at a time.
	active map[uint64]bool
	// crashReports holds the latest crash reports by id, and crashOrder their ids
	// from oldest to newest.
	crashReports map[string]*peerpb.CrashReport
	crashOrder   []string
	node         *peer.Node
	metrics      *metrics
}

func startAttemptPolicy(ctx context.Context, r core.Retrier, q core.Quarantine, m *metrics) *attemptPolicy {
	return &attemptPolicy{Task: startTask(ctx), retrier: r, quarantine: q,
		active: map[uint64]bool{}, crashReports: map[string]*peerpb.CrashReport{}, metrics: m}
}

func (s *attemptPolicy) attach(n *peer.Node) { s.Do(func() { s.node = n }) }

// permit is the result of beginAttempt.
type permit struct {
	status core.QuarantineStatus
	// alreadyRunning reports that an attempt of the same suspect is running.
	alreadyRunning bool
}

func (p permit) exclusive() bool { return p.status == core.QuarantineSuspect }

// status returns the quarantine status of a request.
func (s *attemptPolicy) status(fp uint64) core.QuarantineStatus {
	st := core.QuarantineClear
	s.Do(func() { st = s.quarantine.Status(fp, time.Now()) })
	return st
}

// beginAttempt returns the permit for an attempt. Only one attempt of a suspect may
// run at a time. endAttempt must be called with the permit.
func (s *attemptPolicy) beginAttempt(fp uint64) permit {
	var p permit
	s.Do(func() {
		p.status = s.quarantine.Status(fp, time.Now())
		if p.status != core.QuarantineSuspect {
			return
		}
		p.alreadyRunning = s.active[fp]
		s.active[fp] = true
	})
	return p
}

func (s *attemptPolicy) endAttempt(fp uint64, p permit) {
	if p.exclusive() && !p.alreadyRunning {
		s.Do(func() { delete(s.active, fp) })
	}
}

// countRequest counts a first attempt for the retry budget.
func (s *attemptPolicy) countRequest(service string) {
	s.Do(func() { s.retrier.CountRequest(service, time.Now()) })
}

// allowRetry reports whether the retry budget allows another attempt, and takes it
// from the budget.
func (s *attemptPolicy) allowRetry(r core.Request, a core.Attempt) bool {
	ok := false
	s.Do(func() { ok = s.retrier.AllowRetry(r, a, time.Now()) })
	return ok
}

// handleCrashReport counts a crash that an agent or another entry reports. An
// agent's report is forwarded to the other entries, which may have no session with
// that agent.
func (s *attemptPolicy) handleCrashReport(from *peerpb.Hello, c *peerpb.CrashReport) {
	if c.GetCrashId() == "" || len(c.GetFingerprints()) == 0 {
		return
	}
	s.Do(func() { s.countCrash(c, from.GetRole() == core.RoleAgent) })
}

// recordCrash counts a crash that this entry observed during an exclusive run.
func (s *attemptPolicy) recordCrash(crashID string, fp uint64) {
	s.Do(func() { s.countCrash(&peerpb.CrashReport{CrashId: crashID, Fingerprints: []uint64{fp}}, true) })
}

func (s *attemptPolicy) countCrash(c *peerpb.CrashReport, forward bool) {
	if s.crashReports[c.GetCrashId()] != nil {
		return
	}
	s.rememberCrash(c)
	fps := c.GetFingerprints()
	if len(fps) > maxReported {
		fps = fps[:maxReported]
	}
	s.quarantine.Crashed(c.GetCrashId(), fps, time.Now())
	s.metrics.crashReports.Add(1)
	if forward && s.node != nil {
		s.node.Broadcast(core.RoleEntry, &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: c}})
	}
}

// rememberCrash records a crash report, so that it is counted and forwarded only
// once, and sent to entries that connect later.
func (s *attemptPolicy) rememberCrash(c *peerpb.CrashReport) {
	if len(s.crashOrder) == maxReported {
		delete(s.crashReports, s.crashOrder[0])
		s.crashOrder = s.crashOrder[1:]
	}
	s.crashReports[c.GetCrashId()] = c
	s.crashOrder = append(s.crashOrder, c.GetCrashId())
}

// sendCrashReports sends the latest crash reports to another entry, which may have
// started or been cut off since they came. Requests that were cleared are left out.
func (s *attemptPolicy) sendCrashReports(to *peer.Session) {
	var out []*peerpb.CrashReport
	s.Do(func() {
		now := time.Now()
		for i := len(s.crashOrder) - 1; i >= 0 && len(out) < maxResentReports; i-- {
			c := &peerpb.CrashReport{CrashId: s.crashOrder[i]}
			for _, fp := range s.crashReports[c.CrashId].GetFingerprints() {
				if s.quarantine.Status(fp, now) != core.QuarantineClear {
					c.Fingerprints = append(c.Fingerprints, fp)
				}
			}
			if len(c.Fingerprints) > 0 {
				out = append(out, c)
			}
		}
	})
	for _, c := range slices.Backward(out) {
		to.SendControl(&peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: c}})
	}
}

// completed clears a suspect whose run completed, and tells the other entries.
func (s *attemptPolicy) completed(fp uint64) {
	s.Do(func() {
		if s.quarantine.Status(fp, time.Now()) != core.QuarantineSuspect {
			return
		}
		s.quarantine.Completed(fp, time.Now())
		if s.node != nil {
			s.node.Broadcast(core.RoleEntry, &peerpb.Frame{Body: &peerpb.Frame_CompletionReport{
				CompletionReport: &peerpb.CompletionReport{Fingerprints: []uint64{fp}}}})
		}
	})
}

// handleCompletionReport clears the requests whose completion another entry
// reports.
func (s *attemptPolicy) handleCompletionReport(from *peerpb.Hello, c *peerpb.CompletionReport) {
	if from.GetRole() != core.RoleEntry {
		return
	}
	s.Do(func() {
		for i, fp := range c.GetFingerprints() {
			if i == maxReported {
				return
			}
			s.quarantine.Completed(fp, time.Now())
		}
	})
}
