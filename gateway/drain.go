package gateway

import (
	"time"

	"go.uber.org/zap"
)

// Timing of a planned shutdown.
const (
	// drainDelay is how long new requests are still served after health checks
	// start to fail. The load balancer removes a host after two failed checks, and
	// checks once a second.
	drainDelay = 3500 * time.Millisecond
	// drainPollInterval is the interval at which the number of requests in
	// progress is checked.
	drainPollInterval = 20 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for closing
	// connections and ending the process.
	shutdownReserve = 500 * time.Millisecond
)

// drain keeps serving new requests for the drain delay. It then rejects new
// requests and waits until those in progress have finished or the grace period
// is over. It returns how much of it is left for requests that arrive at the end.
func (g *Gateway) drain() (left time.Duration) {
	started := time.Now()
	g.draining.Store(true)
	g.log.Info("gateway is leaving", zap.Int64("in_progress", g.inFlight.Load()))
	grace := g.cfg.Reloadable.Grace
	g.task.Do(func() { grace = g.state.reloadable.Grace })
	time.Sleep(min(drainDelay, grace-2*shutdownReserve))
	g.rejecting.Store(true)
	for g.inFlight.Load() > 0 && time.Since(started) < grace-shutdownReserve {
		time.Sleep(drainPollInterval)
	}
	if n := g.inFlight.Load(); n > 0 {
		g.log.Warn("grace period is over; aborting requests in progress", zap.Int64("in_progress", n))
	}
	return max(0, grace-shutdownReserve-time.Since(started))
}
