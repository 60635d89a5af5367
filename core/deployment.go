package core

import "time"

// RequestKind determines how often a request of a route may run and whether its
// reply is a stream.
type RequestKind int

// Request kinds. A resumable stream can be continued by another backend server
// after the last event that was delivered.
const (
	RequestKindAtMostOnce RequestKind = iota
	RequestKindRepeatable
	RequestKindStream
	RequestKindResumableStream
)

// Repeatable reports whether a request may run more than once. This includes
// resumable streams, since a new run sends only the missing events.
func (k RequestKind) Repeatable() bool {
	return k == RequestKindRepeatable || k == RequestKindResumableStream
}

// Stream reports whether the reply is a stream of events.
func (k RequestKind) Stream() bool { return k == RequestKindStream || k == RequestKindResumableStream }

// Target is one service that a route sends requests to.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests with a host name and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RequestKind
	// Timeout is the longest time until the end of a reply; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective of a reply or, for a stream, of its
	// first event.
	Objective time.Duration
	// MaxEventGap is the longest time between two events of a stream that is on
	// time.
	MaxEventGap time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts bounds how many backend servers one request is sent to.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public  bool
	Targets []Target
}

// EngineSpec describes the model engines of a service. A rank has
// ExpertSlotsPerRank slots for the experts of each set of layers; one change of
// the expert map may add at most MaxNewExperts experts to a rank in each set.
type EngineSpec struct {
	Slots              int
	MemoryTokens       int64
	ExpertSets         int
	Experts            int
	ExpertSlotsPerRank int
	MaxNewExperts      int
	ExpertBytes        float64
	LinkBytesPerSecond float64
	// BasePassTime is the duration of a forward pass of an idle group.
	BasePassTime                      time.Duration
	MeanPromptTokens, MeanReplyTokens int64
	// GroupFormationTime is how long a group takes to form once all its ranks
	// have returned.
	GroupFormationTime time.Duration
}

// ServiceConfig describes the backend servers of a service.
type ServiceConfig struct {
	Name string
	// MaxConnections bounds the connections that a backend server accepts from
	// all hosts together.
	MaxConnections int
	// ColdDuration is how long a backend server stays cold after its start.
	// ColdRequestsPerSecond is its capacity during this time; 0 means no limit.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// KeyHolder is the organisation that a caller's key belongs to. If HasPriority
// is set, Priority overrides the priority of the route.
type KeyHolder struct {
	Organisation string
	Priority     int
	HasPriority  bool
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

// BackendState is the state that a backend server reports.
type BackendState int

// States of backend servers.
const (
	BackendReady BackendState = iota
	BackendLeaving
)

// RankPlace is the position of a backend server in a group of ranks. Open
// reports that the group serves requests.
type RankPlace struct {
	Group string
	Rank  int
	Size  int
	Epoch int64
	Open  bool
}

// BackendServer is one record of the platform's list of backend servers. An
// empty Place.Group means that it belongs to no group.
type BackendServer struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	State    BackendState
	ColdLeft time.Duration
	// StartedUnixMS changes with each restart of a backend server that keeps its
	// id.
	StartedUnixMS int64
	// ReportNumber counts the reports of the process, so that a later one has a higher
	// number; 0 means not stated.
	ReportNumber int64
	Place        RankPlace
}

// KeyedRecord is the newest record of one key of a keyed topic. Deleted reports
// that the key was removed at this position.
type KeyedRecord struct {
	Key      string
	Value    []byte
	Position Position
	Deleted  bool
}

// KeyedBatch holds records of one era in order of their offsets. Next is the position
// that follows them. AtEnd reports that there are no further records.
type KeyedBatch struct {
	Records []KeyedRecord
	Next    Position
	AtEnd   bool
}

// Topic names a keyed topic of the platform's store.
type Topic int

// Keyed topics. TopicOperator holds the configuration and the drained failure
// domains, TopicServers the backend servers, TopicMembers the processes of
// nutmegnotch, and TopicCrashes the crashes of backend servers that count against
// requests.
const (
	TopicOperator Topic = iota
	TopicServers
	TopicMembers
	TopicCrashes
)

// RecordKind is the kind of a decoded record.
type RecordKind int

// Kinds of decoded records.
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
