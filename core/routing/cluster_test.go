package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
	"nutmegnotch/core/retry"
	"nutmegnotch/core/routing"
)

// The simulated service: 12 servers in 3 failure domains behind 3 entries.
const (
	simServers   = 12
	simEntries   = 3
	simDomains   = 3
	simStep      = 10 * time.Millisecond
	simTokenTime = 10 * time.Millisecond
	// simSlowdown is the part by which each further request lengthens a step.
	simSlowdown   = 0.02
	simMemory     = 16000
	simCold       = 800
	simColdFactor = 4.0
	simWarmTokens = (simMemory - simCold) / 2
	simRestart    = 5 * time.Second
	simPrefill    = 4.0 // tokens of time for each 100 prompt tokens
	simDeadline   = 10 * time.Second
	// simMeanCost and simMeanOutput are the means of the drawn requests.
	simMeanCost   = 350
	simMeanOutput = 150
	simService    = "runners"
	simHog        = "hog"
)

var simLimits = admission.Limits{ColdTokens: simCold, ColdConcurrency: 2, MemoryTokens: simMemory, MaxConcurrency: 40}

// simCapacity is what one warm server ends per second.
func simCapacity() float64 {
	n := min(float64(simLimits.MaxConcurrency), float64(simMemory)/simMeanCost)
	return n / (simMeanOutput * simTokenTime.Seconds() * (1 + simSlowdown*(n-1)))
}

type simRun struct {
	request core.Request
	at      time.Duration
	begun   time.Duration
	first   time.Duration
	done    float64
}

// simServer is a backend server with its agent's admission.
type simServer struct {
	id, domain string
	admitter   core.Admitter
	runs       []*simRun
	served     float64
	down       time.Duration
	seq        uint64
}

// simEntry has views of its own and reads load reports at its own times.
type simEntry struct {
	router core.Router
	budget *retry.Budget
	views  []core.AgentView
}

// simPlan is one run: the load as a multiple of the capacity of all servers,
// and when the last failure domain is out of service.
type simPlan struct {
	load        float64
	length      time.Duration
	leave, back time.Duration
	// report is the time between two load reports of an agent.
	report time.Duration
	phases []time.Duration
	// hog is the part of the requests that one of ten organisations sends.
	hog float64
}

// simFigures are counts for each phase of a plan.
type simFigures struct {
	offered, good, late, refused, retries, broken, collapses []int
	first                                                    [][]float64
	// small and smallRefused count the requests of organisations other than simHog.
	small, smallRefused []int
	skew                []float64
	ticks               []int
}

type simPolicy struct {
	name     string
	router   func(domain string, seed uint64) core.Router
	admitter func() core.Admitter
}

type simWorld struct {
	plan    simPlan
	servers []*simServer
	entries []*simEntry
	f       simFigures
	now     time.Duration
}

func (w *simWorld) phase(at time.Duration) int {
	for i, end := range w.plan.phases {
		if at < end {
			return i
		}
	}
	return len(w.plan.phases) - 1
}

func simulate(p simPolicy, plan simPlan, seed uint64) simFigures {
	w := &simWorld{plan: plan}
	n := len(plan.phases)
	w.f = simFigures{make([]int, n), make([]int, n), make([]int, n), make([]int, n), make([]int, n), make([]int, n), make([]int, n),
		make([][]float64, n), make([]int, n), make([]int, n), make([]float64, n), make([]int, n)}
	for i := range simServers {
		s := &simServer{id: fmt.Sprintf("agent-%02d", i), domain: fmt.Sprintf("d%d", i%simDomains), admitter: p.admitter(), served: simWarmTokens}
		simWarm(s)
		w.servers = append(w.servers, s)
	}
	for i := range simEntries {
		w.entries = append(w.entries, &simEntry{router: p.router(fmt.Sprintf("d%d", i%simDomains), seed*10+uint64(i)), budget: retry.NewBudget(),
			views: make([]core.AgentView, simServers)})
	}
	w.run(rand.New(rand.NewPCG(seed, 1)))
	return w.f
}

// simWarm takes an admitter to its full limit, as good completions do.
func simWarm(s *simServer) {
	at := now.Add(-time.Minute)
	for i := range 400 {
		r := core.Request{ID: fmt.Sprint("warm-", i), Organisation: "w", PromptTokens: 50, OutputTokens: 10, Weight: 1}
		at = at.Add(100 * time.Millisecond)
		if _, ok := s.admitter.Admit(r, at); ok {
			s.admitter.Done(r, core.Outcome{Good: true, OutputTokens: 10, Elapsed: 100 * time.Millisecond}, at)
		}
	}
}

