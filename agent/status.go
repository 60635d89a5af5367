package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Times of leaving and of the host list.
const (
	hostsInterval = 500 * time.Millisecond
	hostsTimeout  = time.Second
	releaseGrace  = 5 * time.Second
	lookupTimeout = 5 * time.Second
	// closeTimeout bounds the wait for an entry to read the end of a reply. It
	// always has the memory for it, so only a stalled entry needs longer.
	closeTimeout  = 3 * time.Second
	closeInterval = 10 * time.Millisecond
)

// Status is what an agent says of itself.
type Status struct {
	State       core.AgentState `json:"state"`
	HeldTokens  int64           `json:"held_tokens"`
	HeldCount   int             `json:"held_count"`
	LimitTokens int64           `json:"limit_tokens"`
	LimitCount  int             `json:"limit_count"`
	// BackendIncarnation is empty for a plain service.
	BackendIncarnation string `json:"backend_incarnation"`
	ConfigOffset       int64  `json:"config_offset"`
	ConfigHash         uint64 `json:"config_hash"`
}

// Status returns the present status. An agent that does not run is not ready.
func (a *Agent) Status() Status {
	current := a.cfg.Source.Current()
	st := Status{State: core.AgentNotReady, ConfigOffset: current.NextOffset, ConfigHash: current.StateHash}
	a.admission.do(func(s *admissionState) {
		l := s.load(time.Now())
		st.State = core.AgentState(l.State)
		st.HeldTokens, st.HeldCount = l.HeldTokens, int(l.HeldCount)
		st.LimitTokens, st.LimitCount = l.LimitTokens, int(l.LimitCount)
		st.BackendIncarnation = s.incarnation
	})
	return st
}

// Ready reports whether the agent takes new work.
func (a *Agent) Ready() bool { return a.Status().State == core.AgentReady }

// watchHosts leaves when the host list marks this host as leaving.
func (a *Agent) watchHosts(ctx context.Context) {
	tick := time.NewTicker(hostsInterval)
	defer tick.Stop()
	for {
		if a.markedLeaving(ctx) {
			a.log.Info("host list marks this host as leaving")
			a.Leave()
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) markedLeaving(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	hosts, err := a.cfg.Hosts.Hosts(ctx)
	if err != nil {
		a.log.Debug("host list gave no answer", zap.Error(err))
		return false
	}
	for _, h := range hosts {
		if h.ID == a.cfg.Self.Id && h.Role == core.RoleAgent {
			return h.State == core.HostLeaving
		}
	}
	return false
}

// finish refuses new work, tells the entries and waits for what is held and for
// the releases of claims that were not run.
func (a *Agent) finish() {
	idle := a.admission.startLeaving()
	a.log.Info("agent is leaving")
	a.broadcast(&peerpb.Frame{Body: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{
		Id:          a.cfg.Self.Id,
		Incarnation: a.cfg.Self.Incarnation,
	}}})
	<-idle
	a.releases.wait(releaseGrace)
	a.awaitClosed()
	a.log.Info("agent has finished what it held")
}

// awaitClosed waits until the entries have read the last replies, as the caller
// of Run closes the sessions next.
func (a *Agent) awaitClosed() {
	for end := time.Now().Add(closeTimeout); a.open.Load() > 0 && time.Now().Before(end); {
		time.Sleep(closeInterval)
	}
}

// ServeLookup serves one lookup stream.
func (a *Agent) ServeLookup(_ context.Context, s *peer.Stream) {
	if err := s.SetDeadline(time.Now().Add(lookupTimeout)); err != nil {
		return
	}
	f, err := s.Receive()
	if err != nil || f.GetReplyLookup() == nil {
		return
	}
	metrics.Add("lookups", 1)
	q := f.GetReplyLookup()
	result := &peerpb.LookupResult{State: peerpb.LookupResult_STATE_UNKNOWN}
	if q.AgentIncarnation == a.cfg.Self.Incarnation {
		result = a.runs.lookup(q.ClaimId, time.Now())
	}
	if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_LookupResult{LookupResult: result}}); err != nil {
		a.log.Debug("send lookup result failed", zap.Error(err))
	}
}
