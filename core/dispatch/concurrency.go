package dispatch

import (
	"slices"
	"time"
)

// Settings of the concurrency limit of lock-step groups.
const (
	// targetGapRatio is the target time of a forward pass as a fraction of the
	// longest event gap that is on time. A pass that takes longer than that gap
	// makes all running streams late at once.
	targetGapRatio = 0.75
	// lateTargetGapRatio replaces targetGapRatio for a group whose slowest engine
	// alone exceeds the target. Its streams are late in any case, but must end
	// before their callers give up.
	lateTargetGapRatio = 2.0
	// gapSampleWindow is how long a gap sample is used, and minGapSamples how many
	// samples a measurement needs.
	gapSampleWindow = 200 * time.Millisecond
	minGapSamples   = 5
	// minStallGap is the gap above which a group counts as stalled. Such gaps say
	// nothing about the time of a pass.
	minStallGap = 600 * time.Millisecond
	// minRequestsPerServer is the lower bound of the limit for each server.
	minRequestsPerServer = 2
)

// concurrencyLimiter limits the requests of a lock-step group by the event gaps
// of its streams, which show the time of a forward pass. A pass takes a fixed time
// plus a time for each request that any rank runs. The latter grows with the skew
// of the expert map, so it is measured.
type concurrencyLimiter struct {
	gaps []gapSample
	// maxGap is the longest gap that is on time, as of the last sample.
	maxGap time.Duration
	// timePerRequest is the measured time that one request adds to a pass; 0 until
	// the first measurement.
	timePerRequest time.Duration
	// medianGap is the median of the recent gaps, as of medianAt.
	medianGap time.Duration
	medianAt  time.Time
}

type gapSample struct {
	gap time.Duration
	at  time.Time
}

// observe records an event gap; maxGap is the longest one that is on time.
func (l *concurrencyLimiter) observe(gap, maxGap time.Duration, now time.Time) {
	if maxGap <= 0 || gap > minStallGap {
		return
	}
	l.maxGap = maxGap
	l.gaps = append(l.gaps, gapSample{gap, now})
}

// measure updates timePerRequest from the median of the recent gaps, the number
// of running requests and base, the time of a pass without requests.
func (l *concurrencyLimiter) measure(requests int, base time.Duration, now time.Time) {
	l.gaps = recent(l.gaps, gapSampleWindow, now)
	if len(l.gaps) < minGapSamples || requests == 0 {
		return
	}
	l.medianGap, l.medianAt = medianGap(l.gaps), now
	l.timePerRequest = max(time.Microsecond, (l.medianGap-base)/time.Duration(requests))
}

// limit returns the number of requests that the group may run, which is slots
// until the first measurement. servers and slots are totals of the group, and base
// is the time of a pass without requests.
func (l *concurrencyLimiter) limit(servers, slots int, base time.Duration, now time.Time) int {
	if l.timePerRequest == 0 {
		return slots
	}
	target := targetGapRatio
	if base > time.Duration(targetGapRatio*float64(l.maxGap)) {
		target = lateTargetGapRatio
	}
	workTime := time.Duration(target*float64(l.maxGap)) - base
	return min(slots, max(minRequestsPerServer*servers, int(workTime/l.timePerRequest)))
}

// recent returns the samples, which are ordered by time, without those that are older than
// a window.
func recent(samples []gapSample, window time.Duration, now time.Time) []gapSample {
	i := 0
	for i < len(samples) && now.Sub(samples[i].at) > window {
		i++
	}
	return samples[i:]
}

// medianGap returns the median gap of samples, of which there must be one.
func medianGap(samples []gapSample) time.Duration {
	sorted := make([]time.Duration, len(samples))
	for i, s := range samples {
		sorted[i] = s.gap
	}
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
