package core

import "time"

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Model        string
	Adapter      string
	// Repeatable reports that the request may run more than once.
	Repeatable     bool
	IdempotencyKey string
	// Exclusive reports that no other request may run on the backend server at
	// the same time.
	Exclusive bool
	// Fingerprint is a hash of organisation, service, path and body.
	Fingerprint uint64
	// PrefixHash identifies the prefix of the prompt; 0 means none.
	PrefixHash   uint64
	PromptTokens int64
	OutputTokens int64
	Priority     int
	Weight       int
	Arrived      time.Time
	Deadline     time.Time
}

// Cost returns the memory in tokens that the request needs at a backend server.
func (r Request) Cost() int64 {
	if c := r.PromptTokens + r.OutputTokens; c > 1 {
		return c
	}
	return 1
}

// WithDeadline returns a copy of r with another deadline.
func (r Request) WithDeadline(t time.Time) Request {
	r.Deadline = t
	return r
}

// Code is the reason of a refusal or failure in replies, logs and metrics.
type Code string

// Refusal and failure codes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeTooLarge         Code = "too_large"
	CodeUploadTimeout    Code = "upload_timeout"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeKeyMismatch      Code = "idempotency_key_mismatch"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeRateLimit        Code = "rate_limit"
	CodeConcurrency      Code = "concurrency_limit"
	CodeSettling         Code = "contract_settling"
	CodeReplyMemory      Code = "reply_memory"
	CodeOverloaded       Code = "overloaded"
	CodeLeaving          Code = "leaving"
	CodeDrained          Code = "domain_drained"
	CodeStaleConfig      Code = "stale_configuration"
	CodeNoServer         Code = "no_backend_server"
	CodeLogUnavailable   Code = "log_unavailable"
	CodeStillRunning     Code = "still_running"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeCrashesServers   Code = "crashes_backend_servers"
	CodeDeadline         Code = "deadline"
	CodeBackendFailed    Code = "backend_failed"
	CodeConnectionBroken Code = "connection_broken"
)

// Refusal is the final response to a request that got no reply from a backend
// server. NotRun guarantees that no backend server ran any part of the request.
// RetryAfter is zero when a retry would get the same response.
type Refusal struct {
	Code           Code
	Message        string
	NotRun         bool
	OutcomeUnknown bool
	RetryAfter     time.Duration
}

// WithMessage returns a copy of r with another message.
func (r Refusal) WithMessage(m string) Refusal {
	r.Message = m
	return r
}
