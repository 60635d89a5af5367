package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"nutmegnotch/emulator/experiment"
)

// maxSeeds limits the number of seeds of one experiment.
const maxSeeds = 1000

// ExperimentCommand runs experiments in simulated time and prints their tables.
type ExperimentCommand struct {
	Name  []string `arg:"" optional:"" help:"Experiments to run, or all; without a name they are listed."`
	Seeds int      `default:"5" help:"Number of seeds; the first is 1."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

// Validate rejects unknown experiments and invalid numbers of seeds.
func (c *ExperimentCommand) Validate() error {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return fmt.Errorf("--seeds %d is not between 1 and %d", c.Seeds, maxSeeds)
	}
	_, err := c.selected()
	return err
}

// Run runs the selected experiments sequentially. Without a name it lists all
// experiments.
func (c *ExperimentCommand) Run() error {
	if len(c.Name) == 0 {
		return c.list()
	}
	selected, err := c.selected()
	if err != nil {
		return err
	}
	tables := []experiment.Table{}
	for _, e := range selected {
		t := experiment.Measure(e, c.Seeds)
		tables = append(tables, t)
		if c.JSON {
			continue
		}
		if err := t.Write(os.Stdout); err != nil {
			return fmt.Errorf("print %s: %w", e.Name, err)
		}
	}
	if c.JSON {
		return printJSON(tables)
	}
	return nil
}

// selected returns the named experiments, or all of them for the name "all".
func (c *ExperimentCommand) selected() ([]experiment.Experiment, error) {
	var out []experiment.Experiment
	for _, name := range c.Name {
		if name == "all" {
			return experiment.All(), nil
		}
		e, ok := experiment.Find(name)
		if !ok {
			return nil, fmt.Errorf("no experiment %q; there are %s", name, strings.Join(experimentNames(), ", "))
		}
		out = append(out, e)
	}
	return out, nil
}

func experimentNames() []string {
	var out []string
	for _, e := range experiment.All() {
		out = append(out, e.Name)
	}
	return out
}

func (c *ExperimentCommand) list() error {
	if c.JSON {
		return printJSON(experimentNames())
	}
	for _, e := range experiment.All() {
		if _, err := fmt.Printf("%-16s %s\n", e.Name, e.About); err != nil {
			return fmt.Errorf("list experiments: %w", err)
		}
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
