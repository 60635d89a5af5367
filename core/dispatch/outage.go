package dispatch

import "time"

// Settings of the search for groups that are out of service.
const (
	// rejectionsInRow is the number of rejections without a success between them
	// after which a group counts as out of service. Fewer may come from full
	// engines.
	rejectionsInRow = 3
	// firstProbe and maxProbe bound the time between two requests to a group that
	// is out of service.
	firstProbe = 100 * time.Millisecond
	maxProbe   = 200 * time.Millisecond
)

// outage tells whether a lock-step group, or an engine without a group, rejects
// all requests. A group whose ranks are not all back does; once it is formed
// again, all ranks serve.
type outage struct {
	rejections int
	probe      time.Duration
	until      time.Time
}

// out reports whether the group is out of service.
func (o *outage) out() bool { return o.probe > 0 }

// takes reports whether a request may be sent now. During an outage, only callers
// that will come back are used to find out whether it is over.
func (o *outage) takes(r Request, now time.Time) bool {
	return !o.out() || !r.CallerRetry && !now.Before(o.until)
}

// sent notes a request, which is a probe when the group is out of service.
func (o *outage) sent(now time.Time) {
	if o.out() {
		o.until = now.Add(o.probe)
	}
}

// rejected notes that an engine has rejected a request.
func (o *outage) rejected(now time.Time) {
	o.rejections++
	if o.rejections >= rejectionsInRow {
		o.begin(now)
	}
}

// begin notes that the group is out of service.
func (o *outage) begin(now time.Time) {
	o.probe = min(maxProbe, max(firstProbe, 2*o.probe))
	o.until = now.Add(o.probe)
}

// over notes a sign that the group serves.
func (o *outage) over() { *o = outage{} }

// outageOf returns what is known of the group of a server.
func (s *service) outageOf(sv *server) *outage {
	if sv.Place.Group == "" {
		return &sv.alone
	}
	return &s.group(sv).outage
}
