//go:build measure

package systemtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/emulator/engine"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/io/platformlog"
)

// rate measures a process for a time and prints what it uses per second.
func (p *proc) rate(t *testing.T, what string, d time.Duration) {
	t.Helper()
	a := p.usage()
	time.Sleep(d)
	b := p.usage()
	s := b.at.Sub(a.at).Seconds()
	t.Logf("%-34s cpu %6.2f %%  in %8.2f KB/s  out %8.2f KB/s  calls %7.0f/s  rss %6.1f MB  peak %6.1f MB", what,
		100*(b.cpu-a.cpu)/s, (b.read-a.read)/s/1000, (b.written-a.written)/s/1000, (b.calls-a.calls)/s, b.resident/1e6, b.peak/1e6)
}

// simulated is a process that takes part in the exchange of positions, with
// the real session and follower, inside the test process.
type simulated struct {
	host core.Host
	node *peer.Node
}

// grownHosts is a host list that only grows.
type grownHosts struct{ list atomic.Pointer[[]core.Host] }

// Hosts implements core.HostList.
func (g *grownHosts) Hosts(context.Context) ([]core.Host, error) {
	if l := g.list.Load(); l != nil {
		return *l, nil
	}
	return nil, nil
}

func (g *grownHosts) add(h ...core.Host) {
	old, _ := g.Hosts(context.Background())
	list := append(append([]core.Host(nil), old...), h...)
	g.list.Store(&list)
}

// simulate starts a process; hosts is given to entries only.
func (c *cluster) simulate(h core.Host, hosts core.HostList) *simulated {
	s := &simulated{host: h}
	var role *agent.Agent
	l, err := net.Listen("tcp", loopbackPrefix()+".0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	s.host.Address, s.host.State, s.host.Region = l.Addr().String(), core.HostLive, "r1"
	log := platformlog.New(c.logAddr, time.Second)
	f := configlog.New(configlog.Config{Self: core.EntryInfo{ID: h.ID, Address: s.host.Address, Domain: h.Domain, Region: "r1"},
		Role: h.Role, Log: log, Hosts: hosts})
	self := &peerpb.Hello{Id: h.ID, Role: h.Role, Incarnation: uuid.NewString(),
		Address: s.host.Address, Service: h.Service, FailureDomain: h.Domain, Region: "r1"}
	up := func(*peer.Session) {}
	if h.Role == core.RoleAgent {
		// No backend server answers there, so the agent reports that it is not ready.
		role = agent.New(agent.Config{Self: self, Service: h.Service, BackendAddress: "127.0.0.1:1", Source: f})
		up = role.SessionUp
	}
	s.node = peer.New(peer.Config{Self: self, OnSessionUp: up,
		OnControl: func(from *peer.Session, frame *peerpb.Frame) { f.Control(from, frame) }})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.node.Serve(l) })
	wg.Go(func() { f.Run(ctx, s.node) })
	if role != nil {
		role.Attach(s.node)
		wg.Go(func() { _ = role.Run(ctx) })
	}
	c.t.Cleanup(func() { cancel(); s.node.Stop(); wg.Wait(); log.Close() })
	return s
}

// quiet makes the processes of a cluster log as in production.
func (p *proc) quiet() {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.settings, bytes.Replace(text, []byte(`"debug"`), []byte(`"info"`), 1), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.kill()
	p.start()
}

