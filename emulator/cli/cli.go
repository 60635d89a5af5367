// Package cli implements the commands of nutmegnotch-emulator, one per file.
package cli

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Log   LogCommand   `cmd:"" help:"Run the stand-in of the platform's log."`
	Hosts HostsCommand `cmd:"" help:"Run the stand-in of the platform's host list."`

	Engine EngineCommand `cmd:"" help:"Run the stand-in of a model engine."`
	Desk   DeskCommand   `cmd:"" help:"Run the stand-in of a plain service."`

	Rank RankCommand `cmd:"" help:"Run the stand-in for the engine of one rank."`

	Request RequestCommand `cmd:"" help:"Send one request and print the reply."`

	Load LoadCommand `cmd:"" help:"Send requests and report what became of them."`

	Day DayCommand `cmd:"" help:"Play days of gateways with returns of the store from copies, and servers that leave and pause."`

	Experiment ExperimentCommand `cmd:"" help:"Compare policies with their baselines in simulated time."`
}

// Main parses the arguments, runs the command and returns the exit code: 0 for success,
// 1 for a failure and 2 for invalid arguments.
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
