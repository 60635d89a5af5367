package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"nutmegnotch/core/config"
)

// fakeServer serves the responses to calls of the administration API, in order, and then
// repeats the last one. A response is a status and a body, or "break", which closes the
// connection without a response. calls returns the calls that were received.
func fakeServer(t *testing.T, responses ...string) (address string, calls func() []string) {
	var mu sync.Mutex
	var received []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		n := len(received)
		received = append(received, r.Method+" "+r.URL.Path+" "+string(body))
		mu.Unlock()
		a := responses[min(n, len(responses)-1)]
		if a == "break" {
			panic(http.ErrAbortHandler)
		}
		status, text, _ := strings.Cut(a, " ")
		var code int
		fmt.Sscan(status, &code)
		w.WriteHeader(code)
		io.WriteString(w, text)
	}))
	t.Cleanup(srv.Close)
	return srv.URL, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(received)
	}
}

// writeFile writes a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against invalid arguments or files that a command does not reject with
// ExitBadInput and an error message.
func TestBadInput(t *testing.T) {
	bad := writeFile(t, "bad.json", `{"name":"a","state":"off"}`)
	broken := writeFile(t, "broken.json", `{`)
	plain := writeFile(t, "plain.json", `{"x":1}`)
	settings := writeFile(t, "settings.toml", "id = 5\n")
	tests := [][]string{
		{},
		{"nothing"},
		{"publish"},
		{"publish", bad},
		{"publish", broken},
		{"publish", plain},
		{"publish", bad + ".missing"},
		{"publish", "--delete"},
		{"publish", "--delete", "--object", "rack/a"},
		{"publish", "--delete", "--object", "domain/a", "--based-on", "-7"},
		{"get", "rack/a"},
		{"get", "domain/a", "--timeout", "2m"},
		{"drain"},
		{"drain", "No Name"},
		{"restore", "No Name"},
		{"audit", "--limit", "0"},
		{"audit", "--from", "x"},
		{"status", "--bogus"},
		{"status", "--server", "http://bad host"},
		{"check"},
		{"check", bad},
		{"check", settings},
		{"check", settings + ".missing"},
		{"entry"},
		{"entry", "--settings", settings + ".missing"},
		{"entry", "--settings", "../../examples/agent.toml"},
		{"agent", "--settings", settings},
		{"agent", "--settings", "../../examples/entry.toml"},
		{"report", "--since=-1h"},
	}
	for _, args := range tests {
		var out, errOut bytes.Buffer
		if got, want := run(args, &out, &errOut), ExitBadInput; got != want {
			t.Errorf("%q: got exit code %d, want %d", args, got, want)
		}
		if errOut.Len() == 0 {
			t.Errorf("%q: got no error message", args)
		}
	}
}

