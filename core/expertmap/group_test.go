package expertmap

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"nutmegnotch/core"
)

// Guards against two maps in one step, and against a group that stays stalled
// after faults. Messages are lost, duplicated and delayed, leaders are paused and
// replaced, agents restart and engines lose their state. Some engines store
// fences, others do not.
func TestGroupOneMapPerStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choice := rapid.Uint16()
		w := newLeaderSim(func(n int) int { return int(choice.Draw(t, "c")) % n }, 3)
		steps := rapid.IntRange(1, 600).Draw(t, "steps")
		if rapid.Bool().Draw(t, "start_settled") {
			w.settle(12)
		}
		for range steps {
			w.randomAction()
			if w.violation != nil {
				t.Fatal(w.violation)
			}
		}
		before := w.lastStepRun
		w.settle(40)
		if w.violation != nil {
			t.Fatal(w.violation)
		}
		if got, want := w.lastStepRun, before+200; got < want {
			t.Fatalf("step after faults stopped: got %d, want at least %d", got, want)
		}
	})
}

// randomLeaderSim runs a simulation with random actions from a seed.
func randomLeaderSim(seed uint64, actions int, skipFence bool) *leaderSim {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newLeaderSim(rng.IntN, 3)
	w.skipFence = skipFence
	w.settle(12)
	for range actions {
		w.randomAction()
		if w.violation != nil {
			break
		}
	}
	return w
}

// Guards against a checker that misses faults: it must detect ranks that skip the
// fence check, and the same schedules must pass when ranks check fences.
func TestCheckerFindsSkippedFence(t *testing.T) {
	found := 0
	for seed := range uint64(300) {
		if randomLeaderSim(seed, 2000, true).violation != nil {
			found++
		}
		if err := randomLeaderSim(seed, 2000, false).violation; err != nil {
			t.Errorf("seed %d with fence check: %v", seed, err)
		}
	}
	if found == 0 {
		t.Error("no seed shows the injected fault")
	}
	t.Logf("injected fault found with %d of 300 seeds", found)
}

// Guards against a change of map that stalls ranks, or that takes effect before
// the end of the steps already granted.
func TestSwitchStepIsPlanEnd(t *testing.T) {
	w := newLeaderSim(func(n int) int { return n - 1 }, 3)
	w.settle(12)
	l := w.leaders[0]
	old, end := l.Current(), l.PlanEnd()
	version, ok := l.Propose(core.ExpertMap{})
	if !ok {
		t.Fatal("a running leader refused a map")
	}
	if _, again := l.Propose(core.ExpertMap{}); again {
		t.Error("a second change started while one was in progress")
	}
	for w.lastStepRun < end+GrantSteps {
		w.send(l)
		for len(w.inFlight) > 0 {
			w.deliver(0, false)
		}
		w.run(32)
	}
	if got := w.mapByStep[end-1]; got != old {
		t.Errorf("map before the switch step: got %d, want %d", got, old)
	}
	if got := w.mapByStep[l.PlanEnd()-1]; got != version {
		t.Errorf("map after the switch step: got %d, want %d", got, version)
	}
}
