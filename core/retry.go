package core

import "time"

// Attempt describes an attempt at an agent that ended without a whole reply.
type Attempt struct {
	Number int
	// NotRun reports that the agent has confirmed that nothing ran.
	NotRun bool
	// ReplyStarted reports that a part of the reply was sent to the caller.
	ReplyStarted bool
	Crashed      bool
}

// Retrier decides whether a request may be attempted again.
type Retrier interface {
	// CountRequest counts a first attempt.
	CountRequest(service string, now time.Time)
	// AllowRetry reports whether another attempt is allowed, and if so charges it
	// to the retry budget.
	AllowRetry(r Request, a Attempt, now time.Time) bool
}

// Quarantine detects requests that crash backend servers.
type Quarantine interface {
	// Crashed records a crash of a backend server that was running the requests
	// with these fingerprints.
	Crashed(crashID string, fingerprints []uint64, now time.Time)
	// Completed clears the suspicion against a request that ran to its end.
	Completed(fingerprint uint64, now time.Time)
	// Status returns how to treat a request.
	Status(fingerprint uint64, now time.Time) QuarantineStatus
}

// QuarantineStatus is how a request is treated.
type QuarantineStatus int

// Quarantine states. A clear request runs anywhere, a suspect runs alone on a
// backend server, and a blocked request is always refused.
const (
	QuarantineClear QuarantineStatus = iota
	QuarantineSuspect
	QuarantineBlocked
)
