package process

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"nutmegnotch/gateway"
	"nutmegnotch/options"
	"nutmegnotch/platform"
	"nutmegnotch/rankagent"
)

// Fractions of the memory that a process may use.
const (
	// softMemoryFraction sets the soft memory limit of the Go runtime, near which the
	// garbage collector runs more often.
	softMemoryFraction = 0.7
	// restMemoryFraction is left for what a gateway holds besides bodies, for which the
	// projection to the design size is 73 MB of 284 (docs/CAPACITY.md).
	restMemoryFraction = 0.3
	// bodyMemoryFraction bounds the request bodies that a gateway holds in memory. It is
	// half of what is left below the soft limit, since bodies of ended requests take as
	// much again until the garbage collector has run.
	bodyMemoryFraction = (softMemoryFraction - restMemoryFraction) / 2
	// replyMemoryFraction bounds the replies of servers that a gateway holds in memory,
	// beyond the first few KiB of each.
	replyMemoryFraction = 0.05
	bytesPerMB          = 1 << 20
)

// RunGateway runs a gateway until ctx is done, then shuts it down gracefully. Settings
// from reloads replace the reloadable ones of cfg.
func RunGateway(ctx context.Context, cfg options.NodeSettings, reloads <-chan options.NodeSettings, logger *zap.Logger) error {
	memory := float64(cfg.MemoryMB * bytesPerMB)
	debug.SetMemoryLimit(int64(softMemoryFraction * memory))
	store := platform.NewStoreClient(cfg.Store.Address, cfg.Store.Timeout.AsDuration())
	defer store.Close()
	g := gateway.New(gateway.Config{
		ID:               cfg.ID,
		Incarnation:      uuid.NewString(),
		FailureDomain:    cfg.FailureDomain,
		Region:           cfg.Region,
		Deployment:       cfg.Store.Address,
		CallerAddress:    cfg.Listen.Caller,
		ReadyAddress:     cfg.Listen.Ready,
		PeerAddress:      cfg.Listen.Peer,
		ServersInterval:  cfg.Store.ServersInterval.AsDuration(),
		Reloadable:       reloadableConfig(cfg),
		BodyMemoryBytes:  int64(bodyMemoryFraction * memory),
		ReplyMemoryBytes: int64(replyMemoryFraction * memory),
		Store:            store,
		Decoder:          platform.RecordDecoder{},
		Headers:          platform.Headers{},
		Logger:           logger,
	})
	stop := serveMetrics(cfg.Listen.Metrics, logger)
	defer stop()
	go applyReloads(ctx, reloads, func(n options.NodeSettings) { g.Reload(reloadableConfig(n)) })
	if err := g.Run(ctx); err != nil {
		return fmt.Errorf("run gateway: %w", err)
	}
	return nil
}

// reloadableConfig returns the settings that can change in a running gateway.
func reloadableConfig(cfg options.NodeSettings) gateway.ReloadableConfig {
	return gateway.ReloadableConfig{
		Seeds:       cfg.Seeds,
		RetryRatio:  cfg.Retry.Ratio,
		RetrySlack:  cfg.Retry.Slack,
		RetryWindow: cfg.Retry.Window.AsDuration(),
		Grace:       cfg.Grace.AsDuration(),
	}
}

// applyReloads calls apply with the settings of each reload until ctx is done.
func applyReloads(ctx context.Context, reloads <-chan options.NodeSettings, apply func(options.NodeSettings)) {
	for {
		select {
		case n := <-reloads:
			apply(n)
		case <-ctx.Done():
			return
		}
	}
}

// serveMetrics serves the metrics of the process as JSON. It does nothing if address
// is empty. stop closes the server.
func serveMetrics(address string, logger *zap.Logger) (stop func()) {
	if address == "" {
		return func() {}
	}
	s := &http.Server{Addr: address, Handler: expvar.Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.ListenAndServe(); err != nil && err != http.ErrServerClosed {
			logger.Error("metrics server failed", zap.Error(err))
		}
	}()
	return func() {
		s.Close()
		<-done
	}
}

// engineCallTimeout bounds a call to a model engine that has no timeout of its own.
const engineCallTimeout = time.Second

// bytesPerMbit converts the rate of a link from Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// RunRankAgent runs a rank agent until ctx is done. Settings from reloads replace the
// seeds of cfg.
func RunRankAgent(ctx context.Context, cfg options.NodeSettings, reloads <-chan options.NodeSettings, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(softMemoryFraction * float64(cfg.MemoryMB*bytesPerMB)))
	engine := platform.NewEngineClient(engineCallTimeout)
	defer engine.Close()
	a, err := rankagent.New(rankagent.Config{
		ID:            cfg.ID,
		Incarnation:   uuid.NewString(),
		FailureDomain: cfg.FailureDomain,
		Region:        cfg.Region,
		Deployment:    cfg.Store.Address,
		PeerAddress:   cfg.Listen.Peer,
		EngineAddress: cfg.Engine.Address,
		Gateways:      cfg.Seeds,
		LinkRate:      cfg.LinkMbps * bytesPerMbit,
		Engine:        engine,
		Logger:        logger,
	})
	if err != nil {
		return fmt.Errorf("build rank agent: %w", err)
	}
	stop := serveMetrics(cfg.Listen.Metrics, logger)
	defer stop()
	go applyReloads(ctx, reloads, func(n options.NodeSettings) { a.Reload(n.Seeds) })
	if err := a.Run(ctx); err != nil {
		return fmt.Errorf("run rank agent: %w", err)
	}
	return nil
}
