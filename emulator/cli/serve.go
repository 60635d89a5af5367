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

// readHeaderTimeout limits the time in which a client must send the request headers.
const readHeaderTimeout = 10 * time.Second

// startServer serves a handler in the background. It prints the address, since the
// system chooses a free port if the port is 0. The returned function closes the server
// and all connections, including those of streams in progress.
func startServer(address string, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", address, err)
	}
	fmt.Printf("listening on %s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	return func() { s.Close(); <-done }, nil
}

// serve serves a handler until SIGTERM or SIGINT.
func serve(address string, h http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	stop, err := startServer(address, h)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	return nil
}
