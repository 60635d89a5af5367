// Package dispatch decides which backend server takes a request, how long a
// request waits for one and when it is rejected. It does no I/O: the time and
// the load reported by other gateways are arguments.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// Limits of queues and server choice.
const (
	// maxQueuedPerSlot bounds the queue of a service per slot of its servers.
	maxQueuedPerSlot = 2
	// plainExtraRequests is how many requests more than its slots a plain server
	// may hold, so that a free slot is not idle for a round trip.
	plainExtraRequests = 1
	// minRetryAfter and maxRetryAfter bound the Retry-After of rejections.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
	// shedRetryAfter is the Retry-After when servers have rejected a request
	// while others serve.
	shedRetryAfter = 200 * time.Millisecond
	// completionRateHalfLife is the half-life of the measured completion rate.
	completionRateHalfLife = time.Second
	// maxPeerLoadAge is how long a load report of another gateway is valid.
	maxPeerLoadAge = time.Second
	// unlistedTime is how long the state of a server is kept after it has left the list,
	// and longer while it has requests or its pause lasts.
	unlistedTime = 30 * time.Second
)

// service is the state of one service.
type service struct {
	name       string
	config     core.ServiceConfig
	servers    map[string]*server
	serverList []*server
	queue      []Request
	// completionRate is the measured rate of completions at this gateway, per
	// second, at completionRateAt.
	completionRate   float64
	completionRateAt time.Time
	// groups holds the lock-step groups by name. Servers without a group share
	// the group with the empty name.
	groups map[string]*group
}

// server is the state of one backend server.
type server struct {
	directory.Server
	requests int
	tokens   int64
	peers    map[string]peerLoad
	health   health
	// ownOutage is the outage of a server without a group.
	ownOutage outage
	cold      coldLimit
	pause     pause
	// unlistedSince is when the server left the list, or zero while it is listed.
	unlistedSince time.Time
	// lastEvent is the time of the last stream event of a server with requests,
	// or of its first request.
	lastEvent time.Time
	// hasSentEvent reports that the server has sent an event since its first
	// request.
	hasSentEvent bool
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

// New returns a dispatcher for a gateway in a failure domain. Equal seeds give
// equal choices.
func New(domain string, seed uint64) *Dispatcher {
	return &Dispatcher{domain: domain, services: map[string]*service{}, rnd: rand.New(rand.NewPCG(seed, seed)), gateways: 1, engines: engines{}}
}

// SetGateways sets the number of gateways that share the servers.
func (d *Dispatcher) SetGateways(n int) { d.gateways = max(1, n) }

// SetServers replaces the servers, and the service settings unless dep is nil.
// A server keeps its state unless it has restarted or changed its address, also if it
// leaves the list for a time: the same process may be listed again.
func (d *Dispatcher) SetServers(dep *core.Deployment, list []directory.Server, now time.Time) {
	seen := map[string]bool{}
	for _, s := range d.services {
		s.serverList = nil
	}
	for _, item := range list {
		s := d.service(item.Service)
		seen[item.ID] = true
		sv := s.servers[item.ID]
		if sv == nil || sv.StartedUnixMS != item.StartedUnixMS || sv.Address != item.Address {
			sv = &server{Server: item, peers: map[string]peerLoad{}}
			s.servers[item.ID] = sv
			if e, ok := d.engines.current(item.Address, now); ok && !e.groupServing {
				s.outageOf(sv).begin(now)
			}
		}
		sv.Server, sv.unlistedSince = item, time.Time{}
		s.serverList = append(s.serverList, sv)
	}
	for name, s := range d.services {
		if dep != nil {
			s.config = dep.Services[name]
		}
		for id, sv := range s.servers {
			if !seen[id] && sv.forget(now) {
				delete(s.servers, id)
			}
		}
	}
}

// forget marks a server as not listed, and reports whether its state is no longer needed.
func (sv *server) forget(now time.Time) bool {
	sv.Usable = false
	if sv.unlistedSince.IsZero() {
		sv.unlistedSince = now
	}
	return sv.requests == 0 && !sv.pause.active(now) && now.Sub(sv.unlistedSince) >= unlistedTime
}

func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, servers: map[string]*server{}, groups: map[string]*group{}}
		d.services[name] = s
	}
	return s
}

// SetPeerLoad sets the number of requests that another gateway has at each
// server.
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

// LocalLoad returns the number of requests that this gateway has at each server.
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

// load returns the number of requests at a server that this gateway knows of,
// including those reported by other gateways.
func (sv *server) load(now time.Time) int {
	n := sv.requests
	for _, p := range sv.peers {
		if now.Sub(p.at) < maxPeerLoadAge {
			n += p.requests
		}
	}
	return n
}

// limit returns the number of requests that a server may hold.
func (s *service) limit(sv *server) int {
	if s.config.Engine != nil {
		return sv.Slots
	}
	return sv.Slots + plainExtraRequests
}

