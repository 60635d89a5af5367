package expertmap

import (
	"cmp"
	"slices"

	"nutmegnotch/core"
)

// resume continues the running generation from the answers of all ranks. It
// starts a new generation when the ranks are not all in the same one, one of
// them is stopped or has lost its state, or their grants do not form one plan.
func (l *Leader) resume() {
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
	plan, ok := l.mergeGrants(low, high)
	if !same || !ok {
		l.startGeneration()
		return
	}
	l.plan, l.current, l.phase = plan, plan[len(plan)-1].MapVersion, leaderRun
}

// mergeGrants merges the recent grants of all ranks into one plan that covers
// the steps from low to high. It reports false when a step is missing or has
// two maps.
func (l *Leader) mergeGrants(low, high int64) ([]core.StepGrant, bool) {
	var plan []core.StepGrant
	for _, g := range l.distinctGrants() {
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
	return plan, ok && !l.hasConflict(plan)
}

// distinctGrants returns the grants of the generation that ranks hold, without
// duplicates and in order of steps.
func (l *Leader) distinctGrants() []core.StepGrant {
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

// hasConflict reports whether a rank holds a grant with a map that differs from
// that of the plan for the same step.
func (l *Leader) hasConflict(plan []core.StepGrant) bool {
	for _, g := range l.distinctGrants() {
		for _, p := range plan {
			if g.FromStep < p.ToStep && p.FromStep < g.ToStep && g.MapVersion != p.MapVersion {
				return true
			}
		}
	}
	return false
}

// newestKnownMap returns the map version of the last grant that any rank holds.
// If its content is not known here, it returns a new version of the fallback
// map.
func (l *Leader) newestKnownMap() int64 {
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
	return l.assignVersion(l.maps[0])
}
