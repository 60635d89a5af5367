package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// wantedOrder returns the next order for a rank. It reports false when there is
// none.
func (c *ChangeCoordinator) wantedOrder(i int) (core.RankOrder, bool) {
	v := &c.ranks[i]
	switch c.phase {
	case PhasePrepare:
		if !v.prepared {
			return core.RankOrder{Kind: core.OrderPrepare, Version: c.version, Experts: c.target}, true
		}
	case PhaseHold:
		if i != c.self || c.holding {
			break
		}
		return core.RankOrder{Kind: core.OrderHold, Pass: c.pass}, true
	case PhaseSecondHold:
		if i == c.secondRank {
			return core.RankOrder{Kind: core.OrderHold, Pass: c.pass}, true
		}
	case PhaseArm:
		if !v.armed {
			v.maybeArmedVersion, v.lastArmVersion = c.version, c.version
			return core.RankOrder{Kind: core.OrderArm, Version: c.version, Pass: c.pass}, true
		}
	case PhaseRollback:
		return c.rollbackOrder(v)
	case PhaseRelease:
		if !v.released && (i == c.self || v.foreignHold) {
			c.releasedPass = max(c.releasedPass, c.pass)
			return core.RankOrder{Kind: core.OrderGo, Pass: c.pass}, true
		}
	}
	return core.RankOrder{}, false
}

// rollbackOrder returns the next order of PhaseRollback for a rank: it disarms a
// rank that may be armed at a held pass and then prepares the higher version. A
// map that another leader has armed at an earlier pass stays armed, since the
// hold of this leader does not cover that pass.
func (c *ChangeCoordinator) rollbackOrder(v *changeRankState) (core.RankOrder, bool) {
	r := &v.report
	switch {
	case v.rolledBack || v.refused:
		return core.RankOrder{}, false
	case r.Armed != 0 && r.ArmedPass >= c.pass && r.Armed <= c.maxArmableVersion:
		return core.RankOrder{Kind: core.OrderDisarm, Version: r.Armed}, true
	case !v.disarmed && v.maybeArmedVersion != 0:
		return core.RankOrder{Kind: core.OrderDisarm, Version: v.maybeArmedVersion}, true
	case r.Armed != 0 && r.ArmedPass < c.pass:
		return core.RankOrder{}, false
	}
	return core.RankOrder{Kind: core.OrderPrepare, Version: c.version, Experts: c.target}, true
}

// HandleResult processes the result of an order that Poll has returned.
func (c *ChangeCoordinator) HandleResult(a AddressedOrder, res core.OrderResult, now time.Time) {
	if a.Order.Epoch != c.epoch || a.Rank < 0 || a.Rank >= c.size {
		return
	}
	v := &c.ranks[a.Rank]
	v.orderPending = false
	if res == core.OrderUnknown {
		v.retryAt = now.Add(orderRetryDelay)
		if c.phase == PhaseSecondHold && a.Rank == c.secondRank {
			c.nextSecondHold()
		}
		return
	}
	ok := res == core.OrderStarted || res == core.OrderApplied
	switch a.Order.Kind {
	case core.OrderPrepare:
		c.handlePrepareResult(v, a.Order, ok, now)
	case core.OrderHold:
		if a.Rank == c.self {
			c.handleHoldResult(a.Order, ok, now)
		} else {
			c.handleSecondHoldResult(a.Rank, a.Order, ok, now)
		}
	case core.OrderArm:
		c.handleArmResult(v, a.Order, ok, now)
	case core.OrderDisarm:
		c.handleDisarmResult(v, a.Order, ok)
	case core.OrderGo:
		// The engine refuses to release a pass that has begun.
		v.released = true
	}
}

func (c *ChangeCoordinator) handlePrepareResult(v *changeRankState, o core.RankOrder, ok bool, now time.Time) {
	if o.Version != c.version {
		return
	}
	switch {
	case c.phase == PhasePrepare && ok:
		v.prepared = true
	case c.phase == PhasePrepare:
		c.drop(now)
	case c.phase == PhaseRollback && ok:
		v.rolledBack = true
	case c.phase == PhaseRollback:
		c.handleRollbackRefusal(v, now)
	}
}

// handleRollbackRefusal processes a refusal of the rollback version. The rank is
// armed, because an order was carried out late, or it has seen a higher version.
func (c *ChangeCoordinator) handleRollbackRefusal(v *changeRankState, now time.Time) {
	v.refusals++
	if v.refusals > maxRollbackRefusals && v.report.Armed == 0 {
		c.rollBack(now)
		return
	}
	v.refused, v.disarmed, v.maybeArmedVersion = true, false, v.lastArmVersion
}

// handleDisarmResult processes the result of an order to disarm. A version that
// cannot be disarmed is in force: its pass has begun.
func (c *ChangeCoordinator) handleDisarmResult(v *changeRankState, o core.RankOrder, ok bool) {
	v.disarmed = true
	if v.report.Armed == o.Version {
		v.report.Armed, v.report.ArmedPass = 0, -1
	}
	if v.maybeArmedVersion == o.Version {
		v.maybeArmedVersion = 0
	}
	if !ok {
		v.report.Map = max(v.report.Map, o.Version)
	}
}

func (c *ChangeCoordinator) handleHoldResult(o core.RankOrder, ok bool, now time.Time) {
	if c.phase != PhaseHold || o.Pass != c.pass {
		return
	}
	switch {
	case ok && c.target == nil:
		c.holding = true
		c.enterSecondHold(now)
	case ok:
		c.holding = true
	case c.target == nil:
		// The pass that was to be taken over has begun.
		c.finish(now)
	case c.holdAttempts >= maxHoldAttempts:
		c.drop(now)
	default:
		// The pass has begun: try a later one.
		c.holdAttempts++
		c.pass = max(c.newestPass(), c.highestPass) + passOffset
		c.highestPass = c.pass
	}
}

func (c *ChangeCoordinator) handleArmResult(v *changeRankState, o core.RankOrder, ok bool, now time.Time) {
	if o.Version != c.version || o.Pass != c.pass {
		return
	}
	if ok {
		v.armed = true
		v.report.Armed, v.report.ArmedPass = o.Version, o.Pass
		return
	}
	if c.phase == PhaseArm {
		c.rollBack(now)
	}
}
