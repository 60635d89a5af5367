package core

import "time"

// AgentState is the state of an agent as it reports it.
type AgentState string

// Agent states.
const (
	AgentReady    AgentState = "ready"
	AgentNotReady AgentState = "not_ready"
	AgentLeaving  AgentState = "leaving"
)

// AgentLoad is one load report of an agent. Costs are in tokens. Seq increases
// by one with each report of the same incarnation.
type AgentLoad struct {
	AgentID     string
	Incarnation string
	Service     string
	Domain      string
	Region      string
	State       AgentState
	Models      []string
	HeldTokens  int64
	HeldCount   int
	LimitTokens int64
	LimitCount  int
	Seq         uint64
}

// AgentView is an entry's view of one agent, which may be out of date: its last
// load report and what this entry has sent since. Address is empty for an agent
// without a session.
type AgentView struct {
	Load       AgentLoad
	Address    string
	SentTokens int64
	SentCount  int
	Drained    bool
	ReportedAt time.Time
}

// Router chooses an agent for a request.
type Router interface {
	// Choose returns the agent for a request, or false when no agent can take it.
	// The caller leaves out agents that were tried before.
	Choose(r Request, views []AgentView, now time.Time) (AgentView, bool)
	// Sent records that a request was sent to the agent.
	Sent(r Request, agentID string, now time.Time)
}
