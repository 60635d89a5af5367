package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// observeServer applies what a reply of a server says of the server itself: that it
// leaves, that it wants no requests for a time or how many it takes. sent is when the
// request of the reply was sent.
func (g *Gateway) observeServer(server core.BackendServer, r core.ReplyFields, sent time.Time) {
	if r.Misdirected {
		// The reply comes from another server.
		return
	}
	if r.InvalidPause != "" {
		g.log.Info("server asked for a pause that cannot be used", zap.String("server", server.ID), zap.String("retry_after", r.InvalidPause))
	}
	if r.Leaving {
		g.serverLeaving(server)
	}
	if r.Pause > 0 {
		g.serverPaused(server, r.Pause)
	}
	g.observeLimit(server, r, sent)
}

// serverLeaving takes a server that has said that it leaves out of use, here and at the
// other gateways.
func (g *Gateway) serverLeaving(server core.BackendServer) {
	g.task.Do(func() {
		if g.markLeaving(server.ID, server.StartedUnixMS, sourceSelf) {
			g.node.Broadcast(core.RoleGateway, leavingFrame(server))
		}
	})
}

// markLeaving reports whether it was not known that the server leaves. It runs in the
// task.
func (g *Gateway) markLeaving(id string, startedUnixMS int64, source string) bool {
	now := time.Now()
	if g.state.directory.MarkLeaving(id, startedUnixMS, now) != directory.ChangeServers {
		return false
	}
	g.log.Info("server says that it leaves", zap.String("server", id), zap.Int64("server_started_ms", startedUnixMS), zap.String("source", source))
	g.serversChanged(now)
	return true
}

func leavingFrame(servers ...core.BackendServer) *peerpb.Frame {
	f := &peerpb.ServerStates{}
	for _, s := range servers {
		f.Leaving = append(f.Leaving, &peerpb.ServerProcess{ServerId: s.ID, StartedUnixMs: s.StartedUnixMS})
	}
	return &peerpb.Frame{Body: &peerpb.Frame_ServerStates{ServerStates: f}}
}

// sendLeaving tells a gateway that has connected of the servers that leave. The store
// may not know it.
func (g *Gateway) sendLeaving(to *peer.Session) {
	var f *peerpb.Frame
	g.task.Do(func() { f = leavingFrame(g.state.directory.Leaving()...) })
	if len(f.GetServerStates().GetLeaving()) > 0 {
		to.SendControl(f)
	}
}

// serverPaused stops requests to a server for a time. Other gateways prefer other
// servers meanwhile.
func (g *Gateway) serverPaused(server core.BackendServer, length time.Duration) {
	if length > dispatch.MaxPause {
		g.log.Info("server asked for a longer pause than allowed", zap.String("server", server.ID), zap.Duration("retry_after", length),
			zap.Duration("allowed", dispatch.MaxPause))
		length = dispatch.MaxPause
	}
	g.log.Info("server asked for a pause", zap.String("server", server.ID), zap.Int64("server_started_ms", server.StartedUnixMS),
		zap.Duration("pause", length))
	g.task.Do(func() {
		g.state.dispatcher.Pause(server.Service, server, length, time.Now())
		g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_ServerStates{ServerStates: &peerpb.ServerStates{
			Paused: []*peerpb.ServerPause{{ServerId: server.ID, Ms: uint32(min(length.Milliseconds(), math.MaxUint32))}},
		}}})
	})
}

// onServerStates applies what another gateway has heard from servers. It runs in the
// task.
func (g *Gateway) onServerStates(from *peer.Session, s *peerpb.ServerStates, now time.Time) {
	for _, p := range s.GetLeaving() {
		g.markLeaving(p.GetServerId(), p.GetStartedUnixMs(), from.Hello.GetId())
	}
	for _, p := range s.GetPaused() {
		g.state.dispatcher.PeerPaused(p.GetServerId(), time.Duration(p.GetMs())*time.Millisecond, now)
	}
	for _, l := range s.GetLimits() {
		st := limitStatement(l, now)
		if !st.Valid() {
			g.log.Warn("gateway passed on a rate limit that cannot be used", zap.String("peer", from.Hello.GetId()),
				zap.String("server", l.GetServerId()), zap.Float64("per_second", l.GetPerSecond()))
			continue
		}
		g.applyLimit(st, now)
	}
}