func (w *simWorld) run(rng *rand.Rand) {
	rate := w.plan.load * simCapacity() * simServers
	next := time.Duration(0)
	for i := 0; w.now < w.plan.length; w.now += simStep {
		w.leaveAndReturn()
		w.report()
		for ; next <= w.now; i++ {
			next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			r := core.Request{ID: fmt.Sprint(i), Service: simService, Organisation: fmt.Sprint(i % 10), Weight: 1, Repeatable: true,
				PromptTokens: 100 + rng.Int64N(201), OutputTokens: 50 + rng.Int64N(201), PrefixHash: 1 + rng.Uint64N(400),
				Deadline: now.Add(w.now + simDeadline)}
			if w.plan.hog > 0 {
				r.Organisation = fmt.Sprint(1 + i%9)
				if rng.Float64() < w.plan.hog {
					r.Organisation = simHog
				}
			}
			w.offer(w.entries[rng.IntN(simEntries)], r)
		}
		least, most := 2.0, 0.0
		for _, s := range w.servers {
			w.advance(s)
			load := float64(len(s.runs)) / float64(simLimits.MaxConcurrency)
			least, most = min(least, load), max(most, load)
		}
		w.f.skew[w.phase(w.now)] += most - least
		w.f.ticks[w.phase(w.now)]++
	}
}

// out reports whether the failure domain of s is out of service.
func (w *simWorld) out(s *simServer) bool {
	return w.plan.leave > 0 && s.domain == "d2" && w.now >= w.plan.leave && w.now < w.plan.back
}

func (w *simWorld) leaveAndReturn() {
	if w.plan.leave == 0 || w.now != w.plan.back {
		return
	}
	for _, s := range w.servers {
		if s.domain == "d2" {
			s.served = 0
			s.admitter.Restarted(now.Add(w.now))
		}
	}
}

func (s *simServer) load() core.AgentLoad {
	s.seq++
	l := core.AgentLoad{AgentID: s.id, Service: simService, Domain: s.domain, State: core.AgentReady, Seq: s.seq}
	l.HeldTokens, l.HeldCount, l.LimitTokens, l.LimitCount = s.admitter.Load()
	return l
}

// report brings the views up to date; each agent reports at times of its own.
func (w *simWorld) report() {
	for i, s := range w.servers {
		if w.now > 0 && (w.now+time.Duration(i)*simStep)%w.plan.report != 0 {
			continue
		}
		l := s.load()
		for _, e := range w.entries {
			e.views[i] = core.AgentView{Load: l, Address: s.id, ReportedAt: now.Add(w.now), Drained: w.out(s)}
		}
	}
}

// offer makes the attempts that an entry makes for one request.
func (w *simWorld) offer(e *simEntry, r core.Request) {
	ph, at := w.phase(w.now), now.Add(w.now)
	w.f.offered[ph]++
	if r.Organisation != simHog {
		w.f.small[ph]++
	}
	e.budget.Request(simService, at)
	views := slices.Clone(e.views)
	for attempt := 1; ; attempt++ {
		v, ok := e.router.Choose(r, views, at)
		if !ok {
			break
		}
		e.router.Sent(r, v.Load.AgentID, at)
		i := slices.IndexFunc(w.servers, func(s *simServer) bool { return s.id == v.Load.AgentID })
		if w.try(w.servers[i], r) {
			e.views[i].Load.HeldTokens += r.Cost()
			e.views[i].Load.HeldCount++
			return
		}
		e.views[i].Load, e.views[i].ReportedAt = w.servers[i].load(), at
		views = slices.DeleteFunc(views, func(v core.AgentView) bool { return v.Load.AgentID == w.servers[i].id })
		if !e.budget.Retry(r, core.Attempt{Number: attempt, NotRun: true}, at) {
			break
		}
		w.f.retries[ph]++
	}
	w.f.refused[ph]++
	if r.Organisation != simHog {
		w.f.smallRefused[ph]++
	}
}

func (w *simWorld) try(s *simServer, r core.Request) bool {
	if w.out(s) {
		return false
	}
	if _, ok := s.admitter.Admit(r, now.Add(w.now)); !ok {
		return false
	}
	if w.now < s.down {
		w.f.broken[w.phase(w.now)]++
		s.admitter.Done(r, core.Outcome{Crashed: true}, now.Add(w.now))
		return true
	}
	s.runs = append(s.runs, &simRun{request: r, at: w.now, begun: w.now, done: -simPrefill * float64(r.PromptTokens) / 100})
	return true
}

func (w *simWorld) advance(s *simServer) {
	warm := min(s.served/simWarmTokens, 1)
	slow := (warm + (1-warm)*simColdFactor) * (1 + simSlowdown*float64(max(len(s.runs)-1, 0)))
	tokens := simStep.Seconds() / (simTokenTime.Seconds() * slow)
	held := 0.0
	var kept []*simRun
	for _, r := range s.runs {
		r.done += tokens
		if r.first == 0 && r.done >= 1 {
			r.first = w.now
			w.f.first[w.phase(r.at)] = append(w.f.first[w.phase(r.at)], (w.now - r.at).Seconds())
		}
		if r.done < float64(r.request.OutputTokens) {
			held += float64(r.request.PromptTokens) + r.done
			kept = append(kept, r)
			continue
		}
		w.end(s, r)
	}
	s.runs = kept
	if held > simCold+min(s.served/simWarmTokens, 1)*(simMemory-simCold) {
		w.collapse(s)
	}
}

