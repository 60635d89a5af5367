package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
)

// The simulated service: 12 servers in 3 failure domains behind 3 entries.
const (
	clusterServers = 12
	clusterEntries = 3
	clusterDomains = 3
	// clusterPrefill is the time for 100 prompt tokens, in tokens.
	clusterPrefill = 4.0
	clusterService = "runners"
	hogName        = "hog"
	// leavingDomain is the failure domain that a plan takes out of service.
	leavingDomain = "d2"
)

// ClusterPlan is the course of a run. Load is a multiple of the capacity of
// all servers.
type ClusterPlan struct {
	Load   float64
	Length time.Duration
	// Leave and Back are when a failure domain is out of service; zero means never.
	Leave, Back time.Duration
	// Report is the time between two load reports of an agent.
	Report time.Duration
	// Phases are the ends of the phases.
	Phases []time.Duration
	// Hog is the part of the requests that one of ten organisations sends.
	Hog float64
}

// ClusterPolicy makes the parts that a run compares.
type ClusterPolicy struct {
	Name     string
	Router   func(domain string, seed uint64) core.Router
	Admitter func() core.Admitter
}

// ClusterPhase holds the counts of one phase of a run.
type ClusterPhase struct {
	Offered, Good, Late, Refused, Retries, Broken, Collapses int
	// Small and SmallRefused count requests of organisations that are not the hog.
	Small, SmallRefused int
	// FirstTokens are times from arrival to the first token, in seconds.
	FirstTokens []float64
	// Spread is the sum over Ticks of the difference between the fullest and
	// the emptiest server, as a part of the request limit.
	Spread float64
	Ticks  int
}

// clusterServer is a backend server with its agent.
type clusterServer struct {
	server
	id, domain string
	seq        uint64
}

// clusterEntry has views of its own and reads load reports at its own times.
type clusterEntry struct {
	router core.Router
	budget *retry.Budget
	views  []core.AgentView
}

type cluster struct {
	plan    ClusterPlan
	servers []*clusterServer
	entries []*clusterEntry
	phases  []ClusterPhase
	now     time.Duration
}

// Cluster runs a plan and returns the counts of its phases.
func Cluster(p ClusterPolicy, plan ClusterPlan, seed uint64) []ClusterPhase {
	c := &cluster{plan: plan, phases: make([]ClusterPhase, len(plan.Phases))}
	for i := range clusterServers {
		s := &clusterServer{id: fmt.Sprintf("agent-%02d", i), domain: fmt.Sprintf("d%d", i%clusterDomains)}
		s.server = server{admitter: p.Admitter(), prefill: clusterPrefill, served: warmTokens}
		warmUp(s.admitter)
		c.servers = append(c.servers, s)
	}
	for i := range clusterEntries {
		c.entries = append(c.entries, &clusterEntry{
			router: p.Router(fmt.Sprintf("d%d", i%clusterDomains), seed*10+uint64(i)),
			budget: retry.NewBudget(), views: make([]core.AgentView, clusterServers),
		})
	}
	c.run(rand.New(rand.NewPCG(seed, 1)))
	return c.phases
}

// warmUp takes an admitter to its full limit, as good completions do.
func warmUp(a core.Admitter) {
	at := Epoch.Add(-time.Minute)
	for i := range 400 {
		r := core.Request{ID: fmt.Sprint("warm-", i), Organisation: "w", PromptTokens: 50, OutputTokens: 10, Weight: 1}
		at = at.Add(100 * time.Millisecond)
		if _, ok := a.Admit(r, at); ok {
			a.Done(r, core.Outcome{Succeeded: true, OutputTokens: 10, Elapsed: 100 * time.Millisecond}, at)
		}
	}
}

func (c *cluster) phase(at time.Duration) *ClusterPhase { return &c.phases[phaseOf(c.plan.Phases, at)] }

func (c *cluster) run(rng *rand.Rand) {
	next := time.Duration(0)
	for n := 0; c.now < c.plan.Length; c.now += step {
		c.restart()
		c.report()
		for ; next <= c.now; n++ {
			next += gap(rng, c.plan.Load*capacity()*clusterServers)
			r := c.draw(rng, n)
			c.offer(c.entries[rng.IntN(clusterEntries)], r)
		}
		c.advance()
	}
}

