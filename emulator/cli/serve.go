// Package cli holds the commands of the emulator.
package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"
)

// readHeaderTimeout bounds slow clients of the stand-ins.
const readHeaderTimeout = 10 * time.Second

// serveBackend serves a stand-in for a backend server until SIGTERM or SIGINT.
// It prints the address, since a port of 0 picks a free one.
func serveBackend(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Printf("listening on %s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
