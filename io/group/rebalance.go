package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

// planner asks the policy of one leadership.
type planner struct {
	g      *Group
	policy core.Rebalancer
	fence  int64
	seen   core.ExpertWindow
}

// rebalance samples the load of experts at every interval while this agent
// leads, and proposes the map that the policy adopts.
func (g *Group) rebalance(ctx context.Context) {
	tick := time.NewTicker(g.cfg.RebalanceInterval)
	defer tick.Stop()
	p := &planner{g: g}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.turn(ctx)
		}
	}
}

func (p *planner) turn(ctx context.Context) {
	s := p.g.Status()
	if !s.Leading || !s.Running {
		p.policy = nil
		return
	}
	if p.policy == nil || p.fence != s.Fence {
		p.policy, p.fence, p.seen = p.g.cfg.NewRebalancer(), s.Fence, core.ExpertWindow{}
	}
	// A map that is being loaded, or that the engine does not use yet, would
	// make the policy compare the load with the wrong map.
	if s.PendingMap != 0 || s.CurrentMap != s.MapVersion {
		return
	}
	log := p.g.cfg.Logger
	if !fits(s.Map.Replicas, p.g.cfg.Shape) {
		log.Warn("current map does not have the configured shape", zap.Int64("map", s.MapVersion))
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
		log.Info("proposal of a map failed", zap.Error(err))
		return
	}
	log.Info("proposed a map", zap.Int64("map", version), zap.Int("moves", expertmap.Moves(s.Map, next)))
}

// window returns a window of load that the policy has not seen.
func (p *planner) window(ctx context.Context) (core.ExpertWindow, bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	w, err := p.g.cfg.ExpertLoads.Experts(ctx)
	if err != nil {
		p.g.cfg.Logger.Warn("read load of experts failed", zap.Error(err))
		return w, false
	}
	if w.EndStep == 0 || w.Incarnation == p.seen.Incarnation && w.EndStep == p.seen.EndStep {
		return w, false
	}
	if !sized(w.Tokens, p.g.cfg.Shape) {
		p.g.cfg.Logger.Warn("load of experts does not have the configured shape", zap.Int("layers", len(w.Tokens)))
		return w, false
	}
	p.seen = w
	return w, true
}

// fits reports whether a map has the layers, experts and ranks of a shape.
func fits(replicas [][][]int, s expertmap.Shape) bool {
	if len(replicas) != s.Layers {
		return false
	}
	for _, layer := range replicas {
		if len(layer) != s.Experts {
			return false
		}
		for _, on := range layer {
			if len(on) == 0 {
				return false
			}
			for _, r := range on {
				if r < 0 || r >= s.Ranks {
					return false
				}
			}
		}
	}
	return true
}

// sized reports whether a load has the layers and experts of a shape and no
// negative number.
func sized(load core.ExpertLoad, s expertmap.Shape) bool {
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
