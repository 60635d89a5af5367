package process

import (
	"context"
	"sync/atomic"
	"time"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Times of a planned stop of one rank's agent.
const (
	leaveInterval = 200 * time.Millisecond
	// leaveMemory is how long a rank counts as leaving after it last said so. It
	// covers the 96 steps that ranks may still run at 25 ms and stallLimit, after
	// which a group without the rank counts as standing still.
	leaveMemory = 8 * time.Second
	// reportAge is the age up to which a report of held requests counts.
	reportAge    = time.Second
	leaveBacklog = 1024
)

// groupPeers sends control frames to the agents of the group and tells which
// ranks are reached. A peer.Node with its sessions is one.
type groupPeers interface {
	Broadcast(role string, f *peerpb.Frame)
	Reached(id string) bool
}

// heldReport is how many requests another rank's agent holds.
type heldReport struct {
	id    string
	count int32
	at    time.Time
}

// leaveTask keeps a planned stop of one rank's agent from stopping the requests
// of the others: the agent announces that it leaves, the others refuse new work
// and report what they hold, and it serves its rank until they hold nothing.
type leaveTask struct {
	self     string
	others   []string
	peers    groupPeers
	status   func() agent.Status
	reports  chan heldReport
	finished chan struct{}
	emptied  chan struct{}
	done     chan struct{}
	// announced is when another rank last announced that it leaves, in
	// nanoseconds of the Unix epoch.
	announced atomic.Int64
}

func newLeaveTask(self string, ranks []string, peers groupPeers, status func() agent.Status) *leaveTask {
	t := &leaveTask{self: self, peers: peers, status: status, reports: make(chan heldReport, leaveBacklog),
		finished: make(chan struct{}), emptied: make(chan struct{}), done: make(chan struct{})}
	for _, id := range ranks {
		if id != self {
			t.others = append(t.others, id)
		}
	}
	return t
}

// control takes a frame of another rank's agent. It does not block; a report
// that finds the backlog full is repeated by its sender.
func (t *leaveTask) control(from string, f *peerpb.Frame) {
	if f.GetLeaving().GetId() == from {
		t.announced.Store(time.Now().UnixNano())
	}
	if l := f.GetLoad(); l.GetAgentId() == from {
		select {
		case t.reports <- heldReport{id: from, count: l.GetHeldCount(), at: time.Now()}:
		default:
		}
	}
}

// othersLeave reports whether another rank is leaving, so that the group will
// stand still.
func (t *leaveTask) othersLeave() bool {
	return time.Since(time.Unix(0, t.announced.Load())) < leaveMemory
}

func (t *leaveTask) run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(leaveInterval)
	defer tick.Stop()
	held, own, told := map[string]heldReport{}, false, false
	finished := t.finished
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.reports:
			held[r.id] = r
		case <-finished:
			own, finished = true, nil
		case <-tick.C:
			s := t.status()
			if own || s.State == core.AgentLeaving {
				t.peers.Broadcast(core.RoleAgent, &peerpb.Frame{Body: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{Id: t.self}}})
			}
			if t.othersLeave() {
				t.peers.Broadcast(core.RoleAgent, &peerpb.Frame{Body: &peerpb.Frame_Load{Load: &peerpb.Load{
					AgentId: t.self, HeldCount: int32(s.HeldCount)}}})
			}
			if own && !told && t.empty(held) {
				told = true
				close(t.emptied)
			}
		}
	}
}

// empty reports whether no other rank holds a request. The requests of a rank
// that is not reached are not waited for: without it the group does not step.
func (t *leaveTask) empty(held map[string]heldReport) bool {
	for _, id := range t.others {
		r, ok := held[id]
		if t.peers.Reached(id) && (!ok || r.count > 0 || time.Since(r.at) > reportAge) {
			return false
		}
	}
	return true
}

// wait returns once the others hold nothing, when the group stands still, or
// after limit. It may be called once, when the agent itself holds nothing. It
// reports whether the others hold nothing.
func (t *leaveTask) wait(limit time.Duration, stalled func() bool) bool {
	close(t.finished)
	end := time.NewTimer(limit)
	defer end.Stop()
	tick := time.NewTicker(leaveInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.emptied:
			return true
		case <-end.C:
			return false
		case <-tick.C:
			if stalled() {
				return false
			}
		}
	}
}
