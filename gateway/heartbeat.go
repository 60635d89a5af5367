package gateway

import (
	"context"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// sendHeartbeats periodically sends the known offsets and the load of this gateway
// to the other gateways.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	t := time.NewTimer(minHeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var interval time.Duration
		if !g.task.Do(func() { interval = g.sendHeartbeat(time.Now()) }) {
			return
		}
		t.Reset(interval)
	}
}

// sendHeartbeat sends a heartbeat and returns the time until the next one. It runs in
// the task.
func (g *Gateway) sendHeartbeat(now time.Time) time.Duration {
	m := g.state.members
	interval := heartbeatInterval(m.countLive(now))
	g.state.dispatcher.SetReportInterval(interval)
	m.activeAge = max(minActiveAge, activeIntervals*interval)
	g.activeGateways.Store(int64(m.countHeard(now, m.activeAge)))
	g.refreshLimitHomes(false, now)
	withMembers := m.changed || now.Sub(g.state.membersSentAt) >= membersRepeatInterval
	if withMembers {
		m.changed, g.state.membersSentAt = false, now
		g.state.groupViewDue = true
	}
	g.node.Broadcast(core.RoleGateway, g.heartbeatFrame(withMembers))
	return interval
}

// heartbeatFrame returns the heartbeat to send, with the addresses of gateways if
// withMembers is set. It runs in the task.
func (g *Gateway) heartbeatFrame(withMembers bool) *peerpb.Frame {
	d := g.state.directory
	b := &peerpb.DirectoryBeat{
		OperatorNextOffset: d.Next(core.TopicOperator).Offset,
		OperatorEra:        d.Next(core.TopicOperator).Era,
		ServersNextOffset:  d.Next(core.TopicServers).Offset,
		ServersEra:         d.Next(core.TopicServers).Era,
		ConfigVersion:      g.configVersion(),
	}
	if at := d.AnsweredAt(); !at.IsZero() {
		b.ServersReadAgeMs = uint32(max(1, time.Since(at).Milliseconds()))
	}
	if withMembers {
		b.Gateways = g.state.members.addresses(time.Now())
	}
	for id, n := range g.state.dispatcher.LocalLoad() {
		b.Loads = append(b.Loads, &peerpb.ServerLoad{ServerId: id, Requests: uint32(n)})
	}
	return &peerpb.Frame{Body: &peerpb.Frame_DirectoryBeat{DirectoryBeat: b}}
}

// onHeartbeat applies the load of another gateway, and pulls records from it that
// this gateway should have read from the store by now. It runs in the task.
func (g *Gateway) onHeartbeat(from *peer.Session, b *peerpb.DirectoryBeat, now time.Time) {
	m := g.state.members
	m.heard(from.Hello.GetAddress(), now)
	if _, ok := m.known[from.Hello.GetAddress()]; ok {
		m.ids[from.Hello.GetAddress()] = from.Hello.GetId()
	}
	for _, a := range b.GetGateways() {
		g.addMember(a)
	}
	if age := b.GetServersReadAgeMs(); age > 0 {
		g.state.directory.OtherAnswered(now.Add(-time.Duration(age) * time.Millisecond))
	}
	if len(b.GetGateways()) > 0 {
		m.introduced, m.told = true, true
	}
	g.updateSharers(now)
	loads := make(map[string]int, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		loads[l.GetServerId()] = int(l.GetRequests())
	}
	g.state.dispatcher.SetPeerLoad(from.Hello.GetId(), loads, now)
	next := [2]core.Position{
		{Era: b.GetOperatorEra(), Offset: b.GetOperatorNextOffset()},
		{Era: b.GetServersEra(), Offset: b.GetServersNextOffset()},
	}
	// After a return of the store, a peer may have a configuration that the new era
	// lacks.
	configLag := g.state.configLag.Observe(core.Position{Offset: g.configVersion()}, core.Position{Offset: b.GetConfigVersion()}, now)
	for t, theirs := range next {
		topic := core.Topic(t)
		g.seeEra(theirs.Era, from.Hello.GetId())
		ours := g.state.directory.Next(topic)
		lag := g.state.lags[t].Observe(ours, theirs, now)
		newer := topic == core.TopicOperator && b.GetConfigVersion() > g.configVersion()
		if newer {
			lag = max(lag, configLag)
		}
		if lag < g.pullDelay(topic, from) || !ours.Before(theirs) && !newer || now.Sub(g.state.pulledAt[t]) < minPullInterval {
			continue
		}
		g.state.pulledAt[t] = now
		from.SendControl(&peerpb.Frame{Body: &peerpb.Frame_DirectoryPull{
			DirectoryPull: &peerpb.DirectoryPull{Topic: int32(t), FromOffset: ours.Offset, Era: ours.Era, Config: newer},
		}})
	}
}
