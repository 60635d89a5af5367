package expertmap

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// Messages returns the messages that are due to all ranks. Unanswered messages
// are repeated, and each rank gets a message at least every heartbeatInterval:
// ranks use it to detect a failed leader, and its answer shows the leader that
// a rank has lost its state.
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

// MessagesTo returns the messages that are due to one rank. Calling it instead
// of Messages is enough after an answer of that rank that left State unchanged.
func (l *Leader) MessagesTo(rank int, now time.Time) []Message {
	if l.deposed {
		return nil
	}
	return l.appendTo(nil, rank, now)
}

func (l *Leader) appendTo(out []Message, rank int, now time.Time) []Message {
	r := &l.ranks[rank]
	if m, ok := l.wantedMessage(rank); ok && r.due(m, now) {
		r.lastMessage, r.sentAt, r.acked = m, now, false
		out = append(out, m)
	}
	if m, ok := l.wantedLoad(rank); ok && now.Sub(r.loadSentAt) >= resendInterval {
		r.loadSentAt = now
		out = append(out, m)
	}
	return out
}

// LeaderState is the part of the leader's state that the messages to all ranks
// depend on. Two values can be compared with ==.
type LeaderState struct {
	phase                                            leaderPhase
	generation, startStep, planEnd, current, pending int64
}

// State returns the current LeaderState.
func (l *Leader) State() LeaderState {
	return LeaderState{phase: l.phase, generation: l.generation, startStep: l.startStep, planEnd: l.planEnd, current: l.current, pending: l.pending}
}

// due reports whether m has to be sent: it differs from the last message, or
// the last one is unanswered for resendInterval, or a heartbeat is due.
func (r *rankProgress) due(m Message, now time.Time) bool {
	elapsed := now.Sub(r.sentAt)
	return !m.equal(r.lastMessage) || elapsed >= heartbeatInterval || !r.acked && elapsed >= resendInterval
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

// wantedMessage returns the message for a rank in the current phase. It reports
// false when there is none.
func (l *Leader) wantedMessage(rank int) (Message, bool) {
	r := &l.ranks[rank]
	switch l.phase {
	case leaderCollect:
		return Message{Rank: rank, Collect: &Collect{Fence: l.fence}}, true
	case leaderStop, leaderLoad:
		return Message{Rank: rank, Stop: &Stop{Fence: l.fence, Generation: l.generation, Horizon: l.planEnd}}, true
	case leaderBegin:
		return Message{Rank: rank, Begin: &Begin{Fence: l.fence, Generation: l.generation, Step: l.startStep}}, true
	default:
	}
	g, ok := l.nextGrant(r.horizon)
	if !ok {
		g, ok = l.heartbeatGrant()
	}
	return Message{Rank: rank, Grant: &g}, ok
}

// heartbeatGrant returns the newest grant again. A rank that holds it only
// acknowledges it.
func (l *Leader) heartbeatGrant() (core.StepGrant, bool) {
	if len(l.plan) == 0 {
		return core.StepGrant{}, false
	}
	g := l.plan[len(l.plan)-1]
	g.Fence = l.fence
	return g, true
}

// wantedLoad returns a LoadMap for the map that the rank needs next. It reports
// false when the rank has that map or its content is not known here.
func (l *Leader) wantedLoad(rank int) (Message, bool) {
	r := &l.ranks[rank]
	version := int64(0)
	switch l.phase {
	case leaderLoad:
		version = l.current
	case leaderRun:
		version = l.pending
		if g, ok := l.nextGrant(r.horizon); ok && !slices.Contains(r.loaded, g.MapVersion) {
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
