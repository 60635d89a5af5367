package core

import "github.com/juju/errors"

// Errors that callers check with errors.Is.
const (
	// ErrExpired reports a read below the first offset that the log retains.
	ErrExpired = errors.ConstError("records have expired")
	// ErrUnavailable reports that a peer or the log did not answer. The effect
	// of the call is unknown.
	ErrUnavailable = errors.ConstError("service unavailable")
	// ErrRecordsLost reports a log that no longer has records that it had acknowledged.
	// It is returned together with ErrUnavailable.
	ErrRecordsLost = errors.ConstError("log has lost acknowledged records")
	// ErrNotAppended reports an append that did not reach the log and had no
	// effect. It is returned together with ErrUnavailable.
	ErrNotAppended = errors.ConstError("record was not appended")
	// ErrRateLimited reports an append that the log rejected. It had no effect.
	ErrRateLimited = errors.ConstError("rate limit exceeded")
	// ErrNotReady reports that the state has not been read far enough to answer
	// the call.
	ErrNotReady = errors.ConstError("not ready")
	// ErrConflict reports a call that conflicts with another change.
	ErrConflict = errors.ConstError("lost to another change")
	// ErrInvalid reports input that violates a documented rule.
	ErrInvalid = errors.ConstError("invalid input")
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrStaleFence reports an order with a fencing number below the highest one
	// seen.
	ErrStaleFence = errors.ConstError("stale fencing number")
)
