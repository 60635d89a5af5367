package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// Settings of a change of map in a lock-step group.
const (
	// passLead is the distance of the pass at which a map takes effect from the
	// newest pass that is known to have begun.
	passLead = 1
	// prepareTimeout bounds the wait for copies. A change that has not been armed
	// can be dropped at any time.
	prepareTimeout = 6 * time.Second
	// armTimeout is how long armed and held ranks wait for the missing ones
	// before the change is taken back.
	armTimeout = 800 * time.Millisecond
	// foreignPatience is how long a hold of another leader may stand before it is taken back. It is above the age of reports, so that a
	// report from before the release of an own change does not count.
	foreignPatience = 600 * time.Millisecond
	// reportAge is how old a report may be for a change to begin.
	reportAge = time.Second
	// lateOrders is how long after it was sent an order may be carried out
	// (kinds, applied_late: 2 to 12 s). A leader that has started within it does
	// not know whether its predecessor has released a pass.
	lateOrders = 13 * time.Second
	// retryDelay is the time between two orders to a rank whose first one got no
	// answer: a refused connection fails at once.
	retryDelay = 20 * time.Millisecond
	// maxHoldTries is the number of passes that are tried in turn when the engine
	// says that a pass has begun. It also refuses in another epoch.
	maxHoldTries = 5
	// checkTimeout bounds the wait for reports from after the own hold.
	checkTimeout = 500 * time.Millisecond
	// maxRefusals is the number of refusals of a rank that reports nothing armed
	// after which a still higher version is tried.
	maxRefusals = 2
	// versionStep separates the versions of leaders: each takes versions that
	// differ from a multiple of it by its own number.
	versionStep = 1 << 20
)

// Phase is the state of a change.
type Phase int

// Phases of a change. PhaseCheck looks whether all ranks are armed already,
// after a restart of the leader in the middle of a change. PhaseRollback takes a change back: no map is armed any more,
// and a higher version is prepared everywhere, which makes engines refuse orders
// about the old one that arrive late.
const (
	PhaseIdle Phase = iota
	PhasePrepare
	PhaseHold
	PhaseArm
	PhaseCheck
	PhaseRollback
	PhaseRelease
)

// ChangeCoordinator changes the map of a lock-step group so that no pass begins while two
// ranks have different maps. The pass at which a map takes effect is held at the
// leader's own rank before any rank is armed, and released only when all ranks
// are known to be armed, or all are known not to be and never to become so. The
// argument does not need a single leader: a leader arms only under its own hold,
// and takes back what others left behind only under its own hold too.
//
// It is a pure state machine and not safe for concurrent use.
type ChangeCoordinator struct {
	self    int
	size    int
	number  int64
	started time.Time
	epoch   int64
	ranks   []memberView
	phase   Phase
	since   time.Time
	layout  Layout
	current Layout
	version int64
	pass    int64
	// lastPass is the highest pass that was named in this epoch. Passes are not
	// used twice, since an order about one may arrive late.
	lastPass int64
	// releasedPass is the highest pass that this leader has released. It does not
	// hold it again, since its order to release may be carried out once more.
	releasedPass int64
	// highest is the highest version that was seen or used.
	highest int64
	// held tells that the own hold is in force.
	held bool
	// holdTries counts the passes that could not be held.
	holdTries int
	// aborted is the highest version that the change that is taken back may have
	// armed.
	aborted int64
	// foreign is since when a hold of another leader was seen.
	foreign time.Time
	retired bool
	// ownHold tells that the pass that is taken over was held at the own rank.
	ownHold bool
	// Applied counts changes that took effect, Dropped those that did not.
	Applied, Dropped int
}

// memberView is what is known of one rank.
type memberView struct {
	report core.RankReport
	at     time.Time
	known  bool
	// retryAt is when an order without answer may be given again.
	retryAt time.Time
	// pending is set while an order to the rank waits for its result.
	pending bool
	// prepared, armed, disarmed, fenced and released tell which orders of the
	// change the rank has confirmed.
	prepared, armed, disarmed, fenced, released bool
	// mayBeArmed is a version that may be armed here: an order to arm it was sent
	// or another leader has armed it. lastArm is the last such version.
	mayBeArmed, lastArm int64
	// foreignHold is set when another leader held the pass here as this one took
	// it over. A hold that was seen later is not released: it may belong to a
	// further change, or to a leader that takes the same one back.
	foreignHold bool
	// refused is set when the rank refuses the higher version of PhaseFence. It
	// gets no order then until its next report.
	refused bool
	// refusals counts these refusals.
	refusals int
}

