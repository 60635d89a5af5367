package configlog

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/core/rendezvous"
	"nutmegnotch/io/peer"
)

const (
	// agentEntryCount is the number of entries with which an agent exchanges
	// positions while they keep it confirmed. Two of them may fail at the same time
	// without effect.
	agentEntryCount = 3
	// agentAllEntriesAge is the age of its confirmation from which an agent sends
	// its position to all entries. While entries confirm each other, the age is at
	// most about 1.1 s. The position and the reply take one exchange interval each,
	// so they arrive before MaxConfirmationAge (3 s). With 2.2 s, an agent whose
	// entries hung was briefly unconfirmed.
	agentAllEntriesAge = 1500 * time.Millisecond
	// agentAllPeersAge is the age of its confirmation from which an agent also sends
	// its position to other agents. The confirmation of an agent that reads the log
	// itself is up to 2 s plus one reply old just before a long poll of 1 s ends.
	agentAllPeersAge = 2200 * time.Millisecond
	// maxTransitTime allows for the time that a position takes to arrive.
	maxTransitTime = 200 * time.Millisecond
)

// targets returns the peers to which the position is sent now. Fewer positions
// make confirmations older, never wrong, since the age of each report is derived
// from the echo of a position that this process has sent. An entry sends to the
// other entries and to the agents that have recently sent theirs, and to all
// peers when its position has advanced. An agent sends to a few entries while
// these confirm it, and to all entries otherwise. Agents exchange positions only
// while one of them needs a confirmation, since the agents of a group have a
// session between every two of them.
func (t *task) targets(sessions []*peer.Session, advanced bool, now time.Time) []*peer.Session {
	if t.f.cfg.Role == core.RoleAgent {
		return t.agentTargets(sessions, now)
	}
	if advanced {
		return sessions
	}
	list := make([]*peer.Session, 0, len(sessions))
	for _, s := range sessions {
		if s.Hello.GetRole() != core.RoleAgent || t.sentRecently(s, now) {
			list = append(list, s)
		}
	}
	return list
}

// sentRecently reports whether the peer has recently sent its position.
func (t *task) sentRecently(s *peer.Session, now time.Time) bool {
	p := t.exchange.peers[s.Hello.GetId()]
	return p != nil && p.incarnation == s.Hello.GetIncarnation() && now.Sub(p.seqAt) < t.exchangeTimeout()
}

// needsConfirmation reports whether the peer has recently sent its position
// without a recent confirmation. If agents replied to every position, two agents
// would keep replying to each other.
func (t *task) needsConfirmation(s *peer.Session, now time.Time) bool {
	return t.sentRecently(s, now) && t.exchange.peers[s.Hello.GetId()].needsConfirmation
}

// exchangeTimeout is the time within which a peer replies to a position.
func (t *task) exchangeTimeout() time.Duration { return 2*t.f.cfg.ExchangeInterval + maxTransitTime }

// agentTargets returns the targets of an agent.
func (t *task) agentTargets(sessions []*peer.Session, now time.Time) []*peer.Session {
	confirmed := t.f.view.Load().confirmedAt
	if !config.Fresh(confirmed, now) || now.Sub(confirmed) >= agentAllPeersAge {
		return sessions
	}
	sessionByID := make(map[string]*peer.Session, len(sessions))
	var entries []core.EntryInfo
	var list, entrySessions []*peer.Session
	for _, s := range sessions {
		switch {
		case s.Hello.GetRole() == core.RoleEntry:
			sessionByID[s.Hello.GetId()] = s
			entries = append(entries, core.EntryInfo{ID: s.Hello.GetId()})
			entrySessions = append(entrySessions, s)
		case t.needsConfirmation(s, now):
			list = append(list, s)
		}
	}
	if now.Sub(t.reader.entryConfirmedAt) >= t.exchangeTimeout() || now.Sub(confirmed) >= agentAllEntriesAge {
		return append(list, entrySessions...)
	}
	for _, e := range rendezvous.Top(t.f.cfg.Self.ID, entries, agentEntryCount) {
		list = append(list, sessionByID[e.ID])
	}
	return list
}
