package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	emulator "nutmegnotch/emulator/platformlog"
	"nutmegnotch/io/admin"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeProcess struct{ err error }

func (p *fakeProcess) Ready() error                     { return p.err }
func (p *fakeProcess) ReportStatus(context.Context) any { return map[string]string{"id": "entry-1"} }
func hashOf(token string) string                        { h := sha256.Sum256([]byte(token)); return hex.EncodeToString(h[:]) }
func domainValue(state string) string                   { return fmt.Sprintf(`{"name":"barn","state":%q}`, state) }
func putBody(basedOn int, id, value string) string {
	return fmt.Sprintf(`{"based_on":%d,"change_id":%q,"value":%s}`, basedOn, id, value)
}

// testAPI runs the administration API with a follower of an emulated log.
type testAPI struct {
	t      *testing.T
	log    *emulator.Server
	logURL string
	state  *fakeProcess
	http   *admin.Server
}

func startAPI(t *testing.T) *testAPI {
	a := &testAPI{t: t, log: emulator.New(emulator.Config{}), state: &fakeProcess{}}
	srv := httptest.NewServer(a.log)
	a.logURL = srv.URL
	log := platformlog.New(srv.URL, 300*time.Millisecond)
	f := configlog.New(configlog.Config{Self: core.EntryInfo{ID: "entry-1", Address: "127.0.0.1:1"}, Role: core.RoleAgent, Log: log, ReadWait: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx, nil)
	a.http = admin.New(admin.Config{ID: "entry-1", Configuration: f, Log: log, Readiness: a.state, Status: a.state, BootstrapTokenHash: hashOf("first"), ReportInterval: time.Second})
	t.Cleanup(func() {
		stop, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		a.http.Close(stop)
		cancel()
		<-f.Done()
		log.Close()
		a.log.Close()
		srv.Close()
	})
	return a
}

func (a *testAPI) call(method, path, token, body string) (int, map[string]any) {
	a.t.Helper()
	r := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	a.http.ServeHTTP(w, r)
	var v map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		a.t.Fatalf("%s %s: body %q is not JSON: %v", method, path, w.Body, err)
	}
	return w.Code, v
}

func (a *testAPI) wantStatus(status int, method, path, token, body string) map[string]any {
	a.t.Helper()
	got, v := a.call(method, path, token, body)
	if got != status {
		a.t.Fatalf("%s %s as %q: got %d %v, want %d", method, path, token, got, v, status)
	}
	return v
}

// Guards against access without a valid token or outside the scope of a team, and
// against a bootstrap token that is still accepted once a team exists.
func TestAccess(t *testing.T) {
	a := startAPI(t)
	a.wantStatus(http.StatusUnauthorized, "GET", "/objects", "", "")
	a.wantStatus(http.StatusUnauthorized, "GET", "/objects", "wrong", "")
	a.wantStatus(http.StatusOK, "GET", "/objects", "first", "")
	team := func(name, token, scope string) {
		value := fmt.Sprintf(`{"name":%q,"token_hash":%q,"organisations":[%q]}`, name, hashOf(token), scope)
		adminToken := "first"
		if name != "ops" {
			adminToken = "root"
		}
		a.wantStatus(http.StatusOK, "PUT", "/objects/team/"+name, adminToken, putBody(0, "team-"+name, value))
	}
	team("ops", "root", "*")
	a.wantStatus(http.StatusUnauthorized, "GET", "/objects", "first", "")
	team("acme", "mule", "acme")
	contract := func(org string) string {
		return fmt.Sprintf(`{"organisation":%q,"caller_key_hashes":[],"services":["desk"],"requests_per_second":1,"tokens_per_second":1,"concurrency":1,"reply_time_ms":1,"reply_memory_bytes":1,"max_priority":0,"weight":1}`, org)
	}
	a.wantStatus(http.StatusOK, "PUT", "/objects/contract/acme", "mule", putBody(0, "c1", contract("acme")))
	a.wantStatus(http.StatusForbidden, "PUT", "/objects/contract/other", "mule", putBody(0, "c2", contract("other")))
	a.wantStatus(http.StatusForbidden, "PUT", "/objects/domain/barn", "mule", putBody(0, "c3", domainValue("drained")))
	a.wantStatus(http.StatusForbidden, "GET", "/objects/team/ops", "mule", "")
	if list := a.wantStatus(http.StatusOK, "GET", "/objects", "mule", "")["objects"].([]any); len(list) != 1 {
		t.Errorf("objects that the team may read: got %v, want only its contract", list)
	}
	a.wantStatus(http.StatusOK, "GET", "/status", "mule", "")
}

