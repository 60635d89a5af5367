package configlog

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Timing of the exchange of positions.
const (
	sentPositionTTL     = 10 * time.Second
	peerStateTTL        = time.Minute
	pullInterval        = 300 * time.Millisecond
	minExchangeInterval = 10 * time.Millisecond
)

// exchange is the state of the exchange of positions with peers. seq starts at a
// random number, so that an echo meant for an earlier incarnation is never taken
// for a recent one.
type exchange struct {
	seq        uint64
	sentAt     map[uint64]time.Time
	lastSentAt time.Time
	due        bool
	// wake fires when minExchangeInterval has passed while a position is due.
	wake     <-chan time.Time
	peers    map[string]*peerState
	pulledAt time.Time
	snapshot snapshotAssembly
}

// peerState holds the newest reported position of one peer.
type peerState struct {
	incarnation string
	role        string
	seq         uint64
	seqAt       time.Time
	// maxNextOffset is the highest next offset that the peer has reported.
	maxNextOffset int64
	position      config.PeerPosition
	// needsConfirmation is true while the newest report has no confirmation, or
	// one older than agentAllPeersAge.
	needsConfirmation bool
}

func newExchange() exchange {
	return exchange{seq: rand.Uint64() >> 1, sentAt: map[uint64]time.Time{}, peers: map[string]*peerState{}}
}

// peerPositions returns the reported positions whose age is known.
func (e *exchange) peerPositions() []config.PeerPosition {
	list := make([]config.PeerPosition, 0, len(e.peers))
	for _, p := range e.peers {
		if !p.position.At.IsZero() {
			list = append(list, p.position)
		}
	}
	return list
}

// exchangePositions sends the position to the peers that need it: at every
// ExchangeInterval, and as soon as the position has advanced.
func (t *task) exchangePositions(now time.Time, advanced bool) {
	e := &t.exchange
	e.due = e.due || advanced
	since := now.Sub(e.lastSentAt)
	if t.peers == nil || since < t.f.cfg.ExchangeInterval && !e.due {
		return
	}
	if since < minExchangeInterval {
		if e.wake == nil {
			e.wake = time.After(minExchangeInterval - since)
		}
		return
	}
	advanced = e.due
	e.lastSentAt, e.due = now, false
	e.seq++
	e.sentAt[e.seq] = now
	for seq, at := range e.sentAt {
		if now.Sub(at) > sentPositionTTL {
			delete(e.sentAt, seq)
		}
	}
	for id, p := range e.peers {
		if now.Sub(p.seqAt) > peerStateTTL {
			delete(e.peers, id)
		}
	}
	for _, s := range t.targets(t.peers.Sessions(), advanced, now) {
		t.sendPosition(s, now)
	}
}

func (t *task) sendPosition(s *peer.Session, now time.Time) {
	v := t.f.view.Load()
	p := &peerpb.Position{
		NextOffset:  t.state.NextOffset(),
		StateHash:   t.state.Hash(),
		Confirmed:   config.Fresh(v.confirmedAt, now),
		LogReadable: t.reader.readable,
		Seq:         t.exchange.seq,
		Established: t.established,
	}
	if p.Confirmed {
		// Rounded up, since the age must never be understated.
		p.ConfirmedAgeMs = now.Sub(v.confirmedAt).Milliseconds() + 1
	}
	if ps := t.exchange.peers[s.Hello.Id]; ps != nil && ps.incarnation == s.Hello.Incarnation && ps.seq != 0 {
		p.EchoSeq = ps.seq
		p.EchoAgeMs = now.Sub(ps.seqAt).Milliseconds()
	}
	s.SendControl(&peerpb.Frame{Body: &peerpb.Frame_Position{Position: p}})
}

func (t *task) receive(m message) {
	switch b := m.frame.Body.(type) {
	case *peerpb.Frame_Position:
		t.receivePosition(m, b.Position)
	case *peerpb.Frame_RecordsRequest:
		t.sendRecords(m.from, b.RecordsRequest.GetFromOffset())
	case *peerpb.Frame_Records:
		t.receiveRecords(m, b.Records)
	case *peerpb.Frame_Snapshot:
		t.receiveSnapshot(m, b.Snapshot)
	}
}

func (t *task) receivePosition(m message, p *peerpb.Position) {
	hello := m.from.Hello
	if hello.Id == t.f.cfg.Self.ID {
		return
	}
	ps := t.exchange.peers[hello.Id]
	if ps == nil || ps.incarnation != hello.Incarnation {
		ps = &peerState{incarnation: hello.Incarnation, role: hello.Role}
		t.exchange.peers[hello.Id] = ps
	}
	if p.Seq >= ps.seq {
		ps.seq, ps.seqAt = p.Seq, m.at
		ps.needsConfirmation = !p.Confirmed || p.ConfirmedAgeMs >= agentAllPeersAge.Milliseconds()
	}
	ps.maxNextOffset = max(ps.maxNextOffset, p.NextOffset)
	t.recordPosition(ps, hello.Id, p, m.at)
	if p.NextOffset == t.state.NextOffset() && p.StateHash != t.state.Hash() {
		metrics.Add("state_hash_mismatches", 1)
		t.log.Error("peer has a different state at the same offset", zap.String("peer", hello.Id), zap.Int64("next_offset", p.NextOffset))
	}
	if p.NextOffset > t.state.NextOffset() && m.at.Sub(t.exchange.pulledAt) >= pullInterval {
		t.exchange.pulledAt = m.at
		m.from.SendControl(&peerpb.Frame{Body: &peerpb.Frame_RecordsRequest{
			RecordsRequest: &peerpb.RecordsRequest{FromOffset: t.state.NextOffset()}}})
	}
}

// recordPosition stores a reported position with a time before the report was
// made. The echo proves that the peer made the report at least EchoAgeMs after
// this process had sent the echoed position, so no clocks are compared.
func (t *task) recordPosition(ps *peerState, id string, p *peerpb.Position, arrived time.Time) {
	sent, ok := t.exchange.sentAt[p.EchoSeq]
	if !ok || p.EchoAgeMs < 0 || p.ConfirmedAgeMs < 0 {
		return
	}
	at := sent.Add(time.Duration(p.EchoAgeMs) * time.Millisecond)
	if at.After(arrived) {
		at = arrived
	}
	if at.Before(ps.position.At) {
		return
	}
	ps.position = config.PeerPosition{
		ID:              id,
		NextOffset:      p.NextOffset,
		At:              at,
		Confirmed:       p.Confirmed,
		ConfirmationAge: time.Duration(p.ConfirmedAgeMs) * time.Millisecond,
		Established:     p.Established,
	}
	if ps.role == core.RoleEntry && p.Confirmed {
		t.reader.entryConfirmedAt = at
	}
}
