package admission

import "time"

// Bounds of the time that a refusal asks the caller to wait.
const (
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// releaseRateWindow is the time over which the release rate is averaged.
const releaseRateWindow = 2 * time.Second

// releaseRate measures how many tokens of memory become free per second, over
// the present and the last window.
type releaseRate struct {
	start   time.Time
	tokens  int64
	lastPer float64
}

func (r *releaseRate) add(tokens int64, now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	r.tokens += tokens
	if d := now.Sub(r.start); d >= releaseRateWindow {
		r.lastPer = float64(r.tokens) / d.Seconds()
		r.start, r.tokens = now, 0
	}
}

// perSecond returns the rate, or 0 while it is unknown.
func (r *releaseRate) perSecond() float64 {
	if r.lastPer > 0 {
		return r.lastPer
	}
	return float64(r.tokens) / releaseRateWindow.Seconds()
}

// wait estimates when the given number of tokens will have become free.
func (a *Admitter) wait(tokens int64) time.Duration {
	return waitFor(tokens, a.releases.perSecond())
}

// waitOrganisation estimates when an organisation will have freed the tokens,
// as its holdings are released in proportion to its part of the memory.
func (a *Admitter) waitOrganisation(organisation string, tokens int64) time.Duration {
	if a.tokens == 0 {
		return defaultRetryAfter
	}
	part := float64(a.orgs.held(organisation).tokens) / float64(a.tokens)
	return waitFor(tokens, part*a.releases.perSecond())
}

func waitFor(tokens int64, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return defaultRetryAfter
	}
	seconds := float64(max(tokens, 1)) / perSecond
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
