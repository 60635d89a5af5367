package cli

import (
	"encoding/json"
	"fmt"
	"io"
)

// output prints the results of commands as text or JSON.
type output struct {
	w    io.Writer
	json bool
}

// print writes v if the format is JSON, and text otherwise.
func (o *output) print(v any, text string) error {
	if !o.json {
		_, err := io.WriteString(o.w, text)
		return err
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}
