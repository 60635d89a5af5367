package dispatch

import (
	"time"

	"nutmegnotch/core"
)

// MaxPause bounds the pause that a server may ask for.
const MaxPause = 10 * time.Minute

// peerPausePenalty is added to the score of a server that wants no requests from another
// gateway; 1 is the load of a full server.
const peerPausePenalty = 0.5

// pause is a time for which a server wants no requests from this gateway.
type pause struct {
	until time.Time
	// limit bounds the requests at the server after the pause, so that they come back
	// gradually; 0 means no bound.
	limit int
	// peersUntil is the end of the pauses that the server has asked other gateways for.
	peersUntil time.Time
}

// begin begins a pause, unless a longer one has begun before.
func (p *pause) begin(until time.Time) {
	if until.After(p.until) {
		p.until = until
	}
	p.limit = 1
}

func (p *pause) active(now time.Time) bool { return now.Before(p.until) }

// full reports whether the server holds as many requests as it may after a pause.
func (p *pause) full(requests int) bool { return p.limit > 0 && requests >= p.limit }

// replied doubles the limit after a reply since the end of the pause.
func (p *pause) replied(slots int, now time.Time) {
	if p.active(now) {
		return
	}
	if p.limit *= 2; p.limit >= slots {
		p.limit = 0
	}
}

func (p *pause) penalty(now time.Time) float64 {
	if now.Before(p.peersUntil) {
		return peerPausePenalty
	}
	return 0
}

// Pause records that a server wants no requests from this gateway for a time, which
// MaxPause bounds.
func (d *Dispatcher) Pause(name string, b core.BackendServer, length time.Duration, now time.Time) {
	if sv := d.service(name).process(b); sv != nil {
		sv.pause.begin(now.Add(min(length, MaxPause)))
	}
}

// Paused returns the time that is left of the pause of each paused server.
func (d *Dispatcher) Paused(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, s := range d.services {
		for id, sv := range s.servers {
			if sv.pause.active(now) {
				out[id] = sv.pause.until.Sub(now)
			}
		}
	}
	return out
}

// PeerPaused records that a server wants no requests from another gateway for a time. It
// is only less likely to be chosen here.
func (d *Dispatcher) PeerPaused(serverID string, length time.Duration, now time.Time) {
	for _, s := range d.services {
		if sv := s.servers[serverID]; sv != nil {
			sv.pause.peersUntil = now.Add(min(length, MaxPause))
		}
	}
}

// opensAt returns when the first server ends its pause, or a zero time if a server in
// use is not paused or there is none.
func (s *service) opensAt(now time.Time) time.Time {
	var first time.Time
	for _, sv := range s.serverList {
		switch {
		case !sv.Usable || !sv.health.available(now):
		case !sv.pause.active(now):
			return time.Time{}
		case first.IsZero() || sv.pause.until.Before(first):
			first = sv.pause.until
		}
	}
	return first
}
