package core

import "time"

// ExpertMap places the experts of every layer on ranks. Replicas[l][e] lists
// the ranks that hold expert e of layer l; the load of an expert is divided
// evenly among its replicas.
type ExpertMap struct {
	Version  int64
	Replicas [][][]int
}

// Grant lets one rank run the steps [FromStep, ToStep) with one map version.
type Grant struct {
	Group      string
	Generation int64
	Fence      int64
	FromStep   int64
	ToStep     int64
	MapVersion int64
}

// ExpertLoad is the tokens that each expert of each layer got in a window.
type ExpertLoad [][]float64

// Rebalancer decides whether a group adopts a new map.
type Rebalancer interface {
	// Plan returns the map to use after seeing one more window of load, and
	// whether it differs from the current one.
	Plan(current ExpertMap, load ExpertLoad, now time.Time) (ExpertMap, bool)
}
