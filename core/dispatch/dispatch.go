// Package dispatch decides which backend server takes a request, how long a
// request waits for one and when it is rejected. It does no I/O: the time and
// the load reported by other gateways are arguments.
package dispatch

import (
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/ratelimit"
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
	// slots is the total of the usable servers.
	slots int
	queue []Request
	// completionRate is the measured rate of completions at this gateway, per
	// second, at completionRateAt.
	completionRate   float64
	completionRateAt time.Time
	// limited reports that the last waiting request that was looked at waits for permits
	// of servers with rate limits only. permits measures those that it has got, and
	// nextReturn is when the last of the callers that it turned away should return.
	limited bool
	permits permitRate
	// holding reports that all waiting requests wait for the home of a rate limit to answer
	// only, so that others need not wait behind them.
	holding    bool
	nextReturn time.Time
	// groups holds the lock-step groups by name. Servers without a group share
	// the group with the empty name.
	groups map[string]*group
}

// server is the state of one backend server.
type server struct {
	directory.Server
	// group is the group of the server's place.
	group *group
	// requests and tokens are those of this gateway, and peerRequests the requests that
	// other gateways have reported.
	requests     int
	tokens       int64
	peerRequests int
	health       health
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

// Dispatcher holds the state of all services. It is not safe for concurrent use.
type Dispatcher struct {
	domain   string
	services map[string]*service
	rnd      *rand.Rand
	sharers  Sharers
	engines  engines
	// listed holds the listed servers by id, and busy those with requests of this
	// gateway, listed or not.
	listed map[string]*server
	// byAddress holds the listed servers by address.
	byAddress map[string][]*server
	busy      map[*server]bool
	peers     peerLoads
	limits    *ratelimit.Table
	// choices counts calls of choose.
	choices uint64
}

// New returns a dispatcher for a gateway in a failure domain. Equal seeds give
// equal choices.
func New(domain string, seed uint64) *Dispatcher {
	return &Dispatcher{domain: domain, services: map[string]*service{}, rnd: rand.New(rand.NewPCG(seed, seed)), sharers: Sharers{Gateways: 1}, engines: newEngines(),
		listed: map[string]*server{}, byAddress: map[string][]*server{}, busy: map[*server]bool{}, peers: newPeerLoads(), limits: ratelimit.New()}
}

// SetSharers sets the gateways that share the servers.
func (d *Dispatcher) SetSharers(s Sharers) { d.sharers = s }

// SetServers replaces the servers, and the service settings unless dep is nil.
// A server keeps its state unless it has restarted or changed its address, also if it
// leaves the list for a time: the same process may be listed again.
func (d *Dispatcher) SetServers(dep *core.Deployment, list []directory.Server, now time.Time) {
	clear(d.listed)
	clear(d.byAddress)
	for _, s := range d.services {
		s.serverList, s.slots = nil, 0
		s.clearGroups()
	}
	for _, item := range list {
		s := d.service(item.Service)
		old := s.servers[item.ID]
		sv := old
		isNew := old == nil || old.StartedUnixMS != item.StartedUnixMS || old.Address != item.Address
		if isNew {
			delete(d.busy, old)
			sv = &server{cold: newColdLimit(item.ID)}
			s.servers[item.ID] = sv
		}
		sv.Server, sv.unlistedSince = item, time.Time{}
		sv.group = s.group(item.Place.Group)
		if e, ok := d.engines.current(item.Address, now); isNew && ok && !e.groupServing {
			sv.outage().begin(now, d.probeSpread())
		}
		s.serverList = append(s.serverList, sv)
		d.listed[item.ID] = sv
		d.byAddress[item.Address] = append(d.byAddress[item.Address], sv)
		sv.peerRequests = d.peers.totals[item.ID]
		sv.group.add(sv)
		if sv.Usable {
			s.slots += sv.Slots
		}
	}
	for name, s := range d.services {
		if dep != nil {
			s.config = dep.Services[name]
		}
		for id, sv := range s.servers {
			if d.listed[id] != sv && sv.forget(now) {
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

// limit returns the number of requests that a server may hold.
func (s *service) limit(sv *server) int {
	if s.config.Engine != nil {
		return sv.Slots
	}
	return sv.Slots + plainExtraRequests
}

func (d *Dispatcher) assign(s *service, sv *server, r Request, now time.Time) Decision {
	v := Decision{RequestID: r.ID, Server: sv.BackendServer, Load: sv.load(), Waiting: len(s.queue)}
	if sv.requests == 0 {
		sv.lastEvent, sv.hasSentEvent = now, false
	}
	d.addRequests(sv, 1)
	sv.tokens += r.Tokens
	sv.cold.take(sv.ColdUntil, now)
	if d.limits.Take(limitProcess(sv), now) {
		s.permits.taken(now)
	}
	sv.health.sent(now)
	sv.outage().sent(now, d.probeSpread())
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
	if sv.requests > 0 {
		d.addRequests(sv, -1)
	}
	sv.tokens = max(0, sv.tokens-tokens)
	sv.health.record(o, now)
	switch {
	case replied:
		sv.outage().end()
		sv.pause.replied(sv.Slots, now)
	case o == OutcomeShed && s.config.Engine != nil:
		sv.outage().rejected(now, d.probeSpread())
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
		if sv.Usable && !sv.health.excluded() && !sv.outage().active() {
			return shedRetryAfter
		}
	}
	return maxRetryAfter
}
