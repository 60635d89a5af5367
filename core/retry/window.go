package retry

import "time"

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 20

// WindowBudget limits the retries of a service in a sliding window to a share of
// its requests in the window plus a fixed number. It is one gateway's part of a
// budget that all gateways share. It is not safe for concurrent use.
type WindowBudget struct {
	ratio  float64
	slack  float64
	length time.Duration
	// base is the time of the first call. Buckets are counted from it by the
	// monotonic clock, since the wall clock may jump.
	base     time.Time
	services map[string]*windowCounts
}

type windowCounts struct {
	requests [windowBuckets]int
	retries  [windowBuckets]int
	bucket   int64
}

// NewWindowBudget returns a budget that allows ratio times the requests plus slack
// retries in a window of the given length.
func NewWindowBudget(ratio, slack float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, length: length, services: map[string]*windowCounts{}}
}

// SetLimits sets the share of the requests and the fixed number of retries in a
// window. What has been counted stays counted.
func (w *WindowBudget) SetLimits(ratio, slack float64) { w.ratio, w.slack = ratio, slack }

// CountRequest counts a request for a service.
func (w *WindowBudget) CountRequest(service string, now time.Time) {
	c, i := w.counts(service, now)
	c.requests[i]++
}

// AllowRetry reports whether a request may be retried, and if so counts the retry.
func (w *WindowBudget) AllowRetry(service string, now time.Time) bool {
	if !w.AllowsRetry(service, now) {
		return false
	}
	c, i := w.counts(service, now)
	c.retries[i]++
	return true
}

// AllowsRetry reports whether a request may be retried, without counting it.
func (w *WindowBudget) AllowsRetry(service string, now time.Time) bool {
	c, _ := w.counts(service, now)
	requests, retries := 0, 0
	for j := range windowBuckets {
		requests += c.requests[j]
		retries += c.retries[j]
	}
	return float64(retries+1) <= w.ratio*float64(requests)+w.slack
}

// counts returns the counts of a service and the index of the current bucket.
// It clears the buckets that are no longer in the window.
func (w *WindowBudget) counts(service string, now time.Time) (*windowCounts, int) {
	if w.base.IsZero() {
		w.base = now
	}
	// A request may have arrived before the first call and be counted after it.
	bucket := max(0, int64(now.Sub(w.base)/(w.length/windowBuckets)))
	c := w.services[service]
	if c == nil {
		c = &windowCounts{bucket: bucket}
		w.services[service] = c
	}
	if bucket-c.bucket >= windowBuckets {
		*c = windowCounts{bucket: bucket}
	}
	for c.bucket < bucket {
		c.bucket++
		c.requests[c.bucket%windowBuckets], c.retries[c.bucket%windowBuckets] = 0, 0
	}
	return c, int(c.bucket % windowBuckets)
}
