package backend_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/backend"
)

func newClient() *backend.Client {
	return backend.New(backend.Config{MaxIdleConnsPerServer: 4, RequestID: func(h http.Header) string { return h.Get("X-Id") }})
}

// Guards against a cancelled request that reaches a server later, when a frozen host
// or a broken link recovers. Unsent data must be discarded, which the server sees as
// a connection reset.
func TestCancelledRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		buf := make([]byte, 1024)
		for {
			if _, err := c.Read(buf); err != nil {
				ended <- err
				return
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c := newClient()
	defer c.Close()
	_, err = c.Send(ctx, core.BackendServer{ID: "a", Address: l.Addr().String()}, backend.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"})
	if err == nil || errors.Is(err, backend.ErrNotSent) {
		t.Errorf("send: got %v, want an error other than ErrNotSent", err)
	}
	if got := <-ended; !errors.Is(got, syscall.ECONNRESET) {
		t.Errorf("end of the connection at the server: got %v, want %v", got, syscall.ECONNRESET)
	}
}

// Guards against an error other than ErrNotSent for a refused connection, after which
// an at-most-once request could not be retried.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := l.Addr().String()
	l.Close()
	c := newClient()
	defer c.Close()
	_, err = c.Send(context.Background(), core.BackendServer{ID: "a", Address: address}, backend.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h"})
	if !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("send: got %v, want %v", err, backend.ErrNotSent)
	}
}
