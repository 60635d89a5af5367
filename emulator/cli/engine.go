package cli

import (
	"time"

	"nutmegnotch/emulator/engine"
)

// EngineCommand serves the emulated model engine.
type EngineCommand struct {
	Listen          string        `required:"" help:"IP number and port to listen on."`
	TokensPerSecond float64       `default:"50" help:"Tokens per second of one request that runs alone."`
	Slowdown        float64       `default:"0.02" help:"Part by which each further request lengthens a step."`
	MemoryTokens    int64         `default:"100000" help:"Tokens that a warm engine can hold."`
	ColdTokens      int64         `default:"4000" help:"Tokens that an engine can hold after a start."`
	WarmTokens      int64         `help:"Tokens of ended requests after which the engine is warm; half of its memory by default."`
	ColdFactor      float64       `default:"4" help:"Factor on the step time after a start."`
	RestartTime     time.Duration `default:"2s" help:"Time of a restart after a crash."`
	CrashMarker     string        `help:"Text in a prompt that crashes the engine."`
	LoadLag         time.Duration `default:"100ms" help:"Lag of load reports."`
	CheckFence      bool          `help:"Refuse orders with old fencing numbers."`
	Models          []string      `help:"Models that the engine has loaded."`
}

// Run serves until SIGTERM or SIGINT.
func (c *EngineCommand) Run() error {
	e := engine.New(engine.Options{
		TokensPerSecond: c.TokensPerSecond,
		Slowdown:        c.Slowdown,
		MemoryTokens:    c.MemoryTokens,
		ColdTokens:      c.ColdTokens,
		WarmTokens:      c.WarmTokens,
		ColdFactor:      c.ColdFactor,
		RestartTime:     c.RestartTime,
		CrashMarker:     c.CrashMarker,
		LoadLag:         c.LoadLag,
		CheckFence:      c.CheckFence,
		Models:          c.Models,
	})
	defer e.Close()
	return serve(c.Listen, e)
}
