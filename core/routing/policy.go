package routing

import (
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
)

const (
	// prefixBonus is the share of a limit by which an agent with a cached
	// prefix may be more loaded than another and still be chosen.
	prefixBonus = 0.25
	// domainPenalty keeps requests in the entry's failure domain while the load
	// there is at most this share of a limit higher.
	domainPenalty = 0.1
	// priorityHeadroom is the share of a limit that priority 0 leaves free.
	priorityHeadroom = 0.05
	// choices is the number of agents that are compared at random.
	choices = 2
	// maxExtraChoices bounds what a high priority adds to choices.
	maxExtraChoices = 2
	// probesPerChoice bounds the random probes before all views are scanned.
	probesPerChoice = 4
	// probeAge is the age from which a report no longer proves that an agent is
	// full.
	probeAge = 100 * time.Millisecond
)

// Policy is the product's router: the best of two random candidates and of the
// agents that probably cached the prompt's prefix. It is not safe for
// concurrent use.
type Policy struct {
	domain   string
	rnd      *rand.Rand
	prefixes *prefixes
	picked   []int
}

// New returns a policy for an entry in the given failure domain. Equal seeds
// give equal choices.
func New(domain string, seed uint64) *Policy {
	return &Policy{domain: domain, rnd: rand.New(rand.NewPCG(seed, seed)), prefixes: newPrefixes(MaxPrefixesPerAgent)}
}

// Choose implements core.Router.
func (p *Policy) Choose(r core.Request, views []core.AgentView, now time.Time) (core.AgentView, bool) {
	p.picked = sample(p.rnd, p.picked[:0], r, views, now, choices+min(max(r.Priority, 0), maxExtraChoices))
	p.addCached(r, views, now)
	best, bestScore := -1, 0.0
	for _, i := range p.picked {
		if s := p.score(r, &views[i]); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		best = probe(r, views, now)
	}
	if best < 0 {
		return core.AgentView{}, false
	}
	return views[best], true
}

// probe returns the least loaded candidate that seems full by an old report, or
// -1. What it held then may have ended since; its refusal brings a new report,
// so a full agent is asked at most once in probeAge.
func probe(r core.Request, views []core.AgentView, now time.Time) int {
	best := -1
	for i := range views {
		v := &views[i]
		if !IsCandidate(r, v, now) || now.Sub(v.ReportedAt) < probeAge || r.Cost() > v.Load.LimitTokens {
			continue
		}
		if best < 0 || loadOf(r, v) < loadOf(r, &views[best]) {
			best = i
		}
	}
	return best
}

// addCached adds the agents that probably hold the prefix of the prompt.
func (p *Policy) addCached(r core.Request, views []core.AgentView, now time.Time) {
	ids := p.prefixes.agents(r.PrefixHash)
	if len(ids) == 0 {
		return
	}
	for i := range views {
		if contains(ids, views[i].Load.AgentID) && eligible(r, &views[i], now) {
			p.picked = append(p.picked, i)
		}
	}
}

// score is lower for a better agent.
func (p *Policy) score(r core.Request, v *core.AgentView) float64 {
	s := loadOf(r, v)
	if p.prefixes.holds(r.PrefixHash, v.Load.AgentID) {
		s -= prefixBonus
	}
	if v.Load.Domain != p.domain {
		s += domainPenalty
	}
	return s
}

// Sent implements core.Router. It remembers the prefix for the agent.
func (p *Policy) Sent(r core.Request, agentID string, _ time.Time) {
	if r.PrefixHash != 0 {
		p.prefixes.add(r.PrefixHash, agentID)
	}
}

// Forget drops what is remembered of an agent, because it restarted or left.
func (p *Policy) Forget(agentID string) { p.prefixes.forget(agentID) }

func eligible(r core.Request, v *core.AgentView, now time.Time) bool {
	return IsCandidate(r, v, now) && fits(r, v)
}

// sample appends up to n distinct random indexes of eligible views. It probes
// at random first, so that the cost does not grow with the number of views
// unless few of them are eligible.
func sample(rnd *rand.Rand, picked []int, r core.Request, views []core.AgentView, now time.Time, n int) []int {
	for probe := 0; probe < n*probesPerChoice && len(picked) < n && len(views) > 0; probe++ {
		i := rnd.IntN(len(views))
		if !has(picked, i) && eligible(r, &views[i], now) {
			picked = append(picked, i)
		}
	}
	if len(picked) == n {
		return picked
	}
	return scan(rnd, picked, r, views, now, n)
}

// scan fills picked by reservoir sampling over all views.
func scan(rnd *rand.Rand, picked []int, r core.Request, views []core.AgentView, now time.Time, n int) []int {
	kept, seen := len(picked), 0
	for i := range views {
		if has(picked[:kept], i) || !eligible(r, &views[i], now) {
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

func has(list []int, i int) bool {
	for _, have := range list {
		if have == i {
			return true
		}
	}
	return false
}
