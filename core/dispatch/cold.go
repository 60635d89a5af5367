package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldTurnTime is how long a gateway may use its turn to send a request to a cold server.
// Turns that are not used end, since many gateways would use theirs at once when a group
// of cold servers begins to serve.
const coldTurnTime = 400 * time.Millisecond

// Sharers describes the gateways that share the servers.
type Sharers struct {
	// Gateways is their number, with this one. It is 0 while it is not known: then cold
	// servers get no requests.
	Gateways int
	// Index is the place of this gateway in an order on which all agree, from 0 on.
	Index int
}

// coldLimit limits the rate of requests to a cold server. The gateways take turns, in an
// order that differs from server to server, so that the server gets its rate from all of
// them together although none knows what the others send. Turns follow the time of day,
// which all gateways know; one whose clock is off takes its turns at other times.
type coldLimit struct {
	// offset is added to the index of each gateway.
	offset uint64
	// taken is when this gateway sent the last request to the cold server.
	taken time.Time
}

func newColdLimit(serverID string) coldLimit { return coldLimit{offset: xxhash.Sum64String(serverID)} }

// allows reports whether a server that is cold until coldUntil may get a request now. rate
// is the rate that it bears from all gateways, in requests a second.
func (c *coldLimit) allows(coldUntil time.Time, rate float64, by Sharers, now time.Time) bool {
	if rate <= 0 || !now.Before(coldUntil) {
		return true
	}
	if by.Gateways <= 0 {
		return false
	}
	interval := time.Duration(float64(by.Gateways) / rate * float64(time.Second))
	turn := (uint64(by.Index) + c.offset) % uint64(by.Gateways)
	begun := time.Duration(float64(turn) / rate * float64(time.Second))
	// sinceBegun is the age of the turn.
	sinceBegun := time.Duration(now.UnixNano()-int64(begun)) % interval
	sinceTaken := now.Sub(c.taken)
	// When the number of gateways changes, so do the turns. The second condition keeps
	// this gateway from taking one of each.
	return sinceBegun <= coldTurnTime && sinceTaken > sinceBegun && sinceTaken >= max(interval/2, interval-coldTurnTime)
}

func (c *coldLimit) take(coldUntil, now time.Time) {
	if now.Before(coldUntil) {
		c.taken = now
	}
}
