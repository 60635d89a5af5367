package cli

import "nutmegnotch/emulator/desk"

// DeskCommand serves the emulated plain service.
type DeskCommand struct {
	Listen string `required:"" help:"IP number and port to listen on."`
}

// Run serves until SIGTERM or SIGINT.
func (c *DeskCommand) Run() error {
	d := desk.New()
	defer d.Close()
	return serve(c.Listen, d)
}
