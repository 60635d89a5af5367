// Package expertmap decides how the ranks of a group agree on one expert map
// per step, and which map a group uses. Rank and Leader are state machines
// without I/O; messages are passed to them and returned by them.
package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// Sizes of grants, in steps.
const (
	// GrantSteps is the length of a new grant.
	GrantSteps = 64
	// renewSteps is the number of steps left at which a grant is renewed.
	renewSteps = GrantSteps / 2
	// restartGap is the distance of a new generation from the highest known
	// horizon. No rank can have been granted more than GrantSteps+renewSteps
	// beyond the step that all ranks have reached, so the gap also covers the
	// grants of a rank that has lost its state.
	restartGap = 2 * GrantSteps
	// recentGrants is how many grants a rank remembers for Collect.
	recentGrants = 32
)

// Times of the leader.
const (
	resendAfter    = 300 * time.Millisecond
	heartbeatAfter = time.Second
	leaderSilence  = 3 * time.Second
	candidateGap   = 200 * time.Millisecond
)

// Collect asks a rank for its state and raises its fence.
type Collect struct {
	Fence int64
}

// CollectAnswer is the state of a rank.
type CollectAnswer struct {
	Rank         int
	Fence        int64
	HighestFence int64
	Generation   int64
	Horizon      int64
	Recent       []core.StepGrant
	Loaded       []int64
	StateLost    bool
	Stopped      bool
}

// GrantAck answers a grant.
type GrantAck struct {
	Rank         int
	Accepted     bool
	Horizon      int64
	HighestFence int64
	Generation   int64
	StateLost    bool
}

// LoadMap orders a rank to load a map.
type LoadMap struct {
	Fence   int64
	Version int64
}

// LoadAck tells whether a rank has loaded a map.
type LoadAck struct {
	Rank         int
	Version      int64
	Loaded       bool
	HighestFence int64
	StateLost    bool
}

// Stop ends the generation that a rank runs. Horizon is the highest horizon
// that the leader knows, so that ranks remember it for those that lost theirs.
type Stop struct {
	Fence      int64
	Generation int64
	Horizon    int64
}

// StopAck answers a Stop.
type StopAck struct {
	Rank         int
	Stopped      bool
	Generation   int64
	Horizon      int64
	HighestFence int64
	Loaded       []int64
}

// Begin lets a stopped rank take grants of a generation from a step.
type Begin struct {
	Fence      int64
	Generation int64
	Step       int64
}

// BeginAck answers a Begin.
type BeginAck struct {
	Rank         int
	Begun        bool
	Generation   int64
	HighestFence int64
	StateLost    bool
}
