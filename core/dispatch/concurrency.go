package dispatch

import (
	"slices"
	"time"
)

// Settings of the concurrency limit of lock-step engines.
const (
	// paceTarget is the share of the longest pause on time that passes are held
	// to. A pass that takes longer makes all running streams late at once.
	paceTarget = 0.75
	// lateTarget is the bound for a group whose slowest engine makes every pause
	// too long, in units of the longest pause on time. Streams are late then in
	// any case, and have to end before their callers give up.
	lateTarget = 2.0
	// paceWindow is how long pauses count, and paceSamples how many are needed.
	paceWindow  = 200 * time.Millisecond
	paceSamples = 5
	// stallPause is the pause from which on a group stalls. It says nothing of
	// the time that passes take.
	stallPause = 600 * time.Millisecond
	// leastPerServer is the least number of requests for each server.
	leastPerServer = 2
)

// pace bounds the requests of a lock-step group by the pauses that its streams
// show. A pass takes a fixed time and a time for each request that any rank
// runs. The latter grows with the skew of the expert map, so it is measured.
type pace struct {
	pauses []pauseSample
	most   time.Duration
	// perRequest is the measured time that one request adds to a pass.
	perRequest time.Duration
}

type pauseSample struct {
	pause time.Duration
	at    time.Time
}

// observe notes one pause; most is the longest one on time.
func (p *pace) observe(pause, most time.Duration, now time.Time) {
	if most <= 0 || pause > stallPause {
		return
	}
	p.most = most
	p.pauses = append(p.pauses, pauseSample{pause, now})
}

// measure takes the median of the newest pauses, with the number of requests
// that run now and the time of a pass without requests.
func (p *pace) measure(requests int, base time.Duration, now time.Time) {
	i := 0
	for i < len(p.pauses) && now.Sub(p.pauses[i].at) > paceWindow {
		i++
	}
	p.pauses = p.pauses[i:]
	if len(p.pauses) < paceSamples || requests == 0 {
		return
	}
	sorted := make([]time.Duration, len(p.pauses))
	for i, s := range p.pauses {
		sorted[i] = s.pause
	}
	slices.Sort(sorted)
	p.perRequest = max(time.Microsecond, (sorted[len(sorted)/2]-base)/time.Duration(requests))
}

// limit returns the number of requests that the servers may run together.
func (p *pace) limit(servers, slots int, base time.Duration, now time.Time) int {
	if p.perRequest == 0 {
		return slots
	}
	target := paceTarget
	if base > time.Duration(paceTarget*float64(p.most)) {
		target = lateTarget
	}
	room := time.Duration(target*float64(p.most)) - base
	return min(slots, max(leastPerServer*servers, int(room/p.perRequest)))
}
