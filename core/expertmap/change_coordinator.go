package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// Timeouts and limits of a change of map.
const (
	// passOffset is the distance from the newest pass that is known to have begun
	// to the pass at which a map takes effect.
	passOffset = 1
	// prepareTimeout bounds the wait for ranks to copy experts. A change that has
	// not been armed can be dropped at any time.
	prepareTimeout = 6 * time.Second
	// armTimeout is how long the held pass waits for ranks that are not armed yet
	// before the change is rolled back.
	armTimeout = 800 * time.Millisecond
	// foreignHoldTimeout is how long a hold of another leader may last before it
	// is taken over. It is longer than a report normally takes to arrive, so that a
	// report from before this leader released a pass does not count as such a hold.
	foreignHoldTimeout = 600 * time.Millisecond
	// secondHoldTimeout bounds the search for a rank that takes the second hold of a
	// takeover.
	secondHoldTimeout = time.Second
	// maxReportAge is the age of a report above which it is ignored for the start
	// of a change and the detection of holds.
	maxReportAge = time.Second
	// maxOrderDelay is the time after which an order that was sent is no longer
	// carried out (engine fault applied_late: 2 to 12 s).
	maxOrderDelay = 13 * time.Second
	// orderRetryDelay is the time after which an order without an answer is sent
	// again. It prevents a busy loop when connections are refused at once.
	orderRetryDelay = 20 * time.Millisecond
	// maxHoldAttempts bounds the later passes that are tried in turn when the
	// engine refuses a hold because the pass has begun. There is a bound because
	// the engine also refuses a hold in another epoch.
	maxHoldAttempts = 5
	// maxUnusedPasses bounds how far the pass of a change lies ahead of the newest one: by
	// passOffset, and by one for each change that was rolled back since a pass began.
	maxUnusedPasses = passOffset + maxHoldAttempts
	// maxRollbackRefusals is the number of times that a rank without an armed map
	// may refuse the rollback version before a higher one is tried.
	maxRollbackRefusals = 2
	// defaultMaxPrepareBytes bounds the maps that are on their way to ranks at one
	// time unless SetMaxPrepareBytes sets another bound: 48 KiB take 49 ms on a link of
	// 8 Mbit/s.
	defaultMaxPrepareBytes = 48 << 10
	// minPreparesInFlight is the number of maps on their way that is always allowed.
	minPreparesInFlight = 2
	// versionStride keeps the versions of leaders apart: a leader uses only
	// multiples of it plus its own number.
	versionStride = 1 << 20
)

// Phase is the phase of a change.
type Phase int

// Phases of a change. A change that succeeds goes through PhasePrepare, PhaseHold,
// PhaseArm and PhaseRelease. A change of another leader, or of this one before a
// restart, is taken over in PhaseHold and PhaseSecondHold and undone in
// PhaseRollback: it disarms all ranks and prepares a higher version on each, so
// that engines refuse orders about the old version that are carried out late.
const (
	PhaseIdle Phase = iota
	PhasePrepare
	PhaseHold
	PhaseArm
	PhaseSecondHold
	PhaseRollback
	PhaseRelease
)

