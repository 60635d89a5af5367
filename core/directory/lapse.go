package directory

import "time"

// LapseGracePeriod is how long the record of a backend server may be missing
// after the store is back before the server is dropped. The platform's protocol
// allows about two seconds (PROTOCOL, "Service discovery").
const LapseGracePeriod = 2 * time.Second

// outage is the last time in which the store did not answer this process. Records of
// servers lapse if it answered nobody. The zero value knows of none.
type outage struct {
	// lost is set while the store does not answer this process, since begunAt.
	lost    bool
	begunAt time.Time
	// ownBackAt is when the store answered this process again, and backAt when it is first
	// known to have answered any process since begunAt.
	ownBackAt, backAt time.Time
}

// StoreFailed records that the store does not answer.
func (d *Directory) StoreFailed(now time.Time) {
	if !d.outage.lost {
		d.outage = outage{lost: true, begunAt: now}
	}
}

// StoreAnswered records that the servers have been read up to the end of their topic.
func (d *Directory) StoreAnswered(now time.Time) {
	d.answeredAt = now
	if d.outage.lost {
		d.outage.lost, d.outage.ownBackAt = false, now
		d.outage.sawBack(now)
	}
}

// OtherAnswered records that the store has answered another process. If it did not answer
// this one at that time, the two are cut off from each other and no records lapse.
func (d *Directory) OtherAnswered(at time.Time) {
	if !d.outage.begunAt.IsZero() && at.After(d.outage.begunAt) {
		d.outage.sawBack(at)
	}
}

// AnsweredAt returns when the servers were last read up to the end of their topic, or zero
// while the store does not answer.
func (d *Directory) AnsweredAt() time.Time {
	if d.outage.lost {
		return time.Time{}
	}
	return d.answeredAt
}

func (o *outage) sawBack(at time.Time) {
	if o.backAt.IsZero() || at.Before(o.backAt) {
		o.backAt = at
	}
}

// mayLapse reports whether the record of a server may be missing although the server
// lives: in an outage, and for LapseGracePeriod after it.
func (o *outage) mayLapse(now time.Time) bool {
	return !o.begunAt.IsZero() && (o.backAt.IsZero() || now.Before(o.backAt.Add(LapseGracePeriod)))
}

// hasReported reports whether a record that was applied at a time was written after the
// outage. A server that has reported since has not lapsed.
func (o *outage) hasReported(at time.Time) bool {
	return !o.lost && at.After(o.ownBackAt)
}
