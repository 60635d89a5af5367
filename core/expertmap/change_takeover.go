package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// checkForeignHold takes over a hold that another leader, or this one before a
// restart, has left behind. Armed maps without a hold are ignored: they belong to
// a change that was released and whose pass has not begun yet.
func (c *ChangeCoordinator) checkForeignHold(now time.Time) {
	pass := c.lowestHeldPass(now)
	if pass < 0 || c.current == nil || c.draining {
		c.foreignHoldSince = time.Time{}
		return
	}
	if c.foreignHoldSince.IsZero() {
		c.foreignHoldSince = now
	}
	if now.Sub(c.foreignHoldSince) < foreignHoldTimeout {
		return
	}
	if c.ranks[c.self].report.HeldPass == pass && pass <= c.releasedPass {
		// An order of this leader to hold the pass was carried out after the
		// release: release it again.
		c.ranks[c.self].released = false
		c.pass = pass
		c.enter(PhaseRelease, now)
		return
	}
	c.takeOverHold(pass, now)
}

// lowestHeldPass returns the lowest pass that a rank holds according to its
// newest report, or -1.
func (c *ChangeCoordinator) lowestHeldPass(now time.Time) int64 {
	pass := int64(-1)
	for i := range c.ranks {
		v := &c.ranks[i]
		if p := v.report.HeldPass; v.hasReport && now.Sub(v.reportedAt) <= maxReportAge && p >= 0 && (pass < 0 || p < pass) {
			pass = p
		}
	}
	return pass
}

// takeOverHold enters PhaseHold for a pass that another leader holds. The holds of
// this leader must be in force before the change is rolled back.
func (c *ChangeCoordinator) takeOverHold(pass int64, now time.Time) {
	c.pass, c.highestPass = pass, max(c.highestPass, pass)
	c.holding = false
	for i := range c.ranks {
		v := &c.ranks[i]
		c.ranks[i] = changeRankState{report: v.report, reportedAt: v.reportedAt, hasReport: v.hasReport, foreignHold: v.report.HeldPass == pass}
	}
	c.target = nil
	c.enter(PhaseHold, now)
}

// enterSecondHold selects the rank of the second hold, at best one that does not hold
// the pass yet: an order to release it there may still be on its way.
func (c *ChangeCoordinator) enterSecondHold(now time.Time) {
	if c.size == 1 {
		c.rollBack(now)
		return
	}
	c.enter(PhaseSecondHold, now)
	c.secondRank = c.self
	for n := 1; n < c.size && (c.secondRank == c.self || c.ranks[c.secondRank].foreignHold); n++ {
		c.secondRank = (c.self + n) % c.size
	}
	c.ranks[c.secondRank].foreignHold = true
}

// nextSecondHold tries the next rank after one has refused or not answered.
func (c *ChangeCoordinator) nextSecondHold() {
	c.secondRank = (c.secondRank + 1) % c.size
	if c.secondRank == c.self {
		c.secondRank = (c.secondRank + 1) % c.size
	}
	c.ranks[c.secondRank].foreignHold = true
}

// handleSecondHoldResult processes the result of the order of PhaseSecondHold. A rank
// refuses it if the pass has begun, or if it holds another one.
func (c *ChangeCoordinator) handleSecondHoldResult(rank int, o core.RankOrder, ok bool, now time.Time) {
	if c.phase != PhaseSecondHold || rank != c.secondRank || o.Pass != c.pass {
		return
	}
	tried := now.Sub(c.phaseStart) > secondHoldTimeout
	switch {
	case ok:
		c.rollBack(now)
	case tried && c.pass > c.releasedPass && now.Sub(c.informedAt) > maxOrderDelay:
		// No order to release the pass at rank self can be carried out any more.
		c.rollBack(now)
	case tried, c.newestPass() >= c.pass:
		// If the pass is still held, the takeover starts again.
		c.finish(now)
	default:
		c.ranks[rank].foreignHold = false
		c.nextSecondHold()
	}
}
