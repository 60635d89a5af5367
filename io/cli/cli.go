// Package cli implements the command line of nutmegnotch.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"nutmegnotch/core"
)

// Exit codes of all commands. ExitFailed includes a report with a broken promise.
// ExitBadInput means invalid arguments, settings or object values. ExitLost means that a
// change was not based on the current version of its object. ExitOutcomeUnknown means
// that a change may or may not have been accepted, or that the verdict of a report is
// not known.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitBadInput       = 2
	ExitLost           = 3
	ExitOutcomeUnknown = 4
)

// commands holds the global flags and the commands of nutmegnotch.
type commands struct {
	JSON bool `name:"json" help:"Print JSON."`

	Entry entryCommand `cmd:"" help:"Run an entry."`
	Agent agentCommand `cmd:"" help:"Run an agent."`

	Gateway   gatewayCommand   `cmd:"" help:"Run a gateway, which sends requests to backend servers itself."`
	RankAgent rankAgentCommand `cmd:"" help:"Run a rank agent, which keeps the expert maps of a group of ranks."`

	Publish publishCommand `cmd:"" help:"Publish a new value, or the deletion, of an object."`
	Get     getCommand     `cmd:"" help:"Print objects."`
	Drain   drainCommand   `cmd:"" help:"Take a failure domain out of service."`
	Restore restoreCommand `cmd:"" help:"Bring a failure domain back into service."`
	Audit   auditCommand   `cmd:"" help:"Print the audit trail of changes."`
	Report  reportCommand  `cmd:"" help:"Hold what organisations got against their contracts."`
	Status  statusCommand  `cmd:"" help:"Print the state of a process."`
	Explain explainCommand `cmd:"" help:"Print what the logs of gateways say of a request."`
	Check   checkCommand   `cmd:"" help:"Check settings and object files without a server."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(out *output) error {
	return out.print(map[string]string{"version": "0.1.0"}, "nutmegnotch 0.1.0\n")
}

// exitError is an error that makes the process exit with a given code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// badInput returns an error with exit code ExitBadInput.
func badInput(format string, args ...any) error {
	return &exitError{code: ExitBadInput, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	case errors.Is(err, core.ErrInvalid):
		return ExitBadInput
	}
	return ExitFailed
}

// Main runs the command with these arguments, without the program name, and returns the
// exit code of the process.
func Main(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, stdout, stderr io.Writer) int {
	var c commands
	earlyExit := -1
	p, err := kong.New(&c, kong.Name("nutmegnotch"), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { earlyExit = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	ctx, err := p.Parse(args)
	if earlyExit >= 0 {
		return earlyExit
	}
	if err != nil {
		fmt.Fprintln(stderr, "nutmegnotch:", err)
		return ExitBadInput
	}
	err = ctx.Run(&output{w: stdout, json: c.JSON})
	if err != nil {
		fmt.Fprintln(stderr, "nutmegnotch:", err)
	}
	return exitCode(err)
}
