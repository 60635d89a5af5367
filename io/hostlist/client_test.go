package hostlist_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"nutmegnotch/core"
	emulator "nutmegnotch/emulator/hostlist"
	"nutmegnotch/io/hostlist"
)

// Guards against a client that changes the list, and against an emulator that
// ignores its lag or accepts an invalid state.
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

// Guards against an unchanged list that is transferred again, and against a changed
// one that is not.
func TestUnchangedListIsNotSent(t *testing.T) {
	list := emulator.New([]core.Host{{ID: "a", Role: core.RoleEntry, State: core.HostLive}})
	var statuses []int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		list.ServeHTTP(rec, r)
		statuses = append(statuses, rec.Code)
		for name, v := range rec.Header() {
			w.Header()[name] = v
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer func() { list.Close(); srv.Close() }()
	c := hostlist.New(srv.URL, 0)
	defer c.Close()
	for i, want := range []string{"a", "a", "b", "b"} {
		if i == 2 {
			list.Put([]core.Host{{ID: "b", Role: core.RoleAgent, State: core.HostLive}})
		}
		hosts, err := c.Hosts(context.Background())
		if err != nil || len(hosts) != 1 || hosts[0].ID != want {
			t.Fatalf("read %d: got %v (%v), want %q", i, hosts, err, want)
		}
	}
	if want := []int{200, 304, 200, 304}; !slices.Equal(statuses, want) {
		t.Errorf("answers: got %v, want %v", statuses, want)
	}
}
