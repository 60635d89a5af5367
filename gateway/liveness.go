package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/retry"
	"nutmegnotch/io/backend"
)

// Limits of liveness checks.
const (
	livenessTimeout = 100 * time.Millisecond
	// silentServersInterval is the interval at which servers that did not answer are
	// checked again.
	silentServersInterval = time.Second
	// maxLivenessChecks bounds the checks that run at the same time, and
	// maxQueuedLivenessChecks those that wait.
	maxLivenessChecks       = 16
	maxQueuedLivenessChecks = 1024
	// maxProbesPerCheck bounds the connection attempts of one check, while runs go on
	// breaking off at its server.
	maxProbesPerCheck = 4
)

// livenessCheck asks whether a server's process has ended after a run broke off
// there. done is closed when the answer has been applied.
type livenessCheck struct {
	server core.BackendServer
	done   chan struct{}
}

// runBroke records that a run broke off before its reply was complete, and checks
// whether the server has ended, as checkEnded does.
func (g *Gateway) runBroke(a *attempts, server core.BackendServer, wait bool) {
	quarantineEvents.Add("broken_runs", 1)
	g.checkEnded(a, server, wait)
}

// checkEnded checks whether a server has ended during a run that broke off or may have.
// If wait is set, it waits for the result, so that the next attempt takes it into
// account.
func (g *Gateway) checkEnded(a *attempts, server core.BackendServer, wait bool) {
	undecided := false
	g.task.Do(func() { undecided = g.trackBrokenRun(a, server, time.Now()) })
	if !undecided {
		return
	}
	check := livenessCheck{server, make(chan struct{})}
	select {
	case g.livenessChecks <- check:
	default:
		quarantineEvents.Add("liveness_checks_dropped", 1)
		return
	}
	if !wait {
		return
	}
	select {
	case <-check.done:
	case <-a.ctx.Done():
	}
}

// trackBrokenRun reports whether a connection attempt is needed to find out whether
// a server has ended. It runs in the task.
func (g *Gateway) trackBrokenRun(a *attempts, server core.BackendServer, now time.Time) bool {
	evidence := ""
	switch g.state.directory.Process(server) {
	case directory.ProcessLeaving:
		// It ends as planned.
		return false
	case directory.ProcessReplaced:
		evidence = "new_process"
	}
	if g.state.quarantine.HasEndedSince(retry.ProcessID(server), a.sentAt) {
		evidence = "report"
	}
	if evidence != "" {
		g.serversEnded(a.keys.Crashes(retry.ProcessID(server), a.sentAt, now), evidence)
		return false
	}
	g.hasCrashes.Store(true)
	if !g.state.brokenRuns.Add(server, a.keys, a.answerBegun, a.sentAt, now) {
		quarantineEvents.Add("broken_runs_dropped", 1)
		return false
	}
	return true
}

// checkLiveness serves liveness checks until ctx is done.
func (g *Gateway) checkLiveness(ctx context.Context) {
	var flights singleflight.Group
	p := pool.New().WithMaxGoroutines(maxLivenessChecks)
	defer p.Wait()
	t := time.NewTicker(silentServersInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.recheckSilentServers()
		case c := <-g.livenessChecks:
			p.Go(func() {
				defer close(c.done)
				_, _, _ = flights.Do(retry.ProcessID(c.server), func() (any, error) {
					for range maxProbesPerCheck {
						if !g.probe(ctx, c.server) {
							break
						}
					}
					return nil, nil
				})
			})
		}
	}
}

// recheckSilentServers queues checks of the servers that did not answer the last one.
func (g *Gateway) recheckSilentServers() {
	var servers []core.BackendServer
	g.task.Do(func() { servers = g.state.brokenRuns.SilentServers() })
	for _, s := range servers {
		select {
		case g.livenessChecks <- livenessCheck{s, make(chan struct{})}:
		default:
			quarantineEvents.Add("liveness_checks_dropped", 1)
		}
	}
}

// probe applies what a connection attempt tells about a server's process. It reports
// whether runs broke off there meanwhile, which need another attempt.
func (g *Gateway) probe(ctx context.Context, server core.BackendServer) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	begun := time.Now()
	result := g.client.Probe(ctx, server)
	g.log.Info("server checked after a broken run", zap.String("server", server.ID),
		zap.Int64("server_started_ms", server.StartedUnixMS), zap.Stringer("result", result))
	g.task.Do(func() {
		switch result {
		case backend.LivenessAccepts:
			again = g.state.brokenRuns.Alive(retry.ProcessID(server), begun)
		case backend.LivenessUnknown:
			g.state.brokenRuns.Silent(retry.ProcessID(server))
		case backend.LivenessRefuses:
			g.serversEnded(g.state.brokenRuns.Ended(retry.ProcessID(server), time.Now()), "connection_refused")
		}
	})
	return again
}

// checkRegistered counts the broken runs at processes that newer ones have replaced.
// It runs in the task.
func (g *Gateway) checkRegistered(now time.Time) {
	if g.state.brokenRuns.Len() == 0 {
		return
	}
	for _, s := range g.state.directory.Servers() {
		if !s.Replaced {
			g.serversEnded(g.state.brokenRuns.Registered(s.BackendServer, now), "new_process")
		}
	}
}
