package core

import "context"

// Readiness reports whether a process can take new work.
type Readiness interface {
	// Ready returns nil, or an error with the reason why the process is not
	// ready.
	Ready() error
}

// StatusReporter returns the state of a process for operators. The value is
// encoded as JSON.
type StatusReporter interface {
	ReportStatus(ctx context.Context) any
}
