package gateway

import "time"

// routeLearningPeriod is the time after the first request of a route during which
// its requests do not tell how long its callers wait. After a restart of all
// gateways, the first requests are retries by callers that failed before, which
// have less time left than at their first attempt.
const routeLearningPeriod = 2 * time.Second

// longestPeriod is how long the longest time left that a caller has stated counts, and up
// to twice as long. One caller that waits for much longer than the others would else make
// all of them look like retries for good.
const longestPeriod = 10 * time.Second

// callerAges estimates how long ago a caller made its first attempt, by route. A
// caller that retries after a failure has less time left than at its first
// attempt.
type callerAges map[string]*routeTimeLeft

type routeTimeLeft struct {
	// longest is the longest time left that a caller has stated since begun, and before the
	// longest one in the period before that.
	longest, before time.Duration
	begun           time.Time
	firstSeen       time.Time
}

// age returns how long ago a caller with this time left made its first attempt;
// 0 means that this is the first attempt. During the learning period of a route,
// callers are assumed to wait at least for its timeout.
func (p callerAges) age(route string, left, timeout time.Duration, now time.Time) time.Duration {
	r := p[route]
	if r == nil {
		r = &routeTimeLeft{firstSeen: now, begun: now}
		p[route] = r
	}
	if age := now.Sub(r.begun); age >= longestPeriod {
		r.before, r.longest, r.begun = r.longest, 0, now
		if age >= 2*longestPeriod {
			r.before = 0
		}
	}
	r.longest = max(r.longest, left)
	longest := max(r.longest, r.before)
	if now.Sub(r.firstSeen) < routeLearningPeriod {
		longest = max(longest, timeout)
	}
	return longest - left
}
