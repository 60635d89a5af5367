package expertmap

import (
	"time"
)

// lookForForeign takes back what another leader, or this one before a restart,
// has left held. Maps that are armed without a hold belong to a change that was
// released and whose pass has not begun yet.
func (c *ChangeCoordinator) lookForForeign(now time.Time) {
	pass := c.heldPass(now)
	if pass < 0 || c.current == nil || c.retired {
		c.foreign = time.Time{}
		return
	}
	if c.foreign.IsZero() {
		c.foreign = now
	}
	if now.Sub(c.foreign) < foreignPatience {
		return
	}
	own := c.ranks[c.self].report.HeldPass == pass
	if pass > c.releasedPass && (own || now.Sub(c.started) > lateOrders) {
		c.ownHold = own
		c.takeOver(pass, now)
	} else if pass <= c.releasedPass && own {
		// An own order to hold was carried out after the release.
		c.ranks[c.self].released = false
		c.pass = pass
		c.enter(PhaseRelease, now)
	}
}

// heldPass is the lowest pass that a rank holds by its newest report, or -1.
func (c *ChangeCoordinator) heldPass(now time.Time) int64 {
	pass := int64(-1)
	for i := range c.ranks {
		v := &c.ranks[i]
		if p := v.report.HeldPass; v.known && now.Sub(v.at) <= reportAge && p >= 0 && (pass < 0 || p < pass) {
			pass = p
		}
	}
	return pass
}

// takeOver holds the pass of another leader itself before it fences the ranks.
func (c *ChangeCoordinator) takeOver(pass int64, now time.Time) {
	c.pass, c.lastPass = pass, max(c.lastPass, pass)
	c.held = false
	for i := range c.ranks {
		v := &c.ranks[i]
		c.ranks[i] = memberView{report: v.report, at: v.at, known: v.known, foreignHold: v.report.HeldPass == pass}
	}
	c.layout = nil
	c.enter(PhaseHold, now)
}
