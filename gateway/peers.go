package gateway

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegnotch/core"
	"nutmegnotch/core/enginestate"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// configVersion returns the version of the configuration in force, or 0. It runs in the
// task.
func (g *Gateway) configVersion() int64 {
	if dep := g.state.directory.Deployment(); dep != nil {
		return dep.Version
	}
	return 0
}

func (g *Gateway) peerUp(s *peer.Session) {
	g.log.Info("peer session up", zap.String("peer", s.Hello.GetId()), zap.String("peer_role", s.Hello.GetRole()))
	if s.Hello.GetRole() == core.RoleGateway {
		g.sendCrashRecords(s)
		g.sendServedParts(s)
		g.sendLeaving(s)
		g.sendLimits(s)
		// The heartbeat comes last: it tells a gateway that has started that it knows the
		// rest.
		g.task.Do(func() {
			g.addMember(s.Hello.GetAddress())
			s.SendControl(g.heartbeatFrame(true))
		})
		return
	}
	var f *peerpb.Frame
	g.task.Do(func() {
		f = &peerpb.Frame{Body: &peerpb.Frame_GroupView{GroupView: g.groupView()}}
	})
	s.SendControl(f)
}

func (g *Gateway) peerDown(s *peer.Session) {
	g.log.Info("peer session down", zap.String("peer", s.Hello.GetId()))
}

// control handles a control frame of a peer. A frame that cannot be handled ends the
// session only.
func (g *Gateway) control(from *peer.Session, f *peerpb.Frame) {
	err := g.task.Try(func() { g.onFrame(from, f, time.Now()) })
	if err != nil {
		failures.Add("peer_frames", 1)
		from.CloseFailed(f, err)
	}
}

// onFrame handles a control frame of a peer. It runs in the task.
func (g *Gateway) onFrame(from *peer.Session, f *peerpb.Frame, now time.Time) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_DirectoryBeat:
		g.onHeartbeat(from, b.DirectoryBeat, now)
	case *peerpb.Frame_DirectoryPull:
		g.onPull(from, b.DirectoryPull)
	case *peerpb.Frame_DirectoryRecords:
		g.onRecords(from, b.DirectoryRecords, now)
	case *peerpb.Frame_EngineState:
		g.onEngineState(b.EngineState, now)
	case *peerpb.Frame_EngineStates:
		g.onEngineStates(b.EngineStates.GetStates(), now)
	case *peerpb.Frame_ServerStates:
		g.onServerStates(from, b.ServerStates, now)
	case *peerpb.Frame_Permits:
		g.onPermits(from, b.Permits, now)
	case *peerpb.Frame_CrashRecords:
		g.applyCrashRecords(b.CrashRecords, from.Hello.GetId(), now)
	}
}

// onEngineState applies the state of an engine that its rank agent has sent. It runs in
// the task.
func (g *Gateway) onEngineState(s *peerpb.EngineState, now time.Time) {
	g.state.engineStates.FromAgent(engineState(s), now)
	g.applyEngineStates(now, s)
}

// onEngineStates applies the states of engines that another gateway passes on. It runs in
// the task.
func (g *Gateway) onEngineStates(states []*peerpb.EngineState, now time.Time) {
	for _, s := range states {
		g.state.engineStates.FromGateway(engineState(s), now)
	}
	g.applyEngineStates(now, states...)
}

func engineState(s *peerpb.EngineState) enginestate.State {
	return enginestate.State{Address: s.GetEngineAddress(), Pace: s.GetPace(), Open: s.GetOpen()}
}

// applyEngineStates applies the states of engines. It runs in the task.
func (g *Gateway) applyEngineStates(now time.Time, states ...*peerpb.EngineState) {
	d := g.state.dispatcher
	for _, s := range states {
		d.SetEngineState(s.GetEngineAddress(), s.GetPace(), s.GetOpen(), now)
	}
	g.dispatchWaiting(now)
}

