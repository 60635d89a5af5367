package cli

import (
	"errors"
	"net/http"
	"time"

	"nutmegnotch/emulator/rank"
)

// RankCommand serves the emulated engine of one rank. One rank of a group also serves
// the step barrier of the group.
type RankCommand struct {
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
func (c *RankCommand) Run() error {
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
	return serve(c.Listen, r.Handler())
}

// barrier returns the barrier, which is served by this process if ServeBarrier is set,
// and a function that releases it.
func (c *RankCommand) barrier() (rank.Barrier, func(), error) {
	if c.Barrier != "" {
		return &rank.RemoteBarrier{URL: c.Barrier, HTTP: &http.Client{}}, func() {}, nil
	}
	b := rank.NewBarrier(c.Ranks)
	closeServer, err := startServer(c.ServeBarrier, b)
	if err != nil {
		b.Close()
		return nil, nil, err
	}
	return b, func() { closeServer(); b.Close() }, nil
}
