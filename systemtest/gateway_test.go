package systemtest

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

// gatewayProc is a gateway process with an emulated store.
type gatewayProc struct {
	*proc
	store      *metastore.Store
	callerAddr string
	readyAddr  string
}

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("find a free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newGatewayProc(t *testing.T) *gatewayProc {
	t.Helper()
	store := metastore.New()
	s := httptest.NewServer(store)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	g := &gatewayProc{store: store, callerAddr: freeAddress(t), readyAddr: freeAddress(t)}
	dir := t.TempDir()
	text := fmt.Sprintf(`id = "gateway-1"
role = "gateway"
failure_domain = "z1"
grace = "3s"
[listen]
caller = %q
ready = %q
peer = %q
[store]
address = %q
`, g.callerAddr, g.readyAddr, freeAddress(t), strings.TrimPrefix(s.URL, "http://"))
	g.proc = &proc{t: t, id: "gateway-1", role: "gateway", settings: writeFile(t, dir, "gateway.toml", text), logFile: filepath.Join(dir, "gateway.log")}
	g.start()
	t.Cleanup(g.kill)
	return g
}

func (g *gatewayProc) get(path string) int { return g.send(path, "") }

func (g *gatewayProc) getWithKey(key string) int { return g.send("/a/1", key) }

func (g *gatewayProc) send(path, key string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.callerAddr+path, nil)
	if err != nil {
		return 0
	}
	r.Host = "a.example"
	r.Header.Set("Nutmegnotch-Request-Id", "r1")
	if key != "" {
		r.Header.Set("Nutmegnotch-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (g *gatewayProc) isReady() bool {
	resp, err := http.Get("http://" + g.readyAddr + "/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gatewayProc) log() string {
	b, err := os.ReadFile(g.logFile)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Guards against a gateway process that does not serve, exits on SIGHUP or on
// invalid settings at a reload, or does not stop within its grace period.
func TestGatewayProcess(t *testing.T) {
	t.Parallel()
	g := newGatewayProc(t)
	desk, err := runner.New(runner.Config{ID: "d1", Body: "ok"})
	if err != nil {
		t.Fatalf("start runner: %v", err)
	}
	defer desk.Close()
	if got, want := g.isReady(), false; got != want {
		t.Errorf("ready without a configuration: got %v, want %v", got, want)
	}
	eventually(t, "a request without a configuration is refused", func() bool { return g.get("/a/1") == http.StatusServiceUnavailable })
	g.store.PutJSON("keyed.op", "config", map[string]any{
		"version": 1, "services": []map[string]any{{"name": "desk"}},
		"routes": []map[string]any{{"name": "a", "host": "a.example", "path_prefix": "/a/", "kind": "idempotent", "service": "desk", "max_attempts": 2, "timeout_ms": 2000}},
	})
	g.store.PutJSON("keyed.servers", "d1", map[string]any{"service": "desk", "addr": desk.Address(), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 2, "state": "ready", "seq": 0})
	eventually(t, "the gateway is ready", g.isReady)
	if got, want := g.get("/a/1"), http.StatusOK; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	g.signal(syscall.SIGHUP)
	eventually(t, "the settings are reloaded", func() bool { return strings.Contains(g.log(), "settings reloaded") })
	if err := os.WriteFile(g.settings, []byte("nonsense"), 0o600); err != nil {
		t.Fatalf("write settings: %v", err)
	}
	g.signal(syscall.SIGHUP)
	eventually(t, "invalid settings are reported", func() bool { return strings.Contains(g.log(), "settings were not reloaded") })
	if got, want := g.get("/a/1"), http.StatusOK; got != want {
		t.Errorf("status after invalid settings: got %d, want %d", got, want)
	}
	g.signal(syscall.SIGTERM)
	eventually(t, "the gateway is not ready", func() bool { return !g.isReady() })
	select {
	case <-g.exited:
	case <-time.After(5 * time.Second):
		t.Error("gateway still runs 5s after SIGTERM, want an exit within its grace period of 3s")
	}
	if g.exitErr != nil {
		t.Errorf("exit: got %v, want code 0", g.exitErr)
	}
}
