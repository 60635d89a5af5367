package rankagent

import (
	"context"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// leader returns the session with the leader of the lowest rank, or nil.
func (s *state) leader(now time.Time) *peer.Session {
	best := -1
	for rank, l := range s.leaders {
		if now.Sub(l.lastHeartbeat) < leaderTimeout && (best < 0 || rank < best) {
			best = rank
		}
	}
	if best < 0 {
		return nil
	}
	return s.leaders[best].session
}

// isLeader reports whether this agent isLeader its group: it is a candidate, and no
// leader of a lower rank is heard. It runs in the task.
func (a *Agent) isLeader(now time.Time) bool {
	s := a.state
	own := s.report.Place.Rank
	if !s.hasReport || s.report.Place.Group == "" || own >= leaderCandidates {
		return false
	}
	for rank, l := range s.leaders {
		if rank < own && now.Sub(l.lastHeartbeat) < leaderTimeout {
			return false
		}
	}
	return own == 0 || now.Sub(s.started) > leaderTimeout
}

// dialCandidates dials the candidates of lower ranks. It runs in the task.
func (a *Agent) dialCandidates() {
	s := a.state
	for rank, engine := range s.rankEngines {
		if rank >= leaderCandidates || rank >= s.report.Place.Rank {
			continue
		}
		host, _, err := net.SplitHostPort(engine)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, a.port)
		if !s.dialed[address] && address != a.cfg.PeerAddress {
			s.dialed[address] = true
			a.node.Keep(address)
		}
	}
}

// sendHeartbeats makes a leader known at an interval and moves its change on.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(leaderHeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var f *peerpb.Frame
		a.task.Do(func() {
			if !a.isLeader(time.Now()) {
				return
			}
			p := a.state.report.Place
			f = &peerpb.Frame{Body: &peerpb.Frame_LeaderBeat{LeaderBeat: &peerpb.LeaderBeat{Group: p.Group, Rank: int32(p.Rank)}}}
		})
		if f != nil {
			a.node.Broadcast(core.RoleRankAgent, f)
		}
	}
}

// control handles a frame of a peer.
func (a *Agent) control(from *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_GroupView:
		a.task.Do(func() { a.onGroupView(b.GroupView) })
	case *peerpb.Frame_LeaderBeat:
		a.task.Do(func() {
			if b.LeaderBeat.GetGroup() == a.state.report.Place.Group {
				a.state.leaders[int(b.LeaderBeat.GetRank())] = &knownLeader{session: from, lastHeartbeat: time.Now()}
			}
		})
	case *peerpb.Frame_RankStatus:
		a.task.Do(func() {
			if now := time.Now(); a.isLeader(now) && b.RankStatus.GetGroup() == a.state.report.Place.Group {
				a.handleRankStatus(from, b.RankStatus, now)
			}
		})
	}
}

// peerUp tells a new gateway the state of the engine.
func (a *Agent) peerUp(s *peer.Session) {
	if s.Hello.GetRole() != core.RoleGateway {
		return
	}
	a.task.Do(func() {
		if a.state.hasReport {
			s.Control(a.stateFrame())
		}
	})
}

// peerDown forgets a session that has ended.
func (a *Agent) peerDown(ended *peer.Session) {
	a.task.Do(func() {
		for rank, l := range a.state.leaders {
			if l.session == ended {
				delete(a.state.leaders, rank)
			}
		}
		if a.state.leading != nil {
			a.state.leading.dropSession(ended)
		}
	})
}

func newExpertSpec(v *peerpb.GroupView) expertSpec {
	spec := expertSpec{
		sets: int(v.GetExpertSets()), experts: int(v.GetExperts()),
		slotsPerRank: int(v.GetPlacesPerRank()), maxNewExperts: int(v.GetMaxNewExperts()),
	}
	if rate := v.GetBytesPerSecond(); rate > 0 {
		spec.copyTime = time.Duration(v.GetExpertBytes() / rate * float64(time.Second))
	}
	return spec
}

// onGroupView takes the ranks of the own group. It runs in the task.
func (a *Agent) onGroupView(v *peerpb.GroupView) {
	s := a.state
	for _, g := range v.GetGateways() {
		if !s.dialed[g] {
			s.dialed[g] = true
			a.node.Keep(g)
		}
	}
	// A gateway without a configuration does not know the shape.
	if v.GetExpertSets() > 0 {
		s.spec = newExpertSpec(v)
	}
	own := ""
	for _, r := range v.GetRanks() {
		if r.GetEngineAddress() == a.cfg.EngineAddress {
			own = r.GetGroup()
		}
	}
	if s.hasReport && s.report.Place.Group != "" {
		own = s.report.Place.Group
	}
	for _, r := range v.GetRanks() {
		if r.GetGroup() == own {
			s.rankEngines[int(r.GetRank())] = r.GetEngineAddress()
		}
	}
	a.log.Debug("ranks changed", zap.String("group", own), zap.String("ranks", strconv.Itoa(len(s.rankEngines))))
}
