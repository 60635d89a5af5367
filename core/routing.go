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

// AgentLoad is one load report of an agent. Costs are in tokens. Seq grows by
// one with each report of the same incarnation.
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

// AgentView is an entry's advisory picture of one agent: its last load report
// and what this entry has sent since. Address is empty for an agent without a
// session.
type AgentView struct {
	Load       AgentLoad
	Address    string
	SentTokens int64
	SentCount  int
	Drained    bool
	ReportedAt time.Time
}

// Router chooses an agent for a request. Candidates that were tried before are
// not in views. It reports false when no agent can take the request.
type Router interface {
	Choose(r Request, views []AgentView, now time.Time) (AgentView, bool)
	// Sent tells the router of a request that was handed to the agent.
	Sent(r Request, agentID string, now time.Time)
}
