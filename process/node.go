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

// Shares of the memory that a process may use.
const (
	// softMemoryShare is where the garbage collector works harder.
	softMemoryShare = 0.7
	// bodyMemoryShare bounds the request bodies that a gateway holds.
	bodyMemoryShare = 0.2
	megabyte        = 1 << 20
)

// RunGateway runs a gateway until ctx ends.
func RunGateway(ctx context.Context, cfg options.NodeSettings, reloads <-chan options.NodeSettings, logger *zap.Logger) error {
	memory := float64(cfg.MemoryMB * megabyte)
	debug.SetMemoryLimit(int64(softMemoryShare * memory))
	store := platform.NewStoreClient(cfg.Store.Address, cfg.Store.Timeout.AsDuration())
	defer store.Close()
	g := gateway.New(gateway.Config{
		ID:              cfg.ID,
		Incarnation:     uuid.NewString(),
		FailureDomain:   cfg.FailureDomain,
		Region:          cfg.Region,
		Deployment:      cfg.Store.Address,
		CallerAddress:   cfg.Listen.Caller,
		ReadyAddress:    cfg.Listen.Ready,
		PeerAddress:     cfg.Listen.Peer,
		ServersInterval: cfg.Store.ServersInterval.AsDuration(),
		Reloadable:      tunable(cfg),
		BodyMemoryBytes: int64(bodyMemoryShare * memory),
		Store:           store,
		Decoder:         platform.RecordDecoder{},
		Headers:         platform.Headers{},
		Logger:          logger,
	})
	stop := serveMetrics(cfg.Listen.Metrics, logger)
	defer stop()
	go reload(ctx, reloads, func(n options.NodeSettings) { g.Reload(tunable(n)) })
	if err := g.Run(ctx); err != nil {
		return fmt.Errorf("run gateway: %w", err)
	}
	return nil
}

// tunable returns the settings that a running gateway takes over.
func tunable(cfg options.NodeSettings) gateway.ReloadableConfig {
	return gateway.ReloadableConfig{
		Seeds:       cfg.Seeds,
		RetryRatio:  cfg.Retry.Ratio,
		RetrySlack:  cfg.Retry.Slack,
		RetryWindow: cfg.Retry.Window.AsDuration(),
		Grace:       cfg.Grace.AsDuration(),
	}
}

// reload hands changed settings to a running process.
func reload(ctx context.Context, reloads <-chan options.NodeSettings, apply func(options.NodeSettings)) {
	for {
		select {
		case n := <-reloads:
			apply(n)
		case <-ctx.Done():
			return
		}
	}
}

// serveMetrics serves the process's metrics as JSON when an address is set.
func serveMetrics(address string, logger *zap.Logger) (stop func()) {
	if address == "" {
		return func() {}
	}
	s := &http.Server{Addr: address, Handler: expvar.Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.ListenAndServe(); err != nil && err != http.ErrServerClosed {
			logger.Error("serving metrics ended", zap.Error(err))
		}
	}()
	return func() {
		s.Close()
		<-done
	}
}

// engineCallTimeout bounds a call to a model engine that states no time itself.
const engineCallTimeout = time.Second

// RunRankAgent runs a rank agent until ctx ends.
func RunRankAgent(ctx context.Context, cfg options.NodeSettings, reloads <-chan options.NodeSettings, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(softMemoryShare * float64(cfg.MemoryMB*megabyte)))
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
		Engine:        engine,
		Logger:        logger,
	})
	if err != nil {
		return fmt.Errorf("make rank agent: %w", err)
	}
	stop := serveMetrics(cfg.Listen.Metrics, logger)
	defer stop()
	go reload(ctx, reloads, func(n options.NodeSettings) { a.Reload(n.Seeds) })
	if err := a.Run(ctx); err != nil {
		return fmt.Errorf("run rank agent: %w", err)
	}
	return nil
}