// AddressedOrder is an order to the engine of a rank.
type AddressedOrder struct {
	Rank  int
	Order core.RankOrder
}

// NewChangeCoordinator returns the state machine of the agent of one rank. Leaders that
// have different numbers never give one version to two maps.
func NewChangeCoordinator(self, size int, number int64, started time.Time) *ChangeCoordinator {
	return &ChangeCoordinator{self: self, size: size, number: number % versionStep, started: started, ranks: make([]memberView, size), epoch: -1}
}

// Phase returns the state of the change.
func (c *ChangeCoordinator) Phase() Phase { return c.phase }

// Epoch returns the epoch of the group.
func (c *ChangeCoordinator) Epoch() int64 { return c.epoch }

// Target returns the layout of the change that is under way.
func (c *ChangeCoordinator) Target() Layout { return c.layout }

// Version returns the version of the change that is under way or was last.
func (c *ChangeCoordinator) Version() int64 { return c.version }

// SetDraining tells whether this leader begins no further changes. One that is
// under way is ended.
func (c *ChangeCoordinator) SetDraining(r bool) { c.retired = r }

// SetCurrent tells the layout of the map in force.
func (c *ChangeCoordinator) SetCurrent(l Layout) { c.current = l }

// Current returns the layout of the map in force, or nil.
func (c *ChangeCoordinator) Current() Layout { return c.current }

// HandleReport takes the newest report of a rank.
func (c *ChangeCoordinator) HandleReport(rank int, r core.RankReport, now time.Time) {
	if rank < 0 || rank >= c.size || r.Place.Epoch < c.epoch {
		return
	}
	if r.Place.Epoch > c.epoch {
		c.reset(r.Place.Epoch, now)
	}
	v := &c.ranks[rank]
	v.report, v.at, v.known, v.refused = r, now, true, false
	c.highest = max(c.highest, r.Map, r.Prepared, r.Armed)
	c.lastPass = max(c.lastPass, r.HeldPass, r.ArmedPass)
}

// reset forgets everything: a group that forms anew has map 0, and nothing is
// prepared, armed or held.
func (c *ChangeCoordinator) reset(epoch int64, now time.Time) {
	if c.phase != PhaseIdle {
		c.Dropped++
	}
	c.epoch, c.ranks, c.current = epoch, make([]memberView, c.size), nil
	c.lastPass, c.releasedPass = 0, 0
	c.foreign = time.Time{}
	c.enter(PhaseIdle, now)
}

func (c *ChangeCoordinator) enter(p Phase, now time.Time) {
	c.phase, c.since = p, now
}

// Ready reports whether a change may begin: all ranks are open, report the same
// map and are at work, and nothing is armed or held.
func (c *ChangeCoordinator) Ready(now time.Time) bool {
	if c.phase != PhaseIdle || c.retired || c.current == nil {
		return false
	}
	busy := false
	for i := range c.ranks {
		v := &c.ranks[i]
		r := &v.report
		if !v.known || now.Sub(v.at) > reportAge || !v.at.After(c.since) || !r.Place.Open || r.Map != c.ranks[0].report.Map ||
			r.Armed != 0 || r.HeldPass >= 0 || v.pending {
			return false
		}
		busy = busy || r.Running > 0
	}
	return busy
}

// MeanRunningRequests returns the mean number of running requests of a rank.
func (c *ChangeCoordinator) MeanRunningRequests() float64 {
	n := 0
	for i := range c.ranks {
		n += c.ranks[i].report.Running
	}
	return float64(n) / float64(c.size)
}

// Propose begins a change to a layout. It reports false when none may begin.
func (c *ChangeCoordinator) Propose(next Layout, now time.Time) bool {
	if !c.Ready(now) {
		return false
	}
	c.layout = next
	c.version = c.nextVersion()
	c.held = false
	for i := range c.ranks {
		c.ranks[i] = memberView{report: c.ranks[i].report, at: c.ranks[i].at, known: true, retryAt: c.ranks[i].retryAt}
	}
	c.enter(PhasePrepare, now)
	return true
}

// nextVersion returns a version above all seen ones that no other leader uses.
func (c *ChangeCoordinator) nextVersion() int64 {
	c.highest = (c.highest/versionStep+1)*versionStep + c.number
	return c.highest
}

// newestPass is the highest pass that is known to have begun.
func (c *ChangeCoordinator) newestPass() int64 {
	p := int64(0)
	for i := range c.ranks {
		p = max(p, c.ranks[i].report.Pass)
	}
	return p
}
