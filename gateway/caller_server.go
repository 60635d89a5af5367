package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
)

// Bounds of callers' connections while the operators' limits are not known.
const (
	readHeaderTimeout = 20 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// minAcceptDelay and maxAcceptDelay bound the pause after a connection could not
// be accepted, as in net/http.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// callerServer serves the connections of callerServer. The limits of a net/http server do
// not change, so there is a server for each set of limits; a connection keeps
// the limits under which it was accepted.
type callerServer struct {
	handler http.Handler
	log     *zap.Logger
	address net.Addr
	current atomic.Pointer[limitedServer]
	mu      sync.Mutex
	servers map[core.CallerLimits]*limitedServer
	closed  bool
	wg      *conc.WaitGroup
}

func newCallerServer(handler http.Handler, address net.Addr, log *zap.Logger) *callerServer {
	c := &callerServer{handler: handler, log: log, address: address, servers: map[core.CallerLimits]*limitedServer{}, wg: conc.NewWaitGroup()}
	c.setLimits(core.CallerLimits{})
	return c
}

// setLimits sets the limits of connections that are accepted from now on.
func (c *callerServer) setLimits(l core.CallerLimits) {
	l.MaxBodyBytes = 0 // Requests are checked against it one by one.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	s := c.servers[l]
	if s == nil {
		s = newLimitedServer(l, c.handler, c.address, c.log)
		c.servers[l] = s
		c.wg.Go(s.serve)
		c.log.Info("limits of callers' connections", zap.Int64("max_header_bytes", l.MaxHeaderBytes),
			zap.Duration("header_timeout", l.HeaderTimeout), zap.Duration("idle_timeout", l.IdleTimeout))
	}
	c.current.Store(s)
}

// serve accepts connections until the listener is closed. Other errors, as for
// want of descriptors, pass.
func (c *callerServer) serve(l net.Listener) {
	delay := minAcceptDelay
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			c.log.Error("accepting a caller failed", zap.Stringer("address", c.address), zap.Duration("delay", delay), zap.Error(err))
			time.Sleep(delay)
			delay = min(maxAcceptDelay, 2*delay)
			continue
		}
		delay = minAcceptDelay
		c.current.Load().handOff(conn)
	}
}

// close stops accepting and closes all connections.
func (c *callerServer) close(l net.Listener) {
	c.mu.Lock()
	c.closed = true
	l.Close()
	for _, s := range c.servers {
		s.http.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// limitedServer serves connections under one set of limits. It is the listener
// of its own server.
type limitedServer struct {
	http    *http.Server
	address net.Addr
	log     *zap.Logger
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func newLimitedServer(l core.CallerLimits, handler http.Handler, address net.Addr, log *zap.Logger) *limitedServer {
	s := &limitedServer{address: address, log: log, conns: make(chan net.Conn), done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	if l.HeaderTimeout > 0 {
		s.http.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		s.http.IdleTimeout = l.IdleTimeout
	}
	if l.MaxHeaderBytes > 0 {
		s.http.MaxHeaderBytes = int(l.MaxHeaderBytes)
	}
	return s
}

func (s *limitedServer) serve() {
	if err := s.http.Serve(s); err != nil && err != http.ErrServerClosed {
		s.log.Error("serving callers ended", zap.Error(err))
	}
}

// handOff hands over a connection, or closes it when the server is closed.
func (s *limitedServer) handOff(conn net.Conn) {
	select {
	case s.conns <- conn:
	case <-s.done:
		conn.Close()
	}
}

// Accept implements net.Listener.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *limitedServer) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *limitedServer) Addr() net.Addr { return s.address }
