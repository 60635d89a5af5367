package ratelimit

import (
	"math"
	"slices"
	"time"

	"nutmegnotch/core"
)

// Times of permits.
const (
	// PermitTTL is how long a permit may be used after it was asked for. Time that an
	// answer or a gateway loses on the way counts.
	PermitTTL = time.Second
	// askTimeout is how long a gateway waits for an answer before it asks again.
	askTimeout = 300 * time.Millisecond
	// demandTime is how long a request that found no permit counts as demand, unless it is
	// still waiting and looks again.
	demandTime = 50 * time.Millisecond
)

// Home is the gateway that grants the permits of a process. It is empty while this gateway
// does not know which others there are.
type Home struct {
	Address string
	// Self reports that it is this gateway.
	Self bool
	// Part is the part of the limit that the gateways which reach each other may use.
	Part float64
}

// permits is what a gateway holds and wants of one limit.
type permits struct {
	// ends holds the ends of the permits held, first one first.
	ends []time.Time
	// wanted is the number of requests that found no permit since the last question,
	// lastWanted the highest id of them, and wantedAt when the last one looked.
	wanted     int
	lastWanted uint64
	wantedAt   time.Time
	// The last question has the number seq and is unanswered while pending is set.
	seq     uint64
	asked   int
	askedAt time.Time
	pending bool
	// nextAsk is when the next question may be asked.
	nextAsk time.Time
}

// Ask is a question for permits to the home of a process.
type Ask struct {
	Process Process
	// Home is the address of the gateway to ask.
	Home  string
	Seq   uint64
	Count int
}

// SetHome sets the home of a process. A gateway that is no longer the home forgets the
// bucket.
func (t *Table) SetHome(p Process, h Home) {
	l := t.limits[p]
	if l == nil {
		return
	}
	if h.Address != l.home.Address {
		l.permits.pending, l.permits.nextAsk = false, time.Time{}
	}
	if !h.Self {
		l.bucket = nil
	}
	l.home = h
}

// Holds reports whether a request may be sent to a process now.
func (t *Table) Holds(p Process, now time.Time) bool {
	l := t.limits[p]
	return l == nil || l.held(now) > 0
}

// Admits reports whether a request may be sent to a process now. A request that may not
// counts as demand. If this gateway is the home, it grants itself a permit.
func (t *Table) Admits(p Process, request uint64, now time.Time) bool {
	l := t.limits[p]
	if l == nil || l.held(now) > 0 {
		return true
	}
	l.want(request, now)
	if l.home.Self && !now.Before(l.permits.nextAsk) {
		t.ask(l, now)
		return l.held(now) > 0
	}
	t.wanting[l] = true
	return false
}

// want counts a request that found no permit.
func (l *limit) want(request uint64, now time.Time) {
	m := &l.permits
	if now.Sub(m.wantedAt) > demandTime {
		m.wanted = 0
	}
	m.wantedAt = now
	switch {
	case request > m.lastWanted:
		m.lastWanted = request
		m.wanted++
	case m.wanted == 0 && !m.pending:
		// The request waits since an earlier question.
		m.wanted = 1
	}
}

// held drops the permits that have ended and returns the number of the others.
func (l *limit) held(now time.Time) int {
	m := &l.permits
	for len(m.ends) > 0 && !now.Before(m.ends[0]) {
		m.ends = m.ends[1:]
	}
	return len(m.ends)
}

// Take uses a permit for a request that is sent to a process. It reports whether the
// process has a limit.
func (t *Table) Take(p Process, now time.Time) bool {
	l := t.limits[p]
	if l == nil {
		return false
	}
	l.sends++
	if l.held(now) > 0 {
		l.permits.ends = l.permits.ends[1:]
	}
	return true
}

// Rate returns the limit of a process, in requests a second from all gateways together, or
// 0 if it has none.
func (t *Table) Rate(p Process) float64 {
	if l := t.limits[p]; l != nil {
		return max(l.rate, minRate)
	}
	return 0
}

// Holding returns the processes for which this gateway holds permits.
func (t *Table) Holding(now time.Time) []Process {
	var out []Process
	for l := range t.granted {
		if l.held(now) == 0 {
			delete(t.granted, l)
			continue
		}
		out = append(out, l.process)
	}
	slices.SortFunc(out, compareProcesses)
	return out
}

// OpensAt returns when this gateway may get a permit for a process at the earliest.
func (t *Table) OpensAt(p Process, now time.Time) time.Time {
	if l := t.limits[p]; l != nil && l.held(now) == 0 && l.permits.nextAsk.After(now) {
		return l.permits.nextAsk
	}
	return now
}

// MayAsk reports whether a question for permits of a process can be asked now.
func (t *Table) MayAsk(p Process, now time.Time) bool {
	l := t.limits[p]
	return l != nil && l.mayAsk(now)
}

func (l *limit) mayAsk(now time.Time) bool {
	m := &l.permits
	return l.home.Part > 0 && !now.Before(m.nextAsk) && (!m.pending || now.Sub(m.askedAt) >= askTimeout)
}

// Asks returns the questions to ask other gateways now.
func (t *Table) Asks(now time.Time) []Ask {
	var out []Ask
	for l := range t.wanting {
		if l.permits.wanted == 0 || now.Sub(l.permits.wantedAt) > demandTime {
			delete(t.wanting, l)
			continue
		}
		if !l.mayAsk(now) {
			continue
		}
		delete(t.wanting, l)
		t.ask(l, now)
		if !l.home.Self {
			out = append(out, Ask{Process: l.process, Home: l.home.Address, Seq: l.permits.seq, Count: l.permits.asked})
		}
	}
	slices.SortFunc(out, func(a, b Ask) int { return compareProcesses(a.Process, b.Process) })
	return out
}

// ask begins a question for as many permits as are wanted. A question to this gateway
// itself is answered at once.
func (t *Table) ask(l *limit, now time.Time) {
	m := &l.permits
	t.seq++
	m.seq, m.askedAt, m.pending = t.seq, now, true
	m.asked = int(min(float64(m.wanted), max(1, math.Ceil(l.rate*PermitTTL.Seconds()))))
	m.wanted = 0
	if l.home.Self {
		n, wait := t.Lend(l.process, m.asked, now)
		t.Granted(l.process, m.seq, n, wait, now)
	}
}

// Lend grants up to count permits of a process, and none if this gateway is not its home.
// wait is how long a gateway that gets fewer is to wait before it asks again.
func (t *Table) Lend(p Process, count int, now time.Time) (granted int, wait time.Duration) {
	l := t.limits[p]
	if l == nil || !l.home.Self || count <= 0 {
		return 0, askTimeout
	}
	if l.bucket == nil {
		l.bucket = &bucket{filledAt: now}
	}
	granted, wait = l.bucket.grant(count, l.rate*l.home.Part, now)
	l.lent += int64(granted)
	l.denied += int64(count - granted)
	return granted, wait
}

// Granted applies the answer to a question. An answer to an earlier one has no effect.
func (t *Table) Granted(p Process, seq uint64, count int, wait time.Duration, now time.Time) {
	l := t.limits[p]
	if l == nil || !l.permits.pending || l.permits.seq != seq {
		return
	}
	m := &l.permits
	m.pending = false
	m.nextAsk = now.Add(max(0, min(wait, core.Seconds(1/minRate))))
	end := m.askedAt.Add(PermitTTL)
	if !now.Before(end) {
		return
	}
	for range min(count, m.asked) {
		m.ends = append(m.ends, end)
	}
	if len(m.ends) > 0 {
		t.granted[l] = true
	}
}
