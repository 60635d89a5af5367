package entry

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Status is the state of an entry for operators.
type Status struct {
	Ready          bool   `json:"ready"`
	Stopping       bool   `json:"stopping"`
	Confirmed      bool   `json:"confirmed"`
	ConfigOffset   int64  `json:"config_offset"`
	ConfigHash     uint64 `json:"config_hash"`
	Running        int64  `json:"running"`
	Agents         int    `json:"agents"`
	AgentsReady    int    `json:"agents_ready"`
	ReplyBytesHeld int64  `json:"reply_bytes_held"`
}

// Ready reports whether a load balancer may send callers to this entry.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.cfg.Source.Confirmed(time.Now())
}

// Status returns the current status.
func (e *Entry) Status() Status {
	cfg := e.cfg.Source.Current()
	s := Status{
		Ready: e.Ready(), Stopping: e.stopping.Load(), Confirmed: e.cfg.Source.Confirmed(time.Now()),
		ConfigOffset: cfg.NextOffset, ConfigHash: cfg.StateHash, Running: e.runningRequests.Load(),
		ReplyBytesHeld: e.replyMemory.reservedBytes(),
	}
	s.Agents, s.AgentsReady = e.views.countAgents()
	return s
}

// Control handles the control frames for entries and ignores all others.
func (e *Entry) Control(from *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Load:
		e.views.handleLoad(from.Hello, b.Load)
	case *peerpb.Frame_Leaving:
		e.views.handleLeaving(from.Hello, b.Leaving)
		from.SendControl(&peerpb.Frame{Body: &peerpb.Frame_LeavingAck{LeavingAck: &peerpb.LeavingAck{Incarnation: b.Leaving.GetIncarnation()}}})
	case *peerpb.Frame_CrashReport:
		e.attemptPolicy.handleCrashReport(from.Hello, b.CrashReport)
	case *peerpb.Frame_CompletionReport:
		e.attemptPolicy.handleCompletionReport(from.Hello, b.CompletionReport)
	}
}

// SessionUp handles a new session.
func (e *Entry) SessionUp(s *peer.Session) {
	e.views.sessionUp(s)
	if s.Hello.GetRole() == core.RoleEntry {
		e.attemptPolicy.sendCrashReports(s)
	}
}

// SessionDown handles the end of a session.
func (e *Entry) SessionDown(s *peer.Session) { e.views.sessionDown(s) }
