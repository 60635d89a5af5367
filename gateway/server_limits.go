package gateway

import (
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/ratelimit"
	"nutmegnotch/core/rendezvous"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Intervals at which the limits of servers are published in the metrics and logged.
const (
	limitsInterval    = time.Second
	limitsLogInterval = 10 * time.Second
)

// serverLimits are the limits of servers in the metrics. A process runs one gateway.
var serverLimits atomic.Pointer[[]serverLimit]

func init() {
	expvar.Publish("gateway_server_limits", expvar.Func(func() any { return serverLimits.Load() }))
}

// serverLimit is the limit of one server in the metrics.
type serverLimit struct {
	Server        string  `json:"server"`
	StartedUnixMS int64   `json:"server_started_ms"`
	PerSecond     float64 `json:"per_second"`
	Source        string  `json:"source"`
	AgeSeconds    float64 `json:"age_s"`
	Home          string  `json:"home"`
	Part          float64 `json:"part"`
	Sends         int64   `json:"sends"`
	Lent          int64   `json:"lent"`
	Denied        int64   `json:"denied"`
}

func limitProcess(s core.BackendServer) ratelimit.Process {
	return ratelimit.Process{ServerID: s.ID, StartedUnixMS: s.StartedUnixMS}
}

// observeLimit applies what a reply says of the rate limit of its server, and tells the
// other gateways. Only replies with a seal, and those that say that the request has not
// run, come from the server for sure. A reply without a seal may lack a limit that holds.
func (g *Gateway) observeLimit(server core.BackendServer, r core.ReplyFields, sent time.Time) {
	if !r.Sealed && !r.NotRun {
		return
	}
	if r.InvalidRateLimit != "" {
		g.log.Info("server named a rate limit that cannot be used", zap.String("server", server.ID), zap.String("limit", r.InvalidRateLimit))
		return
	}
	if !r.HasRateLimit && (!r.Sealed || !g.hasLimits.Load()) {
		return
	}
	s := ratelimit.Statement{Process: limitProcess(server), Rate: r.RateLimit, Named: r.HasRateLimit, Sent: sent, Source: g.cfg.ID}
	g.task.Do(func() {
		now := time.Now()
		if change := g.applyLimit(s, now); change != ratelimit.ChangeNone {
			g.node.Broadcast(core.RoleGateway, limitsFrame(now, s))
		}
	})
}

// applyLimit applies a statement and logs what it changes. It runs in the task.
func (g *Gateway) applyLimit(s ratelimit.Statement, now time.Time) ratelimit.Change {
	fields := []zap.Field{zap.String("server", s.Process.ServerID), zap.Int64("server_started_ms", s.Process.StartedUnixMS),
		zap.String("source", s.Source), zap.Duration("age", now.Sub(s.Sent))}
	change := g.state.dispatcher.Limits().State(s, now)
	switch change {
	case ratelimit.ChangeNamed:
		g.hasLimits.Store(true)
		g.log.Info("server named a rate limit", append(fields, zap.Float64("per_second", s.Rate))...)
		g.refreshLimitHomes(true, now)
	case ratelimit.ChangeEnded:
		g.log.Info("server names no rate limit any more", fields...)
		g.dispatchWaiting(now)
	case ratelimit.ChangeDropped:
		g.log.Warn("too many servers name rate limits; one is not heeded", fields...)
	}
	return change
}

// limitsFrame returns the message that passes on what servers have said of their limits.
func limitsFrame(now time.Time, statements ...ratelimit.Statement) *peerpb.Frame {
	f := &peerpb.ServerStates{}
	for _, s := range statements {
		f.Limits = append(f.Limits, &peerpb.ServerLimit{ServerId: s.Process.ServerID, StartedUnixMs: s.Process.StartedUnixMS,
			PerSecond: s.Rate, Ended: !s.Named, MsAgo: now.Sub(s.Sent).Milliseconds(), Source: s.Source})
	}
	return &peerpb.Frame{Body: &peerpb.Frame_ServerStates{ServerStates: f}}
}

func limitStatement(l *peerpb.ServerLimit, now time.Time) ratelimit.Statement {
	age := min(ratelimit.MaxAge, time.Duration(max(0, min(l.GetMsAgo(), ratelimit.MaxAge.Milliseconds())))*time.Millisecond)
	return ratelimit.Statement{Process: ratelimit.Process{ServerID: l.GetServerId(), StartedUnixMS: l.GetStartedUnixMs()},
		Rate: l.GetPerSecond(), Named: !l.GetEnded(), Sent: now.Add(-age), Source: l.GetSource()}
}

// sendLimits tells a gateway that has connected of the limits of servers.
func (g *Gateway) sendLimits(to *peer.Session) {
	var f *peerpb.Frame
	g.task.Do(func() {
		now := time.Now()
		f = limitsFrame(now, g.state.dispatcher.Limits().Statements()...)
	})
	if len(f.GetServerStates().GetLimits()) > 0 {
		to.SendControl(f)
	}
}

// checkLimits ends the limits of processes that have ended and those that no server has
// named for long, and publishes the others. It runs in the task.
func (g *Gateway) checkLimits(now time.Time) {
	if now.Sub(g.state.limitsAt) < limitsInterval {
		return
	}
	g.state.limitsAt = now
	limits := g.state.dispatcher.Limits()
	for _, p := range limits.Expire(now) {
		g.log.Info("rate limit of a server ended, since no reply has named it for long", zap.String("server", p.ServerID),
			zap.Int64("server_started_ms", p.StartedUnixMS), zap.Duration("allowed", ratelimit.MaxAge))
	}
	for _, s := range limits.Limits(now) {
		server := core.BackendServer{ID: s.Process.ServerID, StartedUnixMS: s.Process.StartedUnixMS}
		if g.state.directory.Process(server) == directory.ProcessReplaced {
			limits.End(s.Process)
			g.log.Info("rate limit ended with the process of its server", zap.String("server", server.ID), zap.Int64("server_started_ms", server.StartedUnixMS))
		}
	}
	g.publishLimits(limits.Limits(now), now)
}

// publishLimits publishes the limits in the metrics, and logs them at an interval.
func (g *Gateway) publishLimits(limits []ratelimit.Status, now time.Time) {
	logged := now.Sub(g.state.limitsLoggedAt) >= limitsLogInterval
	if logged {
		g.state.limitsLoggedAt = now
	}
	list := make([]serverLimit, 0, len(limits))
	for _, s := range limits {
		list = append(list, serverLimit{s.Process.ServerID, s.Process.StartedUnixMS, s.Rate, s.Source, s.Age.Seconds(), s.Home.Address, s.Home.Part, s.Sends, s.Lent, s.Denied})
		if logged {
			g.log.Info("requests to a server with a rate limit", zap.String("server", s.Process.ServerID), zap.Float64("per_second", s.Rate),
				zap.String("source", s.Source), zap.Duration("age", s.Age), zap.String("home", s.Home.Address), zap.Float64("part", s.Home.Part),
				zap.Int64("sends", s.Sends), zap.Int64("lent", s.Lent), zap.Int64("denied", s.Denied))
		}
	}
	g.hasLimits.Store(len(list) > 0)
	serverLimits.Store(&list)
}

// limitPart returns the part of a limit that a number of gateways which hear each other may
// use. The greater part of all of them may use the whole, others a part by their number, so
// that gateways that do not reach each other keep to at most one and a half of the limit.
func limitPart(reached, sharing int) float64 {
	if 2*reached > sharing {
		return 1
	}
	return float64(reached) / float64(sharing)
}

// refreshLimitHomes finds the home of each limit among the gateways that this one hears, or
// if onlyNew is set of those without one. It runs in the task.
func (g *Gateway) refreshLimitHomes(onlyNew bool, now time.Time) {
	if !g.hasLimits.Load() {
		return
	}
	m := g.state.members
	addresses, sharing := m.reached(now, g.startedAt)
	if len(addresses) == 0 {
		return
	}
	part := limitPart(len(addresses), sharing)
	limits := g.state.dispatcher.Limits()
	for _, s := range limits.Limits(now) {
		if onlyNew && s.Home.Part > 0 {
			continue
		}
		address := rendezvous.TopIDs(s.Process.ServerID, addresses, 1)[0]
		h := ratelimit.Home{Address: address, Self: address == m.self, Part: part}
		if h == s.Home {
			continue
		}
		limits.SetHome(s.Process, h)
		g.log.Info("home of a rate limit changed", zap.String("server", s.Process.ServerID), zap.String("home", h.Address),
			zap.String("before", s.Home.Address), zap.Float64("part", h.Part), zap.Int("reached", len(addresses)), zap.Int("sharing", sharing))
	}
}

// askPermits asks the homes of limits for the permits that are wanted. It runs in the task.
func (g *Gateway) askPermits(now time.Time) {
	asks := g.state.dispatcher.Limits().Asks(now)
	if len(asks) == 0 {
		return
	}
	byHome := map[string]*peerpb.Permits{}
	for _, a := range asks {
		f := byHome[a.Home]
		if f == nil {
			f = &peerpb.Permits{}
			byHome[a.Home] = f
		}
		f.Requests = append(f.Requests, &peerpb.PermitRequest{ServerId: a.Process.ServerID, StartedUnixMs: a.Process.StartedUnixMS, Seq: a.Seq, Count: uint32(a.Count)})
	}
	for home, f := range byHome {
		if s := g.node.Session(g.state.members.ids[home]); s != nil {
			s.SendControl(&peerpb.Frame{Body: &peerpb.Frame_Permits{Permits: f}})
		}
	}
}

// onPermits answers questions for permits and applies the answers to own ones. It runs in
// the task.
func (g *Gateway) onPermits(from *peer.Session, p *peerpb.Permits, now time.Time) {
	limits := g.state.dispatcher.Limits()
	answer := &peerpb.Permits{}
	for _, r := range p.GetRequests() {
		n, wait := limits.Lend(ratelimit.Process{ServerID: r.GetServerId(), StartedUnixMS: r.GetStartedUnixMs()}, int(r.GetCount()), now)
		answer.Grants = append(answer.Grants, &peerpb.PermitGrant{ServerId: r.GetServerId(), StartedUnixMs: r.GetStartedUnixMs(), Seq: r.GetSeq(),
			Count: uint32(n), WaitMs: uint32(wait.Milliseconds())})
	}
	if len(answer.Grants) > 0 {
		from.SendControl(&peerpb.Frame{Body: &peerpb.Frame_Permits{Permits: answer}})
	}
	for _, a := range p.GetGrants() {
		limits.Granted(ratelimit.Process{ServerID: a.GetServerId(), StartedUnixMS: a.GetStartedUnixMs()}, a.GetSeq(), int(a.GetCount()),
			time.Duration(a.GetWaitMs())*time.Millisecond, now)
	}
	if len(p.GetGrants()) > 0 {
		g.dispatchWaiting(now)
	}
}