// Guards against a read-only team that can change objects or that cannot read them,
// and against reports that include organisations outside the scope of a team.
func TestReadOnlyTeamAndReports(t *testing.T) {
	a := startAPI(t)
	for i, value := range []string{
		fmt.Sprintf(`{"name":"ops","token_hash":%q,"organisations":["*"]}`, hashOf("root")),
		fmt.Sprintf(`{"name":"monitor","token_hash":%q,"organisations":["*"],"read_only":true}`, hashOf("watch")),
		fmt.Sprintf(`{"name":"acme","token_hash":%q,"organisations":["acme"],"read_only":true}`, hashOf("mule")),
	} {
		a.wantStatus(http.StatusOK, "PUT", "/objects/team/"+[]string{"ops", "monitor", "acme"}[i], []string{"first", "root", "root"}[i], putBody(0, fmt.Sprint("team", i), value))
	}
	a.wantStatus(http.StatusForbidden, "PUT", "/objects/domain/barn", "watch", putBody(0, "d1", domainValue("drained")))
	a.wantStatus(http.StatusForbidden, "DELETE", "/objects/team/ops?based_on=1", "watch", "")
	a.wantStatus(http.StatusOK, "GET", "/objects/team/ops", "watch", "")
	if n := len(a.wantStatus(http.StatusOK, "GET", "/audit", "watch", "")["records"].([]any)); n == 0 {
		t.Error("audit as the read-only team: got no records")
	}
	if got := a.wantStatus(http.StatusOK, "GET", "/reports", "watch", "")["verdict"]; got != "not_known" {
		t.Errorf("verdict without records: got %v, want not_known", got)
	}
	r := report.Record{EntryID: "entry-1", Incarnation: "i", Sequence: 1, AgeMS: 60_000, LengthMS: 1000, Closed: report.ClosedIdle, Counts: []report.Count{
		{Organisation: "acme", Requests: 1, Whole: 1, OnTime: 1, ReplyTimeMS: 1}, {Organisation: "other", Requests: 1, Cut: 1, ReplyTimeMS: 1}}}
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	log := platformlog.New(a.logURL, time.Second)
	defer log.Close()
	if _, err := log.Append(context.Background(), core.StreamReports, data); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		token, query, verdict string
		organisations         int
	}{
		{"watch", "", "broken", 2}, {"watch", "?organisation=acme", "kept", 1}, {"watch", "?organisation=other", "broken", 1}, {"mule", "", "kept", 1},
	} {
		got := a.wantStatus(http.StatusOK, "GET", "/reports"+tt.query, tt.token, "")
		if got["verdict"] != tt.verdict || len(got["organisations"].([]any)) != tt.organisations {
			t.Errorf("report%s as %s: got %v, want %s of %d organisations", tt.query, tt.token, got, tt.verdict, tt.organisations)
		}
	}
	a.wantStatus(http.StatusForbidden, "GET", "/reports?organisation=other", "mule", "")
	a.wantStatus(http.StatusBadRequest, "GET", "/reports?from=yesterday", "watch", "")
	a.wantStatus(http.StatusBadRequest, "GET", "/reports?from=2999-01-01T00:00:00Z", "watch", "")
	a.log.SetFaults(emulator.Faults{Outage: emulator.OutageRefuse})
	a.wantStatus(http.StatusServiceUnavailable, "GET", "/reports", "watch", "")
}