// passOnEngineStates sends the other gateways the states that are due. A rank agent has
// sessions with some gateways only. It runs in the task.
func (g *Gateway) passOnEngineStates(now time.Time) {
	f := &peerpb.EngineStates{}
	for _, s := range g.state.engineStates.Take(now) {
		f.States = append(f.States, &peerpb.EngineState{EngineAddress: s.Address, Pace: s.Pace, Open: s.Open})
	}
	if len(f.States) > 0 {
		g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_EngineStates{EngineStates: f}})
	}
}

// onPull sends a peer the records of a topic from a position on, or all of them if it
// cannot tell what the peer has missed. It runs in the task.
func (g *Gateway) onPull(to *peer.Session, p *peerpb.DirectoryPull) {
	t := core.Topic(p.GetTopic())
	if t != core.TopicOperator && t != core.TopicServers {
		g.log.Warn("peer requested records of an unknown topic", zap.String("peer", to.Hello.GetId()), zap.Int32("topic", p.GetTopic()))
		return
	}
	b, full := g.state.directory.Since(t, core.Position{Era: p.GetEra(), Offset: p.GetFromOffset()})
	out := &peerpb.DirectoryRecords{Topic: p.GetTopic(), NextOffset: b.Next.Offset, Era: b.Next.Era, Full: full}
	if r := g.state.directory.DeploymentRecord(); p.GetConfig() && r.Key != "" {
		b.Records = append(b.Records, r)
	}
	for _, r := range b.Records {
		out.Records = append(out.Records, &peerpb.KeyedRecord{Key: r.Key, Value: r.Value, Offset: r.Position.Offset, Era: r.Position.Era, Deleted: r.Deleted})
	}
	to.SendControl(&peerpb.Frame{Body: &peerpb.Frame_DirectoryRecords{DirectoryRecords: out}})
}

// onRecords applies records that were pulled from a peer. It runs in the task.
func (g *Gateway) onRecords(from *peer.Session, p *peerpb.DirectoryRecords, now time.Time) {
	t := core.Topic(p.GetTopic())
	if t != core.TopicOperator && t != core.TopicServers {
		return
	}
	b := core.KeyedBatch{Next: core.Position{Era: p.GetEra(), Offset: p.GetNextOffset()}}
	for _, r := range p.GetRecords() {
		at := b.Next.WithOffset(r.GetOffset())
		if r.GetEra() != 0 {
			at.Era = r.GetEra()
		}
		b.Records = append(b.Records, core.KeyedRecord{Key: r.GetKey(), Value: r.GetValue(), Position: at, Deleted: r.GetDeleted()})
	}
	g.applyRecords(t, b, p.GetFull(), from.Hello.GetId(), now)
}

// broadcastGroupView sends the group view to all rank agents if it is due and has
// changed. It runs in the task.
func (g *Gateway) broadcastGroupView(now time.Time) {
	if !g.state.groupViewDue || now.Sub(g.state.groupViewAt) < groupViewInterval {
		return
	}
	g.state.groupViewDue, g.state.groupViewAt = false, now
	v := g.groupView()
	if proto.Equal(v, g.state.sentView) {
		return
	}
	g.state.sentView = v
	f := &peerpb.Frame{Body: &peerpb.Frame_GroupView{GroupView: v}}
	g.node.Broadcast(core.RoleRankAgent, f)
}

// groupView returns the ranks of all groups and the size of their experts. It runs
// in the task.
func (g *Gateway) groupView() *peerpb.GroupView {
	d := g.state.directory
	v := &peerpb.GroupView{Gateways: g.state.members.addresses(time.Now())}
	for _, s := range d.Servers() {
		if s.Place.Group == "" {
			continue
		}
		v.Ranks = append(v.Ranks, &peerpb.RankAddress{
			Group: s.Place.Group, Rank: int32(s.Place.Rank), Size: int32(s.Place.Size), EngineAddress: s.Address,
		})
		if dep := d.Deployment(); dep != nil {
			if e := dep.Services[s.Service].Engine; e != nil {
				v.ExpertSets, v.Experts = int32(e.ExpertSets), int32(e.Experts)
				v.PlacesPerRank, v.MaxNewExperts = int32(e.ExpertSlotsPerRank), int32(e.MaxNewExperts)
				v.ExpertBytes, v.BytesPerSecond = e.ExpertBytes, e.LinkBytesPerSecond
			}
		}
	}
	return v
}
