package dispatch

import (
	"slices"
	"time"
)

// Settings of the detection of engines that send no events while other engines
// of their group do, as on a frozen host.
const (
	// eventTimeout is the time without an event after which an engine is excluded:
	// several times the longest event gap that is on time. firstEventTimeout
	// applies while it has sent no event for its requests, since the prefill of
	// long prompts takes longer.
	eventTimeout      = 400 * time.Millisecond
	firstEventTimeout = 500 * time.Millisecond
	// slowGapFactor makes both longer in a slow group: no engine is excluded that is silent
	// for less than this many times the usual gap of its group, as measured within
	// maxGapAge, or the usual time to a first event.
	slowGapFactor = 3
	maxGapAge     = time.Second
	// maxSilence bounds both. Callers leave a stream that is silent for longer.
	maxSilence = 2 * time.Second
	// firstEventWindow is how long a time to a first event is used, and minFirstEvents how
	// many are needed.
	firstEventWindow = 2 * time.Second
	minFirstEvents   = 3
	// maxActivityGap is the longest time without any event for which a group
	// counts as active. In a stalled group no rank sends events.
	maxActivityGap = 200 * time.Millisecond
	// minUnresponsiveBackoff is the first exclusion time of an unresponsive
	// engine.
	minUnresponsiveBackoff = 500 * time.Millisecond
)

// groupActivity is the time since when a group has sent events without a gap
// above maxActivityGap, and the time of its last event.
type groupActivity struct{ since, last time.Time }

func (a *groupActivity) recordEvent(now time.Time) {
	if now.Sub(a.last) > maxActivityGap {
		a.since = now
	}
	a.last = now
}

// firstEvents holds the recent times to the first event of the engines of a group.
type firstEvents struct{ samples []gapSample }

func (f *firstEvents) observe(wait time.Duration, now time.Time) {
	f.samples = append(f.samples, gapSample{wait, now})
}

// median returns the median of the recent times, or 0 if there are too few.
func (f *firstEvents) median(now time.Time) time.Duration {
	f.samples = recent(f.samples, firstEventWindow, now)
	if len(f.samples) < minFirstEvents {
		return 0
	}
	return medianGap(f.samples)
}

// ObserveEvent records an event of a stream. gap is the time since the previous
// event, or 0 for the first one, and maxGap the longest gap that is on time.
func (d *Dispatcher) ObserveEvent(name, serverID string, gap, maxGap time.Duration, now time.Time) {
	s := d.service(name)
	sv := s.servers[serverID]
	if sv == nil {
		return
	}
	g := sv.group
	if !sv.hasSentEvent {
		g.firstEvents.observe(now.Sub(sv.lastEvent), now)
	}
	sv.lastEvent, sv.hasSentEvent = now, true
	sv.health.include()
	g.activity.recordEvent(now)
	sv.outage().end()
	if gap > 0 {
		g.limiter.observe(gap, maxGap, now)
	}
}

// DetectUnresponsive returns the servers that have become unresponsive since the
// last call and excludes them. Callers should move their requests to other
// servers that take them, until the servers are no longer excluded.
func (d *Dispatcher) DetectUnresponsive(now time.Time) []string {
	var out []string
	for sv := range d.busy {
		if d.listed[sv.ID] != sv || d.service(sv.Service).config.Engine == nil || !sv.unresponsive(now) {
			continue
		}
		out = append(out, sv.ID)
		if !sv.hasSentEvent {
			// Without those that were cut short the group would look faster than it is.
			sv.group.firstEvents.observe(now.Sub(sv.lastEvent), now)
		}
		sv.lastEvent = now
		sv.health.excludeUnresponsive(now)
	}
	slices.Sort(out)
	return out
}

// Excluded reports whether a server gets no requests, or only probes, until it has sent an
// event or a reply.
func (d *Dispatcher) Excluded(id string) bool {
	sv := d.listed[id]
	return sv != nil && sv.health.excluded()
}

// unresponsive reports whether a server with requests has sent no event for its
// timeout while others of its group did.
func (sv *server) unresponsive(now time.Time) bool {
	a := sv.group.activity
	if sv.requests == 0 || now.Sub(a.last) > maxActivityGap {
		return false
	}
	timeout := eventTimeout
	if !sv.hasSentEvent {
		timeout = max(firstEventTimeout, slowGapFactor*sv.group.firstEvents.median(now))
	}
	if l := &sv.group.limiter; now.Sub(l.medianAt) <= maxGapAge {
		timeout = max(timeout, slowGapFactor*l.medianGap)
	}
	timeout = min(timeout, maxSilence)
	return now.Sub(sv.lastEvent) >= timeout && now.Sub(a.since) >= timeout
}
