package process

import (
	"context"
	"sync/atomic"
	"time"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Parameters of the graceful shutdown of one rank's agent.
const (
	leaveTickInterval = 200 * time.Millisecond
	// leavingTTL is the time for which a rank counts as leaving after its last
	// announcement. It covers the 96 steps that ranks may still run, at 25 ms each, and
	// then stallTimeout, after which a group without the rank counts as stalled.
	leavingTTL = 8 * time.Second
	// maxReportAge is the age above which a report of held requests is ignored.
	maxReportAge     = time.Second
	maxQueuedReports = 1024
)

// groupPeers sends control frames to agents and reports whether there is a session to
// a rank's agent. nodePeers implements it.
type groupPeers interface {
	Broadcast(role string, f *peerpb.Frame)
	Connected(id string) bool
}

// heldReport is the number of requests that the agent of another rank holds.
type heldReport struct {
	id    string
	count int32
	at    time.Time
}

// leaveTask lets the requests of the other ranks complete before the agent of one rank
// shuts down. The leaving agent announces that it is leaving. The other agents then
// refuse new requests and report how many they hold. The leaving agent serves its rank
// until they hold none.
type leaveTask struct {
	self    string
	others  []string
	peers   groupPeers
	status  func() agent.Status
	reports chan heldReport
	// selfIdle is closed when this agent holds no requests.
	selfIdle chan struct{}
	// othersIdle is closed when, after that, no other rank holds a request.
	othersIdle chan struct{}
	done       chan struct{}
	// leavingUnixNano is the time at which another rank last announced that it is
	// leaving, in nanoseconds since the Unix epoch.
	leavingUnixNano atomic.Int64
}

func newLeaveTask(self string, ranks []string, peers groupPeers, status func() agent.Status) *leaveTask {
	t := &leaveTask{self: self, peers: peers, status: status, reports: make(chan heldReport, maxQueuedReports),
		selfIdle: make(chan struct{}), othersIdle: make(chan struct{}), done: make(chan struct{})}
	for _, id := range ranks {
		if id != self {
			t.others = append(t.others, id)
		}
	}
	return t
}

// handleControl handles a control frame of another rank's agent. It does not block. It
// drops a report if the queue is full, since the sender repeats its reports.
func (t *leaveTask) handleControl(from string, f *peerpb.Frame) {
	if f.GetLeaving().GetId() == from {
		t.leavingUnixNano.Store(time.Now().UnixNano())
	}
	if l := f.GetLoad(); l.GetAgentId() == from {
		select {
		case t.reports <- heldReport{id: from, count: l.GetHeldCount(), at: time.Now()}:
		default:
		}
	}
}

// otherRankLeaving reports whether another rank is leaving, which will stall the group.
func (t *leaveTask) otherRankLeaving() bool {
	return time.Since(time.Unix(0, t.leavingUnixNano.Load())) < leavingTTL
}

// run sends the announcements and reports of this agent, and evaluates the reports of
// the others, until ctx is done.
func (t *leaveTask) run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(leaveTickInterval)
	defer tick.Stop()
	latest, idle, signalled := map[string]heldReport{}, false, false
	selfIdle := t.selfIdle
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.reports:
			latest[r.id] = r
		case <-selfIdle:
			idle, selfIdle = true, nil
		case <-tick.C:
			s := t.status()
			if idle || s.State == core.AgentLeaving {
				t.peers.Broadcast(core.RoleAgent, &peerpb.Frame{Body: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{Id: t.self}}})
			}
			if t.otherRankLeaving() {
				t.peers.Broadcast(core.RoleAgent, &peerpb.Frame{Body: &peerpb.Frame_Load{Load: &peerpb.Load{
					AgentId: t.self, HeldCount: int32(s.HeldCount)}}})
			}
			if idle && !signalled && t.allOthersIdle(latest) {
				signalled = true
				close(t.othersIdle)
			}
		}
	}
}

// allOthersIdle reports whether no other rank holds a request. It ignores ranks without
// a session, since the group runs no steps without them.
func (t *leaveTask) allOthersIdle(latest map[string]heldReport) bool {
	for _, id := range t.others {
		r, ok := latest[id]
		if t.peers.Connected(id) && (!ok || r.count > 0 || time.Since(r.at) > maxReportAge) {
			return false
		}
	}
	return true
}

// waitForOthers waits until no other rank holds a request, the group is stalled, or the
// timeout has passed. It reports whether no other rank holds a request. It must be
// called at most once, when this agent holds no requests.
func (t *leaveTask) waitForOthers(timeout time.Duration, stalled func() bool) bool {
	close(t.selfIdle)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	tick := time.NewTicker(leaveTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.othersIdle:
			return true
		case <-timer.C:
			return false
		case <-tick.C:
			if stalled() {
				return false
			}
		}
	}
}
