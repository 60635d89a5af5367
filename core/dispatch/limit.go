package dispatch

import (
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/ratelimit"
)

// Settings of requests to servers with rate limits.
const (
	// permitHold is the time that a request must have left to wait for a permit although
	// another server could take it. It waits until the next look at the queue, which comes
	// within a tick of the gateway.
	permitHold = 50 * time.Millisecond
	// permitRateHalfLife is the half-life of the measured rate of permits.
	permitRateHalfLife = 4 * time.Second
)

// Limits returns the rate limits of the servers.
func (d *Dispatcher) Limits() *ratelimit.Table { return d.limits }

func limitProcess(sv *server) ratelimit.Process {
	return ratelimit.Process{ServerID: sv.ID, StartedUnixMS: sv.StartedUnixMS}
}

// permitRate measures the rate of permits that a service has got, per second, at a time.
type permitRate struct {
	rate float64
	at   time.Time
}

func (p *permitRate) taken(now time.Time) { p.rate = p.current(now) + ln2/permitRateHalfLife.Seconds() }

func (p *permitRate) current(now time.Time) float64 {
	if !p.at.IsZero() {
		p.rate *= decayFactor(now.Sub(p.at), permitRateHalfLife)
	}
	p.at = now
	return p.rate
}

// expectedPermitRate returns the rate of permits to expect for a service, per second: what
// this gateway gets, or its equal part of the limits if that is more.
func (d *Dispatcher) expectedPermitRate(s *service, now time.Time) float64 {
	sum := 0.0
	for _, sv := range s.serverList {
		if sv.Usable {
			sum += d.limits.Rate(limitProcess(sv))
		}
	}
	return max(s.permits.current(now), sum/float64(max(1, d.sharers.Gateways)))
}

// permitWait returns when the n-th waiting request may be sent, if the first permit can be
// had at first.
func (d *Dispatcher) permitWait(s *service, n int, first, now time.Time) time.Time {
	rate := d.expectedPermitRate(s, now)
	if rate <= 0 {
		return first
	}
	at := now.Add(core.Seconds(float64(n) / rate))
	if at.Before(first) {
		return first
	}
	return at
}

// permitDeadline returns until when a request may wait for a permit. While callers that were
// turned away are to return, it is due in time: requests that are late wait behind all that
// are not, and would wait in vain.
func (s *service) permitDeadline(r Request, now time.Time) time.Time {
	if s.nextReturn.After(now) && r.Objective.After(now) && r.Objective.Before(r.QueueDeadline) {
		return r.Objective
	}
	return r.QueueDeadline
}

// rejectLimited rejects a request that no server may take in time because of rate limits.
// Callers return one after the other, at the rate of the permits; those for which that takes
// longer than maxRetryAfter return at random times.
func (d *Dispatcher) rejectLimited(s *service, r Request, first, now time.Time) Decision {
	earliest := d.permitWait(s, len(s.queue)+1, first, now)
	if s.nextReturn.Before(earliest) {
		s.nextReturn = earliest
	}
	if rate := d.expectedPermitRate(s, now); rate > 0 {
		s.nextReturn = s.nextReturn.Add(core.Seconds(1 / rate))
	}
	after := max(minRetryAfter, s.nextReturn.Sub(now))
	if after > maxRetryAfter {
		s.nextReturn = now.Add(maxRetryAfter)
		after = maxRetryAfter/2 + time.Duration(d.rnd.Float64()*float64(maxRetryAfter/2))
	}
	return Decision{RequestID: r.ID, Rejected: ReasonLimited, RetryAfter: after, Waiting: len(s.queue)}
}
