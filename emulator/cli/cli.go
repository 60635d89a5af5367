// Package cli holds the commands of nutmegnotch-emulator. Each command is in a
// file of its own.
package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type commands struct {
	Log   LogCommand   `cmd:"" help:"Run the stand-in of the platform's log."`
	Hosts HostsCommand `cmd:"" help:"Run the stand-in of the platform's host list."`

	Engine EngineCommand `cmd:"" help:"Run the stand-in of a model engine."`
	Desk   DeskCommand   `cmd:"" help:"Run the stand-in of a plain service."`

	Request RequestCommand `cmd:"" help:"Send one request and print the reply."`

	Load LoadCommand `cmd:"" help:"Send requests and report what became of them."`
}

// Main runs the command line and returns the exit code: 1 for a failure and 2
// for bad input.
func Main(args []string) int {
	var c commands
	p, err := kong.New(&c, kong.Name("nutmegnotch-emulator"), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, err := p.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// shutdownTimeout bounds the time in which running calls may end.
const shutdownTimeout = 2 * time.Second

// Serve answers HTTP on an address until SIGINT or SIGTERM. It prints the
// address it listens on.
func Serve(listen string, h http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", listen, err)
	}
	fmt.Printf("listening on %s\n", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve on %q: %w", listen, err)
	case <-ctx.Done():
	}
	stopCtx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	if err := srv.Shutdown(stopCtx); err != nil {
		return srv.Close()
	}
	return nil
}
