package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/caller"
)

// Limits of reading the head of a request.
const (
	// headReadAhead is how much of a body net/http may read together with the head.
	headReadAhead = 4 << 10
	// headBeginBytes is how much of a head net/http waits for before it clears the deadline
	// of the wait.
	headBeginBytes = 4
	// arrivedReadTime bounds the read of bytes that have arrived already.
	arrivedReadTime = 100 * time.Millisecond
	// rejectTime bounds the sending of a rejection, and rejectLinger the reading after it:
	// closing with unread bytes would reset the connection and discard the rejection.
	rejectTime   = time.Second
	rejectLinger = 500 * time.Millisecond
	// maxRejectedBytes bounds that reading. A caller that floods its connection would
	// otherwise use as much processor time as it has bandwidth for.
	maxRejectedBytes = 256 << 10
)

// errHeadRejected ends the reading of a connection. As an error of a read it keeps net/http
// from sending an answer of its own.
var errHeadRejected = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of a request was rejected")}

// callerConn is a caller's connection. It enforces the limits of waiting for a request and of
// reading its head, since those of an http.Server cannot change while it runs. A wait, or a
// head, is held to the least strict limits that were in force since it began; a wait after a
// request, since that request began.
type callerConn struct {
	*net.TCPConn
	log       *zap.Logger
	readBytes atomic.Int64
	// answeredBytes is the value of readBytes at the end of the last answer, and active
	// is set from the end of a request's head to that of its answer.
	answeredBytes atomic.Int64
	active        atomic.Bool
	// head scans the head of the request, and pipelined is set once a request has been sent
	// behind another one. Only reads before a handler and the handler itself use them.
	head      headScan
	pipelined bool

	// mu also guards the read deadline while the connection is not active.
	mu sync.Mutex
	// current are the limits in force, and limits the least strict ones since the request,
	// the wait or the head began.
	current, limits core.CallerLimits
	// begun is when the wait for a request began, or the arrival of its head once headBegun
	// is set.
	begun     time.Time
	headBegun bool
	headBytes int64
	rejected  bool
}

// newCallerConn returns a connection that was accepted now. Its caller is expected to send a
// request at once, so the header timeout applies.
func newCallerConn(conn *net.TCPConn, l core.CallerLimits, log *zap.Logger) *callerConn {
	return &callerConn{TCPConn: conn, log: log, current: l, limits: l, begun: time.Now(), headBegun: true}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if !c.active.Load() {
		return c.readHead(b)
	}
	n, err := c.TCPConn.Read(b)
	c.readBytes.Add(int64(n))
	return n, err
}

// SetReadDeadline implements net.Conn. While the connection waits for a request or reads a
// head, it sets no deadline. net/http clears the one of the wait when it has the first bytes
// of a head, which it may have read together with the request before.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active.Load() {
		return c.TCPConn.SetReadDeadline(t)
	}
	if t.IsZero() {
		c.beginHead()
		c.headBytes = max(c.headBytes, headBeginBytes)
	}
	return nil
}

// beginHead records that a part of a head has arrived.
func (c *callerConn) beginHead() {
	if !c.headBegun {
		c.headBegun, c.begun, c.limits = true, time.Now(), c.current
	}
}

// readHead reads within the limits. A part of a line that was read before an error counts as
// a line in net/http, so no read may succeed after it.
func (c *callerConn) readHead(b []byte) (int, error) {
	for {
		if err := c.setHeadDeadline(); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if c.timeLeft() > 0 {
				continue
			}
			n, err = c.readArrived(b)
		}
		c.readBytes.Add(int64(n))
		c.head.add(b[:max(0, n)])
		if n > 0 && !c.headArrived(b[:n]) {
			return 0, c.reject(http.StatusRequestHeaderFieldsTooLarge)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, c.timedOut(err)
		}
		return n, err
	}
}

// setHeadDeadline sets the read deadline that follows from the limits.
func (c *callerConn) setHeadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected {
		return errHeadRejected
	}
	return c.TCPConn.SetReadDeadline(c.deadline())
}

