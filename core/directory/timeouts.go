package directory

import (
	"time"

	"nutmegnotch/core"
)

// keepUnlimited is how long a route's time without a timeout is remembered. It exceeds the
// time for which callers wait.
const keepUnlimited = 10 * time.Minute

// Timeouts holds the timeouts of the routes in force and those before that requests in
// progress may still use. It is immutable.
type Timeouts struct {
	routes *Routes
	byName map[string]routeTimeouts
}

// routeTimeouts holds the timeouts of a route. A timeout of 0 or less is none.
type routeTimeouts struct {
	current time.Duration
	// listed is set if the route is in the version in force.
	listed bool
	// past holds earlier timeouts, oldest first. A timeout that a later one reaches is left
	// out, so that each one is shorter than the one before.
	past []pastTimeout
}

// pastTimeout is a timeout that was in force until a time.
type pastTimeout struct {
	timeout time.Duration
	until   time.Time
}

// Next returns the timeouts after a version of the configuration has come into force. The
// receiver may be nil.
func (t *Timeouts) Next(d *core.Deployment, routes *Routes, now time.Time) *Timeouts {
	next := &Timeouts{routes: routes, byName: make(map[string]routeTimeouts, len(d.Routes))}
	for _, r := range d.Routes {
		next.byName[r.Name] = routeTimeouts{current: r.Timeout, listed: true}
	}
	if t == nil {
		return next
	}
	for name, old := range t.byName {
		r := next.byName[name]
		if r.past = old.pastAt(r, now); len(r.past) > 0 {
			next.byName[name] = r
		}
	}
	return next
}

// pastAt returns the timeouts that are past when next comes into force and that requests in
// progress may use.
func (r routeTimeouts) pastAt(next routeTimeouts, now time.Time) []pastTimeout {
	var out []pastTimeout
	for _, p := range r.past {
		kept := p.timeout
		if kept <= 0 {
			kept = keepUnlimited
		}
		if now.Before(p.until.Add(kept)) && !r.reaches(p.timeout) && !next.reaches(p.timeout) {
			out = append(out, p)
		}
	}
	if r.listed && !next.reaches(r.current) {
		out = append(out, pastTimeout{r.current, now})
	}
	return out
}

// reaches reports whether the timeout in force is at least as long as another one.
func (r routeTimeouts) reaches(timeout time.Duration) bool {
	return r.listed && !longer(timeout, r.current)
}

// Longest returns the longest timeout of a route that was in force since a request arrived,
// and 0 if there was none. Versions that came into force meanwhile may have renamed the route
// that matches the request, or removed it.
func (t *Timeouts) Longest(r core.Route, host, path string, arrived time.Time) time.Duration {
	longest := max(0, r.Timeout)
	extend := func(d time.Duration) {
		if longer(d, longest) {
			longest = max(0, d)
		}
	}
	add := func(list routeTimeouts) {
		if list.listed {
			extend(list.current)
		}
		for _, p := range list.past {
			if p.until.After(arrived) {
				extend(p.timeout)
			}
		}
	}
	own := t.byName[r.Name]
	add(own)
	if own.listed {
		return longest
	}
	if match, ok := t.routes.Find(host, path); ok {
		add(t.byName[match.Name])
	}
	return longest
}

// longer reports whether timeout a is longer than b.
func longer(a, b time.Duration) bool { return b > 0 && (a <= 0 || a > b) }
