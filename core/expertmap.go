package core

import (
	"context"
	"time"
)

// ExpertMap places the experts of every layer on ranks. Replicas[l][e] lists
// the ranks that hold expert e of layer l; the load of an expert is divided
// evenly among its replicas.
type ExpertMap struct {
	Version  int64     `json:"version"`
	Replicas [][][]int `json:"replicas"`
}

// StepGrant allows one rank to run the steps [FromStep, ToStep) with one map
// version.
type StepGrant struct {
	Group      string
	Generation int64
	Fence      int64
	FromStep   int64
	ToStep     int64
	MapVersion int64
}

// ExpertLoad holds the tokens routed to each expert of each layer in a window.
type ExpertLoad [][]float64

// ExpertWindow is the load of one closed window of steps, as reported by an
// engine. EndStep is the first step after the window; it is 0 until the first
// window closes.
type ExpertWindow struct {
	Incarnation string     `json:"incarnation"`
	EndStep     int64      `json:"end_step"`
	Tokens      ExpertLoad `json:"tokens"`
}

// ExpertLoadReader reads the newest closed window of an engine. The engine
// itself divides its steps into windows, so that a lost report does not affect
// the token counts of later ones.
type ExpertLoadReader interface {
	Experts(ctx context.Context) (ExpertWindow, error)
}

// Rebalancer decides whether a group adopts a new map.
type Rebalancer interface {
	// Plan takes the load of one more window and returns the map to use, and
	// whether it differs from the current one.
	Plan(current ExpertMap, load ExpertLoad, now time.Time) (ExpertMap, bool)
}

// Run is an order to run the steps [From, To) with one map version. An engine
// accepts it only if the generation matches and From equals its horizon; a run
// that it already has is ignored.
type Run struct {
	Generation int64 `json:"generation"`
	Fence      int64 `json:"fence"`
	From       int64 `json:"from"`
	To         int64 `json:"to"`
	MapVersion int64 `json:"map_version"`
}

// RankState is the state reported by the engine of a rank. Generation 0 means
// that it has never been started or has lost its state. Runs lists the newest
// runs that it has accepted, in order of steps.
type RankState struct {
	Incarnation string `json:"incarnation"`
	// Fencing reports that the engine stores the highest fence and rejects
	// orders with a lower one.
	Fencing        bool    `json:"fencing"`
	Fence          int64   `json:"fence"`
	Generation     int64   `json:"generation"`
	Stopped        bool    `json:"stopped"`
	Step           int64   `json:"step"`
	Horizon        int64   `json:"horizon"`
	MapVersion     int64   `json:"map_version"`
	LoadedVersions []int64 `json:"loaded_versions"`
	Runs           []Run   `json:"runs"`
}

// RankEngine controls the engine of one rank of a group. Only the agent next to
// the engine sends it orders. Methods return ErrStaleFence for a rejected
// fence, ErrConflict for an order that does not match the engine's state, and
// ErrUnavailable when the effect is unknown.
type RankEngine interface {
	State(ctx context.Context) (RankState, error)
	// Fence sends the highest fence to the engine. Engines without fencing ignore
	// it.
	Fence(ctx context.Context, fence int64) error
	// Load starts loading a map and returns before it is loaded.
	Load(ctx context.Context, fence int64, m ExpertMap) error
	// Map returns a loaded map. A restarted agent recovers its maps with it.
	Map(ctx context.Context, version int64) (ExpertMap, error)
	Run(ctx context.Context, r Run) error
	// Stop discards the steps that have not run, sets the generation and stops
	// the engine. The engine raises its horizon to horizon, unless it is higher
	// already.
	Stop(ctx context.Context, generation, fence, horizon int64) error
	// Start starts a stopped engine with the given step as its step and horizon.
	Start(ctx context.Context, generation, fence, step int64) error
}