func (w *simWorld) end(s *simServer, r *simRun) {
	if w.now-r.at <= simDeadline {
		w.f.good[w.phase(w.now)]++
	} else {
		w.f.late[w.phase(w.now)]++
	}
	s.served += float64(r.request.Cost())
	s.admitter.Done(r.request, core.Outcome{Good: true, OutputTokens: r.request.OutputTokens, FirstToken: r.first - r.begun, Elapsed: w.now - r.begun}, now.Add(w.now))
}

func (w *simWorld) collapse(s *simServer) {
	ph := w.phase(w.now)
	w.f.collapses[ph]++
	for _, r := range s.runs {
		w.f.broken[ph]++
		s.admitter.Done(r.request, core.Outcome{Crashed: true}, now.Add(w.now))
	}
	s.runs, s.served, s.down = nil, 0, w.now+simRestart
	s.admitter.Restarted(now.Add(w.now))
}

func memoryAware() core.Admitter { return admission.New(simLimits, now.Add(-2*time.Minute)) }
func noWarmUp() core.Admitter    { return admission.NewNoWarmUp(simLimits) }
func fixedCount() core.Admitter  { return admission.NewFixedCount(simLimits.MaxConcurrency) }

func routePolicy(domain string, seed uint64) core.Router { return routing.New(domain, seed) }
func rotation(string, uint64) core.Router                { return &routing.RoundRobin{} }
func leastConnections(string, uint64) core.Router        { return routing.LeastConnections{} }
func twoChoices(_ string, seed uint64) core.Router       { return routing.NewTwoChoices(seed) }

const simSeeds = 5

// Guards against cold servers that return to the service and collapse.
func TestReturningDomainDoesNotCollapse(t *testing.T) {
	for seed := uint64(1); seed <= simSeeds; seed++ {
		f := simulate(simPolicy{"policy", routePolicy, memoryAware}, domainPlan(200*time.Millisecond), seed)
		for i, n := range f.collapses {
			if n != 0 {
				t.Errorf("seed %d, phase %d: got %d collapses, want 0", seed, i, n)
			}
		}
	}
}

func domainPlan(report time.Duration) simPlan {
	return simPlan{load: 0.7, length: 200 * time.Second, leave: 60 * time.Second, back: 120 * time.Second, report: report,
		phases: []time.Duration{60 * time.Second, 120 * time.Second, 150 * time.Second, 200 * time.Second}}
}

// BenchmarkDomainLeaves prints service before, during and after the absence of
// a failure domain, over simSeeds seeds.
func BenchmarkDomainLeaves(b *testing.B) {
	for _, p := range []simPolicy{
		{"policy", routePolicy, memoryAware},
		{"rotation_memory_aware", rotation, memoryAware},
		{"rotation_no_warm_up", rotation, noWarmUp},
		{"rotation_fixed_count", rotation, fixedCount},
	} {
		for range b.N {
			report(b, p, domainPlan(200*time.Millisecond), []string{"before", "during", "return", "after"})
		}
	}
}

// BenchmarkClusterOverload prints the service of 12 warm servers under loads
// below and above their capacity, over simSeeds seeds.
func BenchmarkClusterOverload(b *testing.B) {
	for _, p := range []simPolicy{
		{"policy", routePolicy, memoryAware},
		{"rotation", rotation, memoryAware},
		{"least_connections", leastConnections, memoryAware},
		{"two_choices", twoChoices, memoryAware},
		{"rotation_fixed_count", rotation, fixedCount},
	} {
		for _, load := range []float64{0.5, 0.9, 1, 1.5, 2, 3} {
			for range b.N {
				report(b, simPolicy{fmt.Sprintf("%s/load=%v", p.name, load), p.router, p.admitter},
					simPlan{load: load, length: 60 * time.Second, report: 200 * time.Millisecond, phases: []time.Duration{60 * time.Second}}, []string{""})
			}
		}
	}
}

// BenchmarkReportInterval prints the service by the time between load reports.
// Replies carry none in the simulation, though they do in the product.
func BenchmarkReportInterval(b *testing.B) {
	for _, every := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, load := range []float64{0.7, 0.9, 1.5} {
			for range b.N {
				report(b, simPolicy{fmt.Sprintf("policy/every=%v/load=%v", every, load), routePolicy, memoryAware},
					simPlan{load: load, length: 60 * time.Second, report: every, phases: []time.Duration{60 * time.Second}}, []string{""})
			}
		}
	}
}

// BenchmarkHog prints the service while one of ten organisations sends four
// fifths of the requests and the others less than their shares.
func BenchmarkHog(b *testing.B) {
	for _, p := range []simPolicy{{"policy", routePolicy, memoryAware}, {"no_fair_share", routePolicy, noWarmUp}} {
		for _, load := range []float64{0.9, 1.5, 2, 3} {
			for range b.N {
				report(b, simPolicy{fmt.Sprintf("%s/load=%v", p.name, load), p.router, p.admitter},
					simPlan{load: load, length: 60 * time.Second, report: 200 * time.Millisecond, hog: 0.8, phases: []time.Duration{60 * time.Second}}, []string{""})
			}
		}
	}
}
