package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"nutmegnotch/core"
)

// Limits of FlushUnsent.
const (
	// maxFlushTime bounds the wait for a caller that does not read.
	maxFlushTime  = 2 * time.Second
	flushInterval = 5 * time.Millisecond
)

type connKey struct{}

// Conn returns the connection of a request of a server with ConnContext, or nil.
func Conn(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// ConnContext returns a context with a caller's connection. It is for the field of
// that name of an http.Server whose handler sends close-delimited replies.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// BeginCloseDelimited makes the reply to r end with its connection, with neither a
// length nor chunks. It must be called before the header is written. Until
// EndCloseDelimited is called, the connection is reset when it is closed, also by the
// end of the process, so that a reply that breaks off here looks broken.
func BeginCloseDelimited(w http.ResponseWriter, r *http.Request) error {
	h := w.Header()
	h.Del("Content-Length")
	// net/http then sends no chunks, and no such header.
	h.Set("Transfer-Encoding", "identity")
	return setLinger(r, 0)
}

// EndCloseDelimited flushes a close-delimited reply and ends it.
func EndCloseDelimited(w http.ResponseWriter, r *http.Request) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return fmt.Errorf("flush reply: %w", err)
	}
	return setLinger(r, -1)
}

// FlushUnsent waits until the caller has acknowledged what was written of a
// close-delimited reply that is broken off, since the reset of its connection discards
// unsent data. It must be called before the handler ends.
func FlushUnsent(w http.ResponseWriter, r *http.Request) error {
	c, err := callerConn(r)
	if err != nil {
		return err
	}
	rc := http.NewResponseController(w)
	giveUp := time.Now().Add(maxFlushTime)
	if err := rc.SetWriteDeadline(giveUp); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := rc.Flush(); err != nil {
		return fmt.Errorf("flush reply: %w", err)
	}
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		n, err := unsentBytes(c)
		if err != nil {
			return fmt.Errorf("count unsent bytes: %w", err)
		}
		if n == 0 {
			return nil
		}
		if time.Now().After(giveUp) {
			return fmt.Errorf("%d bytes are unsent after %v: %w", n, maxFlushTime, core.ErrUnavailable)
		}
		select {
		case <-r.Context().Done():
			return fmt.Errorf("caller left with %d bytes unsent: %w", n, r.Context().Err())
		case <-t.C:
		}
	}
}

// setLinger sets what closing the connection of r does with data that is not sent yet,
// as net.TCPConn.SetLinger does.
func setLinger(r *http.Request, sec int) error {
	c, err := callerConn(r)
	if err != nil {
		return err
	}
	if err := c.SetLinger(sec); err != nil {
		return fmt.Errorf("set linger time: %w", err)
	}
	return nil
}

// tcpConn is the part of a net.TCPConn that a close-delimited reply needs.
type tcpConn interface {
	syscall.Conn
	SetLinger(sec int) error
}

func callerConn(r *http.Request) (tcpConn, error) {
	c, ok := r.Context().Value(connKey{}).(tcpConn)
	if !ok {
		return nil, fmt.Errorf("connection of the caller is not known: %w", core.ErrInvalid)
	}
	return c, nil
}
