package systemtest

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/hostlist"
)

// maxLeavingDelay is the longest time after which a leaving backend server must
// get no new work.
const maxLeavingDelay = 3 * time.Second

// Guards against new work at a leaving backend server when an entry receives no
// message from its agent, when the host lists of the entries are late, and when
// the host list of the leaving agent fails.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	markLeaving := func(c *cluster) {
		c.setHostState("model-1", core.HostLeaving)
		c.setHostState("desk-1", core.HostLeaving)
	}
	tests := []struct {
		name  string
		fault func(c *cluster)
		leave func(c *cluster)
		exits bool
	}{
		{"SIGTERM, an entry receives nothing from the agents", freezeAgentsToEntry, func(c *cluster) {
			c.models[0].agent.signal(syscall.SIGTERM)
			c.desks[0].agent.signal(syscall.SIGTERM)
		}, true},
		{"marked as leaving, the lists of the entries are late", func(c *cluster) {
			freezeAgentsToEntry(c)
			for _, e := range c.entries {
				c.hostLists[e.id].SetFaults(hostlist.Faults{LagMS: 60000})
			}
		}, markLeaving, true},
		{"marked as leaving, the lists of the agents fail", func(c *cluster) {
			c.hostLists["model-1"].SetFaults(hostlist.Faults{Outage: true})
			c.hostLists["desk-1"].SetFaults(hostlist.Faults{Outage: true})
		}, markLeaving, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 3, engines: 2, desks: 2})
			c.waitReady()
			// A host that is listed as live and not reachable.
			c.rows = append(c.rows, core.Host{ID: "model-9", Role: core.RoleAgent, Address: c.newIP() + ":8082", Domain: "d1",
				Region: "r1", Service: modelService, State: core.HostLive})
			c.putHosts()
			var stop atomic.Bool
			longRepliesDone := c.longReplies(t)
			wg := c.startLoad(6, &stop)
			time.Sleep(500 * time.Millisecond)
			tt.fault(c)
			c.history.add(event{kind: eventLeaving, server: "model-1"})
			c.history.add(event{kind: eventLeaving, server: "desk-1"})
			tt.leave(c)
			time.Sleep(2 * maxLeavingDelay)
			for _, l := range c.links {
				l.heal()
			}
			if tt.exits {
				<-c.models[0].agent.exited
				<-c.desks[0].agent.exited
			}
			stop.Store(true)
			wg.Wait()
			<-longRepliesDone
			events := c.collect()
			checkAll(t, events)
			for _, err := range []error{checkReplyIntegrity(events), checkNoWorkAfterLeaving(events, maxLeavingDelay)} {
				if err != nil {
					t.Error(err)
				}
			}
			runs := map[string]int{}
			for _, e := range events {
				runs[e.server]++
			}
			for _, id := range []string{"model-1", "model-2", "desk-1", "desk-2"} {
				if runs[id] == 0 {
					t.Errorf("runs at %s: got 0, want some", id)
				}
			}
			t.Logf("runs: %v", runs)
		})
	}
}

// freezeAgentsToEntry stops all messages from the leaving agents to one entry,
// which can still send to them.
func freezeAgentsToEntry(c *cluster) {
	c.links["entry-2>model-1"].freeze(toClient)
	c.links["entry-2>desk-1"].freeze(toClient)
}

// setHostState changes the state of a host in all host lists.
func (c *cluster) setHostState(id string, state core.HostState) {
	for i := range c.rows {
		if c.rows[i].ID == id {
			c.rows[i].State = state
		}
	}
	c.putHosts()
}

// longReplies requests replies that keep the engines busy for about 5 s, so that
// a leaving agent still runs after maxLeavingDelay. It reports a reply that is
// neither whole nor refused as not run as a test error. The channel is closed
// when all requests have ended.
func (c *cluster) longReplies(t *testing.T) <-chan struct{} {
	done := make(chan struct{})
	ended := make(chan response)
	const n = 4
	for i := range n {
		go func() {
			ended <- c.client("trails").complete(c.entries[2*(i%2)], fmt.Sprintf("long %d", i), 1000)
		}()
	}
	go func() {
		defer close(done)
		for range n {
			if a := <-ended; a.result == resultCut || a.result == resultUnknown {
				t.Errorf("long reply: got %+v, want a whole reply or a refusal as not run", a)
			}
		}
	}()
	return done
}
