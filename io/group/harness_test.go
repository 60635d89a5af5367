package group

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"nutmegnotch/core"
	emurank "nutmegnotch/emulator/rank"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/io/rank"
)

// memoryLog is an in-memory log with one stream that can be made unavailable.
type memoryLog struct {
	mu      sync.Mutex
	records []core.Record
	down    bool
	changed chan struct{}
}

func newMemoryLog() *memoryLog { return &memoryLog{changed: make(chan struct{})} }

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, core.ErrUnavailable
	}
	n := int64(len(l.records))
	l.records = append(l.records, core.Record{Offset: n, Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return n, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from int64, _ int, wait time.Duration) (core.Batch, error) {
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		n, down, changed := int64(len(l.records)), l.down, l.changed
		records := l.records[min(from, n):]
		l.mu.Unlock()
		if down {
			return core.Batch{}, core.ErrUnavailable
		}
		if len(records) > 0 {
			return core.Batch{NextOffset: n, Records: records}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return core.Batch{NextOffset: n}, nil
		case <-ctx.Done():
			return core.Batch{}, core.ErrUnavailable
		}
	}
}

// lateOpener is an Opener whose node is set after the group has been created.
type lateOpener struct{ node *peer.Node }

func (o *lateOpener) Open(id string, kind peerpb.StreamKind, requestID string) (*peer.Stream, error) {
	return o.node.Open(id, kind, requestID)
}

// cluster is a group of emulated ranks and their agents in one process.
type cluster struct {
	t       testing.TB
	log     *memoryLog
	ids     []string
	addrs   []string
	engines []*emurank.Rank
	clients []core.RankEngine
	agents  []*testAgent
	star    bool
	// initialListeners holds the listeners for the first start of each agent.
	initialListeners []net.Listener
}

type testAgent struct {
	group  *Group
	node   *peer.Node
	cancel context.CancelFunc
	served chan struct{}
}

type clusterConfig struct {
	ranks    int
	stepTime time.Duration
	loadTime time.Duration
	fencing  func(rank int) bool
	// star connects the other agents to the first one only.
	star bool
	// withoutHTTP calls the emulated engines directly.
	withoutHTTP bool
	// skipFirstLeaderWait starts the other agents of a star without waiting for the
	// first one to lead.
	skipFirstLeaderWait bool
}

func startCluster(t testing.TB, cfg clusterConfig) *cluster {
	c := &cluster{t: t, log: newMemoryLog(), star: cfg.star, agents: make([]*testAgent, cfg.ranks)}
	barrier := emurank.NewBarrier(cfg.ranks)
	t.Cleanup(barrier.Close)
	for i := range cfg.ranks {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.addrs = append(c.addrs, l.Addr().String())
		c.initialListeners = append(c.initialListeners, l)
		c.ids = append(c.ids, "agent-"+string(rune('a'+i%26))+string(rune('a'+i/26)))
		e := emurank.New(emurank.Config{Rank: i, Barrier: barrier, Fencing: cfg.fencing(i), StepTime: cfg.stepTime, LoadTime: cfg.loadTime})
		t.Cleanup(e.Close)
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(srv.Close)
		c.engines = append(c.engines, e)
		var client core.RankEngine = &rank.Client{URL: srv.URL, HTTP: srv.Client()}
		if cfg.withoutHTTP {
			client = e
		}
		c.clients = append(c.clients, client)
	}
	for i := range cfg.ranks {
		c.start(i)
		if i == 0 && cfg.star && !cfg.skipFirstLeaderWait {
			c.wait("the first agent leads", 10*time.Second, func() bool { return c.agents[0].group.Status().Leading })
		}
	}
	t.Cleanup(func() {
		for i := range c.agents {
			c.kill(i)
		}
	})
	return c
}

