// Package shutdown decides which requests a process still accepts during a planned stop,
// so that none is accepted that cannot end within the grace period. It does no I/O; time
// is an argument.
package shutdown

import "time"

// Timing of a planned stop with a long enough grace period.
const (
	// noticeTime is how long all requests are accepted. A load balancer that checks once a
	// second takes a host out after two failed checks, and until then callers cannot know
	// that the host stops.
	noticeTime = 2500 * time.Millisecond
	// acceptTime is how long requests that end in time are accepted.
	acceptTime = 3500 * time.Millisecond
	// closeTime is the part of the grace period that is kept for closing connections and
	// ending the process.
	closeTime = 500 * time.Millisecond
)

// Shares of a short grace period, which bound the times above.
const (
	maxNoticeShare = 0.4
	maxCloseShare  = 1.0 / 8
)

// Plan is the schedule of one planned stop. It is immutable.
type Plan struct {
	begun time.Time
	grace time.Duration
}

// NewPlan returns the schedule of a stop that begins at a time and ends when the grace
// period is over.
func NewPlan(begun time.Time, grace time.Duration) Plan {
	return Plan{begun: begun, grace: grace}
}

// AbortAt returns when the requests in progress are aborted.
func (p Plan) AbortAt() time.Time { return p.begun.Add(p.grace - p.closeTime()) }

// BreakOffAt returns when replies that servers have begun are broken off.
func (p Plan) BreakOffAt() time.Time { return p.AbortAt().Add(p.closeTime() / 4) }

// CutAt returns when the connections of aborted requests that are not answered yet are cut
// off.
func (p Plan) CutAt() time.Time { return p.AbortAt().Add(p.closeTime() / 2) }

// RejectAt returns when the last request is accepted.
func (p Plan) RejectAt() time.Time {
	return p.begun.Add(min(acceptTime, p.grace-2*p.closeTime()))
}

// Accepts reports whether a request that has arrived whole at a time, and that ends at its
// deadline at the latest, is accepted.
func (p Plan) Accepts(arrived, deadline time.Time) bool {
	switch {
	case !arrived.Before(p.RejectAt()):
		return false
	case arrived.Before(p.begun.Add(p.noticeTime())):
		return true
	}
	return !deadline.After(p.AbortAt())
}

// Extend returns when a request ends whose deadline was extended. It is no later than what
// leaves time to answer the request before the abort, but not before the deadline that it was
// accepted with.
func (p Plan) Extend(deadline, extended time.Time) time.Time {
	last := p.AbortAt().Add(-p.closeTime())
	if extended.Before(last) {
		return extended
	}
	if deadline.After(last) {
		return deadline
	}
	return last
}

func (p Plan) noticeTime() time.Duration { return min(noticeTime, share(p.grace, maxNoticeShare)) }

func (p Plan) closeTime() time.Duration { return min(closeTime, share(p.grace, maxCloseShare)) }

func share(d time.Duration, s float64) time.Duration { return time.Duration(s * float64(d)) }
