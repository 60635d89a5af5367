package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"nutmegnotch/core"
	"nutmegnotch/emulator/loopback"
	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
	"nutmegnotch/gateway"
	"nutmegnotch/platform"
)

const waitTimeout = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// deployment runs a store, backend servers and gateways in the test process.
type deployment struct {
	t        *testing.T
	store    *metastore.Store
	http     *httptest.Server
	runners  map[string]*runner.Runner
	servers  []*runner.Process
	gateways []*process
	// started is the number of gateways that were started.
	started int
	// links wraps the store client of the next gateways; nil means that they have
	// no faults of their own.
	links      func(core.KeyedStore) core.KeyedStore
	isolations []*isolation
	version    int
	// reports is the number of reports of all servers.
	reports int
	routes  []map[string]any
	keys    []string
	limits  map[string]any
	// bodyMemory is that of the next gateways if it is above the usual one.
	bodyMemory int64
	reloadable gateway.ReloadableConfig
	// forgetAfter is that of the next gateways; 0 means the default.
	forgetAfter time.Duration
	// storeTimeout is how long the next gateways wait for an answer of the store.
	storeTimeout time.Duration
	// decoder is that of the next gateways; nil means the platform's.
	decoder core.RecordDecoder
	headers core.HeaderCodec
	// engine is the engine configuration of the model service; nil means none.
	engine map[string]any
}

// process is a running gateway.
type process struct {
	address, ready, peer string
	stop                 context.CancelFunc
	// reload passes changed settings to the gateway.
	reload func(gateway.ReloadableConfig)
	done   chan struct{}
	logs   *observer.ObservedLogs
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: metastore.New(), runners: map[string]*runner.Runner{}, keys: []string{"key-a"},
		storeTimeout: 500 * time.Millisecond,
		limits:       map[string]any{"max_body_bytes": 1000},
		reloadable:   gateway.ReloadableConfig{RetryRatio: 1, RetrySlack: 20, RetryWindow: 10 * time.Second, Grace: 2 * time.Second}}
	d.http = httptest.NewServer(d.store)
	t.Cleanup(func() {
		d.store.SetFault(metastore.FaultNone)
		for _, p := range d.gateways {
			p.stop()
		}
		for _, p := range d.gateways {
			<-p.done
		}
		d.http.CloseClientConnections()
		d.http.Close()
		for _, r := range d.runners {
			r.Close()
		}
		for _, p := range d.servers {
			p.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	})
	d.routes = []map[string]any{
		route("lookup", "/lookup/", "idempotent", "desk", 2),
		route("book", "/book/", "non_idempotent", "desk", 1),
		route("draft", "/draft/", "streaming", "model", 2),
	}
	d.routes[2]["resumable"], d.routes[2]["gap_target_ms"] = true, 200
	return d
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
		"slo_ms": 500, "priority": 1, "service": service, "max_attempts": attempts}
}

func (d *deployment) publish() {
	d.version++
	d.store.PutJSON("keyed.op", "config", map[string]any{
		"version": d.version, "routes": d.routes,
		"services": []map[string]any{{"name": "desk", "max_conns": 50}, {"name": "model", "max_conns": 50, "engine": d.engine}},
		"limits":   d.limits,
		"tenants":  []map[string]any{{"name": "org-a", "api_keys": d.keys}},
	})
}

func (d *deployment) addRunner(cfg runner.Config, service string) *runner.Runner {
	d.t.Helper()
	r, err := runner.New(cfg)
	if err != nil {
		d.t.Fatalf("start runner: %v", err)
	}
	d.runners[cfg.ID] = r
	d.announce(cfg.ID, service, "ready")
	return r
}

