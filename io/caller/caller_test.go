package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"nutmegnotch/core"
	"nutmegnotch/io/caller"
)

type source struct{ core.Configuration }

func (s source) Current() core.Configuration { return s.Configuration }
func (s source) Confirmed(time.Time) bool    { return true }
func (s source) Changed() <-chan struct{}    { return nil }

func configuration() core.Configuration {
	return core.Configuration{
		KeyOrganisations: map[string]string{caller.KeyHash("k"): "trails"},
		Contracts: map[string]core.Contract{"trails": {Organisation: "trails", ReplyTimeMS: 1000, MaxPriority: 3,
			Services: []string{"text", "desk", "deposits"}}},
		Services: map[string]core.Service{
			"text":     {Name: "text", Kind: core.ServiceModel, Models: []string{"m"}, MaxOutputTokens: 50, MaxBodyBytes: 1000},
			"desk":     {Name: "desk", Kind: core.ServicePlain, PathPrefix: "/desk", Repeatable: true, MaxBodyBytes: 100},
			"deposits": {Name: "deposits", Kind: core.ServicePlain, PathPrefix: "/desk/deposits", MaxBodyBytes: 100},
			"secret":   {Name: "secret", Kind: core.ServicePlain, PathPrefix: "/secret"},
		},
	}
}

// startFrontend serves a frontend and returns a channel of its validated requests.
func startFrontend(t *testing.T, log *zap.Logger) (*httptest.Server, chan *caller.Request) {
	got := make(chan *caller.Request, 16)
	f := caller.New(caller.Config{
		Source: source{configuration()}, UploadTimeout: 200 * time.Millisecond, Log: log,
		Reserve: func(context.Context, string, int64, int64) (func(), bool) { return func() {}, true },
		Serve: func(_ context.Context, r *caller.Request, w *caller.Reply) {
			got <- r
			_ = w.Start(http.StatusOK, http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}})
			_ = w.Write([]byte("ok"))
		},
	})
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return srv, got
}

// httpReply is a reply with its complete body.
type httpReply struct {
	status int
	header http.Header
	body   string
}

func do(t *testing.T, method, url, body string, header ...string) httpReply {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return httpReply{resp.StatusCode, resp.Header, string(data)}
}

