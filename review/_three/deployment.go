package main

import (
	"context"
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

// Bounds and times of the deployment, as in the sheet of pamplemousses-trek.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second
	graceTime         = 8 * time.Second
	stableWindow      = 3 * time.Second
	readyTimeout      = 15 * time.Second
	startTimeout      = 5 * time.Second
	host              = "case.example"
)

// deployment is a store, gateways and what they need.
type deployment struct {
	record *record
	dir    string
	store  *metastore.Store
	// proxy stands before the store, and storeAddress is its address.
	proxy        *proxy
	storeAddress string
	gateways     []*gatewayProcess
	closers      []func()
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	id, zone, settings  string
	caller, ready, peer string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// firstPort and portCount are the ports that are tried, below those that the system gives to
// outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
)

// usedPorts are the ports that freeAddress has returned.
var (
	usedPortsMu sync.Mutex
	usedPorts   = map[int]bool{}
)

// freeAddress returns a loopback address with a port that is free at present, each only once.
func freeAddress() (string, error) {
	usedPortsMu.Lock()
	defer usedPortsMu.Unlock()
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if usedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		usedPorts[port] = true
		return address, nil
	}
	return "", errors.New("no free port")
}

// newDeployment starts a store and prepares gateways, one for each zone.
func newDeployment(r *record, zones []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-three-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	d := &deployment{record: r, dir: dir, store: metastore.New()}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	proxy, pl, err := newProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { pl.Close() })
	d.proxy, d.storeAddress = proxy, pl.Addr().String()
	s := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { s.Close() })
	for i, zone := range zones {
		g := &gatewayProcess{id: fmt.Sprintf("gateway-%d", i+1), zone: zone}
		for _, a := range []*string{&g.caller, &g.ready, &g.peer} {
			if *a, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		d.gateways = append(d.gateways, g)
	}
	var seeds []string
	for _, g := range d.gateways {
		seeds = append(seeds, fmt.Sprintf("%q", g.peer))
	}
	for _, g := range d.gateways {
		metrics, err := freeAddress()
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf(`id = %q
role = "gateway"
failure_domain = %q
region = "r1"
memory_mb = 284
grace = "8s"
seeds = [%s]
[listen]
caller = %q
ready = %q
peer = %q
metrics = %q
[store]
address = %q
[retry]
ratio = 0.2
slack = 92
window = "10s"
`, g.id, g.zone, strings.Join(seeds, ", "), g.caller, g.ready, g.peer, metrics, d.storeAddress)
		g.settings = filepath.Join(dir, g.id+".toml")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
	}
	return d, nil
}

// startGateways starts all gateways and waits until they are ready.
func (d *deployment) startGateways() error {
	for _, g := range d.gateways {
		if err := d.start(g); err != nil {
			return err
		}
	}
	end := time.Now().Add(readyTimeout)
	for _, g := range d.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", g.id, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("%d gateways are ready", len(d.gateways))
	return nil
}

// start starts a gateway with the command of the deploy file.
func (d *deployment) start(g *gatewayProcess) error {
	log, err := os.OpenFile(filepath.Join(d.dir, g.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	g.cmd = exec.Command("target/nutmegnotch", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "NUTMEGNOTCH_CONFIG=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", g.id, err)
	}
	exited := make(chan struct{})
	cmd := g.cmd
	g.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a gateway.
func (g *gatewayProcess) signal(s syscall.Signal) error {
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", g.id, err)
	}
	return nil
}

func (g *gatewayProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, g := range d.gateways {
		if g.exited == nil {
			continue
		}
		_ = g.signal(syscall.SIGCONT)
		_ = g.signal(syscall.SIGKILL)
		<-g.exited
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		for _, g := range d.gateways {
			if b, err := os.ReadFile(filepath.Join(d.dir, g.id+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(dir, g.id+".log"), b, 0o600)
			}
		}
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func newRecord() *record { return &record{begun: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// since returns the time since the case has begun.
func (r *record) since(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return nil
}
