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

// StepGrant lets one rank run the steps [FromStep, ToStep) with one map version.
type StepGrant struct {
	Group      string
	Generation int64
	Fence      int64
	FromStep   int64
	ToStep     int64
	MapVersion int64
}

// ExpertLoad is the tokens that each expert of each layer got in a window.
type ExpertLoad [][]float64

// ExpertWindow is the load of one closed window of steps, as an engine reports
// it. EndStep is the first step behind the window, 0 before the first one.
type ExpertWindow struct {
	Incarnation string     `json:"incarnation"`
	EndStep     int64      `json:"end_step"`
	Tokens      ExpertLoad `json:"tokens"`
}

// ExpertLoadReader reports the newest closed window of an engine. Windows are counted
// by the engine, so that a report that gets lost loses no tokens of a later one.
type ExpertLoadReader interface {
	Experts(ctx context.Context) (ExpertWindow, error)
}

// Rebalancer decides whether a group adopts a new map.
type Rebalancer interface {
	// Plan returns the map to use after seeing one more window of load, and
	// whether it differs from the current one.
	Plan(current ExpertMap, load ExpertLoad, now time.Time) (ExpertMap, bool)
}

// Run orders an engine to run the steps [From, To) with one map version. An
// engine takes it only when its generation matches and From is its horizon; a
// run that it already holds has no effect.
type Run struct {
	Generation int64 `json:"generation"`
	Fence      int64 `json:"fence"`
	From       int64 `json:"from"`
	To         int64 `json:"to"`
	MapVersion int64 `json:"map_version"`
}

// RankState is what the engine of a rank knows of itself. Generation 0 means
// that it has never been started or has lost its state. Runs lists the newest
// runs that it was ordered, in order of steps.
type RankState struct {
	Incarnation string `json:"incarnation"`
	// Fencing reports that the engine keeps the highest fence and refuses
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

// RankEngine is the engine of one rank of a group. Only the agent beside it
// gives it orders. ErrStaleFence reports a refused fence, ErrConflict an order
// that does not fit the engine's state, and ErrUnavailable an unknown effect.
type RankEngine interface {
	State(ctx context.Context) (RankState, error)
	// Fence tells the engine the highest fence. Engines without fencing ignore it.
	Fence(ctx context.Context, fence int64) error
	// Load starts loading a map and returns before it is loaded.
	Load(ctx context.Context, fence int64, m ExpertMap) error
	// Map returns a loaded map, so that an agent that has restarted knows it.
	Map(ctx context.Context, version int64) (ExpertMap, error)
	Run(ctx context.Context, r Run) error
	// Stop gives up the steps not yet run and enters a generation, stopped. The
	// engine reports horizon as its own from then on, unless its own is higher.
	Stop(ctx context.Context, generation, fence, horizon int64) error
	// Start sets step and horizon of a stopped engine.
	Start(ctx context.Context, generation, fence, step int64) error
}
