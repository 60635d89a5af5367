package hostlist_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"nutmegnotch/core"
	emulator "nutmegnotch/emulator/hostlist"
	"nutmegnotch/io/hostlist"
)

// Guards against a list that changes on the way, ignores its lag, or holds rows
// that no client understands.
func TestHosts(t *testing.T) {
	list := emulator.New([]core.Host{{ID: "a", Role: core.RoleEntry, State: core.HostLive}})
	srv := httptest.NewServer(list)
	defer func() { list.Close(); srv.Close() }()
	c := hostlist.New(srv.URL, 0)
	defer c.Close()
	state := func() core.HostState {
		t.Helper()
		hosts, err := c.Hosts(context.Background())
		if err != nil || len(hosts) != 1 {
			t.Fatalf("hosts: got %v (%v), want one", hosts, err)
		}
		return hosts[0].State
	}
	put := func(body string) int {
		t.Helper()
		req, err := http.NewRequest(http.MethodPut, srv.URL+"/hosts", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	list.SetFaults(emulator.Faults{LagMS: 300})
	if got := put(`[{"id":"a","role":"entry","state":"leaving"}]`); got != http.StatusNoContent {
		t.Fatalf("put: got %d, want 204", got)
	}
	if got, want := state(), core.HostLive; got != want {
		t.Errorf("state before the lag: got %s, want %s", got, want)
	}
	time.Sleep(400 * time.Millisecond)
	if got, want := state(), core.HostLeaving; got != want {
		t.Errorf("state after the lag: got %s, want %s", got, want)
	}
	if got := put(`[{"id":"a","role":"entry","state":"gone"}]`); got != http.StatusBadRequest {
		t.Errorf("put of a bad state: got %d, want 400", got)
	}
	list.SetFaults(emulator.Faults{Outage: true})
	if _, err := c.Hosts(context.Background()); !errors.Is(err, core.ErrUnavailable) {
		t.Errorf("outage: got %v, want ErrUnavailable", err)
	}
}
