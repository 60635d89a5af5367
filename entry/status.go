package entry

import (
	"time"

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

// Ready reports whether the balancer may send callers here.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.cfg.Source.Confirmed(time.Now())
}

// Status returns the present state.
func (e *Entry) Status() Status {
	cfg := e.cfg.Source.Current()
	s := Status{
		Ready: e.Ready(), Stopping: e.stopping.Load(), Confirmed: e.cfg.Source.Confirmed(time.Now()),
		ConfigOffset: cfg.NextOffset, ConfigHash: cfg.StateHash, Running: e.running.Load(),
		ReplyBytesHeld: e.memory.held(),
	}
	s.Agents, s.AgentsReady = e.views.count()
	return s
}

// Control takes the control frames that concern an entry and ignores others.
func (e *Entry) Control(from *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_Load:
		e.views.load(from.Hello, b.Load)
	case *peerpb.Frame_Leaving:
		e.views.leaving(from.Hello, b.Leaving)
	case *peerpb.Frame_CrashReport:
		e.suspects.crashed(from.Hello, b.CrashReport)
	case *peerpb.Frame_CompletionReport:
		e.suspects.cleared(from.Hello, b.CompletionReport)
	}
}

// SessionUp tells of a new session.
func (e *Entry) SessionUp(s *peer.Session) { e.views.up(s) }

// SessionDown tells of a session that has ended.
func (e *Entry) SessionDown(s *peer.Session) { e.views.down(s) }
