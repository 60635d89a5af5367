package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the number of servers that are looked at for one request.
const (
	// maxComparedAll is the number of servers up to which all are compared.
	maxComparedAll = 16
	// sampleSize is the number of servers, drawn at random, that are compared where
	// there are more. Gateways do not know what others have sent since their last
	// reports. If all took the least loaded of all servers, many would take the same.
	sampleSize = 2
	// maxUsefulInterval is the longest interval of reports of which the load is compared.
	// Most requests of an older report have ended.
	maxUsefulInterval = time.Second
	// maxExamined limits how many servers are looked at to find those of the sample.
	maxExamined = 256
)

// Weights of the score; 1 is the load of a full server.
const (
	tieBreakWeight = 0.02
	domainPenalty  = 0.01
	tokenWeight    = 0.05
)

// choice is the result of looking for a server for a request.
type choice struct {
	// server is nil if none can take the request now.
	server *server
	// full reports that some servers could take it later, and onlyLimits that the rate
	// limits that they have named are all that keeps them from it.
	full, onlyLimits bool
	// opens is when the first pause of a server ends that could take it then, or zero if
	// there is none. permitAt is when the first permit for a server with a rate limit may
	// be had.
	opens, permitAt time.Time
	// awaitsPermit reports that a better server may be able to take the request as soon as
	// the home of its limit has answered.
	awaitsPermit bool
}

// picker looks at servers for a request.
type picker struct {
	d   *Dispatcher
	s   *service
	r   Request
	now time.Time
	choice
	score float64
	// busy reports that a server is full for another reason than its rate limit.
	busy bool
	// limited are the servers of which this gateway holds no permit.
	limited []scoredServer
}

type scoredServer struct {
	server *server
	score  float64
}

// choose returns the server for a request.
func (d *Dispatcher) choose(s *service, r Request, now time.Time) choice {
	d.expirePeerLoad(now)
	d.choices++
	p := &picker{d: d, s: s, r: r, now: now}
	list := s.serverList
	sample, examined := len(list), len(list)
	if len(list) > maxComparedAll {
		// A permit ends soon, and a sample would rarely hold its server.
		for _, process := range d.limits.Holding(now) {
			if sv := d.listed[process.ServerID]; sv != nil && sv.Service == s.name && sv.StartedUnixMS == process.StartedUnixMS {
				p.look(sv)
			}
		}
		sample, examined = sampleSize, min(len(list), maxExamined)
		if d.peers.interval > maxUsefulInterval {
			sample = 1
		}
	}
	for i := range examined {
		if len(list) > maxComparedAll {
			j := i + d.rnd.IntN(len(list)-i)
			list[i], list[j] = list[j], list[i]
		}
		if !p.look(list[i]) {
			continue
		}
		if sample--; sample == 0 {
			break
		}
	}
	p.lookForPermit()
	p.onlyLimits = p.server == nil && len(p.limited) > 0 && !p.busy && p.opens.IsZero()
	p.full = p.full || p.server != nil
	return p.choice
}

// look compares a server with the best one so far. It reports whether the server can take
// the request.
func (p *picker) look(sv *server) bool {
	if !sv.Usable || slices.Contains(p.r.Tried, sv.ID) {
		return false
	}
	if !sv.health.available(p.now) || !sv.outage().admits(p.r, p.now) {
		return false
	}
	if sv.pause.active(p.now) {
		if p.opens.IsZero() || sv.pause.until.Before(p.opens) {
			p.opens = sv.pause.until
		}
		return false
	}
	if p.d.serverFull(p.s, sv, p.r, p.now) {
		p.full, p.busy = true, true
		return false
	}
	score := p.d.score(sv, p.r, p.now)
	if !p.d.limits.Holds(limitProcess(sv), p.now) {
		p.full = true
		p.limited = append(p.limited, scoredServer{sv, score})
		return false
	}
	if p.server == nil || score < p.score {
		p.server, p.score = sv, score
	}
	return true
}

// lookForPermit takes the best server of which a permit can be had, if it is better than
// the one that can be used without. It asks for a permit of one server only.
func (p *picker) lookForPermit() {
	slices.SortFunc(p.limited, func(a, b scoredServer) int { return cmp.Compare(a.score, b.score) })
	for _, c := range p.limited {
		if p.server != nil && c.score >= p.score || p.awaitsPermit {
			break
		}
		process := limitProcess(c.server)
		if p.d.limits.Admits(process, p.r.ID, p.now) {
			p.server, p.score = c.server, c.score
			break
		}
		p.awaitsPermit = p.d.limits.MayAsk(process, p.now)
	}
	for _, c := range p.limited {
		if at := p.d.limits.OpensAt(limitProcess(c.server), p.now); p.permitAt.IsZero() || at.Before(p.permitAt) {
			p.permitAt = at
		}
	}
}

// serverFull reports whether a server can take a request only later.
func (d *Dispatcher) serverFull(s *service, sv *server, r Request, now time.Time) bool {
	return sv.pause.full(sv.requests) || !r.Resumed && d.groupFull(s, sv.group, now) || sv.load() >= s.limit(sv) ||
		!sv.cold.allows(sv.ColdUntil, s.config.ColdRequestsPerSecond, d.sharers, now)
}

// score rates a server for a request; the lowest score is the best.
func (d *Dispatcher) score(sv *server, r Request, now time.Time) float64 {
	score := float64(sv.load()+1)/float64(sv.Slots)*d.engines.slowdown(sv.Address, now) +
		sv.health.penalty(now) + sv.pause.penalty(now) + tieBreakWeight*d.rnd.Float64()
	if sv.Domain != d.domain {
		score += domainPenalty
	}
	return score + tokenWeight*float64(sv.tokens)/float64(max(1, sv.Slots))/float64(max(1, r.Tokens))
}
