package systemtest

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against a gateway that wakes after a pause and acts on what ran out meanwhile:
// a key that was withdrawn, a server that has left.
func TestPausedGateway(t *testing.T) {
	t.Parallel()
	const (
		requests = 20
		pause    = 3 * time.Second
	)
	g := newGatewayProc(t)
	var servers []*runner.Runner
	for _, id := range []string{"d1", "d2"} {
		s, err := runner.New(runner.Config{ID: id, Body: "ok"})
		if err != nil {
			t.Fatalf("start runner: %v", err)
		}
		defer s.Close()
		servers = append(servers, s)
	}
	register := func(id, addr, state string) {
		g.store.PutJSON("keyed.servers", id, map[string]any{"service": "desk", "addr": addr, "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 40, "state": state, "seq": 0})
	}
	configure := func(version int, keys ...string) {
		g.store.PutJSON("keyed.op", "config", map[string]any{
			"version": version, "services": []map[string]any{{"name": "desk"}}, "tenants": []map[string]any{{"name": "org-a", "api_keys": keys}},
			"routes": []map[string]any{{"name": "a", "host": "a.example", "path_prefix": "/a/", "kind": "idempotent", "service": "desk", "max_attempts": 2, "timeout_ms": 8000}},
		})
	}
	configure(1, "key-a", "key-b")
	register("d1", servers[0].Address(), "ready")
	register("d2", servers[1].Address(), "ready")
	eventually(t, "the gateway is ready", g.isReady)
	eventually(t, "both keys are served", func() bool { return g.getWithKey("key-a") == 200 && g.getWithKey("key-b") == 200 })
	g.signal(syscall.SIGSTOP)
	before := len(servers[0].Runs())
	var wg sync.WaitGroup
	var withdrawn, served atomic.Int32
	for range requests {
		wg.Go(func() {
			if g.getWithKey("key-a") == http.StatusOK {
				withdrawn.Add(1)
			}
		})
		wg.Go(func() {
			if g.getWithKey("key-b") == http.StatusOK {
				served.Add(1)
			}
		})
	}
	time.Sleep(pause / 2)
	configure(2, "key-b")
	register("d1", servers[0].Address(), "draining")
	time.Sleep(pause / 2)
	g.signal(syscall.SIGCONT)
	wg.Wait()
	if got := withdrawn.Load(); got != 0 {
		t.Errorf("requests with the withdrawn key: got %d served, want 0", got)
	}
	if got := len(servers[0].Runs()) - before; got != 0 {
		t.Errorf("requests at the server that has left: got %d, want 0", got)
	}
	if got := served.Load(); got != requests {
		t.Errorf("requests with the other key: got %d served, want %d", got, requests)
	}
	if t.Failed() {
		t.Log(g.log())
	}
}
