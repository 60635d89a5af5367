package gateway

import (
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/caller"
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

// unusedIdleTimeout is a deadline that net/http sets and clears and callerConn ignores.
const unusedIdleTimeout = time.Hour

// callerServer serves callers' connections.
type callerServer struct {
	http     *http.Server
	log      *zap.Logger
	open     *callerConns
	handOffs *handOffListener
	wg       *conc.WaitGroup
	// accepted is closed when no more connections are accepted.
	accepted chan struct{}
}

func newCallerServer(handler http.Handler, address net.Addr, log *zap.Logger) *callerServer {
	open := newCallerConns(log)
	c := &callerServer{log: log, open: open, wg: conc.NewWaitGroup(), accepted: make(chan struct{}),
		handOffs: &handOffListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})},
		http: &http.Server{
			Handler:     handler,
			ConnContext: caller.ConnContext,
			ConnState:   open.stateChanged,
			// callerConn enforces the limits of heads.
			MaxHeaderBytes: math.MaxInt32,
			// Without it, net/http would not tell callerConn of the first bytes of a head.
			IdleTimeout: unusedIdleTimeout,
			ErrorLog:    zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		}}
	c.wg.Go(func() {
		if err := c.http.Serve(c.handOffs); err != nil && err != http.ErrServerClosed {
			log.Error("HTTP server for callers failed", zap.Error(err))
		}
	})
	return c
}

// setLimits sets the limits of connections.
func (c *callerServer) setLimits(l core.CallerLimits) { c.open.setLimits(l) }

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
			c.log.Error("accept failed; retrying", zap.Stringer("address", c.handOffs.address), zap.Duration("delay", delay), zap.Error(err))
			time.Sleep(delay)
			delay = min(maxAcceptDelay, 2*delay)
			continue
		}
		delay = minAcceptDelay
		c.handOff(conn)
	}
}

// handOff passes a connection to the HTTP server.
func (c *callerServer) handOff(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		c.log.Error("connection of a caller is not TCP; closing it", zap.Stringer("address", c.handOffs.address))
		conn.Close()
		return
	}
	tracked := c.open.track(tcp)
	if !c.handOffs.handOff(tracked) {
		tracked.Close()
		c.open.stateChanged(tracked, http.StateClosed)
	}
}

// close accepts the connections in the listener's queue, closes it, waits until the
// requests that have arrived are answered, for maxWait at most, and closes all
// connections.
func (c *callerServer) close(l net.Listener, maxWait time.Duration) {
	c.endAccept(l)
	for begun := time.Now(); ; time.Sleep(closeInterval) {
		open, busy := c.open.endIdle()
		if open == 0 {
			break
		}
		if time.Since(begun) > min(maxCloseTime, maxWait) {
			c.log.Warn("connections are cut off", zap.Int("connections", open), zap.Int("with_request", busy))
			break
		}
	}
	c.http.Close()
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

// handOffListener is the net.Listener of an http.Server whose connections are accepted
// elsewhere.
type handOffListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// handOff passes a connection to the server. It reports false if the server is closed.
func (l *handOffListener) handOff(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept implements net.Listener.
func (l *handOffListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handOffListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *handOffListener) Addr() net.Addr { return l.address }
