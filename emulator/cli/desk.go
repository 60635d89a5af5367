package cli

import "nutmegnotch/emulator/desk"

// DeskCommand serves the stand-in for a plain service.
type DeskCommand struct {
	Listen string `required:"" help:"IP number and port to listen on."`
}

// Run serves until SIGTERM.
func (c *DeskCommand) Run() error {
	d := desk.New()
	defer d.Close()
	return serve(c.Listen, d)
}