func (c *cluster) draw(rng *rand.Rand, n int) core.Request {
	r := draw(rng, n)
	r.Service, r.Repeatable = clusterService, true
	r.PrefixHash, r.Deadline = 1+rng.Uint64N(400), Epoch.Add(c.now+deadline)
	if c.plan.Hog > 0 {
		r.Organisation = fmt.Sprint(1 + n%9)
		if rng.Float64() < c.plan.Hog {
			r.Organisation = hogName
		}
	}
	return r
}

// out reports whether the failure domain of s is out of service.
func (c *cluster) out(s *clusterServer) bool {
	return c.plan.Leave > 0 && s.domain == leavingDomain && c.now >= c.plan.Leave && c.now < c.plan.Back
}

// restart makes the servers of a failure domain cold when it comes back.
func (c *cluster) restart() {
	if c.plan.Leave == 0 || c.now != c.plan.Back {
		return
	}
	for _, s := range c.servers {
		if s.domain == leavingDomain {
			s.served = 0
			s.admitter.Restarted(Epoch.Add(c.now))
		}
	}
}

func (s *clusterServer) load() core.AgentLoad {
	s.seq++
	l := core.AgentLoad{AgentID: s.id, Service: clusterService, Domain: s.domain, State: core.AgentReady, Seq: s.seq}
	l.HeldTokens, l.HeldCount, l.LimitTokens, l.LimitCount = s.admitter.Load()
	return l
}

// report brings the views up to date; each agent reports at times of its own.
func (c *cluster) report() {
	for i, s := range c.servers {
		if c.now > 0 && (c.now+time.Duration(i)*step)%c.plan.Report != 0 {
			continue
		}
		l := s.load()
		for _, e := range c.entries {
			e.views[i] = core.AgentView{Load: l, Address: s.id, ReportedAt: Epoch.Add(c.now), Drained: c.out(s)}
		}
	}
}

// offer counts one request and makes the attempts of an entry for it.
func (c *cluster) offer(e *clusterEntry, r core.Request) {
	ph, small := c.phase(c.now), 0
	if r.Organisation != hogName {
		small = 1
	}
	ph.Offered++
	ph.Small += small
	if !c.attempt(e, r, ph) {
		ph.Refused++
		ph.SmallRefused += small
	}
}

// attempt reports whether a server took the request.
func (c *cluster) attempt(e *clusterEntry, r core.Request, ph *ClusterPhase) bool {
	at := Epoch.Add(c.now)
	e.budget.CountRequest(clusterService, at)
	views := slices.Clone(e.views)
	for attempt := 1; ; attempt++ {
		v, ok := e.router.Choose(r, views, at)
		if !ok {
			return false
		}
		e.router.Sent(r, v.Load.AgentID, at)
		i := slices.IndexFunc(c.servers, func(s *clusterServer) bool { return s.id == v.Load.AgentID })
		if c.try(c.servers[i], r, ph) {
			e.views[i].Load.HeldTokens += r.Cost()
			e.views[i].Load.HeldCount++
			return true
		}
		e.views[i].Load, e.views[i].ReportedAt = c.servers[i].load(), at
		views = slices.DeleteFunc(views, func(v core.AgentView) bool { return v.Load.AgentID == c.servers[i].id })
		if !e.budget.AllowRetry(r, core.Attempt{Number: attempt, NotRun: true}, at) {
			return false
		}
		ph.Retries++
	}
}

func (c *cluster) try(s *clusterServer, r core.Request, ph *ClusterPhase) bool {
	if c.out(s) {
		return false
	}
	o := s.offer(r, c.now, c.now)
	if o == broken {
		ph.Broken++
	}
	return o != refused
}

func (c *cluster) advance() {
	ph := c.phase(c.now)
	least, most := 2.0, 0.0
	for _, s := range c.servers {
		c.add(s.advance(c.now), ph)
		load := float64(len(s.runs)) / float64(ServerLimits.MaxConcurrency)
		least, most = min(least, load), max(most, load)
	}
	ph.Spread += most - least
	ph.Ticks++
}

func (c *cluster) add(a advanced, ph *ClusterPhase) {
	for _, r := range a.first {
		from := c.phase(r.at)
		from.FirstTokens = append(from.FirstTokens, (c.now - r.at).Seconds())
	}
	for _, r := range a.ended {
		if c.now-r.at <= deadline {
			ph.Good++
		} else {
			ph.Late++
		}
	}
	ph.Broken += len(a.broken)
	if a.collapsed {
		ph.Collapses++
	}
}
