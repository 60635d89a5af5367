package entry

import (
	"context"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/routing"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// agentState is the state of one agent with a live session, as this entry sees it.
type agentState struct {
	view     core.AgentView
	sessions map[*peer.Session]bool
	// hasFullReport is set once this incarnation has sent a full load report.
	hasFullReport bool
	leaving       bool
	hostLeaving   bool
}

// views is the task that owns the views of the agents and determines which
// processes this entry keeps sessions with.
type views struct {
	*task.Task
	cfg            Config
	node           *peer.Node
	agents         map[string]*agentState
	hosts          []core.Host
	dialled        map[string]bool
	holderSessions map[string]time.Time
	candidates     []core.AgentView
	metrics        *metrics
}

func startViews(ctx context.Context, cfg Config, m *metrics) *views {
	return &views{Task: startTask(ctx), cfg: cfg, agents: map[string]*agentState{}, dialled: map[string]bool{},
		holderSessions: map[string]time.Time{}, metrics: m}
}

func (v *views) attach(n *peer.Node) { v.Do(func() { v.node = n }) }

func (v *views) sessionUp(s *peer.Session) {
	if s.Hello.GetRole() != core.RoleAgent {
		return
	}
	v.Do(func() {
		a := v.agents[s.Hello.GetId()]
		if a == nil || a.view.Load.Incarnation != s.Hello.GetIncarnation() {
			a = v.newAgent(s.Hello, a)
		}
		a.sessions[s] = true
	})
}

// newAgent adds an agent and replaces the state of an earlier incarnation.
func (v *views) newAgent(h *peerpb.Hello, old *agentState) *agentState {
	v.forgetAgent(h.GetId())
	a := &agentState{sessions: map[*peer.Session]bool{}}
	if old != nil {
		a.sessions, a.hostLeaving = old.sessions, old.hostLeaving
	}
	a.view.Address = h.GetAddress()
	if a.view.Address == "" {
		a.view.Address = h.GetId()
	}
	a.view.Load = core.AgentLoad{AgentID: h.GetId(), Incarnation: h.GetIncarnation(), Service: h.GetService(),
		Domain: h.GetFailureDomain(), Region: h.GetRegion(), State: core.AgentNotReady}
	v.agents[h.GetId()] = a
	v.markLeaving()
	return a
}

func (v *views) sessionDown(s *peer.Session) {
	v.Do(func() {
		a := v.agents[s.Hello.GetId()]
		if a == nil {
			return
		}
		delete(a.sessions, s)
		if len(a.sessions) == 0 {
			delete(v.agents, s.Hello.GetId())
			v.forgetAgent(s.Hello.GetId())
		}
	})
}

// forgetAgent drops the router's state about an agent.
func (v *views) forgetAgent(id string) {
	if f, ok := v.cfg.Router.(interface{ Forget(agentID string) }); ok {
		f.Forget(id)
	}
}

// handleLoad applies a load report. It ignores reports about another agent or
// another incarnation, reports older than the last one, and brief reports that
// arrive before a full one.
func (v *views) handleLoad(from *peerpb.Hello, l *peerpb.Load) {
	if l == nil {
		return
	}
	v.Do(func() {
		if !l.GetBrief() {
			v.applyLoad(from.GetId(), l)
		} else if a := v.agents[from.GetId()]; a != nil && a.hasFullReport && a.view.Load.Incarnation == from.GetIncarnation() {
			v.applyLoad(from.GetId(), a.expandBrief(l))
		}
	})
}

// expandBrief returns a full report with the values of the brief report l and the
// identity and models of the last full report.
func (a *agentState) expandBrief(l *peerpb.Load) *peerpb.Load {
	last := a.view.Load
	return &peerpb.Load{
		AgentId: last.AgentID, Incarnation: last.Incarnation, Service: last.Service, FailureDomain: last.Domain,
		Region: last.Region, Models: last.Models, State: l.GetState(), HeldTokens: l.GetHeldTokens(), HeldCount: l.GetHeldCount(),
		LimitTokens: l.GetLimitTokens(), LimitCount: l.GetLimitCount(), Seq: l.GetSeq(),
	}
}

func (v *views) applyLoad(agentID string, l *peerpb.Load) {
	a := v.agents[agentID]
	if a == nil || l.GetAgentId() != agentID || l.GetIncarnation() != a.view.Load.Incarnation ||
		l.GetSeq() <= a.view.Load.Seq {
		v.metrics.ignoredControlFrames.Add(1)
		return
	}
	a.view.Load = core.AgentLoad{
		AgentID: l.GetAgentId(), Incarnation: l.GetIncarnation(), Service: l.GetService(),
		Domain: l.GetFailureDomain(), Region: l.GetRegion(), State: core.AgentState(l.GetState()),
		Models: l.GetModels(), HeldTokens: l.GetHeldTokens(), HeldCount: int(l.GetHeldCount()),
		LimitTokens: l.GetLimitTokens(), LimitCount: int(l.GetLimitCount()), Seq: l.GetSeq(),
	}
	a.view.ReportedAt = time.Now()
	a.hasFullReport = true
}

// handleLeaving marks an incarnation of an agent as leaving.
func (v *views) handleLeaving(from *peerpb.Hello, l *peerpb.Leaving) {
	v.Do(func() {
		a := v.agents[from.GetId()]
		if a != nil && l.GetId() == from.GetId() && l.GetIncarnation() == a.view.Load.Incarnation {
			a.leaving = true
		}
	})
}

// choice is the result of choose. code is the refusal code if ok is false.
type choice struct {
	view core.AgentView
	code core.Code
	ok   bool
}

// choose chooses an agent that was not tried before, and counts the request as sent
// to it until settleSent is called. An exclusive request goes to the agent with the
// fewest requests.
func (v *views) choose(r core.Request, tried map[string]bool, exclusive bool) choice {
	var c choice
	v.Do(func() {
		now := time.Now()
		code := v.collectCandidates(r, tried, now)
		router := v.cfg.Router
		if exclusive {
			router = routing.LeastConnections{}
		}
		c.view, c.ok = router.Choose(r, v.candidates, now)
		if !c.ok {
			c.code = code
			return
		}
		v.cfg.Router.Sent(r, c.view.Load.AgentID, now)
		a := v.agents[c.view.Load.AgentID]
		a.view.SentTokens += r.Cost()
		a.view.SentCount++
	})
	return c
}

// collectCandidates fills candidates with the views of the service's agents that
// were not tried. It returns the refusal code to use if none of them can take the
// request.
func (v *views) collectCandidates(r core.Request, tried map[string]bool, now time.Time) core.Code {
	cfg := v.cfg.Source.Current()
	v.candidates = v.candidates[:0]
	code := core.CodeNoServer
	for id, a := range v.agents {
		if a.view.Load.Service != r.Service {
			continue
		}
		view := a.view
		view.Drained = cfg.Drained(view.Load.Domain)
		if a.leaving || a.hostLeaving {
			view.Load.State = core.AgentLeaving
		}
		if routing.IsCandidate(r, &view, now) {
			code = core.CodeOverloaded
		} else if view.Drained && code == core.CodeNoServer {
			code = core.CodeDrained
		}
		if !tried[id] {
			v.candidates = append(v.candidates, view)
		}
	}
	v.sortCandidates()
	return code
}

// settleSent stops counting a request as sent once the agent's verdict is known or
// its connection is lost. If the verdict has no load report, an admitted request
// counts as held until the next report.
func (v *views) settleSent(r core.Request, c core.AgentView, admitted bool, l *peerpb.Load) {
	v.Do(func() {
		a := v.agents[c.Load.AgentID]
		if a == nil || a.view.Load.Incarnation != c.Load.Incarnation {
			return
		}
		a.view.SentTokens -= r.Cost()
		a.view.SentCount--
		switch {
		case l != nil:
			v.applyLoad(c.Load.AgentID, l)
		case admitted:
			a.view.Load.HeldTokens += r.Cost()
			a.view.Load.HeldCount++
		}
	})
}

// countAgents returns the number of agents with a session and how many of them are
// ready.
func (v *views) countAgents() (all, ready int) {
	v.Do(func() {
		for _, a := range v.agents {
			all++
			if a.view.Load.State == core.AgentReady && !a.leaving && !a.hostLeaving {
				ready++
			}
		}
	})
	return all, ready
}
