package gateway

import "time"

// routeLearningPeriod is how long the time for which callers of a route wait is not known
// from their requests. After a restart of all gateways, the first callers are
// those that come back.
const routeLearningPeriod = 2 * time.Second

// callerAges holds what is known of the callers of each route. A caller that comes
// back after a failure has less time left than at first.
type callerAges map[string]*routeTimeLeft

type routeTimeLeft struct {
	// max is the max time that a caller said it would wait.
	max       time.Duration
	firstSeen time.Time
}

// age returns how long ago the first attempt of a caller with this time left was
// made; 0 stands for a first attempt. On a new route callers are taken to wait
// as long as its timeout.
func (p callerAges) age(route string, left, timeout time.Duration, now time.Time) time.Duration {
	r := p[route]
	if r == nil {
		r = &routeTimeLeft{firstSeen: now}
		p[route] = r
	}
	r.max = max(r.max, left)
	if now.Sub(r.firstSeen) < routeLearningPeriod {
		return max(r.max, timeout) - left
	}
	return r.max - left
}
