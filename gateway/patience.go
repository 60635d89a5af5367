package gateway

import "time"

// newRoute is how long the time for which callers of a route wait is not known
// from their requests. After a restart of all gateways, the first callers are
// those that come back.
const newRoute = 2 * time.Second

// patience holds what is known of the callers of each route. A caller that comes
// back after a failure has less time left than at first.
type patience map[string]*routePatience

type routePatience struct {
	// longest is the longest time that a caller said it would wait.
	longest time.Duration
	since   time.Time
}

// age returns how long ago the first attempt of a caller with this time left was
// made; 0 stands for a first attempt. On a new route callers are taken to wait
// as long as its timeout.
func (p patience) age(route string, left, timeout time.Duration, now time.Time) time.Duration {
	r := p[route]
	if r == nil {
		r = &routePatience{since: now}
		p[route] = r
	}
	r.longest = max(r.longest, left)
	if now.Sub(r.since) < newRoute {
		return max(r.longest, timeout) - left
	}
	return r.longest - left
}
