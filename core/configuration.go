package core

import "time"

// Configuration is the result of applying all records of the config stream up
// to an offset. It is immutable; its maps must not be changed.
type Configuration struct {
	// NextOffset is the first offset of the config stream that is not applied.
	NextOffset int64
	// StateHash is equal in all processes at the same NextOffset.
	StateHash uint64
	Contracts map[string]Contract
	Services  map[string]Service
	Domains   map[string]Domain
	Teams     map[string]Team
	EntrySet  EntrySet
	// PastEntrySets holds the latest entry sets with their versions, oldest
	// first, including the current one. A process that applies several changes
	// at once needs them to know which entries were homes in between.
	PastEntrySets []VersionedEntrySet
	// Versions holds the version of each object by its name.
	Versions map[string]int64
	// KeyOrganisations maps the hash of a caller key to its organisation.
	KeyOrganisations map[string]string
}

// VersionedEntrySet is an entry set together with its version of
// entry_set/current.
type VersionedEntrySet struct {
	Version int64    `json:"version"`
	Set     EntrySet `json:"set"`
}

// Drained reports whether operators have drained the failure domain.
func (c Configuration) Drained(domain string) bool {
	return c.Domains[domain].State == DomainDrained
}

// ConfigSource returns the current configuration of a process. It is safe for
// concurrent use.
type ConfigSource interface {
	Current() Configuration
	// Confirmed reports whether the configuration is fresh enough to admit new
	// work: its position was confirmed within the freshness bound.
	Confirmed(now time.Time) bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
