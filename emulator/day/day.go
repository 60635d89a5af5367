// Package day plays a day of gateways in real time: callers, an operator, and a store and
// backend servers with faults. It checks rules from what callers and servers see.
package day

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/emulator/loopback"
	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
	"nutmegnotch/gateway"
	"nutmegnotch/platform"
)

// Settings of a day.
const (
	gateways       = 3
	deskServers    = 4
	modelServers   = 3
	callersPerKind = 3
	events         = 6
	eventInterval  = 10 * time.Millisecond
	processingTime = 5 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	callerPause    = 15 * time.Millisecond
	callTimeout    = 3 * time.Second
	startTimeout   = 10 * time.Second
	// settleTime is the time at the end of a day in which nothing happens.
	settleTime = 2 * time.Second
	readHeader = 5 * time.Second
)

// Result holds the figures of a day.
type Result struct {
	Sent, Served, Refused, Failed int
	// EraTimes are the times from the first configuration after each return of the store
	// until it was in force at all gateways.
	EraTimes []time.Duration
	// Violations describe broken rules.
	Violations []string
}

// day is the state of a day that is being played.
type day struct {
	rnd          *rand.Rand
	store        *metastore.Store
	storeAddress string
	client       *http.Client
	ctx          context.Context
	wg           conc.WaitGroup

	mu sync.Mutex
	// gateways holds the gateways that take requests; nil stands for one that restarts.
	gateways []*process
	result   Result
	servers  []*server
	version  int
	// outcomes holds the status of each request by its id, and sentBy the address of
	// its gateway.
	outcomes map[string]int
	sentBy   map[string]string
	once     map[string]bool
	number   int
}

// process is a running gateway.
type process struct {
	id                   string
	address, ready, peer string
	stop                 context.CancelFunc
	done                 chan struct{}
}

