package admission

import (
	"time"

	"nutmegnotch/core"
)

// maxDrainTime bounds how long new requests are refused to empty the server for
// one exclusive request.
const maxDrainTime = 10 * time.Second

// drainLeaseTime is how long a drain lasts unless its request is repeated. It
// covers one wait at the agent and the time until the caller retries.
const drainLeaseTime = 4 * time.Second

// drain is the state of draining the server for one exclusive request.
type drain struct {
	fingerprint uint64
	start       time.Time
	until       time.Time
	// notBefore is the earliest start of the next drain. The pause is as long as
	// the drain was, so that drains refuse new requests at most half of the time.
	notBefore time.Time
}

// Drain refuses all other requests until the exclusive request r has been
// admitted, at most for maxDrainTime. A retry of r extends its drain. Drain
// returns false when the server cannot be drained for r now.
func (a *Admitter) Drain(r core.Request, now time.Time) bool {
	switch {
	case a.Draining(now):
		if a.drain.fingerprint != r.Fingerprint {
			return false
		}
	case now.Before(a.drain.notBefore):
		return false
	default:
		a.drain = drain{fingerprint: r.Fingerprint, start: now}
	}
	end := a.drain.start.Add(maxDrainTime)
	if lease := now.Add(drainLeaseTime); lease.Before(end) {
		end = lease
	}
	a.drain.endAt(end)
	return true
}

func (d *drain) endAt(t time.Time) { d.until, d.notBefore = t, t.Add(t.Sub(d.start)) }

// Draining reports whether the server is being drained for an exclusive request.
func (a *Admitter) Draining(now time.Time) bool { return now.Before(a.drain.until) }

// endDrain ends the drain when its request r has been admitted.
func (a *Admitter) endDrain(r core.Request, now time.Time) {
	if r.Exclusive && a.Draining(now) {
		a.drain.endAt(now)
	}
}

// drainedForOther reports whether the server is being drained for another request.
func (a *Admitter) drainedForOther(r core.Request, now time.Time) bool {
	return a.Draining(now) && (!r.Exclusive || r.Fingerprint != a.drain.fingerprint)
}