// Guards against wrong responses to conflicting, invalid and unconfirmed changes,
// and against changes without an audit record.
func TestChangesAndAudit(t *testing.T) {
	a := startAPI(t)
	path := "/objects/domain/barn"
	first := a.wantStatus(http.StatusOK, "PUT", path, "first", putBody(0, "one", domainValue("drained")))
	version := int(first["version"].(float64))
	a.wantStatus(http.StatusOK, "PUT", path, "first", putBody(0, "one", domainValue("drained")))
	lost := a.wantStatus(http.StatusConflict, "PUT", path, "first", putBody(0, "two", domainValue("active")))
	if got, want := lost["outcome"].(map[string]any)["winner"], "one"; got != want {
		t.Errorf("winner: got %v, want %v", got, want)
	}
	a.wantStatus(http.StatusUnprocessableEntity, "PUT", path, "first", putBody(version, "three", domainValue("off")))
	a.wantStatus(http.StatusBadRequest, "PUT", path, "first", `{"value":{}}`)
	a.wantStatus(http.StatusBadRequest, "PUT", path, "first", `{"x":1}`)
	a.wantStatus(http.StatusBadRequest, "PUT", path+"?timeout_ms=0", "first", putBody(0, "x", domainValue("active")))
	a.wantStatus(http.StatusNotFound, "GET", "/changes/nothing", "first", "")
	a.wantStatus(http.StatusNotFound, "GET", "/objects/domain/other", "first", "")
	if got := a.wantStatus(http.StatusOK, "GET", "/changes/two", "first", "")["result"]; got != "lost" {
		t.Errorf("outcome of change two: got %v, want lost", got)
	}

	a.log.SetFaults(emulator.Faults{Outage: emulator.OutageRefuse})
	a.wantStatus(http.StatusAccepted, "PUT", path+"?timeout_ms=500", "first", putBody(version, "four", domainValue("active")))
	a.log.SetFaults(emulator.Faults{})
	a.wantStatus(http.StatusOK, "PUT", path, "first", putBody(version, "four", domainValue("active")))
	a.wantStatus(http.StatusBadRequest, "DELETE", path, "first", "")
	a.wantStatus(http.StatusConflict, "DELETE", fmt.Sprintf("%s?based_on=%d&change_id=five", path, version), "first", "")

	var got []string
	want := "one:accepted one:accepted two:lost three:rejected four:unknown four:accepted five:lost four:accepted"
	for end := time.Now().Add(10 * time.Second); len(got) < 8 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		got = nil
		for _, r := range a.wantStatus(http.StatusOK, "GET", "/audit?object=domain/barn", "first", "")["records"].([]any) {
			m := r.(map[string]any)
			got = append(got, fmt.Sprint(m["change_id"], ":", m["result"]))
			if m["change_id"] == "five" && (m["team"] != "bootstrap" || m["before"] == nil) {
				t.Errorf("audit record: got %v, want team and value before", m)
			}
		}
	}
	if countWords(strings.Join(got, " ")) != countWords(want) {
		t.Errorf("audit: got %v, want %s in any order", got, want)
	}
}

// countWords returns how often each word occurs. It ignores the order, since the
// second audit record of an unknown outcome may be at any later position.
func countWords(s string) string {
	count := map[string]int{}
	for _, w := range strings.Fields(s) {
		count[w]++
	}
	return fmt.Sprint(count)
}

// Guards against health and readiness endpoints that report the wrong state to a
// load balancer.
func TestHealth(t *testing.T) {
	a := startAPI(t)
	a.wantStatus(http.StatusOK, "GET", "/healthz", "", "")
	a.wantStatus(http.StatusOK, "GET", "/readyz", "", "")
	a.wantStatus(http.StatusOK, "GET", "/debug/vars", "", "")
	a.state.err = errors.New("draining")
	a.wantStatus(http.StatusServiceUnavailable, "GET", "/readyz", "", "")
	a.wantStatus(http.StatusNotFound, "GET", "/nothing", "", "")
	a.wantStatus(http.StatusMethodNotAllowed, "POST", "/healthz", "", "")
}
