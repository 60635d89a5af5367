package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Timing of the exchange between gateways.
const (
	heartbeatInterval = 100 * time.Millisecond
	// operatorPullDelay and serversPullDelay are how long a gateway waits for
	// records that another gateway already has before it pulls them from that
	// gateway. The store delivers operators' records at once, while the servers are
	// read at an interval.
	operatorPullDelay = 150 * time.Millisecond
	serversPullDelay  = 900 * time.Millisecond
)

// sendHeartbeats periodically sends the known offsets and the load of this gateway
// to the other gateways.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			var f *peerpb.Frame
			if !g.task.Do(func() { f = g.heartbeatFrame() }) {
				return
			}
			g.node.Broadcast(core.RoleGateway, f)
		}
	}
}

// heartbeatFrame returns the heartbeat to send. It runs in the task.
func (g *Gateway) heartbeatFrame() *peerpb.Frame {
	d := g.state.directory
	b := &peerpb.DirectoryBeat{
		OperatorNextOffset: d.Next(core.TopicOperator).Offset,
		OperatorEra:        d.Next(core.TopicOperator).Era,
		ServersNextOffset:  d.Next(core.TopicServers).Offset,
		ServersEra:         d.Next(core.TopicServers).Era,
		Gateways:           g.state.members.addresses(),
		ConfigVersion:      g.configVersion(),
	}
	for id, n := range g.state.dispatcher.LocalLoad() {
		b.Loads = append(b.Loads, &peerpb.ServerLoad{ServerId: id, Requests: uint32(n)})
	}
	return &peerpb.Frame{Body: &peerpb.Frame_DirectoryBeat{DirectoryBeat: b}}
}

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
		g.task.Do(func() { g.addMember(s.Hello.GetAddress()) })
		g.sendCrashRecords(s)
		g.sendServedParts(s)
		g.sendLeaving(s)
		return
	}
	var f *peerpb.Frame
	g.task.Do(func() {
		g.state.sentView = g.groupView()
		f = &peerpb.Frame{Body: &peerpb.Frame_GroupView{GroupView: g.state.sentView}}
	})
	s.SendControl(f)
}

func (g *Gateway) peerDown(s *peer.Session) {
	g.log.Info("peer session down", zap.String("peer", s.Hello.GetId()))
}

// control handles a control frame of a peer.
func (g *Gateway) control(from *peer.Session, f *peerpb.Frame) {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_DirectoryBeat:
		g.task.Do(func() { g.onHeartbeat(from, b.DirectoryBeat, time.Now()) })
	case *peerpb.Frame_DirectoryPull:
		g.task.Do(func() { g.onPull(from, b.DirectoryPull) })
	case *peerpb.Frame_DirectoryRecords:
		g.task.Do(func() { g.onRecords(from, b.DirectoryRecords, time.Now()) })
	case *peerpb.Frame_EngineState:
		g.task.Do(func() { g.onEngineState(b.EngineState, time.Now()) })
	case *peerpb.Frame_ServerStates:
		g.task.Do(func() { g.onServerStates(from, b.ServerStates, time.Now()) })
	case *peerpb.Frame_CrashRecords:
		g.task.Do(func() { g.applyCrashRecords(b.CrashRecords, from.Hello.GetId(), time.Now()) })
	}
}

// onEngineState applies the state of an engine that its rank agent has sent. It
// runs in the task.
func (g *Gateway) onEngineState(s *peerpb.EngineState, now time.Time) {
	d := g.state.dispatcher
	d.SetEngineState(s.GetEngineAddress(), s.GetPace(), s.GetOpen(), now)
	if d.Waiting() > 0 {
		g.deliver(d.DispatchWaiting(now))
	}
}

// onHeartbeat applies the load of another gateway, and pulls records from it that
// this gateway should have read from the store by now. It runs in the task.
func (g *Gateway) onHeartbeat(from *peer.Session, b *peerpb.DirectoryBeat, now time.Time) {
	m := g.state.members
	m.lastHeard[from.Hello.GetAddress()] = now
	for _, a := range b.GetGateways() {
		g.addMember(a)
	}
	g.state.dispatcher.SetGateways(m.countLive(now))
	loads := make(map[string]int, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		loads[l.GetServerId()] = int(l.GetRequests())
	}
	g.state.dispatcher.SetPeerLoad(from.Hello.GetId(), loads, now)
	next := [2]core.Position{
		{Era: b.GetOperatorEra(), Offset: b.GetOperatorNextOffset()},
		{Era: b.GetServersEra(), Offset: b.GetServersNextOffset()},
	}
	for t, theirs := range next {
		topic := core.Topic(t)
		g.seeEra(theirs.Era, from.Hello.GetId())
		ours := g.state.directory.Next(topic)
		// After a return of the store, a peer may have a configuration that the new era
		// lacks.
		newer := topic == core.TopicOperator && b.GetConfigVersion() > g.configVersion()
		if !ours.Before(theirs) && !newer {
			g.state.behindSince[t] = time.Time{}
			continue
		}
		if g.state.behindSince[t].IsZero() {
			g.state.behindSince[t] = now
		}
		delay := serversPullDelay
		if topic == core.TopicOperator {
			delay = operatorPullDelay
		}
		if now.Sub(g.state.behindSince[t]) >= delay {
			from.SendControl(&peerpb.Frame{Body: &peerpb.Frame_DirectoryPull{
				DirectoryPull: &peerpb.DirectoryPull{Topic: int32(t), FromOffset: ours.Offset, Era: ours.Era, Config: newer},
			}})
		}
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

// broadcastGroupView sends the group view to all rank agents if it has changed. It
// runs in the task.
func (g *Gateway) broadcastGroupView() {
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
	v := &peerpb.GroupView{Gateways: g.state.members.addresses()}
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
