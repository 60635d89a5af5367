package admission

import "time"

// Bounds of the Retry-After of refusals, and its value while the release rate is
// unknown.
const (
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// releaseRateWindow is the period over which the release rate is averaged.
const releaseRateWindow = 2 * time.Second

// releaseRate measures how many tokens of memory are released per second, in the
// last completed window or, before one has completed, in the current window.
type releaseRate struct {
	start    time.Time
	tokens   int64
	lastRate float64
}

func (r *releaseRate) add(tokens int64, now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	r.tokens += tokens
	if d := now.Sub(r.start); d >= releaseRateWindow {
		r.lastRate = float64(r.tokens) / d.Seconds()
		r.start, r.tokens = now, 0
	}
}

// perSecond returns the rate, or 0 while it is unknown.
func (r *releaseRate) perSecond() float64 {
	if r.lastRate > 0 {
		return r.lastRate
	}
	return float64(r.tokens) / releaseRateWindow.Seconds()
}

// retryAfter estimates the time until the given number of tokens is released.
func (a *Admitter) retryAfter(tokens int64) time.Duration {
	return timeToRelease(tokens, a.releases.perSecond())
}

// organisationRetryAfter estimates the time until an organisation has released
// the tokens. It assumes that memory is released in proportion to the reserved
// tokens of each organisation.
func (a *Admitter) organisationRetryAfter(organisation string, tokens int64) time.Duration {
	if a.heldTokens == 0 {
		return defaultRetryAfter
	}
	fraction := float64(a.orgs.held(organisation).tokens) / float64(a.heldTokens)
	return timeToRelease(tokens, fraction*a.releases.perSecond())
}

func timeToRelease(tokens int64, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return defaultRetryAfter
	}
	seconds := float64(max(tokens, 1)) / perSecond
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
