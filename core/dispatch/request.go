package dispatch

import (
	"time"

	"nutmegnotch/core"
)

// Request is what the decision knows of a request.
type Request struct {
	ID      uint64
	Service string
	Arrived time.Time
	// Objective is when its reply, or the first event, is due; QueueDeadline is when a
	// reply that has not begun is of no use any more.
	Objective time.Time
	GiveUp    time.Time
	Priority  int
	// Tokens is the expected work at a model engine.
	Tokens int64
	// Resumed marks a stream that has begun at another server.
	Resumed bool
	// CallerRetry marks a request whose caller has come back after a failure. It may
	// not come back again, so it waits for a server that may return.
	CallerRetry bool
	// Tried lists the servers that the request was sent to before.
	Tried []string
}

// Reason tells why a request got no server.
type Reason string

// Reasons of rejections.
const (
	ReasonNoServer  Reason = "no_backend_server"
	ReasonQueueFull Reason = "queue_full"
	ReasonTooLate   Reason = "wait_exceeds_deadline"
	ReasonBudget    Reason = "retry_budget"
	ReasonLeaving   Reason = "leaving"
)

// Verdict is the decision about one request.
type Verdict struct {
	RequestID  uint64
	Server     core.BackendServer
	Rejected   Reason
	RetryAfter time.Duration
	// Load and Waiting are the inputs of the decision, for the log.
	Load    int
	Waiting int
}

// Outcome tells how a send ended.
type Outcome int

// Outcomes of sends.
const (
	// OutcomeServed is a reply of the server, of whatever status.
	OutcomeServed Outcome = iota
	// OutcomeShed is a rejection by the server: the request has not run.
	OutcomeShed
	// OutcomeMisdirected is a rejection by another server at the same address.
	OutcomeMisdirected
	// OutcomeFailed is a broken, foreign or missing reply.
	OutcomeFailed
	// OutcomeUnreachable is a connection that was not made.
	OutcomeUnreachable
	// OutcomeCancelled is a send that the caller ended.
	OutcomeCancelled
)
