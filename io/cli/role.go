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

// runFunc runs an entry or an agent until ctx is done.
type runFunc func(context.Context, options.Settings, *zap.Logger) error

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

// serveRole runs an entry or an agent with the settings in a file until SIGTERM or
// SIGINT.
func serveRole(path, role string, run runFunc) error {
	cfg, err := options.Load(path)
	if err != nil {
		return &exitError{code: ExitBadInput, err: err}
	}
	if cfg.Role != role {
		return badInput("%s: role is %q, but this command requires %q", path, cfg.Role, role)
	}
	logger, err := process.NewLogger(cfg.LogLevel)
	if err != nil {
		return badInput("%s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, cfg, logger)
}

// runNodeFunc runs a gateway or a rank agent until ctx is done. Reloaded settings arrive
// on reloads.
type runNodeFunc func(ctx context.Context, cfg options.NodeSettings, reloads <-chan options.NodeSettings, logger *zap.Logger) error

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

// serveNode runs a gateway or a rank agent with the settings in a file until SIGTERM or
// SIGINT, and reloads the settings.
func serveNode(path, role string, run runNodeFunc) error {
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

// loadNode loads settings and checks that they are for this role.
func loadNode(path, role string) (options.NodeSettings, error) {
	cfg, err := options.LoadNode(path)
	if err != nil {
		return cfg, &exitError{code: ExitBadInput, err: err}
	}
	if cfg.Role != role {
		return cfg, badInput("%s: role is %q, but this command requires %q", path, cfg.Role, role)
	}
	return cfg, nil
}

// settingsPollInterval is the interval at which the settings file is checked for a
// change, which may come without SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed, and sends
// them to reloads. If the new settings are invalid, it logs the error and the process
// keeps the old ones.
func watchSettings(ctx context.Context, path, role string, hup <-chan os.Signal, reloads chan<- options.NodeSettings, logger *zap.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	loaded := readFileVersion(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if current := readFileVersion(path); current == loaded {
				continue
			}
		}
		loaded = readFileVersion(path)
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

// fileVersion changes when a file is written.
type fileVersion struct {
	modUnixNano int64
	size        int64
}

// readFileVersion returns the version of a file, or the zero value if the file cannot be
// read.
func readFileVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime().UnixNano(), info.Size()}
}
