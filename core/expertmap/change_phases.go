package expertmap

import (
	"time"
)

// Poll moves the change on and returns the orders to give now. An order is
// returned once; its result is expected, and decides what comes next.
func (c *ChangeCoordinator) Poll(now time.Time) []AddressedOrder {
	c.advance(now)
	var out []AddressedOrder
	for i := range c.ranks {
		if c.ranks[i].pending || now.Before(c.ranks[i].retryAt) {
			continue
		}
		if o, ok := c.wanted(i); ok {
			o.Epoch = c.epoch
			c.ranks[i].pending = true
			out = append(out, AddressedOrder{Rank: i, Order: o})
		}
	}
	return out
}

// advance enters the next phase when the present one is over.
func (c *ChangeCoordinator) advance(now time.Time) {
	switch c.phase {
	case PhaseIdle:
		c.lookForForeign(now)
	case PhasePrepare:
		c.advancePrepare(now)
	case PhaseHold:
		switch {
		case c.held:
			c.enter(PhaseArm, now)
		case c.layout != nil && !c.ranks[c.self].pending:
			c.pass = max(c.pass, c.newestPass()+passLead)
			c.lastPass = max(c.lastPass, c.pass)
		}
	case PhaseArm:
		if c.all(func(v *memberView) bool { return v.armed }) {
			c.enter(PhaseRelease, now)
		} else if now.Sub(c.since) > armTimeout {
			c.fence(now)
		}
	case PhaseCheck:
		c.advanceCheck(now)
	case PhaseRollback:
		for i := range c.ranks {
			c.ranks[i].fenced = c.ranks[i].fenced || c.ranks[i].superseded(c.aborted)
		}
		if c.all(func(v *memberView) bool { return v.fenced }) {
			c.enter(PhaseRelease, now)
		}
	case PhaseRelease:
		if c.all(func(v *memberView) bool { return v.released || !v.foreignHold }) && c.ranks[c.self].released {
			c.finish(now)
		}
	}
}

// advanceCheck releases the pass when all ranks are armed alike: the predecessor
// of this leader may have done so, and its order may be on its way. Else the
// predecessor cannot have released it, and the change is taken back.
func (c *ChangeCoordinator) advanceCheck(now time.Time) {
	fresh := c.all(func(v *memberView) bool { return v.at.After(c.since) })
	if !fresh && now.Sub(c.since) < checkTimeout {
		return
	}
	first := c.ranks[0].report.Armed
	armed := c.all(func(v *memberView) bool {
		return v.report.Armed == first && v.report.ArmedPass == c.pass
	})
	if !fresh || !armed || first == 0 {
		c.fence(now)
		return
	}
	for i := range c.ranks {
		c.ranks[i].foreignHold = false
	}
	c.enter(PhaseRelease, now)
}

func (c *ChangeCoordinator) all(is func(*memberView) bool) bool {
	for i := range c.ranks {
		if !is(&c.ranks[i]) {
			return false
		}
	}
	return true
}

func (c *ChangeCoordinator) advancePrepare(now time.Time) {
	done := c.all(func(v *memberView) bool { return v.prepared && v.report.Prepared == c.version })
	switch {
	case done:
		c.pass = max(c.newestPass(), c.lastPass) + passLead
		c.lastPass = c.pass
		c.holdTries = 0
		c.enter(PhaseHold, now)
	case now.Sub(c.since) > prepareTimeout:
		c.drop(now)
	}
}

// drop ends a change of which nothing is armed or held.
func (c *ChangeCoordinator) drop(now time.Time) {
	c.Dropped++
	c.enter(PhaseIdle, now)
}

// Drop gives up a change of which nothing is armed or held yet.
func (c *ChangeCoordinator) Drop(now time.Time) {
	if c.phase == PhasePrepare {
		c.drop(now)
	}
}

// finish ends a change whose pass was released.
func (c *ChangeCoordinator) finish(now time.Time) {
	if c.all(func(v *memberView) bool { return v.armed }) {
		c.current = c.layout
		c.Applied++
	} else {
		c.Dropped++
	}
	// Reports from before the release must not be taken for foreign holds.
	for i := range c.ranks {
		v := &c.ranks[i]
		v.report.HeldPass, v.report.Armed, v.report.ArmedPass = -1, 0, -1
	}
	c.held = false
	c.foreign = time.Time{}
	c.enter(PhaseIdle, now)
}

// superseded reports whether a rank has had a version above one that is taken
// back. It then neither has the lower one armed nor arms it later: an engine
// prepares rising versions only, none while it is armed, and arms only the one
// that is prepared.
func (v *memberView) superseded(version int64) bool {
	return v.known && max(v.report.Map, v.report.Prepared, v.report.Armed) > version
}

// fence takes the change back under the hold.
func (c *ChangeCoordinator) fence(now time.Time) {
	if c.phase != PhaseRollback {
		c.aborted = c.abortedVersion()
	}
	c.layout = c.current
	c.version = c.nextVersion()
	for i := range c.ranks {
		v := &c.ranks[i]
		v.fenced, v.disarmed, v.armed, v.refused, v.refusals = false, false, false, false, 0
	}
	c.enter(PhaseRollback, now)
}

// abortedVersion is the highest version that the change that is taken back may
// arm. The version of another leader is prepared at its own rank when it holds
// the pass there.
func (c *ChangeCoordinator) abortedVersion() int64 {
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
