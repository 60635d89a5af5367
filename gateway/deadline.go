package gateway

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// deadline returns when a request ends: at the longest timeout of its route that was in force
// since it arrived, and no later than its caller stops waiting. It moves when a version with a
// longer timeout comes into force. It is safe for concurrent use.
func (c *call) deadline() time.Time {
	admitted := c.within(c.route.Timeout)
	snap := c.gateway.currentConfig.Load()
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	longest := c.within(snap.timeouts.Longest(c.route, c.r.Host, path, c.arrived))
	if plan := c.gateway.stopPlan.Load(); plan != nil {
		longest = plan.Extend(admitted, longest)
	}
	return longest
}

// within returns when a timeout ends, or the deadline of the caller if that is earlier. A
// timeout of 0 is none.
func (c *call) within(timeout time.Duration) time.Time {
	if at := c.arrived.Add(timeout); timeout > 0 && at.Before(c.callerDeadline) {
		return at
	}
	return c.callerDeadline
}

// outOfTime reports whether the deadline of a request has passed, or too little time is left
// for a send.
func (a *attempts) outOfTime() bool {
	return errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) || time.Until(a.deadline()) < minSendTimeLeft
}

// expiry calls a function at the deadline of a request, which may move. Callers must call
// stop.
type expiry struct {
	at      func() time.Time
	expired func()
	// mu guards stopped, and prevents that stop returns while expired runs.
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// expire calls expired when the time that at returns has come.
func expire(at func() time.Time, expired func()) *expiry {
	e := &expiry{at: at, expired: expired}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer = time.AfterFunc(time.Until(at()), e.fire)
	return e
}

func (e *expiry) fire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	if left := time.Until(e.at()); left > 0 {
		e.timer.Reset(left)
		return
	}
	e.expired()
}

// stop prevents further calls of expired. It waits for one in progress.
func (e *expiry) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.timer.Stop()
}

// logExtended logs and counts a request that has ended later than its timeout at its arrival.
func (g *Gateway) logExtended(c *call) {
	admitted := c.within(c.route.Timeout)
	if now := time.Now(); c.route.Timeout > 0 && now.After(admitted) && c.deadline().After(admitted) {
		extendedRequests.Add(1)
		g.log.Info("a raised timeout kept a request in progress", zap.String("request_id", c.id()), zap.String("route", c.route.Name),
			zap.Duration("timeout", c.route.Timeout), zap.Int64("version", c.version), zap.Int64("current_version", g.currentConfig.Load().deployment.Version),
			zap.Duration("held", now.Sub(c.arrived)))
	}
}

// setConfig makes a deployment the configuration in force. It runs in the task.
func (g *Gateway) setConfig(dep *core.Deployment) {
	next := &configSnapshot{deployment: dep, routes: directory.NewRoutes(dep)}
	var timeouts *directory.Timeouts
	if old := g.currentConfig.Load(); old != nil {
		timeouts = old.timeouts
	}
	next.timeouts = timeouts.Next(dep, next.routes, time.Now())
	g.currentConfig.Store(next)
}
