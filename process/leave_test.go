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

// wire hands the frames of one leave task to the others.
type wire struct {
	self  string
	tasks map[string]*leaveTask
	down  *atomic.Bool
}

func (w *wire) Broadcast(_ string, f *peerpb.Frame) {
	for id, t := range w.tasks {
		if id != w.self && w.Reached(id) {
			t.control(w.self, f)
		}
	}
}

func (w *wire) Reached(id string) bool { return id != "c" || !w.down.Load() }

// Guards against a planned stop of one rank's agent that stops the requests of
// the other ranks, and against one that waits for a rank that is gone.
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
		tasks[id] = newLeaveTask(id, ids, &wire{self: id, tasks: tasks, down: down}, status)
	}
	for _, task := range tasks {
		go task.run(ctx)
		defer func() { <-task.done }()
	}
	defer cancel()
	left := make(chan bool, 1)
	go func() { left <- tasks["a"].wait(20*time.Second, func() bool { return false }) }()
	select {
	case <-left:
		t.Fatal("left while another rank held requests")
	case <-time.After(2 * time.Second):
	}
	if !tasks["b"].othersLeave() || tasks["a"].othersLeave() {
		t.Errorf("ranks that know of another one leaving: got a %v, b %v, want b only", tasks["a"].othersLeave(), tasks["b"].othersLeave())
	}
	held.Store(0)
	if !<-left {
		t.Error("left without a report that the others hold nothing")
	}
}

// Guards against a planned stop that waits for requests that cannot end.
func TestLeavingEndsWhenTheGroupStandsStill(t *testing.T) {
	task := newLeaveTask("a", []string{"a", "b"}, nil, nil)
	if task.wait(20*time.Second, func() bool { return true }) {
		t.Error("group that stands still: got the report that the others hold nothing, want none")
	}
	task = newLeaveTask("a", []string{"a", "b"}, nil, nil)
	if task.wait(time.Millisecond, func() bool { return false }) {
		t.Error("limit passed: got the report that the others hold nothing, want none")
	}
}
