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
	// bootstrapToken holds until the first team is published.
	bootstrapToken = "bootstrap-token"
	modelService   = "runners"
	deskService    = "bookings"
	modelName      = "m1"
)

// subnet numbers the clusters of one test process. Each host of a cluster has
// a loopback address of its own, so that ports never collide.
var subnet atomic.Int32

// loopback begins the addresses of this test process. A port of 127.0.0.1 that
// one test process frees may go to a proxy of another one; entries that still
// dialled it then joined the other's cluster.
func loopback() string { return fmt.Sprintf("127.%d", 10+os.Getpid()%200) }

// backend is one stand-in backend server with its agent.
type backend struct {
	agent  *proc
	engine *engine.Engine
	desk   *desk.Desk
	// link is the way from the agent to the backend server.
	link *proxy
}

// sizes tells what a cluster holds.
type sizes struct {
	entries, engines, desks int
	engine                  engine.Options
	// contracts are published beside the default ones.
	contracts []core.Contract
	// reports is the interval of the reports, 1m when it is empty.
	reports string
	// retention is what the processes think that the log keeps; the default is
	// an hour.
	retention time.Duration
}

// cluster is a log, host lists, stand-in backend servers in the test process,
// and entries and agents as processes. Every link goes through a proxy of its
// own: each entry has a host list that names the proxies of its own links.
type cluster struct {
	t     testing.TB
	dir   string
	net   string
	hosts int
	// proxyIP is an address of this cluster only. On a shared one, a process
	// that another test left behind may reach a proxy by a port used again, and
	// its configuration would be taken for that of a peer.
	proxyIP string
	retain  time.Duration
	log     *platformlog.Server
	logAddr string
	reports string
	// contracts are published beside the default ones.
	contracts []core.Contract
	lists     map[string]*hostlist.Server
	rows      []core.Host
	entries   []*proc
	links     map[string]*proxy
	models    []*backend
	desks     []*backend
	history   *history
}

func newCluster(t testing.TB, s sizes) *cluster {
	t.Helper()
	c := &cluster{
		t:       t,
		dir:     t.TempDir(),
		retain:  cmp.Or(s.retention, time.Hour),
		net:     fmt.Sprintf("%s.%d", loopback(), subnet.Add(1)),
		log:     platformlog.New(platformlog.Config{}),
		lists:   map[string]*hostlist.Server{},
		links:   map[string]*proxy{},
		history: &history{},
	}
	t.Cleanup(c.log.Close)
	c.proxyIP = c.address()
	c.logAddr = c.serve(c.log)
	c.reports, c.contracts = s.reports, s.contracts
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
	// Before the processes are killed, so that the logs tell which had ended.
	t.Cleanup(c.dumpLogs)
	return c
}

// configured waits until all processes have a confirmed configuration with the
// default objects.
func (c *cluster) configured() {
	c.t.Helper()
	eventually(c.t, "an entry answers", func() bool { return c.entries[0].ready() })
	c.publishDefaults()
	for _, p := range c.procs() {
		eventually(c.t, p.id+" is ready", p.ready)
	}
}

// ready waits until all processes take work, with the default objects.
func (c *cluster) ready() {
	c.t.Helper()
	c.configured()
	eventually(c.t, "every entry sees every agent", func() bool {
		for _, e := range c.entries {
			if c.agentsReady(e) != len(c.models)+len(c.desks) {
				return false
			}
		}
		return true
	})
	// Homes of a new entry set spend nothing for 5 s.
	eventually(c.t, "every entry admits", func() bool {
		for _, e := range c.entries {
			if !c.admits(e) {
				return false
			}
		}
		return true
	})
}

// admits reports whether an entry answers a request of a service that the
// cluster has.
func (c *cluster) admits(e *proc) bool {
	if len(c.desks) > 0 {
		return c.client("trails").lookup(e).result == resultOK
	}
	return c.client("trails").complete(e, "admits", 1).result == resultOK
}

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

// heal ends the faults of the log and of all links.
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

// address returns a new loopback IP number.
func (c *cluster) address() string {
	c.hosts++
	return fmt.Sprintf("%s.%d", c.net, c.hosts)
}

// serve runs a stand-in on an address of its own.
func (c *cluster) serve(h http.Handler) string {
	l, err := net.Listen("tcp", c.address()+":9000")
	if err != nil {
		c.t.Fatalf("listen for stand-in: %v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	c.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// link puts a proxy on the way from one process to an address.
func (c *cluster) link(from, to, target string) *proxy {
	key := from + ">" + to
	if c.links[key] == nil {
		c.links[key] = newProxy(c.t, c.proxyIP, target)
	}
	return c.links[key]
}

// linksOf returns all links that begin or end at a process.
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

// putHosts gives each process its host list: entries reach others through the
// proxies of their own links.
func (c *cluster) putHosts() {
	for id, list := range c.lists {
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
	ip := c.address()
	p := &proc{
		t: c.t, id: id, role: role, domain: domain, deployment: fmt.Sprintf("%s-%d", c.net, os.Getpid()),
		caller: ip + ":8080", admin: ip + ":8081", peer: ip + ":8082",
		logFile: c.dir + "/" + id + ".log", reports: c.reports,
	}
	list := hostlist.New(nil)
	c.t.Cleanup(list.Close)
	c.lists[id] = list
	p.logAddr, p.listAddr = c.link(id, "log", c.logAddr).address(), c.serve(list)
	return p
}

func (c *cluster) addEntry(i int) {
	p := c.newProc(core.RoleEntry, fmt.Sprintf("entry-%d", i+1), domainOf(i))
	extra := fmt.Sprintf("[entry]\ndrain_delay = \"300ms\"\nbootstrap_token_hash = %q\n[listen]\ncaller = %q\nadmin = %q\npeer = %q\n",
		hash(bootstrapToken), p.caller, p.admin, p.peer)
	p.settings = writeFile(c.t, c.dir, p.id+".toml", settingsText(p, c.retain, extra))
	c.entries = append(c.entries, p)
	c.rows = append(c.rows, core.Host{ID: p.id, Role: p.role, Address: p.peer, Domain: p.domain, Region: "r1", State: core.HostLive})
}

func (c *cluster) addAgent(id, service, kind, domain string, h http.Handler) *backend {
	p := c.newProc(core.RoleAgent, id, domain)
	b := &backend{agent: p, link: newProxy(c.t, c.proxyIP, c.serve(h))}
	extra := fmt.Sprintf("[agent]\nservice = %q\nbackend_address = %q\nbackend_kind = %q\n[listen]\nadmin = %q\npeer = %q\n",
		service, b.link.address(), kind, p.admin, p.peer)
	p.settings = writeFile(c.t, c.dir, p.id+".toml", settingsText(p, c.retain, extra))
	c.rows = append(c.rows, core.Host{ID: p.id, Role: p.role, Address: p.peer, Domain: domain, Region: "r1", Service: service, State: core.HostLive})
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