// fullGroups reports for each group whether its engines run as many requests as
// its concurrency limit allows.
func (s *service) fullGroups(e engines, now time.Time) map[string]bool {
	if s.config.Engine == nil {
		return nil
	}
	for _, g := range s.groups {
		g.requests, g.slots, g.servers, g.maxSlowdown = 0, 0, 0, 1
	}
	for _, sv := range s.serverList {
		g := s.group(sv)
		g.requests += sv.load(now)
		g.slots += sv.Slots
		g.servers++
		g.maxSlowdown = max(g.maxSlowdown, e.slowdown(sv.Address, now))
	}
	full := map[string]bool{}
	for name, g := range s.groups {
		if g.servers == 0 {
			continue
		}
		base := time.Duration(float64(s.config.Engine.BasePassTime) * g.maxSlowdown)
		g.limiter.measure(g.requests, base, now)
		full[name] = g.requests >= g.limiter.limit(g.servers, g.slots, base, now)
	}
	return full
}

// group is the state of one lock-step group. requests, slots and servers are
// totals over its servers, and maxSlowdown is the slowdown of the slowest one.
type group struct {
	activity                 groupActivity
	outage                   outage
	limiter                  concurrencyLimiter
	requests, slots, servers int
	maxSlowdown              float64
}

func (s *service) group(sv *server) *group {
	g := s.groups[sv.Place.Group]
	if g == nil {
		g = &group{}
		s.groups[sv.Place.Group] = g
	}
	return g
}

// choose returns the server for a request, or nil. full reports that some servers could
// take it later. opens is when the first pause of a server ends that could take it then,
// or zero if there is none.
func (d *Dispatcher) choose(s *service, r Request, now time.Time) (best *server, full bool, opens time.Time) {
	var fullGroups map[string]bool
	if !r.Resumed {
		fullGroups = s.fullGroups(d.engines, now)
	}
	bestScore := 0.0
	for _, sv := range s.serverList {
		if !sv.Usable || slices.Contains(r.Tried, sv.ID) {
			continue
		}
		if !sv.health.available(now) || !s.outageOf(sv).admits(r, now) {
			continue
		}
		if sv.pause.active(now) {
			if opens.IsZero() || sv.pause.until.Before(opens) {
				opens = sv.pause.until
			}
			continue
		}
		load := sv.load(now)
		if sv.pause.full(sv.requests) || fullGroups[sv.Place.Group] || load >= s.limit(sv) || !sv.cold.allows(sv.ColdUntil, s.config.ColdRequestsPerSecond/float64(d.gateways), now) {
			full = true
			continue
		}
		score := float64(load+1)/float64(sv.Slots)*d.engines.slowdown(sv.Address, now) + sv.health.penalty(now) + sv.pause.penalty(now) + tieBreakWeight*d.rnd.Float64()
		if sv.Domain != d.domain {
			score += domainPenalty
		}
		score += tokenWeight * float64(sv.tokens) / float64(max(1, sv.Slots)) / float64(max(1, r.Tokens))
		if best == nil || score < bestScore {
			best, bestScore = sv, score
		}
	}
	return best, full || best != nil, opens
}

// Weights of the score; 1 is the load of a full server.
const (
	tieBreakWeight = 0.02
	domainPenalty  = 0.01
	tokenWeight    = 0.05
)

func (d *Dispatcher) assign(s *service, sv *server, r Request, now time.Time) Decision {
	v := Decision{RequestID: r.ID, Server: sv.BackendServer, Load: sv.load(now), Waiting: len(s.queue)}
	if sv.requests == 0 {
		sv.lastEvent, sv.hasSentEvent = now, false
	}
	sv.requests++
	sv.tokens += r.Tokens
	sv.cold.take(sv.ColdUntil, now)
	sv.health.sent(now)
	s.outageOf(sv).sent(now)
	return v
}

// process returns the state of a process of a server, or nil if it is not known or another
// process has taken the server's id.
func (s *service) process(b core.BackendServer) *server {
	if sv := s.servers[b.ID]; sv != nil && sv.StartedUnixMS == b.StartedUnixMS {
		return sv
	}
	return nil
}

// Finished records the end of a send to a server.
func (d *Dispatcher) Finished(name string, b core.BackendServer, tokens int64, o Outcome, now time.Time) {
	s := d.service(name)
	replied := o == OutcomeServed || o == OutcomeUnverified
	if replied {
		s.completed(now)
	}
	sv := s.process(b)
	if sv == nil {
		return
	}
	sv.requests = max(0, sv.requests-1)
	sv.tokens = max(0, sv.tokens-tokens)
	sv.health.record(o, now)
	switch {
	case replied:
		s.outageOf(sv).end()
		sv.pause.replied(sv.Slots, now)
	case o == OutcomeShed && s.config.Engine != nil:
		s.outageOf(sv).rejected(now)
	}
}

// RetryAfter returns the Retry-After for a request that no server has served.
// It is short while some server serves. When all are paused, it ends with the first
// pause. It is long when all are out of service, since callers retry only a few times.
func (d *Dispatcher) RetryAfter(name string, now time.Time) time.Duration {
	s := d.service(name)
	if opens := s.opensAt(now); !opens.IsZero() {
		return max(minRetryAfter, opens.Sub(now))
	}
	for _, sv := range s.serverList {
		if sv.Usable && !sv.health.excluded() && !s.outageOf(sv).active() {
			return shedRetryAfter
		}
	}
	return maxRetryAfter
}
