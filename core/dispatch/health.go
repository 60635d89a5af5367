package dispatch

import (
	"math"
	"time"
)

const ln2 = math.Ln2

// Settings of the passive health check, which uses the outcomes of requests.
const (
	// outcomeHalfLife is the half-life of the counts of outcomes.
	outcomeHalfLife = 3 * time.Second
	// priorSuccesses is the number of successes assumed for each server, so that
	// a few failures of a new server do not weigh too much.
	priorSuccesses = 4
	// maxFailurePenalty is added to the score of a server that always fails; 1 is
	// the load of a full server.
	maxFailurePenalty = 3
	// minBackoff and maxBackoff bound how long an unreachable server is excluded.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// health tracks the recent outcomes of a server and its exclusion from the
// choice of servers.
type health struct {
	successes, failures float64
	decayedAt           time.Time
	backoff             time.Duration
	excludedUntil       time.Time
}

// available reports whether requests may be sent to the server.
func (h *health) available(now time.Time) bool { return !now.Before(h.excludedUntil) }

// sent records a send. An excluded server gets one request per backoff time
// until one succeeds.
func (h *health) sent(now time.Time) {
	if h.backoff > 0 {
		h.excludedUntil = now.Add(h.backoff)
	}
}

// penalty returns the weighted share of failures.
func (h *health) penalty(now time.Time) float64 {
	h.decayCounts(now)
	return maxFailurePenalty * h.failures / (h.successes + h.failures + priorSuccesses)
}

func (h *health) decayCounts(now time.Time) {
	if !h.decayedAt.IsZero() {
		k := decayFactor(now.Sub(h.decayedAt), outcomeHalfLife)
		h.successes, h.failures = h.successes*k, h.failures*k
	}
	h.decayedAt = now
}

func (h *health) record(o Outcome, now time.Time) {
	h.decayCounts(now)
	switch o {
	case OutcomeServed:
		h.successes++
		h.include()
	case OutcomeUnverified, OutcomePaused:
		h.include()
	case OutcomeShed, OutcomeFailed:
		h.failures++
	case OutcomeMisdirected:
		h.failures++
		h.backoff, h.excludedUntil = maxBackoff, now.Add(maxBackoff)
	case OutcomeUnreachable:
		h.failures++
		h.backoff = min(maxBackoff, max(minBackoff, 2*h.backoff))
		h.excludedUntil = now.Add(h.backoff)
	}
}

// excludeUnresponsive excludes a server that sends no events.
func (h *health) excludeUnresponsive(now time.Time) {
	h.decayCounts(now)
	h.failures++
	h.backoff = min(maxBackoff, max(minUnresponsiveBackoff, 2*h.backoff))
	h.excludedUntil = now.Add(h.backoff)
}

// include ends the exclusion of a server that has sent an event or a reply.
func (h *health) include() { h.backoff, h.excludedUntil = 0, time.Time{} }

// excluded reports whether the server gets no requests or only probes.
func (h *health) excluded() bool { return h.backoff > 0 }

// decayFactor returns the factor by which a value with a half-life decays in the
// time d.
func decayFactor(d, halfLife time.Duration) float64 {
	return math.Exp(-ln2 * float64(max(0, d)) / float64(halfLife))
}
