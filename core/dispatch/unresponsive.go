package dispatch

import "time"

// Settings of the search for engines that fall silent while their group gets on,
// as on a host that is frozen.
const (
	// silentAfter is the silence after which an engine that has sent events is
	// left out: several times the longest pause on time. silentFirst is the same
	// for one that only has requests without an event, since long prompts
	// take long to read.
	silentAfter = 400 * time.Millisecond
	silentFirst = 500 * time.Millisecond
	// movingGap is the longest time without any event for which a group counts
	// as getting on. A group that stalls is silent on all ranks.
	movingGap = 200 * time.Millisecond
	// firstSilentBackoff is how long a silent engine is left out at first.
	firstSilentBackoff = 500 * time.Millisecond
)

// motion tells since when a group has shown events without a gap.
type motion struct{ since, last time.Time }

func (m *motion) event(now time.Time) {
	if now.Sub(m.last) > movingGap {
		m.since = now
	}
	m.last = now
}

// ObserveEvent notes an event of a stream: the pause before it, or 0 for the first one,
// and the longest pause that is on time.
func (d *Dispatcher) ObserveEvent(name, serverID string, pause, most time.Duration, now time.Time) {
	s := d.service(name)
	sv := s.servers[serverID]
	if sv == nil {
		return
	}
	sv.heard, sv.spoke = now, true
	sv.health.alive()
	g := s.group(sv)
	g.motion.event(now)
	s.outageOf(sv).over()
	if pause > 0 {
		g.pace.observe(pause, most, now)
	}
}

// DetectUnresponsive returns the servers that have fallen silent since the last call. They
// are left out from now on; requests at them should go elsewhere.
func (d *Dispatcher) DetectUnresponsive(now time.Time) []string {
	var out []string
	for _, s := range d.services {
		if s.config.Engine == nil {
			continue
		}
		for _, sv := range s.order {
			if s.silent(sv, now) {
				out = append(out, sv.ID)
				sv.heard = now
				sv.health.silent(now)
			}
		}
	}
	return out
}

// silent reports whether a server with requests has said nothing for long while
// others of its group did.
func (s *service) silent(sv *server, now time.Time) bool {
	m := s.group(sv).motion
	if sv.requests == 0 || now.Sub(m.last) > movingGap {
		return false
	}
	after := silentFirst
	if sv.spoke {
		after = silentAfter
	}
	return now.Sub(sv.heard) >= after && now.Sub(m.since) >= after
}
