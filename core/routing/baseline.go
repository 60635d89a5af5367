package routing

import (
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
)

// RoundRobin is a baseline that uses the candidates in turn, regardless of their
// load.
type RoundRobin struct{ next int }

// Choose implements core.Router.
func (b *RoundRobin) Choose(r core.Request, views []core.AgentView, now time.Time) (core.AgentView, bool) {
	for range views {
		i := b.next % len(views)
		b.next = i + 1
		if IsCandidate(r, &views[i], now) {
			return views[i], true
		}
	}
	return core.AgentView{}, false
}

// Sent implements core.Router.
func (b *RoundRobin) Sent(core.Request, string, time.Time) {}

// LeastConnections is a baseline that chooses the candidate with the fewest
// requests, regardless of their cost.
type LeastConnections struct{}

// Choose implements core.Router.
func (LeastConnections) Choose(r core.Request, views []core.AgentView, now time.Time) (core.AgentView, bool) {
	best, fewest := -1, 0
	for i := range views {
		n := views[i].Load.HeldCount + views[i].SentCount
		if IsCandidate(r, &views[i], now) && (best < 0 || n < fewest) {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return core.AgentView{}, false
	}
	return views[best], true
}

// Sent implements core.Router.
func (LeastConnections) Sent(core.Request, string, time.Time) {}

// TwoChoices is a baseline that chooses the less loaded of two random agents
// ("power of two choices"), regardless of prefixes, failure domains and
// priorities.
type TwoChoices struct{ rnd *rand.Rand }

// NewTwoChoices returns the baseline with a random source for the seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Choose implements core.Router.
func (b *TwoChoices) Choose(r core.Request, views []core.AgentView, now time.Time) (core.AgentView, bool) {
	var buf [sampleSize]int
	best := -1
	for _, i := range sample(b.rnd, buf[:0], r, views, now, sampleSize) {
		if best < 0 || loadOf(r, &views[i]) < loadOf(r, &views[best]) {
			best = i
		}
	}
	if best < 0 {
		return core.AgentView{}, false
	}
	return views[best], true
}

// Sent implements core.Router.
func (b *TwoChoices) Sent(core.Request, string, time.Time) {}
