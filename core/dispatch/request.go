package dispatch

import (
	"time"

	"nutmegnotch/core"
)

// Request holds the properties of a request that the dispatcher uses.
type Request struct {
	ID      uint64
	Service string
	Arrived time.Time
	// Objective is when the reply or its first event is due. QueueDeadline is when
	// a waiting request is rejected, because a reply would come too late.
	Objective     time.Time
	QueueDeadline time.Time
	Priority      int
	// Tokens is the expected number of tokens at a model engine.
	Tokens int64
	// Resumed marks a stream that was started by another server.
	Resumed bool
	// CallerRetry marks a retry by the caller. The caller may not retry again, so
	// the request waits for a server that is out of service.
	CallerRetry bool
	// Tried lists the servers that the request was already sent to.
	Tried []string
}

// Reason is the reason why a request got no server.
type Reason string

// Reasons of rejections.
const (
	ReasonNoServer  Reason = "no_backend_server"
	ReasonQueueFull Reason = "queue_full"
	ReasonTooLate   Reason = "wait_exceeds_deadline"
	ReasonBudget    Reason = "retry_budget"
	ReasonLeaving   Reason = "leaving"
	ReasonPaused    Reason = "servers_paused"
	ReasonLimited   Reason = "servers_limited"
)

// Decision is the result for one request: a server, or the reason of its
// rejection in Rejected.
type Decision struct {
	RequestID  uint64
	Server     core.BackendServer
	Rejected   Reason
	RetryAfter time.Duration
	// Load is the load of the server, and Waiting the length of the queue. Both
	// are for the log.
	Load    int
	Waiting int
}

// Outcome is how a send ended.
type Outcome int

// Outcomes of sends.
const (
	// OutcomeServed is a reply of the server with any status.
	OutcomeServed Outcome = iota
	// OutcomeShed is a rejection by the server: the request has not run.
	OutcomeShed
	// OutcomeMisdirected is a rejection by another server at the same address.
	OutcomeMisdirected
	// OutcomeFailed is a missing or incomplete reply, or one that does not come
	// from a backend server.
	OutcomeFailed
	// OutcomeUnreachable is a failed connection attempt.
	OutcomeUnreachable
	// OutcomeUnverified is a reply of which nobody can tell whether it is whole. It
	// shows that the server can be reached, but is neither a success nor a failure.
	OutcomeUnverified
	// OutcomePaused is a rejection by a server that wants no requests for a time.
	OutcomePaused
	// OutcomeCancelled is a send that the caller cancelled.
	OutcomeCancelled
)
