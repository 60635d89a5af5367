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

// agent is what this entry knows of one agent with a live session.
type agent struct {
	view     core.AgentView
	sessions map[*peer.Session]bool
	// whole tells that a whole report of this incarnation has come.
	whole       bool
	leaving     bool
	hostLeaving bool
}

// views is the task that owns the views of the agents and decides which
// processes this entry keeps sessions with.
type views struct {
	*task.Task
	cfg     Config
	node    *peer.Node
	agents  map[string]*agent
	hosts   []core.Host
	kept    map[string]bool
	lookups map[string]time.Time
	scratch []core.AgentView
	metrics *metrics
}

func startViews(ctx context.Context, cfg Config, m *metrics) *views {
	return &views{Task: startTask(ctx), cfg: cfg, agents: map[string]*agent{}, kept: map[string]bool{},
		lookups: map[string]time.Time{}, metrics: m}
}

func (v *views) attach(n *peer.Node) { v.Do(func() { v.node = n }) }

func (v *views) up(s *peer.Session) {
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

// newAgent replaces what was known of an earlier incarnation.
func (v *views) newAgent(h *peerpb.Hello, old *agent) *agent {
	v.forget(h.GetId())
	a := &agent{sessions: map[*peer.Session]bool{}}
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

func (v *views) down(s *peer.Session) {
	v.Do(func() {
		a := v.agents[s.Hello.GetId()]
		if a == nil {
			return
		}
		delete(a.sessions, s)
		if len(a.sessions) == 0 {
			delete(v.agents, s.Hello.GetId())
			v.forget(s.Hello.GetId())
		}
	})
}

// forget drops what the router remembers of an agent.
func (v *views) forget(id string) {
	if f, ok := v.cfg.Router.(interface{ Forget(agentID string) }); ok {
		f.Forget(id)
	}
}

// load takes a load report. Reports of another process, of another incarnation
// or older than the last one are ignored.
func (v *views) load(from *peerpb.Hello, l *peerpb.Load) {
	if l == nil {
		return
	}
	v.Do(func() {
		if !l.GetBrief() {
			v.apply(from.GetId(), l)
		} else if a := v.agents[from.GetId()]; a != nil && a.whole && a.view.Load.Incarnation == from.GetIncarnation() {
			v.apply(from.GetId(), a.completed(l))
		}
	})
}

// completed returns a brief report with what the last whole one told.
func (a *agent) completed(l *peerpb.Load) *peerpb.Load {
	last := a.view.Load
	return &peerpb.Load{
		AgentId: last.AgentID, Incarnation: last.Incarnation, Service: last.Service, FailureDomain: last.Domain,
		Region: last.Region, Models: last.Models, State: l.GetState(), HeldTokens: l.GetHeldTokens(), HeldCount: l.GetHeldCount(),
		LimitTokens: l.GetLimitTokens(), LimitCount: l.GetLimitCount(), Seq: l.GetSeq(),
	}
}

func (v *views) apply(agentID string, l *peerpb.Load) {
	a := v.agents[agentID]
	if a == nil || l.GetAgentId() != agentID || l.GetIncarnation() != a.view.Load.Incarnation ||
		l.GetSeq() <= a.view.Load.Seq {
		v.metrics.staleFrames.Add(1)
		return
	}
	a.view.Load = core.AgentLoad{
		AgentID: l.GetAgentId(), Incarnation: l.GetIncarnation(), Service: l.GetService(),
		Domain: l.GetFailureDomain(), Region: l.GetRegion(), State: core.AgentState(l.GetState()),
		Models: l.GetModels(), HeldTokens: l.GetHeldTokens(), HeldCount: int(l.GetHeldCount()),
		LimitTokens: l.GetLimitTokens(), LimitCount: int(l.GetLimitCount()), Seq: l.GetSeq(),
	}
	a.view.ReportedAt = time.Now()
	a.whole = true
}

// leaving takes an agent's word that it stops. It holds for the incarnation.
func (v *views) leaving(from *peerpb.Hello, l *peerpb.Leaving) {
	v.Do(func() {
		a := v.agents[from.GetId()]
		if a != nil && l.GetId() == from.GetId() && l.GetIncarnation() == a.view.Load.Incarnation {
			a.leaving = true
		}
	})
}

// choice is the answer to a routing question.
type choice struct {
	view core.AgentView
	code core.Code
	ok   bool
}

// choose takes an agent that was not tried before, and counts the request as
// sent there until settle. An exclusive request goes to the agent that holds
// least.
func (v *views) choose(r core.Request, tried map[string]bool, exclusive bool) choice {
	var c choice
	v.Do(func() {
		now := time.Now()
		code := v.collect(r, tried, now)
		router := v.cfg.Router
		if exclusive {
			router = routing.LeastConnections{}
		}
		c.view, c.ok = router.Choose(r, v.scratch, now)
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

// collect fills scratch with the views of the service and returns the code for
// the case that none can take the request.
func (v *views) collect(r core.Request, tried map[string]bool, now time.Time) core.Code {
	cfg := v.cfg.Source.Current()
	v.scratch = v.scratch[:0]
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
		if routing.Candidate(r, &view, now) {
			code = core.CodeOverloaded
		} else if view.Drained && code == core.CodeNoServer {
			code = core.CodeDrained
		}
		if !tried[id] {
			v.scratch = append(v.scratch, view)
		}
	}
	v.sortScratch()
	return code
}

// settle ends the correction for a request once the agent's verdict is known
// or its connection is lost. Without a load report in the verdict, an admitted
// request counts as held until the next report.
func (v *views) settle(r core.Request, c core.AgentView, admitted bool, l *peerpb.Load) {
	v.Do(func() {
		a := v.agents[c.Load.AgentID]
		if a == nil || a.view.Load.Incarnation != c.Load.Incarnation {
			return
		}
		a.view.SentTokens -= r.Cost()
		a.view.SentCount--
		switch {
		case l != nil:
			v.apply(c.Load.AgentID, l)
		case admitted:
			a.view.Load.HeldTokens += r.Cost()
			a.view.Load.HeldCount++
		}
	})
}

// count returns the agents with a session, and those that are ready.
func (v *views) count() (all, ready int) {
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
