// Package expertmap places the experts of a lock-step group on its ranks and
// switches the group from one map to another so that no two ranks ever use
// different maps in one step or pass.
//
// There are two protocols. Leader and Rank grant ranges of steps with a map
// version under a fencing token. ChangeCoordinator switches the map of engines
// that work in passes: it holds a pass, arms the new map on every rank and
// releases the pass. All of them are state machines without I/O: the caller
// passes messages and results in and sends what they return.
package expertmap

import (
	"time"

	"nutmegnotch/core"
)

// Sizes of grants and of the gap between generations.
const (
	// GrantSteps is the length of a new grant.
	GrantSteps = 64
	// renewThresholdSteps is the number of granted steps left at which the leader
	// appends the next grant.
	renewThresholdSteps = GrantSteps / 2
	// generationGapSteps is the distance from the highest known horizon to the
	// first step of a new generation. No rank can hold grants for more than
	// GrantSteps+renewThresholdSteps beyond the step that all ranks have reached,
	// so the gap also covers the grants of a rank that has lost its state.
	generationGapSteps = 2 * GrantSteps
	// maxRecentGrants is the number of grants that a rank keeps for CollectAnswer.
	maxRecentGrants = 32
)

// Timing of the leader and of elections.
const (
	// resendInterval is the time after which an unanswered message is sent again.
	resendInterval    = 300 * time.Millisecond
	heartbeatInterval = time.Second
	// leaderTimeout is the time without a message of the leader after which
	// another rank may become a candidate.
	leaderTimeout = 3 * time.Second
	// candidateStagger is the additional delay for each rank number, so that
	// ranks do not become candidates at the same time.
	candidateStagger = 200 * time.Millisecond
)

// Collect asks a rank for its state and raises its fence to Fence.
type Collect struct {
	Fence int64
}

// CollectAnswer answers a Collect with the state of the rank. Only Rank, Fence
// and HighestFence are set when the rank refuses the fence.
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

// GrantAck answers a core.StepGrant. Horizon is the first step that is not
// granted to the rank.
type GrantAck struct {
	Rank         int
	Accepted     bool
	Horizon      int64
	HighestFence int64
	Generation   int64
	StateLost    bool
}

// LoadMap tells a rank to load a map.
type LoadMap struct {
	Fence   int64
	Version int64
}

// LoadAck answers a LoadMap and reports whether the engine has loaded the map.
type LoadAck struct {
	Rank         int
	Version      int64
	Loaded       bool
	HighestFence int64
	StateLost    bool
}

// Stop ends the generation that a rank runs and enters Generation. Horizon is
// the highest horizon that the leader knows. Every rank stores it, so that it
// survives on the others when a rank loses its state.
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

// Begin lets a stopped rank accept grants of Generation, starting at Step.
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
