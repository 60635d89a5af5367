package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"nutmegnotch/io/caller"
)

// callerConn is a caller's connection that counts what was read from it.
type callerConn struct {
	*net.TCPConn
	log       *zap.Logger
	readBytes atomic.Int64
	// answeredBytes is the value of readBytes at the end of the last answer, and active
	// is set from the end of a request's head to that of its answer.
	answeredBytes atomic.Int64
	active        atomic.Bool
}

func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.readBytes.Add(int64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.active.Load() {
		c.timedOut()
	}
	return n, err
}

// timedOut records that a limit ended the wait for a request or for the rest of its head.
func (c *callerConn) timedOut() {
	reason, part := "idle_timeout", c.readBytes.Load()-c.answeredBytes.Load()
	if part > 0 || c.answeredBytes.Load() == 0 {
		reason = "header_timeout"
	}
	callerConnEnds.Add(reason, 1)
	c.log.Info("connection of a caller ended by a limit", zap.String("reason", reason), zap.Int64("bytes_of_request", part),
		zap.Stringer("caller", c.RemoteAddr()))
}

// hasRequest reports whether any part of a request has arrived that is not answered yet.
func (c *callerConn) hasRequest() (bool, error) {
	if c.active.Load() || c.readBytes.Load() > c.answeredBytes.Load() {
		return true, nil
	}
	n, err := caller.UnreadBytes(c)
	return n > 0, err
}

// callerConns is the set of open connections of an http.Server.
type callerConns struct {
	log  *zap.Logger
	mu   sync.Mutex
	open map[*callerConn]bool
}

// track adds a connection to the set and returns what stands for it.
func (s *callerConns) track(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	c := &callerConn{TCPConn: tcp, log: s.log}
	s.mu.Lock()
	defer s.mu.Unlock()
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
		c.active.Store(true)
	case http.StateIdle:
		c.answeredBytes.Store(c.readBytes.Load())
		c.active.Store(false)
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
