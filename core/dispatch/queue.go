package dispatch

import (
	"slices"
	"time"
)

// Offer decides about a new request or queues it. It returns false when the
// request is queued.
func (d *Dispatcher) Offer(r Request, now time.Time) (Decision, bool) {
	s := d.service(r.Service)
	allOut := s.allInOutage()
	c := choice{onlyLimits: s.limited, permitAt: now}
	if len(s.queue) == 0 || s.holding || !s.queuedBefore(r, now) || allOut {
		c = d.choose(s, r, now)
		switch {
		case c.awaitsPermit && s.hold(r, d.sharers.Gateways, now):
			return Decision{}, false
		case c.server != nil:
			return d.assign(s, c.server, r, now), true
		case !c.full && !c.opens.IsZero() && c.opens.After(r.QueueDeadline):
			return s.reject(r, ReasonPaused, now), true
		case !c.full && c.opens.IsZero() && !s.waitsForRecovery(r):
			return s.reject(r, ReasonNoServer, now), true
		}
	}
	full := len(s.queue) >= s.maxQueueLength(d.sharers.Gateways)
	if c.onlyLimits {
		if full || d.permitWait(s, len(s.queue)+1, c.permitAt, now).After(s.permitDeadline(r, now)) {
			return d.rejectLimited(s, r, c.permitAt, now), true
		}
		s.enqueue(r, now)
		return Decision{}, false
	}
	// During an outage or a pause the completion rate says nothing about the wait.
	if wait := s.expectedWait(len(s.queue)+1, now); !allOut && s.opensAt(now).IsZero() && now.Add(wait).After(r.QueueDeadline) {
		return s.reject(r, ReasonTooLate, now), true
	}
	if full {
		return s.reject(r, ReasonQueueFull, now), true
	}
	s.enqueue(r, now)
	return Decision{}, false
}

func (s *service) enqueue(r Request, now time.Time) {
	s.holding = false
	s.queue = append(s.queue, r)
	slices.SortStableFunc(s.queue, func(a, b Request) int { return compareRequests(a, b, now) })
}

// hold queues a request until the next look at the queue, by when the home of a rate limit
// should have answered. It reports false if the request has no time for that, or others wait
// for longer.
func (s *service) hold(r Request, gateways int, now time.Time) bool {
	if len(s.queue) > 0 && !s.holding || len(s.queue) >= s.maxQueueLength(gateways) || now.Add(permitHold).After(r.QueueDeadline) {
		return false
	}
	s.enqueue(r, now)
	s.holding = true
	return true
}

// allInOutage reports whether all usable servers are out of service with their
// groups. It is false without usable servers.
func (s *service) allInOutage() bool {
	known := false
	for _, sv := range s.serverList {
		if !sv.Usable {
			continue
		}
		if !sv.outage().active() {
			return false
		}
		known = true
	}
	return known
}

// waitsForRecovery reports whether a request is queued although no server serves
// now: its caller may not retry again, and a group that is out of service may
// form again in time.
func (s *service) waitsForRecovery(r Request) bool {
	if !r.CallerRetry {
		return false
	}
	for _, sv := range s.serverList {
		if sv.Usable && sv.outage().active() && !slices.Contains(r.Tried, sv.ID) {
			return true
		}
	}
	return false
}

// queuedBefore reports whether a waiting request precedes r.
func (s *service) queuedBefore(r Request, now time.Time) bool {
	return compareRequests(s.queue[0], r, now) < 0
}

// compareRequests orders waiting requests by priority, then by objective.
// Requests of one priority that have missed their objective come last.
func compareRequests(a, b Request, now time.Time) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	lateA, lateB := now.After(a.Objective), now.After(b.Objective)
	switch {
	case lateA && !lateB:
		return 1
	case lateB && !lateA:
		return -1
	}
	return a.Objective.Compare(b.Objective)
}

// maxQueueLength returns this gateway's share of the requests that may wait.
func (s *service) maxQueueLength(gateways int) int {
	return max(1, maxQueuedPerSlot*s.slots/max(1, gateways))
}

// expectedWait estimates the time until the n-th waiting request gets a server.
// It is 0 when the completion rate is unknown.
func (s *service) expectedWait(n int, now time.Time) time.Duration {
	rate := s.currentRate(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// DispatchWaiting assigns servers to waiting requests and rejects those that can
// wait no longer. Callers must call it after each change and at an interval.
func (d *Dispatcher) DispatchWaiting(now time.Time) []Decision {
	var out []Decision
	for _, s := range d.services {
		if len(s.queue) == 0 {
			continue
		}
		slices.SortStableFunc(s.queue, func(a, b Request) int { return compareRequests(a, b, now) })
		kept := s.queue[:0]
		s.holding = false
		// blocked is set when no server can take a request that may go to any of
		// them, so that the remaining requests need not be tried.
		blocked := false
		for _, r := range s.queue {
			if !now.Before(r.QueueDeadline) {
				out = append(out, s.reject(r, ReasonTooLate, now))
				continue
			}
			if blocked && !r.Resumed {
				kept = append(kept, r)
				continue
			}
			c := d.choose(s, r, now)
			s.limited = c.onlyLimits
			switch {
			case c.server != nil:
				out = append(out, d.assign(s, c.server, r, now))
			case c.onlyLimits && d.permitWait(s, len(kept)+1, c.permitAt, now).After(r.QueueDeadline):
				out = append(out, d.rejectLimited(s, r, c.permitAt, now))
			case !c.full && !c.opens.IsZero() && c.opens.After(r.QueueDeadline):
				out = append(out, s.reject(r, ReasonPaused, now))
			case !c.full && c.opens.IsZero() && !s.waitsForRecovery(r):
				out = append(out, s.reject(r, ReasonNoServer, now))
			default:
				kept = append(kept, r)
				blocked = c.full && len(r.Tried) == 0 && !r.Resumed
			}
		}
		s.queue = kept
	}
	return out
}

// RemoveWaiting removes a waiting request. It reports whether it was waiting.
func (d *Dispatcher) RemoveWaiting(name string, id uint64) bool {
	s := d.service(name)
	for i, r := range s.queue {
		if r.ID == id {
			s.queue = slices.Delete(s.queue, i, i+1)
			return true
		}
	}
	return false
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, s := range d.services {
		n += len(s.queue)
	}
	return n
}

func (s *service) reject(r Request, reason Reason, now time.Time) Decision {
	wait := min(maxRetryAfter, max(minRetryAfter, s.expectedWait(len(s.queue)+1, now)))
	switch opens := s.opensAt(now); {
	case !opens.IsZero():
		wait = max(minRetryAfter, opens.Sub(now))
	case reason == ReasonNoServer:
		wait = maxRetryAfter
	}
	return Decision{RequestID: r.ID, Rejected: reason, RetryAfter: wait, Waiting: len(s.queue)}
}

func (s *service) completed(now time.Time) {
	s.completionRate = s.currentRate(now) + ln2/completionRateHalfLife.Seconds()
}

// currentRate decays the completion rate to now and returns it.
func (s *service) currentRate(now time.Time) float64 {
	if !s.completionRateAt.IsZero() {
		s.completionRate *= decayFactor(now.Sub(s.completionRateAt), completionRateHalfLife)
	}
	s.completionRateAt = now
	return s.completionRate
}
