package entry

import (
	"context"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// maxReported bounds the fingerprints taken from one report of a peer.
const maxReported = 1024

// suspects is the task that owns the retry budget and the crash quarantine.
type suspects struct {
	*task.Task
	retrier    core.Retrier
	quarantine core.Quarantine
	// active holds the suspects that run at present, each at most once.
	active  map[uint64]bool
	seen    map[string]bool
	seenIDs []string
	node    *peer.Node
	metrics *metrics
}

func startSuspects(ctx context.Context, r core.Retrier, q core.Quarantine, m *metrics) *suspects {
	return &suspects{Task: startTask(ctx), retrier: r, quarantine: q,
		active: map[uint64]bool{}, seen: map[string]bool{}, metrics: m}
}

func (s *suspects) attach(n *peer.Node) { s.Do(func() { s.node = n }) }

// permit is the leave of the quarantine for one attempt.
type permit struct {
	status core.QuarantineStatus
	// busy reports a suspect that runs at present.
	busy bool
}

func (p permit) exclusive() bool { return p.status == core.QuarantineSuspect }

// status returns how the quarantine treats a request.
func (s *suspects) status(fp uint64) core.QuarantineStatus {
	st := core.QuarantineClear
	s.Do(func() { st = s.quarantine.Status(fp, time.Now()) })
	return st
}

// enter asks for an attempt. A suspect runs once at a time; leave ends it.
func (s *suspects) enter(fp uint64) permit {
	var p permit
	s.Do(func() {
		p.status = s.quarantine.Status(fp, time.Now())
		if p.status != core.QuarantineSuspect {
			return
		}
		p.busy = s.active[fp]
		s.active[fp] = true
	})
	return p
}

func (s *suspects) leave(fp uint64, p permit) {
	if p.exclusive() && !p.busy {
		s.Do(func() { delete(s.active, fp) })
	}
}

// request counts a first attempt for the retry budget.
func (s *suspects) request(service string) {
	s.Do(func() { s.retrier.Request(service, time.Now()) })
}

// retry asks for another attempt.
func (s *suspects) retry(r core.Request, a core.Attempt) bool {
	ok := false
	s.Do(func() { ok = s.retrier.Retry(r, a, time.Now()) })
	return ok
}

// crashed counts a crash that an agent or another entry reports. An agent's
// report goes on to the other entries, which may have no session with it.
func (s *suspects) crashed(from *peerpb.Hello, c *peerpb.CrashReport) {
	if c.GetCrashId() == "" || len(c.GetFingerprints()) == 0 {
		return
	}
	s.Do(func() { s.count(c, from.GetRole() == core.RoleAgent) })
}

// observed counts a crash that this entry saw itself on an exclusive run.
func (s *suspects) observed(crashID string, fp uint64) {
	s.Do(func() { s.count(&peerpb.CrashReport{CrashId: crashID, Fingerprints: []uint64{fp}}, true) })
}

func (s *suspects) count(c *peerpb.CrashReport, tell bool) {
	if s.seen[c.GetCrashId()] {
		return
	}
	s.remember(c.GetCrashId())
	fps := c.GetFingerprints()
	if len(fps) > maxReported {
		fps = fps[:maxReported]
	}
	s.quarantine.Crashed(c.GetCrashId(), fps, time.Now())
	s.metrics.crashes.Add(1)
	if tell && s.node != nil {
		s.node.Broadcast(core.RoleEntry, &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: c}})
	}
}

// remember keeps the latest crash ids, so that a report is passed on once.
func (s *suspects) remember(id string) {
	if len(s.seenIDs) == maxReported {
		delete(s.seen, s.seenIDs[0])
		s.seenIDs = s.seenIDs[1:]
	}
	s.seen[id] = true
	s.seenIDs = append(s.seenIDs, id)
}

// completed clears a suspect that ran to its end and tells the other entries.
func (s *suspects) completed(fp uint64) {
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

// cleared takes the completions that another entry reports.
func (s *suspects) cleared(from *peerpb.Hello, c *peerpb.CompletionReport) {
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
