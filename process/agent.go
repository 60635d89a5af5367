package process

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"nutmegnotch/agent"
	"nutmegnotch/io/claimlog"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/group"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/options"
)

// agentProcess is a running agent with its connections to peers.
type agentProcess struct {
	*base
	node    *peer.Node
	role    *agent.Agent
	claimer *claimlog.Claimer
	group   *groupTask
}

// RunAgent runs an agent until ctx is done or the agent is told to leave, then shuts it
// down gracefully.
func RunAgent(ctx context.Context, cfg options.Settings, logger *zap.Logger) error {
	p := &agentProcess{base: newBase(cfg, logger)}
	handlers := map[peerpb.StreamKind]peer.Handler{
		peerpb.StreamKind_STREAM_KIND_REQUEST: func(ctx context.Context, s *peer.Stream) { p.role.ServeRequest(ctx, s) },
		peerpb.StreamKind_STREAM_KIND_LOOKUP:  func(ctx context.Context, s *peer.Stream) { p.role.ServeLookup(ctx, s) },
	}
	if cfg.Group.Name != "" {
		handlers[peerpb.StreamKind_STREAM_KIND_GROUP] = func(ctx context.Context, s *peer.Stream) { p.group.serveStream(ctx, s) }
	}
	p.node = peer.New(peer.Config{
		Self:        p.self,
		Handlers:    handlers,
		OnControl:   p.handleControl,
		OnSessionUp: func(s *peer.Session) { p.role.SessionUp(s) },
		Log:         p.logger,
	})
	p.group = newGroupTask(cfg, p.self.Incarnation, p.log, p.node, func() agent.Status { return p.role.Status() }, p.logger)
	p.claimer = claimlog.NewClaimer(claimlog.ClaimerConfig{
		Self:       p.self,
		Peers:      p.node,
		Config:     p.follower,
		Partitions: cfg.Claims.Partitions,
		Window:     cfg.Claims.Window.AsDuration(),
		Logger:     p.logger,
	})
	p.role = agent.New(agent.Config{
		Self:             p.self,
		Service:          cfg.Agent.Service,
		BackendAddress:   cfg.Agent.BackendAddress,
		Source:           p.follower,
		Claimer:          claimerAdapter{p.claimer},
		Hosts:            p.hosts,
		Node:             p.node,
		Log:              p.logger,
		GroupStalled:     p.group.stalled,
		StoredReplyBytes: cfg.Agent.ReplyMemoryBytes,
		StoredReplyTTL:   cfg.Claims.Window.AsDuration(),
	})
	defer p.stopAll()
	if err := p.start(p.node, p, p); err != nil {
		return err
	}
	if p.group != nil {
		p.group.start(p.node)
	}
	if err := p.role.Run(ctx); err != nil {
		return fmt.Errorf("run agent: %w", err)
	}
	return nil
}

// stopAll stops the group before the peer sessions, which it uses. The requests of the
// agent, which need the steps of the group, have ended by then.
func (p *agentProcess) stopAll() {
	if p.group != nil {
		p.group.stop()
	}
	p.claimer.Stop()
	p.stop(p.node)
}

// handleControl passes a control frame to the follower or else to the agent and its
// group.
func (p *agentProcess) handleControl(from *peer.Session, f *peerpb.Frame) {
	if p.follower.Control(from, f) {
		return
	}
	p.role.Control(from, f)
	if p.group != nil {
		p.group.handleControl(from, f)
	}
}

// Ready implements core.Readiness.
func (p *agentProcess) Ready() error {
	if !p.role.Ready() {
		return errors.New("agent is leaving, its configuration is not confirmed or its backend server is down")
	}
	if p.group.stalled() {
		return errors.New("group of the agent's rank stands still")
	}
	return nil
}

// agentStatus is the status of an agent in the administration API. Group is nil for an
// agent without a group.
type agentStatus struct {
	Agent         agent.Status     `json:"agent"`
	Configuration configlog.Status `json:"configuration"`
	Group         *group.Status    `json:"group,omitempty"`
}

// ReportStatus implements core.StatusReporter.
func (p *agentProcess) ReportStatus(ctx context.Context) any {
	st := agentStatus{Agent: p.role.Status(), Configuration: p.follower.Status(ctx)}
	if p.group != nil {
		g := p.group.group.Status()
		st.Group = &g
	}
	return st
}

// claimerAdapter adapts a claimlog.Claimer to agent.Claimer.
type claimerAdapter struct{ *claimlog.Claimer }

// Claim implements agent.Claimer.
func (c claimerAdapter) Claim(ctx context.Context, cl *peerpb.Claim) (*peerpb.ClaimVerdict, error) {
	return c.Claimer.Claim(ctx, cl), nil
}

// Release implements agent.Claimer. The claimer retries until the release is in the
// log.
func (c claimerAdapter) Release(_ context.Context, cl *peerpb.Claim) error {
	c.Abandon(cl)
	return nil
}
