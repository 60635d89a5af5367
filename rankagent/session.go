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
		if now.Sub(l.heard) < leaderSilence && (best < 0 || rank < best) {
			best = rank
		}
	}
	if best < 0 {
		return nil
	}
	return s.leaders[best].session
}

// leads reports whether this agent leads its group: it is a candidate, and no
// leader of a lower rank is heard. It runs in the task.
func (a *Agent) leads(now time.Time) bool {
	s := a.state
	own := s.report.Place.Rank
	if !s.reported || s.report.Place.Group == "" || own >= candidates {
		return false
	}
	for rank, l := range s.leaders {
		if rank < own && now.Sub(l.heard) < leaderSilence {
			return false
		}
	}
	return own == 0 || now.Sub(s.started) > leaderSilence
}

// keepSessions dials the candidates of lower ranks. It runs in the task.
func (a *Agent) keepSessions() {
	s := a.state
	for rank, engine := range s.ranks {
		if rank >= candidates || rank >= s.report.Place.Rank {
			continue
		}
		host, _, err := net.SplitHostPort(engine)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, a.port)
		if !s.kept[address] && address != a.cfg.PeerAddress {
			s.kept[address] = true
			a.node.Keep(address)
		}
	}
}

// beat makes a leader known at an interval and moves its change on.
func (a *Agent) beat(ctx context.Context) {
	t := time.NewTicker(leaderBeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var f *peerpb.Frame
		a.task.Do(func() {
			if !a.leads(time.Now()) {
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
		a.task.Do(func() { a.onView(b.GroupView) })
	case *peerpb.Frame_LeaderBeat:
		a.task.Do(func() {
			if b.LeaderBeat.GetGroup() == a.state.report.Place.Group {
				a.state.leaders[int(b.LeaderBeat.GetRank())] = &leaderView{session: from, heard: time.Now()}
			}
		})
	case *peerpb.Frame_RankStatus:
		a.task.Do(func() {
			if now := time.Now(); a.leads(now) && b.RankStatus.GetGroup() == a.state.report.Place.Group {
				a.leadStatus(from, b.RankStatus, now)
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
		if a.state.reported {
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
		if a.state.lead != nil {
			a.state.lead.sessionEnded(ended)
		}
	})
}

func newShape(v *peerpb.GroupView) shape {
	sh := shape{
		sets: int(v.GetExpertSets()), experts: int(v.GetExperts()),
		places: int(v.GetPlacesPerRank()), maxNew: int(v.GetMaxNewExperts()),
	}
	if rate := v.GetBytesPerSecond(); rate > 0 {
		sh.copyTime = time.Duration(v.GetExpertBytes() / rate * float64(time.Second))
	}
	return sh
}

// onView takes the ranks of the own group. It runs in the task.
func (a *Agent) onView(v *peerpb.GroupView) {
	s := a.state
	for _, g := range v.GetGateways() {
		if !s.kept[g] {
			s.kept[g] = true
			a.node.Keep(g)
		}
	}
	// A gateway without a configuration does not know the shape.
	if v.GetExpertSets() > 0 {
		s.shape = newShape(v)
	}
	own := ""
	for _, r := range v.GetRanks() {
		if r.GetEngineAddress() == a.cfg.EngineAddress {
			own = r.GetGroup()
		}
	}
	if s.reported && s.report.Place.Group != "" {
		own = s.report.Place.Group
	}
	for _, r := range v.GetRanks() {
		if r.GetGroup() == own {
			s.ranks[int(r.GetRank())] = r.GetEngineAddress()
		}
	}
	a.log.Debug("ranks changed", zap.String("group", own), zap.String("ranks", strconv.Itoa(len(s.ranks))))
}
