// Package options reads and validates the settings of a process from its TOML file.
// Settings holds the settings of entries and agents, NodeSettings those of gateways and
// rank agents. Unknown keys, values of a wrong type and values out of range are errors
// that name the file, line, key, value and allowed values.
package options

import (
	"time"

	"nutmegnotch/core"
)

// Kinds of backend servers: a model engine, or a desk, which is a plain service.
const (
	BackendEngine = "engine"
	BackendDesk   = "desk"
)

// Duration is a time.Duration that is written as a string such as "1m30s". It is a
// struct so that the decoder rejects a bare number, which would be in nanoseconds.
type Duration struct {
	d time.Duration
	// malformed is set if the text is not a duration. The checker reports it, because
	// it knows the line and the key.
	malformed bool
}

func newDuration(d time.Duration) Duration { return Duration{d: d} }

// UnmarshalText parses a duration. It returns no error for malformed text, which the
// checker reports.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.d, d.malformed = v, err != nil
	return nil
}

// MarshalText returns the duration as a string such as "1m30s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.d.String()), nil }

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return d.d }

// Settings holds the settings of an entry or an agent.
type Settings struct {
	ID string `toml:"id"`
	// Deployment is the name of the deployment. It keeps deployments apart whose
	// processes may get each other's addresses.
	Deployment    string `toml:"deployment"`
	Role          string `toml:"role"`
	FailureDomain string `toml:"failure_domain"`
	Region        string `toml:"region"`
	LogLevel      string `toml:"log_level"`

	Listen   Listen   `toml:"listen"`
	Log      Log      `toml:"log"`
	HostList HostList `toml:"host_list"`
	Claims   Claims   `toml:"claims"`
	Reports  Reports  `toml:"reports"`
	Entry    Entry    `toml:"entry"`
	Agent    Agent    `toml:"agent"`
	Group    Group    `toml:"group"`
}

// Listen holds the addresses that the process listens on. Caller is for entries only.
// PeerAdvertised is the address that peers dial; it defaults to Peer.
type Listen struct {
	Caller         string `toml:"caller"`
	Admin          string `toml:"admin"`
	Peer           string `toml:"peer"`
	PeerAdvertised string `toml:"peer_advertised"`
}

// Log configures access to the platform's log service.
type Log struct {
	Address   string   `toml:"address"`
	Retention Duration `toml:"retention"`
	Timeout   Duration `toml:"timeout"`
}

// HostList configures access to the platform's host list.
type HostList struct {
	Address string   `toml:"address"`
	Timeout Duration `toml:"timeout"`
}

// Claims configures the claim streams. All processes must have the same values.
type Claims struct {
	Window     Duration `toml:"window"`
	Partitions int      `toml:"partitions"`
}

// Reports configures the reports stream. All processes must have the same values.
type Reports struct {
	Interval Duration `toml:"interval"`
}

// Entry holds the settings of entries.
type Entry struct {
	ReplyMemoryBytes   int64    `toml:"reply_memory_bytes"`
	UploadTimeout      Duration `toml:"upload_timeout"`
	DrainDelay         Duration `toml:"drain_delay"`
	RetryBudget        float64  `toml:"retry_budget"`
	RetryBurst         int      `toml:"retry_burst"`
	BootstrapTokenHash string   `toml:"bootstrap_token_hash"`
}

// Agent holds the settings of agents.
type Agent struct {
	Service          string   `toml:"service"`
	BackendAddress   string   `toml:"backend_address"`
	BackendKind      string   `toml:"backend_kind"`
	ReplyMemoryBytes int64    `toml:"reply_memory_bytes"`
	DrainTimeout     Duration `toml:"drain_timeout"`
}

// Group makes an agent a rank of a group. Name is empty for an agent without a group.
// RankIDs and RankAddresses hold the agent id and the peer address of each rank, in
// rank order. EngineAddress is the address at which the rank's engine accepts orders.
type Group struct {
	Name          string    `toml:"name"`
	Rank          int       `toml:"rank"`
	RankIDs       []string  `toml:"rank_ids"`
	RankAddresses []string  `toml:"rank_addresses"`
	EngineAddress string    `toml:"engine_address"`
	Layers        int       `toml:"layers"`
	Experts       int       `toml:"experts"`
	Rebalance     Rebalance `toml:"rebalance"`
}

// Rebalance configures when a group changes its expert map and the expected cost of a
// change. With an Interval of 0 the map never changes.
type Rebalance struct {
	Interval            Duration `toml:"interval"`
	SlotsPerRank        int      `toml:"slots_per_rank"`
	ExpertBytes         int64    `toml:"expert_bytes"`
	StoreBytesPerSecond int64    `toml:"store_bytes_per_second"`
	LoadSlowdown        float64  `toml:"load_slowdown"`
	SwitchDelay         Duration `toml:"switch_delay"`
	MapLife             Duration `toml:"map_life"`
	MinGain             float64  `toml:"min_gain"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Deployment: "default",
		LogLevel:   "info",
		Log:        Log{Retention: newDuration(24 * time.Hour), Timeout: newDuration(2 * time.Second)},
		HostList:   HostList{Timeout: newDuration(2 * time.Second)},
		Claims:     Claims{Window: newDuration(6 * time.Hour), Partitions: 4},
		Reports:    Reports{Interval: newDuration(time.Minute)},
		Entry: Entry{
			ReplyMemoryBytes: 256 << 20,
			UploadTimeout:    newDuration(30 * time.Second),
			DrainDelay:       newDuration(2 * time.Second),
			RetryBudget:      0.1,
			RetryBurst:       10,
		},
		Agent: Agent{
			BackendKind:      BackendEngine,
			ReplyMemoryBytes: 64 << 20,
			DrainTimeout:     newDuration(10 * time.Minute),
		},
		Group: Group{
			Layers:  1,
			Experts: 64,
			Rebalance: Rebalance{
				Interval:            newDuration(time.Minute),
				SlotsPerRank:        1,
				ExpertBytes:         44_000_000,
				StoreBytesPerSecond: 1_000_000_000,
				LoadSlowdown:        0.05,
				MapLife:             newDuration(time.Hour),
				MinGain:             0.005,
			},
		},
	}
}

// EntryInfo returns the record of this process in the entry set.
func (s Settings) EntryInfo() core.EntryInfo {
	return core.EntryInfo{ID: s.ID, Address: s.Listen.PeerAdvertised, Domain: s.FailureDomain, Region: s.Region}
}
