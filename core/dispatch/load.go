package dispatch

import "time"

// Validity of the load that other gateways report.
const (
	// minPeerLoadAge is how long a report is valid at least. Gateways report less often
	// the more of them there are.
	minPeerLoadAge = time.Second
	// peerLoadIntervals is for how many intervals of reports one is valid.
	peerLoadIntervals = 3
	// peerExpiryInterval is the interval at which expired reports are removed.
	peerExpiryInterval = 20 * time.Millisecond
)

// peerLoads holds the newest report of each other gateway, and their totals.
type peerLoads struct {
	reports map[string]peerReport
	// totals is the number of requests by server id.
	totals map[string]int
	// interval is that of the reports, and maxAge how long one is valid.
	interval, maxAge time.Duration
	nextExpiry       time.Time
}

// peerReport is the number of requests that a gateway has at each server, by id.
type peerReport struct {
	requests map[string]int
	at       time.Time
}

func newPeerLoads() peerLoads {
	return peerLoads{reports: map[string]peerReport{}, totals: map[string]int{}, maxAge: minPeerLoadAge}
}

// SetPeerLoad sets the number of requests that another gateway has at each server. It
// keeps the map.
func (d *Dispatcher) SetPeerLoad(gateway string, requests map[string]int, now time.Time) {
	old := d.peers.reports[gateway].requests
	for id, n := range old {
		if m := requests[id]; m != n {
			d.addPeerRequests(id, m-n)
		}
	}
	for id, n := range requests {
		if _, ok := old[id]; !ok && n != 0 {
			d.addPeerRequests(id, n)
		}
	}
	d.peers.reports[gateway] = peerReport{requests, now}
}

// SetReportInterval sets the interval at which gateways report their load.
func (d *Dispatcher) SetReportInterval(interval time.Duration) {
	d.peers.interval, d.peers.maxAge = interval, max(minPeerLoadAge, peerLoadIntervals*interval)
}

// expirePeerLoad removes the reports of gateways that have sent none for too long.
func (d *Dispatcher) expirePeerLoad(now time.Time) {
	if now.Before(d.peers.nextExpiry) {
		return
	}
	d.peers.nextExpiry = now.Add(peerExpiryInterval)
	for gateway, r := range d.peers.reports {
		if now.Sub(r.at) < d.peers.maxAge {
			continue
		}
		for id, n := range r.requests {
			d.addPeerRequests(id, -n)
		}
		delete(d.peers.reports, gateway)
	}
}

// addPeerRequests adds to the requests of other gateways at a server, which may not be
// listed.
func (d *Dispatcher) addPeerRequests(id string, n int) {
	d.peers.totals[id] += n
	if d.peers.totals[id] == 0 {
		delete(d.peers.totals, id)
	}
	if sv := d.listed[id]; sv != nil {
		sv.peerRequests += n
		sv.group.requests += n
	}
}

// addRequests adds to the requests of this gateway at a server.
func (d *Dispatcher) addRequests(sv *server, n int) {
	sv.requests += n
	if d.listed[sv.ID] == sv {
		sv.group.requests += n
	}
	if sv.requests > 0 {
		d.busy[sv] = true
	} else {
		delete(d.busy, sv)
	}
}

// load returns the number of requests at a server that this gateway knows of,
// including those reported by other gateways.
func (sv *server) load() int { return sv.requests + sv.peerRequests }

// LocalLoad returns the number of requests that this gateway has at each server.
func (d *Dispatcher) LocalLoad() map[string]int {
	out := make(map[string]int, len(d.busy))
	for sv := range d.busy {
		if d.service(sv.Service).servers[sv.ID] == sv {
			out[sv.ID] = sv.requests
		}
	}
	return out
}
