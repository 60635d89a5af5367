package systemtest

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/engine"
	"nutmegnotch/emulator/hostlist"
	"nutmegnotch/emulator/platformlog"
)

const (
	operatorToken = "operator-token"
	// bootstrapToken is valid until the first team is published.
	bootstrapToken = "bootstrap-token"
	modelService   = "runners"
	deskService    = "bookings"
	modelName      = "m1"
)

// clusterCount numbers the clusters of one test process. Each host of a cluster
// has its own loopback address, so that ports never collide.
var clusterCount atomic.Int32

// loopbackPrefix returns the first two bytes of the addresses of this test
// process. With a shared 127.0.0.1, a port that one test process frees may be
// reused by a proxy of another one, and entries that still dial it then join
// the other's cluster.
func loopbackPrefix() string { return fmt.Sprintf("127.%d", 10+os.Getpid()%200) }

// backend is one emulated backend server with its agent.
type backend struct {
	agent  *proc
	engine *engine.Engine
	desk   *desk.Desk
	// link is the proxy between the agent and the backend server.
	link *proxy
}

// clusterConfig configures a cluster.
type clusterConfig struct {
	entries, engines, desks int
	engine                  engine.Options
	// contracts are published in addition to the default ones.
	contracts []core.Contract
	// reportsInterval is the interval of the reports; empty means 1m.
	reportsInterval string
	// retention is the log's retention in the settings of the processes; the
	// default is an hour.
	retention time.Duration
}

// cluster runs an emulated log, host lists and backend servers in the test
// process, and entries and agents as separate processes. Every link goes through
// its own proxy: each process has a host list with the addresses of the proxies
// of its links.
type cluster struct {
	t             testing.TB
	dir           string
	addressPrefix string
	addressCount  int
	// proxyIP is used by this cluster only. On a shared address, a process left
	// over from another test may reach a proxy through a reused port and pass its
	// configuration on to this cluster as a peer.
	proxyIP         string
	logRetention    time.Duration
	log             *platformlog.Server
	logAddr         string
	reportsInterval string
	// contracts are published in addition to the default ones.
	contracts []core.Contract
	hostLists map[string]*hostlist.Server
	rows      []core.Host
	entries   []*proc
	links     map[string]*proxy
	models    []*backend
	desks     []*backend
	history   *history
}

func newCluster(t testing.TB, s clusterConfig) *cluster {
	t.Helper()
	c := &cluster{
		t:             t,
		dir:           t.TempDir(),
		logRetention:  cmp.Or(s.retention, time.Hour),
		addressPrefix: fmt.Sprintf("%s.%d", loopbackPrefix(), clusterCount.Add(1)),
		log:           platformlog.New(platformlog.Config{}),
		hostLists:     map[string]*hostlist.Server{},
		links:         map[string]*proxy{},
		history:       &history{},
	}
	t.Cleanup(c.log.Close)
	c.proxyIP = c.newIP()
	c.logAddr = c.serve(c.log)
	c.reportsInterval, c.contracts = s.reportsInterval, s.contracts
	for i := range s.entries {
		c.addEntry(i)
	}
	for i := range s.engines {
		c.addEngine(i, s.engine)
	}
	for i := range s.desks {
		c.addDesk(i)
	}
	c.putHosts()
	for _, p := range c.procs() {
		p.start()
		t.Cleanup(p.kill)
	}
	// Cleanups run in reverse order: the logs are dumped before the processes are
	// killed, and so show which had exited by themselves.
	t.Cleanup(c.dumpLogs)
	return c
}

// waitConfigured publishes the default objects and waits until all processes
// have a confirmed configuration.
func (c *cluster) waitConfigured() {
	c.t.Helper()
	eventually(c.t, "an entry is ready", func() bool { return c.entries[0].ready() })
	c.publishDefaults()
	for _, p := range c.procs() {
		eventually(c.t, p.id+" is ready", p.ready)
	}
}

// waitReady publishes the default objects and waits until every entry is
// connected to all agents and admits requests.
func (c *cluster) waitReady() {
	c.t.Helper()
	c.waitConfigured()
	eventually(c.t, "every entry sees every agent", func() bool {
		for _, e := range c.entries {
			if c.agentsReady(e) != len(c.models)+len(c.desks) {
				return false
			}
		}
		return true
	})
	// The home entries of a new entry set grant no credit for 5 s.
	eventually(c.t, "every entry admits", func() bool {
		for _, e := range c.entries {
			if !c.admits(e) {
				return false
			}
		}
		return true
	})
}

// admits reports whether an entry serves a request to a service of the cluster.
func (c *cluster) admits(e *proc) bool {
	if len(c.desks) > 0 {
		return c.client("trails").lookup(e).result == resultOK
	}
	return c.client("trails").complete(e, "admits", 1).result == resultOK
}

// agentsReady returns the number of ready agents that an entry reports.
func (c *cluster) agentsReady(e *proc) int {
	var s struct {
		Entry struct {
			AgentsReady int `json:"agents_ready"`
		} `json:"entry"`
	}
	if c.call(e, http.MethodGet, "/status", nil, &s) != http.StatusOK {
		return 0
	}
	return s.Entry.AgentsReady
}

func (c *cluster) backends() []*backend {
	return append(append([]*backend(nil), c.models...), c.desks...)
}

