package core

import (
	"context"
	"net/http"
	"time"
)

// KeyedStore is the platform's store as far as keyed topics go. ErrUnavailable
// means that the store gave no answer, ErrRateLimited that it refused the call,
// ErrExpired that the records from an offset on are no longer kept.
type KeyedStore interface {
	// Newest returns the newest record of each key. Records may be missing that
	// were appended while the pages were read.
	Newest(ctx context.Context, t Topic) (KeyedBatch, error)
	// Read returns the records from an offset on. It waits up to wait for one.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (KeyedBatch, error)
	// Put appends a record for a key; a nil value removes the key.
	Put(ctx context.Context, t Topic, key string, value []byte) error
}

// RecordDecoder decodes the records of the platform's keyed topics. A record that
// cannot be read is an error that wraps ErrInvalid.
type RecordDecoder interface {
	Decode(t Topic, r KeyedRecord) (DecodedRecord, error)
}

// CallerFields are what a caller says of its request in headers.
type CallerFields struct {
	RequestID string
	Key       string
	// TimeLeft is how long the caller will wait; 0 means that it did not say.
	TimeLeft     time.Duration
	PromptTokens int64
	MaxTokens    int64
	// ExpectedTokens is the caller's estimate of its output; 0 means none.
	ExpectedTokens int64
	// LastEventID is the id of the last event that the caller has; it is empty
	// for a stream from the beginning.
	LastEventID string
}

// BackendFields are what a request to a backend server says in headers.
type BackendFields struct {
	ServerID     string
	Organisation string
	TimeLeft     time.Duration
	// LastEventID overrides the caller's last event when it is not empty.
	LastEventID string
	// Urgency is 0 for the most urgent requests and at most 9; -1 leaves it out.
	Urgency int
}

// ReplyFields are what a backend server says of its reply in headers.
type ReplyFields struct {
	RequestID string
	// NotRun is the promise that the request has not run.
	NotRun bool
	// Misdirected tells that another server than the one that was meant replied.
	Misdirected bool
	// Sealed tells that the reply bears the signature of a backend server.
	Sealed bool
	// Running and Waiting are the load of the server; HasLoad tells that it
	// stated them.
	Running, Waiting, Slots int
	HasLoad                 bool
}

// HeaderCodec translates between the headers of a deployment and the fields of
// requests and replies.
type HeaderCodec interface {
	Caller(h http.Header) (CallerFields, error)
	// Backend returns the headers to send to a backend server.
	Backend(caller http.Header, f BackendFields) http.Header
	Reply(status int, h http.Header) ReplyFields
}

// RankReport is what the engine of a rank says of itself.
type RankReport struct {
	Place RankPlace
	// StartedUnixMS identifies the life of the engine.
	StartedUnixMS int64
	// Pass is the last pass that was begun.
	Pass int64
	// Map, Prepared and Armed are map versions; 0 means none, and map 0 is the
	// one that a group is formed with. ArmedPass is the pass at which the armed
	// map takes effect, HeldPass the pass that may not begin; -1 means none.
	Map, Prepared, Armed int64
	ArmedPass, HeldPass  int64
	Running, Waiting     int
	// Slowdown is how many times slower than usual the engine works; 1 is usual.
	Slowdown float64
}

// OrderKind names an order to the engine of a rank.
type OrderKind int

// Orders about expert maps.
const (
	OrderPrepare OrderKind = iota
	OrderArm
	OrderDisarm
	OrderHold
	OrderGo
)

// RankOrder is an order to the engine of a rank. It has an effect only while
// the group is in Epoch.
type RankOrder struct {
	Kind    OrderKind
	Epoch   int64
	Version int64
	Pass    int64
	// Experts lists the experts of each rank by set, for OrderPrepare.
	Experts [][][]int
}

// OrderResult is the engine's answer to an order.
type OrderResult int

// Results of orders. After OrderUnknown the order may have been carried out or
// may be carried out later.
const (
	OrderUnknown OrderResult = iota
	OrderStarted
	OrderApplied
	OrderRefused
)

// EngineControl gives orders to the engine of a rank and reads its state.
type EngineControl interface {
	Report(ctx context.Context, address string) (RankReport, error)
	// Counts returns how often the requests of the rank chose each expert, by
	// set, since the engine started, and the epoch of the counts.
	Counts(ctx context.Context, address string) (counts []int64, epoch int64, err error)
	// Placement returns the experts of each rank by set in the map in force.
	Placement(ctx context.Context, address string) ([][]int, error)
	Order(ctx context.Context, address string, o RankOrder) (OrderResult, error)
}
