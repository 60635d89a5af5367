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

// Limits of settings.
const (
	minRetention = time.Second
	maxRetention = 366 * 24 * time.Hour
	maxTimeout   = time.Minute
	maxDrain     = 24 * time.Hour
	// minReportInterval keeps the appends of many entries within the log's rate.
	minReportInterval = time.Second
	maxReportInterval = 10 * time.Minute
	maxPartitions     = 100
	minReplyBytes     = 64 << 10
	maxReplyBytes     = 1 << 40
	maxRetryBurst     = 100_000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects the faults of a settings file.
type checker struct {
	file   string
	at     map[string]position
	faults []error
}

// fault notes a broken rule of a key. A key that is not in the file is named
// with its default.
func (c *checker) fault(key string, value any, allowed string) {
	if p, ok := c.at[key]; ok {
		c.faults = append(c.faults, fmt.Errorf("%s:%d: key %q has the value %s, allowed: %s", c.file, p.line, key, p.value, allowed))
		return
	}
	if s, ok := value.(string); ok && s == "" {
		c.faults = append(c.faults, fmt.Errorf("%s: key %q is missing, allowed: %s", c.file, key, allowed))
		return
	}
	c.faults = append(c.faults, fmt.Errorf("%s: key %q has the default value %v, allowed: %s", c.file, key, value, allowed))
}

func (c *checker) name(key, v string) {
	if !namePattern.MatchString(v) {
		c.fault(key, v, "a name that matches "+namePattern.String())
	}
}

func (c *checker) oneOf(key, v string, list ...string) {
	for _, s := range list {
		if v == s {
			return
		}
	}
	c.fault(key, v, `"`+strings.Join(list, `", "`)+`"`)
}

func (c *checker) listen(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.fault(key, v, "an IP number with a port, such as 127.0.0.1:8080")
	}
}

// dial checks an address that others dial.
func (c *checker) dial(key, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.fault(key, v, "an IP number, not 0.0.0.0 or [::], with a port from 1 to 65535")
	}
}

// service checks the address of an HTTP service.
func (c *checker) service(key, v string) {
	host := v
	if strings.Contains(v, "://") {
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" {
			c.fault(key, v, "IP:PORT or http://IP:PORT")
			return
		}
		host = u.Host
	}
	a, err := netip.ParseAddrPort(host)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.fault(key, v, "IP:PORT or http://IP:PORT")
	}
}

func (c *checker) duration(key string, v Duration, lo, hi time.Duration) {
	if v.malformed {
		c.fault(key, "", allowedType(key))
		return
	}
	if v.Std() < lo || v.Std() > hi {
		c.fault(key, v.Std(), fmt.Sprintf("%s to %s", lo, hi))
	}
}

func (c *checker) integer(key string, v, lo, hi int64) {
	if v < lo || v > hi {
		c.fault(key, v, fmt.Sprintf("%d to %d", lo, hi))
	}
}

// absent rejects keys that contradict the role.
func (c *checker) absent(prefix, why string) {
	for key := range c.at {
		if key == prefix || strings.HasPrefix(key, prefix+".") {
			c.fault(key, nil, "absent, since "+why)
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
	c.listen("listen.admin", s.Listen.Admin)
	c.listen("listen.peer", s.Listen.Peer)
	c.dial("listen.peer_advertised", s.Listen.PeerAdvertised)
	c.service("log.address", s.Log.Address)
	c.duration("log.retention", s.Log.Retention, minRetention, maxRetention)
	c.duration("log.timeout", s.Log.Timeout, 10*time.Millisecond, maxTimeout)
	c.service("host_list.address", s.HostList.Address)
	c.duration("host_list.timeout", s.HostList.Timeout, 10*time.Millisecond, maxTimeout)
	c.duration("claims.window", s.Claims.Window, time.Millisecond, s.Log.Retention.Std()/2)
	c.integer("claims.partitions", int64(s.Claims.Partitions), 1, maxPartitions)
	c.duration("reports.interval", s.Reports.Interval, minReportInterval, min(maxReportInterval, s.Log.Retention.Std()))
	switch s.Role {
	case core.RoleEntry:
		c.listen("listen.caller", s.Listen.Caller)
		c.entry(s.Entry)
		c.absent("agent", `role is "entry"`)
		c.absent("group", `role is "entry"`)
	case core.RoleAgent:
		c.agent(s.Agent)
		c.group(s.Group, s.ID, s.Listen.PeerAdvertised)
		c.absent("entry", `role is "agent"`)
		c.absent("listen.caller", `role is "agent"`)
	}
}

func (c *checker) entry(e Entry) {
	c.integer("entry.reply_memory_bytes", e.ReplyMemoryBytes, minReplyBytes, maxReplyBytes)
	c.duration("entry.upload_timeout", e.UploadTimeout, 100*time.Millisecond, time.Hour)
	c.duration("entry.drain_delay", e.DrainDelay, 0, time.Hour)
	if math.IsNaN(e.RetryBudget) || e.RetryBudget < 0 || e.RetryBudget > 1 {
		c.fault("entry.retry_budget", e.RetryBudget, "0 to 1")
	}
	c.integer("entry.retry_burst", int64(e.RetryBurst), 0, maxRetryBurst)
	if e.BootstrapTokenHash != "" && !hashPattern.MatchString(e.BootstrapTokenHash) {
		c.fault("entry.bootstrap_token_hash", e.BootstrapTokenHash, "a SHA-256 in 64 lower-case hexadecimal digits")
	}
}

func (c *checker) agent(a Agent) {
	c.name("agent.service", a.Service)
	c.service("agent.backend_address", a.BackendAddress)
	c.oneOf("agent.backend_kind", a.BackendKind, BackendEngine, BackendDesk)
	c.integer("agent.reply_memory_bytes", a.ReplyMemoryBytes, minReplyBytes, maxReplyBytes)
	c.duration("agent.drain_timeout", a.DrainTimeout, 0, maxDrain)
}