// Play plays a day of a length. It takes settleTime longer.
func Play(seed uint64, length time.Duration) (Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &day{rnd: rand.New(rand.NewPCG(seed, 11)), store: metastore.New(), ctx: ctx,
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callersPerKind * 4}},
		outcomes: map[string]int{}, sentBy: map[string]string{}, once: map[string]bool{}}
	stopStore, err := d.serveStore()
	if err != nil {
		cancel()
		return Result{}, err
	}
	defer stopStore()
	defer d.client.CloseIdleConnections()
	defer d.stopAll()
	defer d.wg.Wait()
	defer cancel()
	if err := d.start(); err != nil {
		return Result{}, err
	}
	faults := d.schedule(length)
	for kind := range callerKinds {
		for n := range callersPerKind * gateways {
			d.wg.Go(func() { d.call(kind, n%gateways) })
		}
	}
	for i := range gateways {
		d.wg.Go(func() { d.callKept(i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	for _, f := range faults {
		d.wg.Go(func() {
			if sleep(ctx, f.at) {
				f.run()
			}
		})
	}
	sleep(ctx, length+settleTime)
	cancel()
	d.wg.Wait()
	d.check()
	return d.result, nil
}

// sleep waits for a time. It reports false if ctx is done first.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *day) serveStore() (stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	s := &http.Server{Handler: d.store, ReadHeaderTimeout: readHeader}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	d.storeAddress = l.Addr().String()
	for i := range gateways {
		p, err := d.newGateway(fmt.Sprintf("gateway-%d", i))
		if err != nil {
			s.Close()
			return nil, err
		}
		d.gateways = append(d.gateways, p)
	}
	return func() { s.Close(); <-done }, nil
}

func (d *day) newGateway(id string) (*process, error) {
	p := &process{id: id, done: make(chan struct{})}
	for _, a := range []*string{&p.address, &p.ready, &p.peer} {
		var err error
		if *a, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	var seeds []string
	for i := range d.gateways {
		if o := d.gateway(i); o != nil {
			seeds = append(seeds, o.peer)
		}
	}
	client := platform.NewStoreClient(d.storeAddress, 500*time.Millisecond)
	g := gateway.New(gateway.Config{
		ID: id, Incarnation: p.address, FailureDomain: "z1", Deployment: "day",
		CallerAddress: p.address, ReadyAddress: p.ready, PeerAddress: p.peer, ServersInterval: 300 * time.Millisecond,
		Reloadable: gateway.ReloadableConfig{Seeds: seeds, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Grace: 2 * time.Second},
		// The log lines of a day are not kept.
		BodyMemoryBytes: 1 << 20, ReplyMemoryBytes: 1 << 20, Store: client, Decoder: platform.RecordDecoder{}, Headers: platform.Headers{}, Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() {
		defer close(p.done)
		if err := g.Run(ctx); err != nil {
			d.violate("gateway ended: %v", err)
		}
		client.Close()
	}()
	return p, nil
}

// start publishes the first configuration, starts the servers and waits until all
// gateways are ready.
func (d *day) start() error {
	d.publish()
	for range deskServers {
		if _, err := d.addServer("desk"); err != nil {
			return err
		}
	}
	for range modelServers {
		if _, err := d.addServer("model"); err != nil {
			return err
		}
	}
	for _, p := range d.gateways {
		for end := time.Now().Add(startTimeout); !d.isReady(p); {
			if time.Now().After(end) {
				return fmt.Errorf("gateway at %s is not ready after %v", p.address, startTimeout)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	// All servers are known by then.
	time.Sleep(time.Second)
	return nil
}

func (d *day) isReady(p *process) bool {
	resp, err := d.client.Get("http://" + p.ready + "/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// gateway returns a gateway that takes requests, or nil while it restarts.
func (d *day) gateway(i int) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gateways[i]
}

// restart stops a gateway and starts it again, as an update does. The balancer sends it
// nothing meanwhile.
func (d *day) restart(i int) {
	old := d.gateway(i)
	d.setGateway(i, nil)
	// Requests that were sent before are served.
	sleep(d.ctx, callTimeout/10)
	old.stop()
	<-old.done
	p, err := d.newGateway(old.id)
	if err != nil {
		d.violate("restart gateway: %v", err)
		return
	}
	for end := time.Now().Add(startTimeout); !d.isReady(p) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	d.setGateway(i, p)
}

func (d *day) setGateway(i int, p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways[i] = p
}

func (d *day) stopAll() {
	for _, p := range d.gateways {
		if p != nil {
			p.stop()
		}
	}
	for _, p := range d.gateways {
		if p != nil {
			<-p.done
		}
	}
	for _, s := range d.servers {
		s.runner.Close()
	}
}

// publish writes the next version of the configuration. Its key is valid in this version
// only, besides the one that callers use.
func (d *day) publish() int {
	d.mu.Lock()
	d.version++
	v := d.version
	d.mu.Unlock()
	route := func(name, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 3000, "slo_ms": 300, "priority": 1, "max_attempts": 2, "resumable": kind == "streaming", "gap_target_ms": 200}
	}
	d.store.PutJSON("keyed.op", "config", map[string]any{
		"version":  v,
		"routes":   []any{route("lookup", "idempotent", "desk"), route("book", "non_idempotent", "desk"), route("draft", "streaming", "model")},
		"services": []map[string]any{{"name": "desk", "max_conns": 200}, {"name": "model", "max_conns": 200}},
		"limits":   limitsOf(v).message(),
		"tenants":  []map[string]any{{"name": "org", "api_keys": []string{"main", versionKey(v)}}},
	})
	return v
}

func versionKey(version int) string { return fmt.Sprintf("version-%d", version) }

// server is a backend server and what it reports.
type server struct {
	id, service string
	runner      *runner.Runner
	mu          sync.Mutex
	state       string
	reports     int
	// leftAt is when its answers began to say that it leaves.
	leftAt time.Time
	// limitedFrom and limitedUntil are when it began and stopped naming a rate limit.
	limitedFrom, limitedUntil time.Time
}

func (d *day) addServer(service string) (*server, error) {
	d.mu.Lock()
	id := fmt.Sprintf("%s-%d", service, len(d.servers))
	d.mu.Unlock()
	cfg := runner.Config{ID: id, Body: "done", ProcessingTime: processingTime}
	if service == "model" {
		cfg.Events, cfg.EventInterval = events, eventInterval
	}
	r, err := runner.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", id, err)
	}
	s := &server{id: id, service: service, runner: r, state: "ready"}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.wg.Go(func() {
		for s.report(d.store) && sleep(d.ctx, reportInterval) {
		}
	})
	return s, nil
}

// report writes the record of a server. It reports false once the server is gone.
func (s *server) report(store *metastore.Store) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return false
	}
	s.reports++
	store.PutJSON("keyed.servers", s.id, map[string]any{"service": s.service, "addr": s.runner.Address(), "zone": "z1",
		"version": "v1", "cold_left_ms": 0, "slots": 8, "state": s.state, "born": 1, "seq": s.reports})
	return true
}

func (s *server) set(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (d *day) violate(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.Violations = append(d.result.Violations, fmt.Sprintf(format, args...))
}

// wantStream is the body of a whole stream.
func wantStream() string {
	var b strings.Builder
	for id := 1; id <= events; id++ {
		b.WriteString(runner.Event(id))
	}
	return b.String()
}
