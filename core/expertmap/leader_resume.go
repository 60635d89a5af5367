package expertmap

import (
	"cmp"
	"slices"

	"nutmegnotch/core"
)

// takeOver goes on from what all ranks have answered.
func (l *Leader) takeOver() {
	first := l.ranks[0].answer
	low, high := first.Horizon, first.Horizon
	same := true
	for i := range l.ranks {
		a := l.ranks[i].answer
		low, high = min(low, a.Horizon), max(high, a.Horizon)
		l.generation = max(l.generation, a.Generation)
		same = same && !a.StateLost && !a.Stopped && a.Generation == first.Generation
	}
	l.planEnd = high
	plan, ok := l.adopt(low, high)
	if !same || !ok {
		l.reset()
		return
	}
	l.plan, l.current, l.phase = plan, plan[len(plan)-1].MapVersion, phaseRun
}

// adopt joins the recent grants of all ranks to one plan that covers low to
// high. It reports false when a step is missing or has two maps.
func (l *Leader) adopt(low, high int64) ([]core.StepGrant, bool) {
	var plan []core.StepGrant
	for _, g := range l.recent() {
		if n := len(plan); n > 0 {
			end := plan[n-1].ToStep
			if g.FromStep > end {
				plan = nil
			} else if g.ToStep <= end {
				continue
			} else {
				g.FromStep = end
			}
		}
		plan = append(plan, g)
	}
	n := len(plan)
	ok := n > 0 && plan[0].FromStep <= low && plan[n-1].ToStep == high
	return plan, ok && !l.conflict(plan)
}

// recent returns the different grants that ranks hold, in order of steps.
func (l *Leader) recent() []core.StepGrant {
	seen := map[core.StepGrant]bool{}
	var all []core.StepGrant
	for i := range l.ranks {
		for _, g := range l.ranks[i].answer.Recent {
			g.Fence, g.Group = 0, l.group
			if g.Generation == l.generation && !seen[g] {
				seen[g] = true
				all = append(all, g)
			}
		}
	}
	slices.SortFunc(all, func(a, b core.StepGrant) int {
		return cmp.Or(cmp.Compare(a.FromStep, b.FromStep), cmp.Compare(a.ToStep, b.ToStep))
	})
	return all
}

// conflict reports whether a rank holds a grant that names another map than
// the plan.
func (l *Leader) conflict(plan []core.StepGrant) bool {
	for _, g := range l.recent() {
		for _, p := range plan {
			if g.FromStep < p.ToStep && p.FromStep < g.ToStep && g.MapVersion != p.MapVersion {
				return true
			}
		}
	}
	return false
}

// newestKnown returns the map of the last grant that any rank holds when its
// content is known, else a new version of the fallback map.
func (l *Leader) newestKnown() int64 {
	var newest core.StepGrant
	for i := range l.ranks {
		if a := l.ranks[i].answer; a != nil && len(a.Recent) > 0 {
			if g := a.Recent[len(a.Recent)-1]; g.ToStep > newest.ToStep {
				newest = g
			}
		}
	}
	if _, ok := l.maps[newest.MapVersion]; ok && newest.MapVersion != 0 {
		return newest.MapVersion
	}
	return l.name(l.maps[0])
}
