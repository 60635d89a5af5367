package dispatch

import "time"

// slowdownInterval is how long the slowdown of a group's slowest engine is used before
// it is looked up again. Statuses of engines expire with time.
const slowdownInterval = 100 * time.Millisecond

// group is the state of one lock-step group. Servers without a group share the group
// with the empty name.
type group struct {
	activity groupActivity
	outage   outage
	limiter  concurrencyLimiter
	// firstEvents tells how long the engines take until their first event.
	firstEvents firstEvents
	// servers are the listed servers, and requests and slots their totals.
	servers         []*server
	requests, slots int
	// slowdown is that of the slowest engine at slowdownAt, after slowdownChanges
	// statuses of engines.
	slowdown        float64
	slowdownAt      time.Time
	slowdownChanges uint64
	// full is the result of the last check of the concurrency limit, which was for the
	// choice fullChoice.
	full       bool
	fullChoice uint64
}

func (s *service) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	return g
}

// clearGroups removes the servers of all groups.
func (s *service) clearGroups() {
	for _, g := range s.groups {
		g.servers, g.requests, g.slots, g.slowdownAt = nil, 0, 0, time.Time{}
	}
}

// add adds a listed server.
func (g *group) add(sv *server) {
	g.servers = append(g.servers, sv)
	g.requests += sv.load()
	g.slots += sv.Slots
}

// groupFull reports whether the engines of a server's group run as many requests as its
// concurrency limit allows. It looks once for each choice.
func (d *Dispatcher) groupFull(s *service, g *group, now time.Time) bool {
	if s.config.Engine == nil {
		return false
	}
	if g.fullChoice == d.choices {
		return g.full
	}
	g.fullChoice = d.choices
	base := time.Duration(float64(s.config.Engine.BasePassTime) * d.groupSlowdown(g, now))
	g.limiter.measure(g.requests, base, now)
	g.full = g.requests >= g.limiter.limit(len(g.servers), g.slots, base, now)
	return g.full
}

// groupSlowdown returns the slowdown of the slowest engine of a group.
func (d *Dispatcher) groupSlowdown(g *group, now time.Time) float64 {
	if g.slowdownChanges == d.engines.changes && now.Sub(g.slowdownAt) < slowdownInterval {
		return g.slowdown
	}
	g.slowdown, g.slowdownAt, g.slowdownChanges = 1, now, d.engines.changes
	for _, sv := range g.servers {
		g.slowdown = max(g.slowdown, d.engines.slowdown(sv.Address, now))
	}
	return g.slowdown
}
