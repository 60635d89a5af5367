package core

import (
	"fmt"
	"slices"
	"time"
)

// Object kinds of the configuration. An object is named kind/name.
const (
	KindContract = "contract"
	KindService  = "service"
	KindDomain   = "domain"
	KindTeam     = "team"
	KindEntrySet = "entry_set"

	// ObjectEntrySet is the only object of its kind.
	ObjectEntrySet = KindEntrySet + "/current"
)

// Contract holds the limits of one organisation. They apply to the total over
// all entries. Weight is its weight in the fair sharing of backend servers, and
// MaxPriority bounds the priority that its requests may ask for; a higher number
// is a higher priority.
type Contract struct {
	Organisation      string   `json:"organisation"`
	CallerKeyHashes   []string `json:"caller_key_hashes"`
	Services          []string `json:"services"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	TokensPerSecond   float64  `json:"tokens_per_second"`
	Concurrency       int      `json:"concurrency"`
	ReplyTimeMS       int64    `json:"reply_time_ms"`
	ReplyMemoryBytes  int64    `json:"reply_memory_bytes"`
	MaxPriority       int      `json:"max_priority"`
	Weight            int      `json:"weight"`
}

// ReplyTime returns the maximum duration of a whole reply.
func (c Contract) ReplyTime() time.Duration {
	return time.Duration(c.ReplyTimeMS) * time.Millisecond
}

// Allows reports whether the organisation may use the service.
func (c Contract) Allows(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// Service kinds.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service describes a set of interchangeable backend servers.
//
// A plain service gets the requests whose path starts with PathPrefix. A model
// service gets the completion requests that name one of its models. Costs and
// memory are counted in tokens; a plain request costs one token. BytesPerToken
// serves to estimate the size of a reply from its output tokens.
//
// A cold backend server starts with ColdConcurrency and ColdTokens, which grow
// up to MaxConcurrency and MemoryTokens.
//
// A request may run more than once if the service is Repeatable or its method is
// GET, HEAD or OPTIONS. Any other request needs an idempotency key. If
// TimedKeysOnly is set, the key must be a UUIDv7, which holds a time.
type Service struct {
	Name             string      `json:"name"`
	Kind             ServiceKind `json:"kind"`
	PathPrefix       string      `json:"path_prefix,omitempty"`
	Models           []string    `json:"models,omitempty"`
	Repeatable       bool        `json:"repeatable"`
	TimedKeysOnly    bool        `json:"timed_keys_only,omitempty"`
	ColdConcurrency  int         `json:"cold_concurrency"`
	ColdTokens       int64       `json:"cold_tokens"`
	MaxConcurrency   int         `json:"max_concurrency"`
	MemoryTokens     int64       `json:"memory_tokens"`
	MaxOutputTokens  int64       `json:"max_output_tokens,omitempty"`
	BytesPerToken    int64       `json:"bytes_per_token,omitempty"`
	MaxBodyBytes     int64       `json:"max_body_bytes"`
	MaxReplyBytes    int64       `json:"max_reply_bytes"`
	RequestTimeoutMS int64       `json:"request_timeout_ms"`
}

// RequestTimeout returns the maximum duration of one run at a backend server.
func (s Service) RequestTimeout() time.Duration {
	return time.Duration(s.RequestTimeoutMS) * time.Millisecond
}

// DomainState is the state that operators have set for a failure domain.
type DomainState string

// Failure domain states.
const (
	DomainActive  DomainState = "active"
	DomainDrained DomainState = "drained"
)

// Domain is the operators' setting of one failure domain.
type Domain struct {
	Name  string      `json:"name"`
	State DomainState `json:"state"`
}

// Team is a group of operators. TokenHash is the hexadecimal SHA-256 of its
// bearer token. Organisations lists the organisations whose contracts it may
// change; "*" means every organisation and also permits changes of services,
// failure domains and teams. A ReadOnly team may only read the objects in its
// scope.
type Team struct {
	Name          string   `json:"name"`
	TokenHash     string   `json:"token_hash"`
	Organisations []string `json:"organisations"`
	ReadOnly      bool     `json:"read_only,omitempty"`
}

// AllOrganisations in Team.Organisations means every organisation.
const AllOrganisations = "*"

// Administers reports whether the team may change every object.
func (t Team) Administers() bool {
	return !t.ReadOnly && slices.Contains(t.Organisations, AllOrganisations)
}

// EntryInfo describes one entry of the entry set.
type EntryInfo struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	Region  string `json:"region"`
}

// EntrySet lists the entries that confirm configurations and hold contract
// credit.
type EntrySet struct {
	Entries []EntryInfo `json:"entries"`
}

// Majority returns the size of the smallest majority of the set.
func (s EntrySet) Majority() int { return len(s.Entries)/2 + 1 }

// ObjectName returns the name of a configuration object.
func ObjectName(kind, name string) string { return fmt.Sprintf("%s/%s", kind, name) }
