package runner

import (
	"sync"
	"time"
)

// Group is a lock-step group of Runners: when one of them crashes, the others break off
// all their requests and reject new ones, until it has started again and FormTime has
// passed. It is safe for concurrent use.
type Group struct {
	FormTime time.Duration
	mu       sync.Mutex
	members  map[*Runner]bool
	down     int
	opensAt  time.Time
}

// started adds a Runner.
func (g *Group) started(r *Runner) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil {
		g.members = map[*Runner]bool{}
	}
	g.members[r] = true
	if g.down > 0 {
		g.down--
		g.opensAt = time.Now().Add(g.FormTime)
	}
}

// crashed removes a Runner that has crashed and interrupts the others.
func (g *Group) crashed(r *Runner) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, r)
	g.down++
	for m := range g.members {
		m.resetConnections()
	}
}

// stopped reports whether the group takes no requests.
func (g *Group) stopped() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down > 0 || time.Now().Before(g.opensAt)
}

func (r *Runner) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}
