package process

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// fakePeers delivers the frames of one leave task to the others. There is no session
// to rank c while down is set.
type fakePeers struct {
	self  string
	tasks map[string]*leaveTask
	down  *atomic.Bool
}

func (p *fakePeers) Broadcast(_ string, f *peerpb.Frame) {
	for id, t := range p.tasks {
		if id != p.self && p.Connected(id) {
			t.handleControl(p.self, f)
		}
	}
}

func (p *fakePeers) Connected(id string) bool { return id != "c" || !p.down.Load() }

// Guards against an agent that shuts down while other ranks hold requests, which need
// the steps of its rank, and against one that waits for a rank without a session.
func TestLeavingWaitsForOtherRanks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ids, down := []string{"a", "b", "c"}, &atomic.Bool{}
	down.Store(true)
	tasks, held := map[string]*leaveTask{}, &atomic.Int64{}
	held.Store(3)
	for _, id := range ids {
		status := func() agent.Status { return agent.Status{State: core.AgentReady} }
		if id == "b" {
			status = func() agent.Status { return agent.Status{State: core.AgentReady, HeldCount: int(held.Load())} }
		}
		tasks[id] = newLeaveTask(id, ids, &fakePeers{self: id, tasks: tasks, down: down}, status)
	}
	for _, task := range tasks {
		go task.run(ctx)
		defer func() { <-task.done }()
	}
	defer cancel()
	left := make(chan bool, 1)
	go func() { left <- tasks["a"].waitForOthers(20*time.Second, func() bool { return false }) }()
	select {
	case <-left:
		t.Fatal("agent left while another rank held requests")
	case <-time.After(2 * time.Second):
	}
	if !tasks["b"].otherRankLeaving() || tasks["a"].otherRankLeaving() {
		t.Errorf("ranks that see another rank leaving: got a %v, b %v, want b only", tasks["a"].otherRankLeaving(), tasks["b"].otherRankLeaving())
	}
	held.Store(0)
	if !<-left {
		t.Error("other ranks hold no requests: got false, want true")
	}
}

// Guards against a shutdown that waits for requests that cannot complete.
func TestLeavingEndsWhenTheGroupIsStalled(t *testing.T) {
	task := newLeaveTask("a", []string{"a", "b"}, nil, nil)
	if task.waitForOthers(20*time.Second, func() bool { return true }) {
		t.Error("stalled group: got true, want false")
	}
	task = newLeaveTask("a", []string{"a", "b"}, nil, nil)
	if task.waitForOthers(time.Millisecond, func() bool { return false }) {
		t.Error("timeout passed: got true, want false")
	}
}
