package dispatch

import (
	"math"
	"time"
)

const ln2 = math.Ln2

// Settings of the judgement of servers by the outcomes of real requests.
const (
	// healthHalfLife is the half-life of outcomes.
	healthHalfLife = 3 * time.Second
	// priorSuccesses are assumed for a server without outcomes.
	priorSuccesses = 4
	// failurePenalty is what a server that always fails adds to its score, in
	// units of a full server.
	failurePenalty = 3
	// firstBackoff and maxBackoff bound how long an unreachable server is left
	// out.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// health weighs the recent outcomes of a server.
type health struct {
	good, bad float64
	at        time.Time
	backoff   time.Duration
	until     time.Time
}

// open reports whether the server may be tried.
func (h *health) open(now time.Time) bool { return !now.Before(h.until) }

// sent notes a send. A server that was left out gets one request at a time
// until one succeeds.
func (h *health) sent(now time.Time) {
	if h.backoff > 0 {
		h.until = now.Add(h.backoff)
	}
}

// penalty is the share of failures, weighed.
func (h *health) penalty(now time.Time) float64 {
	h.fade(now)
	return failurePenalty * h.bad / (h.good + h.bad + priorSuccesses)
}

func (h *health) fade(now time.Time) {
	if !h.at.IsZero() {
		k := decay(now.Sub(h.at), healthHalfLife)
		h.good, h.bad = h.good*k, h.bad*k
	}
	h.at = now
}

func (h *health) result(o Outcome, now time.Time) {
	h.fade(now)
	switch o {
	case OutcomeServed:
		h.good++
		h.alive()
	case OutcomeShed, OutcomeFailed:
		h.bad++
	case OutcomeMisdirected:
		h.bad++
		h.backoff, h.until = maxBackoff, now.Add(maxBackoff)
	case OutcomeUnreachable:
		h.bad++
		h.backoff = min(maxBackoff, max(firstBackoff, 2*h.backoff))
		h.until = now.Add(h.backoff)
	}
}

// silent leaves out a server that says nothing.
func (h *health) silent(now time.Time) {
	h.fade(now)
	h.bad++
	h.backoff = min(maxBackoff, max(firstSilentBackoff, 2*h.backoff))
	h.until = now.Add(h.backoff)
}

// alive takes a server in again that has shown an event.
func (h *health) alive() { h.backoff, h.until = 0, time.Time{} }

// out reports whether the server is left out or only probed.
func (h *health) out() bool { return h.backoff > 0 }

// decay is the factor by which a value with a half-life fades over a time.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp(-ln2 * float64(max(0, d)) / float64(halfLife))
}

// coldLimit bounds the rate of requests to a cold server.
type coldLimit struct {
	next time.Time
	rate float64
}

// allows reports whether a cold server bears one more request now; rate is this
// gateway's part of the rate that it bears.
func (c *coldLimit) allows(coldUntil time.Time, rate float64, now time.Time) bool {
	c.rate = rate
	return rate <= 0 || !now.Before(coldUntil) || !now.Before(c.next)
}

func (c *coldLimit) take(coldUntil time.Time, now time.Time) {
	if c.rate > 0 && now.Before(coldUntil) {
		c.next = now.Add(time.Duration(float64(time.Second) / c.rate))
	}
}
