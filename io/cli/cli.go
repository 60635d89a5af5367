// Package cli is the command line of nutmegnotch.
package cli

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of all commands.
const (
	ExitDone           = 0
	ExitFailed         = 1
	ExitBadInput       = 2
	ExitLost           = 3
	ExitOutcomeUnknown = 4
)

type commands struct {
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("nutmegnotch 0.1.0")
	return nil
}

// Main runs the command line with the given arguments and returns the exit
// code of the process.
func Main(args []string) int {
	var c commands
	p, err := kong.New(&c, kong.Name("nutmegnotch"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	ctx, err := p.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitBadInput
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitDone
}
