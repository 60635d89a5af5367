package core

import "time"

// RequestKind tells how often requests of a route may run.
type RequestKind int

// Kinds of requests. A resumable stream may be carried on by another backend
// server behind the last event that was delivered.
const (
	RequestKindAtMostOnce RequestKind = iota
	RequestKindRepeatable
	RequestKindStream
	RequestKindResumableStream
)

// Repeatable reports whether a second run of the request does no harm. A
// resumable stream counts, since a new run only sends what is missing.
func (k RequestKind) Repeatable() bool {
	return k == RequestKindRepeatable || k == RequestKindResumableStream
}

// Stream reports whether the reply is a series of events.
func (k RequestKind) Stream() bool { return k == RequestKindStream || k == RequestKindResumableStream }

// Target is one service that a route sends requests to.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host name and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RequestKind
	// Timeout is the longest time that a caller is kept waiting for the end of
	// its reply; 0 means no limit.
	Timeout time.Duration
	// Objective is the time within which a reply, or its first event, is on time.
	Objective time.Duration
	// MaxEventGap is the longest pause between events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority is the rank of the route, 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public  bool
	Targets []Target
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots              int
	MemoryTokens       int64
	ExpertSets         int
	Experts            int
	ExpertSlotsPerRank int
	MaxNewExperts      int
	ExpertBytes        float64
	LinkBytesPerSecond float64
	// BasePassTime is the time of a pass of a group without work.
	BasePassTime time.Duration
	// MeanPromptTokens and MeanReplyTokens are mean token counts.
	MeanPromptTokens, MeanReplyTokens int64
	// GroupFormationTime is how long a group needs to form again once its ranks are back.
	GroupFormationTime time.Duration
}

// ServiceConfig describes the backend servers of a service.
type ServiceConfig struct {
	Name string
	// MaxConnections bounds the connections that a backend server accepts from
	// all hosts together.
	MaxConnections int
	// ColdDuration is how long a started backend server stays cold, and ColdRequestsPerSecond how
	// many requests a second it bears meanwhile; 0 means no limit.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// KeyHolder is the organisation that a caller's key belongs to. HasPriority
// tells that its Priority goes before that of the route.
type KeyHolder struct {
	Organisation string
	Priority     int
	HasPriority  bool
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Deployment is one version of the operators' configuration. It is immutable.
type Deployment struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceConfig
	// Keys maps a caller's key to its holder. KeysRequired is false when the
	// configuration has no organisations.
	Keys         map[string]KeyHolder
	KeysRequired bool
	Limits       CallerLimits
}

// BackendState is the state that a backend server reports of itself.
type BackendState int

// States of backend servers.
const (
	BackendReady BackendState = iota
	BackendLeaving
)

// RankPlace is the place of a backend server in a group of ranks.
type RankPlace struct {
	Group string
	Rank  int
	Size  int
	Epoch int64
	Open  bool
}

// BackendServer is one entry of the platform's list of backend servers. An
// empty Place.Group means that it belongs to no group.
type BackendServer struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	State    BackendState
	ColdLeft time.Duration
	// StartedUnixMS identifies one life of a backend server that keeps its id.
	StartedUnixMS int64
	Place         RankPlace
}

// KeyedRecord is the newest record of one key of a keyed topic. Deleted tells
// that the key was removed at this offset.
type KeyedRecord struct {
	Key     string
	Value   []byte
	Offset  int64
	Deleted bool
}

// KeyedBatch holds records in order of their offsets. NextOffset is the offset
// that the next append will get.
type KeyedBatch struct {
	Records    []KeyedRecord
	NextOffset int64
}

// Topic names a keyed topic of the platform's store.
type Topic int

// Keyed topics. TopicOperator holds the configuration and evacuations,
// TopicServers the list of backend servers, TopicMembers our own processes.
const (
	TopicOperator Topic = iota
	TopicServers
	TopicMembers
)

// RecordKind tells what a record says.
type RecordKind int

// Kinds of facts.
const (
	RecordUnknown RecordKind = iota
	RecordDeployment
	RecordDrainedDomain
	RecordServer
)

// DecodedRecord is a decoded record of the topics TopicOperator and TopicServers.
type DecodedRecord struct {
	Kind       RecordKind
	Deployment *Deployment
	// Domain is the failure domain of a RecordDrainedDomain.
	Domain string
	Server *BackendServer
}
