package agent

import (
	"context"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Intervals of load reports. Each report costs about 30 bytes per session, so an
// agent with many sessions sends reports less often.
const (
	// maxReportInterval is below the age from which routing ignores a report.
	maxReportInterval = time.Second
	// reportIntervalPerSession limits an agent with up to 40 sessions to 40 frames
	// per second.
	reportIntervalPerSession = 25 * time.Millisecond
	// fullReportInterval bounds how long an entry that missed a full report is
	// without one. A new session gets one at once. With an interval of 10 s, full
	// reports were a fifth of all report bytes.
	fullReportInterval = time.Minute
)

// loadReporter decides which load reports are sent to the entries.
type loadReporter struct {
	interval   time.Duration
	last       *peerpb.Load
	lastAt     time.Time
	lastFullAt time.Time
}

// next returns the report to send now, or nil. A change of state, limit or models
// is reported at once, other changes after the interval for this number of
// sessions. Without a change a report is due after maxReportInterval. The report
// is a brief one unless the identity or the models changed or a full report is
// due.
func (r *loadReporter) next(l *peerpb.Load, sessions int, now time.Time) *peerpb.Load {
	full := r.last == nil || !sameIdentity(r.last, l) || now.Sub(r.lastFullAt) >= fullReportInterval
	if !full && !r.due(l, sessions, now) {
		return nil
	}
	r.last, r.lastAt = l, now
	if full {
		r.lastFullAt = now
		return l
	}
	return &peerpb.Load{Brief: true, State: l.State, HeldTokens: l.HeldTokens, HeldCount: l.HeldCount,
		LimitTokens: l.LimitTokens, LimitCount: l.LimitCount, Seq: l.Seq}
}

func (r *loadReporter) due(l *peerpb.Load, sessions int, now time.Time) bool {
	if l.State != r.last.State || l.LimitTokens != r.last.LimitTokens || l.LimitCount != r.last.LimitCount {
		return true
	}
	// A tick may fire slightly early.
	since := now.Sub(r.lastAt) + r.interval/2
	if l.HeldTokens == r.last.HeldTokens && l.HeldCount == r.last.HeldCount {
		return since >= maxReportInterval
	}
	return since >= min(maxReportInterval, max(r.interval, time.Duration(sessions)*reportIntervalPerSession))
}

func sameIdentity(a, b *peerpb.Load) bool {
	return a.AgentId == b.AgentId && a.Incarnation == b.Incarnation && a.Service == b.Service &&
		a.FailureDomain == b.FailureDomain && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}

// reportLoad sends load reports to all entries until ctx is done.
func (a *Agent) reportLoad(ctx context.Context) {
	tick := time.NewTicker(a.cfg.ReportInterval)
	defer tick.Stop()
	r := loadReporter{interval: a.cfg.ReportInterval}
	for {
		now := time.Now()
		if l := r.next(a.admission.loadReport(now), a.entrySessions(), now); l != nil {
			a.broadcast(loadFrame(l))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// entrySessions returns the number of sessions with entries.
func (a *Agent) entrySessions() int { return len(a.entries()) }

// entries returns the ids of the entries with a session, or none if the Broadcaster
// does not list its sessions.
func (a *Agent) entries() []string {
	p := a.peers.Load()
	if p == nil {
		return nil
	}
	node, ok := (*p).(interface{ Sessions() []*peer.Session })
	if !ok {
		return nil
	}
	var ids []string
	for _, s := range node.Sessions() {
		if s.Hello.GetRole() == core.RoleEntry {
			ids = append(ids, s.Hello.GetId())
		}
	}
	return ids
}
