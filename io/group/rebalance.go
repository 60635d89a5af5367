package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

// planner plans map changes with the policy of the current leadership.
// lastWindow is the newest window of load that the policy has received.
type planner struct {
	g          *Group
	policy     core.Rebalancer
	fence      int64
	lastWindow core.ExpertWindow
}

// rebalance reads the load of experts at every interval while this agent leads
// and proposes the maps that the policy adopts.
func (g *Group) rebalance(ctx context.Context) {
	tick := time.NewTicker(g.cfg.RebalanceInterval)
	defer tick.Stop()
	p := &planner{g: g}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.onTick(ctx)
		}
	}
}

func (p *planner) onTick(ctx context.Context) {
	s := p.g.Status()
	if !s.Leading || !s.Running {
		p.policy = nil
		return
	}
	if p.policy == nil || p.fence != s.Fence {
		p.policy, p.fence, p.lastWindow = p.g.cfg.NewRebalancer(), s.Fence, core.ExpertWindow{}
	}
	// While a map is being loaded or is not yet used by the engine, the policy would
	// compare the load with the wrong map.
	if s.PendingMap != 0 || s.CurrentMap != s.MapVersion {
		return
	}
	log := p.g.cfg.Logger
	if !mapMatchesShape(s.Map.Replicas, p.g.cfg.Shape) {
		log.Warn("current map does not match the configured shape", zap.Int64("map", s.MapVersion))
		return
	}
	w, ok := p.window(ctx)
	if !ok {
		return
	}
	next, changed := p.policy.Plan(s.Map, w.Tokens, time.Now())
	if !changed {
		return
	}
	version, err := p.g.Propose(next)
	if err != nil {
		log.Info("proposing a map failed", zap.Error(err))
		return
	}
	log.Info("proposed a map", zap.Int64("map", version), zap.Int("moves", expertmap.Moves(s.Map, next)))
}

// window returns the newest window of load. It reports false when the policy has
// already received it.
func (p *planner) window(ctx context.Context) (core.ExpertWindow, bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	w, err := p.g.cfg.ExpertLoads.Experts(ctx)
	if err != nil {
		p.g.cfg.Logger.Warn("reading the load of experts failed", zap.Error(err))
		return w, false
	}
	if w.EndStep == 0 || w.Incarnation == p.lastWindow.Incarnation && w.EndStep == p.lastWindow.EndStep {
		return w, false
	}
	if !loadMatchesShape(w.Tokens, p.g.cfg.Shape) {
		p.g.cfg.Logger.Warn("load of experts does not match the configured shape", zap.Int("layers", len(w.Tokens)))
		return w, false
	}
	p.lastWindow = w
	return w, true
}

// mapMatchesShape reports whether a map has the layers and experts of a shape and
// places every expert on valid ranks.
func mapMatchesShape(replicas [][][]int, s expertmap.Shape) bool {
	if len(replicas) != s.Layers {
		return false
	}
	for _, layer := range replicas {
		if len(layer) != s.Experts {
			return false
		}
		for _, ranks := range layer {
			if len(ranks) == 0 {
				return false
			}
			for _, r := range ranks {
				if r < 0 || r >= s.Ranks {
					return false
				}
			}
		}
	}
	return true
}

// loadMatchesShape reports whether a load has the layers and experts of a shape and
// contains no negative number or NaN.
func loadMatchesShape(load core.ExpertLoad, s expertmap.Shape) bool {
	if len(load) != s.Layers {
		return false
	}
	for _, layer := range load {
		if len(layer) != s.Experts {
			return false
		}
		for _, x := range layer {
			if !(x >= 0) {
				return false
			}
		}
	}
	return true
}
