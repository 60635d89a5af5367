package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// maxObjectBytes limits the size of an object file.
const maxObjectBytes = config.MaxRecordBytes

// readObject reads the value of an object from a JSON or TOML file and validates it. It
// returns the object name, derived from the value if object is empty, and the value as
// JSON.
func readObject(path, object string) (string, json.RawMessage, error) {
	data, err := readFile(path)
	if err != nil {
		return "", nil, err
	}
	if filepath.Ext(path) == ".toml" {
		if data, err = tomlToJSON(path, data); err != nil {
			return "", nil, err
		}
	}
	if object == "" {
		if object, err = objectNameOf(data); err != nil {
			return "", nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	value, err := config.Validate(object, data)
	if err != nil {
		return "", nil, fmt.Errorf("%s: %w", path, err)
	}
	return object, value, nil
}

// readFile reads a file of at most maxObjectBytes; path - is standard input.
func readFile(path string) ([]byte, error) {
	f := os.Stdin
	if path != "-" {
		var err error
		if f, err = os.Open(path); err != nil {
			return nil, badInput("read file: %w", err)
		}
		defer f.Close()
	}
	data, err := io.ReadAll(io.LimitReader(f, maxObjectBytes+1))
	if err != nil {
		return nil, badInput("read file %q: %w", path, err)
	}
	if len(data) > maxObjectBytes {
		return nil, badInput("file %q has more than %d bytes", path, maxObjectBytes)
	}
	return data, nil
}

func tomlToJSON(path string, data []byte) ([]byte, error) {
	var m map[string]any
	if err := toml.Unmarshal(data, &m); err != nil {
		return nil, badInput("%s: %w", path, err)
	}
	out, err := json.Marshal(m)
	if err != nil {
		return nil, badInput("%s: %w", path, err)
	}
	return out, nil
}

// objectNameOf derives the object name from the members that are set in a value.
func objectNameOf(data []byte) (string, error) {
	var v struct {
		Organisation string          `json:"organisation"`
		Name         string          `json:"name"`
		Kind         string          `json:"kind"`
		State        string          `json:"state"`
		TokenHash    string          `json:"token_hash"`
		Entries      json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return "", badInput("value is not a JSON object: %w", err)
	}
	switch {
	case v.Organisation != "":
		return core.ObjectName(core.KindContract, v.Organisation), nil
	case v.Kind != "":
		return core.ObjectName(core.KindService, v.Name), nil
	case v.TokenHash != "":
		return core.ObjectName(core.KindTeam, v.Name), nil
	case v.State != "":
		return core.ObjectName(core.KindDomain, v.Name), nil
	case v.Entries != nil:
		return core.ObjectEntrySet, nil
	}
	return "", badInput("cannot tell the kind of the object, name it with --object")
}
