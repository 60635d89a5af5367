package rankagent

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// Limits of what peers and engines state.
const (
	maxRanks = 4096
	// maxExperts limits the experts of all sets.
	maxExperts = 1 << 20
)

// invalidMessages counts messages that were ignored, by their kind.
var invalidMessages = expvar.NewMap("rank_agent_invalid_messages")

// leader returns the session with the live leader of the lowest rank, or nil if
// there is none. A leader is live for leaderTimeout after each heartbeat.
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

// isLeader reports whether this agent leads its group: it is a candidate, and there
// is no live leader of a lower rank. For leaderTimeout after its start only the
// agent of rank 0 leads, so that the others can receive heartbeats of lower ranks
// first. It runs in the task.
func (a *Agent) isLeader(now time.Time) bool {
	s := a.state
	ownRank := s.report.Place.Rank
	if !s.hasReport || s.report.Place.Group == "" || ownRank >= leaderCandidates {
		return false
	}
	for rank, l := range s.leaders {
		if rank < ownRank && now.Sub(l.lastHeartbeat) < leaderTimeout {
			return false
		}
	}
	return ownRank == 0 || now.Sub(s.started) > leaderTimeout
}

// dialCandidates starts to dial the leader candidates of lower ranks. Their agents
// listen on the host of their engine and on the same port as this agent. It runs in
// the task.
func (a *Agent) dialCandidates() {
	s := a.state
	for rank, engineAddress := range s.rankEngines {
		if rank >= leaderCandidates || rank >= s.report.Place.Rank {
			continue
		}
		host, _, err := net.SplitHostPort(engineAddress)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, a.port)
		if !s.dialed[address] && address != a.cfg.PeerAddress {
			s.dialed[address] = true
			a.node.KeepConnected(address)
		}
	}
}

// sendHeartbeats periodically sends heartbeats to the other agents while this agent
// leads.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	task.Every(ctx, leaderHeartbeatInterval, func() {
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
	})
}

// control handles a control frame of a peer. A frame that cannot be handled ends the
// session only.
func (a *Agent) control(from *peer.Session, f *peerpb.Frame) {
	err := a.task.Try(func() { a.onFrame(from, f, time.Now()) })
	if err != nil {
		invalidMessages.Add("peer_frames", 1)
		from.CloseFailed(f, err)
	}
}

// onFrame handles a control frame of a peer. It runs in the task.
func (a *Agent) onFrame(from *peer.Session, f *peerpb.Frame, now time.Time) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_GroupView:
		a.onGroupView(from, b.GroupView)
	case *peerpb.Frame_LeaderBeat:
		rank := int(b.LeaderBeat.GetRank())
		if rank >= 0 && rank < leaderCandidates && b.LeaderBeat.GetGroup() == a.state.report.Place.Group {
			a.state.leaders[rank] = &knownLeader{session: from, lastHeartbeat: now}
		}
	case *peerpb.Frame_RankStatus:
		if a.isLeader(now) && b.RankStatus.GetGroup() == a.state.report.Place.Group {
			a.handleRankStatus(from, b.RankStatus, now)
		}
	}
}

// peerUp sends the engine state to a gateway that has connected.
func (a *Agent) peerUp(s *peer.Session) {
	if s.Hello.GetRole() != core.RoleGateway {
		return
	}
	a.task.Do(func() {
		if a.state.hasReport {
			s.SendControl(a.stateFrame())
		}
	})
}

// peerDown removes a session that has ended.
func (a *Agent) peerDown(ended *peer.Session) {
	a.task.Do(func() {
		delete(a.state.views, ended)
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

// newExpertSpec returns the experts that a group view describes, or ErrInvalid if they
// are not those of an engine.
func newExpertSpec(v *peerpb.GroupView) (expertSpec, error) {
	spec := expertSpec{
		sets: int(v.GetExpertSets()), experts: int(v.GetExperts()),
		slotsPerRank: int(v.GetPlacesPerRank()), maxNewExperts: int(v.GetMaxNewExperts()),
	}
	if spec.sets < 1 || spec.experts < 1 || spec.sets > maxExperts/spec.experts || spec.slotsPerRank < 0 || spec.maxNewExperts < 0 {
		return expertSpec{}, fmt.Errorf("%d sets of %d experts, %d places and %d new ones a rank: %w",
			spec.sets, spec.experts, spec.slotsPerRank, spec.maxNewExperts, core.ErrInvalid)
	}
	if rate := v.GetBytesPerSecond(); rate > 0 {
		spec.copyTime = time.Duration(min(max(0, v.GetExpertBytes()/rate), maxCopyTime.Seconds()) * float64(time.Second))
	}
	return spec, nil
}

// onGroupView handles the group view of a gateway: it chooses among the gateways in it
// and records the engine addresses of this agent's group. Until the local engine reports a
// group, that is the group which the view names for the engine. It runs in the task.
func (a *Agent) onGroupView(from *peer.Session, v *peerpb.GroupView) {
	s := a.state
	s.views[from] = v.GetGateways()
	a.chooseGateways()
	// A gateway that has no configuration yet sends no expert spec.
	if v.GetExpertSets() != 0 {
		spec, err := newExpertSpec(v)
		if err != nil {
			invalidMessages.Add("group_view", 1)
			a.log.Warn("ignoring a group view", zap.String("peer", from.Hello.GetId()), zap.Error(err))
			return
		}
		s.spec = spec
	}
	ownGroup := ""
	for _, r := range v.GetRanks() {
		if r.GetEngineAddress() == a.cfg.EngineAddress {
			ownGroup = r.GetGroup()
		}
	}
	if s.hasReport && s.report.Place.Group != "" {
		ownGroup = s.report.Place.Group
	}
	for _, r := range v.GetRanks() {
		if r.GetGroup() == ownGroup && r.GetRank() >= 0 && r.GetRank() < maxRanks {
			s.rankEngines[int(r.GetRank())] = r.GetEngineAddress()
		}
	}
	a.log.Debug("received group view", zap.String("group", ownGroup), zap.String("ranks", strconv.Itoa(len(s.rankEngines))))
}
