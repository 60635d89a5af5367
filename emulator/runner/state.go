package runner

import (
	"net"
	"strings"
	"time"
)

// Leave makes all further replies say that the Runner leaves.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Pause makes the Runner reject all requests for a time. retryAfter is the value of the
// header that asks for it.
func (r *Runner) Pause(length time.Duration, retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil, r.pauseHeader = time.Now().Add(length), retryAfter
}

// Rejection is a request that was rejected by a pause.
type Rejection struct {
	ID string
	At time.Time
}

// Rejected returns the requests that were rejected by a pause.
func (r *Runner) Rejected() []Rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Rejection(nil), r.rejected...)
}

// stateHeaders returns the header lines about the Runner itself.
func (r *Runner) stateHeaders() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	if r.leaving {
		b.WriteString(headerLeaving + ": 1\r\n")
	}
	for _, v := range r.limits {
		b.WriteString(headerLimit + ": " + v + "\r\n")
	}
	return b.String()
}

// NameLimit makes all further replies name a rate limit, in one header for each value.
// Without values they name none.
func (r *Runner) NameLimit(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = values
}

func (r *Runner) arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
}

// Arrivals returns when requests arrived, those that were rejected too.
func (r *Runner) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.arrivals...)
}

// rejectPaused rejects a request during a pause. It reports whether it did.
func (r *Runner) rejectPaused(c net.Conn, id string) bool {
	r.mu.Lock()
	now := time.Now()
	paused, header := now.Before(r.pausedUntil), r.pauseHeader
	if paused {
		r.rejected = append(r.rejected, Rejection{id, now})
	}
	r.mu.Unlock()
	if paused {
		writeReply(c, "503 Service Unavailable", id, "", headerNotRun+": 1\r\n"+headerRetryAfter+": "+header+"\r\n"+r.stateHeaders(), "")
	}
	return paused
}
