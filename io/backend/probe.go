package backend

import (
	"context"
	"errors"
	"syscall"

	"nutmegnotch/core"
)

// Liveness is what a connection attempt tells about the process of a server.
type Liveness int

// Results of Probe. LivenessUnknown means that nothing was received, as from a host
// without power or behind a partition.
const (
	LivenessUnknown Liveness = iota
	// LivenessAccepts means that a process listens at the address.
	LivenessAccepts
	// LivenessRefuses means that no process listens there.
	LivenessRefuses
)

// String returns the name of l in logs.
func (l Liveness) String() string {
	switch l {
	case LivenessAccepts:
		return "accepts"
	case LivenessRefuses:
		return "refuses"
	}
	return "unknown"
}

// Probe connects to a server to find out whether its process runs. The connection is
// kept for the next request. The context bounds the time.
func (c *Client) Probe(ctx context.Context, server core.BackendServer) Liveness {
	k, err := c.dial(ctx, server)
	switch {
	case err == nil:
		c.putIdle(k)
		return LivenessAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return LivenessRefuses
	}
	return LivenessUnknown
}
