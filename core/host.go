package core

import "context"

// HostState is the state of a host in the platform's host list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Roles of nutmegnotch processes in the host list.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	// RoleGateway accepts callers' requests and sends them directly to backend
	// servers. RoleRankAgent manages the expert maps of a group of ranks.
	RoleGateway   = "gateway"
	RoleRankAgent = "rank_agent"
)

// Host is one entry of the platform's host list, which may be out of date.
// Address is the IP address and port of the process on that host.
type Host struct {
	ID      string    `json:"id"`
	Role    string    `json:"role"`
	Address string    `json:"address"`
	Domain  string    `json:"failure_domain"`
	Region  string    `json:"region"`
	Service string    `json:"service,omitempty"`
	State   HostState `json:"state"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
