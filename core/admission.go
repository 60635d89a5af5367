package core

import "time"

// Admitter decides which requests an agent sends to its backend server. It is
// not safe for concurrent use: one task owns it.
type Admitter interface {
	// Admit reserves the cost of r or refuses it as not run.
	Admit(r Request, now time.Time) (Refusal, bool)
	// Done releases what Admit reserved and adjusts the limits to the outcome.
	Done(r Request, o Outcome, now time.Time)
	// Restarted resets the limits to those of a cold server, after the backend
	// server has restarted or lost its caches.
	Restarted(now time.Time)
	// Load returns the reserved tokens and requests and their current limits.
	Load() (heldTokens int64, heldCount int, limitTokens int64, limitCount int)
}

// Outcome describes how one run at a backend server ended.
type Outcome struct {
	Succeeded bool
	Crashed   bool
	// Cancelled reports a run that did not start or that the caller cancelled.
	// It says nothing about the backend server.
	Cancelled    bool
	OutputTokens int64
	FirstToken   time.Duration
	Elapsed      time.Duration
}
