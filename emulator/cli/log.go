package cli

import (
	"time"

	"nutmegnotch/emulator/platformlog"
)

// LogCommand serves the emulated log service of the platform.
type LogCommand struct {
	Listen           string        `required:"" help:"Address to listen on."`
	Retention        time.Duration `default:"24h" help:"Time for which records are kept; 0 keeps them for ever."`
	MaxRecords       int           `help:"Number of records that each stream keeps; 0 sets no limit."`
	AppendsPerSecond float64       `default:"500" help:"Rate limit of appends; 0 sets no limit."`
	AppendBurst      int           `default:"100" help:"Appends allowed at once."`
}

// Run serves until SIGTERM or SIGINT.
func (c LogCommand) Run() error {
	s := platformlog.New(platformlog.Config{
		Retention:        c.Retention,
		MaxRecords:       c.MaxRecords,
		AppendsPerSecond: c.AppendsPerSecond,
		AppendBurst:      c.AppendBurst,
	})
	defer s.Close()
	return serve(c.Listen, s)
}
