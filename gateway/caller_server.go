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
	"nutmegnotch/io/caller"
)

// Limits of callers' connections that apply while the configuration states none.
const (
	readHeaderTimeout = 20 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// minAcceptDelay and maxAcceptDelay limit the backoff after a failed accept, as
// in net/http.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// callerServer serves callers' connections. The limits of an http.Server cannot
// change while it runs, so there is one server for each set of limits. A
// connection keeps the limits under which it was accepted.
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

// setLimits sets the limits of connections that are accepted from now on. It
// does nothing after close.
func (c *callerServer) setLimits(l core.CallerLimits) {
	l.MaxBodyBytes = 0 // Checked per request, so it does not need another server.
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
		c.log.Info("serving callers with new connection limits", zap.Int64("max_header_bytes", l.MaxHeaderBytes),
			zap.Duration("header_timeout", l.HeaderTimeout), zap.Duration("idle_timeout", l.IdleTimeout))
	}
	c.current.Store(s)
}

// serve accepts connections until the listener is closed. After other errors,
// such as a lack of file descriptors, it accepts again after a delay.
func (c *callerServer) serve(l net.Listener) {
	delay := minAcceptDelay
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			c.log.Error("accept failed; retrying", zap.Stringer("address", c.address), zap.Duration("delay", delay), zap.Error(err))
			time.Sleep(delay)
			delay = min(maxAcceptDelay, 2*delay)
			continue
		}
		delay = minAcceptDelay
		c.current.Load().handOff(conn)
	}
}

// close closes the listener and all connections, and waits for the servers to
// end.
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

// limitedServer is an http.Server for one set of limits. It is also the
// net.Listener of that server and returns the connections passed to handOff.
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
		ConnContext:       caller.ConnContext,
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
		s.log.Error("HTTP server for callers failed", zap.Error(err))
	}
}

// handOff passes a connection to the server, or closes it if the server is closed.
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
