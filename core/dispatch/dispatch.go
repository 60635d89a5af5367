// Package dispatch decides which backend server takes a request, how long a
// request waits for one and when it is rejected. It is pure: time and the load
// seen by other gateways are arguments.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// Limits of waiting and placing.
const (
	// queueFactor bounds the queue of a service in slots of its servers.
	queueFactor = 2
	// plainOverbooking lets plain servers hold this many requests more than
	// slots, so that a slot is not idle for a round trip.
	plainOverbooking = 1
	// minRetryAfter and maxRetryAfter bound what a rejected caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
	// shedRetryAfter is told to callers whose request servers have rejected
	// while others serve.
	shedRetryAfter = 200 * time.Millisecond
	// rateHalfLife is the half-life of the measured rate of completions.
	rateHalfLife = time.Second
	// peerLoadAge is how long the load stated by another gateway counts.
	peerLoadAge = time.Second
)

// service is the state of one service.
type service struct {
	name    string
	config  core.ServiceConfig
	servers map[string]*server
	order   []*server
	queue   []Request
	// rate is the measured rate of completions at this gateway, per second.
	rate     float64
	rateTime time.Time
	// groups holds the lock-step groups by name; servers without a group share
	// one.
	groups map[string]*group
}

// server is the state of one backend server.
type server struct {
	directory.Server
	requests int
	tokens   int64
	peers    map[string]peerLoad
	health   health
	// alone is the outage of an engine without a group.
	alone outage
	cold  coldLimit
	// heard is when a server with requests last showed an event, or got its
	// first request.
	heard time.Time
	// spoke tells that it showed an event since then.
	spoke bool
}

type peerLoad struct {
	requests int
	at       time.Time
}

// Dispatcher holds the state of all services. It is not safe for concurrent use.
type Dispatcher struct {
	domain   string
	services map[string]*service
	rnd      *rand.Rand
	gateways int
	engines  engines
}

// New returns a dispatcher for a gateway in a failure domain.
func New(domain string, seed uint64) *Dispatcher {
	return &Dispatcher{domain: domain, services: map[string]*service{}, rnd: rand.New(rand.NewPCG(seed, seed)), gateways: 1, engines: engines{}}
}

// SetGateways sets the number of gateways that share the servers.
func (d *Dispatcher) SetGateways(n int) { d.gateways = max(1, n) }

// SetServers replaces the servers and service settings.
func (d *Dispatcher) SetServers(dep *core.Deployment, list []directory.Server, now time.Time) {
	seen := map[string]bool{}
	for _, s := range d.services {
		s.order = nil
	}
	for _, item := range list {
		s := d.service(item.Service)
		seen[item.ID] = true
		sv := s.servers[item.ID]
		if sv == nil || sv.StartedUnixMS != item.StartedUnixMS || sv.Address != item.Address {
			sv = &server{Server: item, peers: map[string]peerLoad{}}
			s.servers[item.ID] = sv
			if e, ok := d.engines.newest(item.Address, now); ok && !e.open {
				s.outageOf(sv).begin(now)
			}
		}
		sv.Server = item
		s.order = append(s.order, sv)
	}
	for name, s := range d.services {
		if dep != nil {
			s.config = dep.Services[name]
		}
		for id, sv := range s.servers {
			if !seen[id] {
				sv.Usable = false
				delete(s.servers, id)
			}
		}
	}
}

func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, servers: map[string]*server{}, groups: map[string]*group{}}
		d.services[name] = s
	}
	return s
}

// SetPeerLoad notes how many requests another gateway has at its servers.
func (d *Dispatcher) SetPeerLoad(gateway string, requests map[string]int, now time.Time) {
	for _, s := range d.services {
		for id, sv := range s.servers {
			if n := requests[id]; n > 0 {
				sv.peers[gateway] = peerLoad{n, now}
			} else {
				delete(sv.peers, gateway)
			}
		}
	}
}

// LocalLoad returns the requests that this gateway has at each server.
func (d *Dispatcher) LocalLoad() map[string]int {
	out := map[string]int{}
	for _, s := range d.services {
		for id, sv := range s.servers {
			if sv.requests > 0 {
				out[id] = sv.requests
			}
		}
	}
	return out
}

// load is the number of requests at a server as far as this gateway knows.
func (sv *server) load(now time.Time) int {
	n := sv.requests
	for _, p := range sv.peers {
		if now.Sub(p.at) < peerLoadAge {
			n += p.requests
		}
	}
	return n
}