// Guards against an exit code that does not match the outcome of a change, and against
// retries with another change id.
func TestPublishExitCodes(t *testing.T) {
	object := `200 {"object":"domain/a","version":7}`
	missing := `404 {"error":{"code":"not_found","message":"absent"}}`
	accepted := `200 {"change_id":"id","object":"domain/a","result":"accepted","version":8}`
	tests := []struct {
		name      string
		responses []string
		want      int
		calls     int
	}{
		{"accepted", []string{object, accepted}, ExitOK, 2},
		{"new object", []string{missing, accepted}, ExitOK, 2},
		{"lost", []string{object, `409 {"error":{"code":"lost","message":"lost to x"}}`}, ExitLost, 2},
		{"unknown", []string{object, `202 {"change_id":"id","result":"unknown"}`}, ExitOutcomeUnknown, 2},
		{"rejected", []string{object, `422 {"error":{"code":"invalid","message":"no"}}`}, ExitBadInput, 2},
		{"forbidden", []string{object, `403 {"error":{"code":"forbidden","message":"no"}}`}, ExitFailed, 2},
		{"not published", []string{object, `503 {"error":{"code":"not_published","message":"no"}}`}, ExitFailed, 2},
		{"answer lost once", []string{object, "break", accepted}, ExitOK, 3},
		{"answers lost", []string{object, "break"}, ExitOutcomeUnknown, 0},
		{"answer lost, then not published", []string{object, "break", `503 {"error":{"code":"not_published","message":"no"}}`}, ExitOutcomeUnknown, 0},
	}
	for _, tt := range tests {
		address, calls := fakeServer(t, tt.responses...)
		var out, errOut bytes.Buffer
		if got := run([]string{"drain", "a", "--server", address, "--timeout", "1s"}, &out, &errOut); got != tt.want {
			t.Errorf("%s: got exit code %d (%s), want %d", tt.name, got, errOut.String(), tt.want)
		}
		if got := len(calls()); tt.calls > 0 && got != tt.calls {
			t.Errorf("%s: got %d calls, want %d", tt.name, got, tt.calls)
		}
		ids := map[string]bool{}
		for _, c := range calls()[1:] {
			ids[c] = true
		}
		if len(ids) != 1 {
			t.Errorf("%s: got calls %v, want repeats with the same change id", tt.name, ids)
		}
	}
	var out, errOut bytes.Buffer
	if got, want := run([]string{"drain", "a", "--server", "127.0.0.1:1"}, &out, &errOut), ExitFailed; got != want {
		t.Errorf("no server: got exit code %d, want %d", got, want)
	}
}

// Guards against object files that are published wrongly, and against JSON output that
// scripts cannot parse.
func TestFilesAndJSON(t *testing.T) {
	address, calls := fakeServer(t, `200 {"change_id":"id","object":"domain/a","result":"accepted","version":3}`)
	file := writeFile(t, "a.toml", "name = \"a\"\nstate = \"drained\"\n")
	var out, errOut bytes.Buffer
	if got := run([]string{"--json", "publish", file, "--based-on", "0", "--change-id", "id", "--server", address}, &out, &errOut); got != ExitOK {
		t.Fatalf("publish: got exit code %d (%s), want %d", got, errOut.String(), ExitOK)
	}
	var o config.Outcome
	if err := json.Unmarshal(out.Bytes(), &o); err != nil || o.Version != 3 {
		t.Errorf("output: got %q (%v), want the outcome", out.String(), err)
	}
	if want := `PUT /objects/domain/a {"based_on":0,"change_id":"id","value":{"name":"a","state":"drained"}}`; len(calls()) != 1 || calls()[0] != want {
		t.Errorf("calls: got %q, want %q", calls(), want)
	}
	out.Reset()
	if got := run([]string{"check", file, "../../examples/entry.toml", "../../examples/agent.toml"}, &out, &errOut); got != ExitOK {
		t.Errorf("check: got exit code %d (%s), want %d", got, errOut.String(), ExitOK)
	}
}

// Guards against an exit code that does not match the verdict of a report, so that
// scripts cannot tell verdicts apart.
func TestReportExitCodes(t *testing.T) {
	for _, tt := range []struct {
		response string
		want     int
	}{
		{`200 {"verdict":"kept"}`, ExitOK}, {`200 {"verdict":"broken"}`, ExitFailed}, {`200 {"verdict":"not_known"}`, ExitOutcomeUnknown},
		{`200 {}`, ExitOutcomeUnknown}, {`503 {"error":{"code":"log_unavailable"}}`, ExitFailed}, {`400 {"error":{"code":"bad_request"}}`, ExitBadInput},
	} {
		address, _ := fakeServer(t, tt.response)
		var stdout, stderr bytes.Buffer
		if got := run([]string{"report", "--server", address, "--organisation", "acme", "--since", "30m", "--json"}, &stdout, &stderr); got != tt.want {
			t.Errorf("report with the response %s: got exit code %d, want %d: %s", tt.response, got, tt.want, stderr.String())
		}
	}
}
