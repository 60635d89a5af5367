package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// callerConns is the set of open connections of an http.Server.
type callerConns struct {
	log  *zap.Logger
	mu   sync.Mutex
	open map[*callerConn]bool
	// limits are those in force.
	limits core.CallerLimits
}

func newCallerConns(log *zap.Logger) *callerConns {
	return &callerConns{log: log, open: map[*callerConn]bool{}, limits: core.CallerLimits{}.WithDefaults()}
}

// setLimits sets the limits in force.
func (s *callerConns) setLimits(l core.CallerLimits) {
	l.MaxBodyBytes = 0 // Checked per request.
	l = l.WithDefaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	s.limits = l
	s.log.Info("limits of callers' connections changed", zap.Int64("max_header_bytes", l.MaxHeaderBytes),
		zap.Duration("header_timeout", l.HeaderTimeout), zap.Duration("idle_timeout", l.IdleTimeout), zap.Int("connections", len(s.open)))
	for c := range s.open {
		if err := c.loosen(l); err != nil && !errors.Is(err, net.ErrClosed) {
			s.log.Warn("a connection keeps its limits until its next request", zap.Error(err))
		}
	}
}

// track adds a connection to the set and returns what stands for it.
func (s *callerConns) track(conn *net.TCPConn) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newCallerConn(conn, s.limits, s.log)
	s.open[c] = true
	return c
}

// stateChanged is the ConnState of an http.Server.
func (s *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		if err := c.begin(); err != nil && !errors.Is(err, net.ErrClosed) {
			s.log.Warn("clear read deadline failed", zap.Error(err))
		}
	case http.StateIdle:
		c.end()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}
}

// endIdle ends the reading of connections without a request, so that their server closes
// them. To close them here would cut off a request whose head is read at the same moment.
// It returns the numbers of open connections and of those with a request.
func (s *callerConns) endIdle() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		has, err := c.hasRequest()
		if err != nil && !errors.Is(err, net.ErrClosed) {
			s.log.Warn("whether a connection has a request is not known; ending it", zap.Error(err))
		}
		if has {
			busy++
			continue
		}
		// An error means that the connection is closed already.
		_ = c.CloseRead()
	}
	return len(s.open), busy
}
