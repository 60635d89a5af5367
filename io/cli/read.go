package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"nutmegnotch/core/config"
)

type getCommand struct {
	server `embed:""`
	Name   string `arg:"" optional:"" help:"Object name such as contract/acme, or a kind such as contract. Without it all objects are printed."`
}

// Run prints one object, the objects of a kind, or all objects.
func (c getCommand) Run(out *output) error {
	var list struct {
		Objects []config.Object `json:"objects"`
	}
	if strings.Contains(c.Name, "/") {
		if _, _, err := config.ParseObjectName(c.Name); err != nil {
			return err
		}
		res, err := c.read("/objects/"+c.Name, nil)
		if err != nil {
			return err
		}
		var o config.Object
		if err := json.Unmarshal(res.body, &o); err != nil {
			return fmt.Errorf("decode object: %w", err)
		}
		return out.print(o, formatObject(o))
	}
	res, err := c.read("/objects", url.Values{"kind": {c.Name}})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(res.body, &list); err != nil {
		return fmt.Errorf("decode objects: %w", err)
	}
	var text strings.Builder
	for _, o := range list.Objects {
		text.WriteString(formatObject(o))
	}
	return out.print(list.Objects, text.String())
}

// formatObject formats an object as one line of text.
func formatObject(o config.Object) string {
	return fmt.Sprintf("%s version %d by %s %s\n", o.Name, o.Version, o.Author, o.Value)
}

type auditCommand struct {
	server `embed:""`
	Object string `help:"Only changes of this object."`
	From   int64  `help:"First offset of the audit stream."`
	Limit  int    `default:"1000" help:"Records to read, 1 to 1000."`
}

// auditRecord holds the fields of an audit record that are printed as text.
type auditRecord struct {
	Offset   int64         `json:"offset"`
	Time     time.Time     `json:"time"`
	Team     string        `json:"team"`
	Operator string        `json:"operator"`
	ChangeID string        `json:"change_id"`
	Object   string        `json:"object"`
	Result   config.Result `json:"result"`
	Version  int64         `json:"version"`
	Winner   string        `json:"winner"`
	Reason   string        `json:"reason"`
}

// Run prints the audit records of changes.
func (c auditCommand) Run(out *output) error {
	if c.Limit < 1 || c.Limit > 1000 || c.From < 0 {
		return badInput("--limit is %d, must be between 1 and 1000; --from is %d, must not be negative", c.Limit, c.From)
	}
	q := url.Values{"from": {strconv.FormatInt(c.From, 10)}, "limit": {strconv.Itoa(c.Limit)}, "object": {c.Object}}
	res, err := c.read("/audit", q)
	if err != nil {
		return err
	}
	var page struct {
		Records    []auditRecord `json:"records"`
		NextOffset int64         `json:"next_offset"`
	}
	if err := json.Unmarshal(res.body, &page); err != nil {
		return fmt.Errorf("decode audit records: %w", err)
	}
	var text strings.Builder
	for _, r := range page.Records {
		fmt.Fprintf(&text, "%d %s %s/%s %s %s version %d change %s %s %s\n", r.Offset, r.Time.Format(time.RFC3339),
			r.Team, r.Operator, r.Object, r.Result, r.Version, r.ChangeID, r.Winner, r.Reason)
	}
	return out.print(json.RawMessage(res.body), text.String())
}

type statusCommand struct {
	server `embed:""`
}

// Run prints the status of a process.
func (c statusCommand) Run(out *output) error {
	res, err := c.read("/status", nil)
	if err != nil {
		return err
	}
	return out.print(json.RawMessage(res.body), string(res.body))
}