// TestMeasureEntry prints what an entry process uses at rest by its number of
// sessions with agents and by the length of the host list.
func TestMeasureEntry(t *testing.T) {
	for _, s := range []struct {
		agents, entries, rows int
		// mesh connects all entries to each other and to all agents.
		mesh bool
	}{{3, 0, 0, false}, {12, 0, 0, false}, {48, 0, 0, false}, {192, 0, 0, false}, {0, 3, 0, false}, {0, 12, 0, false}, {0, 48, 0, false},
		{0, 96, 0, false}, {12, 0, 1000, false}, {12, 0, 4000, false}, {12, 0, 11600, false},
		{12, 9, 0, true}, {48, 9, 0, true}, {96, 9, 0, true}, {192, 9, 0, true}} {
		t.Run(fmt.Sprintf("agents=%d/entries=%d/rows=%d/mesh=%v", s.agents, s.entries, s.rows, s.mesh), func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 1})
			e := c.entries[0]
			e.quiet()
			rows := append([]core.Host(nil), c.rows...)
			for i := range s.rows {
				rows = append(rows, core.Host{ID: fmt.Sprintf("host-%06d", i), Role: core.RoleAgent, Address: fmt.Sprintf("10.11.%d.%d:8082", i/250, i%250),
					Domain: domainOf(i), Region: "region-1", Service: fmt.Sprint("service-", i%14), State: core.HostLeaving})
			}
			for i := range s.agents {
				rows = append(rows, c.simulate(core.Host{ID: fmt.Sprintf("agent-%06d", i), Role: core.RoleAgent, Service: fmt.Sprint("service-", i/16),
					Domain: domainOf(i)}, nil).host)
			}
			hosts := &grownHosts{}
			hosts.add(c.rows...)
			for i := range s.entries {
				other := c.simulate(core.Host{ID: fmt.Sprintf("other-%06d", i), Role: core.RoleEntry, Domain: domainOf(i)}, hosts)
				for _, h := range rows[1:] {
					if s.mesh {
						other.node.KeepConnected(h.Address)
					}
				}
				hosts.add(other.host)
				rows = append(rows, other.host)
			}
			c.hostLists[e.id].Put(rows)
			time.Sleep(6 * time.Second)
			e.rate(t, fmt.Sprintf("entry, %d agents, %d entries, %d rows, mesh %v", s.agents, s.entries, len(rows), s.mesh), 5*time.Second)
		})
	}
}

// TestMeasureAgent prints what an agent process uses at rest by its number of
// sessions with entries.
func TestMeasureAgent(t *testing.T) {
	for _, n := range []int{3, 12, 38, 64} {
		t.Run(fmt.Sprintf("entries=%d", n), func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 1, engines: 1, desks: 1})
			a := c.models[0].agent
			a.quiet()
			c.waitReady()
			// The entries are connected to each other, so that they confirm each other.
			hosts, known := &grownHosts{}, []string{a.peerAddr, c.entries[0].peerAddr}
			for i := range n - 1 {
				e := c.simulate(core.Host{ID: fmt.Sprintf("other-%06d", i), Role: core.RoleEntry, Domain: domainOf(i)}, hosts)
				for _, address := range known {
					e.node.KeepConnected(address)
				}
				hosts.add(e.host)
				known = append(known, e.host.Address)
			}
			time.Sleep(6 * time.Second)
			a.rate(t, fmt.Sprintf("agent, %d entries", n), 5*time.Second)
		})
	}
}

// TestMeasureRequests prints the processor time of entry and agent for each
// request and each token.
func TestMeasureRequests(t *testing.T) {
	for _, tokens := range []int{16, 128, 512} {
		t.Run(fmt.Sprintf("tokens=%d", tokens), func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 1, engines: 1, desks: 1, engine: engine.Options{TokensPerSecond: 400, Slowdown: 0.001, MemoryTokens: 1e6,
				ColdTokens: 1e6, ColdFactor: 1, RestartTime: time.Second, Models: []string{modelName}}})
			c.entries[0].quiet()
			c.models[0].agent.quiet()
			c.waitReady()
			var done atomic.Int64
			stop := make(chan struct{})
			var wg conc.WaitGroup
			for range 16 {
				wg.Go(func() { c.stream(tokens, stop, &done) })
			}
			time.Sleep(3 * time.Second)
			n := done.Load()
			e, a := c.entries[0].usage(), c.models[0].agent.usage()
			time.Sleep(8 * time.Second)
			e2, a2 := c.entries[0].usage(), c.models[0].agent.usage()
			n = done.Load() - n
			t.Logf("%d tokens: %d requests, %.1f requests/s, %.0f tokens/s; entry %.0f us/request, %.1f us/token, rss %.1f MB; agent %.0f us/request, %.1f us/token, rss %.1f MB",
				tokens, n, float64(n)/8, float64(n)/8*float64(tokens), 1e6*(e2.cpu-e.cpu)/float64(n), 1e6*(e2.cpu-e.cpu)/float64(n)/float64(tokens), e2.resident/1e6,
				1e6*(a2.cpu-a.cpu)/float64(n), 1e6*(a2.cpu-a.cpu)/float64(n)/float64(tokens), a2.resident/1e6)
			close(stop)
			wg.Wait()
		})
	}
}

// stream sends streamed requests one after the other.
func (c *cluster) stream(tokens int, stop <-chan struct{}, done *atomic.Int64) {
	l := c.client("trails")
	for {
		select {
		case <-stop:
			return
		default:
		}
		resp, err := l.send(c.entries[0], http.MethodPost, "/v1/completions", "",
			map[string]any{"model": modelName, "prompt": "mules", "max_tokens": tokens, "stream": true})
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			done.Add(1)
		}
	}
}
