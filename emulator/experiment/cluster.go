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
	// clusterPrefillCost is the prefill time per 100 prompt tokens, in output tokens.
	clusterPrefillCost = 4.0
	clusterService     = "runners"
	// hogOrganisation is the organisation that sends most of the requests in the
	// experiment hog.
	hogOrganisation = "hog"
	// outageDomain is the failure domain that a plan takes out of service.
	outageDomain = "d2"
)

// ClusterPlan describes the load and the faults of a run. Load is a multiple of the
// capacity of all servers.
type ClusterPlan struct {
	Load   float64
	Length time.Duration
	// OutageStart and OutageEnd are when a failure domain leaves service and when it
	// returns. If OutageStart is 0, it never leaves.
	OutageStart, OutageEnd time.Duration
	// ReportInterval is the time between two load reports of an agent.
	ReportInterval time.Duration
	// PhaseEnds are the ends of the phases in which results are counted.
	PhaseEnds []time.Duration
	// HogShare is the share of the requests that one of ten organisations sends. If it
	// is 0, all organisations send equally many.
	HogShare float64
}

// ClusterPolicy creates the routers and admitters of a run.
type ClusterPolicy struct {
	Name     string
	Router   func(domain string, seed uint64) core.Router
	Admitter func() core.Admitter
}

// ClusterPhase holds the counts of one phase of a run. Collapses counts the crashes
// of servers whose memory was exceeded, and Broken the requests that failed in them
// or at a server that was restarting.
type ClusterPhase struct {
	Offered, Good, Late, Refused, Retries, Broken, Collapses int
	// Others and OthersRefused count the requests of all organisations except
	// hogOrganisation.
	Others, OthersRefused int
	// TimesToFirstToken are measured from the arrival of the request, in seconds.
	TimesToFirstToken []float64
	// LoadSpreadSum is the sum over all Steps of the difference between the highest
	// and the lowest load of a server. The load is the number of running requests
	// divided by the request limit.
	LoadSpreadSum float64
	Steps         int
}

// clusterServer is a backend server with its agent.
type clusterServer struct {
	server
	id, domain string
	seq        uint64
}

// clusterEntry is an entry with its own views of the agents. Between load reports it
// adds the requests that it has sent to a view, and updates the view when an agent
// refuses a request.
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

