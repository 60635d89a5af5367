package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// wanted returns the order that a rank has to get next.
func (c *ChangeCoordinator) wanted(i int) (core.RankOrder, bool) {
	v := &c.ranks[i]
	switch c.phase {
	case PhasePrepare:
		if !v.prepared {
			return core.RankOrder{Kind: core.OrderPrepare, Version: c.version, Experts: c.layout}, true
		}
	case PhaseHold:
		if i != c.self || c.held {
			break
		}
		return core.RankOrder{Kind: core.OrderHold, Pass: c.pass}, true
	case PhaseArm:
		if !v.armed {
			v.mayBeArmed, v.lastArm = c.version, c.version
			return core.RankOrder{Kind: core.OrderArm, Version: c.version, Pass: c.pass}, true
		}
	case PhaseRollback:
		return c.wantedFence(v)
	case PhaseRelease:
		if !v.released && (i == c.self || v.foreignHold) {
			c.releasedPass = max(c.releasedPass, c.pass)
			return core.RankOrder{Kind: core.OrderGo, Pass: c.pass}, true
		}
	}
	return core.RankOrder{}, false
}

// wantedFence disarms a rank that may be armed at a held pass and then prepares
// the higher version there. A map that another leader has armed at an earlier
// pass is left alone, since the own hold does not cover that pass.
func (c *ChangeCoordinator) wantedFence(v *memberView) (core.RankOrder, bool) {
	r := &v.report
	switch {
	case v.fenced || v.refused:
		return core.RankOrder{}, false
	case r.Armed != 0 && r.ArmedPass >= c.pass && r.Armed <= c.aborted:
		return core.RankOrder{Kind: core.OrderDisarm, Version: r.Armed}, true
	case !v.disarmed && v.mayBeArmed != 0:
		return core.RankOrder{Kind: core.OrderDisarm, Version: v.mayBeArmed}, true
	case r.Armed != 0 && r.ArmedPass < c.pass:
		return core.RankOrder{}, false
	}
	return core.RankOrder{Kind: core.OrderPrepare, Version: c.version, Experts: c.layout}, true
}

// HandleResult takes the result of an order that Poll has returned.
func (c *ChangeCoordinator) HandleResult(a AddressedOrder, res core.OrderResult, now time.Time) {
	if a.Order.Epoch != c.epoch || a.Rank < 0 || a.Rank >= c.size {
		return
	}
	v := &c.ranks[a.Rank]
	v.pending = false
	if res == core.OrderUnknown {
		v.retryAt = now.Add(retryDelay)
		return
	}
	ok := res == core.OrderStarted || res == core.OrderApplied
	switch a.Order.Kind {
	case core.OrderPrepare:
		c.prepared(v, a.Order, ok, now)
	case core.OrderHold:
		c.holdResult(a.Order, ok, now)
	case core.OrderArm:
		c.armResult(v, a.Order, ok, now)
	case core.OrderDisarm:
		c.disarmResult(v, a.Order, ok)
	case core.OrderGo:
		// A refusal means that the pass has begun.
		v.released = true
	}
}

func (c *ChangeCoordinator) prepared(v *memberView, o core.RankOrder, ok bool, now time.Time) {
	if o.Version != c.version {
		return
	}
	switch {
	case c.phase == PhasePrepare && ok:
		v.prepared = true
	case c.phase == PhasePrepare:
		c.drop(now)
	case c.phase == PhaseRollback && ok:
		v.fenced = true
	case c.phase == PhaseRollback:
		c.fenceRefused(v, now)
	}
}

// fenceRefused handles a rank that refuses the higher version: it is armed,
// because an order was carried out late, or it has had a higher one.
func (c *ChangeCoordinator) fenceRefused(v *memberView, now time.Time) {
	v.refusals++
	if v.refusals > maxRefusals && v.report.Armed == 0 {
		c.fence(now)
		return
	}
	v.refused, v.disarmed, v.mayBeArmed = true, false, v.lastArm
}

// disarmResult takes the result of an order to disarm. A version that cannot be
// disarmed is in force: its pass has begun.
func (c *ChangeCoordinator) disarmResult(v *memberView, o core.RankOrder, ok bool) {
	v.disarmed = true
	if v.report.Armed == o.Version {
		v.report.Armed, v.report.ArmedPass = 0, -1
	}
	if v.mayBeArmed == o.Version {
		v.mayBeArmed = 0
	}
	if !ok {
		v.report.Map = max(v.report.Map, o.Version)
	}
}

func (c *ChangeCoordinator) holdResult(o core.RankOrder, ok bool, now time.Time) {
	if c.phase != PhaseHold || o.Pass != c.pass {
		return
	}
	switch {
	case ok && c.layout == nil && c.ownHold:
		c.held = true
		c.enter(PhaseCheck, now)
	case ok && c.layout == nil:
		c.held = true
		c.fence(now)
	case ok:
		c.held = true
	case c.layout == nil:
		// The pass of the other leader has begun.
		c.finish(now)
	case c.holdTries >= maxHoldTries:
		c.drop(now)
	default:
		// The pass has begun meanwhile: a later one is held.
		c.holdTries++
		c.pass = max(c.newestPass(), c.lastPass) + passLead
		c.lastPass = c.pass
	}
}

func (c *ChangeCoordinator) armResult(v *memberView, o core.RankOrder, ok bool, now time.Time) {
	if o.Version != c.version || o.Pass != c.pass {
		return
	}
	if ok {
		v.armed = true
		v.report.Armed, v.report.ArmedPass = o.Version, o.Pass
		return
	}
	if c.phase == PhaseArm {
		c.fence(now)
	}
}
