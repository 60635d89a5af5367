package gateway

import (
	"time"

	"go.uber.org/zap"
)

// Times of a planned stop.
const (
	// noticeTime is how long new requests are still served: the balancer needs
	// two health checks, one a second, to leave the host out.
	noticeTime = 3500 * time.Millisecond
	// drainPoll is the time between two looks at the requests in progress.
	drainPoll = 20 * time.Millisecond
	// stopReserve is the part of the grace that is left for the end of the
	// process.
	stopReserve = 500 * time.Millisecond
)

// drain serves on for the notice time, then rejects new requests and waits for
// those in progress until the grace is over.
func (g *Gateway) drain() {
	begun := time.Now()
	g.leaving.Store(true)
	g.log.Info("gateway is leaving", zap.Int64("in_progress", g.inFlight.Load()))
	grace := g.cfg.Reloadable.Grace
	g.task.Do(func() { grace = g.state.tunable.Grace })
	time.Sleep(min(noticeTime, grace-2*stopReserve))
	g.refusing.Store(true)
	for g.inFlight.Load() > 0 && time.Since(begun) < grace-stopReserve {
		time.Sleep(drainPoll)
	}
	if n := g.inFlight.Load(); n > 0 {
		g.log.Warn("requests are cut off at the end of the grace", zap.Int64("in_progress", n))
	}
}
