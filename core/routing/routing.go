// Package routing chooses the agent that gets a request. The policies use the
// entry's views of the agents, which may be out of date: an agent that cannot
// take a request rejects it as not run.
package routing

import (
	"time"

	"nutmegnotch/core"
)

// MaxReportAge is the maximum age of a load report of an agent that may be
// chosen. Agents report at least every second, so an older report means that the
// agent is stalled.
const MaxReportAge = 2 * time.Second

// IsCandidate reports whether the agent may get the request at all: it is
// reachable, ready, reports, serves the service, the model and the adapter, and
// is not in a drained failure domain.
func IsCandidate(r core.Request, v *core.AgentView, now time.Time) bool {
	switch {
	case v.Drained, v.Address == "", v.Load.State != core.AgentReady:
		return false
	case v.Load.Service != r.Service, now.Sub(v.ReportedAt) > MaxReportAge:
		return false
	case r.Model != "" && !contains(v.Load.Models, r.Model):
		return false
	}
	return r.Adapter == "" || contains(v.Load.Models, r.Adapter)
}

func contains(list []string, s string) bool {
	for _, have := range list {
		if have == s {
			return true
		}
	}
	return false
}

// fits reports whether the request fits into the limits next to the reported load
// and the requests sent since. Requests of priority 0 leave a part of a busy
// server to higher priorities. An idle server takes any request within its limit.
func fits(r core.Request, v *core.AgentView) bool {
	tokens, count := v.Load.HeldTokens+v.SentTokens, v.Load.HeldCount+v.SentCount
	if tokens+r.Cost() > v.Load.LimitTokens || count+1 > v.Load.LimitCount {
		return false
	}
	if r.Priority > 0 || count == 0 {
		return true
	}
	return float64(tokens+r.Cost()) <= (1-priorityHeadroom)*float64(v.Load.LimitTokens)
}

// loadOf returns the load of the agent including the requests sent since its
// report and r, as a share of the limit, by tokens or by count, whichever is
// higher. A cold server has a low limit and therefore a high share.
func loadOf(r core.Request, v *core.AgentView) float64 {
	byTokens := ratio(v.Load.HeldTokens+v.SentTokens+r.Cost(), v.Load.LimitTokens)
	byCount := ratio(int64(v.Load.HeldCount+v.SentCount+1), int64(v.Load.LimitCount))
	return max(byTokens, byCount)
}

func ratio(held, limit int64) float64 {
	if limit <= 0 {
		return float64(held)
	}
	return float64(held) / float64(limit)
}

var (
	_ core.Router = (*Policy)(nil)
	_ core.Router = (*RoundRobin)(nil)
	_ core.Router = LeastConnections{}
	_ core.Router = (*TwoChoices)(nil)
)