func (c *cluster) procs() []*proc {
	all := append([]*proc(nil), c.entries...)
	for _, b := range c.backends() {
		all = append(all, b.agent)
	}
	return all
}

// heal clears the faults of the log and of all links.
func (c *cluster) heal() {
	c.log.SetFaults(platformlog.Faults{})
	for _, l := range c.links {
		l.heal()
	}
	for _, b := range c.backends() {
		if b.link != nil {
			b.link.heal()
		}
	}
}

// newIP returns an unused loopback IP address.
func (c *cluster) newIP() string {
	c.addressCount++
	return fmt.Sprintf("%s.%d", c.addressPrefix, c.addressCount)
}

// serve runs an emulator on its own address and returns the address.
func (c *cluster) serve(h http.Handler) string {
	l, err := net.Listen("tcp", c.newIP()+":9000")
	if err != nil {
		c.t.Fatalf("listen for emulator: %v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	c.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// link returns the proxy between a process and an address, and starts it on the
// first call.
func (c *cluster) link(from, to, target string) *proxy {
	key := from + ">" + to
	if c.links[key] == nil {
		c.links[key] = newProxy(c.t, c.proxyIP, target)
	}
	return c.links[key]
}

// linksOf returns all links from and to a process.
func (c *cluster) linksOf(id string) []*proxy {
	var list []*proxy
	for key, l := range c.links {
		from, to, _ := strings.Cut(key, ">")
		if from == id || to == id {
			list = append(list, l)
		}
	}
	return list
}

// putHosts updates the host list of each process. It replaces the addresses of
// the other hosts by those of the proxies.
func (c *cluster) putHosts() {
	for id, list := range c.hostLists {
		rows := append([]core.Host(nil), c.rows...)
		for i, h := range rows {
			if h.ID != id {
				rows[i].Address = c.link(id, h.ID, h.Address).address()
			}
		}
		list.Put(rows)
	}
}

func domainOf(i int) string { return fmt.Sprintf("d%d", i%3+1) }

func (c *cluster) newProc(role, id, domain string) *proc {
	ip := c.newIP()
	p := &proc{
		t: c.t, id: id, role: role, domain: domain, deployment: fmt.Sprintf("%s-%d", c.addressPrefix, os.Getpid()),
		callerAddr: ip + ":8080", adminAddr: ip + ":8081", peerAddr: ip + ":8082",
		logFile: c.dir + "/" + id + ".log", reportsInterval: c.reportsInterval,
	}
	list := hostlist.New(nil)
	c.t.Cleanup(list.Close)
	c.hostLists[id] = list
	p.logAddr, p.listAddr = c.link(id, "log", c.logAddr).address(), c.serve(list)
	return p
}

func (c *cluster) addEntry(i int) {
	p := c.newProc(core.RoleEntry, fmt.Sprintf("entry-%d", i+1), domainOf(i))
	extra := fmt.Sprintf("[entry]\ndrain_delay = \"300ms\"\nbootstrap_token_hash = %q\n[listen]\ncaller = %q\nadmin = %q\npeer = %q\n",
		hash(bootstrapToken), p.callerAddr, p.adminAddr, p.peerAddr)
	p.settings = writeFile(c.t, c.dir, p.id+".toml", settingsText(p, c.logRetention, extra))
	c.entries = append(c.entries, p)
	c.rows = append(c.rows, core.Host{ID: p.id, Role: p.role, Address: p.peerAddr, Domain: p.domain, Region: "r1", State: core.HostLive})
}

func (c *cluster) addAgent(id, service, kind, domain string, h http.Handler) *backend {
	p := c.newProc(core.RoleAgent, id, domain)
	b := &backend{agent: p, link: newProxy(c.t, c.proxyIP, c.serve(h))}
	extra := fmt.Sprintf("[agent]\nservice = %q\nbackend_address = %q\nbackend_kind = %q\n[listen]\nadmin = %q\npeer = %q\n",
		service, b.link.address(), kind, p.adminAddr, p.peerAddr)
	p.settings = writeFile(c.t, c.dir, p.id+".toml", settingsText(p, c.logRetention, extra))
	c.rows = append(c.rows, core.Host{ID: p.id, Role: p.role, Address: p.peerAddr, Domain: domain, Region: "r1", Service: service, State: core.HostLive})
	return b
}

func (c *cluster) addEngine(i int, o engine.Options) {
	if o.TokensPerSecond == 0 {
		o = engine.Options{TokensPerSecond: 200, Slowdown: 0.01, MemoryTokens: 100000, ColdTokens: 4000, ColdFactor: 2,
			RestartTime: 500 * time.Millisecond, CrashMarker: "CRASH", Models: []string{modelName}}
	}
	e := engine.New(o)
	c.t.Cleanup(e.Close)
	b := c.addAgent(fmt.Sprintf("model-%d", i+1), modelService, "engine", domainOf(i), e)
	b.engine = e
	c.models = append(c.models, b)
}

func (c *cluster) addDesk(i int) {
	d := desk.New()
	c.t.Cleanup(d.Close)
	b := c.addAgent(fmt.Sprintf("desk-%d", i+1), deskService, "desk", domainOf(i), d)
	b.desk = d
	c.desks = append(c.desks, b)
}
