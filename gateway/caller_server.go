package gateway

import (
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
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

// Timing of a planned stop, after which a connection is cut off.
const (
	// acceptQueueTime is how long connections are still accepted, so that those in the
	// listener's queue are not reset.
	acceptQueueTime = 50 * time.Millisecond
	// maxCloseTime bounds the wait for requests that have arrived in part.
	maxCloseTime  = 250 * time.Millisecond
	closeInterval = 5 * time.Millisecond
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
	// accepted is closed when no more connections are accepted.
	accepted chan struct{}
}

func newCallerServer(handler http.Handler, address net.Addr, log *zap.Logger) *callerServer {
	c := &callerServer{handler: handler, log: log, address: address, servers: map[core.CallerLimits]*limitedServer{}, wg: conc.NewWaitGroup(), accepted: make(chan struct{})}
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

// serve accepts connections until close ends it. After other errors,
// such as a lack of file descriptors, it accepts again after a delay.
func (c *callerServer) serve(l net.Listener) {
	defer close(c.accepted)
	delay := minAcceptDelay
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
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

// close accepts the connections in the listener's queue, closes it, waits until the
// requests that have arrived are answered, for maxWait at most, and closes all
// connections.
func (c *callerServer) close(l net.Listener, maxWait time.Duration) {
	c.mu.Lock()
	c.closed = true
	servers := slices.Collect(maps.Values(c.servers))
	c.mu.Unlock()
	c.endAccept(l)
	for begun := time.Now(); ; time.Sleep(closeInterval) {
		open, busy := 0, 0
		for _, s := range servers {
			o, b := s.open.endIdle()
			open, busy = open+o, busy+b
		}
		if open == 0 {
			break
		}
		if time.Since(begun) > min(maxCloseTime, maxWait) {
			c.log.Warn("connections are cut off", zap.Int("connections", open), zap.Int("with_request", busy))
			break
		}
	}
	for _, s := range servers {
		s.http.Close()
	}
	c.wg.Wait()
}

// endAccept closes the listener once its queue is empty.
func (c *callerServer) endAccept(l net.Listener) {
	defer l.Close()
	d, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return
	}
	if err := d.SetDeadline(time.Now().Add(acceptQueueTime)); err != nil {
		c.log.Error("connections in the accept queue are cut off", zap.Error(err))
		return
	}
	select {
	case <-c.accepted:
	case <-time.After(2 * acceptQueueTime):
	}
}

// limitedServer is an http.Server for one set of limits. It is also the
// net.Listener of that server and returns the connections passed to handOff.
type limitedServer struct {
	http    *http.Server
	address net.Addr
	log     *zap.Logger
	open    *callerConns
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func newLimitedServer(l core.CallerLimits, handler http.Handler, address net.Addr, log *zap.Logger) *limitedServer {
	s := &limitedServer{address: address, log: log, open: &callerConns{log: log, open: map[*callerConn]bool{}},
		conns: make(chan net.Conn), done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           handler,
		ConnContext:       caller.ConnContext,
		ConnState:         s.open.stateChanged,
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
	conn = s.open.track(conn)
	select {
	case s.conns <- conn:
	case <-s.done:
		conn.Close()
		s.open.stateChanged(conn, http.StateClosed)
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
