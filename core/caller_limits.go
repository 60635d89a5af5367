package core

import "time"

// Limits of callers that apply while the configuration states none.
const (
	defaultHeaderTimeout  = 20 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

// CallerLimits holds the limits of callers' requests and connections. Zero means that the
// configuration states none.
type CallerLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// WithDefaults returns the limits of connections with the defaults for those that are not
// stated.
func (l CallerLimits) WithDefaults() CallerLimits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Loosest returns the less strict of each limit of connections. It is for limits with
// defaults.
func (l CallerLimits) Loosest(o CallerLimits) CallerLimits {
	l.MaxHeaderBytes = max(l.MaxHeaderBytes, o.MaxHeaderBytes)
	l.HeaderTimeout = max(l.HeaderTimeout, o.HeaderTimeout)
	l.IdleTimeout = max(l.IdleTimeout, o.IdleTimeout)
	return l
}