func (c *cluster) start(i int) {
	o := &lateOpener{}
	g := New(Config{Group: "g", Rank: i, RankIDs: c.ids, InitialMap: core.ExpertMap{Replicas: [][][]int{{{0}}}},
		Log: c.log, Engine: c.clients[i], Peers: o})
	o.node = peer.New(peer.Config{Self: &peerpb.Hello{Id: c.ids[i], Role: core.RoleAgent},
		Handlers: map[peerpb.StreamKind]peer.Handler{peerpb.StreamKind_STREAM_KIND_GROUP: g.ServeStream}})
	ctx, cancel := context.WithCancel(context.Background())
	a := &testAgent{group: g, node: o.node, cancel: cancel, served: make(chan struct{})}
	l := c.listener(i)
	go func() { defer close(a.served); _ = o.node.Serve(l) }()
	for j := range i {
		if !c.star || j == 0 {
			o.node.KeepConnected(c.addrs[j])
		}
	}
	go g.Run(ctx)
	c.agents[i] = a
}

// listener returns the listener for the first start of an agent, or a new one on
// the same address for a restart.
func (c *cluster) listener(i int) net.Listener {
	c.t.Helper()
	if l := c.initialListeners[i]; l != nil {
		c.initialListeners[i] = nil
		return l
	}
	l, err := net.Listen("tcp", c.addrs[i])
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

// otherRank returns a rank other than l whose engine has fencing or not.
func (c *cluster) otherRank(l int, fencing bool) int {
	for i := range c.ids {
		if i != l && (i%2 == 0) == fencing {
			return i
		}
	}
	return -1
}

// kill stops an agent without notice. Its engine keeps running.
func (c *cluster) kill(i int) {
	a := c.agents[i]
	if a == nil {
		return
	}
	a.cancel()
	a.node.Stop()
	<-a.group.Done()
	<-a.served
	c.agents[i] = nil
}

func (c *cluster) leader() int {
	for i, a := range c.agents {
		if a != nil {
			if s := a.group.Status(); s.Leading && s.Running {
				return i
			}
		}
	}
	return -1
}

// lowestStep returns the step that all ranks have reached.
func (c *cluster) lowestStep() int64 {
	lowest := int64(-1)
	for _, e := range c.engines {
		s, err := e.State(context.Background())
		if err != nil {
			c.t.Fatal(err)
		}
		if lowest < 0 || s.Step < lowest {
			lowest = s.Step
		}
	}
	return lowest
}

func (c *cluster) wait(what string, limit time.Duration, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for i, a := range c.agents[:min(4, len(c.agents))] {
				s, _ := c.engines[i].State(context.Background())
				s.Runs = nil
				c.t.Logf("engine %d: %+v", i, s)
				if a != nil {
					c.t.Logf("agent %d: %+v", i, a.group.Status())
				}
			}
			c.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func (c *cluster) waitProgress(what string, steps int64) {
	c.t.Helper()
	from := c.lowestStep()
	c.wait(what, 30*time.Second, func() bool { return c.lowestStep() >= from+steps })
}

// checkOneMapPerStep fails the test when two ranks ran a step with different maps.
func (c *cluster) checkOneMapPerStep() {
	c.t.Helper()
	maps := map[int64]int64{}
	for i, e := range c.engines {
		for _, h := range e.History() {
			if v, ok := maps[h.Step]; ok && v != h.MapVersion {
				c.t.Errorf("step %d: rank %d used map %d, another rank map %d", h.Step, i, h.MapVersion, v)
				return
			}
			maps[h.Step] = h.MapVersion
		}
	}
}

func (c *cluster) propose(l int) int64 {
	c.t.Helper()
	v, err := c.agents[l].group.Propose(core.ExpertMap{Replicas: [][][]int{{{1}}}})
	if err != nil {
		c.t.Fatal(err)
	}
	return v
}

// waitMap waits until all ranks use a map version.
func (c *cluster) waitMap(v int64) {
	c.t.Helper()
	c.wait("all ranks use the new map", 30*time.Second, func() bool {
		for _, e := range c.engines {
			if s, err := e.State(context.Background()); err != nil || s.MapVersion != v {
				return false
			}
		}
		return true
	})
}
