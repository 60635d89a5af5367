// Package enginestate decides which states of engines a gateway passes on to the others. A
// rank agent reports to several gateways, of which one or two have to tell the rest.
package enginestate

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxRepeatDelay is how long a state that is only repeated may wait, so that many of
	// them are passed on in one message. Changed states go at once.
	maxRepeatDelay = 500 * time.Millisecond
	// enoughRelays is the number of other gateways that have passed a state on, from
	// which it is not passed on once more.
	enoughRelays = 2
	// memoryTime is how long a state is remembered after it was heard last.
	memoryTime = 5 * time.Second
	// samePaceRatio is the largest ratio of two paces that count as the same.
	samePaceRatio = 1.1
)

// State is the state of an engine.
type State struct {
	// Address identifies the engine.
	Address string
	// Pace is the factor by which it is slower than normal, and Open reports whether its
	// group accepts requests.
	Pace float64
	Open bool
}

// same reports whether gateways treat two states of an engine alike.
func (s State) same(o State) bool {
	low, high := min(s.Pace, o.Pace), max(s.Pace, o.Pace)
	return s.Open == o.Open && (low == high || low > 0 && high <= samePaceRatio*low)
}

type entry struct {
	State
	heardAt time.Time
	// due is when the state must be passed on. It is zero if it need not be.
	due time.Time
	// relays counts the gateways that have passed on the same state since it was queued.
	relays int
	// sent is what was passed on last, if wasSent is set.
	sent    State
	wasSent bool
}

// mayDrop reports whether the state need not be passed on, since others have done it. A
// gateway that has passed on another state does so itself: its earlier message may
// arrive after theirs.
func (e *entry) mayDrop() bool {
	return e.relays >= enoughRelays && (!e.wasSent || e.sent.same(e.State))
}

// Relay holds the states that were heard lately. It is not safe for concurrent use.
type Relay struct {
	known     map[string]*entry
	nextSweep time.Time
	// nextDue is not after the first time at which a state is due, or zero if none waits.
	nextDue time.Time
}

// New returns a relay that knows no states.
func New() *Relay { return &Relay{known: map[string]*entry{}} }

// FromAgent records a state that the engine's own agent has sent.
func (r *Relay) FromAgent(s State, now time.Time) {
	e, changed := r.heard(s, now)
	e.relays = 0
	due := now
	if !changed {
		due = now.Add(maxRepeatDelay)
	}
	if e.due.IsZero() || due.Before(e.due) {
		e.due = due
		r.expect(due)
	}
}

// FromGateway records a state that another gateway has passed on.
func (r *Relay) FromGateway(s State, now time.Time) {
	e, changed := r.heard(s, now)
	if changed {
		e.relays = 0
	}
	e.relays++
	if e.mayDrop() {
		e.due = time.Time{}
	}
}

// heard returns the entry of an engine with its new state, and whether that is another
// one than before.
func (r *Relay) heard(s State, now time.Time) (e *entry, changed bool) {
	r.sweep(now)
	e = r.known[s.Address]
	if e == nil {
		e = &entry{}
		r.known[s.Address] = e
		changed = true
	}
	changed = changed || !e.same(s)
	e.State, e.heardAt = s, now
	return e, changed
}

// Take returns the states to pass on now, ordered by address. All that wait go with the
// first one that is due.
func (r *Relay) Take(now time.Time) []State {
	if !r.isDue(now) {
		return nil
	}
	var out []State
	for _, e := range r.known {
		if e.due.IsZero() {
			continue
		}
		e.due, e.sent, e.wasSent = time.Time{}, e.State, true
		out = append(out, e.State)
	}
	r.nextDue = time.Time{}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// expect records that a state is due at a time.
func (r *Relay) expect(due time.Time) {
	if r.nextDue.IsZero() || due.Before(r.nextDue) {
		r.nextDue = due
	}
}

// isDue reports whether a state is due. It looks at all of them only at the time at which
// the first was due, since it is called at each tick.
func (r *Relay) isDue(now time.Time) bool {
	if r.nextDue.IsZero() || now.Before(r.nextDue) {
		return false
	}
	r.nextDue = time.Time{}
	for _, e := range r.known {
		if !e.due.IsZero() {
			r.expect(e.due)
		}
	}
	return !r.nextDue.IsZero() && !now.Before(r.nextDue)
}

// sweep forgets states that were not heard for a while.
func (r *Relay) sweep(now time.Time) {
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(memoryTime)
	for a, e := range r.known {
		if now.Sub(e.heardAt) > memoryTime {
			delete(r.known, a)
		}
	}
}

// Len returns the number of remembered states.
func (r *Relay) Len() int { return len(r.known) }