// deadline returns the end of the wait, or of the time for a head.
func (c *callerConn) deadline() time.Time {
	if c.headBegun {
		return c.begun.Add(c.limits.HeaderTimeout)
	}
	return c.begun.Add(c.limits.IdleTimeout)
}

// timeLeft returns the time to the deadline. It is above 0 after a read timed out if the
// limits have been raised meanwhile.
func (c *callerConn) timeLeft() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.deadline())
}

// readArrived reads what has arrived before a deadline that passed while this process had no
// processor time.
func (c *callerConn) readArrived(b []byte) (int, error) {
	n, err := caller.UnreadBytes(c.TCPConn)
	if err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(arrivedReadTime)); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(b)
}

// headArrived records bytes of a head and reports whether it may still be within the limits.
// Some callers send an empty line after a body, which begins no head.
func (c *callerConn) headArrived(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headBegun && len(bytes.Trim(b, "\r\n")) == 0 {
		return true
	}
	c.beginHead()
	c.headBytes += int64(len(b))
	return c.headBytes <= c.limits.MaxHeaderBytes+headReadAhead
}

// timedOut ends the wait for a request, or rejects one whose head has arrived in part.
func (c *callerConn) timedOut(err error) error {
	c.mu.Lock()
	part, limits := c.headBytes, c.limits
	if part == 0 {
		c.rejected = true
	}
	c.mu.Unlock()
	if part > 0 {
		return c.reject(http.StatusRequestTimeout)
	}
	callerConnEnds.Add("idle_timeout", 1)
	c.log.Debug("idle connection of a caller closed", zap.Duration("idle_timeout", limits.IdleTimeout))
	return err
}

// reject answers a request whose head is beyond the limits, and ends the connection.
func (c *callerConn) reject(status int) error {
	c.mu.Lock()
	c.rejected = true
	part, limits, age := c.headBytes, c.limits, time.Since(c.begun)
	c.mu.Unlock()
	reason := "header_timeout"
	if status == http.StatusRequestHeaderFieldsTooLarge {
		reason = "header_too_large"
	}
	callerConnEnds.Add(reason, 1)
	c.log.Info("request rejected by a limit of its head", zap.String("reason", reason), zap.Stringer("caller", c.RemoteAddr()),
		zap.Int64("bytes", part), zap.Duration("age", age), zap.Int64("max_header_bytes", limits.MaxHeaderBytes),
		zap.Duration("header_timeout", limits.HeaderTimeout))
	if err := c.sendRejection(status); err != nil {
		c.log.Debug("sending a rejection failed", zap.Error(err))
	}
	return errHeadRejected
}

func (c *callerConn) sendRejection(status int) error {
	if err := c.SetWriteDeadline(time.Now().Add(rejectTime)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	if _, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%s", text, text); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := c.CloseWrite(); err != nil {
		return fmt.Errorf("end: %w", err)
	}
	end := time.Now().Add(rejectLinger)
	if err := c.TCPConn.SetReadDeadline(end); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxRejectedBytes))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("read the rest: %w", err)
	}
	if n == maxRejectedBytes {
		time.Sleep(time.Until(end))
	}
	return nil
}

// begin records that a request is being handled.
func (c *callerConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active.Store(true)
	c.limits = c.current
	return c.TCPConn.SetReadDeadline(time.Time{})
}

// end records that a request has been answered, and begins the wait for the next one. The
// caller has got the answer before, so limits that were lowered meanwhile do not apply yet.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredBytes.Store(c.readBytes.Load())
	c.head = headScan{}
	c.begun, c.headBegun, c.headBytes = time.Now(), false, 0
	c.active.Store(false)
}

// loosen applies changed limits to the wait or the head in progress, or to the wait after the
// request that is being handled.
func (c *callerConn) loosen(l core.CallerLimits) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.limits = l, c.limits.Loosest(l)
	if c.active.Load() || c.rejected {
		return nil
	}
	return c.TCPConn.SetReadDeadline(c.deadline())
}

// hasRequest reports whether any part of a request has arrived that is not answered yet.
func (c *callerConn) hasRequest() (bool, error) {
	if c.active.Load() || c.readBytes.Load() > c.answeredBytes.Load() {
		return true, nil
	}
	n, err := caller.UnreadBytes(c)
	return n > 0, err
}
