package systemtest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/engine"
)

// Guards against requests that run, and configuration that is read or changed,
// without the right to do so: wrong, missing or expired credentials, a service
// without a contract, and objects outside a team's organisations.
func TestAccessIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, desks: 1})
	c.waitReady()
	e := c.entries[1]
	c.mustPublish("contract/mill", core.Contract{Organisation: "mill", CallerKeyHashes: []string{hash("mill-key")},
		Services: []string{modelService}, RequestsPerSecond: 100, TokensPerSecond: 1e5, Concurrency: 10,
		ReplyTimeMS: 20000, ReplyMemoryBytes: 8 << 20, MaxPriority: 3, Weight: 1})
	first := c.client("trails").book(e, "shared")
	if first.result != resultOK {
		t.Fatalf("booking: got %+v, want a booking", first)
	}
	c.mustPublish("team/all", core.Team{Name: "all", TokenHash: hash("all-token"), Organisations: []string{"*"}})
	eventually(t, "the team is in force at all entries", func() bool {
		return c.callAs(c.entries[0], "all-token", "/objects", nil) == 200 && c.callAs(e, "all-token", "/objects", nil) == 200
	})
	team := map[string]any{"based_on": 0, "value": core.Team{Name: "mill", TokenHash: hash("mill-token"), Organisations: []string{"mill"}}}
	if got := c.callAs(c.entries[0], "all-token", "/objects/team/mill", team); got != http.StatusOK {
		t.Fatalf("publish team: got status %d, want 200", got)
	}
	eventually(t, "the team of one organisation is in force", func() bool { return c.callAs(e, "mill-token", "/objects/contract/mill", nil) == 200 })

	eventually(t, "the organisation may use its own service", func() bool {
		return c.client("mill").complete(e, "p", 2).result == resultOK
	})
	runs, offset := c.runCount(), c.configNextOffset(t)
	stranger := map[string]any{"based_on": 0, "value": core.Contract{Organisation: "x", CallerKeyHashes: []string{hash("x")},
		Services: []string{deskService}, RequestsPerSecond: 1, TokensPerSecond: 1, Concurrency: 1, ReplyTimeMS: 1000, ReplyMemoryBytes: 1 << 20, Weight: 1}}
	domain := map[string]any{"based_on": 0, "value": core.Domain{Name: "d1", State: core.DomainDrained}}
	tests := []struct {
		name string
		do   func() (int, result)
		want int
	}{
		{"completion with a wrong caller key", func() (int, result) { return c.requestAs("wrong", "") }, 401},
		{"booking with a wrong caller key", func() (int, result) { return c.requestAs("wrong", "k1") }, 401},
		{"booking without a caller key", func() (int, result) { return c.requestAs("", "k2") }, 401},
		{"operator token as a caller key", func() (int, result) { return c.requestAs("all-token", "k3") }, 401},
		{"hash of a caller key as a caller key", func() (int, result) { return c.requestAs(hash("trails-key"), "k3") }, 401},
		{"service without a contract", func() (int, result) { return c.requestAs("mill-key", "k4") }, 403},
		{"another's idempotency key without a contract", func() (int, result) { return c.requestAs("mill-key", "shared") }, 403},
		{"contract of another organisation", func() (int, result) {
			return c.callAs(e, "mill-token", "/objects/contract/x", stranger), ""
		}, 403},
		{"reading another contract", func() (int, result) { return c.callAs(e, "mill-token", "/objects/contract/trails", nil), "" }, 403},
		{"drain outside the scope", func() (int, result) { return c.callAs(e, "mill-token", "/objects/domain/d1", domain), "" }, 403},
		{"new team outside the scope", func() (int, result) {
			return c.callAs(e, "mill-token", "/objects/team/own", map[string]any{"based_on": 0,
				"value": core.Team{Name: "own", TokenHash: hash("own"), Organisations: []string{"*"}}}), ""
		}, 403},
		{"bootstrap token after the first team", func() (int, result) {
			return c.callAs(e, bootstrapToken, "/objects/domain/d1", domain), ""
		}, 401},
		{"no operator token", func() (int, result) { return c.callAs(e, "", "/objects/domain/d1", domain), "" }, 401},
		{"caller key as an operator token", func() (int, result) {
			return c.callAs(e, "trails-key", "/objects/domain/d1", domain), ""
		}, 401},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, outcome := tt.do()
			if got != tt.want || (outcome != "" && outcome != resultNotRun) {
				t.Errorf("got status %d and %q, want status %d and not run", got, outcome, tt.want)
			}
		})
	}
	if got := c.runCount(); got != runs {
		t.Errorf("runs at backend servers: got %d, want %d", got, runs)
	}
	if got := c.configNextOffset(t); got != offset {
		t.Errorf("configuration records: got %d, want %d", got, offset)
	}
	// Idempotency keys are scoped to the organisation.
	second := c.client("farm").book(e, "shared")
	if second.result != resultOK || second.booking == first.booking || len(c.bookings()) != 2 {
		t.Errorf("same key of another organisation: got %+v, want a separate booking", second)
	}
}

// requestAs sends a completion, or a booking if key is set, with a bearer token.
func (c *cluster) requestAs(token, key string) (int, result) {
	path, body := "/v1/completions", any(engine.CompletionRequest{Model: modelName, Prompt: "p", MaxTokens: 2})
	if key != "" {
		path, body = "/bookings", map[string]string{"mule": "m7", "key": key}
	}
	resp := c.sendWithToken(http.MethodPost, "http://"+c.entries[1].callerAddr+path, token, key, body)
	if resp == nil {
		return 0, resultUnknown
	}
	defer resp.Body.Close()
	return resp.StatusCode, withRefusal(response{}, resp).result
}

// callAs calls the administration API with an operator token and returns the
// status, or 0 without a response. A call with a body is a PUT.
func (c *cluster) callAs(e *proc, token, path string, body any) int {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPut
	}
	resp := c.sendWithToken(method, "http://"+e.adminAddr+path, token, "", body)
	if resp == nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// sendWithToken sends a request with a bearer token and an idempotency key, each
// left out if empty. It returns nil without a response.
func (c *cluster) sendWithToken(method, url, token, key string, body any) *http.Response {
	b, err := json.Marshal(body)
	if err != nil {
		c.t.Fatalf("encode body: %v", err)
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		c.t.Fatalf("create request: %v", err)
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Timeout: 8 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return nil
	}
	return resp
}

// runCount returns the number of runs at all backend servers, without lookups.
func (c *cluster) runCount() int {
	n := len(c.bookings())
	for _, b := range c.models {
		n += len(b.engine.Runs())
	}
	return n
}

// configNextOffset returns the next offset of the configuration stream.
func (c *cluster) configNextOffset(t *testing.T) int64 {
	t.Helper()
	resp, err := http.Get("http://" + c.logAddr + "/streams/config")
	if err != nil {
		t.Fatalf("read the end of the log: %v", err)
	}
	defer resp.Body.Close()
	var end struct {
		NextOffset int64 `json:"next_offset"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&end); err != nil {
		t.Fatalf("decode the end of the log: %v", err)
	}
	return end.NextOffset
}
