package core

import "github.com/juju/errors"

// Errors that callers of this module test for with errors.Is.
const (
	// ErrExpired reports a read below the first offset that the log retains.
	ErrExpired = errors.ConstError("records have expired")
	// ErrUnavailable reports that a peer or the log gave no answer. The effect
	// of the call is unknown.
	ErrUnavailable = errors.ConstError("service unavailable")
	// ErrNotAppended reports an append that did not reach the log. It had no
	// effect. It comes together with ErrUnavailable.
	ErrNotAppended = errors.ConstError("record was not appended")
	// ErrRateLimited reports that the log refused an append. It had no effect.
	ErrRateLimited = errors.ConstError("rate limit exceeded")
	// ErrNotReady reports state that has not been read far enough to answer.
	ErrNotReady = errors.ConstError("not ready")
	// ErrConflict reports a change that lost to another change.
	ErrConflict = errors.ConstError("lost to another change")
	// ErrInvalid reports input that breaks a documented rule.
	ErrInvalid = errors.ConstError("invalid input")
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrStaleFence reports an order with a fencing number below the highest
	// number seen.
	ErrStaleFence = errors.ConstError("stale fencing number")
)
