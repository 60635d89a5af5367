package options

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"nutmegnotch/core"
)

// maxSettingsFileBytes limits the size of a settings file.
const maxSettingsFileBytes = 1 << 20

// Load reads and validates the settings file of an entry or an agent. The error
// wraps core.ErrInvalid, also if the file cannot be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w: %w", err, core.ErrInvalid)
	}
	return Parse(path, data)
}

// Parse decodes and validates the settings of an entry or an agent. name is the
// file name that errors start with. The error joins all errors that were found and
// wraps core.ErrInvalid.
func Parse(name string, data []byte) (Settings, error) {
	if len(data) > maxSettingsFileBytes {
		return Settings{}, fmt.Errorf("%s: file has %d bytes, at most %d are allowed: %w", name, len(data), maxSettingsFileBytes, core.ErrInvalid)
	}
	s := Default()
	d := toml.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, decodeError(name, data, err)
	}
	if s.Listen.PeerAdvertised == "" {
		s.Listen.PeerAdvertised = s.Listen.Peer
	}
	positions := keyPositions(data)
	if _, set := positions["reports.interval"]; !set {
		s.Reports.Interval = newDuration(min(s.Reports.Interval.AsDuration(), s.Log.Retention.AsDuration()))
	}
	c := &checker{file: name, positions: positions}
	c.check(s)
	if len(c.errs) > 0 {
		return Settings{}, fmt.Errorf("%w: %w", errors.Join(c.errs...), core.ErrInvalid)
	}
	return s, nil
}

// decodeError adds the file name, the line and, if known, the key to an error of the
// TOML decoder.
func decodeError(name string, data []byte, err error) error {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		var errs []error
		for _, e := range strictErr.Errors {
			line, _ := e.Position()
			errs = append(errs, fmt.Errorf("%s:%d: unknown key %q", name, line, strings.Join(e.Key(), ".")))
		}
		return fmt.Errorf("%w: %w", errors.Join(errs...), core.ErrInvalid)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			return fmt.Errorf("%s:%d: %s: %w", name, line, decodeErr.Error(), core.ErrInvalid)
		}
		return fmt.Errorf("%s:%d: key %q has the value %s, allowed: %s: %w", name, line, key, valueOnLine(data, line), typeDescription(key), core.ErrInvalid)
	}
	return fmt.Errorf("%s: %w: %w", name, err, core.ErrInvalid)
}

// keyPosition is the line of a key and the text of its value.
type keyPosition struct {
	line  int
	value string
}

// keyPositions returns the positions of all keys in a TOML file by dotted key. Data
// that is not TOML gives the keys before the first error.
func keyPositions(data []byte) map[string]keyPosition {
	positions := map[string]keyPosition{}
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
		positions[table+key] = keyPosition{line: line, value: valueOnLine(data, line)}
	}
	return positions
}

// valueOnLine returns the text after the first equals sign of a line. Lines are
// numbered from 1.
func valueOnLine(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	_, v, _ := strings.Cut(lines[line-1], "=")
	return strings.TrimSpace(v)
}

// fieldType returns the type of the field with a dotted key in struct type t.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	for _, part := range strings.Split(key, ".") {
		if t.Kind() != reflect.Struct {
			return nil, false
		}
		found := false
		for i := range t.NumField() {
			if f := t.Field(i); f.Tag.Get("toml") == part {
				t, found = f.Type, true
				break
			}
		}
		if !found {
			return nil, false
		}
	}
	return t, true
}

// typeDescription returns, for error messages, the type of the setting with a
// dotted key. An unknown key counts as a string.
func typeDescription(key string) string {
	t, ok := fieldType(reflect.TypeFor[Settings](), key)
	if !ok {
		if t, ok = fieldType(reflect.TypeFor[NodeSettings](), key); !ok {
			return "a string"
		}
	}
	switch {
	case t == reflect.TypeFor[Duration]():
		return `a duration in quotes, such as "30s"`
	case t.Kind() == reflect.Struct:
		return "a table"
	case t.Kind() == reflect.Slice:
		return "an array of strings"
	case t.Kind() == reflect.Int || t.Kind() == reflect.Int64:
		return "an integer"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a string"
}
