package rankagent_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"nutmegnotch/emulator/lockstep"
	"nutmegnotch/emulator/loopback"
	"nutmegnotch/emulator/metastore"
	"nutmegnotch/gateway"
	"nutmegnotch/platform"
	"nutmegnotch/rankagent"
)

const (
	ranks, sets, experts = 4, 2, 16
	peerPort             = "27340"
	waitLimit            = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// group is a lock-step group with an agent for each rank and one gateway.
type group struct {
	t       *testing.T
	engines *lockstep.Group
	gateway string
	// publish writes the operators' configuration to the store.
	publish func()
	// cleanups are called by close in reverse order.
	cleanups []func()
	stops    []context.CancelFunc
	dones    []chan struct{}
	started  int
	// logs holds the log lines of all agents, which a failed test prints.
	logs *observer.ObservedLogs
	log  *zap.Logger
}

func newGroup(t *testing.T, cfg lockstep.Config) *group {
	t.Helper()
	g := newUnconfiguredGroup(t, cfg)
	g.publish()
	return g
}

// close stops the group. It may be called more than once.
func (g *group) close() {
	for len(g.cleanups) > 0 {
		end := g.cleanups[len(g.cleanups)-1]
		g.cleanups = g.cleanups[:len(g.cleanups)-1]
		end()
	}
}

// newUnconfiguredGroup is like newGroup but does not publish the configuration.
func newUnconfiguredGroup(t *testing.T, cfg lockstep.Config) *group {
	t.Helper()
	cfg.Ranks, cfg.Sets, cfg.Experts, cfg.PassTime, cfg.CopyTime = ranks, sets, experts, 20*time.Millisecond, 50*time.Millisecond
	engines, err := lockstep.New(cfg)
	if err != nil {
		t.Fatalf("start group: %v", err)
	}
	g := &group{t: t, engines: engines, stops: make([]context.CancelFunc, ranks), dones: make([]chan struct{}, ranks)}
	observed, logs := observer.New(zap.InfoLevel)
	g.logs, g.log = logs, zap.New(observed)
	t.Cleanup(g.printLogs)
	t.Cleanup(g.close)
	g.cleanups = append(g.cleanups, engines.Close)
	g.startGateway()
	for i := range ranks {
		g.start(i)
	}
	g.cleanups = append(g.cleanups, func() {
		for i := range ranks {
			g.stop(i)
		}
	})
	return g
}

// printLogs prints the log lines of the agents if the test has failed.
func (g *group) printLogs() {
	if !g.t.Failed() {
		return
	}
	for _, l := range g.logs.All() {
		g.t.Logf("%s %s %v", l.Time.Format("05.000"), l.Message, l.ContextMap())
	}
}

func (g *group) startGateway() {
	m := metastore.New()
	s := httptest.NewServer(m)
	g.publish = func() {
		m.PutJSON("keyed.op", "config", map[string]any{"version": 1, "routes": []any{}, "services": []map[string]any{{
			"name": "model", "engine": map[string]any{"slots": 4, "expert_sets": sets, "experts": experts, "placements": 6, "spare_slots": 2, "expert_mb": 1, "link_mbps": 1},
		}}})
	}
	for i := range ranks {
		m.PutJSON("keyed.servers", fmt.Sprintf("i-%d", i), map[string]any{
			"service": "model", "addr": g.engines.Address(i), "zone": "z", "version": "v1", "cold_left_ms": 0, "slots": 4, "state": "ready", "seq": 0,
			"group": map[string]any{"name": "g", "epoch": 1, "rank": i, "state": "open"}, "size": ranks,
		})
	}
	store := platform.NewStoreClient(strings.TrimPrefix(s.URL, "http://"), time.Second)
	g.gateway = freeAddress(g.t)
	w := gateway.New(gateway.Config{
		ID: "gateway", Incarnation: "gateway", FailureDomain: "z", Deployment: "test", ServersInterval: 50 * time.Millisecond,
		CallerAddress: freeAddress(g.t), ReadyAddress: freeAddress(g.t), PeerAddress: g.gateway,
		Reloadable: gateway.ReloadableConfig{RetryRatio: 1, RetryWindow: time.Second, Grace: time.Second}, BodyMemoryBytes: 1 << 20, ReplyMemoryBytes: 1 << 20,
		Store: store, Decoder: platform.RecordDecoder{}, Headers: platform.Headers{}, Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := w.Run(ctx); err != nil {
			g.t.Errorf("run gateway: %v", err)
		}
	}()
	g.cleanups = append(g.cleanups, func() {
		cancel()
		<-done
		store.Close()
		s.CloseClientConnections()
		s.Close()
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

// start starts the agent of a rank on the host of its engine.
func (g *group) start(i int) {
	host, _, err := net.SplitHostPort(g.engines.Address(i))
	if err != nil {
		g.t.Fatalf("split address: %v", err)
	}
	g.started++
	engine := platform.NewEngineClient(time.Second)
	a, err := rankagent.New(rankagent.Config{
		ID: fmt.Sprintf("agent-%d", i), Incarnation: fmt.Sprintf("agent-%d-%d", i, g.started), Deployment: "test",
		PeerAddress: net.JoinHostPort(host, peerPort), EngineAddress: g.engines.Address(i), Gateways: []string{g.gateway},
		Engine: engine, Logger: g.log.With(zap.Int("rank_agent", i)),
	})
	if err != nil {
		g.t.Fatalf("make agent: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.stops[i], g.dones[i] = cancel, done
	go func() {
		defer close(done)
		if err := a.Run(ctx); err != nil {
			g.t.Errorf("run agent %d: %v", i, err)
		}
		engine.Close()
	}()
}

func (g *group) stop(i int) {
	g.stops[i]()
	<-g.dones[i]
}

// waitForMaps waits until the group has used n more maps.
func (g *group) waitForMaps(what string, n int) {
	g.t.Helper()
	_, before, _ := g.engines.Stats()
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		if _, maps, _ := g.engines.Stats(); maps >= before+n {
			return
		}
		if time.Now().After(end) {
			_, maps, _ := g.engines.Stats()
			g.t.Fatalf("%s: got %d more maps in %v, want %d", what, maps-before, waitLimit, n)
		}
	}
}

func (g *group) checkPasses() {
	g.t.Helper()
	if got := g.engines.Violations(); len(got) > 0 {
		g.t.Errorf("passes with two maps: got %v, want none", got)
	}
}

// Guards against a group whose map does not follow the demand for experts, and
// against passes with two maps while there are no faults.
func TestMapFollowsDemand(t *testing.T) {
	g := newGroup(t, lockstep.Config{})
	g.waitForMaps("a group without faults", 4)
	_, _, held := g.engines.Stats()
	if held > 200*time.Millisecond {
		t.Errorf("passes were held for %v over 4 changes, want at most 200ms", held)
	}
	g.checkPasses()
}

// Guards against a group whose map never follows demand because the ranks have sent
// their placements before the leader has the expert spec, and do not repeat them.
// This happens when all processes restart during an outage of the store. The test
// runs several times because the leader may also poll the ranks directly, which
// hides the fault.
func TestMapFollowsDemandAfterLateConfiguration(t *testing.T) {
	for range 4 {
		g := newUnconfiguredGroup(t, lockstep.Config{})
		time.Sleep(time.Second)
		g.publish()
		g.waitForMaps("a group that is configured late", 1)
		g.checkPasses()
		g.close()
	}
}

// Guards against passes with two maps and against groups that stop while orders get
// no response and are executed late.
func TestLateOrders(t *testing.T) {
	g := newGroup(t, lockstep.Config{LateOrderShare: 0.35, MaxOrderDelay: 2 * time.Second, Seed: 5})
	g.waitForMaps("a group with late orders", 3)
	g.engines.SetLateOrderShare(0)
	g.waitForMaps("the group afterwards", 2)
	g.checkPasses()
}

// Guards against groups whose map no longer changes after their leader has stopped,
// or after they have formed again.
func TestLeaderStopsAndGroupFormsAnew(t *testing.T) {
	g := newGroup(t, lockstep.Config{})
	g.waitForMaps("the first leader", 1)
	g.stop(0)
	g.waitForMaps("the next leader", 2)
	g.start(0)
	g.waitForMaps("the first leader again", 2)
	g.engines.StartEpoch()
	g.waitForMaps("the new epoch", 2)
	g.checkPasses()
}
