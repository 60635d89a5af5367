package expertmap

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"nutmegnotch/core"
)

// Guards against two maps in one step, and against a group that stays stalled
// after faults, under any interleaving of lost, doubled and late messages, paused and
// replaced leaders, restarted agents and lost engines, with and without
// fencing.
func TestGroupOneMapPerStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choice := rapid.Uint16()
		w := newWorld(func(n int) int { return int(choice.Draw(t, "c")) % n }, 3)
		steps := rapid.IntRange(1, 600).Draw(t, "steps")
		if rapid.Bool().Draw(t, "start_settled") {
			w.settle(12)
		}
		for range steps {
			w.act()
			if w.bad != nil {
				t.Fatal(w.bad)
			}
		}
		before := w.ran
		w.settle(40)
		if w.bad != nil {
			t.Fatal(w.bad)
		}
		if got, want := w.ran, before+200; got < want {
			t.Fatalf("step after faults stopped: got %d, want at least %d", got, want)
		}
	})
}

// randomWorld runs a world with choices from a seed and returns it.
func randomWorld(seed uint64, actions int, skipFence bool) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(rng.IntN, 3)
	w.skipFence = skipFence
	w.settle(12)
	for range actions {
		w.act()
		if w.bad != nil {
			break
		}
	}
	return w
}

// Guards against a checker that misses faults: ranks that skip the fence check
// must be caught, and with the check the same schedules must pass.
func TestCheckerFindsSkippedFence(t *testing.T) {
	found := 0
	for seed := range uint64(300) {
		if randomWorld(seed, 2000, true).bad != nil {
			found++
		}
		if err := randomWorld(seed, 2000, false).bad; err != nil {
			t.Errorf("seed %d with fence check: %v", seed, err)
		}
	}
	if found == 0 {
		t.Error("no seed shows the planted fault")
	}
	t.Logf("planted fault found with %d of 300 seeds", found)
}

// Guards against a change of map that stalls ranks or takes effect early.
func TestSwitchStepIsPlanEnd(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 }, 3)
	w.settle(12)
	l := w.leaders[0]
	old, end := l.Current(), l.PlanEnd()
	version, ok := l.Propose(core.ExpertMap{})
	if !ok {
		t.Fatal("a running leader refused a map")
	}
	if _, again := l.Propose(core.ExpertMap{}); again {
		t.Error("a second change began while one was under way")
	}
	for w.ran < end+GrantSteps {
		w.send(l)
		for len(w.net) > 0 {
			w.deliver(0, false)
		}
		w.run(32)
	}
	if got := w.ordered[end-1]; got != old {
		t.Errorf("map before the switch step: got %d, want %d", got, old)
	}
	if got := w.ordered[l.PlanEnd()-1]; got != version {
		t.Errorf("map after the switch step: got %d, want %d", got, version)
	}
}
