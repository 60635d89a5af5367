package core

import "time"

// Configuration is the folded configuration at one offset. It is immutable:
// nobody may change its maps.
type Configuration struct {
	// NextOffset is the first offset of the config stream that is not folded.
	NextOffset int64
	// StateHash is equal in all processes at the same NextOffset.
	StateHash uint64
	Contracts map[string]Contract
	Services  map[string]Service
	Domains   map[string]Domain
	Teams     map[string]Team
	EntrySet  EntrySet
	// PastEntrySets holds the last entry sets with their versions, oldest first,
	// the present one included. A process that folds several changes at once
	// needs them to know which entries were homes in between.
	PastEntrySets []VersionedEntrySet
	// Versions holds the version of each object by its name.
	Versions map[string]int64
	// KeyOrganisations maps the hash of a caller key to its organisation.
	KeyOrganisations map[string]string
}

// VersionedEntrySet is an entry set and the version of entry_set/current at
// which it was in force.
type VersionedEntrySet struct {
	Version int64    `json:"version"`
	Set     EntrySet `json:"set"`
}

// Drained reports whether operators have taken the failure domain out.
func (c Configuration) Drained(domain string) bool {
	return c.Domains[domain].State == DomainDrained
}

// ConfigSource gives the current configuration of a process. It is safe for
// concurrent use.
type ConfigSource interface {
	Current() Configuration
	// Confirmed reports whether new work may be admitted: the position was
	// confirmed within the freshness bound.
	Confirmed(now time.Time) bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
