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

// Times of the exchange of positions.
const (
	sentMemory   = 10 * time.Second
	peerMemory   = time.Minute
	pullInterval = 300 * time.Millisecond
	minExchange  = 10 * time.Millisecond
)

// exchange is what the task knows from and of its peers. seq starts at random,
// so that an echo of an earlier incarnation is never taken for a recent one.
type exchange struct {
	seq    uint64
	sent   map[uint64]time.Time
	lastAt time.Time
	due    bool
	// wake ends the least time between two positions when one is due.
	wake   <-chan time.Time
	peers  map[string]*peerState
	pullAt time.Time
	parts  snapshotParts
}

// peerState is the newest report of one peer.
type peerState struct {
	incarnation string
	role        string
	seq         uint64
	seqAt       time.Time
	// next is the highest position that the peer has told of.
	next  int64
	heard config.PeerPosition
	// needy is set while the newest report shows a confirmation that is missing
	// or older than agentAskAge.
	needy bool
}

func newExchange() exchange {
	return exchange{seq: rand.Uint64() >> 1, sent: map[uint64]time.Time{}, peers: map[string]*peerState{}}
}

// heard returns the reports whose age is known.
func (e *exchange) heard() []config.PeerPosition {
	list := make([]config.PeerPosition, 0, len(e.peers))
	for _, p := range e.peers {
		if !p.heard.At.IsZero() {
			list = append(list, p.heard)
		}
	}
	return list
}

// exchangePositions sends the position to the peers that need it, at once when
// it has moved.
func (t *task) exchangePositions(now time.Time, moved bool) {
	e := &t.exchange
	e.due = e.due || moved
	since := now.Sub(e.lastAt)
	if t.peers == nil || since < t.f.cfg.ExchangeInterval && !e.due {
		return
	}
	if since < minExchange {
		if e.wake == nil {
			e.wake = time.After(minExchange - since)
		}
		return
	}
	moved = e.due
	e.lastAt, e.due = now, false
	e.seq++
	e.sent[e.seq] = now
	for seq, at := range e.sent {
		if now.Sub(at) > sentMemory {
			delete(e.sent, seq)
		}
	}
	for id, p := range e.peers {
		if now.Sub(p.seqAt) > peerMemory {
			delete(e.peers, id)
		}
	}
	for _, s := range t.targets(t.peers.Sessions(), moved, now) {
		t.sendPosition(s, now)
	}
}

func (t *task) sendPosition(s *peer.Session, now time.Time) {
	v := t.f.view.Load()
	p := &peerpb.Position{
		NextOffset:  t.fold.NextOffset(),
		StateHash:   t.fold.Hash(),
		Confirmed:   config.Fresh(v.confirmedAt, now),
		LogReadable: t.reader.reached,
		Seq:         t.exchange.seq,
		Established: t.established,
	}
	if p.Confirmed {
		// Rounded up, since an age must never be understated.
		p.ConfirmedAgeMs = now.Sub(v.confirmedAt).Milliseconds() + 1
	}
	if ps := t.exchange.peers[s.Hello.Id]; ps != nil && ps.incarnation == s.Hello.Incarnation && ps.seq != 0 {
		p.EchoSeq = ps.seq
		p.EchoAgeMs = now.Sub(ps.seqAt).Milliseconds()
	}
	s.Control(&peerpb.Frame{Body: &peerpb.Frame_Position{Position: p}})
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
		ps.needy = !p.Confirmed || p.ConfirmedAgeMs >= agentAskAge.Milliseconds()
	}
	ps.next = max(ps.next, p.NextOffset)
	t.note(ps, hello.Id, p, m.at)
	if p.NextOffset == t.fold.NextOffset() && p.StateHash != t.fold.Hash() {
		metrics.Add("state_hash_mismatches", 1)
		t.log.Error("peer holds another state at the same offset", zap.String("peer", hello.Id), zap.Int64("next_offset", p.NextOffset))
	}
	if p.NextOffset > t.fold.NextOffset() && m.at.Sub(t.exchange.pullAt) >= pullInterval {
		t.exchange.pullAt = m.at
		m.from.Control(&peerpb.Frame{Body: &peerpb.Frame_RecordsRequest{
			RecordsRequest: &peerpb.RecordsRequest{FromOffset: t.fold.NextOffset()}}})
	}
}

// note records a report together with the latest time at which it was surely
// not yet made: the echo shows that it was made after a position of this
// process was sent and held for a while.
func (t *task) note(ps *peerState, id string, p *peerpb.Position, arrived time.Time) {
	sent, ok := t.exchange.sent[p.EchoSeq]
	if !ok || p.EchoAgeMs < 0 || p.ConfirmedAgeMs < 0 {
		return
	}
	at := sent.Add(time.Duration(p.EchoAgeMs) * time.Millisecond)
	if at.After(arrived) {
		at = arrived
	}
	if at.Before(ps.heard.At) {
		return
	}
	ps.heard = config.PeerPosition{
		ID:              id,
		NextOffset:      p.NextOffset,
		At:              at,
		Confirmed:       p.Confirmed,
		ConfirmationAge: time.Duration(p.ConfirmedAgeMs) * time.Millisecond,
		Established:     p.Established,
	}
	if ps.role == core.RoleEntry && p.Confirmed {
		t.reader.fedAt = at
	}
}
