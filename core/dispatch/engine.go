package dispatch

import "time"

// engineAge is how long the news of an engine counts. It is repeated every second
// while the engine is slow or its group does not serve.
const engineAge = 3 * time.Second

// engineNews is what the agent beside an engine said of it.
type engineNews struct {
	// pace is how many times slower than usual the engine works.
	pace float64
	// open tells that the group serves.
	open bool
	at   time.Time
}

// engines holds the newest news of each engine by its address. News may come
// before the engine is in the list of servers.
type engines map[string]engineNews

func (e engines) newest(address string, now time.Time) (engineNews, bool) {
	n, ok := e[address]
	if ok && now.Sub(n.at) > engineAge {
		delete(e, address)
		return engineNews{}, false
	}
	return n, ok
}

func (e engines) pace(address string, now time.Time) float64 {
	if n, ok := e.newest(address, now); ok {
		return max(1, n.pace)
	}
	return 1
}

// SetEngineState notes how many times slower than usual the engine at an address
// works, and whether its group serves.
func (d *Dispatcher) SetEngineState(address string, pace float64, open bool, now time.Time) {
	d.engines[address] = engineNews{pace, open, now}
	for _, s := range d.services {
		for _, sv := range s.order {
			if sv.Address != address {
				continue
			}
			switch o := s.outageOf(sv); {
			case open:
				o.over()
			case !o.out():
				o.begin(now)
			}
		}
	}
}
