package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"nutmegnotch/emulator/load"
)

// LoadCommand sends requests to entries and prints the results as JSON.
type LoadCommand struct {
	Entry              []string          `required:"" help:"Base URLs of entries."`
	Organisation       map[string]string `required:"" help:"Organisations and their keys, as NAME=KEY;NAME=KEY."`
	Rate               float64           `default:"10" help:"Arrivals per second."`
	Count              int               `default:"100" help:"Number of arrivals; 0 has no bound but the duration."`
	Duration           time.Duration     `default:"1m" help:"Time in which requests arrive."`
	Seed               uint64            `default:"1" help:"Seed of all draws."`
	DeskPart           float64           `default:"0.2" help:"Part of requests that go to the desk."`
	BookingPart        float64           `default:"0.5" help:"Part of desk requests that are bookings."`
	Model              string            `default:"m" help:"Model of completion requests."`
	PromptBytes        int               `default:"400" help:"Mean length of prompts."`
	MaxTokens          int               `default:"50" help:"Mean length of replies."`
	DeskPath           string            `default:"/bookings" help:"Path of bookings."`
	SlowPart           float64           `default:"0" help:"Part of callers that read slowly."`
	ReadBytesPerSecond int               `default:"1000" help:"Read speed of slow callers."`
	Timeout            time.Duration     `default:"30s" help:"Bound on one request."`
	GoodTime           time.Duration     `default:"10s" help:"Time in which a whole reply counts as good."`
	MaxRunning         int               `default:"512" help:"Bound on requests in flight."`
}

// Run sends the requests. SIGTERM or SIGINT ends the arrivals; the results of the
// requests sent so far are printed.
func (c *LoadCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	o := load.Options{
		Entries: c.Entry, Rate: c.Rate, Count: c.Count, Duration: c.Duration, Seed: c.Seed,
		DeskPart: c.DeskPart, BookingPart: c.BookingPart, Model: c.Model,
		PromptBytes: c.PromptBytes, MaxTokens: c.MaxTokens, DeskPath: c.DeskPath,
		SlowPart: c.SlowPart, ReadBytesPerSecond: c.ReadBytesPerSecond,
		Timeout: c.Timeout, GoodTime: c.GoodTime, MaxRunning: c.MaxRunning,
	}
	o.Organisations = load.SortedOrganisations(c.Organisation)
	r, err := load.Run(ctx, o)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
