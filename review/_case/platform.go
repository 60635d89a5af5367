package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"nutmegnotch/emulator/loopback"
	"nutmegnotch/emulator/metastore"
)

// Figures of the site puntada-viva, which all cases use.
const (
	gatewayMemoryMB = 284
	graceTime       = 8 * time.Second
	stableWindow    = 3 * time.Second
	maxBodyBytes    = 4194304
	headerTimeoutMS = 3000
	idleTimeoutMS   = 15000
	eventGap        = 120 * time.Millisecond
)

// host and zone are those of all cases.
const (
	host = "viva.example"
	zone = "antioquia-a"
)

// heartbeatInterval is the interval at which stand-ins of runners write their entries.
const heartbeatInterval = 1200 * time.Millisecond

// store is the platform's store as a server on loopback.
type store struct {
	*metastore.Store
	address string
	server  *http.Server
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &store{Store: metastore.New(), address: l.Addr().String()}
	s.server = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { s.server.Close() }

// keepListed writes the entry of a runner at once and at each heartbeat until ctx is done.
func (s *store) keepListed(ctx context.Context, id string, entry func(seq int) map[string]any) {
	s.PutJSON("keyed.servers", id, entry(1))
	go func() {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for seq := 2; ; seq++ {
			select {
			case <-t.C:
				s.PutJSON("keyed.servers", id, entry(seq))
			case <-ctx.Done():
				return
			}
		}
	}()
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, objective          time.Duration
	attempts                    int
}

// config returns a configuration with these routes and their services.
func config(routes ...route) map[string]any {
	var rs, services []map[string]any
	seen := map[string]bool{}
	for _, x := range routes {
		m := map[string]any{"name": x.name, "host": host, "path_prefix": x.prefix, "kind": x.kind, "service": x.service, "public": true,
			"timeout_ms": x.timeout.Milliseconds(), "slo_ms": x.objective.Milliseconds(), "priority": 1, "max_attempts": x.attempts}
		if x.kind == "streaming" {
			m["resumable"], m["sticky"], m["gap_target_ms"] = true, true, eventGap.Milliseconds()
		}
		rs = append(rs, m)
		if !seen[x.service] {
			seen[x.service] = true
			services = append(services, map[string]any{"name": x.service, "health_path": "/health", "max_conns": 278})
		}
	}
	return map[string]any{"version": 1, "routes": rs, "services": services, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": headerTimeoutMS, "idle_timeout_ms": idleTimeoutMS}}
}

// entry returns the function that makes the entries of a runner.
func entry(service, address string, slots int) func(seq int) map[string]any {
	born := time.Now().UnixMilli()
	return func(seq int) map[string]any {
		return map[string]any{"service": service, "addr": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": born}
	}
}

// gateway is a gateway in a process of its own.
type gateway struct {
	id, caller, ready, peer string
	settings                string
	log                     *os.File
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// startGateway starts a gateway that knows of no other.
func startGateway(dir, id, storeAddress string) (*gateway, error) {
	g, err := newGateway(id)
	if err != nil {
		return nil, err
	}
	return g, g.launch(dir, storeAddress, []string{g.peer})
}

// startGateways starts gateways that know each other, and waits until all are ready. The caller
// must kill those that it returns, also after an error.
func startGateways(dir string, n int, storeAddress string) ([]*gateway, error) {
	var all, started []*gateway
	var seeds []string
	for i := range n {
		g, err := newGateway(fmt.Sprintf("front-%s-%d", zone, i+1))
		if err != nil {
			return nil, err
		}
		all, seeds = append(all, g), append(seeds, g.peer)
	}
	for _, g := range all {
		if err := g.launch(dir, storeAddress, seeds); err != nil {
			return started, err
		}
		started = append(started, g)
	}
	for _, g := range started {
		if err := g.waitReady(); err != nil {
			return started, err
		}
	}
	return started, nil
}

// newGateway returns a gateway with addresses of its own, which is not started.
func newGateway(id string) (*gateway, error) {
	g := &gateway{id: id}
	for _, a := range []*string{&g.caller, &g.ready, &g.peer} {
		var err error
		if *a, err = loopback.FreeAddress(); err != nil {
			return nil, fmt.Errorf("find an address: %w", err)
		}
	}
	return g, nil
}

// launch writes the settings of a gateway, as deploy/gateway.toml gives them, and starts it
// with the command of the deploy file.
func (g *gateway) launch(dir, storeAddress string, seeds []string) error {
	list, err := json.Marshal(seeds)
	if err != nil {
		return fmt.Errorf("encode seeds: %w", err)
	}
	g.settings = filepath.Join(dir, g.id+".toml")
	text := fmt.Sprintf(`id = %q
role = "gateway"
failure_domain = %q
region = "loopback"
memory_mb = %d
grace = "%ds"
seeds = %s

[listen]
caller = %q
ready = %q
peer = %q

[store]
address = %q

[retry]
ratio = 0.2
slack = 92
window = "10s"
`, g.id, zone, gatewayMemoryMB, int(graceTime.Seconds()), list, g.caller, g.ready, g.peer, storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if g.log, err = os.Create(filepath.Join(dir, g.id+".log")); err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	return g.start()
}

func (g *gateway) start() error {
	g.cmd = exec.Command("target/nutmegnotch", "gateway")
	g.cmd.Env = append(os.Environ(), "NUTMEGNOTCH_CONFIG="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process, unless it has ended.
func (g *gateway) kill() {
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

// waitReady waits until the gateway answers health checks with 200.
func (g *gateway) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after 10 s", g.id)
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	begun time.Time
	f     *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{begun: time.Now(), f: f}, nil
}

// add writes a line with the time since the start of the case, to the record and to
// standard output.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.f.WriteString(line)
	fmt.Print(line)
}
