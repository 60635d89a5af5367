package gateway

import (
	"time"

	"go.uber.org/zap"
)

// Times of a planned stop.
const (
	// drainDelay is how long new requests are still served: the balancer needs
	// two health checks, one a second, to leave the host out.
	drainDelay = 3500 * time.Millisecond
	// drainPollInterval is the time between two looks at the requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// shutdownReserve is the part of the grace that is left for the end of the
	// process.
	shutdownReserve = 500 * time.Millisecond
)

// drain serves on for the notice time, then rejects new requests and waits for
// those in progress until the grace is over.
func (g *Gateway) drain() {
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
		g.log.Warn("requests are cut off at the end of the grace", zap.Int64("in_progress", n))
	}
}
