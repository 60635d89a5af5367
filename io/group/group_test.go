package group

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	emurank "nutmegnotch/emulator/rank"
	"nutmegnotch/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startFourRanks(t *testing.T) (*cluster, int) {
	t.Helper()
	t.Parallel()
	c := startCluster(t, clusterConfig{ranks: 4, stepTime: 10 * time.Millisecond, loadTime: 300 * time.Millisecond,
		fencing: func(rank int) bool { return rank%2 == 0 }})
	c.wait("a leader", 30*time.Second, func() bool { return c.leader() >= 0 })
	c.waitProgress("first steps", 30)
	return c, c.leader()
}

// Guards against a change of map that stalls the group or lets ranks run a step
// with different maps.
func TestChangeMap(t *testing.T) {
	c, l := startFourRanks(t)
	for range 3 {
		c.waitMap(c.propose(l))
	}
	c.checkOneMapPerStep()
}

// Guards against a group that runs no more steps after the agent of its leader
// was killed.
func TestLeaderKilled(t *testing.T) {
	c, l := startFourRanks(t)
	c.propose(l)
	c.kill(l)
	time.Sleep(time.Second)
	c.start(l)
	c.waitProgress("steps after the leader was killed", 200)
	c.wait("a leader", 30*time.Second, func() bool { return c.leader() >= 0 })
	c.waitMap(c.propose(c.leader()))
	c.checkOneMapPerStep()
}

// Guards against a leader that is paused, replaced by another agent, and still
// grants steps after it resumes.
func TestLeaderPausedAndResumed(t *testing.T) {
	c, l := startFourRanks(t)
	c.propose(l)
	pausedGroup := c.agents[l].group
	resumed := make(chan struct{})
	go func() {
		defer close(resumed)
		pausedGroup.doInLeaderTask(func(*leaderTask) { time.Sleep(5 * time.Second) })
	}()
	<-resumed
	c.waitProgress("steps after the leader was resumed", 200)
	c.wait("a single leader remains", 10*time.Second, func() bool {
		n := 0
		for _, a := range c.agents {
			if a.group.Status().Leading {
				n++
			}
		}
		return n == 1
	})
	if c.leader() == l {
		t.Error("the paused leader was not replaced")
	}
	c.checkOneMapPerStep()
}

// Guards against a group that stops, changes its leader or cannot change its map
// while the log is unavailable.
func TestLogDownDuringChange(t *testing.T) {
	c, l := startFourRanks(t)
	c.log.setDown(true)
	c.waitMap(c.propose(l))
	c.waitProgress("steps while the log is unavailable", 400)
	if got := c.leader(); got != l {
		t.Errorf("leader while the log is unavailable: got %d, want %d", got, l)
	}
	c.log.setDown(false)
	c.waitProgress("steps after the log is available again", 100)
	c.checkOneMapPerStep()
}

// Guards against an agent that recovers a wrong horizon or fence when it restarts
// during a change of map. Engines with and without fencing are tested, since the
// agent gets the fence from the engine or from the leaders stream.
func TestAgentRestartMidChange(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(map[bool]string{false: "without fencing", true: "with fencing"}[fencing], func(t *testing.T) {
			c, l := startFourRanks(t)
			rank := c.otherRank(l, fencing)
			v := c.propose(l)
			c.kill(rank)
			c.start(rank)
			c.waitMap(v)
			c.waitProgress("steps after the agent restarted", 100)
			c.checkOneMapPerStep()
		})
	}
}

// Guards against a group that stays stalled or repeats a step when the engine of
// a rank restarts during a change of map and loses its state.
func TestEngineRestartMidChange(t *testing.T) {
	for _, agentToo := range []bool{false, true} {
		t.Run(map[bool]string{false: "engine only", true: "engine and agent"}[agentToo], func(t *testing.T) {
			c, l := startFourRanks(t)
			before, _ := c.engines[0].State(context.Background())
			c.propose(l)
			rank := c.otherRank(l, false)
			if agentToo {
				c.kill(rank)
			}
			c.engines[rank].Inject(emurank.Faults{Restart: true})
			if agentToo {
				c.start(rank)
			}
			c.wait("a new generation", 30*time.Second, func() bool {
				s, _ := c.engines[rank].State(context.Background())
				return s.Generation > before.Generation && s.Step > before.Horizon
			})
			c.waitProgress("steps of the new generation", 100)
			c.checkOneMapPerStep()
		})
	}
}

// Guards against ranks that run ahead of a rank that stalls.
func TestRankStall(t *testing.T) {
	c, _ := startFourRanks(t)
	c.engines[1].Inject(emurank.Faults{StallMS: 1500})
	c.waitProgress("steps after the stall", 100)
	c.checkOneMapPerStep()
}

// Guards against a leader that keeps the leadership when it has no sessions with
// some of the ranks, although another agent can reach all of them.
func TestLeaderWithoutAllSessionsStepsDown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{ranks: 4, stepTime: 10 * time.Millisecond, fencing: func(int) bool { return true },
		star: true, skipFirstLeaderWait: true})
	c.agents[1].group.doInLeaderTask(func(l *leaderTask) { l.g.campaign(context.Background()) })
	c.wait("the agent that reaches all ranks leads", time.Minute, func() bool { return c.leader() == 0 })
	c.waitProgress("steps", 100)
	c.checkOneMapPerStep()
}

// Guards against a leader that omits a rank because it is configured with another
// list of ranks.
func TestLeaderWithOtherRanksIsNotAnswered(t *testing.T) {
	b := emurank.NewBarrier(1)
	defer b.Close()
	e := emurank.New(emurank.Config{Barrier: b, Fencing: true})
	defer e.Close()
	ids := []string{"a", "b"}
	task := newRankTask(New(Config{Group: "g", RankIDs: ids, Engine: e}))
	task.rank.Recover(core.RankState{}, -1)
	for _, tt := range []struct {
		ids  []string
		want bool
	}{{[]string{"a"}, false}, {[]string{"b", "a"}, false}, {ids, true}} {
		hash := New(Config{RankIDs: tt.ids}).ranksHash
		got := task.collect(context.Background(), &peerpb.Collect{Group: "g", Fence: 1, RanksHash: hash}) != nil
		if got != tt.want {
			t.Errorf("leader with ranks %v is answered: got %v, want %v", tt.ids, got, tt.want)
		}
	}
}

// Guards against a leader that never sends the content of a map again to a rank
// that has lost it. The rank must answer that it does not hold the map.
func TestRepeatedOrderToLoad(t *testing.T) {
	c, l := startFourRanks(t)
	v := c.propose(l)
	c.waitMap(v)
	i := (l + 1) % 4
	sendLoad := func(version int64, placement string) *peerpb.LoadAck {
		t.Helper()
		f := c.agents[i].group.callRank(context.Background(), &peerpb.Frame{Body: &peerpb.Frame_LoadMap{LoadMap: &peerpb.LoadMap{
			Group: "g", Fence: c.agents[i].group.Status().Fence, MapVersion: version, Placement: []byte(placement)}}})
		return f.GetLoadAck()
	}
	if a := sendLoad(v, ""); !a.GetHeld() || !a.GetLoaded() {
		t.Errorf("order without content for a held map: got %v, want it held and loaded", a)
	}
	if a := sendLoad(v+1, ""); a == nil || a.GetHeld() || a.GetLoaded() {
		t.Errorf("order without content for an unknown map: got %v, want it neither held nor loaded", a)
	}
}