// Guards against invalid requests that reach a backend server or are refused with
// the wrong status or code.
func TestRefusals(t *testing.T) {
	srv, _ := startFrontend(t, nil)
	cases := []struct {
		method, path, body string
		header             []string
		status             int
		code               string
	}{
		{"GET", "/desk", "", []string{"Authorization", "Bearer wrong"}, 401, "unauthorized"},
		{"GET", "/desk", "", []string{"Authorization", ""}, 401, "unauthorized"},
		{"GET", "/none", "", nil, 404, "not_found"},
		{"GET", "/secret", "", nil, 403, "forbidden"},
		{"GET", "/desk/%2e%2e/secret", "", nil, 400, "bad_request"},
		{"POST", "/desk/deposits", "", nil, 400, "idempotency_key_required"},
		{"POST", "/desk", strings.Repeat("x", 101), nil, 413, "too_large"},
		{"POST", "/v1/completions", `{"model":`, nil, 400, "bad_request"},
		{"POST", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, 404, "not_found"},
		{"POST", "/v1/completions", `{"model":"m","prompt":{}}`, nil, 400, "bad_request"},
		{"POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":51}`, nil, 400, "bad_request"},
	}
	for _, c := range cases {
		resp := do(t, c.method, srv.URL+c.path, c.body, c.header...)
		if resp.status != c.status || !strings.Contains(resp.body, `"code":"`+c.code+`"`) ||
			!strings.Contains(resp.body, `"not_run":true`) {
			t.Errorf("%s %s: got %d %s, want %d %s and not run", c.method, c.path, resp.status, resp.body, c.status, c.code)
		}
	}
}

// Guards against requests that are assigned to the wrong service, leak headers, or
// lack a field that routing, admission or idempotency depend on.
func TestRequestIsRead(t *testing.T) {
	srv, got := startFrontend(t, nil)
	resp := do(t, "POST", srv.URL+"/desk/deposits?x=1", "body", "Idempotency-Key", "id", "X-Priority", "9",
		"Connection", "X-Secret", "X-Secret", "1", "X-Forwarded-For", "1.2.3.4", "Content-Type", "text/plain")
	r := <-got
	if r.Service != "deposits" || r.Repeatable || r.IdempotencyKey != "id" || r.Priority != 3 || r.Path != "/desk/deposits?x=1" {
		t.Errorf("request: got %+v", r.Request)
	}
	for _, name := range []string{"Authorization", "X-Secret", "Connection", "X-Forwarded-For"} {
		if v := r.Header.Get(name); v != "" {
			t.Errorf("header %s: got %q, want none", name, v)
		}
	}
	if r.Header.Get("Content-Type") != "text/plain" || r.ID != resp.header.Get(caller.RequestIDHeader) || r.ID == "" {
		t.Errorf("id %q, headers %v", r.ID, r.Header)
	}
	if resp.header.Get("X-Hop") != "" || resp.header.Get("X-Kept") != "1" {
		t.Errorf("reply headers: got %v", resp.header)
	}
	prompt := strings.Repeat("a load manifest for four mules ", 10)
	hashes := map[uint64]bool{}
	for _, tail := range []string{"1", "2"} {
		do(t, "POST", srv.URL+caller.CompletionsPath, fmt.Sprintf(`{"model":"m","prompt":%q}`, prompt+tail))
		r := <-got
		hashes[r.PrefixHash] = true
		if r.PromptTokens != 78 || r.OutputTokens != 50 || !r.Repeatable || r.Model != "m" {
			t.Errorf("completion: got %+v", r.Request)
		}
	}
	if len(hashes) != 1 || hashes[0] {
		t.Errorf("prefix hashes of prompts with one prefix: got %v, want one other than 0", hashes)
	}
}

// sendRaw sends a request verbatim and returns the status line of the reply.
func sendRaw(t *testing.T, srv *httptest.Server, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, request)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// Guards against stalled uploads that hold memory indefinitely, and against
// HTTP/1.0, in which a caller cannot detect a truncated reply.
func TestSlowUploadAndOldProtocol(t *testing.T) {
	srv, got := startFrontend(t, nil)
	line := sendRaw(t, srv, "POST /desk HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer k\r\nContent-Length: 10\r\n\r\nhalf")
	if !strings.Contains(line, "408") {
		t.Errorf("slow upload: got %q, want 408", line)
	}
	if line := sendRaw(t, srv, "GET /desk HTTP/1.0\r\nAuthorization: Bearer k\r\n\r\n"); !strings.Contains(line, "400") {
		t.Errorf("HTTP/1.0: got %q, want 400", line)
	}
	if len(got) != 0 {
		t.Errorf("requests served: got %d, want 0", len(got))
	}
}

// Guards against prompts, payment data and idempotency keys in logs.
func TestLogsHoldNoContent(t *testing.T) {
	zc, logs := observer.New(zap.DebugLevel)
	srv, _ := startFrontend(t, zap.New(zc))
	do(t, "POST", srv.URL+"/desk/deposits?card=4111", "card 4111", "Idempotency-Key", "key-4111")
	do(t, "POST", srv.URL+caller.CompletionsPath, `{"model":"m","prompt":"card 4111`)
	srv.Close()
	for _, e := range logs.All() {
		if s := fmt.Sprint(e.Message, e.ContextMap()); strings.Contains(s, "4111") {
			t.Errorf("log entry: got %q, want no content", s)
		}
	}
	if got := logs.Len(); got != 2 {
		t.Errorf("log entries: got %d, want 2", got)
	}
}
