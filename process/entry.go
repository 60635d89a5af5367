package process

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
	"nutmegnotch/entry"
	"nutmegnotch/io/claimlog"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/credit"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/io/reportlog"
	"nutmegnotch/options"
)

// reportStopTimeout bounds the time to append the last reports to the log at shutdown.
const reportStopTimeout = 5 * time.Second

// entryProcess is a running entry with its connections to peers.
type entryProcess struct {
	*base
	node    *peer.Node
	role    *entry.Entry
	credit  *credit.Limiter
	batcher *claimlog.Batcher
	reports *reportlog.Reporter
}

// RunEntry runs an entry until ctx is done, then shuts it down gracefully. It may be
// called once in a process, since it publishes metrics.
func RunEntry(ctx context.Context, cfg options.Settings, logger *zap.Logger) error {
	p := &entryProcess{base: newBase(cfg, logger)}
	p.node = peer.New(peer.Config{
		Self: p.self,
		Handlers: map[peerpb.StreamKind]peer.Handler{
			peerpb.StreamKind_STREAM_KIND_CLAIM: func(ctx context.Context, s *peer.Stream) { p.batcher.ServeStream(ctx, s) },
			peerpb.StreamKind_STREAM_KIND_CREDIT: func(ctx context.Context, s *peer.Stream) {
				p.credit.ServeStream(ctx, s)
			},
		},
		OnControl:     p.handleControl,
		OnSessionUp:   func(s *peer.Session) { p.role.SessionUp(s) },
		OnSessionDown: func(s *peer.Session) { p.role.SessionDown(s) },
		Log:           p.logger,
	})
	p.credit = credit.New(credit.Config{Self: cfg.ID, Peers: p.node, Config: p.follower, Logger: p.logger})
	p.batcher = claimlog.NewBatcher(claimlog.BatcherConfig{
		Self:       cfg.ID,
		Log:        p.log,
		Config:     p.follower,
		Partitions: cfg.Claims.Partitions,
		Window:     cfg.Claims.Window.AsDuration(),
		Logger:     p.logger,
	})
	p.reports = reportlog.New(reportlog.Config{
		EntryID:     cfg.ID,
		Incarnation: p.self.Incarnation,
		Log:         p.log,
		Interval:    cfg.Reports.Interval.AsDuration(),
		Logger:      p.logger,
	})
	defer p.stopAll()
	if err := p.build(); err != nil {
		return err
	}
	if err := p.start(p.node, p, p); err != nil {
		return err
	}
	if err := p.role.Run(ctx); err != nil {
		return fmt.Errorf("run entry: %w", err)
	}
	return nil
}

func (p *entryProcess) build() error {
	role, err := entry.New(entry.Config{
		Self:             p.self,
		Address:          p.cfg.Listen.Caller,
		Source:           p.follower,
		Hosts:            p.hosts,
		Limiter:          creditLimiter{credit: p.credit},
		Retrier:          retry.NewBudgetWith(p.cfg.Entry.RetryBudget, float64(p.cfg.Entry.RetryBurst)),
		ReplyMemoryBytes: p.cfg.Entry.ReplyMemoryBytes,
		DrainDelay:       p.cfg.Entry.DrainDelay.AsDuration(),
		UploadTimeout:    p.cfg.Entry.UploadTimeout.AsDuration(),
		ClaimWindow:      p.cfg.Claims.Window.AsDuration(),
		Seed:             uint64(time.Now().UnixNano()),
		Reports:          p.reports,
		Log:              p.logger,
	})
	if err != nil {
		return fmt.Errorf("build entry: %w", err)
	}
	role.Attach(p.node)
	expvar.Publish("entry", role.Metrics())
	expvar.Publish("reports", p.reports.Metrics())
	p.role = role
	return nil
}

// stopAll stops the reports first, since they need the log client, and the credit and
// claim tasks last, since peers use them until the sessions are closed.
func (p *entryProcess) stopAll() {
	ctx, cancel := context.WithTimeout(context.Background(), reportStopTimeout)
	defer cancel()
	p.reports.Stop(ctx)
	p.stop(p.node)
	p.credit.Stop()
	p.batcher.Stop()
}

// handleControl passes a control frame to the follower or else to the entry.
func (p *entryProcess) handleControl(from *peer.Session, f *peerpb.Frame) {
	if !p.follower.Control(from, f) {
		p.role.Control(from, f)
	}
}

// Ready implements core.Readiness.
func (p *entryProcess) Ready() error {
	if !p.role.Ready() {
		return errors.New("entry is stopping or its configuration is not confirmed")
	}
	return nil
}

// entryStatus is the status of an entry in the administration API.
type entryStatus struct {
	Entry         entry.Status     `json:"entry"`
	Configuration configlog.Status `json:"configuration"`
}

// ReportStatus implements core.StatusReporter.
func (p *entryProcess) ReportStatus(ctx context.Context) any {
	return entryStatus{Entry: p.role.Status(), Configuration: p.follower.Status(ctx)}
}

// creditLimiter adapts a credit.Limiter to entry.Limiter. It acquires the cost of each
// request from the credit of its organisation.
type creditLimiter struct{ credit *credit.Limiter }

// Acquire implements entry.Limiter.
func (l creditLimiter) Acquire(ctx context.Context, c core.Contract, r core.Request) (func(), core.Refusal, bool) {
	return l.credit.Acquire(ctx, c.Organisation, core.CreditAmount{Requests: 1, Tokens: float64(r.Cost())})
}
