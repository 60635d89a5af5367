package cli

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"nutmegnotch/core"
	"nutmegnotch/options"
)

type checkCommand struct {
	Files []string `arg:"" help:"Settings files (TOML with a role) or object files (JSON or TOML)."`
}

// checkResult is the result for one file.
type checkResult struct {
	File   string `json:"file"`
	Kind   string `json:"kind"`
	Object string `json:"object,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Run checks each file and returns the errors of the invalid ones.
func (c checkCommand) Run(out *output) error {
	results := make([]checkResult, 0, len(c.Files))
	var text strings.Builder
	var failed error
	for _, f := range c.Files {
		r, err := checkFile(f)
		if err != nil {
			r.Error = err.Error()
			failed = errors.Join(failed, err)
		} else {
			fmt.Fprintf(&text, "%s: %s is valid\n", f, strings.TrimSpace(r.Kind+" "+r.Object))
		}
		results = append(results, r)
	}
	if err := out.print(results, text.String()); err != nil {
		return err
	}
	if failed != nil {
		return &exitError{code: ExitBadInput, err: failed}
	}
	return nil
}

// checkFile checks a file as settings or as an object.
func checkFile(path string) (checkResult, error) {
	if isSettings(path) {
		return checkResult{File: path, Kind: "settings"}, checkSettings(path)
	}
	object, _, err := readObject(path, "")
	return checkResult{File: path, Kind: "object", Object: object}, err
}

// checkSettings validates a settings file by the rules for its role.
func checkSettings(path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	var m struct {
		Role string `toml:"role"`
	}
	// A file that is not TOML is parsed again below, for an error with the line.
	if toml.Unmarshal(data, &m) == nil && (m.Role == core.RoleGateway || m.Role == core.RoleRankAgent) {
		_, err = options.ParseNode(path, data)
		return err
	}
	_, err = options.Load(path)
	return err
}

// isSettings reports whether a file is TOML without the keys of an object. A TOML file
// that cannot be read or parsed counts as settings, whose errors name the line.
func isSettings(path string) bool {
	if filepath.Ext(path) != ".toml" {
		return false
	}
	data, err := readFile(path)
	if err != nil {
		return true
	}
	var m map[string]any
	if toml.Unmarshal(data, &m) != nil {
		return true
	}
	for _, key := range []string{"organisation", "kind", "state", "token_hash", "entries"} {
		if _, ok := m[key]; ok {
			return false
		}
	}
	return true
}
