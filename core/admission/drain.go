package admission

import (
	"time"

	"nutmegnotch/core"
)

// maxDrain bounds the time for which new work is refused to empty the server
// for one exclusive request.
const maxDrain = 10 * time.Second

// drainLease ends a drain early whose request does not come again. It covers
// one wait at the agent and the time until the caller repeats the request.
const drainLease = 4 * time.Second

// drain is the emptying of the server for one exclusive request.
type drain struct {
	fingerprint uint64
	start       time.Time
	until       time.Time
	// rest is the time before which no other drain starts. It is as long as the
	// drain was, so that drains refuse new work at most half of the time.
	rest time.Time
}

// Drain refuses work other than the exclusive request until it has been
// admitted, at most for maxDrain. A repeat of the request continues its drain.
// Drain reports false when the server may not be drained for r now.
func (a *Admitter) Drain(r core.Request, now time.Time) bool {
	switch {
	case a.Draining(now):
		if a.drain.fingerprint != r.Fingerprint {
			return false
		}
	case now.Before(a.drain.rest):
		return false
	default:
		a.drain = drain{fingerprint: r.Fingerprint, start: now}
	}
	end := a.drain.start.Add(maxDrain)
	if lease := now.Add(drainLease); lease.Before(end) {
		end = lease
	}
	a.drain.endAt(end)
	return true
}

func (d *drain) endAt(t time.Time) { d.until, d.rest = t, t.Add(t.Sub(d.start)) }

// Draining reports whether new work is refused for an exclusive request.
func (a *Admitter) Draining(now time.Time) bool { return now.Before(a.drain.until) }

// endDrain ends the drain for a request that has been admitted.
func (a *Admitter) endDrain(r core.Request, now time.Time) {
	if r.Exclusive && a.Draining(now) {
		a.drain.endAt(now)
	}
}

// barred reports whether the server is being drained for another request.
func (a *Admitter) barred(r core.Request, now time.Time) bool {
	return a.Draining(now) && (!r.Exclusive || r.Fingerprint != a.drain.fingerprint)
}