// ChangeCoordinator changes the map of a lock-step group so that no pass begins
// while two ranks have different maps. It holds the pass at which the map takes
// effect on the leader's own rank before it arms any rank. It releases the pass
// only when all ranks are known to be armed, or when none is armed and none can
// become armed any more. Safety does not depend on there being a single leader: a
// leader arms ranks only while its own hold is in force, and rolls back the changes
// of others only while it holds the pass at two ranks. An order of another leader,
// or of its own rank before a restart, to release the pass with all ranks armed may
// be carried out at any time, but only at one rank.
//
// It is a state machine without I/O and not safe for concurrent use.
type ChangeCoordinator struct {
	self         int
	size         int
	leaderNumber int64
	epoch        int64
	ranks        []changeRankState
	phase        Phase
	phaseStart   time.Time
	target       Layout
	current      Layout
	version      int64
	pass         int64
	// highestPass is the highest pass of a hold or an armed map in this epoch. No
	// pass is used twice, since an order about it may be carried out late.
	highestPass int64
	// reportedAt is when a rank reported last, and informedAt since when reports have come
	// without a gap in this epoch. Other leaders may have used the passes up to unknownPass
	// before.
	reportedAt, informedAt time.Time
	unknownPass            int64
	// releasedPass is the highest pass that this leader has released. A change does not
	// hold it again, since the order to release it may be carried out once more.
	releasedPass int64
	// highestVersion is the highest version that was seen or used.
	highestVersion int64
	// holding is set while the hold at rank self is in force.
	holding bool
	// holdAttempts counts the passes of this change that could not be held.
	holdAttempts int
	// maxArmableVersion is the highest version that the change that is rolled back
	// may arm.
	maxArmableVersion int64
	// foreignHoldSince is when a hold of another leader was first seen, or zero.
	foreignHoldSince time.Time
	draining         bool
	// maxPrepareBytes bounds the maps that are on their way at one time.
	maxPrepareBytes int
	// encoded is the encoded target of the version encodedVersion.
	encoded        []byte
	encodedVersion int64
	encodeErr      error
	// nextRank is the rank that is considered first for the next order.
	nextRank int
	// secondRank is the rank of the second hold of PhaseSecondHold.
	secondRank int
	// Applied counts changes that took effect, Dropped those that did not.
	// Rollbacks of changes of other leaders are counted as dropped too.
	Applied, Dropped int
}

// changeRankState is the state of one rank in a change.
type changeRankState struct {
	report     core.RankReport
	reportedAt time.Time
	hasReport  bool
	// retryAt is when an order without an answer may be sent again.
	retryAt time.Time
	// orderPending is set while the result of an order is outstanding, which is of
	// kind pendingKind.
	orderPending bool
	pendingKind  core.OrderKind
	// prepared, armed, disarmed, rolledBack and released record the orders of the
	// change that the rank has confirmed.
	prepared, armed, disarmed, rolledBack, released bool
	// maybeArmedVersion is a version that may be armed on the rank because an order
	// to arm it was sent, or 0. lastArmVersion is the last such version.
	maybeArmedVersion, lastArmVersion int64
	// foreignHold is set when the rank reported a hold of the pass at the time of
	// the takeover, or was told to hold it by this leader as the second rank. A hold
	// that appears later is not released: it may belong to a later change, or to a
	// leader that rolls back the same one.
	foreignHold bool
	// refused is set when the rank refuses the version of PhaseRollback. The rank
	// then gets no order until its next report. refusals counts these refusals.
	refused  bool
	refusals int
}

// AddressedOrder is an order to the engine of a rank.
type AddressedOrder struct {
	Rank  int
	Order core.RankOrder
	// Layout is the encoded layout of an OrderPrepare.
	Layout []byte
}

// NewChangeCoordinator returns the coordinator of the agent of rank self. Leaders
// with different numbers never assign one version to two maps.
func NewChangeCoordinator(self, size int, leaderNumber int64) *ChangeCoordinator {
	return &ChangeCoordinator{self: self, size: size, leaderNumber: leaderNumber % versionStride, ranks: make([]changeRankState, size), epoch: -1, maxPrepareBytes: defaultMaxPrepareBytes}
}

// Phase returns the phase of the change.
func (c *ChangeCoordinator) Phase() Phase { return c.phase }

// Epoch returns the epoch of the group.
func (c *ChangeCoordinator) Epoch() int64 { return c.epoch }

// Target returns the layout of the change in progress.
func (c *ChangeCoordinator) Target() Layout { return c.target }

// Version returns the version of the change in progress or of the last one.
func (c *ChangeCoordinator) Version() int64 { return c.version }

// SetDraining sets whether this leader starts no further changes. A change in
// progress still runs to its end.
func (c *ChangeCoordinator) SetDraining(draining bool) { c.draining = draining }

// SetMaxPrepareBytes sets the bound of the maps that are on their way to ranks at one
// time. A leader whose link carries less than it sends would lose orders.
func (c *ChangeCoordinator) SetMaxPrepareBytes(n int) { c.maxPrepareBytes = n }

// SetCurrent sets the layout of the map in force.
func (c *ChangeCoordinator) SetCurrent(l Layout) { c.current = l }