func (d *deployment) announce(id, service, state string) {
	d.reports++
	d.store.PutJSON("keyed.servers", id, map[string]any{
		"service": service, "addr": d.runners[id].Address(), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 4, "state": state, "born": 1, "seq": d.reports,
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// start starts a gateway whose seeds are the gateways started before.
func (d *deployment) start() *process {
	d.t.Helper()
	p := &process{address: freeAddress(d.t), ready: freeAddress(d.t), peer: freeAddress(d.t), done: make(chan struct{})}
	var seeds []string
	for _, o := range d.gateways {
		seeds = append(seeds, o.peer)
	}
	reloadable := d.reloadable
	reloadable.Seeds = seeds
	logs, seen := observer.New(zap.InfoLevel)
	p.logs = seen
	client := platform.NewStoreClient(strings.TrimPrefix(d.http.URL, "http://"), d.storeTimeout)
	store := core.KeyedStore(client)
	if d.links != nil {
		store = d.links(client)
	}
	decoder := d.decoder
	if decoder == nil {
		decoder = platform.RecordDecoder{}
	}
	headers := d.headers
	if headers == nil {
		headers = platform.Headers{}
	}
	g := gateway.New(gateway.Config{
		ID: "gateway-" + strconv.Itoa(d.started), Incarnation: p.address, FailureDomain: "z1", Deployment: "test",
		CallerAddress: p.address, ReadyAddress: p.ready, PeerAddress: p.peer, ServersInterval: 50 * time.Millisecond,
		ForgetAfter:     d.forgetAfter,
		Reloadable:      reloadable,
		BodyMemoryBytes: max(bodyMemoryBytes, d.bodyMemory), ReplyMemoryBytes: replyMemoryBytes, Store: store, Decoder: decoder, Headers: headers, Logger: zap.New(logs),
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.reload = cancel, g.Reload
	go func() {
		defer close(p.done)
		if err := g.Run(ctx); err != nil {
			d.t.Errorf("run gateway: %v", err)
		}
		client.Close()
	}()
	d.gateways = append(d.gateways, p)
	d.started++
	return p
}

// connected reports whether each gateway has sessions with all others.
func (d *deployment) connected() bool {
	for _, p := range d.gateways {
		connected := map[string]bool{}
		for _, l := range p.logs.FilterMessage("peer session up").All() {
			connected[l.ContextMap()["peer"].(string)] = true
		}
		if len(connected) < len(d.gateways)-1 {
			return false
		}
	}
	return true
}

// restart stops a gateway and starts another one with the others as its seeds.
func (d *deployment) restart(i int) *process {
	d.t.Helper()
	old := d.gateways[i]
	old.stop()
	<-old.done
	d.gateways = slices.Delete(d.gateways, i, i+1)
	p := d.startReady()
	d.gateways = slices.Insert(slices.Delete(d.gateways, len(d.gateways)-1, len(d.gateways)), i, p)
	return p
}

// stopAll stops all gateways and returns how many there were.
func (d *deployment) stopAll() int {
	old := d.gateways
	for _, p := range old {
		p.stop()
	}
	for _, p := range old {
		<-p.done
	}
	d.gateways = nil
	return len(old)
}

// restartAll stops all gateways before it starts as many again.
func (d *deployment) restartAll() []*process {
	d.t.Helper()
	for range d.stopAll() {
		d.startReady()
	}
	return d.gateways
}

// startIsolated starts a gateway with its own link to the store. Its seeds are
// empty, so it knows other gateways only from the store.
func (d *deployment) startIsolated(link *isolation) *process {
	d.t.Helper()
	d.isolations = append(d.isolations, link)
	others := d.gateways
	d.gateways = nil
	d.links = func(s core.KeyedStore) core.KeyedStore {
		link.KeyedStore = s
		return link
	}
	p := d.startReady()
	d.links = nil
	d.gateways = append(others, p)
	return p
}

func (d *deployment) startReady() *process {
	d.t.Helper()
	p := d.start()
	eventually(d.t, "gateway is ready", func() bool { return status(p.ready) == http.StatusOK })
	return p
}

func status(address string) int {
	resp, err := http.Get("http://" + address + "/readiness")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met after %v", what, waitTimeout)
		}
	}
}

var requestNumber = struct {
	sync.Mutex
	n int
}{}

// newRequest returns a caller's request with a unique id.
func newRequest(p *process, method, path, key, body string) *http.Request {
	requestNumber.Lock()
	requestNumber.n++
	id := fmt.Sprintf("request-%d", requestNumber.n)
	requestNumber.Unlock()
	r, err := http.NewRequest(method, "http://"+p.address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "a.example"
	r.Header.Set("Nutmegnotch-Request-Id", id)
	r.Header.Set("Nutmegnotch-Key", key)
	r.Header.Set("Nutmegnotch-Deadline-Ms", "3000")
	return r
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func send(r *http.Request) answer {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err}
}
