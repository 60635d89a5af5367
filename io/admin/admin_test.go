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

type process struct{ err error }

func (p *process) Ready() error                     { return p.err }
func (p *process) ReportStatus(context.Context) any { return map[string]string{"id": "entry-1"} }
func hashOf(token string) string                    { h := sha256.Sum256([]byte(token)); return hex.EncodeToString(h[:]) }
func domain(state string) string                    { return fmt.Sprintf(`{"name":"barn","state":%q}`, state) }
func put(basedOn int, id, value string) string {
	return fmt.Sprintf(`{"based_on":%d,"change_id":%q,"value":%s}`, basedOn, id, value)
}

// api runs the administration API over a follower and a stand-in of the log.
type api struct {
	t      *testing.T
	log    *emulator.Server
	logURL string
	state  *process
	http   *admin.Server
}

func start(t *testing.T) *api {
	a := &api{t: t, log: emulator.New(emulator.Config{}), state: &process{}}
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

func (a *api) call(method, path, token, body string) (int, map[string]any) {
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

func (a *api) want(status int, method, path, token, body string) map[string]any {
	a.t.Helper()
	got, v := a.call(method, path, token, body)
	if got != status {
		a.t.Fatalf("%s %s as %q: got %d %v, want %d", method, path, token, got, v, status)
	}
	return v
}

// Guards against callers without a token or outside their scope, and against a
// bootstrap token that still works when teams exist.
func TestAccess(t *testing.T) {
	a := start(t)
	a.want(http.StatusUnauthorized, "GET", "/objects", "", "")
	a.want(http.StatusUnauthorized, "GET", "/objects", "wrong", "")
	a.want(http.StatusOK, "GET", "/objects", "first", "")
	team := func(name, token, scope string) {
		value := fmt.Sprintf(`{"name":%q,"token_hash":%q,"organisations":[%q]}`, name, hashOf(token), scope)
		admin := "first"
		if name != "ops" {
			admin = "root"
		}
		a.want(http.StatusOK, "PUT", "/objects/team/"+name, admin, put(0, "team-"+name, value))
	}
	team("ops", "root", "*")
	a.want(http.StatusUnauthorized, "GET", "/objects", "first", "")
	team("acme", "mule", "acme")
	contract := func(org string) string {
		return fmt.Sprintf(`{"organisation":%q,"caller_key_hashes":[],"services":["desk"],"requests_per_second":1,"tokens_per_second":1,"concurrency":1,"reply_time_ms":1,"reply_memory_bytes":1,"max_priority":0,"weight":1}`, org)
	}
	a.want(http.StatusOK, "PUT", "/objects/contract/acme", "mule", put(0, "c1", contract("acme")))
	a.want(http.StatusForbidden, "PUT", "/objects/contract/other", "mule", put(0, "c2", contract("other")))
	a.want(http.StatusForbidden, "PUT", "/objects/domain/barn", "mule", put(0, "c3", domain("drained")))
	a.want(http.StatusForbidden, "GET", "/objects/team/ops", "mule", "")
	if list := a.want(http.StatusOK, "GET", "/objects", "mule", "")["objects"].([]any); len(list) != 1 {
		t.Errorf("objects that the team may read: got %v, want only its contract", list)
	}
	a.want(http.StatusOK, "GET", "/status", "mule", "")
}

// Guards against a read-only team that changes something or that cannot read,
// and against reports outside the scope of a team.
func TestReadOnlyTeamAndReports(t *testing.T) {
	a := start(t)
	for i, value := range []string{
		fmt.Sprintf(`{"name":"ops","token_hash":%q,"organisations":["*"]}`, hashOf("root")),
		fmt.Sprintf(`{"name":"monitor","token_hash":%q,"organisations":["*"],"read_only":true}`, hashOf("watch")),
		fmt.Sprintf(`{"name":"acme","token_hash":%q,"organisations":["acme"],"read_only":true}`, hashOf("mule")),
	} {
		a.want(http.StatusOK, "PUT", "/objects/team/"+[]string{"ops", "monitor", "acme"}[i], []string{"first", "root", "root"}[i], put(0, fmt.Sprint("team", i), value))
	}
	a.want(http.StatusForbidden, "PUT", "/objects/domain/barn", "watch", put(0, "d1", domain("drained")))
	a.want(http.StatusForbidden, "DELETE", "/objects/team/ops?based_on=1", "watch", "")
	a.want(http.StatusOK, "GET", "/objects/team/ops", "watch", "")
	if n := len(a.want(http.StatusOK, "GET", "/audit", "watch", "")["records"].([]any)); n == 0 {
		t.Error("audit as the read-only team: got no records")
	}
	if got := a.want(http.StatusOK, "GET", "/reports", "watch", "")["verdict"]; got != "not_known" {
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
		got := a.want(http.StatusOK, "GET", "/reports"+tt.query, tt.token, "")
		if got["verdict"] != tt.verdict || len(got["organisations"].([]any)) != tt.organisations {
			t.Errorf("report%s as %s: got %v, want %s of %d organisations", tt.query, tt.token, got, tt.verdict, tt.organisations)
		}
	}
	a.want(http.StatusForbidden, "GET", "/reports?organisation=other", "mule", "")
	a.want(http.StatusBadRequest, "GET", "/reports?from=yesterday", "watch", "")
	a.want(http.StatusBadRequest, "GET", "/reports?from=2999-01-01T00:00:00Z", "watch", "")
	a.log.SetFaults(emulator.Faults{Outage: emulator.OutageRefuse})
	a.want(http.StatusServiceUnavailable, "GET", "/reports", "watch", "")
}

// Guards against wrong answers to racing, invalid and unconfirmed changes, and
// against changes without an audit record.
func TestChangesAndAudit(t *testing.T) {
	a := start(t)
	path := "/objects/domain/barn"
	first := a.want(http.StatusOK, "PUT", path, "first", put(0, "one", domain("drained")))
	version := int(first["version"].(float64))
	a.want(http.StatusOK, "PUT", path, "first", put(0, "one", domain("drained")))
	lost := a.want(http.StatusConflict, "PUT", path, "first", put(0, "two", domain("active")))
	if got, want := lost["outcome"].(map[string]any)["winner"], "one"; got != want {
		t.Errorf("winner: got %v, want %v", got, want)
	}
	a.want(http.StatusUnprocessableEntity, "PUT", path, "first", put(version, "three", domain("off")))
	a.want(http.StatusBadRequest, "PUT", path, "first", `{"value":{}}`)
	a.want(http.StatusBadRequest, "PUT", path, "first", `{"x":1}`)
	a.want(http.StatusBadRequest, "PUT", path+"?timeout_ms=0", "first", put(0, "x", domain("active")))
	a.want(http.StatusNotFound, "GET", "/changes/nothing", "first", "")
	a.want(http.StatusNotFound, "GET", "/objects/domain/other", "first", "")
	if got := a.want(http.StatusOK, "GET", "/changes/two", "first", "")["result"]; got != "lost" {
		t.Errorf("outcome of change two: got %v, want lost", got)
	}

	a.log.SetFaults(emulator.Faults{Outage: emulator.OutageRefuse})
	a.want(http.StatusAccepted, "PUT", path+"?timeout_ms=500", "first", put(version, "four", domain("active")))
	a.log.SetFaults(emulator.Faults{})
	a.want(http.StatusOK, "PUT", path, "first", put(version, "four", domain("active")))
	a.want(http.StatusBadRequest, "DELETE", path, "first", "")
	a.want(http.StatusConflict, "DELETE", fmt.Sprintf("%s?based_on=%d&change_id=five", path, version), "first", "")

	var got []string
	want := "one:accepted one:accepted two:lost three:rejected four:unknown four:accepted five:lost four:accepted"
	for end := time.Now().Add(10 * time.Second); len(got) < 8 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		got = nil
		for _, r := range a.want(http.StatusOK, "GET", "/audit?object=domain/barn", "first", "")["records"].([]any) {
			m := r.(map[string]any)
			got = append(got, fmt.Sprint(m["change_id"], ":", m["result"]))
			if m["change_id"] == "five" && (m["team"] != "bootstrap" || m["before"] == nil) {
				t.Errorf("audit record: got %v, want team and value before", m)
			}
		}
	}
	if sortedWords(strings.Join(got, " ")) != sortedWords(want) {
		t.Errorf("audit: got %v, want %s in any order", got, want)
	}
}

// sortedWords counts words, since the late record of an unknown outcome may be
// anywhere after it.
func sortedWords(s string) string {
	count := map[string]int{}
	for _, w := range strings.Fields(s) {
		count[w]++
	}
	return fmt.Sprint(count)
}

// Guards against a balancer that is told the wrong state.
func TestHealth(t *testing.T) {
	a := start(t)
	a.want(http.StatusOK, "GET", "/healthz", "", "")
	a.want(http.StatusOK, "GET", "/readyz", "", "")
	a.want(http.StatusOK, "GET", "/debug/vars", "", "")
	a.state.err = errors.New("draining")
	a.want(http.StatusServiceUnavailable, "GET", "/readyz", "", "")
	a.want(http.StatusNotFound, "GET", "/nothing", "", "")
	a.want(http.StatusMethodNotAllowed, "POST", "/healthz", "", "")
}
