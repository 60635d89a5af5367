package core

import "context"

// Readiness tells whether a process can take new work.
type Readiness interface {
	// Ready returns nil, or why the process is not ready.
	Ready() error
}

// StatusReporter gives the state of a process for operators. The value is
// encoded as JSON.
type StatusReporter interface {
	ReportStatus(ctx context.Context) any
}
