package options

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"nutmegnotch/core"
)

// Allowed ranges of settings.
const (
	minLogRetention = time.Second
	maxLogRetention = 366 * 24 * time.Hour
	maxTimeout      = time.Minute
	maxDrainTimeout = 24 * time.Hour
	// minReportInterval keeps the append rate of many entries below the limit of the
	// log service.
	minReportInterval   = time.Second
	maxReportInterval   = 10 * time.Minute
	maxPartitions       = 100
	minReplyMemoryBytes = 64 << 10
	maxReplyMemoryBytes = 1 << 40
	maxRetryBurst       = 100_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker validates settings and collects the errors.
type checker struct {
	file      string
	positions map[string]keyPosition
	errs      []error
}

// addError adds an error about the value of a key. If the key is in the file, the
// error has its line and the text of its value. Otherwise value is reported as
// missing or as the default.
func (c *checker) addError(key string, value any, allowed string) {
	if p, ok := c.positions[key]; ok {
		c.errs = append(c.errs, fmt.Errorf("%s:%d: key %q has the value %s, allowed: %s", c.file, p.line, key, p.value, allowed))
		return
	}
	if s, ok := value.(string); ok && s == "" {
		c.errs = append(c.errs, fmt.Errorf("%s: key %q is missing, allowed: %s", c.file, key, allowed))
		return
	}
	c.errs = append(c.errs, fmt.Errorf("%s: key %q has the default value %v, allowed: %s", c.file, key, value, allowed))
}

func (c *checker) name(key, v string) {
	if !namePattern.MatchString(v) {
		c.addError(key, v, "a name that matches "+namePattern.String())
	}
}

func (c *checker) oneOf(key, v string, values ...string) {
	for _, s := range values {
		if v == s {
			return
		}
	}
	c.addError(key, v, `"`+strings.Join(values, `", "`)+`"`)
}

func (c *checker) listenAddress(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.addError(key, v, "an IP address and port, such as 127.0.0.1:8080")
	}
}

// dialAddress checks an address that a process connects to.
func (c *checker) dialAddress(key, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.addError(key, v, "an IP address, not 0.0.0.0 or [::], and a port from 1 to 65535")
	}
}

// httpAddress checks the address of an HTTP server.
func (c *checker) httpAddress(key, v string) {
	addr := v
	if strings.Contains(v, "://") {
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" {
			c.addError(key, v, "IP:PORT or http://IP:PORT")
			return
		}
		addr = u.Host
	}
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.addError(key, v, "IP:PORT or http://IP:PORT")
	}
}

func (c *checker) duration(key string, v Duration, lo, hi time.Duration) {
	if v.malformed {
		c.addError(key, "", typeDescription(key))
		return
	}
	if v.AsDuration() < lo || v.AsDuration() > hi {
		c.addError(key, v.AsDuration(), fmt.Sprintf("%s to %s", lo, hi))
	}
}

func (c *checker) integer(key string, v, lo, hi int64) {
	if v < lo || v > hi {
		c.addError(key, v, fmt.Sprintf("%d to %d", lo, hi))
	}
}

// rejectKeys adds an error for the key named prefix and for each key of the table named
// prefix. reason says why the key must not be set.
func (c *checker) rejectKeys(prefix, reason string) {
	for key := range c.positions {
		if key == prefix || strings.HasPrefix(key, prefix+".") {
			c.addError(key, nil, "no value, because "+reason)
		}
	}
}

func (c *checker) check(s Settings) {
	c.name("id", s.ID)
	c.name("deployment", s.Deployment)
	c.oneOf("role", s.Role, core.RoleEntry, core.RoleAgent)
	c.name("failure_domain", s.FailureDomain)
	c.name("region", s.Region)
	c.oneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	c.listenAddress("listen.admin", s.Listen.Admin)
	c.listenAddress("listen.peer", s.Listen.Peer)
	c.dialAddress("listen.peer_advertised", s.Listen.PeerAdvertised)
	c.httpAddress("log.address", s.Log.Address)
	c.duration("log.retention", s.Log.Retention, minLogRetention, maxLogRetention)
	c.duration("log.timeout", s.Log.Timeout, 10*time.Millisecond, maxTimeout)
	c.httpAddress("host_list.address", s.HostList.Address)
	c.duration("host_list.timeout", s.HostList.Timeout, 10*time.Millisecond, maxTimeout)
	c.duration("claims.window", s.Claims.Window, time.Millisecond, s.Log.Retention.AsDuration()/2)
	c.integer("claims.partitions", int64(s.Claims.Partitions), 1, maxPartitions)
	c.duration("reports.interval", s.Reports.Interval, minReportInterval, min(maxReportInterval, s.Log.Retention.AsDuration()))
	switch s.Role {
	case core.RoleEntry:
		c.listenAddress("listen.caller", s.Listen.Caller)
		c.entry(s.Entry)
		c.rejectKeys("agent", `role is "entry"`)
		c.rejectKeys("group", `role is "entry"`)
	case core.RoleAgent:
		c.agent(s.Agent)
		c.group(s.Group, s.ID, s.Listen.PeerAdvertised)
		c.rejectKeys("entry", `role is "agent"`)
		c.rejectKeys("listen.caller", `role is "agent"`)
	}
}

func (c *checker) entry(e Entry) {
	c.integer("entry.reply_memory_bytes", e.ReplyMemoryBytes, minReplyMemoryBytes, maxReplyMemoryBytes)
	c.duration("entry.upload_timeout", e.UploadTimeout, 100*time.Millisecond, time.Hour)
	c.duration("entry.drain_delay", e.DrainDelay, 0, time.Hour)
	if math.IsNaN(e.RetryBudget) || e.RetryBudget < 0 || e.RetryBudget > 1 {
		c.addError("entry.retry_budget", e.RetryBudget, "0 to 1")
	}
	c.integer("entry.retry_burst", int64(e.RetryBurst), 0, maxRetryBurst)
	if e.BootstrapTokenHash != "" && !sha256Pattern.MatchString(e.BootstrapTokenHash) {
		c.addError("entry.bootstrap_token_hash", e.BootstrapTokenHash, "a SHA-256 hash as 64 lower-case hexadecimal digits")
	}
}

func (c *checker) agent(a Agent) {
	c.name("agent.service", a.Service)
	c.httpAddress("agent.backend_address", a.BackendAddress)
	c.oneOf("agent.backend_kind", a.BackendKind, BackendEngine, BackendDesk)
	c.integer("agent.reply_memory_bytes", a.ReplyMemoryBytes, minReplyMemoryBytes, maxReplyMemoryBytes)
	c.duration("agent.drain_timeout", a.DrainTimeout, 0, maxDrainTimeout)
}
