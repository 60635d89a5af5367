package gateway

import (
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/ratelimit"
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
	Sends         int64   `json:"sends"`
}

func limitProcess(s core.BackendServer) ratelimit.Process {
	return ratelimit.Process{ServerID: s.ID, StartedUnixMS: s.StartedUnixMS}
}

// observeLimit applies what a reply says of the rate limit of its server. Only replies
// with a seal, and those that say that the request has not run, come from the server for
// sure. Among them, those without a seal may lack a limit that holds.
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
	g.task.Do(func() { g.applyLimit(s, time.Now()) })
}

// applyLimit applies a statement and logs what it changes. It runs in the task.
func (g *Gateway) applyLimit(s ratelimit.Statement, now time.Time) {
	fields := []zap.Field{zap.String("server", s.Process.ServerID), zap.Int64("server_started_ms", s.Process.StartedUnixMS), zap.String("source", s.Source)}
	switch g.state.dispatcher.Limits().State(s, now) {
	case ratelimit.ChangeNamed:
		g.hasLimits.Store(true)
		g.log.Info("server named a rate limit", append(fields, zap.Float64("per_second", s.Rate))...)
	case ratelimit.ChangeEnded:
		g.log.Info("server names no rate limit any more", fields...)
	case ratelimit.ChangeDropped:
		g.log.Warn("too many servers name rate limits; one is not heeded", fields...)
	}
}

// expireLimits ends the limits that no server has named for long, and publishes the others.
// It runs in the task.
func (g *Gateway) expireLimits(now time.Time) {
	if now.Sub(g.state.limitsAt) < limitsInterval {
		return
	}
	g.state.limitsAt = now
	for _, p := range g.state.dispatcher.Limits().Expire(now) {
		g.log.Info("rate limit of a server ended, since no reply has named it for long", zap.String("server", p.ServerID),
			zap.Int64("server_started_ms", p.StartedUnixMS), zap.Duration("allowed", ratelimit.MaxAge))
	}
	g.publishLimits(now)
}

func (g *Gateway) publishLimits(now time.Time) {
	list := []serverLimit{}
	logged := now.Sub(g.state.limitsLoggedAt) >= limitsLogInterval
	if logged {
		g.state.limitsLoggedAt = now
	}
	g.hasLimits.Store(false)
	for _, s := range g.state.dispatcher.Limits().Limits(now) {
		g.hasLimits.Store(true)
		list = append(list, serverLimit{s.Process.ServerID, s.Process.StartedUnixMS, s.Rate, s.Source, s.Age.Seconds(), s.Sends})
		if logged {
			g.log.Info("requests to a server with a rate limit", zap.String("server", s.Process.ServerID),
				zap.Float64("per_second", s.Rate), zap.Int64("sends", s.Sends), zap.Duration("age", s.Age))
		}
	}
	serverLimits.Store(&list)
}
