package expertmap

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// Messages returns what the leader sends now. It repeats what has not been
// answered, and sends each rank something at least every heartbeatAfter, so
// that ranks know that the leader lives and the leader sees lost state.
func (l *Leader) Messages(now time.Time) []Message {
	if l.deposed {
		return nil
	}
	var out []Message
	for i := range l.ranks {
		out = l.appendTo(out, i, now)
	}
	return out
}

// MessagesTo returns what the leader sends one rank now. It is enough after an
// answer of that rank that has left Stage as it was.
func (l *Leader) MessagesTo(rank int, now time.Time) []Message {
	if l.deposed {
		return nil
	}
	return l.appendTo(nil, rank, now)
}

func (l *Leader) appendTo(out []Message, rank int, now time.Time) []Message {
	r := &l.ranks[rank]
	if m, ok := l.want(rank); ok && r.due(m, now) {
		r.last, r.sent, r.acked = m, now, false
		out = append(out, m)
	}
	if m, ok := l.wantLoad(rank); ok && now.Sub(r.loadSent) >= resendAfter {
		r.loadSent = now
		out = append(out, m)
	}
	return out
}

// LeaderState is what the messages to all ranks depend on. It is comparable.
type LeaderState struct {
	phase                                        phase
	generation, start, planEnd, current, pending int64
}

// State returns what the leader is doing now.
func (l *Leader) State() LeaderState {
	return LeaderState{phase: l.phase, generation: l.generation, start: l.start, planEnd: l.planEnd, current: l.current, pending: l.pending}
}

// due reports whether a message is new, unanswered for long or the next
// heartbeat.
func (r *rankView) due(m Message, now time.Time) bool {
	since := now.Sub(r.sent)
	return !m.equal(r.last) || since >= heartbeatAfter || !r.acked && since >= resendAfter
}

func (m Message) equal(o Message) bool {
	switch {
	case m.Collect != nil:
		return o.Collect != nil && *m.Collect == *o.Collect
	case m.Grant != nil:
		return o.Grant != nil && *m.Grant == *o.Grant
	case m.Stop != nil:
		return o.Stop != nil && *m.Stop == *o.Stop
	case m.Begin != nil:
		return o.Begin != nil && *m.Begin == *o.Begin
	}
	return false
}

// want returns the message that the rank ought to get in the present phase.
func (l *Leader) want(rank int) (Message, bool) {
	r := &l.ranks[rank]
	switch l.phase {
	case phaseCollect:
		return Message{Rank: rank, Collect: &Collect{Fence: l.fence}}, true
	case phaseStop, phaseLoad:
		return Message{Rank: rank, Stop: &Stop{Fence: l.fence, Generation: l.generation, Horizon: l.planEnd}}, true
	case phaseBegin:
		return Message{Rank: rank, Begin: &Begin{Fence: l.fence, Generation: l.generation, Step: l.start}}, true
	default:
	}
	g, ok := l.next(r.horizon)
	if !ok {
		g, ok = l.heartbeat()
	}
	return Message{Rank: rank, Grant: &g}, ok
}

// heartbeat repeats the newest grant, which has no effect at a rank that holds
// it.
func (l *Leader) heartbeat() (core.StepGrant, bool) {
	if len(l.plan) == 0 {
		return core.StepGrant{}, false
	}
	g := l.plan[len(l.plan)-1]
	g.Fence = l.fence
	return g, true
}

// wantLoad returns the order to load a map that the rank lacks.
func (l *Leader) wantLoad(rank int) (Message, bool) {
	r := &l.ranks[rank]
	version := int64(0)
	switch l.phase {
	case phaseLoad:
		version = l.current
	case phaseRun:
		version = l.pending
		if g, ok := l.next(r.horizon); ok && !slices.Contains(r.loaded, g.MapVersion) {
			version = g.MapVersion
		}
	default:
	}
	if version == 0 || slices.Contains(r.loaded, version) {
		return Message{}, false
	}
	if _, known := l.maps[version]; !known {
		return Message{}, false
	}
	return Message{Rank: rank, Load: &LoadMap{Fence: l.fence, Version: version}}, true
}
