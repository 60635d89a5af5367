// Package process builds the tasks of a process from its settings, connects them,
// runs them, and stops them in order. There is one Run function for each role.
package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegnotch/core"
	"nutmegnotch/io/admin"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/hostlist"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/io/platformlog"
	"nutmegnotch/options"
)

// Timeouts of HTTP servers. adminCloseTimeout bounds the wait for audit records to be
// written at shutdown.
const (
	adminHeaderTimeout = 10 * time.Second
	adminCloseTimeout  = 2 * time.Second
)

// base holds the parts that entries and agents have in common.
type base struct {
	cfg      options.Settings
	logger   *zap.Logger
	self     *peerpb.Hello
	log      *platformlog.Client
	hosts    *hostlist.Client
	follower *configlog.Follower
	cancel   context.CancelFunc
	ctx      context.Context
	wg       *conc.WaitGroup
}

func newBase(cfg options.Settings, logger *zap.Logger) *base {
	logger = logger.With(zap.String("id", cfg.ID), zap.String("role", cfg.Role))
	b := &base{
		cfg:    cfg,
		logger: logger,
		self: &peerpb.Hello{
			Id:            cfg.ID,
			Role:          cfg.Role,
			Incarnation:   uuid.NewString(),
			Address:       cfg.Listen.PeerAdvertised,
			FailureDomain: cfg.FailureDomain,
			Region:        cfg.Region,
			Service:       cfg.Agent.Service,
			Deployment:    cfg.Deployment,
		},
		log:   platformlog.New(cfg.Log.Address, cfg.Log.Timeout.AsDuration()),
		hosts: hostlist.New(cfg.HostList.Address, cfg.HostList.Timeout.AsDuration()),
		wg:    conc.NewWaitGroup(),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	followerCfg := configlog.Config{
		Self:      cfg.EntryInfo(),
		Role:      cfg.Role,
		Log:       b.log,
		Retention: cfg.Log.Retention.AsDuration(),
		Logger:    logger,
	}
	if cfg.Role == core.RoleEntry {
		followerCfg.Hosts = b.hosts
	}
	b.follower = configlog.New(followerCfg)
	return b
}

// start starts to follow the configuration log and to serve peers and the
// administration API.
func (b *base) start(node *peer.Node, ready core.Readiness, report core.StatusReporter) error {
	peerListener, err := net.Listen("tcp", b.cfg.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	adminListener, err := net.Listen("tcp", b.cfg.Listen.Admin)
	if err != nil {
		peerListener.Close()
		return fmt.Errorf("listen for the administration API: %w", err)
	}
	b.wg.Go(func() { b.follower.Run(b.ctx, node) })
	b.wg.Go(func() {
		if err := node.Serve(peerListener); err != nil {
			b.logger.Error("peer server failed", zap.Error(err))
		}
	})
	b.wg.Go(func() { b.serveAdmin(adminListener, ready, report) })
	b.logger.Info("process started", zap.String("incarnation", b.self.Incarnation),
		zap.Stringer("peer_address", peerListener.Addr()), zap.Stringer("admin_address", adminListener.Addr()))
	return nil
}

func (b *base) serveAdmin(l net.Listener, ready core.Readiness, report core.StatusReporter) {
	api := admin.New(admin.Config{
		ID:                 b.cfg.ID,
		Configuration:      b.follower,
		Log:                b.log,
		Readiness:          ready,
		Status:             report,
		ReportInterval:     b.cfg.Reports.Interval.AsDuration(),
		BootstrapTokenHash: b.cfg.Entry.BootstrapTokenHash,
		Logger:             b.logger,
	})
	s := &http.Server{Handler: api, ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: zap.NewStdLog(b.logger)}
	stop := context.AfterFunc(b.ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && b.ctx.Err() == nil {
		b.logger.Error("administration server failed", zap.Error(err))
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	api.Close(ctx)
}

// stop ends everything that start started and closes the clients of the platform.
func (b *base) stop(node *peer.Node) {
	b.cancel()
	node.Stop()
	b.wg.Wait()
	b.log.Close()
	b.hosts.Close()
	b.logger.Info("process stopped")
}

// NewLogger returns a logger that writes JSON lines of this level and above to
// standard error.
func NewLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.EncoderConfig.TimeKey = "time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.DisableStacktrace = true
	logger, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return logger, nil
}
