package dispatch

import "time"

// maxEngineStatusAge is how long the status of an engine is valid. Its agent
// repeats the status every second while the engine is slow or its group does not
// serve.
const maxEngineStatusAge = 3 * time.Second

// engineStatus is the status of an engine as reported by its agent.
type engineStatus struct {
	// slowdown is the factor by which the engine is slower than normal.
	slowdown float64
	// groupServing reports that the group of the engine serves requests.
	groupServing bool
	at           time.Time
}

// engines holds the latest status of each engine by its address. A status may
// arrive before the engine is in the list of servers.
type engines struct {
	byAddress map[string]engineStatus
	// changes counts the statuses that were set.
	changes uint64
	// nextSweep is when expired statuses are removed next.
	nextSweep time.Time
}

func newEngines() engines { return engines{byAddress: map[string]engineStatus{}} }

func (e *engines) set(address string, n engineStatus) {
	if !n.at.Before(e.nextSweep) {
		e.nextSweep = n.at.Add(maxEngineStatusAge)
		for a, old := range e.byAddress {
			if n.at.Sub(old.at) > maxEngineStatusAge {
				delete(e.byAddress, a)
			}
		}
	}
	e.byAddress[address] = n
	e.changes++
}

func (e *engines) current(address string, now time.Time) (engineStatus, bool) {
	n, ok := e.byAddress[address]
	if ok && now.Sub(n.at) > maxEngineStatusAge {
		delete(e.byAddress, address)
		return engineStatus{}, false
	}
	return n, ok
}

func (e *engines) slowdown(address string, now time.Time) float64 {
	if n, ok := e.current(address, now); ok {
		return max(1, n.slowdown)
	}
	return 1
}

// SetEngineState sets the factor by which the engine at an address is slower
// than normal, and whether its group serves requests.
func (d *Dispatcher) SetEngineState(address string, slowdown float64, groupServing bool, now time.Time) {
	d.engines.set(address, engineStatus{slowdown, groupServing, now})
	for _, sv := range d.byAddress[address] {
		switch o := sv.outage(); {
		case groupServing:
			o.end()
		case !o.active():
			o.begin(now, d.probeSpread())
		}
	}
}
