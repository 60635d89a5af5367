package cli

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"nutmegnotch/emulator/rank"
)

// Rank runs the stand-in for the engine of one rank. One rank of a group also
// serves the step barrier of the group.
type Rank struct {
	Listen       string        `help:"Address of the engine." required:""`
	Rank         int           `help:"Number of the rank, from 0." required:""`
	Ranks        int           `help:"Number of ranks of the group." default:"1"`
	Barrier      string        `help:"URL of the step barrier of the group, when another process serves it."`
	ServeBarrier string        `help:"Address at which to serve the step barrier."`
	Fencing      bool          `help:"Refuse orders with old fencing numbers." default:"true" negatable:""`
	StepTime     time.Duration `help:"Time of one step." default:"25ms"`
	LoadTime     time.Duration `help:"Time to load a map." default:"1s"`
}

// Run serves until SIGTERM or SIGINT.
func (c *Rank) Run() error {
	if (c.Barrier == "") == (c.ServeBarrier == "") {
		return errors.New("give exactly one of --barrier and --serve-barrier")
	}
	barrier, stop, err := c.barrier()
	if err != nil {
		return err
	}
	defer stop()
	r := rank.New(rank.Config{Rank: c.Rank, Barrier: barrier, Fencing: c.Fencing, StepTime: c.StepTime, LoadTime: c.LoadTime})
	defer r.Close()
	closeServer, err := serve(c.Listen, r.Handler())
	if err != nil {
		return err
	}
	defer closeServer()
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGTERM, syscall.SIGINT)
	<-quit
	return nil
}

func (c *Rank) barrier() (rank.Barrier, func(), error) {
	if c.Barrier != "" {
		return &rank.RemoteBarrier{URL: c.Barrier, HTTP: &http.Client{}}, func() {}, nil
	}
	b := rank.NewBarrier(c.Ranks)
	closeServer, err := serve(c.ServeBarrier, b)
	if err != nil {
		b.Close()
		return nil, nil, err
	}
	return b, func() { closeServer(); b.Close() }, nil
}

// serve serves a handler in the background and returns how to end it.
func serve(address string, h http.Handler) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	return func() { srv.Close(); <-done }, nil
}
