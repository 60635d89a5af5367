package core

import (
	"context"
	"time"
)

// Stream names of the platform's log. A claim stream is named
// ClaimStreamPrefix followed by its two-digit partition.
const (
	StreamConfig      = "config"
	StreamAudit       = "audit"
	StreamLeaders     = "leaders"
	StreamReports     = "reports"
	ClaimStreamPrefix = "claims-"
)

// Record is one record of a log stream. Time is assigned by the log.
type Record struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// Batch is the result of a read: the records from the requested offset on, the
// first offset still retained and the offset of the next append.
type Batch struct {
	FirstOffset int64
	NextOffset  int64
	Records     []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset. ErrUnavailable means that
	// the record may or may not have been added; ErrRateLimited means that it
	// was not.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records with offsets of at least from. It waits
	// up to wait for the first one. On ErrExpired the Batch holds only
	// FirstOffset and NextOffset.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