// limit is the number of requests that a server may hold.
func (s *service) limit(sv *server) int {
	if s.config.Engine != nil {
		return sv.Slots
	}
	return sv.Slots + plainOverbooking
}

// fullGroups returns the groups whose engines run as many requests together as
// their pauses allow.
func (s *service) fullGroups(e engines, now time.Time) map[string]bool {
	if s.config.Engine == nil {
		return nil
	}
	for _, g := range s.groups {
		g.requests, g.slots, g.servers, g.slowest = 0, 0, 0, 1
	}
	for _, sv := range s.order {
		g := s.group(sv)
		g.requests += sv.load(now)
		g.slots += sv.Slots
		g.servers++
		g.slowest = max(g.slowest, e.pace(sv.Address, now))
	}
	full := map[string]bool{}
	for name, g := range s.groups {
		if g.servers == 0 {
			continue
		}
		base := time.Duration(float64(s.config.Engine.BasePassTime) * g.slowest)
		g.pace.measure(g.requests, base, now)
		full[name] = g.requests >= g.pace.limit(g.servers, g.slots, base, now)
	}
	return full
}

// group is the state of one lock-step group. requests, slots, servers and
// slowest are sums over its servers, and the pace of the slowest one.
type group struct {
	motion                   motion
	outage                   outage
	pace                     pace
	requests, slots, servers int
	slowest                  float64
}

func (s *service) group(sv *server) *group {
	g := s.groups[sv.Place.Group]
	if g == nil {
		g = &group{}
		s.groups[sv.Place.Group] = g
	}
	return g
}

// choose returns the server for a request, or nil. full tells that servers
// exist that could take it later.
func (d *Dispatcher) choose(s *service, r Request, now time.Time) (best *server, full bool) {
	var fullGroups map[string]bool
	if !r.Resumed {
		fullGroups = s.fullGroups(d.engines, now)
	}
	bestScore := 0.0
	for _, sv := range s.order {
		if !sv.Usable || slices.Contains(r.Tried, sv.ID) {
			continue
		}
		if !sv.health.open(now) || !s.outageOf(sv).takes(r, now) {
			continue
		}
		load := sv.load(now)
		if fullGroups[sv.Place.Group] || load >= s.limit(sv) || !sv.cold.allows(sv.ColdUntil, s.config.ColdRequestsPerSecond/float64(d.gateways), now) {
			full = true
			continue
		}
		score := float64(load+1)/float64(sv.Slots)*d.engines.pace(sv.Address, now) + sv.health.penalty(now) + tieBreak*d.rnd.Float64()
		if sv.Domain != d.domain {
			score += domainPenalty
		}
		score += tokenWeight * float64(sv.tokens) / float64(max(1, sv.Slots)) / float64(max(1, r.Tokens))
		if best == nil || score < bestScore {
			best, bestScore = sv, score
		}
	}
	return best, full || best != nil
}

// Weights of the score, in units of a full server.
const (
	tieBreak      = 0.02
	domainPenalty = 0.01
	tokenWeight   = 0.05
)

func (d *Dispatcher) assign(s *service, sv *server, r Request, now time.Time) Verdict {
	v := Verdict{RequestID: r.ID, Server: sv.BackendServer, Load: sv.load(now), Waiting: len(s.queue)}
	if sv.requests == 0 {
		sv.heard, sv.spoke = now, false
	}
	sv.requests++
	sv.tokens += r.Tokens
	sv.cold.take(sv.ColdUntil, now)
	sv.health.sent(now)
	s.outageOf(sv).sent(now)
	return v
}

// Finished notes the end of a send to a server.
func (d *Dispatcher) Finished(name, serverID string, tokens int64, o Outcome, now time.Time) {
	s := d.service(name)
	if o == OutcomeServed {
		s.completed(now)
	}
	sv := s.servers[serverID]
	if sv == nil {
		return
	}
	sv.requests = max(0, sv.requests-1)
	sv.tokens = max(0, sv.tokens-tokens)
	sv.health.result(o, now)
	switch {
	case o == OutcomeServed:
		s.outageOf(sv).over()
	case o == OutcomeShed && s.config.Engine != nil:
		s.outageOf(sv).rejected(now)
	}
}

// RetryAfter returns when a caller should come back whose request was sent in
// vain: soon while some server serves, late when all are out of service, since
// callers return only a few times.
func (d *Dispatcher) RetryAfter(name string) time.Duration {
	s := d.service(name)
	for _, sv := range s.order {
		if sv.Usable && !sv.health.out() && !s.outageOf(sv).out() {
			return shedRetryAfter
		}
	}
	return maxRetryAfter
}
