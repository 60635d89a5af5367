package rankagent

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against agents that have sessions with all gateways, against gateways that get
// far more agents than others, and against agents that change all their gateways when one
// is replaced.
func TestAgentsChooseSomeGateways(t *testing.T) {
	const gateways, agents = 54, 192
	var all []string
	for i := range gateways {
		all = append(all, fmt.Sprintf("127.0.0.1:%d", 1+i))
	}
	byGateway := map[string]int{}
	moved := 0
	for i := range agents {
		id := fmt.Sprintf("agent-%d", i)
		before := chosenGateways(id, all)
		if len(before) != gatewaysPerAgent {
			t.Fatalf("chosen gateways: got %d, want %d", len(before), gatewaysPerAgent)
		}
		for _, g := range before {
			byGateway[g]++
		}
		for _, g := range chosenGateways(id, append(slices.Clone(all[1:]), "127.0.0.1:99")) {
			if !slices.Contains(before, g) {
				moved++
			}
		}
	}
	mean := agents * gatewaysPerAgent / gateways
	for g, n := range byGateway {
		if n > 2*mean {
			t.Errorf("agents of %s: got %d, want at most %d", g, n, 2*mean)
		}
	}
	if want := 4 * mean; moved > want {
		t.Errorf("new sessions after one of %d gateways was replaced: got %d, want at most %d", gateways, moved, want)
	}
}
