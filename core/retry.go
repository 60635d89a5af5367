package core

import "time"

// Attempt describes how one attempt at an agent ended without a whole reply.
type Attempt struct {
	Number int
	// NotRun reports that the agent proved that nothing ran.
	NotRun bool
	// ReplyStarted reports that a byte of the reply has reached the caller.
	ReplyStarted bool
	Crashed      bool
}

// Retrier decides whether a request may be attempted again.
type Retrier interface {
	// CountRequest counts a first attempt.
	CountRequest(service string, now time.Time)
	// AllowRetry reports whether another attempt is allowed and takes it from the
	// budget.
	AllowRetry(r Request, a Attempt, now time.Time) bool
}

// Quarantine recognises requests that crash backend servers.
type Quarantine interface {
	// Crashed counts a crash of a backend server that held these requests.
	Crashed(crashID string, fingerprints []uint64, now time.Time)
	// Completed clears a request that ran to its end.
	Completed(fingerprint uint64, now time.Time)
	// Status tells how to treat a request.
	Status(fingerprint uint64, now time.Time) QuarantineStatus
}

// QuarantineStatus tells how to treat a request.
type QuarantineStatus int

// Quarantine states: a clear request runs anywhere, a suspect runs alone on a
// backend server, a convicted request is refused for good.
const (
	QuarantineClear QuarantineStatus = iota
	QuarantineSuspect
	QuarantineBlocked
)
