package core

import (
	"context"
	"net/http"
	"time"
)

// KeyedStore accesses the keyed topics of the platform's store. Methods return
// ErrUnavailable when the store does not answer or answers from an earlier era than
// before, ErrRateLimited when it rejects the call, and ErrExpired when it does not have
// the records from a position on, because they are no longer retained or because it has
// come back from an older copy.
type KeyedStore interface {
	// Newest returns the newest record of each key. Records that are appended
	// while the pages are being read may be missing.
	Newest(ctx context.Context, t Topic) (KeyedBatch, error)
	// Read returns the records from a position on. It waits up to wait for one. The batch
	// may be of a later era; then it does not follow from.
	Read(ctx context.Context, t Topic, from Position, wait time.Duration) (KeyedBatch, error)
	// Put appends a record for a key; a nil value removes the key.
	Put(ctx context.Context, t Topic, key string, value []byte) error
}

// RecordDecoder decodes the records of the platform's keyed topics. For a
// malformed record it returns an error that wraps ErrInvalid.
type RecordDecoder interface {
	Decode(t Topic, r KeyedRecord) (DecodedRecord, error)
}

// CallerFields holds the request headers of a caller.
type CallerFields struct {
	RequestID string
	Key       string
	// TimeLeft is how long the caller will wait; 0 means not stated.
	TimeLeft     time.Duration
	PromptTokens int64
	MaxTokens    int64
	// ExpectedTokens is the caller's estimate of its output; 0 means none.
	ExpectedTokens int64
	// SharedPromptParts are the ids of the parts of the prompt that other requests may
	// have too, in order.
	SharedPromptParts []string
	// LastEventID is the id of the last event that the caller has received. It
	// is empty for a stream from the beginning.
	LastEventID string
}

// BackendFields holds the headers of a request to a backend server.
type BackendFields struct {
	ServerID     string
	Organisation string
	TimeLeft     time.Duration
	// LastEventID replaces the caller's last event id unless it is empty.
	LastEventID string
	// Urgency is 0 for the most urgent requests and at most 9; -1 omits the
	// header.
	Urgency int
}

// ReplyFields holds the reply headers of a backend server.
type ReplyFields struct {
	RequestID string
	// NotRun guarantees that the request has not run.
	NotRun bool
	// Misdirected reports that the reply comes from a different backend server
	// than the addressed one.
	Misdirected bool
	// Leaving reports that the server will end.
	Leaving bool
	// Pause is how long the server, which has rejected the request, wants no requests
	// from this host; 0 means not stated. InvalidPause is a statement that cannot be
	// used.
	Pause        time.Duration
	InvalidPause string
	// RateLimit is the requests a second that the server takes from all gateways together.
	// It is valid if HasRateLimit is set. InvalidRateLimit is a statement that cannot be
	// used.
	RateLimit        float64
	HasRateLimit     bool
	InvalidRateLimit string
	// Sealed reports that the reply has the seal of a backend server.
	Sealed bool
	// Running, Waiting and Slots are the load of the server. They are valid if
	// HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
}

// HeaderCodec translates between the HTTP headers of the platform and the
// fields of requests and replies.
type HeaderCodec interface {
	Caller(h http.Header) (CallerFields, error)
	// Backend returns the headers to send to a backend server.
	Backend(caller http.Header, f BackendFields) http.Header
	Reply(status int, h http.Header) ReplyFields
}

// RankReport is the state reported by the engine of a rank.
type RankReport struct {
	Place RankPlace
	// StartedUnixMS changes with each restart of the engine.
	StartedUnixMS int64
	// Pass is the last pass that was started.
	Pass int64
	// Map, Prepared and Armed are map versions; 0 means none, and map 0 is the
	// one that a group is formed with. ArmedPass is the pass at which the armed
	// map takes effect, and HeldPass the pass that must not start; -1 means none.
	Map, Prepared, Armed int64
	ArmedPass, HeldPass  int64
	Running, Waiting     int
	// Slowdown is the factor by which the engine is slower than normal; 1 is
	// normal speed.
	Slowdown float64
}

// OrderKind is the kind of a RankOrder.
type OrderKind int

// Orders about expert maps.
const (
	OrderPrepare OrderKind = iota
	OrderArm
	OrderDisarm
	OrderHold
	OrderGo
)

// RankOrder is an order to the engine of a rank. It takes effect only while the
// group is in Epoch.
type RankOrder struct {
	Kind    OrderKind
	Epoch   int64
	Version int64
	Pass    int64
	// Experts lists the experts of each rank by set, for OrderPrepare.
	Experts [][][]int
}

// OrderResult is the engine's response to an order.
type OrderResult int

// Results of orders. After OrderUnknown the order may have been executed or may
// be executed later. OrderStarted means that it was accepted and is in progress,
// OrderApplied that it is already in effect.
const (
	OrderUnknown OrderResult = iota
	OrderStarted
	OrderApplied
	OrderRefused
)

// EngineControl sends orders to the engine of a rank and reads its state.
type EngineControl interface {
	Report(ctx context.Context, address string) (RankReport, error)
	// Counts returns how often the requests of the rank were routed to each
	// expert, by set, since the engine started, and the epoch of the counts.
	Counts(ctx context.Context, address string) (counts []int64, epoch int64, err error)
	// Placement returns the experts of each rank by set in the active map.
	Placement(ctx context.Context, address string) ([][]int, error)
	Order(ctx context.Context, address string, o RankOrder) (OrderResult, error)
}
