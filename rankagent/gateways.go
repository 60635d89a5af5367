package rankagent

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/rendezvous"
	"nutmegnotch/task"
)

// Choice of the gateways that an agent reports to. They pass on what it reports.
const (
	gatewaysPerAgent = 8
	// minChosenSessions is the number of sessions with chosen gateways below which the
	// others and those of the settings are dialled too.
	minChosenSessions = 2
	// gatewaysInterval is the interval at which sessions with gateways are checked.
	gatewaysInterval = time.Second
)

// dialGateways dials gateways. It runs in the task.
func (a *Agent) dialGateways(addresses []string) {
	for _, g := range addresses {
		if !a.state.gateways[g] {
			a.state.gateways[g] = true
			a.node.KeepConnected(g)
		}
	}
}

// chooseGateways chooses some of the gateways that are known, so that a gateway has
// sessions with its part of the agents only. It runs in the task.
func (a *Agent) chooseGateways() {
	s := a.state
	var known []string
	for _, list := range s.views {
		known = append(known, list...)
	}
	chosen := chosenGateways(a.cfg.ID, known)
	if slices.Equal(chosen, s.chosen) {
		return
	}
	s.chosen = chosen
	a.log.Info("gateways chosen", zap.Strings("gateways", chosen))
	a.dialGateways(chosen)
}

// chosenGateways returns the gateways that an agent reports to, sorted, of those that are
// known. Few agents are moved when a gateway is replaced.
func chosenGateways(agent string, known []string) []string {
	known = slices.Compact(slices.Sorted(slices.Values(known)))
	return slices.Sorted(slices.Values(rendezvous.TopIDs(agent, known, gatewaysPerAgent)))
}

// keepGateways ends the sessions with gateways that were not chosen once those that were
// can be reached, until ctx is done.
func (a *Agent) keepGateways(ctx context.Context) {
	task.Every(ctx, gatewaysInterval, func() {
		connected := map[string]bool{}
		for _, s := range a.node.Sessions() {
			if s.Hello.GetRole() == core.RoleGateway {
				connected[s.Hello.GetAddress()] = true
			}
		}
		a.task.Do(func() { a.checkGateways(connected) })
	})
}

// checkGateways compares the chosen gateways with the connected ones. It runs in the
// task.
func (a *Agent) checkGateways(connected map[string]bool) {
	s := a.state
	up := 0
	for _, g := range s.chosen {
		if connected[g] {
			up++
		}
	}
	if up < min(minChosenSessions, max(1, len(s.chosen))) {
		a.dialGateways(a.cfg.Gateways)
		return
	}
	for g := range s.gateways {
		if !slices.Contains(s.chosen, g) {
			delete(s.gateways, g)
			a.node.Disconnect(g)
		}
	}
}
