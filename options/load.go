package options

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"nutmegnotch/core"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w: %w", err, core.ErrInvalid)
	}
	return Parse(path, data)
}

// Parse reads settings; name is the file name for errors. The error joins all
// faults that were found and is core.ErrInvalid.
func Parse(name string, data []byte) (Settings, error) {
	if len(data) > maxFileBytes {
		return Settings{}, fmt.Errorf("%s: file has %d bytes, at most %d are allowed: %w", name, len(data), maxFileBytes, core.ErrInvalid)
	}
	s := Default()
	d := toml.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, decodeError(name, err)
	}
	if s.Listen.PeerAdvertised == "" {
		s.Listen.PeerAdvertised = s.Listen.Peer
	}
	c := &checker{file: name, at: keyPositions(data)}
	c.check(s)
	if len(c.faults) > 0 {
		return Settings{}, fmt.Errorf("%w: %w", errors.Join(c.faults...), core.ErrInvalid)
	}
	return s, nil
}

// decodeError names the place of a fault that the decoder found.
func decodeError(name string, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var list []error
		for _, e := range missing.Errors {
			line, _ := e.Position()
			list = append(list, fmt.Errorf("%s:%d: unknown key %q", name, line, strings.Join(e.Key(), ".")))
		}
		return fmt.Errorf("%w: %w", errors.Join(list...), core.ErrInvalid)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Errorf("%s:%d: key %q: %s: %w", name, line, strings.Join(decode.Key(), "."), decode.Error(), core.ErrInvalid)
	}
	return fmt.Errorf("%s: %w: %w", name, err, core.ErrInvalid)
}

// position is where a key stands and how its value is written.
type position struct {
	line  int
	value string
}

// keyPositions finds the place of each key by its dotted name.
func keyPositions(data []byte) map[string]position {
	at := map[string]position{}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		n := p.Expression()
		var parts []string
		line := 0
		for it := n.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			line = p.Shape(it.Node().Raw).Start.Line
		}
		key := strings.Join(parts, ".")
		if n.Kind != unstable.KeyValue {
			table = key + "."
			continue
		}
		at[table+key] = position{line: line, value: valueText(data, line)}
	}
	return at
}

// valueText returns what stands behind the equals sign of a line.
func valueText(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	_, v, _ := strings.Cut(lines[line-1], "=")
	return strings.TrimSpace(v)
}
