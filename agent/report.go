package agent

import (
	"context"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Times of load reports. A session costs a report of about 30 bytes each time,
// so an agent with many sessions reports less often.
const (
	// maxReportInterval stays below the age at which a report supports no choice.
	maxReportInterval = time.Second
	// reportTimePerSession spreads 40 sessions over a second.
	reportTimePerSession = 25 * time.Millisecond
	// wholeReportInterval repairs an entry that has missed a whole report, which
	// a new session gets at once. Every 10 s it was a fifth of all report bytes.
	wholeReportInterval = time.Minute
)

// reporter decides which load reports the entries get.
type reporter struct {
	interval time.Duration
	last     *peerpb.Load
	at       time.Time
	wholeAt  time.Time
}

// next returns the report that is due, or nil. A change of state, limit or
// models is due at once, other changes after the interval for this number of
// sessions, and any report after maxReportInterval.
func (r *reporter) next(l *peerpb.Load, sessions int, now time.Time) *peerpb.Load {
	whole := r.last == nil || !sameIdentity(r.last, l) || now.Sub(r.wholeAt) >= wholeReportInterval
	if !whole && !r.due(l, sessions, now) {
		return nil
	}
	r.last, r.at = l, now
	if whole {
		r.wholeAt = now
		return l
	}
	return &peerpb.Load{Brief: true, State: l.State, HeldTokens: l.HeldTokens, HeldCount: l.HeldCount,
		LimitTokens: l.LimitTokens, LimitCount: l.LimitCount, Seq: l.Seq}
}

func (r *reporter) due(l *peerpb.Load, sessions int, now time.Time) bool {
	if l.State != r.last.State || l.LimitTokens != r.last.LimitTokens || l.LimitCount != r.last.LimitCount {
		return true
	}
	// A tick may come a little early.
	since := now.Sub(r.at) + r.interval/2
	if l.HeldTokens == r.last.HeldTokens && l.HeldCount == r.last.HeldCount {
		return since >= maxReportInterval
	}
	return since >= min(maxReportInterval, max(r.interval, time.Duration(sessions)*reportTimePerSession))
}

func sameIdentity(a, b *peerpb.Load) bool {
	return a.AgentId == b.AgentId && a.Incarnation == b.Incarnation && a.Service == b.Service &&
		a.FailureDomain == b.FailureDomain && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}

// report sends load reports to all entries.
func (a *Agent) report(ctx context.Context) {
	tick := time.NewTicker(a.cfg.ReportInterval)
	defer tick.Stop()
	r := reporter{interval: a.cfg.ReportInterval}
	for {
		now := time.Now()
		if l := r.next(a.admission.load(now), a.sessions(), now); l != nil {
			a.broadcast(loadFrame(l))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// sessions returns the number of sessions with entries, as far as it is known.
func (a *Agent) sessions() int {
	n := 0
	if p := a.peers.Load(); p != nil {
		if node, ok := (*p).(interface{ Sessions() []*peer.Session }); ok {
			for _, s := range node.Sessions() {
				if s.Hello.GetRole() == core.RoleEntry {
					n++
				}
			}
		}
	}
	return n
}
