package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"nutmegnotch/emulator/metastore"
)

// Topics of the store that the operator and the runners write.
const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
)

// program is the project's program, as the build line of the deploy file leaves it.
const program = "target/nutmegnotch"

// scene holds the processes and stand-ins of one run of a case.
type scene struct {
	trouble bool
	begun   time.Time
	dir     string
	// network is the first part of all addresses of this run.
	network string
	store   *metastore.Store
	// storeAddress is where the store listens.
	storeAddress string

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*process
	closers   []func()
}

func newScene(record string, trouble bool) (*scene, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-two-")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: trouble, begun: time.Now(), dir: dir, file: f, record: bufio.NewWriter(f), store: metastore.New(),
		network: fmt.Sprintf("127.%d.%d", 130+rand.IntN(100), 1+rand.IntN(250))}
	s.storeAddress, err = s.serve(200, s.store)
	if err != nil {
		s.close()
		return nil, err
	}
	s.recordf("disruptions: %t", trouble)
	return s, nil
}

// host returns the IP address of a host of the scene.
func (s *scene) host(n int) string { return fmt.Sprintf("%s.%d", s.network, n) }

// freePort returns a port that is free on a host.
func (s *scene) freePort(n int) (int, error) {
	l, err := net.Listen("tcp", s.host(n)+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// address returns a free address on a host.
func (s *scene) address(n int) (string, error) {
	p, err := s.freePort(n)
	return fmt.Sprintf("%s:%d", s.host(n), p), err
}

// serve serves HTTP on a host until the scene ends.
func (s *scene) serve(n int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.host(n)+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	s.atEnd(func() { server.Close() })
	return l.Addr().String(), nil
}

func (s *scene) atEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// seconds returns a time as seconds since the begin of the run.
func (s *scene) seconds(t time.Time) float64 { return t.Sub(s.begun).Seconds() }

// recordf writes a line to the record.
func (s *scene) recordf(format string, args ...any) { s.recordAt(time.Now(), format, args...) }

func (s *scene) recordAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%9.3f %s\n", s.seconds(at), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	if !strings.Contains(line, "request ") {
		fmt.Print(line)
	}
}

// close ends all processes and stand-ins.
func (s *scene) close() {
	s.mu.Lock()
	processes, closers := s.processes, s.closers
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// process is a process of the project's program.
type process struct {
	scene    *scene
	role, id string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// start starts a role with settings.
func (s *scene) start(role, id, settings string) (*process, error) {
	path := filepath.Join(s.dir, id+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{scene: s, role: role, id: id, settings: path}
	if err := p.start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.scene.dir, p.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGNOTCH_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// publish writes a version of the configuration.
func (s *scene) publish(config map[string]any) { s.store.PutJSON(operatorTopic, "config", config) }

// limits are those of the users' sheets.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// gateway is a gateway and its addresses.
type gateway struct {
	*process
	caller, ready, peer string
}

// startGateways starts gateways, one in each zone, with settings as the template of the
// deploy file gives them.
func (s *scene) startGateways(zones ...string) ([]*gateway, error) {
	var out []*gateway
	var seeds []string
	for i := range zones {
		g := &gateway{}
		var err error
		for _, a := range []*string{&g.caller, &g.ready, &g.peer} {
			var e error
			*a, e = s.address(1 + i)
			err = errors.Join(err, e)
		}
		if err != nil {
			return nil, err
		}
		out, seeds = append(out, g), append(seeds, g.peer)
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	for i, g := range out {
		settings := fmt.Sprintf(`id = "front-%d"
role = "gateway"
failure_domain = %q
region = "mu-west"
memory_mb = 284
grace = "8s"
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
`, i+1, zones[i], list, g.caller, g.ready, g.peer, s.storeAddress)
		if g.process, err = s.start("gateway", fmt.Sprintf("front-%d", i+1), settings); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// awaitReady waits until all gateways are ready.
func (s *scene) awaitReady(gateways []*gateway) error {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range gateways {
			resp, err := http.Get("http://" + g.ready + "/readiness")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(gateways) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(gateways))
		}
	}
}
