package configlog

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/core/rendezvous"
	"nutmegnotch/io/peer"
)

const (
	// agentPeers is the number of entries that an agent exchanges positions with
	// while they keep it confirmed. Two of them may fail at once without effect.
	agentPeers = 3
	// agentAge is the age of its confirmation at which an agent asks all
	// entries. While entries confirm each other it is at most about 1.1 s. Asking
	// and the answer take one exchange each, so they end before the bound of 3 s;
	// with 2.2 s an agent whose entries hung was unconfirmed for a moment.
	agentAge = 1500 * time.Millisecond
	// agentAskAge is the age of its confirmation at which an agent asks other
	// agents too. An agent that reads the log itself is up to 2 s and one reply
	// old just before a long poll of 1 s ends.
	agentAskAge = 2200 * time.Millisecond
	// exchangeSlack covers the time that a position is on its way.
	exchangeSlack = 200 * time.Millisecond
)

// targets returns the peers that get the position now. Fewer positions can make
// a process less fresh and never fresher, since each report is still dated by
// the echo of an own one. An entry sends to agents that ask and, when it has
// moved, to all; an agent asks a few entries while these feed it, and all of
// them otherwise. Agents exchange positions only while one of them is in need,
// since a group keeps a session between every two of them.
func (t *task) targets(all []*peer.Session, moved bool, now time.Time) []*peer.Session {
	if t.f.cfg.Role == core.RoleAgent {
		return t.agentTargets(all, now)
	}
	if moved {
		return all
	}
	list := make([]*peer.Session, 0, len(all))
	for _, s := range all {
		if s.Hello.GetRole() != core.RoleAgent || t.asks(s, now) {
			list = append(list, s)
		}
	}
	return list
}

// asks reports whether the peer has sent its position lately.
func (t *task) asks(s *peer.Session, now time.Time) bool {
	p := t.exchange.peers[s.Hello.GetId()]
	return p != nil && p.incarnation == s.Hello.GetIncarnation() && now.Sub(p.seqAt) < t.fedWithin()
}

// needs reports whether the peer asks and lacks a recent confirmation. Answers to
// all that ask would keep two agents answering each other.
func (t *task) needs(s *peer.Session, now time.Time) bool {
	return t.asks(s, now) && t.exchange.peers[s.Hello.GetId()].needy
}

// fedWithin is the time within which a question gets its answer.
func (t *task) fedWithin() time.Duration { return 2*t.f.cfg.ExchangeInterval + exchangeSlack }

func (t *task) agentTargets(all []*peer.Session, now time.Time) []*peer.Session {
	confirmed := t.f.view.Load().confirmedAt
	if !config.Fresh(confirmed, now) || now.Sub(confirmed) >= agentAskAge {
		return all
	}
	sessions := make(map[string]*peer.Session, len(all))
	var entries []core.EntryInfo
	var list, asked []*peer.Session
	for _, s := range all {
		switch {
		case s.Hello.GetRole() == core.RoleEntry:
			sessions[s.Hello.GetId()] = s
			entries = append(entries, core.EntryInfo{ID: s.Hello.GetId()})
			asked = append(asked, s)
		case t.needs(s, now):
			list = append(list, s)
		}
	}
	if now.Sub(t.reader.fedAt) >= t.fedWithin() || now.Sub(confirmed) >= agentAge {
		return append(list, asked...)
	}
	for _, e := range rendezvous.Top(t.f.cfg.Self.ID, entries, agentPeers) {
		list = append(list, sessions[e.ID])
	}
	return list
}
