package runner

import (
	"fmt"
	"sync"
	"time"

	"nutmegnotch/emulator/loopback"
	"nutmegnotch/emulator/metastore"
)

// serversTopic is the topic of the store in which servers register.
const serversTopic = "keyed.servers"

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Config
	Service string
	Zone    string
	Slots   int
	Store   *metastore.Store
	// RestartDelay is the time after a crash at which the server starts again, as a
	// new incarnation. ExpiryDelay is the time after which the record of a crashed
	// server is removed, unless the server has registered again.
	RestartDelay, ExpiryDelay time.Duration
	// KeepID makes a new incarnation keep the id of the server.
	KeepID bool
}

// Process is a backend server that registers itself in the store and starts again
// after a crash, at the same address. It is safe for concurrent use.
type Process struct {
	cfg     ProcessConfig
	mu      sync.Mutex
	current *Runner
	// runners holds all incarnations, in order.
	runners []*Runner
	crashes []time.Time
	wg      sync.WaitGroup
	done    chan struct{}
}

// NewProcess starts a server. Callers must call Close to stop it.
func NewProcess(cfg ProcessConfig) (*Process, error) {
	if cfg.Address == "" {
		// Nothing else may take the address while the server is down.
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		cfg.Address = address
	}
	p := &Process{cfg: cfg, done: make(chan struct{})}
	if err := p.start(cfg.Config); err != nil {
		return nil, err
	}
	p.wg.Add(1)
	go p.run()
	return p, nil
}

// start starts an incarnation and registers it.
func (p *Process) start(cfg Config) error {
	r, err := New(cfg)
	if err != nil {
		return fmt.Errorf("start server %s: %w", cfg.ID, err)
	}
	p.mu.Lock()
	p.current = r
	p.runners = append(p.runners, r)
	born := time.Now().UnixMilli() + int64(len(p.runners))
	p.mu.Unlock()
	p.cfg.Group.started(r)
	p.cfg.Store.PutJSON(serversTopic, cfg.ID, map[string]any{"service": p.cfg.Service, "addr": r.Address(),
		"zone": p.cfg.Zone, "version": "v1", "cold_left_ms": 0, "seq": 0, "slots": max(1, p.cfg.Slots), "state": "ready", "born": born})
	return nil
}

// run restarts the server after each crash.
func (p *Process) run() {
	defer p.wg.Done()
	for {
		r := p.Runner()
		select {
		case <-r.Crashed():
		case <-p.done:
			return
		}
		if !p.restart(r) {
			return
		}
	}
}

// restart waits for the delays after a crash and starts the next incarnation. It
// reports false if the Process is closed.
func (p *Process) restart(r *Runner) bool {
	p.cfg.Group.crashed(r)
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.runners)
	p.mu.Unlock()
	expiry, restart := time.After(p.cfg.ExpiryDelay), time.After(p.cfg.RestartDelay)
	next := p.cfg.Config
	if !p.cfg.KeepID {
		next.ID = fmt.Sprintf("%s-%d", p.cfg.ID, n)
	}
	for expired, started := false, false; !started || !expired; {
		select {
		case <-expiry:
			expired = true
			if !started || next.ID != r.cfg.ID {
				p.cfg.Store.Put(serversTopic, r.cfg.ID, nil)
			}
		case <-restart:
			r.Close()
			if err := p.start(next); err != nil {
				panic(err)
			}
			started = true
		case <-p.done:
			return false
		}
	}
	return true
}

// Runner returns the current incarnation.
func (p *Process) Runner() *Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Runs returns the requests that all incarnations have run, in order of their start.
func (p *Process) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, r := range p.runners {
		out = append(out, r.Runs()...)
	}
	return out
}

// Crashes returns the times at which incarnations have crashed.
func (p *Process) Crashes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}

// CrashesBy returns the times of the crashes that requests with matching targets have
// caused.
func (p *Process) CrashesBy(match func(target string) bool) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []time.Time
	for i, at := range p.crashes {
		if p.runners[i].causedBy(match) {
			out = append(out, at)
		}
	}
	return out
}

// Close stops the server.
func (p *Process) Close() {
	close(p.done)
	p.wg.Wait()
	p.Runner().Close()
}
