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

// logUsage measures a process for a duration and logs its resource use per
// second.
func (p *proc) logUsage(t *testing.T, what string, d time.Duration) {
	t.Helper()
	a := p.usage()
	time.Sleep(d)
	b := p.usage()
	s := b.at.Sub(a.at).Seconds()
	t.Logf("%-34s cpu %6.2f %%  in %8.2f KB/s  out %8.2f KB/s  calls %7.0f/s  rss %6.1f MB  peak %6.1f MB", what,
		100*(b.cpu-a.cpu)/s, (b.read-a.read)/s/1000, (b.written-a.written)/s/1000, (b.calls-a.calls)/s, b.resident/1e6, b.peak/1e6)
}

// simulatedNode is an entry or agent that runs inside the test process, with the
// real session and configuration follower, and exchanges positions with others.
type simulatedNode struct {
	host core.Host
	node *peer.Node
}

// growingHostList is a host list to which hosts are only added.
type growingHostList struct{ list atomic.Pointer[[]core.Host] }

// Hosts implements core.HostList.
func (g *growingHostList) Hosts(context.Context) ([]core.Host, error) {
	if l := g.list.Load(); l != nil {
		return *l, nil
	}
	return nil, nil
}

func (g *growingHostList) add(h ...core.Host) {
	old, _ := g.Hosts(context.Background())
	list := append(append([]core.Host(nil), old...), h...)
	g.list.Store(&list)
}

// simulate starts a simulated node. hosts is set for entries only.
func (c *cluster) simulate(h core.Host, hosts core.HostList) *simulatedNode {
	s := &simulatedNode{host: h}
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
		// No backend server listens there, so the agent reports that it is not ready.
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

// restartAtInfoLevel restarts the process with log level info, the level in
// production.
func (p *proc) restartAtInfoLevel() {
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

// TestMeasureEntry logs the resource use of an idle entry process by its number
// of sessions and by the length of the host list.
func TestMeasureEntry(t *testing.T) {
	for _, s := range []struct {
		agents, entries, rows int
		// mesh connects the simulated entries to each other and to all agents.
		mesh bool
	}{{3, 0, 0, false}, {12, 0, 0, false}, {48, 0, 0, false}, {192, 0, 0, false}, {0, 3, 0, false}, {0, 12, 0, false}, {0, 48, 0, false},
		{0, 96, 0, false}, {12, 0, 1000, false}, {12, 0, 4000, false}, {12, 0, 11600, false},
		{12, 9, 0, true}, {48, 9, 0, true}, {96, 9, 0, true}, {192, 9, 0, true}} {
		t.Run(fmt.Sprintf("agents=%d/entries=%d/rows=%d/mesh=%v", s.agents, s.entries, s.rows, s.mesh), func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 1})
			e := c.entries[0]
			e.restartAtInfoLevel()
			rows := append([]core.Host(nil), c.rows...)
			for i := range s.rows {
				rows = append(rows, core.Host{ID: fmt.Sprintf("host-%06d", i), Role: core.RoleAgent, Address: fmt.Sprintf("10.11.%d.%d:8082", i/250, i%250),
					Domain: domainOf(i), Region: "region-1", Service: fmt.Sprint("service-", i%14), State: core.HostLeaving})
			}
			for i := range s.agents {
				rows = append(rows, c.simulate(core.Host{ID: fmt.Sprintf("agent-%06d", i), Role: core.RoleAgent, Service: fmt.Sprint("service-", i/16),
					Domain: domainOf(i)}, nil).host)
			}
			hosts := &growingHostList{}
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
			e.logUsage(t, fmt.Sprintf("entry, %d agents, %d entries, %d rows, mesh %v", s.agents, s.entries, len(rows), s.mesh), 5*time.Second)
		})
	}
}

// TestMeasureAgent logs the resource use of an idle agent process by its number
// of sessions with entries.
func TestMeasureAgent(t *testing.T) {
	for _, n := range []int{3, 12, 38, 64} {
		t.Run(fmt.Sprintf("entries=%d", n), func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 1, engines: 1, desks: 1})
			a := c.models[0].agent
			a.restartAtInfoLevel()
			c.waitReady()
			// The entries are connected to each other, so that they can confirm each
			// other's configuration.
			hosts, known := &growingHostList{}, []string{a.peerAddr, c.entries[0].peerAddr}
			for i := range n - 1 {
				e := c.simulate(core.Host{ID: fmt.Sprintf("other-%06d", i), Role: core.RoleEntry, Domain: domainOf(i)}, hosts)
				for _, address := range known {
					e.node.KeepConnected(address)
				}
				hosts.add(e.host)
				known = append(known, e.host.Address)
			}
			time.Sleep(6 * time.Second)
			a.logUsage(t, fmt.Sprintf("agent, %d entries", n), 5*time.Second)
		})
	}
}

// TestMeasureRequests logs the CPU time of entry and agent per request and per
// token.
func TestMeasureRequests(t *testing.T) {
	for _, tokens := range []int{16, 128, 512} {
		t.Run(fmt.Sprintf("tokens=%d", tokens), func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 1, engines: 1, desks: 1, engine: engine.Options{TokensPerSecond: 400, Slowdown: 0.001, MemoryTokens: 1e6,
				ColdTokens: 1e6, ColdFactor: 1, RestartTime: time.Second, Models: []string{modelName}}})
			c.entries[0].restartAtInfoLevel()
			c.models[0].agent.restartAtInfoLevel()
			c.waitReady()
			var done atomic.Int64
			stop := make(chan struct{})
			var wg conc.WaitGroup
			for range 16 {
				wg.Go(func() { c.sendStreams(tokens, stop, &done) })
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

// sendStreams sends streamed requests one after the other until stop is closed,
// and counts the whole replies in done.
func (c *cluster) sendStreams(tokens int, stop <-chan struct{}, done *atomic.Int64) {
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
