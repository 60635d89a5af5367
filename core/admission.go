package core

import "time"

// Admitter decides at an agent what its backend server may hold. One task owns
// it; it is not safe for concurrent use.
type Admitter interface {
	// Admit reserves the cost of r or refuses it as not run.
	Admit(r Request, now time.Time) (Refusal, bool)
	// Done releases what Admit reserved and learns from the outcome.
	Done(r Request, o Outcome, now time.Time)
	// Restarted tells that the backend server has just started or has lost what
	// warmed it.
	Restarted(now time.Time)
	// Load fills in held and limit values.
	Load() (heldTokens int64, heldCount int, limitTokens int64, limitCount int)
}

// Outcome is what became of one run at a backend server.
type Outcome struct {
	Succeeded bool
	Crashed   bool
	// Cancelled reports a run that did not start or that the caller ended, from
	// which nothing is learned.
	Cancelled    bool
	OutputTokens int64
	FirstToken   time.Duration
	Elapsed      time.Duration
}
