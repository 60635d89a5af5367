package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// Poll advances the change and returns the orders that are due. Each order is
// returned once, and the caller must pass its result to HandleResult. Only so many
// orders that carry a map are outstanding at one time as SetMaxPrepareBytes allows.
func (c *ChangeCoordinator) Poll(now time.Time) []AddressedOrder {
	c.advance(now)
	encoded := c.encodedTarget()
	prepares := minPreparesInFlight
	if len(encoded) > 0 {
		prepares = max(prepares, c.maxPrepareBytes/len(encoded))
	}
	for i := range c.ranks {
		if c.ranks[i].orderPending && c.ranks[i].pendingKind == core.OrderPrepare {
			prepares--
		}
	}
	var out []AddressedOrder
	first := c.nextRank
	for n := range c.ranks {
		i := (first + n) % c.size
		v := &c.ranks[i]
		if v.orderPending || now.Before(v.retryAt) {
			continue
		}
		o, ok := c.wantedOrder(i)
		if !ok {
			continue
		}
		if o.Kind == core.OrderPrepare {
			if prepares <= 0 {
				continue
			}
			prepares--
			// Ranks take turns, so that those without an answer do not keep out others.
			c.nextRank = (i + 1) % c.size
		}
		o.Epoch = c.epoch
		v.orderPending, v.pendingKind = true, o.Kind
		a := AddressedOrder{Rank: i, Order: o}
		if o.Kind == core.OrderPrepare {
			a.Layout = encoded
		}
		out = append(out, a)
	}
	return out
}

// encodedTarget returns the encoded layout of the change in progress. Without one, agents
// get the lists themselves.
func (c *ChangeCoordinator) encodedTarget() []byte {
	if c.encodedVersion != c.version {
		c.encodedVersion = c.version
		c.encoded, c.encodeErr = c.target.Encode()
	}
	return c.encoded
}

// EncodeError returns why the layout of the change in progress has no compact form, or
// nil.
func (c *ChangeCoordinator) EncodeError() error { return c.encodeErr }

// advance enters the next phase when the current one is complete.
func (c *ChangeCoordinator) advance(now time.Time) {
	switch c.phase {
	case PhaseIdle:
		c.checkForeignHold(now)
	case PhasePrepare:
		c.advancePrepare(now)
	case PhaseHold:
		switch {
		case c.holding:
			c.enter(PhaseArm, now)
		case c.target != nil && !c.ranks[c.self].orderPending:
			c.pass = max(c.pass, c.newestPass()+passOffset)
			c.highestPass = max(c.highestPass, c.pass)
		}
	case PhaseArm:
		if c.all(func(v *changeRankState) bool { return v.armed }) {
			c.enter(PhaseRelease, now)
		} else if now.Sub(c.phaseStart) > armTimeout {
			c.rollBack(now)
		}
	case PhaseRollback:
		for i := range c.ranks {
			c.ranks[i].rolledBack = c.ranks[i].rolledBack || c.ranks[i].superseded(c.maxArmableVersion)
		}
		if c.all(func(v *changeRankState) bool { return v.rolledBack }) {
			c.enter(PhaseRelease, now)
		}
	case PhaseRelease:
		if c.all(func(v *changeRankState) bool { return v.released || !v.foreignHold }) && c.ranks[c.self].released {
			c.finish(now)
		}
	}
}

func (c *ChangeCoordinator) all(pred func(*changeRankState) bool) bool {
	for i := range c.ranks {
		if !pred(&c.ranks[i]) {
			return false
		}
	}
	return true
}

func (c *ChangeCoordinator) advancePrepare(now time.Time) {
	done := c.all(func(v *changeRankState) bool { return v.prepared && v.report.Prepared == c.version })
	switch {
	case done && c.knowsUsedPasses(now):
		c.pass = max(c.newestPass(), c.highestPass) + passOffset
		c.highestPass = c.pass
		c.holdAttempts = 0
		c.enter(PhaseHold, now)
	case now.Sub(c.phaseStart) > prepareTimeout:
		c.drop(now)
	}
}

// drop ends a change without an armed map or a hold.
func (c *ChangeCoordinator) drop(now time.Time) {
	c.Dropped++
	c.enter(PhaseIdle, now)
}

// Drop ends a change that is still being prepared. It has no effect in any other
// phase.
func (c *ChangeCoordinator) Drop(now time.Time) {
	if c.phase == PhasePrepare {
		c.drop(now)
	}
}

// finish ends a change whose pass was released or has begun.
func (c *ChangeCoordinator) finish(now time.Time) {
	if c.all(func(v *changeRankState) bool { return v.armed }) {
		c.current = c.target
		c.Applied++
	} else {
		c.Dropped++
	}
	// Reports from before the release must not count as holds of other leaders.
	for i := range c.ranks {
		v := &c.ranks[i]
		v.report.HeldPass, v.report.Armed, v.report.ArmedPass = -1, 0, -1
	}
	c.holding = false
	c.foreignHoldSince = time.Time{}
	c.enter(PhaseIdle, now)
}

// superseded reports whether the rank has had a higher version than one that is
// rolled back. The lower version is then not armed and cannot be armed later: an
// engine prepares only increasing versions, prepares none while a map is armed,
// and arms only the prepared version.
func (v *changeRankState) superseded(version int64) bool {
	return v.hasReport && max(v.report.Map, v.report.Prepared, v.report.Armed) > version
}

// rollBack enters PhaseRollback with a new version, while the hold is in force.
func (c *ChangeCoordinator) rollBack(now time.Time) {
	if c.phase != PhaseRollback {
		c.maxArmableVersion = c.findMaxArmableVersion()
	}
	c.target = c.current
	c.version = c.nextVersion()
	for i := range c.ranks {
		v := &c.ranks[i]
		v.rolledBack, v.disarmed, v.armed, v.refused, v.refusals = false, false, false, false, 0
	}
	c.enter(PhaseRollback, now)
}

// findMaxArmableVersion returns the highest version that the change that is
// rolled back may arm. The version of another leader is among the reported ones,
// since it is prepared on that leader's rank before the pass is held there.
func (c *ChangeCoordinator) findMaxArmableVersion() int64 {
	if c.phase == PhaseArm {
		return c.version
	}
	v := int64(0)
	for i := range c.ranks {
		r := &c.ranks[i].report
		v = max(v, r.Map, r.Prepared, r.Armed)
	}
	return v
}
