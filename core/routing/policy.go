package routing

import (
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
)

const (
	// prefixBonus is by how much the load of an agent with the cached prefix may
	// exceed that of another agent, as a share of the limit, for it to be chosen.
	prefixBonus = 0.25
	// domainPenalty keeps requests in the entry's failure domain while the load
	// there exceeds that of other domains by at most this share of the limit.
	domainPenalty = 0.1
	// priorityHeadroom is the share of the limit that requests of priority 0 must
	// leave free.
	priorityHeadroom = 0.05
	// sampleSize is the number of random agents that are compared.
	sampleSize = 2
	// maxExtraSamples bounds how many agents a high priority adds to the sample.
	maxExtraSamples = 2
	// randomTriesPerSample bounds the random tries per sampled agent before all
	// views are scanned.
	randomTriesPerSample = 4
	// minProbeReportAge is the age from which a report of a full agent may be
	// outdated, so that the agent is probed with a request.
	minProbeReportAge = 100 * time.Millisecond
)

// Policy is the router used in production. It chooses the best of two random
// candidates and of the agents that probably have the prompt's prefix in their
// cache. It is not safe for concurrent use.
type Policy struct {
	domain      string
	rnd         *rand.Rand
	prefixIndex *prefixIndex
	candidates  []int
}

// New returns a policy for an entry in the given failure domain. Equal seeds
// give equal choices.
func New(domain string, seed uint64) *Policy {
	return &Policy{domain: domain, rnd: rand.New(rand.NewPCG(seed, seed)), prefixIndex: newPrefixIndex(MaxPrefixesPerAgent)}
}

// Choose implements core.Router.
func (p *Policy) Choose(r core.Request, views []core.AgentView, now time.Time) (core.AgentView, bool) {
	p.candidates = sample(p.rnd, p.candidates[:0], r, views, now, sampleSize+min(max(r.Priority, 0), maxExtraSamples))
	p.addCached(r, views, now)
	best, bestScore := -1, 0.0
	for _, i := range p.candidates {
		if s := p.score(r, &views[i]); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		best = probeCandidate(r, views, now)
	}
	if best < 0 {
		return core.AgentView{}, false
	}
	return views[best], true
}

// probeCandidate returns the least loaded candidate whose report is at least
// minProbeReportAge old, or -1. The agent was full then, but requests may have
// ended since. A refusal brings a new report, so a full agent is probed at most
// once per minProbeReportAge.
func probeCandidate(r core.Request, views []core.AgentView, now time.Time) int {
	best := -1
	for i := range views {
		v := &views[i]
		if !IsCandidate(r, v, now) || now.Sub(v.ReportedAt) < minProbeReportAge || r.Cost() > v.Load.LimitTokens {
			continue
		}
		if best < 0 || loadOf(r, v) < loadOf(r, &views[best]) {
			best = i
		}
	}
	return best
}

// addCached adds the agents that probably have cached the prefix of the prompt.
func (p *Policy) addCached(r core.Request, views []core.AgentView, now time.Time) {
	ids := p.prefixIndex.agents(r.PrefixHash)
	if len(ids) == 0 {
		return
	}
	for i := range views {
		if contains(ids, views[i].Load.AgentID) && eligible(r, &views[i], now) {
			p.candidates = append(p.candidates, i)
		}
	}
}

// score is lower for a better agent.
func (p *Policy) score(r core.Request, v *core.AgentView) float64 {
	s := loadOf(r, v)
	if p.prefixIndex.cachedBy(r.PrefixHash, v.Load.AgentID) {
		s -= prefixBonus
	}
	if v.Load.Domain != p.domain {
		s += domainPenalty
	}
	return s
}

// Sent implements core.Router. It records the prefix for the agent.
func (p *Policy) Sent(r core.Request, agentID string, _ time.Time) {
	if r.PrefixHash != 0 {
		p.prefixIndex.add(r.PrefixHash, agentID)
	}
}

// Forget drops the recorded prefixes of an agent that has restarted or left.
func (p *Policy) Forget(agentID string) { p.prefixIndex.forget(agentID) }

func eligible(r core.Request, v *core.AgentView, now time.Time) bool {
	return IsCandidate(r, v, now) && fits(r, v)
}

// sample appends up to n distinct random indexes of eligible views. It first
// tries random views, so that the cost does not grow with the number of views
// unless few of them are eligible.
func sample(rnd *rand.Rand, picked []int, r core.Request, views []core.AgentView, now time.Time, n int) []int {
	for try := 0; try < n*randomTriesPerSample && len(picked) < n && len(views) > 0; try++ {
		i := rnd.IntN(len(views))
		if !containsIndex(picked, i) && eligible(r, &views[i], now) {
			picked = append(picked, i)
		}
	}
	if len(picked) == n {
		return picked
	}
	return scan(rnd, picked, r, views, now, n)
}

// scan fills picked up to n indexes by reservoir sampling over all views.
func scan(rnd *rand.Rand, picked []int, r core.Request, views []core.AgentView, now time.Time, n int) []int {
	kept, seen := len(picked), 0
	for i := range views {
		if containsIndex(picked[:kept], i) || !eligible(r, &views[i], now) {
			continue
		}
		seen++
		if len(picked) < n {
			picked = append(picked, i)
		} else if j := rnd.IntN(seen); j < n-kept {
			picked[kept+j] = i
		}
	}
	return picked
}

func containsIndex(list []int, i int) bool {
	for _, have := range list {
		if have == i {
			return true
		}
	}
	return false
}
