package systemtest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"nutmegnotch/core"
)

// hash returns the SHA-256 of a token or key in hexadecimal.
func hash(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

// publishDefaults publishes a team of operators, whose token is valid at agents
// too, two services, and the contracts.
func (c *cluster) publishDefaults() {
	c.t.Helper()
	team := map[string]any{"based_on": 0, "value": core.Team{Name: "operators", TokenHash: hash(operatorToken), Organisations: []string{"*"}}}
	if got := c.callAs(c.entries[0], bootstrapToken, "/objects/team/operators", team); got != http.StatusOK {
		c.t.Fatalf("publish the first team: got status %d, want 200", got)
	}
	c.mustPublish("service/"+modelService, core.Service{Name: modelService, Kind: core.ServiceModel, Models: []string{modelName},
		Repeatable: true, ColdConcurrency: 4, ColdTokens: 3000, MaxConcurrency: 64, MemoryTokens: 50000, MaxOutputTokens: 2000,
		BytesPerToken: 256, MaxBodyBytes: 1 << 20, MaxReplyBytes: 4 << 20, RequestTimeoutMS: 30000})
	c.mustPublish("service/"+deskService, core.Service{Name: deskService, Kind: core.ServicePlain, PathPrefix: "/bookings",
		ColdConcurrency: 16, ColdTokens: 16, MaxConcurrency: 64, MemoryTokens: 64, MaxBodyBytes: 1 << 16, MaxReplyBytes: 1 << 16,
		RequestTimeoutMS: 10000})
	for _, k := range c.contracts {
		c.mustPublish("contract/"+k.Organisation, k)
	}
	for _, org := range []string{"trails", "farm"} {
		c.mustPublish("contract/"+org, core.Contract{Organisation: org, CallerKeyHashes: []string{hash(org + "-key")},
			Services: []string{modelService, deskService}, RequestsPerSecond: 2000, TokensPerSecond: 1e6, Concurrency: 400,
			ReplyTimeMS: 20000, ReplyMemoryBytes: 64 << 20, MaxPriority: 3, Weight: 1})
	}
}

// mustPublish publishes an object that does not exist yet.
func (c *cluster) mustPublish(object string, value any) {
	c.t.Helper()
	if code, body := c.publish(c.entries[0], object, 0, value); code != http.StatusOK {
		c.t.Fatalf("publish %s: got status %d, want 200: %s", object, code, body)
	}
}

// publish publishes an object through the administration API of one entry. It
// returns the status and the body of the response.
func (c *cluster) publish(e *proc, object string, basedOn int64, value any) (int, string) {
	var response json.RawMessage
	code := c.call(e, http.MethodPut, "/objects/"+object, map[string]any{"based_on": basedOn, "value": value}, &response)
	return code, string(response)
}

// version returns the version of an object at one entry, or 0 when there is
// none.
func (c *cluster) version(e *proc, object string) int64 {
	var o struct {
		Version int64 `json:"version"`
	}
	if c.call(e, http.MethodGet, "/objects/"+object, nil, &o) != http.StatusOK {
		return 0
	}
	return o.Version
}

// setDomain drains or restores a failure domain and records the event once the
// change is accepted.
func (c *cluster) setDomain(e *proc, domain string, state core.DomainState) {
	c.t.Helper()
	object := "domain/" + domain
	code, body := c.publish(e, object, c.version(e, object), core.Domain{Name: domain, State: state})
	if code != http.StatusOK {
		c.t.Fatalf("set failure domain %s to %s: got status %d, want 200: %s", domain, state, code, body)
	}
	kind := eventDrained
	if state == core.DomainActive {
		kind = eventRestored
	}
	c.history.add(event{kind: kind, domain: domain})
}

// call calls the administration API and returns the status, or 0 when there was
// no response.
func (c *cluster) call(p *proc, method, path string, body, out any) int {
	b, err := json.Marshal(body)
	if err != nil {
		c.t.Fatalf("encode call: %v", err)
	}
	r, err := http.NewRequest(method, "http://"+p.adminAddr+path, bytes.NewReader(b))
	if err != nil {
		c.t.Fatalf("create call: %v", err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	client := http.Client{Timeout: 8 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(out)
	return resp.StatusCode
}

// getJSON reads a JSON document from an emulator.
func getJSON(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return fmt.Errorf("decode response of %s: %w", url, err)
	}
	return nil
}

// dumpLogs logs the last log lines of all processes if the test has failed.
func (c *cluster) dumpLogs() {
	if !c.t.Failed() {
		return
	}
	for _, p := range c.procs() {
		c.t.Logf("--- %s (%s)\n%s", p.id, p.state(), p.logTail(15))
	}
}
