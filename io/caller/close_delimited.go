package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"nutmegnotch/core"
)

type connKey struct{}

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

// setLinger sets what closing the connection of r does with data that is not sent yet,
// as net.TCPConn.SetLinger does.
func setLinger(r *http.Request, sec int) error {
	c, ok := r.Context().Value(connKey{}).(*net.TCPConn)
	if !ok {
		return fmt.Errorf("connection of the caller is not known: %w", core.ErrInvalid)
	}
	if err := c.SetLinger(sec); err != nil {
		return fmt.Errorf("set linger time: %w", err)
	}
	return nil
}
