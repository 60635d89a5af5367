package gateway

import (
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core/shutdown"
)

// drainPollInterval is the interval at which the number of requests in progress is
// checked during a planned stop.
const drainPollInterval = 20 * time.Millisecond

// errStopAborts is the cancellation cause of requests that a planned stop aborts.
const errStopAborts = errors.ConstError("planned stop aborts the request")

// drain keeps serving new requests that can end within the grace period. It then rejects
// all new requests and waits until those in progress have finished. It aborts the others
// at the end and waits until they are answered. It returns how much time is left for
// requests that arrive at the end.
func (g *Gateway) drain() (left time.Duration) {
	grace := g.cfg.Reloadable.Grace
	g.task.Do(func() { grace = g.state.reloadable.Grace })
	plan := shutdown.NewPlan(time.Now(), grace)
	g.stopPlan.Store(&plan)
	g.log.Info("gateway is leaving", zap.Int64("in_progress", g.inFlight.Load()), zap.Duration("grace", grace))
	time.Sleep(time.Until(plan.RejectAt()))
	g.awaitIdle(plan.AbortAt())
	if n := g.inFlight.Load(); n > 0 {
		g.log.Warn("grace period is over; aborting requests in progress", zap.Int64("in_progress", n))
	}
	g.abort()
	g.awaitIdle(plan.BreakOffAt())
	g.breakOff()
	g.awaitIdle(plan.CutAt())
	return max(0, time.Until(plan.CutAt()))
}

// awaitIdle waits until no request is in progress, or until a time.
func (g *Gateway) awaitIdle(until time.Time) {
	for g.inFlight.Load() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// stopping reports whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.stopPlan.Load() != nil }

// refuseIfStopping returns a refusal if a planned stop would abort a request that ends at
// its deadline.
func (g *Gateway) refuseIfStopping(deadline time.Time) *refusal {
	plan := g.stopPlan.Load()
	if plan == nil || plan.Accepts(time.Now(), deadline) {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "leaving", drainingRetryAfter}
}
