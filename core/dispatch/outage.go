package dispatch

import "time"

// Settings of the detection of groups that are out of service.
const (
	// minOutageRejections is the number of rejections in a row after which a group
	// counts as out of service. Fewer may come from full engines.
	minOutageRejections = 3
	// minProbeInterval and maxProbeInterval bound the time between two requests to
	// a group that is out of service.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 200 * time.Millisecond
	// probeSpacing is the mean time between the requests of all gateways together. All of
	// them learn from the engines' agents when the group serves again.
	probeSpacing = 20 * time.Millisecond
	// maxProbeSpread bounds the time between two requests of one gateway, so that a gateway
	// that no agent reaches finds out in time.
	maxProbeSpread = 2 * time.Second
)

// outage tracks whether a lock-step group, or a server without a group, rejects
// all requests. A group does so until all its ranks have returned and it has
// formed again; then all ranks serve.
type outage struct {
	rejections    int
	probeInterval time.Duration
	nextProbe     time.Time
}

// active reports whether the group is out of service.
func (o *outage) active() bool { return o.probeInterval > 0 }

// admits reports whether a request may be sent now. During an outage only first
// attempts are used as probes, since their callers will retry.
func (o *outage) admits(r Request, now time.Time) bool {
	return !o.active() || !r.CallerRetry && !now.Before(o.nextProbe)
}

// sent records a send, which is a probe when the group is out of service. spread is from
// probeSpread.
func (o *outage) sent(now time.Time, spread time.Duration) {
	if o.active() {
		o.nextProbe = now.Add(max(o.probeInterval, spread))
	}
}

// rejected records that an engine has rejected a request.
func (o *outage) rejected(now time.Time, spread time.Duration) {
	o.rejections++
	if o.rejections >= minOutageRejections {
		o.begin(now, spread)
	}
}

// begin marks the group as out of service.
func (o *outage) begin(now time.Time, spread time.Duration) {
	o.probeInterval = min(maxProbeInterval, max(minProbeInterval, 2*o.probeInterval))
	o.nextProbe = now.Add(max(o.probeInterval, spread))
}

// probeSpread returns a random time of which the mean is probeSpacing for each gateway, so
// that many gateways do not probe a group more often than few.
func (d *Dispatcher) probeSpread() time.Duration {
	return min(maxProbeSpread, time.Duration((0.5+d.rnd.Float64())*float64(d.sharers.Gateways)*float64(probeSpacing)))
}

// end marks the group as serving.
func (o *outage) end() { *o = outage{} }

// outage returns the outage state of the group of a server.
func (sv *server) outage() *outage {
	if sv.Place.Group == "" {
		return &sv.ownOutage
	}
	return &sv.group.outage
}