// Current returns the layout of the map in force, or nil.
func (c *ChangeCoordinator) Current() Layout { return c.current }

// HandleReport processes a report of a rank. Reports of an earlier epoch are
// ignored; one of a later epoch resets the coordinator.
func (c *ChangeCoordinator) HandleReport(rank int, r core.RankReport, now time.Time) {
	if rank < 0 || rank >= c.size || r.Place.Epoch < c.epoch {
		return
	}
	if r.Place.Epoch > c.epoch {
		c.reset(r.Place.Epoch, now)
	}
	if now.Sub(c.reportedAt) > maxReportAge {
		c.informedAt, c.unknownPass = now, r.Pass+maxUnusedPasses
	}
	c.reportedAt = now
	v := &c.ranks[rank]
	v.report, v.reportedAt, v.hasReport, v.refused = r, now, true, false
	c.highestVersion = max(c.highestVersion, r.Map, r.Prepared, r.Armed)
	c.highestPass = max(c.highestPass, r.HeldPass, r.ArmedPass)
}

// reset drops the change in progress and all state of the former epoch. A group
// that forms anew has map 0, and nothing is prepared, armed or held.
func (c *ChangeCoordinator) reset(epoch int64, now time.Time) {
	if c.phase != PhaseIdle {
		c.Dropped++
	}
	c.epoch, c.ranks, c.current = epoch, make([]changeRankState, c.size), nil
	c.highestPass, c.releasedPass = 0, 0
	c.foreignHoldSince, c.reportedAt = time.Time{}, time.Time{}
	c.enter(PhaseIdle, now)
}

func (c *ChangeCoordinator) enter(p Phase, now time.Time) {
	c.phase, c.phaseStart = p, now
}

// Ready reports whether a change may start: all ranks are open and have reported
// the same map since the last change, no map is armed, no pass is held, no order
// is outstanding and at least one rank runs requests.
func (c *ChangeCoordinator) Ready(now time.Time) bool {
	if c.phase != PhaseIdle || c.draining || c.current == nil {
		return false
	}
	busy := false
	for i := range c.ranks {
		v := &c.ranks[i]
		r := &v.report
		if !v.hasReport || now.Sub(v.reportedAt) > maxReportAge || !v.reportedAt.After(c.phaseStart) || !r.Place.Open || r.Map != c.ranks[0].report.Map ||
			r.Armed != 0 || r.HeldPass >= 0 || v.orderPending {
			return false
		}
		busy = busy || r.Running > 0
	}
	return busy
}

// MeanRunningRequests returns the mean number of running requests per rank.
func (c *ChangeCoordinator) MeanRunningRequests() float64 {
	n := 0
	for i := range c.ranks {
		n += c.ranks[i].report.Running
	}
	return float64(n) / float64(c.size)
}

// Propose starts a change to a layout. It reports false if Ready does.
func (c *ChangeCoordinator) Propose(next Layout, now time.Time) bool {
	if !c.Ready(now) {
		return false
	}
	c.target = next
	c.version = c.nextVersion()
	c.holding = false
	for i := range c.ranks {
		c.ranks[i] = changeRankState{report: c.ranks[i].report, reportedAt: c.ranks[i].reportedAt, hasReport: true, retryAt: c.ranks[i].retryAt}
	}
	c.enter(PhasePrepare, now)
	return true
}

// nextVersion returns a version that is higher than all seen ones and that no
// other leader uses.
func (c *ChangeCoordinator) nextVersion() int64 {
	c.highestVersion = (c.highestVersion/versionStride+1)*versionStride + c.leaderNumber
	return c.highestVersion
}

// knowsUsedPasses reports whether no order of a leader that this one knows nothing of can
// release a later pass any more.
func (c *ChangeCoordinator) knowsUsedPasses(now time.Time) bool {
	return c.newestPass() >= c.unknownPass || now.Sub(c.informedAt) > maxOrderDelay
}

// newestPass returns the highest pass that is known to have begun.
func (c *ChangeCoordinator) newestPass() int64 {
	p := int64(0)
	for i := range c.ranks {
		p = max(p, c.ranks[i].report.Pass)
	}
	return p
}
