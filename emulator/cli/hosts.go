package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"nutmegnotch/core"
	"nutmegnotch/emulator/hostlist"
)

// HostsCommand serves the emulated host list of the platform.
type HostsCommand struct {
	Listen string `required:"" help:"Address to listen on."`
	File   string `type:"existingfile" help:"JSON array with the first list of hosts."`
}

// Run serves until SIGTERM or SIGINT.
func (c HostsCommand) Run() error {
	var hosts []core.Host
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return fmt.Errorf("read hosts: %w", err)
		}
		if err := json.Unmarshal(data, &hosts); err != nil {
			return fmt.Errorf("file %q: %w", c.File, err)
		}
		if err := hostlist.Validate(hosts); err != nil {
			return fmt.Errorf("file %q: %w", c.File, err)
		}
	}
	s := hostlist.New(hosts)
	defer s.Close()
	return serve(c.Listen, s)
}
