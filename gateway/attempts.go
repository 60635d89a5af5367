package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"nutmegnotch/core/dispatch"
)

// attempts is the state of the attempts to forward one request.
type attempts struct {
	*call
	ctx context.Context
	// stop ends ctx in a planned stop.
	stop func()
	// replying is set while a server's reply is being read.
	replying *atomic.Bool
	// trials holds the keys of which no other request may be sent meanwhile.
	trials []uint64
	// served is set when the request has been served to its end.
	served bool
	// sentAt is when the last send began, and answerBegun is set when events of its
	// answer have come.
	sentAt      time.Time
	answerBegun bool
	// sends is the number of sends, serverIDs the servers that were tried.
	sends           int
	connectFailures int
	serverIDs       []string
	// mayHaveRun is set when a server may have run the request.
	mayHaveRun bool
	relay      *relay
	// callerAge is how long ago the caller made its first attempt. It is above 0 if
	// this request is a retry by the caller.
	callerAge time.Duration
	// move is the send to another server that goes on with the request after the last send.
	// moves holds all of them.
	move  *move
	moves *conc.WaitGroup
	// fallback is a complete 5xx reply of a server. It is sent to the caller if no
	// other server sends a complete reply.
	fallback *bufferedReply
}

// request returns the request for the dispatcher, which gets it at a time.
func (a *attempts) request(id uint64, now time.Time) dispatch.Request {
	deadline := a.deadline()
	r := dispatch.Request{
		ID:          id,
		Service:     a.service,
		Arrived:     a.arrived,
		Objective:   a.arrived.Add(a.route.Objective - a.callerAge),
		Priority:    a.priority(),
		Tokens:      a.fields.PromptTokens + a.expectedTokens(),
		CallerRetry: a.callerAge > 0,
		Tried:       a.serverIDs,
	}
	switch {
	case a.relay != nil && a.relay.started:
		// The caller already waits for the next event, so the stream goes before
		// all others, and half of the event timeout is left for the new server.
		r.Priority, r.Objective, r.Resumed = resumedPriority, now, true
		r.QueueDeadline = now.Add(a.eventTimeout() / 2)
	case a.relay != nil:
		share := streamQueueShare
		if a.callerAge > 0 {
			share = callerRetryQueueShare
		}
		r.QueueDeadline = a.arrived.Add(time.Duration(share * float64(a.eventTimeout())))
	default:
		r.QueueDeadline = a.arrived.Add(time.Duration(unaryQueueShare * float64(deadline.Sub(a.arrived))))
	}
	if deadline.Before(r.QueueDeadline) {
		r.QueueDeadline = deadline
	}
	return r
}

func (a *attempts) priority() int {
	if a.holder.HasPriority {
		return a.holder.Priority
	}
	return a.route.Priority
}

// expectedTokens returns the caller's estimate of the output tokens, limited to the
// maximum that it accepts. Without an estimate it is half of the maximum.
func (a *attempts) expectedTokens() int64 {
	if n := a.fields.ExpectedTokens; n > 0 {
		return min(n, max(1, a.fields.MaxTokens))
	}
	return a.fields.MaxTokens / 2
}

// eventTimeout returns how long the caller waits for an event of a stream.
func (a *attempts) eventTimeout() time.Duration {
	return max(minEventTimeout, eventTimeoutObjectives*a.route.Objective, eventTimeoutGaps*a.route.MaxEventGap)
}

// mayContinue reports whether another server can go on where the caller's reply is now.
func (a *attempts) mayContinue() bool { return a.relay == nil || !a.relay.unnumbered.Load() }
