package group

import (
	"context"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

// unavailableLoads is a core.ExpertLoadReader that always fails.
type unavailableLoads struct{}

func (unavailableLoads) Experts(context.Context) (core.ExpertWindow, error) {
	return core.ExpertWindow{}, core.ErrUnavailable
}

// Guards against a stop that never returns because the rebalance task calls the
// leader task after that one has ended.
func TestStopDuringRebalance(t *testing.T) {
	const stopLimit = 5 * time.Second
	c := startCluster(t, clusterConfig{ranks: 1, stepTime: time.Millisecond, fencing: func(int) bool { return true }})
	for i := range 100 {
		g := New(Config{
			Group: "g", RankIDs: []string{"agent-x"}, Log: newMemoryLog(), Engine: c.clients[0],
			InitialMap:  core.ExpertMap{Replicas: [][][]int{{{0}}}},
			ExpertLoads: unavailableLoads{}, NewRebalancer: func() core.Rebalancer { return nil },
			RebalanceInterval: time.Microsecond, Shape: expertmap.Shape{Layers: 1, Experts: 1, Ranks: 1},
		})
		ctx, cancel := context.WithCancel(context.Background())
		go g.Run(ctx)
		time.Sleep(time.Millisecond)
		cancel()
		select {
		case <-g.Done():
		case <-time.After(stopLimit):
			t.Fatalf("stop %d: the group still runs after %v", i, stopLimit)
		}
	}
}
