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

// start serves a handler in the background and prints the address, since a
// port of 0 picks a free one. The returned function ends it; streams break.
func start(address string, h http.Handler) (func(), error) {
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
	stop, err := start(address, h)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	return nil
}
