package agent

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

const (
	hostListInterval = 500 * time.Millisecond
	hostListTimeout  = time.Second
	// maxReleaseWait bounds how long a leaving agent waits for claim releases.
	maxReleaseWait = 5 * time.Second
	lookupTimeout  = 5 * time.Second
	// streamCloseTimeout bounds the wait for the entries to know that the agent is
	// leaving and to read the end of a reply. An entry has reserved memory for the
	// reply, so only a stalled entry needs longer.
	streamCloseTimeout      = 3 * time.Second
	streamClosePollInterval = 10 * time.Millisecond
	// lateStreamTime covers the time from the choice of an agent to the first frame of
	// the request on a loaded host.
	lateStreamTime = 100 * time.Millisecond
)

// Status is the state of an agent for operators.
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

// Status returns the current status. An agent that is not running is not ready.
func (a *Agent) Status() Status {
	current := a.cfg.Source.Current()
	st := Status{State: core.AgentNotReady, ConfigOffset: current.NextOffset, ConfigHash: current.StateHash}
	a.admission.do(func(s *admissionState) {
		l := s.loadReport(time.Now())
		st.State = core.AgentState(l.State)
		st.HeldTokens, st.HeldCount = l.HeldTokens, int(l.HeldCount)
		st.LimitTokens, st.LimitCount = l.LimitTokens, int(l.LimitCount)
		st.BackendIncarnation = s.incarnation
	})
	return st
}

// Ready reports whether the agent admits new requests.
func (a *Agent) Ready() bool { return a.Status().State == core.AgentReady }

// watchHostList polls the host list and makes the agent leave when the list
// marks its host as leaving.
func (a *Agent) watchHostList(ctx context.Context) {
	tick := time.NewTicker(hostListInterval)
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
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := a.cfg.Hosts.Hosts(ctx)
	if err != nil {
		a.log.Debug("failed to read host list", zap.Error(err))
		return false
	}
	for _, h := range hosts {
		if h.ID == a.cfg.Self.Id && h.Role == core.RoleAgent {
			return h.State == core.HostLeaving
		}
	}
	return false
}

// shutdown refuses new requests, tells the entries that the agent is leaving, and
// waits for admitted requests and for the release of abandoned claims.
func (a *Agent) shutdown() {
	idle := a.admission.startLeaving()
	a.log.Info("agent is leaving")
	a.broadcast(a.leavingFrame())
	<-idle
	a.releases.waitReleased(maxReleaseWait)
	a.waitUnused()
	a.log.Info("agent has completed its requests")
}

// waitUnused waits until the entries know that the agent is leaving and have read the
// last replies, because the caller of Run closes the sessions next. An entry may open a
// stream for a request that it had assigned before, so the agent stays for
// lateStreamTime after the last stream.
func (a *Agent) waitUnused() {
	unusedSince := time.Now()
	for end := time.Now().Add(streamCloseTimeout); time.Now().Before(end) && time.Since(unusedSince) < lateStreamTime; {
		if a.openStreams.Load() > 0 || !a.leavingKnown() {
			unusedSince = time.Now()
		}
		time.Sleep(streamClosePollInterval)
	}
}

// leavingKnown reports whether all entries have acknowledged that the agent is leaving.
func (a *Agent) leavingKnown() bool {
	entries, known := a.entries(), false
	a.admission.do(func(s *admissionState) {
		known = !slices.ContainsFunc(entries, func(id string) bool { return !s.leavingAcks[id] })
	})
	return known
}

// ServeLookup serves one lookup stream, on which an entry asks for the state of a
// claim.
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
		a.log.Debug("failed to send lookup result", zap.Error(err))
	}
}
