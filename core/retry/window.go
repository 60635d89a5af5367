package retry

import "time"

// windowParts is the number of parts of a window whose counts are kept.
const windowParts = 20

// WindowBudget bounds the repeats of a service in a sliding window: a share of the
// requests in it and a fixed number. It implements the part of one gateway in a
// budget that all gateways share. It is not safe for concurrent use.
type WindowBudget struct {
	ratio  float64
	slack  float64
	length time.Duration
	// base is the time of the first call. Counting from it keeps to the steady
	// clock, since the time of day may jump.
	base  time.Time
	parts map[string]*windowCounts
}

type windowCounts struct {
	requests [windowParts]int
	repeats  [windowParts]int
	at       int64
}

// NewWindowBudget returns a budget of ratio times the requests of a window plus slack.
func NewWindowBudget(ratio, slack float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, length: length, parts: map[string]*windowCounts{}}
}

// SetSlack sets the fixed number of repeats in a window.
func (w *WindowBudget) SetSlack(n float64) { w.slack = n }

// CountRequest counts a request for a service.
func (w *WindowBudget) CountRequest(service string, now time.Time) {
	c, i := w.counts(service, now)
	c.requests[i]++
}

// AllowRetry reports whether a request may be sent once more, and counts that send.
func (w *WindowBudget) AllowRetry(service string, now time.Time) bool {
	c, i := w.counts(service, now)
	requests, repeats := 0, 0
	for j := range windowParts {
		requests += c.requests[j]
		repeats += c.repeats[j]
	}
	if float64(repeats+1) > w.ratio*float64(requests)+w.slack {
		return false
	}
	c.repeats[i]++
	return true
}

// counts returns the counts of a service and the index of the current part.
// Parts that have passed out of the window are cleared.
func (w *WindowBudget) counts(service string, now time.Time) (*windowCounts, int) {
	if w.base.IsZero() {
		w.base = now
	}
	at := int64(now.Sub(w.base) / (w.length / windowParts))
	c := w.parts[service]
	if c == nil {
		c = &windowCounts{at: at}
		w.parts[service] = c
	}
	if at-c.at >= windowParts {
		*c = windowCounts{at: at}
	}
	for c.at < at {
		c.at++
		c.requests[c.at%windowParts], c.repeats[c.at%windowParts] = 0, 0
	}
	return c, int(c.at % windowParts)
}
