package options

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"nutmegnotch/core"
)

// Allowed ranges of the settings of gateways and rank agents.
const (
	maxGracePeriod  = 10 * time.Minute
	minGracePeriod  = 2 * time.Second
	minReadInterval = 50 * time.Millisecond
	maxReadInterval = 10 * time.Second
	minMemoryMB     = 64
	maxMemoryMB     = 1 << 20
	minLinkMbps     = 0.1
	maxLinkMbps     = 1e6
	maxRetryRatio   = 10
	maxRetrySlack   = 1_000_000
)

// NodeSettings holds the settings of a gateway or a rank agent.
type NodeSettings struct {
	ID            string `toml:"id"`
	Role          string `toml:"role"`
	FailureDomain string `toml:"failure_domain"`
	Region        string `toml:"region"`
	LogLevel      string `toml:"log_level"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int64 `toml:"memory_mb"`
	// LinkMbps is the rate of the network link of a rank agent's host, in Mbit/s.
	LinkMbps float64 `toml:"link_mbps"`
	// Grace bounds the time from SIGTERM to the end of the process.
	Grace Duration `toml:"grace"`
	// Seeds are peer addresses of gateways. They may be stale.
	Seeds []string `toml:"seeds"`

	Listen NodeListen `toml:"listen"`
	Store  NodeStore  `toml:"store"`
	Retry  NodeRetry  `toml:"retry"`
	Engine NodeEngine `toml:"engine"`
}

// NodeListen holds the addresses that the process listens on. Caller and Ready are
// for gateways only; Ready serves health checks.
type NodeListen struct {
	Caller  string `toml:"caller"`
	Ready   string `toml:"ready"`
	Peer    string `toml:"peer"`
	Metrics string `toml:"metrics"`
}

// NodeStore configures access to the platform's store.
type NodeStore struct {
	Address string   `toml:"address"`
	Timeout Duration `toml:"timeout"`
	// ServersInterval is the interval at which the list of backend servers is read.
	ServersInterval Duration `toml:"servers_interval"`
}

// NodeRetry configures the retry budget that all gateways share. In each Window, a
// service may have Ratio times its requests, plus Slack, as retries.
type NodeRetry struct {
	Ratio  float64  `toml:"ratio"`
	Slack  float64  `toml:"slack"`
	Window Duration `toml:"window"`
}

// NodeEngine configures the model engine on the host of a rank agent.
type NodeEngine struct {
	Address string `toml:"address"`
}

// DefaultNodeSettings returns the default settings.
func DefaultNodeSettings() NodeSettings {
	return NodeSettings{
		LogLevel: "info",
		MemoryMB: 256,
		LinkMbps: 8,
		Grace:    newDuration(8 * time.Second),
		Store:    NodeStore{Timeout: newDuration(time.Second), ServersInterval: newDuration(700 * time.Millisecond)},
		Retry:    NodeRetry{Ratio: 0.1, Slack: 10, Window: newDuration(10 * time.Second)},
	}
}

// LoadNode reads and validates the settings file of a gateway or a rank agent. The
// error wraps core.ErrInvalid, also if the file cannot be read.
func LoadNode(path string) (NodeSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return NodeSettings{}, fmt.Errorf("read settings: %w: %w", err, core.ErrInvalid)
	}
	return ParseNode(path, data)
}

// ParseNode decodes and validates the settings of a gateway or a rank agent. name
// is the file name that errors start with. The error joins all errors that were
// found and wraps core.ErrInvalid.
func ParseNode(name string, data []byte) (NodeSettings, error) {
	if len(data) > maxSettingsFileBytes {
		return NodeSettings{}, fmt.Errorf("%s: file has %d bytes, at most %d are allowed: %w", name, len(data), maxSettingsFileBytes, core.ErrInvalid)
	}
	n := DefaultNodeSettings()
	d := toml.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return NodeSettings{}, decodeError(name, data, err)
	}
	c := &checker{file: name, positions: keyPositions(data)}
	c.checkNode(n)
	if len(c.errs) > 0 {
		return NodeSettings{}, fmt.Errorf("%w: %w", errors.Join(c.errs...), core.ErrInvalid)
	}
	return n, nil
}

func (c *checker) checkNode(n NodeSettings) {
	c.name("id", n.ID)
	c.oneOf("role", n.Role, core.RoleGateway, core.RoleRankAgent)
	c.name("failure_domain", n.FailureDomain)
	c.oneOf("log_level", n.LogLevel, "debug", "info", "warn", "error")
	c.integer("memory_mb", n.MemoryMB, minMemoryMB, maxMemoryMB)
	c.duration("grace", n.Grace, minGracePeriod, maxGracePeriod)
	for _, s := range n.Seeds {
		c.dialAddress("seeds", s)
	}
	c.dialAddress("listen.peer", n.Listen.Peer)
	if n.Listen.Metrics != "" {
		c.listenAddress("listen.metrics", n.Listen.Metrics)
	}
	if n.Role == core.RoleRankAgent {
		if !(n.LinkMbps >= minLinkMbps && n.LinkMbps <= maxLinkMbps) {
			c.addError("link_mbps", n.LinkMbps, fmt.Sprintf("%v to %d", minLinkMbps, int(maxLinkMbps)))
		}
		c.dialAddress("engine.address", n.Engine.Address)
		c.rejectKeys("listen.caller", "it is for gateways only")
		c.rejectKeys("listen.ready", "it is for gateways only")
		return
	}
	c.listenAddress("listen.caller", n.Listen.Caller)
	c.listenAddress("listen.ready", n.Listen.Ready)
	c.dialAddress("store.address", n.Store.Address)
	c.duration("store.timeout", n.Store.Timeout, minReadInterval, maxTimeout)
	c.duration("store.servers_interval", n.Store.ServersInterval, minReadInterval, maxReadInterval)
	c.duration("retry.window", n.Retry.Window, time.Second, maxTimeout)
	if n.Retry.Ratio < 0 || n.Retry.Ratio > maxRetryRatio {
		c.addError("retry.ratio", n.Retry.Ratio, fmt.Sprintf("0 to %d", maxRetryRatio))
	}
	if n.Retry.Slack < 0 || n.Retry.Slack > maxRetrySlack {
		c.addError("retry.slack", n.Retry.Slack, fmt.Sprintf("0 to %d", maxRetrySlack))
	}
	c.rejectKeys("engine", "it is for rank agents only")
	c.rejectKeys("link_mbps", "it is for rank agents only")
}
