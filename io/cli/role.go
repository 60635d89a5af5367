package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/stdout"
	"nutmegnotch/options"
	"nutmegnotch/process"
)

// runRole is what a long-running role does with its settings.
type runRole func(context.Context, options.Settings, *zap.Logger) error

type entryCommand struct {
	Settings string `required:"" type:"path" help:"Settings file (TOML)."`
}

// Run runs an entry until SIGTERM or SIGINT.
func (c entryCommand) Run() error { return serveRole(c.Settings, core.RoleEntry, process.RunEntry) }

type agentCommand struct {
	Settings string `required:"" type:"path" help:"Settings file (TOML)."`
}

// Run runs an agent until SIGTERM or SIGINT.
func (c agentCommand) Run() error { return serveRole(c.Settings, core.RoleAgent, process.RunAgent) }

func serveRole(path, role string, run runRole) error {
	cfg, err := options.Load(path)
	if err != nil {
		return &exitError{code: ExitBadInput, err: err}
	}
	if cfg.Role != role {
		return badInput("%s: role is %q, this command needs %q", path, cfg.Role, role)
	}
	logger, err := process.NewLogger(cfg.LogLevel)
	if err != nil {
		return badInput("%s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, cfg, logger)
}

// runNode is what a gateway or a rank agent does with its settings. Further
// settings come through reloads.
type runNode func(ctx context.Context, cfg options.NodeSettings, reloads <-chan options.NodeSettings, logger *zap.Logger) error

type gatewayCommand struct {
	Settings string `required:"" type:"path" env:"NUTMEGNOTCH_CONFIG" help:"Settings file (TOML)."`
}

// Run runs a gateway until SIGTERM or SIGINT.
func (c gatewayCommand) Run() error {
	return serveNode(c.Settings, core.RoleGateway, process.RunGateway)
}

type rankAgentCommand struct {
	Settings string `required:"" type:"path" env:"NUTMEGNOTCH_CONFIG" help:"Settings file (TOML)."`
}

// Run runs a rank agent until SIGTERM or SIGINT.
func (c rankAgentCommand) Run() error {
	return serveNode(c.Settings, core.RoleRankAgent, process.RunRankAgent)
}

func serveNode(path, role string, run runNode) error {
	cfg, err := loadNode(path, role)
	if err != nil {
		return err
	}
	logger, w, err := stdout.New(cfg.LogLevel)
	if err != nil {
		return badInput("%s: %w", path, err)
	}
	defer w.Close()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan options.NodeSettings)
	go watchSettings(ctx, path, role, hup, reloads, logger)
	return run(ctx, cfg, reloads, logger)
}

func loadNode(path, role string) (options.NodeSettings, error) {
	cfg, err := options.LoadNode(path)
	if err != nil {
		return cfg, &exitError{code: ExitBadInput, err: err}
	}
	if cfg.Role != role {
		return cfg, badInput("%s: role is %q, this command needs %q", path, cfg.Role, role)
	}
	return cfg, nil
}

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reads the settings again on SIGHUP and when the file has
// changed. Settings that cannot be read leave the old ones in force.
func watchSettings(ctx context.Context, path, role string, hup <-chan os.Signal, reloads chan<- options.NodeSettings, logger *zap.Logger) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if now := modified(path); now == seen {
				continue
			}
		}
		seen = modified(path)
		cfg, err := loadNode(path, role)
		if err != nil {
			logger.Error("settings were not reloaded", zap.Error(err))
			continue
		}
		select {
		case reloads <- cfg:
		case <-ctx.Done():
			return
		}
	}
}

// fileState tells versions of a file apart.
type fileState struct {
	modified int64
	size     int64
}

func modified(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.ModTime().UnixNano(), info.Size()}
}