// Cluster simulates a plan and returns the counts of its phases.
func Cluster(p ClusterPolicy, plan ClusterPlan, seed uint64) []ClusterPhase {
	c := &cluster{plan: plan, phases: make([]ClusterPhase, len(plan.PhaseEnds))}
	for i := range clusterServers {
		s := &clusterServer{id: fmt.Sprintf("agent-%02d", i), domain: fmt.Sprintf("d%d", i%clusterDomains)}
		s.server = server{admitter: p.Admitter(), prefillCost: clusterPrefillCost, completedTokens: warmTokens}
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

// warmUp reports successful completions to an admitter until its limit is at the
// maximum.
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

func (c *cluster) phaseAt(at time.Duration) *ClusterPhase {
	return &c.phases[phaseOf(c.plan.PhaseEnds, at)]
}

func (c *cluster) run(rng *rand.Rand) {
	next := time.Duration(0)
	for n := 0; c.now < c.plan.Length; c.now += stepInterval {
		c.restartReturningServers()
		c.updateViews()
		for ; next <= c.now; n++ {
			next += interarrivalTime(rng, c.plan.Load*capacity()*clusterServers)
			r := c.drawRequest(rng, n)
			c.handleRequest(c.entries[rng.IntN(clusterEntries)], r)
		}
		c.advance()
	}
}

func (c *cluster) drawRequest(rng *rand.Rand, n int) core.Request {
	r := drawRequest(rng, n)
	r.Service, r.Repeatable = clusterService, true
	r.PrefixHash, r.Deadline = 1+rng.Uint64N(400), Epoch.Add(c.now+requestTimeout)
	if c.plan.HogShare > 0 {
		r.Organisation = fmt.Sprint(1 + n%9)
		if rng.Float64() < c.plan.HogShare {
			r.Organisation = hogOrganisation
		}
	}
	return r
}

// outOfService reports whether the failure domain of s is out of service.
func (c *cluster) outOfService(s *clusterServer) bool {
	return c.plan.OutageStart > 0 && s.domain == outageDomain && c.now >= c.plan.OutageStart && c.now < c.plan.OutageEnd
}

// restartReturningServers makes the servers of outageDomain cold when it returns to
// service.
func (c *cluster) restartReturningServers() {
	if c.plan.OutageStart == 0 || c.now != c.plan.OutageEnd {
		return
	}
	for _, s := range c.servers {
		if s.domain == outageDomain {
			s.completedTokens = 0
			s.admitter.Restarted(Epoch.Add(c.now))
		}
	}
}

func (s *clusterServer) loadReport() core.AgentLoad {
	s.seq++
	l := core.AgentLoad{AgentID: s.id, Service: clusterService, Domain: s.domain, State: core.AgentReady, Seq: s.seq}
	l.HeldTokens, l.HeldCount, l.LimitTokens, l.LimitCount = s.admitter.Load()
	return l
}

// updateViews delivers the load reports that are due. The reports of the agents are
// staggered by one step each.
func (c *cluster) updateViews() {
	for i, s := range c.servers {
		if c.now > 0 && (c.now+time.Duration(i)*stepInterval)%c.plan.ReportInterval != 0 {
			continue
		}
		l := s.loadReport()
		for _, e := range c.entries {
			e.views[i] = core.AgentView{Load: l, Address: s.id, ReportedAt: Epoch.Add(c.now), Drained: c.outOfService(s)}
		}
	}
}

// handleRequest sends a request through an entry, with retries, and counts it.
func (c *cluster) handleRequest(e *clusterEntry, r core.Request) {
	ph, other := c.phaseAt(c.now), 0
	if r.Organisation != hogOrganisation {
		other = 1
	}
	ph.Offered++
	ph.Others += other
	if !c.attempt(e, r, ph) {
		ph.Refused++
		ph.OthersRefused += other
	}
}

// attempt tries servers until one admits the request or the retry budget is
// exhausted. It reports whether a server admitted the request.
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
		e.views[i].Load, e.views[i].ReportedAt = c.servers[i].loadReport(), at
		views = slices.DeleteFunc(views, func(v core.AgentView) bool { return v.Load.AgentID == c.servers[i].id })
		if !e.budget.AllowRetry(r, core.Attempt{Number: attempt, NotRun: true}, at) {
			return false
		}
		ph.Retries++
	}
}

// try sends the request to one server. It reports whether the server admitted it.
func (c *cluster) try(s *clusterServer, r core.Request, ph *ClusterPhase) bool {
	if c.outOfService(s) {
		return false
	}
	o := s.admit(r, c.now, c.now)
	if o == requestBroken {
		ph.Broken++
	}
	return o != requestRefused
}

func (c *cluster) advance() {
	ph := c.phaseAt(c.now)
	lowest, highest := 2.0, 0.0
	for _, s := range c.servers {
		c.addStep(s.advance(c.now), ph)
		load := float64(len(s.activeRequests)) / float64(ServerLimits.MaxConcurrency)
		lowest, highest = min(lowest, load), max(highest, load)
	}
	ph.LoadSpreadSum += highest - lowest
	ph.Steps++
}

// addStep adds the results of one step of a server. Times to the first token count
// in the phase in which the request arrived.
func (c *cluster) addStep(a stepResult, ph *ClusterPhase) {
	for _, r := range a.firstTokens {
		from := c.phaseAt(r.arrivedAt)
		from.TimesToFirstToken = append(from.TimesToFirstToken, (c.now - r.arrivedAt).Seconds())
	}
	for _, r := range a.completed {
		if c.now-r.arrivedAt <= requestTimeout {
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
