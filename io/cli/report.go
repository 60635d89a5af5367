package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"nutmegnotch/core/report"
)

// Errors for the verdicts of a report other than report.Kept.
var (
	errBroken   = errors.New("a promise was broken")
	errNotKnown = errors.New("cannot determine whether all promises were kept, since records are missing")
)

type reportCommand struct {
	server       `embed:""`
	Organisation string        `help:"Only this organisation."`
	Since        time.Duration `default:"1h" help:"Length of the time to look at, up to now."`
}

// Run prints the report. It returns an error unless all promises were kept.
func (c reportCommand) Run(out *output) error {
	if c.Since <= 0 {
		return badInput("--since is %s, must be above 0", c.Since)
	}
	from := time.Now().Add(-c.Since).UTC().Format(time.RFC3339Nano)
	res, err := c.read("/reports", url.Values{"organisation": {c.Organisation}, "from": {from}})
	if err != nil {
		return err
	}
	var r report.Result
	if err := json.Unmarshal(res.body, &r); err != nil {
		return fmt.Errorf("decode report: %w", err)
	}
	if err := out.print(json.RawMessage(res.body), formatReport(r)); err != nil {
		return err
	}
	switch r.Verdict {
	case report.Kept:
		return nil
	case report.Broken:
		return &exitError{code: ExitFailed, err: errBroken}
	}
	return &exitError{code: ExitOutcomeUnknown, err: errNotKnown}
}

// formatReport formats a report as text.
func formatReport(r report.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s to %s: %s, %d records, %d gaps\n", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339),
		r.Verdict, r.Records, len(r.Gaps))
	for _, g := range r.Gaps {
		fmt.Fprintf(&b, "gap %s entry %q after sequence %d, %s to %s, %d events dropped\n", g.Reason, g.EntryID,
			g.AfterSequence, g.From.Format(time.RFC3339), g.To.Format(time.RFC3339), g.Dropped)
	}
	for _, o := range r.Organisations {
		t := o.Total
		fmt.Fprintf(&b, "%s: %s, %d requests, %d whole, %d on time, %d cut, %d outcome unknown\n", o.Organisation,
			o.Verdict, t.Requests, t.Whole, t.OnTime, t.Cut, t.OutcomeUnknown)
		for _, p := range o.Promises {
			fmt.Fprintf(&b, "  %s: %s, promised %.4g, delivered %.4g\n", p.Name, p.Verdict, p.Promised, p.Delivered)
		}
		for _, list := range []struct {
			name  string
			codes map[string]int64
		}{{"own limit", o.Refusals.OwnLimit}, {"own request", o.Refusals.OwnRequest}, {"system", o.Refusals.System}} {
			if len(list.codes) > 0 {
				// fmt prints maps in the order of their keys.
				fmt.Fprintf(&b, "  refused as not run, %s: %v\n", list.name, list.codes)
			}
		}
	}
	return b.String()
}
