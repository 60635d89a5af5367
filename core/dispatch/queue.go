package dispatch

import (
	"slices"
	"time"
)

// Offer takes a request. It returns a verdict when one is known at once.
func (d *Dispatcher) Offer(r Request, now time.Time) (Verdict, bool) {
	s := d.service(r.Service)
	out := s.out()
	if len(s.queue) == 0 || !s.firstInLine(r, now) || out {
		if sv, full := d.choose(s, r, now); sv != nil {
			return d.assign(s, sv, r, now), true
		} else if !full && !s.mayReturn(r) {
			return s.reject(r, ReasonNoServer, now), true
		}
	}
	// During an outage the rate of completions tells nothing of the wait.
	if wait := s.expectedWait(len(s.queue)+1, now); !out && now.Add(wait).After(r.GiveUp) {
		return s.reject(r, ReasonTooLate, now), true
	}
	if len(s.queue) >= s.maxQueue(d.gateways) {
		return s.reject(r, ReasonQueueFull, now), true
	}
	s.queue = append(s.queue, r)
	slices.SortStableFunc(s.queue, func(a, b Request) int { return before(a, b, now) })
	return Verdict{}, false
}

// out reports whether all servers are out of service with their groups.
func (s *service) out() bool {
	known := false
	for _, sv := range s.order {
		if !sv.Usable {
			continue
		}
		if !s.outageOf(sv).out() {
			return false
		}
		known = true
	}
	return known
}

// mayReturn reports whether a request waits although no server serves now: its
// caller will not come back again, and a group that is out of service may be
// formed again in time.
func (s *service) mayReturn(r Request) bool {
	if !r.CallerRetry {
		return false
	}
	for _, sv := range s.order {
		if sv.Usable && s.outageOf(sv).out() && !slices.Contains(r.Tried, sv.ID) {
			return true
		}
	}
	return false
}

// firstInLine reports whether a waiting request goes before r.
func (s *service) firstInLine(r Request, now time.Time) bool { return before(s.queue[0], r, now) < 0 }

// before orders waiting requests: by priority, then those that can still be on
// time by their objective, then the late ones by arrival.
func before(a, b Request, now time.Time) int {
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

// maxQueue is this gateway's part of the requests that may wait.
func (s *service) maxQueue(gateways int) int {
	slots := 0
	for _, sv := range s.order {
		if sv.Usable {
			slots += sv.Slots
		}
	}
	return max(1, queueFactor*slots/gateways)
}

// expectedWait is the time after which the n-th waiting request gets a server.
func (s *service) expectedWait(n int, now time.Time) time.Duration {
	rate := s.currentRate(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// DispatchWaiting assigns servers to waiting requests and rejects those that waited in
// vain. It is called when something has changed and at an interval.
func (d *Dispatcher) DispatchWaiting(now time.Time) []Verdict {
	var out []Verdict
	for _, s := range d.services {
		if len(s.queue) == 0 {
			continue
		}
		slices.SortStableFunc(s.queue, func(a, b Request) int { return before(a, b, now) })
		kept := s.queue[:0]
		// blocked is set when no server takes a request that may go to any of
		// them, so that the others need not be tried.
		blocked := false
		for _, r := range s.queue {
			if !now.Before(r.GiveUp) {
				out = append(out, s.reject(r, ReasonTooLate, now))
				continue
			}
			if blocked && !r.Resumed {
				kept = append(kept, r)
				continue
			}
			sv, full := d.choose(s, r, now)
			switch {
			case sv != nil:
				out = append(out, d.assign(s, sv, r, now))
			case !full && !s.mayReturn(r):
				out = append(out, s.reject(r, ReasonNoServer, now))
			default:
				kept = append(kept, r)
				blocked = full && len(r.Tried) == 0 && !r.Resumed
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

func (s *service) reject(r Request, why Reason, now time.Time) Verdict {
	wait := min(maxRetryAfter, max(minRetryAfter, s.expectedWait(len(s.queue)+1, now)))
	if why == ReasonNoServer {
		wait = maxRetryAfter
	}
	return Verdict{RequestID: r.ID, Rejected: why, RetryAfter: wait, Waiting: len(s.queue)}
}

func (s *service) completed(now time.Time) {
	s.rate = s.currentRate(now) + ln2/rateHalfLife.Seconds()
}

// currentRate is the decayed rate of completions.
func (s *service) currentRate(now time.Time) float64 {
	if !s.rateTime.IsZero() {
		s.rate *= decay(now.Sub(s.rateTime), rateHalfLife)
	}
	s.rateTime = now
	return s.rate
}
