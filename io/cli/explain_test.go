package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const gatewayLog = `{"level":"info","time":"2026-01-01T10:00:00Z","msg":"configuration changed","version":3}
{"level":"info","time":"2026-01-01T10:00:01Z","msg":"configuration changed","version":4}
not a log line
  12.5 host {"level":"info","time":"2026-01-01T10:00:03Z","msg":"attempt failed","request_id":"r1","server":"s1","outcome":"no_reply"}
{"level":"info","time":"2026-01-01T10:00:02Z","msg":"request served","request_id":"r2"}
{"level":"info","time":"2026-01-01T10:00:04Z","msg":"request refused","request_id":"r1","status":502}
`

// Guards against output that lacks a line of the request or the last state change before
// it, or that has lines of another request.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(file, []byte(gatewayLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if got, want := run([]string{"explain", "r1", file}, &out, &errs), ExitOK; got != want {
		t.Fatalf("exit code: got %d (%s), want %d", got, errs.String(), want)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"configuration changed version=4", "attempt failed outcome=no_reply server=s1", "request refused status=502"}
	if len(lines) != len(want) {
		t.Fatalf("lines: got %q, want %d", lines, len(want))
	}
	for i, w := range want {
		if !strings.HasSuffix(lines[i], w) {
			t.Errorf("line %d: got %q, want it to end with %q", i, lines[i], w)
		}
	}
	if got, want := run([]string{"explain", "r9", file}, &out, &errs), ExitFailed; got != want {
		t.Errorf("exit code for an unknown request: got %d, want %d", got, want)
	}
}

// Guards against a refused copy of a crashing request of which the crashes are not shown,
// and against crashes of other requests that are.
func TestExplainCrashes(t *testing.T) {
	const log = `{"level":"info","time":"2026-01-01T10:00:00Z","msg":"crash counted","fingerprint":"a1","process":"s1/5","crashes":1}
{"level":"info","time":"2026-01-01T10:00:01Z","msg":"crash counted","fingerprint":"b2","process":"s1/5","crashes":1}
{"level":"info","time":"2026-01-01T10:00:02Z","msg":"request refused","request_id":"r1","fingerprint":"a1","status":503}
{"level":"info","time":"2026-01-01T10:00:03Z","msg":"crash counted","fingerprint":"a1","process":"s2/6","crashes":2}
`
	file := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if got, want := run([]string{"explain", "r1", file}, &out, &errs), ExitOK; got != want {
		t.Fatalf("exit code: got %d (%s), want %d", got, errs.String(), want)
	}
	got := out.String()
	for _, w := range []string{"s1/5", "request refused"} {
		if strings.Count(got, w) != 1 {
			t.Errorf("lines with %q: got %q, want one", w, got)
		}
	}
	if strings.Contains(got, "b2") || strings.Contains(got, "s2/6") {
		t.Errorf("output: got %q, want nothing of other requests or after the refusal", got)
	}
}

// Guards against a request that was refused because of rate limits of which the limits are
// not shown, and against limits beside a request that was refused for another reason.
func TestExplainLimits(t *testing.T) {
	const log = `{"level":"info","time":"2026-01-01T10:00:00Z","msg":"server named a rate limit","server":"s1","per_second":5}
{"level":"info","time":"2026-01-01T10:00:01Z","msg":"server named a rate limit","server":"s1","per_second":2}
{"level":"info","time":"2026-01-01T10:00:02Z","msg":"request refused","request_id":"r1","reason":"servers_limited"}
{"level":"info","time":"2026-01-01T10:00:03Z","msg":"request refused","request_id":"r2","reason":"queue_full"}
`
	file := filepath.Join(t.TempDir(), "gateway.log")
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		id   string
		want []string
	}{
		{"r1", []string{"server named a rate limit per_second=2 server=s1", "request refused reason=servers_limited"}},
		{"r2", []string{"request refused reason=queue_full"}},
	}
	for _, c := range cases {
		var out, errs bytes.Buffer
		if got, want := run([]string{"explain", c.id, file}, &out, &errs), ExitOK; got != want {
			t.Fatalf("exit code: got %d (%s), want %d", got, errs.String(), want)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != len(c.want) {
			t.Fatalf("%s: got %q, want %d lines", c.id, lines, len(c.want))
		}
		for i, w := range c.want {
			if !strings.HasSuffix(lines[i], w) {
				t.Errorf("%s, line %d: got %q, want it to end with %q", c.id, i, lines[i], w)
			}
		}
	}
}
